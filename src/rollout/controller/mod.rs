//! The controller of a rollout: it watches the fronts, changes them stage by stage, judges each stage, rolls
//! back and ends the rollout. Each record precedes the action that it announces, so that a restarted
//! controller continues from the records and from the processes that it finds.

mod crashes;
mod observation;
mod report;
mod rollback;

use super::change::{Change, Health, ProcessCommand, ProcessEvent, ProcessObservation, Release, Run};
use super::fleet_health::{FleetHealth, HealthChange};
use super::gate::{Gate, Verdict};
use super::plan::{GroupBy, Plan};
use super::readings::{Delta, Reading, Series};
use super::records::{Action, FoundProcesses, OperatorCommand, Outcome, Record};
use super::stages::Stage;
use super::window::ClassCounts;
pub use report::Report;
use std::collections::BTreeMap;

/// Longest time between two steps that counts; a longer one is excluded from all timeouts and evidence
/// (seconds).
const MAX_STEP_GAP_S: f64 = 5.0;
/// Delay before the change of a front that failed is tried again (seconds).
const CHANGE_RETRY_DELAY_S: f64 = 3.0;
/// Failed changes of one front in a row that stop the rollout.
const MAX_CHANGE_TRIES: u32 = 2;

/// Phase of the rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// Fronts are observed for a baseline before anything changes.
    Watching,
    /// Fronts of the current stage are being changed.
    Changing,
    /// All fronts of the stage are changed and observed.
    Soaking { since: f64 },
    /// Fronts are being changed back to the old release.
    RollingBack { aborted: bool },
    /// Nothing more is done.
    Ended(Outcome),
}

/// State of one front.
#[derive(Debug, Clone)]
struct FrontState {
    change: Change,
    location: usize,
    series: Series,
    /// Last health reported by the serving process.
    reported_health: Option<Health>,
    /// Counts since the last window closed.
    unjudged: Option<Delta>,
    /// Requests that ended in the watching phase, and the seconds observed.
    watched_requests: f64,
    watched_s: f64,
    /// Changes that failed since the last success, and when the next may be tried.
    failed_changes: u32,
    retry_at: f64,
    /// Whether the front must still be restarted as a control of this stage.
    restart_due: bool,
    rollback_failed: bool,
}

/// A process that ended by itself or stopped answering.
#[derive(Debug, Clone, Copy)]
struct ProcessFailure {
    at: f64,
    front: usize,
    release: Release,
}

/// Decides what a rollout does next, given the time and observations.
#[derive(Debug, Clone)]
pub struct RolloutController {
    plan: Plan,
    fronts: Vec<FrontState>,
    /// Number of fronts by location.
    location_sizes: Vec<usize>,
    stages: Vec<Stage>,
    /// Index of the current stage.
    stage: usize,
    phase: Phase,
    started_at: f64,
    stage_started_at: f64,
    paused_since: Option<f64>,
    rollback_reason: Option<String>,
    gate: Gate,
    fleet_health: FleetHealth,
    /// Counts of the watching phase by class.
    baseline_counts: Vec<ClassCounts>,
    /// Processes that crashed or stopped answering and have not been judged.
    process_failures: Vec<ProcessFailure>,
    /// Counts of the current stage by class: new fronts, old fronts.
    stage_counts: Vec<[ClassCounts; 2]>,
    window_end: f64,
    last_step: f64,
    actions: Vec<Action>,
}

