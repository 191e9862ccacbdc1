//! Tests of `connections.rs`.

use super::{ConnectionSlot, ConnectionTable, IDLE_GRACE, SendState};
use crate::net::Delivery;
use std::cell::Cell;
use std::rc::Rc;

/// A socket that reports whether all that was written is delivered.
struct DeliveredSocket(Cell<bool>);

impl SendState for DeliveredSocket {
    fn delivery(&self) -> Delivery {
        if self.0.get() { Delivery::Delivered } else { Delivery::Unsent }
    }

    fn sent_at(&self) -> Option<f64> {
        None
    }

    fn is_known_unsent(&self) -> bool {
        !self.0.get()
    }
}

/// A socket whose last bytes were sent at this time and are not acknowledged.
struct InFlightSocket(Cell<f64>);

impl SendState for InFlightSocket {
    fn delivery(&self) -> Delivery {
        Delivery::InFlight
    }

    fn sent_at(&self) -> Option<f64> {
        Some(self.0.get())
    }

    fn is_known_unsent(&self) -> bool {
        false
    }
}

fn delivered() -> Rc<DeliveredSocket> {
    Rc::new(DeliveredSocket(Cell::new(true)))
}

/// A table with a connection for each of these: whether it has sent a usable command, and since when it is
/// idle.
fn table(connections: &[(bool, f64)]) -> (Rc<ConnectionTable>, Vec<ConnectionSlot>) {
    let table = ConnectionTable::new(1);
    let idle = |&(has_sent_command, since): &(bool, f64)| {
        let slot = ConnectionSlot::new(table.clone(), delivered(), since);
        slot.mark_active();
        slot.mark_idle(since, has_sent_command, false);
        slot
    };
    let slots = connections.iter().map(idle).collect();
    (table, slots)
}

/// For each connection, whether it is to close.
fn closing(slots: &[ConnectionSlot]) -> Vec<bool> {
    slots.iter().map(|slot| slot.closes_at().is_some()).collect()
}

#[test]
fn connections_without_a_command_are_evicted_first_then_the_longest_idle() {
    let (table, slots) = table(&[(true, 1.0), (false, 2.0), (true, 3.0)]);
    assert!(table.evict_idle());
    assert_eq!(closing(&slots), [false, true, false]);
    assert!(table.evict_idle() && table.evict_idle() && !table.evict_idle());
    assert_eq!(closing(&slots), [true, true, true]);
}

#[test]
fn scarce_memory_evicts_only_connections_whose_grace_period_has_passed() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5), (false, 1.2)]);
    assert!(!table.evict_after_grace(1.0 + 0.9 * IDLE_GRACE));
    assert!(table.evict_after_grace(1.0 + IDLE_GRACE));
    assert_eq!(closing(&slots), [true, false, false], "the one without a command is new");
    assert!(!table.evict_after_grace(1.0 + IDLE_GRACE));
    assert!(table.evict_after_grace(1.5 + IDLE_GRACE));
    assert_eq!(closing(&slots), [true, false, true]);
}

/// A client that has not received its answers cannot see an end of stream. The system has to be asked for
/// that.
#[test]
fn eviction_skips_connections_with_unsent_answers() {
    let table = ConnectionTable::new(1);
    let sockets = [delivered(), delivered()];
    let slots = sockets.each_ref().map(|socket| ConnectionSlot::new(table.clone(), socket.clone(), 1.0));
    sockets[0].0.set(false);
    assert!(table.evict_after_grace(1.0 + IDLE_GRACE));
    assert_eq!(closing(&slots), [false, true]);
    assert!(!slots[0].is_idle(), "it is known to have unsent bytes, and its task waits for them to be sent");
    assert!(!table.evict_ignoring_grace());
    sockets[0].0.set(true);
    slots[0].mark_idle(3.0, true, false);
    assert!(!table.evict_after_grace(2.9 + IDLE_GRACE), "its client has just been sent the last bytes");
    assert!(table.evict_ignoring_grace());
    assert_eq!(closing(&slots), [true, true]);
}

/// A request comes on a connection that has a close request for a new connection, and another one is idle.
#[test]
fn a_request_that_crosses_a_close_request_moves_it_to_another_idle_connection() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    assert!(table.evict_idle());
    slots[0].mark_active();
    assert_eq!(slots[1].closes_at(), Some(1.5), "a new connection was accepted for one of their slots");
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), None);
}

