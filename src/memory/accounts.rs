//! What each account holds, its limits, and whether a further request fits.
//!
//! An account's *commitment* is the larger of its guarantee and of what it holds, where bytes with access to
//! the reserve (*priority* bytes) count as the reserve at least: `max(guarantee, ordinary + max(priority,
//! reserve))`. A request is granted while the account stays within its cap in the same sense, and the
//! commitments of all accounts together within the front's total. It follows that an account can always get
//! its guarantee, that priority bytes can always get their reserve, and that the sum of all accounts never
//! exceeds the total, whatever the other accounts hold.

use super::{PURPOSES, Plan, Purpose};

/// The error of a request for memory that was not granted. Only the account's count of refusals has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryRefusal {
    /// The account that had no room.
    pub purpose: Purpose,
}

/// What one account holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Account {
    /// Bytes held without access to the reserve.
    ordinary: usize,
    /// Bytes held with access to the reserve.
    priority: usize,
    peak: usize,
    /// Requests refused since the start.
    refused: u64,
    /// The value of `refused` at the last tick.
    refused_at_last_tick: u64,
    /// Refusals have been reported, and no recovery since.
    refusal_reported: bool,
    ticks_since_refusal: u32,
}

impl Account {
    fn used(&self) -> usize {
        self.ordinary + self.priority
    }
}

/// State of an account for the log and the counters, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// The account.
    pub purpose: Purpose,
    /// Held now.
    pub now: usize,
    /// The most that was held at any time.
    pub peak: usize,
    /// Upper limit.
    pub cap: usize,
    /// Always available to the account.
    pub guarantee: usize,
    /// Part of the guarantee that only priority bytes may use.
    pub reserve: usize,
    /// Held beyond the guarantee, out of the shared remainder.
    pub borrowed: usize,
    /// Requests refused since the start.
    pub refused: u64,
}

/// A change of an account that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The account refused a request, for the first time since it last recovered.
    RefusalsBegan(AccountSnapshot),
    /// The account has refused nothing for `RECOVERY_TICKS`.
    Recovered(AccountSnapshot),
}

/// Ticks without a refusal after which an account has recovered.
const RECOVERY_TICKS: u32 = 10;
/// Team number of an owner without a team.
pub(super) const NO_TEAM: u16 = u16::MAX;

/// All accounts of a front.
#[derive(Debug, Clone)]
pub struct Accounts {
    plan: Plan,
    accounts: [Account; PURPOSES],
    /// Bytes held by each team in each account.
    teams: Vec<[usize; PURPOSES]>,
    /// Sum of all commitments.
    committed: usize,
}

impl Accounts {
    /// Empty accounts under a plan, each with accounts of `teams` teams below it.
    pub fn new(plan: Plan, teams: usize) -> Self {
        let mut accounts = Accounts {
            plan,
            accounts: Default::default(),
            teams: vec![Default::default(); teams],
            committed: 0,
        };
        accounts.replan(plan);
        accounts
    }

    /// The limits in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Puts other limits in force. Nothing that is held is dropped: an account over its new limits is granted
    /// nothing until it is below them.
    pub fn replan(&mut self, plan: Plan) {
        self.plan = plan;
        self.committed = Purpose::ALL.iter().map(|&p| self.commitment(p)).sum();
    }

    fn commitment(&self, purpose: Purpose) -> usize {
        let (account, limit) = (&self.accounts[purpose as usize], &self.plan.limits[purpose as usize]);
        limit.guarantee.max(account.ordinary + account.priority.max(limit.reserve))
    }

    /// Adds bytes to an account, or refuses and adds nothing.
    pub(super) fn book(
        &mut self,
        purpose: Purpose,
        team: u16,
        may_use_reserve: bool,
        bytes: usize,
    ) -> Result<(), MemoryRefusal> {
        let at = purpose as usize;
        let (before, account, limit) = (self.commitment(purpose), self.accounts[at], self.plan.limits[at]);
        let add = |held: usize, applies: bool| if applies { held.saturating_add(bytes) } else { held };
        let ordinary = add(account.ordinary, !may_use_reserve);
        let priority = add(account.priority, may_use_reserve);
        let wanted = ordinary.saturating_add(priority.max(limit.reserve));
        let committed = (self.committed - before).saturating_add(limit.guarantee.max(wanted));
        // A request that does not raise the sum of commitments is within a guarantee or a reserve and always
        // fits. The reserve is available even while other accounts hold more than a cap that was lowered.
        let fits = wanted <= limit.cap && (committed <= self.plan.total || committed <= self.committed)
            || may_use_reserve && priority <= limit.reserve;
        let team_used = self.teams.get(usize::from(team)).map_or(0, |t| t[at].saturating_add(bytes));
        if !fits || team_used > self.plan.team_cap(purpose) {
            return Err(self.refuse(purpose));
        }
        let account = &mut self.accounts[at];
        (account.ordinary, account.priority) = (ordinary, priority);
        account.peak = account.peak.max(account.used());
        if let Some(team) = self.teams.get_mut(usize::from(team)) {
            team[at] += bytes;
        }
        self.committed = self.committed - before + self.commitment(purpose);
        Ok(())
    }

