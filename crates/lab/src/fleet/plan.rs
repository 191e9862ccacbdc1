//! The plan of a run: the fleet, its clients' load, the faults and the bounds to keep. One file, validated as
//! a whole.

mod check;

use crate::paced::Pace;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// A plan. Times are seconds since all fronts are ready.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// The length of the run. Requests before `judged_from` only warm the caches.
    pub seconds: f64,
    pub judged_from: f64,
    /// Number of locations, each with its own fronts and cache nodes.
    pub locations: usize,
    /// Number of front processes over all locations.
    pub fronts: usize,
    /// Number of cache nodes over all locations, and of the parents that they share.
    pub nodes: usize,
    pub parents: usize,
    /// Link capacities in transfers at full pace, assigned to the nodes in order and repeated.
    pub links: Vec<f64>,
    /// The memory limit of a front (megabytes). A debug build by itself takes half of what the platform
    /// allows.
    pub memory_mb: usize,
    /// The programs that the fronts run, each on a share of the fronts.
    pub programs: Vec<Program>,
    pub clients: Clients,
    /// The delay until the list reports that a node is gone, or that it is back (seconds).
    pub told_gone_s: f64,
    pub told_back_s: f64,
    pub faults: Vec<Fault>,
    pub bounds: Bounds,
    /// A rollout that `onyxyoke-rollout` drives over the fronts during the run.
    pub rollout: Option<Rollout>,
}

/// A rollout over all fronts, and the faults of the tool that drives it. Times are seconds since its start.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rollout {
    /// When it starts (seconds since all fronts are ready).
    pub at: f64,
    /// The new program; the old one if there is none.
    pub program: Option<PathBuf>,
    /// Environment variables of the new program only.
    pub variables: std::collections::BTreeMap<String, String>,
    /// Changed settings: each named one is replaced.
    pub settings: Option<serde_json::Value>,
    /// Sections of the rollout's plan, as in `onyxyoke-rollout plan --schema`.
    pub spans: serde_json::Map<String, serde_json::Value>,
    pub limits: serde_json::Map<String, serde_json::Value>,
    pub gates: serde_json::Map<String, serde_json::Value>,
    pub seed: u64,
    /// The tool is killed and restarted each time its journal reaches one of these numbers of records.
    pub killed_at: Vec<usize>,
    /// The tool is stopped (SIGSTOP) from the first time until the second.
    pub stopped: Option<(f64, f64)>,
    /// Operators' commands and their times: `pause`, `resume` or `abort`.
    pub words: Vec<(f64, String)>,
    /// New processes end by themselves, so that requests open at them may be lost.
    pub crashes: bool,
    /// The end that is expected: `done`, `stopped`, `aborted` or `failed`.
    pub end: Option<String>,
}

/// A program that a share of the fronts runs.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// Its name in the report.
    pub name: String,
    /// Its file; by default the `onyxyoke` in the folder of this program.
    #[serde(default)]
    pub path: Option<PathBuf>,
    /// The share of the fronts that run it.
    #[serde(default = "full_share")]
    pub share: f64,
}

fn full_share() -> f64 {
    1.0
}

/// Clients whose rate of requests doesn't depend on the answers (an open loop).
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Mean requests per second at a front.
    pub rate: f64,
    /// The share of the fronts that are busy.
    pub busy_share: f64,
    /// The rate at a busy front, as a multiple of the rate at the others.
    pub busy_times: f64,
    /// The exponent of the Zipf distribution of objects' popularity.
    pub zipf: f64,
    /// Number of objects.
    pub objects: u64,
    /// Mean utilization of the links, which determines the sizes of objects.
    pub load: f64,
    /// The share of requests that run at the origin, at most once, and leave no copy.
    pub holds: f64,
    /// Connections that the clients of a front keep open and use.
    pub connections: usize,
    /// The least size of an object (bytes).
    pub object_bytes: usize,
    /// The pace at which clients read; by default they read without pauses.
    pub pace: Option<Pace>,
}

