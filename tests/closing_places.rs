//! Connection slots of a front: which connections get one, and which are evicted, for many new connections at
//! once, for a client that floods the front, and while memory is scarce.

mod stand_ins;
use serde_json::json;
use stand_ins::*;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

/// The front's limit of descriptors.
const SOCKETS: usize = 64;
/// New connections: more than [`SOCKETS`], and no more than the listener's backlog holds.
const MANY_CONNECTIONS: u64 = 200;
/// The limit of descriptors of a front whose connection slots, two fifths of them, are more than
/// [`ANSWERED_CLIENTS`].
const MANY_SOCKETS: usize = 128;
/// Clients that hold all the memory that a lowered limit leaves.
const ANSWERED_CLIENTS: usize = 40;
/// How long an idle connection stays open while memory is scarce.
const TIME_TO_READ: Duration = Duration::from_secs(1);
/// How long clients go on sending requests beside a new connection: less than [`TIME_TO_READ`], so that none
/// of them has been idle for that long when they stop.
const REQUESTS_BESIDE: Duration = Duration::from_millis(600);
/// The first part of a request.
const PARTIAL_REQUEST: &str = "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n";
/// How often a test is run anew after the machine was too slow for its time limits, so that the run proved
/// nothing.
const MAX_ROUNDS: u32 = 5;

/// Many more connections than a front with 8 descriptors has slots for.
const NEW_CONNECTIONS: usize = 50;

/// Many clients connect and send a request while the front is stopped, so that it then finds all connections
/// and requests at once. Guards against opening more descriptors than the limit.
#[test]
fn simultaneous_connections_with_requests_stay_within_the_descriptor_limit() {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let front =
        PlatformFront::start("places-crowd", members, |config| config["limits"]["sockets"] = json!(SOCKETS));
    // The front now has its connection to the cache node and all other descriptors that it opens by itself.
    let mut first = front.connect();
    send_keyed_request(&mut first, 1);
    next(&served).hit(b"first");
    first.answer();
    front.signal("-STOP");
    let mut clients: Vec<Client> = (0..MANY_CONNECTIONS)
        .map(|number| {
            let mut client = front.connect();
            send_keyed_request(&mut client, 2 + number);
            client
        })
        .collect();
    front.signal("-CONT");
    let (mut max_open, mut requests) = (0, Vec::new());
    eventually("each connection has been accepted or closed", || {
        let open = std::fs::read_dir(format!("/proc/{}/fd", front.child.id())).unwrap().count();
        max_open = max_open.max(open);
        requests.extend(served.try_iter());
        let ended = clients.iter_mut().filter(|client| {
            client.stream.set_nonblocking(true).unwrap();
            !client.stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        });
        ended.count() + requests.len() >= MANY_CONNECTIONS as usize
    });
    assert!(
        max_open <= SOCKETS,
        "{max_open} descriptors, the limit is {SOCKETS}; {} requests at the cache node",
        requests.len()
    );
}

/// A client sends invalid requests without a pause. Guards against a close request that such a client evades
/// because its connection is never idle: it would keep its slot while new connections wait.
#[test]
fn flooding_client_is_evicted_for_a_new_connection() {
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let front =
        PlatformFront::start("places-flood", members, |config| config["limits"]["sockets"] = json!(8));
    let flooder = front.connect().stream;
    let (mut writes, mut reads) = (flooder.try_clone().unwrap(), flooder);
    let flooding = thread::spawn(move || {
        let frame = b"*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$2\r\nno\r\n$1\r\n-\r\n$0\r\n\r\n".repeat(100);
        while writes.write_all(&frame).is_ok() {}
    });
    let reading = thread::spawn(move || while reads.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    let processor_s = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", front.child.id())).unwrap();
        stat.split(' ').next().unwrap().parse::<f64>().unwrap() / 1e9
    };
    let (began, processor_s_before) = (Instant::now(), processor_s());
    let mut new_clients = Vec::new();
    // Longer than the front's timeout for a connection without any request.
    while began.elapsed() < Duration::from_secs(4) && !flooding.is_finished() {
        new_clients.push(front.connect());
        thread::sleep(Duration::from_millis(20));
    }
    let core_share = (processor_s() - processor_s_before) / began.elapsed().as_secs_f64();
    let has_slot = !flooding.is_finished();
    drop(front);
    flooding.join().unwrap();
    reading.join().unwrap();
    assert!(
        !has_slot,
        "the flooding client has its slot after {} new connections; the front used {core_share:.2} of a core",
        new_clients.len()
    );
}

