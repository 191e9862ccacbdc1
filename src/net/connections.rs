//! The table of a front's client connections: which of them may be idle, in what order they may be closed to make room, and
//! how many may linger after their close. Whether a client has been sent its answers is asked in the moment of a close.

use super::SendState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// An idle connection is left to its client for so long (seconds). Nothing tells a front what of its answers the client's
/// program has read, and what that sends before it has seen the end behind them is lost; on a new connection, the first
/// request may be on its way.
pub(super) const IDLE_GRACE: f64 = 1.0;

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
    /// Each closes once its client's system has its last answer.
    Immediately,
    /// Each closes right behind its last answer.
    BehindAnswers,
}

/// Why one connection is asked to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// Memory is scarce. Once something is read on it another may close in its stead, which the next look decides.
    Memory,
    /// A new client has its place: it closes, or another does in its stead.
    Place,
}

/// Where a connection stands between its accept and its end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum State {
    /// Something is open on it, was just read from it, or is known to be unsent.
    #[default]
    Active,
    /// Nothing is, as far as is known without asking the system: it may be chosen to close.
    Idle(IdleKey),
    /// It is idle and asked to close now, if nothing comes on it before.
    Asked,
    /// It is idle and owes its place, which it gives at this time, if nothing is read on it before (Unix seconds).
    ClosesAt(f64),
    /// It is being closed.
    Closing,
}

/// The client connections of one front.
#[derive(Default)]
pub(super) struct ConnectionTable {
    next_number: Cell<u64>,
    idle: RefCell<BTreeMap<IdleKey, Rc<Entry>>>,
    /// Those that are asked to close.
    asked: RefCell<Vec<Rc<Entry>>>,
    /// Those whose place was given to a new client and that something was read on just then: the first to owe it first.
    owing: RefCell<Vec<Rc<Entry>>>,
    close_all: Cell<CloseAll>,
    lingering: Cell<usize>,
    extra_most: usize,
    open: Cell<usize>,
    closing: Cell<usize>,
    closed: Notify,
    /// A place was given, or one that was asked for it stays.
    places_changed: Notify,
}

impl ConnectionTable {
    /// An empty table. Beside those that have a place, so many connections may linger, and so many may be about to give
    /// theirs to new clients that are there already.
    pub(super) fn new(extra_most: usize) -> Rc<Self> {
        Rc::new(ConnectionTable { extra_most, ..ConnectionTable::default() })
    }

    /// How many connections are open.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// How many connections are open and not being closed: each has a place that is nobody else's.
    pub(super) fn places_taken(&self) -> usize {
        self.open.get() - self.closing.get()
    }

    /// How many connections may be chosen to close.
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

    /// Has every connection close as soon as it is idle and its client's system has its last answer.
    pub(super) fn close_all_immediately(&self) {
        self.set_close_all(CloseAll::Immediately);
    }

    /// Has every connection close right behind its last answer, unless its client's system is known to have no room for that.
    pub(super) fn close_all_behind_answers(&self) {
        self.set_close_all(CloseAll::BehindAnswers);
    }

    fn set_close_all(&self, close_all: CloseAll) {
        self.close_all.set(close_all);
        self.idle.borrow().values().for_each(|entry| entry.changed.notify_one());
        self.owing.borrow().iter().for_each(|entry| entry.changed.notify_one());
    }

    /// Makes a place for a new client: an idle connection is asked to close, and the new client is beside it for that moment.
    /// Where many are beside already, waits until they closed; `false` if none is idle, or they stay.
    pub(super) async fn make_place(&self) -> bool {
        while self.asked.borrow().len() + self.owing.borrow().len() >= self.extra_most {
            if self.asked.borrow().is_empty() {
                return false;
            }
            self.places_changed.notified().await;
        }
        self.close_most_idle()
    }

    /// Asks the first idle connection to close, so that another gets its place; is there one? One that has spoken and is in
    /// the middle of a message comes last: the others lose nothing. Nobody is asked while many owe their place.
    pub(super) fn close_most_idle(&self) -> bool {
        self.ask_for_place().is_some()
    }

    /// The same; which is it?
    fn ask_for_place(&self) -> Option<Rc<Entry>> {
        if self.owing.borrow().len() >= self.extra_most {
            return None;
        }
        let between_messages = |entry: &Entry| !entry.spoken.get() || !entry.mid_message.get();
        self.take_place_given_for_memory()
            .or_else(|| self.close_first(CloseReason::Place, between_messages))
            .or_else(|| self.close_first(CloseReason::Place, |_| true))
    }

