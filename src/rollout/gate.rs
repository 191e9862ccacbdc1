//! Decides whether the new release is worse than the old one. Fronts are compared over the same time and at
//! the same location, recently active_starts processes with recently active_starts ones, so that neither an
//! outage that affects both or one location, nor an empty state after a start, counts as evidence.

use super::evidence::{Evidence, log_mean};
use super::plan::Gates;
use super::usage::UsageComparison;
use super::window::{ClassCounts, Cohort, Measure, Window};
use std::collections::BTreeMap;

/// Reason why a stage cannot be judged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "rollout", serde(rename_all = "kebab-case"))]
pub enum Undecided {
    /// New fronts use too much of this resource, though not for long enough to stop.
    TooMuch(Measure),
    /// More than half of the stage's fronts have not been compared with old ones yet.
    NotCompared,
}

/// Verdict of the gate.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Verdict {
    /// No sufficient evidence against the new release so far.
    Fair,
    /// The new release is worse.
    Worse {
        /// The measure that is worse.
        measure: Measure,
        /// The class, for a measure that is counted by class.
        class: Option<usize>,
        /// Logarithm of the likelihood ratio or, for a resource, ratio of the usage to that of old fronts.
        by: f64,
        /// The bound that was exceeded.
        bound: f64,
    },
}

/// Measures that are compared by class.
pub const CLASS_MEASURES: [Measure; 3] = [Measure::Unserved, Measure::Retries, Measure::Slow];
/// Weight of the prior assumption that events are independent (dispersion 1), in degrees of freedom.
const DISPERSION_PRIOR: f64 = 20.0;
/// Bad events of one front in one window that count in any case. Events beyond this and `COUNTED_TIMES_USUAL`
/// are ignored for both releases: failures that come together have one cause.
const MIN_COUNTED_EVENTS: f64 = 2.0;
/// Multiple of the old fronts' usual events that counts in addition.
const COUNTED_TIMES_USUAL: f64 = 3.0;
/// Accumulators of evidence that start one after the other over a stage, so that harm that begins late is not
/// outweighed by good results before it.
const EVIDENCE_STARTS: usize = 4;

/// Counted bad events, and the requests among which they occurred.
#[derive(Debug, Clone, Copy, Default)]
struct EventCount {
    events: f64,
    requests: f64,
}

/// Comparison of one measure of one class.
#[derive(Debug, Clone, Copy, Default)]
struct MeasureComparison {
    by_start: [Evidence; EVIDENCE_STARTS],
    /// Pearson's chi-square of the old fronts' events against equal rates, and its degrees of freedom.
    chi_square: f64,
    degrees_of_freedom: f64,
    /// Total of old fronts.
    old_total: EventCount,
}

impl MeasureComparison {
    /// Returns how many of a front's events in a window count.
    fn counted_events(&self, measure: Measure, sum: &ClassCounts) -> f64 {
        let usual = self.old_total.events / self.old_total.requests.max(1.0);
        sum.count(measure).min(MIN_COUNTED_EVENTS + COUNTED_TIMES_USUAL * usual * sum.requests)
    }

    /// Adds the windows of each cohort: fronts of one location and age, new and old.
    fn observe<'a>(
        &mut self,
        cohorts: impl Iterator<Item = &'a Vec<&'a Window>>,
        measure: Measure,
        class: usize,
        active_starts: usize,
    ) {
        // Only what was known before this window, else the evidence is no martingale.
        let (dispersion, known) = (self.dispersion(), *self);
        let count = |window: &Window| {
            let sum = window.class_counts(class);
            EventCount { events: known.counted_events(measure, &sum), requests: sum.requests }
        };
        for fronts in cohorts {
            let total = |new: bool| {
                let counted = fronts.iter().filter(|w| w.new == new).map(|w| count(w));
                counted.fold(EventCount::default(), |a, b| EventCount {
                    events: a.events + b.events,
                    requests: a.requests + b.requests,
                })
            };
            let (new, old) = (total(true), total(false));
            let share = new.requests / (new.requests + old.requests);
            for evidence in &mut self.by_start[..active_starts] {
                evidence.observe(new.events, new.events + old.events, share, dispersion);
            }
            self.observe_old(old, fronts.iter().filter(|w| !w.new).map(|w| count(w)));
        }
    }

    /// Adds how old fronts of a cohort differ among themselves, for later windows: the counts of all of them
    /// and of each one.
    fn observe_old(&mut self, total: EventCount, each: impl Iterator<Item = EventCount>) {
        let rate = total.events / total.requests.max(1.0);
        for EventCount { events, requests } in each {
            if requests * rate > 0.0 {
                self.chi_square += (events - requests * rate).powi(2) / (requests * rate);
                self.degrees_of_freedom += 1.0 - requests / total.requests;
            }
        }
        self.old_total.events += total.events;
        self.old_total.requests += total.requests;
    }

    /// Returns the overdispersion of old fronts' events: 1 where they are independent, more where they come
    /// in clusters.
    fn dispersion(&self) -> f64 {
        ((self.chi_square + DISPERSION_PRIOR) / (self.degrees_of_freedom + DISPERSION_PRIOR)).max(1.0)
    }

    /// Returns the logarithm of the mean likelihood ratio over the starts.
    fn log_ratio(&self) -> f64 {
        log_mean(&self.by_start.map(|e| e.log_ratio()))
    }
}

