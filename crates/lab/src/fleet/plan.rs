//! What a fleet is made of, what is asked of it, what fails when, and what must hold: one file, checked as a whole.

mod check;

use crate::paced::Pace;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// A plan. Times are seconds from when all fronts are ready.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// How long it is played; what comes before `judged_from` only warms the caches.
    pub seconds: f64,
    pub judged_from: f64,
    /// Locations, each with its own fronts and cache nodes.
    pub locations: usize,
    /// Front processes, over all locations.
    pub fronts: usize,
    /// Cache nodes, over all locations; parents, for all of them.
    pub nodes: usize,
    pub parents: usize,
    /// Links of the first node, the second and so on in turn, in transfers at full pace.
    pub links: Vec<f64>,
    /// What a front may have (megabytes). A debug build alone takes half of what the platform gives.
    pub memory_mb: usize,
    /// Which programs the fronts run, in shares of all fronts.
    pub programs: Vec<Program>,
    pub clients: Clients,
    /// News of the list come so long after what they tell (seconds): of a node that is gone, and of one that is back.
    pub told_gone_s: f64,
    pub told_back_s: f64,
    pub faults: Vec<Fault>,
    pub bounds: Bounds,
    /// A rollout that `onyxyoke-rollout` drives over the fronts meanwhile.
    pub rollout: Option<Rollout>,
}

/// A rollout over all fronts, and what happens to the tool that drives it. Times are seconds from its start.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rollout {
    /// When it starts, from when all fronts are ready.
    pub at: f64,
    /// The new program; without one the old one's.
    pub program: Option<PathBuf>,
    /// Variables of the new program alone.
    pub variables: std::collections::BTreeMap<String, String>,
    /// Settings that are changed: what it names is replaced.
    pub settings: Option<serde_json::Value>,
    /// Parts of the rollout's plan, as `onyxyoke-rollout plan --schema` has them.
    pub spans: serde_json::Map<String, serde_json::Value>,
    pub limits: serde_json::Map<String, serde_json::Value>,
    pub gates: serde_json::Map<String, serde_json::Value>,
    pub seed: u64,
    /// The tool is killed once its journal has so many records, and started again.
    pub killed_at: Vec<usize>,
    /// It stands still (SIGSTOP) from and until.
    pub stopped: Option<(f64, f64)>,
    /// What an operator says: `pause`, `resume` or `abort`.
    pub words: Vec<(f64, String)>,
    /// New processes end by themselves: what is open at a front then is nobody's to answer.
    pub crashes: bool,
    /// How it must end: `done`, `stopped`, `aborted` or `failed`.
    pub end: Option<String>,
}

/// A program that a share of the fronts runs.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// What it is called in the report.
    pub name: String,
    /// Its file; without one, the `onyxyoke` beside this program.
    #[serde(default)]
    pub path: Option<PathBuf>,
    /// Share of all fronts.
    #[serde(default = "one")]
    pub share: f64,
}

fn one() -> f64 {
    1.0
}

/// Clients that ask whether or not they were answered.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Requests a second of a front, in the mean.
    pub rate: f64,
    /// This share of the fronts sees so many times what the others do.
    pub busy_share: f64,
    pub busy_times: f64,
    /// Popularity falls off with this power of the rank.
    pub zipf: f64,
    pub objects: u64,
    /// Mean use of the links, from which the sizes of objects follow.
    pub load: f64,
    /// Share of requests that run at the origin, once, and leave no copy.
    pub holds: f64,
    /// Connections that the clients of a front keep open and use.
    pub connections: usize,
    /// Bytes of an object, at least.
    pub object_bytes: usize,
    /// How they read; without, all at once.
    pub pace: Option<Pace>,
}

/// What goes wrong, with whom, and from and until when.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    #[serde(rename = "fault")]
    pub kind: Kind,
    pub at: f64,
    pub until: f64,
    /// The fronts that it concerns, and the cache nodes; all where nothing is said.
    #[serde(default)]
    pub fronts: Target,
    #[serde(default)]
    pub nodes: Target,
}

