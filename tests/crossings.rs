//! Two events that cross, as a process against stand-ins: the stand-in holds one back until the other was seen.
//! The rows of docs/design/crossings.md name these tests.

mod stand_ins;
use serde_json::json;
use stand_ins::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// A request's frame.
fn request(tag: u64, call: u64) -> Vec<u8> {
    let fields = format!("call={call:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5");
    let words = ["REQ", &tag.to_string(), "media", &fields, ""];
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*5\r\n{words}").into_bytes()
}

/// What a stream brings until its end; the error is how else it ended.
fn rest(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    let mut all = Vec::new();
    stream.read_to_end(&mut all).map(|_| all).map_err(|e| e.kind())
}

/// The value of a counter in the line that the program prints when it ends.
fn at_exit(node: &mut Node, name: &str) -> u64 {
    let line = node.logged("at exit: counters");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let mark = format!("{name}=");
    line.split(' ').find_map(|w| w.strip_prefix(&mark)).unwrap().parse().unwrap()
}

/// The next command at either of two cache nodes; is it the first one's?
fn either(first: &Receiver<Served>, second: &Receiver<Served>) -> (Served, bool) {
    let mut came = None;
    eventually("a command at either cache node", || {
        let at = |served: &Receiver<Served>, mine: bool| Some((served.try_recv().ok()?, mine));
        came = at(first, true).or_else(|| at(second, false));
        came.is_some()
    });
    came.unwrap()
}

fn nothing(served: &Receiver<Served>) {
    if let Ok(s) = served.try_recv() {
        panic!("{} {} reached the cache", s.verb, s.id);
    }
}

/// A client that rests until the front ends it, and whose next request crosses that end: the front's side is closed when
/// the request is written. It is not read on to a cache, and the connection ends in order, not by a reset.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_goes_nowhere() {
    let (mut node, served) = one_cache("crossing-rest");
    let mut c = node.connect();
    c.ask("1", 0xa1, "");
    next(&served).hit(b"x");
    assert_eq!(c.answer()[1], "ok");
    node.signal("-TERM");
    assert!(c.closed(), "it rests until the front ends it");
    c.stream.write_all(&request(2, 0xa2)).unwrap();
    c.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(rest(&mut c.stream), Ok(Vec::new()));
    nothing(&served);
    assert_eq!(at_exit(&mut node, "requests"), 1);
}

/// The same with more resting clients than may linger beside others: at the end there are no others, and none is reset.
#[test]
fn many_that_rest_until_the_front_ends_them_are_all_closed_in_order() {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let mut node = Node::start("crossing-many", members, |c| c["limits"]["sockets"] = json!(64));
    let mut clients: Vec<Client> = (0..20).map(|_| node.connect()).collect();
    for c in &mut clients {
        c.send(&["HEALTH", "8", ""]);
        assert_eq!(c.answer()[..2], ["8", "yes"]);
    }
    node.signal("-TERM");
    // Each writes once it has seen the end, while the front waits for all of them to close too.
    for c in &mut clients {
        assert!(c.closed());
        c.stream.write_all(&request(2, 0xa2)).unwrap();
    }
    for c in &mut clients {
        c.stream.shutdown(Shutdown::Write).unwrap();
        assert_eq!(rest(&mut c.stream), Ok(Vec::new()));
    }
    assert_eq!(at_exit(&mut node, "requests"), 0);
    nothing(&served);
}

/// The other order: the request is written first, and SIGTERM finds it in the front's hands. Its answer is written whole
/// before its connection ends, though more than a socket takes lies before it.
#[test]
fn a_request_taken_before_the_end_is_answered_before_it() {
    let (mut node, served) = one_cache("crossing-taken");
    let mut c = Client::new(narrow(node.address));
    c.ask("1", 0xa1, "");
    let mut asked = next(&served);
    node.signal("-TERM");
    node.logged("onyxyoke").clear();
    let body = vec![b'y'; 240_000];
    asked.hit(&body);
    let answer = c.answer();
    assert_eq!((&*answer[1], answer[3].len()), ("ok", body.len()));
    assert!(c.closed());
    assert_eq!(at_exit(&mut node, "served"), 1);
}

