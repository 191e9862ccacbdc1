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

/// Returns an order for the first attempt of a request, with a body of so many bytes.
fn order(request: u32, body: usize) -> Order {
    let client_request = ClientRequest {
        call: format!("{request:016x}").into(),
        body: vec![b'x'; body],
        ..ClientRequest::default()
    };
    Order {
        attempt_id: AttemptId { request: RequestId(request), attempt: 0 },
        request: client_request.into(),
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

/// Returns the command that sets the node's address.
fn set_node_address(address: SocketAddr) -> Command {
    let node = Node { id: NodeId(1), ..Node::default() };
    Command::NodeList { full: true, members: vec![Member { node, address }] }
}

/// Returns the command that cancels a request's first attempt.
fn cancel(request: u32) -> Command {
    Command::Cancel { attempt_id: AttemptId { request: RequestId(request), attempt: 0 }, node: NodeId(1) }
}

/// Runs a test against a pool without a memory limit, with the pool's command and report channels.
fn run_with_pool<T, F: Future<Output = T>>(
    limits: PoolLimits,
    test: impl FnOnce(UnboundedSender<Command>, UnboundedReceiver<Report>) -> F,
) -> T {
    run_with_pool_and_ledger(limits, Ledger::unlimited(), test)
}

/// Runs a test against a pool with this ledger, with the pool's command and report channels.
fn run_with_pool_and_ledger<T, F: Future<Output = T>>(
    limits: PoolLimits,
    memory: Ledger,
    test: impl FnOnce(UnboundedSender<Command>, UnboundedReceiver<Report>) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (command_sender, command_receiver) = unbounded_channel();
        let (report_sender, report_receiver) = unbounded_channel();
        tokio::task::spawn_local(run(command_receiver, report_sender, limits, memory));
        let test = test(command_sender, report_receiver);
        let finished = tokio::time::timeout(Duration::from_secs(30), test);
        finished.await.expect("the test finishes in time")
    })
}

/// A node that reads nothing has a whole request, and the cancel waits behind a body that the socket does not
/// accept. The attempt must end with the connection, not before, or the request could have two attempts in
/// flight.
#[test]
fn an_attempt_whose_cancel_cannot_be_written_ends_with_its_connection() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let stream = write_blocked_node(&commands, &mut reports).await;
        commands.send(cancel(1)).unwrap();
        let Some(Report::Abandoned { attempt_id, outcome, propagation }) = reports.recv().await else {
            panic!()
        };
        assert_eq!((attempt_id.request, outcome), (RequestId(1), Outcome::Cancelled));
        assert!(propagation > 0.0, "the node does not know of the close yet");
        // The node sees the end of the connection.
        tokio::time::timeout(Duration::from_secs(3), read_until_closed(stream))
            .await
            .expect("the connection ends");
    });
}

/// An order may be cancelled while a connection hands it back because its node has moved.
#[test]
fn an_order_that_is_cancelled_while_it_is_handed_back_is_not_sent() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let old = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let new = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(old.local_addr().unwrap())).unwrap();
        commands.send(Command::Send(order(1, 0))).unwrap();
        commands.send(set_node_address(new.local_addr().unwrap())).unwrap();
        commands.send(cancel(1)).unwrap();
        let Some(Report::AttemptEnded { outcome, .. }) = reports.recv().await else {
            panic!("it was written")
        };
        assert_eq!(outcome, Outcome::NotSent);
    });
}

/// Sends so many requests at once to a node that does not answer, and returns the number of connections
/// opened.
fn connections_opened(handshake_cost: f64, requests: u32) -> usize {
    run_with_pool(PoolLimits { handshake_cost, ..LIMITS }, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        for request in 1..=requests {
            commands.send(Command::Send(order(request, 0))).unwrap();
        }
        for _ in 0..requests {
            assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        }
        // All requests were written, so all connections wait to be accepted.
        let mut connections = Vec::new();
        while let Ok(accepted) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
            connections.push(accepted.unwrap());
        }
        connections.len()
    })
}

