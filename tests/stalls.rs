//! A cache node or the front itself is paused for longer than the front waits for an answer, and then all
//! delayed answers arrive at once. No answer is lost, no node is ejected and no request is refused.

mod stand_ins;
use stand_ins::*;
use std::collections::BTreeSet;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of the pause: longer than the time after which an answer of these sizes may count as lost (0.2 s)
/// and a silent node is ejected (0.4 s).
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two requests, so that the front checks for some answer in any interval of `ANSWER_DELAY`.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the first delayed answer and the others.
const ANSWER_DELAY: Duration = Duration::from_millis(50);
/// Time within which all delayed answers must have been sent for a round to count.
const ANSWERS_WITHIN: Duration = Duration::from_millis(100);
/// Number of requests that are in flight during the pause.
const REQUESTS_IN_FLIGHT: u64 = 6;
/// Number of requests after the pause.
const LATER_REQUESTS: u64 = 20;
/// First tag of the requests after the pause.
const FIRST_LATER_TAG: u64 = 1000;

/// Requests an object that no other request is for.
fn ask(client: &mut Client, tag: u64) {
    let fields = format!("call={tag:016x},ttl=3000,row={tag:016x},slice=0,set=17,heap=10.5");
    client.send(&["REQ", &tag.to_string(), "media", &fields, ""]);
}

/// Reads `count` answers and returns the tag and status of those that are not `ok`.
fn unserved(client: &mut Client, count: u64) -> BTreeSet<(String, String)> {
    let answers = (0..count).map(|_| client.answer());
    answers.filter(|a| a[1] != "ok").map(|a| (a[0].clone(), a[1].clone())).collect()
}

/// Has a cache node answer all requests from now on. The receiver gets every other command.
fn answer_all(served: Receiver<ReceivedCommand>) -> Receiver<String> {
    let (sender, others) = channel();
    thread::spawn(move || {
        for mut one in served {
            if one.verb == "serve" {
                one.hit(b"x");
            } else if sender.send(format!("{} {}", one.verb, one.id)).is_err() {
                return;
            }
        }
    });
    others
}

/// Asserts that later requests are served one by one, whatever cache they are for.
fn assert_later_served(client: &mut Client) {
    for tag in FIRST_LATER_TAG..FIRST_LATER_TAG + LATER_REQUESTS {
        ask(client, tag);
        assert_eq!(unserved(client, 1), BTreeSet::new(), "a later request is not served");
    }
}

#[test]
fn answers_delayed_by_a_paused_cache_node_are_awaited() {
    retry_if_late(|round| {
        let (node, served) = front_with_one_cache(&format!("held-back-{round}"));
        let mut client = node.connect();
        for tag in 1..=REQUESTS_IN_FLIGHT {
            ask(&mut client, tag);
            thread::sleep(REQUEST_INTERVAL);
        }
        let mut requests: Vec<ReceivedCommand> = (1..=REQUESTS_IN_FLIGHT).map(|_| next(&served)).collect();
        thread::sleep(PAUSE);
        let began = Instant::now();
        // The last request is answered first.
        requests.pop().unwrap().hit(b"x");
        thread::sleep(ANSWER_DELAY);
        requests.iter_mut().for_each(|one| one.hit(b"x"));
        let in_time = began.elapsed() < ANSWERS_WITHIN;
        let others = answer_all(served);
        let unserved = unserved(&mut client, REQUESTS_IN_FLIGHT);
        if !in_time {
            return None;
        }
        assert_eq!(unserved, BTreeSet::new());
        assert_later_served(&mut client);
        assert_eq!(others.try_iter().collect::<Vec<_>>(), Vec::<String>::new());
        Some(())
    });
}

/// Guards against ejecting a cache after a pause of the front: one cache has open requests, and the other has
/// answered requests that were sent after them.
#[test]
fn a_paused_front_reads_the_answers_that_arrived_before_it_ejects_a_cache() {
    let (node, [(_, one), (_, other)]) = front_with_two_caches("front-stopped");
    let mut client = node.connect();
    (1..=4 * REQUESTS_IN_FLIGHT).for_each(|tag| ask(&mut client, tag));
    let mut by_cache = [Vec::new(), Vec::new()];
    eventually("all requests are at the caches", || {
        by_cache[0].extend(one.try_iter());
        by_cache[1].extend(other.try_iter());
        by_cache.iter().map(Vec::len).sum::<usize>() == 4 * REQUESTS_IN_FLIGHT as usize
    });
    // The cache with the first request keeps its requests open, and the other one answers later requests.
    if by_cache[1].iter().any(|asked| asked.id == format!("{:016x}", 1)) {
        by_cache.reverse();
    }
    let [open, answered] = &mut by_cache;
    assert!(!open.is_empty() && !answered.is_empty(), "both caches have requests");
    answered.iter_mut().for_each(|asked| asked.hit(b"x"));
    assert_eq!(unserved(&mut client, answered.len() as u64), BTreeSet::new());
    while_stopped(&node, || {
        open.iter_mut().for_each(|asked| asked.hit(b"x"));
        thread::sleep(PAUSE);
    });
    let others = [answer_all(one), answer_all(other)];
    assert_eq!(unserved(&mut client, open.len() as u64), BTreeSet::new());
    assert_later_served(&mut client);
    let others: Vec<String> = others.iter().flat_map(Receiver::try_iter).collect();
    assert_eq!(others, Vec::<String>::new(), "no request is cancelled");
}
