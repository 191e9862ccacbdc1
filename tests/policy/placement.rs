//! Which cache an object is asked of: its home by hash, and how many homes a hot object has.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn the_same_object_goes_to_the_same_cache_at_all_directors_and_few_move() {
    let mut a = Stage::new(settings(), &small_fleet());
    let mut b = Stage::new(Settings { director_number: 1, ..settings() }, &small_fleet());
    let mut less = Stage::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let mut moved = 0;
    let mut seen = std::collections::BTreeSet::new();
    for object in 1..=60 {
        let (at_a, at_b, at_less) = (a.hit(object, 10.0), b.hit(object, 10.0), less.hit(object, 10.0));
        assert_eq!(at_a.node, at_b.node);
        seen.insert(at_a.node);
        moved += u32::from(at_a.node != 12 && at_a.node != at_less.node);
    }
    assert_eq!(seen.len(), 3, "all caches get a share");
    assert_eq!(moved, 0, "only the objects of the cache that left may move");
}

#[test]
fn a_hot_object_spreads_by_a_sibling_fill_before_its_cache_is_swamped() {
    let mut s = Stage::new(settings(), &small_fleet());
    let first = s.hit(7, 300.0);
    let burst: Vec<Sent> = (0..14).map(|_| s.fetch(7, 300.0)).collect();
    let spread: Vec<&Sent> = burst.iter().filter(|b| b.node != first.node).collect();
    assert!(!spread.is_empty(), "one cache must not get everything");
    assert!(spread.iter().all(|b| b.source == first.node && b.only_if_cached), "{spread:?}");
}

#[test]
fn a_sibling_that_lacks_the_object_is_believed_no_longer() {
    let mut s = Stage::new(settings(), &small_fleet());
    let first = s.hit(7, 300.0);
    let burst: Vec<Sent> = (0..14).map(|_| s.fetch(7, 300.0)).collect();
    let spread = *burst.iter().find(|b| b.only_if_cached).expect("a sibling fill");
    let again = s.end(spread, 0, Outcome::Miss, Note::SourceMiss, 0.01);
    let again = sent(&again)[0];
    assert!(again.source != first.node, "the next try is filled from above: {again:?}");
}

/// Guards small caches against as many objects as large ones get: links differ by a multiple in one location.
#[test]
fn objects_are_at_home_in_proportion_to_links() {
    let sized = |id, weight| Node { weight, ..edge(id) };
    let nodes = [sized(10, 2.0), sized(11, 6.0), parent(20), origin(30)];
    let mut s = Stage::new(Settings { weights_are_link_sizes: true, ..settings() }, &nodes);
    let small = (1..=2_000).filter(|&object| s.hit(object, 10.0).node == 10).count();
    assert!((430..570).contains(&small), "a quarter of 2000: {small}");
}

/// Guards the home of an object that all ask for: each front sees too little of its load to find the link full.
#[test]
fn a_hot_object_is_asked_of_several_homes_and_a_rare_one_of_one() {
    let nodes: Vec<Node> = (10..30).map(edge).chain([parent(40), origin(50)]).collect();
    let homes = |object: u64| {
        let asked = (0..50).map(|me| {
            let mut s = Stage::seeded(me, Settings { director_number: me as u16, ..settings() }, &nodes);
            for i in 0..30 {
                s.hit(if i % 3 == 0 { 7 } else { 1_000 + 100 * me + i }, 50.0);
            }
            s.fetch(object, 50.0).node
        });
        asked.collect::<std::collections::BTreeSet<u64>>().len()
    };
    assert_eq!(homes(8), 1, "asked for the first time");
    assert!(homes(7) > 15, "a third of what each front sees: {} of 20 are used", homes(7));
}

/// Guards a cache that comes back: what is free to choose would go there all at once if it counted as empty.
#[test]
fn a_new_cache_draws_no_more_of_a_hot_object_than_its_part() {
    let nodes: Vec<Node> = (10..20).map(edge).chain([parent(40), origin(50)]).collect();
    let mut to_new = 0;
    for me in 0..50 {
        let mut s = Stage::seeded(me, Settings { director_number: me as u16, ..settings() }, &nodes);
        for _ in 0..40 {
            s.hit(7, 50.0);
        }
        s.list(ListKind::Delta, &[Node { ready_at: 0.0, ..edge(20) }]);
        to_new += (0..10).filter(|_| s.hit(7, 50.0).node == 20).count();
    }
    assert!((10..100).contains(&to_new), "a tenth of 500 or so: {to_new}");
}

/// Guards an operator's only way to tell why one front's load spreads as it does.
#[test]
fn the_log_tells_why_caches_were_chosen() {
    use onyxyoke::spread::RoutingReason;
    let nodes: Vec<Node> = (10..14).map(edge).chain([parent(40), origin(50)]).collect();
    let mut s = Stage::new(settings(), &nodes);
    s.mixed();
    s.hit(3, 50.0);
    let before = *s.director.reason_counts();
    s.hit(3, 50.0);
    assert_eq!(s.director.reason_counts().of(RoutingReason::Belief), before.of(RoutingReason::Belief) + 1);
    for _ in 0..60 {
        s.hit(4, 50.0);
    }
    assert!(s.director.reason_counts().of(RoutingReason::Heat) > 20, "{}", s.director.reason_counts());
    s.list(ListKind::Delta, &[Node { ready_at: s.now, ..edge(10) }]);
    for object in 2_000_000..2_000_200 {
        s.hit(object, 1.0);
    }
    let sight = s.director.reason_counts();
    assert!(sight.of(RoutingReason::Cold) > 0 && sight.of(RoutingReason::Hash) > 400, "{sight}");
    assert!(sight.to_string().starts_with("choices hash="), "{sight}");
}
