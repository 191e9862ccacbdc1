//! Tests of `connections.rs`.

use super::{ConnectionSlot, ConnectionTable, IDLE_GRACE, SendState};
use crate::net::Delivery;
use std::cell::Cell;
use std::rc::Rc;

/// A socket of which is told whether all that was written is sent.
struct Socket(Cell<bool>);

impl SendState for Socket {
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

/// A socket whose last answer was sent at this time.
struct SentAt(Cell<f64>);

impl SendState for SentAt {
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

fn sent() -> Rc<Socket> {
    Rc::new(Socket(Cell::new(true)))
}

/// A table with a connection for each of these: whether it has spoken, and since when it is idle.
fn table(connections: &[(bool, f64)]) -> (Rc<ConnectionTable>, Vec<ConnectionSlot>) {
    let table = ConnectionTable::new(1);
    let idle = |&(spoken, since): &(bool, f64)| {
        let slot = ConnectionSlot::new(table.clone(), sent(), since);
        slot.mark_active();
        slot.mark_idle(since, spoken, false);
        slot
    };
    let slots = connections.iter().map(idle).collect();
    (table, slots)
}

fn asked(slots: &[ConnectionSlot]) -> Vec<bool> {
    slots.iter().map(|slot| slot.closes_at().is_some()).collect()
}

#[test]
fn those_that_never_spoke_give_way_first_then_the_longest_idle() {
    let (table, slots) = table(&[(true, 1.0), (false, 2.0), (true, 3.0)]);
    assert!(table.close_most_idle());
    assert_eq!(asked(&slots), [false, true, false]);
    assert!(table.close_most_idle() && table.close_most_idle() && !table.close_most_idle());
    assert_eq!(asked(&slots), [true, true, true]);
}

#[test]
fn scarce_memory_closes_only_those_that_were_left_to_their_client() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5), (false, 1.2)]);
    assert!(!table.close_idle_since_grace(1.0 + 0.9 * IDLE_GRACE));
    assert!(table.close_idle_since_grace(1.0 + IDLE_GRACE));
    assert_eq!(asked(&slots), [true, false, false], "the one that has not spoken is new");
    assert!(!table.close_idle_since_grace(1.0 + IDLE_GRACE));
    assert!(table.close_idle_since_grace(1.5 + IDLE_GRACE));
    assert_eq!(asked(&slots), [true, false, true]);
}

/// A client that has taken little of its answers, which costs a question to find out, cannot see an end.
#[test]
fn whoever_wants_to_close_passes_over_those_whose_answers_are_not_sent() {
    let table = ConnectionTable::new(1);
    let sockets = [sent(), sent()];
    let slots = sockets.each_ref().map(|socket| ConnectionSlot::new(table.clone(), socket.clone(), 1.0));
    sockets[0].0.set(false);
    assert!(table.close_idle_since_grace(1.0 + IDLE_GRACE));
    assert_eq!(asked(&slots), [false, true]);
    assert!(!slots[0].is_idle(), "it is known now, and its task waits for it to be sent");
    assert!(!table.close_idle_for_memory());
    sockets[0].0.set(true);
    slots[0].mark_idle(3.0, true, false);
    assert!(!table.close_idle_since_grace(2.9 + IDLE_GRACE), "its client has just been sent the rest");
    assert!(table.close_idle_for_memory());
    assert_eq!(asked(&slots), [true, true]);
}

/// A request comes on a connection that is asked to close for a new client: another that is idle gives its place.
#[test]
fn one_whose_request_comes_as_it_is_to_close_stays_and_another_closes_at_once() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    assert!(table.close_most_idle());
    slots[0].mark_active();
    assert_eq!(slots[1].closes_at(), Some(1.5), "another was accepted for one of them");
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), None);
}

/// The same where no other is idle: one closes for a client that was accepted, and only one, whose client had the time to read.
#[test]
fn one_that_is_asked_to_close_as_its_request_comes_closes_behind_the_answer() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[1].mark_active();
    assert!(table.close_most_idle());
    slots[0].mark_active();
    assert_eq!(slots[0].closes_at(), None, "it is not idle");
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), Some(2.0 + IDLE_GRACE), "another was accepted for it");
    assert!(!table.close_most_idle(), "its place is given away already");
    slots[1].mark_idle(2.5, true, false);
    assert_eq!(slots[1].closes_at(), None);
}