/// Faults by name.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// Fronts are killed at once, and started again at the end.
    FrontKilled,
    /// Fronts stand still (SIGSTOP), and go on with old news.
    FrontStopped,
    /// A second process takes over from each front, one after the other over the span.
    FrontReplaced,
    /// Fronts end by SIGTERM, one after the other over the span, and start again once they have.
    FrontRestarted,
    /// These signals go to a front's process, in turn over the span if there are several fronts. A process that is told to end
    /// is killed as early as the platform may, while its clients use their open connections; another takes its place.
    FrontCycled { series: SignalSeries, gap_s: f64 },
    /// So many connections to each of these fronts that say nothing, or half of a request.
    Crowd { connections: usize },
    /// The memory limit of these fronts is cut below what their program takes, and restored, again and again.
    MemoryScarce,
    /// Nodes are gone: connections are refused; they come back empty and cold.
    NodeKilled,
    /// Nodes are gone, and others with new ids listen at their addresses after the span.
    NodeReplaced,
    /// Nodes drain by the list, and come back cold.
    NodeDrained,
    /// Operators cordon nodes at every front, and call that back; what the list says does not change.
    NodeCordoned,
    /// Nodes take everything and say nothing.
    NodeSilent,
    /// Links are so many times as thin.
    NodeSlow { times: f64 },
    /// This share of requests is answered at once with an error.
    NodeFailing { share: f64 },
    /// This share of answers breaks off in the middle, and its connection ends.
    NodeBreaking { share: f64 },
    /// Nothing passes between these fronts and these nodes.
    PathSilent,
    /// Connections between these fronts and these nodes end.
    PathReset,
    /// Everything between these fronts and these nodes takes longer.
    PathDelayed { seconds: f64 },
    /// Of the connections between these fronts and these nodes this share is up and dead: what is sent over them is
    /// taken, and nothing comes back.
    PathHalfOpen { share: f64 },
    /// The coordinator tells these fronts nothing.
    NewsLate,
    /// The coordinator of these fronts ends every connection as it comes.
    NewsCut,
    /// The coordinator of these fronts takes every connection and says nothing at all.
    NewsSilent,
    /// The coordinator tells these fronts everything again and again, from the first event on.
    NewsRepeated,
    /// The coordinator tells these fronts nothing of these nodes, so that their list is another than that of others.
    NewsPartial,
    /// So many times the usual load.
    Burst { times: f64 },
    /// One object is this share of all requests.
    Hot { share: f64 },
    /// Every object is purged.
    Purged,
}

/// What a front's process is sent, and what is started beside it; each step comes `gap_s` after the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SignalSeries {
    /// SIGTERM; another process starts once it has ended.
    Term,
    /// SIGTERM twice.
    TermTwice,
    /// SIGTERM, then SIGHUP.
    HangupInTerm,
    /// SIGHUP twice, then SIGTERM.
    TermInHangup,
    /// SIGTERM; another process starts while it closes.
    SuccessorInTerm,
    /// Another process starts, and the first is told to end once that is ready.
    Replaced,
    /// The same, with two SIGTERM.
    ReplacedTermTwice,
    /// SIGHUP, another process starts, and the first is told to end once that is ready.
    SuccessorInHangup,
    /// Another process starts and is told to end before it is ready; then the first is told to end.
    TermBeforeReady,
    /// SIGHUP with an unusable file, then with a usable one, then twice more.
    Hangups,
}

impl SignalSeries {
    /// All that there are.
    pub const ALL: [SignalSeries; 10] = [
        SignalSeries::Term,
        SignalSeries::TermTwice,
        SignalSeries::HangupInTerm,
        SignalSeries::TermInHangup,
        SignalSeries::SuccessorInTerm,
        SignalSeries::Replaced,
        SignalSeries::ReplacedTermTwice,
        SignalSeries::SuccessorInHangup,
        SignalSeries::TermBeforeReady,
        SignalSeries::Hangups,
    ];

