//! Who has a place at a front, and who gives his up: a crowd that asks as it comes, and a client that only floods.

mod stand_ins;
use serde_json::json;
use stand_ins::*;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

/// What a site gives a front (descriptors).
const SOCKETS: usize = 64;
/// More than these, and no more than wait at a listener.
const CROWD: u64 = 200;
/// Descriptors of a front that has places for more clients than [`ANSWERED`]: two fifths of them.
const ROOMY_SOCKETS: usize = 128;
/// Clients that hold all the memory that a cut limit leaves.
const ANSWERED: usize = 40;
/// An idle connection is left to its client for so long while memory is scarce.
const TIME_TO_READ: Duration = Duration::from_secs(1);
/// Clients go on asking for so long beside a newcomer: less than that time, so that each is idle for less as it is over.
const ASKED_BESIDE: Duration = Duration::from_millis(600);
/// What a newcomer sends that is in the middle of its first request.
const HALF_A_REQUEST: &str = "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n";
/// A machine that is so late that a while is over says nothing; it has this many tries.
const ROUNDS: u32 = 5;

/// Many more than a front of 8 descriptors has places for.
const NEWCOMERS: usize = 50;

/// Many connect while the front is busy elsewhere, and each asks at once: the front finds all connections and all requests
/// there, and keeps to its descriptors.
#[test]
fn a_crowd_that_asks_as_it_comes_gets_no_more_descriptors_than_there_are() {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = Node::start("places-crowd", members, |config| config["limits"]["sockets"] = json!(SOCKETS));
    // It has its connection to the cache, and all that it opens by itself.
    let mut first = node.connect();
    hold(&mut first, 1);
    next(&served).hit(b"first");
    first.answer();
    node.signal("-STOP");
    let mut crowd: Vec<Client> = (0..CROWD)
        .map(|number| {
            let mut client = node.connect();
            hold(&mut client, 2 + number);
            client
        })
        .collect();
    node.signal("-CONT");
    let (mut most, mut held) = (0, Vec::new());
    eventually("each has been taken or turned away", || {
        let open = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count();
        most = most.max(open);
        held.extend(served.try_iter());
        let over = crowd.iter_mut().filter(|client| {
            client.stream.set_nonblocking(true).unwrap();
            !client.stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        });
        over.count() + held.len() >= CROWD as usize
    });
    assert!(most <= SOCKETS, "{most} descriptors of {SOCKETS}; {} requests at the cache", held.len());
}

/// A client that sends nothing usable, without a pause, is asked to close for a newcomer: it is closed, and costs no more than
/// what it sends.
#[test]
fn one_that_only_floods_gives_its_place() {
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = Node::start("places-flood", members, |config| config["limits"]["sockets"] = json!(8));
    let flooder = node.connect().stream;
    let (mut writes, mut reads) = (flooder.try_clone().unwrap(), flooder);
    let flooding = thread::spawn(move || {
        let frame = b"*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$2\r\nno\r\n$1\r\n-\r\n$0\r\n\r\n".repeat(100);
        while writes.write_all(&frame).is_ok() {}
    });
    let reading = thread::spawn(move || while reads.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    let busy = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", node.child.id())).unwrap();
        stat.split(' ').next().unwrap().parse::<f64>().unwrap() / 1e9
    };
    let (began, before) = (Instant::now(), busy());
    let mut crowd = Vec::new();
    // Longer than a connection has that says nothing.
    while began.elapsed() < Duration::from_secs(4) && !flooding.is_finished() {
        crowd.push(node.connect());
        thread::sleep(Duration::from_millis(20));
    }
    let share = (busy() - before) / began.elapsed().as_secs_f64();
    let stays = !flooding.is_finished();
    drop(node);
    flooding.join().unwrap();
    reading.join().unwrap();
    assert!(!stays, "{} came, and it has its place still; the front took {share:.2} of a core", crowd.len());
}

