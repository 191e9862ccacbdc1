//! Slow start: the load that one director and many directors send to cold caches and cold parents.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_cold_cache_gets_some_load_within_its_budget() {
    let cold = Node { ready_at: 99.0, ..edge(10) };
    let mut stage = DirectorHarness::new(settings(), &[cold, edge(11), parent(20), origin(30)]);
    let mut work: f64 = 0.0;
    for object in 1..400 {
        let (_, actions) = stage.ask(object, 50.0);
        work += sent_attempts(&actions)
            .iter()
            .filter(|attempt| attempt.node == 10 || attempt.source == 10)
            .count() as f64
            * 0.05;
        stage.now += 0.002;
    }
    // Current share 0.28 to 0.35 of a link of unknown size, assumed to be 2 transfers; multiple 2; window 1
    // s.
    assert!(work > 0.1 && work < 0.35 * 2.0 * 2.0, "{work}");
}

#[test]
fn a_cold_parent_gets_few_fills_and_the_origin_takes_the_rest() {
    let cold = Node { ready_at: 99.0, ..parent(20) };
    let mut stage = DirectorHarness::new(settings(), &[edge(10), edge(11), edge(12), cold, origin(30)]);
    let mut at = std::collections::BTreeMap::new();
    for object in 1..60 {
        for attempt in sent_attempts(&stage.ask(object, 20.0).1) {
            *at.entry(attempt.source).or_insert(0) += 1;
        }
    }
    assert!(at[&30] > 10 * at.get(&20).copied().unwrap_or(0), "{at:?}");
}

#[test]
fn many_directors_together_keep_the_budget_of_a_cold_node() {
    // 200 directors, each with a request every 0.4 s: a load of 25 transfers per second, on a link of 2 when
    // warm.
    for cold in [Node { ready_at: 99.0, ..parent(20) }, Node { ready_at: 99.0, ..edge(10) }] {
        let nodes = [Node { weight: 2.0, ..cold }, edge(11), origin(30)];
        let mut sent_at: Vec<f64> = Vec::new();
        for me in 0..200 {
            let base = Settings { director_number: me, weights_are_link_sizes: true, ..with_peers(200) };
            let mut stage =
                DirectorHarness::seeded(u64::from(me), Settings { directors: 200, ..base }, &nodes);
            stage.now += f64::from(me) * 0.002;
            for step in 0..20 {
                let (_, actions) = stage.ask(u64::from(me) * 1000 + step, 50.0);
                for attempt in sent_attempts(&actions) {
                    sent_at.extend(
                        (attempt.node == cold.id.0 || attempt.source == cold.id.0).then_some(stage.now),
                    );
                    stage.end(attempt, 0, Outcome::Ok, Note::Filled, 0.0);
                }
                stage.now += 0.4;
            }
        }
        assert!(sent_at.len() > 20, "the cold node gets some load: {}", sent_at.len());
        for &t in &sent_at {
            let work = sent_at.iter().filter(|&&time| time > t - 1.0 && time <= t).count() as f64 * 0.05;
            let (start_share, warm_up_s) = if cold.kind == PARENT { (0.1, 20.0) } else { (0.2, 10.0) };
            let share = start_share + (1.0 - start_share) * (t - 99.0) / warm_up_s;
            // Multiple 2, link 2, window 1 s.
            assert!(work <= 2.0 * share * 2.0, "{work} in the second that ends at {t}");
        }
    }
}
