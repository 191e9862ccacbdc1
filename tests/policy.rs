//! The decision module through its interface: the mechanism and each guard.

mod common;
use common::*;
use onyxyoke::interface::*;

fn fleet() -> Vec<Node> {
    vec![edge(10), edge(11), edge(12), parent(20), parent(21), origin(30)]
}

#[test]
fn the_same_object_goes_to_the_same_cache_at_all_directors_and_few_move() {
    let mut a = Stage::new(settings(), &fleet());
    let mut b = Stage::new(Settings { me: 1, ..settings() }, &fleet());
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
fn a_believed_holder_is_preferred_after_the_hash_pick_changes() {
    let mut s =
        Stage::new(settings(), &fleet()[..2].iter().chain(&fleet()[3..]).copied().collect::<Vec<_>>());
    let held: Vec<Sent> = (1..=40).map(|o| s.hit(o, 50.0)).collect();
    s.list(ListKind::Full, &fleet());
    for (object, held) in (1..=40).zip(held) {
        assert_eq!(s.hit(object, 50.0).node, held.node, "π is far below ν: the holder wins");
    }
}

#[test]
fn a_holder_with_a_bad_pi_loses_to_the_hash_pick() {
    let two = [edge(10), edge(11), parent(20), origin(30)];
    let mut s = Stage::new(settings(), &two);
    // Objects whose pick is cache 11 once it is there, but that were seen at 10 before.
    let mut probe = Stage::new(settings(), &two);
    let picks: Vec<u64> = (1..=900).filter(|&o| probe.hit(o, 5.0).node == 11).take(240).collect();
    s.list(ListKind::Full, &[edge(10), parent(20), origin(30)]);
    for &o in &picks {
        s.hit(o, 5.0);
    }
    s.list(ListKind::Full, &two);
    // Window after window finds believed copies gone: π[1] rises to 1 - 0.999 * 0.75^k, past what ν allows.
    let mut stayed = 0;
    for &o in &picks {
        let sent = s.fetch(o, 5.0);
        if sent.node == 11 {
            break;
        }
        stayed += 1;
        s.end(sent, 0, Outcome::Ok, Note::Filled, 0.3);
    }
    assert!((40..200).contains(&stayed), "two windows at least, and not for ever: {stayed}");
}

#[test]
fn a_hot_object_spreads_by_a_sibling_fill_before_its_cache_is_swamped() {
    let mut s = Stage::new(settings(), &fleet());
    let first = s.hit(7, 300.0);
    let burst: Vec<Sent> = (0..14).map(|_| s.fetch(7, 300.0)).collect();
    let spread: Vec<&Sent> = burst.iter().filter(|b| b.node != first.node).collect();
    assert!(!spread.is_empty(), "one cache must not get everything");
    assert!(spread.iter().all(|b| b.source == first.node && b.held_only), "{spread:?}");
}

#[test]
fn a_sibling_that_lacks_the_object_is_believed_no_longer() {
    let mut s = Stage::new(settings(), &fleet());
    let first = s.hit(7, 300.0);
    let burst: Vec<Sent> = (0..14).map(|_| s.fetch(7, 300.0)).collect();
    let spread = *burst.iter().find(|b| b.held_only).expect("a sibling fill");
    let again = s.end(spread, 0, Outcome::Miss, Note::SourceLacks, 0.01);
    let again = sent(&again)[0];
    assert!(again.source != first.node, "the next try is filled from above: {again:?}");
}

#[test]
fn a_miss_is_filled_from_a_parent_and_from_the_origin_when_there_is_none() {
    let mut s = Stage::new(settings(), &fleet());
    assert!([20, 21].contains(&s.fetch(1, 50.0).source));
    let mut s = Stage::new(settings(), &[edge(10), origin(30)]);
    assert_eq!(s.fetch(1, 50.0).source, 30);
}

#[test]
fn the_quicker_parent_gets_most_of_the_fills() {
    let mut s = Stage::new(settings(), &fleet());
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
fn nothing_goes_to_a_draining_or_absent_node_nor_is_filled_from_it() {
    let mut s = Stage::new(settings(), &fleet());
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

#[test]
fn a_purge_voids_beliefs_and_limits_the_age_until_caches_have_settled() {
    let mut s = Stage::new(Settings { joins: true, ..settings() }, &fleet());
    let first = s.fetch(5, 50.0);
    assert_eq!((first.age, first.join), (0.0, true));
    s.end(first, 0, Outcome::Ok, Note::Hit, 0.05);
    s.event(Event::Purged { object: Some(ObjectId(5)), group: GroupId(1), age: 0.2 });
    for step in 0..13 {
        let sent = s.hit(5, 50.0);
        let since = s.now - 0.05 - 100.05 + 0.2;
        assert!(sent.age > 0.0 && sent.age <= since.max(0.001), "{sent:?} {step}");
        assert!(!sent.join, "a running fill may carry the old version");
        s.now += 0.4;
    }
    s.now += 2.0;
    assert_eq!(s.fetch(5, 50.0).age, 0.0);
    // A whole group, with an age of 0: the limit must not become "none".
    s.event(Event::Purged { object: None, group: GroupId(1), age: 0.0 });
    let sent = s.fetch(5, 50.0);
    assert!(sent.age > 0.0 && sent.age < 0.01);
}

#[test]
fn a_purge_limit_combines_with_the_fresh_time() {
    let mut base = settings();
    base.classes[0].fresh = 2.0;
    let mut s = Stage::new(base, &fleet());
    s.event(Event::Purged { object: Some(ObjectId(5)), group: GroupId(1), age: 5.0 });
    assert_eq!(s.fetch(5, 50.0).age, 2.0);
}

#[test]
fn a_cold_cache_gets_a_little_and_no_more_than_its_budget() {
    let cold = Node { ready_at: 99.0, ..edge(10) };
    let mut s = Stage::new(settings(), &[cold, edge(11), parent(20), origin(30)]);
    let mut work: f64 = 0.0;
    for object in 1..400 {
        let (_, actions) = s.ask(object, 50.0);
        work += sent(&actions).iter().filter(|x| x.node == 10 || x.source == 10).count() as f64 * 0.05;
        s.now += 0.002;
    }
    // Present share 0.28 to 0.35 of a link unknown, taken for 2 transfers; multiple 2; window 1 s.
    assert!(work > 0.1 && work < 0.35 * 2.0 * 2.0, "{work}");
}

#[test]
fn a_cold_parent_gets_few_fills_and_the_origin_takes_the_rest() {
    let cold = Node { ready_at: 99.0, ..parent(20) };
    let mut s = Stage::new(settings(), &[edge(10), edge(11), edge(12), cold, origin(30)]);
    let mut at = std::collections::BTreeMap::new();
    for object in 1..60 {
        for x in sent(&s.ask(object, 20.0).1) {
            *at.entry(x.source).or_insert(0) += 1;
        }
    }
    assert!(at[&30] > 10 * at.get(&20).copied().unwrap_or(0), "{at:?}");
}

#[test]
fn beliefs_about_a_restarted_cache_are_dropped() {
    let mut s = Stage::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let first = s.hit(3, 50.0);
    s.now += 1.0;
    let again = Node { ready_at: s.now, ..edge(first.node) };
    s.list(ListKind::Delta, &[again]);
    s.now += 20.0;
    // Were it still believed, its own copy would do and a burst would be spread by sibling fills.
    let burst: Vec<Sent> = (0..12).flat_map(|_| sent(&s.ask(3, 50.0).1)).collect();
    assert!(!burst.is_empty() && burst.iter().all(|b| !b.held_only), "{burst:?}");
}

#[test]
fn beliefs_age() {
    let mut s = Stage::new(settings(), &[edge(10), parent(20), origin(30)]);
    s.mixed();
    s.hit(3, 50.0);
    s.list(ListKind::Full, &fleet());
    s.now += 31.0;
    let mut other = Stage::new(settings(), &fleet());
    assert_eq!(s.fetch(3, 50.0).node, other.fetch(3, 50.0).node, "the hash decides again");
}

#[test]
fn a_silent_cache_is_left_while_others_answer() {
    let mut s = Stage::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let mut stuck = None;
    for object in 1..30 {
        let sent = s.fetch(object, 20.0);
        if sent.node == 10 {
            stuck = stuck.or(Some((object, sent)));
        } else {
            s.end(sent, 0, Outcome::Ok, Note::Hit, 0.02);
        }
    }
    let (_, sent_first) = stuck.expect("some object of cache 10");
    let actions = s.event(Event::Alarm { token: u64::from(sent_first.id) << 16 });
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { attempt: 0, .. })), "{actions:?}");
    assert_eq!(sent(&actions)[0].node, 11);
    for object in 100..130 {
        assert_eq!(s.hit(object, 20.0).node, 11, "blamed: nothing new for a while");
    }
}

