//! Tests of `watch.rs`.

use super::{HeapPages, sample};
use crate::memory::{Ledger, LimitOverrides, PURPOSES, Plan, Purpose};
use std::cell::Cell;

/// Pages that the allocator returns to the system between the two readings of a sample must not be booked to
/// the program: requests would be refused for a second or more.
#[test]
fn pages_returned_during_a_sample_are_not_booked_to_the_program() {
    const FREED_BYTES: usize = 2_000_000;
    let plan = Plan::new(32_000_000, &[LimitOverrides::default(); PURPOSES], 1.0).unwrap();
    let ledger = Ledger::new(plan, 0);
    let pages = HeapPages { active: 1_000_000, resident: 5_000_000 };
    let program = 8_000_000;
    let sample_with = |freed: &Cell<usize>| {
        // Freed pages are returned right after the first reading, whichever that is.
        let heap = || {
            let resident = pages.resident - FREED_BYTES + freed.replace(0);
            HeapPages { resident, ..pages }
        };
        let resident = || program + pages.resident - FREED_BYTES + freed.replace(0);
        sample(heap, resident)
    };
    ledger.update(sample_with(&Cell::new(FREED_BYTES)));
    ledger.update(sample_with(&Cell::new(0)));
    let before = ledger.accounts().used(Purpose::Program);
    assert_eq!(before, program + pages.active);
    ledger.update(sample_with(&Cell::new(FREED_BYTES)));
    assert!(ledger.accounts().used(Purpose::Program) <= before);
}
