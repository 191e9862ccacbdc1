//! The platform's wires: RESP clients, the line protocol to cache nodes, the coordinator's feed. Nothing is
//! decided here: what arrives is handed to the broker by queue, and what it orders is carried out.

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

/// What is read of a client at once (bytes).
pub const READ_CHUNK_BYTES: usize = 4 * 1024;

/// Why input cannot be read; the connection that it came on is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// A value that a reload may change while a task goes by it.
pub struct Reloadable<T> {
    value: Cell<T>,
    changed: Notify,
}

impl<T: Copy + PartialEq> Reloadable<T> {
    /// Starts with this.
    pub fn new(value: T) -> Rc<Self> {
        Rc::new(Reloadable { value: Cell::new(value), changed: Notify::new() })
    }

    /// What it is now.
    pub fn get(&self) -> T {
        self.value.get()
    }

    /// Changes it and wakes its one task; was it another?
    pub fn set(&self, value: T) -> bool {
        let changed = self.value.replace(value) != value;
        if changed {
            self.changed.notify_one();
        }
        changed
    }

    /// Waits until it has changed; a change that nobody waited for is not missed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Plain decimal digits.
pub fn parse_u64(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || digits.len() > 19 {
        return None;
    }
    digits.iter().try_fold(0u64, |n, d| d.is_ascii_digit().then(|| n * 10 + u64::from(d - b'0')))
}

/// A decimal number that is not negative, with or without a fraction.
pub fn parse_non_negative(text: &[u8]) -> Option<f64> {
    let plain = text.len() <= 24 && text.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let value: f64 = std::str::from_utf8(text).ok().filter(|_| plain)?.parse().ok()?;
    value.is_finite().then_some(value)
}
