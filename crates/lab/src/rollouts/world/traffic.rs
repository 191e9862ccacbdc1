//! What happens in a step of time: processes get ready and end, requests come, resources are used.

use super::{CLASSES, COLD, Harm, LATE, LOCATIONS, Process, START, STEP, World};
use onyxyoke::rollout::{ProcessObservation, Release};
use rand::Rng;
use rand_distr::{Binomial, Distribution, Poisson};

/// The share of requests that takes a second attempt on an ordinary day.
const REPEATED: f64 = 0.05;
/// Memory of a process at its start, and what it takes more in its first minute (KB).
const MEMORY_AT_START: u64 = 12_000;
const MEMORY_OF_AGE: f64 = 4_000.0;
/// The time in which memory grows of itself (seconds).
const GROWTH_TIME: f64 = 60.0;
/// Processor time of a process in a second (seconds).
const PROCESSOR_SHARE: f64 = 0.02;

/// What becomes of the requests of a class at a process, as shares.
struct Shares {
    /// Not served because of the harm.
    harmed: f64,
    /// Of the others, not served.
    failed: f64,
    /// Tried a second time.
    repeated: f64,
    /// Of the served ones, late.
    slow: f64,
}

impl World {
    /// Time passes: requests come, processes get ready and end.
    pub fn pass(&mut self, heard: &mut Vec<(usize, ProcessObservation)>) {
        self.now += STEP;
        let new_shares = self.new_shares();
        for front in 0..self.machines.len() {
            self.start_and_end_processes(front, heard);
            let new_share = new_shares[self.machines[front].location];
            let serving = self.serving(front);
            for class in 0..CLASSES.len() {
                self.serve(front, class, &serving, new_share);
            }
            self.use_resources(front);
        }
    }

    /// By location, the share of the fronts in which a new process serves.
    fn new_shares(&self) -> [f64; LOCATIONS] {
        std::array::from_fn(|location| {
            let here = self.machines.iter().filter(|machine| machine.location == location);
            let is_new = |p: &Process| p.ready && p.told.is_none() && p.side == Release::New;
            let new = here.clone().filter(|machine| machine.processes.iter().any(is_new));
            new.count() as f64 / here.count().max(1) as f64
        })
    }

    fn start_and_end_processes(&mut self, front: usize, heard: &mut Vec<(usize, ProcessObservation)>) {
        let now = self.now;
        let processes = &mut self.machines[front].processes;
        for process in processes.iter_mut() {
            process.ready |= process.becomes_ready(now);
        }
        let ended = processes.iter().filter(|process| now >= process.ends);
        heard.extend(ended.map(|process| (front, ProcessObservation::Exited(process.run))));
        processes.retain(|process| now < process.ends);
    }

    /// The places of a front's processes that take clients.
    fn serving(&self, front: usize) -> Vec<usize> {
        let processes = &self.machines[front].processes;
        (0..processes.len()).filter(|&place| processes[place].ready).collect()
    }

    /// Requests of a class come to one of a front's processes that take clients.
    fn serve(&mut self, front: usize, class: usize, serving: &[usize], new_share: f64) {
        let mean = CLASSES[class].1 * self.machines[front].rate * STEP;
        let asked = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.random)) as u64;
        self.asked += asked;
        let Some(&place) = serving.get(self.random.random_range(0..serving.len().max(1))) else {
            self.unreached += asked;
            return;
        };
        let shares = self.shares(front, place, class, new_share);
        let harmed = self.draw(shares.harmed, asked);
        self.harmed += harmed;
        let failed = harmed + self.draw(shares.failed, asked - harmed);
        let repeated = self.draw(shares.repeated, asked);
        let slow = self.draw(shares.slow, asked - failed);
        let busy = failed - failed / 2;
        let counts = &mut self.machines[front].processes[place].reading.classes[class];
        counts.served += asked - failed;
        counts.failed += failed / 2;
        counts.busy += busy;
        counts.slow += slow;
        counts.calls += asked - busy + repeated;
    }

    /// How many of so many it hits.
    fn draw(&mut self, share: f64, of: u64) -> u64 {
        Binomial::new(of, share.clamp(0.0, 1.0)).map_or(0, |b| b.sample(&mut self.random))
    }

    fn shares(&self, front: usize, place: usize, class: usize, new_share: f64) -> Shares {
        let machine = &self.machines[front];
        let process = &machine.processes[place];
        let age = self.now - process.began;
        let cold = COLD.1 * (1.0 - age / COLD.0).max(0.0);
        let (more_attempts, times_as_long) = match self.harm {
            Harm::Retries(more) if process.side == Release::New => (more, 1.0),
            Harm::Slower(times) if process.side == Release::New => (0.0, times),
            _ => (0.0, 1.0),
        };
        Shares {
            harmed: self.harmed_share(process, class, machine.location, new_share),
            failed: CLASSES[class].2 * machine.worse + cold + self.troubled_share(machine.location),
            repeated: REPEATED + cold + more_attempts,
            slow: LATE.powf(1.0 / times_as_long),
        }
    }

    /// The share of requests that fails now, whatever the side.
    fn troubled_share(&self, location: usize) -> f64 {
        match self.trouble {
            (share, None) => share,
            (share, Some(there)) if there == location => share,
            _ => 0.0,
        }
    }

    fn harmed_share(&self, process: &Process, class: usize, location: usize, new_share: f64) -> f64 {
        match self.harm {
            Harm::Unserved { share, class: only_class, location: only_location, after }
                if process.side == Release::New
                    && self.now - process.began >= after
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
            let age = self.now - process.began;
            let leak = match self.harm {
                Harm::Leak(kb, after) if process.side == Release::New => kb * (age - after).max(0.0),
                _ => 0.0,
            };
            let grown = leak + MEMORY_OF_AGE * (age / GROWTH_TIME).clamp(0.0, 1.0);
            process.reading.memory_kb = MEMORY_AT_START + grown as u64;
            process.reading.processor_s += STEP * PROCESSOR_SHARE;
        }
    }
}

impl Process {
    /// Whether it is old enough to take clients; one that is silent and never took any does not.
    fn becomes_ready(&self, now: f64) -> bool {
        let never_asked = self.reading.classes.iter().all(|counts| counts.requests() == 0);
        now - self.began >= START && !(self.silent && never_asked)
    }
}
