//! How evenly the load of many fronts comes out, each of which sees little of it: the table of the design
//! page, from the directors that ship and a model of the rest.

mod cases;
mod plain;
mod scenario;
mod statistics;
mod table;
mod world;

use cases::{CASES, Case, LOAD, WARM};
use onyxyoke::interface::Settings;
use scenario::Scenario;
use std::error::Error;
use std::ops::Range;
use table::Row;
use world::World;

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

impl Options {
    fn seed_range(&self) -> Range<u64> {
        self.seed..self.seed + self.seeds
    }
}

/// How long a run goes on after its warm seconds.
const LOOKED_AT_MOST: f64 = 42.0;

/// Plays every case with every seed and prints the table.
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

/// The settings of the operator's example.
fn operator_settings() -> Result<Settings, Box<dyn Error>> {
    let operator: serde_json::Value = toml::from_str(crate::OPERATOR)?;
    Ok(onyxyoke::config::settings(operator["settings"].to_string().as_bytes())?)
}

/// Plays a case with every seed at once.
fn play_seeds(options: &Options, case: &Case, settings: &Settings) -> Vec<Row> {
    std::thread::scope(|scope| {
        let play = |seed| scope.spawn(move || play(options, case, settings, seed));
        let runs: Vec<_> = options.seed_range().map(play).collect();
        runs.into_iter().map(|run| run.join().expect("a run that ends")).collect()
    })
}

fn play(options: &Options, case: &Case, settings: &Settings, seed: u64) -> Row {
    let mut world = World::new(scenario(options, case, seed), settings.clone());
    world.play();
    Row::new(&world.statistics, case)
}

/// The usual scenario with a case's changes; objects are of such a size that the links are loaded as meant.
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
        duration: WARM + LOOKED_AT_MOST,
        seed,
        faults: Vec::new(),
        policy: options.policy,
    };
    (case.change)(&mut scenario);
    let links: f64 = (0..scenario.caches).map(|cache| scenario.link_size(cache)).sum();
    scenario.mean_work = LOAD * links / (scenario.fronts as f64 * scenario.request_rate);
    scenario
}
