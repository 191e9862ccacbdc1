//! Exclusion probabilities: how often a cache lacks an object, by whether it is believed to hold it and by
//! how many caches are.

/// Numbers of believed holders that are told apart; greater ones count as the last.
pub const HOLDER_COUNTS: usize = 4;
/// Outcomes in a window, after which an exclusion probability is estimated anew.
const WINDOW: u32 = 20;
/// Weight of the newest window for ν (not believed, and absent) and π (believed, yet absent).
const WINDOW_WEIGHT: [f64; 2] = [0.5, 0.25];
/// Initial ν and π. Once an epoch, ν is clamped to its initial value, so that speculative attempts go on.
const INITIAL: [f64; 2] = [0.8, 0.001];
/// Length of an epoch (seconds).
const EPOCH: f64 = 5.0;

/// One exclusion probability and its window.
#[derive(Clone, Copy, Default)]
struct Estimate {
    value: f64,
    outcomes: u32,
    absent: u32,
}

/// ν and π by number of believed holders.
pub struct Exclusion {
    estimates: [[Estimate; HOLDER_COUNTS]; 2],
    /// The epoch of the last clamp of ν.
    epoch: i64,
}

impl Default for Exclusion {
    fn default() -> Self {
        let estimates = INITIAL.map(|value| [Estimate { value, outcomes: 0, absent: 0 }; HOLDER_COUNTS]);
        Exclusion { estimates, epoch: 0 }
    }
}

impl Exclusion {
    /// Returns the probability that a cache lacks an object, given whether it is believed to hold it and how
    /// many caches are.
    pub fn probability(&self, believed: bool, holders: usize) -> f64 {
        self.estimates[usize::from(believed)][holders].value
    }

    /// Records whether an object was absent from a cache that was, or was not, believed to hold it.
    pub fn record(&mut self, now: f64, believed: bool, holders: usize, absent: bool) {
        let epoch = (now / EPOCH) as i64;
        if epoch != self.epoch {
            self.epoch = epoch;
            self.estimates[0].iter_mut().for_each(|nu| nu.value = nu.value.min(INITIAL[0]));
        }
        let kind = usize::from(believed);
        let estimate = &mut self.estimates[kind][holders];
        estimate.outcomes += 1;
        estimate.absent += u32::from(absent);
        if estimate.outcomes == WINDOW {
            let share = f64::from(estimate.absent) / f64::from(estimate.outcomes);
            estimate.value += WINDOW_WEIGHT[kind] * (share - estimate.value);
            (estimate.outcomes, estimate.absent) = (0, 0);
        }
    }
}
