//! Many directors of one location between caches whose links are shared, in virtual time: the code that ships
//! decides, the rest of the system is a model. One seed gives one run.

use super::plain::Policy;
use onyxyoke::Director;
use onyxyoke::interface::*;
use onyxyoke_stand_ins::link::Link;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

/// What goes wrong, to which caches (by place), from and until when (seconds).
#[derive(Debug, Clone)]
pub struct Fault {
    pub kind: FaultKind,
    pub nodes: Vec<usize>,
    pub from: f64,
    pub until: f64,
}

/// What may go wrong with a cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// Its link is so many times as thin.
    Slow(f64),
    /// It is gone, and comes back empty and cold.
    Gone,
    /// One object is this share of all requests; no cache is named.
    Hot(f64),
    /// All copies at all caches are dropped.
    Emptied,
    /// All fronts start again and know nothing.
    FrontsRestart,
    /// This share of the fronts is gone, their clients go to the others, and they come back knowing nothing.
    FrontsGone(f64),
}

/// A world to be played.
#[derive(Debug, Clone)]
pub struct Plan {
    pub fronts: usize,
    pub nodes: usize,
    /// Requests a second of one front in the mean.
    pub rate: f64,
    /// Share of the fronts that sees `busy_times` the rate of the others.
    pub busy: f64,
    pub busy_times: f64,
    pub zipf: f64,
    pub objects: u64,
    /// Link of the first, the second cache, and so on in turn, in transfers at full pace.
    pub links: Vec<f64>,
    /// Mean sending time of an object (seconds).
    pub work: f64,
    pub seconds: f64,
    pub seed: u64,
    pub faults: Vec<Fault>,
    /// In place of the director.
    pub policy: Option<Policy>,
}

/// What was seen, by cache and half second.
#[derive(Debug, Default)]
pub struct Seen {
    /// Work done in each half second, per unit of its usual link.
    pub done: Vec<Vec<f64>>,
    /// Attempts that came to each.
    pub came: Vec<Vec<u32>>,
    pub asked: u64,
    pub in_time: u64,
    pub served: u64,
    /// Requests by half second of their coming, and how many of them were served in time.
    pub by_window: Vec<(u32, u32)>,
    pub refused: u64,
    pub failed: u64,
    pub late: u64,
    pub hits: u64,
    pub work_asked: f64,
    pub work_filled: f64,
    pub work_origin: f64,
}

/// The length of a window of [`Seen`] (seconds).
pub const WINDOW: f64 = 0.5;
/// The clock does not begin at 0.
const BEGINS: f64 = 1000.0;
/// Objects that a cache holds, and a parent.
const HELD: [usize; 2] = [1_500, 20_000];
/// The way to a cache and back, the wait for a parent, and what the origin adds (seconds).
const WAY: f64 = 0.004;
const PARENT_WAIT: f64 = 0.03;
const ORIGIN_WAIT: f64 = 0.06;
/// Kinds in the settings.
const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const FIRST_PARENT: u64 = 1_000;
const THE_ORIGIN: u64 = 2_000;
const PARENTS: u64 = 4;

