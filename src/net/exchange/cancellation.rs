//! Cancelled attempts, which are in flight until their cancel is sent.

use crate::broker::AttemptId;
use crate::net::{Buffer, lines};
use std::collections::VecDeque;

/// An attempt that was cancelled.
#[derive(Clone, Copy)]
pub(super) struct CancelledAttempt {
    pub(super) attempt_id: AttemptId,
    /// When it was cancelled (Unix seconds).
    pub(super) since: f64,
}

/// A cancel that is not encoded.
struct QueuedCancel {
    call: Box<str>,
    attempt: CancelledAttempt,
}

/// A cancel that is encoded and not known to be sent.
struct EncodedCancel {
    /// Position of its end in the bytes of the connection.
    end: u64,
    attempt: CancelledAttempt,
}

/// Cancels that are not known to be sent, in order.
#[derive(Default)]
pub(super) struct CancelQueue {
    queued: VecDeque<QueuedCancel>,
    encoded: VecDeque<EncodedCancel>,
}

impl CancelQueue {
    /// Returns the number of cancels that are not known to be sent.
    pub(super) fn len(&self) -> usize {
        self.queued.len() + self.encoded.len()
    }

    /// Returns whether a cancel is not encoded.
    pub(super) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns whether a cancel is encoded and not known to be sent.
    pub(super) fn has_encoded(&self) -> bool {
        !self.encoded.is_empty()
    }

    /// Returns whether a whole cancel that is not known to be sent is among the first `written` bytes.
    pub(super) fn has_written(&self, written: u64) -> bool {
        self.encoded.front().is_some_and(|cancel| cancel.end <= written)
    }

    /// Queues the cancel of a call.
    pub(super) fn push(&mut self, call: Box<str>, attempt: CancelledAttempt) {
        self.queued.push_back(QueuedCancel { call, attempt });
    }

    /// Returns since when the oldest cancel waits (Unix seconds).
    pub(super) fn oldest_since(&self) -> Option<f64> {
        let encoded = self.encoded.front().map(|cancel| cancel.attempt);
        let oldest = encoded.or(self.queued.front().map(|cancel| cancel.attempt));
        oldest.map(|attempt| attempt.since)
    }

    /// Encodes queued cancels, as far as there is memory, behind the first `position` bytes of the
    /// connection. Returns the new position.
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

    /// Removes and returns the next attempt whose cancel is among the first `sent` bytes.
    pub(super) fn pop_sent(&mut self, sent: u64) -> Option<CancelledAttempt> {
        let cancel = self.encoded.pop_front_if(|cancel| cancel.end <= sent);
        cancel.map(|cancel| cancel.attempt)
    }

    /// Removes and returns all attempts, oldest first.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = CancelledAttempt> {
        let encoded = self.encoded.drain(..).map(|cancel| cancel.attempt);
        encoded.chain(self.queued.drain(..).map(|cancel| cancel.attempt))
    }
}
