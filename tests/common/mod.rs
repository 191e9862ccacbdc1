//! A harness that drives a director through its interface, with a clock that the test advances.
#![allow(dead_code)]

use onyxyoke::Director;
use onyxyoke::interface::*;

pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;

pub fn settings() -> Settings {
    Settings {
        directors: 2,
        own_zone: ZoneId(2),
        directors_by_zone: vec![0, 0, 1],
        hub_of_zone: vec![ZoneId(0), ZoneId(1), ZoneId(0)],
        zone_link_kb_per_s: vec![0.0, 0.0, 20_000.0],
        answer_kb_per_s: 1000.0,
        classes: vec![Class { aim: 0.6, aim_stretch: 2.0, deadline: 5.0, worth: 1.0, ..Class::default() }],
        parent_kind: Some(PARENT),
        origin_kind: ORIGIN,
        sibling_sources: SiblingScope::Zone,
        note_detail: NoteDetail::All,
        cancel: true,
        concurrent_attempts: true,
        max_attempts: 6,
        max_retry_after: 0.5,
        cold_start_share: 0.2,
        warm_up_time: 10.0,
        overload_multiple: 2.0,
        overload_window: 1.0,
        parent_cold_start_share: 0.1,
        parent_warm_up_time: 20.0,
        parent_overload_multiple: 2.0,
        purge_settle_time: 6.0,
        purge_slack: 0.3,
        answer_slack: 0.01,
        ..Settings::default()
    }
}

pub fn edge(id: u64) -> Node {
    Node { id: NodeId(id), zone: ZoneId(2), weight: 1.0, ..Node::default() }
}

pub fn parent(id: u64) -> Node {
    Node { id: NodeId(id), kind: PARENT, zone: ZoneId(0), ..edge(id) }
}

pub fn origin(id: u64) -> Node {
    Node { id: NodeId(id), kind: ORIGIN, zone: ZoneId(0), ..edge(id) }
}

/// Three edge caches, two parents in their hub and the origin.
pub fn small_fleet() -> Vec<Node> {
    vec![edge(10), edge(11), edge(12), parent(20), parent(21), origin(30)]
}

/// Settings of one of `in_zone` directors that share a zone, out of 20 times as many in all zones.
pub fn with_peers(in_zone: u16) -> Settings {
    Settings { directors: 20 * in_zone, directors_by_zone: vec![0, 0, in_zone], ..settings() }
}

/// A director and its clock.
pub struct DirectorHarness {
    pub director: Director,
    /// The time that is passed with each event (seconds).
    pub now: f64,
    /// How long clients wait for an answer (seconds).
    pub patience: f64,
    last_request: u32,
}

/// An attempt that the director ordered.
#[derive(Debug, Clone, Copy)]
pub struct SentAttempt {
    pub id: u32,
    pub node: u64,
    pub source: u64,
    pub age: f64,
    pub only_if_cached: bool,
    pub join: bool,
}

impl DirectorHarness {
    pub fn new(settings: Settings, nodes: &[Node]) -> Self {
        DirectorHarness::seeded(1, settings, nodes)
    }

    pub fn seeded(seed: u64, settings: Settings, nodes: &[Node]) -> Self {
        let mut stage = DirectorHarness {
            director: Director::new(seed, settings),
            now: 100.0,
            patience: 5.0,
            last_request: 0,
        };
        stage.list(ListKind::Cached, nodes);
        stage
    }

    /// Passes an event to the director and returns its actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.director.handle(self.now, event, &mut actions);
        actions
    }

    /// Replaces the list of nodes of a kind.
    pub fn list(&mut self, kind: ListKind, nodes: &[Node]) {
        self.event(Event::List { kind, nodes: nodes.into() });
    }

    /// Sends a request for an object of `kb` kilobytes; returns the request's number and the director's
    /// actions.
    pub fn ask(&mut self, object: u64, kb: f64) -> (u32, Vec<Action>) {
        self.last_request += 1;
        let request = Request {
            id: RequestId(self.last_request),
            object: ObjectId(object),
            group: Some(GroupId(object as u32 % 4)),
            expires: self.now + self.patience,
            kb,
            ..Request::default()
        };
        (self.last_request, self.event(Event::Request(request)))
    }

    /// Sends a request and returns its first attempt; panics if there is none.
    pub fn fetch(&mut self, object: u64, kb: f64) -> SentAttempt {
        let (_, actions) = self.ask(object, kb);
        *sent_attempts(&actions).first().unwrap_or_else(|| panic!("no attempt was ordered: {actions:?}"))
    }

    /// Ends an attempt `took` seconds later.
    pub fn end(
        &mut self,
        sent: SentAttempt,
        number: u16,
        outcome: Outcome,
        note: Note,
        took: f64,
    ) -> Vec<Action> {
        self.now += took;
        self.event(Event::AttemptEnd {
            request: RequestId(sent.id),
            attempt: number,
            node: NodeId(sent.node),
            outcome,
            took,
            done: outcome == Outcome::Ok,
            note,
            source_wait: if matches!(note, Note::Filled | Note::FilledFromOrigin) { 0.02 } else { 0.0 },
            load: Vec::new(),
        })
    }

    /// Fires the timer that was set for the first attempt of a request.
    pub fn fire_first_attempt_timer(&mut self, request: u32) -> Vec<Action> {
        self.event(Event::TimerFired { token: u64::from(request) << 16 })
    }

    /// Lets the deadline of a request pass.
    pub fn expire(&mut self, request: u32) -> Vec<Action> {
        self.event(Event::Expired { request: RequestId(request) })
    }

    /// Requests 400 other objects once each, so that an object which the test requests afterwards is not hot
    /// and has one home.
    pub fn request_many_objects(&mut self) {
        for object in 1_000_000..1_000_400 {
            self.hit(object, 50.0);
        }
    }

    /// Sends a request that is a hit at the cache it is sent to.
    pub fn hit(&mut self, object: u64, kb: f64) -> SentAttempt {
        let sent = self.fetch(object, kb);
        self.end(sent, 0, Outcome::Ok, Note::Hit, kb / 1000.0);
        sent
    }
}

/// The attempts among these actions.
pub fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let attempt = |action: &Action| match *action {
        Action::Fetch { request, node, source, age, options, .. } => Some(SentAttempt {
            id: request.0,
            node: node.0,
            source: source.0,
            age,
            only_if_cached: options.only_if_cached,
            join: options.join,
        }),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// The delay of the first timer that was set (seconds).
pub fn timer_delay(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    })
}

/// Returns whether a request was refused.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

/// Returns whether a request failed.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