/// A request comes on a connection that has a close request for a new connection, and no other is idle:
/// exactly one connection closes, after its grace period.
#[test]
fn a_request_that_crosses_a_close_request_delays_it_until_after_the_grace_period() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[1].mark_active();
    assert!(table.evict_idle());
    slots[0].mark_active();
    assert_eq!(slots[0].closes_at(), None, "it is not idle");
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), Some(2.0 + IDLE_GRACE), "a new connection was accepted for its slot");
    assert!(!table.evict_idle(), "its slot is reserved already");
    slots[1].mark_idle(2.5, true, false);
    assert_eq!(slots[1].closes_at(), None);
}

/// Another connection has become idle before the one whose slot is reserved: that one closes, which is
/// sooner.
#[test]
fn a_reservation_moves_to_a_connection_that_is_idle_sooner() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[1].mark_active();
    assert!(table.evict_idle());
    slots[0].mark_active();
    slots[1].mark_idle(2.0, true, false);
    slots[0].mark_idle(3.0, true, false);
    assert_eq!((slots[0].closes_at(), slots[1].closes_at()), (None, Some(2.0)));
}

/// The slot of a connection that is evicted for its memory is not reserved: it stays open if a request comes
/// first.
#[test]
fn a_request_that_crosses_an_eviction_for_memory_cancels_it() {
    let (table, slots) = table(&[(true, 1.0)]);
    assert!(table.evict_after_grace(1.0 + IDLE_GRACE));
    slots[0].mark_active();
    slots[0].mark_idle(3.0, true, false);
    assert_eq!(slots[0].closes_at(), None);
    assert!(!table.evict_after_grace(2.9 + IDLE_GRACE));
}

/// A closing connection holds no slot and is not evicted; its slot is freed once, however often it is marked.
#[test]
fn a_closing_connection_is_neither_counted_nor_evicted() {
    let (table, mut slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[0].begin_close();
    slots[0].begin_close();
    assert_eq!((table.slots_in_use(), table.open()), (1, 2));
    assert!(table.evict_idle() && !table.evict_idle());
    assert_eq!(closing(&slots), [false, true]);
    slots.remove(0);
    assert_eq!((table.slots_in_use(), table.open()), (1, 1));
}

#[test]
fn when_all_close_each_has_its_grace_period_until_the_end() {
    let (table, slots) = table(&[(true, 1.0), (false, 1.0)]);
    table.close_all_after_grace();
    assert_eq!(slots[0].closes_at(), Some(1.0 + IDLE_GRACE));
    assert_eq!(slots[1].closes_at(), Some(1.0), "it was sent nothing");
    table.close_all_after_delivery();
    assert_eq!(slots[0].closes_at(), Some(1.0));
}

#[test]
fn a_connection_in_the_middle_of_a_message_is_evicted_for_new_connections_only() {
    let (table, slots) = table(&[(true, 1.0), (true, 2.0)]);
    slots[0].mark_idle(1.0, true, true);
    assert!(table.evict_after_grace(10.0) && !table.evict_after_grace(10.0));
    assert_eq!(closing(&slots), [false, true]);
    assert!(table.evict_idle());
    assert_eq!(
        closing(&slots),
        [false, true],
        "the new connection gets the slot of the one that closes already"
    );
    assert!(table.evict_idle() && !table.evict_idle());
    assert_eq!(closing(&slots), [true, true]);
}

/// Many new connections come, and the first request of each crosses its close request for the next one. The
/// connections open beyond the limit must stay bounded, or the front exceeds its limit of descriptors.
#[test]
fn reserved_slots_are_bounded() {
    const MAX_CONNECTIONS: usize = 8;
    const MAX_EXTRA: usize = 1;
    let table = ConnectionTable::new(MAX_EXTRA);
    let mut slots = Vec::new();
    for accepted_at in 0..100 {
        // As the acceptor does.
        if table.slots_in_use() >= MAX_CONNECTIONS && !table.evict_idle() {
            continue;
        }
        let closing = slots.iter().filter(|slot: &&ConnectionSlot| slot.closes_at().is_some());
        closing.for_each(ConnectionSlot::mark_active);
        slots.push(ConnectionSlot::new(table.clone(), delivered(), f64::from(accepted_at)));
    }
    assert!(
        table.open() <= MAX_CONNECTIONS + MAX_EXTRA,
        "{} are open, of {MAX_CONNECTIONS} and {MAX_EXTRA}",
        table.open()
    );
}

/// Guards against refusing a new connection although the slot of one that is evicted for its memory is about
/// to be free.
#[test]
fn a_new_connection_gets_the_slot_of_one_evicted_for_memory() {
    let (table, slots) = table(&[(true, 1.0)]);
    assert!(table.evict_after_grace(1.0 + IDLE_GRACE));
    assert_eq!(closing(&slots), [true]);
    assert!(table.evict_idle(), "the new connection is refused, and then none is open");
}

/// A connection whose slot is reserved closes after its grace period; the end of the front does not wait for
/// that.
#[tokio::test]
async fn the_end_of_the_front_wakes_a_connection_that_is_to_close_later() {
    let (table, slots) = table(&[(true, 1.0)]);
    assert!(table.evict_idle());
    slots[0].mark_active();
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), Some(2.0 + IDLE_GRACE));
    slots[0].changed().await;
    table.close_all_after_delivery();
    assert_eq!(slots[0].closes_at(), Some(2.0));
    let woken = tokio::time::timeout(std::time::Duration::ZERO, slots[0].changed()).await;
    assert!(woken.is_ok(), "its task still sleeps until the previous time of its close");
}

