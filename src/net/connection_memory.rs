//! Memory for new client connections: who waits for it, and whose place in it a new connection gets.

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

/// What a client connection has as its own beside the text of its answers: its task, its tables, and what is
/// read at once (bytes).
const CONNECTION_BYTES: usize = 4 * 1024 + READ_CHUNK_BYTES;
/// While memory is scarce, idle connections are looked at this often (seconds).
pub(super) const RELIEF_INTERVAL: f64 = 0.1;
/// So many idle connections are closed at a time, while there is no memory for a new one.
const CLOSED_AT_ONCE: usize = 4;
/// A new connection without memory asks for it again this often (seconds).
pub(super) const MEMORY_RETRY_INTERVAL: f64 = 0.05;
/// A new connection waits so long for one that was left to its client for [`IDLE_GRACE`] (seconds): all that become idle in the
/// first half of it have had that time by then.
const NEWCOMER_PATIENCE: f64 = 2.0 * IDLE_GRACE;
/// A new connection that waits for memory and sends nothing for so long gives its place to another (seconds).
const TIME_TO_ASK: f64 = 0.05;

/// Memory for new connections, which wait for it one after the other: each has as many idle ones closed as it needs, and no
/// more.
pub(super) struct ConnectionMemory {
    ledger: Ledger,
    table: Rc<ConnectionTable>,
    turn: Semaphore,
    waiters: Waiters,
}

impl ConnectionMemory {
    /// Memory of this ledger, for the connections of this table.
    pub(super) fn new(ledger: Ledger, table: Rc<ConnectionTable>) -> Self {
        ConnectionMemory { ledger, table, turn: Semaphore::new(1), waiters: Waiters::default() }
    }

    /// Memory for a new connection; `None` if there is none, and none can be had. After a cut of the limit idle connections may
    /// hold far more than it grants. Those that never said anything usable give way at once. The others have the time to read
    /// what they were just sent, for which the new one waits; then one gives way all the same, to a client that has asked for
    /// something.
    pub(super) async fn grant(&self, socket: &Rc<ClientSocket>, slot: &ConnectionSlot) -> Option<Grant> {
        if let Some(grant) = self.ask() {
            return Some(grant);
        }
        // It has nothing that another could be given.
        slot.mark_active();
        let waiter = self.waiters.enter(socket.clone());
        tokio::select! {
            biased;
            () = waiter.turned_away() => None,
            grant = self.wait(socket, slot) => grant,
        }
    }

    /// Waits for memory; `None` if none can be had.
    async fn wait(&self, socket: &ClientSocket, slot: &ConnectionSlot) -> Option<Grant> {
        let patient_until = clock::now() + NEWCOMER_PATIENCE;
        let _turn = self.turn.acquire().await.ok()?;
        loop {
            if let Some(grant) = self.ask() {
                slot.mark_idle(clock::now(), false, false);
                return Some(grant);
            }
            let now = clock::now();
            let pause = if self.close_some(now) {
                2.0 * FINAL_READ_WINDOW
            } else if now < patient_until {
                MEMORY_RETRY_INTERVAL
            } else if has_input(socket) && self.table.close_idle_for_memory() {
                RELIEF_INTERVAL
            } else {
                return None;
            };
            sleep_until(clock::instant(now + pause)).await;
        }
    }

    /// Has a connection close, whose place a new one gets; is there one? While others wait for memory, it is one of them that
    /// has said nothing: what the others have were no use to one that would wait, too.
    pub(super) async fn make_place(&self) -> bool {
        self.waiters.turn_silent_away(clock::now()) || self.table.make_place().await
    }

    /// Do connections wait for memory, of which none gives its place? Each has asked for something, or is about to. Another
    /// would be no better off with a place; it is left in the system's queue.
    pub(super) fn holds_newcomers(&self) -> bool {
        !self.waiters.is_empty() && !self.waiters.any_silent(clock::now())
    }

    fn ask(&self) -> Option<Grant> {
        self.ledger.acquire(AccountOwner::of(Purpose::Clients), CONNECTION_BYTES + OUTPUT_TEXT_BYTES).ok()
    }

    /// Closes some idle connections whose clients lose nothing; were there any?
    fn close_some(&self, now: f64) -> bool {
        let closed = (0..CLOSED_AT_ONCE).take_while(|_| self.table.close_idle_for_newcomer(now)).count();
        closed > 0
    }
}

/// The new connections that wait for memory, in the order in which they came. They have nothing that another could be given
/// but their places.
#[derive(Default)]
struct Waiters(RefCell<VecDeque<Rc<Waiter>>>);

impl Waiters {
    fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Adds a connection, which leaves as the result is dropped.
    fn enter(&self, socket: Rc<ClientSocket>) -> WaiterEntry<'_> {
        let waiter = Rc::new(Waiter { socket, since: clock::now(), turned_away: Notify::new() });
        self.0.borrow_mut().push_back(waiter.clone());
        WaiterEntry { waiters: self, waiter }
    }

    /// Has one of them sent nothing, though it had the time to?
    fn any_silent(&self, now: f64) -> bool {
        self.0.borrow().iter().any(|waiter| waiter.is_silent(now))
    }

    /// Turns away the first that has sent nothing, though it had the time to; is there one?
    fn turn_silent_away(&self, now: f64) -> bool {
        let mut waiters = self.0.borrow_mut();
        let silent = waiters.iter().position(|waiter| waiter.is_silent(now));
        let Some(waiter) = silent.and_then(|position| waiters.remove(position)) else { return false };
        waiter.turned_away.notify_one();
        true
    }
}

/// A new connection that waits for memory.
struct Waiter {
    socket: Rc<ClientSocket>,
    /// Since when (Unix seconds).
    since: f64,
    turned_away: Notify,
}

impl Waiter {
    fn is_silent(&self, now: f64) -> bool {
        now >= self.since + TIME_TO_ASK && !has_input(&self.socket)
    }
}

/// A connection's place among those that wait.
struct WaiterEntry<'a> {
    waiters: &'a Waiters,
    waiter: Rc<Waiter>,
}

impl WaiterEntry<'_> {
    /// Waits until it is turned away.
    async fn turned_away(&self) {
        self.waiter.turned_away.notified().await;
    }
}

impl Drop for WaiterEntry<'_> {
    fn drop(&mut self) {
        self.waiters.0.borrow_mut().retain(|other| !Rc::ptr_eq(other, &self.waiter));
    }
}
