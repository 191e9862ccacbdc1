//! Injects the faults of a plan into the fronts, nodes and paths that each fault targets.

use super::Fleet;
use super::crowd;
use super::fronts::{MemoryLimit, member, terminate};
use super::plan::{Fault, Kind, Target};
use super::record::NotificationRecord;
use super::verdict::READY_MAX_S;
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

/// Delay until the cache nodes drop purged copies by themselves; the settings allow them six seconds.
const PURGE_DELAY: Duration = Duration::from_secs(5);
/// Clients still open new connections for this time after a front's SIGTERM (seconds).
pub(super) const NEW_CONNECTIONS_AFTER_TERM_S: f64 = 0.4;
/// A lowered memory limit is restored after this time, and lowered again after the same time.
const MEMORY_LIMIT_CHANGE_INTERVAL: Duration = Duration::from_millis(1_700);
/// A successor process serves beside the old process for this time before the old one gets SIGTERM (seconds).
pub(super) const OVERLAP_S: f64 = 0.5;

impl Fleet {
    /// Starts one task per fault, which begins and ends the fault at its times.
    pub fn schedule(self: &Rc<Self>) {
        let started_at = Instant::now();
        for fault in &self.plan.faults {
            let (fleet, fault) = (self.clone(), fault.clone());
            spawn_local(async move {
                let at = |s: f64| started_at + Duration::from_secs_f64(s);
                let fronts = fleet.select_targets(&fault.fronts, fleet.plan.fronts);
                let nodes = fleet.select_targets(&fault.nodes, fleet.plan.nodes);
                sleep_until(at(fault.at)).await;
                fleet.event_log.open().events.push(fleet.tier.unix_seconds());
                fleet.apply_fault(&fault, &fronts, &nodes, true).await;
                sleep_until(at(fault.until)).await;
                if fault.until > fault.at {
                    fleet.event_log.open().events.push(fleet.tier.unix_seconds());
                }
                fleet.apply_fault(&fault, &fronts, &nodes, false).await;
            });
        }
    }

    /// Returns the places of the fronts or nodes that a target selects.
    fn select_targets(&self, target: &Target, count: usize) -> Vec<usize> {
        let all = 0..count;
        let mut selected: Vec<usize> = match (&target.places[..], target.location) {
            ([], Some(location)) => all.filter(|p| self.plan.location(*p) == location).collect(),
            ([], None) => all.collect(),
            (places, _) => places.to_vec(),
        };
        if let Some(share) = target.share {
            selected.shuffle(&mut *self.random.borrow_mut());
            selected.truncate((share * selected.len() as f64).round() as usize);
        }
        selected
    }

