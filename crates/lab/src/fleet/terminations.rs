//! When processes of a front were told to end, and which connections no requests come on any more for that.

use super::faults::COMING;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Requests come so long on the open connections of a process that was told to end (the platform's).
const CLOSING: Duration = Duration::from_millis(600);

/// The times at which processes of one front were told to end.
#[derive(Debug, Default)]
pub struct Terminations(RefCell<Vec<Instant>>);

impl Terminations {
    /// A process was told to end at this time.
    pub fn note(&self, at: Instant) {
        self.0.borrow_mut().push(at);
    }

    /// Is it over with requests on a connection that was made at this time? It is for good, once its process was told to end:
    /// what is sent to one that is gone has the connection reset, with the answers that its client has not read.
    pub fn end_requests(&self, made: Instant, now: Instant) -> bool {
        let coming = Duration::from_secs_f64(COMING);
        let is_over = |told: Instant| now.saturating_duration_since(told) > CLOSING;
        self.0.borrow().iter().any(|&told| made < told + coming && is_over(told))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against the connections of a process that is gone, which were used again once the next was told to end.
    #[test]
    fn a_connection_stays_unused_when_the_next_process_is_told_to_end() {
        let began = Instant::now();
        let at = |seconds: f64| began + Duration::from_secs_f64(seconds);
        let terminations = Terminations::default();
        terminations.note(at(2.0));
        assert!(!terminations.end_requests(at(1.0), at(2.5)), "requests come for a while");
        assert!(terminations.end_requests(at(1.0), at(2.7)));
        terminations.note(at(7.0));
        assert!(terminations.end_requests(at(1.0), at(7.1)), "its process is gone");
        assert!(!terminations.end_requests(at(5.0), at(7.1)), "this one is of the second process");
        assert!(terminations.end_requests(at(5.0), at(7.7)));
        assert!(!terminations.end_requests(at(7.5), at(9.0)), "and this one of the third");
    }
}
