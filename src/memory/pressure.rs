//! What is done as the shared remainder shrinks, step by step and with hysteresis: a level is entered where the
//! remainder has fallen under its threshold, and left only well above it, so that a front on the edge does not
//! flap between serving and refusing.

use super::{Accounts, Purpose};

/// What is done about scarce memory. Each level does what those before it do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Level {
    /// Nothing.
    #[default]
    Calm,
    /// Idle buffers are compacted and released.
    Compact,
    /// Idle connections are closed, the longest idle first.
    CloseIdle,
    /// Clients that leave the most unread are not read from.
    HoldSlow,
    /// The largest requests are refused.
    RefuseLarge,
    /// All but what the reserve is for is refused.
    ReserveOnly,
}

impl Level {
    const ALL: [Level; 5] =
        [Level::Compact, Level::CloseIdle, Level::HoldSlow, Level::RefuseLarge, Level::ReserveOnly];

    /// As it is shown.
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

/// Where levels begin and end, as shares of the shared remainder that are free.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thresholds {
    /// Each level is entered under its share, from [`Level::Compact`] on.
    pub enter: [f64; 5],
    /// It is left over that share plus this.
    pub margin: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { enter: [0.5, 0.35, 0.25, 0.15, 0.05], margin: 0.1 }
    }
}

/// A request over this share of the free remainder, or of the free part of its account, is a large one.
const LARGE: f64 = 0.125;
/// Where so much of what may be left unread is, those who left more than their part are held up though the remainder
/// is not scarce: the rest is for clients that read. It ends well below (shares of the cap).
const CROWDED: (f64, f64) = (0.7, 0.6);

/// The policy: the level that holds, and what it says to each.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pressure {
    thresholds: Thresholds,
    level: Level,
    crowded: bool,
}

impl Pressure {
    /// A policy with these thresholds.
    pub fn new(thresholds: Thresholds) -> Self {
        Pressure { thresholds, ..Pressure::default() }
    }

    /// The level that holds.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Forgets the level: other limits are in force. The thresholds are shares of another remainder now, and a level that
    /// was entered under the former limits says nothing of it. To be followed by a look, which enters what is to be.
    pub fn reset(&mut self) {
        (self.level, self.crowded) = (Level::Calm, false);
    }

    /// Looks at the accounts; the level that holds from now on.
    pub fn look(&mut self, accounts: &Accounts) -> Level {
        let (free, all) = accounts.remainder();
        let free = free as f64 / all.max(1) as f64;
        let Thresholds { enter, margin } = self.thresholds;
        let under = |extra: f64| enter.iter().take_while(|&&e| free < e + extra).count();
        // Levels under whose threshold the remainder lies are entered, those under whose upper bound it
        // still lies are kept.
        let (entered, kept) = (under(0.0), under(margin));
        let now = self.level as usize;
        let mut next = now.clamp(entered, kept.max(entered));
        let unread = accounts.fullness(Purpose::Unread);
        self.crowded = unread > if self.crowded { CROWDED.1 } else { CROWDED.0 };
        if self.crowded {
            next = next.max(Level::HoldSlow as usize);
        }
        self.level = if next == 0 { Level::Calm } else { Level::ALL[next - 1] };
        self.level
    }

    /// May a request of so many bytes be taken now? One for which the reserve is there always may, as far as
    /// the accounts have room.
    pub fn admits(&self, accounts: &Accounts, bytes: usize, may_use_reserve: bool) -> bool {
        match self.level {
            _ if may_use_reserve => true,
            Level::ReserveOnly => false,
            Level::RefuseLarge => (bytes as f64) < LARGE * accounts.remainder().0 as f64,
            _ => true,
        }
    }

    /// How many of so many idle connections are to be closed in a turn: a tenth, the longest idle first, so that
    /// relief comes within a second and a passing burst costs few of them.
    pub fn idle_connections_to_close(&self, idle: usize) -> usize {
        if self.level >= Level::CloseIdle { idle.div_ceil(10) } else { 0 }
    }

    /// Is a client that has left so many bytes unread to be read from, and to be given more? Those with more than their even part of
    /// what the account may hold are not, until they have read.
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
            (pressure.look(&ledger.accounts()), pressure.clone())
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

    /// A full account of unread answers stops the reading of those who caused it, and of no others.
    #[test]
    fn the_slowest_are_held_up_where_their_account_is_full() {
        let mut wishes = [LimitOverrides::default(); PURPOSES];
        wishes[Purpose::Unread as usize].cap = Some(10_000_000);
        let plan = Plan::new(100_000_000, &wishes, 1.0).unwrap();
        let ledger = Ledger::new(plan, 0);
        let limit = plan.limits[Purpose::Unread as usize];
        let _full = ledger.acquire(AccountOwner::of(Purpose::Unread), limit.cap - limit.reserve).unwrap();
        let _precious = ledger.acquire(
            AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Unread) },
            limit.reserve,
        );
        let mut pressure = Pressure::default();
        assert!(pressure.look(&ledger.accounts()) >= Level::HoldSlow);
        assert!(!pressure.may_read(&ledger.accounts(), limit.cap / 10, 100));
        assert!(pressure.may_read(&ledger.accounts(), limit.cap / 200, 100));
    }
}
