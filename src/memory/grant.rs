//! Grants: memory that was asked for and may be used. A grant only moves; when it is dropped, whatever the path,
//! its bytes are back.

use super::accounts::NO_TEAM;
use super::{
    Accounts, Finding, Level, MemoryRefusal, Notice, Plan, Pressure, Purpose, ResidentMemoryAudit, Seen,
};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// For what, and for whom, memory is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountOwner {
    /// The account.
    pub purpose: Purpose,
    /// The team below it, by its place in the contracts.
    pub team: Option<u16>,
    /// It may have the reserve: for classes that are never kept, and for what is begun.
    pub may_use_reserve: bool,
}

impl AccountOwner {
    /// Nobody's in particular.
    pub fn of(purpose: Purpose) -> Self {
        AccountOwner { purpose, team: None, may_use_reserve: false }
    }
}

struct Shared {
    accounts: RefCell<Accounts>,
    pressure: RefCell<Pressure>,
    /// The level that held at the last look, at hand for every buffer.
    level: Cell<Level>,
    /// Idle connections are to be closed from now on.
    became_scarce: Notify,
    truth: RefCell<ResidentMemoryAudit>,
    /// Client connections that are open.
    clients: Cell<usize>,
}

/// The front's accounts, shared by its tasks, which all run on one thread.
#[derive(Clone)]
pub struct Ledger(Rc<Shared>);

impl Ledger {
    /// Accounts under a plan, with so many teams below each.
    pub fn new(plan: Plan, teams: usize) -> Self {
        Ledger(Rc::new(Shared {
            accounts: RefCell::new(Accounts::new(plan, teams)),
            pressure: RefCell::default(),
            level: Cell::default(),
            became_scarce: Notify::new(),
            truth: RefCell::default(),
            clients: Cell::default(),
        }))
    }

    /// Accounts that refuse nothing, for what runs outside of a front.
    pub fn unlimited() -> Self {
        Ledger::new(Plan::unlimited(), 0)
    }

    /// The sums as they stand.
    pub fn accounts(&self) -> Ref<'_, Accounts> {
        self.0.accounts.borrow()
    }

    /// For the one task that turns, observes and plans anew.
    pub fn accounts_mut(&self) -> RefMut<'_, Accounts> {
        self.0.accounts.borrow_mut()
    }

    /// The level that holds now.
    pub fn level(&self) -> Level {
        let level = self.0.pressure.borrow_mut().look(&self.accounts());
        let before = self.0.level.replace(level);
        if before < Level::CloseIdle && level >= Level::CloseIdle {
            self.0.became_scarce.notify_waiters();
        }
        level
    }

    /// Waits until idle connections are to be closed that were not before.
    pub async fn wait_until_scarce(&self) {
        self.0.became_scarce.notified().await;
    }

    /// May a request of so many bytes be taken now?
    pub fn admits(&self, bytes: usize, may_use_reserve: bool) -> bool {
        self.level();
        self.0.pressure.borrow().admits(&self.accounts(), bytes, may_use_reserve)
    }

    /// Is a client that has left so many bytes unread to be read from, and to be given more?
    pub fn may_read(&self, unread: usize) -> bool {
        unread == 0 || self.0.pressure.borrow().may_read(&self.accounts(), unread, self.0.clients.get())
    }

    /// How many of so many idle connections are to be closed in this turn.
    pub fn idle_connections_to_close(&self, idle: usize) -> usize {
        self.0.pressure.borrow().idle_connections_to_close(idle)
    }

    /// A turn: this was seen of the process. What is worth a line in the log.
    pub fn turn(&self, seen: Seen) -> (Finding, Vec<Notice>) {
        let finding = self.0.truth.borrow_mut().look(&mut self.accounts_mut(), seen);
        self.level();
        (finding, self.accounts_mut().turn())
    }

    /// Puts other limits in force ([`Accounts::replan`]), and judges anew how scarce memory is under them.
    pub fn replan(&self, plan: Plan) {
        self.accounts_mut().replan(plan);
        self.0.pressure.borrow_mut().reset();
        self.level();
    }

    /// A client connected, or left.
    pub fn adjust_client_count(&self, change: isize) {
        self.0.clients.set(self.0.clients.get().saturating_add_signed(change));
    }

    /// Asks for so many bytes.
    pub fn acquire(&self, holder: AccountOwner, bytes: usize) -> Result<Grant, MemoryRefusal> {
        let mut grant = self.empty_grant(holder);
        grant.grow(bytes)?;
        Ok(grant)
    }

    /// Counts a refusal that the pressure asked for, though the account itself has room.
    pub fn count_refusal(&self, purpose: Purpose) -> MemoryRefusal {
        self.accounts_mut().refuse(purpose)
    }

    /// A grant of nothing yet, which may grow.
    pub fn empty_grant(&self, holder: AccountOwner) -> Grant {
        let (team, may_use_reserve) = (holder.team.unwrap_or(NO_TEAM), holder.may_use_reserve);
        Grant {
            ledger: Some(self.clone()),
            purpose: holder.purpose,
            team,
            may_use_reserve,
            bytes: 0,
            leaf: None,
        }
    }
}