impl RolloutController {
    /// Creates the controller of a checked plan from the processes found, and continues from `records` if
    /// there are any.
    pub fn new(now: f64, plan: Plan, found: Vec<FoundProcesses>, records: &[Record]) -> RolloutController {
        let (locations, location_count) = plan.locations();
        // The release that each process was last started or reloaded with; one that does not answer is taken
        // to run it.
        let mut started: BTreeMap<(usize, Run), Release> = BTreeMap::new();
        for record in records {
            if let Record::Ordered {
                front,
                order: ProcessCommand::Start(run, release) | ProcessCommand::Reload(run, release),
            } = record
            {
                started.insert((*front, *run), *release);
            }
        }
        let mut commands = Vec::new();
        let mut fronts = Vec::new();
        for (i, (location, found)) in locations.into_iter().zip(found).enumerate() {
            let mut recovery = Vec::new();
            let release = |run| started.get(&(i, run)).copied().unwrap_or(Release::Old);
            let run = |r: &(Run, Health)| (r.0, r.1, release(r.0));
            let runs: Vec<(Run, Health, Release)> = found.runs.iter().map(run).collect();
            let (timeouts, reload) = (plan.spans.change_timeouts(), plan.limits.reload);
            let change = Change::recover(now, timeouts, reload, &runs, found.next.max(1), &mut recovery);
            commands.extend(recovery.into_iter().map(|command| (i, command)));
            fronts.push(FrontState {
                change,
                location,
                series: Series::default(),
                reported_health: None,
                unjudged: None,
                watched_requests: 0.0,
                watched_s: 0.0,
                failed_changes: 0,
                retry_at: now,
                restart_due: false,
                rollback_failed: false,
            });
        }
        let location_sizes =
            (0..location_count).map(|l| fronts.iter().filter(|m| m.location == l).count()).collect();
        let classes = plan.classes.len();
        let gate = Gate::new(plan.gates.clone(), classes, plan.limits.stages.len() + 1);
        let mut controller = RolloutController {
            fronts,
            location_sizes,
            stages: Vec::new(),
            stage: 0,
            phase: Phase::Watching,
            started_at: now,
            stage_started_at: now,
            paused_since: None,
            rollback_reason: None,
            gate,
            fleet_health: FleetHealth::new(classes, plan.gates.whole, plan.spans.patience_s),
            baseline_counts: vec![ClassCounts::default(); classes],
            process_failures: Vec::new(),
            stage_counts: vec![Default::default(); classes],
            window_end: now + plan.spans.window_s,
            last_step: now,
            actions: Vec::new(),
            plan,
        };
        controller.replay(now, records);
        if records.is_empty() {
            let (name, fronts) = (controller.plan.name.clone(), controller.fronts.len());
            controller.push_record(Record::Began { name, fronts });
        }
        commands.into_iter().for_each(|(front, command)| controller.push_command(front, command));
        controller
    }

    /// Restores the state from the records of an earlier run.
    fn replay(&mut self, now: f64, records: &[Record]) {
        for record in records {
            match record {
                Record::Staged { stages, base, usage } => {
                    let stage =
                        |s: &(Vec<usize>, Vec<usize>)| Stage { fronts: s.0.clone(), control: s.1.clone() };
                    self.stages = stages.iter().map(stage).collect();
                    self.fleet_health.set_baseline(base.clone());
                    self.gate.usage().restore(usage);
                }
                Record::Stage(stage) => {
                    (self.stage, self.phase) = (*stage, Phase::Changing);
                    self.fronts.iter_mut().for_each(|m| m.restart_due = false);
                    for &f in self.stages.get(*stage).iter().flat_map(|s| &s.control) {
                        self.fronts[f].restart_due = true;
                    }
                }
                Record::Noticed { front, notice: ProcessEvent::Changed(Release::Old) } => {
                    self.fronts[*front].restart_due = false;
                }
                Record::Passed(stage) => self.stage = stage + 1,
                Record::CommandReceived(OperatorCommand::Pause) => self.paused_since = Some(now),
                Record::CommandReceived(OperatorCommand::Resume) => self.paused_since = None,
                Record::RollbackStarted { why, aborted } => {
                    (self.rollback_reason, self.phase) =
                        (Some(why.clone()), Phase::RollingBack { aborted: *aborted });
                }
                Record::Ended(end) => self.phase = Phase::Ended(*end),
                _ => {}
            }
        }
        if self.stage > 0 && self.stage >= self.stages.len() && self.phase == Phase::Changing {
            // The earlier run was killed between the records of the last passed stage and of the end.
            return self.finish(Outcome::Done);
        }
        self.gate.begin_stage(now, self.plan.spans.soak_s);
    }

    fn push_record(&mut self, record: Record) {
        self.actions.push(Action::WriteRecord(record));
    }

    /// Records a command before it is carried out.
    fn push_command(&mut self, front: usize, command: ProcessCommand) {
        self.push_record(Record::Ordered { front, order: command });
        self.actions.push(Action::RunCommand(front, command));
    }

    /// Takes the actions to be carried out, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the outcome, if the rollout has ended.
    pub fn outcome(&self) -> Option<Outcome> {
        if let Phase::Ended(end) = self.phase { Some(end) } else { None }
    }

    /// Returns a front's serving process and its release.
    pub fn serving(&self, front: usize) -> Option<(Run, Release)> {
        self.fronts[front].change.serving()
    }

    /// Returns the change of a front.
    pub fn change(&self, front: usize) -> &Change {
        &self.fronts[front].change
    }

    /// Handles an observation of a process.
    pub fn handle_observation(&mut self, now: f64, front: usize, event: ProcessObservation) {
        if let ProcessObservation::Answered(run, health) = event
            && self.fronts[front].change.serving().is_some_and(|s| s.0 == run)
        {
            self.fronts[front].reported_health = Some(health);
        }
        self.update_front(now, front, |change, commands, events| {
            change.handle_observation(now, event, commands, events)
        });
    }

