//! The parents on a consistent-hash ring, from which the source of a fill is drawn by object: a parent is
//! asked for the objects that it holds, and all fronts draw the same ones.

use crate::interface::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each parent on the ring.
const POINTS_PER_PARENT: u64 = 16;

/// A ring of all parents, and a ring of those at this front's own hub.
#[derive(Debug, Default)]
pub struct ParentRing {
    all: Vec<(u64, NodeId)>,
    own_hub: Vec<(u64, NodeId)>,
}

impl ParentRing {
    /// Builds the rings from pairs of a parent and whether it is at this front's own hub.
    pub fn new(parents: impl Iterator<Item = (NodeId, bool)>) -> ParentRing {
        let points = |(parent, at_own_hub): (NodeId, bool)| {
            (0..POINTS_PER_PARENT)
                .map(move |i| ((xxh3_64_with_seed(&parent.0.to_le_bytes(), i), parent), at_own_hub))
        };
        let mut all: Vec<_> = parents.flat_map(points).collect();
        all.sort_unstable();
        let own_hub = all.iter().filter(|point| point.1).map(|point| point.0).collect();
        ParentRing { all: all.into_iter().map(|point| point.0).collect(), own_hub }
    }

    /// Returns whether there are no parents.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The number of parents on the ring.
    pub fn parent_count(&self) -> f64 {
        self.all.len() as f64 / POINTS_PER_PARENT as f64
    }

    /// Returns whether some parents are at other hubs.
    pub fn spans_hubs(&self) -> bool {
        self.own_hub.len() < self.all.len()
    }

    /// The parent of draw `number` for an object: with `prefer_own_hub` one of the own hub, if that has any.
    pub fn draw(&self, object: u64, number: u64, prefer_own_hub: bool) -> NodeId {
        let position = xxh3_64_with_seed(&number.to_le_bytes(), object);
        let ring = if prefer_own_hub && !self.own_hub.is_empty() { &self.own_hub } else { &self.all };
        ring[ring.partition_point(|point| point.0 < position) % ring.len()].1
    }

    /// Memory of the rings in bytes.
    pub fn footprint(&self) -> usize {
        (self.all.len() + self.own_hub.len()) * size_of::<(u64, NodeId)>()
    }
}
