//! Property tests on random legal event sequences: the rules that are visible in the actions hold on each of
//! them.

mod common;
use common::*;
use onyxyoke::Director;
use onyxyoke::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
enum Step {
    /// Advances the clock (ms).
    Advance(u16),
    /// Issues a request that expires in `ttl_ms`.
    Request {
        object: u8,
        ttl_ms: u16,
        kb: u16,
    },
    /// Ends one of the attempts in flight with an entry of [`ENDINGS`].
    EndAttempt {
        index: u8,
        ending: u8,
    },
    FireTimer {
        index: u8,
    },
    List {
        kind: u8,
        bits: u16,
    },
    /// Purges an object or its whole group, `age` tenths of a second ago.
    Purge {
        object: u8,
        whole_group: bool,
        age: u8,
    },
    Message(Vec<u8>),
    Restart(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u16..400).prop_map(Step::Advance),
        8 => (0u8..12, 0u16..3000, 0u16..900)
            .prop_map(|(object, ttl_ms, kb)| Step::Request { object, ttl_ms, kb }),
        10 => (any::<u8>(), 0u8..19).prop_map(|(index, ending)| Step::EndAttempt { index, ending }),
        6 => any::<u8>().prop_map(|index| Step::FireTimer { index }),
        2 => (0u8..4, any::<u16>()).prop_map(|(kind, bits)| Step::List { kind, bits }),
        1 => (0u8..12, any::<bool>(), 0u8..80)
            .prop_map(|(object, whole_group, age)| Step::Purge { object, whole_group, age }),
        1 => proptest::collection::vec(any::<u8>(), 0..20).prop_map(Step::Message),
        1 => any::<u64>().prop_map(Step::Restart),
    ]
}

/// Outcomes of an attempt, each with the note that comes with it.
const ENDINGS: [(Outcome, Note); 19] = [
    (Outcome::Ok, Note::Hit),
    (Outcome::Ok, Note::Filled),
    (Outcome::Ok, Note::FilledFromOrigin),
    (Outcome::Ok, Note::Joined),
    (Outcome::Ok, Note::Stale),
    (Outcome::Ok, Note::None),
    (Outcome::Error, Note::SourceFailed),
    (Outcome::Error, Note::OriginFailed),
    (Outcome::Error, Note::None),
    (Outcome::Full, Note::SourceRefused),
    (Outcome::Full, Note::NoFillSlot),
    (Outcome::Full, Note::None),
    (Outcome::TimedOut, Note::None),
    (Outcome::ConnectFailed, Note::None),
    (Outcome::Reset, Note::None),
    (Outcome::Cancelled, Note::None),
    (Outcome::NotSent, Note::None),
    (Outcome::Miss, Note::None),
    (Outcome::Miss, Note::SourceMiss),
];

const LIST_KINDS: [ListKind; 4] = [ListKind::Delta, ListKind::Full, ListKind::Cached, ListKind::Failed];

struct Attempt {
    node: u64,
    sent_at: f64,
    may_have_run: bool,
    in_flight: bool,
}

/// A request with its attempts so far.
struct RequestState {
    request: Request,
    attempts: Vec<Attempt>,
    /// Whether it has had its final answer.
    answered: bool,
}

/// Fields of a fetch action that the rules check.
#[derive(Clone, Copy)]
struct FetchOrder {
    request: RequestId,
    node: NodeId,
    source: NodeId,
    age: f64,
    within: f64,
}

/// Model of the system around one director, which may be restarted.
struct Model {
    settings: Settings,
    director: Director,
    now: f64,
    last_request: u32,
    requests: BTreeMap<u32, RequestState>,
    /// Tokens of the timers that are set.
    timers: Vec<u64>,
    nodes: BTreeMap<u64, Node>,
    /// Time of the last purge of each object and group.
    purged_at: BTreeMap<PurgeScope, f64>,
    log: Vec<Action>,
}

/// Checks of the rules on each action.
impl Model {
    fn check(&mut self, action: &Action) {
        match *action {
            Action::Fetch { request, node, source, age, within, .. } => {
                self.check_fetch(FetchOrder { request, node, source, age, within });
            }
            Action::Refuse { request, wait } => self.check_refusal(request, wait),
            Action::Fail { request } => self.check_failure(request),
            Action::Cancel { request, attempt } => self.check_cancel(request, attempt),
            Action::SetTimer { token, after } => self.check_timer(token, after),
            Action::Probe { .. } => assert!(self.settings.probes),
            Action::SendMessage { .. } => assert!(self.settings.messages),
            Action::Watch { .. } | Action::ReadList => {}
        }
    }

