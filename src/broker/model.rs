//! A model of what the core owes and has out, against which random steps are checked, with the real
//! director. Fixed seed, no sockets, no clock but the test's.

use super::*;
use crate::interface::{Effect as Allowed, Outcome};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Miss,
    Outcome::Full,
    Outcome::Error,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::NotSent,
];
/// How long a node may take to hear that an attempt was given up.
const PROPAGATION_SECONDS: f64 = 0.01;
/// Edges 0 to 3, a parent, the origin.
const NODES: u64 = 6;

fn member(id: u64, state: NodeState) -> Member {
    let (kind, zone) = if id < 4 { (0, 1) } else { (id as u16 - 3, 0) };
    let node = Node { id: NodeId(id), state, kind, zone: ZoneId(zone), weight: 8.0, ..Node::default() };
    Member { node, address: SocketAddr::from(([127, 0, 0, 1], 4100 + id as u16)) }
}

fn broker(contracts: Contracts) -> Broker {
    let class = |effect| Class { aim: 1.0, deadline: 2.0, worth: 1.0, effect, ..Class::default() };
    let settings = Settings {
        directors: 1,
        own_zone: ZoneId(1),
        directors_by_zone: vec![0, 1],
        hub_of_zone: vec![ZoneId(0), ZoneId(0)],
        zone_link_kb_per_s: vec![0.0, 50_000.0],
        answer_kb_per_s: 1000.0,
        classes: vec![class(Allowed::Safe), class(Allowed::Unsafe)],
        parent_kind: Some(1),
        origin_kind: 2,
        sibling_sources: SiblingScope::Zone,
        cancel: true,
        max_attempts: 8,
        max_retry_after: 0.5,
        purge_settle_time: 6.0,
        ..Settings::default()
    };
    let (class_names, contracts) = (vec!["safe".into(), "unsafe".into()], Rc::new(contracts));
    let mut broker = Broker::new(Setup {
        seed: 7,
        settings,
        metrics: super::Metrics::new(class_names.clone()),
        class_names,
        contracts,
        memory: Ledger::unlimited(),
    });
    let members = (0..NODES).map(|id| member(id, NodeState::Ready)).collect();
    broker.apply_update(1000.0, DiscoveryUpdate::NodeList { full: true, members }, true);
    broker
}

#[derive(Debug, Clone)]
enum Step {
    Ask { class: u8, object: u8, tenths: u8 },
    Abort(u8),
    Written(u8),
    End { which: u8, how: u8 },
    Node { id: u8, state: u8 },
    Purge { object: u8, group: bool },
    Pass(u8),
}

struct Out {
    order: Order,
    written: bool,
    cancelled: bool,
}

/// Guards what was taken against SIGKILL, which does not wait for a client's deadline.
#[test]
fn a_core_that_closes_answers_all_before_that() {
    let mut broker = broker(Contracts::default());
    broker.effects().for_each(drop);
    let ask = |broker: &mut Broker, now, tag| {
        let (object, call) = (ObjectId(tag), tag.to_string().into());
        let ask = ClientRequest { object, deadline: now + 60.0, call, ..ClientRequest::default() };
        broker.ask(now, Caller { connection: 1, tag }, ask);
    };
    ask(&mut broker, 1000.0, 1);
    broker.answer_by(1003.0);
    ask(&mut broker, 1000.5, 2);
    let dues: Vec<f64> = broker
        .effects()
        .filter_map(|e| if let Effect::Command(Command::Send(o)) = e { Some(o.due) } else { None })
        .collect();
    assert!(dues.len() == 2 && dues[1] <= 1003.0, "{dues:?}");
    broker.tick(1002.9);
    assert_eq!(broker.pending(), 2);
    // Nobody confirms the withdrawals: that does not hold up the answers.
    broker.tick(1003.0);
    broker.tick(1003.0 + 2.0 * CONFIRM);
    assert_eq!(broker.pending(), 0);
}

