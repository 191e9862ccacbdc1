//! Closing connections whose clients have not read their answers yet. Such a client can't see the FIN behind
//! its answers and may send another request, which would be lost, or cause a reset that cuts off the unread
//! answers. The front must keep the connection open, answer that request, and deliver all answers whole.

mod stand_ins;
use serde_json::{Value, json};
use stand_ins::*;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// A body that doesn't fit into the client's narrow receive buffer, but fits into the front's send buffer
/// (bytes).
const LARGE_BODY_BYTES: usize = 240_000;
/// How long the front gives a client to read an answer that the client's kernel has received.
const TIME_TO_READ: Duration = Duration::from_secs(1);

/// A front with one cache node, and a client that has not read its answer. The kernel holds all of the
/// answer; the front has nothing more to send.
struct UnreadAnswer {
    front: PlatformFront,
    served: Receiver<ReceivedCommand>,
    client: Client,
}

impl UnreadAnswer {
    fn start(name: &str, change: impl Fn(&mut Value)) -> UnreadAnswer {
        let (cache, served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let front = PlatformFront::start(name, members, change);
        let client = Client::new(connect_with_small_buffer(front.address));
        UnreadAnswer::request(front, served, client)
    }

    /// Sends a request and waits until the front has passed the whole answer to the kernel.
    fn request(front: PlatformFront, served: Receiver<ReceivedCommand>, mut client: Client) -> UnreadAnswer {
        send_keyed_request(&mut client, 1);
        next(&served).hit(&vec![b'y'; LARGE_BODY_BYTES]);
        eventually("the front counts the answer", || {
            front.signal("-USR1");
            front.logged("counters").contains(" served=1 ")
        });
        eventually("the kernel has the whole answer", || front.accounts()["unread.now"] == 0.0);
        UnreadAnswer { front, served, client }
    }

    /// Has the client send a second request before it reads, and checks that both answers arrive whole.
    fn assert_both_answers_arrive(mut self) {
        send_keyed_request(&mut self.client, 2);
        let served = self.served;
        thread::spawn(move || served.iter().for_each(|mut s| s.hit(b"second")));
        let first = self.client.answer();
        assert_eq!((&*first[0], &*first[1], first[3].len()), ("1", "ok", LARGE_BODY_BYTES));
        let second = self.client.answer();
        assert_eq!((&*second[0], &*second[1], &*second[3]), ("2", "ok", "second"));
    }
}

/// While memory is scarce the front closes idle connections, those that were idle for longest first. Guards
/// against closing one whose client has unread answers.
#[test]
fn scarce_memory_keeps_connections_with_unread_answers() {
    let unread = UnreadAnswer::start("closing-scarce", |_| ());
    let mut idle = idle_client(&unread.front);
    // Less than the program needs by itself, so that none of the shared memory is free.
    unread.front.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert!(idle.ends_without_data(), "a connection that became idle later is closed");
    unread.assert_both_answers_arrive();
}

/// Guards against closing idle connections under scarce memory only when a new connection arrives: with none,
/// they would stay open until their idle timeout.
#[test]
fn scarce_memory_closes_idle_connections_without_new_connections() {
    let (front, _served) = front_with_one_cache("closing-relief");
    let (mut idle, mut waiting) = (idle_client(&front), front.connect());
    // The cache node never answers this request, so the front fails it after 3 s: the test's clock.
    send_keyed_request(&mut waiting, 1);
    front.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert_eq!(waiting.answer()[0], "1");
    assert!(is_closed(&mut idle));
}

/// Guards against closing a new connection under scarce memory before its client could send a request.
#[test]
fn scarce_memory_keeps_connections_that_were_just_opened() {
    let (front, served) = front_with_one_cache("closing-new");
    let mut idle = [idle_client(&front), idle_client(&front)];
    front.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert!(idle[0].ends_without_data());
    let mut new_client = front.connect();
    assert!(idle[1].ends_without_data());
    send_keyed_request(&mut new_client, 1);
    next(&served).hit(b"first");
    assert_eq!(new_client.answer()[1], "ok");
}

/// Idle connections hold more memory than a lowered limit grants: the front evicts as many of them as a new
/// connection needs. Guards against refusing the new connection because evicting one is not enough.
#[test]
fn idle_connections_beyond_a_lowered_memory_limit_are_evicted_for_a_new_connection() {
    let (front, served) = front_with_one_cache("closing-cut");
    let idle_clients: Vec<Client> = (0..60).map(|_| idle_client(&front)).collect();
    front.reload(|config| config["limits"]["memory_mb"] = json!(4));
    front.logged("the settings are in force");
    let mut new_client = front.connect();
    send_keyed_request(&mut new_client, 1);
    next(&served).hit(b"first");
    assert_eq!(new_client.answer()[1], "ok");
    drop(idle_clients);
}

/// All connection slots are taken and new connections arrive: the front evicts the connection that was idle
/// for longest. Guards against evicting one whose client has unread answers.
#[test]
fn slot_eviction_keeps_connections_with_unread_answers() {
    let unread = UnreadAnswer::start("closing-crowd", |config| config["limits"]["sockets"] = json!(64));
    let mut idle = idle_client(&unread.front);
    let mut new_clients = Vec::new();
    eventually("a connection that became idle later is closed", || {
        new_clients.push(idle_client(&unread.front));
        is_closed(&mut idle)
    });
    unread.assert_both_answers_arrive();
}

/// Guards against an idle timeout that closes a connection whose client has unread answers.
#[test]
fn idle_timeout_keeps_connections_with_unread_answers() {
    let unread = UnreadAnswer::start("closing-idle", |_| ());
    let mut idle = idle_client(&unread.front);
    assert!(idle.ends_without_data(), "a connection that became idle later is closed");
    unread.assert_both_answers_arrive();
}

/// After SIGTERM the front closes idle connections at the end of its closing window. Guards against closing
/// one whose client has unread answers.
#[test]
fn shutdown_keeps_connections_with_unread_answers() {
    let unread = UnreadAnswer::start("closing-end", |_| ());
    let mut idle = idle_client(&unread.front);
    unread.front.signal("-TERM");
    assert!(idle.ends_without_data(), "an idle connection is closed");
    unread.assert_both_answers_arrive();
}

/// A replaced front closes idle connections at once. Guards against closing one whose client has unread
/// answers.
#[test]
fn replaced_front_keeps_connections_with_unread_answers() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-replaced-{}", std::process::id()));
    let unread =
        start_replaceable(&tmp, "closing-replaced", |front| connect_with_small_buffer(front.address));
    let mut silent = unread.front.connect();
    replace_front(&unread.front, &tmp);
    assert!(silent.ends_without_data(), "a connection without any request is closed");
    unread.assert_both_answers_arrive();
    std::fs::remove_dir_all(tmp).unwrap();
}

