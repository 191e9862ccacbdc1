//! Plain policies from the literature, to measure the director beside: none knows health, beliefs or links.

use rand::Rng;
use rand::rngs::SmallRng;

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
const BOUND: f64 = 1.25;

impl Policy {
    /// One of the caches that are up, by place; `sent` is what this front sent each.
    pub fn choose(self, object: u64, up: &[usize], sent: &[f64], random: &mut SmallRng) -> Option<usize> {
        if up.is_empty() {
            return None;
        }
        let mut any = || up[random.random_range(0..up.len())];
        let score = |n: &usize| {
            (object ^ (*n as u64) << 40)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .rotate_left(29)
                .wrapping_mul(0xd1b5_4a32_d192_ed03)
        };
        Some(match self {
            Policy::Random => any(),
            Policy::Hash => *up.iter().max_by_key(|n| score(n))?,
            Policy::TwoChoices => {
                let (a, b) = (any(), any());
                if sent[a] <= sent[b] { a } else { b }
            }
            Policy::BoundedLoads => {
                let mean = up.iter().map(|&n| sent[n]).sum::<f64>() / up.len() as f64;
                let mut order = up.to_vec();
                order.sort_by_key(|n| std::cmp::Reverse(score(n)));
                *order.iter().find(|&&n| sent[n] <= BOUND * mean).unwrap_or(&order[0])
            }
        })
    }
}
