//! Tests of `coordinator.rs`.

use super::*;
use crate::memory::Ledger;
use onyxyoke_stand_ins::scripted::UnresponsiveServer;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

/// Guards against all fronts reconnecting to a coordinator at the same moment after it restarts, and against
/// delays that hold up its events.
#[test]
fn reconnects_of_a_fleet_that_was_cut_together_are_spread_out() {
    let mut fleet: Vec<Backoff> = (0..100).map(Backoff::new).collect();
    for failures in 0..8 {
        let mut delays: Vec<f64> = fleet.iter_mut().map(|b| b.next_delay(failures == 0)).collect();
        delays.sort_by(f64::total_cmp);
        let mean = (MIN_BACKOFF * f64::from(1 << failures)).min(MAX_BACKOFF);
        assert!(delays[0] >= 0.5 * mean && delays[99] <= 1.5 * mean, "{delays:?}");
        let crowd = |t: f64| delays.iter().filter(|&&x| x >= t && x < t + 0.1 * mean).count();
        let most = delays.iter().map(|&t| crowd(t)).max().unwrap();
        assert!(most <= 25, "{most} of 100 within a tenth of the mean delay");
    }
    assert!(fleet.iter_mut().all(|b| b.next_delay(true) <= 1.5 * MIN_BACKOFF), "short again after progress");
}

/// Follows the coordinator at this address, and returns what the test makes of its events.
fn with_feed<T, F: Future<Output = T>>(
    address: SocketAddr,
    test: impl FnOnce(UnboundedReceiver<DiscoveryUpdate>) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (updates, events) = unbounded_channel();
        tokio::task::spawn_local(follow(Reloadable::new(address), 3, 1, updates, Ledger::unlimited()));
        tokio::time::timeout(Duration::from_secs(30), test(events))
            .await
            .expect("what the test waits for comes")
    })
}

/// A purge of the group with this number, as a frame.
fn purge(number: u64) -> Vec<u8> {
    [&19u32.to_be_bytes()[..], &number.to_be_bytes(), &[4], &7u16.to_be_bytes(), &1u64.to_be_bytes()].concat()
}

/// Reads the number after which a connection requests events.
async fn requested_after(stream: &mut TcpStream) -> u64 {
    let mut last = [0; 8];
    tokio::io::AsyncReadExt::read_exact(stream, &mut last).await.unwrap();
    u64::from_be_bytes(last)
}

/// A coordinator whose machine drops connection requests for a while, and then accepts them: its events come
/// soon after, whenever that is, although the packets sent to it before are lost.
#[test]
fn events_come_well_within_a_second_after_a_coordinator_is_back() {
    let runs = [0.1, 0.45, 1.2, 2.3].map(|down| {
        std::thread::spawn(move || {
            let machine = UnresponsiveServer::new();
            with_feed(machine.address(), |mut events| async move {
                // The time for which it is down; the bound holds for any.
                tokio::time::sleep(Duration::from_secs_f64(down)).await;
                let back = Instant::now();
                let listener = machine.accept_connections();
                listener.set_nonblocking(true).unwrap();
                let listener = TcpListener::from_std(listener).unwrap();
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let mut last = [0; 8];
                    if tokio::io::AsyncReadExt::read_exact(&mut stream, &mut last).await.is_ok() {
                        stream.write_all(&purge(4)).await.unwrap();
                        assert!(matches!(events.recv().await, Some(DiscoveryUpdate::Purge { .. })));
                        return back.elapsed().as_secs_f64();
                    }
                }
            })
        })
    });
    for run in runs {
        let took = run.join().unwrap();
        assert!(took < 0.75, "{took} s after it was back");
    }
}

/// Three connections stall one after the other, with an incomplete frame or none. A drain or purge that
/// arises as the first stalls must come from the fourth before it counts as delivered.
#[test]
fn three_stalled_connections_are_left_before_an_event_counts_as_delivered() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    with_feed(listener.local_addr().unwrap(), |mut events| async move {
        let listener = TcpListener::from_std(listener).unwrap();
        let began = Instant::now();
        let mut stalled = Vec::new();
        for sent in [19, 0, 1] {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(requested_after(&mut stream).await, 3, "an incomplete event was not delivered");
            stream.write_all(&purge(4)[..sent]).await.unwrap();
            stalled.push(stream);
        }
        let (mut fourth, _) = listener.accept().await.unwrap();
        assert_eq!(requested_after(&mut fourth).await, 3);
        fourth.write_all(&purge(4)).await.unwrap();
        assert!(matches!(events.recv().await, Some(DiscoveryUpdate::Purge { .. })));
        assert!(began.elapsed() < Duration::from_secs(7), "{:?}", began.elapsed());
        // The stalled connections are closed: events that come on them late are ignored.
        for mut stream in stalled {
            let _ = stream.write_all(&purge(5)).await;
        }
        fourth.write_all(&purge(4)).await.unwrap();
        fourth.write_all(&purge(5)).await.unwrap();
        assert!(events.recv().await.is_some());
        assert!(events.try_recv().is_err(), "each event once");
    });
}
