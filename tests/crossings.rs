//! Races between two events: a stand-in delays one event until the test has seen the other.
//! The table in docs/design/crossings.md names these tests.

mod stand_ins;
use serde_json::json;
use stand_ins::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// The frame of a request.
fn request_frame(tag: u64, call: u64) -> Vec<u8> {
    let fields = format!("call={call:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5");
    let words = ["REQ", &tag.to_string(), "media", &fields, ""];
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*5\r\n{words}").into_bytes()
}

/// Reads a stream to its end. The error says how it ended otherwise.
fn read_to_end(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    let mut all = Vec::new();
    stream.read_to_end(&mut all).map(|_| all).map_err(|e| e.kind())
}

/// Waits until the program exits in order. Returns the value of a counter in the line that it prints then.
fn counter_at_exit(front: &mut PlatformFront, name: &str) -> u64 {
    let line = front.logged("at exit: counters");
    assert_eq!(front.child.wait().unwrap().code(), Some(0));
    let mark = format!("{name}=");
    line.split(' ').find_map(|w| w.strip_prefix(&mark)).unwrap().parse().unwrap()
}

/// Waits for the next command at either of two cache nodes. Returns it and whether it came to the first one.
fn next_at_either(
    first: &Receiver<ReceivedCommand>,
    second: &Receiver<ReceivedCommand>,
) -> (ReceivedCommand, bool) {
    let mut command = None;
    eventually("a command at either cache node", || {
        let next_at =
            |served: &Receiver<ReceivedCommand>, is_first: bool| Some((served.try_recv().ok()?, is_first));
        command = next_at(first, true).or_else(|| next_at(second, false));
        command.is_some()
    });
    command.unwrap()
}

/// Panics if a command has reached the cache node.
fn assert_no_command(served: &Receiver<ReceivedCommand>) {
    if let Ok(command) = served.try_recv() {
        panic!("{} {} reached the cache node", command.verb, command.id);
    }
}

/// A client sends a request after the front has closed its side of an idle connection at shutdown. Guards
/// against sending that request to a cache node, and against a reset in place of an orderly end.
#[test]
fn request_after_an_idle_connection_is_closed_is_not_sent_on() {
    let (mut front, served) = front_with_one_cache("crossing-rest");
    let mut client = front.connect();
    client.send_request("1", 0xa1, "");
    next(&served).hit(b"x");
    assert_eq!(client.answer()[1], "ok");
    front.signal("-TERM");
    assert!(client.ends_without_data(), "the front closes the idle connection");
    client.stream.write_all(&request_frame(2, 0xa2)).unwrap();
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_to_end(&mut client.stream), Ok(Vec::new()));
    assert_no_command(&served);
    assert_eq!(counter_at_exit(&mut front, "requests"), 1);
}

/// More idle connections are closed at shutdown than may linger at once in normal operation, and each client
/// sends a request after the close. Guards against a limit on lingering connections that resets some of them
/// during shutdown.
#[test]
fn all_idle_connections_end_in_order_at_shutdown() {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let mut front = PlatformFront::start("crossing-many", members, |c| c["limits"]["sockets"] = json!(64));
    let mut clients: Vec<Client> = (0..20).map(|_| front.connect()).collect();
    for client in &mut clients {
        client.send(&["HEALTH", "8", ""]);
        assert_eq!(client.answer()[..2], ["8", "yes"]);
    }
    front.signal("-TERM");
    // Each client writes once it has seen the end, while the front waits for all clients to close their
    // sides.
    for client in &mut clients {
        assert!(client.ends_without_data());
        client.stream.write_all(&request_frame(2, 0xa2)).unwrap();
    }
    for client in &mut clients {
        client.stream.shutdown(Shutdown::Write).unwrap();
        assert_eq!(read_to_end(&mut client.stream), Ok(Vec::new()));
    }
    assert_eq!(counter_at_exit(&mut front, "requests"), 0);
    assert_no_command(&served);
}

/// SIGTERM arrives while a request is in flight, and its answer is larger than the socket buffers. Guards
/// against a close that cuts the answer off.
#[test]
fn request_in_flight_at_sigterm_is_answered_whole() {
    let (mut front, served) = front_with_one_cache("crossing-taken");
    let mut client = Client::new(connect_with_small_buffer(front.address));
    client.send_request("1", 0xa1, "");
    let mut request = next(&served);
    front.signal("-TERM");
    front.logged("onyxyoke").clear();
    let body = vec![b'y'; 240_000];
    request.hit(&body);
    let answer = client.answer();
    assert_eq!((&*answer[1], answer[3].len()), ("ok", body.len()));
    assert!(client.ends_without_data());
    assert_eq!(counter_at_exit(&mut front, "served"), 1);
}

