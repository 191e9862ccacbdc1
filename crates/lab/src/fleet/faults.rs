//! Carries faults out, each at its time and on whom it names.

use super::Fleet;
use super::crowd;
use super::fronts::{MemoryLimit, end, member};
use super::plan::{Fault, Kind, Target};
use super::record::NotificationRecord;
use super::verdict::READY;
use nix::sys::signal::Signal;
use onyxyoke_stand_ins::fleet::{Health, Path};
use onyxyoke_stand_ins::unix_ms;
use rand::Rng;
use rand::seq::SliceRandom;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Caches drop purged copies by themselves within the settings' six seconds: so long after (seconds).
const SETTLES: Duration = Duration::from_secs(5);
/// Clients come for so long after a front was told to end (seconds).
pub(super) const COMING: f64 = 0.4;
/// A memory limit that was cut is restored after this, and cut again after as long.
const MEMORY_CUT: Duration = Duration::from_millis(1_700);
/// A new process of a front serves so long beside the old before that is told to end (seconds).
pub(super) const BESIDE: f64 = 0.5;

impl Fleet {
    /// Sets all faults up.
    pub fn schedule(self: &Rc<Self>) {
        let begun = Instant::now();
        for fault in &self.plan.faults {
            let (fleet, fault) = (self.clone(), fault.clone());
            spawn_local(async move {
                let at = |s: f64| begun + Duration::from_secs_f64(s);
                let fronts = fleet.pick(&fault.fronts, fleet.plan.fronts);
                let nodes = fleet.pick(&fault.nodes, fleet.plan.nodes);
                sleep_until(at(fault.at)).await;
                fleet.book.open().events.push(fleet.tier.unix());
                fleet.turn(&fault, &fronts, &nodes, true).await;
                sleep_until(at(fault.until)).await;
                if fault.until > fault.at {
                    fleet.book.open().events.push(fleet.tier.unix());
                }
                fleet.turn(&fault, &fronts, &nodes, false).await;
            });
        }
    }

    /// Whom a target names.
    fn pick(&self, target: &Target, count: usize) -> Vec<usize> {
        let all = 0..count;
        let mut picked: Vec<usize> = match (&target.places[..], target.location) {
            ([], Some(location)) => all.filter(|p| self.plan.location(*p) == location).collect(),
            ([], None) => all.collect(),
            (places, _) => places.to_vec(),
        };
        if let Some(share) = target.share {
            picked.shuffle(&mut *self.random.borrow_mut());
            picked.truncate((share * picked.len() as f64).round() as usize);
        }
        picked
    }

