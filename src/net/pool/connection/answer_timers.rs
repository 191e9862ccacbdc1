//! How long the answer that is under way may take.

/// An answer of which a part has come goes on within this. Nodes write theirs at once: none of 14,000 took 2 ms.
const ANSWER_STALL_SECONDS: f64 = 0.25;
/// An answer of which a part has come is whole within this.
const ANSWER_WHOLE_SECONDS: f64 = 1.5;
/// While there is no memory for an answer, it is asked for again; after this the answer is discarded and its request
/// refused, so that its client hears in time.
const MEMORY_WAIT_SECONDS: f64 = 0.15;

/// An answer of which a part is here.
#[derive(Clone, Copy)]
struct PartialAnswer {
    /// When its first part came.
    since: f64,
    /// When more of it is due.
    more_by: f64,
}

impl PartialAnswer {
    /// More of an answer that began then came now.
    fn continued(since: f64, now: f64) -> Self {
        PartialAnswer { since, more_by: now + ANSWER_STALL_SECONDS }
    }
}

/// The times of the answer that is under way (Unix seconds).
#[derive(Default)]
pub(super) struct AnswerTimers {
    partial: Option<PartialAnswer>,
    /// When the answer that there is no memory for is discarded.
    discard_at: Option<f64>,
}

impl AnswerTimers {
    /// When the answer counts as one that stopped short.
    pub(super) fn stalled_at(&self) -> Option<f64> {
        self.partial.map(|partial| partial.more_by.min(partial.since + ANSWER_WHOLE_SECONDS))
    }

    /// Is there no memory for the answer?
    pub(super) fn needs_memory(&self) -> bool {
        self.discard_at.is_some()
    }

    /// There is no memory for the answer; has that been so for too long?
    pub(super) fn memory_wait_is_over(&mut self, now: f64) -> bool {
        now >= *self.discard_at.get_or_insert(now + MEMORY_WAIT_SECONDS)
    }

    /// The answer waits for memory no longer.
    pub(super) fn end_memory_wait(&mut self) {
        self.discard_at = None;
    }

    /// While the answer waits for memory nothing of it is read, so that its time begins anew.
    pub(super) fn restart_while_memory_is_short(&mut self, now: f64) {
        if self.needs_memory() {
            self.partial = self.partial.map(|_| PartialAnswer::continued(now, now));
        }
    }

    /// Bytes were read. `partial`: an answer is here in part; `advanced`: something whole came before it, or was
    /// discarded, so that it begins now.
    pub(super) fn note_read(&mut self, now: f64, partial: bool, advanced: bool) {
        let began = self.partial.filter(|_| !advanced).map_or(now, |partial| partial.since);
        self.partial = partial.then_some(PartialAnswer::continued(began, now));
    }
}
