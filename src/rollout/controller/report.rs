//! Progress report of a rollout for operators.

use super::{Phase, RolloutController};
use crate::rollout::change::{ChangePhase, Release};
use crate::rollout::gate::{CLASS_MEASURES, Undecided};
use crate::rollout::records::Outcome;
use crate::rollout::window::ClassCounts;

/// Progress of a rollout for operators.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub struct Report {
    /// The phase, in words.
    pub phase: String,
    /// The current stage, counted from 0.
    pub stage: usize,
    /// Number of stages.
    pub stages: usize,
    /// Fronts that run the old release.
    pub old: usize,
    /// Fronts that run the new release.
    pub new: usize,
    /// Fronts in change.
    pub changing: usize,
    /// Settled fronts whose serving process does not answer or accepts no clients.
    pub silent: usize,
    /// Whether an operator paused the rollout.
    pub paused: bool,
    /// Whether changes wait because the whole fleet does worse than before.
    pub held: bool,
    /// Why the stage cannot be judged yet, other than for lack of requests.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub undecided: Option<Undecided>,
    /// Reason of the rollback, if there is one.
    pub why: Option<String>,
    /// The outcome, once the rollout has ended.
    pub end: Option<Outcome>,
    /// Logarithms of the likelihood ratios by class, for each of `CLASS_MEASURES`.
    pub evidence: Vec<[f64; CLASS_MEASURES.len()]>,
    /// Evidence above this bound stops the rollout.
    pub bound: f64,
    /// Requests of this stage and how many of them were not served, of new and of old fronts, by class.
    pub sums: Vec<[(f64, f64); 2]>,
}

impl RolloutController {
    /// Returns the progress of the rollout.
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
            end: self.outcome(),
            evidence,
            bound,
            sums: self.stage_counts.iter().map(pair).collect(),
        }
    }
}
