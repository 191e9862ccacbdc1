//! The table of a front's client connections: which of them are idle, in what order they may be closed to make room, and
//! how many may linger after their close. It owns no socket.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The order in which idle connections are closed: those that never sent a usable command first, then those that have been
/// idle for longest.
type IdleKey = (bool, u64);

/// The client connections of one front.
#[derive(Default)]
pub(super) struct ConnectionTable {
    next_key: Cell<u64>,
    idle: RefCell<BTreeMap<IdleKey, Rc<Notify>>>,
    /// Every connection is to close as soon as it is idle.
    closing_all: Cell<bool>,
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
        self.closing_all.get()
    }

    /// Asks every connection to close as soon as it is idle.
    pub(super) fn close_all_idle(&self) {
        self.closing_all.set(true);
        for close_asked in self.idle.borrow().values() {
            close_asked.notify_one();
        }
    }

    /// Asks the first idle connection to close, if there is one.
    pub(super) fn close_most_idle(&self) -> bool {
        let first = self.idle.borrow_mut().pop_first();
        first.is_some_and(|(_, close_asked)| {
            close_asked.notify_one();
            true
        })
    }
}

/// A client connection's place in the table, from its accept until its end.
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    key: Cell<Option<IdleKey>>,
    close_asked: Rc<Notify>,
}

impl ConnectionSlot {
    /// A place for a new connection. It is idle from the start, since it may be asked to close before its task runs.
    pub(super) fn new(table: Rc<ConnectionTable>) -> Self {
        table.open.set(table.open.get() + 1);
        let slot = ConnectionSlot { table, key: Cell::new(None), close_asked: Rc::default() };
        slot.mark_idle(false);
        slot
    }

    /// The connection waits for its client, which has sent something usable before, or has not. Once all are to close, it is
    /// asked to at once.
    pub fn mark_idle(&self, spoken: bool) {
        if self.table.closing_all.get() {
            self.close_asked.notify_one();
        }
        if self.key.get().is_none() {
            let key = (spoken, self.table.next_key.replace(self.table.next_key.get() + 1));
            self.key.set(Some(key));
            self.table.idle.borrow_mut().insert(key, self.close_asked.clone());
        }
    }

    /// Something was read from the client, or is owed to it.
    pub fn mark_active(&self) {
        if let Some(key) = self.key.take() {
            self.table.idle.borrow_mut().remove(&key);
        }
    }

    /// Is the connection idle?
    pub fn is_idle(&self) -> bool {
        self.key.get().is_some()
    }

    /// Are all connections to close as soon as they are idle?
    pub fn is_closing_all(&self) -> bool {
        self.table.closing_all.get()
    }

    /// Waits until the connection is asked to close.
    pub async fn close_asked(&self) {
        self.close_asked.notified().await;
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
