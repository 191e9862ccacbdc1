//! Plays a rollout over the model, with faults, operators' commands and kills of the tool.

use super::{Fault, World};
use onyxyoke::rollout::{Action, OperatorCommand, Outcome, Plan, Record, RolloutController};

/// A rollout is played for so long after the longest time that it may take (seconds).
const AFTER_LONGEST: f64 = 600.0;

/// How a rollout went.
#[derive(Debug, Clone)]
pub struct RolloutResult {
    pub end: Option<Outcome>,
    /// The stage in which it ended.
    pub stage: usize,
    pub why: Option<String>,
    pub seconds: f64,
    /// A rule that was broken: a front with no process that serves though none ended by itself.
    pub broken: Option<String>,
    pub records: Vec<Record>,
}

/// What happens at which time: to a front, or to everything.
pub type Script = Vec<(f64, usize, Fault)>;

/// Plays a rollout to its end; it is killed at each of these counts of acts, and started again.
pub fn play(
    world: &mut World,
    plan: &Plan,
    script: &Script,
    words: &[(f64, OperatorCommand)],
    killed: &[usize],
    mut trouble: impl FnMut(f64) -> (f64, Option<usize>),
) -> RolloutResult {
    let most = plan.spans.longest_s + AFTER_LONGEST;
    let mut player = Player::new(world, plan, script, words, killed);
    while player.world.now < most && player.controller.outcome().is_none() {
        player.step(&mut trouble);
    }
    player.result()
}

/// A rollout that is played.
struct Player<'a> {
    world: &'a mut World,
    plan: &'a Plan,
    controller: RolloutController,
    /// What the tool has kept on disk.
    records: Vec<Record>,
    /// What is still to happen.
    script: Script,
    words: Vec<(f64, OperatorCommand)>,
    /// The counts of acts at which the tool is killed.
    killed: &'a [usize],
    acts: usize,
    /// Fronts whose process ended by itself, which may be without one.
    spared: Vec<usize>,
    broken: Option<String>,
}

impl<'a> Player<'a> {
    fn new(
        world: &'a mut World,
        plan: &'a Plan,
        script: &Script,
        words: &[(f64, OperatorCommand)],
        killed: &'a [usize],
    ) -> Player<'a> {
        Player {
            controller: RolloutController::new(world.now, plan.clone(), world.found(), &[]),
            world,
            plan,
            records: Vec::new(),
            script: script.clone(),
            words: words.to_vec(),
            killed,
            acts: 0,
            spared: Vec::new(),
            broken: None,
        }
    }

    fn step(&mut self, trouble: &mut impl FnMut(f64) -> (f64, Option<usize>)) {
        let tool_killed = self.apply_faults();
        self.world.trouble = trouble(self.world.now);
        self.pass();
        self.say_words();
        self.controller.step(self.world.now);
        let killed_in_act = self.act();
        if tool_killed || killed_in_act {
            let found = self.world.found();
            let now = self.world.now;
            self.controller = RolloutController::new(now, self.plan.clone(), found, &self.records);
        }
        self.look_for_front_without_process();
    }

    /// Applies the faults that are due; true if the tool is killed.
    fn apply_faults(&mut self) -> bool {
        let now = self.world.now;
        let (due, later): (Script, Script) =
            std::mem::take(&mut self.script).into_iter().partition(|fault| fault.0 <= now);
        self.script = later;
        for &(_, front, fault) in &due {
            if fault == Fault::Crashed {
                self.spared.push(front);
            }
            self.world.fault(front, fault);
        }
        due.iter().any(|fault| fault.2 == Fault::ToolKilled)
    }

    /// A step of time passes, and the controller hears what the processes say.
    fn pass(&mut self) {
        let (mut heard, mut readings) = (Vec::new(), Vec::new());
        self.world.pass(&mut heard);
        self.world.ask(&mut heard, &mut readings);
        let now = self.world.now;
        heard.into_iter().for_each(|(front, event)| self.controller.handle_observation(now, front, event));
        readings.into_iter().for_each(|(front, reading)| self.controller.add_reading(now, front, reading));
    }

    /// The operators' commands that are due.
    fn say_words(&mut self) {
        let now = self.world.now;
        self.words.retain(|&(at, word)| {
            if at <= now {
                self.controller.apply_command(now, word);
            }
            at > now
        });
    }

    /// Does what the controller wants; true if the tool is killed meanwhile.
    fn act(&mut self) -> bool {
        let mut killed = false;
        let mut heard = Vec::new();
        for action in self.controller.take_actions() {
            killed = self.killed.contains(&self.acts);
            self.acts += 1;
            if killed {
                break;
            }
            match action {
                Action::WriteRecord(record) => self.records.push(record),
                Action::RunCommand(front, order) => self.world.tell(front, order, &mut heard),
            }
        }
        let now = self.world.now;
        heard.into_iter().for_each(|(front, event)| self.controller.handle_observation(now, front, event));
        killed
    }

    fn look_for_front_without_process(&mut self) {
        let is_down = |front: &usize| !self.spared.contains(front) && !self.world.serves(*front);
        if let Some(front) = (0..self.plan.fronts.len()).find(is_down) {
            let now = self.world.now;
            self.broken.get_or_insert(format!("front {front} has no process that serves at {now}"));
        }
    }

    fn result(mut self) -> RolloutResult {
        // What was told last, and processes that are still to end.
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
