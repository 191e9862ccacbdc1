//! The table of a front's client connections: which of them are idle, in what order idle ones are evicted to
//! make room, and how many may linger after their close. The system is asked whether a client has its answers
//! only when one is to be closed.

use super::SendState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// Grace period of an idle connection before it may be closed (seconds). A front cannot see which of its
/// answers the client's program has read, and a request that the program sends before it has seen the end of
/// stream behind them is lost; on a new connection, the first request may be on its way.
pub(super) const IDLE_GRACE: f64 = 1.0;

/// The order in which idle connections are evicted: those that never sent a usable command first, then those
/// that have been idle for longest.
type IdleKey = (bool, u64);

/// When idle connections close once the front takes no more clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum CloseAll {
    /// The front still takes clients: idle connections stay open.
    #[default]
    No,
    /// Each closes once [`IDLE_GRACE`] has passed since its last answer.
    AfterGrace,
    /// Each closes once its client's system has its last answer.
    AfterDelivery,
    /// Each closes once its last answer is sent, without waiting for an acknowledgement.
    AfterSend,
}

/// Why a connection gets a close request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// Memory is scarce. If input cancels the request, the next check for scarce memory may choose another
    /// connection.
    Memory,
    /// Its slot is reserved for a new connection: it closes, or another closes in its stead.
    NewConnection,
}

/// The state of a connection between its accept and its end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum State {
    /// A request is open on it, something was just read from it, or bytes are known to be unsent.
    #[default]
    Active,
    /// Nothing is open or known to be unsent, as far as can be told without asking the system: it may be
    /// evicted.
    Idle(IdleKey),
    /// It is idle and has a close request: it closes now, unless input comes first.
    CloseRequested,
    /// It is idle and its slot is reserved: it closes at this time, unless something is read on it before
    /// (Unix seconds).
    ClosesAt(f64),
    /// It is being closed.
    Closing,
}

/// The client connections of one front.
#[derive(Default)]
pub(super) struct ConnectionTable {
    next_number: Cell<u64>,
    idle: RefCell<BTreeMap<IdleKey, Rc<Entry>>>,
    /// Connections that have a close request.
    close_requested: RefCell<Vec<Rc<Entry>>>,
    /// Connections whose slot is reserved for a new connection and whose close request was cancelled by
    /// input, in the order in which their slots are to be freed.
    reserved: RefCell<Vec<Rc<Entry>>>,
    close_all: Cell<CloseAll>,
    lingering: Cell<usize>,
    max_extra: usize,
    open: Cell<usize>,
    closing: Cell<usize>,
    closed: Notify,
    /// A slot was freed, or a close request was cancelled.
    slots_changed: Notify,
}

impl ConnectionTable {
    /// An empty table. `max_extra` connections may linger beside those that have a slot, and as many may
    /// still hold a slot that is reserved for a new connection which is already open.
    pub(super) fn new(max_extra: usize) -> Rc<Self> {
        Rc::new(ConnectionTable { max_extra, ..ConnectionTable::default() })
    }

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of connections that are open and not being closed.
    pub(super) fn slots_in_use(&self) -> usize {
        self.open.get() - self.closing.get()
    }

    /// Returns the number of connections that may be evicted.
    pub(super) fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Waits until every connection has closed.
    pub(super) async fn all_closed(&self) {
        while self.open.get() > 0 {
            self.closed.notified().await;
        }
    }

    /// Returns whether all connections are to close as soon as they are idle.
    pub(super) fn is_closing_all(&self) -> bool {
        self.close_all.get() != CloseAll::No
    }

    /// Closes every connection once it is idle and [`IDLE_GRACE`] has passed since its last answer.
    pub(super) fn close_all_after_grace(&self) {
        self.set_close_all(CloseAll::AfterGrace);
    }

    /// Closes every connection once it is idle and its client's system has its last answer.
    pub(super) fn close_all_after_delivery(&self) {
        self.set_close_all(CloseAll::AfterDelivery);
    }

