//! Staged rollout of a program or of settings over many fronts: the plan, the stages, the change of one
//! front, the gate that compares the new release with the old one, and the controller. The module does no I/O
//! and reads no clock and no random source: given the time and observations it returns actions, which
//! `onyxyoke-rollout` carries out. It is not part of a front's request path.

mod change;
mod controller;
mod evidence;
mod fleet_health;
mod gate;
mod plan;
mod readings;
mod records;
mod stages;
mod usage;
mod window;

pub use change::{
    Change, ChangePhase, ChangeTimeouts, Health, ProcessCommand, ProcessEvent, ProcessObservation, Release,
    Run,
};
pub use controller::{Report, RolloutController};
pub use evidence::{Evidence, binomial_tail};
pub use gate::{CLASS_MEASURES, Gate, Undecided, Verdict};
pub use plan::{Built, Front, Gates, GroupBy, Limits, MixingRule, Plan, Timeouts, mixing_rule};
pub use readings::{Counts, Delta, Reading, Series};
pub use records::{Action, FoundProcesses, OperatorCommand, Outcome, Record};
pub use stages::{Placement, Stage, stages};
pub use usage::{UsageBaseline, UsageComparison};
pub use window::{ClassCounts, Measure, Window};
