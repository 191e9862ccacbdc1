//! A step of virtual time: processes become ready and exit, requests arrive, resources are used.

use super::{
    CLASSES, COLD_FAILED_SHARE, COLD_SPAN_S, Harm, LATE_SHARE, LOCATION_COUNT, Process, START_DELAY_S,
    STEP_S, World,
};
use onyxyoke::rollout::{ProcessObservation, Release};
use rand::Rng;
use rand_distr::{Binomial, Distribution, Poisson};

/// Share of requests that takes a second attempt without harm.
const RETRIED_SHARE: f64 = 0.05;
/// Memory of a process at its start, and its growth within `GROWTH_SPAN_S` (KB).
const MEMORY_AT_START_KB: u64 = 12_000;
const MEMORY_GROWTH_KB: f64 = 4_000.0;
/// Time after the start in which memory grows without a leak (seconds).
const GROWTH_SPAN_S: f64 = 60.0;
/// Processor time of a process per second (seconds).
const PROCESSOR_S_PER_S: f64 = 0.02;

/// Outcomes of the requests of a class at a process, as shares.
struct Shares {
    /// Share not served because of the harm.
    harmed: f64,
    /// Share of the others that is not served.
    failed: f64,
    /// Share that takes a second attempt.
    retried: f64,
    /// Share of the served ones that is late.
    slow: f64,
}

impl World {
    /// Advances the time by one step: processes become ready and exit, requests arrive.
    pub fn advance(&mut self, observations: &mut Vec<(usize, ProcessObservation)>) {
        self.now += STEP_S;
        let new_shares = self.new_shares();
        for front in 0..self.machines.len() {
            self.start_and_end_processes(front, observations);
            let new_share = new_shares[self.machines[front].location];
            let serving = self.serving(front);
            for class in 0..CLASSES.len() {
                self.serve_class(front, class, &serving, new_share);
            }
            self.use_resources(front);
        }
    }

    /// Returns by location the share of the fronts at which a process of the new side serves.
    fn new_shares(&self) -> [f64; LOCATION_COUNT] {
        std::array::from_fn(|location| {
            let here = self.machines.iter().filter(|machine| machine.location == location);
            let is_new = |p: &Process| p.ready && p.term_at.is_none() && p.side == Release::New;
            let new = here.clone().filter(|machine| machine.processes.iter().any(is_new));
            new.count() as f64 / here.count().max(1) as f64
        })
    }

    fn start_and_end_processes(&mut self, front: usize, observations: &mut Vec<(usize, ProcessObservation)>) {
        let now = self.now;
        let processes = &mut self.machines[front].processes;
        for process in processes.iter_mut() {
            process.ready |= process.becomes_ready(now);
        }
        let ended = processes.iter().filter(|process| now >= process.exits_at);
        observations.extend(ended.map(|process| (front, ProcessObservation::Exited(process.run))));
        processes.retain(|process| now < process.exits_at);
    }

    /// Returns the indices of a front's processes that accept clients.
    fn serving(&self, front: usize) -> Vec<usize> {
        let processes = &self.machines[front].processes;
        (0..processes.len()).filter(|&index| processes[index].ready).collect()
    }

    /// Draws a class's requests of this step and counts them at one of the front's serving processes.
    fn serve_class(&mut self, front: usize, class: usize, serving: &[usize], new_share: f64) {
        let mean = CLASSES[class].requests_per_s * self.machines[front].rate * STEP_S;
        let requests = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.random)) as u64;
        self.requests += requests;
        let Some(&index) = serving.get(self.random.random_range(0..serving.len().max(1))) else {
            self.unreached += requests;
            return;
        };
        let shares = self.shares(front, index, class, new_share);
        let harmed = self.draw_count(shares.harmed, requests);
        self.harmed += harmed;
        let failed = harmed + self.draw_count(shares.failed, requests - harmed);
        let retried = self.draw_count(shares.retried, requests);
        let slow = self.draw_count(shares.slow, requests - failed);
        let busy = failed - failed / 2;
        let counts = &mut self.machines[front].processes[index].reading.classes[class];
        counts.served += requests - failed;
        counts.failed += failed / 2;
        counts.busy += busy;
        counts.slow += slow;
        counts.calls += requests - busy + retried;
    }

    /// Draws how many of `total` requests are affected when each is with probability `share`.
    fn draw_count(&mut self, share: f64, total: u64) -> u64 {
        Binomial::new(total, share.clamp(0.0, 1.0)).map_or(0, |b| b.sample(&mut self.random))
    }

    fn shares(&self, front: usize, index: usize, class: usize, new_share: f64) -> Shares {
        let machine = &self.machines[front];
        let process = &machine.processes[index];
        let age = self.now - process.started_at;
        let cold = COLD_FAILED_SHARE * (1.0 - age / COLD_SPAN_S).max(0.0);
        let (additional_retries, time_factor) = match self.harm {
            Harm::Retries(share) if process.side == Release::New => (share, 1.0),
            Harm::Slower(factor) if process.side == Release::New => (0.0, factor),
            _ => (0.0, 1.0),
        };
        Shares {
            harmed: self.harmed_share(process, class, machine.location, new_share),
            failed: CLASSES[class].failed_share * machine.failure_factor
                + cold
                + self.background_failed_share(machine.location),
            retried: RETRIED_SHARE + cold + additional_retries,
            slow: LATE_SHARE.powf(1.0 / time_factor),
        }
    }

    /// Returns the share of requests that currently fails at a location on both sides.
    fn background_failed_share(&self, location: usize) -> f64 {
        match self.background_failures {
            (share, None) => share,
            (share, Some(affected)) if affected == location => share,
            _ => 0.0,
        }
    }

    fn harmed_share(&self, process: &Process, class: usize, location: usize, new_share: f64) -> f64 {
        match self.harm {
            Harm::Unserved { share, class: only_class, location: only_location, after }
                if process.side == Release::New
                    && self.now - process.started_at >= after
                    && only_class.is_none_or(|only| only == class)
                    && only_location.is_none_or(|only| only == location) =>
            {
                share
            }
            Harm::Neighbours(share) => share * new_share,
            _ => 0.0,
        }
    }

    fn use_resources(&mut self, front: usize) {
        for process in &mut self.machines[front].processes {
            let age = self.now - process.started_at;
            let leak = match self.harm {
                Harm::Leak(kb, after) if process.side == Release::New => kb * (age - after).max(0.0),
                _ => 0.0,
            };
            let grown = leak + MEMORY_GROWTH_KB * (age / GROWTH_SPAN_S).clamp(0.0, 1.0);
            process.reading.memory_kb = MEMORY_AT_START_KB + grown as u64;
            process.reading.processor_s += STEP_S * PROCESSOR_S_PER_S;
        }
    }
}

impl Process {
    /// Returns whether the process is old enough to accept clients; a silent one that has never served is not
    /// ready.
    fn becomes_ready(&self, now: f64) -> bool {
        let has_no_requests = self.reading.classes.iter().all(|counts| counts.requests() == 0);
        now - self.started_at >= START_DELAY_S && !(self.silent && has_no_requests)
    }
}
