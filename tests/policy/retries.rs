//! Retries: which requests may be sent again and when, and the one final answer.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn without_concurrent_attempts_a_retry_waits_for_the_cancelled_attempt() {
    let mut stage =
        DirectorHarness::new(Settings { concurrent_attempts: false, ..settings() }, &small_fleet());
    let unanswered = stage.fetch(1, 10.0);
    let other = (2..)
        .map(|o| stage.fetch(o, 10.0))
        .find(|attempt| attempt.node != unanswered.node && attempt.source != unanswered.source);
    stage.end(other.expect("some other cache"), 0, Outcome::Ok, Note::Hit, 0.5);
    let actions = stage.fire_first_attempt_timer(unanswered.id);
    assert!(
        sent_attempts(&actions).is_empty() && matches!(actions[..], [Action::Cancel { .. }]),
        "{actions:?}"
    );
    let actions = stage.end(unanswered, 0, Outcome::Cancelled, Note::None, 0.0);
    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_without_a_retry() {
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
        let mut stage = DirectorHarness::new(base, &small_fleet());
        let attempt = stage.fetch(1, 10.0);
        let actions = stage.end(attempt, 0, outcome, Note::None, 0.1);
        assert_eq!(sent_attempts(&actions).len(), usize::from(resent), "{outcome:?}");
        assert_eq!(failed(&actions), !resent, "{outcome:?}");
        assert!(!refused(&actions));
    }
}

#[test]
fn a_keyed_request_is_retried_only_in_its_cell_and_within_its_key_ttl() {
    let celled = |id, cell| Node { cell, ..edge(id) };
    let nodes = [celled(10, 1), celled(11, 1), celled(12, 2), parent(20), origin(30)];
    for (wait, in_time) in [(0.1, true), (3.0, false)] {
        let mut base = settings();
        base.classes[0] =
            Class { effect: Effect::Keyed(Scope::Cell), key_ttl: 2.0, ..base.classes[0].clone() };
        for object in 1..30 {
            let mut stage = DirectorHarness::new(base.clone(), &nodes);
            let attempt = stage.fetch(object, 10.0);
            stage.now += wait;
            let actions = stage.end(attempt, 0, Outcome::Reset, Note::None, 0.0);
            assert!(!refused(&actions), "a request that may have run must not be answered with a refusal");
            match sent_attempts(&actions)[..] {
                [retry] => {
                    assert!(in_time && (retry.node == 12) == (attempt.node == 12), "{attempt:?} {retry:?}")
                }
                [] => assert!(failed(&actions)),
                _ => panic!("two attempts at once"),
            }
        }
    }
}

#[test]
fn a_timed_out_request_gets_one_final_answer() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let attempt = stage.fetch(1, 10.0);
    let actions = stage.end(attempt, 0, Outcome::TimedOut, Note::None, 5.0);
    assert_eq!((actions.len(), refused(&actions)), (1, true));
    assert!(stage.expire(attempt.id).is_empty());
    assert!(stage.end(attempt, 0, Outcome::Ok, Note::Hit, 0.0).is_empty());
}

#[test]
fn a_request_of_an_unknown_class_fails_without_a_panic() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    let request = Request { class: ClassId(9), ..Request::default() };
    assert!(failed(&stage.event(Event::Request(request))));
}
