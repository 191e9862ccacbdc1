//! The view of the cache nodes: the list of nodes with the operators' cordons applied. The director and every
//! attempt use this view. It does no I/O and reads no clock: the caller passes the time.
//!
//! A cordoned node is draining in the view, whatever the list says, until it is uncordoned. An uncordoned
//! node is ready since that moment in the view: operators have usually restarted it meanwhile, and its cache
//! is cold.

mod overrides;
mod shared_file;

use crate::interface::{Node, NodeId, NodeState};
pub use overrides::{Override, Overrides, milliseconds};
use rustc_hash::FxHashMap;
pub use shared_file::{EarlierBuildWrite, SharedFile};
use std::fmt;

/// Maximum number of cordoned nodes; a further cordon is refused.
pub const MAX_CORDONS: usize = 1024;

/// Parses a node's id in the form of the coordinator and the log: `s-` and 8 hexadecimal digits.
pub fn node_id(word: &str) -> Option<NodeId> {
    let digits =
        word.strip_prefix("s-").filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u32::from_str_radix(digits, 16).ok().map(|id| NodeId(id.into()))
}

/// A change that an operator makes to a node's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorOverride {
    /// Send no further requests to this node.
    Cordon(NodeId),
    /// Use the node again.
    Uncordon(NodeId),
}

impl fmt::Display for OperatorOverride {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OperatorOverride::Cordon(id) => write!(f, "cordon s-{:08x}", id.0),
            OperatorOverride::Uncordon(id) => write!(f, "uncordon s-{:08x}", id.0),
        }
    }
}

/// The view of the cache nodes.
#[derive(Debug, Default)]
pub struct Membership {
    /// The listed nodes as the list states them; removed nodes are absent.
    listed: FxHashMap<NodeId, Node>,
    /// The operators' overrides, also of nodes that are not listed: a node may be listed again while cordoned
    /// or still cold.
    overrides: Overrides,
}

impl Membership {
    /// Applies a list of nodes, full or incremental; returns the same nodes as the director is to see them.
    pub fn apply_list(&mut self, full: bool, nodes: &[Node]) -> Vec<Node> {
        if full {
            self.listed.clear();
        }
        for node in nodes {
            match node.state {
                NodeState::Withdrawn => self.listed.remove(&node.id),
                _ => self.listed.insert(node.id, *node),
            };
        }
        nodes.iter().map(|node| self.view_of(*node)).collect()
    }

    /// Returns a node as the director is to see it. An old time of an uncordon has no effect, since the later
    /// of it and the list's time counts.
    fn view_of(&self, mut node: Node) -> Node {
        let Some(entry) = self.overrides.get(node.id) else { return node };
        if node.state == NodeState::Ready && entry.cordoned {
            node.state = NodeState::Draining;
        }
        if let Some(at_ms) = entry.restarted_at_ms {
            node.ready_at = node.ready_at.max(at_ms as f64 / 1000.0);
        }
        node
    }

    /// Returns the state of a listed node in the view.
    pub fn state(&self, id: NodeId) -> Option<NodeState> {
        self.listed.get(&id).map(|node| self.view_of(*node).state)
    }

    /// Returns the number of listed nodes.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether no node is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns the listed nodes as the director sees them.
    pub fn nodes(&self) -> impl Iterator<Item = Node> + '_ {
        self.listed.values().map(|node| self.view_of(*node))
    }

    /// Returns the memory of its tables (bytes).
    pub fn footprint(&self) -> usize {
        let entry = size_of::<(NodeId, Node)>() + 1;
        self.listed.capacity() * entry + self.overrides.footprint()
    }

    /// Applies a cordon or uncordon. Returns the message for the operator, and the node as the director is to
    /// see it if that changed. Refuses a node that is neither listed nor cordoned, and a cordon beyond
    /// [`MAX_CORDONS`].
    pub fn apply_override(
        &mut self,
        now: f64,
        action: OperatorOverride,
    ) -> Result<(String, Option<Node>), String> {
        let (id, cordon) = match action {
            OperatorOverride::Cordon(id) => (id, true),
            OperatorOverride::Uncordon(id) => (id, false),
        };
        let name = format!("s-{:08x}", id.0);
        let is_cordoned = self.overrides.is_cordoned(id);
        if !self.listed.contains_key(&id) && !is_cordoned {
            return Err(format!("{name} is on no list here"));
        }
        if cordon && !is_cordoned && self.overrides.cordoned_count() >= MAX_CORDONS {
            return Err(format!("{MAX_CORDONS} nodes are cordoned already; uncordon one first"));
        }
        let changed = self.overrides.apply(now, action);
        let message = match (cordon, changed) {
            (true, true) => format!("{name} cordoned"),
            (true, false) => format!("{name} was cordoned already"),
            (false, true) => format!("{name} uncordoned; it starts cold"),
            (false, false) => format!("{name} was not cordoned"),
        };
        Ok((message, self.listed.get(&id).filter(|_| changed).map(|node| self.view_of(*node))))
    }

    /// Returns the overrides, to be saved for the other process of this front and for successors.
    pub fn overrides(&self) -> &Overrides {
        &self.overrides
    }

    /// Merges overrides that another process of this front, or its predecessor, saved. Returns the nodes
    /// whose view changed.
    pub fn merge_overrides(&mut self, saved: &Overrides) -> Vec<Node> {
        let changed = self.overrides.merge(saved);
        changed.iter().filter_map(|id| self.listed.get(id)).map(|node| self.view_of(*node)).collect()
    }
}

#[cfg(test)]
mod model;
#[cfg(test)]
mod override_tests;
