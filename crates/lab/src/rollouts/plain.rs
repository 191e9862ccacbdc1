//! What one would do without the gate: all fronts at once; stages that a fixed threshold judges; stages that a t-test
//! judges every second, as if each look were the only one.

use super::world::{STEP, World};
use onyxyoke::rollout::{Counts, Release, Stage};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Who judges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judge {
    /// Nobody: all fronts change at once.
    Nobody,
    /// More than three in a hundred of the new fronts' requests are not served.
    Threshold,
    /// A one-sided Welch t-test of shares by front and second, at one in a hundred.
    TTest,
}

/// How it ended: stopped or not, in which stage, after how long.
pub struct RolloutOutcome {
    pub stopped: bool,
    pub stage: usize,
    pub seconds: f64,
}

const SOAK: f64 = 40.0;
const MOST: f64 = 0.03;
const ALPHA: f64 = 0.01;
/// Sums of shares: how many, their sum, that of their squares.
type Shares = (f64, f64, f64);

/// Plays it; the stages are those that the gate's rollout would take.
pub fn play(
    world: &mut World,
    judge: Judge,
    stages: &[Stage],
    mut trouble: impl FnMut(f64) -> (f64, Option<usize>),
) -> RolloutOutcome {
    let all = stages.iter().flat_map(|s| s.fronts.iter().copied()).collect();
    let parts: Vec<Vec<usize>> = match judge {
        Judge::Nobody => vec![all],
        _ => stages.iter().map(|s| s.fronts.clone()).collect(),
    };
    // As long as the gate's rollouts are only watched.
    while world.now < 20.0 {
        world.trouble = trouble(world.now);
        world.pass(&mut Vec::new());
    }
    let mut stopped = None;
    for (stage, fronts) in parts.iter().enumerate() {
        fronts.iter().for_each(|&f| world.swap(f, Release::New));
        let begun = world.now;
        let mut before = world.counts();
        // New and old: shares by front and second, and sums.
        let (mut shares, mut sums) = ([Shares::default(); 2], [(0.0, 0.0); 2]);
        while world.now - begun < SOAK && stopped.is_none() {
            for _ in 0..(1.0 / STEP) as usize {
                world.trouble = trouble(world.now);
                world.pass(&mut Vec::new());
            }
            let counts = world.counts();
            for (was, is) in before.iter().zip(&counts) {
                let i = usize::from(is.0 == Release::Old);
                let sum = |c: &[Counts], of: &dyn Fn(&Counts) -> u64| c.iter().map(of).sum::<u64>() as f64;
                let asked = sum(&is.1, &|c| c.requests()) - sum(&was.1, &|c| c.requests());
                let bad = sum(&is.1, &|c| c.busy + c.failed) - sum(&was.1, &|c| c.busy + c.failed);
                if asked > 0.0 {
                    let (share, s) = (bad / asked, &mut shares[i]);
                    *s = (s.0 + 1.0, s.1 + share, s.2 + share * share);
                    sums[i] = (sums[i].0 + asked, sums[i].1 + bad);
                }
            }
            before = counts;
            let worse = match judge {
                Judge::Nobody => false,
                Judge::Threshold => sums[0].0 >= 50.0 && sums[0].1 / sums[0].0 > MOST,
                Judge::TTest => differs(shares[0], shares[1]),
            };
            if worse {
                stopped = Some(stage);
            }
        }
        if stopped.is_some() {
            break;
        }
    }
    if stopped.is_some() {
        (0..world.counts().len()).for_each(|f| world.swap(f, Release::Old));
    }
    let stage = stopped.unwrap_or(parts.len() - 1);
    RolloutOutcome { stopped: stopped.is_some(), stage, seconds: world.now }
}

/// Is the first mean greater than the second, by Welch's test?
fn differs(a: Shares, b: Shares) -> bool {
    let of = |s: Shares| {
        let mean = s.1 / s.0;
        (mean, (s.2 / s.0 - mean * mean).max(0.0) * s.0 / (s.0 - 1.0) / s.0)
    };
    if a.0 < 3.0 || b.0 < 3.0 {
        return false;
    }
    let ((ma, va), (mb, vb)) = (of(a), of(b));
    if va + vb <= 0.0 {
        return false;
    }
    let t = (ma - mb) / (va + vb).sqrt();
    let freedom = (va + vb).powi(2) / (va * va / (a.0 - 1.0) + vb * vb / (b.0 - 1.0));
    StudentsT::new(0.0, 1.0, freedom).is_ok_and(|d| 1.0 - d.cdf(t) < ALPHA)
}
