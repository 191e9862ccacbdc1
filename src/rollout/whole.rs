//! The whole rollout: watched, changed stage by stage, judged, gone back from, ended. Each record of what it does comes
//! before what it does, so that a second start goes on from the records and from what the fronts then say.

use super::change::{Change, Event, Health, Notice, Order, Phase as Step, Run, Side};
use super::evidence::tail;
use super::fleet_health::{Changed, FleetHealth};
use super::gate::{COUNTED, Gate, Sum, Undecided, Verdict, Window};
use super::plan::{By, Plan};
use super::readings::{Delta, Reading, Series};
use super::stages::{Seat, Stage, stages};
use super::usage::UsageBaseline;
use std::collections::BTreeMap;

/// A span without a look that is longer was no look at the fronts: it counts for nothing (seconds).
const GAP: f64 = 5.0;
/// Crashes within so long of each other have one cause, and are judged together (seconds).
const TOGETHER: f64 = 2.0;
/// Where old ones crash too, new ones must crash so much oftener that chance does it once in so many times.
const CHANCE: f64 = 0.01;
/// A front that could not be changed is tried again after so long, so many times in all (seconds, tries).
const AGAIN: (f64, u32) = (3.0, 2);
/// A front that could not be brought back is tried so many times before the others count as all that is left.
const BACK_TRIES: u32 = 4;

/// What an operator says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Word {
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
pub enum End {
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
        order: Order,
    },
    /// What came of a front's change.
    Noticed {
        /// Which.
        front: usize,
        /// What.
        notice: Notice,
    },
    /// A stage was judged no worse.
    Passed(usize),
    /// The whole does worse than before, in this class: nothing more is changed for now.
    Held(usize),
    /// It does as well as before again.
    Freed,
    /// An operator spoke.
    Said(Word),
    /// The fronts go back.
    Back {
        /// Why.
        why: String,
        /// An operator called it back.
        aborted: bool,
    },
    /// A front could not be brought back.
    Stuck(usize),
    /// It is over.
    Ended(End),
}

/// What is to be done: a record is kept before what follows it.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// Keep this.
    Keep(Record),
    /// Tell a front's process.
    Tell(usize, Order),
}

/// What was found of a front at a start: its processes, the oldest first, and the first number that none ever had.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Found {
    /// Number and answer of each.
    pub runs: Vec<(Run, Health)>,
    /// The first free number.
    pub next: Run,
}

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
    pub end: Option<End>,
    /// Evidence by class, for each of `COUNTED`, as logarithms; and what stops it.
    pub evidence: Vec<[f64; COUNTED.len()]>,
    /// What stops it.
    pub bound: f64,
    /// Requests of this stage and their unserved, of new and of old fronts, by class.
    pub sums: Vec<[(f64, f64); 2]>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Watching,
    Changing,
    Soaking { since: f64 },
    Back { aborted: bool },
    Ended(End),
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
pub struct Whole {
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
    watched: Vec<Sum>,
    /// Processes that ended by themselves or fell silent: when, and of which side.
    troubles: Vec<(f64, usize, Side)>,
    /// Of this stage: new and old, by class.
    sums: Vec<[Sum; 2]>,
    window: f64,
    last: f64,
    out: Vec<Act>,
}

