//! What was taken in, sent and answered.

use super::Answer;
use crate::interface::{Note, Outcome};
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Plain sums since the start.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests taken.
    requests,
    /// Answered: served.
    served,
    /// Of these: the client's copy held.
    current,
    /// Answered: refused.
    refused,
    /// Answered: failed.
    failed,
    /// Answered: failed, its time was up.
    late,
    /// Answered: a team's budget was spent.
    over_budget,
    /// Answered: no contract covers it.
    forbidden,
    /// Of the answers: given before the director heard of the request.
    turned_away,
    /// Of the answers: refused by the director, which found no cache for the request, or none in time.
    refused_by_director,
    /// Clients that stopped waiting.
    aborted,
    /// Requests whose answer came and could not be held.
    no_memory,
    /// Attempts ordered.
    sent,
    /// Attempts whose write began.
    written,
    /// Attempts taken back before their write, since news came that bear on them.
    recalled,
    /// Attempts that ended: served.
    ok,
    /// Nothing suitable held.
    miss,
    /// Not taken.
    full,
    /// An error.
    error,
    /// No answer in time.
    timed_out,
    /// No connection.
    connect_failed,
    /// The connection broke.
    reset,
    /// Withdrawn.
    cancelled,
    /// Never sent.
    moot,
    /// Served from what was held.
    hits,
    /// Served by a fill.
    fills,
    /// Bytes served.
    bytes,
    /// Lists and changes of lists heard.
    lists,
    /// Purges heard.
    purges,
}

impl Counters {
    /// Counts a final answer.
    pub fn answered(&mut self, answer: &Answer) {
        match answer {
            Answer::Served(content) => {
                self.served += 1;
                self.current += u64::from(content.not_modified);
                self.bytes += content.body.len() as u64;
            }
            Answer::Refused(_) => self.refused += 1,
            Answer::Failed => self.failed += 1,
            Answer::DeadlineExceeded => self.late += 1,
            Answer::OverBudget(_) => self.over_budget += 1,
            Answer::Forbidden => self.forbidden += 1,
        }
    }

    /// Counts the end of an attempt.
    pub fn ended(&mut self, outcome: Outcome, note: Note) {
        match outcome {
            Outcome::Ok => self.ok += 1,
            Outcome::Miss => self.miss += 1,
            Outcome::Full => self.full += 1,
            Outcome::Error => self.error += 1,
            Outcome::TimedOut => self.timed_out += 1,
            Outcome::ConnectFailed => self.connect_failed += 1,
            Outcome::Reset => self.reset += 1,
            Outcome::Cancelled => self.cancelled += 1,
            Outcome::NotSent => self.moot += 1,
        }
        match note {
            Note::Hit | Note::Stale => self.hits += 1,
            Note::Filled | Note::FilledFromOrigin | Note::Joined => self.fills += 1,
            _ => {}
        }
    }
}