/// Half of a request's head comes on the longest idle connection of the second front, and then a crowd for which connections
/// close: that one is in the middle of something, and others are not.
#[test]
fn a_crowd_closes_idle_connections_of_the_second_front_before_one_in_the_middle_of_a_head() {
    let signer = talks();
    let (front, _served) = stage("places-half", &[&signer], |text| {
        assert!(text.contains("sockets = 1024"));
        text.replace("sockets = 1024", "sockets = 64")
    });
    let spoken = || {
        let mut stream = front.send(&get("/talks/unsigned"));
        assert_eq!(status(read_message(&mut stream)).0, 401);
        stream
    };
    let (mut half, mut idle) = (spoken(), spoken());
    let request = get("/talks/unsigned");
    let (first, rest) = request.split_at(request.len() / 2);
    half.write_all(first.as_bytes()).unwrap();
    // The front's one thread reads that before what comes later.
    drop(spoken());
    let mut crowd = Vec::new();
    let closed = |stream: &mut std::net::TcpStream| {
        stream.set_nonblocking(true).unwrap();
        let closed = stream.peek(&mut [0]).is_ok_and(|n| n == 0);
        stream.set_nonblocking(false).unwrap();
        closed
    };
    eventually("one of the two is closed", || {
        crowd.push(spoken());
        closed(&mut half) || closed(&mut idle)
    });
    assert!(!closed(&mut half), "the one in the middle of a head is closed, and the idle one is not");
    half.write_all(rest.as_bytes()).unwrap();
    assert_eq!(status(read_message(&mut half)).0, 401);
}

/// There is no memory for a newcomer, and all who are connected were answered just now: they are left the time to read, as scarce
/// memory by itself leaves it to them, and the newcomer is turned away or waits.
#[test]
fn a_newcomer_without_memory_closes_none_that_were_just_answered() {
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    // A machine that is so late that the time is over says nothing.
    for round in 0..5 {
        let node = Node::start(&format!("places-memory-{round}"), members.clone(), |_| ());
        // Each was taken before the limit is cut, and has spoken.
        let mut all: Vec<Client> = (0..40).map(|_| idle_client(&node)).collect();
        node.reload(|config| config["limits"]["memory_mb"] = json!(4));
        node.logged("settings are in force");
        node.logged("are in no account");
        let began = Instant::now();
        for client in &mut all {
            client.send(&["HEALTH", "8", ""]);
            client.answer();
        }
        let mut newcomer = node.connect();
        let _ = newcomer.stream.write_all(b"*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n");
        // Until it is answered or turned away; it may be left waiting too.
        newcomer.stream.set_read_timeout(Some(Duration::from_millis(700))).unwrap();
        let _ = newcomer.stream.peek(&mut [0]);
        let closed = all.iter_mut().filter_map(|client| is_closed(client).then_some(())).count();
        if began.elapsed() < Duration::from_secs(1) {
            assert_eq!(closed, 0, "of {} that were answered within the last second", all.len());
            return;
        }
    }
    panic!("five rounds were late");
}

/// The same where they go on asking for a while beside a newcomer that has asked, so that each has its answer later than the
/// newcomer came. It had the place of one that was answered 0.4 s before.
#[test]
fn a_newcomer_waits_for_those_that_are_answered_beside_it() {
    let WithoutMemory { node, mut answered, .. } = WithoutMemory::start("places-beside");
    let mut newcomer = node.connect();
    newcomer.send(&["HEALTH", "8", ""]);
    let came = Instant::now();
    let mut asked_at = vec![came; answered.len()];
    while came.elapsed() < ASKED_BESIDE {
        for (client, asked_at) in answered.iter_mut().zip(&mut asked_at) {
            *asked_at = Instant::now();
            client.send(&["HEALTH", "8", ""]);
            client.answer();
        }
    }
    let mut closed = None;
    eventually("one gives its place", || {
        closed = answered.iter_mut().position(is_closed);
        closed.is_some()
    });
    let since_asked = asked_at[closed.unwrap()].elapsed();
    assert!(since_asked >= TIME_TO_READ, "closed {since_asked:?} after it asked");
    assert_eq!(newcomer.answer()[1], "yes");
}

