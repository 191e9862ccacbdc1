//! The director: chooses the edge cache of an attempt and the source of a fill, and decides on retries and
//! refusals. The types of its input and output are in `src/interface.rs`. "Work" is the transfer time of an
//! answer at full pace, in seconds.

use crate::interface::*;
use crate::routing::{
    Beliefs, CachePace, Exclusion, FULL_LINK_SLOWDOWN, FadingCount, FrontStalls, HOLDER_COUNTS, NodeStalls,
    Purges, RECHECK_DELAY, SharedLink, SizeFairness, fade, smooth,
};
use crate::spread::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

// ---- Constants: the cost rule ----

/// A belief older than this is dropped (seconds).
const BELIEF_AGE: f64 = 30.0;
/// Weight of one outcome in a smoothed mean.
const OUTCOME_WEIGHT: f64 = 1.0 / 20.0;
/// Weight of one fill from the upper tier, of which each source sees few.
const FILL_WEIGHT: f64 = 1.0 / 5.0;
/// Greatest weight of one fill from the upper tier, where the last one was long ago.
const MAX_FILL_WEIGHT: f64 = 0.5;
/// A source's learned latency counts in full for this long, and fades after that (seconds).
const FILL_LATENCY_HOLD: f64 = 2.0;
/// Initial latency of a hit beyond its work (seconds).
const INITIAL_LATENCY: f64 = 0.03;
/// The extra time of a fill is learned per work plus this (seconds): congestion delays large ones most.
const FILL_BASE_TIME: f64 = 0.2;
/// Greatest miss penalty M, and the one where no upper tier is usable (seconds).
const MAX_MISS_PENALTY: f64 = 5.0;
/// Cost of bytes over the thin link, as a share of their work, on top of the time that they take.
const ZONE_LINK_COST: f64 = 0.3;

// ---- Constants: load ----

/// Initial estimate of a cache's link, in transfers at full pace.
const INITIAL_CACHE_LINK: f64 = 6.0;
/// Initial estimate of the link into the zone for each of its caches, where its rate is unknown.
const INITIAL_ZONE_LINK: f64 = 3.0;
/// Smallest estimate of a cold node's link, on the safe side.
const MIN_COLD_LINK: f64 = 2.0;
/// One more cache joins the choice where all candidates are slower than this multiple (spreads hot objects).
const SPREAD_SLOWDOWN: f64 = 1.2;
/// What would take more than this multiple of its aim is refused: the first where a link is
/// `CROWDED_SLOWDOWN` times full or more, the second where it is just full, linear in between.
const ADMIT_CROWDED: f64 = 0.9;
const ADMIT_JUST_FULL: f64 = 1.3;
const CROWDED_SLOWDOWN: f64 = 1.8;
/// The admission limit shrinks by this share where so many peers share the links. Their load is inferred from
/// the own transfers, roughly where there are many; a full link taken for an empty one is filled further.
const PEER_UNCERTAINTY: f64 = 0.17;
const UNCERTAIN_PEERS: f64 = 8.0;
/// Initial mean work of a class (seconds).
const INITIAL_WORK: f64 = 0.5;

// ---- Constants: health ----

/// An attempt is checked after this multiple of its expected latency, plus this margin (seconds).
const PATIENCE_FACTOR: f64 = 2.0;
const PATIENCE_MARGIN: f64 = 0.3;
/// When an answer may be lost, where a link is full.
const LOST_ON_FULL_LINK: LossTimeout = LossTimeout { factor: 2.0, margin: 0.3 };
/// When an answer may be lost, where no link is full: none of 13,000 good answers took so long.
const LOST_ON_FREE_LINK: LossTimeout = LossTimeout { factor: 1.5, margin: 0.1 };
/// When the answer to a first attempt may be lost while answers get lost and no link is full. A believed
/// holder is expected to have the latency of a hit; 0.1 to 0.3% of good answers take so long.
const LOST_WHILE_LOSING: LossTimeout = LossTimeout { factor: 1.25, margin: 0.08 };
/// Most deferrals of a verdict for answers that a stall held up: no lost answer waits for ever.
const MAX_DEFERRALS: u8 = 3;
/// Answers count as getting lost where more than this share of the recent ones was.
const LOSS_RATIO: f64 = 0.005;
/// A timer may fire this much before the time that it was set for (seconds).
const TIMER_TOLERANCE: f64 = 0.001;
/// An ejected node gets a trial after this pause, which doubles with each failure up to a limit (seconds).
const MIN_EJECTION: f64 = 0.4;
const MAX_EJECTION: f64 = 3.0;
/// Consecutive failed attempts that eject a node when none of them is proof alone.
const EJECTION_FAILURES: u32 = 3;
/// Parents are drawn until one is usable, at least two and at most this many.
const MAX_PARENT_DRAWS: u64 = 8;
/// The first draws, which are among the parents of the own hub: each hub on the way costs time and bytes.
const OWN_HUB_DRAWS: u64 = 2;
/// A parent of another hub is used where those of the own are slower by this (in fill latency): all fronts of
/// a hub that has few parents left depend on the same ones.
const FAR_HUB_PENALTY: f64 = 0.2;
/// While the origin fails, it is asked for at most this multiple of what it answers.
const ORIGIN_HEADROOM: f64 = 2.0;
/// A node that is not listed is forgotten after this (seconds): longer than a belief or an attempt lasts.
const NODE_RETENTION: f64 = 2.0 * BELIEF_AGE;
/// Resets within this time are one sign (seconds): a connection takes all its attempts with it.
const RESET_WINDOW: f64 = 0.05;
/// Most attempts for one request.
const MAX_ATTEMPTS: usize = 4;
/// A purge is applied this long past the time in which caches settle, and copies must be this much younger
/// (seconds): what left the origin just before a purge may be stamped just after.
const PURGE_MARGIN: f64 = 0.5;
/// Least age limit of a copy (seconds); 0 would mean no limit.
const MIN_AGE_LIMIT: f64 = 0.001;
/// Rank of a first copy, one more where a holder is believed: objects requested once evict nothing in use.
const FIRST_COPY_RANK: u8 = 1;

/// The time after which an answer may be lost: a multiple of the expected latency plus a margin (seconds).
struct LossTimeout {
    factor: f64,
    margin: f64,
}

