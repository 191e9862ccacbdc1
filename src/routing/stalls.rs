//! Stalls: times in which no answer of a node arrives, or in which the front itself does not run. The answers
//! that a stall held up arrive together after it, in any order; for a moment their lateness says nothing.

/// Delay after which an answer that may be lost is checked again (seconds). Where answers are overdue and
/// none came for as long, there was a stall, and what it held up arrives within as long after it.
pub const RECHECK_DELAY: f64 = 0.1;
/// A timer that fires later than this, though no other event kept the front busy, shows that the front
/// stalled (seconds).
const TIMER_LATENESS: f64 = RECHECK_DELAY / 10.0;

/// The stalls of one node.
pub struct NodeStalls {
    /// When the answers to the attempts in flight are expected.
    expected: Vec<f64>,
    last_answer: f64,
    /// When the latest answer arrived that ended a stall.
    ended_at: f64,
}

impl Default for NodeStalls {
    fn default() -> Self {
        NodeStalls { expected: Vec::new(), last_answer: f64::MIN, ended_at: f64::MIN }
    }
}

impl NodeStalls {
    /// Records an attempt whose answer is expected at a time.
    pub fn expect_answer(&mut self, expected: f64) {
        self.expected.push(expected);
    }

    /// Records an answer. It ends a stall if one was overdue for a while and no other came.
    pub fn record_answer(&mut self, now: f64) {
        let overdue_since = self.expected.iter().copied().reduce(f64::min);
        if overdue_since.is_some_and(|since| now - since.max(self.last_answer) >= RECHECK_DELAY) {
            self.ended_at = now;
        }
        self.last_answer = now;
    }

    /// Removes the expected time of an attempt that ended. If an answer ended it,
    /// [`NodeStalls::record_answer`] is called before.
    pub fn forget_expected(&mut self, expected: f64) {
        if let Some(index) = self.expected.iter().position(|&at| at == expected) {
            self.expected.swap_remove(index);
        }
    }

    /// Returns when the last answer arrived; `f64::MIN` where none did.
    pub fn last_answer(&self) -> f64 {
        self.last_answer
    }

    /// Returns when all answers that the last stall held up have arrived, if one that was due at `due` may be
    /// among them.
    pub fn caught_up_at(&self, due: f64) -> f64 {
        if due <= self.ended_at { self.ended_at + RECHECK_DELAY } else { f64::MIN }
    }
}

/// The stalls of the front itself, in which it handled no event for a while though a timer was due.
#[derive(Clone, Copy)]
pub struct FrontStalls {
    last_event: f64,
    /// When a timer last fired after a while without events. After a stall, timers fire before what arrived
    /// meanwhile is read.
    idle_until: f64,
    /// When a late timer last fired after a while without events, which is the end of the last stall.
    ended_at: f64,
}

impl Default for FrontStalls {
    fn default() -> Self {
        FrontStalls { last_event: f64::MIN, idle_until: f64::MIN, ended_at: f64::MIN }
    }
}

impl FrontStalls {
    /// Records that an event is handled, and whether it is a timer.
    pub fn record_event(&mut self, now: f64, is_timer: bool) {
        if is_timer && now - self.last_event >= RECHECK_DELAY {
            self.idle_until = now;
        }
        self.last_event = now;
    }

    /// Records when the timer that fires now was due.
    pub fn record_timer(&mut self, due: f64) {
        if self.idle_until > due + TIMER_LATENESS {
            self.ended_at = self.idle_until;
        }
    }

    /// Returns when all that the last stall held up has been read.
    pub fn caught_up_at(&self) -> f64 {
        self.ended_at + RECHECK_DELAY
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_gap_in_overdue_answers_is_a_node_stall() {
        let mut stalls = NodeStalls::default();
        stalls.expect_answer(100.05);
        stalls.record_answer(100.06);
        stalls.forget_expected(100.05);
        assert!(stalls.caught_up_at(100.0) < 100.0, "the answer was in time");
        stalls.expect_answer(105.05);
        stalls.record_answer(105.06);
        stalls.forget_expected(105.05);
        assert!(stalls.caught_up_at(105.0) < 100.0, "no answer was expected before");
        stalls.expect_answer(105.9);
        stalls.record_answer(105.9);
        stalls.forget_expected(105.9);
        assert!(stalls.caught_up_at(105.0) < 100.0, "the answer was expected late");
        stalls.expect_answer(106.05);
        stalls.expect_answer(106.4);
        stalls.record_answer(106.41);
        assert_eq!(stalls.caught_up_at(106.2), 106.41 + RECHECK_DELAY, "the first was overdue since 106.05");
        assert!(stalls.caught_up_at(106.45) < 100.0, "not due in the stall");
        stalls.forget_expected(106.4);
        stalls.record_answer(106.45);
        assert_eq!(stalls.caught_up_at(106.2), 106.41 + RECHECK_DELAY, "no further stall right after it");
    }

    #[test]
    fn a_late_timer_after_a_while_without_events_is_a_front_stall() {
        let mut stalls = FrontStalls::default();
        stalls.record_event(100.0, false);
        stalls.record_event(100.3, true);
        stalls.record_timer(100.3);
        assert!(stalls.caught_up_at() < 100.0, "idle, and the timer in time");
        for i in 1..=40 {
            stalls.record_event(100.3 + f64::from(i) / 100.0, false);
        }
        stalls.record_event(100.7, true);
        stalls.record_timer(100.5);
        assert!(stalls.caught_up_at() < 100.0, "busy with other events");
        stalls.record_event(101.2, true);
        stalls.record_event(101.201, true);
        stalls.record_timer(100.9);
        assert_eq!(stalls.caught_up_at(), 101.2 + RECHECK_DELAY);
    }
}