    /// Closes every connection once its last answer is sent, unless its client's system is known to have no
    /// room for that.
    pub(super) fn close_all_after_send(&self) {
        self.set_close_all(CloseAll::AfterSend);
    }

    fn set_close_all(&self, close_all: CloseAll) {
        self.close_all.set(close_all);
        self.idle.borrow().values().for_each(|entry| entry.changed.notify_one());
        self.reserved.borrow().iter().for_each(|entry| entry.changed.notify_one());
    }

    /// Evicts an idle connection for a new one, which is open beside it until it has closed. Where
    /// `max_extra` slots are reserved already, waits until some of them are free. Returns `false` if no
    /// connection is idle, or if those with a reserved slot stay open.
    pub(super) async fn free_slot(&self) -> bool {
        while self.close_requested.borrow().len() + self.reserved.borrow().len() >= self.max_extra {
            if self.close_requested.borrow().is_empty() {
                return false;
            }
            self.slots_changed.notified().await;
        }
        self.evict_idle()
    }

    /// Sends a close request to the first idle connection and reserves its slot for a new connection. Returns
    /// `false` if there is none, or if too many slots are reserved already. A connection that has sent a
    /// usable command and is in the middle of a message is chosen last: the others lose nothing.
    pub(super) fn evict_idle(&self) -> bool {
        self.reserve_slot().is_some()
    }

    /// Like [`ConnectionTable::evict_idle`], but returns the connection whose slot is reserved.
    fn reserve_slot(&self) -> Option<Rc<Entry>> {
        if self.reserved.borrow().len() >= self.max_extra {
            return None;
        }
        let between_messages = |entry: &Entry| !entry.has_sent_command.get() || !entry.mid_message.get();
        self.reserve_slot_closing_for_memory()
            .or_else(|| self.evict_first(CloseReason::NewConnection, between_messages))
            .or_else(|| self.evict_first(CloseReason::NewConnection, |_| true))
    }

    /// Reserves the slot of a connection that already has a close request for its memory, if there is one.
    fn reserve_slot_closing_for_memory(&self) -> Option<Rc<Entry>> {
        let close_requested = self.close_requested.borrow();
        close_requested.iter().find(|entry| !entry.slot_reserved.replace(true)).cloned()
    }

    /// Evicts the first idle connection for its memory, of those that have been idle for [`IDLE_GRACE`] and
    /// are not in the middle of a message. Returns `false` if there is none.
    pub(super) fn evict_after_grace(&self, now: f64) -> bool {
        let since = now - IDLE_GRACE;
        let may_close = |entry: &Entry| entry.idle_since.get() <= since && !entry.mid_message.get();
        self.evict_first(CloseReason::Memory, may_close).is_some()
    }

    /// Evicts an idle connection to get memory for a new one: one that never sent a usable command, or else
    /// one whose grace period has passed. Returns `false` if there is none.
    pub(super) fn evict_silent_or_after_grace(&self, now: f64) -> bool {
        let silent = |entry: &Entry| !entry.has_sent_command.get();
        self.evict_first(CloseReason::Memory, silent).is_some() || self.evict_after_grace(now)
    }

    /// Evicts an idle connection for its memory without regard to the grace period, for a new connection that
    /// has waited that long. Returns `false` if there is none.
    pub(super) fn evict_ignoring_grace(&self) -> bool {
        let between_messages = |entry: &Entry| !entry.mid_message.get();
        self.evict_first(CloseReason::Memory, between_messages)
            .or_else(|| self.evict_first(CloseReason::Memory, |_| true))
            .is_some()
    }

    /// Sends a close request to the first idle connection that may close, and returns it. Idle connections
    /// are only candidates, since only the system knows whether a client can see an end of stream now: those
    /// whose clients have no room for their answers become active again. A connection whose last answer is
    /// not acknowledged yet may be chosen; its task waits for the acknowledgement. A connection that sent its
    /// last bytes after it became idle counts as idle from then on.
    fn evict_first(&self, reason: CloseReason, may_close: impl Fn(&Entry) -> bool) -> Option<Rc<Entry>> {
        while let Some(entry) = self.remove_first_idle(&may_close) {
            if entry.socket.delivery().is_blocked() {
                entry.state.set(State::Active);
                entry.changed.notify_one();
                continue;
            }
            entry.postpone_to_last_sent();
            if may_close(&entry) {
                self.request_close(&entry, reason);
                return Some(entry);
            }
            self.add_idle(&entry);
            entry.changed.notify_one();
        }
        None
    }

