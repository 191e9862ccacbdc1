//! Tests of `pool.rs`.

use super::limits::REQUESTS_PER_PRICED_CONNECTION;
use super::*;
use crate::broker::ClientRequest;
use crate::clock;
use crate::interface::{FillOptions, Node, RequestId};
use crate::memory::{LimitOverrides, PURPOSES, Plan, Purpose};
use nix::time::{ClockId, clock_gettime};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const LIMITS: PoolLimits = PoolLimits {
    connect_timeout: 5.0,
    idle_timeout: 5.0,
    max_requests_per_connection: 100,
    max_connections: 64,
    handshake_cost: 0.08,
};

fn order(request: u32, body: usize) -> Order {
    let ask = ClientRequest {
        call: format!("{request:016x}").into(),
        body: vec![b'x'; body],
        ..ClientRequest::default()
    };
    Order {
        attempt_id: AttemptId { request: RequestId(request), attempt: 0 },
        request: ask.into(),
        class: "media".into(),
        node: NodeId(1),
        source: None,
        rank: 1,
        age: 0.0,
        options: FillOptions::default(),
        due: clock::now() + 60.0,
        min_created_at: 0.0,
        uncacheable: false,
        requeues: 0,
        cancelled: Rc::default(),
        begin_by: f64::INFINITY,
    }
}

fn at(address: SocketAddr) -> Command {
    let node = Node { id: NodeId(1), ..Node::default() };
    Command::NodeList { full: true, members: vec![Member { node, address }] }
}

fn cancel(request: u32) -> Command {
    Command::Cancel { attempt_id: AttemptId { request: RequestId(request), attempt: 0 }, node: NodeId(1) }
}

/// Runs a pool that a test commands, and what it reports.
fn pooled<T, F: Future<Output = T>>(
    limits: PoolLimits,
    test: impl FnOnce(UnboundedSender<Command>, UnboundedReceiver<Report>) -> F,
) -> T {
    pooled_within(limits, Ledger::unlimited(), test)
}

/// The same with these accounts.
fn pooled_within<T, F: Future<Output = T>>(
    limits: PoolLimits,
    memory: Ledger,
    test: impl FnOnce(UnboundedSender<Command>, UnboundedReceiver<Report>) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (send, commands) = unbounded_channel();
        let (reports, reported) = unbounded_channel();
        tokio::task::spawn_local(run(commands, reports, limits, memory));
        let whole = tokio::time::timeout(Duration::from_secs(30), test(send, reported));
        whole.await.expect("what the test waits for comes")
    })
}

/// Guards against two attempts out for one request: a node that reads nothing has a whole request, and the cancel
/// lies behind a body that its socket does not take. The attempt ends with the connection, and no sooner.
#[test]
fn an_attempt_whose_cancel_cannot_be_written_ends_with_its_connection() {
    pooled(LIMITS, |send, mut reported| async move {
        let stream = clogged(&send, &mut reported).await;
        send.send(cancel(1)).unwrap();
        let Some(Report::Abandoned { attempt_id, outcome, propagation }) = reported.recv().await else {
            panic!()
        };
        assert_eq!((attempt_id.request, outcome), (RequestId(1), Outcome::Cancelled));
        assert!(propagation > 0.0, "the node has yet to hear of it");
        // The node hears that the connection has ended.
        tokio::time::timeout(Duration::from_secs(3), sent(stream)).await.expect("the connection ends");
    });
}

/// Guards against an order that is handed back because its node has moved, and is taken back at the same moment.
#[test]
fn an_order_that_is_cancelled_while_it_is_handed_back_goes_nowhere() {
    pooled(LIMITS, |send, mut reported| async move {
        let old = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let new = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(old.local_addr().unwrap())).unwrap();
        send.send(Command::Send(order(1, 0))).unwrap();
        send.send(at(new.local_addr().unwrap())).unwrap();
        send.send(cancel(1)).unwrap();
        let Some(Report::AttemptEnded { outcome, .. }) = reported.recv().await else {
            panic!("it was written")
        };
        assert_eq!(outcome, Outcome::NotSent);
    });
}