/// The fronts of a fleet must not use up a node's connections and pay a handshake for each request.
#[test]
fn requests_share_a_connection_if_handshakes_have_a_cost() {
    assert_eq!(connections_opened(0.0, 12), 12, "an unusable answer fails no other request");
    assert_eq!(connections_opened(0.08, REQUESTS_PER_PRICED_CONNECTION as u32), 1);
    assert_eq!(
        connections_opened(0.08, REQUESTS_PER_PRICED_CONNECTION as u32 + 1),
        2,
        "one connection does not become the bottleneck"
    );
}

/// Prepares a node that has a whole request and reads nothing: the second request's body fills the socket, so
/// that later orders wait for it. Returns the node's end, after both requests were reported as written.
async fn write_blocked_node(
    commands: &UnboundedSender<Command>,
    reports: &mut UnboundedReceiver<Report>,
) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
    commands.send(Command::Send(order(1, 0))).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
    commands.send(Command::Send(order(2, 32 << 20))).unwrap();
    assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
    stream
}

/// Reads until the connection is closed, and returns the text without the bytes of bodies.
async fn read_until_closed(stream: TcpStream) -> String {
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

/// An order whose client leaves or that is cancelled before the socket accepts its first byte is not sent,
/// even though no command about it reaches the connection.
#[test]
fn an_order_withdrawn_before_its_first_byte_is_written_is_not_sent() {
    type Withdraw = fn(&Order);
    let cases: [(&str, Withdraw); 2] = [
        ("its client leaves", |order| order.request.cancelled.set(true)),
        ("it is cancelled", |order| order.cancelled.set(true)),
    ];
    for (case, withdraw) in cases {
        run_with_pool(LIMITS, |commands, mut reports| async move {
            let stream = write_blocked_node(&commands, &mut reports).await;
            let third = order(3, 0);
            commands.send(Command::Send(third.clone())).unwrap();
            // The cancel of another order passes through the same two queues behind it, so once that is
            // reported the third order waits for the socket.
            let fourth = order(4, 0);
            commands.send(Command::Send(fourth)).unwrap();
            commands.send(cancel(4)).unwrap();
            let Some(Report::AttemptEnded { attempt_id, outcome, .. }) = reports.recv().await else {
                panic!()
            };
            assert_eq!((attempt_id.request, outcome), (RequestId(4), Outcome::NotSent));
            withdraw(&third);
            let reading = tokio::task::spawn_local(read_until_closed(stream));
            let Some(Report::AttemptEnded { attempt_id, outcome, .. }) = reports.recv().await else {
                panic!("{case}: it was written")
            };
            assert_eq!((attempt_id.request, outcome), (RequestId(3), Outcome::NotSent), "{case}");
            reading.abort();
        });
    }
}

/// The retry window of an order passes before the connection to its node is established.
#[test]
fn a_retry_is_not_sent_after_its_window() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        let late = Order { begin_by: clock::now(), ..order(1, 0) };
        commands.send(Command::Send(late)).unwrap();
        let Some(Report::AttemptEnded { outcome, .. }) = reports.recv().await else {
            panic!("it was written")
        };
        assert_eq!(outcome, Outcome::NotSent);
        commands.send(Command::Send(Order { begin_by: clock::now() + 60.0, ..order(2, 0) })).unwrap();
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
    });
}

/// While an answer that no request waits for is incomplete on a connection, new orders go to another one.
#[test]
fn a_connection_in_the_middle_of_a_stray_answer_is_not_used() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        commands.send(Command::Send(order(1, 0))).unwrap();
        let (mut first, _) = listener.accept().await.unwrap();
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        // The answer, and the beginning of a second copy.
        let answer = b"0000000000000001 NONE - 0\r\n\r\n0000000000000001 NO";
        tokio::io::AsyncWriteExt::write_all(&mut first, answer).await.unwrap();
        assert!(matches!(reports.recv().await, Some(Report::AttemptEnded { outcome: Outcome::Miss, .. })));
        commands.send(Command::Send(order(2, 0))).unwrap();
        let (second, _) = listener.accept().await.unwrap();
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        let mut got = [0; 22];
        tokio::io::AsyncReadExt::read_exact(&mut { second }, &mut got).await.unwrap();
        assert_eq!(&got, b"serve 0000000000000002");
    });
}