/// Guards a node's health against what bad clients do: requests taken back at once, and waits too short for
/// anybody to answer.
#[test]
fn requests_taken_back_or_given_no_time_blame_nobody() {
    let mut s = Stage::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let home = s.hit(1, 50.0).node;
    for object in 0..40 {
        let sent = s.fetch(object, 50.0);
        if object % 2 == 0 {
            s.event(Event::Expired { request: RequestId(sent.id) });
            s.end(sent, 0, Outcome::Cancelled, Note::None, 0.0);
        } else {
            s.end(sent, 0, Outcome::TimedOut, Note::None, 0.001);
            s.event(Event::Expired { request: RequestId(sent.id) });
        }
    }
    assert_eq!(s.fetch(1, 50.0).node, home);
}

/// Guards the start of a day: a link that its weight tells to be wide is not taken for a narrow one until enough
/// answers have come, or requests are refused that it could carry.
#[test]
fn a_wide_link_is_known_by_its_weight_from_the_start() {
    let refused_of_20 = |weight| {
        let settings = Settings { weights_told: true, zone_link: vec![0.0, 0.0, 60_000.0], ..settings() };
        let cache = Node { weight, ..edge(10) };
        let mut s = Stage::new(settings, &[cache, parent(20), origin(30)]);
        (1..=20).filter(|&o| refused(&s.ask(o, 800.0).1)).count()
    };
    let refused = [4.0, 30.0].map(refused_of_20);
    assert!(refused[0] > 5 && refused[1] == 0, "{refused:?}");
}

