//! Plain policies from the literature, as a baseline for the director. None of them uses health, beliefs or
//! link sizes.

use rand::Rng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;

/// A policy that chooses a cache for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// Any cache, uniformly at random.
    Random,
    /// The cache with the object's highest rendezvous hash, its home.
    Hash,
    /// Of two caches drawn at random, the one to which this front has sent less.
    TwoChoices,
    /// The first cache in hash order to which this front has sent no more than 1.25 times the mean.
    BoundedLoads,
}

/// Bounded loads: the most that a cache may have been sent, as a multiple of the mean.
const LOAD_BOUND: f64 = 1.25;

/// Bit at which a cache's index is mixed into an object's name; the others spread the result over 64 bits.
const CACHE_SHIFT: u32 = 40;
const FIRST_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const ROTATION: u32 = 29;
const SECOND_FACTOR: u64 = 0xd1b5_4a32_d192_ed03;

impl Policy {
    /// Chooses one of the caches that are up, by index; `sent` is the amount that this front has sent to each
    /// cache.
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

/// Returns the rendezvous hash of an object and a cache; the cache with the highest one is the object's home.
fn score(object: u64, cache: usize) -> u64 {
    (object ^ (cache as u64) << CACHE_SHIFT)
        .wrapping_mul(FIRST_FACTOR)
        .rotate_left(ROTATION)
        .wrapping_mul(SECOND_FACTOR)
}

/// Returns the first cache in hash order that is within the bound, or the home if none is; `up` is not empty.
fn first_within_bound(object: u64, up: &[usize], sent: &[f64]) -> usize {
    let mean = up.iter().map(|&cache| sent[cache]).sum::<f64>() / up.len() as f64;
    let mut by_score = up.to_vec();
    by_score.sort_by_key(|&cache| Reverse(score(object, cache)));
    let within_bound = |cache: &&usize| sent[**cache] <= LOAD_BOUND * mean;
    *by_score.iter().find(within_bound).unwrap_or(&by_score[0])
}
