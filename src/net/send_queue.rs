//! What became of the bytes that were written to a socket: whether this system has sent them, and the peer's has them.

use super::closing::ready_now;
use super::tcp_info::TcpInfo;
use crate::clock;
use nix::poll::PollFlags;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// With this as its TCP_NOTSENT_LOWAT (tcp(7)) a socket is writable only once all that was written is sent (bytes).
const ALL_SENT: u32 = 1;
/// With this, a socket has the system's own bound.
const SYSTEM_BOUND: u32 = 0;
/// Beyond so many bytes since all was last seen to be sent, the system is asked without anybody's wish (bytes). It costs
/// a call, which one short answer is not worth.
const ASKED_BEYOND: usize = 4 * 1024;
/// No event tells of an acknowledgement, or of a window that opens: they are looked for so often. A peer delays its
/// acknowledgement by 40 ms.
pub const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What became of all that was written to a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The peer's system has all of it, and room for an end of stream behind it.
    Delivered,
    /// All of it is sent, and nothing says that it was dropped: its acknowledgement is on its way, or delayed.
    InFlight,
    /// Some of it is not sent. The stream is not writable, and becomes writable once all is sent.
    Unsent,
    /// All of it is sent, and the peer's system has no room for it, or for an end of stream behind it, or has not acknowledged
    /// it in time. No event tells when that changes.
    Undelivered,
}

impl Delivery {
    /// Would an end of stream be hidden from the peer, until it reads?
    pub fn is_blocked(self) -> bool {
        matches!(self, Delivery::Unsent | Delivery::Undelivered)
    }
}

/// Follows what became of a socket's bytes, and asks the system only where that matters. TCP_NOTSENT_LOWAT, which has the
/// system tell once all is sent, bounds writes too: it is set only while nothing is written.
#[derive(Debug)]
pub(super) struct SendQueue {
    /// Bytes written since all was seen to be sent.
    unconfirmed: Cell<usize>,
    /// What the system said when it was last asked, if nothing was written since.
    known: Cell<Option<Delivery>>,
    /// When the system had last sent something, when it was last asked (Unix seconds).
    sent_at: Cell<Option<f64>>,
    /// The socket's writes are bounded, and it tells once all is sent.
    bounded: Cell<bool>,
}

impl Default for SendQueue {
    /// For a socket to which nothing was written yet.
    fn default() -> Self {
        SendQueue {
            unconfirmed: Cell::default(),
            known: Cell::new(Some(Delivery::Delivered)),
            sent_at: Cell::default(),
            bounded: Cell::default(),
        }
    }
}

impl SendQueue {
    /// Lets the system take as much as usual. To be called before each write.
    pub(super) fn prepare_write(&self, stream: &TcpStream) {
        if self.bounded.take() {
            let _ = SockRef::from(stream).set_tcp_notsent_lowat(SYSTEM_BOUND);
        }
    }

    /// The system took so many bytes.
    pub(super) fn record_write(&self, bytes: usize) {
        self.unconfirmed.set(self.unconfirmed.get() + bytes);
        self.known.set(None);
    }

    /// What became of all that was written? Asks the system, unless all was found delivered before.
    pub(super) fn delivery(&self, stream: &TcpStream) -> Delivery {
        if self.known.get() == Some(Delivery::Delivered) {
            return Delivery::Delivered;
        }
        let delivery = self.ask(stream);
        self.known.set(Some(delivery));
        if delivery != Delivery::Unsent {
            self.unconfirmed.set(0);
        }
        delivery
    }

    /// When the system last sent something, be it again, as [`SendQueue::delivery`] last found it (Unix seconds, to the system's
    /// tick of 1 to 10 ms); `None` if it was not asked yet.
    pub(super) fn sent_at(&self) -> Option<f64> {
        self.sent_at.get()
    }

    /// Is all that was written sent, and none of it known to be without room at the peer? Asks the system. If it is not so,
    /// [`SendQueue::delivery_changed`] waits for that.
    pub(super) fn is_empty(&self, stream: &TcpStream) -> bool {
        !self.delivery(stream).is_blocked()
    }

    /// Is something known to be unsent, or without room at the peer? Asks the system only where it was found so before, or
    /// much was written since: that nothing is known says little of a few bytes.
    pub(super) fn is_known_unsent(&self, stream: &TcpStream) -> bool {
        let was_blocked = self.known.get().is_some_and(Delivery::is_blocked);
        (was_blocked || self.unconfirmed.get() > ASKED_BEYOND) && !self.is_empty(stream)
    }

    /// Waits until what is not delivered yet may have been: by an event where that comes, else for a while.
    pub(super) async fn delivery_changed(&self, stream: &TcpStream) -> io::Result<()> {
        if self.known.get() == Some(Delivery::Unsent) {
            return stream.writable().await;
        }
        tokio::time::sleep(DELIVERY_CHECK_INTERVAL).await;
        Ok(())
    }

    fn ask(&self, stream: &TcpStream) -> Delivery {
        let mut info = TcpInfo::of(stream);
        // Where the system does not tell, a socket that is not writable does.
        if info.is_none_or(|info| info.has_unsent()) {
            if self.is_unwritable_until_sent(stream) {
                return Delivery::Unsent;
            }
            // It was sent since then.
            info = TcpInfo::of(stream);
        }
        // What is not known to be undelivered counts as delivered.
        let Some(info) = info else { return Delivery::Delivered };
        self.sent_at.set(Some(clock::now() - info.since_last_sent().as_secs_f64()));
        if info.send_window() == 0 {
            return Delivery::Undelivered;
        }
        match info.has_unacknowledged() {
            false => Delivery::Delivered,
            true if info.is_overdue() => Delivery::Undelivered,
            true => Delivery::InFlight,
        }
    }

    /// Has the system tell once all is sent; is there something unsent?
    fn is_unwritable_until_sent(&self, stream: &TcpStream) -> bool {
        if !self.bounded.get() {
            self.bounded.set(SockRef::from(stream).set_tcp_notsent_lowat(ALL_SENT).is_ok());
        }
        let waits = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        let writable = || ready_now(stream, PollFlags::POLLOUT);
        stream.try_io(Interest::WRITABLE, writable).is_err_and(waits)
    }
}

#[cfg(test)]
mod tests;