/// Connections that a node that answers nothing has taken once it was sent so many requests at once.
fn opened(handshake_cost: f64, requests: u32) -> usize {
    pooled(PoolLimits { handshake_cost, ..LIMITS }, |send, mut written| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        for request in 1..=requests {
            send.send(Command::Send(order(request, 0))).unwrap();
        }
        for _ in 0..requests {
            assert!(matches!(written.recv().await, Some(Report::WriteStarted(_))));
        }
        // All was written, so whatever connection there is waits to be accepted.
        let (mut open, none) = (Vec::new(), Duration::ZERO);
        while let Ok(accepted) = tokio::time::timeout(none, listener.accept()).await {
            open.push(accepted.unwrap());
        }
        open.len()
    })
}

/// Guards against a fleet that together holds all that a node accepts, and pays for each handshake.
#[test]
fn requests_share_a_connection_where_one_has_a_price() {
    assert_eq!(opened(0.0, 12), 12, "a spoilt answer takes nothing with it");
    assert_eq!(opened(0.08, REQUESTS_PER_PRICED_CONNECTION as u32), 1);
    assert_eq!(
        opened(0.08, REQUESTS_PER_PRICED_CONNECTION as u32 + 1),
        2,
        "nor is one connection the bottleneck"
    );
}

/// A node that has a whole request and reads nothing more: behind it lies a body that its socket does not take, so that
/// what is ordered next waits for the socket. Gives the node's end, with the first two reported as written.
async fn clogged(send: &UnboundedSender<Command>, reported: &mut UnboundedReceiver<Report>) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    send.send(at(listener.local_addr().unwrap())).unwrap();
    send.send(Command::Send(order(1, 0))).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
    send.send(Command::Send(order(2, 32 << 20))).unwrap();
    assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
    stream
}

/// All that the node is sent until the pool closes, as text.
async fn sent(stream: TcpStream) -> String {
    let (mut all, mut piece) = (Vec::new(), vec![0; 1 << 20]);
    loop {
        stream.readable().await.unwrap();
        match stream.try_read(&mut piece) {
            Ok(0) => break,
            Ok(n) => all.extend(piece[..n].iter().filter(|b| **b != b'x')),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    String::from_utf8(all).unwrap()
}

/// The write is the fact: an order that its connection has, and whose client leaves, whose node drains or whose time for
/// a repeat passes before the socket takes a byte of it, is never sent and ends as that, though no queue brings word of it.
#[test]
fn what_changes_before_the_first_byte_is_taken_turns_the_order_away() {
    type Turn = fn(&Order);
    let turns: [(&str, Turn); 2] = [
        ("its client leaves", |o| o.request.cancelled.set(true)),
        ("it is called off", |o| o.cancelled.set(true)),
    ];
    for (what, turn) in turns {
        pooled(LIMITS, |send, mut reported| async move {
            let stream = clogged(&send, &mut reported).await;
            let third = order(3, 0);
            send.send(Command::Send(third.clone())).unwrap();
            // Taken in, and waiting for the socket, before it is turned away: a recall of another passes through both
            // queues behind it and is answered.
            let fourth = order(4, 0);
            send.send(Command::Send(fourth)).unwrap();
            send.send(cancel(4)).unwrap();
            let Some(Report::AttemptEnded { attempt_id, outcome, .. }) = reported.recv().await else {
                panic!()
            };
            assert_eq!((attempt_id.request, outcome), (RequestId(4), Outcome::NotSent));
            turn(&third);
            let read = tokio::task::spawn_local(sent(stream));
            let Some(Report::AttemptEnded { attempt_id, outcome, .. }) = reported.recv().await else {
                panic!("{what}: it was written")
            };
            assert_eq!((attempt_id.request, outcome), (RequestId(3), Outcome::NotSent), "{what}");
            read.abort();
        });
    }
}

/// A further attempt in a class whose repeats have a window, at a node to which there is no connection yet: the window
/// passes before there is one.
#[test]
fn a_repeat_is_not_begun_after_its_window() {
    pooled(LIMITS, |send, mut reported| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        let late = Order { begin_by: clock::now(), ..order(1, 0) };
        send.send(Command::Send(late)).unwrap();
        let Some(Report::AttemptEnded { outcome, .. }) = reported.recv().await else {
            panic!("it was written")
        };
        assert_eq!(outcome, Outcome::NotSent);
        send.send(Command::Send(Order { begin_by: clock::now() + 60.0, ..order(2, 0) })).unwrap();
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
    });
}

/// Half of something that is nobody's lies on a connection: nothing new goes to it, but to a further one, until the rest
/// has come.
#[test]
fn a_connection_in_the_middle_of_stray_bytes_is_not_used() {
    pooled(LIMITS, |send, mut reported| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        send.send(Command::Send(order(1, 0))).unwrap();
        let (mut first, _) = listener.accept().await.unwrap();
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
        // The answer, and with it half of a second one.
        let answer = b"0000000000000001 NONE - 0\r\n\r\n0000000000000001 NO";
        tokio::io::AsyncWriteExt::write_all(&mut first, answer).await.unwrap();
        assert!(matches!(reported.recv().await, Some(Report::AttemptEnded { outcome: Outcome::Miss, .. })));
        send.send(Command::Send(order(2, 0))).unwrap();
        let (second, _) = listener.accept().await.unwrap();
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
        let mut got = [0; 22];
        tokio::io::AsyncReadExt::read_exact(&mut { second }, &mut got).await.unwrap();
        assert_eq!(&got, b"serve 0000000000000002");
    });
}