/// Half a request has come when the front is told to end, and the rest of it comes then: it is answered.
#[test]
fn a_request_in_two_halves_round_sigterm_is_answered() {
    let (mut node, served) = one_cache("crossing-half");
    let mut c = node.connect();
    c.send(&["HEALTH", "8", ""]);
    assert_eq!(c.answer()[..2], ["8", "yes"]);
    let whole = request(1, 0xa1);
    c.stream.write_all(&whole[..40]).unwrap();
    node.signal("-TERM");
    let mut other = node.connect();
    eventually("the closing", || {
        other.send(&["HEALTH", "1", ""]);
        other.answer()[1] == "no"
    });
    // The other one rests, and is ended: by then the half one is all that is waited for.
    assert!(other.closed());
    c.stream.write_all(&whole[40..]).unwrap();
    next(&served).hit(b"x");
    assert_eq!(c.answer()[1], "ok");
    assert!(c.closed());
    assert_eq!(at_exit(&mut node, "served"), 1);
}

/// A client sends more than is read of it at once and goes: its end is seen behind the unread part, and what it asked for
/// in it is not sent on.
#[test]
fn what_lies_unread_behind_a_flood_from_a_client_that_went_is_not_sent_on() {
    let (mut node, served) = one_cache("crossing-flood");
    let mut c = node.connect();
    let health: Vec<u8> =
        (0..900).flat_map(|_| b"*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n".to_vec()).collect();
    c.stream.write_all(&[health, request(1, 0xa1)].concat()).unwrap();
    c.stream.shutdown(Shutdown::Write).unwrap();
    // It is ended well before a client that is held to its rate would have been read so far.
    let _ = rest(&mut c.stream);
    node.signal("-TERM");
    assert_eq!(at_exit(&mut node, "written"), 0);
    nothing(&served);
}

/// A client goes while its requests wait at a cache: each is cancelled there, once, and none goes to another cache when
/// the first one fails it then.
#[test]
fn a_client_that_goes_gets_no_further_attempt() {
    let (mut node, [(_, at_one), (_, at_two)]) = two_caches("crossing-gone");
    let mut c = node.connect();
    c.ask("1", 0xa1, "");
    let (mut asked, _) = either(&at_one, &at_two);
    drop(c);
    // The cancel has come: only now the cache fails the request, which crosses nothing any more, and would have been a
    // reason for a further attempt.
    let (cancel, _) = either(&at_one, &at_two);
    assert_eq!((&*cancel.verb, &cancel.id), ("cancel", &asked.id));
    asked.answer("FAULT", "n=TCP_MISS", b"");
    node.signal("-TERM");
    assert_eq!(at_exit(&mut node, "written"), 1);
    nothing(&at_one);
    nothing(&at_two);
}

/// SIGTERM before there is a cache to send to, twice, and between two SIGHUPs.
#[test]
fn sigterm_ends_the_program_whenever_it_comes() {
    let mut node = Node::start("crossing-early", Vec::new(), |_| ());
    let mut c = node.connect();
    c.send(&["HEALTH", "8", ""]);
    assert_eq!(c.answer()[..2], ["8", "no"], "not ready");
    ["-HUP", "-TERM", "-HUP", "-TERM"].iter().for_each(|s| node.signal(s));
    assert!(c.closed());
    assert_eq!(at_exit(&mut node, "requests"), 0);
}

