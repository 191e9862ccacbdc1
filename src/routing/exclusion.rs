//! Exclusion probabilities: how often a cache lacks an object, by whether it is believed to hold it and how many are.

/// Counts of positive beliefs that are told apart; more count as the last.
pub const COUNTS: usize = 4;
/// Outcomes in a window after which an exclusion probability is estimated anew.
const WINDOW: u32 = 20;
/// Weight of the newest window for ν (not believed, and absent) and π (believed, yet absent).
const DELTA: [f64; 2] = [0.5, 0.25];
/// ν and π before anything is known; ν is clamped to it once an epoch, so that speculative tries go on.
const START: [f64; 2] = [0.8, 0.001];
/// Length of that epoch (seconds).
const EPOCH: f64 = 5.0;

/// One exclusion probability and its window.
#[derive(Clone, Copy, Default)]
struct Window {
    value: f64,
    asked: u32,
    absent: u32,
}

/// ν and π by count of beliefs, and the epoch of the last clamp of ν.
pub struct Exclusion {
    windows: [[Window; COUNTS]; 2],
    epoch: i64,
}

impl Default for Exclusion {
    fn default() -> Self {
        let windows = START.map(|value| [Window { value, asked: 0, absent: 0 }; COUNTS]);
        Exclusion { windows, epoch: 0 }
    }
}

impl Exclusion {
    /// The chance that a cache lacks an object, given whether it is believed to hold it and how many caches are.
    pub fn chance(&self, believed: bool, n: usize) -> f64 {
        self.windows[usize::from(believed)][n].value
    }

    /// Counts an outcome of a belief, or of a try without one; estimates anew when its window is full.
    pub fn count(&mut self, now: f64, believed: bool, n: usize, absent: bool) {
        let epoch = (now / EPOCH) as i64;
        if epoch != self.epoch {
            self.epoch = epoch;
            self.windows[0].iter_mut().for_each(|nu| nu.value = nu.value.min(START[0]));
        }
        let kind = usize::from(believed);
        let w = &mut self.windows[kind][n];
        w.asked += 1;
        w.absent += u32::from(absent);
        if w.asked == WINDOW {
            w.value += DELTA[kind] * (f64::from(w.absent) / f64::from(w.asked) - w.value);
            (w.asked, w.absent) = (0, 0);
        }
    }
}
