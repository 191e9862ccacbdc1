//! Tests of `send_queue.rs`.

use super::{ASKED_BEYOND, Delivery, SendQueue};
use crate::net::tcp_info::TcpInfo;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io::Read;
use std::os::fd::AsFd;
use tokio::net::{TcpListener, TcpStream};

/// A connection's two ends, of which the second reads nothing by itself, and has little room.
async fn pair() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = onyxyoke_stand_ins::scripted::narrow(listener.local_addr().unwrap());
    (listener.accept().await.unwrap().0, peer)
}

#[tokio::test]
async fn what_the_peer_has_no_room_for_is_unsent_until_it_reads() {
    let (stream, mut peer) = pair().await;
    let queue = SendQueue::default();
    let bytes = vec![b'x'; 240_000];
    queue.prepare_write(&stream);
    let written = stream.try_write(&bytes).unwrap();
    queue.record_write(written);
    assert!(!queue.is_empty(&stream));
    assert!(!queue.is_empty(&stream), "nothing has changed");
    // The peer reads all; the runtime is told, without a further look.
    let reading = tokio::task::spawn_blocking(move || {
        peer.read_exact(&mut vec![0; written]).unwrap();
        peer
    });
    stream.writable().await.unwrap();
    assert!(queue.is_empty(&stream));
    drop(reading.await.unwrap());
}

/// While bytes are unsent, more can be written as usual.
#[tokio::test]
async fn a_write_is_not_bounded_by_what_is_unsent() {
    let (stream, _peer) = pair().await;
    let queue = SendQueue::default();
    queue.record_write(stream.try_write(&[b'x'; 100_000]).unwrap());
    assert!(!queue.is_empty(&stream));
    queue.prepare_write(&stream);
    stream.writable().await.unwrap();
    assert_eq!(stream.try_write(&[b'x'; 100_000]).unwrap(), 100_000);
}

/// A short answer costs no look at the socket by itself, and is looked for when somebody asks.
#[tokio::test]
async fn few_bytes_are_looked_for_only_when_it_matters() {
    let (stream, peer) = pair().await;
    let queue = SendQueue::default();
    // As many short answers as the other side has room for, and some behind them.
    while queue.is_empty(&stream) {
        queue.prepare_write(&stream);
        queue.record_write(stream.try_write(&[b'x'; 900]).unwrap());
        assert!(queue.unconfirmed.get() <= ASKED_BEYOND);
        assert!(!queue.is_known_unsent(&stream) && !queue.bounded.get());
    }
    assert!(queue.is_known_unsent(&stream));
    drop(peer);
}

/// Short answers cost the system that receives them more room than their bytes, so that it may have none for one that its window
/// let in: that was sent, was dropped, and is sent again once its program reads. An end behind it is not seen.
#[tokio::test]
async fn what_was_sent_and_dropped_by_the_peer_is_not_taken_for_sent() {
    let mut hidden_ends = Vec::new();
    for seed in 0..200 {
        let (stream, peer) = pair().await;
        stream.set_nodelay(true).unwrap();
        let (queue, mut sizes) = (SendQueue::default(), fastrand::Rng::with_seed(seed));
        let (mut written, mut come) = (0, 0);
        // The loopback device delivers, or the system drops, before a write returns.
        while come == written {
            queue.prepare_write(&stream);
            let n = stream.try_write(&vec![b'x'; sizes.usize(1..100)]).unwrap();
            queue.record_write(n);
            written += n;
            come = peer.peek(&mut [0; 64 * 1024]).unwrap();
        }
        if !queue.is_empty(&stream) {
            continue;
        }
        // What a closer does next, and what the peer can see of it.
        SockRef::from(&stream).shutdown(std::net::Shutdown::Write).unwrap();
        let mut polled = [PollFd::new(peer.as_fd(), PollFlags::from_bits_retain(nix::libc::POLLRDHUP))];
        if poll(&mut polled, PollTimeout::from(500u16)).unwrap() == 0 {
            hidden_ends.push((seed, come, written));
        }
    }
    assert!(hidden_ends.is_empty(), "the end is not seen (seed, bytes come, written): {hidden_ends:?}");
}

/// A narrow socket is full after so many answers that fit its window.
const FITTING_MOST: usize = 1_000;

/// Writes what fits the peer's window, each time once all before is acknowledged, until that is closed: the peer's system has
/// all of it, and no room for an end. How much is that (bytes)?
async fn close_window(queue: &SendQueue, stream: &TcpStream) -> usize {
    let mut written = 0;
    for _ in 0..FITTING_MOST {
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

/// Everything has come, and the window is closed to the byte: an end would wait behind it, although nothing is unsent.
#[tokio::test]
async fn an_end_behind_a_closed_window_is_not_taken_for_visible() {
    let (stream, mut peer) = pair().await;
    stream.set_nodelay(true).unwrap();
    let queue = SendQueue::default();
    let written = close_window(&queue, &stream).await;
    assert_eq!(peer.peek(&mut [0; 64 * 1024]).unwrap(), written, "the harness: something has not come");
    assert_eq!(queue.delivery(&stream), Delivery::Undelivered);
    assert!(queue.is_known_unsent(&stream));
    // The peer reads, and its system says that it has room, which is no event here.
    peer.read_exact(&mut vec![0; written]).unwrap();
    while queue.is_known_unsent(&stream) {
        queue.delivery_changed(&stream).await.unwrap();
    }
    assert_eq!(queue.delivery(&stream), Delivery::Delivered);
}

/// Guards against a wait for an event that does not come, and against one that is over at once and is begun again.
#[tokio::test]
async fn one_without_room_is_looked_at_again_after_a_while_though_its_socket_is_writable() {
    let (stream, _peer) = pair().await;
    stream.set_nodelay(true).unwrap();
    let queue = SendQueue::default();
    close_window(&queue, &stream).await;
    assert!(!queue.is_empty(&stream));
    stream.writable().await.unwrap();
    let waited = std::time::Instant::now();
    queue.delivery_changed(&stream).await.unwrap();
    assert!(waited.elapsed() >= super::DELIVERY_CHECK_INTERVAL, "a busy loop");
}

/// A peer delays its acknowledgement: what it has is not taken for dropped, and is found delivered without its help.
#[tokio::test]
async fn a_delayed_acknowledgement_is_waited_for() {
    let (stream, peer) = pair().await;
    SockRef::from(&peer).set_tcp_quickack(false).unwrap();
    let queue = SendQueue::default();
    queue.prepare_write(&stream);
    queue.record_write(stream.try_write(b"a short answer").unwrap());
    // A machine that is late finds it delivered at once.
    while queue.delivery(&stream) != Delivery::Delivered {
        assert_eq!(queue.delivery(&stream), Delivery::InFlight);
        assert!(queue.is_empty(&stream) && !queue.is_known_unsent(&stream));
        queue.delivery_changed(&stream).await.unwrap();
    }
}

/// Guards against a question on the way of an ordinary answer, which is for those who want to close.
#[tokio::test]
async fn a_short_answer_is_asked_about_by_nobody_else() {
    let (stream, _peer) = pair().await;
    let queue = SendQueue::default();
    queue.prepare_write(&stream);
    queue.record_write(stream.try_write(b"a short answer").unwrap());
    assert!(!queue.is_known_unsent(&stream));
    assert_eq!((queue.known.get(), queue.sent_at()), (None, None));
}
