//! Measures against scarce memory, in levels with hysteresis: a level is entered when the free part of the
//! shared remainder falls below its threshold, and left only well above it, so that a front near a threshold
//! does not flap between serving and refusing.

use super::{Accounts, Purpose};

/// Measures against scarce memory. Each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Level {
    /// No measures.
    #[default]
    Calm,
    /// Idle buffers are compacted and released.
    Compact,
    /// Idle connections are closed, the longest idle first.
    CloseIdle,
    /// Clients with the most unread bytes are not read from.
    HoldSlow,
    /// The largest requests are refused.
    RefuseLarge,
    /// All requests without access to the reserve are refused.
    ReserveOnly,
}

impl Level {
    const ALL: [Level; 5] =
        [Level::Compact, Level::CloseIdle, Level::HoldSlow, Level::RefuseLarge, Level::ReserveOnly];

    /// The name in counters and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Level::Calm => "calm",
            Level::Compact => "compact",
            Level::CloseIdle => "close_idle",
            Level::HoldSlow => "hold_slow",
            Level::RefuseLarge => "refuse_large",
            Level::ReserveOnly => "reserve_only",
        }
    }
}

/// Thresholds of the levels, as free shares of the shared remainder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thresholds {
    /// A level is entered below its share, in order from [`Level::Compact`].
    pub enter: [f64; 5],
    /// A level is left above its share plus this margin.
    pub margin: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { enter: [0.5, 0.35, 0.25, 0.15, 0.05], margin: 0.1 }
    }
}

/// A request is large above this share of the free remainder.
const LARGE_REQUEST_SHARE: f64 = 0.125;
/// Fullness of the account of unread answers above which clients with more than their even share are not read
/// from, though the remainder is not scarce: the free part is for clients that read.
const UNREAD_CROWDED_ENTER: f64 = 0.7;
/// Fullness of the account of unread answers down to which this continues.
const UNREAD_CROWDED_LEAVE: f64 = 0.6;

/// The policy: the present level, and what it permits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pressure {
    thresholds: Thresholds,
    level: Level,
    /// The account of unread answers is nearly full.
    unread_crowded: bool,
}

impl Pressure {
    /// A policy at [`Level::Calm`] with these thresholds.
    pub fn new(thresholds: Thresholds) -> Self {
        Pressure { thresholds, ..Pressure::default() }
    }

    /// The level at the last update.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns to [`Level::Calm`] after a change of limits: the thresholds are shares of another remainder
    /// now, of which a level entered under the former limits says nothing. An update must follow, which
    /// enters the level that is due.
    pub fn reset(&mut self) {
        (self.level, self.unread_crowded) = (Level::Calm, false);
    }

    /// Determines the level from the accounts and returns it.
    pub fn update(&mut self, accounts: &Accounts) -> Level {
        let (free, all) = accounts.remainder();
        let free = free as f64 / all.max(1) as f64;
        let Thresholds { enter, margin } = self.thresholds;
        let levels_below = |extra: f64| enter.iter().take_while(|&&e| free < e + extra).count();
        // The remainder is below the thresholds of the entered levels, and not above the upper bounds of the
        // kept ones.
        let (entered, kept) = (levels_below(0.0), levels_below(margin));
        let now = self.level as usize;
        let mut next = now.clamp(entered, kept.max(entered));
        let unread = accounts.fullness(Purpose::Unread);
        self.unread_crowded =
            unread > if self.unread_crowded { UNREAD_CROWDED_LEAVE } else { UNREAD_CROWDED_ENTER };
        if self.unread_crowded {
            next = next.max(Level::HoldSlow as usize);
        }
        self.level = if next == 0 { Level::Calm } else { Level::ALL[next - 1] };
        self.level
    }

