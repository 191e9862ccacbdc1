//! Comparison of the accounted bytes with the process's memory by the system: the difference is the program's
//! own memory, which is shown, and logged when it grows.

use super::{Accounts, Purpose};

/// Growth of the unaccounted memory since it was last logged that is logged again, as a share of it.
const LOGGED_GROWTH_SHARE: f64 = 0.25;
/// The least growth of the unaccounted memory that is logged again.
const LOGGED_GROWTH_BYTES: usize = 1_000_000;
/// Weight of a sample in the moving average that applies while the unaccounted memory falls: memory that is
/// released leaves the process a little later.
const FALL_WEIGHT: f64 = 0.2;

/// What an audit found that may be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuditFinding {
    /// Nothing to log.
    Normal,
    /// The unaccounted memory has grown to this many bytes since it was last logged.
    Grew(usize),
    /// The unaccounted memory has exceeded its cap (bytes).
    OverCap {
        /// The unaccounted memory.
        unaccounted: usize,
        /// The cap of the program's account.
        cap: usize,
    },
}

/// Memory of the process by the system and the allocator, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Resident memory of the process.
    pub resident: usize,
    /// Pages of the allocator that hold live allocations.
    pub active: usize,
    /// Resident pages of the allocator: the active ones, its own tables, and freed pages that are not yet
    /// returned.
    pub heap: usize,
}

/// Compares the accounts with the process's memory.
#[derive(Debug, Clone, Default)]
pub struct ResidentMemoryAudit {
    last: ProcessMemory,
    /// Unaccounted memory, with falls smoothed (bytes).
    unaccounted: f64,
    /// The unaccounted memory when it was last logged (bytes).
    logged: usize,
    over_cap: bool,
}

impl ResidentMemoryAudit {
    /// Books live memory that is in no account to the program, as well as memory outside the allocator. Freed
    /// pages that are not yet returned to the system belong to no account: they are available at once.
    pub fn audit(&mut self, accounts: &mut Accounts, memory: ProcessMemory) -> AuditFinding {
        let accounted = accounts.sum() - accounts.used(Purpose::Program);
        let live = memory.active + memory.resident.saturating_sub(memory.heap);
        let unaccounted = live.saturating_sub(accounted) as f64;
        // Growth counts at once, so that other accounts are refused in time; a fall is smoothed.
        self.unaccounted = if unaccounted > self.unaccounted || self.last == ProcessMemory::default() {
            unaccounted
        } else {
            self.unaccounted + FALL_WEIGHT * (unaccounted - self.unaccounted)
        };
        self.last = memory;
        let unaccounted = self.unaccounted as usize;
        let cap = accounts.snapshot(Purpose::Program).cap;
        // At most the cap is held against the other accounts. Memory beyond it is logged and may be memory
        // that the system can reclaim at any time (mapped files); a front that refused everything because of
        // it would be worse off.
        accounts.observe(unaccounted.min(cap));
        let was_over_cap = std::mem::replace(&mut self.over_cap, unaccounted > cap);
        if self.over_cap && !was_over_cap {
            self.logged = unaccounted;
            return AuditFinding::OverCap { unaccounted, cap };
        }
        let first = self.logged == 0;
        let growth = LOGGED_GROWTH_BYTES.max((self.logged as f64 * LOGGED_GROWTH_SHARE) as usize);
        if first || unaccounted > self.logged + growth {
            self.logged = unaccounted;
            return if first { AuditFinding::Normal } else { AuditFinding::Grew(unaccounted) };
        }
        AuditFinding::Normal
    }

    /// The memory of the process at the last audit.
    pub fn last(&self) -> ProcessMemory {
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::{AccountOwner, Ledger, LimitOverrides, PURPOSES, Plan};

    #[test]
    fn unaccounted_memory_is_booked_to_the_program_and_its_growth_is_logged_once() {
        let ledger =
            Ledger::new(Plan::new(64_000_000, &[LimitOverrides::default(); PURPOSES], 1.0).unwrap(), 0);
        let (mut audit, mut findings) = (ResidentMemoryAudit::default(), Vec::new());
        for resident in [5_000_000, 5_500_000, 7_000_000, 7_100_000, 40_000_000, 41_000_000] {
            findings.push(
                audit.audit(
                    &mut ledger.accounts_mut(),
                    ProcessMemory { resident, ..ProcessMemory::default() },
                ),
            );
        }
        let cap = ledger.accounts().snapshot(Purpose::Program).cap;
        let normal = AuditFinding::Normal;
        let over_cap = AuditFinding::OverCap { unaccounted: 40_000_000, cap };
        assert_eq!(findings, [normal, normal, AuditFinding::Grew(7_000_000), normal, over_cap, normal]);
        // Accounted memory is not booked to the program; the unaccounted memory falls slowly.
        let _held = ledger.acquire(AccountOwner::of(Purpose::Clients), 2_000_000).unwrap();
        for _ in 0..50 {
            audit.audit(
                &mut ledger.accounts_mut(),
                ProcessMemory { resident: 9_000_000, active: 4_000_000, heap: 5_000_000 },
            );
        }
        let program = ledger.accounts().used(Purpose::Program);
        assert!((6_000_000..6_100_000).contains(&program), "{program}");
        assert_eq!(ledger.accounts().sum(), program + 2_000_000);
    }
}
