//! Tests of `node_socket.rs`.

use super::NodeSocket;
use crate::net::tcp_info::TcpInfo;
use std::io::Read;
use tokio::net::{TcpListener, TcpStream};

/// A node's socket and the node's end of it, which has little room.
async fn pair() -> (NodeSocket, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = onyxyoke_stand_ins::scripted::narrow(listener.local_addr().unwrap());
    let stream = listener.accept().await.unwrap().0;
    stream.set_nodelay(true).unwrap();
    (NodeSocket::new(stream), node)
}

/// How many bytes lie at the node's end.
fn arrived(node: &std::net::TcpStream) -> u64 {
    node.set_nonblocking(true).unwrap();
    let arrived = node.peek(&mut [0; 256 * 1024]).unwrap_or(0);
    node.set_nonblocking(false).unwrap();
    arrived as u64
}

fn write(stream: &TcpStream, length: usize) -> u64 {
    stream.try_write(&vec![b'x'; length]).unwrap() as u64
}

#[tokio::test]
async fn what_lies_behind_a_closed_window_is_not_sent_until_the_node_reads() {
    let (socket, mut node) = pair().await;
    assert_eq!(socket.sent(0), 0);
    let written = write(&socket, 48_000);
    let sent = socket.sent(written);
    assert!(sent < written && sent == arrived(&node), "{sent} of {written}");
    node.read_exact(&mut vec![0; written as usize]).unwrap();
    assert_eq!(socket.sent(written), written);
}

/// What the node's program has not read and its system has not acknowledged was sent all the same.
#[tokio::test]
async fn an_acknowledgement_is_not_waited_for() {
    let (socket, _node) = pair().await;
    let mut written = 0;
    while !TcpInfo::of(&*socket).unwrap().has_unacknowledged() {
        written += write(&socket, 20);
        assert_eq!(socket.sent(written), written);
    }
}

/// A system that has sent ten segments waits for an acknowledgement, which a node that reads what comes never delays.
#[tokio::test]
async fn what_a_reading_node_is_written_is_sent_at_once() {
    let (socket, mut node) = pair().await;
    let mut written = 0;
    for _ in 0..1000 {
        written += write(&socket, 20);
        assert_eq!(socket.sent(written), written);
        node.read_exact(&mut [0; 20]).unwrap();
    }
}

/// Small pieces cost the node's system more room than their bytes, so that it drops some that its window let in. The seeds
/// draw the sizes, and for some of them the last piece is dropped. Never does more count as sent than has arrived.
#[tokio::test]
async fn what_the_node_has_no_room_for_and_drops_does_not_count_as_sent() {
    let mut dropped = 0;
    for seed in 0..200 {
        let (socket, mut node) = pair().await;
        let (mut written, mut sizes) = (0, fastrand::Rng::with_seed(seed));
        // The loopback device delivers, or the system drops, before a write returns.
        while arrived(&node) == written {
            written += write(&socket, sizes.usize(1..100));
            assert!(socket.sent(written) <= arrived(&node), "seed {seed}: {written} were written");
        }
        dropped += usize::from(socket.awaits_acknowledgement.get());
        // Its window opens again, and nothing has brought the dropped piece again yet.
        let read = arrived(&node) / 2;
        node.read_exact(&mut vec![0; read as usize]).unwrap();
        let sent = socket.sent(written);
        assert!(sent <= read + arrived(&node), "seed {seed}: {sent} of {written}");
        // Another piece makes its system say what it lacks.
        written += write(&socket, 20);
        node.read_exact(&mut vec![0; (written - read) as usize]).unwrap();
        assert_eq!(socket.sent(written), written, "seed {seed}");
    }
    assert!(dropped > 0, "no seed has anything dropped");
}