// ---- State ----

/// What this director knows of a cache node.
#[derive(Default)]
struct NodeRecord {
    info: Node,
    listed: bool,
    /// Its link relative to the mean one of its zone, as far as weights tell.
    size: f64,
    /// Attempts of this director that are in flight there.
    in_flight: f64,
    /// Smoothed latency beyond the work; at a parent or the origin, what its fills take beyond hits, per work
    /// plus `FILL_BASE_TIME`; and when it was learned.
    latency: f64,
    latency_at: f64,
    pace: CachePace,
    /// What this director sent it recently.
    recent_work: RecentWork,
    stalls: NodeStalls,
    /// When the newest attempt was sent that it has answered.
    newest_answered: f64,
    last_listed: f64,
    consecutive_failures: u32,
    last_reset: f64,
    ejection: Option<Ejection>,
    /// Times and work of attempts in the last overload window, kept while it is warming.
    warming_work: VecDeque<(f64, f64)>,
}

/// The ejection of a node: when its next trial may be sent, and the pause after that (seconds).
#[derive(Clone, Copy)]
struct Ejection {
    trial_at: f64,
    pause: f64,
}

#[derive(Clone, Copy, Default)]
struct Attempt {
    choice: Choice,
    sent_at: f64,
    /// When it is checked next, and how often that was deferred for a stall.
    check_at: f64,
    deferrals: u8,
    /// Transfers of all directors at the node, and over the zone's link, when it was sent.
    node_load: f64,
    zone_load: f64,
    in_flight: bool,
    cancelled: bool,
    abandoned: bool,
    streaming: bool,
    never_ran: bool,
}

#[derive(Default)]
struct OpenRequest {
    request: Request,
    arrived_at: f64,
    attempts: Vec<Attempt>,
    avoid: Vec<NodeId>,
    done: bool,
}

/// One way to answer a request.
#[derive(Clone, Copy, Default)]
struct Choice {
    node: NodeId,
    source: NodeId,
    /// The source is a sibling; the source is to answer from its own copy only (siblings always).
    sibling: bool,
    only_if_cached: bool,
    /// Believed holders, as an index of the exclusion probabilities.
    holders: usize,
    believed: bool,
    /// Probability that the node lacks the object, so that the source has work with it.
    absent: f64,
    cost: f64,
    reason: RoutingReason,
    latency: f64,
    /// The expected slowdown at the node, and the latency if it turns out to lack the object.
    slowdown: f64,
    miss_latency: f64,
}

/// Makes the decisions of one front. The same seed, settings and events give the same actions.
pub struct Director {
    settings: Settings,
    rng: fastrand::Rng,
    nodes: BTreeMap<NodeId, NodeRecord>,
    edges: Vec<NodeId>,
    parents: ParentRing,
    origin: Option<NodeId>,
    /// The time of the event that is being handled.
    now: f64,
    open: FxHashMap<RequestId, OpenRequest>,
    beliefs: Beliefs,
    purges: Purges,
    popularity: PopularitySketch,
    reasons: ReasonCounts,
    /// By class: its mean work, the answers behind it where sizes are unknown, and its refusals by size.
    class_work: Vec<f64>,
    class_samples: Vec<f64>,
    fairness: Vec<SizeFairness>,
    exclusion: Exclusion,
    /// Fills that the origin answered, and all that are known to have reached it.
    origin_answered: FadingCount,
    origin_asked: FadingCount,
    answers_lost: FadingCount,
    answers_received: FadingCount,
    /// Smoothed extra latency of a fill from a sibling.
    sibling_latency: f64,
    /// The link into the zone with its fills, and the two tiers: the zone's edge caches and all parents.
    inbound_link: SharedLink,
    edge_links: SharedLink,
    parent_links: SharedLink,
    last_answer: f64,
    stalls: FrontStalls,
}