/// SIGTERM arrives between the two halves of a request. Guards against closing the connection as an idle one.
#[test]
fn request_whose_halves_arrive_around_sigterm_is_answered() {
    let (mut front, served) = front_with_one_cache("crossing-half");
    let mut client = front.connect();
    client.send(&["HEALTH", "8", ""]);
    assert_eq!(client.answer()[..2], ["8", "yes"]);
    let frame = request_frame(1, 0xa1);
    client.stream.write_all(&frame[..40]).unwrap();
    front.signal("-TERM");
    let mut other = front.connect();
    eventually("the closing window begins", || {
        other.send(&["HEALTH", "1", ""]);
        other.answer()[1] == "no"
    });
    // The other connection is idle and gets closed: after that the front waits only for the partial request.
    assert!(other.ends_without_data());
    client.stream.write_all(&frame[40..]).unwrap();
    next(&served).hit(b"x");
    assert_eq!(client.answer()[1], "ok");
    assert!(client.ends_without_data());
    assert_eq!(counter_at_exit(&mut front, "served"), 1);
}

/// A client sends more than the front reads at once, with a request at the end, and closes its side. Guards
/// against a front that notices the end only after all that comes before it, and sends the request to a cache
/// node.
#[test]
fn unread_request_of_a_flooding_client_that_left_is_not_sent_on() {
    let (mut front, served) = front_with_one_cache("crossing-flood");
    let mut client = front.connect();
    let health: Vec<u8> =
        (0..900).flat_map(|_| b"*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n".to_vec()).collect();
    client.stream.write_all(&[health, request_frame(1, 0xa1)].concat()).unwrap();
    client.stream.shutdown(Shutdown::Write).unwrap();
    // The front closes the connection long before its rate limit would let it read that far.
    let _ = read_to_end(&mut client.stream);
    front.signal("-TERM");
    assert_eq!(counter_at_exit(&mut front, "written"), 0);
    assert_no_command(&served);
}

/// A client disconnects while its request is in flight at a cache node, which then fails it. Guards against a
/// missing or repeated cancel, and against a further attempt for a client that is gone.
#[test]
fn request_of_a_disconnected_client_gets_no_further_attempt() {
    let (mut front, [(_, at_one), (_, at_two)]) = front_with_two_caches("crossing-gone");
    let mut client = front.connect();
    client.send_request("1", 0xa1, "");
    let (mut request, _) = next_at_either(&at_one, &at_two);
    drop(client);
    // The cache node fails the request only after it has got the cancel. Without that, the failure would be a
    // reason for a further attempt.
    let (cancel, _) = next_at_either(&at_one, &at_two);
    assert_eq!((&*cancel.verb, &cancel.id), ("cancel", &request.id));
    request.answer("FAULT", "n=TCP_MISS", b"");
    front.signal("-TERM");
    assert_eq!(counter_at_exit(&mut front, "written"), 1);
    assert_no_command(&at_one);
    assert_no_command(&at_two);
}

/// SIGTERM arrives twice, between SIGHUPs, before the front has a cache node. Guards against signals that are
/// lost or cause an exit with an error.
#[test]
fn sigterm_before_the_front_is_ready_ends_it_in_order() {
    let mut front = PlatformFront::start("crossing-early", Vec::new(), |_| ());
    let mut client = front.connect();
    client.send(&["HEALTH", "8", ""]);
    assert_eq!(client.answer()[..2], ["8", "no"], "not ready");
    ["-HUP", "-TERM", "-HUP", "-TERM"].iter().for_each(|s| front.signal(s));
    assert!(client.ends_without_data());
    assert_eq!(counter_at_exit(&mut front, "requests"), 0);
}

