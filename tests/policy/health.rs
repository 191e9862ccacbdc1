//! Health of caches and parents: which outcomes count against a node and which do not.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_silent_cache_is_ejected_while_others_answer() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let mut unanswered = None;
    for object in 1..30 {
        let sent = stage.fetch(object, 20.0);
        if sent.node == 10 {
            unanswered = unanswered.or(Some((object, sent)));
        } else {
            stage.end(sent, 0, Outcome::Ok, Note::Hit, 0.02);
        }
    }
    let (_, sent_first) = unanswered.expect("some object of cache 10");
    let actions = stage.fire_first_attempt_timer(sent_first.id);
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { attempt: 0, .. })), "{actions:?}");
    assert_eq!(sent_attempts(&actions)[0].node, 11);
    for object in 100..130 {
        assert_eq!(stage.hit(object, 20.0).node, 11, "an ejected node gets no new requests for a while");
    }
}

/// Guards against ejecting a node for what clients do: requests cancelled at once, and deadlines too short
/// for any node to answer.
#[test]
fn cancelled_and_too_short_requests_do_not_count_against_a_node() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    let home = stage.hit(1, 50.0).node;
    for object in 0..40 {
        let sent = stage.fetch(object, 50.0);
        if object % 2 == 0 {
            stage.expire(sent.id);
            stage.end(sent, 0, Outcome::Cancelled, Note::None, 0.0);
        } else {
            stage.end(sent, 0, Outcome::TimedOut, Note::None, 0.001);
            stage.expire(sent.id);
        }
    }
    assert_eq!(stage.fetch(1, 50.0).node, home);
}

/// A broken connection resets several requests, which counts as one failure: they are retried at the node
/// that holds their object. Three failures without an answer in between eject the node.
#[test]
fn a_reset_of_several_requests_counts_as_one_failure() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), edge(11), parent(20), origin(30)]);
    stage.request_many_objects();
    let home = stage.hit(1, 50.0).node;
    let outstanding: Vec<SentAttempt> =
        (0..5).map(|_| stage.fetch(1, 50.0)).filter(|attempt| attempt.node == home).collect();
    assert!(outstanding.len() > 2);
    for attempt in &outstanding {
        let again = stage.end(*attempt, 0, Outcome::Reset, Note::None, 0.0);
        assert_eq!(sent_attempts(&again)[0].node, home);
    }
    for number in 1..3 {
        stage.now += 0.1;
        let again = stage.end(outstanding[0], number, Outcome::Reset, Note::None, 0.0);
        assert_eq!(sent_attempts(&again)[0].node == home, number < 2, "{again:?}");
    }
}

/// Guards against waiting until the client gives up for an answer that was lost at a node which answers
/// others. After the first lost answer the next is detected sooner, and no node is ejected.
#[test]
fn a_lost_answer_is_requested_again_and_the_next_one_sooner() {
    let mut stage = DirectorHarness::new(settings(), &[edge(10), parent(20), origin(30)]);
    stage.hit(1, 50.0);
    let mut waits = Vec::new();
    for _ in 0..2 {
        let (id, actions) = stage.ask(1, 50.0);
        let lost = sent_attempts(&actions)[0];
        let (sent_at, mut after) = (stage.now, timer_delay(&actions).unwrap());
        stage.now += 0.01;
        stage.hit(2, 50.0);
        let late = loop {
            stage.now = stage.now.max(sent_at + after);
            assert!(stage.now < sent_at + 2.0, "the lost answer was not detected in 2 s");
            let actions = stage.fire_first_attempt_timer(id);
            match timer_delay(&actions).filter(|_| actions.len() == 1) {
                Some(more) => after = stage.now - sent_at + more,
                None => break actions,
            }
        };
        assert!(matches!(late[0], Action::Cancel { attempt: 0, .. }), "{late:?}");
        assert_eq!(sent_attempts(&late)[0].node, lost.node);
        waits.push(stage.now - sent_at);
        stage.end(lost, 0, Outcome::Cancelled, Note::None, 0.0);
        stage.end(lost, 1, Outcome::Ok, Note::Hit, 0.05);
    }
    assert!(waits[1] < waits[0] && waits[0] < 1.0, "{waits:?}");
}

#[test]
fn a_stall_of_all_nodes_ejects_none() {
    let mut stage = DirectorHarness::new(settings(), &small_fleet());
    stage.request_many_objects();
    let homes: Vec<SentAttempt> = (1..=20).map(|o| stage.hit(o, 10.0)).collect();
    let outstanding: Vec<SentAttempt> = (1..=6).map(|o| stage.fetch(o, 10.0)).collect();
    stage.now += 2.0;
    for sent in &outstanding {
        let actions = stage.fire_first_attempt_timer(sent.id);
        assert!(matches!(actions[..], [Action::SetTimer { .. }]), "{actions:?}");
    }
    for sent in outstanding {
        stage.end(sent, 0, Outcome::Ok, Note::Hit, 0.0);
    }
    for (object, home) in (1..=20).zip(homes) {
        assert_eq!(stage.hit(object, 10.0).node, home.node, "beliefs and health are unchanged by the stall");
    }
}

#[test]
fn fills_refused_by_a_failed_parent_do_not_count_against_caches() {
    // Notes do not name the refusing node: fills from one parent are refused through every cache.
    let mut stage =
        DirectorHarness::new(Settings { note_detail: NoteDetail::Hit, ..settings() }, &small_fleet());
    for object in 1..40 {
        let mut attempt = stage.fetch(object, 10.0);
        let mut number = 0;
        while attempt.source == 20 {
            let next = stage.end(attempt, number, Outcome::Full, Note::None, 0.001);
            let next = sent_attempts(&next)[0];
            assert_eq!(next.node, attempt.node, "the retry uses the same cache and another source");
            (attempt, number) = (next, number + 1);
        }
        stage.end(attempt, number, Outcome::Ok, Note::Filled, 0.005);
    }
    assert_ne!(stage.fetch(1000, 10.0).source, 20, "the parent is ejected");
}
