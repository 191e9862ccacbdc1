//! What a front itself sent to each cache lately. A front that keeps its own load even, as far as it is free
//! to, makes the load of all even: whatever the hash gives a cache too much of, each front sees in its own
//! small sample, and in the sum of many fronts the samples' noise cancels.

/// Span over which what was sent fades (seconds).
const MEMORY: f64 = 60.0;

/// The work that one cache was sent, in seconds of sending; it fades.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentWork {
    work: f64,
    at: f64,
}

impl RecentWork {
    /// A cache that comes new is given what the others have in the mean: one that begins with nothing would
    /// draw all that fronts are free to choose about.
    pub fn new(now: f64, work: f64) -> RecentWork {
        RecentWork { work, at: now }
    }

    /// So much was sent.
    pub fn add(&mut self, now: f64, work: f64) {
        *self = RecentWork { work: self.decayed(now) + work, at: now };
    }

    /// What is left of it by now.
    pub fn decayed(&self, now: f64) -> f64 {
        self.work * ((self.at - now) / MEMORY).exp()
    }
}