/// The watch falls silent without an end, and a drain begins: the front opens a new one, from the last event that it had,
/// well before the drain counts as told (7 s); the silent one is left, so that what comes on it late is not heard.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_from_the_last_event() {
    let (node, _served) = one_cache("crossing-silent");
    let (last, mut silent) = node.feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 3);
    let began = Instant::now();
    let purge = |number: u64| {
        let payload = [&17u16.to_be_bytes()[..], &1u64.to_be_bytes()].concat();
        [&(9 + payload.len() as u32).to_be_bytes()[..], &number.to_be_bytes(), &[4], &payload].concat()
    };
    // Half a frame, and no more: that proves nothing.
    silent.write_all(&purge(4)).unwrap();
    silent.write_all(&purge(5)[..10]).unwrap();
    let (last, mut second) = node.feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 4, "the half one was not had");
    // The second says nothing at all; there is a third in time too.
    let (last, mut third) = node.feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 4);
    assert!(began.elapsed() < Duration::from_secs(7), "{:?}", began.elapsed());
    let left = |stream: &mut TcpStream| at_end(stream).unwrap_or(true);
    assert!(left(&mut silent) && left(&mut second), "both are left");
    // Repeated, and older than what is held: heard once.
    third.write_all(&[purge(4), purge(5), purge(4)].concat()).unwrap();
    counted(&node, " purges=2 ");
}

/// A drain that comes twice, the node's removal and its return at the same address cross on one connection to the
/// coordinator: it is used before and after, and not between.
#[test]
fn a_node_that_drains_vanishes_and_returns_at_its_address_is_used_again() {
    let (node, [(cache, at_cache), (_, at_twin)]) = two_caches("crossing-returns");
    let (_, mut feed) = node.feeds.recv_timeout(PATIENCE).unwrap();
    let record = |id: u32, state: u8| record(id, state, cache);
    let frame = list;
    let mut c = node.connect();
    let mut asked = 0;
    // A request for an object of its own; was it the cache's, and not its twin's?
    let mut ask = |c: &mut Client| {
        asked += 1;
        let fields = format!("call={asked:016x},ttl=3000,row={asked:016x},slice=0,set=17,heap=10.5");
        c.send(&["REQ", &asked.to_string(), "media", &fields, ""]);
        let (mut served, mine) = either(&at_cache, &at_twin);
        served.hit(b"x");
        assert_eq!(c.answer()[1], "ok");
        mine
    };
    let told = |what: &str| counted(&node, what);
    assert!((0..40).any(|_| ask(&mut c)), "it is used");
    // Drains, told twice in one write; a list that is older than that is passed over.
    let news = [frame(4, &record(EDGE, 1)), frame(5, &record(EDGE, 1)), frame(3, &record(EDGE, 0))].concat();
    feed.write_all(&news).unwrap();
    told("lists=3");
    assert!(!(0..40).any(|_| ask(&mut c)), "not while it drains");
    // Gone, and another at its address in the same event.
    feed.write_all(&frame(6, &[record(EDGE, 2), record(EDGE + 100, 0)].concat())).unwrap();
    told("lists=4");
    assert!((0..40).any(|_| ask(&mut c)), "the one that came to its address is used");
}

/// Two deployments beside each other with fronts of one name and one `$TMPDIR`: what is cordoned in one is not in the
/// other, and the younger one is not taken for the elder's successor, so that this keeps its clients when it is told to end.
#[test]
fn two_deployments_with_fronts_of_one_name_share_nothing_in_tmpdir() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-crossing-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    let start = |name: &str| {
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let node = Node::start_in(
            name,
            members,
            |config| {
                config["admin_addr"] = json!("127.0.0.1:0");
                config["listen"] = json!(free);
            },
            Some(&tmp),
        );
        let line = node.logged("answers operators on");
        let admin: std::net::SocketAddr = line.rsplit(' ').next().unwrap().parse().unwrap();
        (node, admin)
    };
    let call = |admin: std::net::SocketAddr, line: &str| {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(format!("{line}\n").as_bytes()).unwrap();
        let reply = String::from_utf8(rest(&mut stream).unwrap()).unwrap();
        assert!(reply.ends_with('\n'), "'{line}' has an answer that was cut off: {reply:?}");
        reply
    };
    let (mut first, admin) = start("crossing-first");
    let (second, other) = start("crossing-second");
    assert!(call(admin, &format!("cordon s-{EDGE:08x}")).starts_with("ok "));
    // The other looks at what is kept before it carries out a call, and says what it finds.
    assert_eq!(call(other, &format!("uncordon s-{EDGE:08x}")), format!("ok s-{EDGE:08x} was not cordoned\n"));
    assert_eq!(
        call(admin, &format!("uncordon s-{EDGE:08x}")),
        format!("ok s-{EDGE:08x} uncordoned; it starts cold\n")
    );
    // Told to end, with a process of the other deployment that started later: the door stays open in the closing window.
    let mut before = first.connect();
    first.signal("-TERM");
    eventually("the closing", || {
        before.send(&["HEALTH", "1", ""]);
        before.answer()[1] == "no"
    });
    let mut late = first.connect();
    late.ask("1", 0xb1, "");
    next(&served).hit(b"late");
    assert_eq!(late.answer()[1], "ok");
    assert_eq!(at_exit(&mut first, "served"), 1);
    drop(second);
    std::fs::remove_dir_all(tmp).unwrap();
}

