//! Collects what fronts did in a window, and the baseline before anything changes.

use super::{FrontState, Phase, RolloutController};
use crate::rollout::change::{Health, Release};
use crate::rollout::records::Record;
use crate::rollout::stages::{Placement, stages};
use crate::rollout::window::{ClassCounts, Window};

impl RolloutController {
    /// Closes a window and passes its counts to the gate and to the fleet's health.
    pub(super) fn close_window(&mut self, now: f64) {
        let spans = &self.plan.spans;
        let (stale, warm) = (spans.stale_s, spans.warm_s);
        let classes = self.plan.classes.len();
        let mut all = vec![vec![ClassCounts::default(); classes]; self.location_sizes.len()];
        let mut windows = Vec::new();
        for (front, state) in self.fronts.iter_mut().enumerate() {
            let Some(delta) = state.unjudged.take() else { continue };
            let sums: Vec<ClassCounts> = delta
                .classes
                .iter()
                .take(classes)
                .map(|c| ClassCounts {
                    requests: c.requests() as f64,
                    unserved: (c.busy + c.failed) as f64,
                    retries: c.calls.saturating_sub(c.served + c.failed) as f64,
                    slow: c.slow as f64,
                })
                .collect();
            for (all, sum) in all[state.location].iter_mut().zip(&sums) {
                (all.requests, all.unserved) = (all.requests + sum.requests, all.unserved + sum.unserved);
            }
            if self.phase == Phase::Watching {
                let asked: f64 = sums.iter().map(|s| s.requests).sum();
                state.watched_requests += asked;
                state.watched_s += delta.span;
            }
            // A front in change, or one that runs something unexpected, counts for neither release.
            let (true, Some((run, release))) = (state.change.settled(), state.change.serving()) else {
                continue;
            };
            if state.reported_health != Some(Health::Serving(release)) {
                continue;
            }
            let Some(last) = state.series.latest(now, stale) else { continue };
            let uses = [last.memory_kb as f64, last.descriptors as f64, delta.processor];
            let young = state.series.age(now) < warm;
            let new = release == Release::New;
            for (class, sum) in sums.iter().enumerate() {
                let total = &mut self.stage_counts[class][usize::from(!new)];
                (total.requests, total.unserved) =
                    (total.requests + sum.requests, total.unserved + sum.unserved);
            }
            let (location, span) = (state.location, delta.span);
            windows.push(Window { front, run, span, location, new, young, sums, uses });
        }
        if self.phase == Phase::Watching {
            for (class, more) in all.iter().flat_map(|l| l.iter().enumerate()) {
                let sum = &mut self.baseline_counts[class];
                (sum.requests, sum.unserved) = (sum.requests + more.requests, sum.unserved + more.unserved);
            }
            self.gate.usage().observe(now, &windows);
        } else {
            let old_left: Vec<bool> =
                (0..self.location_sizes.len()).map(|l| self.new_share(l) < 1.0).collect();
            self.gate.observe(now, &windows, &old_left);
            self.fleet_health.observe(now, all);
        }
    }

    /// Ends the watching phase when its time is over: sets the baseline, draws the stages and begins the
    /// first.
    pub(super) fn finish_watching(&mut self, now: f64) {
        if now - self.started_at < self.plan.spans.watch_s || self.paused_since.is_some() {
            return;
        }
        if self.fronts.iter().any(|m| !m.change.settled()) {
            return;
        }
        let base: Vec<f64> = self.baseline_counts.iter().map(|s| s.unserved / s.requests.max(1.0)).collect();
        self.fleet_health.set_baseline(base.clone());
        let rate = |m: &FrontState| m.watched_requests / m.watched_s.max(1.0);
        let placements: Vec<Placement> =
            self.fronts.iter().map(|m| Placement { location: m.location, rate: rate(m) }).collect();
        let limits = &self.plan.limits;
        self.stages = stages(&placements, &limits.stages, limits.control, limits.by, self.plan.seed);
        let listed = self.stages.iter().map(|s| (s.fronts.clone(), s.control.clone())).collect();
        let usage = self.gate.usage().baselines(self.location_sizes.len());
        self.push_record(Record::Staged { stages: listed, base, usage });
        self.begin_stage(now, 0);
    }
}