impl Director {
    /// Creates a director that knows nothing but its settings.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let zone = usize::from(settings.own_zone.0);
        let rate = settings.zone_link_kb_per_s.get(zone).filter(|&&rate| rate > 0.0);
        let rate = rate.filter(|_| settings.answer_kb_per_s > 0.0);
        let inbound_link = rate.map(|rate| rate / settings.answer_kb_per_s);
        let class_work = vec![INITIAL_WORK; settings.classes.len()];
        Director {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            nodes: BTreeMap::new(),
            edges: Vec::new(),
            parents: ParentRing::default(),
            origin: None,
            now: 0.0,
            open: FxHashMap::default(),
            beliefs: Beliefs::new(seed, BELIEF_AGE),
            purges: Purges::default(),
            popularity: PopularitySketch::default(),
            reasons: ReasonCounts::default(),
            class_samples: vec![0.0; class_work.len()],
            fairness: vec![SizeFairness::default(); class_work.len()],
            class_work,
            exclusion: Exclusion::default(),
            origin_answered: FadingCount::default(),
            origin_asked: FadingCount::default(),
            answers_lost: FadingCount::default(),
            answers_received: FadingCount::default(),
            sibling_latency: INITIAL_LATENCY,
            inbound_link: SharedLink::new(inbound_link.unwrap_or(0.0), inbound_link.is_some()),
            edge_links: SharedLink::new(INITIAL_CACHE_LINK, false),
            parent_links: SharedLink::default(),
            last_answer: 0.0,
            stalls: FrontStalls::default(),
        }
    }

    /// Returns the settings that it was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the bytes of all it has learned but the beliefs, and the bytes that the beliefs ask for.
    pub fn footprint(&self) -> (usize, usize) {
        let nodes = self.nodes.len() * 2 * size_of::<NodeRecord>() + self.parents.footprint();
        (nodes + self.purges.footprint() + self.popularity.footprint(), self.beliefs.wanted_bytes())
    }

    /// Limits the memory of the beliefs; the oldest beyond the limit are dropped.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.beliefs.set_memory_limit(bytes);
    }

    /// Returns the number of nodes that it has a record of.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns how many attempts were routed for each reason.
    pub fn reason_counts(&self) -> &ReasonCounts {
        &self.reasons
    }

    /// Returns whether a node is ejected and its next trial is not yet due.
    pub fn is_ejected(&self, now: f64, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(|k| k.ejection.is_some_and(|e| now < e.trial_at))
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.stalls.record_event(now, matches!(event, Event::TimerFired { .. }));
        match event {
            Event::List { kind, nodes } => self.update_list(now, kind, &nodes, actions),
            Event::Request(request) => {
                if usize::from(request.class.0) >= self.settings.classes.len() {
                    return actions.push(Action::Fail { request: request.id });
                }
                if let Some(work) = self.settings.transfer_time(request.kb) {
                    smooth(&mut self.class_work[usize::from(request.class.0)], work, OUTCOME_WEIGHT);
                }
                self.popularity.record(now, request.object, request.part, self.work(&request));
                let open = OpenRequest { request, arrived_at: now, ..OpenRequest::default() };
                self.open.insert(request.id, open);
                self.decide(now, request.id, actions);
            }
            Event::Streaming { request, attempt } => {
                let attempts = self.open.get_mut(&request).map(|p| &mut p.attempts);
                if let Some(a) = attempts.and_then(|a| a.get_mut(usize::from(attempt))) {
                    a.streaming = true;
                }
            }
            Event::AttemptEnd { request, attempt, outcome, took, done, note, source_wait, .. } => {
                let end = AttemptEnd { outcome, took, done, note, source_wait };
                self.end_attempt(request, attempt, end, actions);
            }
            Event::Expired { request } => self.finish(request),
            Event::TimerFired { token } => self.check_attempt(now, token, actions),
            Event::Purged { scope, age } => self.record_purge(now, scope, age),
            Event::ProbeEnd { .. } | Event::Message { .. } => {}
        }
    }

    // ---- Load estimates ----

    /// Returns the transfers of all directors at one cache. Clients are spread over a zone's directors: each
    /// peer is taken to have the mean of this one, which sees too little of a single cache to go by.
    fn transfers(&self, node: &NodeRecord) -> f64 {
        node.in_flight
            + (self.settings.own_zone_directors() - 1.0) * self.edge_links.mean_per_peer() * node.size
                / self.edges.len().max(1) as f64
    }

    /// Returns the expected slowdown of one more transfer from a cache.
    fn slowdown(&self, node: &NodeRecord) -> f64 {
        self.crowding(node) * self.relative_pace(node)
    }

    /// Returns the slowdown expected of a cache, and the part of it that its load explains.
    fn slowdown_and_crowding(&self, id: NodeId) -> Option<(f64, f64)> {
        let node = self.nodes.get(&id)?;
        let crowding = self.crowding(node);
        Some((crowding * self.relative_pace(node), crowding))
    }

    fn crowding(&self, node: &NodeRecord) -> f64 {
        ((self.transfers(node) + node.size) / (self.edge_links.capacity * node.size)).max(1.0)
    }

    /// Returns how much slower a cache is than the others of its zone, beyond what its load explains. A front
    /// sees few answers of each, so that sums are compared; they fade, and a slow cache is tried again.
    fn relative_pace(&self, node: &NodeRecord) -> f64 {
        let others = self.edges.iter().filter(|e| **e != node.info.id).map(|e| &self.nodes[e].pace);
        node.pace.relative_to(self.now, others)
    }

    /// Returns the expected slowdown of one more fill over the zone's link.
    fn zone_slowdown(&self) -> f64 {
        ((self.zone_transfers() + 1.0) / self.inbound_link.capacity.max(1.0)).max(1.0)
    }

    /// Returns the fills of all directors over the zone's link.
    fn zone_transfers(&self) -> f64 {
        self.inbound_link.in_flight
            + (self.settings.own_zone_directors() - 1.0) * self.inbound_link.mean_per_peer()
    }

    // ---- The list of nodes ----

    fn update_list(&mut self, now: f64, kind: ListKind, nodes: &[Node], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed || (kind == ListKind::Cached && self.settings.list_on_request) {
            actions.push(Action::Watch { on: true });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            // What a complete list does not contain has gone.
            self.nodes.values_mut().for_each(|k| k.listed = false);
        }
        // A new node starts with the mean recent work: with none, it would draw all that is free to choose.
        let own: f64 =
            self.edges.iter().filter_map(|e| Some(self.nodes.get(e)?.recent_work.decayed(now))).sum();
        let recent_work = RecentWork::new(now, own / self.edges.len().max(1) as f64);
        let me = self.settings.director_number;
        for info in nodes {
            let new = || NodeRecord { recent_work, ..NodeRecord::new(*info, me) };
            let node = self.nodes.entry(info.id).or_insert_with(new);
            if node.info.ready_at != info.ready_at {
                // It was restarted: its cache is empty, and its process has nothing of the old one's record.
                *node = NodeRecord { in_flight: node.in_flight, ..new() };
            }
            node.info = *info;
            node.listed = info.state == NodeState::Ready;
        }
        // Nodes that left are forgotten once no belief and no attempt can name them.
        self.nodes.values_mut().filter(|k| k.listed).for_each(|k| k.last_listed = now);
        self.nodes.retain(|_, k| k.listed || k.last_listed + NODE_RETENTION > now);
        let (parent_kind, origin_kind) = (self.settings.parent_kind, self.settings.origin_kind);
        let listed = || self.nodes.values().filter(|k| k.listed).map(|k| k.info);
        self.origin = listed().find(|n| n.kind == origin_kind).map(|n| n.id);
        let hub = self.settings.hub_of_zone.get(usize::from(self.settings.own_zone.0));
        let parents = listed().filter(|n| Some(n.kind) == parent_kind);
        self.parents = ParentRing::new(parents.map(|n| (n.id, Some(&n.zone) == hub)));
        let own = self.settings.own_zone;
        let edge = |n: &Node| Some(n.kind) != parent_kind && n.kind != origin_kind && n.zone == own;
        self.edges = listed().filter(edge).map(|n| n.id).collect();
        // Where weights are link sizes, the mean link is known from the start.
        if self.settings.weights_are_link_sizes && !self.edges.is_empty() {
            let sum: f64 = self.edges.iter().map(|e| self.nodes[e].info.weight).sum();
            let mean = sum / self.edges.len() as f64;
            let set_size = |k: &mut NodeRecord| k.size = (k.info.weight / mean.max(1e-9)).max(0.01);
            self.edges.iter().for_each(|e| self.nodes.get_mut(e).map_or((), set_size));
            self.edge_links.known = true;
            if kind == ListKind::Cached {
                self.edge_links.capacity = mean;
            }
        }
        if self.inbound_link.capacity == 0.0 {
            self.inbound_link.capacity = INITIAL_ZONE_LINK * self.edges.len() as f64;
        }
    }

    // ---- Purges and beliefs ----

    fn record_purge(&mut self, now: f64, scope: PurgeScope, age: f64) {
        let keep = BELIEF_AGE.max(self.settings.purge_settle_time + PURGE_MARGIN);
        self.purges.record(now, scope, now - age.max(0.0), keep);
    }

    /// Returns the greatest age of a copy that purges allow, while caches may still hold copies from before.
    fn purge_limit(&self, now: f64, request: &Request) -> Option<f64> {
        let purged_at = self.purges.latest(request.object, request.group)?.at;
        let settled = purged_at + self.settings.purge_settle_time + PURGE_MARGIN;
        (now < settled).then(|| (now - purged_at - PURGE_MARGIN).max(MIN_AGE_LIMIT))
    }

    /// Returns the listed edge caches that were seen to hold the object's part.
    fn holders(&self, now: f64, request: &Request) -> Vec<NodeId> {
        let purged = self.purges.latest(request.object, request.group).map_or(f64::MIN, |p| p.learned_at);
        let mut holders = Vec::new();
        self.beliefs.for_each_holder(request.object, request.part, |id, at| {
            let k = self.nodes.get(&id).filter(|k| k.listed);
            if at > purged && at + BELIEF_AGE > now && k.is_some_and(|k| at > k.info.ready_at) {
                holders.push(id);
            }
        });
        holders
    }

    // ---- The cost rule ----

    /// Returns the work of a request, from its size or else the mean of its class.
    fn work(&self, request: &Request) -> f64 {
        self.settings.transfer_time(request.kb).unwrap_or(self.class_work[usize::from(request.class.0)])
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }

    /// Returns the cheapest way to answer, if an edge cache can take it.
    fn choose(&mut self, now: f64, id: RequestId) -> Option<Choice> {
        let request = self.open[&id].request;
        let work = self.work(&request);
        let mean_work = self.class_work[usize::from(request.class.0)];
        let uncacheable = self.class(&request).uncacheable;
        // Origin protection: while the origin fails most of what reaches it, only a multiple of what it has
        // answered recently, and one more, may go there; for others the parent answers from its own copy.
        // Otherwise retries keep a crowded origin busy, and it answers nobody (tariff's grown big-1).
        let (answered, asked) = (self.origin_answered.value(now), self.origin_asked.value(now));
        let sparing = self.rng.f64() > (ORIGIN_HEADROOM * answered + 1.0) / (asked + 1.0);
        let upper = self.upper(now, id, mean_work).filter(|&u| !sparing || Some(u) != self.origin);
        let open = &self.open[&id];
        let usable = |e: NodeId| self.is_usable(now, open, e, mean_work);
        let takes = |e: &NodeId| usable(*e) && self.may_send(now, open, &self.nodes[e].info);
        let takers: Vec<NodeId> = self.edges.iter().copied().filter(takes).collect();
        // The rendezvous order is the same at all directors of a zone. A hot object has several homes, and
        // what leaves no copy has all.
        let home_count = match uncacheable {
            true => takers.len(),
            false => self.popularity.home_count(now, request.object, request.part, work, self.edges.len()),
        };
        let start = SlowStart::from_settings(&self.settings, false);
        let home = |&node: &NodeId| WeightedCache { node, weight: self.nodes[&node].size };
        let homes = RendezvousOrder::new(request.object.0, home_count, takers.iter().map(home));
        let seed = request.object.0 ^ u64::from(self.settings.director_number) << 48;
        let hashed = homes.pick(home_count, seed, |home| self.relative_load(now, &start, home));
        let holders = self.holders(now, &request);
        let holder_count = holders.len().min(HOLDER_COUNTS - 1);
        // A hot object is at all its homes, whichever of them this director saw it at.
        let believed = holders.iter().copied().filter(|h| home_count == 1 && takers.contains(h));
        let with_slowdown = |n: NodeId| (n, self.slowdown(&self.nodes[&n]));
        let mut candidates: Vec<(NodeId, f64)> = believed.map(with_slowdown).collect();
        let among = |all: &[(NodeId, f64)], n: NodeId| all.iter().any(|c| c.0 == n);
        candidates.extend(hashed.filter(|&h| !among(&candidates, h)).map(with_slowdown));
        // Spreading: where every candidate's link is full, the next cache by hash joins the choice.
        if candidates.iter().all(|c| c.1 > SPREAD_SLOWDOWN) {
            let next = hashed.and_then(|h| homes.first_except(h)).filter(|&h| !among(&candidates, h));
            candidates.extend(next.map(with_slowdown));
        }
        // Miss penalty M: what a fill from above takes beyond a hit, and its cost on the zone's link.
        let delay = self.zone_slowdown() - 1.0;
        let extra =
            upper.map_or(MAX_MISS_PENALTY, |u| self.nodes[&u].fill_latency(now) * (work + FILL_BASE_TIME));
        let penalty = (extra + work * (delay + ZONE_LINK_COST)).min(MAX_MISS_PENALTY);
        let siblings = self.settings.sibling_sources != SiblingScope::None && !uncacheable;
        let mut best: Option<Choice> = None;
        for &(node, slowdown) in &candidates {
            let believed = holders.contains(&node);
            let record = &self.nodes[&node];
            let access = record.latency + work * slowdown;
            let cold = start.capacity_share(now, record.info.ready_at) < 1.0;
            let spread = Some(node) != hashed && !believed;
            let flags = [record.ejection.is_some(), cold, spread, uncacheable, home_count > 1, believed];
            let reason = RoutingReason::from_flags(flags);
            let absent = self.exclusion.probability(believed, holder_count);
            let miss_latency = access + penalty;
            let base = Choice {
                holders: holder_count,
                believed,
                absent,
                reason,
                slowdown,
                miss_latency,
                ..Choice::default()
            };
            let from_upper = upper.or((believed && !uncacheable).then_some(node)).map(|source| {
                (source, false, access + penalty * absent, access + if believed { 0.0 } else { penalty })
            });
            let siblings = holders.iter().filter(|&&h| siblings && h != node && usable(h));
            let from_siblings = siblings.map(|s| {
                let pace = self.relative_pace(&self.nodes[s]);
                let latency = access + self.sibling_latency + work * (pace - 1.0);
                let cost = latency + penalty * absent * self.exclusion.probability(true, holder_count);
                (*s, true, cost, latency)
            });
            for (source, sibling, cost, latency) in from_upper.into_iter().chain(from_siblings) {
                if best.is_none_or(|b| cost < b.cost) {
                    let only_if_cached = sibling || sparing && source != node;
                    best = Some(Choice { node, source, sibling, only_if_cached, cost, latency, ..base });
                }
            }
        }
        best
    }

    /// Returns the upper tier: the quicker of two parents drawn, else the origin. The draw is by object and
    /// the same at all directors, so that a parent is asked for what it holds; with replacement, so that
    /// either is sampled now and then. Unusable ones are drawn again; no request looks at all parents.
    fn upper(&self, now: f64, id: RequestId, mean_work: f64) -> Option<NodeId> {
        let open = &self.open[&id];
        let mut best: Option<NodeId> = None;
        let latency = |id: NodeId| self.nodes[&id].fill_latency(now);
        for draw in 0..MAX_PARENT_DRAWS {
            // A parent's congested link shows in the pace of its fills; a congested origin, which all parents
            // share, shows in their wait.
            let congested = |b: NodeId| self.nodes[&b].pace.absolute(now) > FULL_LINK_SLOWDOWN;
            let far = draw == OWN_HUB_DRAWS && self.parents.spans_hubs() && best.is_some_and(congested);
            if draw >= OWN_HUB_DRAWS && best.is_some() && !far || self.parents.is_empty() {
                break;
            }
            let parent = self.parents.draw(open.request.object.0, draw, draw < OWN_HUB_DRAWS);
            let penalty = if far { FAR_HUB_PENALTY } else { 0.0 };
            let better = best.is_none_or(|b| latency(parent) + penalty < latency(b));
            if better && self.is_usable(now, open, parent, mean_work) {
                best = Some(parent);
            }
        }
        best.or_else(|| self.origin.filter(|&o| self.is_usable(now, open, o, mean_work)))
    }

    // ---- Decisions ----

    fn decide(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let open = &self.open[&id];
        let most = MAX_ATTEMPTS.min(usize::from(self.settings.max_attempts));
        let over = now >= open.request.expires || open.attempts.len() >= most;
        let choice = if over { None } else { self.choose(now, id) };
        let Some(choice) = choice else { return self.give_up(id, actions) };
        let open = &self.open[&id];
        let (class, work) = (self.class(&open.request), self.work(&open.request));
        let aim = class.aim + class.aim_stretch * work;
        let spent = now - open.arrived_at;
        // Overload guard: what cannot be answered in time is refused early, so that the rest can be. A link
        // that is only just full clears by itself, which the estimate leaves out: 0.9 alone refused 4% of a
        // day on which 1% were late.
        let full = choice.slowdown.max(self.zone_slowdown());
        let admit = ADMIT_JUST_FULL
            - (ADMIT_JUST_FULL - ADMIT_CROWDED) * ((full - 1.0) / (CROWDED_SLOWDOWN - 1.0)).min(1.0);
        let peers = self.settings.own_zone_directors() - 1.0;
        let admit = admit * (1.0 - PEER_UNCERTAINTY * (peers / UNCERTAIN_PEERS).min(1.0));
        // Nor is it worth a full link if the client will not wait. Some of each size are sent all the same.
        let patience = open.request.expires - open.arrived_at;
        let class = usize::from(open.request.class.0);
        let limit = (admit * aim).min(patience);
        let late = full > 1.0 && spent + choice.latency > limit && self.may_refuse(open);
        let in_time = spent + work * choice.slowdown < patience;
        if self.fairness[class].should_refuse(now, work / self.class_work[class].max(1e-9), late, in_time) {
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
        let rank = if class.uncacheable { 0 } else { FIRST_COPY_RANK + u8::from(choice.holders > 0) };
        let (node, source) = (choice.node, choice.source);
        actions.push(Action::Fetch { request: id, node, within: 0.0, source, rank, age, options });
        self.reasons.count(choice.reason);
        self.count_transfer(now, &choice, 1.0, self.class_work[usize::from(request.class.0)]);
        let work = self.work(&request);
        if let Some(k) = self.nodes.get_mut(&node) {
            k.recent_work.add(now, work);
            k.stalls.expect_answer(now + choice.latency);
        }
        let (node_load, zone_load) = (self.transfers(&self.nodes[&node]), self.zone_transfers());
        let attempt =
            Attempt { choice, sent_at: now, node_load, zone_load, in_flight: true, ..Attempt::default() };
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts.push(attempt);
        let number = open.attempts.len() - 1;
        let patience = PATIENCE_FACTOR * choice.latency + PATIENCE_MARGIN;
        let after = patience.min(self.lost_after(now, &choice, number));
        self.check_later(now, id, number, after, actions);
    }

    /// Sets a timer for the next check of an attempt.
    fn check_later(&mut self, now: f64, id: RequestId, number: usize, after: f64, actions: &mut Vec<Action>) {
        if let Some(a) = self.open.get_mut(&id).and_then(|p| p.attempts.get_mut(number)) {
            a.check_at = now + after;
        }
        actions.push(Action::SetTimer { token: u64::from(id.0) << 16 | number as u64, after });
    }

    /// Counts an attempt in (1, with its class's mean) or out (-1, with the work done) at the links it uses.
    fn count_transfer(&mut self, now: f64, choice: &Choice, step: f64, work: f64) {
        let done = if step < 0.0 { work } else { 0.0 };
        for (id, share) in [(choice.node, 1.0), (choice.source, choice.absent)] {
            let Some(k) = self.nodes.get_mut(&id) else { continue };
            k.in_flight = (k.in_flight + step * share).max(0.0);
            if step > 0.0 {
                k.count_attempt(now, share * work, self.settings.overload_window);
            }
            match k.info.kind {
                kind if kind == self.settings.origin_kind => {}
                kind if Some(kind) == self.settings.parent_kind => {
                    self.parent_links.count(now, step * share, done * share)
                }
                _ => self.edge_links.count(now, step * share, done * share),
            }
        }
        if !choice.sibling {
            self.inbound_link.count(now, step * choice.absent, done * choice.absent);
        }
    }

    /// Ends a request at once: refuses it where that is allowed, else fails it.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let open = &self.open[&id];
        for (i, a) in open.attempts.iter().enumerate() {
            if a.streaming && a.in_flight {
                return;
            }
            if a.in_flight && !a.cancelled && self.settings.cancel {
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
            // An attempt that ends because nobody waits for it any more says nothing about its node.
            open.attempts.iter_mut().for_each(|a| a.abandoned = a.in_flight);
            if open.attempts.iter().all(|a| !a.in_flight) {
                self.open.remove(&id);
            }
        }
    }

    // ---- At most one effect ----

    fn may_refuse(&self, open: &OpenRequest) -> bool {
        let class = self.class(&open.request);
        matches!(class.effect, Effect::Safe | Effect::Keyed(Scope::All))
            || open.attempts.iter().all(|a| a.never_ran)
    }

    /// Returns whether a node may get a further attempt, given what earlier ones may have done.
    fn may_send(&self, now: f64, open: &OpenRequest, node: &Node) -> bool {
        if !self.settings.concurrent_attempts && open.attempts.iter().any(|a| a.in_flight) {
            return false;
        }
        let class = self.class(&open.request);
        open.attempts.iter().filter(|a| !a.never_ran).all(|a| match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(scope) => {
                let Some(earlier) = self.nodes.get(&a.choice.node) else { return false };
                let same_zone = earlier.info.zone == node.zone;
                let shares_keys = match scope {
                    Scope::All => true,
                    Scope::Zone => same_zone,
                    Scope::Cell => same_zone && earlier.info.cell == node.cell,
                };
                shares_keys && now < a.sent_at + class.key_ttl
            }
        })
    }

    // ---- Outcomes and health ----

    fn end_attempt(&mut self, id: RequestId, number: u16, end: AttemptEnd, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else { return };
        let request = open.request;
        let Some(a) = open.attempts.get_mut(usize::from(number)).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.never_ran = end.outcome.never_ran();
        let attempt = *a;
        let done = if end.outcome == Outcome::Ok { self.work(&request) } else { 0.0 };
        self.count_transfer(now, &attempt.choice, -1.0, done);
        self.learn(now, &request, &attempt, &end);
        let avoid = self.judge(now, id, &attempt, &end);
        if let Some(k) = self.nodes.get_mut(&attempt.choice.node) {
            k.stalls.forget_expected(attempt.sent_at + attempt.choice.latency);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        open.avoid.extend(avoid);
        if end.done || open.done {
            self.finish(id);
        } else if open.attempts.iter().all(|a| !a.in_flight) {
            self.decide(now, id, actions);
        }
    }

    /// Learns about content and latency from an outcome.
    fn learn(&mut self, now: f64, request: &Request, attempt: &Attempt, end: &AttemptEnd) {
        let Choice { node, source, holders, believed, sibling, only_if_cached, .. } = attempt.choice;
        let work = self.work(request);
        let hit = matches!(end.note, Note::Hit | Note::Stale);
        let filled = matches!(end.note, Note::Filled | Note::FilledFromOrigin | Note::Joined);
        let source_missed = end.note == Note::SourceMiss
            || end.outcome == Outcome::Miss && end.note == Note::None && only_if_cached;
        let absent = filled || end.outcome == Outcome::Miss || source_missed;
        // A timed-out, refused or failed attempt says nothing about content.
        if end.outcome == Outcome::Ok && hit || absent {
            self.exclusion.record(now, believed, holders, absent);
        }
        if absent && end.outcome != Outcome::Ok {
            self.beliefs.disbelieve(request.object, request.part, node);
        }
        if sibling && (source_missed || filled) {
            self.exclusion.record(now, true, holders, source_missed);
            if source_missed {
                self.beliefs.disbelieve(request.object, request.part, source);
            }
        }
        if end.outcome != Outcome::Ok {
            return;
        }
        self.answers_received.add(now, 1.0);
        self.beliefs.believe(now, request.object, request.part, node, attempt.sent_at);
        let zone_slowdown = self.zone_slowdown();
        let Some((slowdown, crowding)) = self.slowdown_and_crowding(node) else { return };
        let Some(record) = self.nodes.get_mut(&node) else { return };
        let expected = record.latency + work * slowdown;
        let class = usize::from(request.class.0);
        let transfer = end.took - end.source_wait - record.latency;
        if request.kb == 0.0 && (hit || self.settings.classes[class].uncacheable) {
            // The plain mean at first: an initial guess that fades slowly makes pages look like films
            // (ibf0141), and does so for good for what is uncacheable, which has no hits (grand-large).
            self.class_samples[class] += 1.0;
            let weight = OUTCOME_WEIGHT.max(1.0 / self.class_samples[class]);
            smooth(&mut self.class_work[class], transfer.max(0.0) / slowdown, weight);
        }
        if hit {
            let transfer = (end.took - record.latency).max(0.0);
            record.pace.record(now, transfer, work * crowding);
            self.edge_links.learn(transfer, work, attempt.node_load);
            // Signed: where sizes are unknown the mean is right though each one is not.
            smooth(&mut record.latency, (end.took - work * slowdown).clamp(-0.5, 0.5), OUTCOME_WEIGHT);
        } else if filled {
            record.pace.record(now, transfer, work * crowding);
            let extra = end.took - expected - work * (zone_slowdown - slowdown).max(0.0);
            if !sibling && slowdown < FULL_LINK_SLOWDOWN && end.source_wait > 0.0 {
                self.inbound_link.learn(transfer.max(0.0), work, attempt.zone_load);
            }
            if sibling {
                smooth(&mut self.sibling_latency, extra, OUTCOME_WEIGHT);
            } else if let Some(upper) = self.nodes.get_mut(&source) {
                let weight = FILL_WEIGHT.max(MAX_FILL_WEIGHT.min(1.0 - fade(upper.latency_at, now)));
                (upper.latency, upper.latency_at) = (upper.fill_latency(now), now);
                upper.pace.record(now, transfer, work * slowdown.max(zone_slowdown));
                smooth(&mut upper.latency, extra / (work + FILL_BASE_TIME), weight);
            }
        }
    }

    /// Learns about health from an outcome; returns the node that the request is to avoid from now on.
    fn judge(&mut self, now: f64, id: RequestId, attempt: &Attempt, end: &AttemptEnd) -> Option<NodeId> {
        let filled = matches!(end.note, Note::Filled | Note::FilledFromOrigin);
        let Choice { node, source, only_if_cached, believed, .. } = attempt.choice;
        let full_notes = self.settings.note_detail == NoteDetail::All;
        // A timeout after a client's short wait, or a stall of this front, says nothing.
        let too_short = end.took < attempt.choice.latency || now < self.stalls.caught_up_at();
        let early = end.outcome == Outcome::TimedOut && too_short;
        if early || attempt.abandoned && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled) {
            return None;
        }
        let (needs_fill, note) = (!believed && !only_if_cached, end.note);
        let answered = note == Note::FilledFromOrigin || !full_notes && note == Note::Filled;
        let failed = match end.outcome {
            Outcome::TimedOut | Outcome::Cancelled => needs_fill,
            Outcome::Full | Outcome::Error => note == Note::OriginFailed || needs_fill && !full_notes,
            _ => false,
        };
        self.origin_answered.add(now, f64::from(u8::from(answered)));
        self.origin_asked.add(now, f64::from(u8::from(answered || failed)));
        let parent_fill = node != source && Some(source) != self.origin && !only_if_cached;
        let source_suspect = !full_notes && parent_fill && !self.open[&id].avoid.contains(&source);
        let replied = matches!(end.outcome, Outcome::Ok | Outcome::Miss | Outcome::Full | Outcome::Error);
        for (id, replied) in [(node, replied), (source, filled)] {
            if let Some(k) = self.nodes.get_mut(&id).filter(|_| replied) {
                (k.consecutive_failures, k.ejection) = (0, None);
                k.newest_answered = k.newest_answered.max(attempt.sent_at);
                k.stalls.record_answer(now);
                self.last_answer = now;
            }
        }
        let (culprit, proof) = match end.outcome {
            Outcome::Ok | Outcome::NotSent | Outcome::Miss => return None,
            // An origin in trouble must not eject the parents, which still hold much (i24eb3c).
            _ if end.note == Note::OriginFailed => return None,
            _ if matches!(note, Note::SourceRefused | Note::SourceFailed) => (source, false),
            // Without full notes, a refused fill counts against its source first: a dead parent makes every
            // cache look full, and three refusals without a fill in between eject it.
            Outcome::Full if source_suspect => (source, false),
            Outcome::Full => return Some(node),
            Outcome::ConnectFailed => (node, true),
            // A broken connection does not prove that a node is down: a dead node refuses the next one.
            Outcome::Reset => (node, false),
            Outcome::Cancelled if attempt.cancelled => return None,
            Outcome::Error | Outcome::TimedOut | Outcome::Cancelled => (node, false),
        };
        let reset = end.outcome == Outcome::Reset;
        let Some(record) = self.nodes.get_mut(&culprit) else { return Some(culprit) };
        record.consecutive_failures += u32::from(!reset || now - record.last_reset > RESET_WINDOW);
        record.last_reset = if reset { now } else { record.last_reset };
        let eject = proof || record.consecutive_failures >= EJECTION_FAILURES;
        if eject {
            record.eject(now);
        }
        Some(culprit).filter(|_| eject || !reset)
    }

    /// Returns how long an answer may take before it counts as lost.
    fn lost_after(&self, now: f64, choice: &Choice, attempt: usize) -> f64 {
        let crowding = self.nodes.get(&choice.node).map_or(1.0, |k| self.crowding(k));
        let full = crowding.max(self.zone_slowdown()) > 1.0;
        let losing = self.answers_lost.value(now) > LOSS_RATIO * self.answers_received.value(now);
        let (timeout, expected) = if full {
            (LOST_ON_FULL_LINK, choice.miss_latency)
        } else if attempt == 0 && losing {
            (LOST_WHILE_LOSING, if choice.believed { choice.latency } else { choice.miss_latency })
        } else {
            (LOST_ON_FREE_LINK, choice.miss_latency)
        };
        timeout.factor * expected + timeout.margin
    }

    /// Returns when an answer that was due then has come, if a stall of its node or of this front held it up.
    fn caught_up_at(&self, node: NodeId, due: f64) -> f64 {
        let caught_up = self.nodes.get(&node).map_or(f64::MIN, |k| k.stalls.caught_up_at(due));
        caught_up.max(self.stalls.caught_up_at())
    }

    /// Checks an attempt that takes longer than expected.
    fn check_attempt(&mut self, now: f64, token: u64, actions: &mut Vec<Action>) {
        let (id, number) = (RequestId((token >> 16) as u32), (token & 0xffff) as usize);
        let Some(open) = self.open.get(&id).filter(|p| !p.done) else { return };
        let class = usize::from(open.request.class.0);
        let attempt = open.attempts.get(number);
        let Some(&attempt) = attempt.filter(|a| a.in_flight && !a.streaming && !a.cancelled) else { return };
        self.stalls.record_timer(attempt.check_at);
        // Silence counts against a node only if others answered meanwhile: otherwise everything stalls.
        let Choice { node, source, believed, .. } = attempt.choice;
        let others = self.last_answer > attempt.sent_at;
        let silent =
            |id| others && self.nodes.get(&id).is_some_and(|k| k.stalls.last_answer() <= attempt.sent_at);
        let suspects = [Some(node), Some(source).filter(|_| !believed)];
        let patient_until = attempt.sent_at + PATIENCE_FACTOR * attempt.choice.latency + PATIENCE_MARGIN;
        let overdue = now + TIMER_TOLERANCE > patient_until;
        let culprit = suspects.into_iter().flatten().find(|&id| overdue && silent(id));
        // An answer is lost if nothing of it came while the node answers later attempts: no node is at fault,
        // and the request is sent again.
        let due = attempt.sent_at + self.lost_after(now, &attempt.choice, number);
        let lost = now + TIMER_TOLERANCE > due
            && self.nodes.get(&node).is_some_and(|k| k.newest_answered > attempt.sent_at);
        if culprit.is_none() && !lost {
            let times = [due, patient_until].into_iter().filter(|&at| at > now + TIMER_TOLERANCE);
            let after = times.reduce(f64::min).map_or(RECHECK_DELAY, |at| at - now);
            return self.check_later(now, id, number, after, actions);
        }
        // Answers that a stall held up arrive together after it: one that is late then is no sign of a fault.
        let after = self.caught_up_at(node, if lost { due } else { patient_until }) - now;
        if after > TIMER_TOLERANCE && attempt.deferrals < MAX_DEFERRALS {
            if let Some(open) = self.open.get_mut(&id) {
                open.attempts[number].deferrals += 1;
            }
            return self.check_later(now, id, number, after, actions);
        }
        self.answers_lost.add(now, f64::from(u8::from(lost)));
        if let Some(k) = culprit.and_then(|c| self.nodes.get_mut(&c)) {
            k.eject(now);
        }
        // Its transfer has lasted this long at least.
        let work = self.work(&self.open[&id].request);
        let loaded = self.slowdown_and_crowding(node);
        if let Some((k, (slowdown, crowding))) = self.nodes.get_mut(&node).zip(loaded) {
            let transfer = now - attempt.sent_at - (attempt.choice.latency - work * slowdown).max(0.0);
            k.pace.record(now, transfer, work * crowding);
        }
        // Where only one attempt may be in flight, the next is sent when the cancelled one has ended.
        let repeats = match self.settings.classes[class].effect {
            Effect::Safe => true,
            Effect::Keyed(scope) => culprit.is_none() && scope == Scope::All,
            Effect::Unsafe => false,
        };
        let Some(open) = self.open.get_mut(&id).filter(|_| repeats && self.settings.cancel) else { return };
        open.avoid.extend(culprit);
        open.attempts[number].cancelled = true;
        actions.push(Action::Cancel { request: id, attempt: number as u16 });
        if self.settings.concurrent_attempts {
            self.decide(now, id, actions);
        }
    }

    // ---- Usability: health and slow start ----

    /// Returns whether a node may get an attempt, or be the source of one, now.
    fn is_usable(&self, now: f64, open: &OpenRequest, id: NodeId, work: f64) -> bool {
        let Some(k) = self.nodes.get(&id).filter(|k| k.listed) else { return false };
        let may_try = k.ejection.is_none_or(|e| now >= e.trial_at);
        !open.avoid.contains(&id) && may_try && self.has_budget(now, k, work)
    }

    /// Returns the recent work of a cache per unit of its link, of which a cold one has only a share yet.
    fn relative_load(&self, now: f64, start: &SlowStart, id: NodeId) -> f64 {
        let record = &self.nodes[&id];
        record.recent_work.decayed(now)
            / (record.size * start.capacity_share(now, record.info.ready_at).max(0.01))
    }

    /// Returns whether a cold node's budget admits this much more work. What the nodes of its tier carry in
    /// the mean, for all directors together, stands in for its link where that is unknown.
    fn has_budget(&self, now: f64, node: &NodeRecord, work: f64) -> bool {
        let settings = &self.settings;
        let parent = Some(node.info.kind) == settings.parent_kind;
        let start = SlowStart::from_settings(settings, parent);
        let ready_at = node.info.ready_at;
        if start.capacity_share(now, ready_at) >= 1.0 {
            return true;
        }
        let (mean_load, rate) = if parent {
            (self.parent_links.work_rate / self.parents.parent_count().max(1.0), f64::INFINITY)
        } else {
            let ejected = self.edges.iter().filter(|e| self.nodes[*e].ejection.is_some()).count();
            let takers = (self.edges.len() - ejected).max(1) as f64;
            let recent_rate = self.edge_links.work_rate / work.max(1e-3);
            let mean_load = self.edge_links.work_rate / self.edges.len().max(1) as f64;
            (mean_load, self.popularity.rate(now).max(recent_rate) / takers)
        };
        let estimate = (start.sharers * mean_load).max(MIN_COLD_LINK);
        let link = if settings.weights_are_link_sizes { node.info.weight } else { estimate };
        let recent = node.warming_work.iter().filter(|x| x.0 + settings.overload_window > now);
        let recent_work = recent.map(|x| x.1).sum();
        let seed = node.info.id.0 ^ u64::from(settings.director_number) << 32;
        start.admits(SlowStartRequest { now, ready_at, link, work, recent_work, rate, seed })
    }
}

