//! What a run plays: the fronts, the caches, the load on them and the faults.

use super::plain::Policy;

/// A fault, the caches that it hits (by index), and when it starts and ends (seconds from the start of the run).
#[derive(Debug, Clone)]
pub struct Fault {
    pub kind: FaultKind,
    pub caches: Vec<usize>,
    pub from: f64,
    pub until: f64,
}

/// What may go wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// The caches' links are so many times as narrow.
    Slow(f64),
    /// The caches are gone, and come back empty and cold.
    Gone,
    /// One object is this share of all requests; no cache is named.
    Hot(f64),
    /// All copies at all caches are dropped.
    Emptied,
    /// All fronts start again and know nothing.
    FrontsRestart,
    /// This share of the fronts is gone, their clients go to the others, and they come back knowing nothing.
    FrontsGone(f64),
}

/// The input of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub fronts: usize,
    pub caches: usize,
    /// Requests a second of one front in the mean.
    pub request_rate: f64,
    /// Share of the fronts that sees `busy_factor` times the rate of the others.
    pub busy_share: f64,
    pub busy_factor: f64,
    /// Exponent of the objects' popularity.
    pub zipf_exponent: f64,
    pub objects: u64,
    /// Link sizes of the first, the second cache, and so on in turn, in transfers at full pace.
    pub link_sizes: Vec<f64>,
    /// Mean sending time of an object at full pace (seconds).
    pub mean_work: f64,
    /// Length of the run (seconds).
    pub duration: f64,
    pub seed: u64,
    pub faults: Vec<Fault>,
    /// A plain policy that chooses in place of the director.
    pub policy: Option<Policy>,
}

impl Scenario {
    /// The link size of a cache.
    pub fn link_size(&self, cache: usize) -> f64 {
        self.link_sizes[cache % self.link_sizes.len()]
    }
}
