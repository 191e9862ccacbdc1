//! What lies above the caches: parents, and the origin.

use super::caches::CopyStore;
use onyxyoke::interface::{Node, NodeId};
use std::collections::HashMap;

/// Kinds of nodes in the settings.
const PARENT_KIND: u16 = 1;
const ORIGIN_KIND: u16 = 2;
const ORIGIN: NodeId = NodeId(2_000);
const FIRST_PARENT: u64 = 1_000;
const PARENTS: u64 = 4;
/// Parents and the origin have room for all fills.
const WEIGHT: f64 = 100.0;
/// Copies that a parent holds at most.
const PARENT_CAPACITY: usize = 20_000;

/// The wait for a parent, and what the origin adds to it (seconds).
pub const PARENT_WAIT: f64 = 0.03;
pub const ORIGIN_WAIT: f64 = 0.06;

/// What a cache gets from above.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAnswer {
    FromParent,
    FromOrigin,
    /// The parent has no copy, and was not to fetch one.
    NotHeld,
}

fn is_parent(id: NodeId) -> bool {
    (FIRST_PARENT..FIRST_PARENT + PARENTS).contains(&id.0)
}

/// The parents' copies. The origin has every object.
#[derive(Default)]
pub struct Upstream {
    copies: HashMap<NodeId, CopyStore>,
}

impl Upstream {
    /// The parents and the origin as the list of the nodes tells of them.
    pub fn listed() -> impl Iterator<Item = Node> {
        let node = |id, kind| Node { id, kind, weight: WEIGHT, ..Node::default() };
        let parents = (0..PARENTS).map(move |i| node(NodeId(FIRST_PARENT + i), PARENT_KIND));
        parents.chain([node(ORIGIN, ORIGIN_KIND)])
    }

    /// An object's parent by hash, for plain policies.
    pub fn parent_of(object: u64) -> NodeId {
        NodeId(FIRST_PARENT + object % PARENTS)
    }

    /// A cache asks `source` for an object; unless `only_if_cached` is set, a parent fetches what it lacks.
    /// Any other source is a fault of the front that named it, since it was on none of its lists.
    pub fn fetch(&mut self, source: NodeId, object: u64, only_if_cached: bool) -> UpstreamAnswer {
        assert!(source == ORIGIN || is_parent(source), "a listed source, not {source:?}");
        let copies = self.copies.entry(source).or_default();
        if source != ORIGIN && copies.contains(object) {
            return UpstreamAnswer::FromParent;
        }
        if only_if_cached && source != ORIGIN {
            return UpstreamAnswer::NotHeld;
        }
        copies.insert(object, PARENT_CAPACITY);
        UpstreamAnswer::FromOrigin
    }
}
