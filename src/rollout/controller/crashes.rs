//! New processes that end by themselves or fall silent, beside old ones that do the same.

use super::{ProcessFailure, RolloutController};
use crate::rollout::change::Release;
use crate::rollout::evidence::binomial_tail;

/// Crashes within so long of each other have one cause, and are judged together (seconds).
const SAME_CAUSE_S: f64 = 2.0;
/// A process that fell silent is not counted a second time within so long (seconds).
const SILENCE_REPEAT_S: f64 = 60.0;
/// Where old ones crash too, new ones must crash so much oftener that chance does it once in so many times.
const SIGNIFICANCE: f64 = 0.01;

impl RolloutController {
    /// New processes that ended by themselves or are silent: evidence at once, unless old ones do the same then.
    pub(super) fn crashes(&mut self, now: f64) -> Option<String> {
        for front in 0..self.fronts.len() {
            let m = &self.fronts[front];
            let (silent, known) = (
                m.change.silent_for(now),
                self.process_failures.iter().any(|f| f.front == front && now - f.at < SILENCE_REPEAT_S),
            );
            if let Some((_, release)) = m.change.serving()
                && m.change.settled()
                && silent > self.plan.spans.silent_s
                && !known
            {
                self.process_failures.push(ProcessFailure { at: now, front, release });
            }
        }
        let new = |f: &&ProcessFailure| f.release == Release::New;
        let first = self.process_failures.iter().filter(new).map(|f| f.at).next()?;
        if now - first < SAME_CAUSE_S {
            return None;
        }
        let near = self.process_failures.iter().filter(|f| (f.at - first).abs() <= SAME_CAUSE_S);
        let near: Vec<_> = near.copied().collect();
        let worse = near.iter().filter(new).count();
        let on = |release: Release| {
            self.fronts.iter().filter(move |m| m.change.serving().is_some_and(|s| s.1 == release))
        };
        // Those that ended are on neither side now.
        let news = on(Release::New).count() + worse;
        let share = news as f64 / self.fronts.len() as f64;
        let by_chance = binomial_tail(worse as u64, near.len() as u64, share.min(1.0));
        if worse == near.len() || by_chance < SIGNIFICANCE {
            let name = &self.plan.fronts[near.iter().find(new)?.front].name;
            return Some(format!("{worse} new processes ended by themselves or fell silent, {name} first"));
        }
        self.process_failures.retain(|f| (f.at - first).abs() > SAME_CAUSE_S);
        None
    }
}
