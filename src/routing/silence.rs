//! Times in which nothing is heard of a node, or in which the front itself stood still. Answers that were held up in
//! one come together behind it, in any order; for a moment their lateness says nothing.

/// An answer that may be lost is looked at again after this. Where answers are waited for and none came for as long,
/// there was a silence, and what it held up comes within as long behind it (seconds).
pub const RECHECK: f64 = 0.1;
/// A timer that fires later than this, though nothing else kept the front busy, tells that the front stood still
/// (seconds).
const TIMER_LATE: f64 = RECHECK / 10.0;

/// When a node was heard.
#[derive(Clone, Copy)]
pub struct Hearing {
    /// Attempts that are out, and since when there are any.
    out: u32,
    waits_since: f64,
    last_answer: f64,
    /// When the newest answer came that ended a silence.
    resumed: f64,
}

impl Default for Hearing {
    fn default() -> Self {
        Hearing { out: 0, waits_since: f64::MIN, last_answer: f64::MIN, resumed: f64::MIN }
    }
}

impl Hearing {
    /// An attempt goes out.
    pub fn sent(&mut self, now: f64) {
        if self.out == 0 {
            self.waits_since = now;
        }
        self.out += 1;
    }

    /// An answer came.
    pub fn heard(&mut self, now: f64) {
        let quiet_since = self.last_answer.max(self.waits_since);
        if self.out > 0 && now - quiet_since >= RECHECK {
            self.resumed = now;
        }
        self.last_answer = now;
    }

    /// An attempt has ended, whether by an answer, of which [`Hearing::heard`] is told before, or without.
    pub fn ended(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// When the last answer came; `f64::MIN` where none did.
    pub fn last_answer(&self) -> f64 {
        self.last_answer
    }

    /// When what the last silence held up has come.
    pub fn caught_up_at(&self) -> f64 {
        self.resumed + RECHECK
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
        hearing.sent(100.0);
        hearing.heard(100.05);
        hearing.ended();
        assert!(hearing.caught_up_at() < 100.0, "it was quick");
        hearing.sent(105.0);
        hearing.heard(105.05);
        hearing.ended();
        assert!(hearing.caught_up_at() < 100.0, "nobody waited before");
        hearing.sent(106.0);
        hearing.sent(106.35);
        hearing.heard(106.4);
        assert_eq!(hearing.caught_up_at(), 106.4 + RECHECK, "the first was waited for since 106");
        hearing.heard(106.45);
        assert_eq!(hearing.caught_up_at(), 106.4 + RECHECK, "right behind it is none");
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
