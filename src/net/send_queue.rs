//! What the system holds of the bytes that were written to a socket and has not sent, since the peer takes no more.

use super::closing::ready_now;
use nix::poll::PollFlags;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// With this as its TCP_NOTSENT_LOWAT (tcp(7)) a socket is writable only once all that was written is sent (bytes).
const ALL_SENT: u32 = 1;
/// With this, a socket has the system's own bound.
const SYSTEM_BOUND: u32 = 0;
/// Beyond so many bytes since all was last seen to be sent, the system is asked without anybody's wish (bytes). It costs
/// two calls, which one short answer is not worth.
const ASKED_BEYOND: usize = 4 * 1024;

/// Follows what the system has sent of a socket's bytes. TCP_NOTSENT_LOWAT tells, which bounds writes too: it is set only
/// while nothing is written.
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    /// Bytes written since all was seen to be sent.
    unconfirmed: Cell<usize>,
    /// The socket's writes are bounded, and it tells once all is sent.
    bounded: Cell<bool>,
}

impl SendQueue {
    /// Lets the system take as much as usual. To be called before each write.
    pub(super) fn before_write(&self, stream: &TcpStream) {
        if self.bounded.take() {
            let _ = SockRef::from(stream).set_tcp_notsent_lowat(SYSTEM_BOUND);
        }
    }

    /// The system took so many bytes.
    pub(super) fn wrote(&self, bytes: usize) {
        self.unconfirmed.set(self.unconfirmed.get() + bytes);
    }

    /// Has the system sent all that was written? Asks it. While it has not, the stream is not writable, and becomes
    /// writable once it has.
    pub(super) fn is_empty(&self, stream: &TcpStream) -> bool {
        if self.unconfirmed.get() == 0 {
            return true;
        }
        if !self.bounded.get() {
            // Where the system refuses it, it is not known what is sent, and all counts as sent.
            self.bounded.set(SockRef::from(stream).set_tcp_notsent_lowat(ALL_SENT).is_ok());
        }
        let waits = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        let writable = || ready_now(stream, PollFlags::POLLOUT);
        let sent = !stream.try_io(Interest::WRITABLE, writable).is_err_and(waits);
        if sent {
            self.unconfirmed.set(0);
        }
        sent
    }

    /// Is something known to be unsent? Asks the system only where it was found unsent before, or much was written since:
    /// that nothing is known says little of a few bytes.
    pub(super) fn is_known_unsent(&self, stream: &TcpStream) -> bool {
        (self.bounded.get() || self.unconfirmed.get() > ASKED_BEYOND) && !self.is_empty(stream)
    }
}

#[cfg(test)]
mod tests;
