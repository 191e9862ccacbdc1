//! Detection of long turns of the front's single thread: how long it runs between two waits, and in which
//! tasks.
//!
//! A turn begins when the thread wakes and ends when it next waits. A long turn delays every timer and every
//! answer. It is logged with the tasks that were polled in it, also before it ends, so that the log has a
//! line even of a thread that never waits again.

use crate::log;
use nix::time::{ClockId, clock_gettime};
use std::cell::RefCell;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// A turn of this length is logged, and again each time that its length has doubled.
pub const LONG_TURN_THRESHOLD: Duration = Duration::from_millis(500);
/// Minimum interval of the readings of the thread's processor time. The processor time of a turn may be
/// reported too high by what was used in such an interval.
const PROCESSOR_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of task kinds.
const TASK_KINDS: usize = 9;

/// The kind of a task, by which its polls are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// Accepts clients.
    Listener,
    /// Serves a client's connection.
    Client,
    /// Serves a connection to a cache node.
    Cache,
    /// Selects and opens connections to cache nodes.
    Pool,
    /// Runs the broker: requests and routing decisions.
    Broker,
    /// Follows the coordinator or a discovery server.
    Discovery,
    /// Answers operators.
    Operators,
    /// Samples the process's memory.
    Memory,
    /// Reloads the signers' keys.
    Keys,
}

impl TaskKind {
    const NAMES: [&'static str; TASK_KINDS] =
        ["listener", "client", "cache", "pool", "broker", "discovery", "operators", "memory", "keys"];

    fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }
}

/// A long turn, as it is logged.
#[derive(Debug, Clone, PartialEq)]
pub struct LongTurn {
    lasted: Duration,
    ended: bool,
    /// Upper bound of the thread's processor time in the turn; for the rest the thread did not run.
    processor: Duration,
    /// Polls in the turn, by the kind of the task.
    polls: [u32; TASK_KINDS],
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

/// The longest turns since the start, and the number of long ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LongestTurns {
    /// Length of the longest turn by the clock.
    pub lasted: Duration,
    /// The most processor time of the thread in one turn.
    pub processor: Duration,
    /// Number of turns of at least [`LONG_TURN_THRESHOLD`].
    pub long: u64,
}

impl fmt::Display for LongestTurns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (lasted, processor) = (self.lasted.as_secs_f64(), self.processor.as_secs_f64());
        write!(f, "turns longest={lasted:.6} longest_processor={processor:.6} long={}", self.long)
    }
}

/// Measures the present turn and keeps the longest. It reads no clock.
#[derive(Debug)]
struct TurnMeter {
    started_at: Instant,
    /// When the last poll ended.
    last_poll_end: Instant,
    polls: [u32; TASK_KINDS],
    longest_poll: Option<(TaskKind, Duration)>,
    /// The turn is logged when it has lasted this long.
    next_report: Duration,
    /// The thread's processor time at the last reading.
    processor: Duration,
    processor_read_at: Instant,
    longest: LongestTurns,
}

impl TurnMeter {
    fn new(now: Instant, processor: Duration) -> Self {
        TurnMeter {
            started_at: now,
            last_poll_end: now,
            polls: [0; TASK_KINDS],
            longest_poll: None,
            next_report: LONG_TURN_THRESHOLD,
            processor,
            processor_read_at: now,
            longest: LongestTurns::default(),
        }
    }

    /// Begins a turn when the thread has woken.
    fn begin_turn(&mut self, now: Instant) {
        (self.started_at, self.last_poll_end) = (now, now);
        (self.polls, self.longest_poll) = ([0; TASK_KINDS], None);
        self.next_report = LONG_TURN_THRESHOLD;
    }

    /// Records the poll of a task and returns the turn if it is due to be logged. `processor` reads the
    /// thread's processor time.
    fn record_poll(
        &mut self,
        kind: TaskKind,
        now: Instant,
        processor: impl FnOnce() -> Duration,
    ) -> Option<LongTurn> {
        self.polls[kind as usize] += 1;
        let took = now - self.last_poll_end;
        self.last_poll_end = now;
        if self.longest_poll.is_none_or(|(_, longest)| took > longest) {
            self.longest_poll = Some((kind, took));
        }
        let lasted = now - self.started_at;
        if lasted < self.next_report {
            return None;
        }
        while self.next_report <= lasted {
            self.next_report *= 2;
        }
        Some(self.long_turn(lasted, false, processor() - self.processor))
    }

    /// Ends the turn when the thread is about to wait, and returns it if it was long.
    fn end_turn(&mut self, now: Instant, processor: impl FnOnce() -> Duration) -> Option<LongTurn> {
        let lasted = now - self.started_at;
        self.longest.lasted = self.longest.lasted.max(lasted);
        if now - self.processor_read_at < PROCESSOR_SAMPLE_INTERVAL {
            return None;
        }
        let read = processor();
        let used = read - self.processor;
        (self.processor, self.processor_read_at) = (read, now);
        self.longest.processor = self.longest.processor.max(used.min(lasted));
        let long = lasted >= LONG_TURN_THRESHOLD;
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

/// The processor time of this thread; zero if the system does not report it.
fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

fn log_long_turn(long: Option<LongTurn>) {
    if let Some(long) = long {
        log!("{long}");
    }
}

/// Builds a runtime of one thread whose turns are measured.
pub fn runtime() -> io::Result<Runtime> {
    METER.set(TurnMeter::new(Instant::now(), processor_time()));
    Builder::new_current_thread()
        .enable_all()
        .on_thread_park(|| {
            log_long_turn(METER.with_borrow_mut(|meter| meter.end_turn(Instant::now(), processor_time)))
        })
        .on_thread_unpark(|| METER.with_borrow_mut(|meter| meter.begin_turn(Instant::now())))
        .build()
}

/// The longest turns of this thread.
pub fn longest() -> LongestTurns {
    METER.with_borrow(|meter| meter.longest)
}

/// Runs a task and counts its polls for its kind.
pub async fn track_polls<F: Future>(kind: TaskKind, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        let polled = future.as_mut().poll(context);
        log_long_turn(METER.with_borrow_mut(|meter| meter.record_poll(kind, Instant::now(), processor_time)));
        polled
    })
    .await
}

#[cfg(test)]
mod tests;