/// Compares new fronts with old ones over the stages of a rollout.
#[derive(Debug, Clone)]
pub struct Gate {
    settings: Gates,
    stages: usize,
    comparisons: Vec<[MeasureComparison; CLASS_MEASURES.len()]>,
    /// When the stage began, and its expected length (seconds).
    started_at: f64,
    soak_s: f64,
    /// Requests of new fronts in this stage that were compared or could not be for lack of old fronts, by
    /// class.
    judged_requests: Vec<f64>,
    usage: UsageComparison,
}

impl Gate {
    /// Creates the gate of a rollout with this many classes and stages.
    pub fn new(settings: Gates, classes: usize, stages: usize) -> Gate {
        let comparisons = vec![Default::default(); classes];
        let usage = UsageComparison::new(&settings);
        Gate {
            settings,
            stages: stages.max(1),
            comparisons,
            started_at: 0.0,
            soak_s: 1.0,
            judged_requests: vec![0.0; classes],
            usage,
        }
    }

    /// Begins a stage: the evidence of earlier ones is dropped, since they were judged.
    pub fn begin_stage(&mut self, now: f64, soak_s: f64) {
        (self.started_at, self.soak_s) = (now, soak_s.max(1.0));
        self.judged_requests.fill(0.0);
        self.comparisons.iter_mut().flatten().for_each(|comparison| comparison.by_start = Default::default());
        self.usage.begin_stage();
    }

    /// Returns the comparison of resource usage.
    pub fn usage(&mut self) -> &mut UsageComparison {
        &mut self.usage
    }

    /// Excludes a span without observations (seconds).
    pub fn exclude_gap(&mut self, gap: f64) {
        self.started_at += gap;
        self.usage.exclude_gap(gap);
    }

    /// Returns why a stage of these fronts cannot be judged yet, other than for lack of requests. Absence of
    /// evidence does not pass a stage: fronts must have been compared, and no resource may be over its bound.
    pub fn undecided(&self, now: f64, fronts: &[usize]) -> Option<Undecided> {
        match self.usage.undecided(now) {
            Some(measure) => Some(Undecided::TooMuch(measure)),
            None => (!self.usage.is_compared(fronts)).then_some(Undecided::NotCompared),
        }
    }

    /// Returns the requests that new fronts ended in this stage and that can be judged, by class.
    pub fn judged_requests(&self) -> &[f64] {
        &self.judged_requests
    }

    /// Returns the logarithms of the likelihood ratios by class and measure, and the bound above which they
    /// stop.
    pub fn evidence(&self) -> (Vec<[f64; CLASS_MEASURES.len()]>, f64) {
        (
            self.comparisons
                .iter()
                .map(|comparisons| comparisons.map(|comparison| comparison.log_ratio()))
                .collect(),
            self.bound(),
        )
    }

    /// Returns the bound on the evidence: the probability of a false stop is divided among all comparisons.
    fn bound(&self) -> f64 {
        ((self.comparisons.len() * CLASS_MEASURES.len() * self.stages) as f64 / self.settings.false_stop).ln()
    }

    /// Adds what fronts did over the same window. `old_left` holds by location whether any front still runs
    /// the old release: where none does, new fronts are judged by the health of the whole fleet alone.
    pub fn observe(&mut self, now: f64, windows: &[Window], old_left: &[bool]) {
        let mut cohorts: BTreeMap<Cohort, Vec<&Window>> = BTreeMap::new();
        for window in windows {
            cohorts.entry(window.cohort()).or_default().push(window);
        }
        let active_starts = 1
            + (((now - self.started_at) / self.soak_s * EVIDENCE_STARTS as f64) as usize)
                .min(EVIDENCE_STARTS - 1);
        for (class, comparisons) in self.comparisons.iter_mut().enumerate() {
            for (comparison, measure) in comparisons.iter_mut().zip(CLASS_MEASURES) {
                comparison.observe(cohorts.values(), measure, class, active_starts);
            }
            for (cohort, fronts) in &cohorts {
                let alone = !old_left.get(cohort.location).copied().unwrap_or(false);
                if alone || fronts.iter().any(|w| !w.new) {
                    let ended = fronts.iter().filter(|w| w.new).map(|w| w.class_counts(class).requests);
                    self.judged_requests[class] += ended.sum::<f64>();
                }
            }
        }
        self.usage.observe(now, windows);
    }

    /// Returns the verdict so far.
    pub fn verdict(&self, now: f64) -> Verdict {
        let bound = self.bound();
        for (class, comparisons) in self.comparisons.iter().enumerate() {
            for (comparison, measure) in comparisons.iter().zip(CLASS_MEASURES) {
                let by = comparison.log_ratio();
                if by > bound {
                    return Verdict::Worse { measure, class: Some(class), by, bound };
                }
            }
        }
        if let Some((measure, by)) = self.usage.exceeded(now) {
            return Verdict::Worse { measure, class: None, by, bound: self.settings.uses_times };
        }
        Verdict::Fair
    }
}

#[cfg(test)]
mod tests;
