//! The operators' socket of the platform's front, which runs as a process against stand-ins.

mod stand_ins;
use serde_json::{Value, json};
use stand_ins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Starts a front with one cache node; returns the node's requests and the address of the operators' socket.
fn front(name: &str) -> (PlatformFront, std::sync::mpsc::Receiver<ReceivedCommand>, SocketAddr) {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = PlatformFront::start(name, members, |config| config["admin_addr"] = json!("127.0.0.1:0"));
    let admin = admin_of(&node);
    (node, served, admin)
}

#[test]
fn health_and_counters_calls_report_the_served_requests() {
    let (node, served, admin) = front("operate-counters");
    assert_eq!(call(admin, "health"), "ok yes\n");
    let before = call(admin, "counters");
    assert!(before.starts_with("ok\n") && before.ends_with("\neof\n"), "{before}");
    assert_eq!(series_value(&before, "front_success{tier=\"media\"}"), 0);
    assert_eq!(series_value(&before, "front_hosts_listed"), 2);
    let mut client = node.connect();
    client.send_request("1", 1, "");
    next(&served).hit(b"12345");
    assert_eq!(client.answer()[1], "ok");
    client.send(&["REQ", "2", "media", "ttl=100", ""]);
    assert_eq!(client.answer()[1], "fault");
    (0..33).for_each(|i| client.send_request(&(100 + i).to_string(), 0xb00 + i, ""));
    assert_eq!(client.answer()[..2], ["132", "full"]);
    let after = call(admin, "counters");
    assert_eq!(series_value(&after, "front_success{tier=\"media\"}"), 1);
    assert_eq!(series_value(&after, "front_failure{tier=\"media\"}"), 1);
    assert_eq!(series_value(&after, "front_busy{tier=\"media\"}"), 1);
    assert!(series_value(&after, "front_backend_calls{tier=\"media\"}") >= 2, "{after}");
    settles(admin, "front_inflight", 32);
}

#[test]
fn version_call_reports_the_build_the_settings_and_the_pid() {
    let (node, _served, admin) = front("operate-version");
    let reply = call(admin, "version");
    let words: Vec<&str> = reply.split_whitespace().collect();
    let program = onyxyoke::net::admin::program_digest(env!("CARGO_BIN_EXE_onyxyoke").as_ref()).unwrap();
    assert_eq!(words[..2], ["ok", &format!("build={program:016x}")], "{reply}");
    let file = std::fs::read(node.folder.join("config.json")).unwrap();
    let settings = onyxyoke::config::read(Some(("config", &file)), None).unwrap().loaded.digest();
    assert_eq!(words[2], format!("settings={settings:016x}"), "{reply}");
    assert_eq!(words[4], format!("pid={}", node.child.id()), "{reply}");
}

/// Waits half a second at most until a gauge has this value.
fn settles(admin: SocketAddr, series: &str, value: u64) {
    let by = Instant::now() + Duration::from_millis(500);
    while series_value(&call(admin, "counters"), series) != value {
        assert!(Instant::now() < by, "{series} is not {value} after 0.5 s");
    }
}

#[test]
fn invalid_calls_are_refused_and_silent_callers_do_not_block_others() {
    let (_node, _served, admin) = front("operate-silent");
    assert!(call(admin, "dance").starts_with("fail unknown call"));
    assert!(call(admin, "cordon s-12").starts_with("fail 's-12' is no node id"));
    let silent: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(admin).unwrap()).collect();
    let started = Instant::now();
    assert_eq!(call(admin, "health"), "ok yes\n");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    drop(silent);
}

