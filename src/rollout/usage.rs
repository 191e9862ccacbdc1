//! Compares what new fronts use of memory, descriptors and processor time with what old ones use.
//!
//! A new front is compared with the old fronts of its location and age: with those that run beside it or, where none is
//! left, with the most that such fronts used before, raised by as much as the load has grown since. A front that cannot be
//! compared at the moment keeps what is known of it: a gap in the readings is no sign that it uses less.

use super::change::Run;
use super::plan::Gates;
use super::window::{Cohort, Measure, Window};
use std::collections::BTreeMap;

/// Resources that are compared.
const RESOURCE_COUNT: usize = 3;

/// A resource, and the least difference that counts as one whatever it is a multiple of.
struct Resource {
    measure: Measure,
    min_difference: f64,
}

/// In the order of `Window::uses`: kilobytes, descriptors, share of a core.
const COMPARED_RESOURCES: [Resource; RESOURCE_COUNT] = [
    Resource { measure: Measure::Memory, min_difference: 8_192.0 },
    Resource { measure: Measure::Descriptors, min_difference: 32.0 },
    Resource { measure: Measure::Processor, min_difference: 0.05 },
];

/// The most that old fronts used, and the load under which they did.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub struct UsageBaseline {
    /// In the order of `Window::uses`.
    pub uses: [f64; RESOURCE_COUNT],
    /// Requests a second of a front, in the mean over a location.
    pub load: f64,
}

impl UsageBaseline {
    fn include(&mut self, other: &UsageBaseline) {
        for (most, used) in self.uses.iter_mut().zip(other.uses) {
            *most = most.max(used);
        }
        self.load = self.load.max(other.load);
    }

    /// What the same fronts may be expected to use under another load: more under more, and no less under less.
    fn scaled_to(&self, load: f64) -> [f64; RESOURCE_COUNT] {
        let growth = if self.load > 0.0 { (load / self.load).max(1.0) } else { 1.0 };
        self.uses.map(|used| used * growth)
    }
}

/// A new front uses too much.
#[derive(Debug, Clone, Copy)]
struct Excess {
    since: f64,
    /// How many times as much as old fronts, as last compared.
    ratio: f64,
}

/// What is known of a new front's process.
#[derive(Debug, Clone)]
struct FrontUsage {
    run: Run,
    location: usize,
    /// When it was first compared.
    since: f64,
    /// It was compared in the present stage.
    in_stage: bool,
    excess: [Option<Excess>; RESOURCE_COUNT],
}

/// The comparison over a whole rollout.
#[derive(Debug, Clone)]
pub struct UsageComparison {
    /// New fronts may use so many times as much as old ones, and more for so long (seconds).
    max_ratio: f64,
    grace_s: f64,
    earlier_baselines: BTreeMap<Cohort, UsageBaseline>,
    fronts: BTreeMap<usize, FrontUsage>,
}

impl UsageComparison {
    /// With the bounds of a plan.
    pub fn new(gates: &Gates) -> UsageComparison {
        let (earlier_baselines, fronts) = (BTreeMap::new(), BTreeMap::new());
        UsageComparison { max_ratio: gates.uses_times, grace_s: gates.uses_s, earlier_baselines, fronts }
    }

    /// The most that old fronts of any age used, by location: what a later start goes on from.
    pub fn baselines(&self, locations: usize) -> Vec<UsageBaseline> {
        let mut found = vec![UsageBaseline::default(); locations];
        for (cohort, baseline) in &self.earlier_baselines {
            found[cohort.location].include(baseline);
        }
        found
    }

    /// Takes over what an earlier start saw. A location without a baseline was not seen.
    pub fn restore(&mut self, baselines: &[UsageBaseline]) {
        for (location, baseline) in baselines.iter().enumerate() {
            if *baseline != UsageBaseline::default() {
                self.earlier_baselines.insert(Cohort { location, young: false }, *baseline);
            }
        }
    }

    /// A stage begins: every front is to be compared again.
    pub fn begin_stage(&mut self) {
        self.fronts.values_mut().for_each(|front| front.in_stage = false);
    }

    /// Nobody looked for so long: that time counts for nothing.
    pub fn exclude_gap(&mut self, gap: f64) {
        for front in self.fronts.values_mut() {
            front.since += gap;
            front.excess.iter_mut().flatten().for_each(|excess| excess.since += gap);
        }
    }

    /// What all fronts used over the same window.
    pub fn observe(&mut self, now: f64, windows: &[Window]) {
        let mean_loads = mean_loads(windows);
        let beside = usage_of_old_fronts(windows, &mean_loads);
        for window in windows {
            if !window.new {
                self.fronts.remove(&window.front);
                continue;
            }
            let cohort = window.cohort();
            let load = mean_loads[&window.location];
            let earlier = || self.earlier_baselines.get(&cohort).map(|baseline| baseline.scaled_to(load));
            if let Some(usual) = beside.get(&cohort).map(|b| b.uses).or_else(earlier) {
                self.compare(now, window, &usual);
            }
        }
        for (cohort, baseline) in &beside {
            self.earlier_baselines.entry(*cohort).or_default().include(baseline);
        }
    }

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

    /// The first resource of which half of a location's new fronts have used too much for too long, and how many times
    /// as much as old fronts the middle one of these uses.
    pub fn exceeded(&self, now: f64) -> Option<(Measure, f64)> {
        self.groups(now).find_map(|group| {
            let too_long = |excess: &&Excess| now - excess.since >= self.grace_s;
            let mut ratios: Vec<f64> = group.excesses().filter(too_long).map(|excess| excess.ratio).collect();
            ratios.sort_by(f64::total_cmp);
            let stop = group.seen_for_long && group.is_at_least_half(ratios.len());
            stop.then(|| (COMPARED_RESOURCES[group.resource].measure, ratios[ratios.len() / 2]))
        })
    }

    /// The first resource of which half of a location's new fronts use too much now, though not yet for long.
    pub fn undecided(&self, now: f64) -> Option<Measure> {
        let mut groups = self.groups(now);
        let over = groups.find(|group| group.is_at_least_half(group.excesses().count()));
        over.map(|group| COMPARED_RESOURCES[group.resource].measure)
    }

    /// Were at least half of these fronts compared in this stage?
    pub fn is_compared(&self, fronts: &[usize]) -> bool {
        let compared = |front: &&usize| self.fronts.get(front).is_some_and(|f| f.in_stage);
        fronts.iter().filter(compared).count() * 2 >= fronts.len()
    }

    /// The new fronts of each location, those that have been compared for long apart from the others, by resource.
    fn groups(&self, now: f64) -> impl Iterator<Item = Group<'_>> {
        let mut members: BTreeMap<(usize, bool), Vec<&FrontUsage>> = BTreeMap::new();
        for front in self.fronts.values() {
            let seen_for_long = now - front.since >= self.grace_s;
            members.entry((front.location, seen_for_long)).or_default().push(front);
        }
        members.into_iter().flat_map(|((_, seen_for_long), fronts)| {
            (0..RESOURCE_COUNT).map(move |resource| Group { seen_for_long, resource, fronts: fronts.clone() })
        })
    }
}

/// New fronts of one location with one resource.
struct Group<'a> {
    seen_for_long: bool,
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

/// Requests a second of a front, in the mean, by location.
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

/// The most that old fronts use in this window.
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
