//! Tests of `send_queue.rs`.

use super::{ASKED_BEYOND, SendQueue};
use std::io::Read;
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
    queue.before_write(&stream);
    let written = stream.try_write(&bytes).unwrap();
    queue.wrote(written);
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
    queue.wrote(stream.try_write(&[b'x'; 100_000]).unwrap());
    assert!(!queue.is_empty(&stream));
    queue.before_write(&stream);
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
        queue.before_write(&stream);
        queue.wrote(stream.try_write(&[b'x'; 900]).unwrap());
        assert!(queue.unconfirmed.get() <= ASKED_BEYOND);
        assert!(!queue.is_known_unsent(&stream) && !queue.bounded.get());
    }
    assert!(queue.is_known_unsent(&stream));
    drop(peer);
}
