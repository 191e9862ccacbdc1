//! Memory for new client connections: who waits for it, and whose place in it a new connection gets.

use super::closing::{FINAL_READ_WINDOW, has_input};
use super::connections::{ConnectionSlot, ConnectionTable, IDLE_GRACE};
use super::{ClientSocket, INPUT, TEXT};
use crate::clock;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use std::rc::Rc;
use tokio::sync::Semaphore;
use tokio::time::sleep_until;

/// What a client connection has as its own beside the text of its answers: its task, its tables, and what is
/// read at once (bytes).
const CONNECTION_BYTES: usize = 4 * 1024 + INPUT;
/// While memory is scarce, idle connections are looked at this often (seconds).
pub(super) const RELIEF_INTERVAL: f64 = 0.1;
/// So many idle connections are closed at a time, while there is no memory for a new one.
const CLOSED_AT_ONCE: usize = 4;
/// A new connection without memory asks for it again this often (seconds).
const MEMORY_RETRY_INTERVAL: f64 = 0.05;

/// Memory for new connections, which wait for it one after the other: each has as many idle ones closed as it needs, and no
/// more.
pub(super) struct ConnectionMemory {
    ledger: Ledger,
    table: Rc<ConnectionTable>,
    turn: Semaphore,
}

impl ConnectionMemory {
    /// Memory of this ledger, for the connections of this table.
    pub(super) fn new(ledger: Ledger, table: Rc<ConnectionTable>) -> Self {
        ConnectionMemory { ledger, table, turn: Semaphore::new(1) }
    }

    /// Memory for a new connection; `None` if there is none, and none can be had. After a cut of the limit idle connections may
    /// hold far more than it grants. Those that never said anything usable give way at once. The others have the time to read
    /// what they were just sent, for which the new one waits; then one gives way all the same, to a client that has asked for
    /// something.
    pub(super) async fn grant(&self, socket: &ClientSocket, slot: &ConnectionSlot) -> Option<Grant> {
        if let Some(grant) = self.ask() {
            return Some(grant);
        }
        // It has nothing that another could be given.
        slot.mark_active();
        let patient_until = clock::now() + IDLE_GRACE;
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

    fn ask(&self) -> Option<Grant> {
        self.ledger.ask(AccountOwner::of(Purpose::Clients), CONNECTION_BYTES + TEXT).ok()
    }

    /// Closes some idle connections whose clients lose nothing; were there any?
    fn close_some(&self, now: f64) -> bool {
        let closed = (0..CLOSED_AT_ONCE).take_while(|_| self.table.close_idle_for_newcomer(now)).count();
        closed > 0
    }
}
