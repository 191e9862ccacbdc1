//! The policy: which edge cache gets an attempt, from where a miss is filled, when to move on, when to
//! refuse. The types it speaks stand in `src/interface.rs`. Read it top-down: constants, state, the one
//! entry point, then the ordinary path (beliefs, exclusion probabilities, cost rule), then the guards.

use crate::interface::*;
use crate::routing::{
    Beliefs, COUNTS, Exclusion, Hearing, Pace, Pipe, Purges, RECHECK, STRETCHED, Sizes, Standstill, fade,
    smooth,
};
use crate::spread::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

// ---- Tuned values: the mechanism ----

/// A belief older than this is dropped (seconds).
const BELIEF_AGE: f64 = 30.0;
/// Weight of one outcome in smoothed latencies.
const SMOOTH: f64 = 1.0 / 20.0;
/// The same for fills from above, of which each source sees few.
const SMOOTH_FILL: f64 = 1.0 / 5.0;
/// Its most, where the last was long ago.
const FRESH: f64 = 0.5;
/// For so long what was learned of a source holds; then it fades (seconds).
const LAG_KEPT: f64 = 2.0;
/// Latency of a hit beyond its sending time before anything is known (seconds).
const BASE: f64 = 0.03;
/// What a fill takes beyond a hit is counted per sending time plus this: a jam above slows large ones most.
const FILL_BASE: f64 = 0.2;
/// The miss penalty M where there is no tier above, and at most (seconds).
const PENALTY_MOST: f64 = 5.0;
/// Bytes over the thin link cost this share of their sending time, on top of the time that they take.
const LINK_SHARE: f64 = 0.3;

// ---- Tuned values: load ----

/// Link of a cache in full-pace transfers before anything is known.
const LINK_GUESS: f64 = 6.0;
/// The zone's link in, for each of its caches, where it is not told.
const LINK_IN_GUESS: f64 = 3.0;
/// The same on the safe side, for cold nodes.
const LINK_SAFE: f64 = 2.0;
/// Holders slower than this multiple let one more cache into the choice (hot objects spread).
const SPREAD_AT: f64 = 1.2;
/// Refuse what would take more than this multiple of its aim: the first where a link is `CROWDED` times full
/// or more, the second where it is just full, between them in proportion.
const ADMIT: (f64, f64) = (0.9, 1.3);
const CROWDED: f64 = 1.8;
/// Of that, so much less where so many peers share the links. How busy they are is taken from the own
/// transfers: the more peers, the rougher, and whoever takes a full link for an empty one fills it further
/// for all.
const UNSEEN: (f64, f64) = (0.17, 8.0);
/// Mean sending time of a class before anything is known (seconds).
const WORK_GUESS: f64 = 0.5;

// ---- Tuned values: health ----

/// A look at an attempt is taken after this multiple of its expected latency, plus this (seconds).
const PATIENCE: (f64, f64) = (2.0, 0.3);
/// An answer may be lost after this multiple of the latency of a miss, plus this (seconds): where a link is
/// full; where none is (none of 13,000 good answers took so long); and at a first attempt while answers get
/// lost, where a hit is expected of its latency (0.1 to 0.3% of good ones take so long).
const LOST: [(f64, f64); 3] = [(2.0, 0.3), (1.5, 0.1), (1.25, 0.08)];
/// So often a verdict waits by `RECHECK` for what a silence held up: no lost answer waits for ever.
const SPARED_MOST: u8 = 3;
/// Answers get lost where more than this share of them was lately.
const LOSING: f64 = 0.005;
/// Timers are set for the time at which something is due, and may fire this much before it (seconds).
const EARLY: f64 = 0.001;
/// A blamed node gets one trial after this time, twice as long after each failure (seconds, least and most).
const TRIAL: (f64, f64) = (0.4, 3.0);
/// Failed attempts in a row that blame a node when none of them is proof alone.
const STRIKES: u32 = 3;
/// Parents drawn until one is fit, two at least.
const DRAWS: u64 = 8;
/// So many of the first draws are among the parents of the own hub: each hub on the way costs time and bytes.
const NEAR_DRAWS: u64 = 2;
/// One of another hub is asked where those of the own are slower than it by this (as their lag counts): all
/// fronts of a hub that has few parents left lean on the same ones.
const FAR: f64 = 0.2;
/// So many times what the origin answers may be asked of it; more only while it answers.
const ORIGIN_SPARE: f64 = 2.0;
/// A node that is not listed is forgotten after this (seconds): longer than a belief or an attempt lasts.
const FORGET: f64 = 2.0 * BELIEF_AGE;
/// Resets so close together are one sign: a connection takes with it all that is out on it (seconds).
const AT_ONCE: f64 = 0.05;
/// Most attempts for one request.
const TRIES: usize = 4;
/// Purges are heeded this long past the time in which caches settle, and copies are to be this much younger:
/// what left the origin just before a purge may be stamped just after (seconds).
const PURGE_MARGIN: f64 = 0.5;
/// The least age limit; 0 would mean none.
const AGE_LEAST: f64 = 0.001;
/// Rank at which a first copy is kept, one more once believed held: once-only objects push out nothing used.
const RANK: u8 = 1;

// ---- State ----

/// A cache node as this director sees it.
#[derive(Default)]
struct Known {
    info: Node,
    listed: bool,
    /// Its link beside the mean one of its zone, as far as weights tell.
    size: f64,
    /// Attempts of this director that are out.
    out: f64,
    /// Smoothed latency beyond the sending time; at a parent or the origin: what its fills take
    /// beyond hits, by the sending time plus `FILL_BASE`. When it was learned.
    lag: f64,
    lag_at: f64,
    pace: Pace,
    /// What this director sent it lately.
    own: RecentWork,
    hearing: Hearing,
    /// When the newest attempt went that it has answered.
    answered: f64,
    /// When it was last listed.
    seen: f64,
    strikes: u32,
    struck: f64,
    /// Set while blamed: when the next trial may go out, and the pause after that.
    blamed: Option<(f64, f64)>,
    /// Work that it was sent in the last window of the cold rule, kept while it is cold.
    sent: VecDeque<(f64, f64)>,
}