/// The same where another has become idle by then: that one closes, which is sooner.
#[test]
fn a_place_that_is_owed_is_given_by_the_next_that_is_idle() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[1].mark_active();
    assert!(table.close_most_idle());
    slots[0].mark_active();
    slots[1].mark_idle(2.0, true, false);
    slots[0].mark_idle(3.0, true, false);
    assert_eq!((slots[0].closes_at(), slots[1].closes_at()), (None, Some(2.0)));
}

/// Nobody has the place of one that scarce memory asks to close, and its client has begun something.
#[test]
fn one_that_scarce_memory_asks_to_close_as_its_request_comes_stays() {
    let (table, slots) = table(&[(true, 1.0)]);
    assert!(table.close_idle_since_grace(1.0 + IDLE_GRACE));
    slots[0].mark_active();
    slots[0].mark_idle(3.0, true, false);
    assert_eq!(slots[0].closes_at(), None);
    assert!(!table.close_idle_since_grace(2.9 + IDLE_GRACE));
}

/// What is being closed has no place any more, which is counted once, and is not chosen to close again.
#[test]
fn one_that_is_being_closed_is_neither_counted_nor_chosen() {
    let (table, mut slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[0].begin_close();
    slots[0].begin_close();
    assert_eq!((table.places_taken(), table.open()), (1, 2));
    assert!(table.close_most_idle() && !table.close_most_idle());
    assert_eq!(asked(&slots), [false, true]);
    slots.remove(0);
    assert_eq!((table.places_taken(), table.open()), (1, 1));
}

#[test]
fn when_all_close_each_has_the_time_to_read_until_the_end() {
    let (table, slots) = table(&[(true, 1.0), (false, 1.0)]);
    table.close_all_after_reading();
    assert_eq!(slots[0].closes_at(), Some(1.0 + IDLE_GRACE));
    assert_eq!(slots[1].closes_at(), Some(1.0), "it was sent nothing");
    table.close_all_immediately();
    assert_eq!(slots[0].closes_at(), Some(1.0));
}

#[test]
fn scarce_memory_closes_none_in_the_middle_of_a_message_but_a_crowd_does() {
    let (table, slots) = table(&[(true, 1.0), (true, 2.0)]);
    slots[0].mark_idle(1.0, true, true);
    assert!(table.close_idle_since_grace(10.0) && !table.close_idle_since_grace(10.0));
    assert_eq!(asked(&slots), [false, true]);
    assert!(table.close_most_idle());
    assert_eq!(asked(&slots), [false, true], "the newcomer has the place of the one that closes already");
    assert!(table.close_most_idle() && !table.close_most_idle());
    assert_eq!(asked(&slots), [true, true]);
}

/// A crowd of newcomers, each of whose first requests comes just as it is asked to close for the next: what is open beside the
/// places is bounded, or the front has more descriptors than it may.
#[test]
fn places_that_are_owed_do_not_add_up() {
    const MOST: usize = 8;
    const LINGERING: usize = 1;
    let table = ConnectionTable::new(LINGERING);
    let mut slots = Vec::new();
    for came in 0..100 {
        // As the acceptor does.
        if table.places_taken() >= MOST && !table.close_most_idle() {
            continue;
        }
        let asked = slots.iter().filter(|slot: &&ConnectionSlot| slot.closes_at().is_some());
        asked.for_each(ConnectionSlot::mark_active);
        slots.push(ConnectionSlot::new(table.clone(), sent(), f64::from(came)));
    }
    assert!(table.open() <= MOST + LINGERING, "{} are open, of {MOST} and {LINGERING}", table.open());
}

/// Scarce memory has asked one to close, whose place is free in a moment: a newcomer may have it.
#[test]
fn the_place_of_one_that_closes_for_its_memory_is_for_a_newcomer() {
    let (table, slots) = table(&[(true, 1.0)]);
    assert!(table.close_idle_since_grace(1.0 + IDLE_GRACE));
    assert_eq!(asked(&slots), [true]);
    assert!(table.close_most_idle(), "the newcomer is turned away, and then nobody is connected");
}

/// One that owes its place waits for its client to read; the end of the front does not wait for that.
#[tokio::test]
async fn the_end_of_the_front_wakes_one_that_is_asked_to_close_later() {
    let (table, slots) = table(&[(true, 1.0)]);
    assert!(table.close_most_idle());
    slots[0].mark_active();
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), Some(2.0 + IDLE_GRACE));
    slots[0].changed().await;
    table.close_all_immediately();
    assert_eq!(slots[0].closes_at(), Some(2.0));
    let told = tokio::time::timeout(std::time::Duration::ZERO, slots[0].changed()).await;
    assert!(told.is_ok(), "its task sleeps until the time it had before");
}

