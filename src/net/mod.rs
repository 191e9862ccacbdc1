//! The platform's protocols: RESP for clients, the line protocol of cache nodes, the coordinator's feed.
//! Nothing is decided here: input is queued to the broker, and the broker's orders are carried out.

pub mod admin;
mod buffer;
mod client_socket;
pub mod clients;
mod closing;
mod connection_memory;
mod connections;
pub mod coordinator;
mod exchange;
pub mod frames;
pub mod lines;
mod listener;
#[cfg(test)]
mod model;
pub mod pool;
pub mod resp;
mod send_queue;
mod tcp_info;

pub use buffer::{Buffer, OUTPUT_TEXT_BYTES, Output};
pub use client_socket::{ClientSocket, SendState};
pub use closing::{PEER_CHECK_INTERVAL, linger, peer_has_closed, readable_within_window, shut_and_discard};
pub use connections::{ConnectionSlot, LingerPermit};
pub use listener::{ListenerState, accept, listen, prefer_youngest, share_by_hash};
pub use send_queue::{DELIVERY_CHECK_INTERVAL, Delivery};

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Limit of a single read from a client (bytes).
pub const READ_CHUNK_BYTES: usize = 4 * 1024;

/// What is wrong with input that violates its protocol; its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// A value that a reload of the settings may change while a task uses it.
pub struct Reloadable<T> {
    value: Cell<T>,
    changed: Notify,
}

impl<T: Copy + PartialEq> Reloadable<T> {
    /// Starts with this value.
    pub fn new(value: T) -> Rc<Self> {
        Rc::new(Reloadable { value: Cell::new(value), changed: Notify::new() })
    }

    /// Returns the current value.
    pub fn get(&self) -> T {
        self.value.get()
    }

    /// Sets the value, and wakes the task that uses it if the value differs from before. Returns whether it
    /// does.
    pub fn set(&self, value: T) -> bool {
        let changed = self.value.replace(value) != value;
        if changed {
            self.changed.notify_one();
        }
        changed
    }

    /// Waits until the value has changed; also returns for a change since the last wait.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Parses 1 to 19 decimal digits.
pub fn parse_u64(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || digits.len() > 19 {
        return None;
    }
    digits.iter().try_fold(0u64, |n, d| d.is_ascii_digit().then(|| n * 10 + u64::from(d - b'0')))
}

/// Parses a decimal number without a sign, with or without a fraction, of up to 24 bytes.
pub fn parse_non_negative(text: &[u8]) -> Option<f64> {
    let plain = text.len() <= 24 && text.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let value: f64 = std::str::from_utf8(text).ok().filter(|_| plain)?.parse().ok()?;
    value.is_finite().then_some(value)
}
