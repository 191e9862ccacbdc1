//! The broker carries client requests from arrival to their final answer: it asks the director for decisions,
//! orders attempts and answers clients. It does no I/O and reads no clock. One task owns it, with the
//! director and all tables; client connections, connections to cache nodes and the coordinator exchange
//! messages with that task by queues.

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
pub use run::{Inputs, OperatorRequest, OverrideApplied, Shutdown, run};
pub use tenants::{Contracts, Team, TeamId};

use crate::interface::*;
use crate::membership::{Membership, OperatorOverride, Overrides};
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::routing::ObjectGroups;
use crate::{Director, log};
use attempts::OpenRequest;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::rc::Rc;
use timers::Timers;

/// A connection confirms a cancel at once. Without a confirmation within this time the request is failed.
const CANCEL_CONFIRM_SECONDS: f64 = 0.02;

/// State of the broker.
pub struct Broker {
    director: Director,
    class_names: Vec<Rc<str>>,
    open: FxHashMap<RequestId, OpenRequest>,
    callers: FxHashMap<Caller, RequestId>,
    /// Call ids of the open requests. They are unique: the protocol of the cache nodes tells requests apart
    /// by them.
    open_calls: FxHashSet<Box<str>>,
    contracts: Rc<Contracts>,
    budgets: tenants::Budgets,
    /// The listed nodes, with the operators' cordons applied.
    members: Membership,
    /// The groups of objects that are also asked for without their group.
    groups: ObjectGroups,
    timers: Timers,
    /// Time by which every request is answered during shutdown (Unix seconds); infinite before.
    shutdown_deadline: f64,
    next_id: u32,
    memory: Ledger,
    /// Memory of the tables of open requests.
    table_grant: Grant,
    /// Memory of what the director has learned.
    learned_grant: Grant,
    /// Events caused by executing actions, to be dispatched next.
    pending_events: VecDeque<Event>,
    actions: Vec<Action>,
    effects: Vec<Effect>,
    /// Counters of requests, attempts and answers.
    pub counters: Counters,
    /// Metrics that operators read.
    metrics: Rc<Metrics>,
}

/// What a broker is created from.
pub struct Setup {
    /// Seed of the random numbers.
    pub seed: u64,
    /// The director's settings.
    pub settings: Settings,
    /// Names of the classes, in the settings' order.
    pub class_names: Vec<Rc<str>>,
    /// The teams' contracts.
    pub contracts: Rc<Contracts>,
    /// The accounts of memory for requests, tables and learned state.
    pub memory: Ledger,
    /// Metrics that operators read.
    pub metrics: Rc<Metrics>,
}

