//! A model of the fronts of a rollout in virtual time: processes that start, answer, exit and fail, with
//! counters drawn at random. The shipped `onyxyoke::rollout::RolloutController` makes the decisions.

mod play;
mod traffic;

use onyxyoke::rollout::{
    Built, Counts, FoundProcesses, Front, Health, Plan, ProcessCommand, ProcessObservation, Reading, Release,
    Run,
};
pub use play::{Script, play};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a step of virtual time (seconds).
pub const STEP_S: f64 = 0.25;
/// Time from the start of a process until it is ready (seconds).
const START_DELAY_S: f64 = 0.5;
/// Time from SIGTERM until a process exits (seconds).
const EXIT_DELAY_S: f64 = 1.0;
/// Time for which a new process fails more requests, since it starts with empty state (seconds).
const COLD_SPAN_S: f64 = 20.0;
/// Additional share of requests that fails at the start of a process; it falls to 0 within `COLD_SPAN_S`.
const COLD_FAILED_SHARE: f64 = 0.04;
/// Share of served requests that is late without harm.
const LATE_SHARE: f64 = 0.05;
/// Number of locations, to which the fronts are assigned in rotation.
const LOCATION_COUNT: usize = 3;
/// The classes of requests.
pub const CLASSES: [ClassLoad; 2] = [
    ClassLoad { name: "media", requests_per_s: 7.75, failed_share: 0.01 },
    ClassLoad { name: "holds", requests_per_s: 0.25, failed_share: 0.01 },
];

/// The load of a class of requests.
#[derive(Debug)]
pub struct ClassLoad {
    pub name: &'static str,
    /// Requests per second of a front with the mean load.
    pub requests_per_s: f64,
    /// Share that is not served without harm.
    pub failed_share: f64,
}

/// The harm that the new side does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Harm {
    None,
    /// This share of requests is not served, in one class or all, at one location or all, from this process
    /// age on (seconds).
    Unserved {
        share: f64,
        class: Option<usize>,
        location: Option<usize>,
        after: f64,
    },
    /// Additional share of the requests that takes another attempt.
    Retries(f64),
    /// Factor of the answer time, which is exponentially distributed with `LATE_SHARE` late without harm.
    Slower(f64),
    /// Growth of memory (KB per second) from this process age on (seconds).
    Leak(f64, f64),
    /// Additional share of requests that fails at all fronts of a location, old and new, multiplied by the
    /// share of its fronts that run the new side.
    Neighbours(f64),
}

/// Faults of a front's process, on either side, or of the rollout tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The next process does not start.
    NotStarted,
    /// The next process never becomes ready.
    NeverReady,
    /// The next process exits half a second after its start.
    EndsEarly,
    /// The serving process exits by itself.
    Crashed,
    /// The serving process no longer answers.
    Silent,
    /// The serving process ignores SIGTERM and SIGHUP from now on.
    Stays,
    /// The next process reports another build.
    Lies,
    /// The rollout tool is killed and restarted.
    ToolKilled,
}

/// All faults, for the exploration of fault combinations.
pub const FAULTS: [Fault; 8] = [
    Fault::NotStarted,
    Fault::NeverReady,
    Fault::EndsEarly,
    Fault::Crashed,
    Fault::Silent,
    Fault::Stays,
    Fault::Lies,
    Fault::ToolKilled,
];

#[derive(Debug, Clone)]
struct Process {
    run: Run,
    side: Release,
    started_at: f64,
    term_at: Option<f64>,
    reading: Reading,
    ready: bool,
    silent: bool,
    reports_other_build: bool,
    ignores_signals: bool,
    exits_at: f64,
}

#[derive(Debug, Clone, Default)]
struct Machine {
    processes: Vec<Process>,
    location: usize,
    rate: f64,
    /// Factor of the share of its requests that fails without harm.
    failure_factor: f64,
    next_run: Run,
    pending_faults: Vec<Fault>,
}

/// The modelled fronts.
pub struct World {
    pub now: f64,
    pub harm: Harm,
    machines: Vec<Machine>,
    random: SmallRng,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Requests that failed because of the harm.
    pub harmed: u64,
    /// Requests that arrived at a front without a serving process.
    pub unreached: u64,
    /// Share of requests that currently fails on both sides, at one location or everywhere.
    pub background_failures: (f64, Option<usize>),
}

/// Returns a plan for this many fronts in `LOCATION_COUNT` locations, with spans that suit the model.
pub fn plan(fronts: usize, seed: u64) -> Plan {
    let built = |name: &str| Built { program: name.into(), variables: Default::default() };
    let mut plan = Plan {
        name: "model".into(),
        old: built("old"),
        new: built("new"),
        fronts: (0..fronts)
            .map(|i| Front {
                name: format!("n{i}"),
                location: format!("branch{}", i % LOCATION_COUNT),
                operators: ([127, 0, 0, 1], 1).into(),
                settings: "settings".into(),
                new_settings: None,
                folder: "folder".into(),
            })
            .collect(),
        classes: CLASSES.iter().map(|c| c.name.to_owned()).collect(),
        spans: Default::default(),
        limits: Default::default(),
        gates: Default::default(),
        seed,
    };
    let s = &mut plan.spans;
    (s.watch_s, s.soak_s, s.longest_stage_s, s.longest_s) = (20.0, 40.0, 400.0, 3000.0);
    (s.warm_s, s.start_s, s.steady_s, s.end_s, s.patience_s, s.silent_s) = (25.0, 4.0, 0.5, 3.0, 30.0, 3.0);
    plan.gates.least_requests = 20.0;
    plan
}

