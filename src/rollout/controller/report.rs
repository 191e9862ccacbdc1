//! Where a rollout stands, for people.

use super::{Phase, RolloutController};
use crate::rollout::change::{ChangePhase, Release};
use crate::rollout::gate::{COUNTED, Undecided};
use crate::rollout::records::Outcome;
use crate::rollout::window::ClassCounts;

/// Where it stands, for people.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub struct Report {
    /// In words.
    pub phase: String,
    /// The stage, from 0 on, of so many.
    pub stage: usize,
    /// How many there are.
    pub stages: usize,
    /// Fronts that run the old side, the new side, are in change, do not answer.
    pub old: usize,
    /// On the new side.
    pub new: usize,
    /// In change.
    pub changing: usize,
    /// Serving and silent.
    pub silent: usize,
    /// An operator paused it.
    pub paused: bool,
    /// The whole does worse than before.
    pub held: bool,
    /// Why the stage cannot be judged yet, beside requests that are still to come.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub undecided: Option<Undecided>,
    /// Why it goes back, or went.
    pub why: Option<String>,
    /// How it ended.
    pub end: Option<Outcome>,
    /// Evidence by class, for each of `COUNTED`, as logarithms; and what stops it.
    pub evidence: Vec<[f64; COUNTED.len()]>,
    /// What stops it.
    pub bound: f64,
    /// Requests of this stage and their unserved, of new and of old fronts, by class.
    pub sums: Vec<[(f64, f64); 2]>,
}

impl RolloutController {
    /// Where it stands.
    pub fn report(&self, now: f64) -> Report {
        let mut counts = [0; 4];
        for m in &self.fronts {
            let i = match (m.change.phase(), m.change.serving()) {
                (ChangePhase::Settled, Some(_)) if m.change.silent_for(now) > self.plan.spans.stale_s => 3,
                (ChangePhase::Settled, Some((_, Release::Old))) => 0,
                (ChangePhase::Settled, Some((_, Release::New))) => 1,
                _ => 2,
            };
            counts[i] += 1;
        }
        let phase = match self.phase {
            Phase::Watching => "watching what is there".to_owned(),
            Phase::Changing => format!("changing stage {}", self.stage + 1),
            Phase::Soaking { .. } => format!("watching stage {}", self.stage + 1),
            Phase::RollingBack { .. } => "going back".to_owned(),
            Phase::Ended(end) => format!("{end:?}").to_lowercase(),
        };
        let (evidence, bound) = self.gate.evidence();
        let fronts = self.stages.get(self.stage).map(|stage| &stage.fronts);
        let undecided = fronts.and_then(|fronts| self.gate.undecided(now, fronts));
        let pair = |s: &[ClassCounts; 2]| [(s[0].requests, s[0].unserved), (s[1].requests, s[1].unserved)];
        Report {
            phase,
            stage: self.stage,
            stages: self.stages.len(),
            old: counts[0],
            new: counts[1],
            changing: counts[2],
            silent: counts[3],
            paused: self.paused_since.is_some(),
            held: self.fleet_health.is_degraded(),
            undecided,
            why: self.rollback_reason.clone(),
            end: self.ended(),
            evidence,
            bound,
            sums: self.stage_counts.iter().map(pair).collect(),
        }
    }
}
