//! Random legal event sequences: the rules that can be seen from actions hold on each of them.

mod common;
use common::*;
use onyxyoke::Director;
use onyxyoke::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
enum Step {
    Pass(u16),
    Ask { object: u8, left: u16, kb: u16 },
    End { which: u8, how: u8 },
    Fire { which: u8 },
    List { kind: u8, bits: u16 },
    Purge { object: u8, whole: bool, age: u8 },
    Message(Vec<u8>),
    Restart(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u16..400).prop_map(Step::Pass),
        8 => (0u8..12, 0u16..3000, 0u16..900).prop_map(|(object, left, kb)| Step::Ask { object, left, kb }),
        10 => (any::<u8>(), 0u8..19).prop_map(|(which, how)| Step::End { which, how }),
        6 => any::<u8>().prop_map(|which| Step::Fire { which }),
        2 => (0u8..4, any::<u16>()).prop_map(|(kind, bits)| Step::List { kind, bits }),
        1 => (0u8..12, any::<bool>(), 0u8..80).prop_map(|(object, whole, age)| Step::Purge { object, whole, age }),
        1 => proptest::collection::vec(any::<u8>(), 0..20).prop_map(Step::Message),
        1 => any::<u64>().prop_map(Step::Restart),
    ]
}

/// How an attempt may end, and what its note tells.
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

/// An attempt of a request.
struct Attempt {
    node: u64,
    sent_at: f64,
    may_have_run: bool,
    out: bool,
}

/// A request, and what has become of it so far.
struct AskedRequest {
    request: Request,
    attempts: Vec<Attempt>,
    answered: bool,
}

/// What a director sends an attempt with.
#[derive(Clone, Copy)]
struct FetchOrder {
    request: RequestId,
    node: NodeId,
    source: NodeId,
    age: f64,
    within: f64,
}

/// The world as the rules see it, around one director that may be restarted.
struct World {
    settings: Settings,
    director: Director,
    now: f64,
    last_request: u32,
    asked: BTreeMap<u32, AskedRequest>,
    alarms: Vec<u64>,
    nodes: BTreeMap<u64, Node>,
    /// When objects (true) and groups (false) were purged last, by number.
    purged: BTreeMap<(bool, u64), f64>,
    log: Vec<Action>,
}

/// The rules, checked on each action.
impl World {
    fn check(&mut self, action: &Action) {
        match *action {
            Action::Fetch { request, node, source, age, within, .. } => {
                self.check_fetch(FetchOrder { request, node, source, age, within });
            }
            Action::Refuse { request, wait } => self.check_refusal(request, wait),
            Action::Fail { request } => self.check_failure(request),
            Action::Cancel { request, attempt } => self.check_cancel(request, attempt),
            Action::SetTimer { token, after } => self.check_alarm(token, after),
            Action::Probe { .. } => assert!(self.settings.probes),
            Action::SendMessage { .. } => assert!(self.settings.messages),
            Action::Watch { .. } | Action::ReadList => {}
        }
    }

    fn asked(&self, request: RequestId) -> &AskedRequest {
        self.asked.get(&request.0).expect("only requests that were asked")
    }

    fn asked_mut(&mut self, request: RequestId) -> &mut AskedRequest {
        self.asked.get_mut(&request.0).expect("only requests that were asked")
    }

    fn class(&self, asked: &AskedRequest) -> &Class {
        &self.settings.classes[usize::from(asked.request.class.0)]
    }

    fn check_fetch(&mut self, order: FetchOrder) {
        let asked = self.asked(order.request);
        assert!(!asked.answered, "nothing is sent after the final answer");
        assert!(self.now < asked.request.expires, "nor after the deadline");
        self.check_nodes(order);
        if !self.settings.concurrent_attempts {
            assert!(asked.attempts.iter().all(|attempt| !attempt.out), "one attempt at a time");
        }
        self.check_effects(asked, order.node);
        self.check_age_limit(asked, order.age);
        assert!(order.age.is_finite() && order.age >= 0.0 && order.within >= 0.0);
        assert!(asked.attempts.len() < usize::from(self.settings.max_attempts));
        let attempt = Attempt { node: order.node.0, sent_at: self.now, may_have_run: true, out: true };
        self.asked_mut(order.request).attempts.push(attempt);
    }

    fn check_nodes(&self, order: FetchOrder) {
        for who in [order.node, order.source] {
            assert_eq!(self.nodes[&who.0].state, NodeState::Ready, "drains are kept");
        }
        let zone = self.nodes[&order.node.0].zone;
        assert_eq!(zone, self.settings.own_zone, "caches of the own zone only");
    }

