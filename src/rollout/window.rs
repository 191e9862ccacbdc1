//! Counts and resource usage of one front over a window, and the cohort in which it is compared.

use super::change::Run;

/// A measure by which releases are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "rollout", serde(rename_all = "kebab-case"))]
pub enum Measure {
    /// Requests refused or failed, out of those that ended.
    Unserved,
    /// Attempts beyond the first of each request.
    Retries,
    /// Requests served later than the aim of their class, out of those that ended.
    Slow,
    /// Resident memory.
    Memory,
    /// Open descriptors.
    Descriptors,
    /// Processor time.
    Processor,
}

/// Counts of a class over a window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassCounts {
    /// Requests that ended.
    pub requests: f64,
    /// Requests refused or failed.
    pub unserved: f64,
    /// Attempts beyond the first of each request.
    pub retries: f64,
    /// Requests served later than the aim of the class.
    pub slow: f64,
}

impl ClassCounts {
    /// Returns the count of a measure by class.
    pub(super) fn count(&self, measure: Measure) -> f64 {
        match measure {
            Measure::Retries => self.retries,
            Measure::Slow => self.slow,
            _ => self.unserved,
        }
    }
}

/// Observations of one front over a window.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// Index of the front.
    pub front: usize,
    /// Number of its serving process.
    pub run: Run,
    /// Time that the window covers (seconds).
    pub span: f64,
    /// Number of its location.
    pub location: usize,
    /// Whether it runs the new release.
    pub new: bool,
    /// Whether its process started recently (see `warm_s` of the plan).
    pub young: bool,
    /// Counts by class.
    pub sums: Vec<ClassCounts>,
    /// Memory (KB), descriptors and processor usage (cores), as last read.
    pub uses: [f64; 3],
}

/// Group of fronts that are compared with each other: those of one location and age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cohort {
    pub(super) location: usize,
    pub(super) young: bool,
}

impl Window {
    /// Returns the cohort in which the front is compared.
    pub(super) fn cohort(&self) -> Cohort {
        Cohort { location: self.location, young: self.young }
    }

    /// Returns the counts of a class, which are zero for a class that the front does not report.
    pub(super) fn class_counts(&self, class: usize) -> ClassCounts {
        self.sums.get(class).copied().unwrap_or_default()
    }
}
