//! A front ends while a client goes on asking on an open connection, so that the connection is never idle.

mod stand_ins;
use stand_ins::*;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::sync::mpsc::Receiver;
use std::thread;

/// Requests that the client has open at any time.
const OPEN: u64 = 4;
/// Frames that a front takes of one client (a second), and how long a request may cross the close of its connection (seconds).
const FRAMES: f64 = 1000.0;
const CROSSED: f64 = 0.05;
/// A client that sends the next request with each answer has so many refused in the front's last moment at most: what was open,
/// what came for it, and what it sends until it sees the end.
const REFUSED_MOST: u64 = 2 * OPEN + (FRAMES * CROSSED) as u64;

/// A cache node that answers each request once the next has come, so that one is always open.
fn answers_behind_the_next(served: Receiver<Served>) {
    thread::spawn(move || {
        let mut before: Option<Served> = None;
        for asked in served {
            if let Some(mut before) = before.replace(asked) {
                before.hit(b"whole");
            }
        }
    });
}

/// Has a front told to end while a client asks without a pause, until the front ends the connection in order. How often the
/// client was answered with which word.
fn ask_to_the_end(node: &Node) -> BTreeMap<String, u64> {
    let mut client = node.connect();
    let mut answers = BTreeMap::new();
    (1..=OPEN).for_each(|tag| client.ask(&tag.to_string(), tag, ""));
    let mut last_tag = OPEN;
    while !client.reader.fill_buf().expect("an end in order").is_empty() {
        let word = client.answer().swap_remove(1);
        *answers.entry(word).or_default() += 1;
        if last_tag == OPEN {
            node.signal("-TERM");
        }
        last_tag += 1;
        client.ask(&last_tag.to_string(), last_tag, "");
    }
    answers
}

/// A connection that is never idle stayed open beyond the time at which the process answers all it took: for 0.3 s its client
/// was told again and again that its requests had failed, though a successor or another front could have served them.
#[test]
fn a_client_that_never_pauses_is_refused_and_sees_the_end() {
    let (mut node, served) = one_cache("closing-busy");
    answers_behind_the_next(served);
    let answers = ask_to_the_end(&node);
    assert!(node.child.wait().unwrap().success());
    let count = |word: &str| answers.get(word).copied().unwrap_or_default();
    assert!(count("ok") > OPEN, "{answers:?}");
    assert_eq!(count("fault"), 0, "{answers:?}");
    assert!((1..=REFUSED_MOST).contains(&count("full")), "{answers:?}");
}