    /// Returns whether a request of this size may be admitted at the present level. One with access to the
    /// reserve always may, as far as its accounts have room.
    pub fn admits(&self, accounts: &Accounts, bytes: usize, may_use_reserve: bool) -> bool {
        match self.level {
            _ if may_use_reserve => true,
            Level::ReserveOnly => false,
            Level::RefuseLarge => (bytes as f64) < LARGE_REQUEST_SHARE * accounts.remainder().0 as f64,
            _ => true,
        }
    }

    /// The number of `idle` connections to close in one pass, the longest idle first: a tenth, so that memory
    /// is free within a second and a short burst costs few connections.
    pub fn idle_connections_to_close(&self, idle: usize) -> usize {
        if self.level >= Level::CloseIdle { idle.div_ceil(10) } else { 0 }
    }

    /// Returns whether a client with this many unread bytes may be read from and sent more. From
    /// [`Level::HoldSlow`] on, one with more than its even share of the account's cap may not until it has
    /// read.
    pub fn may_read(&self, accounts: &Accounts, unread: usize, clients: usize) -> bool {
        let cap = accounts.plan().limits[Purpose::Unread as usize].cap;
        self.level < Level::HoldSlow || unread <= cap / clients.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::{AccountOwner, Ledger, LimitOverrides, PURPOSES, Plan};

    #[test]
    fn levels_are_entered_in_order_and_left_with_hysteresis() {
        let plan = Plan::new(100_000_000, &[LimitOverrides::default(); PURPOSES], 1.0).unwrap();
        let ledger = Ledger::new(plan, 0);
        let all = ledger.accounts().remainder().1;
        let guarantee = plan.limits[Purpose::Program as usize].guarantee;
        let mut pressure = Pressure::default();
        let mut at = |free: f64| {
            ledger.accounts_mut().observe(guarantee + ((1.0 - free) * all as f64) as usize);
            (pressure.update(&ledger.accounts()), pressure.clone())
        };
        let expected = [
            (0.6, Level::Calm),
            (0.49, Level::Compact),
            (0.55, Level::Compact),
            (0.61, Level::Calm),
            (0.30, Level::CloseIdle),
            (0.10, Level::RefuseLarge),
            (0.20, Level::RefuseLarge),
            (0.26, Level::HoldSlow),
            (0.01, Level::ReserveOnly),
            (0.14, Level::ReserveOnly),
            (0.16, Level::RefuseLarge),
            (0.9, Level::Calm),
        ];
        for (free, level) in expected {
            assert_eq!(at(free).0, level, "at {free} free");
        }
        let (_, tight) = at(0.04);
        assert!(!tight.admits(&ledger.accounts(), 1, false) && tight.admits(&ledger.accounts(), 1, true));
        let (_, large) = at(0.17);
        let free = ledger.accounts().remainder().0;
        assert!(large.admits(&ledger.accounts(), free / 10, false));
        assert!(!large.admits(&ledger.accounts(), free / 5, false));
        assert_eq!(
            (large.idle_connections_to_close(25), Pressure::default().idle_connections_to_close(25)),
            (3, 0)
        );
    }

    /// A full account of unread answers stops reading from the clients that fill it, and from no others.
    #[test]
    fn only_clients_that_fill_the_unread_account_are_not_read_from() {
        let mut overrides = [LimitOverrides::default(); PURPOSES];
        overrides[Purpose::Unread as usize].cap = Some(10_000_000);
        let plan = Plan::new(100_000_000, &overrides, 1.0).unwrap();
        let ledger = Ledger::new(plan, 0);
        let limit = plan.limits[Purpose::Unread as usize];
        let _full = ledger.acquire(AccountOwner::of(Purpose::Unread), limit.cap - limit.reserve).unwrap();
        let _priority = ledger.acquire(
            AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Unread) },
            limit.reserve,
        );
        let mut pressure = Pressure::default();
        assert!(pressure.update(&ledger.accounts()) >= Level::HoldSlow);
        assert!(!pressure.may_read(&ledger.accounts(), limit.cap / 10, 100));
        assert!(pressure.may_read(&ledger.accounts(), limit.cap / 200, 100));
    }
}