/// The counters say this.
fn counted(node: &Node, what: &str) {
    eventually(what, || {
        node.signal("-USR1");
        format!("{} ", node.logged("counters")).contains(what)
    });
}

/// A client goes while its order waits for a connection that does not come up: when it does, nothing is written.
#[test]
fn an_order_whose_client_goes_while_its_connection_comes_up_is_not_written() {
    let deaf = UnresponsiveClient::new();
    let members = vec![member(EDGE, "standard", deaf.address()), member(ORIGIN, "origin", deaf.address())];
    let mut node = Node::start("crossing-late-gone", members, |config| {
        config["settings"]["caps"]["connect-timeout"] = json!(10.0);
    });
    let mut c = node.connect();
    c.ask("1", 0xa1, "");
    counted(&node, " sent=1 written=0 ");
    drop(c);
    counted(&node, " aborted=1 ");
    let served = cache_node_at(deaf.hears());
    node.signal("-TERM");
    assert_eq!(at_exit(&mut node, "written"), 0);
    nothing(&served);
}

/// The other order: the connection comes up late, and the client is still there.
#[test]
fn an_order_is_written_on_a_connection_that_comes_up_late() {
    let deaf = UnresponsiveClient::new();
    let members = vec![member(EDGE, "standard", deaf.address()), member(ORIGIN, "origin", deaf.address())];
    let node = Node::start("crossing-late", members, |config| {
        config["settings"]["caps"]["connect-timeout"] = json!(10.0);
    });
    let mut c = node.connect();
    c.ask("1", 0xa1, "");
    counted(&node, " sent=1 written=0 ");
    let served = cache_node_at(deaf.hears());
    next(&served).hit(b"late");
    assert_eq!(c.answer()[1], "ok");
}

/// A node drains while an order waits for its connection to come up: it is taken back, goes to another node, and the
/// first gets nothing when its connections come up after all.
#[test]
fn an_order_whose_node_drains_while_its_connection_comes_up_goes_elsewhere() {
    let deaf = UnresponsiveClient::new();
    let (other, at_other) = cache_node();
    let members = vec![member(EDGE, "standard", deaf.address()), member(ORIGIN, "origin", other)];
    let mut node = Node::start("crossing-late-drain", members, |config| {
        config["settings"]["caps"]["connect-timeout"] = json!(10.0);
    });
    let (_, mut feed) = node.feeds.recv_timeout(PATIENCE).unwrap();
    let mut c = node.connect();
    c.ask("1", 0xa1, "");
    counted(&node, " sent=1 written=0 ");
    let news = [record(EDGE, 1, deaf.address()), record(OTHER, 0, other)].concat();
    feed.write_all(&list(4, &news)).unwrap();
    next(&at_other).hit(b"elsewhere");
    assert_eq!(c.answer()[3], "elsewhere");
    let at_first = cache_node_at(deaf.hears());
    node.signal("-TERM");
    assert_eq!(at_exit(&mut node, "written"), 1);
    nothing(&at_first);
}

