//! Node lists: draining, absent and withdrawn nodes, and an empty list.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn draining_and_absent_nodes_get_no_requests_and_no_fills() {
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
        assert_eq!(
            (sent.node, sent.source),
            (10, 20),
            "nodes that a full list lacks are gone; home before: {home:?}"
        );
    }
}

#[test]
fn requests_without_any_cache_are_refused_at_once_with_a_retry_delay() {
    let mut s = Stage::new(settings(), &[]);
    let (_, actions) = s.ask(1, 50.0);
    assert!(matches!(actions[..], [Action::Refuse { wait, .. }] if wait > 0.0), "{actions:?}");
}

/// Guards against memory that grows without bound as nodes are replaced over a long time.
#[test]
fn state_of_withdrawn_nodes_is_dropped() {
    let mut s = Stage::new(settings(), &small_fleet());
    for id in 1000..1500 {
        s.list(ListKind::Delta, &[edge(id)]);
        s.now += 1.0;
        s.list(ListKind::Delta, &[Node { state: NodeState::Withdrawn, ..edge(id) }]);
    }
    assert!(s.director.node_count() < 100, "{}", s.director.node_count());
}
