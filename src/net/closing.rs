//! How a client connection closes: one last look for input, a lingering close, and seeing that the other side has closed.

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

/// A client that is not read from is looked at so often (seconds). What its departure leaves to be sent is not to be sent
/// on 0.1 s later.
pub const PEER_CHECK_INTERVAL: f64 = 0.05;
/// Before its write side is shut, a connection that may linger waits so long for its client to take the last answers
/// (seconds). What is taken later than this is late.
const FLUSH_WINDOW: f64 = 5.0;
/// After its write side was shut, a lingering connection waits so long for its client to close (seconds).
const LINGER_WINDOW: f64 = 0.5;
/// It discards so many bytes of what still comes (bytes).
const LINGER_DISCARD: usize = 64 * 1024;
/// Before an idle connection is closed, it may still be read from for so long (seconds).
pub(super) const FINAL_READ_WINDOW: f64 = 0.002;

/// Has the other side closed, whatever of what it sent is still unread?
pub async fn peer_has_closed(stream: &TcpStream) -> io::Result<bool> {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => Ok(ready?.is_read_closed()),
        () = std::future::ready(()) => Ok(false),
    }
}

/// Does something come on a connection that is about to close? Guards a request that lies in the system's buffer and of
/// which this busy thread has not been told: it was taken, and is owed an answer.
pub async fn readable_within_window(stream: &TcpStream) -> bool {
    let until = clock::instant(clock::now() + FINAL_READ_WINDOW);
    timeout_at(until, stream.readable()).await.is_ok()
}

/// Has something come that was not read? Asks the system.
pub(super) fn has_input(stream: &TcpStream) -> bool {
    ready_now(stream, PollFlags::POLLIN).is_ok()
}

/// Asks the system itself whether a socket is ready for this: [`io::ErrorKind::WouldBlock`] if it is not. Has the system
/// tell the runtime once it is.
pub(super) fn ready_now(stream: &TcpStream, wanted: PollFlags) -> io::Result<()> {
    let mut polled = [PollFd::new(stream.as_fd(), wanted)];
    loop {
        match poll(&mut polled, PollTimeout::ZERO) {
            Ok(0) => return Err(io::ErrorKind::WouldBlock.into()),
            Err(Errno::EINTR) => {}
            Ok(_) => return Ok(()),
            Err(e) => return Err(e.into()),
        }
    }
}

/// A lingering close: writes the last answers, shuts the write side once they are sent, and discards what still comes until
/// the client has closed too. Closing with bytes unread would reset the connection, and the client might lose what it was
/// sent last.
pub async fn linger(socket: &ClientSocket, slot: &ConnectionSlot, last: &mut Output) {
    slot.begin_close();
    let permit = slot.linger();
    let (flush_window, discard) = match &permit {
        Some(_) => (FLUSH_WINDOW, LINGER_DISCARD),
        None => (LINGER_WINDOW, 0),
    };
    // Whether the client got them or not, the connection is closed now.
    let _ = timeout_at(clock::instant(clock::now() + flush_window), flush(socket, last)).await;
    let by = clock::instant(clock::now() + LINGER_WINDOW);
    let _ = timeout_at(by, shut_and_discard(socket, discard)).await;
}

/// Writes the last answers, and waits until the system has sent them and the client's has room for an end behind them.
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

/// Shuts the write side, and discards up to so many bytes of what still comes until the other side has closed too.
pub async fn shut_and_discard(stream: &TcpStream, most: usize) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)?;
    let (mut rest, mut discarded) = ([0; 512], 0);
    while discarded < most {
        stream.readable().await?;
        match stream.try_read(&mut rest) {
            Ok(0) => break,
            Ok(n) => discarded += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
