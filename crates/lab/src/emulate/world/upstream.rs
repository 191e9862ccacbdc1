//! The level above the caches: parents and the origin.

use super::caches::CopyStore;
use onyxyoke::interface::{Node, NodeId};
use std::collections::HashMap;

/// Kinds of nodes in the settings.
const PARENT_KIND: u16 = 1;
const ORIGIN_KIND: u16 = 2;
const ORIGIN_ID: NodeId = NodeId(2_000);
const FIRST_PARENT_ID: u64 = 1_000;
const PARENT_COUNT: u64 = 4;
/// Weight of parents and the origin, enough for all fills.
const UPSTREAM_WEIGHT: f64 = 100.0;
/// Largest number of copies in a parent.
const PARENT_CAPACITY: usize = 20_000;

/// Wait for a parent, and what a fetch from the origin adds to it (seconds).
pub const PARENT_WAIT_S: f64 = 0.03;
pub const ORIGIN_WAIT_S: f64 = 0.06;

/// The answer to a cache's fill from a parent or the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAnswer {
    FromParent,
    FromOrigin,
    /// The parent has no copy and must not fetch one.
    NotHeld,
}

fn is_parent(id: NodeId) -> bool {
    (FIRST_PARENT_ID..FIRST_PARENT_ID + PARENT_COUNT).contains(&id.0)
}

/// Copies by parent. The origin has every object.
#[derive(Default)]
pub struct Upstream {
    copies: HashMap<NodeId, CopyStore>,
}

impl Upstream {
    /// Returns the entries of the parents and the origin in the list of nodes.
    pub fn node_entries() -> impl Iterator<Item = Node> {
        let node = |id, kind| Node { id, kind, weight: UPSTREAM_WEIGHT, ..Node::default() };
        let parents = (0..PARENT_COUNT).map(move |i| node(NodeId(FIRST_PARENT_ID + i), PARENT_KIND));
        parents.chain([node(ORIGIN_ID, ORIGIN_KIND)])
    }

    /// Returns an object's parent by hash, for plain policies.
    pub fn parent_of(object: u64) -> NodeId {
        NodeId(FIRST_PARENT_ID + object % PARENT_COUNT)
    }

    /// Fetches an object from `source` for a cache; unless `only_if_cached` is set, a parent fetches an
    /// object that it lacks. Panics on any other source, which the front can't know, as it was on none of its
    /// lists.
    pub fn fetch(&mut self, source: NodeId, object: u64, only_if_cached: bool) -> UpstreamAnswer {
        assert!(source == ORIGIN_ID || is_parent(source), "a listed source, not {source:?}");
        let copies = self.copies.entry(source).or_default();
        if source != ORIGIN_ID && copies.contains(object) {
            return UpstreamAnswer::FromParent;
        }
        if only_if_cached && source != ORIGIN_ID {
            return UpstreamAnswer::NotHeld;
        }
        copies.insert(object, PARENT_CAPACITY);
        UpstreamAnswer::FromOrigin
    }
}
