//! Measures how evenly many fronts spread their load when each sees only a small part of it. Prints the table
//! of the design page: the shipped directors decide, the rest of the system is modelled.

mod cases;
mod plain;
mod scenario;
mod statistics;
mod table;
mod world;

use cases::{CASES, Case, MEAN_LINK_LOAD, WARM_UP_S};
use onyxyoke::interface::Settings;
use scenario::Scenario;
use std::error::Error;
use std::ops::Range;
use table::Row;
use world::World;

/// Command-line options of the emulation.
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
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Plain policy that chooses in place of the director
    #[arg(long)]
    policy: Option<plain::Policy>,
    /// Play only the cases whose name contains this text
    #[arg(long, default_value = "")]
    only: String,
}

impl Options {
    fn seed_range(&self) -> Range<u64> {
        self.seed..self.seed + self.seeds
    }
}

/// Length of a run after its warm-up (seconds).
const RUN_AFTER_WARM_UP_S: f64 = 42.0;

/// Plays every case with every seed and prints a line of means for each case.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    let settings = operator_settings()?;
    println!(
        "{} fronts, {} nodes, {} requests/s a front, seeds {:?}; work per unit of link, mean 1",
        options.fronts,
        options.nodes,
        options.rate,
        options.seed_range()
    );
    table::print_head();
    for case in CASES.iter().filter(|case| case.name.contains(&options.only)) {
        table::print_means(case, &play_seeds(options, case, &settings));
    }
    Ok(true)
}

/// Returns the settings of the operator's example.
fn operator_settings() -> Result<Settings, Box<dyn Error>> {
    let operator: serde_json::Value = toml::from_str(crate::OPERATOR_EXAMPLE)?;
    Ok(onyxyoke::config::settings(operator["settings"].to_string().as_bytes())?)
}

/// Plays a case with every seed, each in a thread of its own.
fn play_seeds(options: &Options, case: &Case, settings: &Settings) -> Vec<Row> {
    std::thread::scope(|scope| {
        let play = |seed| scope.spawn(move || play(options, case, settings, seed));
        let runs: Vec<_> = options.seed_range().map(play).collect();
        runs.into_iter().map(|run| run.join().expect("a run panicked")).collect()
    })
}

fn play(options: &Options, case: &Case, settings: &Settings, seed: u64) -> Row {
    let mut world = World::new(scenario(options, case, seed), settings.clone());
    world.play();
    Row::new(&world.statistics, case)
}

/// Returns the usual scenario with a case's changes. The mean object size is chosen so that the links carry
/// `MEAN_LINK_LOAD`.
fn scenario(options: &Options, case: &Case, seed: u64) -> Scenario {
    let mut scenario = Scenario {
        fronts: options.fronts,
        caches: options.nodes,
        request_rate: options.rate,
        busy_share: 0.0,
        busy_factor: 1.0,
        zipf_exponent: 0.9,
        objects: 3_000,
        link_sizes: vec![4.0],
        mean_work: 1.0,
        duration: WARM_UP_S + RUN_AFTER_WARM_UP_S,
        seed,
        faults: Vec::new(),
        policy: options.policy,
    };
    (case.change)(&mut scenario);
    let links: f64 = (0..scenario.caches).map(|cache| scenario.link_size(cache)).sum();
    scenario.mean_work = MEAN_LINK_LOAD * links / (scenario.fronts as f64 * scenario.request_rate);
    scenario
}
