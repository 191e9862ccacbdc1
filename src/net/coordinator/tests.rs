//! Tests of `coordinator.rs`.

use super::*;
use crate::memory::Ledger;
use onyxyoke_stand_ins::scripted::UnresponsiveClient;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

/// Guards a coordinator that has just come up against all fronts in the same instant, and news against pauses that
/// are long.
#[test]
fn a_fleet_that_was_cut_together_comes_back_spread_out() {
    let mut fleet: Vec<Backoff> = (0..100).map(Backoff::new).collect();
    for failures in 0..8 {
        let mut at: Vec<f64> = fleet.iter_mut().map(|b| b.pause(failures == 0)).collect();
        at.sort_by(f64::total_cmp);
        let mean = (PAUSE.0 * f64::from(1 << failures)).min(PAUSE.1);
        assert!(at[0] >= 0.5 * mean && at[99] <= 1.5 * mean, "{at:?}");
        let crowd = |t: f64| at.iter().filter(|&&x| x >= t && x < t + 0.1 * mean).count();
        let most = at.iter().map(|&t| crowd(t)).max().unwrap();
        assert!(most <= 25, "{most} of 100 within a tenth of the pause");
    }
    assert!(fleet.iter_mut().all(|b| b.pause(true) <= 1.5 * PAUSE.0), "soon again once it spoke");
}

/// Follows this address, and gives what the test makes of the news.
fn following<T, F: Future<Output = T>>(
    address: SocketAddr,
    test: impl FnOnce(UnboundedReceiver<DiscoveryUpdate>) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (news, heard) = unbounded_channel();
        tokio::task::spawn_local(follow(Reloadable::new(address), 3, 1, news, Ledger::unlimited()));
        tokio::time::timeout(Duration::from_secs(30), test(heard))
            .await
            .expect("what the test waits for comes")
    })
}

/// A purge of the group with this number, as a frame.
fn purge(number: u64) -> Vec<u8> {
    [&19u32.to_be_bytes()[..], &number.to_be_bytes(), &[4], &7u16.to_be_bytes(), &1u64.to_be_bytes()].concat()
}

/// The number from which a connection asks.
async fn asks(stream: &mut TcpStream) -> u64 {
    let mut last = [0; 8];
    tokio::io::AsyncReadExt::read_exact(stream, &mut last).await.unwrap();
    u64::from_be_bytes(last)
}

/// Discovery whose machine takes no connection for a while, and then does: what it has to tell is heard soon after, whenever
/// that is, though what was sent to it before was passed over in silence.
#[test]
fn a_coordinator_that_is_back_is_heard_well_within_a_second() {
    let runs = [0.1, 0.45, 1.2, 2.3].map(|down| {
        std::thread::spawn(move || {
            let deaf = UnresponsiveClient::new();
            following(deaf.address(), |mut heard| async move {
                // For so long it is down; what follows holds for any time.
                tokio::time::sleep(Duration::from_secs_f64(down)).await;
                let back = Instant::now();
                let listener = deaf.hears();
                listener.set_nonblocking(true).unwrap();
                let listener = TcpListener::from_std(listener).unwrap();
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let mut last = [0; 8];
                    if tokio::io::AsyncReadExt::read_exact(&mut stream, &mut last).await.is_ok() {
                        stream.write_all(&purge(4)).await.unwrap();
                        assert!(matches!(heard.recv().await, Some(DiscoveryUpdate::Purge { .. })));
                        return back.elapsed().as_secs_f64();
                    }
                }
            })
        })
    });
    for run in runs {
        let took = run.join().unwrap();
        assert!(took < 0.75, "heard {took} s after it was back");
    }
}

/// Watches that fall silent one after the other, after half a frame or after none: a drain or purge that came up as the
/// first fell silent is heard from the fourth before it counts as told.
#[test]
fn three_silent_watches_are_left_before_an_event_counts_as_told() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    following(listener.local_addr().unwrap(), |mut heard| async move {
        let listener = TcpListener::from_std(listener).unwrap();
        let began = Instant::now();
        let mut silent = Vec::new();
        for half in [19, 0, 1] {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(asks(&mut stream).await, 3, "half an event was not had");
            stream.write_all(&purge(4)[..half]).await.unwrap();
            silent.push(stream);
        }
        let (mut fourth, _) = listener.accept().await.unwrap();
        assert_eq!(asks(&mut fourth).await, 3);
        fourth.write_all(&purge(4)).await.unwrap();
        assert!(matches!(heard.recv().await, Some(DiscoveryUpdate::Purge { .. })));
        assert!(began.elapsed() < Duration::from_secs(7), "{:?}", began.elapsed());
        // The silent ones are left: what comes on them late is nobody's.
        for mut stream in silent {
            let _ = stream.write_all(&purge(5)).await;
        }
        fourth.write_all(&purge(4)).await.unwrap();
        fourth.write_all(&purge(5)).await.unwrap();
        assert!(heard.recv().await.is_some());
        assert!(heard.try_recv().is_err(), "each once");
    });
}