/// A connection that broke takes several requests with it, which is one sign and no proof: they go again to
/// the node that holds what they want. Three such signs without an answer between do blame it.
#[test]
fn a_reset_is_one_sign_for_all_that_it_took() {
    let mut s = Stage::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    s.mixed();
    let home = s.hit(1, 50.0).node;
    let out: Vec<Sent> = (0..5).map(|_| s.fetch(1, 50.0)).filter(|x| x.node == home).collect();
    assert!(out.len() > 2);
    for x in &out {
        let again = s.end(*x, 0, Outcome::Reset, Note::None, 0.0);
        assert_eq!(sent(&again)[0].node, home);
    }
    for number in 1..3 {
        s.now += 0.1;
        let again = s.end(out[0], number, Outcome::Reset, Note::None, 0.0);
        assert_eq!(sent(&again)[0].node == home, number < 2, "{again:?}");
    }
}

/// An answer that got lost at a node that answers others is not waited for until the client gives up, and once
/// that is seen to happen it is noticed sooner. Nobody is blamed.
#[test]
fn an_answer_that_got_lost_is_asked_for_again_and_the_next_sooner() {
    let mut s = Stage::new(settings(), &[edge(10), parent(20), origin(30)]);
    s.hit(1, 50.0);
    let mut waits = Vec::new();
    for _ in 0..2 {
        let (id, actions) = s.ask(1, 50.0);
        let lost = sent(&actions)[0];
        let alarm = |actions: &[Action]| {
            actions.iter().find_map(|a| if let Action::Alarm { after, .. } = a { Some(*after) } else { None })
        };
        let (begun, mut after) = (s.now, alarm(&actions).unwrap());
        s.now += 0.01;
        s.hit(2, 50.0);
        let late = loop {
            s.now = s.now.max(begun + after);
            assert!(s.now < begun + 2.0, "waited for too long");
            let actions = s.event(Event::Alarm { token: u64::from(id) << 16 });
            match alarm(&actions).filter(|_| actions.len() == 1) {
                Some(more) => after = s.now - begun + more,
                None => break actions,
            }
        };
        assert!(matches!(late[0], Action::Cancel { attempt: 0, .. }), "{late:?}");
        assert_eq!(sent(&late)[0].node, lost.node);
        waits.push(s.now - begun);
        s.end(lost, 0, Outcome::Cancelled, Note::None, 0.0);
        s.end(lost, 1, Outcome::Ok, Note::Hit, 0.05);
    }
    assert!(waits[1] < waits[0] && waits[0] < 1.0, "{waits:?}");
}

