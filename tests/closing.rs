//! A front closes a connection whose client has not read its answers yet. The end lies behind those answers, so that the
//! client does not see it: what it sends is to be answered, and what it was sent is to reach it whole.

mod stand_ins;
use serde_json::{Value, json};
use stand_ins::*;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// More than the narrow socket of a client takes, and less than the system takes of a front (bytes).
const LARGE: usize = 240_000;
/// A client reads what its system has taken within this at the latest, as far as a front goes by.
const READ_WITHIN: Duration = Duration::from_secs(1);

/// A front with one cache node, and a client with a narrow socket that was answered and has read nothing: the system holds
/// its answer, and the front nothing more.
struct Unread {
    node: Node,
    served: Receiver<Served>,
    client: Client,
}

impl Unread {
    fn start(name: &str, change: impl Fn(&mut Value)) -> Unread {
        let (cache, served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let node = Node::start(name, members, change);
        let client = Client::new(narrow(node.address));
        Unread::answered(node, served, client)
    }

    fn answered(node: Node, served: Receiver<Served>, mut client: Client) -> Unread {
        hold(&mut client, 1);
        next(&served).hit(&vec![b'y'; LARGE]);
        eventually("the front counts the answer", || {
            node.signal("-USR1");
            node.logged("counters").contains(" served=1 ")
        });
        eventually("the system has the answer", || node.accounts()["unread.now"] == 0.0);
        Unread { node, served, client }
    }

    /// The client asks again, and only then reads: both answers.
    fn both_answers_come(mut self) {
        hold(&mut self.client, 2);
        let served = self.served;
        thread::spawn(move || served.iter().for_each(|mut s| s.hit(b"second")));
        let first = self.client.answer();
        assert_eq!((&*first[0], &*first[1], first[3].len()), ("1", "ok", LARGE));
        let second = self.client.answer();
        assert_eq!((&*second[0], &*second[1], &*second[3]), ("2", "ok", "second"));
    }
}

/// Memory is scarce: idle connections are closed, the longest idle first.
#[test]
fn scarce_memory_closes_no_connection_over_unread_answers() {
    let unread = Unread::start("closing-scarce", |_| ());
    let mut idle = idle_client(&unread.node);
    // Less than any program takes, so that nothing of the shared part is free.
    unread.node.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert!(idle.closed(), "one that has become idle later is closed");
    unread.both_answers_come();
}

/// Memory becomes scarce while no client comes: idle connections are closed all the same, long before their idle time is over.
#[test]
fn scarce_memory_closes_idle_connections_though_no_client_comes() {
    let (node, _served) = one_cache("closing-relief");
    let (mut idle, mut waiting) = (idle_client(&node), node.connect());
    // Nobody answers it: its time is over after 3 s, which is when the front says so.
    hold(&mut waiting, 1);
    node.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert_eq!(waiting.answer()[0], "1");
    assert!(is_closed(&mut idle));
}

/// Memory is scarce: one that was just made has the time to ask, though it has not spoken yet.
#[test]
fn scarce_memory_closes_no_connection_that_was_just_made() {
    let (node, served) = one_cache("closing-new");
    let mut idle = [idle_client(&node), idle_client(&node)];
    node.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert!(idle[0].closed());
    let mut fresh = node.connect();
    assert!(idle[1].closed());
    hold(&mut fresh, 1);
    next(&served).hit(b"first");
    assert_eq!(fresh.answer()[1], "ok");
}

/// Idle connections hold more than a cut limit grants: as many of them as it takes give way to one that comes.
#[test]
fn idle_connections_beyond_a_cut_limit_give_way_to_a_new_client() {
    let (node, served) = one_cache("closing-cut");
    let crowd: Vec<Client> = (0..60).map(|_| idle_client(&node)).collect();
    node.reload(|config| config["limits"]["memory_mb"] = json!(4));
    node.logged("the settings are in force");
    let mut fresh = node.connect();
    hold(&mut fresh, 1);
    next(&served).hit(b"first");
    assert_eq!(fresh.answer()[1], "ok");
    drop(crowd);
}

/// Every place of a client is taken, and more come: the longest idle gives way.
#[test]
fn a_crowd_closes_no_connection_over_unread_answers() {
    let unread = Unread::start("closing-crowd", |config| config["limits"]["sockets"] = json!(64));
    let mut idle = idle_client(&unread.node);
    let mut crowd = Vec::new();
    eventually("one that has become idle later is closed", || {
        crowd.push(idle_client(&unread.node));
        is_closed(&mut idle)
    });
    unread.both_answers_come();
}

/// A connection is closed that was idle for long.
#[test]
fn time_closes_no_connection_over_unread_answers() {
    let unread = Unread::start("closing-idle", |_| ());
    let mut idle = idle_client(&unread.node);
    assert!(idle.closed(), "one that has become idle later is closed");
    unread.both_answers_come();
}

/// The front is told to end: it closes what is idle once the closing window is over.
#[test]
fn the_end_closes_no_connection_over_unread_answers() {
    let unread = Unread::start("closing-end", |_| ());
    let mut idle = idle_client(&unread.node);
    unread.node.signal("-TERM");
    assert!(idle.closed(), "one that is idle is closed");
    unread.both_answers_come();
}

/// A replaced front closes what is idle at once.
#[test]
fn a_replacement_closes_no_connection_over_unread_answers() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-replaced-{}", std::process::id()));
    let unread = replaceable(&tmp, "closing-replaced", |node| narrow(node.address));
    let mut silent = unread.node.connect();
    replaced(&unread.node, &tmp);
    assert!(silent.closed(), "one that has said nothing is closed");
    unread.both_answers_come();
    std::fs::remove_dir_all(tmp).unwrap();
}

/// The same where the client's system has taken all of the answer and its program has read nothing of it: it has a while.
#[test]
fn a_replacement_gives_clients_time_to_read_what_they_were_just_sent() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-just-sent-{}", std::process::id()));
    // A machine that is so late that the while is over says nothing.
    for round in 0..5 {
        let began = Instant::now();
        let name = format!("closing-just-sent-{round}");
        let unread = replaceable(&tmp, &name, |node| TcpStream::connect(node.address).unwrap());
        let mut silent = unread.node.connect();
        replaced(&unread.node, &tmp);
        assert!(silent.closed(), "one that has said nothing is closed");
        if began.elapsed() < READ_WITHIN {
            unread.both_answers_come();
            std::fs::remove_dir_all(tmp).unwrap();
            return;
        }
    }
    panic!("five rounds were late");
}

/// A front that notes itself in this folder, and a client that has read nothing of its answer.
fn replaceable(tmp: &std::path::Path, name: &str, connect: impl Fn(&Node) -> TcpStream) -> Unread {
    std::fs::create_dir_all(tmp).unwrap();
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    let node = Node::start_in(name, members, admin_on, Some(tmp));
    let client = Client::new(connect(&node));
    Unread::answered(node, served, client)
}
