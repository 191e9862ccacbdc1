//! What one front may send a cold node, so that all fronts together do not push it over.

use super::unit_hash;
use crate::interface::Settings;

/// Share of a cold node's budget that is used.
const USED: f64 = 0.6;
/// Where it is spent in turns, this many deviations of chance stay within it.
const CHANCE: f64 = 1.0;
/// All fronts together may want so many times what one takes them to want from its own few requests.
const DEMAND: f64 = 2.0;

/// How nodes of a tier start, and who sends to them.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// Share of its capacity with which one starts.
    pub from: f64,
    /// Time until it has all of it (seconds).
    pub time: f64,
    /// It falls over when sent more than so many times its present capacity,
    pub multiple: f64,
    /// over so long (seconds).
    pub window: f64,
    /// Fronts that send to it.
    pub sharers: f64,
}

/// A front's wish to send to a node.
#[derive(Debug, Clone, Copy)]
pub struct SlowStartRequest {
    /// The time.
    pub now: f64,
    /// When the node started, 0 if long ago.
    pub ready_at: f64,
    /// Its full link, in transfers at full pace.
    pub link: f64,
    /// Work of this attempt (seconds of sending).
    pub work: f64,
    /// Work that this front sent it in the last window.
    pub recent_work: f64,
    /// Attempts a second that this front has for such a node, in the mean.
    pub rate: f64,
    /// Drawn by node and front.
    pub seed: u64,
}

impl SlowStart {
    /// How parents start, or caches, and how many fronts send to them, as the settings say.
    pub fn from_settings(s: &Settings, parents: bool) -> SlowStart {
        let window = s.overload_window;
        if parents {
            let (from, time, multiple) =
                (s.parent_cold_start_share, s.parent_warm_up_time, s.parent_overload_multiple);
            return SlowStart { from, time, multiple, window, sharers: f64::from(s.directors.max(1)) };
        }
        let (from, time, multiple) = (s.cold_start_share, s.warm_up_time, s.overload_multiple);
        SlowStart { from, time, multiple, window, sharers: s.own_zone_directors() }
    }

    /// The share of its capacity that a node has by now.
    pub fn capacity_share(&self, now: f64, ready_at: f64) -> f64 {
        let age = now - ready_at;
        if ready_at <= 0.0 || age >= self.time {
            return 1.0;
        }
        self.from + (1.0 - self.from) * (age / self.time).max(0.0)
    }

    /// Does the node's budget bear this much more? Each front has an equal part. A part below one attempt is
    /// spent in turns: by hash, a front has the turn in so many windows that the sum over all stays in the
    /// budget but for chance. Turns that are not used are lost, so that none pile up; where fronts have less
    /// to send than there are fronts, there are the more turns.
    pub fn admits(&self, request: SlowStartRequest) -> bool {
        let part = self.capacity_share(request.now, request.ready_at);
        if part >= 1.0 {
            return true;
        }
        let budget = USED * self.multiple * part * request.link * self.window;
        let mine = budget / self.sharers;
        if mine >= request.work {
            return request.recent_work + request.work <= mine;
        }
        let root = ((CHANCE * CHANCE + 4.0 * budget / request.work).sqrt() - CHANCE) / 2.0;
        let wants = (DEMAND * request.rate * self.window).min(1.0) * self.sharers;
        let window = (request.now / self.window + unit_hash(u64::MAX, request.seed)) as u64;
        request.recent_work <= mine && unit_hash(window, request.seed) * wants < root * root
    }
}

#[cfg(test)]
mod tests;