    fn remove_first_idle(&self, may_close: impl Fn(&Entry) -> bool) -> Option<Rc<Entry>> {
        let mut idle = self.idle.borrow_mut();
        let key = idle.iter().find(|(_, entry)| may_close(entry)).map(|(key, _)| *key)?;
        idle.remove(&key)
    }

    fn request_close(&self, entry: &Rc<Entry>, reason: CloseReason) {
        entry.slot_reserved.set(reason == CloseReason::NewConnection);
        entry.state.set(State::CloseRequested);
        entry.changed.notify_one();
        self.close_requested.borrow_mut().push(entry.clone());
    }

    /// Moves the reservation of this connection's slot to another idle connection, which gets a close
    /// request. Returns whether that was done. A connection that never sent a usable command keeps its
    /// reservation.
    fn transfer_reservation(&self, holder: &Rc<Entry>) -> bool {
        if !holder.has_sent_command.get() {
            return false;
        }
        remove_entry(&self.reserved, holder);
        let Some(other) = self.reserve_slot() else {
            self.reserved.borrow_mut().insert(0, holder.clone());
            return false;
        };
        holder.slot_reserved.set(false);
        other.transferred_from.replace(Rc::downgrade(holder));
        true
    }

    /// Gives a reservation back to the connection that transferred it, because the other one stays open.
    /// Returns `false` if the connection is closing or its slot has been reserved again meanwhile.
    fn restore_reservation(&self, holder: &Rc<Entry>) -> bool {
        let state = holder.state.get();
        if state == State::Closing || holder.slot_reserved.replace(true) {
            return false;
        }
        if state == State::CloseRequested {
            return true;
        }
        if let State::Idle(key) = state {
            self.idle.borrow_mut().remove(&key);
        }
        self.reserved.borrow_mut().insert(0, holder.clone());
        let transferred = self.transfer_reservation(holder);
        if let State::Idle(key) = state {
            self.keep_or_schedule_close(holder, key, transferred);
        }
        true
    }

    /// Keeps an idle connection open if its reservation was transferred; schedules its close after the grace
    /// period otherwise.
    fn keep_or_schedule_close(&self, entry: &Rc<Entry>, key: IdleKey, transferred: bool) {
        if transferred {
            self.idle.borrow_mut().insert(key, entry.clone());
            return;
        }
        entry.state.set(State::ClosesAt(entry.grace_ends_at()));
        entry.changed.notify_one();
    }

    /// Cancels the first reservation, since a connection whose slot was not reserved has closed and freed a
    /// slot.
    fn cancel_first_reservation(&self) {
        let first = self.reserved.borrow().first().cloned();
        if let Some(entry) = first {
            self.cancel_reservation(&entry);
            if matches!(entry.state.get(), State::ClosesAt(_)) {
                self.add_idle(&entry);
                entry.changed.notify_one();
            }
        }
    }

    /// Cancels the reservation of this connection's slot.
    fn cancel_reservation(&self, entry: &Rc<Entry>) {
        entry.slot_reserved.set(false);
        remove_entry(&self.reserved, entry);
    }

    fn add_idle(&self, entry: &Rc<Entry>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (entry.has_sent_command.get(), number);
        entry.state.set(State::Idle(key));
        self.idle.borrow_mut().insert(key, entry.clone());
    }
}

/// Removes an entry from a list, and returns whether it was there.
fn remove_entry(list: &RefCell<Vec<Rc<Entry>>>, entry: &Rc<Entry>) -> bool {
    let mut list = list.borrow_mut();
    let index = list.iter().position(|other| Rc::ptr_eq(other, entry));
    index.map(|index| list.remove(index)).is_some()
}

