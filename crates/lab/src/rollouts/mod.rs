//! Plays rollouts of harmful and harmless changes over modelled fronts, and prints a table of what the gate
//! stops, in which stage and at what cost, beside baselines without the gate.

mod explore;
mod plain;
mod world;

use onyxyoke::rollout::{GroupBy, Outcome, Placement, stages};
use plain::Judge;
use serde::Serialize;
use std::error::Error;
use std::path::PathBuf;
use world::{Harm, World, plan, play};

/// Command-line options of the rollout model.
#[derive(clap::Args)]
pub struct Options {
    /// Rollouts of each case, each with a seed of its own
    #[arg(long, default_value_t = 20)]
    rollouts: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Fronts of each rollout
    #[arg(long, default_value_t = 100)]
    fronts: usize,
    /// Explores all pairs of faults of a small rollout at multiples of this many seconds, in place of the
    /// table
    #[arg(long)]
    explore: Option<f64>,
    /// Play only the cases whose name contains this text
    #[arg(long, default_value = "")]
    only: String,
    /// File to which the table is written as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// A case: the harm of the new side, and failures on both sides meanwhile.
struct Case {
    name: &'static str,
    harm: Harm,
    background_failures: Option<BackgroundFailures>,
}

/// Failures of requests on both sides, whatever the change.
#[derive(Clone, Copy)]
struct BackgroundFailures {
    /// Start and end (seconds).
    from_s: f64,
    until_s: f64,
    /// Share of requests that fails.
    share: f64,
    /// The only location, or all.
    location: Option<usize>,
}

fn cases() -> Vec<Case> {
    let unserved = |share| Harm::Unserved { share, class: None, location: None, after: 0.0 };
    let limited = |share, class, location, after| Harm::Unserved { share, class, location, after };
    let case = |name, harm| Case { name, harm, background_failures: None };
    let harmless = |name, from_s, until_s, share, location| Case {
        name,
        harm: Harm::None,
        background_failures: Some(BackgroundFailures { from_s, until_s, share, location }),
    };
    vec![
        case("none", Harm::None),
        harmless("none, a burst that 30 % do not survive", 60.0, 75.0, 0.3, None),
        harmless("none, one location in trouble for 60 s", 45.0, 105.0, 0.2, Some(0)),
        case("2 % of requests", unserved(0.02)),
        case("5 %", unserved(0.05)),
        case("10 %", unserved(0.1)),
        case("30 %", unserved(0.3)),
        case("10 % of holds (3 % of requests)", limited(0.1, Some(1), None, 0.0)),
        case("10 % at one location", limited(0.1, None, Some(1), 0.0)),
        case("10 % from 20 s on", limited(0.1, None, None, 20.0)),
        case("an attempt more for 10 %", Harm::Retries(0.1)),
        case("latency times 1.5", Harm::Slower(1.5)),
        case("a leak of 0.5 MB/s from 20 s on", Harm::Leak(500.0, 20.0)),
        case("30 % for all neighbours, by the new fronts' share", Harm::Neighbours(0.3)),
    ]
}

/// A line of the table. Means are over all rollouts; that of the stage is over the stopped ones.
#[derive(Serialize)]
struct Row {
    case: &'static str,
    by: &'static str,
    rollouts: u64,
    stopped: u64,
    /// Rollouts that were neither done nor stopped, or left a front without a serving process.
    broken: u64,
    mean_stage: f64,
    /// Share of the fleet's requests that the change harmed: mean and largest over the rollouts.
    harmed: f64,
    harmed_most: f64,
    mean_s: f64,
}

/// Plays all cases; returns whether no rollout was broken.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    if let Some(step) = options.explore {
        if !(0.1..=20.0).contains(&step) {
            return Err("'--explore' is not from 0.1 to 20 seconds".into());
        }
        let ends = explore::play_fault_pairs(step)?;
        println!("{} pairs of faults, all held: {ends:?}", ends.values().sum::<u64>());
        return Ok(true);
    }
    let mut rows = Vec::new();
    println!(
        "{:<50} {:<22} {:>8} {:>6} {:>9} {:>9} {:>6}",
        "harm", "judged by", "stopped", "stage", "harmed", "most", "time"
    );
    for case in cases().into_iter().filter(|c| c.name.contains(&options.only)) {
        let judges = [
            (None, "gate"),
            (Some(Judge::AllAtOnce), "nobody, all at once"),
            (Some(Judge::Threshold), "stages, threshold"),
            (Some(Judge::TTest), "stages, t-test each s"),
        ];
        for (judge, by) in judges {
            let row = play_all(options, &case, judge, by);
            println!(
                "{:<50} {:<22} {:>4}/{:<3} {:>6.1} {:>8.3}% {:>8.3}% {:>5.0}s",
                row.case,
                row.by,
                row.stopped,
                row.rollouts,
                row.mean_stage,
                row.harmed * 100.0,
                row.harmed_most * 100.0,
                row.mean_s
            );
            rows.push(row);
        }
    }
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(rows.iter().all(|r| r.broken == 0))
}

/// Plays a case's rollouts with every seed, by the gate or by a baseline's judge.
fn play_all(options: &Options, case: &Case, judge: Option<Judge>, by: &'static str) -> Row {
    let background_failures = |now: f64| match case.background_failures {
        Some(failures) if (failures.from_s..failures.until_s).contains(&now) => {
            (failures.share, failures.location)
        }
        _ => (0.0, None),
    };
    let (mut stopped, mut broken, mut stage, mut seconds) = (0, 0, 0.0, 0.0);
    let mut harmed: Vec<f64> = Vec::new();
    for seed in options.seed..options.seed + options.rollouts {
        let mut world = World::new(options.fronts, seed, case.harm);
        let plan = plan(options.fronts, seed);
        let (is_stopped, at, took) = match judge {
            None => {
                let played = play(&mut world, &plan, &Vec::new(), &[], &[], background_failures);
                broken += u64::from(
                    !matches!(played.end, Some(Outcome::Done | Outcome::Stopped)) || played.broken.is_some(),
                );
                if options.rollouts == 1 {
                    println!("{}: {:?}", case.name, played.why);
                }
                (played.end == Some(Outcome::Stopped), played.stage, played.seconds)
            }
            Some(judge) => {
                let placement = |i| Placement { location: i % 3, rate: 1.0 };
                let placements: Vec<Placement> = (0..options.fronts).map(placement).collect();
                let stages_of_gate = stages(&placements, &plan.limits.stages, 0.01, GroupBy::Front, seed);
                let judged = plain::play(&mut world, judge, &stages_of_gate, background_failures);
                (judged.stopped, judged.stage, judged.seconds)
            }
        };
        stopped += u64::from(is_stopped);
        stage += if is_stopped { at as f64 + 1.0 } else { 0.0 };
        seconds += took;
        harmed.push(world.harmed as f64 / world.requests.max(1) as f64);
    }
    let rollouts = options.rollouts.max(1) as f64;
    Row {
        case: case.name,
        by,
        rollouts: options.rollouts,
        stopped,
        broken,
        mean_stage: stage / (stopped.max(1)) as f64,
        harmed: harmed.iter().sum::<f64>() / rollouts,
        harmed_most: harmed.iter().copied().fold(0.0, f64::max),
        mean_s: seconds / rollouts,
    }
}

#[cfg(test)]
mod tests;
