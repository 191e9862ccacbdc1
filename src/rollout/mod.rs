//! A change of the program or its settings over many fronts in stages: the plan, which fronts a stage takes, one front's
//! change, the gate that compares new with old, and the whole. No I/O, no clock, no randomness of its own: given the
//! time and what was seen it returns what is to be done, and `onyxyoke-rollout` does it. No part of a front's path.

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
    Change, ChangePhase, ChangeTimeouts, Event, Health, ProcessCommand, ProcessEvent, Release, Run,
};
pub use controller::{Report, RolloutController};
pub use evidence::{Evidence, binomial_tail};
pub use gate::{COUNTED, Gate, Undecided, Verdict};
pub use plan::{Built, Front, Gates, GroupBy, Limits, MixingRule, Plan, Timeouts, mixing};
pub use readings::{Counts, Delta, Reading, Series};
pub use records::{Action, Found, OperatorCommand, Outcome, Record};
pub use stages::{Placement, Stage, stages};
pub use usage::{UsageBaseline, UsageComparison};
pub use window::{ClassCounts, Measure, Window};
