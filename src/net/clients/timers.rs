//! The timers of a client connection, and what it waits for next.

use crate::clock;
use tokio::io::Interest;

/// An idle connection is closed after this time (seconds). Clients close theirs after 4 s.
pub(super) const IDLE_TIMEOUT: f64 = 5.0;
/// A new connection is closed if no usable command came within this time (seconds).
const FIRST_COMMAND_TIMEOUT: f64 = 2.0;
/// A frame must be complete this long after its first byte (seconds).
pub(super) const FRAME_TIMEOUT: f64 = 2.0;
/// A connection whose client reads none of its answers is closed after this time (seconds): the answers are
/// late by then, and their bytes count against the memory of all.
pub(super) const STALL_TIMEOUT: f64 = 5.0;

/// When a connection's timeouts expire (Unix seconds).
pub(super) struct Timers {
    /// It has been idle for too long.
    pub(super) idle_at: f64,
    /// Its client has read nothing of its answers for too long.
    pub(super) stalled_at: f64,
    /// The first usable command must have come.
    pub(super) first_command_by: f64,
    /// The frame whose first bytes have come must be complete.
    pub(super) frame_by: Option<f64>,
    /// The client must have made room for what the system still holds for it. This is later than the idle
    /// timeout, since the client cannot see an end of stream until then.
    pub(super) unblocked_by: Option<f64>,
    /// The connection is not closed before, since the client's acknowledgement of the last bytes is due by
    /// then.
    pub(super) acknowledged_by: f64,
}

impl Timers {
    /// The timers of a connection that was accepted now.
    pub(super) fn new(now: f64) -> Self {
        Timers {
            idle_at: now + IDLE_TIMEOUT,
            stalled_at: now + STALL_TIMEOUT,
            first_command_by: now + FIRST_COMMAND_TIMEOUT,
            frame_by: None,
            unblocked_by: None,
            acknowledged_by: now,
        }
    }

    /// Restarts the idle timeout, since input came or an answer is to be written.
    pub(super) fn restart_idle(&mut self) {
        self.idle_at = clock::now() + IDLE_TIMEOUT;
    }
}

/// What a connection waits for next.
pub(super) struct Wait {
    pub(super) now: f64,
    /// Answers are to be written to the socket.
    pub(super) has_unwritten: bool,
    /// No request is open and all answers are written, but the client is known to have no room for all of
    /// them.
    pub(super) send_blocked: bool,
    /// No request is open, and nothing is known to be unsent.
    pub(super) idle: bool,
    /// Nothing is read, since too much is unsent or the front ends.
    pub(super) backpressure: bool,
    /// When frames are processed again, if the client has exceeded its rate (Unix seconds).
    pub(super) throttled_until: Option<f64>,
    /// The connection is closed then if the client has read nothing of its answers (Unix seconds).
    pub(super) stalled_by: f64,
    /// The first timer to expire, if any (Unix seconds).
    pub(super) next_timer: Option<f64>,
}

impl Wait {
    /// Returns whether nothing is read for now.
    pub(super) fn reads_paused(&self) -> bool {
        self.backpressure || self.throttled_until.is_some()
    }

    /// Returns the readiness to wait for on the socket.
    pub(super) fn interest(&self) -> Interest {
        match (self.reads_paused(), self.has_unwritten) {
            (true, _) => Interest::WRITABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (false, false) => Interest::READABLE,
        }
    }
}