/// Half of a request's head arrives at the front for signed links, on the connection that was idle for
/// longest, and then new connections that need its slot. Guards against evicting that connection while others
/// are idle.
#[test]
fn signed_front_evicts_idle_connections_before_one_with_a_partial_head() {
    let signer = talks();
    let (front, _served) = start_signed_front("places-half", &[&signer], |text| {
        assert!(text.contains("sockets = 1024"));
        text.replace("sockets = 1024", "sockets = 64")
    });
    let idle_connection = || {
        let mut stream = front.send(&get("/talks/unsigned"));
        assert_eq!(status(read_message(&mut stream)).0, 401);
        stream
    };
    let (mut partial, mut idle) = (idle_connection(), idle_connection());
    let request = get("/talks/unsigned");
    let (first_half, second_half) = request.split_at(request.len() / 2);
    partial.write_all(first_half.as_bytes()).unwrap();
    // The front's one thread reads the first half before it answers a later request.
    drop(idle_connection());
    let mut new_connections = Vec::new();
    let closed = |stream: &mut std::net::TcpStream| {
        stream.set_nonblocking(true).unwrap();
        let closed = stream.peek(&mut [0]).is_ok_and(|n| n == 0);
        stream.set_nonblocking(false).unwrap();
        closed
    };
    eventually("one of the two connections is closed", || {
        new_connections.push(idle_connection());
        closed(&mut partial) || closed(&mut idle)
    });
    assert!(!closed(&mut partial), "the connection with a partial head is closed, and the idle one is not");
    partial.write_all(second_half.as_bytes()).unwrap();
    assert_eq!(status(read_message(&mut partial)).0, 401);
}

/// There is no memory for a new connection, and all clients were answered less than the time to read ago.
/// Guards against evicting one of them before that time is over: the new connection is to be refused, or to
/// wait.
#[test]
fn new_connection_without_memory_evicts_no_recently_answered_client() {
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    // A round proves nothing if the machine is so slow that the time to read is over.
    for round in 0..5 {
        let front = PlatformFront::start(&format!("places-memory-{round}"), members.clone(), |_| ());
        // The front has accepted each of them, and answered it, before the limit is lowered.
        let mut clients: Vec<Client> = (0..40).map(|_| idle_client(&front)).collect();
        front.reload(|config| config["limits"]["memory_mb"] = json!(4));
        front.logged("settings are in force");
        front.logged("are in no account");
        let began = Instant::now();
        for client in &mut clients {
            client.send(&["HEALTH", "8", ""]);
            client.answer();
        }
        let mut new_client = front.connect();
        let _ = new_client.stream.write_all(b"*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n");
        // Waits until the new connection is answered or refused; the front may also keep it waiting.
        new_client.stream.set_read_timeout(Some(Duration::from_millis(700))).unwrap();
        let _ = new_client.stream.peek(&mut [0]);
        let closed = clients.iter_mut().filter_map(|client| is_closed(client).then_some(())).count();
        if began.elapsed() < Duration::from_secs(1) {
            assert_eq!(
                closed,
                0,
                "evicted of {} clients that were answered within the last second",
                clients.len()
            );
            return;
        }
    }
    panic!("the machine was too slow in each of five rounds");
}

/// A new connection waits for memory while the other clients go on sending requests for a while. Guards
/// against counting their time to read from the arrival of the new connection and not from their last
/// answers: a client would be evicted 0.4 s after its answer.
#[test]
fn waiting_connection_evicts_no_client_that_was_answered_meanwhile() {
    let FrontWithoutMemory { front, mut answered, .. } = FrontWithoutMemory::start("places-beside");
    let mut new_client = front.connect();
    new_client.send(&["HEALTH", "8", ""]);
    let connected_at = Instant::now();
    let mut requested_at = vec![connected_at; answered.len()];
    while connected_at.elapsed() < REQUESTS_BESIDE {
        for (client, requested_at) in answered.iter_mut().zip(&mut requested_at) {
            *requested_at = Instant::now();
            client.send(&["HEALTH", "8", ""]);
            client.answer();
        }
    }
    let mut evicted = None;
    eventually("a client is evicted", || {
        evicted = answered.iter_mut().position(is_closed);
        evicted.is_some()
    });
    let since_request = requested_at[evicted.unwrap()].elapsed();
    assert!(since_request >= TIME_TO_READ, "evicted {since_request:?} after its last request");
    assert_eq!(new_client.answer()[1], "yes");
}