    /// A seed for a process.
    pub(super) fn seed(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    async fn turn(self: &Rc<Self>, fault: &Fault, fronts: &[usize], nodes: &[usize], on: bool) {
        let span = Duration::from_secs_f64(fault.until - fault.at);
        match fault.kind {
            // What a rollout drives, it starts again by itself.
            Kind::FrontKilled if self.rollout.is_some() => {
                if on {
                    self.kill_driven(fronts);
                }
            }
            Kind::FrontKilled => self.each_at_once(fronts, on),
            Kind::FrontStopped => {
                for &f in fronts {
                    self.clients.excuse(f);
                    self.fronts[f].signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
                }
            }
            Kind::FrontReplaced | Kind::FrontRestarted if on => {
                let replaced = fault.kind == Kind::FrontReplaced;
                let gap = span / fronts.len().max(1) as u32;
                for &f in fronts {
                    let fleet = self.clone();
                    spawn_local(async move { fleet.renew(f, replaced).await });
                    sleep(gap).await;
                }
            }
            Kind::FrontReplaced | Kind::FrontRestarted => {}
            Kind::FrontCycled { series, gap_s } if on => self.cycle_each(fronts, series, gap_s, span).await,
            Kind::FrontCycled { .. } => {}
            Kind::Crowd { connections } if on => {
                fronts.iter().for_each(|&f| crowd::gather(self, f, connections, span));
            }
            Kind::Crowd { .. } => {}
            Kind::MemoryScarce if on => {
                for &f in fronts {
                    let fleet = self.clone();
                    spawn_local(async move { fleet.cut_memory(f, span).await });
                }
            }
            Kind::MemoryScarce => {}
            Kind::NodeKilled | Kind::NodeReplaced | Kind::NodeDrained => {
                for &n in nodes {
                    let fleet = self.clone();
                    let kind = fault.kind;
                    spawn_local(async move { fleet.node(n, kind, on).await });
                }
            }
            Kind::NodeCordoned => self.cordon(nodes, on).await,
            Kind::NodeSilent => self.paths(None, nodes, if on { Path::Silent } else { Path::Open }),
            Kind::PathSilent => self.paths(Some(fronts), nodes, if on { Path::Silent } else { Path::Open }),
            Kind::PathReset => self.paths(Some(fronts), nodes, if on { Path::Reset } else { Path::Open }),
            Kind::PathDelayed { seconds } => {
                self.paths(Some(fronts), nodes, if on { Path::Delayed(seconds) } else { Path::Open });
            }
            Kind::PathHalfOpen { share } => {
                self.paths(Some(fronts), nodes, if on { Path::HalfOpen(share) } else { Path::Open });
            }
            Kind::NodeSlow { times } => {
                self.health(nodes, |h| h.slow = if on { times } else { 1.0 });
            }
            Kind::NodeFailing { share } => {
                self.health(nodes, |h| h.failing = if on { share } else { 0.0 });
            }
            Kind::NodeBreaking { share } => {
                self.health(nodes, |h| h.breaking = if on { share } else { 0.0 });
            }
            Kind::NewsLate => fronts.iter().for_each(|&f| self.fronts[f].coordinator.hold(on)),
            Kind::NewsCut => fronts.iter().for_each(|&f| self.fronts[f].coordinator.cut(on)),
            Kind::NewsSilent => fronts.iter().for_each(|&f| self.fronts[f].coordinator.silence(on)),
            Kind::NewsRepeated => fronts.iter().for_each(|&f| self.fronts[f].coordinator.repeat(on)),
            Kind::NewsPartial => {
                let ids: Vec<u32> = nodes.iter().filter(|_| on).map(|&n| self.tier.nodes[n].id()).collect();
                fronts.iter().for_each(|&f| self.fronts[f].coordinator.leave_out(ids.clone()));
            }
            Kind::Burst { times } => self.clients.load.set(if on { times } else { 1.0 }),
            Kind::Hot { share } => self.clients.hot.set(if on { share } else { 0.0 }),
            Kind::Purged if on => {
                let now = unix_ms();
                self.book.open().purged.push(now as f64 / 1000.0);
                for front in &self.fronts {
                    (0..256).for_each(|group| front.coordinator.purged_group(group, now));
                }
                let fleet = self.clone();
                spawn_local(async move {
                    sleep(SETTLES).await;
                    fleet.tier.nodes.iter().for_each(|n| n.forget(now));
                });
            }
            Kind::Purged => {}
        }
        let trouble = matches!(
            fault.kind,
            Kind::NodeSilent
                | Kind::NodeSlow { .. }
                | Kind::NodeFailing { .. }
                | Kind::NodeBreaking { .. }
                | Kind::PathSilent
                | Kind::PathReset
                | Kind::PathDelayed { .. }
                | Kind::PathHalfOpen { .. }
        );
        if trouble && on {
            let (from, until) = (self.tier.unix(), self.tier.unix() + span.as_secs_f64());
            self.book.open().troubled.extend(nodes.iter().map(|&n| (n, from, until)));
        }
    }

    fn paths(&self, fronts: Option<&[usize]>, nodes: &[usize], path: Path) {
        for &n in nodes {
            match fronts {
                None => self.tier.nodes[n].path(None, path),
                Some(fronts) => fronts.iter().for_each(|&f| self.tier.nodes[n].path(Some(f), path)),
            }
        }
    }

    fn health(&self, nodes: &[usize], change: impl Fn(&mut Health)) {
        nodes.iter().for_each(|&n| self.tier.nodes[n].set(&change));
    }

    /// All processes of these fronts are killed, whoever started them.
    fn kill_driven(&self, fronts: &[usize]) {
        let Some(rollout) = &self.rollout else { return };
        let started = super::rollout::processes(&rollout.name);
        for &f in fronts {
            self.clients.excuse(f);
            let front = &self.fronts[f];
            front.kills.set(front.kills.get() + 1);
            front.signal(Signal::SIGKILL);
            for p in started.iter().filter(|p| p.front == front.name()) {
                let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(p.pid), Signal::SIGKILL);
            }
        }
    }

    /// All of these fronts are killed, or start again.
    fn each_at_once(self: &Rc<Self>, fronts: &[usize], killed: bool) {
        for &f in fronts {
            let (fleet, seed) = (self.clone(), self.seed());
            spawn_local(async move {
                if killed {
                    fleet.clients.excuse(f);
                    fleet.fronts[f].kill().await;
                } else if let Err(e) = fleet.start_again(f, seed).await {
                    fleet.fronts[f].crashed.set(true);
                    eprintln!("onyxyoke-lab: front {f} did not start again: {e}");
                }
            });
        }
    }

