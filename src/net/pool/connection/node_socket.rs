//! The socket of a connection to a cache node, and how many of its bytes have been sent.

use crate::net::tcp_info::TcpInfo;
use std::cell::Cell;
use std::ops::Deref;
use tokio::net::TcpStream;

/// The socket of one connection to a cache node.
#[derive(Debug)]
pub(super) struct NodeSocket {
    stream: TcpStream,
    /// The node's kernel dropped bytes that were sent, so that only acknowledged bytes count as sent.
    awaits_acknowledgement: Cell<bool>,
}

impl NodeSocket {
    /// Wraps the socket of an established connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        NodeSocket { stream, awaits_acknowledgement: Cell::new(false) }
    }

    /// Returns how many of the `written` bytes of this connection have left this kernel and were not dropped
    /// by the node's, as far as is known. After a drop, returns 0 until everything is acknowledged. Otherwise
    /// it does not wait for an acknowledgement: a healthy kernel delays it by up to 40 ms, but reports a drop
    /// at once.
    pub(super) fn sent(&self, written: u64) -> u64 {
        // Without TCP_INFO, all that was written counts as sent.
        let Some(info) = TcpInfo::of(&self.stream) else { return written };
        let has_drops = info.is_dropped() || self.awaits_acknowledgement.get();
        let awaits_acknowledgement = has_drops && info.has_unacknowledged();
        self.awaits_acknowledgement.set(awaits_acknowledgement);
        if awaits_acknowledgement {
            return 0;
        }
        written.saturating_sub(u64::from(info.unsent_bytes()))
    }

    /// Makes the connection end with a reset, which reaches the node's kernel even behind a closed window.
    pub(super) fn reset_when_dropped(&self) {
        let _ = self.stream.set_zero_linger();
    }
}

impl Deref for NodeSocket {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.stream
    }
}

#[cfg(test)]
mod tests;