    /// What may have run already runs again only where that has no second effect.
    fn check_effects(&self, asked: &AskedRequest, node: NodeId) {
        let class = self.class(asked);
        for attempt in asked.attempts.iter().filter(|attempt| attempt.may_have_run) {
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("no effect twice"),
                Effect::Keyed(_) => {
                    assert_eq!(self.nodes[&attempt.node].cell, self.nodes[&node.0].cell);
                    assert!(self.now < attempt.sent_at + class.key_ttl);
                }
            }
        }
    }

    /// No copy from before a purge of the object or of its group is let through.
    fn check_age_limit(&self, asked: &AskedRequest, age: f64) {
        let facts = [(true, asked.request.object.0), (false, u64::from(asked.request.group.0))];
        for at in facts.iter().filter_map(|fact| self.purged.get(fact)) {
            let since = self.now - at;
            let fine = age > 0.0 && age <= since.max(0.001) || since >= self.settings.purge_settle_time;
            assert!(fine, "an age limit of {age} {since} s after a purge");
        }
    }

    fn check_refusal(&mut self, request: RequestId, wait: f64) {
        let asked = self.asked(request);
        if !matches!(self.class(asked).effect, Effect::Safe | Effect::Keyed(Scope::All)) {
            let nothing_ran = asked.attempts.iter().all(|attempt| !attempt.may_have_run);
            assert!(nothing_ran, "a refusal promises that nothing ran");
        }
        assert!(!asked.answered && (0.0..=self.settings.max_retry_after).contains(&wait));
        self.asked_mut(request).answered = true;
    }

    fn check_failure(&mut self, request: RequestId) {
        let asked = self.asked_mut(request);
        assert!(!asked.answered, "one final answer");
        asked.answered = true;
    }

    fn check_cancel(&self, request: RequestId, attempt: u16) {
        assert!(usize::from(attempt) < self.asked[&request.0].attempts.len() && self.settings.cancel);
    }

    fn check_alarm(&mut self, token: u64, after: f64) {
        assert!(after > 0.0 && after.is_finite());
        self.alarms.push(token);
    }
}

/// What happens.
impl World {
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
        let asked = self.asked.get_mut(&id).expect("known");
        let attempt = &mut asked.attempts[number];
        attempt.out = false;
        attempt.may_have_run = !outcome.never_ran();
        let (node, took) = (NodeId(attempt.node), now - attempt.sent_at);
        asked.answered |= outcome == Outcome::Ok;
        let done = asked.answered;
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

    /// The attempts that are out, by request and number.
    fn outstanding(&self) -> Vec<(u32, usize)> {
        let out = |(id, asked): (&u32, &AskedRequest)| -> Vec<(u32, usize)> {
            let numbers = (0..asked.attempts.len()).filter(|&number| asked.attempts[number].out);
            numbers.map(|number| (*id, number)).collect()
        };
        self.asked.iter().flat_map(out).collect()
    }

    /// Every deadline that has passed brings a time-out, as hosts do.
    fn deadlines(&mut self) {
        let mut due = self.outstanding();
        due.retain(|(id, _)| self.asked[id].request.expires <= self.now);
        for (id, number) in due {
            self.end(id, number, Outcome::TimedOut, Note::None);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(ms) => self.now += f64::from(ms) / 1000.0,
            Step::Ask { object, left, kb } => self.ask(object, left, kb),
            Step::End { which, how } => {
                if !self.end_one(which, how) {
                    return;
                }
            }
            Step::Fire { which } => self.fire(which),
            Step::List { kind, bits } => self.list(LIST_KINDS[usize::from(kind)], bits),
            Step::Purge { object, whole, age } => self.purge(object, whole, age),
            Step::Message(ref content) => self.message(content),
            Step::Restart(seed) => self.restart(seed),
        }
        self.deadlines();
    }

    fn ask(&mut self, object: u8, left: u16, kb: u16) {
        self.last_request += 1;
        let request = Request {
            id: RequestId(self.last_request),
            object: ObjectId(u64::from(object) + 1),
            group: GroupId(u32::from(object) % 3),
            class: ClassId(u16::from(object) % 3),
            expires: self.now + f64::from(left) / 1000.0,
            kb: f64::from(kb),
            ..Request::default()
        };
        let asked = AskedRequest { request, attempts: Vec::new(), answered: false };
        self.asked.insert(self.last_request, asked);
        self.event(Event::Request(request));
    }

