//! The operators' socket of the platform's front, as a process against the stand-ins.

mod stand_ins;
use serde_json::{Value, json};
use stand_ins::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// A front with one cache node that answers operators; where it does.
fn front(name: &str) -> (Node, std::sync::mpsc::Receiver<Served>, SocketAddr) {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = Node::start(name, members, |config| config["admin_addr"] = json!("127.0.0.1:0"));
    let admin = admin_of(&node);
    (node, served, admin)
}

/// Where a front answers operators, as it logs it.
fn admin_of(node: &Node) -> SocketAddr {
    node.logged("answers operators on").rsplit(' ').next().unwrap().parse().unwrap()
}

/// One call: the whole reply, which ends with the connection.
fn call(admin: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.ends_with('\n'), "'{line}' has an answer that was cut off: {reply:?}");
    reply
}

/// The value of one series in a reply to `counters`.
fn figure(reply: &str, series: &str) -> u64 {
    assert!(reply.starts_with("ok\n") && reply.ends_with("\neof\n"), "cut off: {reply:?}");
    let line = reply.lines().find(|l| l.split(' ').next() == Some(series));
    line.unwrap_or_else(|| panic!("no {series} in {reply}")).rsplit(' ').next().unwrap().parse().unwrap()
}

#[test]
fn health_and_counters_are_answered_and_true() {
    let (node, served, admin) = front("operate-counters");
    assert_eq!(call(admin, "health"), "ok yes\n");
    let before = call(admin, "counters");
    assert!(before.starts_with("ok\n") && before.ends_with("\neof\n"), "{before}");
    assert_eq!(figure(&before, "front_success{tier=\"media\"}"), 0);
    assert_eq!(figure(&before, "front_hosts_listed"), 2);
    let mut c = node.connect();
    c.ask("1", 1, "");
    next(&served).hit(b"12345");
    assert_eq!(c.answer()[1], "ok");
    c.send(&["REQ", "2", "media", "ttl=100", ""]);
    assert_eq!(c.answer()[1], "fault");
    (0..33).for_each(|i| c.ask(&(100 + i).to_string(), 0xb00 + i, ""));
    assert_eq!(c.answer()[..2], ["132", "full"]);
    let after = call(admin, "counters");
    assert_eq!(figure(&after, "front_success{tier=\"media\"}"), 1);
    assert_eq!(figure(&after, "front_failure{tier=\"media\"}"), 1);
    assert_eq!(figure(&after, "front_busy{tier=\"media\"}"), 1);
    assert!(figure(&after, "front_backend_calls{tier=\"media\"}") >= 2, "{after}");
    settles(admin, "front_inflight", 32);
}

#[test]
fn a_process_tells_what_it_runs() {
    let (node, _served, admin) = front("operate-version");
    let said = call(admin, "version");
    let words: Vec<&str> = said.split_whitespace().collect();
    let program = onyxyoke::net::admin::program_digest(env!("CARGO_BIN_EXE_onyxyoke").as_ref()).unwrap();
    assert_eq!(words[..2], ["ok", &format!("build={program:016x}")], "{said}");
    let file = std::fs::read(node.folder.join("config.json")).unwrap();
    let settings = onyxyoke::config::read(Some(("config", &file)), None).unwrap().loaded.digest();
    assert_eq!(words[2], format!("settings={settings:016x}"), "{said}");
    assert_eq!(words[4], format!("pid={}", node.child.id()), "{said}");
}

/// A gauge has this value within half a second.
fn settles(admin: SocketAddr, series: &str, value: u64) {
    let by = Instant::now() + Duration::from_millis(500);
    while figure(&call(admin, "counters"), series) != value {
        assert!(Instant::now() < by, "{series} is not {value} after 0.5 s");
    }
}

#[test]
fn wrong_lines_are_refused_and_silent_callers_keep_nobody_out() {
    let (_node, _served, admin) = front("operate-silent");
    assert!(call(admin, "dance").starts_with("fail unknown call"));
    assert!(call(admin, "cordon s-12").starts_with("fail 's-12' is no node id"));
    let silent: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(admin).unwrap()).collect();
    let started = Instant::now();
    assert_eq!(call(admin, "health"), "ok yes\n");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    drop(silent);
}