#[derive(Clone, Copy, Default)]
struct Attempt {
    choice: Choice,
    sent_at: f64,
    /// When it is looked at next, and how often that was put off for a silence.
    look_at: f64,
    spared: u8,
    /// Transfers of all directors at the node, and over the zone's link, when it went.
    then: (f64, f64),
    out: bool,
    cancelled: bool,
    dropped: bool,
    streaming: bool,
    never_ran: bool,
}

#[derive(Default)]
struct Open {
    request: Request,
    came: f64,
    attempts: Vec<Attempt>,
    avoid: Vec<NodeId>,
    done: bool,
}

/// One way to answer a request.
#[derive(Clone, Copy, Default)]
struct Choice {
    node: NodeId,
    source: NodeId,
    /// The source is a sibling; the source is to give only what it holds (siblings always).
    sibling: bool,
    only_if_cached: bool,
    n: usize,
    believed: bool,
    /// Chance that the node lacks the object, so that the source has work with it.
    absent: f64,
    cost: f64,
    why: RoutingReason,
    latency: f64,
    /// The slowdown expected of the node, and the latency if it turns out to lack the object.
    stretch: f64,
    worst: f64,
}

/// Decides for one front. Same seed, settings and events give the same actions.
pub struct Director {
    settings: Settings,
    rng: fastrand::Rng,
    nodes: BTreeMap<NodeId, Known>,
    edges: Vec<NodeId>,
    parents: ParentRing,
    origin: Option<NodeId>,
    /// When the event came that is handled.
    now: f64,
    open: FxHashMap<RequestId, Open>,
    /// Edge caches seen to hold an object's part, and when.
    held: Beliefs,
    /// When an object or group was purged, and when this director heard.
    purges: Purges,
    /// Which objects are hot, and why caches were chosen.
    heat: PopularitySketch,
    reasons: ReasonCounts,
    /// Mean sending time by class.
    work: Vec<f64>,
    /// Answers that told a class's sending time, where sizes are untold, and who is refused by size.
    hits: Vec<f64>,
    sizes: Vec<Sizes>,
    /// How often caches lack what they are asked for.
    exclusion: Exclusion,
    /// Fills that the origin answered, and all that are known to have come to it; fading, and when counted.
    origin_calls: [(f64, f64); 2],
    /// Answers that were lost, and those that came; fading, and when counted.
    losses: [(f64, f64); 2],
    /// Smoothed extra latency of a fill from a sibling.
    sibling_extra: f64,
    /// The zone's link in, with the fills that are out, and the tiers: its edge caches and all parents.
    link_in: Pipe,
    caches: Pipe,
    above: Pipe,
    last_answer: f64,
    /// Whether this front stood still.
    standstill: Standstill,
}

