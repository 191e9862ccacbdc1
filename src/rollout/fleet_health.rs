//! Detects that the fleet as a whole serves a smaller share of requests than before the rollout, whatever the
//! cause.
//!
//! No front is changed while it does. The rollout rolls back if requests after the plan's patience still do
//! worse. An outage of a single location that the rollout did not cause is waited for.

use super::evidence::binomial_tail;
use super::window::ClassCounts;
use std::collections::VecDeque;

/// The fleet is judged over this time (seconds).
const JUDGED_SPAN_S: f64 = 10.0;
/// A class with fewer requests is not judged.
const MIN_REQUESTS: f64 = 50.0;
/// An excess with a smaller probability is not taken for chance.
const SIGNIFICANCE: f64 = 0.01;
/// A location has clearly fewer new fronts than another if its share of them is below this multiple of the
/// other's.
const CLEARLY_FEWER_RATIO: f64 = 0.8;

/// Counts of all fronts in a window, by location and class.
type Locations = Vec<Vec<ClassCounts>>;

/// A change of the fleet's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The fleet does worse than before in this class.
    Degraded(usize),
    /// The fleet does as well as before again.
    Recovered,
}

/// A time in which the fleet does worse.
#[derive(Debug, Clone, Copy)]
struct Degradation {
    since: f64,
    class: usize,
}

/// Health of the whole fleet, compared with that before the rollout.
#[derive(Debug, Clone)]
pub struct FleetHealth {
    /// Share of requests that were not served before the rollout, by class.
    baseline: Vec<f64>,
    /// Permitted rise of that share.
    margin: f64,
    /// Time for which it may rise by more (seconds).
    patience: f64,
    recent: VecDeque<(f64, Locations)>,
    degradation: Option<Degradation>,
}

impl FleetHealth {
    /// Creates the health of a fleet with this many classes, with a baseline of no failed requests.
    pub fn new(classes: usize, margin: f64, patience: f64) -> FleetHealth {
        FleetHealth {
            baseline: vec![0.0; classes],
            margin,
            patience,
            recent: VecDeque::new(),
            degradation: None,
        }
    }

    /// Sets the share of requests that were not served before the rollout, by class.
    pub fn set_baseline(&mut self, baseline: Vec<f64>) {
        self.baseline = baseline;
    }

    /// Adds the counts of all fronts in a window that ends now.
    pub fn observe(&mut self, now: f64, locations: Locations) {
        self.recent.push_back((now, locations));
        while self.recent.front().is_some_and(|(at, _)| *at < now - JUDGED_SPAN_S) {
            self.recent.pop_front();
        }
    }

    /// Excludes a span without observations (seconds).
    pub fn exclude_gap(&mut self, gap: f64) {
        self.recent.clear();
        if let Some(degradation) = &mut self.degradation {
            degradation.since += gap;
        }
    }

    /// Returns whether the fleet does worse than before.
    pub fn is_degraded(&self) -> bool {
        self.degradation.is_some()
    }

    /// Returns the first class whose requests after the end of the patience still do worse. Earlier requests
    /// are left out: those of a short outage stay among the recent ones for `JUDGED_SPAN_S`, which may exceed
    /// the patience.
    pub fn degraded_beyond_patience(&self, now: f64) -> Option<usize> {
        let patience_end = self.degradation?.since + self.patience;
        let later = |at: f64| at > patience_end;
        (now > patience_end)
            .then(|| self.classes().find(|&class| self.is_significantly_worse(class, later)))?
    }

    /// Judges the recent requests. `new_shares` are the shares of each location's fronts that run the new
    /// release.
    pub fn update(&mut self, now: f64, new_shares: &[f64]) -> Option<HealthChange> {
        match self.degradation {
            None => {
                let class = self.classes().find(|&class| self.is_class_degraded(class))?;
                self.degradation = Some(Degradation { since: now, class });
                Some(HealthChange::Degraded(class))
            }
            Some(_) if !self.classes().any(|class| self.exceeds(class, None, self.margin / 2.0)) => {
                self.degradation = None;
                Some(HealthChange::Recovered)
            }
            Some(Degradation { class, .. }) => {
                if self.is_local(class, new_shares) {
                    self.degradation = Some(Degradation { since: now, class });
                }
                None
            }
        }
    }

    fn classes(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.baseline.len()
    }

    /// Sums a class over the windows whose end satisfies `when`, at one location or everywhere.
    fn sum(&self, class: usize, location: Option<usize>, when: impl Fn(f64) -> bool) -> ClassCounts {
        let mut sum = ClassCounts::default();
        for (_, locations) in self.recent.iter().filter(|(at, _)| when(*at)) {
            let wanted = locations.iter().enumerate().filter(|(l, _)| location.is_none_or(|x| x == *l));
            for (_, classes) in wanted {
                sum.requests += classes[class].requests;
                sum.unserved += classes[class].unserved;
            }
        }
        sum
    }

    /// Returns whether the share of recent requests that were not served exceeds the baseline by more than
    /// `margin`.
    fn exceeds(&self, class: usize, location: Option<usize>, margin: f64) -> bool {
        let sum = self.sum(class, location, |_| true);
        sum.requests >= MIN_REQUESTS && sum.unserved > sum.requests * (self.baseline[class] + margin)
    }

    fn is_class_degraded(&self, class: usize) -> bool {
        self.exceeds(class, None, self.margin) && self.is_significantly_worse(class, |_| true)
    }

    /// Returns whether the failures exceed the margin by more than chance explains, as a few in a rare class
    /// do not.
    fn is_significantly_worse(&self, class: usize, when: impl Fn(f64) -> bool) -> bool {
        let permitted = self.baseline[class] + self.margin;
        let sum = self.sum(class, None, when);
        binomial_tail(sum.unserved as u64, sum.requests as u64, permitted) < SIGNIFICANCE
    }

    /// Returns whether the cause is local: a location does worse though it does not have clearly more new
    /// fronts than one that does well.
    fn is_local(&self, class: usize, new_shares: &[f64]) -> bool {
        let worse = |location: &usize| self.exceeds(class, Some(*location), self.margin);
        let (bad, good): (Vec<usize>, Vec<usize>) = (0..new_shares.len()).partition(worse);
        let least = bad.iter().map(|&location| new_shares[location]).reduce(f64::min);
        least.is_some_and(|least| {
            good.iter().any(|&location| new_shares[location] > CLEARLY_FEWER_RATIO * least)
        })
    }
}

#[cfg(test)]
mod tests;
