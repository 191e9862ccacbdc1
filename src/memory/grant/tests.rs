//! Tests of `grant.rs`.

use crate::memory::{AccountOwner, Ledger, Level, LimitOverrides, PURPOSES, Plan, Purpose};

/// What `limits.memory_mb = 32` gives, with this as the cap of what clients leave unread (bytes).
fn plan(unread_cap: usize) -> Plan {
    let mut limits = [LimitOverrides::default(); PURPOSES];
    limits[Purpose::Unread as usize].cap = Some(unread_cap);
    Plan::new(32_000_000, &limits, 1.0).unwrap()
}

/// A level that was entered while a cap was cut ends with the cut, even where so much is free that the level, once
/// entered under these limits, would stay.
#[test]
fn a_level_entered_under_former_limits_ends_with_them() {
    const REQUEST: usize = 2048;
    let (usual, cut) = (plan(3_000_000), plan(10_000));
    let ledger = Ledger::new(usual, 0);
    let unread = ledger.acquire(AccountOwner::of(Purpose::Unread), 1_440_000).unwrap();
    // As read in a front whose program's file was mapped in large pieces.
    ledger.accounts_mut().observe(15_350_000);
    ledger.replan(cut);
    assert_eq!(ledger.level(), Level::ReserveOnly);
    assert!(!ledger.admits(REQUEST, false));
    drop(unread);
    ledger.replan(usual);
    let (free, shared) = ledger.accounts().remainder();
    let share = free as f64 / shared as f64;
    assert!(0.05 < share && share < 0.15, "not where a level is kept that was entered: {share}");
    assert!(ledger.level() < Level::ReserveOnly);
    assert!(ledger.admits(REQUEST, false));
    // Other limits are no way out of a level that is due under them.
    ledger.accounts_mut().observe(16_000_000);
    ledger.replan(cut);
    ledger.replan(usual);
    assert_eq!(ledger.level(), Level::ReserveOnly);
}