#[derive(Default)]
struct Held {
    copies: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Held {
    fn keep(&mut self, object: u64, most: usize) {
        if self.copies.insert(object) {
            self.order.push_back(object);
            if self.order.len() > most
                && let Some(old) = self.order.pop_front()
            {
                self.copies.remove(&old);
            }
        }
    }
}

struct Cache {
    id: NodeId,
    usual: f64,
    link: Link,
    held: Held,
    up: bool,
    ready_at: f64,
}

#[derive(Clone, Copy)]
struct Asked {
    object: u64,
    work: f64,
    at: f64,
    expires: f64,
    attempts: u16,
}

#[derive(Clone, Copy)]
struct Transfer {
    front: usize,
    request: u32,
    attempt: u16,
    node: usize,
    sent: f64,
    source_wait: f64,
    note: Note,
    fill: bool,
}

enum ScheduledEvent {
    Arrival(usize),
    Alarm(usize, u64),
    Begin(u64),
    Link(usize, u64),
    End(Transfer, Outcome),
    Expire(usize, u32),
    Fault(usize, bool),
    Listed(usize),
    Warm,
    Window,
}

/// A run.
pub struct World {
    plan: Plan,
    settings: Settings,
    random: SmallRng,
    popularity: Zipf<f64>,
    now: f64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    what: HashMap<u64, ScheduledEvent>,
    next: u64,
    fronts: Vec<Director>,
    rates: Vec<f64>,
    open: HashMap<(usize, u32), Asked>,
    transfers: HashMap<u64, Transfer>,
    names: HashMap<(usize, u32, u16), u64>,
    caches: Vec<Cache>,
    parents: HashMap<u64, Held>,
    hot: f64,
    /// What each front sent each cache, for plain policies.
    sent: Vec<Vec<f64>>,
    /// Fronts from here on are up.
    first_up: usize,
    pub seen: Seen,
}

impl World {
    /// A world in which nothing was asked yet. The settings are those of one front; its number is filled in.
    pub fn new(plan: Plan, settings: Settings) -> World {
        let caches = (0..plan.nodes).map(|i| {
            let usual = plan.links[i % plan.links.len()];
            // Ids say nothing of the order.
            let id = NodeId((i as u64 + 1).wrapping_mul(0x9e37_79b9) & 0xffff_ffff);
            Cache { id, usual, link: Link::new(usual), held: Held::default(), up: true, ready_at: 0.0 }
        });
        let caches: Vec<Cache> = caches.collect();
        let busy = (plan.busy * plan.fronts as f64) as usize;
        let mean = 1.0 + plan.busy * (plan.busy_times - 1.0);
        let rates = (0..plan.fronts)
            .map(|i| plan.rate * if i < busy { plan.busy_times } else { 1.0 } / mean)
            .collect();
        let settings = Settings {
            directors: plan.fronts as u16,
            directors_by_zone: vec![0, plan.fronts as u16],
            zone_link: vec![0.0, caches.iter().map(|c| c.usual).sum::<f64>() * settings.flow],
            ..settings
        };
        let seen =
            Seen { done: vec![Vec::new(); plan.nodes], came: vec![vec![0]; plan.nodes], ..Seen::default() };
        let mut world = World {
            random: SmallRng::seed_from_u64(plan.seed),
            popularity: Zipf::new(plan.objects as f64, plan.zipf).expect("a popularity that falls off"),
            now: BEGINS,
            due: BinaryHeap::new(),
            what: HashMap::new(),
            next: 0,
            fronts: Vec::new(),
            rates,
            open: HashMap::new(),
            transfers: HashMap::new(),
            names: HashMap::new(),
            caches,
            parents: HashMap::new(),
            hot: 0.0,
            first_up: 0,
            sent: vec![vec![0.0; plan.nodes]; plan.fronts],
            settings,
            plan,
            seen,
        };
        for front in 0..world.plan.fronts {
            let director = world.director(front);
            world.fronts.push(director);
            let first = world.random.random_range(0.0..1.0) / world.rates[front];
            world.later(first, ScheduledEvent::Arrival(front));
        }
        for (i, fault) in world.plan.faults.clone().into_iter().enumerate() {
            world.later(fault.from, ScheduledEvent::Fault(i, true));
            world.later(fault.until, ScheduledEvent::Fault(i, false));
        }
        world.later(WINDOW, ScheduledEvent::Window);
        world.later(WINDOW, ScheduledEvent::Warm);
        world
    }

    fn director(&mut self, front: usize) -> Director {
        let settings = Settings { me: front as u16, ..self.settings.clone() };
        let mut director = Director::new(self.random.random(), settings);
        let nodes = self.list();
        director.handle(self.now, Event::List { kind: ListKind::Cached, nodes }, &mut Vec::new());
        director
    }

    fn list(&self) -> std::sync::Arc<[Node]> {
        let above = |id, kind| Node { id: NodeId(id), kind, weight: 100.0, ..Node::default() };
        let parents = (0..PARENTS).map(|i| above(FIRST_PARENT + i, PARENT));
        let up = self.caches.iter().filter(|c| c.up).map(|c| self.node(c));
        up.chain(parents).chain([above(THE_ORIGIN, ORIGIN)]).collect()
    }

    fn node(&self, cache: &Cache) -> Node {
        let state = if cache.up { NodeState::Ready } else { NodeState::Gone };
        Node {
            id: cache.id,
            state,
            weight: cache.usual,
            ready_at: cache.ready_at,
            zone: ZoneId(1),
            ..Node::default()
        }
    }

    fn later(&mut self, after: f64, what: ScheduledEvent) {
        self.next += 1;
        self.due.push(Reverse(((self.now + after.max(0.0)).to_bits(), self.next)));
        self.what.insert(self.next, what);
    }

