//! Tracking of the bytes that were written to a socket: whether this kernel has sent them, and the peer's has
//! received them.

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

/// TCP_NOTSENT_LOWAT (tcp(7)) with which a socket is writable only once all written bytes are sent.
const NOTSENT_LOWAT_ALL_SENT: u32 = 1;
/// TCP_NOTSENT_LOWAT that restores the kernel's own bound.
const NOTSENT_LOWAT_DEFAULT: u32 = 0;
/// Number of unconfirmed bytes up to which [`SendQueue::is_known_unsent`] doesn't query the kernel: one short
/// answer is not worth a system call.
const MAX_UNQUERIED_BYTES: usize = 4 * 1024;
/// Interval at which acknowledgements and the peer's window are polled, since no event reports them. A peer
/// delays its acknowledgement by up to 40 ms.
pub const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The delivery state of all bytes that were written to a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The peer's kernel has all bytes, and room for an end of stream behind them.
    Delivered,
    /// All bytes are sent, and nothing indicates a drop: the acknowledgement is on its way or delayed.
    InFlight,
    /// Some bytes are not sent. The stream is not writable until all are sent.
    Unsent,
    /// All bytes are sent, but the peer's kernel has no room for them or for an end of stream behind them, or
    /// has not acknowledged them in time. No event reports a change of this state.
    Undelivered,
}

impl Delivery {
    /// Returns whether an end of stream would not reach the peer until it reads.
    pub fn is_blocked(self) -> bool {
        matches!(self, Delivery::Unsent | Delivery::Undelivered)
    }
}

/// Tracks the delivery of a socket's written bytes, and queries the kernel only when necessary.
/// TCP_NOTSENT_LOWAT, which makes the socket writable once all bytes are sent, also limits writes, so it is
/// set only while nothing is written.
#[derive(Debug)]
pub(super) struct SendQueue {
    /// Number of bytes written since all bytes were last found to be sent.
    unconfirmed: Cell<usize>,
    /// Result of the last query, if nothing was written since.
    known: Cell<Option<Delivery>>,
    /// When the kernel had last sent data, as of the last query (Unix seconds).
    sent_at: Cell<Option<f64>>,
    /// TCP_NOTSENT_LOWAT is [`NOTSENT_LOWAT_ALL_SENT`].
    writable_once_sent: Cell<bool>,
}

impl Default for SendQueue {
    /// Creates the tracker of a socket to which nothing was written yet.
    fn default() -> Self {
        SendQueue {
            unconfirmed: Cell::default(),
            known: Cell::new(Some(Delivery::Delivered)),
            sent_at: Cell::default(),
            writable_once_sent: Cell::default(),
        }
    }
}

impl SendQueue {
    /// Restores the kernel's bound on unsent bytes. Must be called before each write.
    pub(super) fn prepare_write(&self, stream: &TcpStream) {
        if self.writable_once_sent.take() {
            let _ = SockRef::from(stream).set_tcp_notsent_lowat(NOTSENT_LOWAT_DEFAULT);
        }
    }

    /// Records that the kernel accepted so many bytes.
    pub(super) fn record_write(&self, bytes: usize) {
        self.unconfirmed.set(self.unconfirmed.get() + bytes);
        self.known.set(None);
    }

    /// Returns the delivery state of all written bytes. Queries the kernel unless everything was found
    /// delivered before.
    pub(super) fn delivery(&self, stream: &TcpStream) -> Delivery {
        if self.known.get() == Some(Delivery::Delivered) {
            return Delivery::Delivered;
        }
        let delivery = self.query(stream);
        self.known.set(Some(delivery));
        if delivery != Delivery::Unsent {
            self.unconfirmed.set(0);
        }
        delivery
    }

    /// Returns when the kernel last sent or resent data, as of the last query by [`SendQueue::delivery`]
    /// (Unix seconds, to the kernel's tick of 1 to 10 ms); `None` if there was no query yet.
    pub(super) fn sent_at(&self) -> Option<f64> {
        self.sent_at.get()
    }

    /// Returns whether all written bytes are sent and, as far as is known, the peer has room for them.
    /// Queries the kernel. If it returns false, [`SendQueue::delivery_changed`] waits for a change.
    pub(super) fn is_flushed(&self, stream: &TcpStream) -> bool {
        !self.delivery(stream).is_blocked()
    }

    /// Returns whether written bytes are known to be unsent, or the peer to have no room. Queries the kernel
    /// only if that was found before or many bytes were written since; so false says little about a few
    /// bytes.
    pub(super) fn is_known_unsent(&self, stream: &TcpStream) -> bool {
        let was_blocked = self.known.get().is_some_and(Delivery::is_blocked);
        (was_blocked || self.unconfirmed.get() > MAX_UNQUERIED_BYTES) && !self.is_flushed(stream)
    }

    /// Waits until the delivery state may have changed: for an event if there is one, else for
    /// [`DELIVERY_CHECK_INTERVAL`].
    pub(super) async fn delivery_changed(&self, stream: &TcpStream) -> io::Result<()> {
        if self.known.get() == Some(Delivery::Unsent) {
            return stream.writable().await;
        }
        tokio::time::sleep(DELIVERY_CHECK_INTERVAL).await;
        Ok(())
    }

    /// Queries the kernel for the delivery state.
    fn query(&self, stream: &TcpStream) -> Delivery {
        let mut info = TcpInfo::of(stream);
        // Without TCP_INFO, a socket that is not writable indicates unsent bytes.
        if info.is_none_or(|info| info.has_unsent()) {
            if self.is_unwritable_until_sent(stream) {
                return Delivery::Unsent;
            }
            // The bytes were sent in the meantime.
            info = TcpInfo::of(stream);
        }
        // Without TCP_INFO, sent bytes count as delivered.
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

    /// Makes the socket writable only once all bytes are sent. Returns whether some are unsent.
    fn is_unwritable_until_sent(&self, stream: &TcpStream) -> bool {
        if !self.writable_once_sent.get() {
            let result = SockRef::from(stream).set_tcp_notsent_lowat(NOTSENT_LOWAT_ALL_SENT);
            self.writable_once_sent.set(result.is_ok());
        }
        let would_block = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        let writable = || ready_now(stream, PollFlags::POLLOUT);
        stream.try_io(Interest::WRITABLE, writable).is_err_and(would_block)
    }
}

#[cfg(test)]
mod tests;
