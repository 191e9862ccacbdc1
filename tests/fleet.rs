//! What a whole fleet of directors does that see the same news and share nothing: harmless alone, harmful together.

mod common;
use common::*;
use onyxyoke::interface::*;

const DIRECTORS: u16 = 50;

/// Directors of one location that has three caches, each with a seed and a number of its own.
fn directors(settings: &Settings, nodes: &[Node]) -> Vec<Stage> {
    let one = |me| {
        let here = Settings { director_number: me, directors: DIRECTORS, ..settings.clone() };
        Stage::seeded(u64::from(me) + 1, here, nodes)
    };
    (0..DIRECTORS).map(one).collect()
}

/// Each director asks for objects that nobody asked for before; cache 10 takes `slower` times as long as the others.
/// Returns how many went there.
fn round(fleet: &mut [Stage], first: u64, count: u64, slower: f64) -> u64 {
    let mut there = 0;
    for s in fleet {
        for object in first..first + count {
            s.now += 0.3;
            let sent = s.fetch(object, 100.0);
            let took = 0.1 * if sent.node == 10 { slower } else { 1.0 };
            there += u64::from(sent.node == 10);
            s.end(sent, 0, Outcome::Ok, Note::Hit, took);
        }
    }
    there
}

/// Guards against a cache that answers everything, ten times too late: none of its answers is a failure, so nobody was
/// blamed, and each of the fronts kept a third of its requests there.
#[test]
fn a_cache_that_turns_slow_is_left_by_all_and_asked_again_once_it_is_quick() {
    let mut fleet = directors(&settings(), &small_fleet());
    let calm = round(&mut fleet, 1, 40, 1.0);
    let slow = round(&mut fleet, 1000, 40, 10.0);
    assert!(slow * 3 < calm, "{slow} of {calm}");
    assert!(slow >= u64::from(DIRECTORS), "each finds out for itself: {slow}");
    round(&mut fleet, 2000, 40, 1.0);
    let again = round(&mut fleet, 3000, 40, 1.0);
    assert!(again * 10 > calm * 9, "{again} of {calm}");
}

/// Guards the parents of a hub that has few: all fronts of its locations lean on the same ones, whose fills then crawl
/// while those of the next hub have room. And guards the memory of it: when the jam is over, they are asked again.
#[test]
fn a_slow_parent_of_the_own_hub_is_relieved_by_others_until_its_jam_is_over() {
    let far = Node { zone: ZoneId(1), ..parent(21) };
    let mut fleet = directors(&settings(), &[edge(10), parent(20), far, origin(30)]);
    let mut fills = |first: u64, jam: f64| {
        let mut near = 0;
        for s in &mut fleet {
            for object in first..first + 30 {
                s.now += 0.2;
                let sent = s.fetch(object, 100.0);
                near += u64::from(sent.source == 20);
                let took = 0.15 + if sent.source == 20 { jam } else { 0.02 };
                s.end(sent, 0, Outcome::Ok, Note::Filled, took);
            }
            s.now += 20.0;
        }
        near
    };
    let all = 30 * u64::from(DIRECTORS);
    assert_eq!(fills(1, 0.0), all);
    let jammed = fills(100, 0.4);
    assert!(jammed * 3 < all * 2, "{jammed} of {all}");
    assert_eq!(fills(200, 0.0), all, "a jam long ago is no jam now");
}

/// Guards the link in against transfers that nobody will wait for: with many fronts it fills, and a client that
/// gives up before its answer can be whole has only taken a part of it from the others.
#[test]
fn what_its_client_will_not_wait_for_is_refused_on_a_full_link() {
    let mut settings = Settings { zone_link_kb_per_s: vec![0.0, 0.0, 2000.0], ..settings() };
    settings.classes[0].aim_stretch = 1.6;
    let mut fleet = directors(&settings, &small_fleet());
    for s in &mut fleet {
        for object in 1..=2 {
            s.fetch(object, 100.0);
        }
        let mut ask = |id, patience| {
            let request = Request {
                id: RequestId(id),
                object: ObjectId(u64::from(id)),
                expires: s.now + patience,
                kb: 4000.0,
                ..Request::default()
            };
            s.event(Event::Request(request))
        };
        assert!(refused(&ask(1000, 3.0)), "four seconds of sending");
        assert_eq!(sent(&ask(1001, 30.0)).len(), 1);
    }
}

/// Guards full links against fronts that see little of them: what one of two fronts still sends is refused by one of
/// many, though both take the links to be as full.
#[test]
fn many_peers_make_the_overload_guard_strict() {
    let sends = |peers: u16| {
        // Its own transfers and those that it takes its peers to have come to the same.
        let link = 20_000.0 * f64::from(peers);
        let here = Settings { directors: peers, directors_by_zone: vec![0, 0, peers], ..settings() };
        let mut s =
            Stage::new(Settings { zone_link_kb_per_s: vec![0.0, 0.0, link], ..here }, &small_fleet()[..2]);
        s.list(ListKind::Delta, &[parent(20), origin(30)]);
        s.patience = 60.0;
        let mut sizes = (0..).map(|i| 100.0 * 1.1f64.powi(i));
        (0..12).for_each(|object| drop(s.ask(object, 100.0)));
        sizes.find(|&kb| refused(&s.ask(1000 + kb as u64, kb).1)).unwrap()
    };
    let (few, many) = (sends(2), sends(9));
    assert!(many < few, "{many} and {few} KB are the first to be refused");
}