/// What the table knows of a connection.
struct Entry {
    socket: Rc<dyn SendState>,
    state: Cell<State>,
    /// When it became idle, or sent its last bytes after that (Unix seconds).
    idle_since: Cell<f64>,
    /// Its client has sent a usable command.
    has_sent_command: Cell<bool>,
    /// An incomplete message has come from its client.
    mid_message: Cell<bool>,
    /// Its slot is reserved for a new connection, which is open already.
    slot_reserved: Cell<bool>,
    /// The connection whose reservation was transferred to this one.
    transferred_from: RefCell<Weak<Entry>>,
    /// Wakes its task: its state or the time of its close may have changed.
    changed: Notify,
}

impl Entry {
    /// Starts the grace period anew if the last answer was sent after the connection became idle, to a client
    /// that had no room for it before. Returns whether that was so.
    fn postpone_to_last_sent(&self) -> bool {
        let later = self.socket.sent_at().filter(|&at| at > self.idle_since.get());
        later.inspect(|&at| self.idle_since.set(at)).is_some()
    }

    /// Returns when the grace period ends; a client that never sent a usable command has none (Unix seconds).
    fn grace_ends_at(&self) -> f64 {
        self.idle_since.get() + if self.has_sent_command.get() { IDLE_GRACE } else { 0.0 }
    }
}

/// A client connection's entry in the table, from its accept until its end.
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    entry: Rc<Entry>,
}

impl ConnectionSlot {
    /// Adds a new connection, which is idle from the start: it may get a close request before its task runs.
    pub(super) fn new(table: Rc<ConnectionTable>, socket: Rc<dyn SendState>, now: f64) -> Self {
        table.open.set(table.open.get() + 1);
        let entry = Rc::new(Entry {
            socket,
            state: Cell::default(),
            idle_since: Cell::default(),
            has_sent_command: Cell::default(),
            mid_message: Cell::default(),
            slot_reserved: Cell::default(),
            transferred_from: RefCell::default(),
            changed: Notify::default(),
        });
        let slot = ConnectionSlot { table, entry };
        slot.mark_idle(now, false, false);
        slot
    }

    /// Marks the connection as waiting for its client: no request is open, and nothing is known to be unsent.
    /// `has_sent_command` tells whether the client has ever sent a usable command, `mid_message` whether an
    /// incomplete message has come.
    pub fn mark_idle(&self, now: f64, has_sent_command: bool, mid_message: bool) {
        let entry = &self.entry;
        entry.mid_message.set(mid_message);
        if self.is_idle() {
            return;
        }
        entry.has_sent_command.set(has_sent_command);
        entry.idle_since.set(now);
        if entry.slot_reserved.get() && !self.table.transfer_reservation(entry) {
            entry.state.set(State::ClosesAt(entry.grace_ends_at()));
        } else {
            self.table.add_idle(entry);
        }
    }

    /// Marks the connection as active: something was read from it, a request is open, or bytes are unsent. A
    /// close request is cancelled, and another connection may be closed instead.
    pub fn mark_active(&self) {
        if !self.is_idle() {
            return;
        }
        match self.entry.state.replace(State::Active) {
            State::Idle(key) => {
                self.table.idle.borrow_mut().remove(&key);
            }
            State::CloseRequested => self.cancel_close_request(),
            State::ClosesAt(_) | State::Active | State::Closing => {}
        }
    }

    /// Cancels the close request. If the slot is reserved, the reservation is returned to the connection that
    /// it came from, transferred to another idle one, or kept until this one is idle again.
    fn cancel_close_request(&self) {
        remove_entry(&self.table.close_requested, &self.entry);
        if self.entry.slot_reserved.get() && !self.return_reservation() {
            self.table.reserved.borrow_mut().push(self.entry.clone());
            self.table.transfer_reservation(&self.entry);
        }
        self.table.slots_changed.notify_one();
    }

    /// Returns the reservation to the connection that transferred it, if that one is still open and its slot
    /// is not reserved again. Returns whether that was done.
    fn return_reservation(&self) -> bool {
        let holder = self.entry.transferred_from.take().upgrade();
        let returned = holder.is_some_and(|holder| self.table.restore_reservation(&holder));
        if returned {
            self.entry.slot_reserved.set(false);
        }
        returned
    }

