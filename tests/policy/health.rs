//! Health of caches and parents: what counts against a node, and what does not.

use crate::common::*;
use onyxyoke::interface::*;

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
    let actions = s.first_attempt_alarm(sent_first.id);
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
            s.expire(sent.id);
            s.end(sent, 0, Outcome::Cancelled, Note::None, 0.0);
        } else {
            s.end(sent, 0, Outcome::TimedOut, Note::None, 0.001);
            s.expire(sent.id);
        }
    }
    assert_eq!(s.fetch(1, 50.0).node, home);
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
        let (begun, mut after) = (s.now, alarm_delay(&actions).unwrap());
        s.now += 0.01;
        s.hit(2, 50.0);
        let late = loop {
            s.now = s.now.max(begun + after);
            assert!(s.now < begun + 2.0, "waited for too long");
            let actions = s.first_attempt_alarm(id);
            match alarm_delay(&actions).filter(|_| actions.len() == 1) {
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

#[test]
fn a_stall_of_everything_blames_nobody() {
    let mut s = Stage::new(settings(), &small_fleet());
    s.mixed();
    let homes: Vec<Sent> = (1..=20).map(|o| s.hit(o, 10.0)).collect();
    let out: Vec<Sent> = (1..=6).map(|o| s.fetch(o, 10.0)).collect();
    s.now += 2.0;
    for sent in &out {
        let actions = s.first_attempt_alarm(sent.id);
        assert!(matches!(actions[..], [Action::SetTimer { .. }]), "{actions:?}");
    }
    for sent in out {
        s.end(sent, 0, Outcome::Ok, Note::Hit, 0.0);
    }
    for (object, home) in (1..=20).zip(homes) {
        assert_eq!(s.hit(object, 10.0).node, home.node, "beliefs and health outlive it");
    }
}

#[test]
fn a_parent_that_is_gone_is_not_taken_for_full_caches() {
    // Notes don't tell: refused fills from one parent, through whichever cache.
    let mut s = Stage::new(Settings { note_detail: NoteDetail::Hit, ..settings() }, &small_fleet());
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