/// The client's kernel has received the whole answer, and its program has read none of it. Guards against a
/// replaced front that takes an acknowledged answer for read and closes the connection at once.
#[test]
fn replaced_front_gives_clients_time_to_read_received_answers() {
    let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-just-sent-{}", std::process::id()));
    // A round proves nothing if the machine is so slow that the time to read is over.
    for round in 0..5 {
        let began = Instant::now();
        let name = format!("closing-just-sent-{round}");
        let unread = start_replaceable(&tmp, &name, |front| TcpStream::connect(front.address).unwrap());
        let mut silent = unread.front.connect();
        replace_front(&unread.front, &tmp);
        assert!(silent.ends_without_data(), "a connection without any request is closed");
        if began.elapsed() < TIME_TO_READ {
            unread.assert_both_answers_arrive();
            std::fs::remove_dir_all(tmp).unwrap();
            return;
        }
    }
    panic!("the machine was too slow in each of five rounds");
}

/// Starts a front that registers itself in this folder, with a client that has not read its answer.
fn start_replaceable(
    tmp: &std::path::Path,
    name: &str,
    connect: impl Fn(&PlatformFront) -> TcpStream,
) -> UnreadAnswer {
    std::fs::create_dir_all(tmp).unwrap();
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin_on = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    let front = PlatformFront::start_in_tmpdir(name, members, admin_on, Some(tmp));
    let client = Client::new(connect(&front));
    UnreadAnswer::request(front, served, client)
}
