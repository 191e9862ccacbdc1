//! Beliefs about the copies that caches hold: when they decide the choice, when they expire, and their bound.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_believed_holder_is_preferred_after_the_hash_pick_changes() {
    let mut stage = DirectorHarness::new(
        settings(),
        &small_fleet()[..2].iter().chain(&small_fleet()[3..]).copied().collect::<Vec<_>>(),
    );
    let held: Vec<SentAttempt> = (1..=40).map(|o| stage.hit(o, 50.0)).collect();
    stage.list(ListKind::Full, &small_fleet());
    for (object, held) in (1..=40).zip(held) {
        assert_eq!(stage.hit(object, 50.0).node, held.node, "π is far below ν, so the holder is chosen");
    }
}

#[test]
fn a_holder_with_a_high_pi_loses_to_the_hash_pick() {
    let two = [edge(10), edge(11), parent(20), origin(30)];
    let mut stage = DirectorHarness::new(settings(), &two);
    // Objects whose hash pick is cache 11 when it is listed, and that are believed held at cache 10.
    let mut probe = DirectorHarness::new(settings(), &two);
    let picks: Vec<u64> = (1..=900).filter(|&o| probe.hit(o, 5.0).node == 11).take(240).collect();
    stage.list(ListKind::Full, &[edge(10), parent(20), origin(30)]);
    for &o in &picks {
        stage.hit(o, 5.0);
    }
    stage.list(ListKind::Full, &two);
    // Believed copies are missing in every window: π[1] rises to 1 - 0.999 * 0.75^k, above the bound set by
    // ν.
    let mut stayed = 0;
    for &o in &picks {
        let sent = stage.fetch(o, 5.0);
        if sent.node == 11 {
            break;
        }
        stayed += 1;
        stage.end(sent, 0, Outcome::Ok, Note::Filled, 0.3);
    }
    assert!(
        (40..200).contains(&stayed),
        "the belief decides for two windows or more, but not indefinitely: {stayed}"
    );
}

#[test]
fn beliefs_about_a_restarted_cache_are_dropped() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let first = stage.hit(3, 50.0);
    stage.now += 1.0;
    let restarted = Node { ready_at: stage.now, ..edge(first.node) };
    stage.list(ListKind::Delta, &[restarted]);
    stage.now += 20.0;
    // With the belief kept, a burst would be spread by sibling fills from the copy that the restart lost.
    let burst: Vec<SentAttempt> = (0..12).flat_map(|_| sent_attempts(&stage.ask(3, 50.0).1)).collect();
    assert!(!burst.is_empty() && burst.iter().all(|b| !b.only_if_cached), "{burst:?}");
}

#[test]
fn beliefs_expire_with_age() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), parent(20), origin(30)]);
    stage.request_many_objects();
    stage.hit(3, 50.0);
    stage.list(ListKind::Full, &small_fleet());
    stage.now += 31.0;
    let mut other = DirectorHarness::new(settings(), &small_fleet());
    assert_eq!(stage.fetch(3, 50.0).node, other.fetch(3, 50.0).node, "the hash pick is chosen again");
}

#[test]
fn belief_table_drops_the_oldest_beliefs_at_its_bound() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), parent(20), origin(30)]);
    for object in 1..=100_050 {
        let attempt = stage.fetch(object, 1.0);
        stage.now -= 0.001;
        stage.end(attempt, 0, Outcome::Ok, Note::Hit, 0.001);
    }
    stage.list(ListKind::Full, &small_fleet());
    let mut without_beliefs = DirectorHarness::new(settings(), &small_fleet());
    let cache_of = |stage: &mut DirectorHarness, o: u64| stage.hit(o, 1.0).node;
    let elsewhere: Vec<u64> = (1..60).filter(|&o| cache_of(&mut without_beliefs, o) != 10).take(20).collect();
    assert!(elsewhere.iter().all(|&o| cache_of(&mut stage, o) != 10), "the oldest beliefs are dropped");
    let kept = (100_000..100_050).filter(|&o| cache_of(&mut stage, o) == 10).count();
    assert_eq!(kept, 50, "the newest beliefs are kept");
}

#[test]
fn pi_and_nu_are_estimated_by_windows_of_twenty_outcomes() {
    // Without a delay of parents, M is the link's share alone. ν[0] starts at 0.8; twenty hits without a
    // belief make it 0.4, twenty more 0.2. It shows in the load that is booked on the inbound link, hence in
    // refusals.
    let admitted_after = |hits: u64| {
        let mut stage = DirectorHarness::new(
            Settings { zone_link_kb_per_s: vec![0.0, 0.0, 3000.0], ..settings() },
            &(10..22).map(edge).chain([parent(30), origin(40)]).collect::<Vec<_>>(),
        );
        for object in 1..=hits {
            stage.hit(object, 400.0);
        }
        (1000..1100).take_while(|&o| !refused(&stage.ask(o, 400.0).1)).count()
    };
    let (initial, once, twice) = (admitted_after(19), admitted_after(20), admitted_after(40));
    assert!(once > initial + initial / 2 && twice > once + once / 2, "{initial} {once} {twice}");
}

#[test]
fn objects_without_a_believed_holder_get_a_lower_cache_rank() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let rank = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Fetch { rank, .. } => Some(*rank),
            _ => None,
        })
    };
    assert_eq!(rank(&stage.ask(1, 50.0).1), Some(1));
    stage.hit(2, 50.0);
    assert_eq!(rank(&stage.ask(2, 50.0).1), Some(2));
}