    /// Plays it to the end.
    pub fn play(&mut self) {
        let end = self.now + self.plan.seconds;
        while let Some(Reverse((at, name))) = self.due.pop() {
            self.now = f64::from_bits(at);
            if self.now >= end {
                return;
            }
            if let Some(what) = self.what.remove(&name) {
                self.turn(what);
            }
        }
    }

    fn turn(&mut self, what: ScheduledEvent) {
        match what {
            ScheduledEvent::Arrival(front) => self.arrive(front),
            ScheduledEvent::Alarm(front, token) => self.tell(front, Event::Alarm { token }),
            ScheduledEvent::Begin(name) => {
                if let Some(t) = self.transfers.get(&name).copied() {
                    let work = self.open.get(&(t.front, t.request)).map_or(0.0, |a| a.work);
                    self.caches[t.node].link.add(self.now, name, work);
                    self.plan_link(t.node);
                }
            }
            ScheduledEvent::Link(node, version) => {
                if self.caches[node].link.version == version {
                    for name in self.caches[node].link.whole(self.now) {
                        if let Some(t) = self.transfers.remove(&name) {
                            self.names.remove(&(t.front, t.request, t.attempt));
                            self.later(WAY / 2.0, ScheduledEvent::End(t, Outcome::Ok));
                        }
                    }
                    self.plan_link(node);
                }
            }
            ScheduledEvent::End(transfer, outcome) => self.ended(transfer, outcome),
            ScheduledEvent::Expire(front, request) => self.expire(front, request),
            ScheduledEvent::Fault(i, on) => self.fault(i, on),
            ScheduledEvent::Listed(node) => {
                let nodes: std::sync::Arc<[Node]> = [self.node(&self.caches[node])].into();
                for front in 0..self.fronts.len() {
                    self.tell(front, Event::List { kind: ListKind::Delta, nodes: nodes.clone() });
                }
            }
            ScheduledEvent::Warm => {
                let s = &self.settings;
                let (from, time) = (s.cold_from, s.cold_for);
                for node in 0..self.caches.len() {
                    let (age, c) = (self.now - self.caches[node].ready_at, &mut self.caches[node]);
                    if c.ready_at > 0.0 && age < time + 2.0 * WINDOW {
                        let part = (from + (1.0 - from) * age / time).min(1.0);
                        c.link.resize(self.now, c.usual * part);
                        self.plan_link(node);
                    }
                }
                self.later(WINDOW, ScheduledEvent::Warm);
            }
            ScheduledEvent::Window => {
                for (i, cache) in self.caches.iter_mut().enumerate() {
                    self.seen.done[i].push(cache.link.take_done(self.now) / cache.usual);
                    self.seen.came[i].push(0);
                }
                self.later(WINDOW, ScheduledEvent::Window);
            }
        }
    }

    fn window(&mut self, at: f64) -> &mut (u32, u32) {
        let place = ((at - BEGINS) / WINDOW) as usize;
        if self.seen.by_window.len() <= place {
            self.seen.by_window.resize(place + 1, (0, 0));
        }
        &mut self.seen.by_window[place]
    }