/// Each client reads its answer, but its kernel acknowledges that late, and the next client connects before:
/// the front can't know yet whether the answer arrived. Guards against refusing new connections because no
/// other connection can be evicted.
#[test]
fn new_connection_gets_a_slot_before_answers_are_acknowledged() {
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let front = PlatformFront::start("places-unacknowledged", members, |config| {
        config["limits"]["sockets"] = json!(8)
    });
    let mut clients = Vec::new();
    // A refused client would get no answer.
    for _ in 0..NEW_CONNECTIONS {
        let mut client = front.connect();
        socket2::SockRef::from(&client.stream).set_tcp_quickack(false).unwrap();
        client.send(&["HEALTH", "8", ""]);
        client.answer();
        clients.push(client);
    }
}

/// A front without memory for new connections, which has slots for a few of them.
struct FrontWithoutMemory {
    front: PlatformFront,
    /// When its clients began to get their last answers.
    answered_since: Instant,
    /// The clients that were answered then.
    answered: Vec<Client>,
}

impl FrontWithoutMemory {
    fn start(name: &str) -> Self {
        let (cache, _served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let front =
            PlatformFront::start(name, members, |config| config["limits"]["sockets"] = json!(MANY_SOCKETS));
        let mut answered: Vec<Client> = (0..ANSWERED_CLIENTS).map(|_| idle_client(&front)).collect();
        front.reload(|config| config["limits"]["memory_mb"] = json!(4));
        front.logged("settings are in force");
        front.logged("are in no account");
        let answered_since = Instant::now();
        for client in &mut answered {
            client.send(&["HEALTH", "8", ""]);
            client.answer();
        }
        FrontWithoutMemory { front, answered_since, answered }
    }

    /// Opens new connections for half of the time that the answered clients have to read, and sends these
    /// bytes on each.
    fn connect_many(&self, bytes: &str) -> Vec<Client> {
        let mut new_clients = Vec::new();
        while self.answered_since.elapsed() < TIME_TO_READ / 2
            || new_clients.len() + ANSWERED_CLIENTS < MANY_SOCKETS
        {
            let mut new_client = self.front.connect();
            // This fails if the front has refused the connection already.
            let _ = new_client.stream.write_all(bytes.as_bytes());
            new_clients.push(new_client);
            thread::sleep(Duration::from_millis(2));
        }
        new_clients
    }

    /// Returns whether the answered clients still have time to read.
    fn in_time(&self) -> bool {
        self.answered_since.elapsed() < TIME_TO_READ
    }
}

/// Runs a test until it returns `Some`, and returns its result. It returns `None` if the machine was too slow
/// for its time limits.
fn in_time<T>(name: &str, run: impl Fn(&str) -> Option<T>) -> T {
    let result = (0..MAX_ROUNDS).find_map(|round| run(&format!("{name}-{round}")));
    result.unwrap_or_else(|| panic!("the machine was too slow in each of {MAX_ROUNDS} rounds"))
}

/// New connections that wait for memory take the last slots, and more connections arrive. Guards against
/// evicting a recently answered client for those, whether the waiting connections have sent nothing or half
/// of a request.
#[test]
fn connections_waiting_for_memory_evict_no_recently_answered_client() {
    for bytes in ["", PARTIAL_REQUEST] {
        let closed = in_time(&format!("places-waiting-{}", bytes.len()), |name| {
            let mut setup = FrontWithoutMemory::start(name);
            let _new_clients = setup.connect_many(bytes);
            let closed = setup.answered.iter_mut().filter_map(|client| is_closed(client).then_some(()));
            let closed = closed.count();
            setup.in_time().then_some(closed)
        });
        assert_eq!(
            closed, 0,
            "evicted of {ANSWERED_CLIENTS} recently answered clients; new connections send {bytes:?}"
        );
    }
}

/// New connections that wait for memory take the last slots, and another arrives with a complete request.
/// Guards against refusing that one: it is to be answered once there is memory again.
#[test]
fn connection_with_a_request_outlasts_others_that_wait_for_memory() {
    let answered = in_time("places-asks", |name| {
        let setup = FrontWithoutMemory::start(name);
        let _new_clients = setup.connect_many(PARTIAL_REQUEST);
        let mut new_client = setup.front.connect();
        new_client.send(&["HEALTH", "8", ""]);
        setup.front.reload(|config| config["limits"]["memory_mb"] = json!(64));
        let in_time = setup.in_time();
        let mut first_byte = [0];
        let answered = new_client.stream.read(&mut first_byte).is_ok_and(|n| n > 0);
        in_time.then_some(answered)
    });
    assert!(answered, "the connection with a request ended without an answer");
}
