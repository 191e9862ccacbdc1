//! Accounted bytes against what the system says: the rest is the program's own, shown, and told of when it grows.

use super::{Accounts, Purpose};

/// The rest is told of when it has grown by this share, and by so many bytes, since it was last told.
const GROWN: (f64, usize) = (0.25, 1_000_000);
/// Weight of one look in the smoothed rest: memory that was just given back leaves the process a little later.
const SMOOTH: f64 = 0.2;

/// What a look found that is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Nothing.
    Usual,
    /// The unaccounted rest has grown to so many bytes since it was last told of.
    Grew(usize),
    /// It is over its cap (bytes, cap).
    Over(usize, usize),
}

/// What the system and the allocator say of the process, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    /// In memory, all of it.
    pub resident: usize,
    /// Pages in which the allocator has something live.
    pub active: usize,
    /// Pages that the allocator has in memory: these, its own tables, and what was freed and not yet returned.
    pub heap: usize,
}

/// Compares the accounts with what the system says of the process.
#[derive(Debug, Clone, Default)]
pub struct ResidentMemoryAudit {
    seen: Seen,
    rest: f64,
    told: usize,
    over: bool,
}

impl ResidentMemoryAudit {
    /// A look. What is live and no account knows of becomes the program's, and so does what is not the allocator's.
    /// What was freed and is not yet back is nobody's: it can be had again at once.
    pub fn look(&mut self, accounts: &mut Accounts, seen: Seen) -> Finding {
        let known = accounts.sum() - accounts.used(Purpose::Program);
        let live = seen.active + seen.resident.saturating_sub(seen.heap);
        let rest = live.saturating_sub(known) as f64;
        // What is seen to grow counts at once, so that others are refused in time; what falls, falls slowly.
        self.rest = if rest > self.rest || self.seen == Seen::default() {
            rest
        } else {
            self.rest + SMOOTH * (rest - self.rest)
        };
        self.seen = seen;
        let rest = self.rest as usize;
        let cap = accounts.snapshot(Purpose::Program).cap;
        // No more than its cap is held against the others: what is beyond is told of, and may be what the system
        // can take back at any time (mapped files). A front that refused everything over it would be worse off.
        accounts.observe(rest.min(cap));
        let was_over = std::mem::replace(&mut self.over, rest > cap);
        if self.over && !was_over {
            self.told = rest;
            return Finding::Over(rest, cap);
        }
        let first = self.told == 0;
        if first || rest > self.told + GROWN.1.max((self.told as f64 * GROWN.0) as usize) {
            self.told = rest;
            return if first { Finding::Usual } else { Finding::Grew(rest) };
        }
        Finding::Usual
    }

    /// What was last said.
    pub fn seen(&self) -> Seen {
        self.seen
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::{AccountOwner, Ledger, LimitOverrides, PURPOSES, Plan};

    #[test]
    fn the_rest_is_the_programs_and_its_growth_is_told_once() {
        let ledger =
            Ledger::new(Plan::new(64_000_000, &[LimitOverrides::default(); PURPOSES], 1.0).unwrap(), 0);
        let (mut truth, mut look) = (ResidentMemoryAudit::default(), Vec::new());
        for resident in [5_000_000, 5_500_000, 7_000_000, 7_100_000, 40_000_000, 41_000_000] {
            look.push(truth.look(&mut ledger.accounts_mut(), Seen { resident, ..Seen::default() }));
        }
        let cap = ledger.accounts().snapshot(Purpose::Program).cap;
        let usual = Finding::Usual;
        assert_eq!(
            look,
            [usual, usual, Finding::Grew(7_000_000), usual, Finding::Over(40_000_000, cap), usual]
        );
        // Memory that an account knows of is not the program's; the rest falls slowly.
        let _held = ledger.acquire(AccountOwner::of(Purpose::Clients), 2_000_000).unwrap();
        for _ in 0..50 {
            truth.look(
                &mut ledger.accounts_mut(),
                Seen { resident: 9_000_000, active: 4_000_000, heap: 5_000_000 },
            );
        }
        let rest = ledger.accounts().used(Purpose::Program);
        assert!((6_000_000..6_100_000).contains(&rest), "{rest}");
        assert_eq!(ledger.accounts().sum(), rest + 2_000_000);
    }
}