    /// Objects differ in size by their name: most are small, some are several times the mean.
    fn work(&self, object: u64) -> f64 {
        let unit = (object.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64;
        self.plan.work * (0.3 - (1.0 - unit).max(1e-6).ln() * 0.7)
    }

    fn arrive(&mut self, front: usize) {
        let gap = Exp::new(self.rates[front]).expect("a rate above zero").sample(&mut self.random);
        self.later(gap, ScheduledEvent::Arrival(front));
        // Clients of a front that is gone go to one that is not.
        let front = match front < self.first_up {
            true => self.random.random_range(self.first_up..self.fronts.len()),
            false => front,
        };
        let hot = self.hot > 0.0 && self.random.random_bool(self.hot);
        let object =
            if hot { self.plan.objects + 1 } else { self.popularity.sample(&mut self.random) as u64 };
        self.seen.asked += 1;
        self.window(self.now).0 += 1;
        let (request, work) = (self.seen.asked as u32, self.work(object));
        let deadline = self.settings.classes[0].deadline;
        let expires = self.now + deadline;
        self.seen.work_asked += work;
        self.open.insert((front, request), Asked { object, work, at: self.now, expires, attempts: 0 });
        self.later(deadline, ScheduledEvent::Expire(front, request));
        let request = Request {
            id: RequestId(request),
            object: ObjectId(object),
            expires,
            kb: work * self.settings.flow,
            ..Request::default()
        };
        self.tell(front, Event::Request(request));
    }

    /// A plain policy chooses, fills from a parent by hash, and does not try again.
    fn plain(&mut self, policy: Policy, front: usize, event: &Event) {
        match event {
            Event::Request(request) => {
                let up: Vec<usize> = (0..self.caches.len()).filter(|&n| self.caches[n].up).collect();
                let object = request.object.0;
                if let Some(n) = policy.choose(object, &up, &self.sent[front], &mut self.random) {
                    self.sent[front][n] += request.kb;
                    let (node, parent) = (self.caches[n].id, NodeId(FIRST_PARENT + object % PARENTS));
                    self.attempt(front, request.id.0, node, parent, false);
                }
            }
            Event::AttemptEnd { request, done: false, .. } => {
                self.seen.failed += u64::from(self.open.remove(&(front, request.0)).is_some());
            }
            _ => {}
        }
    }

    fn tell(&mut self, front: usize, event: Event) {
        if let Some(policy) = self.plan.policy {
            return self.plain(policy, front, &event);
        }
        let mut actions = Vec::new();
        self.fronts[front].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Fetch { request, node, source, options, .. } => {
                    self.attempt(front, request.0, node, source, options.held_only);
                }
                Action::Refuse { request, .. } => {
                    self.seen.refused += u64::from(self.open.remove(&(front, request.0)).is_some());
                }
                Action::Fail { request } => {
                    self.seen.failed += u64::from(self.open.remove(&(front, request.0)).is_some());
                }
                Action::Cancel { request, attempt } => self.cancel(front, request.0, attempt),
                Action::Alarm { token, after } => self.later(after, ScheduledEvent::Alarm(front, token)),
                _ => {}
            }
        }
    }

    fn attempt(&mut self, front: usize, request: u32, node: NodeId, source: NodeId, held_only: bool) {
        let Some(asked) = self.open.get_mut(&(front, request)) else { return };
        let (attempt, object, work) = (asked.attempts, asked.object, asked.work);
        asked.attempts += 1;
        let at = self.caches.iter().position(|c| c.id == node).expect("a listed cache");
        let mut t = Transfer {
            front,
            request,
            attempt,
            node: at,
            sent: self.now,
            source_wait: 0.0,
            note: Note::Hit,
            fill: false,
        };
        if let Some(last) = self.seen.came[at].last_mut() {
            *last += 1;
        }
        if !self.caches[at].up {
            return self.later(WAY, ScheduledEvent::End(t, Outcome::ConnectFailed));
        }
        if self.caches[at].held.copies.contains(&object) {
            self.seen.hits += 1;
        } else if let Some(sibling) = self.caches.iter().position(|c| c.id == source && c.id != node && c.up)
        {
            if !self.caches[sibling].held.copies.contains(&object) {
                t.note = Note::SourceLacks;
                return self.later(2.0 * WAY, ScheduledEvent::End(t, Outcome::Miss));
            }
            (t.source_wait, t.note, t.fill) = (2.0 * WAY, Note::Filled, true);
            // What it gives takes of its link too.
            self.next += 1;
            self.caches[sibling].link.add(self.now, self.next, work);
            self.plan_link(sibling);
        } else if source == node {
            t.note = Note::None;
            return self.later(WAY, ScheduledEvent::End(t, Outcome::Miss));
        } else {
            (t.source_wait, t.note, t.fill) = (PARENT_WAIT, Note::Filled, true);
            let parent = self.parents.entry(source.0).or_default();
            if source.0 == THE_ORIGIN || !parent.copies.contains(&object) {
                if held_only && source.0 != THE_ORIGIN {
                    t.note = Note::SourceLacks;
                    return self.later(PARENT_WAIT, ScheduledEvent::End(t, Outcome::Miss));
                }
                parent.keep(object, HELD[1]);
                (t.source_wait, t.note) = (PARENT_WAIT + ORIGIN_WAIT, Note::FilledFromOrigin);
                self.seen.work_origin += work;
            }
            self.seen.work_filled += work;
        }
        self.next += 1;
        let name = self.next;
        self.transfers.insert(name, t);
        self.names.insert((front, request, attempt), name);
        self.later(WAY / 2.0 + t.source_wait, ScheduledEvent::Begin(name));
    }

