//! Tests of `grant.rs`.

use crate::memory::{AccountOwner, Ledger, Level, LimitOverrides, PURPOSES, Plan, Purpose};

/// The plan of `limits.memory_mb = 32` with this cap of the unread answers (bytes).
fn plan(unread_cap: usize) -> Plan {
    let mut limits = [LimitOverrides::default(); PURPOSES];
    limits[Purpose::Unread as usize].cap = Some(unread_cap);
    Plan::new(32_000_000, &limits, 1.0).unwrap()
}

/// A level that was entered while a cap was lowered must end when the cap is restored, even at a free share
/// at which the hysteresis would keep a level that was entered under the restored limits.
#[test]
fn level_entered_under_former_limits_ends_with_them() {
    const REQUEST: usize = 2048;
    let (normal, lowered) = (plan(3_000_000), plan(10_000));
    let ledger = Ledger::new(normal, 0);
    let unread = ledger.acquire(AccountOwner::of(Purpose::Unread), 1_440_000).unwrap();
    // Observed on a front whose executable was mapped in large pages.
    ledger.accounts_mut().observe(15_350_000);
    ledger.replan(lowered);
    assert_eq!(ledger.update_level(), Level::ReserveOnly);
    assert!(!ledger.admits(REQUEST, false));
    drop(unread);
    ledger.replan(normal);
    let (free, shared) = ledger.accounts().remainder();
    let share = free as f64 / shared as f64;
    assert!(0.05 < share && share < 0.15, "not within the hysteresis of the level: {share}");
    assert!(ledger.update_level() < Level::ReserveOnly);
    assert!(ledger.admits(REQUEST, false));
    // A change of limits does not end a level that is due under the new limits.
    ledger.accounts_mut().observe(16_000_000);
    ledger.replan(lowered);
    ledger.replan(normal);
    assert_eq!(ledger.update_level(), Level::ReserveOnly);
}
