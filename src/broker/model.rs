//! Checks the broker, with the real director, against a model of the unanswered requests and the attempts in
//! flight, by random steps from a fixed seed. No sockets; the test provides the time.

use super::*;
use crate::interface::{Effect as ClassEffect, Outcome};
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
/// Time that a node may take to read that an attempt was abandoned.
const PROPAGATION_SECONDS: f64 = 0.01;
/// Edge caches 0 to 3, a parent and the origin.
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
        classes: vec![class(ClassEffect::Safe), class(ClassEffect::Unsafe)],
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
    Request { class: u8, object: u8, tenths: u8 },
    Abort(u8),
    Written(u8),
    End { which: u8, how: u8 },
    Node { id: u8, state: u8 },
    Purge { object: u8, group: bool },
    AdvanceTime(u8),
}

/// An attempt in flight.
struct InFlight {
    order: Order,
    written: bool,
    cancelled: bool,
}

/// During shutdown every request is answered before SIGKILL follows, even if its own deadline is later.
#[test]
fn shutdown_answers_open_and_later_requests_by_its_deadline() {
    let mut broker = broker(Contracts::default());
    broker.effects().for_each(drop);
    let send = |broker: &mut Broker, now, tag| {
        let (object, call) = (ObjectId(tag), tag.to_string().into());
        let request = ClientRequest { object, deadline: now + 60.0, call, ..ClientRequest::default() };
        broker.handle_request(now, Caller { connection: 1, tag }, request);
    };
    send(&mut broker, 1000.0, 1);
    broker.answer_by(1003.0);
    send(&mut broker, 1000.5, 2);
    let dues: Vec<f64> = broker
        .effects()
        .filter_map(|e| if let Effect::Command(Command::Send(o)) = e { Some(o.due) } else { None })
        .collect();
    assert!(dues.len() == 2 && dues[1] <= 1003.0, "{dues:?}");
    broker.fire_timers(1002.9);
    assert_eq!(broker.pending(), 2);
    // Unconfirmed cancels must not delay the answers.
    broker.fire_timers(1003.0);
    broker.fire_timers(1003.0 + 2.0 * CANCEL_CONFIRM_SECONDS);
    assert_eq!(broker.pending(), 0);
}

/// A request that arrives after the shutdown deadline is refused rather than failed: its client has time left
/// to retry at another process.
#[test]
fn request_after_the_shutdown_deadline_is_refused() {
    let mut broker = broker(Contracts::default());
    broker.answer_by(1003.0);
    broker.effects().for_each(drop);
    let request = ClientRequest { deadline: 1005.0, call: "1".into(), ..ClientRequest::default() };
    broker.handle_request(1003.1, Caller { connection: 1, tag: 1 }, request);
    let effects: Vec<Effect> = broker.effects().collect();
    assert!(matches!(effects[..], [Effect::Answer { answer: Answer::Refused(wait), .. }] if wait > 0.0));
}

/// The model: what is visible from outside the broker.
#[derive(Default)]
struct World {
    now: f64,
    /// Tags of unanswered requests, with their deadlines and classes.
    unanswered: BTreeMap<u64, (f64, u16)>,
    in_flight: BTreeMap<(u32, u16), InFlight>,
    /// Tags of requests of the unsafe class that may have been executed.
    executed: BTreeSet<u64>,
    states: Vec<NodeState>,
    /// Body of the last cache node's answer, the only one that may be served.
    node_answer: Option<Vec<u8>>,
    /// Abandoned attempts, with the time until which their nodes may not have read that.
    abandoned: BTreeMap<(u32, u16), f64>,
}