/// An attempt that is cancelled, or whose connection is closed here for what another's answer was, is reported as given up
/// and not yet known to its node; one whose connection the node resets has ended.
#[test]
fn what_is_given_up_here_is_out_until_its_node_has_heard_of_it() {
    pooled(LIMITS, |send, mut reported| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        let write = async |request: u32, reported: &mut UnboundedReceiver<Report>| {
            send.send(Command::Send(order(request, 0))).unwrap();
            assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
        };
        write(1, &mut reported).await;
        let (mut first, _) = listener.accept().await.unwrap();
        send.send(cancel(1)).unwrap();
        let Some(Report::Abandoned { outcome, propagation, .. }) = reported.recv().await else {
            panic!("a cancel")
        };
        assert!(outcome == Outcome::Cancelled && (0.005..=0.02).contains(&propagation), "{propagation}");
        write(2, &mut reported).await;
        tokio::io::AsyncWriteExt::write_all(&mut first, b"an answer of no use\r\n").await.unwrap();
        let Some(Report::Abandoned { outcome, propagation, .. }) = reported.recv().await else {
            panic!("closed here")
        };
        assert!(outcome == Outcome::Reset && propagation > 0.0);
        write(3, &mut reported).await;
        let (second, _) = listener.accept().await.unwrap();
        second.set_zero_linger().unwrap();
        drop(second);
        let Some(Report::AttemptEnded { outcome, .. }) = reported.recv().await else {
            panic!("reset by its node")
        };
        assert_eq!(outcome, Outcome::Reset);
    });
}

/// An order and the end of the resting connection that it is to go on: where the order is written first, it may have run
/// and ends as reset; where the end was seen first, it goes on a new connection.
#[test]
fn an_order_and_the_end_of_its_resting_connection_cross_in_either_order() {
    pooled(LIMITS, |send, mut reported| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        let rested = async |request: u32, reported: &mut UnboundedReceiver<Report>| {
            send.send(Command::Send(order(request, 0))).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
            // All of the order is read, so that an end is no reset.
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                tokio::io::AsyncReadExt::read_exact(&mut stream, &mut byte).await.unwrap();
                line.extend(byte);
            }
            let answer = format!("{request:016x} NONE - 0\r\n\r\n");
            tokio::io::AsyncWriteExt::write_all(&mut stream, answer.as_bytes()).await.unwrap();
            let Some(Report::AttemptEnded { outcome: Outcome::Miss, .. }) = reported.recv().await else {
                panic!()
            };
            stream
        };
        // Both lie there at the connection's next turn, and what it is told comes before what it reads.
        let stream = rested(1, &mut reported).await;
        drop(stream);
        send.send(Command::Send(order(2, 0))).unwrap();
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))), "it was written first");
        let Some(Report::AttemptEnded { outcome, .. }) = reported.recv().await else {
            panic!("the node ended it")
        };
        assert_eq!(outcome, Outcome::Reset, "it may have run");
        // Its side is closed, and that was seen: this side is closed too.
        let mut stream = rested(3, &mut reported).await;
        tokio::io::AsyncWriteExt::shutdown(&mut stream).await.unwrap();
        assert_eq!(tokio::io::AsyncReadExt::read(&mut stream, &mut [0]).await.unwrap(), 0);
        send.send(Command::Send(order(4, 0))).unwrap();
        listener.accept().await.expect("a new connection");
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
        assert!(reported.try_recv().is_err(), "nothing was on the one that ended");
    });
}

