//! How the load of many fronts comes out even though each sees little of it and none can ask another: where
//! objects are at home, by the size of links and by heat; how a front keeps its own load even; what a cold
//! cache may get; how a cache that was left gets back. No I/O, no clock, no randomness of its own: what
//! differs between fronts is drawn by hash.

mod cold;
mod heat;
mod homes;
mod reasons;
mod ring;
mod share;

/// The number of the rule by which objects have homes: fronts of one location that follow different ones would halve
/// the hits, so that a build with another one is rolled out by whole locations.
pub const HOME_RULE_VERSION: u32 = 2;

pub use cold::{SlowStart, SlowStartRequest};
pub use heat::PopularitySketch;
pub use homes::{RendezvousOrder, WeightedCache, unit_hash};
pub use reasons::{ReasonCounts, RoutingReason};
pub use ring::ParentRing;
pub use share::RecentWork;