    fn request_state(&self, request: RequestId) -> &RequestState {
        self.requests.get(&request.0).expect("an action names a known request")
    }

    fn request_state_mut(&mut self, request: RequestId) -> &mut RequestState {
        self.requests.get_mut(&request.0).expect("an action names a known request")
    }

    fn class(&self, state: &RequestState) -> &Class {
        &self.settings.classes[usize::from(state.request.class.0)]
    }

    fn check_fetch(&mut self, order: FetchOrder) {
        let state = self.request_state(order.request);
        assert!(!state.answered, "an attempt is sent after the final answer");
        assert!(self.now < state.request.expires, "an attempt is sent after the deadline");
        self.check_nodes(order);
        if !self.settings.concurrent_attempts {
            assert!(state.attempts.iter().all(|attempt| !attempt.in_flight), "two attempts are in flight");
        }
        self.check_effects(state, order.node);
        self.check_age_limit(state, order.age);
        assert!(order.age.is_finite() && order.age >= 0.0 && order.within >= 0.0);
        assert!(state.attempts.len() < usize::from(self.settings.max_attempts));
        let attempt = Attempt { node: order.node.0, sent_at: self.now, may_have_run: true, in_flight: true };
        self.request_state_mut(order.request).attempts.push(attempt);
    }

    fn check_nodes(&self, order: FetchOrder) {
        for node in [order.node, order.source] {
            assert_eq!(self.nodes[&node.0].state, NodeState::Ready, "only ready nodes are used");
        }
        let zone = self.nodes[&order.node.0].zone;
        assert_eq!(zone, self.settings.own_zone, "only caches of the own zone are used");
    }

    /// A request that may have run is sent again only where that has no second effect.
    fn check_effects(&self, state: &RequestState, node: NodeId) {
        let class = self.class(state);
        for attempt in state.attempts.iter().filter(|attempt| attempt.may_have_run) {
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("an unsafe request may have its effect twice"),
                Effect::Keyed(_) => {
                    assert_eq!(self.nodes[&attempt.node].cell, self.nodes[&node.0].cell);
                    assert!(self.now < attempt.sent_at + class.key_ttl);
                }
            }
        }
    }

    /// The age limit excludes copies from before a purge of the object or of its group.
    fn check_age_limit(&self, state: &RequestState, age: f64) {
        let applies = |scope: PurgeScope| match (scope, state.request.group) {
            (PurgeScope::Object(object), _) => object == state.request.object,
            (PurgeScope::Group(purged), Some(group)) => purged == group,
            // The request does not name its group, which may be any.
            (PurgeScope::Group(_), None) => true,
        };
        for at in self.purged_at.iter().filter(|(scope, _)| applies(**scope)).map(|(_, at)| at) {
            let since = self.now - at;
            let limit_suffices =
                age > 0.0 && age <= since.max(0.001) || since >= self.settings.purge_settle_time;
            assert!(limit_suffices, "an age limit of {age} {since} s after a purge");
        }
    }

    fn check_refusal(&mut self, request: RequestId, wait: f64) {
        let state = self.request_state(request);
        if !matches!(self.class(state).effect, Effect::Safe | Effect::Keyed(Scope::All)) {
            let nothing_ran = state.attempts.iter().all(|attempt| !attempt.may_have_run);
            assert!(nothing_ran, "a refusal is sent for a request that may have run");
        }
        assert!(!state.answered && (0.0..=self.settings.max_retry_after).contains(&wait));
        self.request_state_mut(request).answered = true;
    }

    fn check_failure(&mut self, request: RequestId) {
        let state = self.request_state_mut(request);
        assert!(!state.answered, "a request gets a second final answer");
        state.answered = true;
    }

    fn check_cancel(&self, request: RequestId, attempt: u16) {
        assert!(usize::from(attempt) < self.requests[&request.0].attempts.len() && self.settings.cancel);
    }

    fn check_timer(&mut self, token: u64, after: f64) {
        assert!(after > 0.0 && after.is_finite());
        self.timers.push(token);
    }
}