/// Guards against the same where the node's system has no room and this one takes everything: what is given up here is not
/// heard of there while its cancel lies behind a closed window.
#[test]
fn an_attempt_whose_cancel_is_taken_and_not_sent_ends_with_its_connection() {
    pooled(LIMITS, |send, mut reported| async move {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(8 * 1024).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(8).unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        // The node has the first one whole; the second one's body fills its window, and this system has the rest.
        for (request, body) in [(1, 0), (2, 48_000)] {
            send.send(Command::Send(order(request, body))).unwrap();
            assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
        }
        let (stream, _) = listener.accept().await.unwrap();
        send.send(cancel(1)).unwrap();
        let Some(Report::Abandoned { attempt_id, outcome, .. }) = reported.recv().await else { panic!() };
        assert_eq!((attempt_id.request, outcome), (RequestId(1), Outcome::Cancelled));
        // It has ended there if its cancel is there, or the connection has ended.
        let mut here = vec![0; 256 * 1024];
        let come = stream.peek(&mut here).await.unwrap_or(0);
        let told = here[..come].windows(6).any(|word| word == b"cancel");
        let ended = tokio::time::timeout(Duration::from_secs(3), sent(stream));
        assert!(told || ended.await.is_ok(), "another attempt may go while the node works on this one");
    });
}

/// A node whose window is closed: it has the first request, and the second one's body lies partly in this system, as does
/// whatever is written behind it. Gives what it listens on and its end of the connection.
async fn closed_window(
    send: &UnboundedSender<Command>,
    reported: &mut UnboundedReceiver<Report>,
) -> (TcpListener, TcpStream) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    send.send(at(listener.local_addr().unwrap())).unwrap();
    for (request, body) in [(1, 0), (2, 48_000)] {
        send.send(Command::Send(order(request, body))).unwrap();
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
    }
    let (stream, _) = listener.accept().await.unwrap();
    (listener, stream)
}

/// Guards against two attempts out for one request where its connection is closed here for a spoilt answer: the node hears
/// of that at once, though it reads nothing of what was sent before.
#[test]
fn a_connection_that_is_closed_here_ends_at_once_at_a_node_with_a_closed_window() {
    pooled(LIMITS, |send, mut reported| async move {
        let (_listener, stream) = closed_window(&send, &mut reported).await;
        let answer = b"an answer of no use\r\n";
        assert_eq!(stream.try_write(answer).unwrap(), answer.len());
        for _ in 0..2 {
            let Some(Report::Abandoned { outcome, .. }) = reported.recv().await else { panic!() };
            assert_eq!(outcome, Outcome::Reset);
        }
        let error = stream.take_error().unwrap().map(|error| error.kind());
        assert_eq!(error, Some(io::ErrorKind::ConnectionReset), "the node knows");
    });
}

/// Gives the pool and its connections their turns, so that they have done what they can without waiting.
async fn turns() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// Guards requests that are made while a cancel lies behind a closed window: they are not sent before it, do not share the
/// end of its connection, and go on another one.
#[test]
fn an_order_behind_a_cancel_that_is_never_sent_goes_on_another_connection() {
    pooled(LIMITS, |send, mut reported| async move {
        let (listener, _first) = closed_window(&send, &mut reported).await;
        send.send(cancel(1)).unwrap();
        send.send(Command::Send(order(3, 0))).unwrap();
        let mut reports = Vec::new();
        for _ in 0..3 {
            reports.push(reported.recv().await.unwrap());
        }
        let told = reports.iter().map(|report| match report {
            Report::Abandoned { attempt_id, outcome, .. } => (attempt_id.request.0, Some(*outcome)),
            Report::WriteStarted(attempt_id) => (attempt_id.request.0, None),
            other => panic!("{other:?}"),
        });
        let expected = [(1, Some(Outcome::Cancelled)), (2, Some(Outcome::Reset)), (3, None)];
        assert!(told.eq(expected), "{reports:?}");
        let (mut second, _) = listener.accept().await.unwrap();
        let mut got = [0; 22];
        tokio::io::AsyncReadExt::read_exact(&mut second, &mut got).await.unwrap();
        assert_eq!(&got, b"serve 0000000000000003");
    });
}

