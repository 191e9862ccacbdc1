//! The close of a client's connection crosses what its client sends, and other closes. The order is forced: the front is
//! stopped (SIGSTOP), the events come to it in their order, and it goes on and hears of all of them at once.

mod stand_ins;
use serde_json::json;
use stand_ins::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// A frame is to be whole so long after its first byte.
const WHOLE: Duration = Duration::from_secs(2);
/// A request that is not answered is open for longer than this.
const OPEN_FOR: Duration = Duration::from_secs(2);
/// A machine that is so late that a while is over says nothing; it has this many tries.
const ROUNDS: u32 = 5;
/// Descriptors of a front, and the clients that may be connected then: two fifths.
const SOCKETS: usize = 64;
const PLACES: usize = 25;
/// Newcomers that come one after the other.
const NEWCOMERS: u64 = 4;

/// The states of a process that waits for events, and of one that is stopped (proc_pid_stat(5)).
const SLEEPING: char = 'S';
const STOPPED: char = 'T';

/// Lets events come to the front while it stands still.
fn at_once<T>(node: &Node, events: impl FnOnce() -> T) -> T {
    eventually("the front waits for events", || state(node) == SLEEPING);
    node.signal("-STOP");
    eventually("the front stands still", || state(node) == STOPPED);
    let came = events();
    node.signal("-CONT");
    came
}

/// The state of the front's process.
fn state(node: &Node) -> char {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let (_, behind_the_name) = stat.rsplit_once(") ").unwrap();
    behind_the_name.chars().next().unwrap()
}

/// Plays again where the machine was too late, which the play tells by `None`.
fn in_time(mut play: impl FnMut(&str) -> Option<()>) {
    let in_time = (0..ROUNDS).any(|round| play(&format!("round-{round}")).is_some());
    assert!(in_time, "{ROUNDS} rounds were late");
}

/// A front whose memory is scarce from its first idle connection on.
fn scarce(name: &str) -> (Node, Receiver<Served>) {
    let (node, served) = one_cache(name);
    let mut idle = idle_client(&node);
    // Less than any program takes, so that nothing of the shared part is free.
    node.reload(|config| config["limits"]["memory_mb"] = json!(4));
    assert!(idle.closed(), "scarce memory closes idle connections");
    (node, served)
}

/// How many of them has the front closed?
fn closed_count(clients: &mut [Client]) -> usize {
    clients.iter_mut().map(is_closed).filter(|&closed| closed).count()
}

/// A cache node that answers each command with this, from another thread.
fn answers(served: Receiver<Served>, body: &'static [u8]) {
    thread::spawn(move || served.iter().for_each(|mut asked| asked.hit(body)));
}

/// A client that sent the first half of a request, which the front has read.
fn half_a_request(node: &Node) -> (Client, Vec<u8>) {
    let mut client = idle_client(node);
    let whole = hold_frame(1).into_bytes();
    let (first_half, second_half) = whole.split_at(whole.len() / 2);
    client.stream.write_all(first_half).unwrap();
    // The front answers this behind what it has read.
    drop(idle_client(node));
    (client, second_half.to_vec())
}

/// Guards against a close by scarce memory over half a request that came before.
#[test]
fn scarce_memory_waits_for_half_a_request_that_came_before() {
    in_time(|round| {
        let (node, served) = scarce(&format!("closing-half-scarce-{round}"));
        let began = Instant::now();
        let (mut client, second_half) = half_a_request(&node);
        let mut idle = idle_client(&node);
        assert!(idle.closed(), "one that has become idle later is closed");
        client.stream.write_all(&second_half).unwrap();
        if began.elapsed() > WHOLE {
            return None;
        }
        answers(served, b"first");
        assert_eq!(client.answer()[3], "first");
        Some(())
    });
}

/// A front with few places for clients.
fn few_places(name: &str) -> (Node, Receiver<Served>) {
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    (Node::start(name, members, |config| config["limits"]["sockets"] = json!(SOCKETS)), served)
}

/// Clients with an open request each.
fn active_clients(node: &Node, served: &Receiver<Served>, count: usize) -> Vec<Client> {
    let clients = (0..count).map(|i| {
        let mut client = node.connect();
        hold(&mut client, i as u64 + 1);
        // The cache node answers none of them.
        drop(next(served));
        client
    });
    clients.collect()
}

/// Is a newcomer that asks served? Either its request comes to the cache node, or it is turned away.
fn is_served(node: &Node, served: &Receiver<Served>, tag: u64) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(node.address).unwrap();
    // One that was turned away already cannot ask.
    let _ = stream.write_all(hold_frame(tag).as_bytes());
    stream.set_nonblocking(true).unwrap();
    let mut is_served = false;
    eventually("a newcomer's request, or its end", || {
        is_served = served.try_recv().is_ok();
        is_served || !stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    });
    is_served.then_some(stream)
}

/// A front whose places are taken by clients with open requests and a last one without. Newcomers come one after the
/// other; how many are served?
fn newcomers_served(name: &str, last: impl Fn(Client)) -> Option<usize> {
    let (node, served) = few_places(name);
    let began = Instant::now();
    let active = active_clients(&node, &served, PLACES - 1);
    last(idle_client(&node));
    let newcomers: Vec<_> = (0..NEWCOMERS).map(|i| is_served(&node, &served, 100 + i)).collect();
    drop(active);
    (began.elapsed() < OPEN_FOR).then(|| newcomers.iter().flatten().count())
}

/// Guards against a second newcomer that gets the place of a silent client which was asked to close for the first one already.
#[test]
fn the_place_of_a_silent_client_is_given_to_one_newcomer() {
    in_time(|round| {
        let name = format!("closing-once-{round}");
        // Its end is kept open.
        let count = newcomers_served(&name, std::mem::forget)?;
        assert_eq!(count, 1);
        Some(())
    });
}

/// Guards against two newcomers that come at once and take one place together, or more than two.
#[test]
fn two_newcomers_at_once_take_two_places() {
    let (node, _served) = few_places("closing-two");
    let mut clients: Vec<Client> = (0..PLACES).map(|_| idle_client(&node)).collect();
    let newcomers = at_once(&node, || [node.connect(), node.connect()]);
    clients.extend(newcomers);
    eventually("two are closed", || closed_count(&mut clients) >= 2);
    let stay = clients.iter_mut().filter_map(|client| (!is_closed(client)).then_some(client));
    let answered = stay.map(|client| {
        client.stream.set_nonblocking(false).unwrap();
        client.send(&["HEALTH", "8", ""]);
        client.answer()
    });
    assert_eq!(answered.count(), PLACES);
}