impl World {
    /// Creates fronts that have run long enough to be warm, each with a load of its own.
    pub fn new(fronts: usize, seed: u64, harm: Harm) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut machines = Vec::new();
        for i in 0..fronts {
            let (rate, failure_factor) = (random.random_range(0.5..1.5), random.random_range(0.6..1.4));
            let mut machine = Machine {
                location: i % LOCATION_COUNT,
                rate,
                failure_factor,
                next_run: 2,
                ..Machine::default()
            };
            machine.processes.push(Process::new(1, Release::Old, -1e3));
            machine.processes[0].ready = true;
            machines.push(machine);
        }
        let background_failures = (0.0, None);
        World { now: 0.0, harm, machines, random, requests: 0, harmed: 0, unreached: 0, background_failures }
    }

    /// Applies a fault to a front's serving process, or keeps it for the front's next process.
    pub fn inject_fault(&mut self, front: usize, fault: Fault) {
        let now = self.now;
        let machine = &mut self.machines[front];
        let serving = machine.processes.iter_mut().rev().find(|p| p.ready && p.term_at.is_none());
        match (fault, serving) {
            (Fault::Crashed, Some(p)) => p.exits_at = now,
            (Fault::Silent, Some(p)) => p.silent = true,
            (Fault::Stays, Some(p)) => p.ignores_signals = true,
            (Fault::Crashed | Fault::Silent | Fault::Stays | Fault::ToolKilled, _) => {}
            (fault, _) => machine.pending_faults.push(fault),
        }
    }

    /// Returns the processes of each front as a query finds them.
    pub fn found_processes(&self) -> Vec<FoundProcesses> {
        let found = |m: &Machine| FoundProcesses {
            runs: m.processes.iter().map(|p| (p.run, p.health())).collect(),
            next: m.next_run,
        };
        self.machines.iter().map(found).collect()
    }

    /// Returns whether each front runs exactly one process, of this side.
    pub fn all_run(&self, side: Release) -> bool {
        self.machines.iter().all(|m| m.processes.len() == 1 && m.processes[0].side == side)
    }

    /// Replaces a front's processes with one of this side that is ready at once, unless it already runs this
    /// side.
    pub fn replace_process(&mut self, front: usize, side: Release) {
        let machine = &mut self.machines[front];
        if machine.processes.last().is_none_or(|p| p.side != side) {
            let mut process = Process::new(machine.next_run, side, self.now);
            process.ready = true;
            machine.next_run += 1;
            machine.processes = vec![process];
        }
    }

    /// Returns the side of each front's latest process and that process's counts; counts of earlier processes
    /// are lost.
    pub fn counts(&self) -> Vec<(Release, Vec<Counts>)> {
        let last = |m: &Machine| m.processes.last().map(|p| (p.side, p.reading.classes.clone()));
        self.machines.iter().filter_map(last).collect()
    }

    /// Returns whether a process of the front accepts clients.
    pub fn has_serving_process(&self, front: usize) -> bool {
        self.machines[front].processes.iter().any(|p| p.ready)
    }

    /// Executes a command of the controller.
    fn execute(
        &mut self,
        front: usize,
        command: ProcessCommand,
        observations: &mut Vec<(usize, ProcessObservation)>,
    ) {
        let now = self.now;
        let machine = &mut self.machines[front];
        match command {
            ProcessCommand::Start(run, side) => {
                machine.next_run = machine.next_run.max(run + 1);
                let fault = machine.pending_faults.pop();
                if fault == Some(Fault::NotStarted) {
                    return observations.push((front, ProcessObservation::StartFailed(run)));
                }
                let mut process = Process::new(run, side, now);
                match fault {
                    Some(Fault::EndsEarly) => process.exits_at = now + 0.5,
                    Some(Fault::Lies) => process.reports_other_build = true,
                    Some(Fault::NeverReady) => process.silent = true,
                    _ => {}
                }
                machine.processes.push(process);
            }
            ProcessCommand::Term(run) => {
                let process = machine.processes.iter_mut().find(|p| p.run == run);
                if let Some(p) = process.filter(|p| !p.ignores_signals) {
                    p.term_at.get_or_insert(now);
                    p.exits_at = p.exits_at.min(now + EXIT_DELAY_S);
                }
            }
            ProcessCommand::Kill(run) => {
                if let Some(p) = machine.processes.iter_mut().find(|p| p.run == run) {
                    p.exits_at = now;
                }
            }
            ProcessCommand::Reload(run, side) => {
                if let Some(p) = machine.processes.iter_mut().find(|p| p.run == run && !p.ignores_signals) {
                    p.side = side;
                }
            }
        }
    }

    /// Queries all processes for their health and readings.
    fn query_processes(
        &self,
        observations: &mut Vec<(usize, ProcessObservation)>,
        readings: &mut Vec<(usize, Reading)>,
    ) {
        for (front, machine) in self.machines.iter().enumerate() {
            for p in &machine.processes {
                observations.push((front, ProcessObservation::Answered(p.run, p.health())));
                if !p.silent && p.ready {
                    readings.push((front, p.reading.clone()));
                }
            }
        }
    }
}

impl Process {
    fn new(run: Run, side: Release, started_at: f64) -> Process {
        let reading = Reading {
            run,
            classes: vec![Counts::default(); CLASSES.len()],
            descriptors: 40,
            ..Reading::default()
        };
        let (silent, reports_other_build, ignores_signals) = (false, false, false);
        Process {
            run,
            side,
            started_at,
            term_at: None,
            reading,
            ready: false,
            silent,
            reports_other_build,
            ignores_signals,
            exits_at: f64::MAX,
        }
    }

    fn health(&self) -> Health {
        match self.side {
            _ if self.silent => Health::NoAnswer,
            _ if !self.ready || self.term_at.is_some() => Health::NotServing,
            _ if self.reports_other_build => Health::OtherBuild,
            side => Health::Serving(side),
        }
    }
}