/// A request that comes too late for this process was failed, though its client had time left for another.
#[test]
fn what_comes_after_a_core_has_closed_is_refused() {
    let mut broker = broker(Contracts::default());
    broker.answer_by(1003.0);
    broker.effects().for_each(drop);
    let ask = ClientRequest { deadline: 1005.0, call: "1".into(), ..ClientRequest::default() };
    broker.ask(1003.1, Caller { connection: 1, tag: 1 }, ask);
    let effects: Vec<Effect> = broker.effects().collect();
    assert!(matches!(effects[..], [Effect::Answer { answer: Answer::Refused(wait), .. }] if wait > 0.0));
}

/// What the world outside the core knows.
#[derive(Default)]
struct World {
    now: f64,
    /// Callers whose answer is owed, with their deadlines and classes.
    owed: BTreeMap<u64, (f64, u16)>,
    out: BTreeMap<(u32, u16), Out>,
    /// Of requests of the unsafe class: callers of which an attempt may have run.
    ran: BTreeSet<u64>,
    states: Vec<NodeState>,
    /// Bytes that a cache node has just given, the only ones that may be served.
    given: Option<Vec<u8>>,
    /// Attempts that were given up on the wire, and until when their nodes may not have heard of it.
    unheard: BTreeMap<(u32, u16), f64>,
}

impl World {
    /// Checks and books what the core wants done; connections confirm a cancel at once, and nodes hear of it later.
    fn watch(&mut self, broker: &mut Broker) -> Result<(), TestCaseError> {
        loop {
            let effects: Vec<Effect> = broker.effects().collect();
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects {
                match effect {
                    Effect::Command(Command::Send(order)) => {
                        let key = (order.attempt_id.request.0, order.attempt_id.attempt);
                        prop_assert!(self.out.keys().all(|k| k.0 != key.0), "two attempts out for {:?}", key);
                        let unheard = self.unheard.iter().any(|(k, until)| k.0 == key.0 && *until > self.now);
                        prop_assert!(
                            !unheard,
                            "the next attempt of {:?} before its node heard of the last",
                            key
                        );
                        let ready = |id: NodeId| self.states[id.0 as usize] == NodeState::Ready;
                        prop_assert!(ready(order.node), "sent to a node that is not ready");
                        prop_assert!(order.source.is_none_or(ready), "filled from a node that is not ready");
                        let caller: u64 = order.request.call.parse().unwrap();
                        let owed = self.owed.get(&caller);
                        prop_assert!(owed.is_some_and(|o| order.due <= o.0 && order.due > self.now));
                        prop_assert!(!self.ran.contains(&caller), "an unsafe request sent twice");
                        self.out.insert(key, Out { order, written: false, cancelled: false });
                    }
                    Effect::Command(Command::Cancel { attempt_id, node }) => {
                        let key = (attempt_id.request.0, attempt_id.attempt);
                        let Some(out) = self.out.get_mut(&key) else { continue };
                        prop_assert_eq!(out.order.node, node);
                        prop_assert!(!std::mem::replace(&mut out.cancelled, true), "cancelled twice");
                        self.end(
                            broker,
                            key,
                            if self.out[&key].written { Outcome::Cancelled } else { Outcome::NotSent },
                            false,
                        );
                    }
                    Effect::Command(Command::NodeList { .. }) => {}
                    Effect::Answer { caller, answer } => {
                        let owed = self.owed.remove(&caller.tag);
                        prop_assert!(owed.is_some(), "an answer that is not owed: {:?}", answer);
                        match answer {
                            Answer::Served(content) => prop_assert_eq!(Some(content.body), self.given.take()),
                            Answer::Refused(wait) => {
                                prop_assert!(wait > 0.0, "a refusal says when to come back");
                                prop_assert!(!self.ran.contains(&caller.tag), "refused, and may have run");
                            }
                            Answer::Failed | Answer::DeadlineExceeded => {}
                            other => prop_assert!(false, "{:?} without contracts", other),
                        }
                    }
                }
            }
        }
    }

