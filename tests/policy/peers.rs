//! Directors beside others of their zone: what one takes the peers to be doing.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn one_director_of_many_does_not_take_a_single_transfer_for_a_full_link() {
    for here in [1, 10, 40] {
        let mut s = Stage::new(with_peers(here), &small_fleet());
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
        let mut s = Stage::new(with_peers(here), &[edge(10), parent(20), origin(30)]);
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