    /// Draws a seed for a front process.
    pub(super) fn draw_seed(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Begins a fault (`on`) or ends it.
    async fn apply_fault(self: &Rc<Self>, fault: &Fault, fronts: &[usize], nodes: &[usize], on: bool) {
        let span = Duration::from_secs_f64(fault.until - fault.at);
        match fault.kind {
            // A rollout restarts the fronts that it controls.
            Kind::FrontKilled if self.rollout.is_some() => {
                if on {
                    self.kill_rollout_fronts(fronts);
                }
            }
            Kind::FrontKilled => self.kill_or_start_all(fronts, on),
            Kind::FrontStopped => {
                for &f in fronts {
                    self.clients.excuse_in_flight(f);
                    self.fronts[f].signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
                }
            }
            Kind::FrontReplaced | Kind::FrontRestarted if on => {
                let overlap = fault.kind == Kind::FrontReplaced;
                let interval = span / fronts.len().max(1) as u32;
                for &f in fronts {
                    let fleet = self.clone();
                    spawn_local(async move { fleet.replace_process(f, overlap).await });
                    sleep(interval).await;
                }
            }
            Kind::FrontReplaced | Kind::FrontRestarted => {}
            Kind::FrontCycled { series, gap_s } if on => self.cycle_each(fronts, series, gap_s, span).await,
            Kind::FrontCycled { .. } => {}
            Kind::Crowd { connections } if on => {
                fronts.iter().for_each(|&f| crowd::open_connections(self, f, connections, span));
            }
            Kind::Crowd { .. } => {}
            Kind::MemoryScarce if on => {
                for &f in fronts {
                    let fleet = self.clone();
                    spawn_local(async move { fleet.alternate_memory_limit(f, span).await });
                }
            }
            Kind::MemoryScarce => {}
            Kind::NodeKilled | Kind::NodeReplaced | Kind::NodeDrained => {
                for &n in nodes {
                    let fleet = self.clone();
                    let kind = fault.kind;
                    spawn_local(async move { fleet.set_node_down(n, kind, on).await });
                }
            }
            Kind::NodeCordoned => self.cordon(nodes, on).await,
            Kind::NodeSilent => self.set_paths(None, nodes, if on { Path::Silent } else { Path::Open }),
            Kind::PathSilent => {
                self.set_paths(Some(fronts), nodes, if on { Path::Silent } else { Path::Open })
            }
            Kind::PathReset => self.set_paths(Some(fronts), nodes, if on { Path::Reset } else { Path::Open }),
            Kind::PathDelayed { seconds } => {
                self.set_paths(Some(fronts), nodes, if on { Path::Delayed(seconds) } else { Path::Open });
            }
            Kind::PathHalfOpen { share } => {
                self.set_paths(Some(fronts), nodes, if on { Path::HalfOpen(share) } else { Path::Open });
            }
            Kind::NodeSlow { times } => {
                self.set_health(nodes, |h| h.slow = if on { times } else { 1.0 });
            }
            Kind::NodeFailing { share } => {
                self.set_health(nodes, |h| h.failing = if on { share } else { 0.0 });
            }
            Kind::NodeBreaking { share } => {
                self.set_health(nodes, |h| h.breaking = if on { share } else { 0.0 });
            }
            Kind::NewsLate => fronts.iter().for_each(|&f| self.fronts[f].coordinator.delay_events(on)),
            Kind::NewsCut => fronts.iter().for_each(|&f| self.fronts[f].coordinator.close_connections(on)),
            Kind::NewsSilent => fronts.iter().for_each(|&f| self.fronts[f].coordinator.suspend_sending(on)),
            Kind::NewsRepeated => fronts.iter().for_each(|&f| self.fronts[f].coordinator.repeat_events(on)),
            Kind::NewsPartial => {
                let ids: Vec<u32> = nodes.iter().filter(|_| on).map(|&n| self.tier.nodes[n].id()).collect();
                fronts.iter().for_each(|&f| self.fronts[f].coordinator.withhold_updates(ids.clone()));
            }
            Kind::Burst { times } => self.clients.load.set(if on { times } else { 1.0 }),
            Kind::Hot { share } => self.clients.hot.set(if on { share } else { 0.0 }),
            Kind::Purged if on => {
                let now = unix_ms();
                self.event_log.open().purged.push(now as f64 / 1000.0);
                for front in &self.fronts {
                    (0..256).for_each(|group| front.coordinator.publish_group_purge(group, now));
                }
                let fleet = self.clone();
                spawn_local(async move {
                    sleep(PURGE_DELAY).await;
                    fleet.tier.nodes.iter().for_each(|n| n.delete_copies_before(now));
                });
            }
            Kind::Purged => {}
        }
        let degrades_node = matches!(
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
        if degrades_node && on {
            let (from, until) = (self.tier.unix_seconds(), self.tier.unix_seconds() + span.as_secs_f64());
            self.event_log.open().impairments.extend(nodes.iter().map(|&n| (n, from, until)));
        }
    }

    fn set_paths(&self, fronts: Option<&[usize]>, nodes: &[usize], path: Path) {
        for &n in nodes {
            match fronts {
                None => self.tier.nodes[n].set_path(None, path),
                Some(fronts) => fronts.iter().for_each(|&f| self.tier.nodes[n].set_path(Some(f), path)),
            }
        }
    }

    fn set_health(&self, nodes: &[usize], change: impl Fn(&mut Health)) {
        nodes.iter().for_each(|&n| self.tier.nodes[n].set(&change));
    }

    /// Kills all processes of these fronts, whether the test or the rollout started them.
    fn kill_rollout_fronts(&self, fronts: &[usize]) {
        let Some(rollout) = &self.rollout else { return };
        let started = super::rollout::processes(&rollout.name);
        for &place in fronts {
            self.clients.excuse_in_flight(place);
            let front = &self.fronts[place];
            front.kills.set(front.kills.get() + 1);
            front.signal(Signal::SIGKILL);
            for p in started.iter().filter(|p| p.front == front.name()) {
                let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(p.pid), Signal::SIGKILL);
            }
        }
    }

    /// Kills all of these fronts at once, or starts them again.
    fn kill_or_start_all(self: &Rc<Self>, fronts: &[usize], kill: bool) {
        for &place in fronts {
            let (fleet, seed) = (self.clone(), self.draw_seed());
            spawn_local(async move {
                if kill {
                    fleet.clients.excuse_in_flight(place);
                    fleet.fronts[place].kill().await;
                } else if let Err(e) = fleet.start_new_process(place, seed).await {
                    fleet.fronts[place].crashed.set(true);
                    eprintln!("onyxyoke-lab: front {place} failed to start: {e}");
                }
            });
        }
    }

    /// Lowers and restores a front's memory limit in turn, for the whole span.
    async fn alternate_memory_limit(&self, place: usize, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            for limit in [MemoryLimit::BelowProgram, MemoryLimit::Planned] {
                self.fronts[place].limit_memory(limit);
                sleep(MEMORY_LIMIT_CHANGE_INTERVAL).await;
            }
        }
    }

