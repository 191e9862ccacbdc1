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

struct Try {
    node: u64,
    at: f64,
    ran: bool,
    out: bool,
}

struct Asked {
    request: Request,
    tries: Vec<Try>,
    answered: bool,
}

/// The world as the rules see it, around one director that may be restarted.
struct World {
    settings: Settings,
    director: Director,
    now: f64,
    next: u32,
    asked: BTreeMap<u32, Asked>,
    alarms: Vec<u64>,
    nodes: BTreeMap<u64, Node>,
    purged: BTreeMap<(bool, u64), f64>,
    log: Vec<Action>,
}

impl World {
    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.director.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match *action {
            Action::Fetch { request, node, source, age, within, .. } => {
                let asked = self.asked.get_mut(&request.0).expect("only requests that were asked");
                assert!(!asked.answered, "nothing is sent after the final answer");
                assert!(self.now < asked.request.expires, "nor after the deadline");
                for who in [node, source] {
                    assert_eq!(self.nodes[&who.0].state, NodeState::Ready, "drains are kept");
                }
                assert_eq!(self.nodes[&node.0].zone, self.settings.own_zone, "caches of the own zone only");
                let class = &self.settings.classes[usize::from(asked.request.class.0)];
                if !self.settings.duplicate {
                    assert!(asked.tries.iter().all(|t| !t.out), "one attempt at a time");
                }
                for t in asked.tries.iter().filter(|t| t.ran) {
                    match class.effect {
                        Effect::Safe => {}
                        Effect::Unsafe => panic!("no effect twice"),
                        Effect::Keyed(_) => {
                            assert_eq!(self.nodes[&t.node].cell, self.nodes[&node.0].cell);
                            assert!(self.now < t.at + class.key_ttl);
                        }
                    }
                }
                let facts = [(true, asked.request.object.0), (false, u64::from(asked.request.group.0))];
                for at in facts.iter().filter_map(|f| self.purged.get(f)) {
                    let since = self.now - at;
                    let fine = age > 0.0 && age <= since.max(0.001) || since >= self.settings.purge_settles;
                    assert!(fine, "an age limit of {age} {since} s after a purge");
                }
                assert!(age.is_finite() && age >= 0.0 && within >= 0.0);
                assert!(asked.tries.len() < usize::from(self.settings.most_tries));
                asked.tries.push(Try { node: node.0, at: self.now, ran: true, out: true });
            }
            Action::Refuse { request, wait } => {
                let asked = self.asked.get_mut(&request.0).expect("only requests that were asked");
                let class = &self.settings.classes[usize::from(asked.request.class.0)];
                if !matches!(class.effect, Effect::Safe | Effect::Keyed(Scope::All)) {
                    assert!(asked.tries.iter().all(|t| !t.ran), "a refusal promises that nothing ran");
                }
                assert!(!asked.answered && (0.0..=self.settings.max_wait).contains(&wait));
                asked.answered = true;
            }
            Action::Fail { request } => {
                let asked = self.asked.get_mut(&request.0).expect("only requests that were asked");
                assert!(!asked.answered, "one final answer");
                asked.answered = true;
            }
            Action::Cancel { request, attempt } => {
                assert!(usize::from(attempt) < self.asked[&request.0].tries.len() && self.settings.cancel);
            }
            Action::Alarm { token, after } => {
                assert!(after > 0.0 && after.is_finite());
                self.alarms.push(token);
            }
            Action::Probe { .. } => assert!(self.settings.probes),
            Action::Tell { .. } => assert!(self.settings.messages),
            Action::Watch { .. } | Action::ReadList => {}
        }
    }

    fn end(&mut self, id: u32, number: usize, outcome: Outcome, note: Note) {
        let now = self.now;
        let asked = self.asked.get_mut(&id).expect("known");
        let t = &mut asked.tries[number];
        t.out = false;
        t.ran = !outcome.never_ran();
        let (node, took) = (NodeId(t.node), now - t.at);
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
        self.asked
            .iter()
            .flat_map(|(id, a)| (0..a.tries.len()).filter(|&i| a.tries[i].out).map(|i| (*id, i)))
            .collect()
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
            Step::Ask { object, left, kb } => {
                self.next += 1;
                let request = Request {
                    id: RequestId(self.next),
                    object: ObjectId(u64::from(object) + 1),
                    group: GroupId(u32::from(object) % 3),
                    class: ClassId(u16::from(object) % 3),
                    expires: self.now + f64::from(left) / 1000.0,
                    kb: f64::from(kb),
                    ..Request::default()
                };
                self.asked.insert(self.next, Asked { request, tries: Vec::new(), answered: false });
                self.event(Event::Request(request));
            }
            Step::End { which, how } => {
                let out = self.outstanding();
                let Some(&(id, number)) = out.get(usize::from(which) % out.len().max(1)) else { return };
                let outcomes = [
                    (Outcome::Ok, Note::Hit),
                    (Outcome::Ok, Note::Filled),
                    (Outcome::Ok, Note::FilledFromOrigin),
                    (Outcome::Ok, Note::Joined),
                    (Outcome::Ok, Note::Old),
                    (Outcome::Ok, Note::None),
                    (Outcome::Error, Note::SourceFailed),
                    (Outcome::Error, Note::OriginFailed),
                    (Outcome::Error, Note::None),
                    (Outcome::Full, Note::SourceRefused),
                    (Outcome::Full, Note::NoFillPlace),
                    (Outcome::Full, Note::None),
                    (Outcome::TimedOut, Note::None),
                    (Outcome::ConnectFailed, Note::None),
                    (Outcome::Reset, Note::None),
                    (Outcome::Cancelled, Note::None),
                    (Outcome::Moot, Note::None),
                    (Outcome::Miss, Note::None),
                    (Outcome::Miss, Note::SourceLacks),
                ];
                let (outcome, note) = outcomes[usize::from(how) % outcomes.len()];
                self.end(id, number, outcome, note);
            }
            Step::Fire { which } => {
                let token = match self.alarms.len() {
                    0 => u64::from(which),
                    n => self.alarms.swap_remove(usize::from(which) % n),
                };
                self.event(Event::Alarm { token });
            }
            Step::List { kind, bits } => {
                let kind =
                    [ListKind::Delta, ListKind::Full, ListKind::Cached, ListKind::Failed][usize::from(kind)];
                let mut news = Vec::new();
                for (i, node) in self.nodes.values_mut().enumerate() {
                    let bit = |b: usize| bits >> ((i * 2 + b) % 16) & 1 == 1;
                    if kind == ListKind::Failed || bit(0) && i % 3 == usize::from(bits) % 3 {
                        continue;
                    }
                    node.state = if bit(1) { NodeState::Ready } else { NodeState::Draining };
                    if bits % 5 == 0 {
                        node.ready_at = self.now;
                    }
                    news.push(*node);
                }
                if matches!(kind, ListKind::Full | ListKind::Cached) {
                    let absent = |id: &u64| !news.iter().any(|n| n.id.0 == *id);
                    let gone: Vec<u64> = self.nodes.keys().copied().filter(absent).collect();
                    gone.iter().for_each(|g| self.nodes.get_mut(g).expect("known").state = NodeState::Gone);
                }
                self.event(Event::List { kind, nodes: news.into() });
            }
            Step::Purge { object, whole, age } => {
                let age = f64::from(age) / 10.0;
                let group = GroupId(u32::from(object) % 3);
                let named = u64::from(object) + 1;
                let fact = if whole { (false, u64::from(group.0)) } else { (true, named) };
                let at = self.purged.entry(fact).or_insert(f64::MIN);
                *at = at.max(self.now - age);
                let object = (!whole).then_some(ObjectId(named));
                self.event(Event::Purged { object, group, age });
            }
            Step::Message(ref content) => {
                self.event(Event::Message { from: PeerId(1), content: content.clone() });
                self.event(Event::Probed {
                    node: NodeId(999),
                    outcome: Outcome::Reset,
                    took: 0.1,
                    load: vec![],
                });
            }
            Step::Restart(seed) => {
                // What a killed director held is the client's to repeat; its purges of late are told again.
                self.director = Director::new(seed, self.settings.clone());
                self.asked.clear();
                self.alarms.clear();
                let nodes: Vec<Node> =
                    self.nodes.values().copied().filter(|n| n.state != NodeState::Gone).collect();
                self.event(Event::List { kind: ListKind::Cached, nodes: nodes.into() });
                for (fact, at) in self.purged.clone() {
                    let object = fact.0.then_some(ObjectId(fact.1));
                    let group = GroupId(if fact.0 { ((fact.1 - 1) % 3) as u32 } else { fact.1 as u32 });
                    self.event(Event::Purged { object, group, age: self.now - at });
                }
            }
        }
        self.deadlines();
    }
}

/// What is drawn of the fleet: directors of the zone (zero is legal), whether parents are cold, notes.
type Fleet = (u16, bool, bool);

fn play(duplicate: bool, (here, cold, told): Fleet, steps: &[Step]) -> Vec<Action> {
    let mut settings = settings();
    settings.duplicate = duplicate;
    settings.directors = here.saturating_mul(20);
    settings.directors_by_zone = vec![0, 0, here, here, 1];
    settings.notes = if told { Notes::All } else { Notes::Hit };
    let cold_parent = |id| Node { ready_at: if cold { 49.0 } else { 0.0 }, ..parent(id) };
    settings.report_fields = vec!["busy".into(), "x1".into()];
    let base = settings.classes[0].clone();
    settings.classes.push(Class { effect: Effect::Unsafe, ..base.clone() });
    settings.classes.push(Class {
        effect: Effect::Keyed(Scope::Cell),
        key_ttl: 1.0,
        fresh: 2.0,
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
        next: 0,
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