/// Guards the memory of a long day, on which new nodes take the place of old ones without end.
#[test]
fn nodes_that_left_are_forgotten() {
    let mut s = Stage::new(settings(), &fleet());
    for id in 1000..1500 {
        s.list(ListKind::Delta, &[edge(id)]);
        s.now += 1.0;
        s.list(ListKind::Delta, &[Node { state: NodeState::Gone, ..edge(id) }]);
    }
    assert!(s.director.known_nodes() < 100, "{}", s.director.known_nodes());
}

#[test]
fn a_stall_of_everything_blames_nobody() {
    let mut s = Stage::new(settings(), &fleet());
    s.mixed();
    let homes: Vec<Sent> = (1..=20).map(|o| s.hit(o, 10.0)).collect();
    let out: Vec<Sent> = (1..=6).map(|o| s.fetch(o, 10.0)).collect();
    s.now += 2.0;
    for sent in &out {
        let actions = s.event(Event::Alarm { token: u64::from(sent.id) << 16 });
        assert!(matches!(actions[..], [Action::Alarm { .. }]), "{actions:?}");
    }
    for sent in out {
        s.end(sent, 0, Outcome::Ok, Note::Hit, 0.0);
    }
    for (object, home) in (1..=20).zip(homes) {
        assert_eq!(s.hit(object, 10.0).node, home.node, "beliefs and health outlive it");
    }
}

#[test]
fn without_leave_to_duplicate_the_next_attempt_waits_for_the_cancelled_one() {
    let mut s = Stage::new(Settings { duplicate: false, ..settings() }, &fleet());
    let stuck = s.fetch(1, 10.0);
    let other = (2..).map(|o| s.fetch(o, 10.0)).find(|x| x.node != stuck.node && x.source != stuck.source);
    s.end(other.expect("some other cache"), 0, Outcome::Ok, Note::Hit, 0.5);
    let actions = s.event(Event::Alarm { token: u64::from(stuck.id) << 16 });
    assert!(sent(&actions).is_empty() && matches!(actions[..], [Action::Cancel { .. }]), "{actions:?}");
    let actions = s.end(stuck, 0, Outcome::Cancelled, Note::None, 0.0);
    assert_eq!(sent(&actions).len(), 1);
}

#[test]
fn a_parent_that_is_gone_is_not_taken_for_full_caches() {
    // Notes don't tell: refused fills from one parent, through whichever cache.
    let mut s = Stage::new(Settings { notes: Notes::Hit, ..settings() }, &fleet());
    for object in 1..40 {
        let mut x = s.fetch(object, 10.0);
        let mut number = 0;
        while x.source == 20 {
            let next = s.end(x, number, Outcome::Full, Note::None, 0.001);
            let next = sent(&next)[0];
            assert_eq!(next.node, x.node, "the cache is kept, the source changes");
            (x, number) = (next, number + 1);
        }
        s.end(x, number, Outcome::Ok, Note::Filled, 0.005);
    }
    assert_ne!(s.fetch(1000, 10.0).source, 20, "blamed by now");
}