/// The coordinator's watch stalls without an end. Guards against a front that keeps waiting on it, and so
/// misses a drain: it must open a new watch from the last whole event well before all fronts are expected to
/// know of a drain (7 s), and close the stalled one, so that late events on that are not applied.
#[test]
fn stalled_watch_is_reopened_from_the_last_event() {
    let (front, _served) = front_with_one_cache("crossing-silent");
    let (last, mut stalled) = front.feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 3);
    let began = Instant::now();
    let purge = |number: u64| {
        let payload = [&17u16.to_be_bytes()[..], &1u64.to_be_bytes()].concat();
        [&(9 + payload.len() as u32).to_be_bytes()[..], &number.to_be_bytes(), &[4], &payload].concat()
    };
    // A partial frame doesn't count as an event.
    stalled.write_all(&purge(4)).unwrap();
    stalled.write_all(&purge(5)[..10]).unwrap();
    let (last, mut second) = front.feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 4, "the partial event is not applied");
    // The second watch brings nothing at all, so that the front opens a third one.
    let (last, mut third) = front.feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 4);
    assert!(began.elapsed() < Duration::from_secs(7), "{:?}", began.elapsed());
    let is_closed = |stream: &mut TcpStream| at_end(stream).unwrap_or(true);
    assert!(is_closed(&mut stalled) && is_closed(&mut second), "both stalled watches are closed");
    // Repeated events, and those older than the last one, are applied only once.
    third.write_all(&[purge(4), purge(5), purge(4)].concat()).unwrap();
    await_counter(&front, " purges=2 ");
}

/// A node drains (the event comes twice), is removed, and another node appears at its address. Guards against
/// using the node while it drains, and against a state of the old node that keeps the new one unused.
#[test]
fn node_at_the_address_of_a_drained_node_is_used() {
    let (front, [(cache, at_cache), (_, at_other)]) = front_with_two_caches("crossing-returns");
    let (_, mut feed) = front.feeds.recv_timeout(PATIENCE).unwrap();
    let record = |id: u32, state: u8| list_record(id, state, cache);
    let mut client = front.connect();
    let mut last_request = 0;
    // Requests another object each time. Returns whether the request came to the first cache node.
    let mut request = |client: &mut Client| {
        last_request += 1;
        let fields =
            format!("call={last_request:016x},ttl=3000,row={last_request:016x},slice=0,set=17,heap=10.5");
        client.send(&["REQ", &last_request.to_string(), "media", &fields, ""]);
        let (mut served, is_first) = next_at_either(&at_cache, &at_other);
        served.hit(b"x");
        assert_eq!(client.answer()[1], "ok");
        is_first
    };
    assert!((0..40).any(|_| request(&mut client)), "the node is used");
    // The drain comes twice in one write, and then a list that is older and must be ignored.
    let events =
        [list_frame(4, &record(EDGE, 1)), list_frame(5, &record(EDGE, 1)), list_frame(3, &record(EDGE, 0))]
            .concat();
    feed.write_all(&events).unwrap();
    await_counter(&front, "lists=3");
    assert!(!(0..40).any(|_| request(&mut client)), "the node is not used while it drains");
    // One event removes the node and adds another at its address.
    feed.write_all(&list_frame(6, &[record(EDGE, 2), record(EDGE + 100, 0)].concat())).unwrap();
    await_counter(&front, "lists=4");
    assert!((0..40).any(|_| request(&mut client)), "the new node at its address is used");
}