/// Guards new nodes when most of a location is replaced within seconds: each director that is told of one could push it
/// over with what it moves there, and all are told at once. Nothing may start in one instant either.
#[test]
fn six_of_ten_caches_replaced_are_not_pushed_over_by_all_together() {
    let link = 2.0;
    let old: Vec<Node> = (10..20).map(|id| Node { weight: link, ..edge(id) }).collect();
    let fixed = [parent(20), parent(21), origin(30)];
    let all: Vec<Node> = old.iter().chain(&fixed).copied().collect();
    // One after the other leaves and has a new one in its place, cold from its start on.
    let fresh: Vec<Node> = (0..6)
        .map(|i| Node { weight: link, ready_at: 101.0 + f64::from(i), ..edge(40 + i as u64) })
        .collect();
    let here =
        Settings { weights_are_link_sizes: true, directors_by_zone: vec![0, 0, DIRECTORS], ..settings() };
    let mut sends: Vec<(u64, f64)> = Vec::new();
    let mut refusals = 0;
    for (me, mut s) in directors(&here, &all).into_iter().enumerate() {
        s.now += me as f64 * 0.1 / f64::from(DIRECTORS);
        let mut told = 0;
        for step in 0..160 {
            while told < fresh.len() && s.now >= fresh[told].ready_at + 0.5 {
                let gone = Node { state: NodeState::Draining, ..old[told] };
                s.list(ListKind::Delta, &[gone, fresh[told]]);
                told += 1;
            }
            let (_, actions) = s.ask(me as u64 * 1000 + step, 50.0);
            refusals += u32::from(refused(&actions));
            for x in sent(&actions) {
                assert!(!old[..told].iter().any(|n| n.id.0 == x.node), "nothing new for one that drains");
                sends.push((x.node, s.now));
                s.end(x, 0, Outcome::Ok, Note::Filled, 0.0);
            }
            s.now += 0.1;
        }
    }
    for node in &fresh {
        let mut at: Vec<f64> = sends.iter().filter(|x| x.0 == node.id.0).map(|x| x.1).collect();
        at.sort_by(f64::total_cmp);
        assert!(at.len() > 20, "it gets something to warm by: {}", at.len());
        for &t in at.iter().filter(|&&t| t < node.ready_at + 10.0) {
            // Multiple 2, window 1 s, cold from 0.2 of its link for 10 s.
            let part = 0.2 + 0.8 * (t - node.ready_at) / 10.0;
            let within = |span: f64| at.iter().filter(|&&x| x > t - span && x <= t).count() as f64 * 0.05;
            assert!(within(1.0) <= 2.0 * part * link, "{} within the second to {t}", within(1.0));
            assert!(within(0.02) <= 0.5 * part * link, "{} in one instant at {t}", within(0.02));
        }
    }
    assert!(refusals < 40, "what is left carries the load: {refusals} refused");
}

/// Guards a fleet that starts again with lists of different age: one that is not told of a replacement in full keeps to
/// what is listed, and the word of the next list counts whatever came before, twice or late.
#[test]
fn a_list_told_twice_or_after_a_gap_leaves_all_with_the_same_nodes() {
    let fresh = Node { ready_at: 99.0, ..edge(13) };
    let gone = Node { state: NodeState::Withdrawn, ..edge(12) };
    let now = vec![edge(10), edge(11), fresh, parent(20), parent(21), origin(30)];
    for (me, mut s) in directors(&settings(), &small_fleet()).into_iter().enumerate() {
        match me % 3 {
            0 => s.list(ListKind::Delta, &[gone, fresh]),
            1 => (0..2).for_each(|_| s.list(ListKind::Delta, &[fresh, gone])),
            _ => s.list(ListKind::Full, &now),
        }
        s.now += 30.0;
        let seen: std::collections::BTreeSet<u64> = (1..=60).map(|object| s.hit(object, 10.0).node).collect();
        assert_eq!(seen, [10, 11, 13].into(), "director {me}");
    }
}

/// Guards everything purged at once: no director may believe a copy from before, and none may ask for one, while what
/// they fill goes to many parents and not to one.
#[test]
fn everything_purged_at_once_is_filled_anew_from_many_parents() {
    let parents: Vec<Node> = (20..26).map(parent).collect();
    let nodes: Vec<Node> =
        [edge(10), edge(11), edge(12)].into_iter().chain(parents).chain([origin(30)]).collect();
    let mut fleet = directors(&settings(), &nodes);
    let mut asked = std::collections::BTreeMap::new();
    for s in &mut fleet {
        for object in 1..=20 {
            s.hit(object, 50.0);
        }
        s.now = 150.0;
        for group in 0..4 {
            s.event(Event::Purged { object: None, group: GroupId(group), age: 0.0 });
        }
        s.now += 1.0;
        for object in 1..=20 {
            let sent = s.fetch(object, 50.0);
            assert!(
                sent.age > 0.0 && sent.age < s.now - 150.0,
                "a copy from before the purge would do: {sent:?}"
            );
            assert!(!sent.only_if_cached && sent.source >= 20, "from above: {sent:?}");
            *asked.entry(sent.source).or_insert(0) += 1;
            s.end(sent, 0, Outcome::Ok, Note::FilledFromOrigin, 0.15);
        }
    }
    let most = asked.values().max().copied().unwrap_or(0);
    assert!(asked.len() >= 4 && most < 20 * i32::from(DIRECTORS) / 2, "{asked:?}");
}
