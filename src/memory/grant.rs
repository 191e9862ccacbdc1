//! Grants: memory that was acquired and may be used. A grant is moved, never copied, and releases its bytes
//! when it is dropped, on every path.

use super::accounts::NO_TEAM;
use super::{
    Accounts, AuditFinding, Level, MemoryRefusal, Notice, Plan, Pressure, ProcessMemory, Purpose,
    ResidentMemoryAudit,
};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// The account, team and priority under which memory is acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountOwner {
    /// The account.
    pub purpose: Purpose,
    /// The team below the account, by its index in the contracts.
    pub team: Option<u16>,
    /// Whether the reserve is available: for classes that are never kept, and for work that has begun.
    pub may_use_reserve: bool,
}

impl AccountOwner {
    /// An owner without a team and without access to the reserve.
    pub fn of(purpose: Purpose) -> Self {
        AccountOwner { purpose, team: None, may_use_reserve: false }
    }
}

struct Shared {
    accounts: RefCell<Accounts>,
    pressure: RefCell<Pressure>,
    /// The level at the last update, for checks by every buffer.
    level: Cell<Level>,
    /// Notified when the level rises to [`Level::CloseIdle`] or above.
    became_scarce: Notify,
    audit: RefCell<ResidentMemoryAudit>,
    /// Number of open client connections.
    clients: Cell<usize>,
}

/// The front's accounts, shared by its tasks, which all run on one thread.
#[derive(Clone)]
pub struct Ledger(Rc<Shared>);

impl Ledger {
    /// Empty accounts under a plan, each with accounts of `teams` teams below it.
    pub fn new(plan: Plan, teams: usize) -> Self {
        Ledger(Rc::new(Shared {
            accounts: RefCell::new(Accounts::new(plan, teams)),
            pressure: RefCell::default(),
            level: Cell::default(),
            became_scarce: Notify::new(),
            audit: RefCell::default(),
            clients: Cell::default(),
        }))
    }

    /// Accounts that refuse nothing, for code that runs outside of a front.
    pub fn unlimited() -> Self {
        Ledger::new(Plan::unlimited(), 0)
    }

    /// The accounts.
    pub fn accounts(&self) -> Ref<'_, Accounts> {
        self.0.accounts.borrow()
    }

    /// The accounts, for the task that updates them.
    pub fn accounts_mut(&self) -> RefMut<'_, Accounts> {
        self.0.accounts.borrow_mut()
    }

    /// Updates the pressure level from the accounts and returns it.
    pub fn update_level(&self) -> Level {
        let level = self.0.pressure.borrow_mut().update(&self.accounts());
        let before = self.0.level.replace(level);
        if before < Level::CloseIdle && level >= Level::CloseIdle {
            self.0.became_scarce.notify_waiters();
        }
        level
    }

    /// Waits until the level rises to [`Level::CloseIdle`] or above.
    pub async fn wait_until_scarce(&self) {
        self.0.became_scarce.notified().await;
    }

    /// Returns whether a request of this size may be admitted now.
    pub fn admits(&self, bytes: usize, may_use_reserve: bool) -> bool {
        self.update_level();
        self.0.pressure.borrow().admits(&self.accounts(), bytes, may_use_reserve)
    }

    /// Returns whether a client with this many unread bytes may be read from and sent more.
    pub fn may_read(&self, unread: usize) -> bool {
        unread == 0 || self.0.pressure.borrow().may_read(&self.accounts(), unread, self.0.clients.get())
    }

    /// The number of `idle` connections to close now.
    pub fn idle_connections_to_close(&self, idle: usize) -> usize {
        self.0.pressure.borrow().idle_connections_to_close(idle)
    }

    /// Audits the accounts against the memory of the process, updates the level, and returns what to log.
    pub fn update(&self, memory: ProcessMemory) -> (AuditFinding, Vec<Notice>) {
        let finding = self.0.audit.borrow_mut().audit(&mut self.accounts_mut(), memory);
        self.update_level();
        (finding, self.accounts_mut().tick())
    }

    /// Puts other limits in force ([`Accounts::replan`]) and determines the level anew under them.
    pub fn replan(&self, plan: Plan) {
        self.accounts_mut().replan(plan);
        self.0.pressure.borrow_mut().reset();
        self.update_level();
    }

    /// Adds to the number of open client connections.
    pub fn adjust_client_count(&self, change: isize) {
        self.0.clients.set(self.0.clients.get().saturating_add_signed(change));
    }

    /// Acquires memory, or fails without effect if the account has no room.
    pub fn acquire(&self, owner: AccountOwner, bytes: usize) -> Result<Grant, MemoryRefusal> {
        let mut grant = self.empty_grant(owner);
        grant.grow(bytes)?;
        Ok(grant)
    }

    /// Counts a refusal that is due to the pressure level rather than to the account.
    pub fn count_refusal(&self, purpose: Purpose) -> MemoryRefusal {
        self.accounts_mut().refuse(purpose)
    }

    /// An empty grant, which may grow.
    pub fn empty_grant(&self, owner: AccountOwner) -> Grant {
        let (team, may_use_reserve) = (owner.team.unwrap_or(NO_TEAM), owner.may_use_reserve);
        Grant {
            ledger: Some(self.clone()),
            purpose: owner.purpose,
            team,
            may_use_reserve,
            bytes: 0,
            counter: None,
        }
    }
}

