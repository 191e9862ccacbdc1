//! Compares the memory, descriptors and processor time of new fronts with those of old ones.
//!
//! A new front is compared with old fronts of its location and age: with those that run at the same time or,
//! where none is left, with the most that such fronts used earlier, scaled by the growth of the load since. A
//! front that cannot be compared at the moment keeps its state: a gap in the readings does not mean that it
//! uses less.

use super::change::Run;
use super::plan::Gates;
use super::window::{Cohort, Measure, Window};
use std::collections::BTreeMap;

/// Number of resources that are compared.
const RESOURCE_COUNT: usize = 3;

/// A resource, and the smallest difference that counts whatever its ratio.
struct Resource {
    measure: Measure,
    min_difference: f64,
}

/// Resources in the order of `Window::uses`, in kilobytes, descriptors and cores.
const COMPARED_RESOURCES: [Resource; RESOURCE_COUNT] = [
    Resource { measure: Measure::Memory, min_difference: 8_192.0 },
    Resource { measure: Measure::Descriptors, min_difference: 32.0 },
    Resource { measure: Measure::Processor, min_difference: 0.05 },
];

/// Peak usage of old fronts, and the load at that time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub struct UsageBaseline {
    /// Usage in the order of `Window::uses`.
    pub uses: [f64; RESOURCE_COUNT],
    /// Mean requests per second of a front of the location.
    pub load: f64,
}

impl UsageBaseline {
    fn include(&mut self, other: &UsageBaseline) {
        for (most, used) in self.uses.iter_mut().zip(other.uses) {
            *most = most.max(used);
        }
        self.load = self.load.max(other.load);
    }

    /// Returns the usage to be expected under another load: scaled up under a higher load, unchanged under a
    /// lower one.
    fn scaled_to(&self, load: f64) -> [f64; RESOURCE_COUNT] {
        let growth = if self.load > 0.0 { (load / self.load).max(1.0) } else { 1.0 };
        self.uses.map(|used| used * growth)
    }
}

/// Usage of a new front above the permitted ratio.
#[derive(Debug, Clone, Copy)]
struct Excess {
    since: f64,
    /// Ratio to the usage of old fronts, as last compared.
    ratio: f64,
}

/// Comparison of one new front's process.
#[derive(Debug, Clone)]
struct FrontUsage {
    run: Run,
    location: usize,
    /// When the process was first compared.
    since: f64,
    /// Whether the front was compared in the current stage.
    in_stage: bool,
    excess: [Option<Excess>; RESOURCE_COUNT],
}

/// Comparison of resource usage over a rollout.
#[derive(Debug, Clone)]
pub struct UsageComparison {
    /// Permitted ratio of new fronts' usage to that of old ones, and the time for which it may be exceeded
    /// (seconds).
    max_ratio: f64,
    grace_s: f64,
    earlier_baselines: BTreeMap<Cohort, UsageBaseline>,
    fronts: BTreeMap<usize, FrontUsage>,
}

impl UsageComparison {
    /// Creates the comparison with the bounds of a plan.
    pub fn new(gates: &Gates) -> UsageComparison {
        let (earlier_baselines, fronts) = (BTreeMap::new(), BTreeMap::new());
        UsageComparison { max_ratio: gates.uses_times, grace_s: gates.uses_s, earlier_baselines, fronts }
    }

    /// Returns the peak usage of old fronts of any age by location, from which a restarted controller
    /// continues.
    pub fn baselines(&self, locations: usize) -> Vec<UsageBaseline> {
        let mut found = vec![UsageBaseline::default(); locations];
        for (cohort, baseline) in &self.earlier_baselines {
            found[cohort.location].include(baseline);
        }
        found
    }

    /// Restores the baselines of an earlier run. The default baseline stands for a location without
    /// observations.
    pub fn restore(&mut self, baselines: &[UsageBaseline]) {
        for (location, baseline) in baselines.iter().enumerate() {
            if *baseline != UsageBaseline::default() {
                self.earlier_baselines.insert(Cohort { location, young: false }, *baseline);
            }
        }
    }

    /// Begins a stage, in which every front must be compared again.
    pub fn begin_stage(&mut self) {
        self.fronts.values_mut().for_each(|front| front.in_stage = false);
    }

    /// Excludes a span without observations (seconds).
    pub fn exclude_gap(&mut self, gap: f64) {
        for front in self.fronts.values_mut() {
            front.since += gap;
            front.excess.iter_mut().flatten().for_each(|excess| excess.since += gap);
        }
    }

    /// Adds what all fronts used over the same window.
    pub fn observe(&mut self, now: f64, windows: &[Window]) {
        let mean_loads = mean_loads(windows);
        let current = usage_of_old_fronts(windows, &mean_loads);
        for window in windows {
            if !window.new {
                self.fronts.remove(&window.front);
                continue;
            }
            let cohort = window.cohort();
            let load = mean_loads[&window.location];
            let earlier = || self.earlier_baselines.get(&cohort).map(|baseline| baseline.scaled_to(load));
            if let Some(usual) = current.get(&cohort).map(|b| b.uses).or_else(earlier) {
                self.compare(now, window, &usual);
            }
        }
        for (cohort, baseline) in &current {
            self.earlier_baselines.entry(*cohort).or_default().include(baseline);
        }
    }