/// A request for an object of its own; the node whose stand-in took it answers it.
fn ask(c: &mut Client, tag: u64, caches: &[&std::sync::mpsc::Receiver<Served>]) -> usize {
    let fields = format!("call={tag:016x},ttl=3000,row={tag:016x},slice=0,set=17,heap=10.5");
    c.send(&["REQ", &tag.to_string(), "media", &fields, ""]);
    let by = Instant::now() + PATIENCE;
    loop {
        for (i, cache) in caches.iter().enumerate() {
            if let Ok(mut served) = cache.try_recv() {
                served.hit(b"x");
                assert_eq!(c.answer()[..2], [tag.to_string().as_str(), "ok"]);
                return i;
            }
        }
        assert!(Instant::now() < by, "request {tag} reached no cache");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_cordon_holds_until_the_call_back_and_over_a_replacement() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let ((edge, at_edge), (other, at_other), (origin, _)) = (cache_node(), cache_node(), cache_node());
    let members = || {
        vec![
            member(EDGE, "standard", edge),
            member(OTHER, "standard", other),
            member(ORIGIN, "origin", origin),
        ]
    };
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = Node::start_in("operate-cordon-old", members(), admin_on, Some(&tmp));
    let (address, admin) = (old.address, admin_of(&old));
    // Made while there is but the one process: it stays with it.
    let mut c = old.connect();
    let caches = [&at_edge, &at_other];
    // Both take requests at first.
    let mut seen = [0; 2];
    (1..=40).for_each(|tag| seen[ask(&mut c, tag, &caches)] += 1);
    assert!(seen[0] > 0 && seen[1] > 0, "{seen:?}");
    assert_eq!(call(admin, "cordon s-00000007"), "ok s-00000007 cordoned\n");
    assert_eq!(call(admin, "cordon s-00000007"), "ok s-00000007 was cordoned already\n");
    assert!(call(admin, "cordon s-0000abcd").starts_with("fail s-0000abcd is on no list"));
    settles(admin, "front_hosts_down", 1);
    for tag in 41..=80 {
        assert_eq!(ask(&mut c, tag, &caches), 1, "request {tag} went to the cordoned node");
    }
    // The process that replaces this one, at its address, holds the cordon from its start: it has every client that comes once
    // the old one is told to end.
    let replaced = |config: &mut serde_json::Value| {
        admin_on(config);
        config["listen"] = json!(address);
    };
    let new = Node::start_in("operate-cordon-new", members(), replaced, Some(&tmp));
    let admin = admin_of(&new);
    old.signal("-TERM");
    old.logged("listener closed");
    let mut with_new: Vec<Client> = (0..40).map(|_| new.connect()).collect();
    for (c, tag) in with_new.iter_mut().zip(81..) {
        assert_eq!(ask(c, tag, &caches), 1, "request {tag} went to the cordoned node after the replacement");
    }
    let taken = figure(&call(admin, "counters"), "front_success{tier=\"media\"}");
    assert_eq!(taken, 40, "of 40 clients");
    // Put back at a third process beside that, heard by the one that serves through the file.
    let third = Node::start_in("operate-cordon-third", members(), replaced, Some(&tmp));
    let admin = admin_of(&third);
    assert_eq!(call(admin, "uncordon s-00000007"), "ok s-00000007 uncordoned; it starts cold\n");
    assert_eq!(call(admin, "uncordon s-00000007"), "ok s-00000007 was not cordoned\n");
    let by = Instant::now() + Duration::from_secs(2);
    let mut tag = 1000;
    while ask(&mut with_new[0], tag, &caches) != 0 {
        assert!(Instant::now() < by, "the process that serves does not hear of the call back");
        tag += 1;
    }
    // The third has the clients in its turn, and uses the node too.
    new.signal("-TERM");
    new.logged("listener closed");
    let mut with_third: Vec<Client> = (0..40).map(|_| third.connect()).collect();
    let back = (2000..2280).find(|&tag| ask(&mut with_third[tag as usize % 40], tag, &caches) == 0);
    assert!(back.is_some(), "the node put back got nothing");
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
    let old = Node::start_in("operate-handover", members, admin_on, Some(&tmp));
    let (mut idle, mut busy) = (old.connect(), old.connect());
    busy.ask("1", 1, "");
    let mut asked = next(&served);
    // A successor that is there has noted itself, for which this process stands; the old process is told to end.
    let mut noted = std::fs::read_dir(&tmp).unwrap().map(|e| e.unwrap().path());
    let live = noted.find(|p| p.extension().is_some_and(|e| e == "live")).unwrap();
    std::fs::write(live, std::process::id().to_string()).unwrap();
    old.signal("-TERM");
    old.logged("listener closing");
    assert!(idle.closed(), "an idle connection is closed at once");
    old.logged("listener closed");
    assert!(std::net::TcpStream::connect(old.address).is_err(), "nobody listens any more");
    // What was taken is still answered, and only then is its connection closed.
    asked.hit(b"late but whole");
    assert_eq!(busy.answer(), ["1", "ok", "", "late but whole"]);
    assert!(busy.closed());
    std::fs::remove_dir_all(&tmp).unwrap();
}

#[test]
fn with_every_place_taken_by_idle_and_half_written_clients_operators_and_a_request_get_through() {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = Node::start("operate-crowd", members, |config| {
        config["admin_addr"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(64);
    });
    let admin = admin_of(&node);
    // Two fifths of 64 descriptors are for clients: 25 places, and three times as many come.
    let mut crowd: Vec<TcpStream> = (0..75).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    for (i, stream) in crowd.iter_mut().enumerate().filter(|(i, _)| i % 2 == 0) {
        let _ =
            stream.write_all(format!("*5\r\n$3\r\nREQ\r\n${}\r\n{i}\r\n", i.to_string().len()).as_bytes());
    }
    let started = Instant::now();
    assert_eq!(call(admin, "health"), "ok yes\n");
    assert!(figure(&call(admin, "counters"), "front_hosts_listed") == 2);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    let mut c = node.connect();
    c.ask("1", 1, "");
    next(&served).hit(b"through");
    assert_eq!(c.answer(), ["1", "ok", "", "through"]);
    drop(crowd);
}

#[test]
fn a_second_process_takes_over_and_no_client_is_lost() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-takeover-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    std::thread::spawn(move || served.iter().for_each(|mut s| s.hit(b"whole")));
    let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let mut old = Node::start_in("operate-takeover-old", members(), admin_on, Some(&tmp));
    let address = old.address;
    let new = Node::start_in(
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
    // One request: on the connection given, or, if the front closed that one as it came, once more on a new one. A
    // connection made for it may be neither refused nor reset.
    let (mut lost, mut call_id) = (Vec::new(), 0u64);
    let mut once = |c: &mut Option<Client>, lost: &mut Vec<String>| {
        for again in [false, true] {
            call_id += 1;
            let fresh = c.is_none();
            let client = c.get_or_insert_with(|| Client::new(TcpStream::connect(address).unwrap()));
            let fields = format!("call={call_id:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5");
            let answer = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                client.send(&["REQ", &call_id.to_string(), "media", &fields, ""]);
                client.answer()
            }));
            match answer {
                Ok(words) if words[1] == "ok" => return,
                Ok(words) => return lost.push(format!("{words:?}")),
                Err(_) if !again && !fresh => {
                    *c = None;
                    lost.push(String::from("resent"));
                }
                Err(_) => return lost.push(format!("request {call_id} lost twice")),
            }
        }
    };
    let mut kept = (0..4).map(|_| None).collect::<Vec<Option<Client>>>();
    let started = Instant::now();
    let mut termed = false;
    while started.elapsed() < Duration::from_millis(2500) {
        if !termed && started.elapsed() > Duration::from_millis(500) {
            old.signal("-TERM");
            termed = true;
        }
        once(&mut None, &mut lost);
        kept.iter_mut().for_each(|c| once(c, &mut lost));
    }
    // A request that crosses the close of an idle connection is sent once more, as the protocol has clients do;
    // that is rare, and none is lost.
    let resent = lost.iter().filter(|l| *l == "resent").count();
    lost.retain(|l| l != "resent");
    assert!(lost.is_empty(), "{lost:?}");
    assert!(resent * 100 <= call_id as usize, "{resent} of {call_id} were sent again");
    assert!(old.child.wait().unwrap().success(), "the old process exits 0");
    assert_eq!(call(admin, "health"), "ok yes\n");
    drop(new);
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// The system gave each client to either of two processes by its hash, also while the second was not to replace the first yet.
/// If that was ended again, its clients were left with a process that closes, though the one that serves on could have had
/// them: a request that was sent just before such a client saw the end was lost.
#[test]
fn a_second_process_takes_no_clients_while_the_first_serves() {
    const CLIENTS: u64 = 40;
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-standby-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    std::thread::spawn(move || served.iter().for_each(|mut s| s.hit(b"whole")));
    let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let mut first = Node::start_in("operate-standby-first", members(), admin_on, Some(&tmp));
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
            client.ask(&call_id.to_string(), call_id, "");
            assert_eq!(client.answer()[1], "ok");
        }
    };
    let connect_all = || (0..CLIENTS).map(|_| Client::new(TcpStream::connect(address).unwrap()));
    let mut second = Node::start_in("operate-standby-second", members(), at_the_same, Some(&tmp));
    let second_admin = admin_of(&second);
    assert_eq!(call(second_admin, "health"), "ok yes\n");
    let mut clients: Vec<Client> = connect_all().collect();
    ask_each(&mut clients);
    let success = |admin| figure(&call(admin, "counters"), "front_success{tier=\"media\"}");
    assert_eq!((success(first_admin), success(second_admin)), (CLIENTS, 0));
    // It is called off: its end is nobody's, and the first has all clients as before, also those that come meanwhile.
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
    // Another is there when the first is killed: it has all that come then.
    let third = Node::start_in("operate-standby-third", members(), at_the_same, Some(&tmp));
    let third_admin = admin_of(&third);
    first.signal("-KILL");
    first.child.wait().unwrap();
    let mut clients: Vec<Client> = connect_all().collect();
    ask_each(&mut clients);
    assert_eq!(success(third_admin), CLIENTS);
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// The platform sends a front new clients for so long after it told it to end.
const COMING: Duration = Duration::from_millis(400);

