//! Plays a rollout over the model, with faults, operators' commands and kills of the tool.

use super::{Fault, World};
use onyxyoke::rollout::{Action, OperatorCommand, Outcome, Plan, Record, RolloutController};

/// Time for which a rollout is played beyond the longest time that its plan allows (seconds).
const EXTRA_TIME_S: f64 = 600.0;

/// The result of a played rollout.
#[derive(Debug, Clone)]
pub struct RolloutResult {
    pub end: Option<Outcome>,
    /// Index of the stage in which it ended.
    pub stage: usize,
    pub why: Option<String>,
    pub seconds: f64,
    /// A broken invariant: a front without a serving process although none of its processes crashed.
    pub broken: Option<String>,
    pub records: Vec<Record>,
}

/// Faults by time (seconds) and front; a fault of the tool concerns all fronts.
pub type Script = Vec<(f64, usize, Fault)>;

/// Plays a rollout to its end. The tool is killed and restarted at each count of actions in `kill_points`.
pub fn play(
    world: &mut World,
    plan: &Plan,
    script: &Script,
    commands: &[(f64, OperatorCommand)],
    kill_points: &[usize],
    mut background_failures: impl FnMut(f64) -> (f64, Option<usize>),
) -> RolloutResult {
    let end_limit = plan.spans.longest_s + EXTRA_TIME_S;
    let mut player = Player::new(world, plan, script, commands, kill_points);
    while player.world.now < end_limit && player.controller.outcome().is_none() {
        player.step(&mut background_failures);
    }
    player.result()
}

/// A rollout in progress.
struct Player<'a> {
    world: &'a mut World,
    plan: &'a Plan,
    controller: RolloutController,
    /// Records that the tool has written to disk.
    records: Vec<Record>,
    /// Faults that are not applied yet.
    script: Script,
    /// Operators' commands that are not given yet, by time (seconds).
    commands: Vec<(f64, OperatorCommand)>,
    /// Counts of actions at which the tool is killed.
    kill_points: &'a [usize],
    /// Number of actions that were started.
    actions_started: usize,
    /// Fronts at which a process crashed; they may be without a serving process.
    crashed_fronts: Vec<usize>,
    broken: Option<String>,
}

impl<'a> Player<'a> {
    fn new(
        world: &'a mut World,
        plan: &'a Plan,
        script: &Script,
        commands: &[(f64, OperatorCommand)],
        kill_points: &'a [usize],
    ) -> Player<'a> {
        Player {
            controller: RolloutController::new(world.now, plan.clone(), world.found_processes(), &[]),
            world,
            plan,
            records: Vec::new(),
            script: script.clone(),
            commands: commands.to_vec(),
            kill_points,
            actions_started: 0,
            crashed_fronts: Vec::new(),
            broken: None,
        }
    }

    fn step(&mut self, background_failures: &mut impl FnMut(f64) -> (f64, Option<usize>)) {
        let tool_killed = self.apply_faults();
        self.world.background_failures = background_failures(self.world.now);
        self.advance();
        self.apply_commands();
        self.controller.step(self.world.now);
        let killed_in_action = self.perform_actions();
        if tool_killed || killed_in_action {
            let found = self.world.found_processes();
            let now = self.world.now;
            self.controller = RolloutController::new(now, self.plan.clone(), found, &self.records);
        }
        self.check_serving_processes();
    }

    /// Applies the faults that are due; returns whether the tool is killed.
    fn apply_faults(&mut self) -> bool {
        let now = self.world.now;
        let (due, later): (Script, Script) =
            std::mem::take(&mut self.script).into_iter().partition(|fault| fault.0 <= now);
        self.script = later;
        for &(_, front, fault) in &due {
            if fault == Fault::Crashed {
                self.crashed_fronts.push(front);
            }
            self.world.inject_fault(front, fault);
        }
        due.iter().any(|fault| fault.2 == Fault::ToolKilled)
    }

    /// Advances the time by one step and passes the processes' observations and readings to the controller.
    fn advance(&mut self) {
        let (mut observations, mut readings) = (Vec::new(), Vec::new());
        self.world.advance(&mut observations);
        self.world.query_processes(&mut observations, &mut readings);
        let now = self.world.now;
        observations
            .into_iter()
            .for_each(|(front, event)| self.controller.handle_observation(now, front, event));
        readings.into_iter().for_each(|(front, reading)| self.controller.add_reading(now, front, reading));
    }

    /// Passes the operators' commands that are due to the controller.
    fn apply_commands(&mut self) {
        let now = self.world.now;
        self.commands.retain(|&(at, command)| {
            if at <= now {
                self.controller.apply_command(now, command);
            }
            at > now
        });
    }

    /// Performs the controller's actions; returns whether the tool is killed in between.
    fn perform_actions(&mut self) -> bool {
        let mut killed = false;
        let mut observations = Vec::new();
        for action in self.controller.take_actions() {
            killed = self.kill_points.contains(&self.actions_started);
            self.actions_started += 1;
            if killed {
                break;
            }
            match action {
                Action::WriteRecord(record) => self.records.push(record),
                Action::RunCommand(front, command) => self.world.execute(front, command, &mut observations),
            }
        }
        let now = self.world.now;
        observations
            .into_iter()
            .for_each(|(front, event)| self.controller.handle_observation(now, front, event));
        killed
    }

    /// Notes the first front that has no serving process although none of its processes crashed.
    fn check_serving_processes(&mut self) {
        let is_down =
            |front: &usize| !self.crashed_fronts.contains(front) && !self.world.has_serving_process(*front);
        if let Some(front) = (0..self.plan.fronts.len()).find(is_down) {
            let now = self.world.now;
            self.broken.get_or_insert(format!("front {front} has no process that serves at {now}"));
        }
    }

    fn result(mut self) -> RolloutResult {
        // Records of the last step are still among the actions.
        for action in self.controller.take_actions() {
            if let Action::WriteRecord(record) = action {
                self.records.push(record);
            }
        }
        let report = self.controller.report(self.world.now);
        RolloutResult {
            end: self.controller.outcome(),
            stage: report.stage,
            why: report.why,
            seconds: self.world.now,
            broken: self.broken,
            records: self.records,
        }
    }
}