impl Whole {
    /// A rollout of a checked plan over fronts as they were found, going on from these records if there are any.
    pub fn new(now: f64, plan: Plan, found: Vec<Found>, records: &[Record]) -> Whole {
        let (locations, places) = plan.locations();
        // What each process was started to run, or told to read: one that says nothing is taken to run that.
        let mut started: BTreeMap<(usize, Run), Side> = BTreeMap::new();
        for record in records {
            if let Record::Ordered { front, order: Order::Start(run, side) | Order::Reload(run, side) } =
                record
            {
                started.insert((*front, *run), *side);
            }
        }
        let mut orders = Vec::new();
        let mut members = Vec::new();
        for (i, (location, found)) in locations.into_iter().zip(found).enumerate() {
            let mut mine = Vec::new();
            let side = |run| started.get(&(i, run)).copied().unwrap_or(Side::Old);
            let run = |r: &(Run, Health)| (r.0, r.1, side(r.0));
            let runs: Vec<(Run, Health, Side)> = found.runs.iter().map(run).collect();
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
        let mut whole = Whole {
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
            watched: vec![Sum::default(); classes],
            troubles: Vec::new(),
            sums: vec![Default::default(); classes],
            window: now + plan.spans.window_s,
            last: now,
            out: Vec::new(),
            plan,
        };
        whole.replay(now, records);
        if records.is_empty() {
            let (name, fronts) = (whole.plan.name.clone(), whole.members.len());
            whole.keep(Record::Began { name, fronts });
        }
        orders.into_iter().for_each(|(front, order)| whole.tell(front, order));
        whole
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
                Record::Noticed { front, notice: Notice::Changed(Side::Old) } => {
                    self.members[*front].restart = false;
                }
                Record::Passed(stage) => self.stage = stage + 1,
                Record::Said(Word::Pause) => self.paused = Some(now),
                Record::Said(Word::Resume) => self.paused = None,
                Record::Back { why, aborted } => {
                    (self.why, self.phase) = (Some(why.clone()), Phase::Back { aborted: *aborted });
                }
                Record::Ended(end) => self.phase = Phase::Ended(*end),
                _ => {}
            }
        }
        if self.stage > 0 && self.stage >= self.stages.len() && self.phase == Phase::Changing {
            // Killed between the last pass and the end.
            return self.end(End::Done);
        }
        self.gate.stage(now, self.plan.spans.soak_s);
    }

    fn keep(&mut self, record: Record) {
        self.out.push(Act::Keep(record));
    }

    fn tell(&mut self, front: usize, order: Order) {
        self.keep(Record::Ordered { front, order });
        self.out.push(Act::Tell(front, order));
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.out)
    }

    /// How it ended, if it did.
    pub fn ended(&self) -> Option<End> {
        if let Phase::Ended(end) = self.phase { Some(end) } else { None }
    }

    /// The process of a front that serves, and what it runs.
    pub fn serving(&self, front: usize) -> Option<(Run, Side)> {
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
    pub fn say(&mut self, now: f64, word: Word) {
        if self.ended().is_some() {
            return;
        }
        match word {
            Word::Pause if self.paused.is_none() => self.paused = Some(now),
            Word::Resume if self.paused.is_some() => {
                // The time in between is not the stage's.
                self.stage_began += now - self.paused.take().unwrap_or(now);
            }
            Word::Abort if !matches!(self.phase, Phase::Back { .. }) => {
                self.keep(Record::Said(word));
                return self.back(now, "an operator called it back".into(), true);
            }
            _ => return,
        }
        self.keep(Record::Said(word));
    }

    fn drive(
        &mut self,
        now: f64,
        front: usize,
        act: impl FnOnce(&mut Change, &mut Vec<Order>, &mut Vec<Notice>),
    ) {
        let (mut orders, mut notices) = (Vec::new(), Vec::new());
        act(&mut self.members[front].change, &mut orders, &mut notices);
        for notice in notices {
            self.keep(Record::Noticed { front, notice });
            let member = &mut self.members[front];
            match notice {
                Notice::Changed(side) => {
                    member.failed = 0;
                    member.restart &= side == Side::New;
                    member.says = None;
                }
                Notice::GaveUp(side) => {
                    member.failed += 1;
                    member.again = now + AGAIN.0;
                    member.restart &= side == Side::New;
                }
                Notice::Crashed(side) => self.troubles.push((now, front, side)),
                Notice::Killed | Notice::Lost => {}
            }
        }
        orders.into_iter().for_each(|order| self.tell(front, order));
    }

    // ---- What is decided ----

    /// Time has passed: everything that is due.
    pub fn step(&mut self, now: f64) {
        let gap = now - self.last;
        self.last = now;
        if gap > GAP {
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

    /// A window closes: what fronts did in it goes to the gate.
    fn close(&mut self, now: f64) {
        let spans = &self.plan.spans;
        let (stale, warm) = (spans.stale_s, spans.warm_s);
        let classes = self.plan.classes.len();
        let mut all = vec![vec![Sum::default(); classes]; self.sizes.len()];
        let mut windows = Vec::new();
        for (front, member) in self.members.iter_mut().enumerate() {
            let Some(delta) = member.delta.take() else { continue };
            let sums: Vec<Sum> = delta
                .classes
                .iter()
                .take(classes)
                .map(|c| Sum {
                    asked: c.asked() as f64,
                    unserved: (c.busy + c.failed) as f64,
                    retries: c.calls.saturating_sub(c.served + c.failed) as f64,
                    slow: c.slow as f64,
                })
                .collect();
            for (all, sum) in all[member.location].iter_mut().zip(&sums) {
                (all.asked, all.unserved) = (all.asked + sum.asked, all.unserved + sum.unserved);
            }
            if self.phase == Phase::Watching {
                let asked: f64 = sums.iter().map(|s| s.asked).sum();
                member.watched = (member.watched.0 + asked, member.watched.1 + delta.span);
            }
            // In change, or something else than it should run: it stands for neither side.
            let (true, Some((run, side))) = (member.change.settled(), member.change.serving()) else {
                continue;
            };
            if member.says != Some(Health::Yes(side)) {
                continue;
            }
            let Some(last) = member.series.last(now, stale) else { continue };
            let uses = [last.memory_kb as f64, last.descriptors as f64, delta.processor];
            let young = member.series.age(now) < warm;
            let new = side == Side::New;
            for (class, sum) in sums.iter().enumerate() {
                let total = &mut self.sums[class][usize::from(!new)];
                (total.asked, total.unserved) = (total.asked + sum.asked, total.unserved + sum.unserved);
            }
            let (location, span) = (member.location, delta.span);
            windows.push(Window { front, run, span, location, new, young, sums, uses });
        }
        if self.phase == Phase::Watching {
            for (class, more) in all.iter().flat_map(|l| l.iter().enumerate()) {
                let sum = &mut self.watched[class];
                (sum.asked, sum.unserved) = (sum.asked + more.asked, sum.unserved + more.unserved);
            }
            self.gate.usage().saw(now, &windows);
        } else {
            let old_left: Vec<bool> = (0..self.sizes.len()).map(|l| self.news(l) < 1.0).collect();
            self.gate.saw(now, &windows, &old_left);
            self.health.saw(now, all);
        }
    }

    /// Fronts are watched before anything changes; then the stages are drawn.
    fn watch(&mut self, now: f64) {
        if now - self.began < self.plan.spans.watch_s || self.paused.is_some() {
            return;
        }
        if self.members.iter().any(|m| !m.change.settled()) {
            return;
        }
        let base: Vec<f64> = self.watched.iter().map(|s| s.unserved / s.asked.max(1.0)).collect();
        self.health.set_base(base.clone());
        let rate = |m: &Member| m.watched.0 / m.watched.1.max(1.0);
        let seats: Vec<Seat> =
            self.members.iter().map(|m| Seat { location: m.location, rate: rate(m) }).collect();
        let limits = &self.plan.limits;
        self.stages = stages(&seats, &limits.stages, limits.control, limits.by, self.plan.seed);
        let listed = self.stages.iter().map(|s| (s.fronts.clone(), s.control.clone())).collect();
        let usage = self.gate.usage().baselines(self.sizes.len());
        self.keep(Record::Staged { stages: listed, base, usage });
        self.begin(now, 0);
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
        let failed = |m: &Member| m.failed >= AGAIN.1 && !m.restart;
        if let Some(front) = self.members.iter().position(failed) {
            let name = &self.plan.fronts[front].name;
            return Some(format!("front {name} could not be changed, {} times", AGAIN.1));
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

    /// New processes that ended by themselves or are silent: evidence at once, unless old ones do the same then.
    fn crashes(&mut self, now: f64) -> Option<String> {
        for front in 0..self.members.len() {
            let m = &self.members[front];
            let (silent, known) =
                (m.change.silence(now), self.troubles.iter().any(|t| t.1 == front && now - t.0 < 60.0));
            if let Some((_, side)) = m.change.serving()
                && m.change.settled()
                && silent > self.plan.spans.silent_s
                && !known
            {
                self.troubles.push((now, front, side));
            }
        }
        let new = |t: &&(f64, usize, Side)| t.2 == Side::New;
        let first = self.troubles.iter().filter(new).map(|t| t.0).next()?;
        if now - first < TOGETHER {
            return None;
        }
        let near = self.troubles.iter().filter(|t| (t.0 - first).abs() <= TOGETHER);
        let near: Vec<_> = near.copied().collect();
        let worse = near.iter().filter(new).count();
        let on =
            |side: Side| self.members.iter().filter(move |m| m.change.serving().is_some_and(|s| s.1 == side));
        // Those that ended are on neither side now.
        let news = on(Side::New).count() + worse;
        let share = news as f64 / self.members.len() as f64;
        let by_chance = tail(worse as u64, near.len() as u64, share.min(1.0));
        if worse == near.len() || by_chance < CHANCE {
            let name = &self.plan.fronts[near.iter().find(new)?.1].name;
            return Some(format!("{worse} new processes ended by themselves or fell silent, {name} first"));
        }
        self.troubles.retain(|t| (t.0 - first).abs() > TOGETHER);
        None
    }

    /// Looks whether the whole does worse than before: nothing is changed while it does.
    fn look_at_whole(&mut self, now: f64) {
        let new_shares: Vec<f64> = (0..self.sizes.len()).map(|l| self.news(l)).collect();
        match self.health.look(now, &new_shares) {
            Some(Changed::Worse(class)) => self.keep(Record::Held(class)),
            Some(Changed::Well) => self.keep(Record::Freed),
            None => {}
        }
    }

    /// The share of a location's fronts that run the new side.
    fn news(&self, location: usize) -> f64 {
        let new =
            |m: &&Member| m.location == location && m.change.serving().is_some_and(|s| s.1 == Side::New);
        self.members.iter().filter(new).count() as f64 / self.sizes[location].max(1) as f64
    }

    /// One step of a stage: fronts are changed, or it is watched.
    fn stage(&mut self, now: f64) {
        self.look_at_whole(now);
        if let Some(why) = self.against(now) {
            return self.back(now, why, false);
        }
        let upto = self.stages[..=self.stage].iter().flat_map(|s| s.fronts.iter().copied());
        let wanted: Vec<usize> = upto.filter(|&f| !self.members[f].change.towards(Side::New)).collect();
        let restarts: Vec<usize> = (0..self.members.len()).filter(|&f| self.members[f].restart).collect();
        let busy = self.members.iter().any(|m| !m.change.settled());
        if self.paused.is_none() && !self.health.in_trouble() {
            let turns =
                wanted.iter().map(|&f| (f, Side::New)).chain(restarts.iter().map(|&f| (f, Side::Old)));
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
            self.end(End::Done);
        }
    }

    /// Has a front change, if its location bears one more at once.
    fn send(&mut self, now: f64, front: usize, to: Side) {
        let location = self.members[front].location;
        let here = self.members.iter().filter(|m| m.location == location && !m.change.settled()).count();
        let most = match self.plan.limits.by {
            By::Front => (self.plan.limits.at_once * self.sizes[location] as f64) as usize,
            By::Location => self.sizes[location],
        };
        let member = &self.members[front];
        if here < most.max(1) && member.change.settled() && now >= member.again {
            self.drive(now, front, |change, orders, _| change.go(now, to, orders));
        }
    }

    fn back(&mut self, now: f64, why: String, aborted: bool) {
        self.keep(Record::Back { why: why.clone(), aborted });
        (self.why, self.phase) = (Some(why), Phase::Back { aborted });
        for front in 0..self.members.len() {
            (self.members[front].restart, self.members[front].failed) = (false, 0);
            self.members[front].again = now;
            self.drive(now, front, |change, orders, _| change.call_back(now, orders));
        }
        self.go_back(now, aborted);
    }

    /// Fronts go back, as many at once as went there; one that does not is tried again, and the rest goes on.
    fn go_back(&mut self, now: f64, aborted: bool) {
        for front in 0..self.members.len() {
            let member = &self.members[front];
            if member.change.towards(Side::Old) || member.stuck {
                continue;
            }
            if member.failed >= BACK_TRIES {
                self.members[front].stuck = true;
                self.keep(Record::Stuck(front));
                continue;
            }
            self.send(now, front, Side::Old);
        }
        let there = |m: &Member| m.change.settled() && (m.stuck || m.change.towards(Side::Old));
        if self.members.iter().all(there) {
            let stuck = self.members.iter().any(|m| m.stuck);
            self.end(match (stuck, aborted) {
                (true, _) => End::Failed,
                (false, true) => End::Aborted,
                (false, false) => End::Stopped,
            });
        }
    }

    fn end(&mut self, end: End) {
        self.phase = Phase::Ended(end);
        self.keep(Record::Ended(end));
    }

    /// Where it stands.
    pub fn report(&self, now: f64) -> Report {
        let mut counts = [0; 4];
        for m in &self.members {
            let i = match (m.change.phase(), m.change.serving()) {
                (Step::Settled, Some(_)) if m.change.silence(now) > self.plan.spans.stale_s => 3,
                (Step::Settled, Some((_, Side::Old))) => 0,
                (Step::Settled, Some((_, Side::New))) => 1,
                _ => 2,
            };
            counts[i] += 1;
        }
        let phase = match self.phase {
            Phase::Watching => "watching what is there".to_owned(),
            Phase::Changing => format!("changing stage {}", self.stage + 1),
            Phase::Soaking { .. } => format!("watching stage {}", self.stage + 1),
            Phase::Back { .. } => "going back".to_owned(),
            Phase::Ended(end) => format!("{end:?}").to_lowercase(),
        };
        let (evidence, bound) = self.gate.evidence();
        let fronts = self.stages.get(self.stage).map(|stage| &stage.fronts);
        let undecided = fronts.and_then(|fronts| self.gate.undecided(now, fronts));
        let pair = |s: &[Sum; 2]| [(s[0].asked, s[0].unserved), (s[1].asked, s[1].unserved)];
        Report {
            phase,
            stage: self.stage,
            stages: self.stages.len(),
            old: counts[0],
            new: counts[1],
            changing: counts[2],
            silent: counts[3],
            paused: self.paused.is_some(),
            held: self.health.in_trouble(),
            undecided,
            why: self.why.clone(),
            end: self.ended(),
            evidence,
            bound,
            sums: self.sums.iter().map(pair).collect(),
        }
    }
}
