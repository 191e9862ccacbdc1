//! Tests of `node_socket.rs`.

use super::NodeSocket;
use crate::net::tcp_info::TcpInfo;
use std::io::Read;
use tokio::net::{TcpListener, TcpStream};

/// Returns a node's socket and the node's end of the connection, which has a small receive buffer.
async fn connected_pair() -> (NodeSocket, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = onyxyoke_stand_ins::scripted::connect_with_small_buffer(listener.local_addr().unwrap());
    let stream = listener.accept().await.unwrap().0;
    stream.set_nodelay(true).unwrap();
    (NodeSocket::new(stream), node)
}

/// Returns how many bytes have arrived at the node and are unread.
fn arrived(node: &std::net::TcpStream) -> u64 {
    node.set_nonblocking(true).unwrap();
    let arrived = node.peek(&mut [0; 256 * 1024]).unwrap_or(0);
    node.set_nonblocking(false).unwrap();
    arrived as u64
}

/// Writes so many bytes, and returns how many the socket accepted.
fn write(stream: &TcpStream, length: usize) -> u64 {
    stream.try_write(&vec![b'x'; length]).unwrap() as u64
}

#[tokio::test]
async fn bytes_behind_a_closed_window_are_unsent_until_the_node_reads() {
    let (socket, mut node) = connected_pair().await;
    assert_eq!(socket.sent(0), 0);
    let written = write(&socket, 48_000);
    let sent = socket.sent(written);
    assert!(sent < written && sent == arrived(&node), "{sent} of {written}");
    node.read_exact(&mut vec![0; written as usize]).unwrap();
    assert_eq!(socket.sent(written), written);
}

/// Bytes count as sent although the node's program has not read them and its kernel has not acknowledged
/// them.
#[tokio::test]
async fn unacknowledged_bytes_count_as_sent() {
    let (socket, _node) = connected_pair().await;
    let mut written = 0;
    while !TcpInfo::of(&*socket).unwrap().has_unacknowledged() {
        written += write(&socket, 20);
        assert_eq!(socket.sent(written), written);
    }
}

/// A kernel that has sent ten segments waits for an acknowledgement, which a node that reads its input never
/// delays.
#[tokio::test]
async fn bytes_to_a_reading_node_are_sent_at_once() {
    let (socket, mut node) = connected_pair().await;
    let mut written = 0;
    for _ in 0..1000 {
        written += write(&socket, 20);
        assert_eq!(socket.sent(written), written);
        node.read_exact(&mut [0; 20]).unwrap();
    }
}

/// Small segments use more of the receive buffer than their bytes, so that the node's kernel drops some that
/// its window allowed. Sizes are random; for some seeds the last segment is dropped. Only bytes that have
/// arrived may count as sent.
#[tokio::test]
async fn bytes_that_the_node_drops_do_not_count_as_sent() {
    let mut dropped = 0;
    for seed in 0..200 {
        let (socket, mut node) = connected_pair().await;
        let (mut written, mut sizes) = (0, fastrand::Rng::with_seed(seed));
        // The loopback device delivers, or the kernel drops, before a write returns.
        while arrived(&node) == written {
            written += write(&socket, sizes.usize(1..100));
            assert!(socket.sent(written) <= arrived(&node), "seed {seed}: {written} bytes were written");
        }
        dropped += usize::from(socket.awaits_acknowledgement.get());
        // The node's window opens again; the dropped segment was not resent yet.
        let read = arrived(&node) / 2;
        node.read_exact(&mut vec![0; read as usize]).unwrap();
        let sent = socket.sent(written);
        assert!(sent <= read + arrived(&node), "seed {seed}: {sent} of {written}");
        // Another segment makes the node's kernel report the missing one.
        written += write(&socket, 20);
        node.read_exact(&mut vec![0; (written - read) as usize]).unwrap();
        assert_eq!(socket.sent(written), written, "seed {seed}");
    }
    assert!(dropped > 0, "nothing was dropped for any seed");
}