/// Two deployments have fronts of the same name and share `$TMPDIR`. Guards against a cordon of one that
/// holds in the other, and against a front that takes the other deployment's front, started later, for its
/// successor and closes its clients' connections at once on SIGTERM.
#[test]
fn fronts_of_one_name_in_two_deployments_share_no_state() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-crossing-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    let start = |name: &str| {
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let free_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let front = PlatformFront::start_in_tmpdir(
            name,
            members,
            |config| {
                config["admin_addr"] = json!("127.0.0.1:0");
                config["listen"] = json!(free_address);
            },
            Some(&tmp),
        );
        let line = front.logged("answers operators on");
        let admin: std::net::SocketAddr = line.rsplit(' ').next().unwrap().parse().unwrap();
        (front, admin)
    };
    let call = |admin: std::net::SocketAddr, command: &str| {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(format!("{command}\n").as_bytes()).unwrap();
        let reply = String::from_utf8(read_to_end(&mut stream).unwrap()).unwrap();
        assert!(reply.ends_with('\n'), "the reply to '{command}' was cut off: {reply:?}");
        reply
    };
    let (mut first, first_admin) = start("crossing-first");
    let (second, second_admin) = start("crossing-second");
    assert!(call(first_admin, &format!("cordon s-{EDGE:08x}")).starts_with("ok "));
    // The second front reads the stored cordons before it carries out a command, and replies with what it
    // found.
    assert_eq!(
        call(second_admin, &format!("uncordon s-{EDGE:08x}")),
        format!("ok s-{EDGE:08x} was not cordoned\n")
    );
    assert_eq!(
        call(first_admin, &format!("uncordon s-{EDGE:08x}")),
        format!("ok s-{EDGE:08x} uncordoned; it starts cold\n")
    );
    // The first front, which has no successor, accepts new connections in its closing window.
    let mut earlier = first.connect();
    first.signal("-TERM");
    eventually("the closing window begins", || {
        earlier.send(&["HEALTH", "1", ""]);
        earlier.answer()[1] == "no"
    });
    let mut late = first.connect();
    late.send_request("1", 0xb1, "");
    next(&served).hit(b"late");
    assert_eq!(late.answer()[1], "ok");
    assert_eq!(counter_at_exit(&mut first, "served"), 1);
    drop(second);
    std::fs::remove_dir_all(tmp).unwrap();
}

/// A client disconnects while its attempt waits for a connection to the cache node. Guards against writing
/// the attempt once the connection is established.
#[test]
fn attempt_of_a_disconnected_client_is_not_written_on_a_late_connection() {
    let unresponsive = UnresponsiveServer::new();
    let members = vec![
        member(EDGE, "standard", unresponsive.address()),
        member(ORIGIN, "origin", unresponsive.address()),
    ];
    let mut front = PlatformFront::start("crossing-late-gone", members, |config| {
        config["settings"]["caps"]["connect-timeout"] = json!(10.0);
    });
    let mut client = front.connect();
    client.send_request("1", 0xa1, "");
    await_counter(&front, " sent=1 written=0 ");
    drop(client);
    await_counter(&front, " aborted=1 ");
    let served = cache_node_at(unresponsive.accept_connections());
    front.signal("-TERM");
    assert_eq!(counter_at_exit(&mut front, "written"), 0);
    assert_no_command(&served);
}

/// A connection to the cache node is established late, and the client still waits. Guards against dropping
/// the attempt.
#[test]
fn attempt_of_a_waiting_client_is_written_on_a_late_connection() {
    let unresponsive = UnresponsiveServer::new();
    let members = vec![
        member(EDGE, "standard", unresponsive.address()),
        member(ORIGIN, "origin", unresponsive.address()),
    ];
    let front = PlatformFront::start("crossing-late", members, |config| {
        config["settings"]["caps"]["connect-timeout"] = json!(10.0);
    });
    let mut client = front.connect();
    client.send_request("1", 0xa1, "");
    await_counter(&front, " sent=1 written=0 ");
    let served = cache_node_at(unresponsive.accept_connections());
    next(&served).hit(b"late");
    assert_eq!(client.answer()[1], "ok");
}

/// A node drains while an attempt waits for a connection to it. Guards against leaving the attempt there: it
/// must go to another node, and the first must get nothing when its connections are established after all.
#[test]
fn attempt_that_waits_for_a_connection_to_a_draining_node_goes_to_another() {
    let unresponsive = UnresponsiveServer::new();
    let (other, at_other) = cache_node();
    let members = vec![member(EDGE, "standard", unresponsive.address()), member(ORIGIN, "origin", other)];
    let mut front = PlatformFront::start("crossing-late-drain", members, |config| {
        config["settings"]["caps"]["connect-timeout"] = json!(10.0);
    });
    let (_, mut feed) = front.feeds.recv_timeout(PATIENCE).unwrap();
    let mut client = front.connect();
    client.send_request("1", 0xa1, "");
    await_counter(&front, " sent=1 written=0 ");
    let records = [list_record(EDGE, 1, unresponsive.address()), list_record(OTHER_EDGE, 0, other)].concat();
    feed.write_all(&list_frame(4, &records)).unwrap();
    next(&at_other).hit(b"elsewhere");
    assert_eq!(client.answer()[3], "elsewhere");
    let first_served = cache_node_at(unresponsive.accept_connections());
    front.signal("-TERM");
    assert_eq!(counter_at_exit(&mut front, "written"), 1);
    assert_no_command(&first_served);
}