impl World {
    /// Checks and applies the broker's effects. Connections confirm a cancel at once; nodes read it later.
    fn check_effects(&mut self, broker: &mut Broker) -> Result<(), TestCaseError> {
        loop {
            let effects: Vec<Effect> = broker.effects().collect();
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects {
                match effect {
                    Effect::Command(Command::Send(order)) => {
                        let key = (order.attempt_id.request.0, order.attempt_id.attempt);
                        prop_assert!(
                            self.in_flight.keys().all(|k| k.0 != key.0),
                            "two attempts in flight for {:?}",
                            key
                        );
                        let node_unaware =
                            self.abandoned.iter().any(|(k, until)| k.0 == key.0 && *until > self.now);
                        prop_assert!(
                            !node_unaware,
                            "the next attempt of {:?} before its node read that the last was abandoned",
                            key
                        );
                        let ready = |id: NodeId| self.states[id.0 as usize] == NodeState::Ready;
                        prop_assert!(ready(order.node), "sent to a node that is not ready");
                        prop_assert!(order.source.is_none_or(ready), "filled from a node that is not ready");
                        let caller: u64 = order.request.call.parse().unwrap();
                        let open = self.unanswered.get(&caller);
                        prop_assert!(open.is_some_and(|o| order.due <= o.0 && order.due > self.now));
                        prop_assert!(!self.executed.contains(&caller), "an unsafe request sent twice");
                        self.in_flight.insert(key, InFlight { order, written: false, cancelled: false });
                    }
                    Effect::Command(Command::Cancel { attempt_id, node }) => {
                        let key = (attempt_id.request.0, attempt_id.attempt);
                        let Some(attempt) = self.in_flight.get_mut(&key) else { continue };
                        prop_assert_eq!(attempt.order.node, node);
                        prop_assert!(!std::mem::replace(&mut attempt.cancelled, true), "cancelled twice");
                        self.end(
                            broker,
                            key,
                            if self.in_flight[&key].written { Outcome::Cancelled } else { Outcome::NotSent },
                            false,
                        );
                    }
                    Effect::Command(Command::NodeList { .. }) => {}
                    Effect::Answer { caller, answer } => {
                        let open = self.unanswered.remove(&caller.tag);
                        prop_assert!(open.is_some(), "an answer that is not due: {:?}", answer);
                        match answer {
                            Answer::Served(content) => {
                                prop_assert_eq!(Some(content.body), self.node_answer.take())
                            }
                            Answer::Refused(wait) => {
                                prop_assert!(wait > 0.0, "a refusal has a retry delay");
                                prop_assert!(
                                    !self.executed.contains(&caller.tag),
                                    "refused, but may have been executed"
                                );
                            }
                            Answer::Failed | Answer::DeadlineExceeded => {}
                            other => prop_assert!(false, "{:?} without contracts", other),
                        }
                    }
                }
            }
        }
    }

    /// Ends an attempt; `closed_by_front`: because this side closed the connection.
    fn end(&mut self, broker: &mut Broker, key: (u32, u16), outcome: Outcome, closed_by_front: bool) {
        let Some(attempt) = self.in_flight.remove(&key) else { return };
        if attempt.order.class.as_ref() == "unsafe" && !outcome.never_ran() {
            self.executed.insert(attempt.order.request.call.parse().unwrap());
        }
        let body = format!("{key:?}").into_bytes();
        let content = (outcome == Outcome::Ok).then(|| Content { body: body.clone(), ..Content::default() });
        self.node_answer = content.is_some().then_some(body);
        let note = if outcome == Outcome::Ok { Note::Hit } else { Note::None };
        let attempt_id = attempt.order.attempt_id;
        if outcome == Outcome::Cancelled || closed_by_front {
            self.abandoned.insert(key, self.now + PROPAGATION_SECONDS);
            let propagation = PROPAGATION_SECONDS;
            return broker.handle_report(self.now, Report::Abandoned { attempt_id, outcome, propagation });
        }
        broker.handle_report(
            self.now,
            Report::AttemptEnded { attempt_id, outcome, note, source_wait: 0.0, content },
        );
    }
}