    /// Its name in plans and reports.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

/// Of these, by place; else of these locations, or of all; of what is left this share, drawn by the seed.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    pub places: Vec<usize>,
    pub location: Option<usize>,
    pub share: Option<f64>,
}

/// What must hold, beside the rules, which must in any case. What is left out is only reported.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Least share of the requests that is served, and that is served in time.
    pub served: Option<f64>,
    pub in_time: Option<f64>,
    /// Work per unit of link of the most and the least loaded node by the mean of its location.
    pub most: Option<f64>,
    pub least: Option<f64>,
    /// Longest time in which a node that is up has nothing to do (seconds).
    pub idle_s: Option<f64>,
    /// Most fronts that turn to one node within 0.1 s of an event, in times what chance gives.
    pub herd: Option<f64>,
    /// Of a node that is well again: its least part by the mean from 8 s after on, and its most from the start.
    pub back_least: Option<f64>,
    pub back_most: Option<f64>,
    /// Least byte hit ratio.
    pub hits: Option<f64>,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            rate: 4.0,
            busy_share: 0.0,
            busy_times: 1.0,
            zipf: 0.9,
            objects: 3_000,
            load: 0.4,
            holds: 0.05,
            connections: 1,
            object_bytes: 0,
            pace: None,
        }
    }
}

/// The small plan that is played without a file: a newcomer's first look.
impl Default for Plan {
    fn default() -> Self {
        Plan {
            seconds: 20.0,
            judged_from: 4.0,
            locations: 1,
            fronts: 6,
            nodes: 10,
            parents: 2,
            links: vec![4.0],
            memory_mb: 32,
            programs: vec![Program { name: "now".into(), path: None, share: 1.0 }],
            clients: Clients { rate: 20.0, ..Clients::default() },
            told_gone_s: 2.5,
            told_back_s: 1.0,
            faults: Vec::new(),
            bounds: Bounds::default(),
            rollout: None,
        }
    }
}

impl Plan {
    /// The plan of the first look: one node is killed, and is back.
    pub fn first_look() -> Plan {
        let target = Target { places: vec![3], ..Target::default() };
        let killed =
            Fault { kind: Kind::NodeKilled, at: 8.0, until: 12.0, fronts: Target::default(), nodes: target };
        let bounds = Bounds { served: Some(0.95), ..Bounds::default() };
        Plan { faults: vec![killed], bounds, ..Plan::default() }
    }

    /// Reads a plan; an error names the key.
    pub fn read(text: &str) -> Result<Plan, String> {
        let mut from = serde_json::Deserializer::from_str(text);
        let plan: Plan = serde_path_to_error::deserialize(&mut from)
            .map_err(|e| format!("'{}': {}", e.path(), e.inner()))?;
        plan.check()?;
        Ok(plan)
    }

    /// The location of a front, or of a node.
    pub fn location(&self, place: usize) -> usize {
        place % self.locations
    }

    /// Requests a second of each front.
    pub fn rate(&self, front: usize) -> f64 {
        let busy = (self.clients.busy_share * self.fronts as f64).round();
        let mean = 1.0 + busy / self.fronts as f64 * (self.clients.busy_times - 1.0);
        let times = if (front as f64) < busy { self.clients.busy_times } else { 1.0 };
        self.clients.rate * times / mean
    }

    /// The link of a node.
    pub fn link(&self, node: usize) -> f64 {
        self.links[node % self.links.len()]
    }

    /// Mean seconds of sending of an object.
    pub fn work(&self) -> f64 {
        let links: f64 = (0..self.nodes).map(|n| self.link(n)).sum();
        self.clients.load * links / (self.fronts as f64 * self.clients.rate)
    }
}

#[cfg(test)]
mod tests;
