//! Records of a rollout's journal, its actions, operators' commands, and the processes found at a start.

use super::change::{Health, ProcessCommand, ProcessEvent, Run};
use super::usage::UsageBaseline;

/// A command of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum OperatorCommand {
    /// Starts no change until `Resume`; changes in progress are finished, and a worse release is still rolled
    /// back.
    Pause,
    /// Continues after `Pause`.
    Resume,
    /// Rolls all fronts back to the old release.
    Abort,
}

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// All fronts run the new release.
    Done,
    /// The controller stopped it; all fronts run the old release.
    Stopped,
    /// An operator aborted it; all fronts run the old release.
    Aborted,
    /// Some fronts could not be rolled back.
    Failed,
}

/// A record of the journal.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Record {
    /// The rollout began.
    Began {
        /// Name of the plan.
        name: String,
        /// Number of fronts.
        fronts: usize,
    },
    /// The baseline was taken and the stages were drawn.
    Staged {
        /// Fronts to be changed and control fronts, by stage.
        stages: Vec<(Vec<usize>, Vec<usize>)>,
        /// Share of requests that were not served before the rollout, by class.
        base: Vec<f64>,
        /// Usage of old fronts before the rollout, by location; absent in journals of earlier builds.
        #[cfg_attr(feature = "rollout", serde(default))]
        usage: Vec<UsageBaseline>,
    },
    /// A stage begins.
    Stage(usize),
    /// A command to a front's process is about to be carried out.
    Ordered {
        /// Index of the front.
        front: usize,
        /// The command.
        order: ProcessCommand,
    },
    /// A step of a front's change had an outcome.
    Noticed {
        /// Index of the front.
        front: usize,
        /// The outcome.
        notice: ProcessEvent,
    },
    /// A stage passed the gate.
    Passed(usize),
    /// The whole fleet does worse than before in this class: changes are paused.
    #[cfg_attr(feature = "rollout", serde(alias = "Held"))]
    Paused(usize),
    /// The whole fleet does as well as before again: changes continue.
    #[cfg_attr(feature = "rollout", serde(alias = "Freed"))]
    Resumed,
    /// An operator's command took effect.
    #[cfg_attr(feature = "rollout", serde(alias = "Said"))]
    CommandReceived(OperatorCommand),
    /// The rollback began.
    #[cfg_attr(feature = "rollout", serde(alias = "Back"))]
    RollbackStarted {
        /// Reason of the rollback.
        why: String,
        /// Whether an operator aborted the rollout.
        aborted: bool,
    },
    /// A front could not be rolled back.
    #[cfg_attr(feature = "rollout", serde(alias = "Stuck"))]
    RollbackFailed(usize),
    /// The rollout ended.
    Ended(Outcome),
}

/// An action for the caller: a record must be on disk before the actions that follow it are carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a record to the journal.
    WriteRecord(Record),
    /// Carry out a command on a process of the front with this index.
    RunCommand(usize, ProcessCommand),
}

/// Processes of a front found when the controller starts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FoundProcesses {
    /// Number and health of each process, the oldest first.
    pub runs: Vec<(Run, Health)>,
    /// The first number that no process has had.
    pub next: Run,
}
