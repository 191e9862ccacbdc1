//! One view of the cache nodes: what the list told of each, with the cordons that operators set by hand over it.
//! The director and every send go by this view. No I/O and no clock: it is given the time.
//!
//! A cordoned node is draining in the view, whatever the list says, until it is uncordoned; one that is put back
//! starts at that moment in the view, for the operators have restarted it meanwhile and it is cold.

use crate::interface::{Node, NodeId, NodeState};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Cordons held at most: beyond, a further one is refused.
pub const CORDONS: usize = 1024;

/// A node's id as the coordinator and the log write it: `s-` and 8 hexadecimal digits.
pub fn node_id(word: &str) -> Option<NodeId> {
    let digits =
        word.strip_prefix("s-").filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u32::from_str_radix(digits, 16).ok().map(|id| NodeId(id.into()))
}

/// What an operator does by hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorOverride {
    /// Nothing more to this node.
    Cordon(NodeId),
    /// Put it back.
    Uncordon(NodeId),
}

/// What survives the process: the cordons, and when nodes were put back, as far as that still tells a start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SavedOverrides {
    /// The cordoned nodes, in order.
    pub cordoned: Vec<NodeId>,
    /// Nodes put back, with when (Unix seconds).
    pub woke: Vec<(NodeId, f64)>,
}

/// The view.
#[derive(Debug, Default)]
pub struct Membership {
    /// Each node on the list as it was told; those that are gone are not here.
    told: FxHashMap<NodeId, Node>,
    cordoned: BTreeSet<NodeId>,
    /// When nodes were put back by hand, also while they are off the list: one may come back on it, still cold. An old
    /// time does no harm, for the later of it and the list's counts; beyond [`CORDONS`] the oldest is forgotten.
    woke: FxHashMap<NodeId, f64>,
}

impl Membership {
    /// Takes what the list says; gives the same nodes as the director is to see them.
    pub fn told(&mut self, full: bool, nodes: &[Node]) -> Vec<Node> {
        if full {
            self.told.clear();
        }
        for node in nodes {
            match node.state {
                NodeState::Withdrawn => self.told.remove(&node.id),
                _ => self.told.insert(node.id, *node),
            };
        }
        nodes.iter().map(|node| self.seen(*node)).collect()
    }

    /// A node as the director is to see it.
    fn seen(&self, mut node: Node) -> Node {
        if node.state == NodeState::Ready && self.cordoned.contains(&node.id) {
            node.state = NodeState::Draining;
        }
        if let Some(&at) = self.woke.get(&node.id) {
            node.ready_at = node.ready_at.max(at);
        }
        node
    }

    /// The state of a listed node in the view.
    pub fn state(&self, id: NodeId) -> Option<NodeState> {
        self.told.get(&id).map(|node| self.seen(*node).state)
    }

