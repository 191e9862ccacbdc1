//! The parents on a ring of hashes (consistent hashing), from which fills draw theirs: by object, so that a
//! parent is asked for what it holds, and the same at all fronts.

use crate::interface::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each parent on the ring.
const POINTS: u64 = 16;

/// Parents, and those of the own hub among them.
#[derive(Debug, Default)]
pub struct ParentRing {
    all: Vec<(u64, NodeId)>,
    near: Vec<(u64, NodeId)>,
}

impl ParentRing {
    /// Of these parents; each is told with whether it is at the own hub.
    pub fn new(parents: impl Iterator<Item = (NodeId, bool)>) -> ParentRing {
        let points = |(p, near): (NodeId, bool)| {
            (0..POINTS).map(move |i| ((xxh3_64_with_seed(&p.0.to_le_bytes(), i), p), near))
        };
        let mut all: Vec<_> = parents.flat_map(points).collect();
        all.sort_unstable();
        let near = all.iter().filter(|p| p.1).map(|p| p.0).collect();
        ParentRing { all: all.into_iter().map(|p| p.0).collect(), near }
    }

    /// Are there none?
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Parents, in the mean over the ring.
    pub fn parent_count(&self) -> f64 {
        self.all.len() as f64 / POINTS as f64
    }

    /// Are some at other hubs?
    pub fn spans_hubs(&self) -> bool {
        self.near.len() < self.all.len()
    }

    /// The parent of an object's draw of this number, of the own hub's where it has any and they are wanted.
    pub fn draw(&self, object: u64, number: u64, near: bool) -> NodeId {
        let point = xxh3_64_with_seed(&number.to_le_bytes(), object);
        let ring = if near && !self.near.is_empty() { &self.near } else { &self.all };
        ring[ring.partition_point(|r| r.0 < point) % ring.len()].1
    }

    /// Bytes that it takes.
    pub fn footprint(&self) -> usize {
        (self.all.len() + self.near.len()) * size_of::<(u64, NodeId)>()
    }
}
