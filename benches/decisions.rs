//! The cost of an ordinary decision: one director of 12 caches, a request of Zipf 0.9 popularity every 20 ms
//! of simulated time, ten requests in flight and no failures. Prints the nanoseconds per request from its
//! arrival to its end, minimum and median of some rounds. To compare two builds, run it from both trees in
//! turn. `cargo bench --bench decisions`

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use onyxyoke::interface::*;
use std::collections::VecDeque;
use std::time::Instant;

const ROUNDS: usize = 15;
const REQUESTS: usize = 40_000;
const OBJECTS: f64 = 3_000.0;
const CACHES: u64 = 12;
const REQUESTS_IN_FLIGHT: usize = 10;
const REQUEST_INTERVAL_S: f64 = 0.02;

/// Draws a rank of Zipf 0.9 among `OBJECTS` by inversion.
fn rank(random: &mut fastrand::Rng) -> u64 {
    (1.0 + random.f64() * (OBJECTS.powf(0.1) - 1.0)).powf(10.0) as u64
}

/// Runs one round and returns the nanoseconds per request.
fn run_round(seed: u64) -> f64 {
    let nodes: Vec<Node> =
        (0..CACHES).map(|i| edge(10 + i)).chain([parent(40), parent(41), origin(50)]).collect();
    let mut stage = DirectorHarness::seeded(seed, settings(), &nodes);
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut in_flight, mut spent_ns) = (VecDeque::new(), 0);
    for _ in 0..REQUESTS {
        stage.now += REQUEST_INTERVAL_S;
        let object = rank(&mut random);
        let started = Instant::now();
        let (_, actions) = stage.ask(object, 50.0);
        in_flight.extend(sent_attempts(&actions));
        if in_flight.len() >= REQUESTS_IN_FLIGHT
            && let Some(first) = in_flight.pop_front()
        {
            let now = stage.now;
            stage.end(first, 0, Outcome::Ok, Note::Hit, REQUEST_INTERVAL_S * REQUESTS_IN_FLIGHT as f64);
            stage.now = now;
        }
        spent_ns += started.elapsed().as_nanos();
    }
    spent_ns as f64 / REQUESTS as f64
}

fn main() {
    let mut rounds: Vec<f64> = (0..ROUNDS as u64).map(run_round).collect();
    rounds.sort_by(f64::total_cmp);
    println!("ns per request: minimum {:.0}, median {:.0}", rounds[0], rounds[ROUNDS / 2]);
}