    /// Starts a new process of a front and records how long it takes to become ready. Returns the process
    /// before it.
    pub(super) async fn start_new_process(
        &self,
        place: usize,
        seed: u64,
    ) -> Result<Option<Child>, Box<dyn Error>> {
        let began = Instant::now();
        let old = self.fronts[place].start(&self.tier, seed).await?;
        let ready =
            timeout(Duration::from_secs_f64(READY_MAX_S), self.fronts[place].wait_until_ready()).await;
        self.event_log.open().ready.push(ready.map_or(f64::INFINITY, |()| began.elapsed().as_secs_f64()));
        Ok(old)
    }

    /// Starts a new process of a front: beside the old one (`overlap`), or once the old one has exited.
    async fn replace_process(&self, place: usize, overlap: bool) {
        let front = &self.fronts[place];
        let seed = self.draw_seed();
        if !overlap {
            let ended = spawn_local({
                let front = front.clone();
                async move { front.terminate().await }
            });
            sleep(Duration::from_secs_f64(NEW_CONNECTIONS_AFTER_TERM_S)).await;
            front.address.set(None);
            if !ended.await.unwrap_or(false) {
                front.crashed.set(true);
            }
        }
        match self.start_new_process(place, seed).await {
            Ok(old) => {
                sleep(Duration::from_secs_f64(OVERLAP_S)).await;
                if overlap && !terminate(old).await {
                    front.crashed.set(true);
                }
            }
            Err(e) => {
                front.crashed.set(true);
                eprintln!("onyxyoke-lab: front {place} failed to start: {e}");
            }
        }
    }

