//! Memory by purpose: an account, a guarantee and a cap for each use of a front's memory. It opens nothing and
//! reads no clock; the one task that owns the front's sums asks the system and hands in what it says.
//!
//! Memory is asked for before it is used ([`Ledger::acquire`]). What is granted is a value, [`Grant`], that only moves
//! and gives back when it is dropped, so that no path can leak or give back twice. Accounts form a tree: the
//! front, its purposes, and below each purpose the teams, where there are any.

mod accounts;
mod grant;
#[cfg(test)]
mod model;
mod plan;
mod pressure;
mod truth;

pub use accounts::{AccountSnapshot, Accounts, MemoryRefusal, Notice};
pub use grant::{AccountOwner, Grant, Ledger};
pub use plan::{Limit, LimitOverrides, Plan};
pub use pressure::{Level, Pressure, Thresholds};
pub use truth::{Finding, ResidentMemoryAudit, Seen};

/// Accounts below the front's.
pub const PURPOSES: usize = 9;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Purpose {
    /// Client connections: their tasks, buffers and open tags.
    Clients,
    /// Connections to cache nodes: their tasks and buffers.
    Caches,
    /// Request bodies, while they come and until their request is over.
    Bodies,
    /// Answers of cache nodes that have come in part.
    Partial,
    /// Answers that clients have not read.
    Unread,
    /// Waiting requests: the open table, the queues between tasks, timers.
    Waiting,
    /// Learned state: the director's tables, the list of nodes, purges.
    Learned,
    /// The second front: heads, tokens, keys, compiled expressions.
    Signed,
    /// The program itself, and all that no other account knows of: observed, never asked for.
    Program,
}

impl Purpose {
    /// All, in the order in which they are shown.
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

    /// Its name in configuration, counters and log lines.
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
