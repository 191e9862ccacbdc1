//! Times in which nothing is heard of a node, or in which the front itself stood still. Answers that were held up in
//! one come together behind it, in any order; for a moment their lateness says nothing.

/// An answer that may be lost is looked at again after this. Where answers are waited for and none came for as long,
/// there was a silence, and what it held up comes within as long behind it (seconds).
pub const RECHECK: f64 = 0.1;
/// A timer that fires later than this, though nothing else kept the front busy, tells that the front stood still
/// (seconds).
const TIMER_LATE: f64 = RECHECK / 10.0;

/// When a node was heard.
pub struct Hearing {
    /// When the answers to the attempts that are out are expected.
    expected: Vec<f64>,
    last_answer: f64,
    /// When the newest answer came that ended a silence.
    resumed: f64,
}

impl Default for Hearing {
    fn default() -> Self {
        Hearing { expected: Vec::new(), last_answer: f64::MIN, resumed: f64::MIN }
    }
}

impl Hearing {
    /// An attempt goes out, whose answer is expected then.
    pub fn sent(&mut self, expected: f64) {
        self.expected.push(expected);
    }

    /// An answer came. It ends a silence if one was overdue for a while and nothing was heard.
    pub fn heard(&mut self, now: f64) {
        let overdue_since = self.expected.iter().copied().reduce(f64::min);
        if overdue_since.is_some_and(|since| now - since.max(self.last_answer) >= RECHECK) {
            self.resumed = now;
        }
        self.last_answer = now;
    }

    /// An attempt has ended whose answer was expected then, whether by an answer, of which [`Hearing::heard`] is told before,
    /// or without.
    pub fn ended(&mut self, expected: f64) {
        if let Some(place) = self.expected.iter().position(|&at| at == expected) {
            self.expected.swap_remove(place);
        }
    }

    /// When the last answer came; `f64::MIN` where none did.
    pub fn last_answer(&self) -> f64 {
        self.last_answer
    }

    /// When what the last silence held up has come, if that may be an answer that was due then.
    pub fn caught_up_at(&self, due: f64) -> f64 {
        if due <= self.resumed { self.resumed + RECHECK } else { f64::MIN }
    }
}

/// Whether the front itself stood still: nothing at all was handled for a while, in which a timer was due.
#[derive(Clone, Copy)]
pub struct Standstill {
    last_event: f64,
    /// When a timer last ended such a while: after a standstill timers fire before anything that came meanwhile is read.
    woke: f64,
    /// The same, where the timer should have fired earlier.
    ended: f64,
}

impl Default for Standstill {
    fn default() -> Self {
        Standstill { last_event: f64::MIN, woke: f64::MIN, ended: f64::MIN }
    }
}

impl Standstill {
    /// Something is handled; `timer` says that it is a timer that fires.
    pub fn event(&mut self, now: f64, timer: bool) {
        if timer && now - self.last_event >= RECHECK {
            self.woke = now;
        }
        self.last_event = now;
    }

    /// The timer that fires was due then.
    pub fn timer(&mut self, due: f64) {
        if self.woke > due + TIMER_LATE {
            self.ended = self.woke;
        }
    }

    /// When what the last standstill held up has been read.
    pub fn caught_up_at(&self) -> f64 {
        self.ended + RECHECK
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_silence_is_one_only_while_answers_are_waited_for() {
        let mut hearing = Hearing::default();
        hearing.sent(100.05);
        hearing.heard(100.06);
        hearing.ended(100.05);
        assert!(hearing.caught_up_at(100.0) < 100.0, "it was quick");
        hearing.sent(105.05);
        hearing.heard(105.06);
        hearing.ended(105.05);
        assert!(hearing.caught_up_at(105.0) < 100.0, "nobody waited before");
        hearing.sent(105.9);
        hearing.heard(105.9);
        hearing.ended(105.9);
        assert!(hearing.caught_up_at(105.0) < 100.0, "it was expected to be slow");
        hearing.sent(106.05);
        hearing.sent(106.4);
        hearing.heard(106.41);
        assert_eq!(hearing.caught_up_at(106.2), 106.41 + RECHECK, "the first was waited for since 106.05");
        assert!(hearing.caught_up_at(106.45) < 100.0, "not due in the silence");
        hearing.ended(106.4);
        hearing.heard(106.45);
        assert_eq!(hearing.caught_up_at(106.2), 106.41 + RECHECK, "right behind it is none");
    }

    #[test]
    fn a_standstill_is_a_late_timer_after_a_while_without_events() {
        let mut standstill = Standstill::default();
        standstill.event(100.0, false);
        standstill.event(100.3, true);
        standstill.timer(100.3);
        assert!(standstill.caught_up_at() < 100.0, "quiet, and the timer in time");
        for i in 1..=40 {
            standstill.event(100.3 + f64::from(i) / 100.0, false);
        }
        standstill.event(100.7, true);
        standstill.timer(100.5);
        assert!(standstill.caught_up_at() < 100.0, "busy with other events");
        standstill.event(101.2, true);
        standstill.event(101.201, true);
        standstill.timer(100.9);
        assert_eq!(standstill.caught_up_at(), 101.2 + RECHECK);
    }
}