/// How an attempt ended.
struct AttemptEnd {
    outcome: Outcome,
    took: f64,
    done: bool,
    note: Note,
    source_wait: f64,
}

impl NodeRecord {
    fn new(info: Node, director: u16) -> Self {
        let (latency, never) = (INITIAL_LATENCY, f64::MIN);
        let pace = CachePace::new(unit_hash(info.id.0, u64::from(director)));
        Self { info, latency, pace, size: 1.0, newest_answered: never, last_reset: never, ..Self::default() }
    }

    /// Returns what fills from it take beyond hits, as far as that still counts: old congestion is over.
    fn fill_latency(&self, now: f64) -> f64 {
        let weight = fade(self.latency_at + FILL_LATENCY_HOLD, now).min(1.0);
        INITIAL_LATENCY + (self.latency - INITIAL_LATENCY) * weight
    }

    fn eject(&mut self, now: f64) {
        let pause = self.ejection.map_or(MIN_EJECTION, |e| (2.0 * e.pause).min(MAX_EJECTION));
        self.ejection = Some(Ejection { trial_at: now + pause, pause });
    }

    /// Counts an attempt; a trial attempt postpones the next one.
    fn count_attempt(&mut self, now: f64, work: f64, window: f64) {
        if let Some(e) = self.ejection.as_mut().filter(|e| now >= e.trial_at) {
            e.trial_at = now + e.pause;
        }
        if self.info.ready_at > 0.0 {
            self.warming_work.push_back((now, work));
            while self.warming_work.pop_front_if(|s| s.0 + window <= now).is_some() {}
        }
    }
}