    /// Adds a reading of a process's counters; one of a process that does not serve is ignored.
    pub fn add_reading(&mut self, now: f64, front: usize, reading: Reading) {
        let stale = self.plan.spans.stale_s;
        let state = &mut self.fronts[front];
        if state.change.serving().is_some_and(|s| s.0 == reading.run) {
            let delta = state.series.push(now, reading, stale);
            state.unjudged = match (state.unjudged.take(), delta) {
                (Some(sum), Some(more)) => Some(sum.merge(more)),
                (sum, more) => more.or(sum),
            };
        }
    }

    /// Applies an operator's command; one that has no effect is not recorded.
    pub fn apply_command(&mut self, now: f64, command: OperatorCommand) {
        if self.outcome().is_some() {
            return;
        }
        match command {
            OperatorCommand::Pause if self.paused_since.is_none() => self.paused_since = Some(now),
            OperatorCommand::Resume if self.paused_since.is_some() => {
                // The pause does not count towards the stage's time limit.
                self.stage_started_at += now - self.paused_since.take().unwrap_or(now);
            }
            OperatorCommand::Abort if !matches!(self.phase, Phase::RollingBack { .. }) => {
                self.push_record(Record::CommandReceived(command));
                return self.start_rollback(now, "an operator called it back".into(), true);
            }
            _ => return,
        }
        self.push_record(Record::CommandReceived(command));
    }

    /// Applies `act` to a front's change, and adds records and commands for the events and commands that
    /// result.
    fn update_front(
        &mut self,
        now: f64,
        front: usize,
        act: impl FnOnce(&mut Change, &mut Vec<ProcessCommand>, &mut Vec<ProcessEvent>),
    ) {
        let (mut commands, mut events) = (Vec::new(), Vec::new());
        act(&mut self.fronts[front].change, &mut commands, &mut events);
        for notice in events {
            self.push_record(Record::Noticed { front, notice });
            let state = &mut self.fronts[front];
            match notice {
                ProcessEvent::Changed(release) => {
                    state.failed_changes = 0;
                    state.restart_due &= release == Release::New;
                    state.reported_health = None;
                }
                ProcessEvent::GaveUp(release) => {
                    state.failed_changes += 1;
                    state.retry_at = now + CHANGE_RETRY_DELAY_S;
                    state.restart_due &= release == Release::New;
                }
                ProcessEvent::Crashed(release) => {
                    self.process_failures.push(ProcessFailure { at: now, front, release })
                }
                ProcessEvent::Killed | ProcessEvent::Lost => {}
            }
        }
        commands.into_iter().for_each(|command| self.push_command(front, command));
    }

    /// Does everything that is due at `now`.
    pub fn step(&mut self, now: f64) {
        let gap = now - self.last_step;
        self.last_step = now;
        if gap > MAX_STEP_GAP_S {
            self.exclude_gap(gap);
        }
        if self.outcome().is_some() {
            return;
        }
        for front in 0..self.fronts.len() {
            self.update_front(now, front, |change, commands, events| change.tick(now, commands, events));
        }
        if now >= self.window_end {
            self.window_end = now + self.plan.spans.window_s;
            self.close_window(now);
        }
        match self.phase {
            Phase::Watching => self.finish_watching(now),
            Phase::Changing | Phase::Soaking { .. } => self.step_stage(now),
            Phase::RollingBack { aborted } => self.step_rollback(now, aborted),
            Phase::Ended(_) => {}
        }
    }

    /// Excludes a span without observations (seconds), in which this program or the machine was suspended.
    fn exclude_gap(&mut self, gap: f64) {
        for state in &mut self.fronts {
            state.change.exclude_gap(gap);
            state.series.reset();
            state.unjudged = None;
            state.retry_at += gap;
        }
        self.gate.exclude_gap(gap);
        self.fleet_health.exclude_gap(gap);
        self.process_failures.clear();
        (self.started_at, self.stage_started_at) = (self.started_at + gap, self.stage_started_at + gap);
        if let Phase::Soaking { since } = &mut self.phase {
            *since += gap;
        }
    }

    fn begin_stage(&mut self, now: f64, stage: usize) {
        self.push_record(Record::Stage(stage));
        (self.stage, self.stage_started_at, self.phase) = (stage, now, Phase::Changing);
        self.gate.begin_stage(now, self.plan.spans.soak_s);
        self.stage_counts.iter_mut().for_each(|s| *s = Default::default());
        for &front in &self.stages[stage].control {
            self.fronts[front].restart_due = true;
        }
    }

