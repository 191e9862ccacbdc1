//! What an ordinary request costs two builds of the front: the same calm load on both in turns, and the ratio of the
//! processor time that each took for a served request.

use crate::soak::World;
use crate::soak::clients::{Class, Clients};
use crate::soak::front::Front;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Which builds, and how long.
#[derive(clap::Args)]
pub struct Options {
    /// One build's program
    #[arg(long)]
    front: PathBuf,
    /// The other's
    #[arg(long)]
    against: PathBuf,
    /// Pairs of runs
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Length of one run
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Requests a second
    #[arg(long, default_value_t = 1500.0)]
    rate: f64,
    /// What is drawn at random, is drawn from this
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Before a run counts (seconds).
const WARM: f64 = 1.0;

/// Runs both in turns and prints each pair.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut ratios = Vec::new();
    for round in 0..options.rounds {
        // Each pair draws the same, and the order changes, so that neither gains from being first.
        let one = |program: &Path| {
            LocalSet::new().block_on(&runtime, cost(options, program, options.seed + round as u64))
        };
        let (a, b) = if round % 2 == 0 {
            let a = one(&options.front)?;
            (a, one(&options.against)?)
        } else {
            let b = one(&options.against)?;
            (one(&options.front)?, b)
        };
        println!("{:.2} us a request against {:.2}, ratio {:.3}", a.0, b.0, a.0 / b.0);
        println!("  served {} and {}", a.1, b.1);
        ratios.push(a.0 / b.0);
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

/// Microseconds of processor time for a served request, and how many were served.
async fn cost(options: &Options, program: &Path, seed: u64) -> Result<(f64, u64), Box<dyn Error>> {
    let world = World::start(seed).await?;
    let mut front = Front::start(program, (192, 1024), &world.members, world.coordinator.address).await?;
    let clients = Clients::new(front.address, seed, options.rate);
    clients.one_time.set(0.0);
    clients.start();
    sleep(Duration::from_secs_f64(WARM)).await;
    let served = || Class::ALL.iter().map(|&c| clients.counts(c).served).sum::<u64>();
    let (before, spent) = (served(), front.processor_ns()?);
    sleep(Duration::from_secs_f64(options.seconds)).await;
    let (served, spent) = (served() - before, front.processor_ns()? - spent);
    clients.stop();
    front.end().await;
    Ok((spent as f64 / 1000.0 / served.max(1) as f64, served))
}
