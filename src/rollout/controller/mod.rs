//! The controller of a rollout: watched, changed stage by stage, judged, gone back from, ended. Each record of what it does
//! comes before what it does, so that a second start goes on from the records and from what the fronts then say.

mod crashes;
mod observation;
mod report;
mod rollback;

use super::change::{Change, Event, Health, ProcessCommand, ProcessEvent, Release, Run};
use super::fleet_health::{Changed, FleetHealth};
use super::gate::{Gate, Verdict};
use super::plan::{GroupBy, Plan};
use super::readings::{Delta, Reading, Series};
use super::records::{Action, Found, OperatorCommand, Outcome, Record};
use super::stages::Stage;
use super::window::ClassCounts;
pub use report::Report;
use std::collections::BTreeMap;

/// A span without a look that is longer was no look at the fronts: it counts for nothing (seconds).
const LONGEST_LOOK_S: f64 = 5.0;
/// A front that could not be changed is tried again after so long (seconds), so many times in all.
const RETRY_AFTER_S: f64 = 3.0;
const CHANGE_TRIES: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Watching,
    Changing,
    Soaking { since: f64 },
    Back { aborted: bool },
    Ended(Outcome),
}

#[derive(Debug, Clone)]
struct Member {
    change: Change,
    location: usize,
    series: Series,
    /// What its present process says it runs.
    says: Option<Health>,
    /// What it did since the last window closed.
    delta: Option<Delta>,
    /// Requests that it ended while it was only watched, and for how long.
    watched: (f64, f64),
    /// Changes that failed since one last went well, and when the next may be tried.
    failed: u32,
    again: f64,
    /// Its control restart of this stage is still to come.
    restart: bool,
    stuck: bool,
}

/// A rollout.
#[derive(Debug, Clone)]
pub struct RolloutController {
    plan: Plan,
    members: Vec<Member>,
    sizes: Vec<usize>,
    stages: Vec<Stage>,
    stage: usize,
    phase: Phase,
    began: f64,
    stage_began: f64,
    paused: Option<f64>,
    why: Option<String>,
    gate: Gate,
    health: FleetHealth,
    watched: Vec<ClassCounts>,
    /// Processes that ended by themselves or fell silent: when, and of which side.
    troubles: Vec<(f64, usize, Release)>,
    /// Of this stage: new and old, by class.
    sums: Vec<[ClassCounts; 2]>,
    window: f64,
    last: f64,
    out: Vec<Action>,
}

impl RolloutController {
    /// A rollout of a checked plan over fronts as they were found, going on from these records if there are any.
    pub fn new(now: f64, plan: Plan, found: Vec<Found>, records: &[Record]) -> RolloutController {
        let (locations, places) = plan.locations();
        // What each process was started to run, or told to read: one that says nothing is taken to run that.
        let mut started: BTreeMap<(usize, Run), Release> = BTreeMap::new();
        for record in records {
            if let Record::Ordered {
                front,
                order: ProcessCommand::Start(run, side) | ProcessCommand::Reload(run, side),
            } = record
            {
                started.insert((*front, *run), *side);
            }
        }
        let mut orders = Vec::new();
        let mut members = Vec::new();
        for (i, (location, found)) in locations.into_iter().zip(found).enumerate() {
            let mut mine = Vec::new();
            let side = |run| started.get(&(i, run)).copied().unwrap_or(Release::Old);
            let run = |r: &(Run, Health)| (r.0, r.1, side(r.0));
            let runs: Vec<(Run, Health, Release)> = found.runs.iter().map(run).collect();
            let (times, reload) = (plan.spans.times(), plan.limits.reload);
            let change = Change::found(now, times, reload, &runs, found.next.max(1), &mut mine);
            orders.extend(mine.into_iter().map(|o| (i, o)));
            members.push(Member {
                change,
                location,
                series: Series::default(),
                says: None,
                delta: None,
                watched: (0.0, 0.0),
                failed: 0,
                again: now,
                restart: false,
                stuck: false,
            });
        }
        let sizes = (0..places).map(|l| members.iter().filter(|m| m.location == l).count()).collect();
        let classes = plan.classes.len();
        let gate = Gate::new(plan.gates.clone(), classes, plan.limits.stages.len() + 1);
        let mut controller = RolloutController {
            members,
            sizes,
            stages: Vec::new(),
            stage: 0,
            phase: Phase::Watching,
            began: now,
            stage_began: now,
            paused: None,
            why: None,
            gate,
            health: FleetHealth::new(classes, plan.gates.whole, plan.spans.patience_s),
            watched: vec![ClassCounts::default(); classes],
            troubles: Vec::new(),
            sums: vec![Default::default(); classes],
            window: now + plan.spans.window_s,
            last: now,
            out: Vec::new(),
            plan,
        };
        controller.replay(now, records);
        if records.is_empty() {
            let (name, fronts) = (controller.plan.name.clone(), controller.members.len());
            controller.keep(Record::Began { name, fronts });
        }
        orders.into_iter().for_each(|(front, order)| controller.tell(front, order));
        controller
    }