    fn plan_link(&mut self, node: usize) {
        if let Some(at) = self.caches[node].link.next_end() {
            let version = self.caches[node].link.version;
            self.later(at - self.now, ScheduledEvent::Link(node, version));
        }
    }

    fn drop_transfer(&mut self, front: usize, request: u32, attempt: u16) -> Option<Transfer> {
        let name = self.names.remove(&(front, request, attempt))?;
        let t = self.transfers.remove(&name)?;
        self.caches[t.node].link.remove(self.now, name);
        self.plan_link(t.node);
        Some(t)
    }

    fn cancel(&mut self, front: usize, request: u32, attempt: u16) {
        if let Some(t) = self.drop_transfer(front, request, attempt) {
            self.later(0.0, ScheduledEvent::End(t, Outcome::Cancelled));
        }
    }

    fn ended(&mut self, t: Transfer, outcome: Outcome) {
        let mut done = true;
        if let Some(asked) = self.open.get(&(t.front, t.request)).copied() {
            if outcome == Outcome::Ok {
                let class = &self.settings.classes[0];
                let aim = class.aim + class.aim_stretch * asked.work;
                self.seen.served += 1;
                let in_time = self.now - asked.at <= aim;
                self.seen.in_time += u64::from(in_time);
                self.window(asked.at).1 += u32::from(in_time);
                self.open.remove(&(t.front, t.request));
            } else {
                done = self.now >= asked.expires;
            }
            if t.fill && outcome == Outcome::Ok && self.caches[t.node].up {
                self.caches[t.node].held.keep(asked.object, HELD[0]);
            }
        }
        let event = Event::AttemptEnd {
            request: RequestId(t.request),
            attempt: t.attempt,
            node: self.caches[t.node].id,
            outcome,
            took: self.now - t.sent,
            done,
            note: t.note,
            source_wait: t.source_wait,
            load: Vec::new(),
        };
        self.tell(t.front, event);
    }

    fn expire(&mut self, front: usize, request: u32) {
        let Some(asked) = self.open.remove(&(front, request)) else { return };
        self.seen.late += 1;
        let out = (0..asked.attempts).find_map(|a| self.drop_transfer(front, request, a));
        match out {
            Some(t) => self.ended(t, Outcome::TimedOut),
            None => self.tell(front, Event::Expired { request: RequestId(request) }),
        }
    }

    fn fault(&mut self, i: usize, on: bool) {
        let fault = self.plan.faults[i].clone();
        match fault.kind {
            FaultKind::Hot(share) => self.hot = if on { share } else { 0.0 },
            FaultKind::Emptied if on => self.caches.iter_mut().for_each(|c| c.held = Held::default()),
            FaultKind::FrontsRestart if on => {
                // What was out goes on at the caches and is nobody's.
                self.open.clear();
                self.names.clear();
                for front in 0..self.fronts.len() {
                    self.fronts[front] = self.director(front);
                }
            }
            FaultKind::FrontsGone(share) => {
                let gone = (share * self.fronts.len() as f64) as usize;
                self.first_up = if on { gone } else { 0 };
                self.open.retain(|(front, _), _| *front >= gone);
                self.names.retain(|(front, _, _), _| *front >= gone);
                for front in 0..if on { 0 } else { gone } {
                    self.fronts[front] = self.director(front);
                }
            }
            FaultKind::Emptied | FaultKind::FrontsRestart => {}
            FaultKind::Slow(times) => {
                for node in fault.nodes {
                    let usual = self.caches[node].usual;
                    self.caches[node].link.resize(self.now, if on { usual / times } else { usual });
                    self.plan_link(node);
                }
            }
            FaultKind::Gone => {
                for node in fault.nodes {
                    let cache = &mut self.caches[node];
                    cache.up = !on;
                    if on {
                        cache.link.clear(self.now);
                        let lost: Vec<u64> =
                            self.transfers.iter().filter(|t| t.1.node == node).map(|t| *t.0).collect();
                        for name in lost {
                            if let Some(t) = self.transfers.remove(&name) {
                                self.names.remove(&(t.front, t.request, t.attempt));
                                self.later(0.0, ScheduledEvent::End(t, Outcome::Reset));
                            }
                        }
                    } else {
                        (cache.held, cache.ready_at) = (Held::default(), self.now);
                    }
                    // The list comes late.
                    self.later(if on { 3.0 } else { 1.0 }, ScheduledEvent::Listed(node));
                }
            }
        }
    }
}