    /// Returns the first reason to roll back, if there is one.
    fn reason_to_roll_back(&mut self, now: f64) -> Option<String> {
        if let Some(why) = self.check_process_failures(now) {
            return Some(why);
        }
        if let Verdict::Worse { measure, class, by, bound } = self.gate.verdict(now) {
            let class = class.map_or(String::new(), |c| format!(" of '{}'", self.plan.classes[c]));
            return Some(format!("{measure:?}{class}: {by:.1} of {bound:.1}").to_lowercase());
        }
        let failed = |m: &FrontState| m.failed_changes >= MAX_CHANGE_TRIES && !m.restart_due;
        if let Some(front) = self.fronts.iter().position(failed) {
            let name = &self.plan.fronts[front].name;
            return Some(format!("the change of front {name} failed {} times", MAX_CHANGE_TRIES));
        }
        if let Some(class) = self.fleet_health.degraded_beyond_patience(now) {
            let class = &self.plan.classes[class];
            return Some(format!("the whole fleet fails more requests of '{class}' than before the rollout"));
        }
        let spans = &self.plan.spans;
        if now - self.started_at > spans.longest_s {
            return Some("the rollout took longer than 'spans.longest_s'".into());
        }
        let paused = self.paused_since.map_or(0.0, |since| now - since);
        (now - self.stage_started_at - paused > spans.longest_stage_s)
            .then(|| format!("stage {} could not be judged within 'spans.longest_stage_s'", self.stage + 1))
    }

    /// Updates the health of the whole fleet; no front is changed while it is degraded.
    fn check_fleet_health(&mut self, now: f64) {
        let new_shares: Vec<f64> = (0..self.location_sizes.len()).map(|l| self.new_share(l)).collect();
        match self.fleet_health.update(now, &new_shares) {
            Some(HealthChange::Degraded(class)) => self.push_record(Record::Paused(class)),
            Some(HealthChange::Recovered) => self.push_record(Record::Resumed),
            None => {}
        }
    }

    /// Returns the share of a location's fronts that run the new release.
    fn new_share(&self, location: usize) -> f64 {
        let new = |m: &&FrontState| {
            m.location == location && m.change.serving().is_some_and(|s| s.1 == Release::New)
        };
        self.fronts.iter().filter(new).count() as f64 / self.location_sizes[location].max(1) as f64
    }

    /// Advances a stage: rolls back, changes fronts, or passes the stage once it has soaked and could be
    /// judged.
    fn step_stage(&mut self, now: f64) {
        self.check_fleet_health(now);
        if let Some(why) = self.reason_to_roll_back(now) {
            return self.start_rollback(now, why, false);
        }
        let due = self.stages[..=self.stage].iter().flat_map(|s| s.fronts.iter().copied());
        let to_change: Vec<usize> = due.filter(|&f| !self.fronts[f].change.targets(Release::New)).collect();
        let to_restart: Vec<usize> = (0..self.fronts.len()).filter(|&f| self.fronts[f].restart_due).collect();
        let changing = self.fronts.iter().any(|m| !m.change.settled());
        if self.paused_since.is_none() && !self.fleet_health.is_degraded() {
            let changes = to_change
                .iter()
                .map(|&f| (f, Release::New))
                .chain(to_restart.iter().map(|&f| (f, Release::Old)));
            for (front, target) in changes.collect::<Vec<_>>() {
                self.change_front(now, front, target);
            }
        }
        if !to_change.is_empty() || !to_restart.is_empty() || changing {
            return;
        }
        let Phase::Soaking { since } = self.phase else {
            self.phase = Phase::Soaking { since: now };
            return;
        };
        let gates = &self.plan.gates;
        let requests = self.gate.judged_requests().iter().enumerate();
        let enough = requests
            .filter(|(class, _)| !gates.not_awaited.contains(class))
            .all(|(_, &requests)| requests >= gates.least_requests);
        let soaked = now - since >= self.plan.spans.soak_s;
        let undecided = self.gate.undecided(now, &self.stages[self.stage].fronts).is_some();
        if !soaked || !enough || undecided || self.fleet_health.is_degraded() || self.paused_since.is_some() {
            return;
        }
        self.push_record(Record::Passed(self.stage));
        if self.stage + 1 < self.stages.len() {
            self.begin_stage(now, self.stage + 1);
        } else {
            self.stage += 1;
            self.finish(Outcome::Done);
        }
    }

    /// Starts the change of a front if its location's limit of simultaneous changes allows it.
    fn change_front(&mut self, now: f64, front: usize, target: Release) {
        let location = self.fronts[front].location;
        let changing = self.fronts.iter().filter(|m| m.location == location && !m.change.settled()).count();
        let max_changing = match self.plan.limits.by {
            GroupBy::Front => (self.plan.limits.at_once * self.location_sizes[location] as f64) as usize,
            GroupBy::Location => self.location_sizes[location],
        };
        let state = &self.fronts[front];
        if changing < max_changing.max(1) && state.change.settled() && now >= state.retry_at {
            self.update_front(now, front, |change, commands, _| change.start_change(now, target, commands));
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.phase = Phase::Ended(outcome);
        self.push_record(Record::Ended(outcome));
    }
}
