//! Counters that fronts report since the start of their process, and the increments between two readings.

/// Counters of one class since the start of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub busy: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts written to cache nodes.
    pub calls: u64,
    /// Requests served later than the aim of the class; they are included in `served`.
    pub slow: u64,
}

impl Counts {
    /// Returns the requests that ended.
    pub fn requests(&self) -> u64 {
        self.served + self.busy + self.failed
    }

    /// Returns the increments since an earlier reading, or `None` if a counter went back.
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

/// Counters and resource usage of one process at one time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// Number of the process.
    pub run: u32,
    /// Counters by class.
    pub classes: Vec<Counts>,
    /// Resident memory (KB); 0 where it cannot be read.
    pub memory_kb: u64,
    /// Open descriptors; 0 where they cannot be read.
    pub descriptors: u64,
    /// Processor time (seconds).
    pub processor_s: f64,
}

/// Increments between two readings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Delta {
    /// Time between the readings (seconds).
    pub span: f64,
    /// Increments by class.
    pub classes: Vec<Counts>,
    /// Mean processor usage over the span (cores).
    pub processor: f64,
}

impl Delta {
    /// Merges this span with the next one. If their numbers of classes differ, only the later one counts.
    pub fn merge(mut self, next: Delta) -> Delta {
        if self.classes.len() != next.classes.len() {
            return next;
        }
        for (a, b) in self.classes.iter_mut().zip(&next.classes) {
            a.served += b.served;
            a.busy += b.busy;
            a.failed += b.failed;
            a.calls += b.calls;
            a.slow += b.slow;
        }
        let span = self.span + next.span;
        self.processor = (self.processor * self.span + next.processor * next.span) / span;
        self.span = span;
        self
    }
}

/// Consecutive readings of one front.
#[derive(Debug, Clone, Default)]
pub struct Series {
    last: Option<(f64, Reading)>,
    /// When the present process was first read.
    run_since: f64,
}

impl Series {
    /// Adds a reading and returns the increments since the last. The counters of a new process start at 0.
    /// Returns `None` for the first reading, one more than `stale` seconds after the last, and one whose
    /// counters went back.
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

    /// Returns the last reading, if it is not older than `stale` seconds.
    pub fn latest(&self, now: f64, stale: f64) -> Option<&Reading> {
        self.last.as_ref().filter(|(at, _)| now - at <= stale).map(|(_, reading)| reading)
    }

    /// Returns for how long the present process has been read (seconds).
    pub fn age(&self, now: f64) -> f64 {
        now - self.run_since
    }

    /// Drops the last reading after a span without observations, so that the next one yields no increments.
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
    fn increments_span_a_process_replacement_but_no_gap() {
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
