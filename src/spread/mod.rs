//! Load distribution over the caches by fronts that each see little of the load and exchange nothing:
//! placement of objects by link size and popularity, even use of the caches by each front, slow start of cold
//! caches, and the return of a cache that was avoided. There is no I/O, no clock and no random generator
//! here: what differs between fronts is drawn by hash.

mod parent_ring;
mod popularity;
mod reasons;
mod recent_work;
mod rendezvous;
mod slow_start;

/// Version of the rule that places objects on caches. Fronts of one location that follow different versions
/// would halve the hits, so a build with another version is rolled out by whole locations.
pub const HOME_RULE_VERSION: u32 = 2;

pub use parent_ring::ParentRing;
pub use popularity::PopularitySketch;
pub use reasons::{ReasonCounts, RoutingReason};
pub use recent_work::RecentWork;
pub use rendezvous::{RendezvousOrder, WeightedCache, unit_hash};
pub use slow_start::{SlowStart, SlowStartRequest};
