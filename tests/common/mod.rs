//! A small stage for driving a director through its interface.
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

/// Three caches, two parents of their hub and the origin.
pub fn small_fleet() -> Vec<Node> {
    vec![edge(10), edge(11), edge(12), parent(20), parent(21), origin(30)]
}

/// Settings of one of `here` directors that share a zone, of 20 times as many in all.
pub fn with_peers(here: u16) -> Settings {
    Settings { directors: 20 * here, directors_by_zone: vec![0, 0, here], ..settings() }
}

/// A director, and the clock that it is told.
pub struct Stage {
    pub director: Director,
    pub now: f64,
    /// How long clients wait (seconds).
    pub patience: f64,
    next: u32,
}

/// An attempt as it was ordered.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub id: u32,
    pub node: u64,
    pub source: u64,
    pub age: f64,
    pub only_if_cached: bool,
    pub join: bool,
}

impl Stage {
    pub fn new(settings: Settings, nodes: &[Node]) -> Self {
        Stage::seeded(1, settings, nodes)
    }

    pub fn seeded(seed: u64, settings: Settings, nodes: &[Node]) -> Self {
        let mut stage = Stage { director: Director::new(seed, settings), now: 100.0, patience: 5.0, next: 0 };
        stage.list(ListKind::Cached, nodes);
        stage
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.director.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, nodes: &[Node]) {
        self.event(Event::List { kind, nodes: nodes.into() });
    }

    /// A request for an object of `kb`.
    pub fn ask(&mut self, object: u64, kb: f64) -> (u32, Vec<Action>) {
        self.next += 1;
        let request = Request {
            id: RequestId(self.next),
            object: ObjectId(object),
            group: GroupId(object as u32 % 4),
            expires: self.now + self.patience,
            kb,
            ..Request::default()
        };
        (self.next, self.event(Event::Request(request)))
    }

    /// A request that must lead to one attempt.
    pub fn fetch(&mut self, object: u64, kb: f64) -> Sent {
        let (_, actions) = self.ask(object, kb);
        *sent(&actions).first().unwrap_or_else(|| panic!("nothing sent: {actions:?}"))
    }

    pub fn end(&mut self, sent: Sent, number: u16, outcome: Outcome, note: Note, took: f64) -> Vec<Action> {
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

    /// The alarm that was set for the first attempt of a request goes off.
    pub fn first_attempt_alarm(&mut self, request: u32) -> Vec<Action> {
        self.event(Event::TimerFired { token: u64::from(request) << 16 })
    }

    /// The deadline of a request passes.
    pub fn expire(&mut self, request: u32) -> Vec<Action> {
        self.event(Event::Expired { request: RequestId(request) })
    }

    /// Many others were asked for, each once: what a test asks for after that is not hot, and has one home.
    pub fn mixed(&mut self) {
        for object in 1_000_000..1_000_400 {
            self.hit(object, 50.0);
        }
    }

    /// A request that is served from a copy at the cache it was sent to.
    pub fn hit(&mut self, object: u64, kb: f64) -> Sent {
        let sent = self.fetch(object, kb);
        self.end(sent, 0, Outcome::Ok, Note::Hit, kb / 1000.0);
        sent
    }
}

/// The attempts that were ordered.
pub fn sent(actions: &[Action]) -> Vec<Sent> {
    let one = |a: &Action| match *a {
        Action::Fetch { request, node, source, age, options, .. } => Some(Sent {
            id: request.0,
            node: node.0,
            source: source.0,
            age,
            only_if_cached: options.only_if_cached,
            join: options.join,
        }),
        _ => None,
    };
    actions.iter().filter_map(one).collect()
}

/// How long until the first alarm that was asked for (seconds).
pub fn alarm_delay(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