    /// Ends an attempt; `ours`: since this side closed its connection.
    fn end(&mut self, broker: &mut Broker, key: (u32, u16), outcome: Outcome, ours: bool) {
        let Some(out) = self.out.remove(&key) else { return };
        if out.order.class.as_ref() == "unsafe" && !outcome.never_ran() {
            self.ran.insert(out.order.request.call.parse().unwrap());
        }
        let body = format!("{key:?}").into_bytes();
        let content = (outcome == Outcome::Ok).then(|| Content { body: body.clone(), ..Content::default() });
        self.given = content.is_some().then_some(body);
        let note = if outcome == Outcome::Ok { Note::Hit } else { Note::None };
        let attempt_id = out.order.attempt_id;
        if outcome == Outcome::Cancelled || ours {
            self.unheard.insert(key, self.now + PROPAGATION_SECONDS);
            let propagation = PROPAGATION_SECONDS;
            return broker.report(self.now, Report::Abandoned { attempt_id, outcome, propagation });
        }
        broker
            .report(self.now, Report::AttemptEnded { attempt_id, outcome, note, source_wait: 0.0, content });
    }
}

fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut broker = broker(Contracts::default());
    let states = vec![NodeState::Ready; NODES as usize];
    let mut w = World { now: 1000.0, states, ..World::default() };
    w.watch(&mut broker)?;
    let mut next = 0;
    for step in steps {
        let pick = |which: u8, keys: Vec<(u32, u16)>| {
            (!keys.is_empty()).then(|| keys[usize::from(which) % keys.len()])
        };
        match step {
            Step::Ask { class, object, tenths } => {
                next += 1;
                let deadline = w.now + f64::from(tenths) / 10.0;
                let call = next.to_string().into();
                let (class, object) = (ClassId(class.into()), ObjectId(object.into()));
                let ask = ClientRequest {
                    class,
                    object,
                    group: GroupId(3),
                    deadline,
                    call,
                    ..ClientRequest::default()
                };
                w.owed.insert(next, (deadline, class.0));
                broker.ask(w.now, Caller { connection: 1, tag: next }, ask);
            }
            Step::Abort(which) => {
                let owed: Vec<u64> = w.owed.keys().copied().collect();
                if !owed.is_empty() {
                    let tag = owed[usize::from(which) % owed.len()];
                    w.owed.remove(&tag);
                    broker.abort(w.now, Caller { connection: 1, tag });
                }
            }
            Step::Written(which) => {
                let waiting = w.out.iter().filter(|o| !o.1.written).map(|o| *o.0).collect();
                if let Some(key) = pick(which, waiting) {
                    let out = w.out.get_mut(&key).unwrap();
                    out.written = true;
                    broker.report(w.now, Report::WriteStarted(out.order.attempt_id));
                }
            }
            Step::End { which, how } => {
                if let Some(key) = pick(which, w.out.keys().copied().collect()) {
                    let outcome = OUTCOMES[usize::from(how) % OUTCOMES.len()];
                    w.end(&mut broker, key, outcome, outcome == Outcome::Reset && how > 127);
                }
            }
            Step::Node { id, state } => {
                let id = u64::from(id) % NODES;
                let state =
                    [NodeState::Ready, NodeState::Draining, NodeState::Withdrawn][usize::from(state) % 3];
                w.states[id as usize] = state;
                let before: Vec<_> = w.out.iter().filter(|o| !o.1.written).map(|o| *o.0).collect();
                broker.apply_update(
                    w.now,
                    DiscoveryUpdate::NodeList { full: false, members: vec![member(id, state)] },
                    false,
                );
                w.watch(&mut broker)?;
                // What waits for a connection may not leave for a node that drains, nor name it as a source.
                for out in before.iter().filter_map(|k| w.out.get(k)) {
                    let bears = out.order.node.0 == id || out.order.source == Some(NodeId(id));
                    prop_assert!(!bears || state == NodeState::Ready, "left waiting for {:?}", id);
                }
            }
            Step::Purge { object, group } => {
                let object = (!group).then_some(ObjectId(object.into()));
                let before: Vec<_> = w.out.iter().filter(|o| !o.1.written).map(|o| *o.0).collect();
                broker.apply_update(
                    w.now,
                    DiscoveryUpdate::Purge { object, group: GroupId(3), at: w.now },
                    false,
                );
                w.watch(&mut broker)?;
                for out in before.iter().filter_map(|k| w.out.get(k)) {
                    let bears = object.is_none_or(|o| o == out.order.request.object);
                    prop_assert!(!bears, "left waiting with an age limit from before a purge");
                }
            }
            Step::Pass(tenths) => {
                w.now += f64::from(tenths) / 10.0;
                broker.tick(w.now);
            }
        }
        w.watch(&mut broker)?;
        let late: Vec<_> = w.owed.iter().filter(|o| o.1.0 < w.now - 2e-6).collect();
        if matches!(step, Step::Pass(_)) {
            prop_assert!(late.is_empty(), "unanswered at the deadline: {:?}", late);
        }
        prop_assert_eq!(broker.pending(), w.owed.len());
    }
    for _ in 0..2 {
        w.now += 10.0;
        broker.tick(w.now);
        w.watch(&mut broker)?;
    }
    prop_assert!(w.owed.is_empty() && w.out.is_empty());
    prop_assert!(broker.open.is_empty() && broker.calls.is_empty(), "something is kept of what is over");
    Ok(())
}

