//! Does the fleet as a whole do worse than before the rollout, whoever's fault it is?
//!
//! While it does, nothing more is changed. It may do so for the plan's patience; the rollout goes back if what is asked
//! after that still does worse. A location that is in trouble of its own is waited for.

use super::evidence::tail;
use super::window::ClassCounts;
use std::collections::VecDeque;

/// The whole is judged over so long (seconds).
const RECENT_S: f64 = 10.0;
/// Fewer requests of a class say nothing of how it does.
const LEAST_REQUESTS: f64 = 50.0;
/// What chance does more seldom than once in so many times is not taken for chance.
const CHANCE: f64 = 0.01;
/// A location has clearly fewer new fronts than another below this part of the other's share of them.
const FEWER: f64 = 0.8;

/// What all fronts of each location did in a window, by class.
type Locations = Vec<Vec<ClassCounts>>;

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changed {
    /// The whole does worse than before in this class.
    Worse(usize),
    /// It does as well as before again.
    Well,
}

/// The whole does worse.
#[derive(Debug, Clone, Copy)]
struct Decline {
    since: f64,
    class: usize,
}

/// What is known of the whole.
#[derive(Debug, Clone)]
pub struct FleetHealth {
    /// Share of requests that were not served before the rollout, by class.
    base: Vec<f64>,
    /// That share may rise by so much.
    margin: f64,
    /// For so long it may rise by more (seconds).
    patience: f64,
    recent: VecDeque<(f64, Locations)>,
    trouble: Option<Decline>,
}

impl FleetHealth {
    /// Of so many classes, none of which fails requests before.
    pub fn new(classes: usize, margin: f64, patience: f64) -> FleetHealth {
        FleetHealth { base: vec![0.0; classes], margin, patience, recent: VecDeque::new(), trouble: None }
    }

    /// The share of requests that are not served on an ordinary day, by class.
    pub fn set_base(&mut self, base: Vec<f64>) {
        self.base = base;
    }

    /// What all fronts did in a window that ends now.
    pub fn saw(&mut self, now: f64, locations: Locations) {
        self.recent.push_back((now, locations));
        while self.recent.front().is_some_and(|(at, _)| *at < now - RECENT_S) {
            self.recent.pop_front();
        }
    }

    /// Nobody looked for so long: that time counts for nothing (seconds).
    pub fn skip(&mut self, gap: f64) {
        self.recent.clear();
        if let Some(trouble) = &mut self.trouble {
            trouble.since += gap;
        }
    }

    /// Does the whole do worse than before?
    pub fn in_trouble(&self) -> bool {
        self.trouble.is_some()
    }

    /// The first class in which what was asked after the patience ran out still does worse. Requests of before say nothing of
    /// that: a short trouble stays among the recent ones for longer than the patience may be.
    pub fn worse_for_too_long(&self, now: f64) -> Option<usize> {
        let over_at = self.trouble?.since + self.patience;
        let later = |at: f64| at > over_at;
        (now > over_at).then(|| self.classes().find(|&class| self.is_surely_worse(class, later)))?
    }

    /// Looks at the recent requests. `new_shares` are the shares of each location's fronts that run the new side.
    pub fn look(&mut self, now: f64, new_shares: &[f64]) -> Option<Changed> {
        match self.trouble {
            None => {
                let class = self.classes().find(|&class| self.is_known_to_be_worse(class))?;
                self.trouble = Some(Decline { since: now, class });
                Some(Changed::Worse(class))
            }
            Some(_) if !self.classes().any(|class| self.exceeds(class, None, self.margin / 2.0)) => {
                self.trouble = None;
                Some(Changed::Well)
            }
            Some(Decline { class, .. }) => {
                if self.is_of_a_location(class, new_shares) {
                    self.trouble = Some(Decline { since: now, class });
                }
                None
            }
        }
    }

    fn classes(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.base.len()
    }

    /// Requests of a class in windows that ended at times like these, at one location or everywhere.
    fn sum(&self, class: usize, location: Option<usize>, when: impl Fn(f64) -> bool) -> ClassCounts {
        let mut sum = ClassCounts::default();
        for (_, locations) in self.recent.iter().filter(|(at, _)| when(*at)) {
            let wanted = locations.iter().enumerate().filter(|(l, _)| location.is_none_or(|x| x == *l));
            for (_, classes) in wanted {
                sum.asked += classes[class].asked;
                sum.unserved += classes[class].unserved;
            }
        }
        sum
    }

    /// Is the share of recent requests that were not served over that of before by so much?
    fn exceeds(&self, class: usize, location: Option<usize>, by: f64) -> bool {
        let sum = self.sum(class, location, |_| true);
        sum.asked >= LEAST_REQUESTS && sum.unserved > sum.asked * (self.base[class] + by)
    }

    fn is_known_to_be_worse(&self, class: usize) -> bool {
        self.exceeds(class, None, self.margin) && self.is_surely_worse(class, |_| true)
    }

    /// A few of a rare class are chance: it has to be more than what the margin allows, and by more than that.
    fn is_surely_worse(&self, class: usize, when: impl Fn(f64) -> bool) -> bool {
        let most = self.base[class] + self.margin;
        let sum = self.sum(class, None, when);
        tail(sum.unserved as u64, sum.asked as u64, most) < CHANCE
    }

    /// A location that does worse though it has fewer of the new fronts than one that does not is in trouble of its own.
    fn is_of_a_location(&self, class: usize, new_shares: &[f64]) -> bool {
        let worse = |location: &usize| self.exceeds(class, Some(*location), self.margin);
        let (bad, good): (Vec<usize>, Vec<usize>) = (0..new_shares.len()).partition(worse);
        let least = bad.iter().map(|&location| new_shares[location]).reduce(f64::min);
        least.is_some_and(|least| good.iter().any(|&location| new_shares[location] > FEWER * least))
    }
}

#[cfg(test)]
mod tests;
