//! Compares the processor time per served request of two builds of the front. Both get the same load without
//! faults, in alternating order.

use crate::soak::World;
use crate::soak::clients::{Class, Clients};
use crate::soak::front::Front;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Command-line options of the comparison.
#[derive(clap::Args)]
pub struct Options {
    /// Program of one build
    #[arg(long)]
    front: PathBuf,
    /// Program of the other build
    #[arg(long)]
    against: PathBuf,
    /// Pairs of runs
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Length of one run (seconds)
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Requests per second
    #[arg(long, default_value_t = 1500.0)]
    rate: f64,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Warm-up of a run, which is not measured (seconds).
const WARM_UP_S: f64 = 1.0;

/// The measurement of one run.
struct Measurement {
    /// Processor time per served request (microseconds).
    us_per_request: f64,
    served: u64,
}

/// Runs both builds in each round, and prints each pair and the ratios.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut ratios = Vec::new();
    for round in 0..options.rounds {
        // Both runs of a pair have the same seed; the order alternates, so that neither build gains from
        // being first.
        let measure_build = |program: &Path| {
            LocalSet::new().block_on(&runtime, measure(options, program, options.seed + round as u64))
        };
        let (front, against) = if round % 2 == 0 {
            let front = measure_build(&options.front)?;
            (front, measure_build(&options.against)?)
        } else {
            let against = measure_build(&options.against)?;
            (measure_build(&options.front)?, against)
        };
        let ratio = front.us_per_request / against.us_per_request;
        println!(
            "{:.2} us a request against {:.2}, ratio {:.3}",
            front.us_per_request, against.us_per_request, ratio
        );
        println!("  served {} and {}", front.served, against.served);
        ratios.push(ratio);
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "ratio: least {:.3}, median {:.3}, most {:.3}",
        ratios[0],
        ratios[ratios.len() / 2],
        ratios[ratios.len() - 1]
    );
    Ok(true)
}

/// Runs a build under load, and measures its processor time after the warm-up.
async fn measure(options: &Options, program: &Path, seed: u64) -> Result<Measurement, Box<dyn Error>> {
    let world = World::start(seed).await?;
    let mut front = Front::start(program, (192, 1024), &world.members, world.coordinator.address).await?;
    let clients = Clients::new(front.address, seed, options.rate);
    clients.one_time.set(0.0);
    clients.start();
    sleep(Duration::from_secs_f64(WARM_UP_S)).await;
    let served = || Class::ALL.iter().map(|&class| clients.counts(class).served).sum::<u64>();
    let (served_before, processor_ns_before) = (served(), front.processor_ns()?);
    sleep(Duration::from_secs_f64(options.seconds)).await;
    let (served, processor_ns) = (served() - served_before, front.processor_ns()? - processor_ns_before);
    clients.stop();
    front.end().await;
    Ok(Measurement { us_per_request: processor_ns as f64 / 1000.0 / served.max(1) as f64, served })
}
