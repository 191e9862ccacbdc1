//! Sources of a cache fill: parents and the origin.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_miss_is_filled_from_a_parent_or_from_the_origin_without_parents() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    assert!([20, 21].contains(&stage.fetch(1, 50.0).source));
    let mut stage = DirectorHarness::new(settings(), &[edge(10), origin(30)]);
    assert_eq!(stage.fetch(1, 50.0).source, 30);
}

#[test]
fn the_faster_parent_gets_most_of_the_fills() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let mut fills = [0, 0];
    for object in 1..200 {
        let sent = stage.fetch(object, 50.0);
        fills[(sent.source - 20) as usize] += 1;
        stage.now += 0.05;
        stage.event(Event::AttemptEnd {
            request: RequestId(sent.id),
            attempt: 0,
            node: NodeId(sent.node),
            outcome: Outcome::Ok,
            took: if sent.source == 20 { 0.1 } else { 0.17 },
            done: true,
            note: Note::Filled,
            source_wait: 0.01,
            load: Vec::new(),
        });
    }
    assert!(fills[0] > 2 * fills[1] && fills[1] > 20, "the better of two random choices: {fills:?}");
}

#[test]
fn a_failing_origin_leaves_parents_in_use_and_causes_no_retry_storm() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    for object in 1..10 {
        let attempt = stage.fetch(object, 10.0);
        stage.end(attempt, 0, Outcome::Full, Note::OriginFailed, 0.001);
    }
    assert!([20, 21].contains(&stage.fetch(100, 10.0).source), "copies at the parents are still used");
    let mut stage = DirectorHarness::new(settings(), &[edge(10), edge(11), origin(30)]);
    let mut attempts = 0;
    for object in 1..60 {
        let (_, actions) = stage.ask(object, 10.0);
        for attempt in sent_attempts(&actions) {
            attempts += 1;
            assert_eq!(attempt.source, 30);
            let actions = stage.end(attempt, 0, Outcome::Full, Note::SourceRefused, 0.002);
            assert!(refused(&actions), "refused at once");
        }
    }
    assert!(attempts < 6, "three failures eject the origin, then only trials are sent: {attempts}");
}

#[test]
fn all_directors_fill_an_object_from_the_same_two_parents() {
    let parents: Vec<Node> = (20..29).map(parent).collect();
    let nodes: Vec<Node> = [edge(10), origin(30)].into_iter().chain(parents).collect();
    let mut used = std::collections::BTreeSet::new();
    for object in 1..60 {
        let sources: std::collections::BTreeSet<u64> = (0..12)
            .map(|seed| DirectorHarness::seeded(seed, settings(), &nodes).fetch(object, 20.0).source)
            .collect();
        assert!(sources.len() <= 2, "{sources:?}");
        used.extend(sources);
    }
    assert_eq!(used.len(), 9, "all parents get a share");
}

#[test]
fn a_fill_refused_by_a_parent_goes_to_another_parent_before_the_origin() {
    let nodes: Vec<Node> = (20..29).map(parent).chain([edge(10), origin(30)]).collect();
    let mut stage = DirectorHarness::new(settings(), &nodes);
    let first = stage.fetch(1, 20.0);
    let retry = stage.end(first, 0, Outcome::Full, Note::SourceRefused, 0.01);
    let retry = sent_attempts(&retry)[0];
    assert!(retry.source != first.source && retry.source != 30, "{retry:?}");
}

#[test]
fn requests_to_a_failing_origin_are_few_while_parents_serve_their_copies() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let (mut to_origin, mut only_cached) = (0, 0);
    for object in 1..200 {
        let mut attempt = stage.fetch(object, 20.0);
        let mut number = 0;
        while attempt.only_if_cached {
            only_cached += 1;
            let next = stage.end(attempt, number, Outcome::Miss, Note::SourceMiss, 0.001);
            let Some(&next) = sent_attempts(&next).first() else { break };
            (attempt, number) = (next, number + 1);
        }
        if !attempt.only_if_cached {
            to_origin += 1;
            stage.end(attempt, number, Outcome::Full, Note::OriginFailed, 0.001);
            stage.expire(attempt.id);
        }
    }
    assert!(to_origin < 60 && to_origin > 3 && only_cached > 300, "{to_origin} {only_cached}");
    stage.now += 60.0;
    let attempt = stage.fetch(1000, 20.0);
    assert!(!attempt.only_if_cached, "the origin is used again after a while");
}

/// Guards against long paths to parents: each hub on the path costs time and bytes (scenario rough-1 of the
/// standard days). Parents of the own hub come first, others only while none of these can be used.
#[test]
fn parents_of_the_own_hub_are_preferred() {
    let far = Node { zone: ZoneId(1), ..parent(21) };
    let mut stage = DirectorHarness::new(settings(), &[edge(10), parent(20), far, origin(30)]);
    assert!((1..=30).all(|o| stage.fetch(o, 10.0).source == 20));
    stage.list(ListKind::Delta, &[Node { state: NodeState::Draining, ..parent(20) }]);
    assert!(
        (31..=60).all(|o| stage.fetch(o, 10.0).source == 21),
        "the parent of another hub while the own one drains"
    );
}