/// A change of the list with this number, as a frame, and an entry of it.
fn list(number: u64, records: &[u8]) -> Vec<u8> {
    [&(9 + records.len() as u32).to_be_bytes()[..], &number.to_be_bytes(), &[2], records].concat()
}

fn record(id: u32, state: u8, at: std::net::SocketAddr) -> Vec<u8> {
    let (zone, kind, cell) = ([1], [0], [0, 0]);
    let head = [&id.to_be_bytes()[..], &[127, 0, 0, 1], &at.port().to_be_bytes(), &[state], &zone, &kind];
    [head.concat(), cell.to_vec(), 8000u32.to_be_bytes().to_vec(), 0u64.to_be_bytes().to_vec()].concat()
}

/// Discovery moves by SIGHUP while an event of the old watch is half read: the new one is asked from the last whole event,
/// and the rest of the half, which comes after that, is nobody's.
#[test]
fn discovery_that_moves_while_an_event_is_half_read_tells_each_event_once() {
    let (node, _served) = one_cache("crossing-moves");
    let (_, mut old) = node.feeds.recv_timeout(PATIENCE).unwrap();
    let purge = |number: u64| {
        let payload = [&17u16.to_be_bytes()[..], &1u64.to_be_bytes()].concat();
        [&(9 + payload.len() as u32).to_be_bytes()[..], &number.to_be_bytes(), &[4], &payload].concat()
    };
    let fifth = purge(5);
    old.write_all(&[&purge(4)[..], &fifth[..12]].concat()).unwrap();
    counted(&node, " purges=1 ");
    let (new, feeds) = coordinator();
    let file = node.folder.join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    config["coordinator"] = json!(new);
    std::fs::write(&file, config.to_string()).unwrap();
    node.signal("-HUP");
    let (last, mut feed) = feeds.recv_timeout(PATIENCE).unwrap();
    assert_eq!(last, 4, "the half one was not had");
    let _ = old.write_all(&[&fifth[12..], &purge(6)].concat());
    feed.write_all(&[fifth, purge(6), purge(7)].concat()).unwrap();
    counted(&node, " purges=4 ");
}

/// A reload whose file has the classes renamed and in another order, while requests are open and after: names and figures
/// in service stay as they were, whole, and the log says that they wait for the next start.
#[test]
fn a_reload_that_renames_and_reorders_classes_mixes_nothing() {
    let (node, served) = one_cache("crossing-classes");
    let mut c = node.connect();
    let ask = |c: &mut Client, tag: &str, class: &str| {
        let fields = format!("call=00000000000000{tag:0>2},ttl=9000,row={OBJECT},slice=0,set=17,heap=10.5");
        c.send(&["REQ", tag, class, &fields, ""]);
    };
    ask(&mut c, "1", "media");
    let mut open = next(&served);
    let file = node.folder.join("config.json");
    let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    let profiles = config["settings"]["profiles"].as_array_mut().unwrap();
    profiles.reverse();
    profiles[0]["name"] = json!("media");
    profiles[2]["name"] = json!("other");
    std::fs::write(&file, config.to_string()).unwrap();
    node.signal("-HUP");
    assert!(node.logged("next start").contains("'settings.profiles'"));
    open.hit(b"x");
    assert_eq!(c.answer()[1], "ok");
    // A class that now has the name of one that needs a key, and one of a name that only the file has.
    ask(&mut c, "2", "media");
    let mut asked = next(&served);
    assert_eq!(asked.field("sort"), Some("media"));
    let patience: u32 = asked.field("patience").unwrap().parse().unwrap();
    assert!((4_000..=5_000).contains(&patience), "its deadline is that of before: {patience}");
    asked.hit(b"x");
    assert_eq!(c.answer()[1], "ok");
    ask(&mut c, "3", "other");
    assert_eq!(c.answer()[1], "fault", "nobody has heard of that class");
    ask(&mut c, "4", "holds");
    assert_eq!(c.answer()[1], "fault", "which needs a key, whatever the file says by now");
}