    /// Ends one of the attempts that are out; false if there is none.
    fn end_one(&mut self, which: u8, how: u8) -> bool {
        let out = self.outstanding();
        let Some(&(id, number)) = out.get(usize::from(which) % out.len().max(1)) else { return false };
        let (outcome, note) = ENDINGS[usize::from(how) % ENDINGS.len()];
        self.end(id, number, outcome, note);
        true
    }

    /// One of the alarms that are set goes off or, if none is, one that nobody set.
    fn fire(&mut self, which: u8) {
        let token = match self.alarms.len() {
            0 => u64::from(which),
            n => self.alarms.swap_remove(usize::from(which) % n),
        };
        self.event(Event::TimerFired { token });
    }

    fn list(&mut self, kind: ListKind, bits: u16) {
        let news = if kind == ListKind::Failed { Vec::new() } else { self.change_nodes(bits) };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.remove_absent(&news);
        }
        self.event(Event::List { kind, nodes: news.into() });
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

    /// What a whole list lacks is gone.
    fn remove_absent(&mut self, listed: &[Node]) {
        let absent = |node: &&mut Node| !listed.iter().any(|other| other.id == node.id);
        for node in self.nodes.values_mut().filter(absent) {
            node.state = NodeState::Withdrawn;
        }
    }

    fn purge(&mut self, object: u8, whole: bool, age: u8) {
        let age = f64::from(age) / 10.0;
        let group = GroupId(u32::from(object) % 3);
        let named = u64::from(object) + 1;
        let fact = if whole { (false, u64::from(group.0)) } else { (true, named) };
        let at = self.purged.entry(fact).or_insert(f64::MIN);
        *at = at.max(self.now - age);
        let object = (!whole).then_some(ObjectId(named));
        self.event(Event::Purged { object, group, age });
    }

    /// A peer says something, and a probe that nobody sent fails.
    fn message(&mut self, content: &[u8]) {
        self.event(Event::Message { from: PeerId(1), content: content.to_vec() });
        let (node, outcome) = (NodeId(999), Outcome::Reset);
        self.event(Event::ProbeEnd { node, outcome, took: 0.1, load: vec![] });
    }

    /// What a killed director held is the client's to repeat; its purges of late are told again.
    fn restart(&mut self, seed: u64) {
        self.director = Director::new(seed, self.settings.clone());
        self.asked.clear();
        self.alarms.clear();
        let listed = self.nodes.values().copied().filter(|node| node.state != NodeState::Withdrawn);
        let nodes: Vec<Node> = listed.collect();
        self.event(Event::List { kind: ListKind::Cached, nodes: nodes.into() });
        for (fact, at) in self.purged.clone() {
            let object = fact.0.then_some(ObjectId(fact.1));
            let group = GroupId(if fact.0 { ((fact.1 - 1) % 3) as u32 } else { fact.1 as u32 });
            self.event(Event::Purged { object, group, age: self.now - at });
        }
    }
}

/// What is drawn of the fleet: directors of the zone (zero is legal), whether parents are cold, notes.
type Fleet = (u16, bool, bool);

fn play(duplicate: bool, (here, cold, told): Fleet, steps: &[Step]) -> Vec<Action> {
    let mut settings = settings();
    settings.concurrent_attempts = duplicate;
    settings.directors = here.saturating_mul(20);
    settings.directors_by_zone = vec![0, 0, here, here, 1];
    settings.note_detail = if told { NoteDetail::All } else { NoteDetail::Hit };
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
    let mut world = World {
        director: Director::new(3, settings.clone()),
        settings,
        now: 50.0,
        last_request: 0,
        asked: BTreeMap::new(),
        alarms: Vec::new(),
        nodes: nodes.iter().map(|n| (n.id.0, *n)).collect(),
        purged: BTreeMap::new(),
        log: Vec::new(),
    };
    world.event(Event::List { kind: ListKind::Cached, nodes: nodes.into() });
    for step in steps {
        world.step(step);
    }
    world.now += 10.0;
    world.deadlines();
    let open: Vec<&u32> = world.asked.iter().filter(|a| !a.1.answered).map(|a| a.0).collect();
    assert!(open.is_empty(), "requests without a final answer: {open:?}");
    world.log
}

#[test]
fn the_rules_hold_on_random_sequences_and_the_same_events_give_the_same_actions() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let fleet = (prop_oneof![Just(0u16), 1u16..3, 3u16..400], any::<bool>(), any::<bool>());
    let strategy = (any::<bool>(), fleet, proptest::collection::vec(step(), 1..250));
    runner
        .run(&strategy, |(duplicate, fleet, steps)| {
            let first = play(duplicate, fleet, &steps);
            assert_eq!(first, play(duplicate, fleet, &steps));
            Ok(())
        })
        .unwrap();
}