    /// Counts a refusal.
    pub(super) fn refuse(&mut self, purpose: Purpose) -> MemoryRefusal {
        self.accounts[purpose as usize].refused += 1;
        MemoryRefusal { purpose }
    }

    /// Removes bytes from an account. Only a [`super::Grant`] calls this, with bytes that it was granted.
    pub(super) fn release(&mut self, purpose: Purpose, team: u16, may_use_reserve: bool, bytes: usize) {
        let (at, before) = (purpose as usize, self.commitment(purpose));
        let account = &mut self.accounts[at];
        let held = if may_use_reserve { &mut account.priority } else { &mut account.ordinary };
        debug_assert!(*held >= bytes, "{} is released more than it holds", purpose.name());
        *held = held.saturating_sub(bytes);
        if let Some(team) = self.teams.get_mut(usize::from(team)) {
            debug_assert!(team[at] >= bytes, "a team releases more than it holds");
            team[at] = team[at].saturating_sub(bytes);
        }
        self.committed = self.committed - before + self.commitment(purpose);
    }

    /// Sets the observed memory of the program itself, which cannot be refused. What it takes beyond its
    /// guarantee reduces the shared remainder, so that the other accounts are refused before the front's
    /// total is exceeded.
    pub fn observe(&mut self, bytes: usize) {
        let (purpose, at) = (Purpose::Program, Purpose::Program as usize);
        let before = self.commitment(purpose);
        self.accounts[at].ordinary = bytes;
        self.accounts[at].peak = self.accounts[at].peak.max(bytes);
        self.committed = self.committed - before + self.commitment(purpose);
    }

    /// Bytes that an account holds.
    pub fn used(&self, purpose: Purpose) -> usize {
        self.accounts[purpose as usize].used()
    }

    /// Bytes that a team holds in an account.
    pub fn used_by(&self, purpose: Purpose, team: u16) -> usize {
        self.teams.get(usize::from(team)).map_or(0, |t| t[purpose as usize])
    }

    /// Bytes that all accounts hold, including that of the program.
    pub fn sum(&self) -> usize {
        self.accounts.iter().map(Account::used).sum()
    }

    /// Free bytes of the shared remainder, and its size.
    pub fn remainder(&self) -> (usize, usize) {
        let guaranteed: usize = self.plan.limits.iter().map(|l| l.guarantee).sum();
        (self.plan.total.saturating_sub(self.committed), self.plan.total.saturating_sub(guaranteed))
    }

    /// Used share of the part of an account's cap that is not reserved.
    pub fn fullness(&self, purpose: Purpose) -> f64 {
        let (account, limit) = (&self.accounts[purpose as usize], &self.plan.limits[purpose as usize]);
        let spent = account.ordinary + account.priority.saturating_sub(limit.reserve);
        spent as f64 / limit.cap.saturating_sub(limit.reserve).max(1) as f64
    }

    /// The state of an account.
    pub fn snapshot(&self, purpose: Purpose) -> AccountSnapshot {
        let (a, limit) = (&self.accounts[purpose as usize], &self.plan.limits[purpose as usize]);
        AccountSnapshot {
            purpose,
            now: a.used(),
            peak: a.peak,
            cap: limit.cap,
            guarantee: limit.guarantee,
            reserve: limit.reserve,
            borrowed: a.used().saturating_sub(limit.guarantee),
            refused: a.refused,
        }
    }

    /// Returns the accounts that began to refuse since the last tick, and those that have recovered. Ticks
    /// come two to ten times a second.
    pub fn tick(&mut self) -> Vec<Notice> {
        let mut notices = Vec::new();
        for purpose in Purpose::ALL {
            let snapshot = self.snapshot(purpose);
            let account = &mut self.accounts[purpose as usize];
            let has_refused = account.refused > account.refused_at_last_tick;
            account.refused_at_last_tick = account.refused;
            account.ticks_since_refusal =
                if has_refused { 0 } else { account.ticks_since_refusal.saturating_add(1) };
            if has_refused && !account.refusal_reported {
                account.refusal_reported = true;
                notices.push(Notice::RefusalsBegan(snapshot));
            } else if account.refusal_reported && account.ticks_since_refusal >= RECOVERY_TICKS {
                account.refusal_reported = false;
                notices.push(Notice::Recovered(snapshot));
            }
        }
        notices
    }
}
