//! A cache node, or the front itself, stands still for longer than answers are waited for; then all that it held up
//! comes at once. Nothing is lost, nobody is to blame, and nobody is refused.

mod stand_ins;
use stand_ins::*;
use std::collections::BTreeSet;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long nothing comes: beyond the time after which an answer of these sizes may be held for lost (0.2 s), and after
/// which a silent node is blamed (0.4 s).
const STILL: Duration = Duration::from_millis(500);
/// How far apart the requests are sent, so that in any time as long as `BEHIND` the front looks for some answer.
const APART: Duration = Duration::from_millis(20);
/// How long after the first answer that was held up the others come, and within which time all of them.
const BEHIND: Duration = Duration::from_millis(50);
const TOGETHER: Duration = Duration::from_millis(100);
/// Requests that are out meanwhile, and requests that come later.
const OUT: u64 = 6;
const LATER: u64 = 20;
/// The first tag of those that come later.
const FIRST_LATER: u64 = 1000;

/// Asks for an object that no other request is for.
fn ask(client: &mut Client, tag: u64) {
    let fields = format!("call={tag:016x},ttl=3000,row={tag:016x},slice=0,set=17,heap=10.5");
    client.send(&["REQ", &tag.to_string(), "media", &fields, ""]);
}

/// Reads so many answers; the tags and words of those that are not served.
fn unserved(client: &mut Client, count: u64) -> BTreeSet<(String, String)> {
    let answers = (0..count).map(|_| client.answer());
    answers.filter(|a| a[1] != "ok").map(|a| (a[0].clone(), a[1].clone())).collect()
}

/// Has a cache node answer from now on; tells of each command that is no request.
fn answer_all(served: Receiver<Served>) -> Receiver<String> {
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

/// Later requests are answered, one by one, whatever cache they are for.
fn later_are_served(client: &mut Client) {
    for tag in FIRST_LATER..FIRST_LATER + LATER {
        ask(client, tag);
        assert_eq!(unserved(client, 1), BTreeSet::new(), "later");
    }
}

#[test]
fn answers_that_a_cache_node_held_back_are_awaited() {
    in_time(|round| {
        let (node, served) = one_cache(&format!("held-back-{round}"));
        let mut client = node.connect();
        for tag in 1..=OUT {
            ask(&mut client, tag);
            thread::sleep(APART);
        }
        let mut asked: Vec<Served> = (1..=OUT).map(|_| next(&served)).collect();
        thread::sleep(STILL);
        let began = Instant::now();
        // The last to be asked for comes first.
        asked.pop().unwrap().hit(b"x");
        thread::sleep(BEHIND);
        asked.iter_mut().for_each(|one| one.hit(b"x"));
        let together = began.elapsed() < TOGETHER;
        let others = answer_all(served);
        let unserved = unserved(&mut client, OUT);
        if !together {
            return None;
        }
        assert_eq!(unserved, BTreeSet::new());
        later_are_served(&mut client);
        assert_eq!(others.try_iter().collect::<Vec<_>>(), Vec::<String>::new());
        Some(())
    });
}

/// The front is stopped while one of its caches owes it answers, and the other has answered what it was asked since.
#[test]
fn a_front_that_was_stopped_reads_what_came_meanwhile_before_it_judges() {
    let (node, [(_, one), (_, other)]) = two_caches("front-stopped");
    let mut client = node.connect();
    (1..=4 * OUT).for_each(|tag| ask(&mut client, tag));
    let mut by_cache = [Vec::new(), Vec::new()];
    eventually("all are asked for", || {
        by_cache[0].extend(one.try_iter());
        by_cache[1].extend(other.try_iter());
        by_cache.iter().map(Vec::len).sum::<usize>() == 4 * OUT as usize
    });
    // What was asked for first is owed: the other cache answers what was asked for later.
    if by_cache[1].iter().any(|asked| asked.id == format!("{:016x}", 1)) {
        by_cache.reverse();
    }
    let [owed, answered] = &mut by_cache;
    assert!(!owed.is_empty() && !answered.is_empty(), "both caches are asked");
    answered.iter_mut().for_each(|asked| asked.hit(b"x"));
    assert_eq!(unserved(&mut client, answered.len() as u64), BTreeSet::new());
    at_once(&node, || {
        owed.iter_mut().for_each(|asked| asked.hit(b"x"));
        thread::sleep(STILL);
    });
    let others = [answer_all(one), answer_all(other)];
    assert_eq!(unserved(&mut client, owed.len() as u64), BTreeSet::new());
    later_are_served(&mut client);
    let others: Vec<String> = others.iter().flat_map(Receiver::try_iter).collect();
    assert_eq!(others, Vec::<String>::new(), "nothing is withdrawn");
}