/// The frame of an event with this number that changes the list of nodes.
fn list_frame(number: u64, records: &[u8]) -> Vec<u8> {
    [&(9 + records.len() as u32).to_be_bytes()[..], &number.to_be_bytes(), &[2], records].concat()
}

/// The record of a node in a [`list_frame`].
fn list_record(id: u32, state: u8, address: std::net::SocketAddr) -> Vec<u8> {
    let (zone, kind, cell) = ([1], [0], [0, 0]);
    let head =
        [&id.to_be_bytes()[..], &[127, 0, 0, 1], &address.port().to_be_bytes(), &[state], &zone, &kind];
    [head.concat(), cell.to_vec(), 8000u32.to_be_bytes().to_vec(), 0u64.to_be_bytes().to_vec()].concat()
}

/// SIGHUP changes the coordinator's address while the front has read half an event. Guards against an event
/// that is lost or applied twice: the new watch starts from the last whole event, and the second half, which
/// arrives on the old watch, is discarded.
#[test]
fn coordinator_change_within_an_event_applies_each_event_once() {
    let (front, _served) = front_with_one_cache("crossing-moves");
    let (_, mut old) = front.feeds.recv_timeout(PATIENCE).unwrap();
    let purge = |number: u64| {
        let payload = [&17u16.to_be_bytes()[..], &1u64.to_be_bytes()].concat();
        [&(9 + payload.len() as u32).to_be_bytes()[..], &number.to_be_bytes(), &[4], &payload].concat()
    };
    let fifth = purge(5);
    old.write_all(&[&purge(4)[..], &fifth[..12]].concat()).unwrap();
    await_counter(&front, " purges=1 ");
    let (new, feeds) = coordinator();
    let file = front.folder.join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    config["coordinator"] = json!(new);
    std::fs::write(&file, config.to_string()).unwrap();
    front.signal("-HUP");
    let (last, mut feed) = feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 4, "the partial event is not applied");
    let _ = old.write_all(&[&fifth[12..], &purge(6)].concat());
    feed.write_all(&[fifth, purge(6), purge(7)].concat()).unwrap();
    await_counter(&front, " purges=4 ");
}

/// A reload renames and reorders the classes while a request is in flight. Guards against mixing old and new
/// names and settings: the classes in service must stay as they are until the next start, and the log must
/// say so.
#[test]
fn reload_that_renames_and_reorders_classes_leaves_those_in_service() {
    let (front, served) = front_with_one_cache("crossing-classes");
    let mut client = front.connect();
    let send_request = |client: &mut Client, tag: &str, class: &str| {
        let fields = format!("call=00000000000000{tag:0>2},ttl=9000,row={OBJECT},slice=0,set=17,heap=10.5");
        client.send(&["REQ", tag, class, &fields, ""]);
    };
    send_request(&mut client, "1", "media");
    let mut in_flight = next(&served);
    let file = front.folder.join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    let profiles = config["settings"]["profiles"].as_array_mut().unwrap();
    profiles.reverse();
    profiles[0]["name"] = json!("media");
    profiles[2]["name"] = json!("other");
    std::fs::write(&file, config.to_string()).unwrap();
    front.signal("-HUP");
    assert!(front.logged("next start").contains("'settings.profiles'"));
    in_flight.hit(b"x");
    assert_eq!(client.answer()[1], "ok");
    // In the file this name now belongs to a class that needs a key.
    send_request(&mut client, "2", "media");
    let mut request = next(&served);
    assert_eq!(request.field("sort"), Some("media"));
    let patience: u32 = request.field("patience").unwrap().parse().unwrap();
    assert!((4_000..=5_000).contains(&patience), "the deadline is the one before the reload: {patience}");
    request.hit(b"x");
    assert_eq!(client.answer()[1], "ok");
    send_request(&mut client, "3", "other");
    assert_eq!(client.answer()[1], "fault", "a class that only the file has is unknown");
    send_request(&mut client, "4", "holds");
    assert_eq!(client.answer()[1], "fault", "the class still needs a key");
}