fn run_steps(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut broker = broker(Contracts::default());
    let states = vec![NodeState::Ready; NODES as usize];
    let mut world = World { now: 1000.0, states, ..World::default() };
    world.check_effects(&mut broker)?;
    let mut next = 0;
    for step in steps {
        let pick = |which: u8, keys: Vec<(u32, u16)>| {
            (!keys.is_empty()).then(|| keys[usize::from(which) % keys.len()])
        };
        match step {
            Step::Request { class, object, tenths } => {
                next += 1;
                let deadline = world.now + f64::from(tenths) / 10.0;
                let call = next.to_string().into();
                let (class, object) = (ClassId(class.into()), ObjectId(object.into()));
                let request = ClientRequest {
                    class,
                    object,
                    // Some requests do not name the group.
                    group: (object.0 % 2 == 0).then_some(GroupId(3)),
                    deadline,
                    call,
                    ..ClientRequest::default()
                };
                world.unanswered.insert(next, (deadline, class.0));
                broker.handle_request(world.now, Caller { connection: 1, tag: next }, request);
            }
            Step::Abort(which) => {
                let unanswered: Vec<u64> = world.unanswered.keys().copied().collect();
                if !unanswered.is_empty() {
                    let tag = unanswered[usize::from(which) % unanswered.len()];
                    world.unanswered.remove(&tag);
                    broker.abort(world.now, Caller { connection: 1, tag });
                }
            }
            Step::Written(which) => {
                let waiting = world.in_flight.iter().filter(|o| !o.1.written).map(|o| *o.0).collect();
                if let Some(key) = pick(which, waiting) {
                    let attempt = world.in_flight.get_mut(&key).unwrap();
                    attempt.written = true;
                    broker.handle_report(world.now, Report::WriteStarted(attempt.order.attempt_id));
                }
            }
            Step::End { which, how } => {
                if let Some(key) = pick(which, world.in_flight.keys().copied().collect()) {
                    let outcome = OUTCOMES[usize::from(how) % OUTCOMES.len()];
                    world.end(&mut broker, key, outcome, outcome == Outcome::Reset && how > 127);
                }
            }
            Step::Node { id, state } => {
                let id = u64::from(id) % NODES;
                let state =
                    [NodeState::Ready, NodeState::Draining, NodeState::Withdrawn][usize::from(state) % 3];
                world.states[id as usize] = state;
                let unwritten: Vec<_> =
                    world.in_flight.iter().filter(|o| !o.1.written).map(|o| *o.0).collect();
                broker.apply_update(
                    world.now,
                    DiscoveryUpdate::NodeList { full: false, members: vec![member(id, state)] },
                    false,
                );
                world.check_effects(&mut broker)?;
                // An unwritten attempt must not be sent to a draining node, nor name it as a source.
                for attempt in unwritten.iter().filter_map(|k| world.in_flight.get(k)) {
                    let affected = attempt.order.node.0 == id || attempt.order.source == Some(NodeId(id));
                    prop_assert!(!affected || state == NodeState::Ready, "still waiting for {:?}", id);
                }
            }
            Step::Purge { object, group } => {
                let scope = match group {
                    true => PurgeScope::Group(GroupId(3)),
                    false => PurgeScope::Object(ObjectId(object.into())),
                };
                let unwritten: Vec<_> =
                    world.in_flight.iter().filter(|o| !o.1.written).map(|o| *o.0).collect();
                broker.apply_update(world.now, DiscoveryUpdate::Purge { scope, at: world.now }, false);
                world.check_effects(&mut broker)?;
                for attempt in unwritten.iter().filter_map(|k| world.in_flight.get(k)) {
                    let affected = match scope {
                        PurgeScope::Group(_) => true,
                        PurgeScope::Object(object) => object == attempt.order.request.object,
                    };
                    prop_assert!(!affected, "still waiting with an age limit from before a purge");
                }
            }
            Step::AdvanceTime(tenths) => {
                world.now += f64::from(tenths) / 10.0;
                broker.fire_timers(world.now);
            }
        }
        world.check_effects(&mut broker)?;
        let late: Vec<_> = world.unanswered.iter().filter(|o| o.1.0 < world.now - 2e-6).collect();
        if matches!(step, Step::AdvanceTime(_)) {
            prop_assert!(late.is_empty(), "unanswered at the deadline: {:?}", late);
        }
        prop_assert_eq!(broker.pending(), world.unanswered.len());
    }
    for _ in 0..2 {
        world.now += 10.0;
        broker.fire_timers(world.now);
        world.check_effects(&mut broker)?;
    }
    prop_assert!(world.unanswered.is_empty() && world.in_flight.is_empty());
    prop_assert!(
        broker.open.is_empty() && broker.open_calls.is_empty(),
        "state of finished requests is left"
    );
    Ok(())
}

