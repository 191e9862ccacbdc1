//! Fleets of directors that get the same events and share no state: decisions that are harmless alone and
//! harmful together.

mod common;
use common::*;
use onyxyoke::interface::*;

const DIRECTORS: u16 = 50;

/// The directors of one location, each with its own seed and number.
fn directors(settings: &Settings, nodes: &[Node]) -> Vec<DirectorHarness> {
    let director = |me| {
        let settings = Settings { director_number: me, directors: DIRECTORS, ..settings.clone() };
        DirectorHarness::seeded(u64::from(me) + 1, settings, nodes)
    };
    (0..DIRECTORS).map(director).collect()
}

/// Each director requests `count` objects that were not requested before. Cache 10 answers `slowdown` times
/// slower than the others. Returns the number of requests that went to cache 10.
fn request_round(fleet: &mut [DirectorHarness], first: u64, count: u64, slowdown: f64) -> u64 {
    let mut at_slow_cache = 0;
    for stage in fleet {
        for object in first..first + count {
            stage.now += 0.3;
            let sent = stage.fetch(object, 100.0);
            let took = 0.1 * if sent.node == 10 { slowdown } else { 1.0 };
            at_slow_cache += u64::from(sent.node == 10);
            stage.end(sent, 0, Outcome::Ok, Note::Hit, took);
        }
    }
    at_slow_cache
}

/// Guards against a cache that answers every request ten times too slowly: none of its answers is a failure,
/// so it was not ejected, and each front kept sending it a third of its requests.
#[test]
fn a_slow_cache_is_avoided_by_all_directors_and_used_again_when_it_recovers() {
    let mut fleet = directors(&settings(), &small_fleet());
    let before = request_round(&mut fleet, 1, 40, 1.0);
    let slow = request_round(&mut fleet, 1000, 40, 10.0);
    assert!(slow * 3 < before, "{slow} of {before}");
    assert!(slow >= u64::from(DIRECTORS), "each director detects it by its own requests: {slow}");
    request_round(&mut fleet, 2000, 40, 1.0);
    let after = request_round(&mut fleet, 3000, 40, 1.0);
    assert!(after * 10 > before * 9, "{after} of {before}");
}

/// Guards against overloading the parents of a hub that has few of them: all fronts of its locations use the
/// same ones, whose fills become slow while parents of the next hub have room. They must be used again
/// after the congestion.
#[test]
fn a_slow_parent_of_the_own_hub_shares_its_fills_with_others_until_it_recovers() {
    let far = Node { zone: ZoneId(1), ..parent(21) };
    let mut fleet = directors(&settings(), &[edge(10), parent(20), far, origin(30)]);
    let mut fills = |first: u64, extra_s: f64| {
        let mut near = 0;
        for stage in &mut fleet {
            for object in first..first + 30 {
                stage.now += 0.2;
                let sent = stage.fetch(object, 100.0);
                near += u64::from(sent.source == 20);
                let took = 0.15 + if sent.source == 20 { extra_s } else { 0.02 };
                stage.end(sent, 0, Outcome::Ok, Note::Filled, took);
            }
            stage.now += 20.0;
        }
        near
    };
    let all = 30 * u64::from(DIRECTORS);
    assert_eq!(fills(1, 0.0), all);
    let congested = fills(100, 0.4);
    assert!(congested * 3 < all * 2, "{congested} of {all}");
    assert_eq!(fills(200, 0.0), all, "a past congestion no longer counts");
}

/// Guards the inbound link against transfers that their clients will not wait for: with many fronts the link
/// fills, and the transfer of a client that gives up before the end has only taken capacity from the others.
#[test]
fn transfers_longer_than_the_deadline_are_refused_on_a_full_link() {
    let mut settings = Settings { zone_link_kb_per_s: vec![0.0, 0.0, 2000.0], ..settings() };
    settings.classes[0].aim_stretch = 1.6;
    let mut fleet = directors(&settings, &small_fleet());
    for stage in &mut fleet {
        for object in 1..=2 {
            stage.fetch(object, 100.0);
        }
        let mut ask = |id, patience| {
            let request = Request {
                id: RequestId(id),
                object: ObjectId(u64::from(id)),
                expires: stage.now + patience,
                kb: 4000.0,
                ..Request::default()
            };
            stage.event(Event::Request(request))
        };
        assert!(refused(&ask(1000, 3.0)), "the transfer takes four seconds, longer than the deadline");
        assert_eq!(sent_attempts(&ask(1001, 30.0)).len(), 1);
    }
}

/// Guards full links against fronts that see a small share of their load: one of many fronts refuses a
/// request that one of two fronts still sends, though both estimate the links as equally full.
#[test]
fn the_overload_guard_is_stricter_with_many_peers() {
    let smallest_refused_kb = |directors: u16| {
        // The link grows with the number of directors, so that its estimated use is the same.
        let link = 20_000.0 * f64::from(directors);
        let base = Settings { directors, directors_by_zone: vec![0, 0, directors], ..settings() };
        let mut stage = DirectorHarness::new(
            Settings { zone_link_kb_per_s: vec![0.0, 0.0, link], ..base },
            &small_fleet()[..2],
        );
        stage.list(ListKind::Delta, &[parent(20), origin(30)]);
        stage.patience = 60.0;
        let mut sizes = (0..).map(|i| 100.0 * 1.1f64.powi(i));
        (0..12).for_each(|object| drop(stage.ask(object, 100.0)));
        sizes.find(|&kb| refused(&stage.ask(1000 + kb as u64, kb).1)).unwrap()
    };
    let (few, many) = (smallest_refused_kb(2), smallest_refused_kb(9));
    assert!(many < few, "smallest refused sizes: {many} KB of many, {few} KB of few directors");
}

