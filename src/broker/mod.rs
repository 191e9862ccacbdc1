//! The core: it knows no wire and reads no clock. One task owns it, with the director and all tables; fronts,
//! cache connections and the coordinator reach it by queue and hear of it by queue.

mod counters;
mod figures;
#[cfg(test)]
mod model;
mod run;
mod tenants;
mod timers;

pub use counters::Counters;
pub use figures::{Count, Figures, Gauges};
pub use run::{Close, Inputs, Operator, run};
pub use tenants::{Contracts, Team, TeamId};

use crate::interface::*;
use crate::membership::{Hand, Kept, Membership};
use crate::memory::{Grant, Holder, Ledger, Purpose, Refused};
use crate::{Director, log};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use timers::Timers;
use tokio::sync::mpsc::UnboundedSender;

/// A connection confirms a withdrawal at once; without that for so long the request is failed (seconds).
const CONFIRM: f64 = 0.02;

/// A member of the list with where it listens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// As the director knows it.
    pub node: Node,
    /// Where it listens. The address of a node that has gone may belong to a new one.
    pub address: SocketAddr,
}

/// News of the world, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// The whole list, or what has changed in it.
    Roster {
        /// Who is absent is gone.
        full: bool,
        /// The entries.
        members: Vec<Member>,
    },
    /// Older copies are out of date.
    Purge {
        /// The object; none: the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: GroupId,
        /// When the purge was made, in Unix seconds.
        at: f64,
    },
}

/// What a request takes of the open tables, the queues between tasks and the timers until it is answered, in
/// whole and rounded up: its entries here and at the director, its attempts, its order and its reports (bytes).
pub const REQUEST: usize = 2048;

/// What a front asks, whatever its wire.
#[derive(Debug, Default, PartialEq)]
pub struct Ask {
    /// The class.
    pub class: ClassId,
    /// The object as the director knows it.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The group of the object.
    pub group: GroupId,
    /// Size in KB, 0 where not told.
    pub kb: f64,
    /// When the answer must be out, in Unix seconds.
    pub deadline: f64,
    /// A client's repeat.
    pub repeat: bool,
    /// Whose request it is, where teams are configured.
    pub team: Option<TeamId>,
    /// Where the object lies in the teams' name space, on a wire that has paths.
    pub path: Option<Box<str>>,
    /// Names this try on the caches' wire.
    pub call: Box<str>,
    /// The object on the caches' wire.
    pub asset: Box<str>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// The bare tag of the client's copy.
    pub have: Option<Box<str>>,
    /// What a write carries.
    pub body: Vec<u8>,
    /// Memory of the request and of its body, until it is over.
    pub held: [Grant; 2],
    /// Bytes that its client has left unread, where it reads more than one answer.
    pub reader: Option<Rc<Cell<usize>>>,
    /// Its client has left, or cancelled it: set by whoever reads that, so that nothing more is sent for it however long
    /// the word of it takes.
    pub gone: Rc<Cell<bool>>,
}

impl Ask {
    /// Takes memory for the request and for a body of so many bytes. `precious` ones may have the reserve.
    pub fn hold(&mut self, memory: &Ledger, precious: bool, body: usize) -> Result<(), Refused> {
        let holder = |purpose| Holder { purpose, team: self.team, precious };
        if !memory.admits(REQUEST + body, precious) {
            return Err(memory.refuse(Purpose::Waiting));
        }
        self.held =
            [memory.ask(holder(Purpose::Waiting), REQUEST)?, memory.ask(holder(Purpose::Bodies), body)?];
        Ok(())
    }
}

/// The final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// Served: a whole answer of a cache node, unchanged.
    Served(Content),
    /// Refused: a further try is harmless, after so many seconds.
    Refused(f64),
    /// Failed; it may have run.
    Failed,
    /// Failed: its time has passed.
    Late,
    /// Refused: the team's budget is spent for so many seconds.
    OverBudget(f64),
    /// Refused: no contract covers it.
    Forbidden,
}

impl Answer {
    /// What operators count it as.
    pub fn count(&self) -> Count {
        match self {
            Answer::Served(_) => Count::Success,
            Answer::Refused(_) | Answer::OverBudget(_) => Count::Busy,
            Answer::Failed | Answer::Late | Answer::Forbidden => Count::Failure,
        }
    }
}

