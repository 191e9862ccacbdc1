//! Slow start: how much one front may send to a cold node so that all fronts together do not overload it.

use super::unit_hash;
use crate::interface::Settings;

/// Share of a cold node's budget that the fronts use.
const BUDGET_SHARE: f64 = 0.6;
/// Standard deviations by which the number of fronts that send in a window may exceed its mean and still be
/// within the budget.
const DEVIATIONS: f64 = 1.0;
/// Margin on the demand of all fronts, which each front estimates from its own few requests.
const DEMAND_MARGIN: f64 = 2.0;

/// How the nodes of a tier start, and how many fronts send to them.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// Share of its capacity that a node has at its start.
    pub initial_share: f64,
    /// Time until a node has its full capacity (seconds).
    pub ramp_s: f64,
    /// A node is overloaded when it is sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// over this time (seconds).
    pub window_s: f64,
    /// Fronts that send to the node.
    pub sharers: f64,
}

/// An attempt that a front would send to a node.
#[derive(Debug, Clone, Copy)]
pub struct SlowStartRequest {
    /// The current time.
    pub now: f64,
    /// When the node started; 0 if long ago.
    pub ready_at: f64,
    /// Capacity of the warm node's link, in transfers at full pace.
    pub link: f64,
    /// Work of this attempt (seconds of sending).
    pub work: f64,
    /// Work that this front sent to the node in the last window (seconds of sending).
    pub recent_work: f64,
    /// Mean rate of this front's attempts for such a node (per second).
    pub rate: f64,
    /// Hash of the node and the front.
    pub seed: u64,
}

impl SlowStart {
    /// The slow start of parents or of caches by the settings.
    pub fn from_settings(s: &Settings, parents: bool) -> SlowStart {
        let window_s = s.overload_window;
        if parents {
            return SlowStart {
                initial_share: s.parent_cold_start_share,
                ramp_s: s.parent_warm_up_time,
                overload_multiple: s.parent_overload_multiple,
                window_s,
                sharers: f64::from(s.directors.max(1)),
            };
        }
        SlowStart {
            initial_share: s.cold_start_share,
            ramp_s: s.warm_up_time,
            overload_multiple: s.overload_multiple,
            window_s,
            sharers: s.own_zone_directors(),
        }
    }

    /// The share of its capacity that a node has at `now`.
    pub fn capacity_share(&self, now: f64, ready_at: f64) -> f64 {
        let age = now - ready_at;
        if ready_at <= 0.0 || age >= self.ramp_s {
            return 1.0;
        }
        self.initial_share + (1.0 - self.initial_share) * (age / self.ramp_s).max(0.0)
    }

    /// Returns whether the node's budget has room for the attempt. Each front has an equal quota of the
    /// budget. Where the quota is less than one attempt, fronts take turns: a hash of front and window
    /// selects the fronts that may send, few enough that their number stays in the budget even a few
    /// deviations above its mean. The fewer fronts have something to send, the more are selected. Unused
    /// turns expire, so that they cannot add up.
    pub fn admits(&self, request: SlowStartRequest) -> bool {
        let capacity_share = self.capacity_share(request.now, request.ready_at);
        if capacity_share >= 1.0 {
            return true;
        }
        let budget = BUDGET_SHARE * self.overload_multiple * capacity_share * request.link * self.window_s;
        let quota = budget / self.sharers;
        if quota >= request.work {
            return request.recent_work + request.work <= quota;
        }
        // The mean number of senders is `root * root`, where `root * root + DEVIATIONS * root` is the budget
        // in attempts.
        let root = ((DEVIATIONS * DEVIATIONS + 4.0 * budget / request.work).sqrt() - DEVIATIONS) / 2.0;
        let demand = (DEMAND_MARGIN * request.rate * self.window_s).min(1.0) * self.sharers;
        let window = (request.now / self.window_s + unit_hash(u64::MAX, request.seed)) as u64;
        request.recent_work <= quota && unit_hash(window, request.seed) * demand < root * root
    }
}

#[cfg(test)]
mod tests;