/// Requests an object that no other request is for and has the cache that gets the request answer it. Returns
/// the index of that cache.
fn ask(client: &mut Client, tag: u64, caches: &[&std::sync::mpsc::Receiver<ReceivedCommand>]) -> usize {
    let fields = format!("call={tag:016x},ttl=3000,row={tag:016x},slice=0,set=17,heap=10.5");
    client.send(&["REQ", &tag.to_string(), "media", &fields, ""]);
    let by = Instant::now() + PATIENCE;
    loop {
        for (i, cache) in caches.iter().enumerate() {
            if let Ok(mut served) = cache.try_recv() {
                served.hit(b"x");
                assert_eq!(client.answer()[..2], [tag.to_string().as_str(), "ok"]);
                return i;
            }
        }
        assert!(Instant::now() < by, "request {tag} reached no cache");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_cordon_persists_across_a_replacement_until_it_is_removed() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let ((edge, at_edge), (other, at_other), (origin, _)) = (cache_node(), cache_node(), cache_node());
    let members = || {
        vec![
            member(EDGE, "standard", edge),
            member(OTHER_EDGE, "standard", other),
            member(ORIGIN, "origin", origin),
        ]
    };
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = PlatformFront::start_in_tmpdir("operate-cordon-old", members(), admin_on, Some(&tmp));
    let (address, admin) = (old.address, admin_of(&old));
    // This connection is made before the second process starts, so it stays with the first.
    let mut client = old.connect();
    let caches = [&at_edge, &at_other];
    // Both caches get requests before the cordon.
    let mut requests = [0; 2];
    (1..=40).for_each(|tag| requests[ask(&mut client, tag, &caches)] += 1);
    assert!(requests[0] > 0 && requests[1] > 0, "{requests:?}");
    assert_eq!(call(admin, "cordon s-00000007"), "ok s-00000007 cordoned\n");
    assert_eq!(call(admin, "cordon s-00000007"), "ok s-00000007 was cordoned already\n");
    assert!(call(admin, "cordon s-0000abcd").starts_with("fail s-0000abcd is on no list"));
    settles(admin, "front_hosts_down", 1);
    for tag in 41..=80 {
        assert_eq!(ask(&mut client, tag, &caches), 1, "request {tag} went to the cordoned node");
    }
    // The process that replaces this one at its address applies the cordon from its start. It gets every new
    // connection after the old process has received SIGTERM.
    let replaced = |config: &mut serde_json::Value| {
        admin_on(config);
        config["listen"] = json!(address);
    };
    let new = PlatformFront::start_in_tmpdir("operate-cordon-new", members(), replaced, Some(&tmp));
    let admin = admin_of(&new);
    old.signal("-TERM");
    old.logged("listener closed");
    let mut with_new: Vec<Client> = (0..40).map(|_| new.connect()).collect();
    for (client, tag) in with_new.iter_mut().zip(81..) {
        assert_eq!(
            ask(client, tag, &caches),
            1,
            "request {tag} went to the cordoned node after the replacement"
        );
    }
    let served = series_value(&call(admin, "counters"), "front_success{tier=\"media\"}");
    assert_eq!(served, 40, "requests of 40 clients");
    // A third process removes the cordon, and the process that serves reads that from the file.
    let third = PlatformFront::start_in_tmpdir("operate-cordon-third", members(), replaced, Some(&tmp));
    let admin = admin_of(&third);
    assert_eq!(call(admin, "uncordon s-00000007"), "ok s-00000007 uncordoned; it starts cold\n");
    assert_eq!(call(admin, "uncordon s-00000007"), "ok s-00000007 was not cordoned\n");
    let by = Instant::now() + Duration::from_secs(2);
    let mut tag = 1000;
    while ask(&mut with_new[0], tag, &caches) != 0 {
        assert!(Instant::now() < by, "the process that serves has not read that the cordon was removed");
        tag += 1;
    }
    // The third process takes over and uses the node as well.
    new.signal("-TERM");
    new.logged("listener closed");
    let mut with_third: Vec<Client> = (0..40).map(|_| third.connect()).collect();
    let at_uncordoned = (2000..2280).find(|&tag| ask(&mut with_third[tag as usize % 40], tag, &caches) == 0);
    assert!(at_uncordoned.is_some(), "the uncordoned node got no request");
    drop((old, new, third));
    std::fs::remove_dir_all(&tmp).unwrap();
}

#[test]
fn with_a_successor_the_old_process_closes_its_listener_and_idle_connections() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-handover-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = PlatformFront::start_in_tmpdir("operate-handover", members, admin_on, Some(&tmp));
    let (mut idle, mut busy) = (old.connect(), old.connect());
    busy.send_request("1", 1, "");
    let mut asked = next(&served);
    // The note of a successor names the process of this test, then the old process gets SIGTERM.
    let mut notes = std::fs::read_dir(&tmp).unwrap().map(|e| e.unwrap().path());
    let live = notes.find(|p| p.extension().is_some_and(|e| e == "live")).unwrap();
    std::fs::write(live, std::process::id().to_string()).unwrap();
    old.signal("-TERM");
    old.logged("listener closing");
    assert!(idle.ends_without_data(), "an idle connection is closed at once");
    old.logged("listener closed");
    assert!(std::net::TcpStream::connect(old.address).is_err(), "the listener is closed");
    // The open request is still answered, and its connection is closed after that.
    asked.hit(b"late but whole");
    assert_eq!(busy.answer(), ["1", "ok", "", "late but whole"]);
    assert!(busy.ends_without_data());
    std::fs::remove_dir_all(&tmp).unwrap();
}