/// An attempt that is cancelled, or whose connection the front closes because of an unusable answer, is
/// reported as abandoned with a propagation time, since its node does not know yet. An attempt whose
/// connection the node resets has ended.
#[test]
fn attempts_that_the_front_abandons_are_reported_with_a_propagation_time() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        let write = async |request: u32, reports: &mut UnboundedReceiver<Report>| {
            commands.send(Command::Send(order(request, 0))).unwrap();
            assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        };
        write(1, &mut reports).await;
        let (mut first, _) = listener.accept().await.unwrap();
        commands.send(cancel(1)).unwrap();
        let Some(Report::Abandoned { outcome, propagation, .. }) = reports.recv().await else {
            panic!("a cancel")
        };
        assert!(outcome == Outcome::Cancelled && (0.005..=0.02).contains(&propagation), "{propagation}");
        write(2, &mut reports).await;
        tokio::io::AsyncWriteExt::write_all(&mut first, b"an answer of no use\r\n").await.unwrap();
        let Some(Report::Abandoned { outcome, propagation, .. }) = reports.recv().await else {
            panic!("closed by the front")
        };
        assert!(outcome == Outcome::Reset && propagation > 0.0);
        write(3, &mut reports).await;
        let (second, _) = listener.accept().await.unwrap();
        second.set_zero_linger().unwrap();
        drop(second);
        let Some(Report::AttemptEnded { outcome, .. }) = reports.recv().await else {
            panic!("reset by its node")
        };
        assert_eq!(outcome, Outcome::Reset);
    });
}

/// The node closes an idle connection at about the time an order is sent on it. If the order is written
/// first, it may have run and ends as reset; if the end of stream is read first, the order goes to a new
/// connection.
#[test]
fn an_order_crosses_the_close_of_its_idle_connection() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        let idle_connection = async |request: u32, reports: &mut UnboundedReceiver<Report>| {
            commands.send(Command::Send(order(request, 0))).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
            // The whole order is read, so that a close is not a reset.
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                tokio::io::AsyncReadExt::read_exact(&mut stream, &mut byte).await.unwrap();
                line.extend(byte);
            }
            let answer = format!("{request:016x} NONE - 0\r\n\r\n");
            tokio::io::AsyncWriteExt::write_all(&mut stream, answer.as_bytes()).await.unwrap();
            let Some(Report::AttemptEnded { outcome: Outcome::Miss, .. }) = reports.recv().await else {
                panic!()
            };
            stream
        };
        // The order and the end of stream arrive before the connection's task runs, which handles commands
        // first.
        let stream = idle_connection(1, &mut reports).await;
        drop(stream);
        commands.send(Command::Send(order(2, 0))).unwrap();
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))), "it was written first");
        let Some(Report::AttemptEnded { outcome, .. }) = reports.recv().await else {
            panic!("the node closed it")
        };
        assert_eq!(outcome, Outcome::Reset, "it may have run");
        // The node shuts its write side, and the pool closes the connection in response.
        let mut stream = idle_connection(3, &mut reports).await;
        tokio::io::AsyncWriteExt::shutdown(&mut stream).await.unwrap();
        assert_eq!(tokio::io::AsyncReadExt::read(&mut stream, &mut [0]).await.unwrap(), 0);
        commands.send(Command::Send(order(4, 0))).unwrap();
        listener.accept().await.expect("a new connection");
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        assert!(reports.try_recv().is_err(), "no attempt was on the closed connection");
    });
}

