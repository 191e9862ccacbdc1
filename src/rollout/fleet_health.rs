//! Does the fleet as a whole do worse than before the rollout, whoever's fault it is?
//!
//! While it does, nothing more is changed. It may do so for the plan's patience; the rollout goes back if what is asked
//! after that still does worse. A location that is in trouble of its own is waited for.

use super::evidence::binomial_tail;
use super::window::ClassCounts;
use std::collections::VecDeque;

/// The whole is judged over so long (seconds).
const JUDGED_SPAN_S: f64 = 10.0;
/// Fewer requests of a class say nothing of how it does.
const MIN_REQUESTS: f64 = 50.0;
/// What chance does more seldom than once in so many times is not taken for chance.
const SIGNIFICANCE: f64 = 0.01;
/// A location has clearly fewer new fronts than another below this part of the other's share of them.
const CLEARLY_FEWER_RATIO: f64 = 0.8;

/// What all fronts of each location did in a window, by class.
type Locations = Vec<Vec<ClassCounts>>;

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The whole does worse than before in this class.
    Degraded(usize),
    /// It does as well as before again.
    Recovered,
}

/// The whole does worse.
#[derive(Debug, Clone, Copy)]
struct Degradation {
    since: f64,
    class: usize,
}

/// What is known of the whole.
#[derive(Debug, Clone)]
pub struct FleetHealth {
    /// Share of requests that were not served before the rollout, by class.
    baseline: Vec<f64>,
    /// That share may rise by so much.
    margin: f64,
    /// For so long it may rise by more (seconds).
    patience: f64,
    recent: VecDeque<(f64, Locations)>,
    degradation: Option<Degradation>,
}

impl FleetHealth {
    /// Of so many classes, none of which fails requests before.
    pub fn new(classes: usize, margin: f64, patience: f64) -> FleetHealth {
        FleetHealth {
            baseline: vec![0.0; classes],
            margin,
            patience,
            recent: VecDeque::new(),
            degradation: None,
        }
    }

    /// The share of requests that are not served on an ordinary day, by class.
    pub fn set_baseline(&mut self, baseline: Vec<f64>) {
        self.baseline = baseline;
    }

    /// What all fronts did in a window that ends now.
    pub fn observe(&mut self, now: f64, locations: Locations) {
        self.recent.push_back((now, locations));
        while self.recent.front().is_some_and(|(at, _)| *at < now - JUDGED_SPAN_S) {
            self.recent.pop_front();
        }
    }

    /// Nobody looked for so long: that time counts for nothing (seconds).
    pub fn exclude_gap(&mut self, gap: f64) {
        self.recent.clear();
        if let Some(degradation) = &mut self.degradation {
            degradation.since += gap;
        }
    }

    /// Does the whole do worse than before?
    pub fn is_degraded(&self) -> bool {
        self.degradation.is_some()
    }

    /// The first class in which what was asked after the patience ran out still does worse. Requests of before say nothing of
    /// that: a short trouble stays among the recent ones for longer than the patience may be.
    pub fn degraded_beyond_patience(&self, now: f64) -> Option<usize> {
        let patience_end = self.degradation?.since + self.patience;
        let later = |at: f64| at > patience_end;
        (now > patience_end)
            .then(|| self.classes().find(|&class| self.is_significantly_worse(class, later)))?
    }

    /// Looks at the recent requests. `new_shares` are the shares of each location's fronts that run the new side.
    pub fn update(&mut self, now: f64, new_shares: &[f64]) -> Option<HealthChange> {
        match self.degradation {
            None => {
                let class = self.classes().find(|&class| self.is_degraded_class(class))?;
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

    /// Requests of a class in windows that ended at times like these, at one location or everywhere.
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

    /// Is the share of recent requests that were not served over that of before by so much?
    fn exceeds(&self, class: usize, location: Option<usize>, by: f64) -> bool {
        let sum = self.sum(class, location, |_| true);
        sum.requests >= MIN_REQUESTS && sum.unserved > sum.requests * (self.baseline[class] + by)
    }

    fn is_degraded_class(&self, class: usize) -> bool {
        self.exceeds(class, None, self.margin) && self.is_significantly_worse(class, |_| true)
    }

    /// A few of a rare class are chance: it has to be more than what the margin allows, and by more than that.
    fn is_significantly_worse(&self, class: usize, when: impl Fn(f64) -> bool) -> bool {
        let most = self.baseline[class] + self.margin;
        let sum = self.sum(class, None, when);
        binomial_tail(sum.unserved as u64, sum.requests as u64, most) < SIGNIFICANCE
    }

    /// A location that does worse though it has fewer of the new fronts than one that does not is in trouble of its own.
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