#[test]
fn the_core_keeps_the_rules_that_can_be_seen_from_outside() {
    let step = prop_oneof![
        8 => (0u8..2, 0u8..5, 0u8..25).prop_map(|(class, object, tenths)| Step::Ask { class, object, tenths }),
        2 => any::<u8>().prop_map(Step::Abort),
        6 => any::<u8>().prop_map(Step::Written),
        8 => (any::<u8>(), any::<u8>()).prop_map(|(which, how)| Step::End { which, how }),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(id, state)| Step::Node { id, state }),
        2 => (0u8..5, any::<bool>()).prop_map(|(object, group)| Step::Purge { object, group }),
        3 => (0u8..8).prop_map(Step::Pass),
    ];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&vec(step, 1..150), play).unwrap_or_else(|e| panic!("{e}"));
}

fn ask(deadline: f64) -> ClientRequest {
    ClientRequest { deadline, call: "1".into(), object: ObjectId(5), ..ClientRequest::default() }
}

/// Guards against a connection that never confirms a withdrawal: the request is answered all the same.
#[test]
fn a_withdrawal_that_is_not_confirmed_does_not_hold_the_answer_back() {
    let mut b = broker(Contracts::default());
    let caller = Caller { connection: 1, tag: 1 };
    b.ask(1000.0, caller, ask(1001.0));
    b.tick(1001.0);
    assert!(b.effects().any(|e| matches!(e, Effect::Command(Command::Cancel { .. }))));
    b.tick(1001.0 + CONFIRM);
    let answers: Vec<Effect> = b.effects().collect();
    assert!(matches!(answers[..], [Effect::Answer { answer: Answer::DeadlineExceeded, .. }]), "{answers:?}");
}

/// Guards the last moments before a deadline: what is given up then is followed by nothing that its node could meet, and
/// its request is answered when its time is up, without a wait.
#[test]
fn an_attempt_that_is_given_up_just_before_the_deadline_is_the_last() {
    let mut b = broker(Contracts::default());
    b.ask(1000.0, Caller { connection: 1, tag: 1 }, ask(1001.0));
    let ordered = |b: &mut Broker| {
        b.effects()
            .find_map(|e| if let Effect::Command(Command::Send(o)) = e { Some(o.attempt_id) } else { None })
    };
    let attempt_id = ordered(&mut b).unwrap();
    b.report(1000.1, Report::WriteStarted(attempt_id));
    let (outcome, propagation) = (Outcome::Reset, PROPAGATION_SECONDS);
    b.report(1000.995, Report::Abandoned { attempt_id, outcome, propagation });
    assert_eq!(ordered(&mut b), None);
    b.tick(1001.0);
    let effects: Vec<Effect> = b.effects().collect();
    assert!(matches!(effects[..], [Effect::Answer { .. }]), "{effects:?}");
}

