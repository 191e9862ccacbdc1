//! What one front may send a cold node, so that all fronts together do not push it over.

use super::unit;
use crate::interface::Settings;

/// Share of a cold node's budget that is used.
const USED: f64 = 0.6;
/// Where it is spent in turns, this many deviations of chance stay within it.
const CHANCE: f64 = 1.0;
/// All fronts together may want so many times what one takes them to want from its own few requests.
const DEMAND: f64 = 2.0;

/// How nodes of a tier start, and who sends to them.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
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
pub struct Turn {
    /// The time.
    pub now: f64,
    /// When the node started, 0 if long ago.
    pub ready_at: f64,
    /// Its full link, in transfers at full pace.
    pub link: f64,
    /// Work of this attempt (seconds of sending).
    pub work: f64,
    /// Work that this front sent it in the last window.
    pub lately: f64,
    /// Attempts a second that this front has for such a node, in the mean.
    pub rate: f64,
    /// Drawn by node and front.
    pub seed: u64,
}

impl Cold {
    /// How parents start, or caches, and how many fronts send to them, as the settings say.
    pub fn of(s: &Settings, parents: bool) -> Cold {
        let window = s.fall_window;
        if parents {
            let (from, time, multiple) = (s.parent_cold_from, s.parent_cold_for, s.parent_fall_multiple);
            return Cold { from, time, multiple, window, sharers: f64::from(s.directors.max(1)) };
        }
        let (from, time, multiple) = (s.cold_from, s.cold_for, s.fall_multiple);
        Cold { from, time, multiple, window, sharers: s.sharers() }
    }

    /// The share of its capacity that a node has by now.
    pub fn part(&self, now: f64, ready_at: f64) -> f64 {
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
    pub fn admits(&self, turn: Turn) -> bool {
        let part = self.part(turn.now, turn.ready_at);
        if part >= 1.0 {
            return true;
        }
        let budget = USED * self.multiple * part * turn.link * self.window;
        let mine = budget / self.sharers;
        if mine >= turn.work {
            return turn.lately + turn.work <= mine;
        }
        let root = ((CHANCE * CHANCE + 4.0 * budget / turn.work).sqrt() - CHANCE) / 2.0;
        let wants = (DEMAND * turn.rate * self.window).min(1.0) * self.sharers;
        let window = (turn.now / self.window + unit(u64::MAX, turn.seed)) as u64;
        turn.lately <= mine && unit(window, turn.seed) * wants < root * root
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: Cold = Cold { from: 0.2, time: 10.0, multiple: 2.0, window: 1.0, sharers: 200.0 };

    /// 200 fronts that want to send at a rate each; the most work within a window, by what the node bears
    /// then, and how many of the attempts are let through.
    fn play(rate: f64, told: f64) -> (f64, f64) {
        let (link, work) = (4.0, 0.2);
        let mut random = fastrand::Rng::with_seed(3);
        let mut sent: Vec<(f64, f64)> = Vec::new();
        let (mut asked, mut worst) = (0, 0.0f64);
        let mut last = vec![f64::MIN; 200];
        for step in 0..10_000 {
            let now = 100.0 + f64::from(step) * 0.001;
            for (me, last) in last.iter_mut().enumerate() {
                if random.f64() >= rate * 0.001 {
                    continue;
                }
                asked += 1;
                let lately = if *last + COLD.window > now { work } else { 0.0 };
                let seed = me as u64 * 7919;
                if COLD.admits(Turn { now, ready_at: 100.0, link, work, lately, rate: told, seed }) {
                    *last = now;
                    sent.push((now, work));
                }
            }
            let lately: f64 = sent.iter().rev().take_while(|s| s.0 > now - COLD.window).map(|s| s.1).sum();
            worst = worst.max(lately / (COLD.multiple * COLD.part(now, 100.0) * link * COLD.window));
        }
        (worst, sent.len() as f64 / f64::from(asked))
    }

    #[test]
    fn fronts_that_see_little_use_the_budget_and_never_spend_it() {
        let (worst, through) = play(0.04, 0.04);
        assert!(through > 0.5, "in equal turns of all fronts it were a twentieth: {through}");
        assert!(worst < 0.9, "{worst}");
        for rate in [0.1, 0.5, 3.0] {
            let (worst, _) = play(rate, rate);
            assert!(worst < 1.0, "{worst} of the budget at {rate} a second");
        }
        let (worst, _) = play(0.08, 0.04);
        assert!(worst < 1.0, "they want twice what they are taken to: {worst}");
    }

    #[test]
    fn a_warm_node_takes_all() {
        let turn = Turn { now: 100.0, ready_at: 90.0, link: 0.1, work: 9.0, lately: 9.0, rate: 9.0, seed: 1 };
        assert!(COLD.admits(turn) && COLD.admits(Turn { ready_at: 0.0, ..turn }));
        assert!((COLD.part(95.0, 90.0) - 0.6).abs() < 1e-9);
    }
}