/// The line of counters: sizes in bytes, by account.
impl fmt::Display for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (accounts, process) = (self.accounts(), self.0.audit.borrow().last());
        let (free, shared) = accounts.remainder();
        write!(
            f,
            "memory total={} held={} resident={} active={} heap={} shared={shared} free={free} level={}",
            accounts.plan().total,
            accounts.sum(),
            process.resident,
            process.active,
            process.heap,
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

/// Memory that may be used until the grant is dropped.
pub struct Grant {
    ledger: Option<Ledger>,
    purpose: Purpose,
    team: u16,
    may_use_reserve: bool,
    bytes: usize,
    /// A further count of these bytes, for the sum that one client holds.
    counter: Option<Rc<Cell<usize>>>,
}

impl Default for Grant {
    /// An empty grant without an account; it cannot grow.
    fn default() -> Self {
        Grant {
            ledger: None,
            purpose: Purpose::Program,
            team: NO_TEAM,
            may_use_reserve: false,
            bytes: 0,
            counter: None,
        }
    }
}

impl Grant {
    /// Size in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts the bytes of this grant in `counter` as well, from now on.
    pub fn counted_in(mut self, counter: Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + self.bytes);
        self.counter = Some(counter);
        self
    }

    fn adjust_counter(&self, more: usize, less: usize) {
        if let Some(counter) = &self.counter {
            counter.set(counter.get() + more - less);
        }
    }

    /// Returns whether memory is so scarce that idle buffers are to be released.
    pub fn should_release_buffers(&self) -> bool {
        self.ledger.as_ref().is_some_and(|l| l.0.level.get() >= Level::Compact)
    }

    /// Acquires `more` bytes, or fails without effect.
    pub fn grow(&mut self, more: usize) -> Result<(), MemoryRefusal> {
        match &self.ledger {
            _ if more == 0 => Ok(()),
            None => Err(MemoryRefusal { purpose: self.purpose }),
            Some(ledger) => {
                ledger.accounts_mut().book(self.purpose, self.team, self.may_use_reserve, more)?;
                self.bytes += more;
                self.adjust_counter(more, 0);
                Ok(())
            }
        }
    }

    /// Releases `less` bytes, or all if there are fewer.
    pub fn shrink(&mut self, less: usize) {
        let less = less.min(self.bytes);
        self.bytes -= less;
        self.adjust_counter(0, less);
        if let Some(ledger) = self.ledger.as_ref().filter(|_| less > 0) {
            ledger.accounts_mut().release(self.purpose, self.team, self.may_use_reserve, less);
        }
    }

    /// Grows or shrinks to `bytes`; unchanged if growth is refused.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryRefusal> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.grow(more),
            None => {
                self.shrink(self.bytes - bytes);
                Ok(())
            }
        }
    }

    /// Moves `bytes`, or all if there are fewer, into a new grant.
    pub fn split(&mut self, bytes: usize) -> Grant {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let counter = self.counter.clone();
        Grant {
            ledger: self.ledger.clone(),
            purpose: self.purpose,
            team: self.team,
            may_use_reserve: self.may_use_reserve,
            bytes,
            counter,
        }
    }

    /// Merges a grant of the same owner and counter; another grant is returned unchanged.
    pub fn join(&mut self, mut other: Grant) -> Result<(), Grant> {
        let same_ledger = match (&self.ledger, &other.ledger) {
            (Some(a), Some(b)) => Rc::ptr_eq(&a.0, &b.0),
            _ => false,
        };
        let same_counter = match (&self.counter, &other.counter) {
            (Some(a), Some(b)) => Rc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same_ledger
            || !same_counter
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

/// Grants are equal, so that the memory of two requests or answers does not count in their comparison.
impl PartialEq for Grant {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