/// The newcomer got a place that became free by itself: nobody owes it one any more.
#[test]
fn a_place_that_became_free_is_not_owed_any_more() {
    const MOST: usize = 2;
    let (table, mut slots) = table(&[(true, 1.0), (true, 1.5)]);
    slots[1].mark_active();
    assert!(table.places_taken() >= MOST && table.close_most_idle());
    slots[0].mark_active();
    let _newcomer = ConnectionSlot::new(table.clone(), sent(), 2.0);
    _newcomer.mark_active();
    // The client of the other one leaves.
    drop(slots.pop());
    assert_eq!(table.places_taken(), MOST);
    slots[0].mark_idle(3.0, true, false);
    assert_eq!(slots[0].closes_at(), None, "it closes, and a place stays empty");
}

/// Short answers lay unsent, which nobody asked about, and were sent just now: their client has its time from now on.
#[tokio::test]
async fn the_time_to_read_begins_as_the_last_answer_is_sent() {
    use crate::net::ClientSocket;
    use std::io::{IoSlice, Read};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = onyxyoke_stand_ins::scripted::narrow(listener.local_addr().unwrap());
    let socket = Rc::new(ClientSocket::new(listener.accept().await.unwrap().0));
    let table = ConnectionTable::new(1);
    let now = crate::clock::now();
    let slot = ConnectionSlot::new(table.clone(), socket.clone(), now - 10.0);
    slot.mark_active();
    // More than the peer has room for, in short answers.
    let answers = 40;
    (0..answers)
        .for_each(|_| assert_eq!(socket.try_write_vectored(&[IoSlice::new(&[b'x'; 900])]).unwrap(), 900));
    let come = peer.peek(&mut [0; 64 * 1024]).unwrap();
    assert!(come < answers * 900, "the harness: the peer had room for all");
    // As its task marks it, a while ago.
    slot.mark_idle(now - 2.0 * IDLE_GRACE, true, false);
    // Its client comes round, and is sent the rest only now.
    peer.read_exact(&mut vec![0; answers * 900]).unwrap();
    table.close_idle_since_grace(crate::clock::now());
    assert_eq!(slot.closes_at(), None, "it is closed in the moment in which its last answers come");
}

/// Guards against a debt that passes to a newcomer whose first request comes just then: the one that had it would give its place
/// a second time.
#[test]
fn one_that_passed_its_debt_to_a_newcomer_has_it_back_once_that_has_spoken() {
    let table = ConnectionTable::new(3);
    let talkative = ConnectionSlot::new(table.clone(), sent(), 1.0);
    talkative.mark_active();
    talkative.mark_idle(1.0, true, false);
    assert!(table.close_most_idle());
    let newcomer = ConnectionSlot::new(table.clone(), sent(), 2.0);
    talkative.mark_active();
    assert_eq!(newcomer.closes_at(), Some(2.0), "it has said nothing, and is to give the place back");
    newcomer.mark_active();
    talkative.mark_idle(2.0, true, false);
    assert!(!table.close_most_idle(), "its place is given away already");
    newcomer.mark_idle(2.5, true, false);
    assert_eq!((talkative.closes_at(), newcomer.closes_at()), (Some(2.0 + IDLE_GRACE), None));
}

