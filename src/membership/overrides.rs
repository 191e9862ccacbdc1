//! The operators' overrides of the nodes' states, each with the time of the call. Processes of one front keep
//! overrides of their own and merge those of the others: for each node the newest call counts, in whatever
//! order the processes learn of the calls.

use super::{MAX_CORDONS, OperatorOverride, node_id};
use crate::interface::NodeId;
use std::collections::BTreeMap;

/// Maximum number of cordoned nodes after a merge: two processes may each accept [`MAX_CORDONS`] before they
/// learn of each other's.
const MAX_MERGED_CORDONS: usize = 2 * MAX_CORDONS;

/// Converts seconds to whole milliseconds.
pub fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0).round() as u64
}

/// The last known override of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Override {
    /// Whether the node is cordoned.
    pub cordoned: bool,
    /// Time of the call (Unix milliseconds).
    pub called_at_ms: u64,
    /// Time of the last call that lifted a cordon (Unix milliseconds). Operators have usually restarted the
    /// node meanwhile.
    pub restarted_at_ms: Option<u64>,
}

impl Override {
    /// Merges two overrides of a node: the later call counts, and a cordon if both have the same time.
    fn merge(self, other: Override) -> Override {
        let order = |o: &Override| (o.called_at_ms, o.cordoned);
        let (newer, older) = if order(&self) >= order(&other) { (self, other) } else { (other, self) };
        let lifted_at_ms = (older.cordoned && !newer.cordoned).then_some(newer.called_at_ms);
        let restarted_at_ms = newer.restarted_at_ms.max(older.restarted_at_ms).max(lifted_at_ms);
        Override { restarted_at_ms, ..newer }
    }

    /// Formats the line of a record: `cordon` or `uncordon`, the node, the time of the call and, if there is
    /// one, the time of the restart.
    fn to_line(self, id: NodeId) -> String {
        let word = if self.cordoned { "cordon" } else { "uncordon" };
        let restarted = self.restarted_at_ms.map(|at| format!(" {at}")).unwrap_or_default();
        format!("{word} s-{:08x} {}{restarted}\n", id.0, self.called_at_ms)
    }

    /// Parses the line of a record.
    fn parse_line(line: &str) -> Option<(NodeId, Override)> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let (word, node, called_at, restarted_at) = match words[..] {
            [word, node, called_at] => (word, node, called_at, None),
            [word, node, called_at, restarted_at] => (word, node, called_at, Some(restarted_at)),
            _ => return None,
        };
        let cordoned = match word {
            "cordon" => true,
            "uncordon" => false,
            _ => return None,
        };
        let restarted_at_ms = match restarted_at {
            Some(text) => Some(text.parse().ok()?),
            None => None,
        };
        Some((node_id(node)?, Override { cordoned, called_at_ms: called_at.parse().ok()?, restarted_at_ms }))
    }
}

/// The overrides of a front's nodes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Overrides {
    by_node: BTreeMap<NodeId, Override>,
}

impl Overrides {
    /// Returns whether no operator has ever called.
    pub fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }

    /// Returns the last known override of a node.
    pub fn get(&self, id: NodeId) -> Option<Override> {
        self.by_node.get(&id).copied()
    }

    /// Returns the overrides, ordered by node.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, Override)> + '_ {
        self.by_node.iter().map(|(id, entry)| (*id, *entry))
    }

    /// Returns whether a node is cordoned.
    pub fn is_cordoned(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|entry| entry.cordoned)
    }

    /// Returns the number of cordoned nodes.
    pub fn cordoned_count(&self) -> usize {
        self.by_node.values().filter(|entry| entry.cordoned).count()
    }

    /// Returns the memory of its table (bytes).
    pub fn footprint(&self) -> usize {
        // A node of the tree is at least half full.
        self.by_node.len() * 2 * size_of::<(NodeId, Override)>()
    }

    /// Applies an operator's call made at `now` (Unix seconds); returns whether the node's cordon changed. The
    /// call counts as later than every call known before, even if the clock was stepped back.
    pub fn apply(&mut self, now: f64, action: OperatorOverride) -> bool {
        let (id, cordoned) = match action {
            OperatorOverride::Cordon(id) => (id, true),
            OperatorOverride::Uncordon(id) => (id, false),
        };
        let known = self.get(id);
        let called_at_ms = milliseconds(now).max(known.map_or(0, |entry| entry.called_at_ms + 1));
        let was_cordoned = known.is_some_and(|entry| entry.cordoned);
        self.insert(id, Override { cordoned, called_at_ms, restarted_at_ms: None });
        was_cordoned != cordoned
    }

    /// Merges the overrides of another process; returns the nodes whose cordon or restart time changed.
    pub fn merge(&mut self, other: &Overrides) -> Vec<NodeId> {
        other.iter().filter(|(id, entry)| self.insert(*id, *entry)).map(|(id, _)| id).collect()
    }

    /// Merges an override of one node; returns whether its cordon or restart time changed.
    pub fn insert(&mut self, id: NodeId, entry: Override) -> bool {
        let known = self.get(id);
        if entry.cordoned && known.is_none() && self.cordoned_count() >= MAX_MERGED_CORDONS {
            return false;
        }
        let merged = known.map_or(entry, |known| known.merge(entry));
        self.by_node.insert(id, merged);
        if !merged.cordoned && known.is_none_or(|known| known.cordoned) {
            self.evict_oldest_uncordon();
        }
        let effect = |o: Override| (o.cordoned, o.restarted_at_ms);
        effect(merged) != known.map_or((false, None), effect)
    }

    /// Evicts the oldest uncordon beyond [`MAX_CORDONS`]. Cordons are never evicted.
    fn evict_oldest_uncordon(&mut self) {
        let uncordons = || self.iter().filter(|(_, entry)| !entry.cordoned);
        if uncordons().count() <= MAX_CORDONS {
            return;
        }
        if let Some((oldest, _)) = uncordons().min_by_key(|(id, entry)| (entry.called_at_ms, *id)) {
            self.by_node.remove(&oldest);
        }
    }

    /// Formats the record of a process.
    pub fn to_text(&self) -> String {
        self.iter().map(|(id, entry)| entry.to_line(id)).collect()
    }

    /// Parses the record of a process. Returns an error message for each invalid line, beside the overrides
    /// that the other lines hold.
    pub fn parse(text: &str) -> (Overrides, Vec<String>) {
        let (mut overrides, mut errors) = (Overrides::default(), Vec::new());
        for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            match Override::parse_line(line) {
                Some((id, entry)) => {
                    overrides.insert(id, entry);
                }
                None => errors.push(format!("line {}: '{line}' is no override", i + 1)),
            }
        }
        (overrides, errors)
    }
}