/// What a cache node made.
#[derive(Debug, Default, PartialEq)]
pub struct Content {
    /// The bytes.
    pub body: Vec<u8>,
    /// The tag of the copy.
    pub etag: Box<str>,
    /// The client's copy is the one; there are no bytes.
    pub current: bool,
    /// Memory of the bytes, until the client has them.
    pub grant: Grant,
}

/// Who asked: a connection of a front, and the tag of the request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Caller {
    /// The connection.
    pub connection: u64,
    /// The request on it.
    pub tag: u64,
}

/// From a front to the broker.
#[derive(Debug)]
pub enum Input {
    /// A request was taken; exactly one answer is owed, unless it is aborted.
    Ask {
        /// Who asks.
        caller: Caller,
        /// What.
        ask: Rc<Ask>,
        /// Where the answer goes. A connection has few requests open, which bounds its queue.
        reply: UnboundedSender<(u64, Answer)>,
    },
    /// The client stopped waiting; no answer is owed.
    Abort(Caller),
}

/// One attempt on its way: the request and the number of the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 0.
    pub attempt: u16,
}

/// An attempt to be written to a cache node.
#[derive(Debug, Clone)]
pub struct Order {
    /// Names it in reports.
    pub ticket: Ticket,
    /// What is asked.
    pub ask: Rc<Ask>,
    /// The class as the wire names it.
    pub class: Rc<str>,
    /// Whom to ask.
    pub node: NodeId,
    /// Where a miss is filled from; none: no fill.
    pub source: Option<NodeId>,
    /// Rank at which the copy is kept.
    pub rank: u8,
    /// Oldest copy that will do, in seconds; 0: the class's fresh time.
    pub age: f64,
    /// Further options.
    pub options: FillOptions,
    /// It is not waited for longer, in Unix seconds.
    pub due: f64,
    /// A copy made before is too old to be served, in Unix seconds.
    pub oldest: f64,
    /// What it gives is no copy of anything.
    pub never_kept: bool,
    /// How often it came back from a connection that ended before its write.
    pub returned: u8,
    /// It is not sent any more: told here as it is decided, whatever queue the order is in.
    pub called_off: Rc<Cell<bool>>,
    /// A further attempt that its class permits only so long after an earlier one begins by then (Unix seconds).
    pub begin_by: f64,
}

impl Order {
    /// May its first byte go out now? Asked last, by whoever writes it.
    pub fn goes(&self, now: f64) -> bool {
        now < self.due.min(self.begin_by) && !self.called_off.get() && !self.ask.gone.get()
    }
}

/// From the broker to the cache connections.
#[derive(Debug)]
pub enum Command {
    /// Write it, on any connection to its node.
    Send(Order),
    /// Take it back: unsent if its write has not begun, else cancelled on the wire. Its end is reported.
    Cancel {
        /// Which.
        ticket: Ticket,
        /// Its node.
        node: NodeId,
    },
    /// The list has changed.
    Roster {
        /// Who is absent is gone.
        full: bool,
        /// The entries.
        members: Vec<Member>,
    },
}

/// From the cache connections to the broker.
#[derive(Debug, PartialEq)]
pub enum Report {
    /// Its write has begun; from here on only proof says that it did not run.
    Written(Ticket),
    /// It has ended.
    Ended {
        /// Which.
        ticket: Ticket,
        /// How; `Moot` if it was taken back unsent, `Cancelled` if on the wire.
        outcome: Outcome,
        /// Where the content came from, or why not.
        note: Note,
        /// Seconds that the node waited for the source.
        source_wait: f64,
        /// What was served.
        content: Option<Content>,
    },
    /// It was answered, and there is no memory for the answer. That says nothing of the node.
    NoMemory(Ticket),
    /// It was given up on the wire, and its node may not have read that yet: it is out for a little longer.
    Left {
        /// Which.
        ticket: Ticket,
        /// `Cancelled`, or `Reset` with its connection.
        outcome: Outcome,
        /// So long (seconds).
        settles: f64,
    },
}