/// The node's window is closed and this kernel accepts all writes, so that a written cancel does not reach
/// the node. The attempt must not end before the node has the cancel or sees the end of the connection.
#[test]
fn an_attempt_whose_cancel_is_written_and_not_sent_ends_with_its_connection() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(8 * 1024).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(8).unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        // The node has the whole first request; the second one's body fills its window, and the rest waits in
        // this kernel.
        for (request, body) in [(1, 0), (2, 48_000)] {
            commands.send(Command::Send(order(request, body))).unwrap();
            assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        }
        let (stream, _) = listener.accept().await.unwrap();
        commands.send(cancel(1)).unwrap();
        let Some(Report::Abandoned { attempt_id, outcome, .. }) = reports.recv().await else { panic!() };
        assert_eq!((attempt_id.request, outcome), (RequestId(1), Outcome::Cancelled));
        // The attempt has ended for the node if the cancel has arrived or the connection has ended.
        let mut bytes = vec![0; 256 * 1024];
        let arrived = stream.peek(&mut bytes).await.unwrap_or(0);
        let cancel_arrived = bytes[..arrived].windows(6).any(|word| word == b"cancel");
        let ended = tokio::time::timeout(Duration::from_secs(3), read_until_closed(stream));
        assert!(
            cancel_arrived || ended.await.is_ok(),
            "another attempt may be sent while the node works on this one"
        );
    });
}

/// Prepares a node whose window is closed: it has the first request, and the second one's body is partly
/// unsent in this kernel, as is whatever is written behind it. Returns the node's listener and its end of the
/// connection.
async fn closed_window_node(
    commands: &UnboundedSender<Command>,
    reports: &mut UnboundedReceiver<Report>,
) -> (TcpListener, TcpStream) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
    for (request, body) in [(1, 0), (2, 48_000)] {
        commands.send(Command::Send(order(request, body))).unwrap();
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
    }
    let (stream, _) = listener.accept().await.unwrap();
    (listener, stream)
}

/// When the front closes a connection because of an unusable answer, the node must learn of it at once even
/// if its window is closed, or a request could have two attempts in flight.
#[test]
fn a_connection_that_the_front_closes_is_reset_at_a_node_with_a_closed_window() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let (_listener, stream) = closed_window_node(&commands, &mut reports).await;
        let answer = b"an answer of no use\r\n";
        assert_eq!(stream.try_write(answer).unwrap(), answer.len());
        for _ in 0..2 {
            let Some(Report::Abandoned { outcome, .. }) = reports.recv().await else { panic!() };
            assert_eq!(outcome, Outcome::Reset);
        }
        let error = stream.take_error().unwrap().map(|error| error.kind());
        assert_eq!(error, Some(io::ErrorKind::ConnectionReset), "the node knows");
    });
}

/// Yields until the pool and its connections have done everything that needs no waiting.
async fn run_until_idle() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// An order queued behind a cancel that a closed window blocks is not sent before it, does not fail with its
/// connection, and goes to another one.
#[test]
fn an_order_behind_a_cancel_that_is_never_sent_goes_to_another_connection() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let (listener, _first) = closed_window_node(&commands, &mut reports).await;
        commands.send(cancel(1)).unwrap();
        commands.send(Command::Send(order(3, 0))).unwrap();
        let mut received = Vec::new();
        for _ in 0..3 {
            received.push(reports.recv().await.unwrap());
        }
        let summary = received.iter().map(|report| match report {
            Report::Abandoned { attempt_id, outcome, .. } => (attempt_id.request.0, Some(*outcome)),
            Report::WriteStarted(attempt_id) => (attempt_id.request.0, None),
            other => panic!("{other:?}"),
        });
        let expected = [(1, Some(Outcome::Cancelled)), (2, Some(Outcome::Reset)), (3, None)];
        assert!(summary.eq(expected), "{received:?}");
        let (mut second, _) = listener.accept().await.unwrap();
        let mut got = [0; 22];
        tokio::io::AsyncReadExt::read_exact(&mut second, &mut got).await.unwrap();
        assert_eq!(&got, b"serve 0000000000000003");
    });
}