#[test]
fn what_cannot_be_answered_in_time_is_refused_before_it_is_sent() {
    let mut s = Stage::new(settings(), &[edge(10), parent(20), origin(30)]);
    let (mut taken, mut turned) = (0, 0);
    for object in 1..200 {
        let (_, actions) = s.ask(object, 400.0);
        taken += sent(&actions).len();
        turned += usize::from(refused(&actions));
    }
    assert!(taken > 5 && taken < 60 && taken + turned == 199, "{taken} {turned}");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_not_sent_again() {
    for (outcome, resent) in [
        (Outcome::Reset, false),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Full, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Miss, true),
    ] {
        let mut base = settings();
        base.classes[0].effect = Effect::Unsafe;
        let mut s = Stage::new(base, &fleet());
        let x = s.fetch(1, 10.0);
        let actions = s.end(x, 0, outcome, Note::None, 0.1);
        assert_eq!(sent(&actions).len(), usize::from(resent), "{outcome:?}");
        assert_eq!(failed(&actions), !resent, "{outcome:?}");
        assert!(!refused(&actions));
    }
}

#[test]
fn a_keyed_request_stays_in_its_cell_and_within_its_time() {
    let celled = |id, cell| Node { cell, ..edge(id) };
    let nodes = [celled(10, 1), celled(11, 1), celled(12, 2), parent(20), origin(30)];
    for (wait, in_time) in [(0.1, true), (3.0, false)] {
        let mut base = settings();
        base.classes[0] =
            Class { effect: Effect::Keyed(Scope::Cell), key_ttl: 2.0, ..base.classes[0].clone() };
        for object in 1..30 {
            let mut s = Stage::new(base.clone(), &nodes);
            let x = s.fetch(object, 10.0);
            s.now += wait;
            let actions = s.end(x, 0, Outcome::Reset, Note::None, 0.0);
            assert!(!refused(&actions), "only a failure may be told");
            match sent(&actions)[..] {
                [again] => assert!(in_time && (again.node == 12) == (x.node == 12), "{x:?} {again:?}"),
                [] => assert!(failed(&actions)),
                _ => panic!("two attempts at once"),
            }
        }
    }
}

#[test]
fn the_deadline_ends_a_request_with_one_final_answer() {
    let mut s = Stage::new(settings(), &fleet());
    let x = s.fetch(1, 10.0);
    let actions = s.end(x, 0, Outcome::TimedOut, Note::None, 5.0);
    assert_eq!((actions.len(), refused(&actions)), (1, true));
    assert!(s.event(Event::Expired { request: RequestId(x.id) }).is_empty());
    assert!(s.end(x, 0, Outcome::Ok, Note::Hit, 0.0).is_empty());
}

#[test]
fn a_class_out_of_range_is_failed_without_a_panic() {
    let mut s = Stage::new(settings(), &fleet());
    let request = Request { class: ClassId(9), ..Request::default() };
    assert!(failed(&s.event(Event::Request(request))));
}

#[test]
fn the_belief_table_is_bounded() {
    let mut s = Stage::new(settings(), &[edge(10), parent(20), origin(30)]);
    for object in 1..=100_050 {
        let x = s.fetch(object, 1.0);
        s.now -= 0.001;
        s.end(x, 0, Outcome::Ok, Note::Hit, 0.001);
    }
    s.list(ListKind::Full, &fleet());
    let mut fresh = Stage::new(settings(), &fleet());
    let moved = |s: &mut Stage, o: u64| s.hit(o, 1.0).node;
    let elsewhere: Vec<u64> = (1..60).filter(|&o| moved(&mut fresh, o) != 10).take(20).collect();
    assert!(elsewhere.iter().all(|&o| moved(&mut s, o) != 10), "the oldest are forgotten");
    let late = (100_000..100_050).filter(|&o| moved(&mut s, o) == 10).count();
    assert_eq!(late, 50, "the newest are kept");
}

