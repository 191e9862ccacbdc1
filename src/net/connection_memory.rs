//! Memory for new client connections: how they wait for it, and which connections are evicted to free it.

use super::closing::{FINAL_READ_WINDOW, has_input};
use super::connections::{ConnectionSlot, ConnectionTable, IDLE_GRACE};
use super::{ClientSocket, OUTPUT_TEXT_BYTES, READ_CHUNK_BYTES};
use crate::clock;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore};
use tokio::time::sleep_until;

/// Memory of a client connection beside the text of its answers: its task, its tables and its read buffer
/// (bytes).
const CONNECTION_BYTES: usize = 4 * 1024 + READ_CHUNK_BYTES;
/// Interval of evictions while memory is scarce (seconds).
pub(super) const EVICTION_INTERVAL: f64 = 0.1;
/// Number of idle connections that are evicted at a time while there is no memory for a new one.
const EVICTIONS_AT_ONCE: usize = 4;
/// Interval at which a new connection without memory asks for it again (seconds).
pub(super) const MEMORY_RETRY_INTERVAL: f64 = 0.05;
/// Time that a new connection waits for others to pass their [`IDLE_GRACE`] (seconds): all that become idle
/// in the first half of it have passed it by then.
const GRACE_WAIT: f64 = 2.0 * IDLE_GRACE;
/// A new connection that waits for memory and has sent nothing for this long may be evicted (seconds).
const FIRST_INPUT_TIMEOUT: f64 = 0.05;

/// Grants memory to new connections, which wait for it one after the other: each evicts as many idle
/// connections as it needs, and no more.
pub(super) struct ConnectionMemory {
    ledger: Ledger,
    table: Rc<ConnectionTable>,
    /// Held by the new connection that evicts others.
    evicting: Semaphore,
    waiters: Waiters,
}

impl ConnectionMemory {
    /// Grants memory from this ledger to the connections of this table.
    pub(super) fn new(ledger: Ledger, table: Rc<ConnectionTable>) -> Self {
        ConnectionMemory { ledger, table, evicting: Semaphore::new(1), waiters: Waiters::default() }
    }

    /// Grants memory to a new connection; `None` if none can be had. After the memory limit was lowered, idle
    /// connections may hold far more than the limit. Those on which no usable command ever came are evicted
    /// at once. For the others the new connection waits until their grace period has passed; after
    /// [`GRACE_WAIT`] one is evicted all the same, if the new client has sent something.
    pub(super) async fn grant(&self, socket: &Rc<ClientSocket>, slot: &ConnectionSlot) -> Option<Grant> {
        if let Some(grant) = self.acquire() {
            return Some(grant);
        }
        // Without memory there is nothing to gain from its eviction.
        slot.mark_active();
        let waiter = self.waiters.enter(socket.clone());
        tokio::select! {
            biased;
            () = waiter.evicted() => None,
            grant = self.wait(socket, slot) => grant,
        }
    }

    /// Waits for memory; `None` if none can be had.
    async fn wait(&self, socket: &ClientSocket, slot: &ConnectionSlot) -> Option<Grant> {
        let grace_wait_ends_at = clock::now() + GRACE_WAIT;
        let _permit = self.evicting.acquire().await.ok()?;
        loop {
            if let Some(grant) = self.acquire() {
                slot.mark_idle(clock::now(), false, false);
                return Some(grant);
            }
            let now = clock::now();
            let pause = if self.evict_some(now) {
                2.0 * FINAL_READ_WINDOW
            } else if now < grace_wait_ends_at {
                MEMORY_RETRY_INTERVAL
            } else if has_input(socket) && self.table.evict_ignoring_grace() {
                EVICTION_INTERVAL
            } else {
                return None;
            };
            sleep_until(clock::instant(now + pause)).await;
        }
    }

    /// Evicts a connection to free its slot for a new one, and returns whether there was one. A connection
    /// that waits for memory and has sent nothing comes first.
    pub(super) async fn free_slot(&self) -> bool {
        self.waiters.evict_silent(clock::now()) || self.table.free_slot().await
    }

    /// Returns whether connections wait for memory and none of them may be evicted, since each has sent
    /// something or is about to. A slot would be of no use to another connection then, as it would have to
    /// wait for memory too.
    pub(super) fn waiters_keep_slots(&self) -> bool {
        !self.waiters.is_empty() && !self.waiters.any_silent(clock::now())
    }

    fn acquire(&self) -> Option<Grant> {
        self.ledger.acquire(AccountOwner::of(Purpose::Clients), CONNECTION_BYTES + OUTPUT_TEXT_BYTES).ok()
    }

    /// Evicts some idle connections that are silent or past their grace period, and returns whether there
    /// were any.
    fn evict_some(&self, now: f64) -> bool {
        let evicted =
            (0..EVICTIONS_AT_ONCE).take_while(|_| self.table.evict_silent_or_after_grace(now)).count();
        evicted > 0
    }
}

/// The new connections that wait for memory, in the order in which they came. All that their eviction frees
/// is a slot.
#[derive(Default)]
struct Waiters(RefCell<VecDeque<Rc<Waiter>>>);

impl Waiters {
    fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Adds a connection, which is removed when the result is dropped.
    fn enter(&self, socket: Rc<ClientSocket>) -> WaiterEntry<'_> {
        let waiter = Rc::new(Waiter { socket, since: clock::now(), evicted: Notify::new() });
        self.0.borrow_mut().push_back(waiter.clone());
        WaiterEntry { waiters: self, waiter }
    }

    /// Returns whether one of them has sent nothing within [`FIRST_INPUT_TIMEOUT`].
    fn any_silent(&self, now: f64) -> bool {
        self.0.borrow().iter().any(|waiter| waiter.is_silent(now))
    }

    /// Evicts the first that has sent nothing within [`FIRST_INPUT_TIMEOUT`], and returns whether there was
    /// one.
    fn evict_silent(&self, now: f64) -> bool {
        let mut waiters = self.0.borrow_mut();
        let silent = waiters.iter().position(|waiter| waiter.is_silent(now));
        let Some(waiter) = silent.and_then(|position| waiters.remove(position)) else { return false };
        waiter.evicted.notify_one();
        true
    }
}

/// A new connection that waits for memory.
struct Waiter {
    socket: Rc<ClientSocket>,
    /// Since when (Unix seconds).
    since: f64,
    evicted: Notify,
}

impl Waiter {
    fn is_silent(&self, now: f64) -> bool {
        now >= self.since + FIRST_INPUT_TIMEOUT && !has_input(&self.socket)
    }
}

/// A connection's entry among those that wait.
struct WaiterEntry<'a> {
    waiters: &'a Waiters,
    waiter: Rc<Waiter>,
}

impl WaiterEntry<'_> {
    /// Waits until the connection is evicted.
    async fn evicted(&self) {
        self.waiter.evicted.notified().await;
    }
}

impl Drop for WaiterEntry<'_> {
    fn drop(&mut self) {
        self.waiters.0.borrow_mut().retain(|other| !Rc::ptr_eq(other, &self.waiter));
    }
}
