//! The operators' socket of the platform's front, as a process against the stand-ins.

mod stand_ins;
use serde_json::json;
use stand_ins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A front with one cache node that answers operators; where it does.
fn front(name: &str) -> (Node, std::sync::mpsc::Receiver<Served>, SocketAddr) {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let node = Node::start(name, members, |config| config["admin_addr"] = json!("127.0.0.1:0"));
    let line = node.logged("answers operators on");
    let admin = line.rsplit(' ').next().unwrap().parse().unwrap();
    (node, served, admin)
}

/// One call: the whole reply, which ends with the connection.
fn call(admin: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

/// The value of one series in a reply to `counters`.
fn figure(reply: &str, series: &str) -> u64 {
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
    // The gauges are published within half a second.
    let by = Instant::now() + Duration::from_millis(500);
    while figure(&call(admin, "counters"), "front_inflight") != 32 {
        assert!(Instant::now() < by, "inflight is not 32 after 0.5 s");
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
