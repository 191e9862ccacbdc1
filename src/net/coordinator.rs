//! The coordinator's feed: connects, tells the last number it has, hands each event to the broker in order,
//! and connects again after a gap, a broken frame or silence. Events come by no other way.

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

/// While a connection is not up, another is tried beside it so much later, and so many wait at most (seconds, count): what
/// was sent to a machine before it came back is not sent again for a second, and one that is slow to take connections
/// takes one in the end.
const ANOTHER: (f64, usize) = (0.35, 4);
/// An empty frame comes each second; without any whole frame for so long the connection is dead (seconds). What the
/// coordinator has to tell counts as told 7 s after it came up: three silent connections in a row are left before that.
const SILENT_AFTER: f64 = 1.75;
/// Mean pause before connecting again (seconds), longer after each failure up to the second. With the chance in it, a
/// coordinator that is back is heard within a second.
const PAUSE: (f64, f64) = (0.05, 0.4);

/// When to connect again. A coordinator that ends cuts all fronts at the same instant: each comes back at one of its own.
struct Backoff {
    mean: f64,
    random: fastrand::Rng,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Backoff { mean: PAUSE.0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Another coordinator is asked: nothing is held against it.
    fn reset(&mut self) {
        self.mean = PAUSE.0;
    }

    /// The pause after a session that brought something, or that did not (seconds).
    fn pause(&mut self, brought: bool) -> f64 {
        self.mean = if brought { PAUSE.0 } else { (2.0 * self.mean).min(PAUSE.1) };
        self.mean * (0.5 + self.random.f64())
    }
}

/// What is read of the feed at once (bytes).
const OWN: usize = 16 * 1024;

/// What to do with a frame.
#[derive(Debug, PartialEq)]
pub enum FrameAction {
    /// Hand it on.
    Deliver(DiscoveryUpdate),
    /// It was had before, or holds nothing.
    Skip,
    /// Something before it is missing: ask again from the last number.
    Reconnect,
}

/// Where the feed stands: the last number had, and whether a gap was met at that number before.
#[derive(Debug, Default)]
pub struct FeedPosition {
    /// Number of the last event that was handed on.
    pub last_number: u64,
    gap: bool,
}

impl FeedPosition {
    /// A feed that goes on after `last`.
    pub fn new(last: u64) -> Self {
        FeedPosition { last_number: last, gap: false }
    }

    /// Another coordinator is asked from now on: what the old one had forgotten it may still have.
    pub fn moved(&mut self) {
        self.gap = false;
    }

    /// Judges a frame. Guards against a lost frame (a purge or a drain never heard of) and against one that
    /// comes twice after a reconnect. A gap that is still there when asked again from the last number will
    /// not close: the coordinator has forgotten what lay in it, and what it does have is taken.
    pub fn advance(&mut self, number: u64, frame: Frame) -> FrameAction {
        match frame {
            Frame::Heartbeat if number <= self.last_number || self.gap => FrameAction::Skip,
            Frame::Event(_) if number <= self.last_number => FrameAction::Skip,
            Frame::Event(news) if number == self.last_number + 1 || self.gap => {
                (self.last_number, self.gap) = (number, false);
                FrameAction::Deliver(news)
            }
            _ => {
                self.gap = true;
                FrameAction::Reconnect
            }
        }
    }
}

/// Follows the coordinator for ever, also to another address: from the last number had, so that no event is
/// missed or heard twice. A session that the change cuts hands on an event at once or not at all.
pub async fn follow(
    address: Rc<Reloadable<SocketAddr>>,
    last: u64,
    seed: u64,
    news: UnboundedSender<DiscoveryUpdate>,
    memory: Ledger,
) {
    let mut feed = FeedPosition::new(last);
    let mut backoff = Backoff::new(seed);
    loop {
        let (before, now) = (feed.last_number, address.get());
        let why = tokio::select! {
            biased;
            () = address.changed() => None,
            ended = session(now, &mut feed, &news, &memory) => Some(match ended {
                Ok(why) => why.to_owned(),
                Err(e) => e.to_string(),
            }),
        };
        if news.is_closed() {
            return;
        }
        let Some(why) = why else {
            feed.moved();
            backoff.reset();
            log!("coordinator {} is followed from {}, no longer {now}", address.get(), feed.last_number);
            continue;
        };
        log!("coordinator {now}: {why}; again from {}", feed.last_number);
        let pause = backoff.pause(feed.last_number > before);
        tokio::select! {
            biased;
            () = address.changed() => {
                feed.moved();
                backoff.reset();
            }
            () = sleep_until(clock::instant(clock::now() + pause)) => {}
        }
    }
}

/// The first connection to come up, or to be refused, of those tried beside each other.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let within = ANOTHER.0 * ANOTHER.1 as f64;
    let (mut tried, mut next_at, mut told) = (JoinSet::new(), clock::now(), false);
    loop {
        let now = clock::now();
        if now >= next_at {
            next_at = now + ANOTHER.0;
            tried.spawn_local(timeout_at(clock::instant(now + within), TcpStream::connect(address)));
        }
        tokio::select! {
            biased;
            Some(ended) = tried.join_next() => match ended {
                Ok(Ok(answered)) => return answered,
                Ok(Err(_)) if told => {}
                Ok(Err(_)) => {
                    told = true;
                    log!("coordinator {address}: no connection in {within} s; tried on");
                }
                Err(e) => return Err(std::io::Error::other(e)),
            },
            () = sleep_until(clock::instant(next_at)) => {}
        }
    }
}

/// One connection, until it fails; says why.
async fn session(
    address: SocketAddr,
    feed: &mut FeedPosition,
    news: &UnboundedSender<DiscoveryUpdate>,
    memory: &Ledger,
) -> std::io::Result<&'static str> {
    let mut stream = connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&feed.last_number.to_be_bytes()).await?;
    // News are more precious than anything they could push out: no list or purge is missed for want of memory.
    let holder = AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Learned) };
    let mut buffer = Buffer::new(OWN, memory.empty_grant(holder));
    let mut silent_at = clock::instant(clock::now() + SILENT_AFTER);
    loop {
        let Ok(ready) = timeout_at(silent_at, stream.readable()).await else { return Ok("silence") };
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
                Err(ProtocolError(why)) => return Ok(why),
            };
            buffer.consume(used);
            silent_at = clock::instant(clock::now() + SILENT_AFTER);
            match feed.advance(number, frame) {
                FrameAction::Deliver(event) => {
                    if news.send(event).is_err() {
                        return Ok("the broker has ended");
                    }
                }
                FrameAction::Skip => {}
                FrameAction::Reconnect => return Ok("a gap in the numbers"),
            }
        }
    }
}

#[cfg(test)]
mod tests;
