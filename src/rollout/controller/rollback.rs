//! The way back: every front runs the old side again, or is told to be stuck.

use super::{Member, Phase, RolloutController};
use crate::rollout::change::Release;
use crate::rollout::records::{Outcome, Record};

/// A front that could not be brought back is tried so many times before the others count as all that is left.
const ROLLBACK_TRIES: u32 = 4;

impl RolloutController {
    /// The fronts go back from now on, as many at once as went there.
    pub(super) fn back(&mut self, now: f64, why: String, aborted: bool) {
        self.keep(Record::RollbackStarted { why: why.clone(), aborted });
        (self.why, self.phase) = (Some(why), Phase::Back { aborted });
        for front in 0..self.members.len() {
            (self.members[front].restart, self.members[front].failed) = (false, 0);
            self.members[front].again = now;
            self.drive(now, front, |change, orders, _| change.call_back(now, orders));
        }
        self.go_back(now, aborted);
    }

    /// Fronts go back, as many at once as went there; one that does not is tried again, and the rest goes on.
    pub(super) fn go_back(&mut self, now: f64, aborted: bool) {
        for front in 0..self.members.len() {
            let member = &self.members[front];
            if member.change.towards(Release::Old) || member.stuck {
                continue;
            }
            if member.failed >= ROLLBACK_TRIES {
                self.members[front].stuck = true;
                self.keep(Record::RollbackFailed(front));
                continue;
            }
            self.send(now, front, Release::Old);
        }
        let there = |m: &Member| m.change.settled() && (m.stuck || m.change.towards(Release::Old));
        if self.members.iter().all(there) {
            let stuck = self.members.iter().any(|m| m.stuck);
            self.end(match (stuck, aborted) {
                (true, _) => Outcome::Failed,
                (false, true) => Outcome::Aborted,
                (false, false) => Outcome::Stopped,
            });
        }
    }
}
