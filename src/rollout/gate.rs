//! Is new worse than old? Both are compared over the same time at the same location, processes that just started with
//! processes that just started, so that what hits both, or one location alone, or whoever starts empty, says nothing.

use super::evidence::{Evidence, log_mean};
use super::plan::Gates;
use super::usage::UsageComparison;
use super::window::{ClassCounts, Cohort, Measure, Window};
use std::collections::BTreeMap;

/// Why a stage cannot be judged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "rollout", serde(rename_all = "kebab-case"))]
pub enum Undecided {
    /// New fronts use too much of this, though not for long yet.
    TooMuch(Measure),
    /// Most of the stage's fronts were not compared with old ones yet.
    NotCompared,
}

/// What the gate says.
#[derive(Debug, Clone, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Verdict {
    /// Nothing speaks against the new side so far.
    Fair,
    /// It is worse.
    Worse {
        /// By what.
        measure: Measure,
        /// In which class; none where it is no matter of classes.
        class: Option<usize>,
        /// The evidence, as the logarithm of how much likelier worse is than alike, or how many times as much is used.
        by: f64,
        /// What was wanted for a stop.
        bound: f64,
    },
}

/// What is compared by class.
pub const COUNTED: [Measure; 3] = [Measure::Unserved, Measure::Retries, Measure::Slow];
/// So much is taken to be known of clumps before anything was seen.
const DISPERSION_PRIOR: f64 = 20.0;
/// Of one front's bad events in one window so many count, and so many times what is usual for old ones: what fails
/// together has one cause, and counts on both sides as little.
const MIN_COUNTED_EVENTS: f64 = 2.0;
const COUNTED_TIMES_USUAL: f64 = 3.0;
/// Counts of evidence that begin one after the other over a stage, so that harm that comes late is not weighed
/// against what was fine before it.
const EVIDENCE_STARTS: usize = 4;

/// Evidence on one measure of one class.
#[derive(Debug, Clone, Copy, Default)]
struct MeasureComparison {
    by_start: [Evidence; EVIDENCE_STARTS],
    /// How unevenly the old ones' events fall on them, beside chance: a sum, and how many were compared.
    chi_square: f64,
    degrees_of_freedom: f64,
    /// The old ones' events and requests.
    old_events: f64,
    old_requests: f64,
}

impl MeasureComparison {
    /// What counts of a front's events in a window.
    fn counts(&self, measure: Measure, sum: &ClassCounts) -> f64 {
        let usual = self.old_events / self.old_requests.max(1.0);
        sum.count(measure).min(MIN_COUNTED_EVENTS + COUNTED_TIMES_USUAL * usual * sum.requests)
    }

    /// Takes a window of each cohort: fronts of one location and age, new and old.
    fn observe<'a>(
        &mut self,
        cohorts: impl Iterator<Item = &'a Vec<&'a Window>>,
        measure: Measure,
        class: usize,
        started: usize,
    ) {
        // What was known before this window.
        let (dispersion, known) = (self.dispersion(), *self);
        let count = |window: &Window| {
            let sum = window.class_counts(class);
            (known.counts(measure, &sum), sum.requests)
        };
        for fronts in cohorts {
            let total = |new: bool| {
                let counted = fronts.iter().filter(|w| w.new == new).map(|w| count(w));
                counted.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))
            };
            let (new, old) = (total(true), total(false));
            let share = new.1 / (new.1 + old.1);
            for evidence in &mut self.by_start[..started] {
                evidence.observe(new.0, new.0 + old.0, share, dispersion);
            }
            self.observe_old(old, fronts.iter().filter(|w| !w.new).map(|w| count(w)));
        }
    }

    /// How old fronts differ among themselves, for the windows that follow: their sum, and the events and requests of each.
    fn observe_old(&mut self, total: (f64, f64), each: impl Iterator<Item = (f64, f64)>) {
        let rate = total.0 / total.1.max(1.0);
        for (events, requests) in each {
            if requests * rate > 0.0 {
                self.chi_square += (events - requests * rate).powi(2) / (requests * rate);
                self.degrees_of_freedom += 1.0 - requests / total.1;
            }
        }
        self.old_events += total.0;
        self.old_requests += total.1;
    }

    fn dispersion(&self) -> f64 {
        ((self.chi_square + DISPERSION_PRIOR) / (self.degrees_of_freedom + DISPERSION_PRIOR)).max(1.0)
    }

    fn log_ratio(&self) -> f64 {
        log_mean(&self.by_start.map(|e| e.log_ratio()))
    }
}

