//! How long the front's one thread runs between two waits, and in which tasks.
//!
//! A turn begins when the thread wakes and ends when it next waits. One that is long delays every timer and every answer;
//! this tells which tasks it was spent in, also while it still lasts, so that a thread that no longer waits at all has left
//! a line in the log.

use crate::log;
use nix::time::{ClockId, clock_gettime};
use std::cell::RefCell;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// A turn that has lasted so long is told of, and again each time that it has lasted twice as long.
pub const LONG_TURN: Duration = Duration::from_millis(500);
/// The thread's processor time is read this often at most, and what is told of a turn may be too much by what was used in
/// so long.
const PROCESSOR_SAMPLE: Duration = Duration::from_millis(20);
/// Kinds of tasks.
const KINDS: usize = 9;

/// What a task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// Accepts clients.
    Listener,
    /// Serves a client's connection.
    Client,
    /// Holds a connection to a cache node.
    Cache,
    /// Picks and opens connections to cache nodes.
    Pool,
    /// Owns the requests and the decisions.
    Broker,
    /// Follows the coordinator or a discovery server.
    Discovery,
    /// Answers operators.
    Operators,
    /// Looks at the process's memory.
    Memory,
    /// Reads the signers' keys again.
    Keys,
}

impl TaskKind {
    const NAMES: [&'static str; KINDS] =
        ["listener", "client", "cache", "pool", "broker", "discovery", "operators", "memory", "keys"];

    fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }
}

/// A turn that lasts long.
#[derive(Debug, Clone, PartialEq)]
pub struct LongTurn {
    /// How long it has lasted, and whether it has ended.
    lasted: Duration,
    ended: bool,
    /// At most so much of that was the thread's processor time; the rest it was kept from the processor.
    processor: Duration,
    /// How often tasks were polled in it, by kind.
    polls: [u32; KINDS],
    longest_poll: Option<(TaskKind, Duration)>,
}

impl fmt::Display for LongTurn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let so_far = if self.ended { "" } else { " so far" };
        write!(f, "a turn of {:.3} s without a wait{so_far}", self.lasted.as_secs_f64())?;
        write!(f, ", at most {:.3} s of it processor time; polled", self.processor.as_secs_f64())?;
        for (name, polls) in TaskKind::NAMES.iter().zip(self.polls).filter(|(_, polls)| *polls > 0) {
            write!(f, " {name}={polls}")?;
        }
        if let Some((kind, took)) = self.longest_poll {
            write!(f, "; the longest poll was of {}, {:.3} s", kind.name(), took.as_secs_f64())?;
        }
        Ok(())
    }
}

/// The longest turns since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LongestTurns {
    /// By the clock.
    pub lasted: Duration,
    /// By the thread's processor time.
    pub processor: Duration,
    /// How many lasted [`LONG_TURN`] and longer.
    pub long: u64,
}

impl fmt::Display for LongestTurns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (lasted, processor) = (self.lasted.as_secs_f64(), self.processor.as_secs_f64());
        write!(f, "turns longest={lasted:.6} longest_processor={processor:.6} long={}", self.long)
    }
}

/// What is known of the turn that lasts, and the longest so far. It reads no clock.
#[derive(Debug)]
struct TurnMeter {
    began: Instant,
    /// When the last poll ended.
    last_poll: Instant,
    polls: [u32; KINDS],
    longest_poll: Option<(TaskKind, Duration)>,
    /// The turn is told of once it has lasted so long.
    told_at: Duration,
    /// The thread's processor time as it was last read, and when.
    processor: (Duration, Instant),
    longest: LongestTurns,
}

impl TurnMeter {
    fn new(now: Instant, processor: Duration) -> Self {
        TurnMeter {
            began: now,
            last_poll: now,
            polls: [0; KINDS],
            longest_poll: None,
            told_at: LONG_TURN,
            processor: (processor, now),
            longest: LongestTurns::default(),
        }
    }

    /// The thread has woken: a turn begins.
    fn wake(&mut self, now: Instant) {
        (self.began, self.last_poll) = (now, now);
        (self.polls, self.longest_poll) = ([0; KINDS], None);
        self.told_at = LONG_TURN;
    }

    /// A task was polled; is its turn to be told of? `processor` reads the thread's processor time.
    fn polled(
        &mut self,
        kind: TaskKind,
        now: Instant,
        processor: impl FnOnce() -> Duration,
    ) -> Option<LongTurn> {
        self.polls[kind as usize] += 1;
        let took = now - self.last_poll;
        self.last_poll = now;
        if self.longest_poll.is_none_or(|(_, longest)| took > longest) {
            self.longest_poll = Some((kind, took));
        }
        let lasted = now - self.began;
        if lasted < self.told_at {
            return None;
        }
        while self.told_at <= lasted {
            self.told_at *= 2;
        }
        Some(self.long_turn(lasted, false, processor() - self.processor.0))
    }

    /// The thread is about to wait: the turn has ended; is it to be told of?
    fn wait(&mut self, now: Instant, processor: impl FnOnce() -> Duration) -> Option<LongTurn> {
        let lasted = now - self.began;
        self.longest.lasted = self.longest.lasted.max(lasted);
        if now - self.processor.1 < PROCESSOR_SAMPLE {
            return None;
        }
        let read = processor();
        let used = read - self.processor.0;
        self.processor = (read, now);
        self.longest.processor = self.longest.processor.max(used.min(lasted));
        let long = lasted >= LONG_TURN;
        self.longest.long += u64::from(long);
        long.then(|| self.long_turn(lasted, true, used))
    }

    fn long_turn(&self, lasted: Duration, ended: bool, used: Duration) -> LongTurn {
        let (polls, longest_poll) = (self.polls, self.longest_poll);
        LongTurn { lasted, ended, processor: used.min(lasted), polls, longest_poll }
    }
}

thread_local! {
    static METER: RefCell<TurnMeter> = RefCell::new(TurnMeter::new(Instant::now(), processor_time()));
}

/// The processor time of this thread; none where the system does not tell.
fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

fn tell(long: Option<LongTurn>) {
    if let Some(long) = long {
        log!("{long}");
    }
}

/// A runtime of one thread whose turns are measured.
pub fn runtime() -> io::Result<Runtime> {
    METER.set(TurnMeter::new(Instant::now(), processor_time()));
    Builder::new_current_thread()
        .enable_all()
        .on_thread_park(|| tell(METER.with_borrow_mut(|meter| meter.wait(Instant::now(), processor_time))))
        .on_thread_unpark(|| METER.with_borrow_mut(|meter| meter.wake(Instant::now())))
        .build()
}

/// The longest turns of this thread.
pub fn longest() -> LongestTurns {
    METER.with_borrow(|meter| meter.longest)
}

/// Runs a task whose polls are counted for its kind.
pub async fn track_polls<F: Future>(kind: TaskKind, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        let polled = future.as_mut().poll(context);
        tell(METER.with_borrow_mut(|meter| meter.polled(kind, Instant::now(), processor_time)));
        polled
    })
    .await
}

#[cfg(test)]
mod tests;
