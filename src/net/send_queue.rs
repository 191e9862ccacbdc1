//! What the system holds of the bytes that were written to a socket and has not sent, since the peer takes no more.

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io;
use std::os::fd::AsFd;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// With this as its TCP_NOTSENT_LOWAT (tcp(7)) a socket is writable only once all that was written is sent (bytes).
const ALL_SENT: u32 = 1;
/// With this, a socket has the system's own bound.
const SYSTEM_BOUND: u32 = 0;
/// So few bytes fit any window: they are sent unless more waits before them (bytes).
const SENT_AT_ONCE: usize = 4 * 1024;

/// Follows what the system has sent of a socket's bytes. TCP_NOTSENT_LOWAT tells, which bounds writes too: it is set only
/// while nothing is written.
#[derive(Default)]
pub(super) struct SendQueue {
    /// Bytes written since all was known to be sent.
    unconfirmed: usize,
    /// The socket's writes are bounded.
    bounded: bool,
}

impl SendQueue {
    /// Lets the system take as much as usual. To be called before each write.
    pub(super) fn before_write(&mut self, stream: &TcpStream) {
        if std::mem::take(&mut self.bounded) {
            let _ = SockRef::from(stream).set_tcp_notsent_lowat(SYSTEM_BOUND);
        }
    }

    /// The system took so many bytes.
    pub(super) fn wrote(&mut self, bytes: usize) {
        self.unconfirmed += bytes;
    }

    /// Has the system sent all that was written? While it has not, the stream is not writable, and becomes writable once
    /// it has.
    pub(super) fn is_empty(&mut self, stream: &TcpStream) -> bool {
        if self.unconfirmed <= SENT_AT_ONCE {
            return true;
        }
        if !self.bounded {
            // Where the system refuses it, it is not known what is sent, and all counts as sent.
            self.bounded = SockRef::from(stream).set_tcp_notsent_lowat(ALL_SENT).is_ok();
        }
        let waits = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        let sent = !stream.try_io(Interest::WRITABLE, || writable_now(stream)).is_err_and(waits);
        if sent {
            self.unconfirmed = 0;
        }
        sent
    }
}

/// Asks the system itself; where the socket is not writable, that has it tell the runtime once it is.
fn writable_now(stream: &TcpStream) -> io::Result<()> {
    let mut polled = [PollFd::new(stream.as_fd(), PollFlags::POLLOUT)];
    loop {
        match poll(&mut polled, PollTimeout::ZERO) {
            Ok(0) => return Err(io::ErrorKind::WouldBlock.into()),
            Err(Errno::EINTR) => {}
            Ok(_) => return Ok(()),
            Err(e) => return Err(e.into()),
        }
    }
}

#[cfg(test)]
mod tests;
