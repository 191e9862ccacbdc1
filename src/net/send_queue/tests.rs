//! Tests of `send_queue.rs`.

use super::{Delivery, MAX_UNQUERIED_BYTES, SendQueue};
use crate::net::tcp_info::TcpInfo;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io::Read;
use std::os::fd::AsFd;
use tokio::net::{TcpListener, TcpStream};

/// Returns the two ends of a connection. The second reads nothing by itself and has a small receive buffer.
async fn connected_pair() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = onyxyoke_stand_ins::scripted::connect_with_small_buffer(listener.local_addr().unwrap());
    (listener.accept().await.unwrap().0, peer)
}

#[tokio::test]
async fn bytes_beyond_the_window_are_unsent_until_the_peer_reads() {
    let (stream, mut peer) = connected_pair().await;
    let queue = SendQueue::default();
    let bytes = vec![b'x'; 240_000];
    queue.prepare_write(&stream);
    let written = stream.try_write(&bytes).unwrap();
    queue.record_write(written);
    assert!(!queue.is_flushed(&stream));
    assert!(!queue.is_flushed(&stream), "nothing has changed");
    // The peer reads everything, and an event reports that all is sent, without another query.
    let reading = tokio::task::spawn_blocking(move || {
        peer.read_exact(&mut vec![0; written]).unwrap();
        peer
    });
    stream.writable().await.unwrap();
    assert!(queue.is_flushed(&stream));
    drop(reading.await.unwrap());
}

/// TCP_NOTSENT_LOWAT, which the query sets while bytes are unsent, does not limit the next write.
#[tokio::test]
async fn a_write_is_not_limited_by_unsent_bytes() {
    let (stream, _peer) = connected_pair().await;
    let queue = SendQueue::default();
    queue.record_write(stream.try_write(&[b'x'; 100_000]).unwrap());
    assert!(!queue.is_flushed(&stream));
    queue.prepare_write(&stream);
    stream.writable().await.unwrap();
    assert_eq!(stream.try_write(&[b'x'; 100_000]).unwrap(), 100_000);
}

/// Short answers cause no query by themselves, but are included when the delivery state is queried.
#[tokio::test]
async fn short_writes_cause_no_query_by_themselves() {
    let (stream, peer) = connected_pair().await;
    let queue = SendQueue::default();
    // As many short answers as the peer has room for, and some more.
    while queue.is_flushed(&stream) {
        queue.prepare_write(&stream);
        queue.record_write(stream.try_write(&[b'x'; 900]).unwrap());
        assert!(queue.unconfirmed.get() <= MAX_UNQUERIED_BYTES);
        assert!(!queue.is_known_unsent(&stream) && !queue.writable_once_sent.get());
    }
    assert!(queue.is_known_unsent(&stream));
    drop(peer);
}

/// Small segments use more of the receive buffer than their bytes, so that the peer's kernel may drop one
/// that its window allowed. It is sent again only after the peer reads, and an end of stream behind it does
/// not arrive before that.
#[tokio::test]
async fn bytes_that_the_peer_dropped_do_not_count_as_flushed() {
    let mut hidden_ends = Vec::new();
    for seed in 0..200 {
        let (stream, peer) = connected_pair().await;
        stream.set_nodelay(true).unwrap();
        let (queue, mut sizes) = (SendQueue::default(), fastrand::Rng::with_seed(seed));
        let (mut written, mut arrived) = (0, 0);
        // The loopback device delivers, or the kernel drops, before a write returns.
        while arrived == written {
            queue.prepare_write(&stream);
            let n = stream.try_write(&vec![b'x'; sizes.usize(1..100)]).unwrap();
            queue.record_write(n);
            written += n;
            arrived = peer.peek(&mut [0; 64 * 1024]).unwrap();
        }
        if !queue.is_flushed(&stream) {
            continue;
        }
        // Close the write side, and check whether the peer sees the end of stream.
        SockRef::from(&stream).shutdown(std::net::Shutdown::Write).unwrap();
        let mut polled = [PollFd::new(peer.as_fd(), PollFlags::from_bits_retain(nix::libc::POLLRDHUP))];
        if poll(&mut polled, PollTimeout::from(500u16)).unwrap() == 0 {
            hidden_ends.push((seed, arrived, written));
        }
    }
    assert!(hidden_ends.is_empty(), "the end is not seen (seed, bytes arrived, written): {hidden_ends:?}");
}

