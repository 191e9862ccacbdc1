//! Process cycles of a front: signal series, SIGKILL at the earliest time that the platform may send it, and
//! the start of a successor.

use super::Fleet;
use super::faults::{NEW_CONNECTIONS_AFTER_TERM_S, OVERLAP_S};
use super::fronts::send_signal;
use super::plan::SignalSeries;
use super::record::Cycle;
use nix::sys::signal::Signal;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// SIGKILL follows SIGTERM no earlier than this: the longest deadline, capped at 3 s, plus 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Time between the last reload of the settings and the check that the process still runs (seconds).
const RELOAD_SETTLE_S: f64 = 0.3;

impl Fleet {
    /// Runs the signal series on these fronts, starting them at even intervals over the span.
    pub async fn cycle_each(
        self: &Rc<Self>,
        fronts: &[usize],
        series: SignalSeries,
        gap_s: f64,
        span: Duration,
    ) {
        let interval = span / fronts.len().max(1) as u32;
        for &front in fronts {
            let fleet = self.clone();
            spawn_local(async move { fleet.run_series(front, series, Duration::from_secs_f64(gap_s)).await });
            sleep(interval).await;
        }
    }

    /// Runs one signal series on a front once the series before it is over, and records its time span.
    async fn run_series(self: Rc<Self>, front: usize, series: SignalSeries, gap: Duration) {
        let _cycle_lock = self.fronts[front].cycle_lock.lock().await;
        let from = self.tier.unix_seconds();
        let index = {
            let mut seen = self.event_log.open();
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
            SignalSeries::SuccessorInTerm => self.start_successor_while_closing(front, gap).await,
            SignalSeries::Replaced => self.replace(front, &[], gap).await,
            SignalSeries::ReplacedTermTwice => self.replace(front, &[Signal::SIGTERM], gap).await,
            SignalSeries::SuccessorInHangup => {
                self.fronts[front].signal(Signal::SIGHUP);
                sleep(gap).await;
                self.replace(front, &[], gap).await;
            }
            SignalSeries::TermBeforeReady => {
                self.end_successor_before_ready(front, gap).await;
                self.restart(front, &[], gap).await;
            }
            SignalSeries::Hangups => self.reload_repeatedly(front, gap).await,
        }
        self.event_log.open().cycles[index].until = self.tier.unix_seconds();
    }

    /// Ends a front's process, and starts a successor once it has exited.
    async fn restart(self: &Rc<Self>, front: usize, further: &[Signal], gap: Duration) {
        let child = self.fronts[front].take_process();
        self.fronts[front].keeps_connections.set(true);
        let closed = spawn_local(self.clone().stop_new_connections(front));
        self.terminate(front, child, further, gap).await;
        let _ = closed.await;
        self.fronts[front].keeps_connections.set(false);
        self.start_successor(front).await;
    }

    /// Ends a front's process, and starts a successor while the old process is closing.
    async fn start_successor_while_closing(self: &Rc<Self>, front: usize, gap: Duration) {
        let child = self.fronts[front].take_process();
        self.fronts[front].keeps_connections.set(true);
        let fleet = self.clone();
        let ended = spawn_local(async move { fleet.terminate(front, child, &[], Duration::ZERO).await });
        let closed = spawn_local(self.clone().stop_new_connections(front));
        sleep(gap).await;
        // Clients open connections again only once the successor accepts them.
        let _ = closed.await;
        self.start_successor(front).await;
        let _ = ended.await;
        self.fronts[front].keeps_connections.set(false);
    }

    /// Starts a successor beside a front's process, which is ended once the successor is ready.
    async fn replace(self: &Rc<Self>, front: usize, further: &[Signal], gap: Duration) {
        let child = self.fronts[front].take_process();
        self.start_successor(front).await;
        sleep(Duration::from_secs_f64(OVERLAP_S)).await;
        self.terminate(front, child, further, gap).await;
    }

    /// Starts a second process beside a front's process, and ends the second before it is ready.
    async fn end_successor_before_ready(self: &Rc<Self>, front: usize, gap: Duration) {
        match self.fronts[front].spawn(Stdio::null()) {
            Ok(child) => {
                sleep(gap).await;
                self.terminate_unready(front, child).await;
            }
            Err(e) => self.record_wrong_end(front, format!("the successor failed to start: {e}")),
        }
    }

    /// Has a front's process reload an unusable settings file, then a usable one three times.
    async fn reload_repeatedly(&self, front: usize, gap: Duration) {
        for usable in [false, true, true, true] {
            self.fronts[front].reload(usable);
            sleep(gap).await;
        }
        sleep(Duration::from_secs_f64(RELOAD_SETTLE_S)).await;
        if !self.fronts[front].is_running() {
            self.record_wrong_end(front, "it ended by itself after SIGHUP".into());
        }
    }

    /// Lets clients open connections for a while after a front's SIGTERM, and stops them then.
    async fn stop_new_connections(self: Rc<Self>, front: usize) {
        sleep(Duration::from_secs_f64(NEW_CONNECTIONS_AFTER_TERM_S)).await;
        self.fronts[front].address.set(None);
    }

    /// Sends SIGTERM, then the further signals, then SIGKILL at its earliest time, and records an unexpected
    /// exit.
    async fn terminate(&self, front: usize, child: Option<Child>, further: &[Signal], gap: Duration) {
        let Some(mut child) = child else {
            return self.record_wrong_end(front, "it had no process".into());
        };
        if !matches!(child.try_wait(), Ok(None)) {
            return self.record_wrong_end(front, "it ended by itself".into());
        }
        send_signal(&child, Signal::SIGTERM);
        self.fronts[front].terminations.record(std::time::Instant::now());
        let kill_at = Instant::now() + EARLIEST_KILL;
        for &signal in further {
            sleep(gap).await;
            send_signal(&child, signal);
        }
        match timeout_at(kill_at, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => self.record_wrong_end(front, format!("its exit was not 0: {status:?}")),
            Err(_) => {
                let _ = child.kill().await;
                self.record_wrong_end(front, "it still ran at the earliest time of SIGKILL".into());
            }
        }
    }

    /// Ends a process that is not ready yet. It may die of SIGTERM or exit with 0, but before the earliest
    /// SIGKILL.
    async fn terminate_unready(&self, front: usize, mut child: Child) {
        send_signal(&child, Signal::SIGTERM);
        if timeout(EARLIEST_KILL, child.wait()).await.is_err() {
            let _ = child.kill().await;
            self.record_wrong_end(
                front,
                "a process that was not ready still ran at the earliest time of SIGKILL".into(),
            );
        }
    }

    async fn start_successor(&self, front: usize) {
        let seed = self.draw_seed();
        if let Err(e) = self.start_new_process(front, seed).await {
            self.record_wrong_end(front, format!("it failed to start: {e}"));
        }
    }

    /// Records a process that did not start, run or exit as it should.
    fn record_wrong_end(&self, front: usize, what: String) {
        let at = self.tier.unix_seconds();
        self.event_log.open().failed_ends.push((at, front, what));
    }
}