impl Director {
    /// A director that knows nothing but its settings.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let zone = usize::from(settings.own_zone.0);
        let told = settings
            .zone_link_kb_per_s
            .get(zone)
            .filter(|&&l| l > 0.0 && settings.answer_kb_per_s > 0.0)
            .map(|l| l / settings.answer_kb_per_s);
        let work = vec![WORK_GUESS; settings.classes.len()];
        Director {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            nodes: BTreeMap::new(),
            edges: Vec::new(),
            parents: ParentRing::default(),
            origin: None,
            now: 0.0,
            open: FxHashMap::default(),
            held: Beliefs::new(seed, BELIEF_AGE),
            purges: Purges::default(),
            heat: PopularitySketch::default(),
            reasons: ReasonCounts::default(),
            hits: vec![0.0; work.len()],
            sizes: vec![Sizes::default(); work.len()],
            work,
            exclusion: Exclusion::default(),
            origin_calls: [(0.0, 0.0); 2],
            losses: [(0.0, 0.0); 2],
            sibling_extra: BASE,
            link_in: Pipe::new(told.unwrap_or(0.0), told.is_some()),
            caches: Pipe::new(LINK_GUESS, false),
            above: Pipe::default(),
            last_answer: 0.0,
            standstill: Standstill::default(),
        }
    }

    /// The settings given at start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Bytes of what was learned but the beliefs, and what these would like to take in all.
    pub fn footprint(&self) -> (usize, usize) {
        let nodes = self.nodes.len() * 2 * size_of::<Known>() + self.parents.footprint();
        (nodes + self.purges.footprint() + self.heat.footprint(), self.held.wanted())
    }

    /// Beliefs may take so many bytes from now on; what is over that is forgotten, oldest first.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.held.set_memory_limit(bytes);
    }

    /// How many nodes it remembers.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Why caches were chosen.
    pub fn reason_counts(&self) -> &ReasonCounts {
        &self.reasons
    }

    /// Does it keep away from a node now, having blamed it?
    pub fn is_ejected(&self, now: f64, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(|k| k.blamed.is_some_and(|(trial, _)| now < trial))
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.standstill.event(now, matches!(event, Event::TimerFired { .. }));
        match event {
            Event::List { kind, nodes } => self.list(now, kind, &nodes, actions),
            Event::Request(request) => {
                if usize::from(request.class.0) >= self.settings.classes.len() {
                    return actions.push(Action::Fail { request: request.id });
                }
                if let Some(sending) = self.settings.transfer_time(request.kb) {
                    smooth(&mut self.work[usize::from(request.class.0)], sending, SMOOTH);
                }
                self.heat.record(now, request.object, request.part, self.sending(&request));
                let open = Open { request, came: now, ..Open::default() };
                self.open.insert(request.id, open);
                self.decide(now, request.id, actions);
            }
            Event::Streaming { request, attempt } => {
                let attempts = self.open.get_mut(&request).map(|o| &mut o.attempts);
                if let Some(a) = attempts.and_then(|a| a.get_mut(usize::from(attempt))) {
                    a.streaming = true;
                }
            }
            Event::AttemptEnd { request, attempt, outcome, took, done, note, source_wait, .. } => {
                let end = End { outcome, took, done, note, source_wait };
                self.attempt_end(now, request, attempt, end, actions);
            }
            Event::Expired { request } => self.finish(request),
            Event::TimerFired { token } => self.look(now, token, actions),
            Event::Purged { object, group, age } => self.purged(now, object, group, age),
            Event::ProbeEnd { .. } | Event::Message { .. } => {}
        }
    }

    /// Transfers of all directors at one cache. Clients are spread over a zone's directors: each peer has as
    /// many out as this one has in the mean; what it sees at a single cache is too little to go by.
    fn transfers(&self, k: &Known) -> f64 {
        k.out
            + (self.settings.own_zone_directors() - 1.0) * self.caches.peers() * k.size
                / self.edges.len().max(1) as f64
    }

    /// Expected slowdown of one more transfer from a cache, and over the link in.
    fn stretch(&self, k: &Known) -> f64 {
        self.crowding(k) * self.pace(k)
    }

    /// The slowdown expected of a cache, and the part of it that its load explains.
    fn loaded(&self, id: NodeId) -> Option<(f64, f64)> {
        let k = self.nodes.get(&id)?;
        let crowding = self.crowding(k);
        Some((crowding * self.pace(k), crowding))
    }

    fn crowding(&self, k: &Known) -> f64 {
        ((self.transfers(k) + k.size) / (self.caches.fits * k.size)).max(1.0)
    }

    /// How much slower a cache is than the others of its zone, beyond what its load explains. A front sees
    /// too few answers of each for more than sums, which fade, so that a slow one is tried again.
    fn pace(&self, k: &Known) -> f64 {
        let others = self.edges.iter().filter(|e| **e != k.info.id).map(|e| &self.nodes[e].pace);
        k.pace.against(self.now, others)
    }

    fn jam(&self) -> f64 {
        ((self.fills() + 1.0) / self.link_in.fits.max(1.0)).max(1.0)
    }

    /// Fills of all directors over the link in.
    fn fills(&self) -> f64 {
        self.link_in.out + (self.settings.own_zone_directors() - 1.0) * self.link_in.peers()
    }

    // ---- The list of nodes ----

    fn list(&mut self, now: f64, kind: ListKind, nodes: &[Node], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed || (kind == ListKind::Cached && self.settings.list_on_request) {
            actions.push(Action::Watch { on: true });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            // Absent from a full list means gone.
            self.nodes.values_mut().for_each(|k| k.listed = false);
        }
        // What comes new is no emptier than the others, or else all that is free to choose would go there.
        let own: f64 = self.edges.iter().filter_map(|e| Some(self.nodes.get(e)?.own.decayed(now))).sum();
        let (level, me) =
            (RecentWork::new(now, own / self.edges.len().max(1) as f64), self.settings.director_number);
        for info in nodes {
            let known =
                self.nodes.entry(info.id).or_insert_with(|| Known { own: level, ..Known::new(*info, me) });
            if known.info.ready_at != info.ready_at {
                // A new start: an empty cache, and a process that owes nothing of the old one's record.
                *known = Known { out: known.out, own: level, ..Known::new(*info, me) };
            }
            known.info = *info;
            known.listed = info.state == NodeState::Ready;
        }
        // Nodes that left are forgotten once no belief and no attempt can name them.
        self.nodes.values_mut().filter(|k| k.listed).for_each(|k| k.seen = now);
        self.nodes.retain(|_, k| k.listed || k.seen + FORGET > now);
        let (parent_kind, origin_kind) = (self.settings.parent_kind, self.settings.origin_kind);
        let listed = || self.nodes.values().filter(|k| k.listed).map(|k| k.info);
        self.origin = listed().find(|n| n.kind == origin_kind).map(|n| n.id);
        let hub = self.settings.hub_of_zone.get(usize::from(self.settings.own_zone.0));
        let parents = listed().filter(|n| Some(n.kind) == parent_kind);
        self.parents = ParentRing::new(parents.map(|n| (n.id, Some(&n.zone) == hub)));
        let own = self.settings.own_zone;
        let edge = |n: &Node| Some(n.kind) != parent_kind && n.kind != origin_kind && n.zone == own;
        self.edges = listed().filter(edge).map(|n| n.id).collect();
        // Where weights tell the links, the mean one is known from the start.
        if self.settings.weights_are_link_sizes && !self.edges.is_empty() {
            let sum: f64 = self.edges.iter().map(|e| self.nodes[e].info.weight).sum();
            let mean = sum / self.edges.len() as f64;
            let sized = |k: &mut Known| k.size = (k.info.weight / mean.max(1e-9)).max(0.01);
            self.edges.iter().for_each(|e| self.nodes.get_mut(e).map_or((), sized));
            self.caches.told = true;
            if kind == ListKind::Cached {
                self.caches.fits = mean;
            }
        }
        if self.link_in.fits == 0.0 {
            self.link_in.fits = LINK_IN_GUESS * self.edges.len() as f64;
        }
    }

    // ---- Purges ----

    fn purged(&mut self, now: f64, object: Option<ObjectId>, group: GroupId, age: f64) {
        let keep = BELIEF_AGE.max(self.settings.purge_settle_time + PURGE_MARGIN);
        self.purges.heard(now, object.ok_or(group), now - age.max(0.0), keep);
    }

    /// Oldest age allowed by purges, while caches may still hold copies from before.
    fn purge_limit(&self, now: f64, request: &Request) -> Option<f64> {
        let (at, _) = self.purges.of(request.object, request.group)?;
        let settled = at + self.settings.purge_settle_time + PURGE_MARGIN;
        (now < settled).then(|| (now - at - PURGE_MARGIN).max(AGE_LEAST))
    }

    // ---- Beliefs: which edge caches were seen to hold an object's part ----

    /// Believed holders that can take part now.
    fn holders(&self, now: f64, request: &Request) -> Vec<NodeId> {
        let heard = self.purges.of(request.object, request.group).map_or(f64::MIN, |f| f.1);
        let mut holders = Vec::new();
        self.held.for_each_holder(request.object, request.part, |id, at| {
            let known = self.nodes.get(&id).filter(|k| k.listed);
            if at > heard && at + BELIEF_AGE > now && known.is_some_and(|k| at > k.info.ready_at) {
                holders.push(id);
            }
        });
        holders
    }

    // ---- Costs ----

    /// Sending time at full pace, from the size or else the class's mean.
    fn sending(&self, request: &Request) -> f64 {
        self.settings.transfer_time(request.kb).unwrap_or(self.work[usize::from(request.class.0)])
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }
    /// The cheapest way to answer, by the cost rule; none if no edge cache can take it.
    fn choose(&mut self, now: f64, id: RequestId) -> Option<Choice> {
        let request = self.open[&id].request;
        let sending = self.sending(&request);
        let mean = self.work[usize::from(request.class.0)];
        let uncacheable = self.class(&request).uncacheable;
        // Exception, sparing: while the origin fails most that comes to it, only so many fills may go there
        // as it has answered lately and once more; for the others the parent gives what it holds. Guards
        // against a crowded origin that answers nobody, fed by tries that fail (tariff's grown big-1).
        let [answered, asked] = self.origin_calls.map(|c| c.0 * fade(c.1, now));
        let sparing = self.rng.f64() > (ORIGIN_SPARE * answered + 1.0) / (asked + 1.0);
        let upper = self.upper(now, id, mean).filter(|&u| !sparing || Some(u) != self.origin);
        let open = &self.open[&id];
        let fit = |e: NodeId| self.fit(now, open, e, mean);
        let takes = |e: &NodeId| fit(*e) && self.may_send(now, open, &self.nodes[e].info);
        let usable: Vec<NodeId> = self.edges.iter().copied().filter(takes).collect();
        // Rendezvous order of the object: the same at all directors of a zone. A hot one has several homes,
        // and what leaves no copy has all.
        let count = match uncacheable {
            true => usable.len(),
            false => self.heat.home_count(now, request.object, request.part, sending, self.edges.len()),
        };
        let start = SlowStart::from_settings(&self.settings, false);
        let home = |&node: &NodeId| WeightedCache { node, weight: self.nodes[&node].size };
        let homes = RendezvousOrder::new(request.object.0, count, usable.iter().map(home));
        let drawn = request.object.0 ^ u64::from(self.settings.director_number) << 48;
        let hashed = homes.pick(count, drawn, |home| self.load(now, &start, home));
        let holders = self.holders(now, &request);
        let n = holders.len().min(COUNTS - 1);
        // A hot one is at all its homes, whichever of them this director saw it at.
        let believed = holders.iter().copied().filter(|h| count == 1 && usable.contains(h));
        let stretched = |n: NodeId| (n, self.stretch(&self.nodes[&n]));
        let mut candidates: Vec<(NodeId, f64)> = believed.map(stretched).collect();
        let among = |all: &[(NodeId, f64)], n: NodeId| all.iter().any(|c| c.0 == n);
        candidates.extend(hashed.filter(|&h| !among(&candidates, h)).map(stretched));
        // Exception, spreading: where every candidate's link is full, the next by hash joins the choice.
        if candidates.iter().all(|c| c.1 > SPREAD_AT) {
            let next = hashed.and_then(|h| homes.first_except(h)).filter(|&h| !among(&candidates, h));
            candidates.extend(next.map(stretched));
        }
        // Miss penalty M: what a fill from above takes beyond a hit, and what it takes of the link in.
        let jam = self.jam() - 1.0;
        let extra = upper.map_or(PENALTY_MOST, |u| self.nodes[&u].fill_lag(now) * (sending + FILL_BASE));
        let penalty = (extra + sending * (jam + LINK_SHARE)).min(PENALTY_MOST);
        let siblings = self.settings.sibling_sources != SiblingScope::None && !uncacheable;
        let mut best: Option<Choice> = None;
        for &(node, stretch) in &candidates {
            let believed = holders.contains(&node);
            let known = &self.nodes[&node];
            let access = known.lag + sending * stretch;
            let cold = start.capacity_share(now, known.info.ready_at) < 1.0;
            let spread = Some(node) != hashed && !believed;
            let signs = [known.blamed.is_some(), cold, spread, uncacheable, count > 1, believed];
            let why = RoutingReason::from_flags(signs);
            let absent = self.exclusion.chance(believed, n);
            let from_upper = upper.or((believed && !uncacheable).then_some(node)).map(|source| {
                (source, false, access + penalty * absent, access + if believed { 0.0 } else { penalty })
            });
            let siblings = holders.iter().filter(|&&h| siblings && h != node && fit(h));
            let from_siblings = siblings.map(|s| {
                let through = access + self.sibling_extra + sending * (self.pace(&self.nodes[s]) - 1.0);
                (*s, true, through + penalty * absent * self.exclusion.chance(true, n), through)
            });
            for (source, sibling, cost, latency) in from_upper.into_iter().chain(from_siblings) {
                if best.is_none_or(|b| cost < b.cost) {
                    let only_if_cached = sibling || sparing && source != node;
                    best = Some(Choice {
                        node,
                        source,
                        sibling,
                        only_if_cached,
                        n,
                        believed,
                        absent,
                        cost,
                        why,
                        latency,
                        stretch,
                        worst: access + penalty,
                    });
                }
            }
        }
        best
    }

    /// The tier above: the better by latency of two parents drawn, else the origin. The draw is by the object
    /// and the same at all directors, so that a parent is asked for what it holds; with replacement, so that
    /// either is sampled now and then. What is not fit is drawn again; no request looks at all parents.
    fn upper(&self, now: f64, id: RequestId, work: f64) -> Option<NodeId> {
        let open = &self.open[&id];
        let mut best: Option<NodeId> = None;
        let lag = |id: NodeId| self.nodes[&id].fill_lag(now);
        for draw in 0..DRAWS {
            // A jam of its link shows in how its fills flow; the origin's, which is everybody's, in their
            // wait.
            let jammed = |b: NodeId| self.nodes[&b].pace.alone(now) > STRETCHED;
            let slow = draw == NEAR_DRAWS && self.parents.spans_hubs() && best.is_some_and(jammed);
            if draw >= NEAR_DRAWS && best.is_some() && !slow || self.parents.is_empty() {
                break;
            }
            let p = self.parents.draw(open.request.object.0, draw, draw < NEAR_DRAWS);
            let better = best.is_none_or(|b| lag(p) + if slow { FAR } else { 0.0 } < lag(b));
            if better && self.fit(now, open, p, work) {
                best = Some(p);
            }
        }
        best.or_else(|| self.origin.filter(|&o| self.fit(now, open, o, work)))
    }

    // ---- Decisions ----

    fn decide(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let (open, tries) = (&self.open[&id], TRIES.min(usize::from(self.settings.max_attempts)));
        let over = now >= open.request.expires || open.attempts.len() >= tries;
        let choice = if over { None } else { self.choose(now, id) };
        let Some(choice) = choice else { return self.give_up(id, actions) };
        let open = &self.open[&id];
        let (class, sending) = (self.class(&open.request), self.sending(&open.request));
        let aim = class.aim + class.aim_stretch * sending;
        let spent = now - open.came;
        // Overload guard: what cannot be answered in time is refused early, so that the rest can be.
        // A link that is only just full clears by itself, and the estimate is too dark for that: 0.9 alone
        // refused 4% of a day on which 1% were late.
        let full = choice.stretch.max(self.jam());
        let admit = ADMIT.1 - (ADMIT.1 - ADMIT.0) * ((full - 1.0) / (CROWDED - 1.0)).min(1.0);
        let admit =
            admit * (1.0 - UNSEEN.0 * ((self.settings.own_zone_directors() - 1.0) / UNSEEN.1).min(1.0));
        // Nor is it worth a full link if the client will not wait. Some of each size are taken all the same.
        let (waits, class) = (open.request.expires - open.came, usize::from(open.request.class.0));
        let late = full > 1.0 && spent + choice.latency > (admit * aim).min(waits) && self.may_refuse(open);
        let hit = spent + sending * choice.stretch;
        if self.sizes[class].refuses(now, sending / self.work[class].max(1e-9), late, hit < waits) {
            return self.give_up(id, actions);
        }
        self.send(now, id, choice, actions);
    }

    fn send(&mut self, now: f64, id: RequestId, choice: Choice, actions: &mut Vec<Action>) {
        let request = self.open[&id].request;
        let class = self.class(&request);
        let limit = self.purge_limit(now, &request);
        let age = limit.map_or(0.0, |l| if class.fresh_for > 0.0 { l.min(class.fresh_for) } else { l });
        let options = FillOptions {
            join: self.settings.join_fills && limit.is_none() && !choice.sibling,
            only_if_cached: choice.only_if_cached,
            no_parent_copy: false,
            revalidate: class.fresh_for > 0.0 && limit.is_none(),
        };
        let rank = if class.uncacheable { 0 } else { RANK + u8::from(choice.n > 0) };
        let (node, source) = (choice.node, choice.source);
        actions.push(Action::Fetch { request: id, node, within: 0.0, source, rank, age, options });
        self.reasons.count(choice.why);
        self.book(now, &choice, 1.0, self.work[usize::from(request.class.0)]);
        let sending = self.sending(&request);
        if let Some(k) = self.nodes.get_mut(&node) {
            k.own.add(now, sending);
            k.hearing.sent(now + choice.latency);
        }
        let then = (self.transfers(&self.nodes[&node]), self.fills());
        let attempt = Attempt { choice, sent_at: now, then, out: true, ..Attempt::default() };
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts.push(attempt);
        let number = open.attempts.len() - 1;
        let after = (PATIENCE.0 * choice.latency + PATIENCE.1).min(self.lost_after(now, &choice, number));
        self.look_again(now, id, number, after, actions);
    }

    /// Has an attempt looked at after so long.
    fn look_again(&mut self, now: f64, id: RequestId, number: usize, after: f64, actions: &mut Vec<Action>) {
        if let Some(a) = self.open.get_mut(&id).and_then(|open| open.attempts.get_mut(number)) {
            a.look_at = now + after;
        }
        actions.push(Action::SetTimer { token: u64::from(id.0) << 16 | number as u64, after });
    }

    /// Counts an attempt in (1, with its class mean) or out (-1, with the work done) at the links it uses.
    fn book(&mut self, now: f64, choice: &Choice, step: f64, work: f64) {
        let done = if step < 0.0 { work } else { 0.0 };
        for (who, part) in [(choice.node, 1.0), (choice.source, choice.absent)] {
            let Some(k) = self.nodes.get_mut(&who) else { continue };
            k.out = (k.out + step * part).max(0.0);
            if step > 0.0 {
                k.charge(now, part * work, self.settings.overload_window);
            }
            match k.info.kind {
                kind if kind == self.settings.origin_kind => {}
                kind if Some(kind) == self.settings.parent_kind => {
                    self.above.book(now, step * part, done * part)
                }
                _ => self.caches.book(now, step * part, done * part),
            }
        }
        if !choice.sibling {
            self.link_in.book(now, step * choice.absent, done * choice.absent);
        }
    }

    /// Ends a request at once: refused where that is allowed, else failed.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let open = &self.open[&id];
        for (i, a) in open.attempts.iter().enumerate() {
            if a.streaming && a.out {
                return;
            }
            if a.out && !a.cancelled && self.settings.cancel {
                actions.push(Action::Cancel { request: id, attempt: i as u16 });
            }
        }
        actions.push(match self.may_refuse(open) {
            true => Action::Refuse { request: id, wait: self.settings.max_retry_after },
            false => Action::Fail { request: id },
        });
        self.finish(id);
    }

    fn finish(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.done = true;
            // What is withdrawn since nobody waits any more says nothing of whoever was asked.
            open.attempts.iter_mut().for_each(|a| a.dropped = a.out);
            if open.attempts.iter().all(|a| !a.out) {
                self.open.remove(&id);
            }
        }
    }

    // ---- No effect twice ----

    fn may_refuse(&self, open: &Open) -> bool {
        let class = self.class(&open.request);
        matches!(class.effect, Effect::Safe | Effect::Keyed(Scope::All))
            || open.attempts.iter().all(|a| a.never_ran)
    }

    /// May this node get a further attempt, given what earlier ones may have done?
    fn may_send(&self, now: f64, open: &Open, node: &Node) -> bool {
        if !self.settings.concurrent_attempts && open.attempts.iter().any(|a| a.out) {
            return false;
        }
        let class = self.class(&open.request);
        open.attempts.iter().filter(|a| !a.never_ran).all(|a| match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(scope) => {
                let Some(then) = self.nodes.get(&a.choice.node) else { return false };
                let zone = then.info.zone == node.zone;
                let same = match scope {
                    Scope::All => true,
                    Scope::Zone => zone,
                    Scope::Cell => zone && then.info.cell == node.cell,
                };
                same && now < a.sent_at + class.key_ttl
            }
        })
    }

    // ---- Outcomes ----

    fn attempt_end(&mut self, now: f64, id: RequestId, number: u16, end: End, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let request = open.request;
        let Some(a) = open.attempts.get_mut(usize::from(number)).filter(|a| a.out) else { return };
        a.out = false;
        a.never_ran = end.outcome.never_ran();
        let seen = *a;
        let done = if end.outcome == Outcome::Ok { self.sending(&request) } else { 0.0 };
        self.book(now, &seen.choice, -1.0, done);
        self.learn(now, &request, &seen, &end);
        let blame = self.health(now, id, &seen, &end);
        if let Some(k) = self.nodes.get_mut(&seen.choice.node) {
            k.hearing.ended(seen.sent_at + seen.choice.latency);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        open.avoid.extend(blame);
        if end.done || open.done {
            self.finish(id);
        } else if open.attempts.iter().all(|a| !a.out) {
            self.decide(now, id, actions);
        }
    }

    /// What the outcome says of content and latency.
    fn learn(&mut self, now: f64, request: &Request, seen: &Attempt, end: &End) {
        let Choice { node, source, n, believed, sibling, only_if_cached, .. } = seen.choice;
        let sending = self.sending(request);
        let hit = matches!(end.note, Note::Hit | Note::Stale);
        let filled = matches!(end.note, Note::Filled | Note::FilledFromOrigin | Note::Joined);
        let lacked = end.note == Note::SourceMiss
            || end.outcome == Outcome::Miss && end.note == Note::None && only_if_cached;
        let absent = filled || end.outcome == Outcome::Miss || lacked;
        // A timed-out, refused or failed attempt says nothing about content.
        if end.outcome == Outcome::Ok && hit || absent {
            self.exclusion.count(now, believed, n, absent);
        }
        if absent && end.outcome != Outcome::Ok {
            self.held.disbelieve(request.object, request.part, node);
        }
        if sibling && (lacked || filled) {
            self.exclusion.count(now, true, n, lacked);
            if lacked {
                self.held.disbelieve(request.object, request.part, source);
            }
        }
        if end.outcome != Outcome::Ok {
            return;
        }
        self.losses[1] = (self.losses[1].0 * fade(self.losses[1].1, now) + 1.0, now);
        self.held.believe(now, request.object, request.part, node, seen.sent_at);
        let jam = self.jam();
        let Some((slow, crowding)) = self.loaded(node) else { return };
        let Some(k) = self.nodes.get_mut(&node) else { return };
        let expected = k.lag + sending * slow;
        let class = usize::from(request.class.0);
        let flowed = end.took - end.source_wait - k.lag;
        if request.kb == 0.0 && (hit || self.settings.classes[class].uncacheable) {
            // The plain mean at first: a guess that fades slowly makes pages look like films (ibf0141), and
            // what is never kept, which has no hits, for good (grand-large).
            self.hits[class] += 1.0;
            smooth(&mut self.work[class], flowed.max(0.0) / slow, SMOOTH.max(1.0 / self.hits[class]));
        }
        if hit {
            let flowing = (end.took - k.lag).max(0.0);
            k.pace.saw(now, flowing, sending * crowding);
            self.caches.saw(flowing, sending, seen.then.0);
            // Signed: where sizes are unknown the mean is right though each one is not.
            smooth(&mut k.lag, (end.took - sending * slow).clamp(-0.5, 0.5), SMOOTH);
        } else if filled {
            k.pace.saw(now, flowed, sending * crowding);
            let extra = end.took - expected - sending * (jam - slow).max(0.0);
            if !sibling && slow < STRETCHED && end.source_wait > 0.0 {
                self.link_in.saw(flowed.max(0.0), sending, seen.then.1);
            }
            if sibling {
                smooth(&mut self.sibling_extra, extra, SMOOTH);
            } else if let Some(s) = self.nodes.get_mut(&source) {
                let weight = SMOOTH_FILL.max(FRESH.min(1.0 - fade(s.lag_at, now)));
                (s.lag, s.lag_at) = (s.fill_lag(now), now);
                s.pace.saw(now, flowed, sending * slow.max(jam));
                smooth(&mut s.lag, extra / (sending + FILL_BASE), weight);
            }
        }
    }

    /// What the outcome says of health; returns whom this request should avoid from now on.
    fn health(&mut self, now: f64, id: RequestId, seen: &Attempt, end: &End) -> Option<NodeId> {
        let filled = matches!(end.note, Note::Filled | Note::FilledFromOrigin);
        let Choice { node, source, only_if_cached, believed, .. } = seen.choice;
        let told = self.settings.note_detail == NoteDetail::All;
        // Nor does one that was given no time, by a client's short wait or a standstill of this front.
        let unread = end.took < seen.choice.latency || now < self.standstill.caught_up_at();
        let early = end.outcome == Outcome::TimedOut && unread;
        if early || seen.dropped && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled) {
            return None;
        }
        let (likely, note) = (!believed && !only_if_cached, end.note);
        let ok = note == Note::FilledFromOrigin || !told && note == Note::Filled;
        let failed = match end.outcome {
            Outcome::TimedOut | Outcome::Cancelled => likely,
            Outcome::Full | Outcome::Error => note == Note::OriginFailed || likely && !told,
            _ => false,
        };
        for (calls, yes) in self.origin_calls.iter_mut().zip([ok, ok || failed]) {
            *calls = (calls.0 * fade(calls.1, now) + f64::from(u8::from(yes)), now);
        }
        let unclear = !told
            && !only_if_cached
            && Some(source) != self.origin
            && !self.open[&id].avoid.contains(&source)
            && node != source;
        let answered = matches!(end.outcome, Outcome::Ok | Outcome::Miss | Outcome::Full | Outcome::Error);
        for (who, yes) in [(node, answered), (source, filled)] {
            if let Some(k) = self.nodes.get_mut(&who).filter(|_| yes) {
                (k.strikes, k.blamed) = (0, None);
                k.answered = k.answered.max(seen.sent_at);
                k.hearing.heard(now);
                self.last_answer = now;
            }
        }
        let (guilty, proof) = match end.outcome {
            Outcome::Ok | Outcome::NotSent | Outcome::Miss => return None,
            // An origin in trouble must not cost the parents, which still hold much (i24eb3c).
            _ if end.note == Note::OriginFailed => return None,
            _ if matches!(note, Note::SourceRefused | Note::SourceFailed) => (source, false),
            // Where notes do not tell, a refused fill is held against its source first: a parent gone
            // makes every cache look full, and three refusals without a fill between blame it.
            Outcome::Full if unclear => (source, false),
            Outcome::Full => return Some(node),
            Outcome::ConnectFailed => (node, true),
            // A connection that broke is no node that is down: that refuses the next one.
            Outcome::Reset => (node, false),
            Outcome::Cancelled if seen.cancelled => return None,
            Outcome::Error | Outcome::TimedOut | Outcome::Cancelled => (node, false),
        };
        let reset = end.outcome == Outcome::Reset;
        let Some(k) = self.nodes.get_mut(&guilty) else { return Some(guilty) };
        k.strikes += u32::from(!reset || now - k.struck > AT_ONCE);
        k.struck = if reset { now } else { k.struck };
        let blamed = proof || k.strikes >= STRIKES;
        if blamed {
            k.blame(now);
        }
        Some(guilty).filter(|_| blamed || !reset)
    }

    /// How long an answer may take before it is held to be lost.
    fn lost_after(&self, now: f64, choice: &Choice, attempt: usize) -> f64 {
        let full = self.nodes.get(&choice.node).map_or(1.0, |k| self.crowding(k)).max(self.jam()) > 1.0;
        let [lost, answered] = self.losses.map(|c| c.0 * fade(c.1, now));
        let mode = if full { 0 } else { 1 + usize::from(attempt == 0 && lost > LOSING * answered) };
        let expected = if mode == 2 && choice.believed { choice.latency } else { choice.worst };
        LOST[mode].0 * expected + LOST[mode].1
    }

    /// When what was due then has come, if a silence of this node, or a standstill of this front, held it up.
    fn caught_up_at(&self, node: NodeId, due: f64) -> f64 {
        let heard = self.nodes.get(&node).map_or(f64::MIN, |k| k.hearing.caught_up_at(due));
        heard.max(self.standstill.caught_up_at())
    }

    /// A look at an attempt that takes longer than expected.
    fn look(&mut self, now: f64, token: u64, actions: &mut Vec<Action>) {
        let (id, number) = (RequestId((token >> 16) as u32), (token & 0xffff) as usize);
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let class = usize::from(open.request.class.0);
        let Some(&a) = open.attempts.get(number).filter(|a| a.out && !a.streaming && !a.cancelled) else {
            return;
        };
        self.standstill.timer(a.look_at);
        // Silence is held against a node only if others answered meanwhile: a stall of everything is not.
        let Choice { node, source, believed, .. } = a.choice;
        let others = self.last_answer > a.sent_at;
        let silent = |id| others && self.nodes.get(&id).is_some_and(|k| k.hearing.last_answer() <= a.sent_at);
        let suspects = [Some(node), Some(source).filter(|_| !believed)];
        let patient = a.sent_at + PATIENCE.0 * a.choice.latency + PATIENCE.1;
        let guilty = suspects.into_iter().flatten().find(|&id| now + EARLY > patient && silent(id));
        // Lost is an answer of which nothing came while the node answers what it was asked later: nobody is
        // to blame, and the request goes again.
        let due = a.sent_at + self.lost_after(now, &a.choice, number);
        let lost = now + EARLY > due && self.nodes.get(&node).is_some_and(|k| k.answered > a.sent_at);
        if guilty.is_none() && !lost {
            let next = [due, patient].into_iter().filter(|&at| at > now + EARLY).reduce(f64::min);
            let after = next.map_or(RECHECK, |at| at - now);
            return self.look_again(now, id, number, after, actions);
        }
        // What a silence held up comes together behind it: who is late then is not to blame.
        let after = self.caught_up_at(node, if lost { due } else { patient }) - now;
        if after > EARLY && a.spared < SPARED_MOST {
            if let Some(open) = self.open.get_mut(&id) {
                open.attempts[number].spared += 1;
            }
            return self.look_again(now, id, number, after, actions);
        }
        self.losses[0] = (self.losses[0].0 * fade(self.losses[0].1, now) + f64::from(u8::from(lost)), now);
        if let Some(k) = guilty.and_then(|g| self.nodes.get_mut(&g)) {
            k.blame(now);
        }
        // It has flowed for so long at least.
        let sending = self.sending(&self.open[&id].request);
        let loaded = self.loaded(node);
        if let Some((k, (slow, crowding))) = self.nodes.get_mut(&node).zip(loaded) {
            let flowed = now - a.sent_at - (a.choice.latency - sending * slow).max(0.0);
            k.pace.saw(now, flowed, sending * crowding);
        }
        // Where only one attempt may be out, the next goes when the withdrawn one has ended.
        let repeats = match self.settings.classes[class].effect {
            Effect::Safe => true,
            Effect::Keyed(scope) => guilty.is_none() && scope == Scope::All,
            Effect::Unsafe => false,
        };
        let Some(open) = self.open.get_mut(&id).filter(|_| repeats && self.settings.cancel) else { return };
        open.avoid.extend(guilty);
        open.attempts[number].cancelled = true;
        actions.push(Action::Cancel { request: id, attempt: number as u16 });
        if self.settings.concurrent_attempts {
            self.decide(now, id, actions);
        }
    }

    // ---- Cold nodes and health, as far as they bear on the choice ----

    /// May a node of this tier get an attempt, or be the source of one, now?
    fn fit(&self, now: f64, open: &Open, id: NodeId, work: f64) -> bool {
        let Some(k) = self.nodes.get(&id).filter(|k| k.listed) else { return false };
        !open.avoid.contains(&id) && k.blamed.is_none_or(|(trial, _)| now >= trial) && self.room(now, k, work)
    }

    /// What was sent to a cache lately per unit of its link: a cold one has only a part of it yet.
    fn load(&self, now: f64, start: &SlowStart, id: NodeId) -> f64 {
        let k = &self.nodes[&id];
        k.own.decayed(now) / (k.size * start.capacity_share(now, k.info.ready_at).max(0.01))
    }

    /// Does a cold node's budget bear this much more work? What warm nodes of its tier carry in the mean, all
    /// directors together, stands in for its link where that is not told.
    fn room(&self, now: f64, k: &Known, work: f64) -> bool {
        let s = &self.settings;
        let parent = Some(k.info.kind) == s.parent_kind;
        let cold = SlowStart::from_settings(s, parent);
        let ready_at = k.info.ready_at;
        if cold.capacity_share(now, ready_at) >= 1.0 {
            return true;
        }
        let (carried, rate) = if parent {
            (self.above.carried / self.parents.parent_count().max(1.0), f64::INFINITY)
        } else {
            let blamed = |e: &&NodeId| self.nodes[*e].blamed.is_some();
            let takers = (self.edges.len() - self.edges.iter().filter(blamed).count()).max(1) as f64;
            let lately = self.caches.carried / work.max(1e-3);
            (self.caches.carried / self.edges.len().max(1) as f64, self.heat.rate(now).max(lately) / takers)
        };
        let link =
            if s.weights_are_link_sizes { k.info.weight } else { (cold.sharers * carried).max(LINK_SAFE) };
        let lately = k.sent.iter().filter(|x| x.0 + s.overload_window > now).map(|x| x.1).sum();
        let seed = k.info.id.0 ^ u64::from(s.director_number) << 32;
        cold.admits(SlowStartRequest { now, ready_at, link, work, recent_work: lately, rate, seed })
    }
}

