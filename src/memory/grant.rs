//! Grants: memory that was asked for and may be used. A grant only moves; when it is dropped, whatever the path,
//! its bytes are back.

use super::accounts::NO_TEAM;
use super::{Accounts, Plan, Purpose, Refused};
use std::cell::{Ref, RefCell, RefMut};
use std::fmt;
use std::rc::Rc;

/// For what, and for whom, memory is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The account.
    pub purpose: Purpose,
    /// The team below it, by its place in the contracts.
    pub team: Option<u16>,
    /// It may have the reserve: for classes that are never kept, and for what is begun.
    pub precious: bool,
}

impl Holder {
    /// Nobody's in particular.
    pub fn of(purpose: Purpose) -> Self {
        Holder { purpose, team: None, precious: false }
    }
}

/// The front's accounts, shared by its tasks, which all run on one thread.
#[derive(Clone)]
pub struct Ledger(Rc<RefCell<Accounts>>);

impl Ledger {
    /// Accounts under a plan, with so many teams below each.
    pub fn new(plan: Plan, teams: usize) -> Self {
        Ledger(Rc::new(RefCell::new(Accounts::new(plan, teams))))
    }

    /// Accounts that refuse nothing, for what runs outside of a front.
    pub fn unlimited() -> Self {
        Ledger::new(Plan::unlimited(), 0)
    }

    /// The sums as they stand.
    pub fn accounts(&self) -> Ref<'_, Accounts> {
        self.0.borrow()
    }

    /// For the one task that turns, observes and plans anew.
    pub fn accounts_mut(&self) -> RefMut<'_, Accounts> {
        self.0.borrow_mut()
    }

    /// Asks for so many bytes.
    pub fn ask(&self, holder: Holder, bytes: usize) -> Result<Grant, Refused> {
        let mut grant = self.empty(holder);
        grant.grow(bytes)?;
        Ok(grant)
    }

    /// A grant of nothing yet, which may grow.
    pub fn empty(&self, holder: Holder) -> Grant {
        let (team, precious) = (holder.team.unwrap_or(NO_TEAM), holder.precious);
        Grant { ledger: Some(self.clone()), purpose: holder.purpose, team, precious, bytes: 0 }
    }
}

/// Bytes that may be used until this is dropped.
pub struct Grant {
    ledger: Option<Ledger>,
    purpose: Purpose,
    team: u16,
    precious: bool,
    bytes: usize,
}

impl Default for Grant {
    /// Nothing, of no account; it cannot grow.
    fn default() -> Self {
        Grant { ledger: None, purpose: Purpose::Program, team: NO_TEAM, precious: false, bytes: 0 }
    }
}

impl Grant {
    /// How many bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Asks for more.
    pub fn grow(&mut self, more: usize) -> Result<(), Refused> {
        match &self.ledger {
            _ if more == 0 => Ok(()),
            None => Err(Refused { purpose: self.purpose }),
            Some(ledger) => {
                ledger.0.borrow_mut().take(self.purpose, self.team, self.precious, more)?;
                self.bytes += more;
                Ok(())
            }
        }
    }

    /// Gives some back, or all if it has less.
    pub fn shrink(&mut self, less: usize) {
        let less = less.min(self.bytes);
        self.bytes -= less;
        if let Some(ledger) = self.ledger.as_ref().filter(|_| less > 0) {
            ledger.0.borrow_mut().give_back(self.purpose, self.team, self.precious, less);
        }
    }

    /// Grows or shrinks to so many bytes; unchanged where it is refused.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Refused> {
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
        Grant {
            ledger: self.ledger.clone(),
            purpose: self.purpose,
            team: self.team,
            precious: self.precious,
            bytes,
        }
    }

    /// Adds another of the same holder; one of another holder comes back unchanged.
    pub fn join(&mut self, mut other: Grant) -> Result<(), Grant> {
        let same = match (&self.ledger, &other.ledger) {
            (Some(a), Some(b)) => Rc::ptr_eq(&a.0, &b.0),
            _ => false,
        };
        if !same || (self.purpose, self.team, self.precious) != (other.purpose, other.team, other.precious) {
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
