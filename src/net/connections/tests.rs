//! Tests of `connections.rs`.

use super::{ConnectionSlot, ConnectionTable, IDLE_GRACE};

/// A table with a connection for each of these: whether it has spoken, and since when it is idle.
fn table(connections: &[(bool, f64)]) -> (std::rc::Rc<ConnectionTable>, Vec<ConnectionSlot>) {
    let table = ConnectionTable::new(1);
    let idle = |&(spoken, since): &(bool, f64)| {
        let slot = ConnectionSlot::new(table.clone(), since);
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

#[test]
fn one_that_is_asked_to_close_as_its_request_comes_closes_behind_the_answer() {
    let (table, slots) = table(&[(true, 1.0), (true, 1.5)]);
    assert!(table.close_most_idle());
    slots[0].mark_active();
    assert_eq!(slots[0].closes_at(), None, "it is not idle");
    slots[0].mark_idle(2.0, true, false);
    assert_eq!(slots[0].closes_at(), Some(2.0), "another was accepted for it");
    assert_eq!(slots[1].closes_at(), None);
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
    assert_eq!(asked(&slots), [true, true]);
}