    /// Cuts a front's memory limit and restores it, for the span.
    async fn cut_memory(&self, f: usize, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            for limit in [MemoryLimit::BelowProgram, MemoryLimit::Planned] {
                self.fronts[f].limit_memory(limit);
                sleep(MEMORY_CUT).await;
            }
        }
    }

    /// Starts a front's process again, and notes how long after that it takes clients.
    pub(super) async fn start_again(&self, f: usize, seed: u64) -> Result<Option<Child>, Box<dyn Error>> {
        let began = Instant::now();
        let old = self.fronts[f].start(&self.tier, seed).await?;
        let ready = timeout(Duration::from_secs_f64(READY.1), self.fronts[f].ready()).await;
        self.book.open().ready.push(ready.map_or(f64::INFINITY, |()| began.elapsed().as_secs_f64()));
        Ok(old)
    }

    /// A new process for a front: beside the old one, or after it has ended.
    async fn renew(&self, f: usize, beside: bool) {
        let front = &self.fronts[f];
        let seed = self.seed();
        if !beside {
            let ended = spawn_local({
                let front = front.clone();
                async move { front.end().await }
            });
            sleep(Duration::from_secs_f64(COMING)).await;
            front.address.set(None);
            if !ended.await.unwrap_or(false) {
                front.crashed.set(true);
            }
        }
        match self.start_again(f, seed).await {
            Ok(old) => {
                sleep(Duration::from_secs_f64(BESIDE)).await;
                if beside && !end(old).await {
                    front.crashed.set(true);
                }
            }
            Err(e) => {
                front.crashed.set(true);
                eprintln!("onyxyoke-lab: front {f} did not start again: {e}");
            }
        }
    }

    /// A node goes, or comes back empty and cold, and the list tells of it some time later.
    async fn node(&self, n: usize, kind: Kind, on: bool) {
        let node = &self.tier.nodes[n];
        let drained = kind == Kind::NodeDrained;
        if on {
            if !drained {
                node.path(None, Path::Down);
            }
            self.book.open().troubled.push((n, self.tier.unix(), f64::MAX));
            if !drained {
                sleep(Duration::from_secs_f64(self.plan.told_gone_s)).await;
            }
            // It may be back by now, and told so.
            if node.listed().0 == 0 {
                node.list(if drained { 1 } else { 2 }, node.listed().1);
                self.tell(n);
            }
            return;
        }
        let started = unix_ms();
        node.empty();
        let (from, time) = (self.cold.from, self.cold.time);
        node.set(|h| (h.started, h.cold) = (started as f64 / 1000.0, (from, time)));
        {
            let mut seen = self.book.open();
            seen.cold.push((n, started as f64 / 1000.0));
            let well = self.tier.unix();
            if let Some(t) = seen.troubled.iter_mut().rev().find(|t| t.0 == n && t.2 == f64::MAX) {
                t.2 = well;
            }
        }
        node.path(None, Path::Open);
        sleep(Duration::from_secs_f64(self.plan.told_back_s)).await;
        if kind == Kind::NodeReplaced {
            // The old id goes for good; at its address is another.
            node.list(2, node.listed().1);
            self.tell(n);
            if let Some(id) = self.fresh.borrow_mut().pop() {
                let had = [(node.id(), (n, self.tier.unix())), (id, (n, f64::MAX))];
                self.names.borrow_mut().extend(had);
                node.rename(id);
            }
        }
        node.list(0, started);
        self.tell(n);
    }

    /// Operators call every front. A cordon binds once the last has said yes; it is called back from the first call on.
    async fn cordon(&self, nodes: &[usize], on: bool) {
        for &n in nodes {
            let word = if on { "cordon" } else { "uncordon" };
            let first = self.tier.unix();
            let line = format!("{word} s-{:08x}", self.tier.nodes[n].id());
            for front in self.fronts.iter().filter(|f| self.plan.location(f.place) == self.plan.location(n)) {
                if !front.call(&line).await {
                    self.book.open().unheard += 1;
                    eprintln!("onyxyoke-lab: front {} did not say yes to '{line}'", front.place);
                }
            }
            let at = if on { self.tier.unix() } else { first };
            let mut seen = self.book.open();
            seen.told.push(NotificationRecord { at, node: n, state: u8::from(on), front: None });
            match seen.troubled.iter_mut().rev().find(|t| t.0 == n && t.2 == f64::MAX) {
                Some(t) if !on => t.2 = at,
                _ => seen.troubled.push((n, at, f64::MAX)),
            }
        }
    }

    /// What each front was told, in the record.
    pub fn write_told(&self) {
        let names = self.names.borrow();
        let mut seen = self.book.open();
        for front in &self.fronts {
            let told = front.coordinator.heard().into_iter().filter_map(|(at, id, state)| {
                // What is told late of an id says nothing of the node that has come in its place.
                let &(node, until) = names.get(&id)?;
                (at < until).then_some(NotificationRecord { at, node, state, front: Some(front.place) })
            });
            seen.told.extend(told);
        }
    }

    /// The coordinators tell their fronts of a node as it is listed.
    fn tell(&self, n: usize) {
        let location = self.plan.location(n);
        let mut any = false;
        for front in &self.fronts {
            if let Some(member) = member(&self.tier, n, front.place, location) {
                front.coordinator.changed(&[member]);
                any = true;
            }
        }
        if any {
            let at = self.tier.unix();
            self.book.open().events.push(at);
        }
    }
}
