//! The socket of a connection to a cache node, which tells how many of its bytes have reached the node's system.

use crate::net::tcp_info::TcpInfo;
use std::cell::Cell;
use std::ops::Deref;
use tokio::net::TcpStream;

/// The socket of one connection to a cache node.
#[derive(Debug)]
pub(super) struct NodeSocket {
    stream: TcpStream,
    /// The node's system dropped something that was sent, so that only what it acknowledges has arrived.
    awaits_acknowledgement: Cell<bool>,
}

impl NodeSocket {
    /// The socket of a connection that is established.
    pub(super) fn new(stream: TcpStream) -> Self {
        NodeSocket { stream, awaits_acknowledgement: Cell::new(false) }
    }

    /// How many of the first `written` bytes, which are all that was written, have left this system and were not dropped by
    /// the node's, as far as is known. Asks the system, and counts none where it is not known how many. An acknowledgement
    /// is not waited for: a healthy system delays it by up to 40 ms, whereas it tells at once that it dropped something.
    pub(super) fn sent(&self, written: u64) -> u64 {
        // Where the system does not tell, all that was written counts as sent.
        let Some(info) = TcpInfo::of(&self.stream) else { return written };
        let lacks_some = info.is_dropped() || self.awaits_acknowledgement.get();
        let awaits_acknowledgement = lacks_some && info.has_unacknowledged();
        self.awaits_acknowledgement.set(awaits_acknowledgement);
        if awaits_acknowledgement {
            return 0;
        }
        written.saturating_sub(u64::from(info.unsent_bytes()))
    }

    /// Has it end with a reset, which the node's system hears of whatever it has not taken.
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