/// A fault, its span of time, and the fronts and nodes that it affects.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    #[serde(rename = "fault")]
    pub kind: Kind,
    pub at: f64,
    pub until: f64,
    /// The fronts and cache nodes that it affects; all by default.
    #[serde(default)]
    pub fronts: Target,
    #[serde(default)]
    pub nodes: Target,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// Fronts are killed at once, and restarted at the end.
    FrontKilled,
    /// Fronts are stopped (SIGSTOP), and continue with a stale list.
    FrontStopped,
    /// Each front is replaced by a second process started beside it, one front after the other over the span.
    FrontReplaced,
    /// Fronts get SIGTERM, one after the other over the span, and are restarted once they have ended.
    FrontRestarted,
    /// Fronts' processes get a series of signals, one front after the other over the span. A process that got
    /// SIGTERM is killed as early as the platform may do so, while clients use its open connections; another
    /// one replaces it.
    FrontCycled { series: SignalSeries, gap_s: f64 },
    /// Each front gets this number of connections that send nothing, or half a request.
    Crowd { connections: usize },
    /// The fronts' memory limit is repeatedly cut below what their program takes, and restored.
    MemoryScarce,
    /// Nodes refuse connections, and come back empty and cold.
    NodeKilled,
    /// Nodes refuse connections, and after the span others with new ids listen at their addresses.
    NodeReplaced,
    /// The list has the nodes as draining; they come back cold.
    NodeDrained,
    /// Operators cordon the nodes at every front, and uncordon them at the end; the list doesn't change.
    NodeCordoned,
    /// Nodes accept connections and requests, and never answer.
    NodeSilent,
    /// The capacity of the nodes' links is divided by this.
    NodeSlow { times: f64 },
    /// Nodes answer this share of requests at once with an error.
    NodeFailing { share: f64 },
    /// This share of nodes' answers breaks off in the middle, and the connection ends.
    NodeBreaking { share: f64 },
    /// No data passes between these fronts and these nodes.
    PathSilent,
    /// Connections between these fronts and these nodes are reset.
    PathReset,
    /// Data between these fronts and these nodes is delayed by this time.
    PathDelayed { seconds: f64 },
    /// This share of the connections between these fronts and these nodes is half-open: it accepts what is
    /// sent, and nothing comes back.
    PathHalfOpen { share: f64 },
    /// The coordinators of these fronts hold back their updates.
    NewsLate,
    /// The coordinators of these fronts close every connection on arrival.
    NewsCut,
    /// The coordinators of these fronts accept every connection and send nothing.
    NewsSilent,
    /// The coordinators of these fronts repeat all their updates, from the first event on.
    NewsRepeated,
    /// The coordinators of these fronts leave out these nodes, so that the fronts' lists differ from those of
    /// others.
    NewsPartial,
    /// The load is multiplied by this.
    Burst { times: f64 },
    /// This share of all requests is for one object.
    Hot { share: f64 },
    /// Every object is purged.
    Purged,
}

/// Signals to a front's process and starts of processes beside it; each step follows the previous one after
/// `gap_s`.
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
    /// SIGTERM; another process starts while the first closes.
    SuccessorInTerm,
    /// Another process starts; the first gets SIGTERM once that one is ready.
    Replaced,
    /// Another process starts; the first gets SIGTERM twice once that one is ready.
    ReplacedTermTwice,
    /// SIGHUP, then another process starts; the first gets SIGTERM once that one is ready.
    SuccessorInHangup,
    /// Another process starts and gets SIGTERM before it is ready; then the first gets SIGTERM.
    TermBeforeReady,
    /// SIGHUP with an invalid file, then with a valid one, then twice more.
    Hangups,
}

impl SignalSeries {
    /// All series.
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

/// Selects fronts or nodes: those of `places`, else those of `location`, else all; of these a random `share`,
/// drawn from the seed.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    pub places: Vec<usize>,
    pub location: Option<usize>,
    pub share: Option<f64>,
}

/// Bounds of the figures, beside the rules, which always apply. Figures without a bound are only reported.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The least share of requests that are served, and that are served in time.
    pub served: Option<f64>,
    pub in_time: Option<f64>,
    /// Limits of the work per unit of link of the most and the least loaded node, relative to the mean of its
    /// location.
    pub most: Option<f64>,
    pub least: Option<f64>,
    /// The longest time that a healthy node may have nothing to do (seconds).
    pub idle_s: Option<f64>,
    /// The most fronts that may call one node within 0.1 s of an event, as a multiple of the same at calm
    /// times.
    pub herd: Option<f64>,
    /// Limits of the load of recovered nodes relative to the mean: the least after 8 s, and the most within
    /// them.
    pub back_least: Option<f64>,
    pub back_most: Option<f64>,
    /// The least byte hit ratio.
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

/// The small plan that runs when no file is given.
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
    /// The plan that runs when no file is given: one node is killed and comes back.
    pub fn first_look() -> Plan {
        let target = Target { places: vec![3], ..Target::default() };
        let killed =
            Fault { kind: Kind::NodeKilled, at: 8.0, until: 12.0, fronts: Target::default(), nodes: target };
        let bounds = Bounds { served: Some(0.95), ..Bounds::default() };
        Plan { faults: vec![killed], bounds, ..Plan::default() }
    }

    /// Parses and validates a plan; an error names the invalid key.
    pub fn read(text: &str) -> Result<Plan, String> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let plan: Plan = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| format!("'{}': {}", e.path(), e.inner()))?;
        plan.check()?;
        Ok(plan)
    }

    /// The location of a front or node.
    pub fn location(&self, place: usize) -> usize {
        place % self.locations
    }

    /// Mean requests per second at a front.
    pub fn rate(&self, front: usize) -> f64 {
        let busy = (self.clients.busy_share * self.fronts as f64).round();
        let mean = 1.0 + busy / self.fronts as f64 * (self.clients.busy_times - 1.0);
        let times = if (front as f64) < busy { self.clients.busy_times } else { 1.0 };
        self.clients.rate * times / mean
    }

    /// The link capacity of a node, in transfers at full pace.
    pub fn link(&self, node: usize) -> f64 {
        self.links[node % self.links.len()]
    }

    /// The mean time to send an object at full pace (seconds).
    pub fn work(&self) -> f64 {
        let links: f64 = (0..self.nodes).map(|n| self.link(n)).sum();
        self.clients.load * links / (self.fronts as f64 * self.clients.rate)
    }
}

#[cfg(test)]
mod tests;
