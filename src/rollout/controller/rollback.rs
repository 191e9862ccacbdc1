//! Rollback: brings every front back to the old release, or records that it could not.

use super::{FrontState, Phase, RolloutController};
use crate::rollout::change::Release;
use crate::rollout::records::{Outcome, Record};

/// Failed changes after which a front's rollback is given up.
const MAX_ROLLBACK_TRIES: u32 = 4;

impl RolloutController {
    /// Starts the rollback: cancels changes to the new release and changes fronts back, as many at once as in
    /// a stage.
    pub(super) fn start_rollback(&mut self, now: f64, why: String, aborted: bool) {
        self.push_record(Record::RollbackStarted { why: why.clone(), aborted });
        (self.rollback_reason, self.phase) = (Some(why), Phase::RollingBack { aborted });
        for front in 0..self.fronts.len() {
            (self.fronts[front].restart_due, self.fronts[front].failed_changes) = (false, 0);
            self.fronts[front].retry_at = now;
            self.update_front(now, front, |change, commands, _| change.cancel_change(now, commands));
        }
        self.step_rollback(now, aborted);
    }

    /// Continues the rollback; a front that fails is retried while the others go on. Ends it when all are
    /// done.
    pub(super) fn step_rollback(&mut self, now: f64, aborted: bool) {
        for front in 0..self.fronts.len() {
            let state = &self.fronts[front];
            if state.change.targets(Release::Old) || state.rollback_failed {
                continue;
            }
            if state.failed_changes >= MAX_ROLLBACK_TRIES {
                self.fronts[front].rollback_failed = true;
                self.push_record(Record::RollbackFailed(front));
                continue;
            }
            self.change_front(now, front, Release::Old);
        }
        let done =
            |m: &FrontState| m.change.settled() && (m.rollback_failed || m.change.targets(Release::Old));
        if self.fronts.iter().all(done) {
            let any_failed = self.fronts.iter().any(|m| m.rollback_failed);
            self.finish(match (any_failed, aborted) {
                (true, _) => Outcome::Failed,
                (false, true) => Outcome::Aborted,
                (false, false) => Outcome::Stopped,
            });
        }
    }
}
