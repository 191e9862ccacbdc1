//! Why caches were chosen, in counts: what an operator reads in one front's log to tell how its load spreads.

use std::fmt;

/// Why an attempt went to the cache that it went to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutingReason {
    /// It is the object's home by hash.
    #[default]
    Hash,
    /// It was seen to hold the object.
    Belief,
    /// It is one of several homes of a hot object, the one that this front used least.
    Heat,
    /// Nothing is kept of what was asked, so that any cache would do: the one that this front used least.
    Free,
    /// All that came first looked full.
    Spread,
    /// It had been blamed, and this is its trial.
    Trial,
    /// It is cold, and this front had the turn.
    Cold,
}

impl RoutingReason {
    /// The first sign that holds, of a trial, a cold cache, spreading, nothing kept, heat and belief; else the hash.
    pub fn from_flags(signs: [bool; 6]) -> RoutingReason {
        let order = [
            RoutingReason::Trial,
            RoutingReason::Cold,
            RoutingReason::Spread,
            RoutingReason::Free,
            RoutingReason::Heat,
            RoutingReason::Belief,
        ];
        signs.iter().zip(order).find(|(sign, _)| **sign).map_or(RoutingReason::Hash, |(_, why)| why)
    }

    /// All, with their names in the log.
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

/// Attempts by why their cache was chosen, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReasonCounts([u64; RoutingReason::ALL.len()]);

impl ReasonCounts {
    /// One more.
    pub fn count(&mut self, why: RoutingReason) {
        self.0[why as usize] += 1;
    }

    /// How many.
    pub fn of(&self, why: RoutingReason) -> u64 {
        self.0[why as usize]
    }
}

impl fmt::Display for ReasonCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "choices")?;
        RoutingReason::ALL.iter().try_for_each(|(why, name)| write!(f, " {name}={}", self.of(*why)))
    }
}