/// Idle clients, half lines and floods from clients that go hold all that clients may have of 192 descriptors while discovery
/// is down, and more keep coming: operators are answered, nothing spins, and the front serves by the new list within a
/// second of discovery's return.
#[test]
fn with_all_clients_places_taken_discovery_that_returns_is_heard_and_served_by() {
    let (cache, served) = cache_node();
    let deaf = UnresponsiveClient::new();
    let node = Node::start("crossing-full", Vec::new(), |config| {
        config["admin_addr"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(192);
        config["coordinator"] = json!(deaf.address());
    });
    let line = node.logged("answers operators on");
    let admin: std::net::SocketAddr = line.rsplit(' ').next().unwrap().parse().unwrap();
    let limit = ["--nofile=192:192", "--pid", &node.child.id().to_string()].map(String::from);
    assert!(std::process::Command::new("prlimit").args(limit).status().unwrap().success());
    let mut crowd = Vec::new();
    for i in 0..400 {
        let Ok(mut stream) = TcpStream::connect(node.address) else { continue };
        let _ = match i % 4 {
            0 => stream.write_all(&request(1, i)[..30]),
            1 => stream.write_all(&request(1, i).repeat(50)),
            _ => Ok(()),
        };
        // Every fourth goes at once, with what it sent ahead unread.
        if i % 4 != 1 {
            crowd.push(stream);
        }
    }
    let busy = |node: &Node| {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", node.child.id())).unwrap();
        stat.split(' ').next().unwrap().parse::<u64>().unwrap()
    };
    let (began, before) = (Instant::now(), busy(&node));
    for _ in 0..5 {
        let asked = Instant::now();
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"health\n").unwrap();
        let reply = rest(&mut stream).unwrap();
        assert!(reply.starts_with(b"fail no") && reply.ends_with(b"\n"), "it has no cache yet: {reply:?}");
        assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    }
    node.logged("no connection in");
    let share = (busy(&node) - before) as f64 / began.elapsed().as_nanos() as f64;
    assert!(share < 0.5, "it takes {share:.2} of a core with nothing to do");
    // Discovery is back, with one cache.
    let listener = deaf.hears();
    let back = Instant::now();
    let mut feed = loop {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        if stream.read_exact(&mut [0; 8]).is_ok() {
            break stream;
        }
    };
    let mut origin = record(ORIGIN, 0, cache);
    // Zone and kind.
    (origin[11], origin[12]) = (0, 2);
    feed.write_all(&list(4, &[record(EDGE, 0, cache), origin].concat())).unwrap();
    let mut c = node.connect();
    let mut tag = 0;
    // Refused until the list is heard.
    loop {
        tag += 1;
        let fields = format!("call={tag:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5");
        c.send(&["REQ", &tag.to_string(), "media", &fields, ""]);
        if let Ok(mut asked) = served.recv_timeout(Duration::from_millis(20)) {
            asked.hit(b"again");
            while c.answer()[1] != "ok" {}
            break;
        }
        assert!(back.elapsed() < PATIENCE, "it does not serve again");
    }
    assert!(back.elapsed() < Duration::from_secs(1), "served {:?} after discovery's return", back.elapsed());
    drop(crowd);
}

/// SIGTERM comes while the program reads its file, which is a pipe here that the test holds open: the end is in order,
/// whatever the rest of the start would have done.
#[test]
fn sigterm_while_the_file_is_read_ends_the_program_in_order() {
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
    // This goes on once the program has opened its end.
    let mut end = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
    let kill = ["-TERM", &child.id().to_string()].map(String::from);
    assert!(std::process::Command::new("kill").args(kill).status().unwrap().success());
    let (coordinator, _feeds) = coordinator();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": coordinator,
        "known": {"index": 0, "updates": []}, "settings": settings()});
    end.write_all(config.to_string().as_bytes()).unwrap();
    drop(end);
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_dir_all(folder).unwrap();
}
