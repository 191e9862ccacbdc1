//! The attempts that nodes observe, and the interface that they report them to.

/// One attempt as a node observed it.
#[derive(Debug, Clone, Copy)]
pub struct ObservedAttempt {
    /// When it arrived, in Unix seconds.
    pub at: f64,
    pub node: usize,
    pub front: usize,
    pub object: u64,
    /// Work in seconds of sending at the full rate.
    pub work: f64,
    /// The idempotency key, if any.
    pub key: Option<u64>,
    pub hit: bool,
    /// The object was filled from a parent or the origin.
    pub filled: bool,
    /// The fill came from the origin.
    pub origin: bool,
}

/// Receives the observations of the nodes.
pub trait Record: Send + Sync + 'static {
    /// An attempt arrived and is in flight; returns its number.
    fn attempt_started(&self, came: ObservedAttempt) -> usize;
    /// The attempt of this number ended, at a Unix time in seconds.
    fn attempt_ended(&self, attempt: usize, at: f64);
    /// A transfer completed this many seconds later than the link scheduled it.
    fn transfer_late(&self, seconds: f64);
}
