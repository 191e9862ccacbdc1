//! Ends and starts of a front's processes: series of signals, the kill as early as the platform may, and what follows.

use super::Fleet;
use super::faults::{BESIDE, COMING};
use super::fronts::send;
use super::plan::SignalSeries;
use super::record::Cycle;
use nix::sys::signal::Signal;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// SIGKILL comes no sooner than this after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Settings that were read again are left as they are for so long (seconds).
const RELOADED: f64 = 0.3;

impl Fleet {
    /// Cycles these fronts one after the other, evenly over the span.
    pub async fn cycle_each(
        self: &Rc<Self>,
        fronts: &[usize],
        series: SignalSeries,
        gap_s: f64,
        span: Duration,
    ) {
        let between = span / fronts.len().max(1) as u32;
        for &front in fronts {
            let fleet = self.clone();
            spawn_local(async move { fleet.cycle(front, series, Duration::from_secs_f64(gap_s)).await });
            sleep(between).await;
        }
    }

    async fn cycle(self: Rc<Self>, front: usize, series: SignalSeries, gap: Duration) {
        let _turn = self.fronts[front].cycle_turn.lock().await;
        let from = self.tier.unix();
        let place = {
            let mut seen = self.book.open();
            seen.cycles.push(Cycle { front, from, until: f64::MAX, series });
            seen.cycles.len() - 1
        };
        match series {
            SignalSeries::Term => self.restart(front, &[], gap).await,
            SignalSeries::TermTwice => self.restart(front, &[Signal::SIGTERM], gap).await,
            SignalSeries::HangupInTerm => self.restart(front, &[Signal::SIGHUP], gap).await,
            SignalSeries::TermInHangup => {
                self.fronts[front].signal(Signal::SIGHUP);
                self.fronts[front].signal(Signal::SIGHUP);
                self.restart(front, &[], gap).await;
            }
            SignalSeries::SuccessorInTerm => self.succeed_while_closing(front, gap).await,
            SignalSeries::Replaced => self.replace(front, &[], gap).await,
            SignalSeries::ReplacedTermTwice => self.replace(front, &[Signal::SIGTERM], gap).await,
            SignalSeries::SuccessorInHangup => {
                self.fronts[front].signal(Signal::SIGHUP);
                sleep(gap).await;
                self.replace(front, &[], gap).await;
            }
            SignalSeries::TermBeforeReady => {
                self.end_before_ready(front, gap).await;
                self.restart(front, &[], gap).await;
            }
            SignalSeries::Hangups => self.hangups(front, gap).await,
        }
        self.book.open().cycles[place].until = self.tier.unix();
    }

    /// Ends a front's process; another starts once that is gone.
    async fn restart(self: &Rc<Self>, front: usize, further: &[Signal], gap: Duration) {
        let child = self.fronts[front].take_process();
        self.fronts[front].lingers.set(true);
        let closed = spawn_local(self.clone().no_new_clients(front));
        self.end(front, child, further, gap).await;
        let _ = closed.await;
        self.fronts[front].lingers.set(false);
        self.start(front).await;
    }

    /// Ends a front's process; another starts while that closes.
    async fn succeed_while_closing(self: &Rc<Self>, front: usize, gap: Duration) {
        let child = self.fronts[front].take_process();
        self.fronts[front].lingers.set(true);
        let fleet = self.clone();
        let ended = spawn_local(async move { fleet.end(front, child, &[], Duration::ZERO).await });
        let closed = spawn_local(self.clone().no_new_clients(front));
        sleep(gap).await;
        // New clients come again only once the successor takes them.
        let _ = closed.await;
        self.start(front).await;
        let _ = ended.await;
        self.fronts[front].lingers.set(false);
    }

    /// Starts another process beside a front's first, which is told to end once the other is ready.
    async fn replace(self: &Rc<Self>, front: usize, further: &[Signal], gap: Duration) {
        let child = self.fronts[front].take_process();
        self.start(front).await;
        sleep(Duration::from_secs_f64(BESIDE)).await;
        self.end(front, child, further, gap).await;
    }

    /// Starts another process beside a front's first, and ends it before it is ready.
    async fn end_before_ready(self: &Rc<Self>, front: usize, gap: Duration) {
        match self.fronts[front].spawn(Stdio::null()) {
            Ok(child) => {
                sleep(gap).await;
                self.end_early(front, child).await;
            }
            Err(e) => self.note_end(front, format!("another process did not start: {e}")),
        }
    }

    /// Has a front's process read an unusable file, a usable one, and that twice more.
    async fn hangups(&self, front: usize, gap: Duration) {
        for usable in [false, true, true, true] {
            self.fronts[front].reload(usable);
            sleep(gap).await;
        }
        sleep(Duration::from_secs_f64(RELOADED)).await;
        if !self.fronts[front].runs() {
            self.note_end(front, "it ended by itself after SIGHUP".into());
        }
    }

    /// New connections come for a while after a front was told to end.
    async fn no_new_clients(self: Rc<Self>, front: usize) {
        sleep(Duration::from_secs_f64(COMING)).await;
        self.fronts[front].address.set(None);
    }

    /// SIGTERM, then what comes further, then SIGKILL as early as it may come.
    async fn end(&self, front: usize, child: Option<Child>, further: &[Signal], gap: Duration) {
        let Some(mut child) = child else {
            return self.note_end(front, "it had no process".into());
        };
        if !matches!(child.try_wait(), Ok(None)) {
            return self.note_end(front, "it ended by itself".into());
        }
        send(&child, Signal::SIGTERM);
        self.fronts[front].terminations.note(std::time::Instant::now());
        let kill_at = Instant::now() + EARLIEST_KILL;
        for &more in further {
            sleep(gap).await;
            send(&child, more);
        }
        match timeout_at(kill_at, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => self.note_end(front, format!("its exit was not 0: {status:?}")),
            Err(_) => {
                let _ = child.kill().await;
                self.note_end(front, "it was still there when SIGKILL may come".into());
            }
        }
    }

    /// A process that was not ready may end by the signal itself, or with exit 0, and has to in time.
    async fn end_early(&self, front: usize, mut child: Child) {
        send(&child, Signal::SIGTERM);
        if timeout(EARLIEST_KILL, child.wait()).await.is_err() {
            let _ = child.kill().await;
            self.note_end(front, "one that was not ready was still there when SIGKILL may come".into());
        }
    }

    async fn start(&self, front: usize) {
        let seed = self.seed();
        if let Err(e) = self.start_again(front, seed).await {
            self.note_end(front, format!("it did not start again: {e}"));
        }
    }

    fn note_end(&self, front: usize, what: String) {
        let at = self.tier.unix();
        self.book.open().ends.push((at, front, what));
    }
}
