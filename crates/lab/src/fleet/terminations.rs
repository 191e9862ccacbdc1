//! When processes of a front were sent SIGTERM, and which connections carry no more requests because of it.

use super::faults::NEW_CONNECTIONS_AFTER_TERM_S;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// The platform sends requests on a process's open connections for this long after its SIGTERM.
const REQUESTS_AFTER_TERM: Duration = Duration::from_millis(600);

/// The times at which processes of one front were sent SIGTERM.
#[derive(Debug, Default)]
pub struct Terminations(RefCell<Vec<Instant>>);

impl Terminations {
    /// Records that a process was sent SIGTERM.
    pub fn record(&self, at: Instant) {
        self.0.borrow_mut().push(at);
    }

    /// Returns whether a connection established at this time carries no more requests. Once true it stays
    /// true: a request to a process that has ended resets the connection, and the client loses the answers
    /// that it hasn't read.
    pub fn has_no_more_requests(&self, made: Instant, now: Instant) -> bool {
        let coming = Duration::from_secs_f64(NEW_CONNECTIONS_AFTER_TERM_S);
        let is_over = |term: Instant| now.saturating_duration_since(term) > REQUESTS_AFTER_TERM;
        self.0.borrow().iter().any(|&term| made < term + coming && is_over(term))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against requests on connections of a process that has ended, sent after the next process's
    /// SIGTERM.
    #[test]
    fn a_connection_of_an_ended_process_stays_unused_after_the_next_sigterm() {
        let began = Instant::now();
        let at = |seconds: f64| began + Duration::from_secs_f64(seconds);
        let terminations = Terminations::default();
        terminations.record(at(2.0));
        assert!(!terminations.has_no_more_requests(at(1.0), at(2.5)), "requests continue for a while");
        assert!(terminations.has_no_more_requests(at(1.0), at(2.7)));
        terminations.record(at(7.0));
        assert!(terminations.has_no_more_requests(at(1.0), at(7.1)), "its process has ended");
        assert!(
            !terminations.has_no_more_requests(at(5.0), at(7.1)),
            "this one belongs to the second process"
        );
        assert!(terminations.has_no_more_requests(at(5.0), at(7.7)));
        assert!(!terminations.has_no_more_requests(at(7.5), at(9.0)), "and this one to the third");
    }
}