    /// Takes a node down (`down`), or brings it back empty and cold. The coordinators report the change after
    /// the plan's delay.
    async fn set_node_down(&self, place: usize, kind: Kind, down: bool) {
        let node = &self.tier.nodes[place];
        let drained = kind == Kind::NodeDrained;
        if down {
            if !drained {
                node.set_path(None, Path::Down);
            }
            self.event_log.open().impairments.push((place, self.tier.unix_seconds(), f64::MAX));
            if !drained {
                sleep(Duration::from_secs_f64(self.plan.told_gone_s)).await;
            }
            // The node may be back by now, and the coordinators may have reported that already.
            if node.listed().0 == 0 {
                node.set_listed(if drained { 1 } else { 2 }, node.listed().1);
                self.announce_node(place);
            }
            return;
        }
        let started = unix_ms();
        node.delete_copies();
        let (from, time) = (self.cold.from, self.cold.time);
        node.set(|h| (h.started, h.cold) = (started as f64 / 1000.0, (from, time)));
        {
            let mut seen = self.event_log.open();
            seen.cold.push((place, started as f64 / 1000.0));
            let recovered_at = self.tier.unix_seconds();
            if let Some(t) = seen.impairments.iter_mut().rev().find(|t| t.0 == place && t.2 == f64::MAX) {
                t.2 = recovered_at;
            }
        }
        node.set_path(None, Path::Open);
        sleep(Duration::from_secs_f64(self.plan.told_back_s)).await;
        if kind == Kind::NodeReplaced {
            // The old id is removed for good; a node with a new id takes over the address.
            node.set_listed(2, node.listed().1);
            self.announce_node(place);
            if let Some(id) = self.unused_ids.borrow_mut().pop() {
                let ids = [(node.id(), (place, self.tier.unix_seconds())), (id, (place, f64::MAX))];
                self.node_ids.borrow_mut().extend(ids);
                node.set_id(id);
            }
        }
        node.set_listed(0, started);
        self.announce_node(place);
    }

    /// Sends the operators' command to every front of the node's location. A cordon counts as in force once
    /// the last front has accepted it, and as lifted from the first uncordon command on.
    async fn cordon(&self, nodes: &[usize], on: bool) {
        for &place in nodes {
            let command = if on { "cordon" } else { "uncordon" };
            let first_call_at = self.tier.unix_seconds();
            let line = format!("{command} s-{:08x}", self.tier.nodes[place].id());
            for front in
                self.fronts.iter().filter(|f| self.plan.location(f.place) == self.plan.location(place))
            {
                if !front.send_command(&line).await {
                    self.event_log.open().unconfirmed_calls += 1;
                    eprintln!("onyxyoke-lab: front {} did not accept '{line}'", front.place);
                }
            }
            let at = if on { self.tier.unix_seconds() } else { first_call_at };
            let mut seen = self.event_log.open();
            seen.notifications.push(NotificationRecord { at, node: place, state: u8::from(on), front: None });
            match seen.impairments.iter_mut().rev().find(|t| t.0 == place && t.2 == f64::MAX) {
                Some(t) if !on => t.2 = at,
                _ => seen.impairments.push((place, at, f64::MAX)),
            }
        }
    }

    /// Records the membership changes that each front was sent.
    pub fn record_notifications(&self) {
        let node_ids = self.node_ids.borrow();
        let mut seen = self.event_log.open();
        for front in &self.fronts {
            let told = front.coordinator.notifications().into_iter().filter_map(|(at, id, state)| {
                // A late notification for a replaced id says nothing about the node that took its address.
                let &(node, until) = node_ids.get(&id)?;
                (at < until).then_some(NotificationRecord { at, node, state, front: Some(front.place) })
            });
            seen.notifications.extend(told);
        }
    }

    /// Has the coordinators send their fronts the listed state of a node.
    fn announce_node(&self, place: usize) {
        let location = self.plan.location(place);
        let mut announced = false;
        for front in &self.fronts {
            if let Some(member) = member(&self.tier, place, front.place, location) {
                front.coordinator.publish_members(&[member]);
                announced = true;
            }
        }
        if announced {
            let at = self.tier.unix_seconds();
            self.event_log.open().events.push(at);
        }
    }
}
