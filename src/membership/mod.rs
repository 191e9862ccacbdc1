//! The view of the cache nodes: the list of nodes with the operators' cordons applied. The director and every
//! attempt use this view. It does no I/O and reads no clock: the caller passes the time.
//!
//! A cordoned node is draining in the view, whatever the list says, until it is uncordoned. An uncordoned
//! node is ready since that moment in the view: operators have usually restarted it meanwhile, and its cache
//! is cold.

use crate::interface::{Node, NodeId, NodeState};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

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

/// The overrides that outlive the process: the cordons, and the times of recent uncordons.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SavedOverrides {
    /// The cordoned nodes, ordered by id.
    pub cordoned: Vec<NodeId>,
    /// Uncordoned nodes, with the time of the uncordon (Unix seconds).
    pub uncordoned: Vec<(NodeId, f64)>,
}

/// The view of the cache nodes.
#[derive(Debug, Default)]
pub struct Membership {
    /// The listed nodes as the list states them; removed nodes are absent.
    listed: FxHashMap<NodeId, Node>,
    cordoned: BTreeSet<NodeId>,
    /// Times of uncordons (Unix seconds), also of nodes that are not listed: a node may be listed again while
    /// still cold. An old time has no effect, since the later of it and the list's time counts. Beyond
    /// [`MAX_CORDONS`] entries the oldest is evicted.
    uncordoned: FxHashMap<NodeId, f64>,
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

    /// Returns a node as the director is to see it.
    fn view_of(&self, mut node: Node) -> Node {
        if node.state == NodeState::Ready && self.cordoned.contains(&node.id) {
            node.state = NodeState::Draining;
        }
        if let Some(&at) = self.uncordoned.get(&node.id) {
            node.ready_at = node.ready_at.max(at);
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

    /// Returns whether this node is cordoned.
    pub fn is_cordoned(&self, id: NodeId) -> bool {
        self.cordoned.contains(&id)
    }

    /// Returns the memory of its tables (bytes).
    pub fn footprint(&self) -> usize {
        let entry = size_of::<(NodeId, Node)>() + size_of::<(NodeId, f64)>() + 1;
        (self.listed.capacity() + self.uncordoned.capacity()) * entry
            + self.cordoned.len() * 3 * size_of::<NodeId>()
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
        if !self.listed.contains_key(&id) && !self.cordoned.contains(&id) {
            return Err(format!("{name} is on no list here"));
        }
        if cordon && !self.cordoned.contains(&id) && self.cordoned.len() >= MAX_CORDONS {
            return Err(format!("{MAX_CORDONS} nodes are cordoned already; uncordon one first"));
        }
        let changed = self.set_cordon(now, id, cordon);
        let message = match (cordon, changed) {
            (true, true) => format!("{name} cordoned"),
            (true, false) => format!("{name} was cordoned already"),
            (false, true) => format!("{name} uncordoned; it starts cold"),
            (false, false) => format!("{name} was not cordoned"),
        };
        Ok((message, self.listed.get(&id).filter(|_| changed).map(|node| self.view_of(*node))))
    }

    /// Cordons or uncordons a node; returns whether that changed anything.
    fn set_cordon(&mut self, now: f64, id: NodeId, cordon: bool) -> bool {
        match cordon {
            true => self.cordoned.insert(id),
            false => {
                let removed = self.cordoned.remove(&id);
                if removed {
                    self.record_uncordon(id, now);
                }
                removed
            }
        }
    }

    /// Records the time of an uncordon.
    fn record_uncordon(&mut self, id: NodeId, at: f64) {
        self.uncordoned.insert(id, at);
        if self.uncordoned.len() > MAX_CORDONS
            && let Some((&oldest, _)) = self.uncordoned.iter().min_by(|a, b| a.1.total_cmp(b.1))
        {
            self.uncordoned.remove(&oldest);
        }
    }

    /// Returns the overrides to save for a successor: the cordons, and the uncordons of the last `cold`
    /// seconds.
    pub fn saved_overrides(&self, now: f64, cold: f64) -> SavedOverrides {
        let mut uncordoned: Vec<_> =
            self.uncordoned.iter().filter(|(_, at)| now - **at < cold).map(|(&i, &a)| (i, a)).collect();
        uncordoned.sort_by_key(|entry| entry.0);
        SavedOverrides { cordoned: self.cordoned.iter().copied().collect(), uncordoned }
    }

    /// Applies the overrides that another process of this front, or its predecessor, saved. The set of
    /// cordons is replaced; of two times of an uncordon the later is kept. Returns the nodes whose view
    /// changed.
    pub fn restore(&mut self, now: f64, saved: &SavedOverrides) -> Vec<Node> {
        let wanted: BTreeSet<NodeId> = saved.cordoned.iter().copied().take(MAX_CORDONS).collect();
        let mut changed: Vec<NodeId> = wanted.symmetric_difference(&self.cordoned).copied().collect();
        let removed: Vec<NodeId> = self.cordoned.difference(&wanted).copied().collect();
        removed.into_iter().for_each(|id| self.record_uncordon(id, now));
        self.cordoned = wanted;
        for &(id, at) in &saved.uncordoned {
            if self.uncordoned.get(&id).is_none_or(|&known| at > known) {
                self.record_uncordon(id, at);
                changed.push(id);
            }
        }
        changed.sort_unstable();
        changed.dedup();
        changed.iter().filter_map(|id| self.listed.get(id)).map(|node| self.view_of(*node)).collect()
    }
}

impl SavedOverrides {
    /// Applies a cordon or uncordon to the saved state alone, as [`Membership::apply_override`] does to the
    /// view: a cordon is added once; an uncordon removes it and records the time.
    pub fn apply(&mut self, action: OperatorOverride, now: f64) {
        match action {
            OperatorOverride::Cordon(id) if !self.cordoned.contains(&id) => self.cordoned.push(id),
            OperatorOverride::Uncordon(id) if self.cordoned.contains(&id) => {
                self.cordoned.retain(|c| *c != id);
                self.uncordoned.retain(|entry| entry.0 != id);
                self.uncordoned.push((id, now));
            }
            _ => {}
        }
    }

    /// Formats the state file: a line `cordon ID` for each cordon, and `woke ID UNIX` for each uncordoned
    /// node.
    pub fn to_text(&self) -> String {
        let cordons = self.cordoned.iter().map(|id| format!("cordon s-{:08x}\n", id.0));
        let uncordons = self.uncordoned.iter().map(|(id, at)| format!("woke s-{:08x} {at:.3}\n", id.0));
        cordons.chain(uncordons).collect()
    }

    /// Parses the state file. Returns an error message for each invalid line, beside the state that the other
    /// lines hold.
    pub fn parse(text: &str) -> (SavedOverrides, Vec<String>) {
        let (mut saved, mut errors) = (SavedOverrides::default(), Vec::new());
        for (i, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            let words: Vec<&str> = line.split_ascii_whitespace().collect();
            let parsed = match words[..] {
                ["cordon", node] => node_id(node).map(|node| saved.cordoned.push(node)),
                ["woke", node, at] => {
                    node_id(node).zip(at.parse::<f64>().ok()).map(|entry| saved.uncordoned.push(entry))
                }
                _ => None,
            };
            if parsed.is_none() {
                errors.push(format!("line {}: '{line}' is neither 'cordon ID' nor 'woke ID UNIX'", i + 1));
            }
        }
        (saved, errors)
    }
}

#[cfg(test)]
mod model;
