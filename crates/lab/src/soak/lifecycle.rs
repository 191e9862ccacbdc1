//! A soak of starts and ends: small fleets whose fronts are reloaded, replaced, ended and started again under load, each
//! drawn whole from its seed. The verdict is the fleet's: what nodes and clients saw.

use super::Options;
use crate::fleet::plan::{Bounds, Clients, Fault, Kind, Plan, Program, SignalSeries, Target};
use crate::fleet::verdict::{CycleFigures, Verdict};
use crate::fleet::{play_alone, record};
use crate::paced::Pace;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::ops::RangeInclusive;
use std::path::Path;

/// Fronts of a run. Each is cycled in turn, so that the others can take who finds none there.
const FRONTS: usize = 3;
/// The first series of signals begins after this, and each takes so long at most: the kill may come 3.7 s after SIGTERM, and
/// another process has to start before and after it (seconds).
const FIRST: f64 = 2.0;
const CYCLE: f64 = 5.5;
/// Series of signals that each front sees.
const CYCLES: usize = 2;
/// Connections of a crowd: more than the descriptors of a front.
const CROWD: usize = 300;

/// Objects that clients read slowly, or in bursts, are so large (bytes), and the system keeps so little of them unread, that
/// most of an answer waits at its front.
const SLOWLY_READ: usize = 30_000;
const NARROW: usize = 8 * 1024;
/// Clients that read in bursts, and those that read slowly: every half second 240 KB, or 16 KB fifty times a second.
const IN_BURSTS: Pace = Pace { pause_s: 0.5, chunk: 240_000, receive_buffer: Some(NARROW) };
const SLOWLY: Pace = Pace { pause_s: 0.02, chunk: 16 * 1024, receive_buffer: Some(NARROW) };
/// The same bursts, from systems that keep whole answers.
const IN_BURSTS_FROM_WIDE: Pace = Pace { receive_buffer: None, ..IN_BURSTS };

/// Small objects have so many bytes, and an answer with one so many more.
const SMALL: RangeInclusive<usize> = 20..=4096;
const ANSWER_TEXT: usize = 100;
/// Clients that read small answers slowly have systems that keep so little of them unread (bytes). After each such pause
/// (seconds) they read so much, or one answer: what has come to a client is read within a second, but what waits at its front
/// takes longer.
const TINY: usize = 2 * 1024;
const SMALL_PAUSE: RangeInclusive<f64> = 0.3..=0.8;
/// They ask for this part of what they can read, over so many connections at most: then one rests for a while between two
/// requests, which is when a front may close it.
const SMALL_ASKED: f64 = 0.6;
const SMALL_CONNECTIONS: usize = 24;
/// Requests a second of the clients of a front, at most, and the connections of those that read otherwise.
const RATE: f64 = 40.0;
const CONNECTIONS: usize = 6;

/// Nodes that are slow have links so many times as thin.
const SLOW: f64 = 20.0;

/// A run as it is drawn.
fn plan(seed: u64, program: &Path) -> Plan {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for front in 0..FRONTS {
        for cycle in 0..CYCLES {
            let series = SignalSeries::ALL[random.random_range(0..SignalSeries::ALL.len())];
            let gap_s = random.random_range(0.01..0.6);
            let at = FIRST + random.random_range(0.0..0.5) + cycle as f64 * CYCLE;
            faults.push(fault(Kind::FrontCycled { series, gap_s }, at, at, vec![front]));
        }
    }
    let until = FIRST + CYCLES as f64 * CYCLE;
    let mut sometimes = |kind: Kind, fronts: Vec<usize>, nodes: Vec<usize>| {
        if random.random_bool(1.0 / 3.0) {
            let from = random.random_range(0.0..until / 2.0);
            let nodes = Target { places: nodes, ..Target::default() };
            faults.push(Fault { nodes, ..fault(kind, from, until, fronts) });
        }
    };
    sometimes(Kind::Crowd { connections: CROWD }, vec![0], Vec::new());
    sometimes(Kind::NewsCut, Vec::new(), Vec::new());
    sometimes(Kind::NewsSilent, Vec::new(), Vec::new());
    sometimes(Kind::NodeBreaking { share: 0.05 }, Vec::new(), Vec::new());
    sometimes(Kind::NodeSilent, Vec::new(), vec![0, 1]);
    sometimes(Kind::NodeSlow { times: SLOW }, Vec::new(), vec![2, 3]);
    sometimes(Kind::MemoryScarce, Vec::new(), Vec::new());
    Plan {
        seconds: until + 1.5,
        judged_from: 1.0,
        fronts: FRONTS,
        nodes: 6,
        memory_mb: 64,
        programs: vec![Program { name: "soaked".into(), path: Some(program.to_owned()), share: 1.0 }],
        clients: clients(&mut random),
        faults,
        bounds: Bounds::default(),
        ..Plan::default()
    }
}

/// The clients of a run: how they read, and how large their objects are. Only what was drawn for clients that
/// read at once is drawn on, so that the other seeds mean what they did.
fn clients(random: &mut StdRng) -> Clients {
    let at_once =
        Clients { rate: RATE, holds: 0.1, connections: CONNECTIONS, objects: 500, ..Clients::default() };
    let large = |pace| Clients { object_bytes: SLOWLY_READ, pace: Some(pace), ..at_once.clone() };
    match random.random_range(0..6) {
        0 => large(IN_BURSTS),
        1 => large(IN_BURSTS_FROM_WIDE),
        2 => large(SLOWLY),
        _ if random.random_bool(0.5) => small_slowly(random, at_once),
        _ => at_once,
    }
}

