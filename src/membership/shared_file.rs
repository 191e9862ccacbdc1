//! The format of the file of cordons that both processes of a front write. Builds before the records of
//! [`Overrides`] know only this file, and replace all of it at every call. Since its cordons have no times, it
//! is merged by rules: a line that is missing says nothing, since its writer may not have known of the call.

use super::{Override, Overrides, node_id};
use crate::interface::NodeId;
use std::collections::{BTreeMap, BTreeSet};

/// A file that begins with an empty line was written by a process that keeps a record, which says the same
/// with times. Earlier builds skip empty lines, and write none.
const WRITER_KEEPS_RECORD: &str = "\n";

/// The contents of the file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SharedFile {
    /// The cordoned nodes.
    pub cordoned: BTreeSet<NodeId>,
    /// Uncordoned nodes, with the time of the uncordon (Unix milliseconds).
    pub restarted_at_ms: BTreeMap<NodeId, u64>,
}

/// What is known of the write of a file by an earlier build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierBuildWrite {
    /// When the file was written (Unix milliseconds).
    pub written_at_ms: u64,
    /// For this long the writer keeps an uncordon in its file (milliseconds).
    pub uncordon_retention_ms: u64,
    /// Whether the writer has surely known of every override that is older than the retention time, since no
    /// process that keeps a record runs beside it.
    pub is_only_writer: bool,
}

impl SharedFile {
    /// Returns whether a text was written by a process that keeps a record.
    pub fn is_from_record_keeper(text: &str) -> bool {
        text.starts_with(WRITER_KEEPS_RECORD)
    }

    /// Formats overrides: a line `cordon ID` for each cordon, and `woke ID UNIX` for each node that an
    /// uncordon restarted.
    pub fn format(overrides: &Overrides) -> String {
        let cordons = overrides.iter().filter(|(_, entry)| entry.cordoned);
        let restarts = overrides.iter().filter_map(|(id, entry)| Some((id, entry.restarted_at_ms?)));
        let mut text = WRITER_KEEPS_RECORD.to_owned();
        text.extend(cordons.map(|(id, _)| format!("cordon s-{:08x}\n", id.0)));
        text.extend(restarts.map(|(id, at)| format!("woke s-{:08x} {:.3}\n", id.0, at as f64 / 1000.0)));
        text
    }

    /// Parses a text. Returns an error message for each invalid line, beside what the other lines hold.
    pub fn parse(text: &str) -> (SharedFile, Vec<String>) {
        let (mut file, mut errors) = (SharedFile::default(), Vec::new());
        for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            if file.parse_line(line).is_none() {
                errors.push(format!("line {}: '{line}' is neither 'cordon ID' nor 'woke ID UNIX'", i + 1));
            }
        }
        (file, errors)
    }

    fn parse_line(&mut self, line: &str) -> Option<()> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["cordon", node] => {
                self.cordoned.insert(node_id(node)?);
            }
            ["woke", node, at] => {
                let at_ms = super::milliseconds(at.parse().ok()?);
                self.restarted_at_ms.insert(node_id(node)?, at_ms);
            }
            _ => return None,
        }
        Some(())
    }

    /// Returns what the file adds to the overrides that are known.
    pub fn news(&self, known: &Overrides, write: EarlierBuildWrite) -> Overrides {
        let known_nodes = known.iter().map(|(id, _)| id);
        let nodes: BTreeSet<NodeId> =
            known_nodes.chain(self.cordoned.iter().chain(self.restarted_at_ms.keys()).copied()).collect();
        let mut news = Overrides::default();
        for id in nodes {
            if let Some(entry) = self.override_of(id, known.get(id), write) {
                news.insert(id, entry);
            }
        }
        news
    }

    /// Returns the override of a node that the file tells of, if it is news.
    fn override_of(&self, id: NodeId, known: Option<Override>, write: EarlierBuildWrite) -> Option<Override> {
        let restarted_at_ms = self.restarted_at_ms.get(&id).copied();
        let known_cordon = known.is_some_and(|entry| entry.cordoned);
        let known_call_ms = known.map_or(0, |entry| entry.called_at_ms);
        match self.cordoned.contains(&id) {
            true if known_cordon => None,
            true if known.is_some_and(|entry| is_unaware_of_uncordon(entry, restarted_at_ms, write)) => None,
            true => Some(Override {
                cordoned: true,
                called_at_ms: write.written_at_ms.max(known_call_ms + 1),
                restarted_at_ms,
            }),
            false => {
                let forgotten = known_cordon
                    && write.is_only_writer
                    && write.written_at_ms >= known_call_ms + write.uncordon_retention_ms;
                let called_at_ms = restarted_at_ms.or(forgotten.then_some(write.written_at_ms))?;
                Some(Override { cordoned: false, called_at_ms, restarted_at_ms: Some(called_at_ms) })
            }
        }
    }
}

/// Returns whether a cordon in the file may be from before a known uncordon of the node: the writer names
/// recent uncordons that it knows of.
fn is_unaware_of_uncordon(known: Override, restarted_at_ms: Option<u64>, write: EarlierBuildWrite) -> bool {
    let Some(lifted_at_ms) = known.restarted_at_ms else { return false };
    let is_recent = write.written_at_ms < lifted_at_ms + write.uncordon_retention_ms;
    is_recent && restarted_at_ms.is_none_or(|at| at < lifted_at_ms)
}
