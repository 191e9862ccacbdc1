//! Counters of requests, attempts and answers.

use super::Answer;
use crate::interface::{Note, Outcome};
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Totals since the start of the process.
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
    /// Requests received.
    requests,
    /// Answers: served.
    served,
    /// Of the served: the client's copy was still valid.
    current,
    /// Answers: refused.
    refused,
    /// Answers: failed.
    failed,
    /// Answers: failed because the deadline passed.
    late,
    /// Answers: refused because the team's budget was exhausted.
    over_budget,
    /// Answers: refused because no contract covers the request.
    forbidden,
    /// Of the answers: given without handing the request to the director.
    turned_away,
    /// Of the answers: refused by the director, which found no cache node for the request, or none in time.
    refused_by_director,
    /// Requests whose client disconnected or cancelled.
    aborted,
    /// Requests whose answer arrived when there was no memory for it.
    no_memory,
    /// Attempts handed to the connections.
    sent,
    /// Attempts whose write began.
    written,
    /// Attempts cancelled before their write because of a discovery update or cordon that affects them.
    recalled,
    /// Attempts that ended: served.
    ok,
    /// Attempts that ended: the node had no suitable copy.
    miss,
    /// Attempts that ended: the node was full.
    full,
    /// Attempts that ended: error.
    error,
    /// Attempts that ended: no answer in time.
    timed_out,
    /// Attempts that ended: no connection could be made.
    connect_failed,
    /// Attempts that ended: the connection was reset.
    reset,
    /// Attempts that ended: cancelled on the wire.
    cancelled,
    /// Attempts that ended: never sent.
    moot,
    /// Attempts served from a stored copy.
    hits,
    /// Attempts served by a fill.
    fills,
    /// Bytes of the answers served.
    bytes,
    /// Node lists received, full and incremental.
    lists,
    /// Purges received.
    purges,
}

impl Counters {
    /// Counts a final answer.
    pub fn count_answer(&mut self, answer: &Answer) {
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
    pub fn count_attempt_end(&mut self, outcome: Outcome, note: Note) {
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
