//! Directors that share a zone: how one estimates the load that its peers cause.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_single_transfer_of_one_of_many_directors_is_not_a_full_link() {
    for here in [1, 10, 40] {
        let mut stage = DirectorHarness::new(with_peers(here), &small_fleet());
        for object in 1..40 {
            let attempt = stage.fetch(object, 400.0);
            stage.end(attempt, 0, Outcome::Ok, Note::Filled, 0.45);
            stage.now += 3.0;
        }
    }
}

#[test]
fn peers_are_assumed_to_have_as_many_transfers_as_the_director_itself() {
    // Two transfers in flight all the time: a light load from one director, an overload from ten.
    let count_refusals = |here| {
        let mut stage = DirectorHarness::new(with_peers(here), &[edge(10), parent(20), origin(30)]);
        let mut refusals = 0;
        let mut in_flight = std::collections::VecDeque::new();
        for object in 1..120 {
            let (_, actions) = stage.ask(object % 3, 400.0);
            refusals += usize::from(refused(&actions));
            in_flight.extend(sent_attempts(&actions));
            stage.now += 0.2;
            if in_flight.len() > 2 {
                let attempt = in_flight.pop_front().expect("three transfers are in flight");
                stage.end(attempt, 0, Outcome::Ok, Note::Hit, 0.0);
            }
        }
        refusals
    };
    assert_eq!(count_refusals(1), 0);
    assert!(count_refusals(10) > 20, "{}", count_refusals(10));
}

#[test]
fn zero_or_missing_director_counts_are_treated_as_one() {
    for by_zone in [vec![], vec![0], vec![0, 0, 0]] {
        let base = Settings { directors: 0, directors_by_zone: by_zone, ..settings() };
        let cold = Node { ready_at: 99.0, ..parent(20) };
        let mut stage = DirectorHarness::new(base, &[edge(10), cold, origin(30)]);
        for object in 1..20 {
            stage.hit(object, 20.0);
        }
    }
}
