//! The table of a front's client connections: which of them are idle, in what order they may be closed to make room, and
//! how many may linger after their close. It owns no socket.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// An idle connection is left to its client for so long (seconds). Nothing tells a front what of its answers the client's
/// program has read, and what that sends before it has seen the end behind them is lost; on a new connection, the first
/// request may be on its way.
const IDLE_GRACE: f64 = 1.0;

/// The order in which idle connections are closed: those that never sent a usable command first, then those that have been
/// idle for longest.
type IdleKey = (bool, u64);

/// How connections close once they are idle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum CloseAll {
    /// They stay.
    #[default]
    No,
    /// Each closes once its client had the time to read its last answer.
    AfterReading,
    /// Each closes at once.
    Immediately,
}

/// The client connections of one front.
#[derive(Default)]
pub(super) struct ConnectionTable {
    next_number: Cell<u64>,
    idle: RefCell<BTreeMap<IdleKey, Rc<Entry>>>,
    close_all: Cell<CloseAll>,
    lingering: Cell<usize>,
    lingering_most: usize,
    open: Cell<usize>,
    closed: Notify,
}

impl ConnectionTable {
    /// An empty table; so many connections may linger at once.
    pub(super) fn new(lingering_most: usize) -> Rc<Self> {
        Rc::new(ConnectionTable { lingering_most, ..ConnectionTable::default() })
    }

    /// How many connections are open.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// How many connections are idle.
    pub(super) fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Waits until every connection has closed.
    pub(super) async fn all_closed(&self) {
        while self.open.get() > 0 {
            self.closed.notified().await;
        }
    }

    /// Are all connections to close as soon as they are idle?
    pub(super) fn is_closing_all(&self) -> bool {
        self.close_all.get() != CloseAll::No
    }

    /// Has every connection close once it is idle and its client had the time to read its last answer.
    pub(super) fn close_all_after_reading(&self) {
        self.set_close_all(CloseAll::AfterReading);
    }

    /// Has every connection close as soon as it is idle.
    pub(super) fn close_all_immediately(&self) {
        self.set_close_all(CloseAll::Immediately);
    }

    fn set_close_all(&self, close_all: CloseAll) {
        self.close_all.set(close_all);
        for entry in self.idle.borrow().values() {
            entry.changed.notify_one();
        }
    }

    /// Asks the first idle connection to close, so that another gets its place; is there one?
    pub(super) fn close_most_idle(&self) -> bool {
        let first = self.idle.borrow_mut().pop_first();
        first.inspect(|(_, entry)| entry.ask_to_close()).is_some()
    }

    /// The same, but only one that was left to its client for [`IDLE_GRACE`] and is not in the middle of a message.
    pub(super) fn close_idle_since_grace(&self, now: f64) -> bool {
        let key = self.first_idle_since(now - IDLE_GRACE);
        let entry = key.and_then(|key| self.idle.borrow_mut().remove(&key));
        entry.inspect(|entry| entry.ask_to_close()).is_some()
    }

    /// The first connection in the order of closing that has been idle since then, between two messages.
    fn first_idle_since(&self, then: f64) -> Option<IdleKey> {
        let idle = self.idle.borrow();
        let rests = |entry: &Entry| entry.idle_since.get() <= then && !entry.mid_message.get();
        idle.iter().find(|(_, entry)| rests(entry)).map(|(key, _)| *key)
    }
}

/// What the table knows of a connection.
#[derive(Default)]
struct Entry {
    /// While it is idle, its place in the order.
    key: Cell<Option<IdleKey>>,
    /// Since when it is idle (Unix seconds).
    idle_since: Cell<f64>,
    /// Part of a message has come from its client.
    mid_message: Cell<bool>,
    /// It is asked to close once it is idle.
    asked_to_close: Cell<bool>,
    /// When it is to close may have changed.
    changed: Notify,
}

impl Entry {
    fn ask_to_close(&self) {
        self.asked_to_close.set(true);
        self.changed.notify_one();
    }

    /// Its client has read its last answer by then, if it was sent one (Unix seconds).
    fn read_by(&self) -> f64 {
        let spoken = self.key.get().is_some_and(|(spoken, _)| spoken);
        self.idle_since.get() + if spoken { IDLE_GRACE } else { 0.0 }
    }
}

/// A client connection's place in the table, from its accept until its end.
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    entry: Rc<Entry>,
}

impl ConnectionSlot {
    /// A place for a new connection. It is idle from the start, since it may be asked to close before its task runs.
    pub(super) fn new(table: Rc<ConnectionTable>, now: f64) -> Self {
        table.open.set(table.open.get() + 1);
        let slot = ConnectionSlot { table, entry: Rc::default() };
        slot.mark_idle(now, false, false);
        slot
    }

    /// The connection waits for its client, which has sent something usable before, or has not, and may be in the middle of a
    /// message: nothing is open, and the system has sent every answer.
    pub fn mark_idle(&self, now: f64, spoken: bool, mid_message: bool) {
        self.entry.mid_message.set(mid_message);
        if self.is_idle() {
            return;
        }
        let number = self.table.next_number.get();
        self.table.next_number.set(number + 1);
        let key = (spoken, number);
        self.entry.key.set(Some(key));
        self.entry.idle_since.set(now);
        self.table.idle.borrow_mut().insert(key, self.entry.clone());
    }

    /// Something was read from the client, or is owed to it. If it was asked to close, it does once it is idle again: another
    /// has its place already.
    pub fn mark_active(&self) {
        if let Some(key) = self.entry.key.take() {
            self.table.idle.borrow_mut().remove(&key);
        }
    }

    /// Is the connection idle?
    pub fn is_idle(&self) -> bool {
        self.entry.key.get().is_some()
    }

    /// When the idle connection is to close, if it is asked to (Unix seconds).
    pub fn closes_at(&self) -> Option<f64> {
        if !self.is_idle() {
            return None;
        }
        if self.entry.asked_to_close.get() {
            return Some(self.entry.idle_since.get());
        }
        match self.table.close_all.get() {
            CloseAll::No => None,
            CloseAll::AfterReading => Some(self.entry.read_by()),
            CloseAll::Immediately => Some(self.entry.idle_since.get()),
        }
    }

    /// Waits until [`ConnectionSlot::closes_at`] may have changed.
    pub async fn closes_at_changed(&self) {
        self.entry.changed.notified().await;
    }

    /// Are all connections to close as soon as they are idle?
    pub fn is_closing_all(&self) -> bool {
        self.table.is_closing_all()
    }

    /// A permit to wait, after this side was shut, for the client to close too. `None` where so many do that they would take
    /// the place of others; once all close, no others are to come.
    pub fn linger(&self) -> Option<LingerPermit> {
        let lingering = self.table.lingering.get();
        (self.is_closing_all() || lingering < self.table.lingering_most).then(|| {
            self.table.lingering.set(lingering + 1);
            LingerPermit(self.table.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.mark_active();
        self.table.open.set(self.table.open.get() - 1);
        self.table.closed.notify_one();
    }
}

/// Permission to linger; given back when it is dropped.
pub struct LingerPermit(Rc<ConnectionTable>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

#[cfg(test)]
mod tests;
