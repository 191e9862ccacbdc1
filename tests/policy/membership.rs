//! What the list of the nodes says of them: drained, gone, none at all.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn nothing_goes_to_a_draining_or_absent_node_nor_is_filled_from_it() {
    let mut s = Stage::new(settings(), &small_fleet());
    let homes: Vec<Sent> = (1..=60).map(|o| s.hit(o, 20.0)).collect();
    let draining = |n: Node| Node { state: NodeState::Draining, ..n };
    s.list(ListKind::Delta, &[draining(edge(10)), draining(parent(20))]);
    for object in 1..=60 {
        let sent = s.hit(object, 20.0);
        assert!(sent.node != 10 && sent.source != 10 && sent.source != 20, "{sent:?}");
    }
    s.list(ListKind::Full, &[edge(10), parent(20), origin(30)]);
    for (object, home) in (1..=60).zip(homes) {
        let sent = s.hit(object, 20.0);
        assert_eq!((sent.node, sent.source), (10, 20), "absent means gone; {home:?}");
    }
}

#[test]
fn with_no_cache_at_all_requests_are_refused_at_once_with_advice() {
    let mut s = Stage::new(settings(), &[]);
    let (_, actions) = s.ask(1, 50.0);
    assert!(matches!(actions[..], [Action::Refuse { wait, .. }] if wait > 0.0), "{actions:?}");
}

/// Guards the memory of a long day, on which new nodes take the place of old ones without end.
#[test]
fn nodes_that_left_are_forgotten() {
    let mut s = Stage::new(settings(), &small_fleet());
    for id in 1000..1500 {
        s.list(ListKind::Delta, &[edge(id)]);
        s.now += 1.0;
        s.list(ListKind::Delta, &[Node { state: NodeState::Withdrawn, ..edge(id) }]);
    }
    assert!(s.director.node_count() < 100, "{}", s.director.node_count());
}
