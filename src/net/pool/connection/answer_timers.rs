//! Timeouts of the answer that is being received.

/// How long the next bytes of a partly received answer may take. Nodes write an answer at once: none of
/// 14,000 took 2 ms.
const ANSWER_STALL_TIMEOUT_SECONDS: f64 = 0.25;
/// How long a whole answer may take from its first bytes.
const ANSWER_TIMEOUT_SECONDS: f64 = 1.5;
/// How long an answer may wait for memory, which is retried meanwhile. After that the answer is discarded and
/// its request refused, so that the client hears of it in time.
const MEMORY_WAIT_SECONDS: f64 = 0.15;

/// Times of an answer that has been received in part (Unix seconds).
#[derive(Clone, Copy)]
struct PartialAnswer {
    /// When its first bytes were read.
    started_at: f64,
    /// When it has stalled unless more of it is read.
    stalled_at: f64,
}

impl PartialAnswer {
    /// An answer that started at `started_at` and of which more was read at `now`.
    fn continued(started_at: f64, now: f64) -> Self {
        PartialAnswer { started_at, stalled_at: now + ANSWER_STALL_TIMEOUT_SECONDS }
    }
}

/// Timers of the answer at the head of the input (Unix seconds).
#[derive(Default)]
pub(super) struct AnswerTimers {
    partial: Option<PartialAnswer>,
    /// When an answer that waits for memory is discarded.
    discard_at: Option<f64>,
}

impl AnswerTimers {
    /// Returns when a partly received answer times out.
    pub(super) fn stalled_at(&self) -> Option<f64> {
        self.partial.map(|partial| partial.stalled_at.min(partial.started_at + ANSWER_TIMEOUT_SECONDS))
    }

    /// Returns whether the answer waits for memory.
    pub(super) fn needs_memory(&self) -> bool {
        self.discard_at.is_some()
    }

    /// Starts the wait for memory if it has not started, and returns whether it has timed out.
    pub(super) fn memory_wait_timed_out(&mut self, now: f64) -> bool {
        now >= *self.discard_at.get_or_insert(now + MEMORY_WAIT_SECONDS)
    }

    /// Ends the wait for memory.
    pub(super) fn end_memory_wait(&mut self) {
        self.discard_at = None;
    }

    /// Restarts the timeouts of an answer that waits for memory, since nothing of it is read meanwhile.
    pub(super) fn restart_if_waiting_for_memory(&mut self, now: f64) {
        if self.needs_memory() {
            self.partial = self.partial.map(|_| PartialAnswer::continued(now, now));
        }
    }

    /// Updates the timeouts after a read. `is_partial`: an answer has been received in part. `advanced`:
    /// earlier bytes were consumed or discarded, so that this answer starts now.
    pub(super) fn record_read(&mut self, now: f64, is_partial: bool, advanced: bool) {
        let started_at = self.partial.filter(|_| !advanced).map_or(now, |partial| partial.started_at);
        self.partial = is_partial.then_some(PartialAnswer::continued(started_at, now));
    }
}
