//! The input of a run: the fronts, the caches, the load on them and the faults.

use super::plain::Policy;

/// A fault, the caches that it affects (by index), and its start and end (seconds from the start of the run).
#[derive(Debug, Clone)]
pub struct Fault {
    pub kind: FaultKind,
    pub caches: Vec<usize>,
    pub from: f64,
    pub until: f64,
}

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// The caches' link sizes are divided by this factor.
    SlowLinks(f64),
    /// The caches are down, and come back empty and cold.
    CachesDown,
    /// One object gets this share of all requests; no cache is named.
    HotObject(f64),
    /// All copies at all caches are dropped.
    CachesEmptied,
    /// All fronts restart without any state.
    FrontsRestart,
    /// This share of the fronts is down and their clients use the others; the fronts come back without any
    /// state.
    FrontsDown(f64),
}

/// The input of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub fronts: usize,
    pub caches: usize,
    /// Mean requests per second of one front.
    pub request_rate: f64,
    /// Share of the fronts that receive `busy_factor` times the rate of the others.
    pub busy_share: f64,
    pub busy_factor: f64,
    /// Exponent of the objects' popularity.
    pub zipf_exponent: f64,
    pub objects: u64,
    /// Link sizes, assigned to the caches in rotation, in concurrent transfers at full pace.
    pub link_sizes: Vec<f64>,
    /// Mean sending time of an object at full pace (seconds).
    pub mean_work: f64,
    /// Length of the run (seconds).
    pub duration: f64,
    pub seed: u64,
    pub faults: Vec<Fault>,
    /// The plain policy that chooses in place of the director, if any.
    pub policy: Option<Policy>,
}

impl Scenario {
    /// Returns the link size of a cache.
    pub fn link_size(&self, cache: usize) -> f64 {
        self.link_sizes[cache % self.link_sizes.len()]
    }
}
