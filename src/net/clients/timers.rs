//! How long a client connection waits, and for what.

use crate::clock;
use tokio::io::Interest;

/// An idle connection is closed after this (seconds). Clients close theirs after 4 s.
pub(super) const IDLE: f64 = 5.0;
/// One that has said nothing whole is closed this long after it was made (seconds).
const SPEAK: f64 = 2.0;
/// A frame is to be whole this long after its first byte (seconds).
pub(super) const WHOLE: f64 = 2.0;
/// One that takes nothing of what it is sent is closed after this (seconds): what it holds is late by then,
/// and its bytes are counted against everybody's.
pub(super) const STALLED: f64 = 5.0;

/// When a connection's waits end (Unix seconds).
pub(super) struct Timers {
    /// It has been idle for too long.
    pub(super) idle_at: f64,
    /// It has taken nothing of what it is sent for too long.
    pub(super) stalled_at: f64,
    /// It is to have said something usable.
    pub(super) speak_by: f64,
    /// The frame that has begun is to be whole.
    pub(super) whole_by: Option<f64>,
    /// The client is to have taken what the system holds for it: longer after an idle connection would be closed, since the
    /// client cannot see the end of this one.
    pub(super) taken_by: Option<f64>,
    /// It is not closed before, since the client is to acknowledge by then what it was sent just now.
    pub(super) acknowledged_by: f64,
}

impl Timers {
    /// For a connection that is made now.
    pub(super) fn new(now: f64) -> Self {
        Timers {
            idle_at: now + IDLE,
            stalled_at: now + STALLED,
            speak_by: now + SPEAK,
            whole_by: None,
            taken_by: None,
            acknowledged_by: now,
        }
    }

    /// Something has come, or is to go.
    pub(super) fn active(&mut self) {
        self.idle_at = clock::now() + IDLE;
    }
}

/// What a connection waits for in one turn.
pub(super) struct Wait {
    pub(super) now: f64,
    /// Answers are unsent.
    pub(super) writes: bool,
    /// Nothing is open and all is written, but the client's system is known to have no room for all of it.
    pub(super) untaken: bool,
    /// Nothing is open, and nothing is known to be unsent.
    pub(super) idle: bool,
    /// Nothing is read, since too much is unsent, or the front ends.
    pub(super) held_back: bool,
    /// When frames are taken again, where its client has sent too many (Unix seconds).
    pub(super) throttled_until: Option<f64>,
    /// It has taken nothing of what it is sent by then.
    pub(super) stalled_by: f64,
    /// The first of its timers.
    pub(super) until: Option<f64>,
}

impl Wait {
    /// Is nothing read for now?
    pub(super) fn reads_paused(&self) -> bool {
        self.held_back || self.throttled_until.is_some()
    }

    /// What the socket is to be ready for.
    pub(super) fn interest(&self) -> Interest {
        match (self.reads_paused(), self.writes) {
            (true, _) => Interest::WRITABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (false, false) => Interest::READABLE,
        }
    }
}
