//! Placement: the home cache of an object by its hash, and the number of homes of a hot object.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn directors_agree_on_the_home_and_only_objects_of_a_removed_cache_move() {
    let mut a = DirectorHarness::new(settings(), &small_fleet());
    let mut b = DirectorHarness::new(Settings { director_number: 1, ..settings() }, &small_fleet());
    let mut without_12 = DirectorHarness::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let mut moved = 0;
    let mut seen = std::collections::BTreeSet::new();
    for object in 1..=60 {
        let (at_a, at_b) = (a.hit(object, 10.0), b.hit(object, 10.0));
        let at_less = without_12.hit(object, 10.0);
        assert_eq!(at_a.node, at_b.node);
        seen.insert(at_a.node);
        moved += u32::from(at_a.node != 12 && at_a.node != at_less.node);
    }
    assert_eq!(seen.len(), 3, "all caches get a share");
    assert_eq!(moved, 0, "only the objects of the removed cache may move");
}

#[test]
fn a_hot_object_spreads_by_sibling_fills_before_its_cache_is_overloaded() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let first = stage.hit(7, 300.0);
    let burst: Vec<SentAttempt> = (0..14).map(|_| stage.fetch(7, 300.0)).collect();
    let spread: Vec<&SentAttempt> = burst.iter().filter(|b| b.node != first.node).collect();
    assert!(!spread.is_empty(), "one cache must not get all requests");
    assert!(spread.iter().all(|b| b.source == first.node && b.only_if_cached), "{spread:?}");
}

#[test]
fn a_sibling_miss_drops_the_belief_in_its_copy() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let first = stage.hit(7, 300.0);
    let burst: Vec<SentAttempt> = (0..14).map(|_| stage.fetch(7, 300.0)).collect();
    let spread = *burst.iter().find(|b| b.only_if_cached).expect("a sibling fill");
    let retry = stage.end(spread, 0, Outcome::Miss, Note::SourceMiss, 0.01);
    let retry = sent_attempts(&retry)[0];
    assert!(retry.source != first.node, "the retry is filled from a parent or the origin: {retry:?}");
}

/// Guards against giving caches with small links as many objects as those with large links in the same
/// location.
#[test]
fn objects_are_placed_in_proportion_to_link_capacity() {
    let sized = |id, weight| Node { weight, ..edge(id) };
    let nodes = [sized(10, 2.0), sized(11, 6.0), parent(20), origin(30)];
    let mut stage = DirectorHarness::new(Settings { weights_are_link_sizes: true, ..settings() }, &nodes);
    let small = (1..=2_000).filter(|&object| stage.hit(object, 10.0).node == 10).count();
    assert!((430..570).contains(&small), "a quarter of 2000 objects: {small}");
}

/// Guards against overloading the home of an object that all fronts ask for: each front alone sees too little
/// of its load to find the link full.
#[test]
fn a_hot_object_has_several_homes_and_a_rare_one_has_one() {
    let nodes: Vec<Node> = (10..30).map(edge).chain([parent(40), origin(50)]).collect();
    let homes = |object: u64| {
        let asked = (0..50).map(|me| {
            let mut stage =
                DirectorHarness::seeded(me, Settings { director_number: me as u16, ..settings() }, &nodes);
            for i in 0..30 {
                stage.hit(if i % 3 == 0 { 7 } else { 1_000 + 100 * me + i }, 50.0);
            }
            stage.fetch(object, 50.0).node
        });
        asked.collect::<std::collections::BTreeSet<u64>>().len()
    };
    assert_eq!(homes(8), 1, "an object that is requested for the first time has one home");
    assert!(homes(7) > 15, "an object with a third of the requests uses {} of 20 caches", homes(7));
}

/// Guards against sending all movable load to a cache that comes back, which would happen if it counted as
/// idle.
#[test]
fn a_new_cache_gets_only_its_share_of_a_hot_object() {
    let nodes: Vec<Node> = (10..20).map(edge).chain([parent(40), origin(50)]).collect();
    let mut to_new = 0;
    for me in 0..50 {
        let mut stage =
            DirectorHarness::seeded(me, Settings { director_number: me as u16, ..settings() }, &nodes);
        for _ in 0..40 {
            stage.hit(7, 50.0);
        }
        stage.list(ListKind::Delta, &[Node { ready_at: 0.0, ..edge(20) }]);
        to_new += (0..10).filter(|_| stage.hit(7, 50.0).node == 20).count();
    }
    assert!((10..100).contains(&to_new), "about a tenth of 500: {to_new}");
}

/// The reason counts are an operator's only view of why one front spreads its load as it does.
#[test]
fn reason_counts_show_why_caches_were_chosen() {
    use onyxyoke::spread::RoutingReason;
    let nodes: Vec<Node> = (10..14).map(edge).chain([parent(40), origin(50)]).collect();
    let mut stage = DirectorHarness::new(settings(), &nodes);
    stage.request_many_objects();
    stage.hit(3, 50.0);
    let before = *stage.director.reason_counts();
    stage.hit(3, 50.0);
    assert_eq!(
        stage.director.reason_counts().of(RoutingReason::Belief),
        before.of(RoutingReason::Belief) + 1
    );
    for _ in 0..60 {
        stage.hit(4, 50.0);
    }
    assert!(
        stage.director.reason_counts().of(RoutingReason::Heat) > 20,
        "{}",
        stage.director.reason_counts()
    );
    stage.list(ListKind::Delta, &[Node { ready_at: stage.now, ..edge(10) }]);
    for object in 2_000_000..2_000_200 {
        stage.hit(object, 1.0);
    }
    let counts = stage.director.reason_counts();
    assert!(counts.of(RoutingReason::Cold) > 0 && counts.of(RoutingReason::Hash) > 400, "{counts}");
    assert!(counts.to_string().starts_with("choices hash="), "{counts}");
}
