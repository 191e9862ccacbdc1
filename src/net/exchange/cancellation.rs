//! Attempts that are cancelled: in flight until their cancel is sent.

use crate::broker::AttemptId;
use crate::net::{Buffer, lines};
use std::collections::VecDeque;

/// An attempt that was cancelled, and when.
#[derive(Clone, Copy)]
pub(super) struct CancelledAttempt {
    pub(super) attempt_id: AttemptId,
    pub(super) since: f64,
}

/// A cancel that is not encoded.
struct QueuedCancel {
    call: Box<str>,
    attempt: CancelledAttempt,
}

/// A cancel that is encoded and not known to be sent.
struct EncodedCancel {
    /// Where on the connection it ends.
    end: u64,
    attempt: CancelledAttempt,
}

/// Cancels on their way to the node, in order.
#[derive(Default)]
pub(super) struct CancelQueue {
    queued: VecDeque<QueuedCancel>,
    encoded: VecDeque<EncodedCancel>,
}

impl CancelQueue {
    /// How many attempts wait until their cancel is sent.
    pub(super) fn len(&self) -> usize {
        self.queued.len() + self.encoded.len()
    }

    /// Is there a cancel that is not encoded?
    pub(super) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Is there a cancel that is encoded and not known to be sent?
    pub(super) fn has_encoded(&self) -> bool {
        !self.encoded.is_empty()
    }

    /// Is a whole cancel among the first `taken` bytes, and not known to be sent?
    pub(super) fn is_taken(&self, taken: u64) -> bool {
        self.encoded.front().is_some_and(|cancel| cancel.end <= taken)
    }

    /// Queues the cancel of this call.
    pub(super) fn push(&mut self, call: Box<str>, attempt: CancelledAttempt) {
        self.queued.push_back(QueuedCancel { call, attempt });
    }

    /// Since when the oldest waits.
    pub(super) fn oldest_since(&self) -> Option<f64> {
        let encoded = self.encoded.front().map(|cancel| cancel.attempt);
        let oldest = encoded.or(self.queued.front().map(|cancel| cancel.attempt));
        oldest.map(|attempt| attempt.since)
    }

    /// Encodes what is queued, as far as there is memory, behind the first `position` bytes of the connection. Gives
    /// the new position.
    pub(super) fn encode(&mut self, mut position: u64, out: &mut Buffer) -> u64 {
        while let Some(cancel) = self.queued.pop_front() {
            let length_before = out.len();
            if !lines::write_cancel(out, &cancel.call) {
                self.queued.push_front(cancel);
                break;
            }
            position += (out.len() - length_before) as u64;
            self.encoded.push_back(EncodedCancel { end: position, attempt: cancel.attempt });
        }
        position
    }

    /// Takes the next attempt whose cancel is among the first `sent` bytes.
    pub(super) fn pop_sent(&mut self, sent: u64) -> Option<CancelledAttempt> {
        let sent = self.encoded.pop_front_if(|cancel| cancel.end <= sent);
        sent.map(|cancel| cancel.attempt)
    }

    /// Takes all, oldest first.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = CancelledAttempt> {
        let encoded = self.encoded.drain(..).map(|cancel| cancel.attempt);
        encoded.chain(self.queued.drain(..).map(|cancel| cancel.attempt))
    }
}