/// As the counters show it: sizes in bytes, by account.
impl fmt::Display for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (accounts, seen) = (self.accounts(), self.0.truth.borrow().seen());
        let (free, shared) = accounts.remainder();
        write!(
            f,
            "memory total={} held={} resident={} active={} heap={} shared={shared} free={free} level={}",
            accounts.plan().total,
            accounts.sum(),
            seen.resident,
            seen.active,
            seen.heap,
            self.0.level.get().name()
        )?;
        for purpose in Purpose::ALL {
            let s = accounts.snapshot(purpose);
            let name = purpose.name();
            write!(f, " {name}.now={} {name}.peak={} {name}.cap={}", s.now, s.peak, s.cap)?;
            write!(f, " {name}.guarantee={} {name}.reserve={}", s.guarantee, s.reserve)?;
            write!(f, " {name}.borrowed={}", s.borrowed)?;
            write!(f, " {name}.refused={}", s.refused)?;
        }
        Ok(())
    }
}

/// Bytes that may be used until this is dropped.
pub struct Grant {
    ledger: Option<Ledger>,
    purpose: Purpose,
    team: u16,
    may_use_reserve: bool,
    bytes: usize,
    /// A leaf of the tree: what one client holds, where that counts.
    leaf: Option<Rc<Cell<usize>>>,
}

impl Default for Grant {
    /// Nothing, of no account; it cannot grow.
    fn default() -> Self {
        Grant {
            ledger: None,
            purpose: Purpose::Program,
            team: NO_TEAM,
            may_use_reserve: false,
            bytes: 0,
            leaf: None,
        }
    }
}

impl Grant {
    /// How many bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts its bytes in a leaf too, from now on.
    pub fn counted_in(mut self, leaf: Rc<Cell<usize>>) -> Self {
        leaf.set(leaf.get() + self.bytes);
        self.leaf = Some(leaf);
        self
    }

    fn count(&self, more: usize, less: usize) {
        if let Some(leaf) = &self.leaf {
            leaf.set(leaf.get() + more - less);
        }
    }

    /// Is memory so scarce that idle buffers are released?
    pub fn should_release_buffers(&self) -> bool {
        self.ledger.as_ref().is_some_and(|l| l.0.level.get() >= Level::Compact)
    }

    /// Asks for more.
    pub fn grow(&mut self, more: usize) -> Result<(), MemoryRefusal> {
        match &self.ledger {
            _ if more == 0 => Ok(()),
            None => Err(MemoryRefusal { purpose: self.purpose }),
            Some(ledger) => {
                ledger.accounts_mut().take(self.purpose, self.team, self.may_use_reserve, more)?;
                self.bytes += more;
                self.count(more, 0);
                Ok(())
            }
        }
    }

    /// Gives some back, or all if it has less.
    pub fn shrink(&mut self, less: usize) {
        let less = less.min(self.bytes);
        self.bytes -= less;
        self.count(0, less);
        if let Some(ledger) = self.ledger.as_ref().filter(|_| less > 0) {
            ledger.accounts_mut().give_back(self.purpose, self.team, self.may_use_reserve, less);
        }
    }

    /// Grows or shrinks to so many bytes; unchanged where it is refused.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryRefusal> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.grow(more),
            None => {
                self.shrink(self.bytes - bytes);
                Ok(())
            }
        }
    }

    /// Takes so many bytes off into a grant of their own, or all if it has less.
    pub fn split(&mut self, bytes: usize) -> Grant {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let leaf = self.leaf.clone();
        Grant {
            ledger: self.ledger.clone(),
            purpose: self.purpose,
            team: self.team,
            may_use_reserve: self.may_use_reserve,
            bytes,
            leaf,
        }
    }

    /// Adds another of the same holder; one of another holder comes back unchanged.
    pub fn join(&mut self, mut other: Grant) -> Result<(), Grant> {
        let same = match (&self.ledger, &other.ledger) {
            (Some(a), Some(b)) => Rc::ptr_eq(&a.0, &b.0),
            _ => false,
        };
        let leaf = match (&self.leaf, &other.leaf) {
            (Some(a), Some(b)) => Rc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same
            || !leaf
            || (self.purpose, self.team, self.may_use_reserve)
                != (other.purpose, other.team, other.may_use_reserve)
        {
            return Err(other);
        }
        self.bytes += std::mem::take(&mut other.bytes);
        Ok(())
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

impl fmt::Debug for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.bytes, self.purpose.name())
    }
}

/// What two requests or answers hold has no part in whether they are the same.
impl PartialEq for Grant {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
