//! Tests of `watch.rs`.

use super::{HeapPages, sample};
use crate::memory::{Ledger, LimitOverrides, PURPOSES, Plan, Purpose};
use std::cell::Cell;

/// What the allocator returns to the system between two readings is not counted as the program's, which would refuse
/// requests for a second and more.
#[test]
fn pages_returned_during_a_look_are_not_taken_for_the_programs_own() {
    const FREED: usize = 2_000_000;
    let plan = Plan::new(32_000_000, &[LimitOverrides::default(); PURPOSES], 1.0).unwrap();
    let ledger = Ledger::new(plan, 0);
    let pages = HeapPages { active: 1_000_000, resident: 5_000_000 };
    let program = 8_000_000;
    let look = |freed: &Cell<usize>| {
        // Whichever is read first, freed pages go back right after it.
        let heap = || {
            let resident = pages.resident - FREED + freed.replace(0);
            HeapPages { resident, ..pages }
        };
        let resident = || program + pages.resident - FREED + freed.replace(0);
        sample(heap, resident)
    };
    ledger.turn(look(&Cell::new(FREED)));
    ledger.turn(look(&Cell::new(0)));
    let before = ledger.accounts().used(Purpose::Program);
    assert_eq!(before, program + pages.active);
    ledger.turn(look(&Cell::new(FREED)));
    assert!(ledger.accounts().used(Purpose::Program) <= before);
}
