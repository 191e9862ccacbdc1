//! Shutdown of a front while a client sends requests without a pause, so that its connection is never idle.

mod stand_ins;
use stand_ins::*;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::sync::mpsc::Receiver;
use std::thread;

/// Requests that the client has in flight at any time.
const IN_FLIGHT: u64 = 4;
/// The rate at which a front reads the frames of one client (1/s).
const FRAMES_PER_S: f64 = 1000.0;
/// How long the client goes on sending requests after the front has closed the connection, at most (seconds).
const SENT_AFTER_CLOSE_S: f64 = 0.05;
/// The most requests that are refused during shutdown to a client that sends one for each answer: those in
/// flight, those that it sends for their answers, and those that it sends until it sees the end of the
/// connection.
const MAX_REFUSED: u64 = 2 * IN_FLIGHT + (FRAMES_PER_S * SENT_AFTER_CLOSE_S) as u64;

/// Answers each request once the next has come, so that one is always in flight at the cache node.
fn answer_one_behind(served: Receiver<ReceivedCommand>) {
    thread::spawn(move || {
        let mut previous: Option<ReceivedCommand> = None;
        for request in served {
            if let Some(mut previous) = previous.replace(request) {
                previous.hit(b"whole");
            }
        }
    });
}

/// Sends requests without a pause, and SIGTERM to the front, until the front closes the connection in order.
/// Returns how many answers of each kind the client got.
fn request_until_closed(front: &PlatformFront) -> BTreeMap<String, u64> {
    let mut client = front.connect();
    let mut answers = BTreeMap::new();
    (1..=IN_FLIGHT).for_each(|tag| client.send_request(&tag.to_string(), tag, ""));
    let mut last_tag = IN_FLIGHT;
    while !client.reader.fill_buf().expect("the connection does not end in order").is_empty() {
        let word = client.answer().swap_remove(1);
        *answers.entry(word).or_default() += 1;
        if last_tag == IN_FLIGHT {
            front.signal("-TERM");
        }
        last_tag += 1;
        client.send_request(&last_tag.to_string(), last_tag, "");
    }
    answers
}

/// Guards against a connection that outlives the shutdown's time limit because it is never idle: the front
/// would go on failing its requests (for 0.3 s), though a successor or another front could serve them.
#[test]
fn busy_connection_is_refused_and_closed_at_shutdown() {
    let (mut front, served) = front_with_one_cache("closing-busy");
    answer_one_behind(served);
    let answers = request_until_closed(&front);
    assert!(front.child.wait().unwrap().success());
    let count = |word: &str| answers.get(word).copied().unwrap_or_default();
    assert!(count("ok") > IN_FLIGHT, "{answers:?}");
    assert_eq!(count("fault"), 0, "{answers:?}");
    assert!((1..=MAX_REFUSED).contains(&count("full")), "{answers:?}");
}
