//! The core: it knows no wire and reads no clock. One task owns it, with the director and all tables; fronts,
//! cache connections and the coordinator reach it by queue and hear of it by queue.

mod admission;
mod attempts;
mod counters;
mod messages;
mod metrics;
#[cfg(test)]
mod model;
mod run;
mod tenants;
mod timers;

pub use counters::Counters;
pub use messages::{
    Answer, AttemptId, Caller, ClientRequest, Command, Content, DiscoveryUpdate, Effect, Input, Member,
    Order, REQUEST_OVERHEAD_BYTES, Report,
};
pub use metrics::{Count, Gauges, Metrics};
pub use run::{Inputs, OperatorRequest, Shutdown, run};
pub use tenants::{Contracts, Team, TeamId};

use crate::interface::*;
use crate::membership::{Membership, OperatorOverride, SavedOverrides};
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::{Director, log};
use attempts::Open;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::rc::Rc;
use timers::Timers;

/// A connection confirms a withdrawal at once; without that for so long the request is failed (seconds).
const CONFIRM: f64 = 0.02;

/// The core's state.
pub struct Broker {
    director: Director,
    class_names: Vec<Rc<str>>,
    open: FxHashMap<RequestId, Open>,
    callers: FxHashMap<Caller, RequestId>,
    /// Names of what is open on the caches' wire, where two of one name could not be told apart.
    calls: FxHashSet<Box<str>>,
    contracts: Rc<Contracts>,
    budgets: tenants::Budgets,
    /// Nodes in their last told state.
    members: Membership,
    timers: Timers,
    /// All that is taken is answered by then, in Unix seconds, once the program is told to end.
    closes: f64,
    next_id: u32,
    memory: Ledger,
    /// The tables of what is open, and what the director has learned.
    tables: Grant,
    learned: Grant,
    /// Events that follow from carrying out actions.
    queue: VecDeque<Event>,
    actions: Vec<Action>,
    effects: Vec<Effect>,
    /// What was taken in, sent and answered.
    pub counters: Counters,
    /// What operators read.
    metrics: Rc<Metrics>,
}

/// What the core is set up with.
pub struct Setup {
    /// For random numbers.
    pub seed: u64,
    /// The director's settings.
    pub settings: Settings,
    /// Names of the classes, in the settings' order.
    pub class_names: Vec<Rc<str>>,
    /// What teams may ask for.
    pub contracts: Rc<Contracts>,
    /// What holds requests, tables and learned state.
    pub memory: Ledger,
    /// What operators read.
    pub metrics: Rc<Metrics>,
}