/// The gate of a stage.
#[derive(Debug, Clone)]
pub struct Gate {
    settings: Gates,
    stages: usize,
    comparisons: Vec<[MeasureComparison; COUNTED.len()]>,
    /// When the stage began, and how long it is expected to take.
    started_at: f64,
    soak_s: f64,
    /// Requests of new fronts in the stage that can be judged, by class.
    judged_requests: Vec<f64>,
    usage: UsageComparison,
}

impl Gate {
    /// For so many classes and stages.
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

    /// A stage begins: what earlier ones showed was judged.
    pub fn begin_stage(&mut self, now: f64, soak_s: f64) {
        (self.started_at, self.soak_s) = (now, soak_s.max(1.0));
        self.judged_requests.fill(0.0);
        self.comparisons.iter_mut().flatten().for_each(|l| l.by_start = Default::default());
        self.usage.begin_stage();
    }

    /// What new and old fronts use.
    pub fn usage(&mut self) -> &mut UsageComparison {
        &mut self.usage
    }

    /// Nobody looked for so long: that time counts for nothing (seconds).
    pub fn exclude_gap(&mut self, gap: f64) {
        self.started_at += gap;
        self.usage.exclude_gap(gap);
    }

    /// What keeps a stage of these fronts from being judged yet, beside requests that are still to come. No evidence is
    /// not good evidence: they have to have been compared, and nothing that they use may be over its bound undecided.
    pub fn undecided(&self, now: f64, fronts: &[usize]) -> Option<Undecided> {
        match self.usage.undecided(now) {
            Some(measure) => Some(Undecided::TooMuch(measure)),
            None => (!self.usage.is_compared(fronts)).then_some(Undecided::NotCompared),
        }
    }

    /// Requests that new fronts ended in this stage and that can be judged, by class.
    pub fn judged_requests(&self) -> &[f64] {
        &self.judged_requests
    }

    /// The evidence by class and measure, as logarithms, and what is wanted for a stop.
    pub fn evidence(&self) -> (Vec<[f64; COUNTED.len()]>, f64) {
        (
            self.comparisons.iter().map(|comparisons| comparisons.map(|l| l.log_ratio())).collect(),
            self.bound(),
        )
    }

    /// The chance of a false stop is shared by all that is looked at.
    fn bound(&self) -> f64 {
        ((self.comparisons.len() * COUNTED.len() * self.stages) as f64 / self.settings.false_stop).ln()
    }

    /// What fronts did over the same window. `old_left` tells by location whether any front there still runs the old side:
    /// where none does, new fronts are judged by the whole fleet alone.
    pub fn observe(&mut self, now: f64, windows: &[Window], old_left: &[bool]) {
        let mut cohorts: BTreeMap<Cohort, Vec<&Window>> = BTreeMap::new();
        for window in windows {
            cohorts.entry(window.cohort()).or_default().push(window);
        }
        let started = 1
            + (((now - self.started_at) / self.soak_s * EVIDENCE_STARTS as f64) as usize)
                .min(EVIDENCE_STARTS - 1);
        for (class, comparisons) in self.comparisons.iter_mut().enumerate() {
            for (comparison, measure) in comparisons.iter_mut().zip(COUNTED) {
                comparison.observe(cohorts.values(), measure, class, started);
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

    /// What it says by now.
    pub fn verdict(&self, now: f64) -> Verdict {
        let bound = self.bound();
        for (class, comparisons) in self.comparisons.iter().enumerate() {
            for (comparison, measure) in comparisons.iter().zip(COUNTED) {
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