    /// Gives a new client the place of one that is asked to close for its memory, if there is one.
    fn take_place_given_for_memory(&self) -> Option<Rc<Entry>> {
        let asked = self.asked.borrow();
        asked.iter().find(|entry| !entry.owes_place.replace(true)).cloned()
    }

    /// Asks the first idle connection to close for its memory, but only one that was left to its client for [`IDLE_GRACE`] and
    /// is not in the middle of a message.
    pub(super) fn close_idle_since_grace(&self, now: f64) -> bool {
        let since = now - IDLE_GRACE;
        let may_close = |entry: &Entry| entry.idle_since.get() <= since && !entry.mid_message.get();
        self.close_first(CloseReason::Memory, may_close).is_some()
    }

    /// The same for a new client, to which also those give way that never said anything usable.
    pub(super) fn close_idle_for_newcomer(&self, now: f64) -> bool {
        let unspoken = |entry: &Entry| !entry.spoken.get();
        self.close_first(CloseReason::Memory, unspoken).is_some() || self.close_idle_since_grace(now)
    }

    /// The same without that time, for a new client that waited for it.
    pub(super) fn close_idle_for_memory(&self) -> bool {
        let between_messages = |entry: &Entry| !entry.mid_message.get();
        self.close_first(CloseReason::Memory, between_messages)
            .or_else(|| self.close_first(CloseReason::Memory, |_| true))
            .is_some()
    }

    /// Asks the first idle connection that may close to do so, and passes over those whose clients have no room for their
    /// answers: what is idle is a candidate, and only the system knows at this moment whether its client can see an end. One
    /// that was answered just now and whose acknowledgement is not here yet is asked, and its task waits for that. One that was
    /// sent something later than it became idle is idle since then.
    fn close_first(&self, reason: CloseReason, may_close: impl Fn(&Entry) -> bool) -> Option<Rc<Entry>> {
        while let Some(entry) = self.take_first(&may_close) {
            if entry.socket.delivery().is_blocked() {
                entry.state.set(State::Active);
                entry.changed.notify_one();
                continue;
            }
            entry.postpone_to_last_sent();
            if may_close(&entry) {
                self.ask_to_close(&entry, reason);
                return Some(entry);
            }
            self.add_idle(&entry);
            entry.changed.notify_one();
        }
        None
    }

    fn take_first(&self, may_close: impl Fn(&Entry) -> bool) -> Option<Rc<Entry>> {
        let mut idle = self.idle.borrow_mut();
        let key = idle.iter().find(|(_, entry)| may_close(entry)).map(|(key, _)| *key)?;
        idle.remove(&key)
    }

    fn ask_to_close(&self, entry: &Rc<Entry>, reason: CloseReason) {
        entry.owes_place.set(reason == CloseReason::Place);
        entry.state.set(State::Asked);
        entry.changed.notify_one();
        self.asked.borrow_mut().push(entry.clone());
    }

    /// Has another idle connection give its place for this one, which owes it and whose client is in the middle of something;
    /// is there one? Clients that never said anything usable close all the same.
    fn pass_debt(&self, debtor: &Rc<Entry>) -> bool {
        if !debtor.spoken.get() {
            return false;
        }
        remove(&self.owing, debtor);
        let Some(other) = self.ask_for_place() else {
            self.owing.borrow_mut().insert(0, debtor.clone());
            return false;
        };
        debtor.owes_place.set(false);
        other.debtor.replace(Rc::downgrade(debtor));
        true
    }

    /// The place that another was to give for this connection is not given: it owes it again, unless its own is given already.
    fn take_debt_back(&self, debtor: &Rc<Entry>) -> bool {
        let state = debtor.state.get();
        if state == State::Closing || debtor.owes_place.replace(true) {
            return false;
        }
        if state == State::Asked {
            return true;
        }
        if let State::Idle(key) = state {
            self.idle.borrow_mut().remove(&key);
        }
        self.owing.borrow_mut().insert(0, debtor.clone());
        let passed = self.pass_debt(debtor);
        if let State::Idle(key) = state {
            self.keep_or_close_later(debtor, key, passed);
        }
        true
    }