#[test]
fn an_origin_in_trouble_costs_neither_the_parents_nor_a_storm_of_tries() {
    let mut s = Stage::new(settings(), &fleet());
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
fn what_was_asked_for_once_is_kept_below_what_is_believed_held() {
    let mut s = Stage::new(settings(), &fleet());
    let rank = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Fetch { rank, .. } => Some(*rank),
            _ => None,
        })
    };
    assert_eq!(rank(&s.ask(1, 50.0).1), Some(1));
    s.hit(2, 50.0);
    assert_eq!(rank(&s.ask(2, 50.0).1), Some(2));
}

/// A zone that `here` directors share, of 20 times as many in all.
fn crowd(here: u16) -> Settings {
    Settings { directors: 20 * here, directors_by_zone: vec![0, 0, here], ..settings() }
}

#[test]
fn one_director_of_many_does_not_take_a_single_transfer_for_a_full_link() {
    for here in [1, 10, 40] {
        let mut s = Stage::new(crowd(here), &fleet());
        for object in 1..40 {
            let x = s.fetch(object, 400.0);
            s.end(x, 0, Outcome::Ok, Note::Filled, 0.45);
            s.now += 3.0;
        }
    }
}

#[test]
fn transfers_of_the_peers_are_taken_to_be_as_many_as_the_own_ones() {
    // Two transfers out all the time: nothing for one director, far too much where ten do the same.
    let turned_away = |here| {
        let mut s = Stage::new(crowd(here), &[edge(10), parent(20), origin(30)]);
        let mut turned = 0;
        let mut out = std::collections::VecDeque::new();
        for object in 1..120 {
            let (_, actions) = s.ask(object % 3, 400.0);
            turned += usize::from(refused(&actions));
            out.extend(sent(&actions));
            s.now += 0.2;
            if out.len() > 2 {
                let x = out.pop_front().expect("three are out");
                s.end(x, 0, Outcome::Ok, Note::Hit, 0.0);
            }
        }
        turned
    };
    assert_eq!(turned_away(1), 0);
    assert!(turned_away(10) > 20, "{}", turned_away(10));
}

#[test]
fn directors_of_a_crowd_share_a_cold_budget_by_turns_and_keep_it_together() {
    // 200 directors, each with a request every 0.4 s: 25 transfers' worth in a second, for a link of 2 when warm.
    for cold in [Node { ready_at: 99.0, ..parent(20) }, Node { ready_at: 99.0, ..edge(10) }] {
        let nodes = [Node { weight: 2.0, ..cold }, edge(11), origin(30)];
        let mut at: Vec<f64> = Vec::new();
        for me in 0..200 {
            let base = Settings { me, weights_told: true, ..crowd(200) };
            let mut s = Stage::seeded(u64::from(me), Settings { directors: 200, ..base }, &nodes);
            s.now += f64::from(me) * 0.002;
            for step in 0..20 {
                let (_, actions) = s.ask(u64::from(me) * 1000 + step, 50.0);
                for x in sent(&actions) {
                    at.extend((x.node == cold.id.0 || x.source == cold.id.0).then_some(s.now));
                    s.end(x, 0, Outcome::Ok, Note::Filled, 0.0);
                }
                s.now += 0.4;
            }
        }
        assert!(at.len() > 20, "some do send: {}", at.len());
        for &t in &at {
            let work = at.iter().filter(|&&x| x > t - 1.0 && x <= t).count() as f64 * 0.05;
            let (from, time) = if cold.kind == PARENT { (0.1, 20.0) } else { (0.2, 10.0) };
            let part = from + (1.0 - from) * (t - 99.0) / time;
            // Multiple 2, link 2, window 1 s.
            assert!(work <= 2.0 * part * 2.0, "{work} within the second to {t}");
        }
    }
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
    let mut s = Stage::new(settings(), &fleet());
    let mut spared = [0, 0];
    for object in 1..200 {
        let mut x = s.fetch(object, 20.0);
        let mut number = 0;
        while x.held_only {
            spared[1] += 1;
            let next = s.end(x, number, Outcome::Miss, Note::SourceLacks, 0.001);
            let Some(&next) = sent(&next).first() else { break };
            (x, number) = (next, number + 1);
        }
        if !x.held_only {
            spared[0] += 1;
            s.end(x, number, Outcome::Full, Note::OriginFailed, 0.001);
            s.event(Event::Expired { request: RequestId(x.id) });
        }
    }
    assert!(spared[0] < 60 && spared[0] > 3 && spared[1] > 300, "{spared:?}");
    s.now += 60.0;
    let x = s.fetch(1000, 20.0);
    assert!(!x.held_only, "trusted again after a while");
}

