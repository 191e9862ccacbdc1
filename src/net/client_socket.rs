//! A client's socket, shared by the task that serves it and the table of connections, which asks it whether it may close.

use super::send_queue::{Delivery, SendQueue};
use std::io::{self, IoSlice};
use std::ops::Deref;
use tokio::net::TcpStream;

/// Tells whether a client has what it was answered.
pub trait SendState {
    /// What became of all that was written? Asks the system. A client without room cannot see an end behind that.
    fn delivery(&self) -> Delivery;

    /// When the system last sent something, as the last question for it told (Unix seconds); `None` if it was not asked.
    fn sent_at(&self) -> Option<f64>;

    /// Is something known to be unsent, or without room at the client? Asks the system only where much was written or that
    /// was found before.
    fn is_known_unsent(&self) -> bool;
}

/// The socket of one client.
#[derive(Debug)]
pub struct ClientSocket {
    stream: TcpStream,
    send_queue: SendQueue,
}

impl ClientSocket {
    /// The socket of a connection to which nothing was written yet.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket { stream, send_queue: SendQueue::default() }
    }

    /// Writes what the system takes without waiting.
    pub fn try_write_vectored(&self, pieces: &[IoSlice<'_>]) -> io::Result<usize> {
        self.send_queue.prepare_write(&self.stream);
        let written = self.stream.try_write_vectored(pieces)?;
        self.send_queue.record_write(written);
        Ok(written)
    }

    /// Waits until what was found to be undelivered may have been delivered.
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
