//! Times in which nothing is heard of a node. Answers that were held up in one come together behind it, in any order;
//! for a moment their lateness says nothing.

/// An answer that may be lost is looked at again after this. Where answers are waited for and none came for as long,
/// there was a silence, and what it held up comes within as long behind it (seconds).
pub const RECHECK: f64 = 0.1;
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
}
