//! Baselines for the gate: all fronts at once, stages that a fixed threshold judges, and stages that a t-test
//! judges every second, without a correction for repeated testing.

use super::world::{STEP_S, World};
use onyxyoke::rollout::{Counts, Release, Stage};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The rule that judges the stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judge {
    /// No rule: all fronts change at once.
    AllAtOnce,
    /// Stops if more than 3 % of the new fronts' requests are not served.
    Threshold,
    /// Stops by a one-sided Welch t-test of the shares by front and second, at the 1 % level.
    TTest,
}

/// How a rollout ended: whether it was stopped, in which stage (by index), and after how many seconds.
pub struct RolloutOutcome {
    pub stopped: bool,
    pub stage: usize,
    pub seconds: f64,
}

/// Time before the first stage, as long as the gate's rollouts watch (seconds).
const WATCH_S: f64 = 20.0;
/// Length of a stage (seconds).
const STAGE_S: f64 = 40.0;
/// Largest share of unserved requests that the threshold accepts.
const MAX_UNSERVED_SHARE: f64 = 0.03;
/// Requests of the new side below which the threshold does not judge.
const MIN_REQUESTS: f64 = 50.0;
/// Significance level of the t-test.
const SIGNIFICANCE: f64 = 0.01;
/// Samples of each side below which the t-test does not judge.
const MIN_SAMPLES: f64 = 3.0;

/// Sums over the shares of unserved requests by front and second.
#[derive(Clone, Copy, Default)]
struct ShareSums {
    samples: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl ShareSums {
    /// Returns the mean, and its squared standard error.
    fn mean_and_variance(self) -> (f64, f64) {
        let mean = self.sum / self.samples;
        let variance = (self.sum_of_squares / self.samples - mean * mean).max(0.0) * self.samples
            / (self.samples - 1.0)
            / self.samples;
        (mean, variance)
    }
}

/// Requests of a side, and those of them that were not served.
#[derive(Clone, Copy, Default)]
struct RequestSums {
    requests: f64,
    unserved: f64,
}

/// Plays a rollout that `judge` judges; `stages` are those of the gate's rollout.
pub fn play(
    world: &mut World,
    judge: Judge,
    stages: &[Stage],
    mut background_failures: impl FnMut(f64) -> (f64, Option<usize>),
) -> RolloutOutcome {
    let all = stages.iter().flat_map(|s| s.fronts.iter().copied()).collect();
    let batches: Vec<Vec<usize>> = match judge {
        Judge::AllAtOnce => vec![all],
        _ => stages.iter().map(|s| s.fronts.clone()).collect(),
    };
    while world.now < WATCH_S {
        world.background_failures = background_failures(world.now);
        world.advance(&mut Vec::new());
    }
    let mut stopped = None;
    for (stage, fronts) in batches.iter().enumerate() {
        fronts.iter().for_each(|&f| world.replace_process(f, Release::New));
        let stage_start = world.now;
        let mut before = world.counts();
        // Indexed by side: new, then old.
        let (mut shares, mut sums) = ([ShareSums::default(); 2], [RequestSums::default(); 2]);
        while world.now - stage_start < STAGE_S && stopped.is_none() {
            for _ in 0..(1.0 / STEP_S) as usize {
                world.background_failures = background_failures(world.now);
                world.advance(&mut Vec::new());
            }
            let counts = world.counts();
            for (earlier, current) in before.iter().zip(&counts) {
                let side = usize::from(current.0 == Release::Old);
                let sum = |classes: &[Counts], count: &dyn Fn(&Counts) -> u64| {
                    classes.iter().map(count).sum::<u64>() as f64
                };
                let requests = sum(&current.1, &|c| c.requests()) - sum(&earlier.1, &|c| c.requests());
                let unserved =
                    sum(&current.1, &|c| c.busy + c.failed) - sum(&earlier.1, &|c| c.busy + c.failed);
                if requests > 0.0 {
                    let share = unserved / requests;
                    shares[side].samples += 1.0;
                    shares[side].sum += share;
                    shares[side].sum_of_squares += share * share;
                    sums[side].requests += requests;
                    sums[side].unserved += unserved;
                }
            }
            before = counts;
            let stops = match judge {
                Judge::AllAtOnce => false,
                Judge::Threshold => {
                    sums[0].requests >= MIN_REQUESTS
                        && sums[0].unserved / sums[0].requests > MAX_UNSERVED_SHARE
                }
                Judge::TTest => is_significantly_greater(shares[0], shares[1]),
            };
            if stops {
                stopped = Some(stage);
            }
        }
        if stopped.is_some() {
            break;
        }
    }
    if stopped.is_some() {
        (0..world.counts().len()).for_each(|f| world.replace_process(f, Release::Old));
    }
    let stage = stopped.unwrap_or(batches.len() - 1);
    RolloutOutcome { stopped: stopped.is_some(), stage, seconds: world.now }
}

/// Returns whether the first mean is significantly greater than the second by Welch's test.
fn is_significantly_greater(a: ShareSums, b: ShareSums) -> bool {
    if a.samples < MIN_SAMPLES || b.samples < MIN_SAMPLES {
        return false;
    }
    let ((mean_a, variance_a), (mean_b, variance_b)) = (a.mean_and_variance(), b.mean_and_variance());
    if variance_a + variance_b <= 0.0 {
        return false;
    }
    let t = (mean_a - mean_b) / (variance_a + variance_b).sqrt();
    let degrees_of_freedom = (variance_a + variance_b).powi(2)
        / (variance_a * variance_a / (a.samples - 1.0) + variance_b * variance_b / (b.samples - 1.0));
    StudentsT::new(0.0, 1.0, degrees_of_freedom).is_ok_and(|d| 1.0 - d.cdf(t) < SIGNIFICANCE)
}
