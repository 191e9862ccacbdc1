//! The work that this front sent to each cache lately. Where a front may choose freely, it keeps its own load
//! even, and that evens the total: an excess that the hash gives a cache shows in each front's small sample,
//! and the noise of the samples cancels in the sum over many fronts.

/// Time constant of the exponential decay (seconds).
const DECAY_S: f64 = 60.0;

/// The work that one cache was sent, in seconds of sending, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentWork {
    work: f64,
    at: f64,
}

impl RecentWork {
    /// Starts at `work`. A new cache starts at the mean of the others: from 0 it would draw every attempt
    /// that fronts are free to place.
    pub fn new(now: f64, work: f64) -> RecentWork {
        RecentWork { work, at: now }
    }

    /// Adds the work of an attempt that is sent now.
    pub fn add(&mut self, now: f64, work: f64) {
        *self = RecentWork { work: self.decayed(now) + work, at: now };
    }

    /// The work that remains after decay up to `now`.
    pub fn decayed(&self, now: f64) -> f64 {
        self.work * ((self.at - now) / DECAY_S).exp()
    }
}
