//! What a rollout keeps in its journal, what it wants done, and what it is told by operators and by a look at the processes.

use super::change::{Health, ProcessCommand, ProcessEvent, Run};
use super::usage::UsageBaseline;

/// What an operator says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum OperatorCommand {
    /// Nothing more is changed until `Resume`; what is under way is finished, and what is worse still goes back.
    Pause,
    /// Goes on.
    Resume,
    /// Back to the old side everywhere.
    Abort,
}

/// How it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// All fronts run the new side.
    Done,
    /// The gate stopped it; all run the old side.
    Stopped,
    /// An operator called it back; all run the old side.
    Aborted,
    /// Some could not be brought back.
    Failed,
}

/// What the journal keeps.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Record {
    /// The rollout of this name, over so many fronts.
    Began {
        /// Of the plan.
        name: String,
        /// Of the plan.
        fronts: usize,
    },
    /// The stages, and what share of requests was not served before, by class.
    Staged {
        /// Fronts and their controls, by stage.
        stages: Vec<(Vec<usize>, Vec<usize>)>,
        /// By class.
        base: Vec<f64>,
        /// What old fronts used before, by location; a journal of an earlier build has none.
        #[cfg_attr(feature = "rollout", serde(default))]
        usage: Vec<UsageBaseline>,
    },
    /// A stage begins.
    Stage(usize),
    /// A front's process is about to be told.
    Ordered {
        /// Which.
        front: usize,
        /// What.
        order: ProcessCommand,
    },
    /// What came of a front's change.
    Noticed {
        /// Which.
        front: usize,
        /// What.
        notice: ProcessEvent,
    },
    /// A stage was judged no worse.
    Passed(usize),
    /// The whole does worse than before, in this class: nothing more is changed for now.
    #[cfg_attr(feature = "rollout", serde(alias = "Held"))]
    Paused(usize),
    /// It does as well as before again.
    #[cfg_attr(feature = "rollout", serde(alias = "Freed"))]
    Resumed,
    /// An operator spoke.
    #[cfg_attr(feature = "rollout", serde(alias = "Said"))]
    CommandReceived(OperatorCommand),
    /// The fronts go back.
    #[cfg_attr(feature = "rollout", serde(alias = "Back"))]
    RollbackStarted {
        /// Why.
        why: String,
        /// An operator called it back.
        aborted: bool,
    },
    /// A front could not be brought back.
    #[cfg_attr(feature = "rollout", serde(alias = "Stuck"))]
    RollbackFailed(usize),
    /// It is over.
    Ended(Outcome),
}

/// What is to be done: a record is kept before what follows it.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Keep this.
    Keep(Record),
    /// Tell a front's process.
    Tell(usize, ProcessCommand),
}

/// What was found of a front at a start: its processes, the oldest first, and the first number that none ever had.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Found {
    /// Number and answer of each.
    pub runs: Vec<(Run, Health)>,
    /// The first free number.
    pub next: Run,
}