/// What the core wants done outside.
#[derive(Debug)]
pub enum Effect {
    /// For the cache connections.
    Command(Command),
    /// For a caller.
    Answer {
        /// Whose.
        caller: Caller,
        /// What.
        answer: Answer,
    },
}

struct Attempt {
    node: NodeId,
    source: Option<NodeId>,
    sent_at: f64,
    written: bool,
    out: bool,
    /// Its time ran out, so that its withdrawal is a time-out.
    timed_out: bool,
    /// Taken back; its order sees that too.
    called_off: Rc<Cell<bool>>,
    /// Its end proves that it did not run.
    never_ran: bool,
    /// It was given up on the wire: how it ends once that is surely known to its node.
    left: Option<Outcome>,
}

impl Attempt {
    /// Takes it back; not if that was done before.
    fn call_off(&self) -> bool {
        !self.called_off.replace(true)
    }
}

struct Open {
    caller: Caller,
    ask: Rc<Ask>,
    /// When it is answered as its class aims for.
    aim: f64,
    attempts: Vec<Attempt>,
    /// The final answer is out, or none is owed.
    done: bool,
}

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
    figures: Rc<Figures>,
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
    pub figures: Rc<Figures>,
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
            tables: setup.memory.empty(Holder { precious: true, ..Holder::of(Purpose::Waiting) }),
            learned: setup.memory.empty(Holder::of(Purpose::Learned)),
            memory: setup.memory,
            queue: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
            counters: Counters::default(),
            figures: setup.figures,
        }
    }

    /// Publishes the gauges for operators; `waiting` requests are taken and still queued for the core.
    pub fn publish(&self, now: f64, waiting: usize) {
        let avoided = |n: &Node| n.state != NodeState::Ready || self.director.avoids(now, n.id);
        self.figures.publish(Gauges {
            inflight: (self.callers.len() + waiting) as u64,
            hosts_listed: self.members.len() as u64,
            hosts_down: self.members.nodes().filter(avoided).count() as u64,
        });
    }

    /// The program ends: whatever is open, or still comes, is answered by then, whatever time its client gives.
    pub fn answer_by(&mut self, by: f64) {
        self.closes = by;
        for (&id, _) in self.open.iter().filter(|(_, o)| !o.done && o.ask.deadline > by) {
            self.timers.set(by, timers::Timer::Deadline(id));
        }
    }

    /// How many requests have no final answer yet.
    pub fn pending(&self) -> usize {
        self.callers.len()
    }

    /// Why the director chose the caches that it chose.
    pub fn sight(&self) -> &crate::spread::Sight {
        self.director.sight()
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
    pub fn news(&mut self, now: f64, news: News, cached: bool) {
        match news {
            News::Roster { full, members } => {
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
                self.effects.push(Effect::Command(Command::Roster { full, members }));
                self.feed(now, Event::List { kind, nodes });
                self.recall_unready();
            }
            News::Purge { object, group, at } => {
                self.counters.purges += 1;
                self.feed(now, Event::Purged { object, group, age: (now - at).max(0.0) });
                self.recall(|_, ask, _| object.map_or(ask.group == group, |o| ask.object == o));
            }
        }
        self.settle(now);
    }

    /// Carries out an operator's call: a cordon is in force, and the director has heard of it, before anything
    /// later is decided. What is to be said, or why it is refused.
    pub fn hand(&mut self, now: f64, hand: Hand) -> Result<String, String> {
        let (said, changed) = self.members.hand(now, hand)?;
        log!("by hand: {said}");
        self.seen(now, changed.into_iter().collect());
        Ok(said)
    }

    /// Takes in what another process of this front kept, or its predecessor.
    pub fn take_kept(&mut self, now: f64, kept: &Kept) {
        let changed = self.members.take(now, kept);
        if !changed.is_empty() {
            log!("cordons as kept: {} cordoned, {} nodes changed", kept.cordoned.len(), changed.len());
        }
        self.seen(now, changed);
    }

    /// What is kept for a successor: cordons, and nodes put back while they may still be cold.
    pub fn kept(&self, now: f64) -> Kept {
        let s = self.director.settings();
        self.members.kept(now, s.cold_for.max(s.parent_cold_for))
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

    /// Takes back unwritten attempts to a node, or with a source, that is not ready in the view (rule 3).
    fn recall_unready(&mut self) {
        self.recall(|members, _, a| {
            let ready = |id| members.state(id) == Some(NodeState::Ready);
            !ready(a.node) || a.source.is_some_and(|s| !ready(s))
        });
    }

    /// Takes back unwritten attempts that `bears` names.
    fn recall(&mut self, bears: impl Fn(&Membership, &Ask, &Attempt) -> bool) {
        for (&request, open) in &mut self.open {
            for (i, a) in open.attempts.iter_mut().enumerate() {
                if a.out && !a.written && bears(&self.members, &open.ask, a) && a.call_off() {
                    self.counters.recalled += 1;
                    let ticket = Ticket { request, attempt: i as u16 };
                    self.effects.push(Effect::Command(Command::Cancel { ticket, node: a.node }));
                }
            }
        }
    }

    /// Takes a request from a front.
    pub fn ask(&mut self, now: f64, caller: Caller, ask: impl Into<Rc<Ask>>) {
        let mut ask = ask.into();
        self.counters.requests += 1;
        // It has just come, and is nobody else's.
        if let Some(ask) = Rc::get_mut(&mut ask) {
            ask.deadline = ask.deadline.min(self.closes);
        }
        // Its client left while it lay in the queue: nobody is owed anything.
        if ask.gone.get() {
            self.counters.aborted += 1;
            return;
        }
        if ask.deadline <= now {
            return self.turn_away(caller, ask.class, Answer::Late);
        }
        #[cfg(feature = "planted")]
        if crate::planted::refuses(ask.class.0) {
            return self.turn_away(caller, ask.class, Answer::Refused(0.1));
        }
        if !self.contracts.covers(&ask) {
            return self.turn_away(caller, ask.class, Answer::Forbidden);
        }
        if !self.has_room() || self.callers.contains_key(&caller) {
            let wait = self.director.settings().max_wait;
            return self.turn_away(caller, ask.class, Answer::Refused(wait));
        }
        if let Err(wait) = self.budgets.admit(now, ask.team) {
            return self.turn_away(caller, ask.class, Answer::OverBudget(wait));
        }
        // Guards whoever asked first: under one name, one's answer could be taken for the other's.
        if !self.calls.insert(ask.call.clone()) {
            self.budgets.release(now, ask.team, 0);
            return self.turn_away(caller, ask.class, Answer::Failed);
        }
        let id = self.fresh_id();
        let request = Request {
            id,
            class: ask.class,
            tenant: 0,
            object: ask.object,
            part: ask.part,
            group: ask.group,
            expires: ask.deadline,
            kb: ask.kb,
            repeat: ask.repeat,
            write: self
                .director
                .settings()
                .classes
                .get(usize::from(ask.class.0))
                .is_some_and(|c| c.never_kept),
        };
        self.timers.set(ask.deadline, timers::Timer::Deadline(id));
        self.callers.insert(caller, id);
        let aim = now + self.aim(&ask);
        self.open.insert(id, Open { caller, ask, aim, attempts: Vec::new(), done: false });
        self.feed(now, Event::Request(request));
        self.settle(now);
    }

    /// Is there memory for the tables with one more request? They grow by doubling, and are asked for before.
    fn has_room(&mut self) -> bool {
        let [open, callers, calls] = [self.open.capacity(), self.callers.capacity(), self.calls.capacity()];
        let grown = |capacity: usize, len: usize| if len < capacity { capacity } else { 2 * capacity.max(4) };
        let table = |slots: usize, entry: usize| slots * 8 / 7 * (entry + 1);
        let bytes = table(grown(open, self.open.len()), size_of::<(RequestId, Open)>())
            + table(grown(callers, self.callers.len()), size_of::<(Caller, RequestId)>())
            + table(grown(calls, self.calls.len()), size_of::<Box<str>>())
            + self.timers.footprint();
        bytes == self.tables.bytes() || self.tables.resize(bytes).is_ok()
    }

    /// Books what the director has learned, and has it forget what is worth least where there is no memory for it.
    fn book_learned(&mut self) {
        let (fixed, beliefs) = self.director.footprint();
        let fixed = fixed + self.members.footprint();
        let cap = self.memory.accounts().plan().limits[Purpose::Learned as usize].cap;
        let wanted = (fixed + beliefs).min(cap);
        if wanted == self.learned.bytes() {
            return;
        }
        // Beliefs grow only after they were granted what they want. Where that is refused, or what cannot be
        // forgotten (nodes, purges) needs room, they make do with what is left.
        let granted = self.learned.resize(wanted).is_ok();
        let left = if granted { wanted } else { self.learned.bytes() };
        self.director.hold_to(left.saturating_sub(fixed));
    }

    /// Answers a request that the director never hears of.
    fn turn_away(&mut self, caller: Caller, class: ClassId, answer: Answer) {
        self.figures.count(class, answer.count());
        self.counters.answered(&answer);
        self.counters.turned_away += 1;
        self.effects.push(Effect::Answer { caller, answer });
    }

    /// How long its class aims for, by the size where that is told (seconds).
    fn aim(&self, ask: &Ask) -> f64 {
        let s = self.director.settings();
        let sending = s.sending(ask.kb).unwrap_or(0.0);
        s.classes.get(usize::from(ask.class.0)).map_or(f64::MAX, |c| c.aim + c.aim_stretch * sending)
    }

    fn fresh_id(&mut self) -> RequestId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            let id = RequestId(self.next_id);
            if !self.open.contains_key(&id) {
                return id;
            }
        }
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
        let (caller, team) = (open.caller, open.ask.team);
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

    /// Marks a request as concluded, and cancels what is still out.
    fn call_off(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.done = true;
        for (i, a) in open.attempts.iter().enumerate().filter(|(_, a)| a.out && a.call_off()) {
            let ticket = Ticket { request: id, attempt: i as u16 };
            self.effects.push(Effect::Command(Command::Cancel { ticket, node: a.node }));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.done && o.attempts.iter().all(|a| !a.out))
            && let Some(open) = self.open.remove(&id)
        {
            self.calls.remove(&open.ask.call);
        }
    }

    /// Gives the final answer.
    fn answer(&mut self, now: f64, id: RequestId, answer: Answer) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let (caller, team) = (open.caller, open.ask.team);
        self.figures.count(open.ask.class, answer.count());
        if matches!(answer, Answer::Served(_)) && now > open.aim {
            self.figures.count(open.ask.class, Count::Slow);
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
            Report::Written(ticket) => {
                if let Some(open) = self.open.get_mut(&ticket.request)
                    && let Some(a) = open.attempts.get_mut(usize::from(ticket.attempt))
                {
                    a.written = true;
                    self.counters.written += 1;
                    self.figures.count(open.ask.class, Count::BackendCall);
                }
            }
            Report::Ended { ticket, outcome, note, source_wait, content } => {
                self.ended(now, ticket, outcome, note, source_wait, content);
            }
            Report::NoMemory(ticket) => self.no_memory(now, ticket),
            Report::Left { ticket, outcome, settles } => self.left(now, ticket, outcome, settles),
        }
        self.settle(now);
    }

    /// An attempt was given up on the wire. Guards against two attempts out for one request: its node reads that on one
    /// connection and the next attempt on another, or another node reads the next one, and nothing orders the two but
    /// the time between them. Where there is no next attempt, nothing is waited for.
    fn left(&mut self, now: f64, ticket: Ticket, outcome: Outcome, settles: f64) {
        let classes = &self.director.settings().classes;
        let closes = self.closes;
        let again = self.open.get(&ticket.request).is_some_and(|o| {
            let rules = classes.get(usize::from(o.ask.class.0));
            let until = o.ask.deadline.min(closes).min(repeat_by(rules, &o.attempts));
            !o.done && !o.ask.gone.get() && now < until
        });
        if again && let Some(a) = self.attempt(ticket).filter(|a| a.out) {
            a.left = Some(outcome);
            return self.timers.set(now + settles, timers::Timer::Settled(ticket.request, ticket.attempt));
        }
        self.ended(now, ticket, outcome, Note::None, 0.0, None);
    }

    /// An answer came that could not be held: the client hears at once, refused where its class lets a further try
    /// be harmless. Another node's answer would find no more room, so that none is asked, and this one is not blamed.
    fn no_memory(&mut self, now: f64, ticket: Ticket) {
        let Some(open) = self.open.get(&ticket.request).filter(|o| !o.done) else {
            return self.ended(now, ticket, Outcome::Moot, Note::None, 0.0, None);
        };
        self.counters.no_memory += 1;
        let settings = self.director.settings();
        let effect = settings.classes.get(usize::from(open.ask.class.0)).map(|c| c.effect);
        let answer = match effect {
            Some(crate::interface::Effect::Safe | crate::interface::Effect::Keyed(Scope::All)) => {
                Answer::Refused(settings.max_wait)
            }
            _ => Answer::Failed,
        };
        if let Some(a) = self.attempt(ticket) {
            a.call_off();
        }
        self.answer(now, ticket.request, answer);
        self.ended(now, ticket, Outcome::Moot, Note::None, 0.0, None);
    }

    fn attempt(&mut self, ticket: Ticket) -> Option<&mut Attempt> {
        self.open.get_mut(&ticket.request)?.attempts.get_mut(usize::from(ticket.attempt))
    }

    fn ended(
        &mut self,
        now: f64,
        ticket: Ticket,
        outcome: Outcome,
        note: Note,
        source_wait: f64,
        content: Option<Content>,
    ) {
        let Some(a) = self.attempt(ticket).filter(|a| a.out) else { return };
        a.out = false;
        a.never_ran = outcome.never_ran();
        let outcome = match outcome {
            Outcome::Cancelled if a.timed_out => Outcome::TimedOut,
            other => other,
        };
        let (node, took) = (a.node, (now - a.sent_at).max(0.0));
        self.counters.ended(outcome, note);
        if self.open.get(&ticket.request).is_some_and(|o| o.ask.gone.get()) {
            self.leave(now, ticket.request);
        }
        if let Some(content) = content.filter(|_| outcome == Outcome::Ok) {
            self.answer(now, ticket.request, Answer::Served(content));
        }
        let done = self.open.get(&ticket.request).is_none_or(|o| o.done);
        self.feed(
            now,
            Event::AttemptEnd {
                request: ticket.request,
                attempt: ticket.attempt,
                node,
                outcome,
                took,
                done,
                note,
                source_wait,
                load: Vec::new(),
            },
        );
        self.forget(ticket.request);
    }

    /// Fires what is due.
    pub fn tick(&mut self, now: f64) {
        while let Some(timer) = self.timers.due(now) {
            match timer {
                timers::Timer::Alarm(token) => self.feed(now, Event::Alarm { token }),
                timers::Timer::Deadline(id) => self.overdue(now, id),
                timers::Timer::Settled(request, attempt) => self.settled(now, Ticket { request, attempt }),
            }
        }
        self.settle(now);
    }

    /// Whether its node has heard or not, an attempt that was given up on the wire has ended now.
    fn settled(&mut self, now: f64, ticket: Ticket) {
        if let Some(outcome) = self.attempt(ticket).and_then(|a| a.left.take()) {
            self.ended(now, ticket, outcome, Note::None, 0.0, None);
        }
    }

    /// A request's time is up: its attempt is withdrawn as timed out, and the director answers when it hears
    /// of that. One that the director holds without an attempt is failed here, so that none goes unanswered.
    fn overdue(&mut self, now: f64, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        // No further attempt may go: whether the node has heard of the last is nothing to wait for any more.
        if now >= open.ask.deadline.min(self.closes)
            && let Some(i) = open.attempts.iter().position(|a| a.left.is_some())
        {
            self.settled(now, Ticket { request: id, attempt: i as u16 });
        }
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.done) else { return };
        let mut asked = false;
        for (i, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && a.left.is_none()) {
            asked |= !std::mem::replace(&mut a.timed_out, true);
            let ticket = Ticket { request: id, attempt: i as u16 };
            if a.call_off() {
                self.effects.push(Effect::Command(Command::Cancel { ticket, node: a.node }));
            }
        }
        if asked {
            self.timers.set(now + CONFIRM, timers::Timer::Deadline(id));
        } else if now >= open.ask.deadline.min(self.closes) {
            self.feed(now, Event::Expired { request: id });
            self.answer(now, id, Answer::Late);
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
            Action::Refuse { request, wait } => self.answer(now, request, Answer::Refused(wait)),
            Action::Fail { request } => self.answer(now, request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let ticket = Ticket { request, attempt };
                if let Some(a) = self.attempt(ticket).filter(|a| a.out && a.call_off()) {
                    let node = a.node;
                    self.effects.push(Effect::Command(Command::Cancel { ticket, node }));
                }
            }
            Action::Alarm { token, after } => self.timers.set(now + after, timers::Timer::Alarm(token)),
            // The site pushes its list, and this director probes nobody and tells its peers nothing.
            Action::Probe { .. } | Action::Tell { .. } | Action::Watch { .. } | Action::ReadList => {}
        }
    }

    /// Orders the attempt that a fetch asks for, or ends it at once where it may not go out.
    fn send(&mut self, now: f64, fetch: Action) {
        let Action::Fetch { request, node, within, source, rank, age, options } = fetch else { return };
        let source = Some(source).filter(|s| *s != node);
        let Some(open) = self.open.get_mut(&request) else { return };
        let rules = self.director.settings().classes.get(usize::from(open.ask.class.0));
        let ticket = Ticket { request, attempt: open.attempts.len() as u16 };
        let last = open.ask.deadline.min(self.closes);
        let due = if within > 0.0 { (now + within).min(last) } else { last };
        let begin_by = repeat_by(rules, &open.attempts);
        let called_off = Rc::new(Cell::new(false));
        // Never two attempts out for one request, none for one that is over, none to a node that drains, none that its
        // class does not permit any more.
        let ready = |id: &NodeId| self.members.state(*id) == Some(NodeState::Ready);
        let gone = open.ask.gone.get();
        let may = !open.done
            && open.attempts.iter().all(|a| !a.out)
            && !gone
            && now < due.min(begin_by)
            && ready(&node)
            && source.as_ref().is_none_or(ready);
        open.attempts.push(Attempt {
            node,
            source,
            sent_at: now,
            written: false,
            out: may,
            timed_out: false,
            called_off: called_off.clone(),
            never_ran: false,
            left: None,
        });
        if !may {
            if gone {
                self.leave(now, request);
            }
            let done = self.open.get(&request).is_none_or(|o| o.done);
            self.counters.ended(Outcome::Moot, Note::None);
            return self.queue.push_back(Event::AttemptEnd {
                request,
                attempt: ticket.attempt,
                node,
                outcome: Outcome::Moot,
                took: 0.0,
                done,
                note: Note::None,
                source_wait: 0.0,
                load: Vec::new(),
            });
        }
        self.counters.sent += 1;
        let class = self.class_names[usize::from(open.ask.class.0)].clone();
        let ask = open.ask.clone();
        if due < ask.deadline {
            self.timers.set(due, timers::Timer::Deadline(request));
        }
        // With a limit on age only what is younger will do; else what the class's grace lets pass.
        let never_kept = rules.is_some_and(|c| c.never_kept);
        let grace = rules.filter(|c| c.fresh > 0.0).map(|c| c.fresh + c.grace);
        let oldest = if age > 0.0 { Some(age) } else { grace }.map_or(0.0, |limit| now - limit);
        let order = Order {
            ticket,
            ask,
            class,
            node,
            source,
            rank,
            age,
            options,
            due,
            oldest,
            never_kept,
            returned: 0,
            called_off,
            begin_by,
        };
        self.effects.push(Effect::Command(Command::Send(order)));
    }
}

/// Until when a request may be sent once more, given what its earlier attempts may have done. An attempt's time here is
/// that of its order, which is no later than its first byte.
fn repeat_by(rules: Option<&crate::interface::Class>, attempts: &[Attempt]) -> f64 {
    use crate::interface::Effect;
    let ran = attempts.iter().filter(|a| !a.never_ran);
    match rules.map(|c| (c.effect, c.key_ttl)) {
        Some((Effect::Keyed(_), ttl)) => ran.map(|a| a.sent_at + ttl).fold(f64::INFINITY, f64::min),
        Some((Effect::Unsafe, _)) if ran.count() > 0 => f64::NEG_INFINITY,
        _ => f64::INFINITY,
    }
}