    /// An idle connection stays where another gives its place, or closes once its client had the time to read.
    fn keep_or_close_later(&self, entry: &Rc<Entry>, key: IdleKey, stays: bool) {
        if stays {
            self.idle.borrow_mut().insert(key, entry.clone());
            return;
        }
        entry.state.set(State::ClosesAt(entry.read_by()));
        entry.changed.notify_one();
    }

    /// A connection has closed for reasons of its own: the first that owes its place keeps it.
    fn forgive_first_owing(&self) {
        let first = self.owing.borrow().first().cloned();
        if let Some(entry) = first {
            self.forgive(&entry);
            if matches!(entry.state.get(), State::ClosesAt(_)) {
                self.add_idle(&entry);
                entry.changed.notify_one();
            }
        }
    }

    /// A connection owes its place no more.
    fn forgive(&self, entry: &Rc<Entry>) {
        entry.owes_place.set(false);
        remove(&self.owing, entry);
    }

    fn add_idle(&self, entry: &Rc<Entry>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (entry.spoken.get(), number);
        entry.state.set(State::Idle(key));
        self.idle.borrow_mut().insert(key, entry.clone());
    }
}

/// Takes an entry off a list; was it there?
fn remove(list: &RefCell<Vec<Rc<Entry>>>, entry: &Rc<Entry>) -> bool {
    let mut list = list.borrow_mut();
    let place = list.iter().position(|other| Rc::ptr_eq(other, entry));
    place.map(|place| list.remove(place)).is_some()
}

/// What the table knows of a connection.
struct Entry {
    socket: Rc<dyn SendState>,
    state: Cell<State>,
    /// Since when it is idle (Unix seconds).
    idle_since: Cell<f64>,
    /// Something usable has come from its client.
    spoken: Cell<bool>,
    /// Part of a message has come from its client.
    mid_message: Cell<bool>,
    /// A new client has its place, and it did not close yet.
    owes_place: Cell<bool>,
    /// The connection that owed the place before, and has it given by this one.
    debtor: RefCell<Weak<Entry>>,
    /// Its state, or when it is to close, may have changed.
    changed: Notify,
}

impl Entry {
    /// Its last answer may have been sent later than it became idle, to a client that had no room for it before: its client's
    /// time to read begins then. Was it so?
    fn postpone_to_last_sent(&self) -> bool {
        let later = self.socket.sent_at().filter(|&at| at > self.idle_since.get());
        later.inspect(|&at| self.idle_since.set(at)).is_some()
    }

    /// Its client has read its last answer by then, if it was sent one (Unix seconds).
    fn read_by(&self) -> f64 {
        self.idle_since.get() + if self.spoken.get() { IDLE_GRACE } else { 0.0 }
    }
}

/// A client connection's place in the table, from its accept until its end.
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    entry: Rc<Entry>,
}

impl ConnectionSlot {
    /// A place for a new connection. It is idle from the start, since it may be asked to close before its task runs.
    pub(super) fn new(table: Rc<ConnectionTable>, socket: Rc<dyn SendState>, now: f64) -> Self {
        table.open.set(table.open.get() + 1);
        let entry = Rc::new(Entry {
            socket,
            state: Cell::default(),
            idle_since: Cell::default(),
            spoken: Cell::default(),
            mid_message: Cell::default(),
            owes_place: Cell::default(),
            debtor: RefCell::default(),
            changed: Notify::default(),
        });
        let slot = ConnectionSlot { table, entry };
        slot.mark_idle(now, false, false);
        slot
    }

    /// The connection waits for its client, which has sent something usable before, or has not, and may be in the middle of a
    /// message: nothing is open, and nothing is known to be unsent.
    pub fn mark_idle(&self, now: f64, spoken: bool, mid_message: bool) {
        let entry = &self.entry;
        entry.mid_message.set(mid_message);
        if self.is_idle() {
            return;
        }
        entry.spoken.set(spoken);
        entry.idle_since.set(now);
        if entry.owes_place.get() && !self.table.pass_debt(entry) {
            entry.state.set(State::ClosesAt(entry.read_by()));
        } else {
            self.table.add_idle(entry);
        }
    }

    /// Something was read from the client, is owed to it, or is not sent. If it was asked to close, another may do so in its
    /// stead.
    pub fn mark_active(&self) {
        if !self.is_idle() {
            return;
        }
        match self.entry.state.replace(State::Active) {
            State::Idle(key) => {
                self.table.idle.borrow_mut().remove(&key);
            }
            State::Asked => self.stay(),
            State::ClosesAt(_) | State::Active | State::Closing => {}
        }
    }

