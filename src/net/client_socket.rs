//! A client's socket, shared by the task that serves it and the table of connections, which asks it whether it may close.

use super::send_queue::SendQueue;
use std::io::{self, IoSlice};
use std::ops::Deref;
use tokio::net::TcpStream;

/// Tells whether all that a client was answered has been sent.
pub trait SendState {
    /// Has the system sent all that was written? Asks it. A client that takes no more cannot see an end behind that.
    fn all_sent(&self) -> bool;

    /// Is something known to be unsent? Asks the system only where much was written or something was found unsent before.
    /// While it is so, the socket is not writable, and becomes writable once all is sent.
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
        self.send_queue.before_write(&self.stream);
        let written = self.stream.try_write_vectored(pieces)?;
        self.send_queue.wrote(written);
        Ok(written)
    }
}

impl SendState for ClientSocket {
    fn all_sent(&self) -> bool {
        self.send_queue.is_empty(&self.stream)
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
