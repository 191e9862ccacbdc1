//! The coordinator's feed: connects, sends the number of the last event it has, passes each event to the
//! broker in order, and reconnects after a gap, an invalid frame or a heartbeat timeout. Where a coordinator
//! is configured, events come by no other way.

use super::frames::{self, Frame};
use super::{Buffer, ProtocolError, Reloadable};
use crate::broker::DiscoveryUpdate;
use crate::memory::{AccountOwner, Ledger, Purpose};
use crate::{clock, log};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at};

/// Interval at which another connection is tried beside those that are being established (seconds): TCP
/// repeats a SYN to a machine that was down only after a second.
const CONNECT_INTERVAL: f64 = 0.35;
/// Limit of connections being established at once; each is given up after this many intervals, so that a
/// coordinator that is slow to accept still gets one through.
const MAX_CONNECTS: usize = 4;
/// A connection without a complete frame for this long is dead (seconds); a heartbeat comes each second.
/// Events count as delivered 7 s after they arise: three connections that stall one after the other are given
/// up before that.
const HEARTBEAT_TIMEOUT: f64 = 1.75;
/// Mean delay before reconnecting after a session that brought events (seconds).
const MIN_BACKOFF: f64 = 0.05;
/// Largest mean delay, after sessions that brought none (seconds). Even with jitter, a coordinator that is
/// back is reached within a second.
const MAX_BACKOFF: f64 = 0.4;
/// Size of the read buffer (bytes).
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Exponential backoff with jitter: a coordinator that ends cuts the connections of all fronts at the same
/// moment, and they must not all reconnect together.
struct Backoff {
    /// Mean of the last delay (seconds).
    mean: f64,
    random: fastrand::Rng,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Backoff { mean: MIN_BACKOFF, random: fastrand::Rng::with_seed(seed) }
    }

    /// Starts anew, for another coordinator.
    fn reset(&mut self) {
        self.mean = MIN_BACKOFF;
    }

    /// Returns the delay after a session; `made_progress` tells whether it brought events (seconds).
    fn next_delay(&mut self, made_progress: bool) -> f64 {
        self.mean = if made_progress { MIN_BACKOFF } else { (2.0 * self.mean).min(MAX_BACKOFF) };
        self.mean * (0.5 + self.random.f64())
    }
}

/// What to do with a frame.
#[derive(Debug, PartialEq)]
pub enum FrameAction {
    /// Pass the event to the broker.
    Deliver(DiscoveryUpdate),
    /// Ignore it: the event was delivered before, or the frame is a heartbeat.
    Skip,
    /// An event before it is missing: reconnect, and request the events after the last number.
    Reconnect,
}

/// The position in the feed: the number of the last event, and whether there was a gap after it.
#[derive(Debug, Default)]
pub struct FeedPosition {
    /// Number of the last event that was delivered.
    pub last_number: u64,
    /// The last session ended at a gap after that event.
    gap: bool,
}

impl FeedPosition {
    /// The position after the event `last_number`.
    pub fn new(last_number: u64) -> Self {
        FeedPosition { last_number, gap: false }
    }

    /// Notes that another coordinator is followed from now on, which may still have the events in a gap.
    pub fn change_coordinator(&mut self) {
        self.gap = false;
    }

    /// Decides about a frame, and advances past an event that is delivered. Guards against a missed event (a
    /// purge or a drain) and against one that comes twice after a reconnect. A gap that is still there after
    /// a reconnect is permanent, since the coordinator no longer has the events in it: those that it has are
    /// delivered.
    pub fn advance(&mut self, number: u64, frame: Frame) -> FrameAction {
        match frame {
            Frame::Heartbeat if number <= self.last_number || self.gap => FrameAction::Skip,
            Frame::Event(_) if number <= self.last_number => FrameAction::Skip,
            Frame::Event(event) if number == self.last_number + 1 || self.gap => {
                (self.last_number, self.gap) = (number, false);
                FrameAction::Deliver(event)
            }
            _ => {
                self.gap = true;
                FrameAction::Reconnect
            }
        }
    }
}