    /// Goes through the records of an earlier start.
    fn replay(&mut self, now: f64, records: &[Record]) {
        for record in records {
            match record {
                Record::Staged { stages, base, usage } => {
                    let stage =
                        |s: &(Vec<usize>, Vec<usize>)| Stage { fronts: s.0.clone(), control: s.1.clone() };
                    self.stages = stages.iter().map(stage).collect();
                    self.health.set_base(base.clone());
                    self.gate.usage().restore(usage);
                }
                Record::Stage(stage) => {
                    (self.stage, self.phase) = (*stage, Phase::Changing);
                    self.members.iter_mut().for_each(|m| m.restart = false);
                    for &f in self.stages.get(*stage).iter().flat_map(|s| &s.control) {
                        self.members[f].restart = true;
                    }
                }
                Record::Noticed { front, notice: ProcessEvent::Changed(Release::Old) } => {
                    self.members[*front].restart = false;
                }
                Record::Passed(stage) => self.stage = stage + 1,
                Record::CommandReceived(OperatorCommand::Pause) => self.paused = Some(now),
                Record::CommandReceived(OperatorCommand::Resume) => self.paused = None,
                Record::RollbackStarted { why, aborted } => {
                    (self.why, self.phase) = (Some(why.clone()), Phase::Back { aborted: *aborted });
                }
                Record::Ended(end) => self.phase = Phase::Ended(*end),
                _ => {}
            }
        }
        if self.stage > 0 && self.stage >= self.stages.len() && self.phase == Phase::Changing {
            // Killed between the last pass and the end.
            return self.end(Outcome::Done);
        }
        self.gate.stage(now, self.plan.spans.soak_s);
    }

    fn keep(&mut self, record: Record) {
        self.out.push(Action::Keep(record));
    }

