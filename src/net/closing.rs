//! How a client connection closes: one last look for input, a lingering close, and seeing that the other side has closed.

use super::{ConnectionSlot, Output};
use crate::clock;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// A client that is not read from is looked at so often (seconds). What its departure leaves to be sent is not to be sent
/// on 0.1 s later.
pub const PEER_CHECK_INTERVAL: f64 = 0.05;
/// A lingering close writes the last answers for so long (seconds).
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
    timeout_at(clock::instant(clock::now() + FINAL_READ_WINDOW), stream.readable()).await.is_ok()
}

/// A lingering close: writes the last answers, shuts the write side, and discards what still comes until the client has
/// closed too. Closing with bytes unread would reset the connection, and the client might lose what it was sent last.
pub async fn linger(stream: &mut TcpStream, slot: &ConnectionSlot, last: &mut Output) {
    let permit = slot.linger();
    let discard = if permit.is_some() { LINGER_DISCARD } else { 0 };
    let by = clock::instant(clock::now() + LINGER_WINDOW);
    let closing = async {
        while !last.is_empty() {
            stream.writable().await?;
            last.write_to(stream)?;
        }
        shut_and_discard(stream, discard).await
    };
    // Whether the client got them or not, the connection is closed now.
    let _ = timeout_at(by, closing).await;
}

/// Shuts the write side, and discards up to so many bytes of what still comes until the other side has closed too.
pub async fn shut_and_discard(stream: &mut TcpStream, most: usize) -> io::Result<()> {
    stream.shutdown().await?;
    let (mut rest, mut discarded) = ([0; 512], 0);
    while discarded < most {
        match stream.read(&mut rest).await? {
            0 => break,
            n => discarded += n,
        }
    }
    Ok(())
}