/// Clients that ask for small objects, a little at a time, and read the answers slowly.
fn small_slowly(random: &mut StdRng, at_once: Clients) -> Clients {
    let object_bytes = random.random_range(SMALL);
    let answer_bytes = object_bytes + ANSWER_TEXT;
    let pause_s = random.random_range(SMALL_PAUSE);
    let chunk = TINY.max(answer_bytes);
    // Of one connection.
    let rate = chunk as f64 / answer_bytes as f64 / pause_s * SMALL_ASKED;
    let connections = ((RATE / rate) as usize).clamp(1, SMALL_CONNECTIONS);
    Clients {
        rate: rate * connections as f64,
        connections,
        object_bytes,
        pace: Some(Pace { pause_s, chunk, receive_buffer: Some(TINY) }),
        ..at_once
    }
}

fn fault(kind: Kind, at: f64, until: f64, places: Vec<usize>) -> Fault {
    let fronts = Target { places, ..Target::default() };
    Fault { kind, at, until, fronts, nodes: Target::default() }
}

/// What a run's faults are beside the series of signals.
fn conditions(plan: &Plan) -> Vec<&'static str> {
    let name = |kind: Kind| match kind {
        Kind::Crowd { .. } => Some("crowd"),
        Kind::NewsCut => Some("coordinator down"),
        Kind::NewsSilent => Some("coordinator silent"),
        Kind::NodeBreaking { .. } => Some("answers break off"),
        Kind::NodeSilent => Some("nodes hang"),
        Kind::NodeSlow { .. } => Some("nodes slow"),
        Kind::MemoryScarce => Some("memory scarce"),
        _ => None,
    };
    let reading = plan.clients.pace.map(|pace| match pace {
        SLOWLY => "clients read slowly",
        IN_BURSTS => "clients read in bursts",
        IN_BURSTS_FROM_WIDE => "clients read in bursts from wide buffers",
        _ => "clients read small answers slowly",
    });
    plan.faults.iter().filter_map(|fault| name(fault.kind)).chain(reading).collect()
}

/// The runs together.
#[derive(Default, Serialize)]
struct Report {
    held: Vec<u64>,
    /// Seeds that did not hold, with what was broken.
    broken: BTreeMap<u64, BTreeMap<String, (usize, String)>>,
    /// Seeds without a verdict, since the stand-ins ran late.
    without_verdict: Vec<u64>,
    by_series: BTreeMap<SignalSeries, CycleFigures>,
    /// Runs and those of them that did not hold, by what went on in the whole run.
    by_condition: BTreeMap<&'static str, (usize, usize)>,
}

impl Report {
    fn take(&mut self, seed: u64, plan: &Plan, verdict: Verdict) {
        if verdict.none {
            return self.without_verdict.push(seed);
        }
        let held = verdict.held();
        for condition in conditions(plan) {
            let (runs, broken) = self.by_condition.entry(condition).or_default();
            *runs += 1;
            *broken += usize::from(!held);
        }
        for (series, figures) in verdict.cycles {
            let sum = self.by_series.entry(series).or_default();
            *sum = sum.and(figures);
        }
        if held {
            self.held.push(seed);
        } else {
            self.broken.insert(seed, verdict.rules);
        }
    }

    fn print(&self) {
        println!("| series | times | asked | lost | twice | late | connections refused | wrong ends |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (series, f) in &self.by_series {
            println!(
                "| {} | {} | {} | {} | {} | {} | {} | {} |",
                series.name(),
                f.times,
                f.asked,
                f.lost,
                f.duplicated,
                f.late,
                f.refused_connections,
                f.wrong_ends
            );
        }
        println!();
        for (condition, (runs, broken)) in &self.by_condition {
            println!("{condition}: {runs} runs, {broken} did not hold");
        }
        println!(
            "{} held, {} did not, {} without a verdict (stand-ins late): {:?}",
            self.held.len(),
            self.broken.len(),
            self.without_verdict.len(),
            self.without_verdict
        );
    }
}

/// Plays the runs; did all hold? A run without a verdict is played once more at the end.
pub fn run(options: &Options, program: &Path) -> Result<bool, Box<dyn Error>> {
    let mut report = Report::default();
    for seed in options.seed..options.seed + options.runs {
        play(seed, options, program, &mut report)?;
    }
    for seed in std::mem::take(&mut report.without_verdict) {
        play(seed, options, program, &mut report)?;
    }
    report.print();
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if report.held.is_empty() && report.broken.is_empty() {
        return Err("no verdict: the stand-ins ran late, which says nothing of the fronts".into());
    }
    Ok(report.broken.is_empty())
}

fn play(seed: u64, options: &Options, program: &Path, report: &mut Report) -> Result<(), Box<dyn Error>> {
    let plan = plan(seed, program);
    let logs = options.logs.as_ref().map(|folder| folder.join(seed.to_string()));
    let (verdict, book, _) = play_alone(&plan, seed, logs.as_deref())?;
    if let Some(logs) = &logs {
        std::fs::write(logs.join("plan.json"), serde_json::to_string_pretty(&plan)?)?;
        record::write_requests(&logs.join("requests.csv"), &book.open())?;
    }
    let state = match (verdict.none, verdict.held()) {
        (true, _) => "no verdict, the stand-ins ran late",
        (_, true) => "held",
        _ => "NOT HELD",
    };
    println!("seed {seed}: {state}; {} asked; {}", verdict.figures.asked, conditions(&plan).join(", "));
    for (rule, (times, example)) in &verdict.rules {
        println!("  BROKEN: {rule}, {times} times: {example}");
    }
    report.take(seed, &plan, verdict);
    Ok(())
}
