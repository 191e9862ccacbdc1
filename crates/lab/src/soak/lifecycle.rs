//! A soak of process starts and exits: small fleets whose fronts are reloaded, replaced, stopped and
//! restarted under load. Each run's plan is drawn from its seed; the verdict is the fleet's, from what nodes
//! and clients observed.

use super::Options;
use crate::fleet::plan::{Bounds, Clients, Fault, Kind, Plan, Program, SignalSeries, Target};
use crate::fleet::verdict::{CycleFigures, Verdict};
use crate::fleet::{record, run_plan_blocking};
use crate::paced::Pace;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::ops::RangeInclusive;
use std::path::Path;

/// Fronts of a run. Clients that find their front down connect to another.
const FRONTS: usize = 3;
/// The start of the first series of signals.
const FIRST_CYCLE_SECONDS: f64 = 2.0;
/// Time for one series of signals: the kill may come 3.7 s after SIGTERM, and another process has to start
/// before and after it.
const CYCLE_SECONDS: f64 = 5.5;
/// Series of signals that each front receives.
const CYCLES_PER_FRONT: usize = 2;
/// Connections of a crowd: more than a front has descriptors.
const CROWD_CONNECTIONS: usize = 300;

/// Length of objects that clients read slowly or in bursts: with the small receive buffer, most of an answer
/// is queued at its front.
const LARGE_OBJECT_BYTES: usize = 30_000;
/// Receive buffer of clients that read slowly or in bursts.
const SMALL_BUFFER_BYTES: usize = 8 * 1024;
/// Clients that read in bursts: 240 KB every half second.
const BURST_PACE: Pace = Pace { pause_s: 0.5, chunk: 240_000, receive_buffer: Some(SMALL_BUFFER_BYTES) };
/// Clients that read slowly: 16 KB fifty times a second.
const SLOW_PACE: Pace = Pace { pause_s: 0.02, chunk: 16 * 1024, receive_buffer: Some(SMALL_BUFFER_BYTES) };
/// Clients that read in bursts with the default receive buffer, which holds whole answers.
const BURST_PACE_DEFAULT_BUFFER: Pace = Pace { receive_buffer: None, ..BURST_PACE };

/// Length of small objects.
const SMALL_OBJECT_BYTES: RangeInclusive<usize> = 20..=4096;
/// Bytes of an answer in addition to its object.
const ANSWER_OVERHEAD_BYTES: usize = 100;
/// Receive buffer of clients that read small answers slowly. After each pause they read this many bytes, or
/// one answer: data in the buffer is read within a second, but data queued at the front takes longer.
const TINY_BUFFER_BYTES: usize = 2 * 1024;
/// Pause between two reads of small answers.
const SMALL_READ_PAUSE_SECONDS: RangeInclusive<f64> = 0.3..=0.8;
/// Share of their reading capacity that these clients request: below 1, a connection is idle between some
/// requests, when a front may close it.
const SMALL_READ_LOAD: f64 = 0.6;
/// Maximum number of connections of these clients.
const MAX_SMALL_READ_CONNECTIONS: usize = 24;
/// Maximum request rate of the clients of a front.
const MAX_REQUESTS_PER_SECOND: f64 = 40.0;
/// Connections of clients that read large answers, or read without pauses.
const CONNECTIONS: usize = 6;

/// Divisor of the link capacity of slow nodes.
const SLOW_NODE_DIVISOR: f64 = 20.0;

