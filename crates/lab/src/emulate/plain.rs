//! Plain policies from the literature, to measure the director beside: none knows health, beliefs or links.

use rand::Rng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// Any cache, evenly.
    Random,
    /// The object's home by rendezvous hash.
    Hash,
    /// Of two drawn at random the one that this front sent less.
    TwoChoices,
    /// The first by hash to which this front sent no more than 1.25 times the mean.
    BoundedLoads,
}

/// The factor of bounded loads.
const LOAD_BOUND: f64 = 1.25;

/// Where a cache's index is mixed into an object's name, and what spreads the two over 64 bits.
const CACHE_SHIFT: u32 = 40;
const FIRST_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const ROTATION: u32 = 29;
const SECOND_FACTOR: u64 = 0xd1b5_4a32_d192_ed03;

impl Policy {
    /// One of the caches that are up, by index; `sent` is what this front sent each.
    pub fn choose(self, object: u64, up: &[usize], sent: &[f64], random: &mut SmallRng) -> Option<usize> {
        if up.is_empty() {
            return None;
        }
        match self {
            Policy::Random => Some(draw(up, random)),
            Policy::Hash => up.iter().copied().max_by_key(|&cache| score(object, cache)),
            Policy::TwoChoices => {
                let (first, second) = (draw(up, random), draw(up, random));
                Some(if sent[first] <= sent[second] { first } else { second })
            }
            Policy::BoundedLoads => Some(first_within_bound(object, up, sent)),
        }
    }
}

fn draw(up: &[usize], random: &mut SmallRng) -> usize {
    up[random.random_range(0..up.len())]
}

/// The rendezvous hash of an object and a cache; the highest one is the object's home.
fn score(object: u64, cache: usize) -> u64 {
    (object ^ (cache as u64) << CACHE_SHIFT)
        .wrapping_mul(FIRST_FACTOR)
        .rotate_left(ROTATION)
        .wrapping_mul(SECOND_FACTOR)
}

/// The first cache by hash that was not sent too much, or the home if there is none; `up` is not empty.
fn first_within_bound(object: u64, up: &[usize], sent: &[f64]) -> usize {
    let mean = up.iter().map(|&cache| sent[cache]).sum::<f64>() / up.len() as f64;
    let mut by_score = up.to_vec();
    by_score.sort_by_key(|&cache| Reverse(score(object, cache)));
    let within_bound = |cache: &&usize| sent[**cache] <= LOAD_BOUND * mean;
    *by_score.iter().find(within_bound).unwrap_or(&by_score[0])
}