/// The same where the one that passed it on is idle again by then: it is not asked for its own place.
#[test]
fn one_that_is_idle_as_its_debt_comes_back_closes_once_its_client_had_the_time_to_read() {
    let table = ConnectionTable::new(3);
    let first = ConnectionSlot::new(table.clone(), sent(), 1.0);
    first.mark_active();
    first.mark_idle(1.0, true, false);
    assert!(table.close_most_idle());
    let newcomer = ConnectionSlot::new(table.clone(), sent(), 2.0);
    first.mark_active();
    first.mark_idle(2.0, true, false);
    assert_eq!(first.closes_at(), None, "the newcomer is to give the place back");
    newcomer.mark_active();
    assert_eq!(first.closes_at(), Some(2.0 + IDLE_GRACE));
    assert!(!table.close_most_idle(), "its place is given away already");
}

/// The last answer of the longest idle connection was sent only just now, and another is idle: memory comes from that one, and the
/// first gives its own in its time.
#[tokio::test]
async fn scarce_memory_takes_the_next_where_the_first_was_sent_its_answer_just_now() {
    let table = ConnectionTable::new(1);
    let idle_since = |socket: Rc<dyn SendState>, since| {
        let slot = ConnectionSlot::new(table.clone(), socket, since);
        slot.mark_active();
        slot.mark_idle(since, true, false);
        slot
    };
    let slots = [idle_since(Rc::new(SentAt(Cell::new(5.0))), 1.0), idle_since(sent(), 2.0)];
    assert!(table.close_idle_since_grace(5.0));
    assert_eq!(asked(&slots), [false, true]);
    assert!(slots[0].is_idle(), "a newcomer may have its place");
    // Its task closes it later, too.
    assert_eq!(slots[0].idle_since(), 5.0);
    let told = tokio::time::timeout(std::time::Duration::ZERO, slots[0].changed()).await;
    assert!(told.is_ok(), "its task sleeps until the time it had before");
    assert!(!table.close_idle_since_grace(4.9 + IDLE_GRACE));
    assert!(table.close_idle_since_grace(5.0 + IDLE_GRACE));
    assert_eq!(asked(&slots), [true, true]);
}

/// A newcomer does not wait for the acknowledgement of what another was sent just now: it has that one's place.
#[test]
fn a_newcomer_gets_the_place_of_one_that_was_answered_just_now() {
    let table = ConnectionTable::new(1);
    let slot = ConnectionSlot::new(table.clone(), Rc::new(SentAt(Cell::new(5.0))), 1.0);
    slot.mark_active();
    slot.mark_idle(5.0, true, false);
    assert!(table.close_most_idle());
    assert_eq!(slot.closes_at(), Some(5.0));
}

/// What a closer finds out in the moment of the close, for one that is to close later.
#[test]
fn one_that_owes_its_place_has_its_time_to_read_from_when_its_answer_was_sent() {
    let table = ConnectionTable::new(1);
    let socket = Rc::new(SentAt(Cell::new(1.0)));
    let slot = ConnectionSlot::new(table.clone(), socket.clone(), 1.0);
    slot.mark_active();
    slot.mark_idle(1.0, true, false);
    assert!(table.close_most_idle());
    slot.mark_active();
    slot.mark_idle(2.0, true, false);
    assert_eq!(slot.closes_at(), Some(2.0 + IDLE_GRACE));
    socket.0.set(2.5);
    assert!(slot.postpone_to_last_sent());
    assert_eq!(slot.closes_at(), Some(2.5 + IDLE_GRACE));
    assert!(!slot.postpone_to_last_sent(), "it would never close");
}

/// The same where all close.
#[test]
fn when_all_close_the_time_to_read_begins_as_the_last_answer_is_sent() {
    let table = ConnectionTable::new(1);
    let slot = ConnectionSlot::new(table.clone(), Rc::new(SentAt(Cell::new(2.5))), 1.0);
    slot.mark_active();
    slot.mark_idle(1.0, true, false);
    table.close_all_after_reading();
    assert!(slot.postpone_to_last_sent());
    assert_eq!(slot.closes_at(), Some(2.5 + IDLE_GRACE));
}
