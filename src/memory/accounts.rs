//! The sums: what each account holds, what it may, and whether a further ask fits.
//!
//! The rule. An account's *commitment* is the larger of its guarantee and of what it holds, where precious bytes
//! count as its reserve at least: `max(guarantee, ordinary + max(may_use_reserve, reserve))`. An ask is granted while
//! the account stays within its cap in the same sense and the commitments of all together within the front's
//! total. From this follows, whatever the others do: an account may always have its guarantee, precious bytes
//! may always have their reserve, and the sum of all never exceeds the total.

use super::{PURPOSES, Plan, Purpose};

/// An ask that was not granted. Nothing has changed but the account's count of refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryRefusal {
    /// Whose account had no room.
    pub purpose: Purpose,
}

/// What one account holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Account {
    ordinary: usize,
    may_use_reserve: usize,
    peak: usize,
    /// Asks that were refused since the start, and at the last turn.
    refused: u64,
    refused_before: u64,
    /// It refuses, which has been told; turns since its last refusal.
    told: bool,
    quiet: u32,
}

impl Account {
    fn used(&self) -> usize {
        self.ordinary + self.may_use_reserve
    }
}

/// An account as it is shown, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// Which.
    pub purpose: Purpose,
    /// Held now.
    pub now: usize,
    /// The most that was held at a time.
    pub peak: usize,
    /// It may hold no more.
    pub cap: usize,
    /// It may always hold so much.
    pub guarantee: usize,
    /// Of that, only for what is precious.
    pub reserve: usize,
    /// Held beyond the guarantee, out of the shared remainder.
    pub borrowed: usize,
    /// Asks that were refused.
    pub refused: u64,
}

/// What is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// An account refuses, for the first time since it last recovered.
    Refuses(AccountSnapshot),
    /// It has refused nothing for a while.
    Recovered(AccountSnapshot),
}

/// Turns without a refusal after which an account has recovered.
const QUIET: u32 = 10;
/// A holder without a team.
pub(super) const NO_TEAM: u16 = u16::MAX;

/// All accounts of a front.
#[derive(Debug, Clone)]
pub struct Accounts {
    plan: Plan,
    accounts: [Account; PURPOSES],
    /// Held by each team in each account.
    teams: Vec<[usize; PURPOSES]>,
    /// Sum of all commitments.
    committed: usize,
}

impl Accounts {
    /// Empty accounts under a plan, with so many teams below each.
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

    /// What the front is held to.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Puts other limits in force. Nothing is dropped: an account that holds more than it now may is granted
    /// nothing until it has fallen.
    pub fn replan(&mut self, plan: Plan) {
        self.plan = plan;
        self.committed = Purpose::ALL.iter().map(|&p| self.commitment(p)).sum();
    }

    fn commitment(&self, purpose: Purpose) -> usize {
        let (account, limit) = (&self.accounts[purpose as usize], &self.plan.limits[purpose as usize]);
        limit.guarantee.max(account.ordinary + account.may_use_reserve.max(limit.reserve))
    }

    /// Books further bytes, or refuses and books nothing.
    pub(super) fn take(
        &mut self,
        purpose: Purpose,
        team: u16,
        may_use_reserve: bool,
        bytes: usize,
    ) -> Result<(), MemoryRefusal> {
        let at = purpose as usize;
        let (before, account, limit) = (self.commitment(purpose), self.accounts[at], self.plan.limits[at]);
        let add = |part: usize, mine: bool| if mine { part.saturating_add(bytes) } else { part };
        let (ordinary, held) =
            (add(account.ordinary, !may_use_reserve), add(account.may_use_reserve, may_use_reserve));
        let wanted = ordinary.saturating_add(held.max(limit.reserve));
        let committed = (self.committed - before).saturating_add(limit.guarantee.max(wanted));
        // What does not raise the sum of commitments is inside a guarantee or a reserve, and always fits; the reserve
        // is to be had even where others still hold more than a cap that was cut.
        let room = wanted <= limit.cap && (committed <= self.plan.total || committed <= self.committed)
            || may_use_reserve && held <= limit.reserve;
        let share = self.teams.get(usize::from(team)).map_or(0, |t| t[at].saturating_add(bytes));
        if !room || share > self.plan.team_cap(purpose) {
            return Err(self.refuse(purpose));
        }
        let account = &mut self.accounts[at];
        (account.ordinary, account.may_use_reserve) = (ordinary, held);
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

    /// Books bytes back. Only a [`super::Grant`] calls this, with what it was granted.
    pub(super) fn give_back(&mut self, purpose: Purpose, team: u16, may_use_reserve: bool, bytes: usize) {
        let (at, before) = (purpose as usize, self.commitment(purpose));
        let account = &mut self.accounts[at];
        let part = if may_use_reserve { &mut account.may_use_reserve } else { &mut account.ordinary };
        debug_assert!(*part >= bytes, "{} gets back more than it gave", purpose.name());
        *part = part.saturating_sub(bytes);
        if let Some(team) = self.teams.get_mut(usize::from(team)) {
            debug_assert!(team[at] >= bytes, "a team gives back more than it had");
            team[at] = team[at].saturating_sub(bytes);
        }
        self.committed = self.committed - before + self.commitment(purpose);
    }

    /// Sets what was observed of the program itself. It cannot be refused: what it takes beyond its guarantee
    /// is missing in the shared remainder, so that the others are refused before the front's total is broken.
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

    /// Bytes that a team holds of an account.
    pub fn used_by(&self, purpose: Purpose, team: u16) -> usize {
        self.teams.get(usize::from(team)).map_or(0, |t| t[purpose as usize])
    }

    /// Bytes that all accounts hold, the program's among them.
    pub fn sum(&self) -> usize {
        self.accounts.iter().map(Account::used).sum()
    }

    /// Bytes of the shared remainder that nobody has, and all of it.
    pub fn remainder(&self) -> (usize, usize) {
        let guaranteed: usize = self.plan.limits.iter().map(|l| l.guarantee).sum();
        (self.plan.total.saturating_sub(self.committed), self.plan.total.saturating_sub(guaranteed))
    }

    /// How full an account is, of what all but the precious may have of it.
    pub fn fullness(&self, purpose: Purpose) -> f64 {
        let (account, limit) = (&self.accounts[purpose as usize], &self.plan.limits[purpose as usize]);
        let spent = account.ordinary + account.may_use_reserve.saturating_sub(limit.reserve);
        spent as f64 / limit.cap.saturating_sub(limit.reserve).max(1) as f64
    }

    /// One account as it is shown.
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

    /// A turn of the clock, two to ten a second: which accounts began to refuse since the last, and which have
    /// refused nothing for `QUIET` turns and count as recovered.
    pub fn turn(&mut self) -> Vec<Notice> {
        let mut notices = Vec::new();
        for purpose in Purpose::ALL {
            let sight = self.snapshot(purpose);
            let account = &mut self.accounts[purpose as usize];
            let fresh = account.refused > account.refused_before;
            account.refused_before = account.refused;
            account.quiet = if fresh { 0 } else { account.quiet.saturating_add(1) };
            if fresh && !account.told {
                account.told = true;
                notices.push(Notice::Refuses(sight));
            } else if account.told && account.quiet >= QUIET {
                account.told = false;
                notices.push(Notice::Recovered(sight));
            }
        }
        notices
    }
}
