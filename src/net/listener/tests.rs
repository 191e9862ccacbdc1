//! Tests of `listener.rs`.

use super::{close_listener, listen, prefer_youngest};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A second process of the front binds the address that the first one listens on.
#[tokio::test]
async fn two_processes_listen_at_one_address() {
    let first = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = first.local_addr().unwrap();
    let second = listen(address).expect("a second listener at the same address");
    assert_eq!(second.local_addr().unwrap(), address);
    let plain = std::net::TcpListener::bind(address);
    assert!(plain.is_err(), "a listener without SO_REUSEPORT is still rejected");
}

/// Clients connect without a pause while one listener after the other closes beside its successor. Guards
/// against connections that are refused or reset.
#[tokio::test]
async fn a_listener_that_closes_beside_its_successor_resets_no_connection() {
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
                Ok(accepted) = old.accept() => greet(accepted),
                Ok(accepted) = new.accept() => greet(accepted),
                () = tokio::time::sleep_until(until) => return,
            }
        }
    }
    let mut old = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = old.local_addr().unwrap();
    let (ended, connects, failures) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let connect = move || {
        let mut stream = std::net::TcpStream::connect(address)?;
        stream.write_all(b"?")?;
        stream.read_exact(&mut [0])
    };
    let shared = Arc::new((ended, connects, failures));
    let clients: Vec<_> = (0..3)
        .map(|_| {
            let shared = shared.clone();
            std::thread::spawn(move || {
                while !shared.0.load(Relaxed) {
                    shared.1.fetch_add(1, Relaxed);
                    if connect().is_err() {
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
    let (connects, failures) = (shared.1.load(Relaxed), shared.2.load(Relaxed));
    assert_eq!(failures, 0, "of {connects} connections");
}

/// After a call of `prefer_youngest`, the younger listener gets every client, both beside the older one and
/// alone.
#[tokio::test]
async fn the_youngest_listener_gets_every_client() {
    let older = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = older.local_addr().unwrap();
    let younger = listen(address).unwrap();
    prefer_youngest(&younger);
    let accept_all = async |listener: &TcpListener| {
        let mut clients = Vec::new();
        for _ in 0..20 {
            clients.push(TcpStream::connect(address).await.unwrap());
            listener.accept().await.unwrap();
        }
    };
    accept_all(&younger).await;
    drop(older);
    accept_all(&younger).await;
}