/// The connection of a slow node is kept: the cancel ends its attempt once the node reads again, and orders
/// queued meanwhile are sent behind it.
#[test]
fn a_cancel_that_is_sent_late_ends_its_attempt_and_not_its_connection() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let (_listener, stream) = closed_window_node(&commands, &mut reports).await;
        let mut stream = stream.into_std().unwrap();
        commands.send(cancel(1)).unwrap();
        commands.send(Command::Send(order(3, 0))).unwrap();
        run_until_idle().await;
        assert!(reports.try_recv().is_err(), "the cancel is not sent");
        // The node reads everything. The kernel sends more as the node reads, before its read returns.
        let (mut all, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
        let mut read = || {
            while let Ok(n @ 1..) = std::io::Read::read(&mut stream, &mut piece) {
                all.extend(piece[..n].iter().filter(|byte| **byte != b'x'));
            }
            String::from_utf8(all.clone()).unwrap()
        };
        let text = read();
        assert!(text.ends_with("cancel 0000000000000001\r\n"), "{text}");
        // This thread is busy until the cancel would be overdue, which must not matter.
        let busy_until = clock::now() + 0.03;
        while clock::now() < busy_until {}
        let Some(Report::Abandoned { attempt_id, outcome, .. }) = reports.recv().await else { panic!() };
        assert_eq!((attempt_id.request, outcome), (RequestId(1), Outcome::Cancelled));
        let report = reports.recv().await;
        assert!(matches!(report, Some(Report::WriteStarted(id)) if id.request == RequestId(3)), "{report:?}");
        let text = read();
        assert!(text.contains("cancel 0000000000000001\r\nserve 0000000000000003 "), "{text}");
    });
}

/// A connection that waits for its cancel to be sent must not busy-loop.
#[test]
fn a_cancel_that_is_not_sent_takes_little_processor_time() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let (_listener, _stream) = closed_window_node(&commands, &mut reports).await;
        let used = || Duration::from(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap());
        commands.send(cancel(1)).unwrap();
        commands.send(Command::Send(order(3, 0))).unwrap();
        let (started_at, before) = (clock::now(), used());
        assert!(matches!(reports.recv().await, Some(Report::Abandoned { .. })));
        let (used, waited) = (used() - before, clock::now() - started_at);
        assert!(waited > 0.019, "the pool waits: {waited}");
        assert!(used < Duration::from_millis(10), "{used:?} in {waited} s");
    });
}

/// A cancel that is sent at once is reported without waiting for a timer or an acknowledgement.
#[test]
fn a_cancel_that_is_sent_at_once_is_reported_at_once() {
    run_with_pool(LIMITS, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        let mut stream = None;
        for request in 1..=100 {
            commands.send(Command::Send(order(request, 0))).unwrap();
            assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
            commands.send(cancel(request)).unwrap();
            run_until_idle().await;
            let report = reports.try_recv();
            assert!(matches!(report, Ok(Report::Abandoned { .. })), "{request}: {report:?}");
            if stream.is_none() {
                stream = Some(listener.accept().await.unwrap().0.into_std().unwrap());
            }
            // The node reads everything.
            let all = std::io::Read::read(stream.as_mut().unwrap(), &mut [0; 4096]).unwrap();
            assert!(all > "cancel 0000000000000001\r\n".len());
        }
    });
}

/// An answer that waits for memory is reported once, as soon as its line is read and before it is discarded,
/// so that the broker does not consider it lost.
#[test]
fn an_answer_that_waits_for_memory_is_reported() {
    let mut limits = [LimitOverrides::default(); PURPOSES];
    limits[Purpose::Unread as usize].cap = Some(10_000);
    let memory = Ledger::new(Plan::new(32_000_000, &limits, 1.0).unwrap(), 0);
    run_with_pool_and_ledger(LIMITS, memory, |commands, mut reports| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        commands.send(set_node_address(listener.local_addr().unwrap())).unwrap();
        commands.send(Command::Send(order(1, 0))).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(matches!(reports.recv().await, Some(Report::WriteStarted(_))));
        let made = (clock::now() * 1000.0) as u64;
        let line = format!("0000000000000001 HIT n=TCP_HIT,etag=e,made={made} 20000\r\n");
        tokio::io::AsyncWriteExt::write_all(&mut stream, line.as_bytes()).await.unwrap();
        let attempt_id = AttemptId { request: RequestId(1), attempt: 0 };
        assert_eq!(reports.recv().await, Some(Report::AwaitingMemory(attempt_id)));
        assert_eq!(reports.recv().await, Some(Report::NoMemory(attempt_id)));
    });
}