#[test]
fn operators_and_requests_are_served_when_idle_and_partial_clients_fill_all_slots() {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = PlatformFront::start("operate-crowd", members, |config| {
        config["admin_addr"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(64);
    });
    let admin = admin_of(&node);
    // Two fifths of 64 descriptors are for clients: 25 slots, and three times as many clients connect.
    let mut crowd: Vec<TcpStream> = (0..75).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    for (i, stream) in crowd.iter_mut().enumerate().filter(|(i, _)| i % 2 == 0) {
        let _ =
            stream.write_all(format!("*5\r\n$3\r\nREQ\r\n${}\r\n{i}\r\n", i.to_string().len()).as_bytes());
    }
    let started = Instant::now();
    assert_eq!(call(admin, "health"), "ok yes\n");
    assert!(series_value(&call(admin, "counters"), "front_hosts_listed") == 2);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    let mut client = node.connect();
    client.send_request("1", 1, "");
    next(&served).hit(b"through");
    assert_eq!(client.answer(), ["1", "ok", "", "through"]);
    drop(crowd);
}

#[test]
fn a_second_process_takes_over_without_losing_a_request() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-takeover-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    std::thread::spawn(move || served.iter().for_each(|mut one| one.hit(b"whole")));
    let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let mut old = PlatformFront::start_in_tmpdir("operate-takeover-old", members(), admin_on, Some(&tmp));
    let address = old.address;
    let new = PlatformFront::start_in_tmpdir(
        "operate-takeover-new",
        members(),
        |config| {
            admin_on(config);
            config["listen"] = json!(address.to_string());
        },
        Some(&tmp),
    );
    let admin = admin_of(&new);
    assert_eq!(call(admin, "health"), "ok yes\n");
    // Sends one request on the given connection and, if the front closes that one as the request arrives,
    // once more on a new connection. A connection made for the request may be neither refused nor reset.
    let (mut lost, mut call_id) = (Vec::new(), 0u64);
    let mut request_once = |connection: &mut Option<Client>, lost: &mut Vec<String>| {
        for retry in [false, true] {
            call_id += 1;
            let new_connection = connection.is_none();
            let client = connection.get_or_insert_with(|| Client::new(TcpStream::connect(address).unwrap()));
            let fields = format!("call={call_id:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5");
            let answer = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                client.send(&["REQ", &call_id.to_string(), "media", &fields, ""]);
                client.answer()
            }));
            match answer {
                Ok(words) if words[1] == "ok" => return,
                Ok(words) => return lost.push(format!("{words:?}")),
                Err(_) if !retry && !new_connection => {
                    *connection = None;
                    lost.push(String::from("resent"));
                }
                Err(_) => return lost.push(format!("request {call_id} lost twice")),
            }
        }
    };
    let mut persistent = (0..4).map(|_| None).collect::<Vec<Option<Client>>>();
    let started = Instant::now();
    let mut signalled = false;
    while started.elapsed() < Duration::from_millis(2500) {
        if !signalled && started.elapsed() > Duration::from_millis(500) {
            old.signal("-TERM");
            signalled = true;
        }
        request_once(&mut None, &mut lost);
        persistent.iter_mut().for_each(|connection| request_once(connection, &mut lost));
    }
    // A request that arrives as the front closes an idle connection is sent once more, as the protocol
    // requires of clients. This is rare, and no request is lost.
    let resent = lost.iter().filter(|l| *l == "resent").count();
    lost.retain(|l| l != "resent");
    assert!(lost.is_empty(), "{lost:?}");
    assert!(resent * 100 <= call_id as usize, "{resent} of {call_id} were sent again");
    assert!(old.child.wait().unwrap().success(), "the old process exits 0");
    assert_eq!(call(admin, "health"), "ok yes\n");
    drop(new);
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// Guards against splitting new connections by hash between two processes on one address before the second
/// replaces the first. If the second is ended again, its clients are on a process that closes, and a request
/// that is sent just before such a client reads the close is lost.
#[test]
fn a_second_process_gets_no_clients_while_the_first_serves() {
    const CLIENTS: u64 = 40;
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-standby-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    std::thread::spawn(move || served.iter().for_each(|mut one| one.hit(b"whole")));
    let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let mut first = PlatformFront::start_in_tmpdir("operate-standby-first", members(), admin_on, Some(&tmp));
    let first_admin = admin_of(&first);
    let address = first.address;
    let at_the_same = |config: &mut serde_json::Value| {
        admin_on(config);
        config["listen"] = json!(address);
    };
    let mut call_id = 0;
    let mut ask_each = |clients: &mut [Client]| {
        for client in clients {
            call_id += 1;
            client.send_request(&call_id.to_string(), call_id, "");
            assert_eq!(client.answer()[1], "ok");
        }
    };
    let connect_all = || (0..CLIENTS).map(|_| Client::new(TcpStream::connect(address).unwrap()));
    let mut second =
        PlatformFront::start_in_tmpdir("operate-standby-second", members(), at_the_same, Some(&tmp));
    let second_admin = admin_of(&second);
    assert_eq!(call(second_admin, "health"), "ok yes\n");
    let mut clients: Vec<Client> = connect_all().collect();
    ask_each(&mut clients);
    let success = |admin| series_value(&call(admin, "counters"), "front_success{tier=\"media\"}");
    assert_eq!((success(first_admin), success(second_admin)), (CLIENTS, 0));
    // The replacement is cancelled: no client notices the end of the second process, and the first serves all
    // clients as before, also those that connect meanwhile.
    second.signal("-TERM");
    let mut asked = CLIENTS;
    let ended = loop {
        ask_each(&mut [Client::new(TcpStream::connect(address).unwrap())]);
        asked += 1;
        if let Some(status) = second.child.try_wait().unwrap() {
            break status;
        }
    };
    assert!(ended.success());
    ask_each(&mut clients);
    assert_eq!(success(first_admin), asked + CLIENTS);
    // A third process runs when the first is killed, and it gets all connections after that.
    let third = PlatformFront::start_in_tmpdir("operate-standby-third", members(), at_the_same, Some(&tmp));
    let third_admin = admin_of(&third);
    first.signal("-KILL");
    first.child.wait().unwrap();
    let mut clients: Vec<Client> = connect_all().collect();
    ask_each(&mut clients);
    assert_eq!(success(third_admin), CLIENTS);
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// Time for which the platform still sends a front new clients after SIGTERM.
const CLIENTS_AFTER_TERM: Duration = Duration::from_millis(400);

/// Guards against a stale note of a second process that ended before it was ready. The first process took the
/// note for a successor at its own SIGTERM and closed its listener at once, although no newer process was
/// running: connections were refused for the 0.4 s in which the platform still sends clients.
#[test]
fn an_ended_successor_does_not_make_the_first_process_close_its_listener() {
    for signal in ["-TERM", "-KILL"] {
        let name = format!("operate-aborted{signal}");
        let tmp = std::env::temp_dir().join(format!("onyxyoke-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&tmp).unwrap();
        let (cache, served) = cache_node();
        std::thread::spawn(move || served.iter().for_each(|mut one| one.hit(b"whole")));
        let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
        let mut first =
            PlatformFront::start_in_tmpdir(&format!("{name}-first"), members(), admin_on, Some(&tmp));
        let address = first.address;
        let at_the_same = |config: &mut serde_json::Value| {
            admin_on(config);
            config["listen"] = json!(address);
        };
        let mut second =
            PlatformFront::start_in_tmpdir(&format!("{name}-second"), members(), at_the_same, Some(&tmp));
        admin_of(&second);
        second.signal(signal);
        second.child.wait().unwrap();
        let mut open = first.connect();
        let signalled_at = Instant::now();
        first.signal("-TERM");
        eventually("the front has read SIGTERM", || {
            open.send(&["HEALTH", "1", ""]);
            open.answer()[1] != "yes"
        });
        let mut tag = 0;
        while signalled_at.elapsed() < CLIENTS_AFTER_TERM {
            tag += 1;
            let stream = TcpStream::connect(address);
            let mut client =
                Client::new(stream.unwrap_or_else(|e| panic!("{signal}, connection {tag}: {e}")));
            client.send_request(&tag.to_string(), tag, "");
            assert_eq!(client.answer()[1], "ok", "{signal}, connection {tag}");
        }
        drop(open);
        assert!(first.child.wait().unwrap().success());
        std::fs::remove_dir_all(&tmp).unwrap();
    }
}

/// A new process of the front that starts while this one is closing gets new connections at once.
#[test]
fn a_successor_that_starts_while_the_first_is_closing_gets_the_clients() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-late-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = PlatformFront::start_in_tmpdir("operate-late-front", members, admin_on, Some(&tmp));
    admin_of(&old);
    let mut note = None;
    eventually("the front has written its note", || {
        let mut files = std::fs::read_dir(&tmp).unwrap().map(|entry| entry.unwrap().path());
        note = files.find(|path| path.extension().is_some_and(|e| e == "newest"));
        note.is_some()
    });
    let note = note.unwrap();
    old.signal("-TERM");
    eventually("the front has removed its note", || !note.exists());
    // The note of a running process, with the lock held by this test.
    let written = note.with_extension("new-test");
    let mut file = std::fs::File::create(&written).unwrap();
    file.try_lock().unwrap();
    file.write_all(b"test").unwrap();
    std::fs::rename(written, &note).unwrap();
    old.logged("listener closing");
    old.logged("listener closed");
    drop(file);
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// A second process that starts while the first is closing gets every connection that is made once it
/// listens, though the first still serves.
#[test]
fn a_process_that_starts_beside_a_closing_one_gets_every_new_client() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-beside-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    std::thread::spawn(move || served.iter().for_each(|mut one| one.hit(b"whole")));
    let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = PlatformFront::start_in_tmpdir("operate-beside-old", members(), admin_on, Some(&tmp));
    admin_of(&old);
    let mut open = old.connect();
    old.signal("-TERM");
    eventually("the front is closing", || {
        open.send(&["HEALTH", "1", ""]);
        open.answer()[1] == "no"
    });
    let address = old.address;
    let replaced = |config: &mut serde_json::Value| {
        admin_on(config);
        config["listen"] = json!(address);
    };
    let new = PlatformFront::start_in_tmpdir("operate-beside-new", members(), replaced, Some(&tmp));
    let mut clients: Vec<Client> = (0..40).map(|_| new.connect()).collect();
    for (client, tag) in clients.iter_mut().zip(1..) {
        client.send_request(&tag.to_string(), tag, "");
        assert_eq!(client.answer()[1], "ok");
    }
    let served = series_value(&call(admin_of(&new), "counters"), "front_success{tier=\"media\"}");
    assert_eq!(served, 40, "requests of 40 clients");
    drop((old, new));
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// Starts a front with a `$TMPDIR` of its own; returns it with its cache node's requests, the address of its
/// operators' socket and its cordons file.
fn front_with_folder(name: &str) -> (PlatformFront, Receiver<ReceivedCommand>, SocketAddr, PathBuf) {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-{name}-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    let nodes = [(EDGE, "standard"), (OTHER_EDGE, "standard"), (ORIGIN, "origin")];
    let members = nodes.iter().map(|(id, kind)| member(*id, kind, cache)).collect();
    let admin_on = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    let node = PlatformFront::start_in_tmpdir(name, members, admin_on, Some(&tmp));
    let admin = admin_of(&node);
    assert_eq!(call(admin, "health"), "ok yes\n");
    (node, served, admin, cordons_file(&tmp))
}

/// Asserts that a client and an operator are answered.
fn assert_responsive(node: &PlatformFront, served: &Receiver<ReceivedCommand>, admin: SocketAddr) {
    assert_eq!(call(admin, "health"), "ok yes\n");
    let mut client = node.connect();
    client.send_request("1", 1, "");
    next(served).hit(b"12345");
    assert_eq!(client.answer()[1], "ok");
}

/// Waits until the cordon is in force.
fn await_cordon(admin: SocketAddr) {
    eventually("the cordon is in force", || series_value(&call(admin, "counters"), "front_hosts_down") == 1);
}

/// A caller waits this long for the reply.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);

/// Guards against a slow write of the cordons that blocks requests and operators, and against a reply `ok`
/// before the cordon is kept, or none within a caller's patience.
#[test]
fn a_slow_write_of_the_cordons_does_not_block_others() {
    let tmp = make_folder("operate-slow-write-tmp");
    let pipe = tmp.join("pipe");
    let (cache, served) = cache_node();
    let nodes = [(EDGE, "standard"), (OTHER_EDGE, "standard"), (ORIGIN, "origin")];
    let members = || nodes.iter().map(|(id, kind)| member(*id, kind, cache)).collect();
    let node = start_with_held_writes("operate-slow-write", members(), None, &tmp, &pipe);
    let admin = admin_of(&node);
    assert_eq!(call(admin, "health"), "ok yes\n");
    make_pipe(&pipe);
    let called_at = Instant::now();
    let mut cordon = send_call(admin, "cordon s-00000007");
    let reply = std::thread::spawn(move || (read_reply(&mut cordon), called_at.elapsed()));
    // The cordon is in force, and nothing is written while the pipe has no writer.
    await_cordon(admin);
    assert_responsive(&node, &served, admin);
    let (reply, replied_after) = reply.join().unwrap();
    assert!(reply.starts_with("fail s-00000007 cordoned in this process, but not kept"), "{reply}");
    assert!(replied_after < CALLER_PATIENCE, "the reply came after {replied_after:?}");
    // The write goes on, and a successor finds the cordon.
    release_pipe(&pipe);
    assert_eq!(call(admin, "cordon s-00000007"), "ok s-00000007 was cordoned already\n");
    let address = node.address;
    drop(node);
    let next = start_with_held_writes("operate-slow-write-next", members(), Some(address), &tmp, &pipe);
    await_cordon(admin_of(&next));
    drop(next);
    std::fs::remove_dir_all(tmp).unwrap();
}

/// Guards against a slow read of the cordons file that blocks requests and operators.
#[test]
fn a_slow_read_of_the_cordons_does_not_block_others() {
    let (node, served, admin, cordons) = front_with_folder("operate-slow-read");
    make_pipe(&cordons);
    // This open returns once the front has opened the pipe, and the front's read blocks until the writer is
    // dropped.
    let writer = std::fs::File::options().write(true).open(&cordons).unwrap();
    assert_responsive(&node, &served, admin);
    // A cordon comes into force although it cannot be stored yet.
    let mut cordon = TcpStream::connect(admin).unwrap();
    cordon.write_all(b"cordon s-00000007\n").unwrap();
    await_cordon(admin);
    drop((writer, node));
    std::fs::remove_dir_all(cordons.parent().unwrap()).unwrap();
}
