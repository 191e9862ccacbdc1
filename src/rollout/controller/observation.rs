//! What fronts did in a window, and what was usual before anything changed.

use super::{Member, Phase, RolloutController};
use crate::rollout::change::{Health, Release};
use crate::rollout::records::Record;
use crate::rollout::stages::{Placement, stages};
use crate::rollout::window::{ClassCounts, Window};

impl RolloutController {
    /// A window closes: what fronts did in it goes to the gate.
    pub(super) fn close(&mut self, now: f64) {
        let spans = &self.plan.spans;
        let (stale, warm) = (spans.stale_s, spans.warm_s);
        let classes = self.plan.classes.len();
        let mut all = vec![vec![ClassCounts::default(); classes]; self.sizes.len()];
        let mut windows = Vec::new();
        for (front, member) in self.members.iter_mut().enumerate() {
            let Some(delta) = member.delta.take() else { continue };
            let sums: Vec<ClassCounts> = delta
                .classes
                .iter()
                .take(classes)
                .map(|c| ClassCounts {
                    asked: c.asked() as f64,
                    unserved: (c.busy + c.failed) as f64,
                    retries: c.calls.saturating_sub(c.served + c.failed) as f64,
                    slow: c.slow as f64,
                })
                .collect();
            for (all, sum) in all[member.location].iter_mut().zip(&sums) {
                (all.asked, all.unserved) = (all.asked + sum.asked, all.unserved + sum.unserved);
            }
            if self.phase == Phase::Watching {
                let asked: f64 = sums.iter().map(|s| s.asked).sum();
                member.watched = (member.watched.0 + asked, member.watched.1 + delta.span);
            }
            // In change, or something else than it should run: it stands for neither side.
            let (true, Some((run, side))) = (member.change.settled(), member.change.serving()) else {
                continue;
            };
            if member.says != Some(Health::Yes(side)) {
                continue;
            }
            let Some(last) = member.series.last(now, stale) else { continue };
            let uses = [last.memory_kb as f64, last.descriptors as f64, delta.processor];
            let young = member.series.age(now) < warm;
            let new = side == Release::New;
            for (class, sum) in sums.iter().enumerate() {
                let total = &mut self.sums[class][usize::from(!new)];
                (total.asked, total.unserved) = (total.asked + sum.asked, total.unserved + sum.unserved);
            }
            let (location, span) = (member.location, delta.span);
            windows.push(Window { front, run, span, location, new, young, sums, uses });
        }
        if self.phase == Phase::Watching {
            for (class, more) in all.iter().flat_map(|l| l.iter().enumerate()) {
                let sum = &mut self.watched[class];
                (sum.asked, sum.unserved) = (sum.asked + more.asked, sum.unserved + more.unserved);
            }
            self.gate.usage().saw(now, &windows);
        } else {
            let old_left: Vec<bool> = (0..self.sizes.len()).map(|l| self.news(l) < 1.0).collect();
            self.gate.saw(now, &windows, &old_left);
            self.health.saw(now, all);
        }
    }

    /// Fronts are watched before anything changes; then the stages are drawn.
    pub(super) fn watch(&mut self, now: f64) {
        if now - self.began < self.plan.spans.watch_s || self.paused.is_some() {
            return;
        }
        if self.members.iter().any(|m| !m.change.settled()) {
            return;
        }
        let base: Vec<f64> = self.watched.iter().map(|s| s.unserved / s.asked.max(1.0)).collect();
        self.health.set_base(base.clone());
        let rate = |m: &Member| m.watched.0 / m.watched.1.max(1.0);
        let placements: Vec<Placement> =
            self.members.iter().map(|m| Placement { location: m.location, rate: rate(m) }).collect();
        let limits = &self.plan.limits;
        self.stages = stages(&placements, &limits.stages, limits.control, limits.by, self.plan.seed);
        let listed = self.stages.iter().map(|s| (s.fronts.clone(), s.control.clone())).collect();
        let usage = self.gate.usage().baselines(self.sizes.len());
        self.keep(Record::Staged { stages: listed, base, usage });
        self.begin(now, 0);
    }
}