/// Guards the connection of a node that is only slow: its cancel ends the attempt once the node reads again, and what was
/// ordered meanwhile goes behind it.
#[test]
fn a_cancel_that_is_sent_late_ends_its_attempt_and_not_its_connection() {
    pooled(LIMITS, |send, mut reported| async move {
        let (_listener, stream) = closed_window(&send, &mut reported).await;
        let mut stream = stream.into_std().unwrap();
        send.send(cancel(1)).unwrap();
        send.send(Command::Send(order(3, 0))).unwrap();
        turns().await;
        assert!(reported.try_recv().is_err(), "the cancel is not sent");
        // The node reads all that there is. It is sent more as it reads, before its read returns.
        let (mut all, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
        let mut read = || {
            while let Ok(n @ 1..) = std::io::Read::read(&mut stream, &mut piece) {
                all.extend(piece[..n].iter().filter(|byte| **byte != b'x'));
            }
            String::from_utf8(all.clone()).unwrap()
        };
        let text = read();
        assert!(text.ends_with("cancel 0000000000000001\r\n"), "{text}");
        // Nor does it matter that this thread is busy until the cancel would be overdue.
        let busy_until = clock::now() + 0.03;
        while clock::now() < busy_until {}
        let Some(Report::Abandoned { attempt_id, outcome, .. }) = reported.recv().await else { panic!() };
        assert_eq!((attempt_id.request, outcome), (RequestId(1), Outcome::Cancelled));
        let written = reported.recv().await;
        assert!(matches!(written, Some(Report::WriteStarted(t)) if t.request == RequestId(3)), "{written:?}");
        let text = read();
        assert!(text.contains("cancel 0000000000000001\r\nserve 0000000000000003 "), "{text}");
    });
}

/// A connection that waits until its cancel is sent, or gives that up, sleeps meanwhile.
#[test]
fn a_cancel_that_is_not_sent_takes_little_processor_time() {
    pooled(LIMITS, |send, mut reported| async move {
        let (_listener, _stream) = closed_window(&send, &mut reported).await;
        let used = || Duration::from(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap());
        send.send(cancel(1)).unwrap();
        send.send(Command::Send(order(3, 0))).unwrap();
        let (asked, before) = (clock::now(), used());
        assert!(matches!(reported.recv().await, Some(Report::Abandoned { .. })));
        let (used, waited) = (used() - before, clock::now() - asked);
        assert!(waited > 0.019, "it is waited for: {waited}");
        assert!(used < Duration::from_millis(10), "{used:?} in {waited} s");
    });
}

/// A cancel that is sent at once is reported in the same turn: no timer and no acknowledgement is waited for.
#[test]
fn a_cancel_that_is_sent_at_once_is_reported_at_once() {
    pooled(LIMITS, |send, mut reported| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        let mut stream = None;
        for request in 1..=100 {
            send.send(Command::Send(order(request, 0))).unwrap();
            assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
            send.send(cancel(request)).unwrap();
            turns().await;
            let report = reported.try_recv();
            assert!(matches!(report, Ok(Report::Abandoned { .. })), "{request}: {report:?}");
            if stream.is_none() {
                stream = Some(listener.accept().await.unwrap().0.into_std().unwrap());
            }
            // The node reads what there is.
            let all = std::io::Read::read(stream.as_mut().unwrap(), &mut [0; 4096]).unwrap();
            assert!(all > "cancel 0000000000000001\r\n".len());
        }
    });
}

/// An answer that waits here for memory is told of once, as soon as its line is here and before it is given up, so that
/// nobody takes it for lost.
#[test]
fn an_answer_that_waits_for_memory_is_told_of() {
    let mut limits = [LimitOverrides::default(); PURPOSES];
    limits[Purpose::Unread as usize].cap = Some(10_000);
    let memory = Ledger::new(Plan::new(32_000_000, &limits, 1.0).unwrap(), 0);
    pooled_within(LIMITS, memory, |send, mut reported| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        send.send(at(listener.local_addr().unwrap())).unwrap();
        send.send(Command::Send(order(1, 0))).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(matches!(reported.recv().await, Some(Report::WriteStarted(_))));
        let made = (clock::now() * 1000.0) as u64;
        let line = format!("0000000000000001 HIT n=TCP_HIT,etag=e,made={made} 20000\r\n");
        tokio::io::AsyncWriteExt::write_all(&mut stream, line.as_bytes()).await.unwrap();
        let attempt_id = AttemptId { request: RequestId(1), attempt: 0 };
        assert_eq!(reported.recv().await, Some(Report::AwaitingMemory(attempt_id)));
        assert_eq!(reported.recv().await, Some(Report::NoMemory(attempt_id)));
    });
}