    /// Compares a new front's usage with the usual one of old fronts.
    fn compare(&mut self, now: f64, window: &Window, usual: &[f64; RESOURCE_COUNT]) {
        let new_entry = || FrontUsage {
            run: window.run,
            location: window.location,
            since: now,
            in_stage: false,
            excess: [None; RESOURCE_COUNT],
        };
        let front = self.fronts.entry(window.front).or_insert_with(new_entry);
        if front.run != window.run {
            *front = new_entry();
        }
        front.in_stage = true;
        for (i, resource) in COMPARED_RESOURCES.iter().enumerate() {
            let (used, usual) = (window.uses[i], usual[i]);
            let differs = usual > 0.0 && used - usual > resource.min_difference;
            let since = front.excess[i].map_or(now, |excess| excess.since);
            let ratio = used / usual;
            front.excess[i] = (differs && ratio > self.max_ratio).then_some(Excess { since, ratio });
        }
    }

    /// Returns the first resource of which half of a location's new fronts have used too much for too long,
    /// and the median ratio of these fronts.
    pub fn exceeded(&self, now: f64) -> Option<(Measure, f64)> {
        self.groups(now).find_map(|group| {
            let too_long = |excess: &&Excess| now - excess.since >= self.grace_s;
            let mut ratios: Vec<f64> = group.excesses().filter(too_long).map(|excess| excess.ratio).collect();
            ratios.sort_by(f64::total_cmp);
            let stop = group.past_grace && group.is_at_least_half(ratios.len());
            stop.then(|| (COMPARED_RESOURCES[group.resource].measure, ratios[ratios.len() / 2]))
        })
    }

    /// Returns the first resource of which half of a location's new fronts use too much now, for however
    /// short a time.
    pub fn undecided(&self, now: f64) -> Option<Measure> {
        let mut groups = self.groups(now);
        let over = groups.find(|group| group.is_at_least_half(group.excesses().count()));
        over.map(|group| COMPARED_RESOURCES[group.resource].measure)
    }

    /// Returns whether at least half of these fronts were compared in this stage.
    pub fn is_compared(&self, fronts: &[usize]) -> bool {
        let compared = |front: &&usize| self.fronts.get(front).is_some_and(|f| f.in_stage);
        fronts.iter().filter(compared).count() * 2 >= fronts.len()
    }

    /// Groups new fronts by location, by whether they have been compared for the whole grace time, and by
    /// resource.
    fn groups(&self, now: f64) -> impl Iterator<Item = Group<'_>> {
        let mut members: BTreeMap<(usize, bool), Vec<&FrontUsage>> = BTreeMap::new();
        for front in self.fronts.values() {
            let past_grace = now - front.since >= self.grace_s;
            members.entry((front.location, past_grace)).or_default().push(front);
        }
        members.into_iter().flat_map(|((_, past_grace), fronts)| {
            (0..RESOURCE_COUNT).map(move |resource| Group { past_grace, resource, fronts: fronts.clone() })
        })
    }
}

/// New fronts of one location, and one resource.
struct Group<'a> {
    /// Whether these fronts have been compared for the whole grace time.
    past_grace: bool,
    resource: usize,
    fronts: Vec<&'a FrontUsage>,
}

impl Group<'_> {
    fn excesses(&self) -> impl Iterator<Item = &Excess> {
        self.fronts.iter().filter_map(|front| front.excess[self.resource].as_ref())
    }

    fn is_at_least_half(&self, count: usize) -> bool {
        count > 0 && count * 2 >= self.fronts.len()
    }
}

/// Returns the mean requests per second of a front, by location.
fn mean_loads(windows: &[Window]) -> BTreeMap<usize, f64> {
    let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for window in windows {
        let (asked, span) = sums.entry(window.location).or_default();
        *asked += window.sums.iter().map(|sum| sum.requests).sum::<f64>();
        *span += window.span;
    }
    sums.into_iter()
        .map(|(location, (asked, span))| (location, asked / span.max(f64::MIN_POSITIVE)))
        .collect()
}

/// Returns the peak usage of old fronts in this window, by cohort.
fn usage_of_old_fronts(
    windows: &[Window],
    mean_loads: &BTreeMap<usize, f64>,
) -> BTreeMap<Cohort, UsageBaseline> {
    let mut found: BTreeMap<Cohort, UsageBaseline> = BTreeMap::new();
    for window in windows.iter().filter(|w| !w.new) {
        let used = UsageBaseline { uses: window.uses, load: mean_loads[&window.location] };
        found.entry(window.cohort()).or_default().include(&used);
    }
    found
}

#[cfg(test)]
mod tests;