/// Another connection ends by itself: its slot serves the new connection, and the reservation is cancelled.
#[test]
fn a_slot_that_becomes_free_cancels_a_reservation() {
    const MAX_CONNECTIONS: usize = 2;
    let (table, mut slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[1].mark_active();
    assert!(table.slots_in_use() >= MAX_CONNECTIONS && table.evict_idle());
    slots[0].mark_active();
    let new_connection = ConnectionSlot::new(table.clone(), delivered(), 2.0);
    new_connection.mark_active();
    // The client of the other connection leaves.
    drop(slots.pop());
    assert_eq!(table.slots_in_use(), MAX_CONNECTIONS);
    slots[0].mark_idle(3.0, true, false);
    assert_eq!(slots[0].closes_at(), None, "it closes, and a slot stays unused");
}

/// Short answers were unsent, which is known only by asking the system, and were sent just now.
#[tokio::test]
async fn the_grace_period_begins_when_the_last_answer_is_sent() {
    use crate::net::ClientSocket;
    use std::io::{IoSlice, Read};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = onyxyoke_stand_ins::scripted::connect_with_small_buffer(listener.local_addr().unwrap());
    let socket = Rc::new(ClientSocket::new(listener.accept().await.unwrap().0));
    let table = ConnectionTable::new(1);
    let now = crate::clock::now();
    let slot = ConnectionSlot::new(table.clone(), socket.clone(), now - 10.0);
    slot.mark_active();
    // Short answers that together exceed the peer's receive buffer.
    let answers = 40;
    (0..answers)
        .for_each(|_| assert_eq!(socket.try_write_vectored(&[IoSlice::new(&[b'x'; 900])]).unwrap(), 900));
    let arrived = peer.peek(&mut [0; 64 * 1024]).unwrap();
    assert!(arrived < answers * 900, "the harness: the peer had room for all");
    // Its task marked it as idle a while ago.
    slot.mark_idle(now - 2.0 * IDLE_GRACE, true, false);
    // Its client reads again, and is sent the last bytes only now.
    peer.read_exact(&mut vec![0; answers * 900]).unwrap();
    table.evict_after_grace(crate::clock::now());
    assert_eq!(slot.closes_at(), None, "it is closed right when its last answers arrive");
}

/// A reservation is transferred to a new connection whose first request comes just then. Guards against the
/// connection that held it having its slot reserved a second time.
#[test]
fn a_reservation_transferred_to_a_new_connection_returns_when_that_sends_a_command() {
    let table = ConnectionTable::new(3);
    let first = ConnectionSlot::new(table.clone(), delivered(), 1.0);
    first.mark_active();
    first.mark_idle(1.0, true, false);
    assert!(table.evict_idle());
    let new_connection = ConnectionSlot::new(table.clone(), delivered(), 2.0);
    first.mark_active();
    assert_eq!(new_connection.closes_at(), Some(2.0), "it has sent nothing, and is to free the slot");
    new_connection.mark_active();
    first.mark_idle(2.0, true, false);
    assert!(!table.evict_idle(), "its slot is reserved already");
    new_connection.mark_idle(2.5, true, false);
    assert_eq!((first.closes_at(), new_connection.closes_at()), (Some(2.0 + IDLE_GRACE), None));
}

/// The connection to which the reservation returns is idle again by then: it closes once, after its grace
/// period.
#[test]
fn a_reservation_that_returns_to_an_idle_connection_closes_it_after_the_grace_period() {
    let table = ConnectionTable::new(3);
    let first = ConnectionSlot::new(table.clone(), delivered(), 1.0);
    first.mark_active();
    first.mark_idle(1.0, true, false);
    assert!(table.evict_idle());
    let new_connection = ConnectionSlot::new(table.clone(), delivered(), 2.0);
    first.mark_active();
    first.mark_idle(2.0, true, false);
    assert_eq!(first.closes_at(), None, "the new connection is to free the slot");
    new_connection.mark_active();
    assert_eq!(first.closes_at(), Some(2.0 + IDLE_GRACE));
    assert!(!table.evict_idle(), "its slot is reserved already");
}

/// The last answer of the longest idle connection was sent only just now, and another is idle: that one is
/// evicted, and the first later.
#[tokio::test]
async fn scarce_memory_evicts_the_next_connection_where_the_first_was_answered_just_now() {
    let table = ConnectionTable::new(1);
    let idle_since = |socket: Rc<dyn SendState>, since| {
        let slot = ConnectionSlot::new(table.clone(), socket, since);
        slot.mark_active();
        slot.mark_idle(since, true, false);
        slot
    };
    let slots = [idle_since(Rc::new(InFlightSocket(Cell::new(5.0))), 1.0), idle_since(delivered(), 2.0)];
    assert!(table.evict_after_grace(5.0));
    assert_eq!(closing(&slots), [false, true]);
    assert!(slots[0].is_idle(), "it may be evicted for a new connection");
    // Its task postpones its close, too.
    assert_eq!(slots[0].idle_since(), 5.0);
    let woken = tokio::time::timeout(std::time::Duration::ZERO, slots[0].changed()).await;
    assert!(woken.is_ok(), "its task still sleeps until the previous time of its close");
    assert!(!table.evict_after_grace(4.9 + IDLE_GRACE));
    assert!(table.evict_after_grace(5.0 + IDLE_GRACE));
    assert_eq!(closing(&slots), [true, true]);
}

/// A new connection does not wait for the acknowledgement of an answer that another was sent just now.
#[test]
fn a_new_connection_gets_the_slot_of_one_that_was_answered_just_now() {
    let table = ConnectionTable::new(1);
    let slot = ConnectionSlot::new(table.clone(), Rc::new(InFlightSocket(Cell::new(5.0))), 1.0);
    slot.mark_active();
    slot.mark_idle(5.0, true, false);
    assert!(table.evict_idle());
    assert_eq!(slot.closes_at(), Some(5.0));
}

/// The system is asked at the time of the close when the last answer was sent; a scheduled close is postponed
/// once.
#[test]
fn the_grace_period_of_a_reserved_slot_begins_when_the_last_answer_was_sent() {
    let table = ConnectionTable::new(1);
    let socket = Rc::new(InFlightSocket(Cell::new(1.0)));
    let slot = ConnectionSlot::new(table.clone(), socket.clone(), 1.0);
    slot.mark_active();
    slot.mark_idle(1.0, true, false);
    assert!(table.evict_idle());
    slot.mark_active();
    slot.mark_idle(2.0, true, false);
    assert_eq!(slot.closes_at(), Some(2.0 + IDLE_GRACE));
    socket.0.set(2.5);
    assert!(slot.postpone_to_last_sent());
    assert_eq!(slot.closes_at(), Some(2.5 + IDLE_GRACE));
    assert!(!slot.postpone_to_last_sent(), "it would never close");
}

/// All connections close, and one was sent its last answer after it became idle.
#[test]
fn when_all_close_the_grace_period_begins_when_the_last_answer_was_sent() {
    let table = ConnectionTable::new(1);
    let slot = ConnectionSlot::new(table.clone(), Rc::new(InFlightSocket(Cell::new(2.5))), 1.0);
    slot.mark_active();
    slot.mark_idle(1.0, true, false);
    table.close_all_after_grace();
    assert!(slot.postpone_to_last_sent());
    assert_eq!(slot.closes_at(), Some(2.5 + IDLE_GRACE));
}
