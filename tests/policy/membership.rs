//! Node lists: draining, absent and withdrawn nodes, and an empty list.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn draining_and_absent_nodes_get_no_requests_and_no_fills() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let homes: Vec<SentAttempt> = (1..=60).map(|o| stage.hit(o, 20.0)).collect();
    let draining = |n: Node| Node { state: NodeState::Draining, ..n };
    stage.list(ListKind::Delta, &[draining(edge(10)), draining(parent(20))]);
    for object in 1..=60 {
        let sent = stage.hit(object, 20.0);
        assert!(sent.node != 10 && sent.source != 10 && sent.source != 20, "{sent:?}");
    }
    stage.list(ListKind::Full, &[edge(10), parent(20), origin(30)]);
    for (object, home) in (1..=60).zip(homes) {
        let sent = stage.hit(object, 20.0);
        assert_eq!(
            (sent.node, sent.source),
            (10, 20),
            "nodes that a full list lacks are gone; home before: {home:?}"
        );
    }
}

#[test]
fn requests_without_any_cache_are_refused_at_once_with_a_retry_delay() {
    let mut stage = DirectorHarness::new(settings(), &[]);
    let (_, actions) = stage.ask(1, 50.0);
    assert!(matches!(actions[..], [Action::Refuse { wait, .. }] if wait > 0.0), "{actions:?}");
}

/// Guards against memory that grows without bound as nodes are replaced over a long time.
#[test]
fn state_of_withdrawn_nodes_is_dropped() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    for id in 1000..1500 {
        stage.list(ListKind::Delta, &[edge(id)]);
        stage.now += 1.0;
        stage.list(ListKind::Delta, &[Node { state: NodeState::Withdrawn, ..edge(id) }]);
    }
    assert!(stage.director.node_count() < 100, "{}", stage.director.node_count());
}
