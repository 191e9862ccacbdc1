//! What one front did and used over a window, and with which fronts it is compared.

use super::change::Run;

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "rollout", serde(rename_all = "kebab-case"))]
pub enum Measure {
    /// Requests refused or failed, of those that ended.
    Unserved,
    /// Attempts beyond one a request.
    Retries,
    /// Requests served later than their class aims for, of those that ended.
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
    /// Of these refused or failed.
    pub unserved: f64,
    /// Attempts beyond one a request.
    pub retries: f64,
    /// Served, but late.
    pub slow: f64,
}

impl ClassCounts {
    pub(super) fn count(&self, measure: Measure) -> f64 {
        match measure {
            Measure::Retries => self.retries,
            Measure::Slow => self.slow,
            _ => self.unserved,
        }
    }
}

/// What one front did in a window.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// Which front, and its process.
    pub front: usize,
    /// Its process.
    pub run: Run,
    /// Seconds that the window covers.
    pub span: f64,
    /// Where, and whether it runs the new side.
    pub location: usize,
    /// It runs what is rolled out.
    pub new: bool,
    /// Its process started lately.
    pub young: bool,
    /// By class.
    pub sums: Vec<ClassCounts>,
    /// Memory, descriptors and processor time as last read.
    pub uses: [f64; 3],
}

/// Fronts that are compared with each other: those of one location and age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cohort {
    pub(super) location: usize,
    pub(super) young: bool,
}

impl Window {
    /// With whom the front is compared.
    pub(super) fn cohort(&self) -> Cohort {
        Cohort { location: self.location, young: self.young }
    }

    /// Counts of a class; a front that tells of fewer classes had none.
    pub(super) fn class_counts(&self, class: usize) -> ClassCounts {
        self.sums.get(class).copied().unwrap_or_default()
    }
}