    /// Marks the connection as closing, which frees its slot.
    pub fn begin_close(&self) {
        let entry = &self.entry;
        let before = entry.state.replace(State::Closing);
        if before == State::Closing {
            return;
        }
        if let State::Idle(key) = before {
            self.table.idle.borrow_mut().remove(&key);
        }
        let close_requested = remove_entry(&self.table.close_requested, entry);
        if entry.slot_reserved.get() {
            self.table.cancel_reservation(entry);
        } else if !close_requested {
            self.table.cancel_first_reservation();
        }
        self.table.closing.set(self.table.closing.get() + 1);
        self.table.slots_changed.notify_one();
    }

    /// Returns whether the connection is idle, as far as is known without asking the system.
    pub fn is_idle(&self) -> bool {
        matches!(self.entry.state.get(), State::Idle(_) | State::CloseRequested | State::ClosesAt(_))
    }

    /// Returns when the idle connection is to close, if it is to (Unix seconds).
    pub fn closes_at(&self) -> Option<f64> {
        let requested = match self.entry.state.get() {
            State::Active | State::Closing => return None,
            State::Idle(_) => f64::INFINITY,
            State::CloseRequested => self.entry.idle_since.get(),
            State::ClosesAt(at) => at,
        };
        let all = match self.table.close_all.get() {
            CloseAll::No => f64::INFINITY,
            CloseAll::AfterGrace => self.entry.grace_ends_at(),
            CloseAll::AfterDelivery | CloseAll::AfterSend => self.entry.idle_since.get(),
        };
        Some(requested.min(all)).filter(|at| at.is_finite())
    }

    /// Counts the connection as idle only since its last bytes were sent, if the system told that this was
    /// later; a scheduled close is postponed accordingly. Returns whether it was later.
    pub fn postpone_to_last_sent(&self) -> bool {
        let postponed = self.entry.postpone_to_last_sent();
        if let State::ClosesAt(_) = self.entry.state.get() {
            self.entry.state.set(State::ClosesAt(self.entry.grace_ends_at()));
        }
        postponed
    }

    /// Returns since when the connection is idle, if it is (Unix seconds).
    pub fn idle_since(&self) -> f64 {
        self.entry.idle_since.get()
    }

    /// Waits until the connection's entry may have changed: whether and since when it is idle, or when it is
    /// to close.
    pub async fn changed(&self) {
        self.entry.changed.notified().await;
    }

    /// Returns whether all connections are to close as soon as they are idle.
    pub fn is_closing_all(&self) -> bool {
        self.table.is_closing_all()
    }

    /// Returns whether the connection is to close once its last answer is sent, without waiting for an
    /// acknowledgement.
    pub fn closes_after_send(&self) -> bool {
        self.table.close_all.get() == CloseAll::AfterSend
    }

    /// Returns whether bytes that were written are known to be unsent or without room at the client. Once all
    /// connections close, the system is asked, since the grace period begins when the last answer is sent.
    pub fn is_send_blocked(&self) -> bool {
        match self.is_closing_all() {
            true => self.entry.socket.delivery().is_blocked(),
            false => self.entry.socket.is_known_unsent(),
        }
    }

    /// Returns a permit to wait, after the write side was shut, for the client to close too; `None` if the
    /// limit of lingering connections is reached. There is no limit once all connections close, since no new
    /// ones come.
    pub fn linger_permit(&self) -> Option<LingerPermit> {
        let lingering = self.table.lingering.get();
        (self.is_closing_all() || lingering < self.table.max_extra).then(|| {
            self.table.lingering.set(lingering + 1);
            LingerPermit(self.table.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.begin_close();
        self.table.closing.set(self.table.closing.get() - 1);
        self.table.open.set(self.table.open.get() - 1);
        self.table.closed.notify_one();
    }
}

/// Permission for one connection to linger, returned when it is dropped.
pub struct LingerPermit(Rc<ConnectionTable>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

#[cfg(test)]
mod tests;
