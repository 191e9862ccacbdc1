//! A client's socket, shared by the task that serves it and the table of connections, which checks whether it
//! may close.

use super::send_queue::{Delivery, SendQueue};
use std::io::{self, IoSlice};
use std::ops::Deref;
use tokio::net::TcpStream;

/// Tells how far the written answers have reached the client.
pub trait SendState {
    /// Returns what became of all that was written, after asking the system. A client without room for it
    /// cannot see an end of stream behind it.
    fn delivery(&self) -> Delivery;

    /// Returns when the system last sent something, as of the last call of [`SendState::delivery`] that asked
    /// it (Unix seconds); `None` if it was not asked.
    fn sent_at(&self) -> Option<f64>;

    /// Returns whether bytes are known to be unsent or without room at the client. Asks the system only if
    /// much was written, or if bytes were found unsent before.
    fn is_known_unsent(&self) -> bool;
}

/// The socket of one client.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    send_queue: SendQueue,
}

impl ClientSocket {
    /// Wraps a connection to which nothing was written yet.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket { stream, send_queue: SendQueue::default() }
    }

    /// Writes as much as the system accepts without blocking.
    pub fn try_write_vectored(&self, pieces: &[IoSlice<'_>]) -> io::Result<usize> {
        self.send_queue.prepare_write(&self.stream);
        let written = self.stream.try_write_vectored(pieces)?;
        self.send_queue.record_write(written);
        Ok(written)
    }

    /// Waits until bytes that were found undelivered may have been delivered.
    pub async fn delivery_changed(&self) -> io::Result<()> {
        self.send_queue.delivery_changed(&self.stream).await
    }
}

impl SendState for ClientSocket {
    fn delivery(&self) -> Delivery {
        self.send_queue.delivery(&self.stream)
    }

    fn sent_at(&self) -> Option<f64> {
        self.send_queue.sent_at()
    }

    fn is_known_unsent(&self) -> bool {
        self.send_queue.is_known_unsent(&self.stream)
    }
}

impl Deref for ClientSocket {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.stream
    }
}