    /// The connection was asked to close, and does not. Where a new client has its place, another gives that, or it is owed.
    fn stay(&self) {
        remove(&self.table.asked, &self.entry);
        if self.entry.owes_place.get() && !self.return_debt() {
            self.table.owing.borrow_mut().push(self.entry.clone());
            self.table.pass_debt(&self.entry);
        }
        self.table.places_changed.notify_one();
    }

    /// Gives the debt back to the connection that passed it on, if that can have it.
    fn return_debt(&self) -> bool {
        let debtor = self.entry.debtor.take().upgrade();
        let returned = debtor.is_some_and(|debtor| self.table.take_debt_back(&debtor));
        if returned {
            self.entry.owes_place.set(false);
        }
        returned
    }

    /// The connection closes now: its place is free from now on.
    pub fn begin_close(&self) {
        let entry = &self.entry;
        let before = entry.state.replace(State::Closing);
        if before == State::Closing {
            return;
        }
        if let State::Idle(key) = before {
            self.table.idle.borrow_mut().remove(&key);
        }
        let asked = remove(&self.table.asked, entry);
        if entry.owes_place.get() {
            self.table.forgive(entry);
        } else if !asked {
            self.table.forgive_first_owing();
        }
        self.table.closing.set(self.table.closing.get() + 1);
        self.table.places_changed.notify_one();
    }

    /// Is the connection idle, as far as is known?
    pub fn is_idle(&self) -> bool {
        matches!(self.entry.state.get(), State::Idle(_) | State::Asked | State::ClosesAt(_))
    }

    /// When the idle connection is to close, if it is asked to (Unix seconds).
    pub fn closes_at(&self) -> Option<f64> {
        let asked = match self.entry.state.get() {
            State::Active | State::Closing => return None,
            State::Idle(_) => f64::INFINITY,
            State::Asked => self.entry.idle_since.get(),
            State::ClosesAt(at) => at,
        };
        let all = match self.table.close_all.get() {
            CloseAll::No => f64::INFINITY,
            CloseAll::AfterReading => self.entry.read_by(),
            CloseAll::Immediately | CloseAll::BehindAnswers => self.entry.idle_since.get(),
        };
        Some(asked.min(all)).filter(|at| at.is_finite())
    }

    /// The system told when it last sent something: if that was later than the connection became idle, it is idle since then,
    /// and is to close later. Was it so?
    pub fn postpone_to_last_sent(&self) -> bool {
        let postponed = self.entry.postpone_to_last_sent();
        if let State::ClosesAt(_) = self.entry.state.get() {
            self.entry.state.set(State::ClosesAt(self.entry.read_by()));
        }
        postponed
    }

    /// Since when the connection is idle, if it is (Unix seconds).
    pub fn idle_since(&self) -> f64 {
        self.entry.idle_since.get()
    }

    /// Waits until what the table holds of the connection may have changed: whether it is idle and since when, or when it is to
    /// close.
    pub async fn changed(&self) {
        self.entry.changed.notified().await;
    }

    /// Are all connections to close as soon as they are idle?
    pub fn is_closing_all(&self) -> bool {
        self.table.is_closing_all()
    }

    /// Is the connection to close right behind its last answer?
    pub fn closes_behind_answers(&self) -> bool {
        self.table.close_all.get() == CloseAll::BehindAnswers
    }

    /// Is something that was written known to be unsent, or without room at the client? Once all connections close, the
    /// client's time to read its last answer begins as that is sent, so that the system is asked.
    pub fn is_send_blocked(&self) -> bool {
        match self.is_closing_all() {
            true => self.entry.socket.delivery().is_blocked(),
            false => self.entry.socket.is_known_unsent(),
        }
    }

    /// A permit to wait, after this side was shut, for the client to close too. `None` where so many do that they would take
    /// the place of others; once all close, no others are to come.
    pub fn linger(&self) -> Option<LingerPermit> {
        let lingering = self.table.lingering.get();
        (self.is_closing_all() || lingering < self.table.extra_most).then(|| {
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

/// Permission to linger; given back when it is dropped.
pub struct LingerPermit(Rc<ConnectionTable>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

#[cfg(test)]
mod tests;