/// Follows the coordinator until the broker ends, also across changes of its address: each session resumes
/// after the last event, so that none is missed or delivered twice. A session that is cut by a change of
/// address has delivered an event completely or not at all.
pub async fn follow(
    address: Rc<Reloadable<SocketAddr>>,
    last: u64,
    seed: u64,
    updates: UnboundedSender<DiscoveryUpdate>,
    memory: Ledger,
) {
    let mut feed = FeedPosition::new(last);
    let mut backoff = Backoff::new(seed);
    loop {
        let (last_before, server) = (feed.last_number, address.get());
        let reason = tokio::select! {
            biased;
            () = address.changed() => None,
            ended = session(server, &mut feed, &updates, &memory) => Some(match ended {
                Ok(reason) => reason.to_owned(),
                Err(e) => e.to_string(),
            }),
        };
        if updates.is_closed() {
            return;
        }
        let Some(reason) = reason else {
            feed.change_coordinator();
            backoff.reset();
            let last_number = feed.last_number;
            log!("coordinator {} replaces {server}; resuming after event {last_number}", address.get());
            continue;
        };
        log!("coordinator {server}: {reason}; reconnecting after event {}", feed.last_number);
        let delay = backoff.next_delay(feed.last_number > last_before);
        tokio::select! {
            biased;
            () = address.changed() => {
                feed.change_coordinator();
                backoff.reset();
            }
            () = sleep_until(clock::instant(clock::now() + delay)) => {}
        }
    }
}

/// Returns the first connection to be established, or to be refused, of several attempts at once.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let timeout = CONNECT_INTERVAL * MAX_CONNECTS as f64;
    let (mut attempts, mut next_at, mut timeout_logged) = (JoinSet::new(), clock::now(), false);
    loop {
        let now = clock::now();
        if now >= next_at {
            next_at = now + CONNECT_INTERVAL;
            attempts.spawn_local(timeout_at(clock::instant(now + timeout), TcpStream::connect(address)));
        }
        tokio::select! {
            biased;
            Some(ended) = attempts.join_next() => match ended {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) if timeout_logged => {}
                Ok(Err(_)) => {
                    timeout_logged = true;
                    log!("coordinator {address}: no connection in {timeout} s; still trying");
                }
                Err(e) => return Err(std::io::Error::other(e)),
            },
            () = sleep_until(clock::instant(next_at)) => {}
        }
    }
}

/// Serves one connection until it ends, and returns the reason.
async fn session(
    address: SocketAddr,
    feed: &mut FeedPosition,
    updates: &UnboundedSender<DiscoveryUpdate>,
    memory: &Ledger,
) -> std::io::Result<&'static str> {
    let mut stream = connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&feed.last_number.to_be_bytes()).await?;
    // Events matter more than any other use of the reserve: no list or purge may be missed for lack of
    // memory.
    let owner = AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Learned) };
    let mut buffer = Buffer::new(READ_BUFFER_BYTES, memory.empty_grant(owner));
    let mut dead_at = clock::instant(clock::now() + HEARTBEAT_TIMEOUT);
    loop {
        let Ok(ready) = timeout_at(dead_at, stream.readable()).await else { return Ok("heartbeat timeout") };
        ready?;
        match buffer.read_from(&stream) {
            Ok(0) => return Ok("connection closed"),
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(e) => return Err(e),
        }
        loop {
            let (number, frame, used) = match frames::parse(buffer.bytes()) {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(ProtocolError(reason)) => return Ok(reason),
            };
            buffer.consume(used);
            dead_at = clock::instant(clock::now() + HEARTBEAT_TIMEOUT);
            match feed.advance(number, frame) {
                FrameAction::Deliver(event) => {
                    if updates.send(event).is_err() {
                        return Ok("the broker has ended");
                    }
                }
                FrameAction::Skip => {}
                FrameAction::Reconnect => return Ok("a gap in the event numbers"),
            }
        }
    }
}

#[cfg(test)]
mod tests;