/// While the coordinator is down, idle clients, partial requests and floods from clients that leave take all
/// connection slots of a front with 192 descriptors, and more clients connect. Guards against running out of
/// descriptors for operators and the coordinator, and against a busy loop: operators are answered, and the
/// front serves requests within a second of the coordinator's return.
#[test]
fn front_with_all_slots_taken_recovers_when_the_coordinator_returns() {
    let (cache, served) = cache_node();
    let unresponsive = UnresponsiveServer::new();
    let front = PlatformFront::start("crossing-full", Vec::new(), |config| {
        config["admin_addr"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(192);
        config["coordinator"] = json!(unresponsive.address());
    });
    let line = front.logged("answers operators on");
    let admin: std::net::SocketAddr = line.rsplit(' ').next().unwrap().parse().unwrap();
    let limit = ["--nofile=192:192", "--pid", &front.child.id().to_string()].map(String::from);
    assert!(std::process::Command::new("prlimit").args(limit).status().unwrap().success());
    let mut clients = Vec::new();
    for i in 0..400 {
        let Ok(mut stream) = TcpStream::connect(front.address) else { continue };
        let _ = match i % 4 {
            0 => stream.write_all(&request_frame(1, i)[..30]),
            1 => stream.write_all(&request_frame(1, i).repeat(50)),
            _ => Ok(()),
        };
        // Every fourth client disconnects at once, while the front has not read what it sent.
        if i % 4 != 1 {
            clients.push(stream);
        }
    }
    let processor_ns = |front: &PlatformFront| {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", front.child.id())).unwrap();
        stat.split(' ').next().unwrap().parse::<u64>().unwrap()
    };
    let (began, processor_ns_before) = (Instant::now(), processor_ns(&front));
    for _ in 0..5 {
        let sent_at = Instant::now();
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"health\n").unwrap();
        let reply = read_to_end(&mut stream).unwrap();
        assert!(
            reply.starts_with(b"fail no") && reply.ends_with(b"\n"),
            "the front has no cache node yet: {reply:?}"
        );
        assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
    }
    front.logged("no connection in");
    let core_share = (processor_ns(&front) - processor_ns_before) as f64 / began.elapsed().as_nanos() as f64;
    assert!(core_share < 0.5, "the front uses {core_share:.2} of a core with nothing to do");
    // The coordinator returns, with one cache node.
    let listener = unresponsive.accept_connections();
    let returned_at = Instant::now();
    let mut feed = loop {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        if stream.read_exact(&mut [0; 8]).is_ok() {
            break stream;
        }
    };
    let mut origin = list_record(ORIGIN, 0, cache);
    // Its zone and its kind.
    (origin[11], origin[12]) = (0, 2);
    feed.write_all(&list_frame(4, &[list_record(EDGE, 0, cache), origin].concat())).unwrap();
    let mut client = front.connect();
    let mut tag = 0;
    // The front refuses requests until it has the list.
    loop {
        tag += 1;
        let fields = format!("call={tag:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5");
        client.send(&["REQ", &tag.to_string(), "media", &fields, ""]);
        if let Ok(mut request) = served.recv_timeout(Duration::from_millis(20)) {
            request.hit(b"again");
            while client.answer()[1] != "ok" {}
            break;
        }
        assert!(returned_at.elapsed() < PATIENCE, "the front serves no request");
    }
    assert!(
        returned_at.elapsed() < Duration::from_secs(1),
        "served {:?} after the coordinator's return",
        returned_at.elapsed()
    );
    drop(clients);
}

/// SIGTERM arrives while the program reads its configuration file, a pipe that the test keeps open. Guards
/// against losing the signal during startup, and against an exit with an error.
#[test]
fn sigterm_while_the_configuration_is_read_ends_the_program_in_order() {
    let folder = std::env::temp_dir().join(format!("onyxyoke-crossing-pipe-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let pipe = folder.join("config.json");
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_onyxyoke"))
        .env_remove("ONYXYOKE_OPERATOR")
        .env_remove("NODE_ADMIN_ADDR")
        .env("NODE_CONFIG", &pipe)
        .spawn()
        .unwrap();
    // Opening the pipe blocks until the program has opened its end.
    let mut pipe_writer = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
    let kill = ["-TERM", &child.id().to_string()].map(String::from);
    assert!(std::process::Command::new("kill").args(kill).status().unwrap().success());
    let (coordinator, _feeds) = coordinator();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": coordinator,
        "known": {"index": 0, "updates": []}, "settings": settings()});
    pipe_writer.write_all(config.to_string().as_bytes()).unwrap();
    drop(pipe_writer);
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_dir_all(folder).unwrap();
}