#[test]
fn random_steps_keep_the_rules_visible_from_outside() {
    let step = prop_oneof![
        8 => (0u8..2, 0u8..5, 0u8..25).prop_map(|(class, object, tenths)| Step::Request { class, object, tenths }),
        2 => any::<u8>().prop_map(Step::Abort),
        6 => any::<u8>().prop_map(Step::Written),
        8 => (any::<u8>(), any::<u8>()).prop_map(|(which, how)| Step::End { which, how }),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(id, state)| Step::Node { id, state }),
        2 => (0u8..5, any::<bool>()).prop_map(|(object, group)| Step::Purge { object, group }),
        3 => (0u8..8).prop_map(Step::AdvanceTime),
    ];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&vec(step, 1..150), run_steps).unwrap_or_else(|e| panic!("{e}"));
}

fn request_until(deadline: f64) -> ClientRequest {
    ClientRequest { deadline, call: "1".into(), object: ObjectId(5), ..ClientRequest::default() }
}

/// A connection that never confirms a cancel does not delay the answer.
#[test]
fn unconfirmed_cancel_does_not_delay_the_answer() {
    let mut broker = broker(Contracts::default());
    let caller = Caller { connection: 1, tag: 1 };
    broker.handle_request(1000.0, caller, request_until(1001.0));
    broker.fire_timers(1001.0);
    assert!(broker.effects().any(|e| matches!(e, Effect::Command(Command::Cancel { .. }))));
    broker.fire_timers(1001.0 + CANCEL_CONFIRM_SECONDS);
    let answers: Vec<Effect> = broker.effects().collect();
    assert!(matches!(answers[..], [Effect::Answer { answer: Answer::DeadlineExceeded, .. }]), "{answers:?}");
}

/// An attempt abandoned within the propagation time before the deadline is followed by no other, which its
/// node could execute at the same time, and the request is answered at the deadline without a further delay.
#[test]
fn no_attempt_follows_one_abandoned_just_before_the_deadline() {
    let mut broker = broker(Contracts::default());
    broker.handle_request(1000.0, Caller { connection: 1, tag: 1 }, request_until(1001.0));
    let sent_attempt = |broker: &mut Broker| {
        broker
            .effects()
            .find_map(|e| if let Effect::Command(Command::Send(o)) = e { Some(o.attempt_id) } else { None })
    };
    let attempt_id = sent_attempt(&mut broker).unwrap();
    broker.handle_report(1000.1, Report::WriteStarted(attempt_id));
    let (outcome, propagation) = (Outcome::Reset, PROPAGATION_SECONDS);
    broker.handle_report(1000.995, Report::Abandoned { attempt_id, outcome, propagation });
    assert_eq!(sent_attempt(&mut broker), None);
    broker.fire_timers(1001.0);
    let effects: Vec<Effect> = broker.effects().collect();
    assert!(matches!(effects[..], [Effect::Answer { .. }]), "{effects:?}");
}

/// Contracts and budgets are checked before the director sees a request.
#[test]
fn requests_beyond_contract_or_budget_are_rejected() {
    let team = Team {
        classes: vec![ClassId(0)],
        requests_per_s: 1.0,
        in_flight: 5,
        bytes_per_s: 1e6,
        ..Team::default()
    };
    let mut broker = broker(Contracts(vec![team]));
    let answer = |broker: &mut Broker, tag, request| {
        broker.effects().for_each(drop);
        broker.handle_request(1000.0, Caller { connection: 1, tag }, request);
        broker.effects().find_map(|e| if let Effect::Answer { answer, .. } = e { Some(answer) } else { None })
    };
    let ours = || ClientRequest { team: Some(0), ..request_until(1001.0) };
    assert_eq!(answer(&mut broker, 1, request_until(1001.0)), Some(Answer::Forbidden), "no team");
    assert_eq!(
        answer(&mut broker, 2, ClientRequest { class: ClassId(1), ..ours() }),
        Some(Answer::Forbidden)
    );
    assert_eq!(answer(&mut broker, 3, ours()), None, "in flight");
    assert_eq!(answer(&mut broker, 4, ours()), Some(Answer::OverBudget(1.0)));
}