/// An outcome as it came.
struct End {
    outcome: Outcome,
    took: f64,
    done: bool,
    note: Note,
    source_wait: f64,
}

impl Known {
    fn new(info: Node, me: u16) -> Self {
        let (never, pace) = (f64::MIN, Pace::new(unit_hash(info.id.0, u64::from(me))));
        Known { info, lag: BASE, pace, size: 1.0, answered: never, struck: never, ..Known::default() }
    }

    /// What fills from it take beyond hits, as far as that still counts: a jam long ago is no jam now.
    fn fill_lag(&self, now: f64) -> f64 {
        BASE + (self.lag - BASE) * fade(self.lag_at + LAG_KEPT, now).min(1.0)
    }

    fn blame(&mut self, now: f64) {
        let pause = self.blamed.map_or(TRIAL.0, |(_, pause)| (2.0 * pause).min(TRIAL.1));
        self.blamed = Some((now + pause, pause));
    }

    /// Counts an attempt and, on trial, holds others back.
    fn charge(&mut self, now: f64, work: f64, window: f64) {
        let held_back = |(trial, pause)| (if now >= trial { now + pause } else { trial }, pause);
        self.blamed = self.blamed.map(held_back);
        if self.info.ready_at > 0.0 {
            self.sent.push_back((now, work));
            while self.sent.pop_front_if(|s| s.0 + window <= now).is_some() {}
        }
    }
}
