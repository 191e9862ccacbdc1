//! Rollouts of harmful and harmless changes over modelled fronts, in a table: what the gate stops, when, and at what
//! cost, beside what one would do otherwise.

mod explore;
mod plain;
mod world;

use onyxyoke::rollout::{GroupBy, Outcome, Placement, stages};
use plain::Judge;
use serde::Serialize;
use std::error::Error;
use std::path::PathBuf;
use world::{Harm, World, plan, play};

/// How many of which.
#[derive(clap::Args)]
pub struct Options {
    /// Rollouts of each case, each from a seed of its own
    #[arg(long, default_value_t = 20)]
    rollouts: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Fronts of each
    #[arg(long, default_value_t = 100)]
    fronts: usize,
    /// Explores all pairs of faults at every so many seconds of a small rollout, in place of the table
    #[arg(long)]
    explore: Option<f64>,
    /// Only cases whose name has this in it
    #[arg(long, default_value = "")]
    only: String,
    /// Where the table is written as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// A case: what is wrong with the new side, and what happens meanwhile to everybody.
struct Case {
    name: &'static str,
    harm: Harm,
    /// Times and share of requests that fail, at one location or everywhere.
    trouble: Option<(f64, f64, f64, Option<usize>)>,
}

fn cases() -> Vec<Case> {
    let unserved = |share| Harm::Unserved { share, class: None, location: None, after: 0.0 };
    let one = |share, class, location, after| Harm::Unserved { share, class, location, after };
    let case = |name, harm| Case { name, harm, trouble: None };
    let during = |name, trouble| Case { name, harm: Harm::None, trouble: Some(trouble) };
    vec![
        case("none", Harm::None),
        during("none, a burst that 30 % do not survive", (60.0, 75.0, 0.3, None)),
        during("none, one location in trouble for 60 s", (45.0, 105.0, 0.2, Some(0))),
        case("2 % of requests", unserved(0.02)),
        case("5 %", unserved(0.05)),
        case("10 %", unserved(0.1)),
        case("30 %", unserved(0.3)),
        case("10 % of holds (3 % of requests)", one(0.1, Some(1), None, 0.0)),
        case("10 % at one location", one(0.1, None, Some(1), 0.0)),
        case("10 % from 20 s on", one(0.1, None, None, 20.0)),
        case("an attempt more for 10 %", Harm::Retries(0.1)),
        case("latency times 1.5", Harm::Slower(1.5)),
        case("a leak of 0.5 MB/s from 20 s on", Harm::Leak(500.0, 20.0)),
        case("30 % for all neighbours, by the new fronts' share", Harm::Neighbours(0.3)),
    ]
}

/// A line of the table; means over all rollouts, or over the stopped ones.
#[derive(Serialize)]
struct Row {
    case: &'static str,
    by: &'static str,
    rollouts: u64,
    stopped: u64,
    /// Neither done nor stopped, or with a front that no process served.
    broken: u64,
    mean_stage: f64,
    /// Share of the fleet's requests that the change harmed: the mean and the worst.
    harmed: f64,
    harmed_most: f64,
    mean_s: f64,
}

/// Plays them all; did no rollout leave a front without a process?
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    if let Some(step) = options.explore {
        if !(0.1..=20.0).contains(&step) {
            return Err("'--explore' is not from 0.1 to 20 seconds".into());
        }
        let ends = explore::pairs(step)?;
        println!("{} pairs of faults, all held: {ends:?}", ends.values().sum::<u64>());
        return Ok(true);
    }
    let mut rows = Vec::new();
    println!(
        "{:<50} {:<22} {:>8} {:>6} {:>9} {:>9} {:>6}",
        "harm", "judged by", "stopped", "stage", "harmed", "most", "time"
    );
    for case in cases().into_iter().filter(|c| c.name.contains(&options.only)) {
        let others = [
            (None, "gate"),
            (Some(Judge::Nobody), "nobody, all at once"),
            (Some(Judge::Threshold), "stages, threshold"),
            (Some(Judge::TTest), "stages, t-test each s"),
        ];
        for (judge, by) in others {
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

fn play_all(options: &Options, case: &Case, judge: Option<Judge>, by: &'static str) -> Row {
    let trouble = |now: f64| match case.trouble {
        Some((from, until, share, location)) if (from..until).contains(&now) => (share, location),
        _ => (0.0, None),
    };
    let (mut stopped, mut broken, mut stage, mut seconds) = (0, 0, 0.0, 0.0);
    let mut harmed: Vec<f64> = Vec::new();
    for seed in options.seed..options.seed + options.rollouts {
        let mut world = World::new(options.fronts, seed, case.harm);
        let plan = plan(options.fronts, seed);
        let (is_stopped, at, took) = match judge {
            None => {
                let played = play(&mut world, &plan, &Vec::new(), &[], &[], trouble);
                broken += u64::from(
                    !matches!(played.end, Some(Outcome::Done | Outcome::Stopped)) || played.broken.is_some(),
                );
                if options.rollouts == 1 {
                    println!("{}: {:?}", case.name, played.why);
                }
                (played.end == Some(Outcome::Stopped), played.stage, played.seconds)
            }
            Some(judge) => {
                let seat = |i| Placement { location: i % 3, rate: 1.0 };
                let seats: Vec<Placement> = (0..options.fronts).map(seat).collect();
                let made = stages(&seats, &plan.limits.stages, 0.01, GroupBy::Front, seed);
                let judged = plain::play(&mut world, judge, &made, trouble);
                (judged.stopped, judged.stage, judged.seconds)
            }
        };
        stopped += u64::from(is_stopped);
        stage += if is_stopped { at as f64 + 1.0 } else { 0.0 };
        seconds += took;
        harmed.push(world.harmed as f64 / world.asked.max(1) as f64);
    }
    let n = options.rollouts.max(1) as f64;
    Row {
        case: case.name,
        by,
        rollouts: options.rollouts,
        stopped,
        broken,
        mean_stage: stage / (stopped.max(1)) as f64,
        harmed: harmed.iter().sum::<f64>() / n,
        harmed_most: harmed.iter().copied().fold(0.0, f64::max),
        mean_s: seconds / n,
    }
}

#[cfg(test)]
mod tests;