/// Budgets and contracts hold for whatever front asks, before the director hears of it.
#[test]
fn teams_are_held_to_their_contracts_and_budgets() {
    let team = Team {
        classes: vec![ClassId(0)],
        requests_per_s: 1.0,
        in_flight: 5,
        bytes_per_s: 1e6,
        ..Team::default()
    };
    let mut b = broker(Contracts(vec![team]));
    let answer = |b: &mut Broker, tag, ask| {
        b.effects().for_each(drop);
        b.ask(1000.0, Caller { connection: 1, tag }, ask);
        b.effects().find_map(|e| if let Effect::Answer { answer, .. } = e { Some(answer) } else { None })
    };
    let ours = || ClientRequest { team: Some(0), ..ask(1001.0) };
    assert_eq!(answer(&mut b, 1, ask(1001.0)), Some(Answer::Forbidden), "no team");
    assert_eq!(answer(&mut b, 2, ClientRequest { class: ClassId(1), ..ours() }), Some(Answer::Forbidden));
    assert_eq!(answer(&mut b, 3, ours()), None, "out");
    assert_eq!(answer(&mut b, 4, ours()), Some(Answer::OverBudget(1.0)));
}

/// A broker that knows one edge and the origin, of which the edge answers one request while another of its answers is
/// held up, for longer than answers get lost in; what it orders then, and afterwards for objects of which it knows nothing.
fn held_up(told: bool) -> (Vec<Effect>, usize) {
    const LATER: u64 = 64;
    const LEARNED_FROM: u64 = 64;
    const BEGAN: f64 = 1010.0;
    let mut broker = broker(Contracts::default());
    let members = [0, NODES - 1].map(|id| member(id, NodeState::Ready)).to_vec();
    broker.apply_update(BEGAN, DiscoveryUpdate::NodeList { full: true, members }, true);
    let ask = |broker: &mut Broker, now: f64, tag: u64| {
        let (object, call) = (ObjectId(tag), tag.to_string().into());
        let ask =
            ClientRequest { object, size_kb: 10.0, deadline: now + 60.0, call, ..ClientRequest::default() };
        broker.ask(now, Caller { connection: 1, tag }, ask);
        let sent =
            |e| if let Effect::Command(Command::Send(order)) = e { Some(order.attempt_id) } else { None };
        broker.effects().find_map(sent)
    };
    let hit = |broker: &mut Broker, now: f64, attempt_id: AttemptId| {
        let (outcome, note, content) = (Outcome::Ok, Note::Hit, Some(Content::default()));
        broker.report(now, Report::AttemptEnded { attempt_id, outcome, note, source_wait: 0.0, content });
        broker.effects().for_each(drop);
    };
    for n in 0..LEARNED_FROM {
        let now = BEGAN - 1.0 + n as f64 * 0.01;
        let attempt_id = ask(&mut broker, now, 1000 + n).unwrap();
        hit(&mut broker, now + 0.002, attempt_id);
    }
    let held = ask(&mut broker, BEGAN, 1).unwrap();
    let other = ask(&mut broker, BEGAN + 0.001, 2).unwrap();
    hit(&mut broker, BEGAN + 0.002, other);
    if told {
        broker.report(BEGAN + 0.003, Report::AwaitingMemory(held));
    }
    (1..=100).for_each(|step| broker.tick(BEGAN + f64::from(step) * 0.01));
    let meanwhile = broker.effects().collect();
    broker.report(BEGAN + 1.0, Report::NoMemory(held));
    broker.effects().for_each(drop);
    let sent = (0..LATER).filter(|n| {
        let now = BEGAN + 1.0 + *n as f64 * 0.001;
        ask(&mut broker, now, 10 + n).map(|attempt_id| hit(&mut broker, now, attempt_id)).is_some()
    });
    (meanwhile, LATER as usize - sent.count())
}

/// Guards those who ask next: what this front holds up is not lost, is not withdrawn, and does not count as a failure of the
/// origin, on whose account requests for what is not known to be held were refused.
#[test]
fn an_answer_that_this_front_holds_up_is_no_lost_one() {
    let (meanwhile, refused) = held_up(true);
    assert!(meanwhile.is_empty(), "{meanwhile:?}");
    assert_eq!(refused, 0);
    // Without the word of it the attempt is withdrawn: so it would be if it had got lost.
    let (meanwhile, _) = held_up(false);
    assert!(meanwhile.iter().any(|e| matches!(e, Effect::Command(Command::Cancel { .. }))), "{meanwhile:?}");
}