    fn tell(&mut self, front: usize, order: ProcessCommand) {
        self.keep(Record::Ordered { front, order });
        self.out.push(Action::Tell(front, order));
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// How it ended, if it did.
    pub fn ended(&self) -> Option<Outcome> {
        if let Phase::Ended(end) = self.phase { Some(end) } else { None }
    }

    /// The process of a front that serves, and what it runs.
    pub fn serving(&self, front: usize) -> Option<(Run, Release)> {
        self.members[front].change.serving()
    }

    /// A front's change.
    pub fn change(&self, front: usize) -> &Change {
        &self.members[front].change
    }

    // ---- What is heard ----

    /// A process answered, ended, or could not be started.
    pub fn hear(&mut self, now: f64, front: usize, event: Event) {
        if let Event::Said(run, health) = event
            && self.members[front].change.serving().is_some_and(|s| s.0 == run)
        {
            self.members[front].says = Some(health);
        }
        self.drive(now, front, |change, orders, notices| change.hear(now, event, orders, notices));
    }

    /// A process told its figures.
    pub fn read(&mut self, now: f64, front: usize, reading: Reading) {
        let stale = self.plan.spans.stale_s;
        let member = &mut self.members[front];
        if member.change.serving().is_some_and(|s| s.0 == reading.run) {
            let delta = member.series.take(now, reading, stale);
            member.delta = match (member.delta.take(), delta) {
                (Some(sum), Some(more)) => Some(sum.and(more)),
                (sum, more) => more.or(sum),
            };
        }
    }

    /// An operator speaks.
    pub fn say(&mut self, now: f64, word: OperatorCommand) {
        if self.ended().is_some() {
            return;
        }
        match word {
            OperatorCommand::Pause if self.paused.is_none() => self.paused = Some(now),
            OperatorCommand::Resume if self.paused.is_some() => {
                // The time in between is not the stage's.
                self.stage_began += now - self.paused.take().unwrap_or(now);
            }
            OperatorCommand::Abort if !matches!(self.phase, Phase::Back { .. }) => {
                self.keep(Record::CommandReceived(word));
                return self.back(now, "an operator called it back".into(), true);
            }
            _ => return,
        }
        self.keep(Record::CommandReceived(word));
    }

    fn drive(
        &mut self,
        now: f64,
        front: usize,
        act: impl FnOnce(&mut Change, &mut Vec<ProcessCommand>, &mut Vec<ProcessEvent>),
    ) {
        let (mut orders, mut notices) = (Vec::new(), Vec::new());
        act(&mut self.members[front].change, &mut orders, &mut notices);
        for notice in notices {
            self.keep(Record::Noticed { front, notice });
            let member = &mut self.members[front];
            match notice {
                ProcessEvent::Changed(side) => {
                    member.failed = 0;
                    member.restart &= side == Release::New;
                    member.says = None;
                }
                ProcessEvent::GaveUp(side) => {
                    member.failed += 1;
                    member.again = now + RETRY_AFTER_S;
                    member.restart &= side == Release::New;
                }
                ProcessEvent::Crashed(side) => self.troubles.push((now, front, side)),
                ProcessEvent::Killed | ProcessEvent::Lost => {}
            }
        }
        orders.into_iter().for_each(|order| self.tell(front, order));
    }

    // ---- What is decided ----

    /// Time has passed: everything that is due.
    pub fn step(&mut self, now: f64) {
        let gap = now - self.last;
        self.last = now;
        if gap > LONGEST_LOOK_S {
            self.skip(gap);
        }
        if self.ended().is_some() {
            return;
        }
        for front in 0..self.members.len() {
            self.drive(now, front, |change, orders, notices| change.tick(now, orders, notices));
        }
        if now >= self.window {
            self.window = now + self.plan.spans.window_s;
            self.close(now);
        }
        match self.phase {
            Phase::Watching => self.watch(now),
            Phase::Changing | Phase::Soaking { .. } => self.stage(now),
            Phase::Back { aborted } => self.go_back(now, aborted),
            Phase::Ended(_) => {}
        }
    }

    /// Nobody looked for a while (this program stood still, or the machine did).
    fn skip(&mut self, gap: f64) {
        for member in &mut self.members {
            member.change.skip(gap);
            member.series.forget();
            member.delta = None;
            member.again += gap;
        }
        self.gate.skip(gap);
        self.health.skip(gap);
        self.troubles.clear();
        (self.began, self.stage_began) = (self.began + gap, self.stage_began + gap);
        if let Phase::Soaking { since } = &mut self.phase {
            *since += gap;
        }
    }

    fn begin(&mut self, now: f64, stage: usize) {
        self.keep(Record::Stage(stage));
        (self.stage, self.stage_began, self.phase) = (stage, now, Phase::Changing);
        self.gate.stage(now, self.plan.spans.soak_s);
        self.sums.iter_mut().for_each(|s| *s = Default::default());
        for &front in &self.stages[stage].control {
            self.members[front].restart = true;
        }
    }

    /// What speaks against going on.
    fn against(&mut self, now: f64) -> Option<String> {
        if let Some(why) = self.crashes(now) {
            return Some(why);
        }
        if let Verdict::Worse { measure, class, by, bound } = self.gate.verdict(now) {
            let class = class.map_or(String::new(), |c| format!(" of '{}'", self.plan.classes[c]));
            return Some(format!("{measure:?}{class}: {by:.1} of {bound:.1}").to_lowercase());
        }
        let failed = |m: &Member| m.failed >= CHANGE_TRIES && !m.restart;
        if let Some(front) = self.members.iter().position(failed) {
            let name = &self.plan.fronts[front].name;
            return Some(format!("front {name} could not be changed, {} times", CHANGE_TRIES));
        }
        if let Some(class) = self.health.worse_for_too_long(now) {
            let class = &self.plan.classes[class];
            return Some(format!("the whole fleet does worse than before in '{class}'"));
        }
        let spans = &self.plan.spans;
        if now - self.began > spans.longest_s {
            return Some("it took longer than 'longest_s'".into());
        }
        let paused = self.paused.map_or(0.0, |since| now - since);
        (now - self.stage_began - paused > spans.longest_stage_s)
            .then(|| format!("stage {} could not be judged in time", self.stage + 1))
    }

    /// Looks whether the whole does worse than before: nothing is changed while it does.
    fn look_at_whole(&mut self, now: f64) {
        let new_shares: Vec<f64> = (0..self.sizes.len()).map(|l| self.news(l)).collect();
        match self.health.look(now, &new_shares) {
            Some(Changed::Worse(class)) => self.keep(Record::Paused(class)),
            Some(Changed::Well) => self.keep(Record::Resumed),
            None => {}
        }
    }

    /// The share of a location's fronts that run the new side.
    fn news(&self, location: usize) -> f64 {
        let new =
            |m: &&Member| m.location == location && m.change.serving().is_some_and(|s| s.1 == Release::New);
        self.members.iter().filter(new).count() as f64 / self.sizes[location].max(1) as f64
    }

    /// One step of a stage: fronts are changed, or it is watched.
    fn stage(&mut self, now: f64) {
        self.look_at_whole(now);
        if let Some(why) = self.against(now) {
            return self.back(now, why, false);
        }
        let upto = self.stages[..=self.stage].iter().flat_map(|s| s.fronts.iter().copied());
        let wanted: Vec<usize> = upto.filter(|&f| !self.members[f].change.towards(Release::New)).collect();
        let restarts: Vec<usize> = (0..self.members.len()).filter(|&f| self.members[f].restart).collect();
        let busy = self.members.iter().any(|m| !m.change.settled());
        if self.paused.is_none() && !self.health.in_trouble() {
            let turns =
                wanted.iter().map(|&f| (f, Release::New)).chain(restarts.iter().map(|&f| (f, Release::Old)));
            for (front, to) in turns.collect::<Vec<_>>() {
                self.send(now, front, to);
            }
        }
        if !wanted.is_empty() || !restarts.is_empty() || busy {
            return;
        }
        let Phase::Soaking { since } = self.phase else {
            self.phase = Phase::Soaking { since: now };
            return;
        };
        let gates = &self.plan.gates;
        let asked = self.gate.asked().iter().enumerate();
        let enough = asked
            .filter(|(class, _)| !gates.not_awaited.contains(class))
            .all(|(_, &asked)| asked >= gates.least_requests);
        let soaked = now - since >= self.plan.spans.soak_s;
        let undecided = self.gate.undecided(now, &self.stages[self.stage].fronts).is_some();
        if !soaked || !enough || undecided || self.health.in_trouble() || self.paused.is_some() {
            return;
        }
        self.keep(Record::Passed(self.stage));
        if self.stage + 1 < self.stages.len() {
            self.begin(now, self.stage + 1);
        } else {
            self.stage += 1;
            self.end(Outcome::Done);
        }
    }

    /// Has a front change, if its location bears one more at once.
    fn send(&mut self, now: f64, front: usize, to: Release) {
        let location = self.members[front].location;
        let here = self.members.iter().filter(|m| m.location == location && !m.change.settled()).count();
        let most = match self.plan.limits.by {
            GroupBy::Front => (self.plan.limits.at_once * self.sizes[location] as f64) as usize,
            GroupBy::Location => self.sizes[location],
        };
        let member = &self.members[front];
        if here < most.max(1) && member.change.settled() && now >= member.again {
            self.drive(now, front, |change, orders, _| change.go(now, to, orders));
        }
    }

    fn end(&mut self, end: Outcome) {
        self.phase = Phase::Ended(end);
        self.keep(Record::Ended(end));
    }
}
