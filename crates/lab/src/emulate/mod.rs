//! How evenly the load of many fronts comes out, each of which sees little of it: the table of the design
//! page, from the directors that ship and a model of the rest.

mod plain;
mod world;

use onyxyoke::interface::Settings;
use std::error::Error;
use world::{Fault, FaultKind, Plan, Seen, WINDOW, World};

/// How it is played.
#[derive(clap::Args)]
pub struct Options {
    /// Fronts of one location
    #[arg(long, default_value_t = 200)]
    fronts: usize,
    /// Cache nodes of the location
    #[arg(long, default_value_t = 20)]
    nodes: usize,
    /// Requests a second of one front
    #[arg(long, default_value_t = 0.8)]
    rate: f64,
    /// Seeds, from this one on
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many of them
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// A plain policy in place of the director
    #[arg(long)]
    policy: Option<plain::Policy>,
    /// Only the cases whose name has this in it
    #[arg(long, default_value = "")]
    only: String,
}

/// Mean load of the links, and the first seconds, in which the caches fill.
const LOAD: f64 = 0.45;
const WARM: f64 = 60.0;

/// A case: its name, how it differs from the usual, and the seconds that are looked at (after the warm ones).
struct Case {
    name: &'static str,
    change: fn(&mut Plan),
    looked_at: (f64, f64),
    /// The caches that are judged beside the most and the least loaded.
    watched: &'static [usize],
}

fn fault(plan: &mut Plan, kind: FaultKind, nodes: &[usize], from: f64, until: f64) {
    plan.faults.push(Fault { kind, nodes: nodes.to_vec(), from: WARM + from, until: WARM + until });
}

const CASES: [Case; 17] = [
    Case { name: "zipf 0.7", change: |p| p.zipf = 0.7, looked_at: (0.0, 40.0), watched: &[] },
    Case { name: "zipf 0.9", change: |_| (), looked_at: (0.0, 40.0), watched: &[] },
    Case { name: "zipf 1.1", change: |p| p.zipf = 1.1, looked_at: (0.0, 40.0), watched: &[] },
    Case {
        name: "zipf 0.7, links 2 and 6",
        change: |p| (p.zipf, p.links) = (0.7, vec![2.0, 6.0]),
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "links 1 to 8",
        change: |p| p.links = vec![1.0, 8.0, 2.0, 5.0],
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "three nodes",
        change: |p| (p.nodes, p.links) = (3, vec![26.0]),
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "a tenth of the fronts ten times as busy",
        change: |p| (p.busy, p.busy_times) = (0.1, 10.0),
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "one object a third of all, its first 8 s",
        change: |p| fault(p, FaultKind::Hot(0.33), &[], 5.0, 40.0),
        looked_at: (5.0, 13.0),
        watched: &[],
    },
    Case {
        name: "the same, 8 to 35 s",
        change: |p| fault(p, FaultKind::Hot(0.33), &[], 5.0, 40.0),
        looked_at: (13.0, 40.0),
        watched: &[],
    },
    Case {
        name: "one 8 times as slow for 10 s: 8 to 30 s after",
        change: |p| fault(p, FaultKind::Slow(8.0), &[3], 0.0, 10.0),
        looked_at: (18.0, 40.0),
        watched: &[3],
    },
    Case {
        name: "one 8 times as slow for 10 s: meanwhile",
        change: |p| fault(p, FaultKind::Slow(8.0), &[3], 0.0, 10.0),
        looked_at: (2.0, 10.0),
        watched: &[3],
    },
    Case {
        name: "one 8 times as slow for 10 s: 2 to 8 s after",
        change: |p| fault(p, FaultKind::Slow(8.0), &[3], 0.0, 10.0),
        looked_at: (12.0, 18.0),
        watched: &[3],
    },
    Case {
        name: "one 8 times as slow for all of 40 s",
        change: |p| fault(p, FaultKind::Slow(8.0), &[3], 0.0, 40.0),
        looked_at: (2.0, 40.0),
        watched: &[3],
    },
    Case {
        name: "6 gone, back cold 10 s later: 8 to 30 s after",
        change: |p| fault(p, FaultKind::Gone, &[1, 4, 7, 10, 13, 16], 0.0, 10.0),
        looked_at: (18.0, 40.0),
        watched: &[1, 4, 7, 10, 13, 16],
    },
    Case {
        name: "all fronts restarted: 0 to 10 s after",
        change: |p| fault(p, FaultKind::FrontsRestart, &[], 0.0, 1.0),
        looked_at: (0.0, 10.0),
        watched: &[],
    },
    Case {
        name: "seven in ten fronts gone for 8 s: meanwhile",
        change: |p| fault(p, FaultKind::FrontsGone(0.7), &[], 0.0, 8.0),
        looked_at: (0.0, 8.0),
        watched: &[],
    },
    Case {
        name: "all copies gone at once: 0 to 10 s after",
        change: |p| fault(p, FaultKind::Emptied, &[], 0.0, 1.0),
        looked_at: (0.0, 10.0),
        watched: &[],
    },
];