/// Each newcomer asks and reads its answer, which its system acknowledges late, and the next is there before: nothing tells then
/// that the answer was not dropped. Guards against newcomers who are turned away for that.
#[test]
fn a_newcomer_has_a_place_though_no_answer_is_acknowledged_yet() {
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = Node::start("places-unacknowledged", members, |config| config["limits"]["sockets"] = json!(8));
    let mut clients = Vec::new();
    // One that was turned away would not be answered.
    for _ in 0..NEWCOMERS {
        let mut client = node.connect();
        socket2::SockRef::from(&client.stream).set_tcp_quickack(false).unwrap();
        client.send(&["HEALTH", "8", ""]);
        client.answer();
        clients.push(client);
    }
}

/// A front without memory for newcomers, which has places for a few of them.
struct WithoutMemory {
    node: Node,
    /// Since when its clients have had their last answers.
    began: Instant,
    /// Clients that were answered just now.
    answered: Vec<Client>,
}

impl WithoutMemory {
    fn start(name: &str) -> Self {
        let (cache, _served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let node = Node::start(name, members, |config| config["limits"]["sockets"] = json!(ROOMY_SOCKETS));
        let mut answered: Vec<Client> = (0..ANSWERED).map(|_| idle_client(&node)).collect();
        node.reload(|config| config["limits"]["memory_mb"] = json!(4));
        node.logged("settings are in force");
        node.logged("are in no account");
        let began = Instant::now();
        for client in &mut answered {
            client.send(&["HEALTH", "8", ""]);
            client.answer();
        }
        WithoutMemory { node, began, answered }
    }

    /// Newcomers come for half of the time that those before them have to read; each sends this.
    fn newcomers(&self, sends: &str) -> Vec<Client> {
        let mut newcomers = Vec::new();
        while self.began.elapsed() < TIME_TO_READ / 2 || newcomers.len() + ANSWERED < ROOMY_SOCKETS {
            let mut newcomer = self.node.connect();
            // One that was turned away cannot be written to.
            let _ = newcomer.stream.write_all(sends.as_bytes());
            newcomers.push(newcomer);
            thread::sleep(Duration::from_millis(2));
        }
        newcomers
    }

    /// Are those that were answered still in the time that they have to read?
    fn in_time(&self) -> bool {
        self.began.elapsed() < TIME_TO_READ
    }
}

/// Plays again where the machine was too late, which the play tells by `None`.
fn in_time<T>(name: &str, play: impl Fn(&str) -> Option<T>) -> T {
    let played = (0..ROUNDS).find_map(|round| play(&format!("{name}-{round}")));
    played.unwrap_or_else(|| panic!("{ROUNDS} rounds were late"))
}

/// Newcomers for which there is no memory take the last places. Those that come after them get none of a client that was
/// answered just now, whether the newcomers say nothing or half of a request.
#[test]
fn newcomers_that_wait_for_memory_close_none_that_were_just_answered() {
    for sends in ["", HALF_A_REQUEST] {
        let closed = in_time(&format!("places-waiting-{}", sends.len()), |name| {
            let mut front = WithoutMemory::start(name);
            let _newcomers = front.newcomers(sends);
            let closed = front.answered.iter_mut().filter_map(|client| is_closed(client).then_some(()));
            let closed = closed.count();
            front.in_time().then_some(closed)
        });
        assert_eq!(closed, 0, "of {ANSWERED} that were answered just now; newcomers send {sends:?}");
    }
}

/// The last places are taken by newcomers that wait for memory, and another comes and asks: it is answered once there is memory
/// again.
#[test]
fn a_newcomer_that_asks_is_not_turned_away_for_others_that_wait_for_memory() {
    let answered = in_time("places-asks", |name| {
        let front = WithoutMemory::start(name);
        let _newcomers = front.newcomers(HALF_A_REQUEST);
        let mut asks = front.node.connect();
        asks.send(&["HEALTH", "8", ""]);
        front.node.reload(|config| config["limits"]["memory_mb"] = json!(64));
        let in_time = front.in_time();
        let mut first = [0];
        let answered = asks.stream.read(&mut first).is_ok_and(|n| n > 0);
        in_time.then_some(answered)
    });
    assert!(answered, "it finds the end of its connection in place of an answer");
}