/// Events that happen to the director.
impl Model {
    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.director.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn end(&mut self, id: u32, number: usize, outcome: Outcome, note: Note) {
        let now = self.now;
        let state = self.requests.get_mut(&id).expect("a known request");
        let attempt = &mut state.attempts[number];
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        let (node, took) = (NodeId(attempt.node), now - attempt.sent_at);
        state.answered |= outcome == Outcome::Ok;
        let done = state.answered;
        let load = vec![0.5, 2.0];
        self.event(Event::AttemptEnd {
            request: RequestId(id),
            attempt: number as u16,
            node,
            outcome,
            took,
            done,
            note,
            source_wait: 0.0,
            load,
        });
    }

    /// Request and number of each attempt in flight.
    fn attempts_in_flight(&self) -> Vec<(u32, usize)> {
        let in_flight = |(id, state): (&u32, &RequestState)| -> Vec<(u32, usize)> {
            let numbers = (0..state.attempts.len()).filter(|&number| state.attempts[number].in_flight);
            numbers.map(|number| (*id, number)).collect()
        };
        self.requests.iter().flat_map(in_flight).collect()
    }

    /// Ends each attempt whose deadline has passed with a timeout, as hosts do.
    fn time_out_expired(&mut self) {
        let mut due = self.attempts_in_flight();
        due.retain(|(id, _)| self.requests[id].request.expires <= self.now);
        for (id, number) in due {
            self.end(id, number, Outcome::TimedOut, Note::None);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.now += f64::from(ms) / 1000.0,
            Step::Request { object, ttl_ms, kb } => self.issue_request(object, ttl_ms, kb),
            Step::EndAttempt { index, ending } => {
                if !self.end_attempt(index, ending) {
                    return;
                }
            }
            Step::FireTimer { index } => self.fire_timer(index),
            Step::List { kind, bits } => self.list(LIST_KINDS[usize::from(kind)], bits),
            Step::Purge { object, whole_group, age } => self.purge(object, whole_group, age),
            Step::Message(ref content) => self.message(content),
            Step::Restart(seed) => self.restart(seed),
        }
        self.time_out_expired();
    }

    fn issue_request(&mut self, object: u8, ttl_ms: u16, kb: u16) {
        self.last_request += 1;
        let request = Request {
            id: RequestId(self.last_request),
            object: ObjectId(u64::from(object) + 1),
            // Objects 3, 7 and 11 are asked for without their group.
            group: (object % 4 != 3).then_some(GroupId(u32::from(object) % 3)),
            class: ClassId(u16::from(object) % 3),
            expires: self.now + f64::from(ttl_ms) / 1000.0,
            kb: f64::from(kb),
            ..Request::default()
        };
        let state = RequestState { request, attempts: Vec::new(), answered: false };
        self.requests.insert(self.last_request, state);
        self.event(Event::Request(request));
    }

    /// Ends one of the attempts in flight. Returns false if there is none.
    fn end_attempt(&mut self, index: u8, ending: u8) -> bool {
        let in_flight = self.attempts_in_flight();
        let index = usize::from(index) % in_flight.len().max(1);
        let Some(&(id, number)) = in_flight.get(index) else { return false };
        let (outcome, note) = ENDINGS[usize::from(ending) % ENDINGS.len()];
        self.end(id, number, outcome, note);
        true
    }

    /// Fires one of the timers that are set or, without one, a timer with an unknown token.
    fn fire_timer(&mut self, index: u8) {
        let token = match self.timers.len() {
            0 => u64::from(index),
            n => self.timers.swap_remove(usize::from(index) % n),
        };
        self.event(Event::TimerFired { token });
    }

