//! Where a miss is filled from: parents, and the origin.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_miss_is_filled_from_a_parent_and_from_the_origin_when_there_is_none() {
    let mut s = Stage::new(settings(), &small_fleet());
    assert!([20, 21].contains(&s.fetch(1, 50.0).source));
    let mut s = Stage::new(settings(), &[edge(10), origin(30)]);
    assert_eq!(s.fetch(1, 50.0).source, 30);
}

#[test]
fn the_quicker_parent_gets_most_of_the_fills() {
    let mut s = Stage::new(settings(), &small_fleet());
    let mut at = [0, 0];
    for object in 1..200 {
        let sent = s.fetch(object, 50.0);
        at[(sent.source - 20) as usize] += 1;
        s.now += 0.05;
        s.event(Event::AttemptEnd {
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
    assert!(at[0] > 2 * at[1] && at[1] > 20, "better of two drawn: {at:?}");
}

#[test]
fn an_origin_in_trouble_costs_neither_the_parents_nor_a_storm_of_tries() {
    let mut s = Stage::new(settings(), &small_fleet());
    for object in 1..10 {
        let x = s.fetch(object, 10.0);
        s.end(x, 0, Outcome::Full, Note::OriginFailed, 0.001);
    }
    assert!([20, 21].contains(&s.fetch(100, 10.0).source), "what parents hold can still be had");
    let mut s = Stage::new(settings(), &[edge(10), edge(11), origin(30)]);
    let mut asked = 0;
    for object in 1..60 {
        let (_, actions) = s.ask(object, 10.0);
        for x in sent(&actions) {
            asked += 1;
            assert_eq!(x.source, 30);
            let actions = s.end(x, 0, Outcome::Full, Note::SourceRefused, 0.002);
            assert!(refused(&actions), "turned away at once");
        }
    }
    assert!(asked < 6, "three failures blame it, then trials only: {asked}");
}

#[test]
fn an_object_is_asked_of_the_same_two_parents_by_all_directors() {
    let parents: Vec<Node> = (20..29).map(parent).collect();
    let nodes: Vec<Node> = [edge(10), origin(30)].into_iter().chain(parents).collect();
    let mut used = std::collections::BTreeSet::new();
    for object in 1..60 {
        let sources: std::collections::BTreeSet<u64> =
            (0..12).map(|seed| Stage::seeded(seed, settings(), &nodes).fetch(object, 20.0).source).collect();
        assert!(sources.len() <= 2, "{sources:?}");
        used.extend(sources);
    }
    assert_eq!(used.len(), 9, "all parents get a share");
}

#[test]
fn a_parent_that_cannot_take_more_is_drawn_again_before_the_origin_is_asked() {
    let nodes: Vec<Node> = (20..29).map(parent).chain([edge(10), origin(30)]).collect();
    let mut s = Stage::new(settings(), &nodes);
    let first = s.fetch(1, 20.0);
    let again = s.end(first, 0, Outcome::Full, Note::SourceRefused, 0.01);
    let again = sent(&again)[0];
    assert!(again.source != first.source && again.source != 30, "{again:?}");
}

#[test]
fn a_failing_origin_is_spared_while_parents_give_what_they_hold() {
    let mut s = Stage::new(settings(), &small_fleet());
    let mut spared = [0, 0];
    for object in 1..200 {
        let mut x = s.fetch(object, 20.0);
        let mut number = 0;
        while x.only_if_cached {
            spared[1] += 1;
            let next = s.end(x, number, Outcome::Miss, Note::SourceMiss, 0.001);
            let Some(&next) = sent(&next).first() else { break };
            (x, number) = (next, number + 1);
        }
        if !x.only_if_cached {
            spared[0] += 1;
            s.end(x, number, Outcome::Full, Note::OriginFailed, 0.001);
            s.expire(x.id);
        }
    }
    assert!(spared[0] < 60 && spared[0] > 3 && spared[1] > 300, "{spared:?}");
    s.now += 60.0;
    let x = s.fetch(1000, 20.0);
    assert!(!x.only_if_cached, "trusted again after a while");
}

/// Guards the way to the parents: each hub on it costs time and bytes (rough-1 of the site's standard days), so
/// the own hub's are drawn first, and others only while none of these can be used.
#[test]
fn parents_of_the_own_hub_are_drawn_before_others() {
    let far = Node { zone: ZoneId(1), ..parent(21) };
    let mut s = Stage::new(settings(), &[edge(10), parent(20), far, origin(30)]);
    assert!((1..=30).all(|o| s.fetch(o, 10.0).source == 20));
    s.list(ListKind::Delta, &[Node { state: NodeState::Draining, ..parent(20) }]);
    assert!((31..=60).all(|o| s.fetch(o, 10.0).source == 21), "the far one while the near one drains");
}