#[test]
fn a_parent_that_is_slow_with_films_does_not_get_pages_refused() {
    let mut s = Stage::new(
        Settings { zone_link: vec![0.0, 0.0, 3000.0], ..settings() },
        &[edge(10), parent(20), origin(30)],
    );
    for object in 1..20 {
        let x = s.fetch(object, 400.0);
        s.end(x, 0, Outcome::Ok, Note::Filled, 1.3);
    }
    // The link in is busy now, so that requests are looked at before they are taken.
    for object in 100..105 {
        s.ask(object, 100.0);
    }
    assert!(refused(&s.ask(200, 400.0).1), "a film would be late");
    assert_eq!(sent(&s.ask(201, 10.0).1).len(), 1, "a page is not");
}

#[test]
fn counts_of_directors_that_are_zero_or_missing_count_as_one() {
    for by_zone in [vec![], vec![0], vec![0, 0, 0]] {
        let base = Settings { directors: 0, directors_by_zone: by_zone, ..settings() };
        let cold = Node { ready_at: 99.0, ..parent(20) };
        let mut s = Stage::new(base, &[edge(10), cold, origin(30)]);
        for object in 1..20 {
            s.hit(object, 20.0);
        }
    }
}

#[test]
fn pi_and_nu_are_estimated_by_windows_of_twenty_outcomes() {
    // One cache, no parents' delay: M is the link's share alone. ν[0] starts at 0.8; twenty hits without a
    // belief make it 0.4, twenty more 0.2. It shows in what is booked on the link in, hence in refusals.
    let taken_with = |hits: u64| {
        let mut s = Stage::new(
            Settings { zone_link: vec![0.0, 0.0, 3000.0], ..settings() },
            &(10..22).map(edge).chain([parent(30), origin(40)]).collect::<Vec<_>>(),
        );
        for object in 1..=hits {
            s.hit(object, 400.0);
        }
        (1000..1100).take_while(|&o| !refused(&s.ask(o, 400.0).1)).count()
    };
    let (fresh, once, twice) = (taken_with(19), taken_with(20), taken_with(40));
    assert!(once > fresh + fresh / 2 && twice > once + once / 2, "{fresh} {once} {twice}");
}

#[test]
fn where_sizes_are_untold_the_first_hits_tell_pages_from_films() {
    // ibf0141: pages were taken for a third of a second of sending, and refused, until many hits had come.
    let mut s =
        Stage::new(Settings { zone_link: Vec::new(), ..settings() }, &[edge(10), parent(20), origin(30)]);
    for object in 1..4 {
        let x = s.fetch(object, 0.0);
        s.end(x, 0, Outcome::Ok, Note::Hit, 0.05);
        s.now += 1.0;
    }
    // A wait of twice the expected latency and 0.3 s shows what is expected.
    let (_, actions) = s.ask(1, 0.0);
    let after = actions.iter().find_map(|a| match a {
        Action::Alarm { after, .. } => Some(*after),
        _ => None,
    });
    assert!(after.is_some_and(|a| a < 0.5), "{after:?}");
}

