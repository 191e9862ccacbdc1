//! Counts of why each cache was chosen: the log of a front shows an operator how its load is distributed.

use std::fmt;

/// Why an attempt was sent to the cache that it was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutingReason {
    /// The cache is the object's home by hash.
    #[default]
    Hash,
    /// The cache was observed to hold the object.
    Belief,
    /// The cache is one of several homes of a hot object, the one that this front used least.
    Heat,
    /// The object is never kept, so any cache serves equally well: the one that this front used least.
    Free,
    /// The caches that come first for the object all looked full.
    Spread,
    /// The cache had been excluded for failures, and this attempt is its trial.
    Trial,
    /// The cache is in slow start, and its budget had room for this front.
    Cold,
}

impl RoutingReason {
    /// The first flag that is set, in the order trial, cold cache, spreading, never kept, hot object, belief;
    /// the hash if none is.
    pub fn from_flags(flags: [bool; 6]) -> RoutingReason {
        let order = [
            RoutingReason::Trial,
            RoutingReason::Cold,
            RoutingReason::Spread,
            RoutingReason::Free,
            RoutingReason::Heat,
            RoutingReason::Belief,
        ];
        flags.iter().zip(order).find(|(flag, _)| **flag).map_or(RoutingReason::Hash, |(_, reason)| reason)
    }

    /// All reasons with their names in the log.
    pub const ALL: [(RoutingReason, &'static str); 7] = [
        (RoutingReason::Hash, "hash"),
        (RoutingReason::Belief, "belief"),
        (RoutingReason::Heat, "heat"),
        (RoutingReason::Free, "free"),
        (RoutingReason::Spread, "spread"),
        (RoutingReason::Trial, "trial"),
        (RoutingReason::Cold, "cold"),
    ];
}

/// Attempts since the start, by the reason for the choice of their cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReasonCounts([u64; RoutingReason::ALL.len()]);

impl ReasonCounts {
    /// Counts one attempt.
    pub fn count(&mut self, reason: RoutingReason) {
        self.0[reason as usize] += 1;
    }

    /// The number of attempts with this reason.
    pub fn of(&self, reason: RoutingReason) -> u64 {
        self.0[reason as usize]
    }
}

impl fmt::Display for ReasonCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "choices")?;
        RoutingReason::ALL.iter().try_for_each(|(reason, name)| write!(f, " {name}={}", self.of(*reason)))
    }
}