impl Broker {
    /// Creates a broker that knows no nodes yet.
    pub fn new(setup: Setup) -> Self {
        Broker {
            director: Director::new(setup.seed, setup.settings),
            class_names: setup.class_names,
            budgets: tenants::Budgets::new(&setup.contracts),
            contracts: setup.contracts,
            open: FxHashMap::default(),
            callers: FxHashMap::default(),
            open_calls: FxHashSet::default(),
            members: Membership::default(),
            groups: ObjectGroups::default(),
            timers: Timers::default(),
            shutdown_deadline: f64::INFINITY,
            next_id: 0,
            table_grant: setup
                .memory
                .empty_grant(AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Waiting) }),
            learned_grant: setup.memory.empty_grant(AccountOwner::of(Purpose::Learned)),
            memory: setup.memory,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
            counters: Counters::default(),
            metrics: setup.metrics,
        }
    }

    /// Publishes the gauges for operators; `waiting` requests are still queued for the broker.
    pub fn publish(&self, now: f64, waiting: usize) {
        let avoided = |n: &Node| n.state != NodeState::Ready || self.director.is_ejected(now, n.id);
        self.metrics.publish(Gauges {
            inflight: (self.callers.len() + waiting) as u64,
            hosts_listed: self.members.len() as u64,
            hosts_down: self.members.nodes().filter(avoided).count() as u64,
        });
    }

    /// Begins shutdown: every open or later request is answered by `by`, even if its own deadline is later.
    pub fn answer_by(&mut self, by: f64) {
        self.shutdown_deadline = by;
        for (&id, _) in self.open.iter().filter(|(_, o)| !o.concluded && o.request.deadline > by) {
            self.timers.set(by, timers::Timer::Deadline(id));
        }
    }

    /// Returns the number of requests without a final answer.
    pub fn pending(&self) -> usize {
        self.callers.len()
    }

    /// Returns the counts of the reasons for which the director chose nodes.
    pub fn reason_counts(&self) -> &crate::spread::ReasonCounts {
        self.director.reason_counts()
    }

    /// Returns the accounts of memory.
    pub fn memory(&self) -> &Ledger {
        &self.memory
    }

    /// Returns whether any node is listed.
    pub fn has_nodes(&self) -> bool {
        !self.members.is_empty()
    }

    /// Takes the effects to be carried out by the caller, in order.
    pub fn effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.effects.drain(..)
    }

    /// Returns when the next timer is due (Unix seconds).
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.next()
    }

    /// Applies a discovery update. Cancels attempts that it affects and whose write has not begun: a request
    /// that waits for a connection must not go to a draining node, nor carry an age limit from before a purge
    /// (rules 3 and 5).
    pub fn apply_update(&mut self, now: f64, update: DiscoveryUpdate, cached: bool) {
        match update {
            DiscoveryUpdate::NodeList { full, members } => {
                self.counters.lists += 1;
                let zones = self.director.settings().hub_of_zone.len();
                let in_known_zone = |m: &&Member| {
                    let known = usize::from(m.node.zone.0) < zones;
                    if !known {
                        log!("node s-{:08x} is in an unknown zone and is ignored", m.node.id.0);
                    }
                    known
                };
                let members: Vec<Member> = members.iter().filter(in_known_zone).copied().collect();
                let listed: Vec<Node> = members.iter().map(|m| m.node).collect();
                let nodes = self.members.apply_list(full, &listed).into();
                let kind = match (cached, full) {
                    (true, _) => ListKind::Cached,
                    (false, true) => ListKind::Full,
                    (false, false) => ListKind::Delta,
                };
                self.effects.push(Effect::Command(Command::NodeList { full, members }));
                self.dispatch(now, Event::List { kind, nodes });
                self.cancel_unready();
            }
            DiscoveryUpdate::Purge { scope, at } => {
                self.counters.purges += 1;
                self.dispatch(now, Event::Purged { scope, age: (now - at).max(0.0) });
                self.cancel_unwritten(|_, request, _| scope.may_cover(request.object, request.group));
            }
        }
        self.drain_events(now);
    }

    /// Applies an operator's cordon or uncordon. It is in force at the director before any later decision.
    /// Returns the message for the operator, or why the call is refused.
    pub fn apply_override(&mut self, now: f64, action: OperatorOverride) -> Result<String, String> {
        let (message, changed) = self.members.apply_override(now, action)?;
        log!("operator: {message}");
        self.apply_view_changes(now, changed.into_iter().collect());
        Ok(message)
    }

    /// Merges the overrides that another process of this front, or its predecessor, saved.
    pub fn merge_overrides(&mut self, now: f64, saved: &Overrides) {
        let changed = self.members.merge_overrides(saved);
        if !changed.is_empty() {
            let cordoned = self.members.overrides().cordoned_count();
            log!("cordons merged: {cordoned} cordoned, {} nodes changed", changed.len());
        }
        self.apply_view_changes(now, changed);
    }

    /// Returns the operators' overrides, to be saved for the other process of this front and for successors.
    pub fn overrides(&self) -> &Overrides {
        self.members.overrides()
    }

    /// Hands the director the nodes whose view changed, and cancels unwritten attempts to those no longer
    /// ready.
    fn apply_view_changes(&mut self, now: f64, changed: Vec<Node>) {
        if changed.is_empty() {
            return;
        }
        self.dispatch(now, Event::List { kind: ListKind::Delta, nodes: changed.into() });
        self.cancel_unready();
        self.drain_events(now);
    }

    /// Handles a client that no longer waits: cancels the attempt in flight.
    pub fn abort(&mut self, now: f64, caller: Caller) {
        let Some(&id) = self.callers.get(&caller) else { return };
        self.cancel_request(now, id);
        self.dispatch(now, Event::Expired { request: id });
        self.remove_if_finished(id);
        self.drain_events(now);
    }

    /// Concludes a request whose client has disconnected or cancelled it, also before its abort arrives: no
    /// answer and no further attempt is sent, and the attempt in flight is cancelled.
    fn cancel_request(&mut self, now: f64, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|o| !o.concluded) else { return };
        let (caller, team) = (open.caller, open.request.team);
        self.callers.remove(&caller);
        self.counters.aborted += 1;
        self.budgets.release(now, team, 0);
        self.cancel_attempts(id);
    }

    /// Marks a request as concluded, cancels its attempt in flight, and removes it if there is none.
    fn conclude(&mut self, id: RequestId) {
        self.cancel_attempts(id);
        self.remove_if_finished(id);
    }

    /// Removes a concluded request once none of its attempts is in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.concluded && o.attempts.iter().all(|a| !a.in_flight))
            && let Some(open) = self.open.remove(&id)
        {
            self.open_calls.remove(&open.request.call);
        }
    }

    /// Sends the final answer of a request.
    fn answer(&mut self, now: f64, id: RequestId, answer: Answer) {
        let Some(open) = self.open.get(&id).filter(|o| !o.concluded) else { return };
        let (caller, team) = (open.caller, open.request.team);
        self.metrics.count(open.request.class, answer.count());
        if matches!(answer, Answer::Served(_)) && now > open.aim {
            self.metrics.count(open.request.class, Count::Slow);
        }
        let bytes = if let Answer::Served(content) = &answer { content.body.len() } else { 0 };
        self.budgets.release(now, team, bytes);
        self.callers.remove(&caller);
        self.counters.count_answer(&answer);
        self.effects.push(Effect::Answer { caller, answer });
        self.conclude(id);
    }

    /// Handles a report of the connections to cache nodes.
    pub fn handle_report(&mut self, now: f64, report: Report) {
        match report {
            Report::WriteStarted(attempt_id) => {
                if let Some(open) = self.open.get_mut(&attempt_id.request)
                    && let Some(attempt) = open.attempts.get_mut(usize::from(attempt_id.attempt))
                {
                    attempt.write_started = true;
                    self.counters.written += 1;
                    self.metrics.count(open.request.class, Count::BackendCall);
                }
            }
            Report::AttemptEnded { attempt_id, outcome, note, source_wait, content } => {
                self.handle_attempt_end(now, attempt_id, outcome, note, source_wait, content);
            }
            Report::AwaitingMemory(AttemptId { request, attempt }) => {
                self.dispatch(now, Event::Streaming { request, attempt });
            }
            Report::NoMemory(attempt_id) => self.handle_no_memory(now, attempt_id),
            Report::Abandoned { attempt_id, outcome, propagation } => {
                self.handle_abandoned(now, attempt_id, outcome, propagation)
            }
        }
        self.drain_events(now);
    }

    /// Fires all timers that are due.
    pub fn fire_timers(&mut self, now: f64) {
        while let Some(timer) = self.timers.due(now) {
            match timer {
                timers::Timer::Director(token) => self.dispatch(now, Event::TimerFired { token }),
                timers::Timer::Deadline(id) => self.handle_deadline(now, id),
                timers::Timer::Abandoned(request, attempt) => {
                    self.finish_abandoned(now, AttemptId { request, attempt })
                }
            }
        }
        self.drain_events(now);
    }

    /// Handles the deadline of a request or the timeout of its attempt: the attempt is cancelled as timed
    /// out, and the director decides once that is confirmed. A request without an attempt in flight is failed
    /// here, so that none goes unanswered.
    fn handle_deadline(&mut self, now: f64, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|o| !o.concluded) else { return };
        // No further attempt may follow, so there is no need to wait until the node has read the cancel.
        if now >= open.request.deadline.min(self.shutdown_deadline)
            && let Some(i) = open.attempts.iter().position(|a| a.abandoned_as.is_some())
        {
            self.finish_abandoned(now, AttemptId { request: id, attempt: i as u16 });
        }
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.concluded) else { return };
        let mut cancel_requested = false;
        for (i, a) in
            open.attempts.iter_mut().enumerate().filter(|(_, a)| a.in_flight && a.abandoned_as.is_none())
        {
            cancel_requested |= !std::mem::replace(&mut a.timed_out, true);
            let attempt_id = AttemptId { request: id, attempt: i as u16 };
            if a.cancel() {
                self.effects.push(Effect::Command(Command::Cancel { attempt_id, node: a.node }));
            }
        }
        if cancel_requested {
            self.timers.set(now + CANCEL_CONFIRM_SECONDS, timers::Timer::Deadline(id));
        } else if now >= open.request.deadline.min(self.shutdown_deadline) {
            self.dispatch(now, Event::Expired { request: id });
            self.answer(now, id, Answer::DeadlineExceeded);
        }
    }

    /// Hands the director an event and executes the actions that it returns.
    fn dispatch(&mut self, now: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.director.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
    }

    /// Dispatches the events caused by actions, then updates the account of learned state.
    fn drain_events(&mut self, now: f64) {
        while let Some(event) = self.pending_events.pop_front() {
            if let Event::AttemptEnd { request, .. } = event {
                self.dispatch(now, event);
                self.remove_if_finished(request);
            } else {
                self.dispatch(now, event);
            }
        }
        self.account_learned();
    }

    /// Executes an action of the director.
    fn execute(&mut self, now: f64, action: Action) {
        match action {
            Action::Fetch { .. } => self.send_attempt(now, action),
            Action::Refuse { request, wait } => {
                self.counters.refused_by_director += 1;
                self.answer(now, request, Answer::Refused(wait));
            }
            Action::Fail { request } => self.answer(now, request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let attempt_id = AttemptId { request, attempt };
                if let Some(attempt) = self.attempt(attempt_id).filter(|a| a.in_flight && a.cancel()) {
                    let node = attempt.node;
                    self.effects.push(Effect::Command(Command::Cancel { attempt_id, node }));
                }
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, timers::Timer::Director(token)),
            // The platform pushes its list, and this front neither probes nodes nor sends messages to other
            // directors.
            Action::Probe { .. } | Action::SendMessage { .. } | Action::Watch { .. } | Action::ReadList => {}
        }
    }
}