/// Runs a broker that knows one edge cache and the origin. The edge answers one request while another of its
/// answers waits for memory, longer than the time after which an answer counts as lost. Returns the effects
/// meanwhile, and how many later requests for unknown objects were refused. `reported`: whether the broker is
/// told that the answer waits.
fn refused_after_memory_wait(reported: bool) -> (Vec<Effect>, usize) {
    const LATER_REQUESTS: u64 = 64;
    const LEARNING_REQUESTS: u64 = 64;
    const START: f64 = 1010.0;
    let mut broker = broker(Contracts::default());
    let members = [0, NODES - 1].map(|id| member(id, NodeState::Ready)).to_vec();
    broker.apply_update(START, DiscoveryUpdate::NodeList { full: true, members }, true);
    let send = |broker: &mut Broker, now: f64, tag: u64| {
        let (object, call) = (ObjectId(tag), tag.to_string().into());
        let request =
            ClientRequest { object, size_kb: 10.0, deadline: now + 60.0, call, ..ClientRequest::default() };
        broker.handle_request(now, Caller { connection: 1, tag }, request);
        let sent =
            |e| if let Effect::Command(Command::Send(order)) = e { Some(order.attempt_id) } else { None };
        broker.effects().find_map(sent)
    };
    let hit = |broker: &mut Broker, now: f64, attempt_id: AttemptId| {
        let (outcome, note, content) = (Outcome::Ok, Note::Hit, Some(Content::default()));
        broker.handle_report(
            now,
            Report::AttemptEnded { attempt_id, outcome, note, source_wait: 0.0, content },
        );
        broker.effects().for_each(drop);
    };
    for n in 0..LEARNING_REQUESTS {
        let now = START - 1.0 + n as f64 * 0.01;
        let attempt_id = send(&mut broker, now, 1000 + n).unwrap();
        hit(&mut broker, now + 0.002, attempt_id);
    }
    let waiting = send(&mut broker, START, 1).unwrap();
    let other = send(&mut broker, START + 0.001, 2).unwrap();
    hit(&mut broker, START + 0.002, other);
    if reported {
        broker.handle_report(START + 0.003, Report::AwaitingMemory(waiting));
    }
    (1..=100).for_each(|step| broker.fire_timers(START + f64::from(step) * 0.01));
    let meanwhile = broker.effects().collect();
    broker.handle_report(START + 1.0, Report::NoMemory(waiting));
    broker.effects().for_each(drop);
    let sent = (0..LATER_REQUESTS).filter(|n| {
        let now = START + 1.0 + *n as f64 * 0.001;
        send(&mut broker, now, 10 + n).map(|attempt_id| hit(&mut broker, now, attempt_id)).is_some()
    });
    (meanwhile, LATER_REQUESTS as usize - sent.count())
}

/// An answer that waits for memory in this process is not lost: its attempt is not cancelled, and is not
/// counted as a failure of the origin, which led to refusals of later requests for objects that no node is
/// known to hold.
#[test]
fn answer_waiting_for_memory_is_not_treated_as_lost() {
    let (meanwhile, refused) = refused_after_memory_wait(true);
    assert!(meanwhile.is_empty(), "{meanwhile:?}");
    assert_eq!(refused, 0);
    // Without the report the attempt is cancelled, as one whose answer is lost.
    let (meanwhile, _) = refused_after_memory_wait(false);
    assert!(meanwhile.iter().any(|e| matches!(e, Effect::Command(Command::Cancel { .. }))), "{meanwhile:?}");
}