    fn list(&mut self, kind: ListKind, bits: u16) {
        let nodes = if kind == ListKind::Failed { Vec::new() } else { self.change_nodes(bits) };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.remove_absent(&nodes);
        }
        self.event(Event::List { kind, nodes: nodes.into() });
    }

    /// Changes the nodes that the bits choose, and returns them.
    fn change_nodes(&mut self, bits: u16) -> Vec<Node> {
        let mut changed = Vec::new();
        for (i, node) in self.nodes.values_mut().enumerate() {
            let bit = |b: usize| bits >> ((i * 2 + b) % 16) & 1 == 1;
            if bit(0) && i % 3 == usize::from(bits) % 3 {
                continue;
            }
            node.state = if bit(1) { NodeState::Ready } else { NodeState::Draining };
            if bits.is_multiple_of(5) {
                node.ready_at = self.now;
            }
            changed.push(*node);
        }
        changed
    }

    /// Withdraws the nodes that a full list lacks.
    fn remove_absent(&mut self, listed: &[Node]) {
        let absent = |node: &&mut Node| !listed.iter().any(|other| other.id == node.id);
        for node in self.nodes.values_mut().filter(absent) {
            node.state = NodeState::Withdrawn;
        }
    }

    fn purge(&mut self, object: u8, whole_group: bool, age: u8) {
        let age = f64::from(age) / 10.0;
        let scope = match whole_group {
            true => PurgeScope::Group(GroupId(u32::from(object) % 3)),
            false => PurgeScope::Object(ObjectId(u64::from(object) + 1)),
        };
        let at = self.purged_at.entry(scope).or_insert(f64::MIN);
        *at = at.max(self.now - age);
        self.event(Event::Purged { scope, age });
    }

    /// Delivers a message of a peer and the failure of a probe that was never sent.
    fn message(&mut self, content: &[u8]) {
        self.event(Event::Message { from: PeerId(1), content: content.to_vec() });
        let (node, outcome) = (NodeId(999), Outcome::Reset);
        self.event(Event::ProbeEnd { node, outcome, took: 0.1, load: vec![] });
    }

    /// Replaces the director as after a crash: clients repeat their requests, and the host repeats the recent
    /// purges.
    fn restart(&mut self, seed: u64) {
        self.director = Director::new(seed, self.settings.clone());
        self.requests.clear();
        self.timers.clear();
        let listed = self.nodes.values().copied().filter(|node| node.state != NodeState::Withdrawn);
        let nodes: Vec<Node> = listed.collect();
        self.event(Event::List { kind: ListKind::Cached, nodes: nodes.into() });
        for (scope, at) in self.purged_at.clone() {
            self.event(Event::Purged { scope, age: self.now - at });
        }
    }
}

/// Random properties of the fleet: number of directors in the zone (zero is legal), whether parents are cold,
/// and whether notes carry all details.
type Fleet = (u16, bool, bool);

/// Runs the steps against a new model and returns all actions of the director.
fn run_steps(concurrent_attempts: bool, (directors, cold, all_notes): Fleet, steps: &[Step]) -> Vec<Action> {
    let mut settings = settings();
    settings.concurrent_attempts = concurrent_attempts;
    settings.directors = directors.saturating_mul(20);
    settings.directors_by_zone = vec![0, 0, directors, directors, 1];
    settings.note_detail = if all_notes { NoteDetail::All } else { NoteDetail::Hit };
    let cold_parent = |id| Node { ready_at: if cold { 49.0 } else { 0.0 }, ..parent(id) };
    settings.report_fields = vec!["busy".into(), "x1".into()];
    let base = settings.classes[0].clone();
    settings.classes.push(Class { effect: Effect::Unsafe, ..base.clone() });
    settings.classes.push(Class {
        effect: Effect::Keyed(Scope::Cell),
        key_ttl: 1.0,
        fresh_for: 2.0,
        grace: 2.0,
        ..base
    });
    let nodes = [
        Node { cell: 1, ..edge(10) },
        Node { cell: 1, ..edge(11) },
        Node { cell: 2, ..edge(12) },
        cold_parent(20),
        cold_parent(21),
        Node { zone: ZoneId(3), ..edge(22) },
        origin(30),
    ];
    let mut model = Model {
        director: Director::new(3, settings.clone()),
        settings,
        now: 50.0,
        last_request: 0,
        requests: BTreeMap::new(),
        timers: Vec::new(),
        nodes: nodes.iter().map(|n| (n.id.0, *n)).collect(),
        purged_at: BTreeMap::new(),
        log: Vec::new(),
    };
    model.event(Event::List { kind: ListKind::Cached, nodes: nodes.into() });
    for step in steps {
        model.step(step);
    }
    model.now += 10.0;
    model.time_out_expired();
    let open: Vec<&u32> = model.requests.iter().filter(|r| !r.1.answered).map(|r| r.0).collect();
    assert!(open.is_empty(), "requests without a final answer: {open:?}");
    model.log
}

#[test]
fn rules_hold_on_random_event_sequences_and_actions_are_deterministic() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let fleet = (prop_oneof![Just(0u16), 1u16..3, 3u16..400], any::<bool>(), any::<bool>());
    let strategy = (any::<bool>(), fleet, proptest::collection::vec(step(), 1..250));
    runner
        .run(&strategy, |(concurrent_attempts, fleet, steps)| {
            let first = run_steps(concurrent_attempts, fleet, &steps);
            assert_eq!(first, run_steps(concurrent_attempts, fleet, &steps));
            Ok(())
        })
        .unwrap();
}
