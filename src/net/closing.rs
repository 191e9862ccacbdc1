//! Closing client connections: a last check for input, the lingering close, and detecting that the peer has
//! closed.

use super::{ClientSocket, ConnectionSlot, Output, SendState};
use crate::clock;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Interval of checks whether a client that is not read from has left (seconds). No attempt may be sent for
/// its requests 0.1 s after it left.
pub const PEER_CHECK_INTERVAL: f64 = 0.05;
/// Time that a connection that may linger waits for its client to read the last answers, before the write
/// side is shut (seconds). Answers that are read later than this are late.
const FLUSH_WINDOW: f64 = 5.0;
/// Time that a lingering connection waits for its client to close, after the write side was shut (seconds).
const LINGER_WINDOW: f64 = 0.5;
/// Limit of the input that a lingering connection discards (bytes).
const LINGER_DISCARD_BYTES: usize = 64 * 1024;
/// Time for which an idle connection may still become readable before it is closed (seconds).
pub(super) const FINAL_READ_WINDOW: f64 = 0.002;

/// Returns whether the peer has closed its side, even if some of its input is still unread.
pub async fn peer_has_closed(stream: &TcpStream) -> io::Result<bool> {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => Ok(ready?.is_read_closed()),
        () = std::future::ready(()) => Ok(false),
    }
}

/// Returns whether input comes on a connection that is about to close. A request may be in the system's
/// buffer although this busy thread has not been notified of it yet; it counts as accepted and must be
/// answered.
pub async fn readable_within_window(stream: &TcpStream) -> bool {
    let until = clock::instant(clock::now() + FINAL_READ_WINDOW);
    timeout_at(until, stream.readable()).await.is_ok()
}

/// Returns whether there is unread input. Asks the system.
pub(super) fn has_input(stream: &TcpStream) -> bool {
    ready_now(stream, PollFlags::POLLIN).is_ok()
}

/// Polls the system whether a socket is ready for these events: [`io::ErrorKind::WouldBlock`] if it is not.
/// The system then notifies the runtime once it is.
pub(super) fn ready_now(stream: &TcpStream, events: PollFlags) -> io::Result<()> {
    let mut polled = [PollFd::new(stream.as_fd(), events)];
    loop {
        match poll(&mut polled, PollTimeout::ZERO) {
            Ok(0) => return Err(io::ErrorKind::WouldBlock.into()),
            Err(Errno::EINTR) => {}
            Ok(_) => return Ok(()),
            Err(e) => return Err(e.into()),
        }
    }
}

/// Performs a lingering close: writes the last answers, shuts the write side once they are sent, and discards
/// input until the client has closed too. Closing with unread input would reset the connection, and the
/// client might lose the last answers.
pub async fn linger(socket: &ClientSocket, slot: &ConnectionSlot, last: &mut Output) {
    slot.begin_close();
    let permit = slot.linger_permit();
    let (flush_window, discard) = match &permit {
        Some(_) => (FLUSH_WINDOW, LINGER_DISCARD_BYTES),
        None => (LINGER_WINDOW, 0),
    };
    // The connection is closed now, whether the client got the answers or not.
    let _ = timeout_at(clock::instant(clock::now() + flush_window), flush(socket, last)).await;
    let by = clock::instant(clock::now() + LINGER_WINDOW);
    let _ = timeout_at(by, shut_and_discard(socket, discard)).await;
}

/// Writes the last answers, and waits until they are sent and the client has room for an end of stream behind
/// them.
async fn flush(socket: &ClientSocket, last: &mut Output) -> io::Result<()> {
    loop {
        last.write_to(socket)?;
        if !last.is_empty() {
            socket.writable().await?;
        } else if socket.delivery().is_blocked() {
            socket.delivery_changed().await?;
        } else {
            return Ok(());
        }
    }
}

/// Shuts the write side, and discards up to `max_bytes` of input until the peer has closed too.
pub async fn shut_and_discard(stream: &TcpStream, max_bytes: usize) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)?;
    let (mut scratch, mut discarded) = ([0; 512], 0);
    while discarded < max_bytes {
        stream.readable().await?;
        match stream.try_read(&mut scratch) {
            Ok(0) => break,
            Ok(n) => discarded += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