/// A second process that was ended before it was ready had noted itself as the newest. The first took it for its successor
/// when it was told to end itself, and shut its listener at once: for 0.4 s in which the platform still sends clients their
/// connections were refused (it logged that a newer process serves beside it, with no such process).
#[test]
fn a_successor_that_has_ended_takes_over_from_nobody() {
    for signal in ["-TERM", "-KILL"] {
        let name = format!("operate-aborted{signal}");
        let tmp = std::env::temp_dir().join(format!("onyxyoke-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&tmp).unwrap();
        let (cache, served) = cache_node();
        std::thread::spawn(move || served.iter().for_each(|mut s| s.hit(b"whole")));
        let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
        let mut first = Node::start_in(&format!("{name}-first"), members(), admin_on, Some(&tmp));
        let address = first.address;
        let at_the_same = |config: &mut serde_json::Value| {
            admin_on(config);
            config["listen"] = json!(address);
        };
        let mut second = Node::start_in(&format!("{name}-second"), members(), at_the_same, Some(&tmp));
        admin_of(&second);
        second.signal(signal);
        second.child.wait().unwrap();
        let mut open = first.connect();
        let told = Instant::now();
        first.signal("-TERM");
        eventually("it has heard that it is to end", || {
            open.send(&["HEALTH", "1", ""]);
            open.answer()[1] != "yes"
        });
        let mut tag = 0;
        while told.elapsed() < COMING {
            tag += 1;
            let stream = TcpStream::connect(address);
            let mut client =
                Client::new(stream.unwrap_or_else(|e| panic!("{signal}, connection {tag}: {e}")));
            client.ask(&tag.to_string(), tag, "");
            assert_eq!(client.answer()[1], "ok", "{signal}, connection {tag}");
        }
        drop(open);
        assert!(first.child.wait().unwrap().success());
        std::fs::remove_dir_all(&tmp).unwrap();
    }
}

/// Another process of the front starts while this one is closing: new clients are left to it at once.
#[test]
fn a_successor_that_starts_in_the_closing_window_is_given_the_clients() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-late-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, _served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = Node::start_in("operate-late-front", members, admin_on, Some(&tmp));
    admin_of(&old);
    let mut note = None;
    eventually("it has noted itself", || {
        let mut files = std::fs::read_dir(&tmp).unwrap().map(|entry| entry.unwrap().path());
        note = files.find(|path| path.extension().is_some_and(|e| e == "newest"));
        note.is_some()
    });
    let note = note.unwrap();
    old.signal("-TERM");
    eventually("it has taken its note back", || !note.exists());
    // The note of a process that lives, for which this one stands.
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

/// The same with a real process: every client that comes once it listens is its own, though the first still serves.
#[test]
fn a_process_that_starts_beside_one_that_closes_takes_every_client() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-operate-beside-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    std::thread::spawn(move || served.iter().for_each(|mut s| s.hit(b"whole")));
    let members = || vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut serde_json::Value| config["admin_addr"] = json!("127.0.0.1:0");
    let old = Node::start_in("operate-beside-old", members(), admin_on, Some(&tmp));
    admin_of(&old);
    let mut open = old.connect();
    old.signal("-TERM");
    eventually("the closing", || {
        open.send(&["HEALTH", "1", ""]);
        open.answer()[1] == "no"
    });
    let address = old.address;
    let replaced = |config: &mut serde_json::Value| {
        admin_on(config);
        config["listen"] = json!(address);
    };
    let new = Node::start_in("operate-beside-new", members(), replaced, Some(&tmp));
    let mut clients: Vec<Client> = (0..40).map(|_| new.connect()).collect();
    for (client, tag) in clients.iter_mut().zip(1..) {
        client.ask(&tag.to_string(), tag, "");
        assert_eq!(client.answer()[1], "ok");
    }
    let taken = figure(&call(admin_of(&new), "counters"), "front_success{tier=\"media\"}");
    assert_eq!(taken, 40, "of 40 clients");
    drop((old, new));
    std::fs::remove_dir_all(&tmp).unwrap();
}

/// A pipe in the place of this file: whoever opens it waits until the other side does.
fn make_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// The file of the front's cordons, which lies beside its note.
fn cordons_file(tmp: &Path) -> PathBuf {
    let mut files = std::fs::read_dir(tmp).unwrap().map(|entry| entry.unwrap().path());
    let note = files.find(|path| path.extension().is_some_and(|extension| extension == "live"));
    note.expect("the front's note").with_extension("cordons")
}

/// A front whose `$TMPDIR` is the test's own; its cache node, where operators call, and the file of its cordons.
fn front_with_folder(name: &str) -> (Node, Receiver<Served>, SocketAddr, PathBuf) {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-{name}-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let (cache, served) = cache_node();
    let nodes = [(EDGE, "standard"), (OTHER, "standard"), (ORIGIN, "origin")];
    let members = nodes.iter().map(|(id, kind)| member(*id, kind, cache)).collect();
    let admin_on = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    let node = Node::start_in(name, members, admin_on, Some(&tmp));
    let admin = admin_of(&node);
    assert_eq!(call(admin, "health"), "ok yes\n");
    (node, served, admin, cordons_file(&tmp))
}

/// A client and an operator are answered.
fn is_responsive(node: &Node, served: &Receiver<Served>, admin: SocketAddr) {
    assert_eq!(call(admin, "health"), "ok yes\n");
    let mut client = node.connect();
    client.ask("1", 1, "");
    next(served).hit(b"12345");
    assert_eq!(client.answer()[1], "ok");
}

/// The cordon that was asked for comes into force.
fn is_cordoned(admin: SocketAddr) {
    eventually("the cordon is in force", || figure(&call(admin, "counters"), "front_hosts_down") == 1);
}

/// Guards against a disk that takes long to write the cordons and holds up everything else meanwhile.
#[test]
fn a_cordon_that_the_disk_is_slow_to_keep_holds_up_nobody() {
    let (node, served, admin, cordons) = front_with_folder("operate-slow-write");
    make_pipe(&cordons.with_extension(format!("new-{}", node.child.id())));
    let mut cordon = TcpStream::connect(admin).unwrap();
    cordon.write_all(b"cordon s-00000007\n").unwrap();
    // It is in force, and the file is not written as long as nobody reads from the pipe.
    is_cordoned(admin);
    is_responsive(&node, &served, admin);
    cordon.set_nonblocking(true).unwrap();
    let unanswered = cordon.read(&mut [0]).unwrap_err().kind();
    assert_eq!(unanswered, ErrorKind::WouldBlock, "the call is answered before it is kept");
    drop(node);
    std::fs::remove_dir_all(cordons.parent().unwrap()).unwrap();
}

/// Guards against a disk that takes long to read the cordons and holds up everything else meanwhile.
#[test]
fn a_disk_that_is_slow_to_read_the_cordons_holds_up_nobody() {
    let (node, served, admin, cordons) = front_with_folder("operate-slow-read");
    make_pipe(&cordons);
    // Opens once the front has, which reads from now on until this ends.
    let writer = std::fs::File::options().write(true).open(&cordons).unwrap();
    is_responsive(&node, &served, admin);
    // A cordon comes into force all the same, though it cannot be kept yet.
    let mut cordon = TcpStream::connect(admin).unwrap();
    cordon.write_all(b"cordon s-00000007\n").unwrap();
    is_cordoned(admin);
    drop((writer, node));
    std::fs::remove_dir_all(cordons.parent().unwrap()).unwrap();
}