/// Draws the plan of a run.
fn plan(seed: u64, program: &Path) -> Plan {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for front in 0..FRONTS {
        for cycle in 0..CYCLES_PER_FRONT {
            let series = SignalSeries::ALL[random.random_range(0..SignalSeries::ALL.len())];
            let gap_s = random.random_range(0.01..0.6);
            let at = FIRST_CYCLE_SECONDS + random.random_range(0.0..0.5) + cycle as f64 * CYCLE_SECONDS;
            faults.push(fault(Kind::FrontCycled { series, gap_s }, at, at, vec![front]));
        }
    }
    let until = FIRST_CYCLE_SECONDS + CYCLES_PER_FRONT as f64 * CYCLE_SECONDS;
    let mut maybe_add = |kind: Kind, fronts: Vec<usize>, nodes: Vec<usize>| {
        if random.random_bool(1.0 / 3.0) {
            let from = random.random_range(0.0..until / 2.0);
            let nodes = Target { places: nodes, ..Target::default() };
            faults.push(Fault { nodes, ..fault(kind, from, until, fronts) });
        }
    };
    maybe_add(Kind::Crowd { connections: CROWD_CONNECTIONS }, vec![0], Vec::new());
    maybe_add(Kind::NewsCut, Vec::new(), Vec::new());
    maybe_add(Kind::NewsSilent, Vec::new(), Vec::new());
    maybe_add(Kind::NodeBreaking { share: 0.05 }, Vec::new(), Vec::new());
    maybe_add(Kind::NodeSilent, Vec::new(), vec![0, 1]);
    maybe_add(Kind::NodeSlow { times: SLOW_NODE_DIVISOR }, Vec::new(), vec![2, 3]);
    maybe_add(Kind::MemoryScarce, Vec::new(), Vec::new());
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

/// Draws how the clients of a run read, and the length of their objects. Small slow reads are drawn only in
/// the branch for immediate reads, so that the plans of all other seeds stay the same.
fn clients(random: &mut StdRng) -> Clients {
    let immediate = Clients {
        rate: MAX_REQUESTS_PER_SECOND,
        holds: 0.1,
        connections: CONNECTIONS,
        objects: 500,
        ..Clients::default()
    };
    let large = |pace| Clients { object_bytes: LARGE_OBJECT_BYTES, pace: Some(pace), ..immediate.clone() };
    match random.random_range(0..6) {
        0 => large(BURST_PACE),
        1 => large(BURST_PACE_DEFAULT_BUFFER),
        2 => large(SLOW_PACE),
        _ if random.random_bool(0.5) => small_slow_clients(random, immediate),
        _ => immediate,
    }
}

/// Draws clients that request small objects and read the answers slowly.
fn small_slow_clients(random: &mut StdRng, immediate: Clients) -> Clients {
    let object_bytes = random.random_range(SMALL_OBJECT_BYTES);
    let answer_bytes = object_bytes + ANSWER_OVERHEAD_BYTES;
    let pause_s = random.random_range(SMALL_READ_PAUSE_SECONDS);
    let chunk = TINY_BUFFER_BYTES.max(answer_bytes);
    // Request rate of one connection.
    let rate = chunk as f64 / answer_bytes as f64 / pause_s * SMALL_READ_LOAD;
    let connections = ((MAX_REQUESTS_PER_SECOND / rate) as usize).clamp(1, MAX_SMALL_READ_CONNECTIONS);
    Clients {
        rate: rate * connections as f64,
        connections,
        object_bytes,
        pace: Some(Pace { pause_s, chunk, receive_buffer: Some(TINY_BUFFER_BYTES) }),
        ..immediate
    }
}

/// Returns a fault on the fronts at these places.
fn fault(kind: Kind, at: f64, until: f64, places: Vec<usize>) -> Fault {
    let fronts = Target { places, ..Target::default() };
    Fault { kind, at, until, fronts, nodes: Target::default() }
}

/// Returns the names of a plan's faults, other than the series of signals, and of its clients' way of
/// reading.
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
        SLOW_PACE => "clients read slowly",
        BURST_PACE => "clients read in bursts",
        BURST_PACE_DEFAULT_BUFFER => "clients read in bursts from wide buffers",
        _ => "clients read small answers slowly",
    });
    plan.faults.iter().filter_map(|fault| name(fault.kind)).chain(reading).collect()
}

/// The report of all runs.
#[derive(Default, Serialize)]
struct Report {
    held: Vec<u64>,
    /// Seeds whose checks did not hold, with the broken rules.
    broken: BTreeMap<u64, BTreeMap<String, (usize, String)>>,
    /// Seeds without a verdict because the stand-ins ran late.
    without_verdict: Vec<u64>,
    by_series: BTreeMap<SignalSeries, CycleFigures>,
    /// By condition: the number of runs, and of runs whose checks did not hold.
    by_condition: BTreeMap<&'static str, (usize, usize)>,
}

impl Report {
    fn add(&mut self, seed: u64, plan: &Plan, verdict: Verdict) {
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
            *sum = sum.plus(figures);
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

/// Plays all runs and returns whether all held. A run without a verdict is played once more at the end.
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
    let (verdict, book, _) = run_plan_blocking(&plan, seed, logs.as_deref())?;
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
    report.add(seed, &plan, verdict);
    Ok(())
}
