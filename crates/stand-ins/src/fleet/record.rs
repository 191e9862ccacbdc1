//! What nodes see of attempts, and where they tell it.

/// What a node saw of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct ObservedAttempt {
    /// Unix seconds.
    pub at: f64,
    pub node: usize,
    pub front: usize,
    pub object: u64,
    /// Seconds of sending at full pace.
    pub work: f64,
    /// The idempotency key, if it had one.
    pub key: Option<u64>,
    pub hit: bool,
    /// It had to be filled from above, and by the origin.
    pub filled: bool,
    pub origin: bool,
}

/// Where nodes tell what they see.
pub trait Record: Send + Sync + 'static {
    /// An attempt came; it is out from now on. Its number.
    fn came(&self, came: ObservedAttempt) -> usize;
    /// The attempt of this number is out no more, at a Unix time.
    fn ended(&self, attempt: usize, at: f64);
    /// A transfer was whole so much later than it should have been (seconds).
    fn late(&self, seconds: f64);
}
