//! What fronts tell of themselves: counts since the start of their process, and what a span between two readings adds.

/// Counts of one class since the start of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests served, refused and failed, and attempts written to cache nodes.
    pub served: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts.
    pub calls: u64,
    /// Of the served ones, those later than the class aims for.
    pub slow: u64,
}

impl Counts {
    /// Requests that ended.
    pub fn asked(&self) -> u64 {
        self.served + self.busy + self.failed
    }

    fn since(&self, before: &Counts) -> Option<Counts> {
        Some(Counts {
            served: self.served.checked_sub(before.served)?,
            busy: self.busy.checked_sub(before.busy)?,
            failed: self.failed.checked_sub(before.failed)?,
            calls: self.calls.checked_sub(before.calls)?,
            slow: self.slow.checked_sub(before.slow)?,
        })
    }
}

/// What one process was read to have at a time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// Which process, by its number.
    pub run: u32,
    /// By class.
    pub classes: Vec<Counts>,
    /// Resident memory (KB) and open descriptors; 0 where nobody can see them.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Processor time (seconds).
    pub processor_s: f64,
}

/// What came between two readings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Delta {
    /// Seconds.
    pub span: f64,
    /// By class.
    pub classes: Vec<Counts>,
    /// Processor time over the span, in seconds a second.
    pub processor: f64,
}

impl Delta {
    /// This span and the one that follows it as one. Where they tell of other classes, the later one counts.
    pub fn merge(mut self, more: Delta) -> Delta {
        if self.classes.len() != more.classes.len() {
            return more;
        }
        for (a, b) in self.classes.iter_mut().zip(&more.classes) {
            a.served += b.served;
            a.busy += b.busy;
            a.failed += b.failed;
            a.calls += b.calls;
            a.slow += b.slow;
        }
        let span = self.span + more.span;
        self.processor = (self.processor * self.span + more.processor * more.span) / span;
        self.span = span;
        self
    }
}

/// The readings of one front, one after the other.
#[derive(Debug, Clone, Default)]
pub struct Series {
    last: Option<(f64, Reading)>,
    /// When a process was first read.
    run_since: f64,
}

impl Series {
    /// Takes a reading and gives what came since the last. Counts of a process that is new start at 0. None where a
    /// span was not seen: the first reading, one that comes more than `stale` after the last, counts that went back.
    pub fn push(&mut self, now: f64, reading: Reading, stale: f64) -> Option<Delta> {
        let before = self.last.replace((now, reading.clone()));
        if before.as_ref().is_none_or(|(_, b)| b.run != reading.run) {
            self.run_since = now;
        }
        let (at, before) = before?;
        let span = now - at;
        if span <= 0.0 || span > stale {
            return None;
        }
        let same = before.run == reading.run;
        let (zero, none) = (Counts::default(), Vec::new());
        let from = if same { &before.classes } else { &none };
        let classes = reading.classes.iter().enumerate().map(|(i, c)| c.since(from.get(i).unwrap_or(&zero)));
        let used = if same { before.processor_s } else { 0.0 };
        let processor = (reading.processor_s - used).max(0.0) / span;
        Some(Delta { span, classes: classes.collect::<Option<_>>()?, processor })
    }

    /// The last reading, if it is not older than `stale`.
    pub fn latest(&self, now: f64, stale: f64) -> Option<&Reading> {
        self.last.as_ref().filter(|(at, _)| now - at <= stale).map(|(_, reading)| reading)
    }

    /// For how long the present process has been read (seconds).
    pub fn age(&self, now: f64) -> f64 {
        now - self.run_since
    }

    /// The next reading follows on nothing: a span was not seen.
    pub fn reset(&mut self) {
        self.last = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn reading(run: u32, served: u64) -> Reading {
        Reading { run, classes: vec![Counts { served, ..Counts::default() }], ..Reading::default() }
    }

    #[test]
    fn counts_go_on_over_a_replacement_and_a_gap_is_no_evidence() {
        let mut series = Series::default();
        let served = |d: Option<Delta>| d.map(|d| d.classes[0].served);
        assert_eq!(served(series.push(10.0, reading(1, 500), 3.0)), None, "the first");
        assert_eq!(served(series.push(11.0, reading(1, 520), 3.0)), Some(20));
        assert_eq!(served(series.push(12.0, reading(2, 7), 3.0)), Some(7), "a new process starts at 0");
        assert_eq!(series.age(13.0), 1.0);
        assert_eq!(served(series.push(20.0, reading(2, 90), 3.0)), None, "stale");
        assert_eq!(served(series.push(21.0, reading(2, 80), 3.0)), None, "counts do not go back");
        assert_eq!(served(series.push(22.0, reading(2, 85), 3.0)), Some(5));
        assert!(series.latest(24.0, 3.0).is_some() && series.latest(26.0, 3.0).is_none());
    }
}