/// What a case came to.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    most: f64,
    least: f64,
    watched: f64,
    hits: f64,
    origin: f64,
    refused: f64,
    in_time: f64,
    /// The same of those that came in the span that is looked at.
    in_time_then: f64,
}

fn row(seen: &Seen, case: &Case) -> Row {
    let at = |s: f64| ((WARM + s) / WINDOW) as usize;
    let sum = |w: &Vec<f64>| w[at(case.looked_at.0)..at(case.looked_at.1).min(w.len())].iter().sum::<f64>();
    let sums: Vec<f64> = seen.done.iter().map(sum).collect();
    let mean = sums.iter().sum::<f64>() / sums.len() as f64;
    let watched: Vec<f64> = case.watched.iter().map(|&i| sums[i]).collect();
    let asked = seen.asked as f64;
    Row {
        most: sums.iter().copied().fold(0.0, f64::max) / mean,
        least: sums.iter().copied().fold(f64::MAX, f64::min) / mean,
        watched: watched.iter().fold(0.0, |a, b| a + b) / watched.len().max(1) as f64 / mean,
        hits: 1.0 - seen.work_filled / seen.work_asked,
        origin: seen.work_origin / seen.work_asked,
        refused: (seen.refused + seen.failed) as f64 / asked,
        in_time: seen.in_time as f64 / asked,
        in_time_then: {
            let span = at(case.looked_at.0)..at(case.looked_at.1).min(seen.by_window.len());
            let (asked, served) = seen.by_window[span].iter().fold((0, 0), |a, w| (a.0 + w.0, a.1 + w.1));
            f64::from(served) / f64::from(asked)
        },
    }
}

fn mean(rows: &[Row], of: impl Fn(&Row) -> f64) -> f64 {
    rows.iter().map(of).sum::<f64>() / rows.len() as f64
}

/// Plays every case with every seed and prints the table.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    let operator: serde_json::Value = toml::from_str(crate::OPERATOR)?;
    let settings: Settings = onyxyoke::config::settings(operator["settings"].to_string().as_bytes())?;
    let seeds = options.seed..options.seed + options.seeds;
    println!(
        "{} fronts, {} nodes, {} requests/s a front, seeds {seeds:?}; work per unit of link, mean 1",
        options.fronts, options.nodes, options.rate
    );
    println!(
        "{:<48} {:>5} {:>5} {:>7} {:>6} {:>6} {:>6} {:>7} {:>6}",
        "case", "most", "least", "watched", "hits", "origin", "refus", "in time", "then"
    );
    for case in CASES.iter().filter(|c| c.name.contains(&options.only)) {
        let play = |seed| {
            let mut plan = Plan {
                fronts: options.fronts,
                nodes: options.nodes,
                rate: options.rate,
                busy: 0.0,
                busy_times: 1.0,
                zipf: 0.9,
                objects: 3_000,
                links: vec![4.0],
                work: 1.0,
                seconds: WARM + 42.0,
                seed,
                faults: Vec::new(),
                policy: options.policy,
            };
            (case.change)(&mut plan);
            let links: f64 = (0..plan.nodes).map(|i| plan.links[i % plan.links.len()]).sum();
            plan.work = LOAD * links / (plan.fronts as f64 * plan.rate);
            let mut world = World::new(plan, settings.clone());
            world.play();
            row(&world.seen, case)
        };
        let rows: Vec<Row> = std::thread::scope(|scope| {
            let runs: Vec<_> = seeds.clone().map(|seed| scope.spawn(move || play(seed))).collect();
            runs.into_iter().map(|r| r.join().expect("a run that ends")).collect()
        });
        println!(
            "{:<48} {:>5.2} {:>5.2} {:>7.2} {:>6.3} {:>6.3} {:>6.3} {:>7.3} {:>6.3}",
            case.name,
            mean(&rows, |r| r.most),
            mean(&rows, |r| r.least),
            mean(&rows, |r| r.watched),
            mean(&rows, |r| r.hits),
            mean(&rows, |r| r.origin),
            mean(&rows, |r| r.refused),
            mean(&rows, |r| r.in_time),
            mean(&rows, |r| r.in_time_then),
        );
    }
    Ok(true)
}