/// Upper bound on the writes that fit the window of a socket with a small receive buffer.
const MAX_FITTING_WRITES: usize = 1_000;

/// Closes the peer's window: writes what fits it, each time after all previous bytes are acknowledged. The
/// peer's kernel then has all bytes, and no room for an end of stream. Returns the number of bytes written.
async fn close_window(queue: &SendQueue, stream: &TcpStream) -> usize {
    let mut written = 0;
    for _ in 0..MAX_FITTING_WRITES {
        while queue.delivery(stream) == Delivery::InFlight {
            queue.delivery_changed(stream).await.unwrap();
        }
        let window = TcpInfo::of(stream).unwrap().send_window();
        if window == 0 {
            return written;
        }
        queue.prepare_write(stream);
        let n = stream.try_write(&vec![b'x'; window.min(4_000) as usize]).unwrap();
        queue.record_write(n);
        written += n;
    }
    panic!("the harness: the window does not close");
}

/// Everything has arrived and the window is exactly full: an end of stream would not be sent, although no
/// byte is unsent.
#[tokio::test]
async fn a_closed_window_counts_as_undelivered() {
    let (stream, mut peer) = connected_pair().await;
    stream.set_nodelay(true).unwrap();
    let queue = SendQueue::default();
    let written = close_window(&queue, &stream).await;
    assert_eq!(peer.peek(&mut [0; 64 * 1024]).unwrap(), written, "the harness: some bytes did not arrive");
    assert_eq!(queue.delivery(&stream), Delivery::Undelivered);
    assert!(queue.is_known_unsent(&stream));
    // The peer reads and announces room, which causes no event here.
    peer.read_exact(&mut vec![0; written]).unwrap();
    while queue.is_known_unsent(&stream) {
        queue.delivery_changed(&stream).await.unwrap();
    }
    assert_eq!(queue.delivery(&stream), Delivery::Delivered);
}

/// With a closed window the socket is writable, so a wait for that event would be a busy loop, and no other
/// event reports the change.
#[tokio::test]
async fn a_closed_window_is_polled_although_the_socket_is_writable() {
    let (stream, _peer) = connected_pair().await;
    stream.set_nodelay(true).unwrap();
    let queue = SendQueue::default();
    close_window(&queue, &stream).await;
    assert!(!queue.is_flushed(&stream));
    stream.writable().await.unwrap();
    let started_at = std::time::Instant::now();
    queue.delivery_changed(&stream).await.unwrap();
    assert!(started_at.elapsed() >= super::DELIVERY_CHECK_INTERVAL, "a busy loop");
}

/// Bytes whose acknowledgement the peer delays do not count as dropped, and are found delivered once it
/// arrives.
#[tokio::test]
async fn a_delayed_acknowledgement_counts_as_in_flight() {
    let (stream, peer) = connected_pair().await;
    SockRef::from(&peer).set_tcp_quickack(false).unwrap();
    let queue = SendQueue::default();
    queue.prepare_write(&stream);
    queue.record_write(stream.try_write(b"a short answer").unwrap());
    // On a slow machine they may be delivered at the first query.
    while queue.delivery(&stream) != Delivery::Delivered {
        assert_eq!(queue.delivery(&stream), Delivery::InFlight);
        assert!(queue.is_flushed(&stream) && !queue.is_known_unsent(&stream));
        queue.delivery_changed(&stream).await.unwrap();
    }
}

/// Only a connection that is about to close needs the delivery state; an ordinary short answer must not cost
/// a system call.
#[tokio::test]
async fn a_short_answer_causes_no_query() {
    let (stream, _peer) = connected_pair().await;
    let queue = SendQueue::default();
    queue.prepare_write(&stream);
    queue.record_write(stream.try_write(b"a short answer").unwrap());
    assert!(!queue.is_known_unsent(&stream));
    assert_eq!((queue.known.get(), queue.sent_at()), (None, None));
}
