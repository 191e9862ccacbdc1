//! Memory accounts: an account with a guarantee and a cap for each purpose of a front's memory. There is no
//! I/O and no clock here; the task that owns the accounts samples the system's figures and passes them in.
//!
//! Memory is requested before it is used ([`Ledger::acquire`]). A granted request is a value, [`Grant`], that
//! can be moved but not copied and releases its bytes when it is dropped, so that no path can leak them or
//! release them twice. The accounts form a tree: the front, its purposes, and below each purpose the teams,
//! where there are any.

mod accounts;
mod grant;
#[cfg(test)]
mod model;
mod plan;
mod pressure;
mod resident_audit;

pub use accounts::{AccountSnapshot, Accounts, MemoryRefusal, Notice};
pub use grant::{AccountOwner, Grant, Ledger};
pub use plan::{Limit, LimitOverrides, Plan};
pub use pressure::{Level, Pressure, Thresholds};
pub use resident_audit::{AuditFinding, ProcessMemory, ResidentMemoryAudit};

/// Number of purposes, and so of accounts below the front's.
pub const PURPOSES: usize = 9;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Purpose {
    /// Client connections: their tasks, buffers and open tags.
    Clients,
    /// Connections to cache nodes: their tasks and buffers.
    Caches,
    /// Request bodies, from their first byte to the end of their request.
    Bodies,
    /// Answers of cache nodes that have been received in part.
    Partial,
    /// Answers that clients have not yet read.
    Unread,
    /// Waiting requests: the table of open requests, the queues between tasks, timers.
    Waiting,
    /// Learned state: the director's tables, the list of nodes, purges.
    Learned,
    /// Signed links: request heads, tokens, keys, compiled expressions.
    Signed,
    /// The program itself and all memory that is in no other account: observed, never requested.
    Program,
}

impl Purpose {
    /// All purposes, in the order of the counters.
    pub const ALL: [Purpose; PURPOSES] = [
        Purpose::Clients,
        Purpose::Caches,
        Purpose::Bodies,
        Purpose::Partial,
        Purpose::Unread,
        Purpose::Waiting,
        Purpose::Learned,
        Purpose::Signed,
        Purpose::Program,
    ];

    /// The name in configuration, counters and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Clients => "clients",
            Purpose::Caches => "caches",
            Purpose::Bodies => "bodies",
            Purpose::Partial => "partial",
            Purpose::Unread => "unread",
            Purpose::Waiting => "waiting",
            Purpose::Learned => "learned",
            Purpose::Signed => "signed",
            Purpose::Program => "program",
        }
    }
}
