//! Tests of `listener.rs`.

use super::{close_listener, listen, prefer_youngest};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A second process of the front binds the address that the first one serves on.
#[tokio::test]
async fn two_listen_at_one_address() {
    let first = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = first.local_addr().unwrap();
    let second = listen(address).expect("a second listener at the same address");
    assert_eq!(second.local_addr().unwrap(), address);
    let plain = std::net::TcpListener::bind(address);
    assert!(plain.is_err(), "one without SO_REUSEPORT is still kept out");
}

/// Clients that connect without a pause while one listener after the other closes beside its successor: none is
/// refused, none is reset.
#[tokio::test]
async fn a_listener_that_closes_beside_its_successor_resets_nobody() {
    use std::io::{Read, Write};
    use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
    const ROUNDS: usize = 150;
    fn greet((mut stream, _): (TcpStream, SocketAddr)) {
        tokio::spawn(async move { stream.write_all(b"!").await });
    }
    async fn serve(old: &TcpListener, new: &TcpListener, ms: u64) {
        let until = tokio::time::Instant::now() + std::time::Duration::from_millis(ms);
        loop {
            tokio::select! {
                Ok(came) = old.accept() => greet(came),
                Ok(came) = new.accept() => greet(came),
                () = tokio::time::sleep_until(until) => return,
            }
        }
    }
    let mut old = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = old.local_addr().unwrap();
    let (ended, asked, lost) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let ask = move || {
        let mut stream = std::net::TcpStream::connect(address)?;
        stream.write_all(b"?")?;
        stream.read_exact(&mut [0])
    };
    let shared = Arc::new((ended, asked, lost));
    let clients: Vec<_> = (0..3)
        .map(|_| {
            let shared = shared.clone();
            std::thread::spawn(move || {
                while !shared.0.load(Relaxed) {
                    shared.1.fetch_add(1, Relaxed);
                    if ask().is_err() {
                        shared.2.fetch_add(1, Relaxed);
                    }
                }
            })
        })
        .collect();
    for _ in 0..ROUNDS {
        let new = listen(address).unwrap();
        serve(&old, &new, 2).await;
        prefer_youngest(&old);
        serve(&old, &new, 10).await;
        close_listener(old).unwrap().into_iter().for_each(greet);
        old = new;
    }
    shared.0.store(true, Relaxed);
    let last = async {
        loop {
            greet(old.accept().await.unwrap());
        }
    };
    let joined = tokio::task::spawn_blocking(move || clients.into_iter().for_each(|c| c.join().unwrap()));
    tokio::select! { () = last => {}, joined = joined => joined.unwrap() }
    let (asked, lost) = (shared.1.load(Relaxed), shared.2.load(Relaxed));
    assert_eq!(lost, 0, "of {asked} connections");
}

/// One that prefers the youngest is given every client, beside an elder one and alone.
#[tokio::test]
async fn the_youngest_listener_is_given_every_client() {
    let elder = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = elder.local_addr().unwrap();
    let younger = listen(address).unwrap();
    prefer_youngest(&younger);
    let take_all = async |listener: &TcpListener| {
        let mut clients = Vec::new();
        for _ in 0..20 {
            clients.push(TcpStream::connect(address).await.unwrap());
            listener.accept().await.unwrap();
        }
    };
    take_all(&younger).await;
    drop(elder);
    take_all(&younger).await;
}