/// Guards new nodes against overload when most nodes of a location are replaced within seconds: all directors
/// learn of a new node at the same time, and each of them moves load to it. Their transfers must not all
/// start in one instant either.
#[test]
fn six_replaced_caches_of_ten_are_not_overloaded_by_all_directors_together() {
    let link = 2.0;
    let old: Vec<Node> = (10..20).map(|id| Node { weight: link, ..edge(id) }).collect();
    let fixed = [parent(20), parent(21), origin(30)];
    let all: Vec<Node> = old.iter().chain(&fixed).copied().collect();
    // One node after the other is replaced by a new one, which is cold from its start.
    let new_nodes: Vec<Node> = (0..6)
        .map(|i| Node { weight: link, ready_at: 101.0 + f64::from(i), ..edge(40 + i as u64) })
        .collect();
    let settings =
        Settings { weights_are_link_sizes: true, directors_by_zone: vec![0, 0, DIRECTORS], ..settings() };
    let mut sends: Vec<(u64, f64)> = Vec::new();
    let mut refusals = 0;
    for (me, mut stage) in directors(&settings, &all).into_iter().enumerate() {
        stage.now += me as f64 * 0.1 / f64::from(DIRECTORS);
        let mut replaced = 0;
        for step in 0..160 {
            while replaced < new_nodes.len() && stage.now >= new_nodes[replaced].ready_at + 0.5 {
                let gone = Node { state: NodeState::Draining, ..old[replaced] };
                stage.list(ListKind::Delta, &[gone, new_nodes[replaced]]);
                replaced += 1;
            }
            let (_, actions) = stage.ask(me as u64 * 1000 + step, 50.0);
            refusals += u32::from(refused(&actions));
            for attempt in sent_attempts(&actions) {
                assert!(
                    !old[..replaced].iter().any(|n| n.id.0 == attempt.node),
                    "a draining node gets a new request"
                );
                sends.push((attempt.node, stage.now));
                stage.end(attempt, 0, Outcome::Ok, Note::Filled, 0.0);
            }
            stage.now += 0.1;
        }
    }
    for node in &new_nodes {
        let mut at: Vec<f64> = sends.iter().filter(|sent| sent.0 == node.id.0).map(|sent| sent.1).collect();
        at.sort_by(f64::total_cmp);
        assert!(at.len() > 20, "a new node gets some load to warm up: {}", at.len());
        for &t in at.iter().filter(|&&t| t < node.ready_at + 10.0) {
            // Multiple 2, window 1 s, cold from 0.2 of its link for 10 s.
            let share = 0.2 + 0.8 * (t - node.ready_at) / 10.0;
            let within =
                |span: f64| at.iter().filter(|&&time| time > t - span && time <= t).count() as f64 * 0.05;
            assert!(within(1.0) <= 2.0 * share * link, "{} in the second that ends at {t}", within(1.0));
            assert!(within(0.02) <= 0.5 * share * link, "{} in the 20 ms that end at {t}", within(0.02));
        }
    }
    assert!(refusals < 40, "the remaining nodes carry the load: {refusals} refused");
}

/// Guards a restarted fleet whose directors get lists of different age: after a delta, a repeated delta in
/// another order or a full list they all use the same nodes.
#[test]
fn repeated_and_full_node_lists_leave_all_directors_with_the_same_nodes() {
    let replacement = Node { ready_at: 99.0, ..edge(13) };
    let gone = Node { state: NodeState::Withdrawn, ..edge(12) };
    let now = vec![edge(10), edge(11), replacement, parent(20), parent(21), origin(30)];
    for (me, mut stage) in directors(&settings(), &small_fleet()).into_iter().enumerate() {
        match me % 3 {
            0 => stage.list(ListKind::Delta, &[gone, replacement]),
            1 => (0..2).for_each(|_| stage.list(ListKind::Delta, &[replacement, gone])),
            _ => stage.list(ListKind::Full, &now),
        }
        stage.now += 30.0;
        let used: std::collections::BTreeSet<u64> =
            (1..=60).map(|object| stage.hit(object, 10.0).node).collect();
        assert_eq!(used, [10, 11, 13].into(), "director {me}");
    }
}

/// Guards a purge of all groups at once: no director may believe in or accept a copy from before the purge,
/// and the fills must spread over many parents.
#[test]
fn a_purge_of_everything_is_refilled_from_many_parents() {
    let parents: Vec<Node> = (20..26).map(parent).collect();
    let nodes: Vec<Node> =
        [edge(10), edge(11), edge(12)].into_iter().chain(parents).chain([origin(30)]).collect();
    let mut fleet = directors(&settings(), &nodes);
    let mut fills = std::collections::BTreeMap::new();
    for stage in &mut fleet {
        for object in 1..=20 {
            stage.hit(object, 50.0);
        }
        stage.now = 150.0;
        for group in 0..4 {
            stage.event(Event::Purged { scope: PurgeScope::Group(GroupId(group)), age: 0.0 });
        }
        stage.now += 1.0;
        for object in 1..=20 {
            let sent = stage.fetch(object, 50.0);
            assert!(
                sent.age > 0.0 && sent.age < stage.now - 150.0,
                "a copy from before the purge would be accepted: {sent:?}"
            );
            assert!(
                !sent.only_if_cached && sent.source >= 20,
                "the fill must come from a parent or the origin: {sent:?}"
            );
            *fills.entry(sent.source).or_insert(0) += 1;
            stage.end(sent, 0, Outcome::Ok, Note::FilledFromOrigin, 0.15);
        }
    }
    let most = fills.values().max().copied().unwrap_or(0);
    assert!(fills.len() >= 4 && most < 20 * i32::from(DIRECTORS) / 2, "{fills:?}");
}