impl Broker {
    /// A core that knows no nodes yet.
    pub fn new(setup: Setup) -> Self {
        Broker {
            director: Director::new(setup.seed, setup.settings),
            class_names: setup.class_names,
            budgets: tenants::Budgets::new(&setup.contracts),
            contracts: setup.contracts,
            open: FxHashMap::default(),
            callers: FxHashMap::default(),
            calls: FxHashSet::default(),
            members: Membership::default(),
            timers: Timers::default(),
            closes: f64::INFINITY,
            next_id: 0,
            tables: setup
                .memory
                .empty_grant(AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Waiting) }),
            learned: setup.memory.empty_grant(AccountOwner::of(Purpose::Learned)),
            memory: setup.memory,
            queue: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
            counters: Counters::default(),
            metrics: setup.metrics,
        }
    }

    /// Publishes the gauges for operators; `waiting` requests are taken and still queued for the core.
    pub fn publish(&self, now: f64, waiting: usize) {
        let avoided = |n: &Node| n.state != NodeState::Ready || self.director.is_ejected(now, n.id);
        self.metrics.publish(Gauges {
            inflight: (self.callers.len() + waiting) as u64,
            hosts_listed: self.members.len() as u64,
            hosts_down: self.members.nodes().filter(avoided).count() as u64,
        });
    }

    /// The program ends: whatever is open, or still comes, is answered by then, whatever time its client gives.
    pub fn answer_by(&mut self, by: f64) {
        self.closes = by;
        for (&id, _) in self.open.iter().filter(|(_, o)| !o.done && o.request.deadline > by) {
            self.timers.set(by, timers::Timer::Deadline(id));
        }
    }

    /// How many requests have no final answer yet.
    pub fn pending(&self) -> usize {
        self.callers.len()
    }

    /// Why the director chose the caches that it chose.
    pub fn reason_counts(&self) -> &crate::spread::ReasonCounts {
        self.director.reason_counts()
    }

    /// The accounts that hold its requests.
    pub fn memory(&self) -> &Ledger {
        &self.memory
    }

    /// Has it heard of any node?
    pub fn has_nodes(&self) -> bool {
        !self.members.is_empty()
    }

    /// What is to be done outside, in order.
    pub fn effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.effects.drain(..)
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.next()
    }

    /// Takes news. Attempts whose write has not begun are taken back if the news bear on them: a request
    /// that waits for a connection must not go to a node that drains, or with an age limit from before a
    /// purge (rules 3 and 5).
    pub fn apply_update(&mut self, now: f64, news: DiscoveryUpdate, cached: bool) {
        match news {
            DiscoveryUpdate::NodeList { full, members } => {
                self.counters.lists += 1;
                let zones = self.director.settings().hub_of_zone.len();
                let known = |m: &&Member| {
                    let fine = usize::from(m.node.zone.0) < zones;
                    if !fine {
                        log!("node s-{:08x} is in no known zone and is left out", m.node.id.0);
                    }
                    fine
                };
                let members: Vec<Member> = members.iter().filter(known).copied().collect();
                let told: Vec<Node> = members.iter().map(|m| m.node).collect();
                let nodes = self.members.told(full, &told).into();
                let kind = match (cached, full) {
                    (true, _) => ListKind::Cached,
                    (false, true) => ListKind::Full,
                    (false, false) => ListKind::Delta,
                };
                self.effects.push(Effect::Command(Command::NodeList { full, members }));
                self.feed(now, Event::List { kind, nodes });
                self.recall_unready();
            }
            DiscoveryUpdate::Purge { object, group, at } => {
                self.counters.purges += 1;
                self.feed(now, Event::Purged { object, group, age: (now - at).max(0.0) });
                self.recall(|_, ask, _| object.map_or(ask.group == group, |o| ask.object == o));
            }
        }
        self.settle(now);
    }

    /// Carries out an operator's call: a cordon is in force, and the director has heard of it, before anything
    /// later is decided. What is to be said, or why it is refused.
    pub fn hand(&mut self, now: f64, hand: OperatorOverride) -> Result<String, String> {
        let (said, changed) = self.members.hand(now, hand)?;
        log!("by hand: {said}");
        self.seen(now, changed.into_iter().collect());
        Ok(said)
    }

    /// Takes in what another process of this front kept, or its predecessor.
    pub fn restore_overrides(&mut self, now: f64, kept: &SavedOverrides) {
        let changed = self.members.take(now, kept);
        if !changed.is_empty() {
            log!("cordons as kept: {} cordoned, {} nodes changed", kept.cordoned.len(), changed.len());
        }
        self.seen(now, changed);
    }

    /// What is kept for a successor: cordons, and nodes put back while they may still be cold.
    pub fn kept(&self, now: f64) -> SavedOverrides {
        let s = self.director.settings();
        self.members.kept(now, s.warm_up_time.max(s.parent_warm_up_time))
    }

    /// Tells the director of nodes whose view changed, and takes back what waits for one that is no longer ready.
    fn seen(&mut self, now: f64, changed: Vec<Node>) {
        if changed.is_empty() {
            return;
        }
        self.feed(now, Event::List { kind: ListKind::Delta, nodes: changed.into() });
        self.recall_unready();
        self.settle(now);
    }

    /// The client no longer waits. What is out for it is cancelled.
    pub fn abort(&mut self, now: f64, caller: Caller) {
        let Some(&id) = self.callers.get(&caller) else { return };
        self.leave(now, id);
        self.feed(now, Event::Expired { request: id });
        self.forget(id);
        self.settle(now);
    }

    /// Nobody waits for this request any more, whether the word of that has come or is still on its way: no answer is
    /// owed, nothing further is sent, and what is out is cancelled.
    fn leave(&mut self, now: f64, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let (caller, team) = (open.caller, open.request.team);
        self.callers.remove(&caller);
        self.counters.aborted += 1;
        self.budgets.release(now, team, 0);
        self.call_off(id);
    }

    /// Marks a request as concluded, cancels what is still out, forgets it when nothing is.
    fn close(&mut self, id: RequestId) {
        self.call_off(id);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.done && o.attempts.iter().all(|a| !a.out))
            && let Some(open) = self.open.remove(&id)
        {
            self.calls.remove(&open.request.call);
        }
    }

    /// Gives the final answer.
    fn answer(&mut self, now: f64, id: RequestId, answer: Answer) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let (caller, team) = (open.caller, open.request.team);
        self.metrics.count(open.request.class, answer.count());
        if matches!(answer, Answer::Served(_)) && now > open.aim {
            self.metrics.count(open.request.class, Count::Slow);
        }
        let bytes = if let Answer::Served(content) = &answer { content.body.len() } else { 0 };
        self.budgets.release(now, team, bytes);
        self.callers.remove(&caller);
        self.counters.answered(&answer);
        self.effects.push(Effect::Answer { caller, answer });
        self.close(id);
    }

    /// Takes a report of the cache connections.
    pub fn report(&mut self, now: f64, report: Report) {
        match report {
            Report::WriteStarted(attempt_id) => {
                if let Some(open) = self.open.get_mut(&attempt_id.request)
                    && let Some(a) = open.attempts.get_mut(usize::from(attempt_id.attempt))
                {
                    a.written = true;
                    self.counters.written += 1;
                    self.metrics.count(open.request.class, Count::BackendCall);
                }
            }
            Report::AttemptEnded { attempt_id, outcome, note, source_wait, content } => {
                self.ended(now, attempt_id, outcome, note, source_wait, content);
            }
            Report::AwaitingMemory(AttemptId { request, attempt }) => {
                self.feed(now, Event::Streaming { request, attempt });
            }
            Report::NoMemory(attempt_id) => self.no_memory(now, attempt_id),
            Report::Abandoned { attempt_id, outcome, propagation } => {
                self.abandoned(now, attempt_id, outcome, propagation)
            }
        }
        self.settle(now);
    }

    /// Fires what is due.
    pub fn tick(&mut self, now: f64) {
        while let Some(timer) = self.timers.due(now) {
            match timer {
                timers::Timer::Alarm(token) => self.feed(now, Event::TimerFired { token }),
                timers::Timer::Deadline(id) => self.overdue(now, id),
                timers::Timer::Propagated(request, attempt) => {
                    self.propagated(now, AttemptId { request, attempt })
                }
            }
        }
        self.settle(now);
    }

    /// A request's time is up: its attempt is withdrawn as timed out, and the director answers when it hears
    /// of that. One that the director holds without an attempt is failed here, so that none goes unanswered.
    fn overdue(&mut self, now: f64, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        // No further attempt may go: whether the node has heard of the last is nothing to wait for any more.
        if now >= open.request.deadline.min(self.closes)
            && let Some(i) = open.attempts.iter().position(|a| a.abandoned.is_some())
        {
            self.propagated(now, AttemptId { request: id, attempt: i as u16 });
        }
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.done) else { return };
        let mut asked = false;
        for (i, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && a.abandoned.is_none()) {
            asked |= !std::mem::replace(&mut a.timed_out, true);
            let attempt_id = AttemptId { request: id, attempt: i as u16 };
            if a.call_off() {
                self.effects.push(Effect::Command(Command::Cancel { attempt_id, node: a.node }));
            }
        }
        if asked {
            self.timers.set(now + CONFIRM, timers::Timer::Deadline(id));
        } else if now >= open.request.deadline.min(self.closes) {
            self.feed(now, Event::Expired { request: id });
            self.answer(now, id, Answer::DeadlineExceeded);
        }
    }

    /// Hands the director an event and carries out what it wants.
    fn feed(&mut self, now: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.director.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    /// Feeds the events that followed from actions, and books what was learned from all.
    fn settle(&mut self, now: f64) {
        while let Some(event) = self.queue.pop_front() {
            if let Event::AttemptEnd { request, .. } = event {
                self.feed(now, event);
                self.forget(request);
            } else {
                self.feed(now, event);
            }
        }
        self.book_learned();
    }

    fn carry_out(&mut self, now: f64, action: Action) {
        match action {
            Action::Fetch { .. } => self.send(now, action),
            Action::Refuse { request, wait } => {
                self.counters.refused_by_director += 1;
                self.answer(now, request, Answer::Refused(wait));
            }
            Action::Fail { request } => self.answer(now, request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let attempt_id = AttemptId { request, attempt };
                if let Some(a) = self.attempt(attempt_id).filter(|a| a.out && a.call_off()) {
                    let node = a.node;
                    self.effects.push(Effect::Command(Command::Cancel { attempt_id, node }));
                }
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, timers::Timer::Alarm(token)),
            // The site pushes its list, and this director probes nobody and tells its peers nothing.
            Action::Probe { .. } | Action::SendMessage { .. } | Action::Watch { .. } | Action::ReadList => {}
        }
    }
}