/// What is never kept has no hits: where sizes are untold it was taken for a transfer of half a second for good, and refused
/// as soon as a link was just full (a keyed class of our deployment `grand-large`: a third of it served).
#[test]
fn where_sizes_are_untold_what_is_never_kept_is_not_taken_for_a_film() {
    let mut settings = Settings { zone_link: vec![0.0, 0.0, 2000.0], ..settings() };
    settings.classes[0].never_kept = true;
    for note in [Note::FilledFromOrigin, Note::None] {
        let mut s = Stage::new(settings.clone(), &fleet());
        for object in 1..10 {
            let x = s.fetch(object, 0.0);
            s.end(x, 0, Outcome::Ok, note, 0.06);
            s.now += 0.2;
        }
        for object in 10..16 {
            s.fetch(object, 0.0);
        }
    }
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

/// Guards against refusing what a link that is only just full would still carry in time or nearly so: days
/// were seen that refused 4% while 1% came late. Where the link is far over, the guard is strict.
#[test]
fn the_overload_guard_gets_strict_as_a_link_fills() {
    let mut settings = Settings { zone_link: vec![0.0, 0.0, 2000.0], ..settings() };
    settings.classes[0].aim_stretch = 1.6;
    let mut s = Stage::new(settings, &fleet());
    s.patience = 30.0;
    s.fetch(1, 100.0);
    s.fetch(2, 100.0);
    let (_, actions) = s.ask(3, 5000.0);
    assert_eq!(
        sent(&actions).len(),
        1,
        "estimated a little under its aim, on a link a third over: {actions:?}"
    );
    s.fetch(4, 100.0);
    let (_, actions) = s.ask(5, 5000.0);
    assert!(refused(&actions), "far over: {actions:?}");
}

/// Guards the large ones of a class: on a link that stays over full the guard would refuse them all, and the small ones none
/// (calm+mass of our deployment `vallee-etroite`: half of the largest tenth answered).
#[test]
fn the_large_ones_of_a_class_are_not_refused_alone() {
    let mut settings = Settings { zone_link: vec![0.0, 0.0, 2000.0], ..settings() };
    settings.classes[0].aim_stretch = 1.3;
    let mut s = Stage::new(settings, &fleet());
    s.patience = 30.0;
    for object in 1..4 {
        s.fetch(object, 100.0);
    }
    let mut taken = [0, 0];
    for object in 10..410 {
        let large = object % 10 == 0;
        let kb = if large { 3000.0 } else { 100.0 };
        let (_, actions) = s.ask(object, kb);
        if let Some(&x) = sent(&actions).first() {
            taken[usize::from(large)] += 1;
            s.end(x, 0, Outcome::Ok, Note::Filled, 0.05 + 1.5 * kb / 1000.0);
        }
        s.now += 0.1;
    }
    assert!(taken[0] > 340, "{taken:?}");
    assert!((23..36).contains(&taken[1]), "seven in ten of forty: {taken:?}");
}

/// Guards small caches against as many objects as large ones get: links differ by a multiple in one location.
#[test]
fn objects_are_at_home_in_proportion_to_links() {
    let sized = |id, weight| Node { weight, ..edge(id) };
    let nodes = [sized(10, 2.0), sized(11, 6.0), parent(20), origin(30)];
    let mut s = Stage::new(Settings { weights_told: true, ..settings() }, &nodes);
    let small = (1..=2_000).filter(|&object| s.hit(object, 10.0).node == 10).count();
    assert!((430..570).contains(&small), "a quarter of 2000: {small}");
}

/// Guards the home of an object that all ask for: each front sees too little of its load to find the link full.
#[test]
fn a_hot_object_is_asked_of_several_homes_and_a_rare_one_of_one() {
    let nodes: Vec<Node> = (10..30).map(edge).chain([parent(40), origin(50)]).collect();
    let homes = |object: u64| {
        let asked = (0..50).map(|me| {
            let mut s = Stage::seeded(me, Settings { me: me as u16, ..settings() }, &nodes);
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
        let mut s = Stage::seeded(me, Settings { me: me as u16, ..settings() }, &nodes);
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