    /// Nodes on the list.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Is the list empty?
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// The listed nodes as the director sees them.
    pub fn nodes(&self) -> impl Iterator<Item = Node> + '_ {
        self.told.values().map(|node| self.seen(*node))
    }

    /// Is this node cordoned?
    pub fn is_cordoned(&self, id: NodeId) -> bool {
        self.cordoned.contains(&id)
    }

    /// Bytes that its tables take.
    pub fn footprint(&self) -> usize {
        let entry = size_of::<(NodeId, Node)>() + size_of::<(NodeId, f64)>() + 1;
        (self.told.capacity() + self.woke.capacity()) * entry + self.cordoned.len() * 3 * size_of::<NodeId>()
    }

    /// Carries out a call: what is to be said, and the node as the director is to see it now where that changed.
    /// Ids that are on no list and not cordoned are refused, and so is a cordon beyond [`CORDONS`].
    pub fn hand(&mut self, now: f64, hand: OperatorOverride) -> Result<(String, Option<Node>), String> {
        let (id, on) = match hand {
            OperatorOverride::Cordon(id) => (id, true),
            OperatorOverride::Uncordon(id) => (id, false),
        };
        let name = format!("s-{:08x}", id.0);
        if !self.told.contains_key(&id) && !self.cordoned.contains(&id) {
            return Err(format!("{name} is on no list here"));
        }
        if on && !self.cordoned.contains(&id) && self.cordoned.len() >= CORDONS {
            return Err(format!("{CORDONS} nodes are cordoned already; uncordon one first"));
        }
        let changed = self.set(now, id, on);
        let said = match (on, changed) {
            (true, true) => format!("{name} cordoned"),
            (true, false) => format!("{name} was cordoned already"),
            (false, true) => format!("{name} uncordoned; it starts cold"),
            (false, false) => format!("{name} was not cordoned"),
        };
        Ok((said, self.told.get(&id).filter(|_| changed).map(|node| self.seen(*node))))
    }

    /// Cordons or puts back; did that change anything?
    fn set(&mut self, now: f64, id: NodeId, on: bool) -> bool {
        match on {
            true => self.cordoned.insert(id),
            false => {
                let was = self.cordoned.remove(&id);
                if was {
                    self.woke(id, now);
                }
                was
            }
        }
    }

    /// Notes when a node was put back.
    fn woke(&mut self, id: NodeId, at: f64) {
        self.woke.insert(id, at);
        if self.woke.len() > CORDONS
            && let Some((&oldest, _)) = self.woke.iter().min_by(|a, b| a.1.total_cmp(b.1))
        {
            self.woke.remove(&oldest);
        }
    }

    /// What is kept for a successor: the cordons, and the nodes put back within `cold` seconds.
    pub fn kept(&self, now: f64, cold: f64) -> SavedOverrides {
        let mut woke: Vec<_> =
            self.woke.iter().filter(|(_, at)| now - **at < cold).map(|(&i, &a)| (i, a)).collect();
        woke.sort_by_key(|w| w.0);
        SavedOverrides { cordoned: self.cordoned.iter().copied().collect(), woke }
    }

    /// Takes in what another process of this front kept, or this one's predecessor: that set of cordons from now on,
    /// and the later of two times at which a node was put back. Gives the nodes whose view changed.
    pub fn take(&mut self, now: f64, kept: &SavedOverrides) -> Vec<Node> {
        let wanted: BTreeSet<NodeId> = kept.cordoned.iter().copied().take(CORDONS).collect();
        let mut changed: Vec<NodeId> = wanted.symmetric_difference(&self.cordoned).copied().collect();
        let put_back: Vec<NodeId> = self.cordoned.difference(&wanted).copied().collect();
        put_back.into_iter().for_each(|id| self.woke(id, now));
        self.cordoned = wanted;
        for &(id, at) in &kept.woke {
            if self.woke.get(&id).is_none_or(|&mine| at > mine) {
                self.woke(id, at);
                changed.push(id);
            }
        }
        changed.sort_unstable();
        changed.dedup();
        changed.iter().filter_map(|id| self.told.get(id)).map(|node| self.seen(*node)).collect()
    }
}

impl SavedOverrides {
    /// Carries out a call on the set alone, as [`Membership::hand`] does on the view: a cordon is added once, and a
    /// call back takes it away and notes when.
    pub fn apply(&mut self, hand: OperatorOverride, now: f64) {
        match hand {
            OperatorOverride::Cordon(id) if !self.cordoned.contains(&id) => self.cordoned.push(id),
            OperatorOverride::Uncordon(id) if self.cordoned.contains(&id) => {
                self.cordoned.retain(|c| *c != id);
                self.woke.retain(|w| w.0 != id);
                self.woke.push((id, now));
            }
            _ => {}
        }
    }

    /// The file's text: a line `cordon ID` for each cordon, `woke ID UNIX` for each node put back.
    pub fn text(&self) -> String {
        let cordons = self.cordoned.iter().map(|id| format!("cordon s-{:08x}\n", id.0));
        let woke = self.woke.iter().map(|(id, at)| format!("woke s-{:08x} {at:.3}\n", id.0));
        cordons.chain(woke).collect()
    }

    /// Reads the file's text; a line that cannot be read is named, and the rest is taken.
    pub fn read(text: &str) -> (SavedOverrides, Vec<String>) {
        let (mut kept, mut wrong) = (SavedOverrides::default(), Vec::new());
        for (i, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            let words: Vec<&str> = line.split_ascii_whitespace().collect();
            let read = match words[..] {
                ["cordon", node] => node_id(node).map(|node| kept.cordoned.push(node)),
                ["woke", node, at] => {
                    node_id(node).zip(at.parse::<f64>().ok()).map(|woke| kept.woke.push(woke))
                }
                _ => None,
            };
            if read.is_none() {
                wrong.push(format!("line {}: '{line}' is neither 'cordon ID' nor 'woke ID UNIX'", i + 1));
            }
        }
        (kept, wrong)
    }
}

#[cfg(test)]
mod model;
