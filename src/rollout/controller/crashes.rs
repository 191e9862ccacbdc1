//! Detects that processes of the new release crash or stop answering more often than those of the old one.

use super::{ProcessFailure, RolloutController};
use crate::rollout::change::Release;
use crate::rollout::evidence::binomial_tail;

/// Failures within this time of the first are taken to have one cause and are judged together (seconds).
const SAME_CAUSE_S: f64 = 2.0;
/// A front with a recorded failure is not counted as unresponsive within this time after it (seconds).
const SILENCE_REPEAT_S: f64 = 60.0;
/// Where old processes fail too, the rollout stops if so many failures of new ones have less than this
/// probability.
const SIGNIFICANCE: f64 = 0.01;

impl RolloutController {
    /// Returns a reason to roll back if new processes crashed or stopped answering and old ones did not at
    /// the same time, or clearly less often.
    pub(super) fn check_process_failures(&mut self, now: f64) -> Option<String> {
        for front in 0..self.fronts.len() {
            let state = &self.fronts[front];
            let recorded =
                self.process_failures.iter().any(|f| f.front == front && now - f.at < SILENCE_REPEAT_S);
            if let Some((_, release)) = state.change.serving()
                && state.change.settled()
                && state.change.silent_for(now) > self.plan.spans.silent_s
                && !recorded
            {
                self.process_failures.push(ProcessFailure { at: now, front, release });
            }
        }
        let is_new = |f: &&ProcessFailure| f.release == Release::New;
        let first = self.process_failures.iter().filter(is_new).map(|f| f.at).next()?;
        if now - first < SAME_CAUSE_S {
            return None;
        }
        let together = self.process_failures.iter().filter(|f| (f.at - first).abs() <= SAME_CAUSE_S);
        let together: Vec<_> = together.copied().collect();
        let failed_new = together.iter().filter(is_new).count();
        let running = |release: Release| {
            self.fronts.iter().filter(move |m| m.change.serving().is_some_and(|s| s.1 == release))
        };
        // Fronts whose process exited count for neither release now.
        let new_fronts = running(Release::New).count() + failed_new;
        let share = new_fronts as f64 / self.fronts.len() as f64;
        let by_chance = binomial_tail(failed_new as u64, together.len() as u64, share.min(1.0));
        if failed_new == together.len() || by_chance < SIGNIFICANCE {
            let name = &self.plan.fronts[together.iter().find(is_new)?.front].name;
            return Some(format!("{failed_new} new processes crashed or stopped answering, {name} first"));
        }
        self.process_failures.retain(|f| (f.at - first).abs() > SAME_CAUSE_S);
        None
    }
}
