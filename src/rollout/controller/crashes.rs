//! New processes that end by themselves or fall silent, beside old ones that do the same.

use super::RolloutController;
use crate::rollout::change::Release;
use crate::rollout::evidence::tail;

/// Crashes within so long of each other have one cause, and are judged together (seconds).
const TOGETHER_S: f64 = 2.0;
/// A process that fell silent is not counted a second time within so long (seconds).
const COUNTED_ONCE_S: f64 = 60.0;
/// Where old ones crash too, new ones must crash so much oftener that chance does it once in so many times.
const CHANCE: f64 = 0.01;

impl RolloutController {
    /// New processes that ended by themselves or are silent: evidence at once, unless old ones do the same then.
    pub(super) fn crashes(&mut self, now: f64) -> Option<String> {
        for front in 0..self.members.len() {
            let m = &self.members[front];
            let (silent, known) = (
                m.change.silence(now),
                self.troubles.iter().any(|t| t.1 == front && now - t.0 < COUNTED_ONCE_S),
            );
            if let Some((_, side)) = m.change.serving()
                && m.change.settled()
                && silent > self.plan.spans.silent_s
                && !known
            {
                self.troubles.push((now, front, side));
            }
        }
        let new = |t: &&(f64, usize, Release)| t.2 == Release::New;
        let first = self.troubles.iter().filter(new).map(|t| t.0).next()?;
        if now - first < TOGETHER_S {
            return None;
        }
        let near = self.troubles.iter().filter(|t| (t.0 - first).abs() <= TOGETHER_S);
        let near: Vec<_> = near.copied().collect();
        let worse = near.iter().filter(new).count();
        let on = |side: Release| {
            self.members.iter().filter(move |m| m.change.serving().is_some_and(|s| s.1 == side))
        };
        // Those that ended are on neither side now.
        let news = on(Release::New).count() + worse;
        let share = news as f64 / self.members.len() as f64;
        let by_chance = tail(worse as u64, near.len() as u64, share.min(1.0));
        if worse == near.len() || by_chance < CHANCE {
            let name = &self.plan.fronts[near.iter().find(new)?.1].name;
            return Some(format!("{worse} new processes ended by themselves or fell silent, {name} first"));
        }
        self.troubles.retain(|t| (t.0 - first).abs() > TOGETHER_S);
        None
    }
}
