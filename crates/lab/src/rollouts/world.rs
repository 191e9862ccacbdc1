//! Fronts as a rollout sees them, modelled in virtual time: processes that start, answer, end and fail, with counters
//! drawn at random. What decides is the code that ships, `onyxyoke::rollout::RolloutController`.

mod play;
mod traffic;

use onyxyoke::rollout::{
    Built, Counts, FoundProcesses, Front, Health, Plan, ProcessCommand, ProcessObservation, Reading, Release,
    Run,
};
pub use play::{Script, play};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A step of time, and how long processes take to say yes and to end (seconds).
pub const STEP: f64 = 0.25;
const START: f64 = 0.5;
const LEAVE: f64 = 1.0;
/// For so long a process serves worse since it starts empty: at first so much of its requests (seconds, share).
const COLD: (f64, f64) = (20.0, 0.04);
/// The share of served requests that is late on an ordinary day.
const LATE: f64 = 0.05;
/// Fronts are in so many locations, in turn.
const LOCATIONS: usize = 3;
/// Classes: requests a second of a mean front, and the share that is not served on an ordinary day.
pub const CLASSES: [(&str, f64, f64); 2] = [("media", 7.75, 0.01), ("holds", 0.25, 0.01)];

/// What is wrong with the new side.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Harm {
    None,
    /// This share of requests is not served; of one class, at one location, from so old on (seconds).
    Unserved {
        share: f64,
        class: Option<usize>,
        location: Option<usize>,
        after: f64,
    },
    /// Every request takes so many attempts more.
    Retries(f64),
    /// Answers take so many times as long; how long they take is exponential, and one in twenty is late on an ordinary day.
    Slower(f64),
    /// Memory grows by so many KB a second, from so old on.
    Leak(f64, f64),
    /// Everybody at its location, old and new, fails by this share more for each of the fronts that is new.
    Neighbours(f64),
}

/// What happens to whom, whatever the side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The next process does not start.
    NotStarted,
    /// The next process never says yes.
    NeverReady,
    /// The next process ends half a second after it began.
    EndsEarly,
    /// The process that serves ends by itself.
    Crashed,
    /// The process that serves says nothing any more.
    Silent,
    /// The next SIGTERM is not heeded.
    Stays,
    /// The next process says that it runs something else.
    Lies,
    /// This program is killed and started again.
    ToolKilled,
}

/// Everything that may go wrong with one front, for whoever explores it.
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
    began: f64,
    told: Option<f64>,
    reading: Reading,
    ready: bool,
    silent: bool,
    lies: bool,
    deaf: bool,
    ends: f64,
}

#[derive(Debug, Clone, Default)]
struct Machine {
    processes: Vec<Process>,
    location: usize,
    rate: f64,
    /// Its requests fail so many times as often as others'.
    worse: f64,
    next: Run,
    faults: Vec<Fault>,
}

/// The fronts.
pub struct World {
    pub now: f64,
    pub harm: Harm,
    machines: Vec<Machine>,
    random: SmallRng,
    /// Requests that were asked, that the harm made fail, and that came where no process served.
    pub asked: u64,
    pub harmed: u64,
    pub unreached: u64,
    /// This share of all requests fails now, at one location or everywhere.
    pub trouble: (f64, Option<usize>),
}

/// A plan over so many fronts in three locations, in the times of the model.
pub fn plan(fronts: usize, seed: u64) -> Plan {
    let built = |name: &str| Built { program: name.into(), variables: Default::default() };
    let mut plan = Plan {
        name: "model".into(),
        old: built("old"),
        new: built("new"),
        fronts: (0..fronts)
            .map(|i| Front {
                name: format!("n{i}"),
                location: format!("branch{}", i % LOCATIONS),
                operators: ([127, 0, 0, 1], 1).into(),
                settings: "settings".into(),
                new_settings: None,
                folder: "folder".into(),
            })
            .collect(),
        classes: CLASSES.iter().map(|c| c.0.to_owned()).collect(),
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
    /// Fronts that have run for long, each with its own load.
    pub fn new(fronts: usize, seed: u64, harm: Harm) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut machines = Vec::new();
        for i in 0..fronts {
            let (rate, worse) = (random.random_range(0.5..1.5), random.random_range(0.6..1.4));
            let mut machine = Machine { location: i % LOCATIONS, rate, worse, next: 2, ..Machine::default() };
            machine.processes.push(Process::new(1, Release::Old, -1e3));
            machine.processes[0].ready = true;
            machines.push(machine);
        }
        let trouble = (0.0, None);
        World { now: 0.0, harm, machines, random, asked: 0, harmed: 0, unreached: 0, trouble }
    }

    /// Something happens to a front.
    pub fn fault(&mut self, front: usize, fault: Fault) {
        let now = self.now;
        let machine = &mut self.machines[front];
        let serves = machine.processes.iter_mut().rev().find(|p| p.ready && p.told.is_none());
        match (fault, serves) {
            (Fault::Crashed, Some(p)) => p.ends = now,
            (Fault::Silent, Some(p)) => p.silent = true,
            (Fault::Stays, Some(p)) => p.deaf = true,
            (Fault::Crashed | Fault::Silent | Fault::Stays | Fault::ToolKilled, _) => {}
            (fault, _) => machine.faults.push(fault),
        }
    }

    /// Each front's processes as somebody who asks them finds them.
    pub fn found(&self) -> Vec<FoundProcesses> {
        let found = |m: &Machine| FoundProcesses {
            runs: m.processes.iter().map(|p| (p.run, p.says())).collect(),
            next: m.next,
        };
        self.machines.iter().map(found).collect()
    }

    /// Does a front run this side, and nothing else?
    pub fn runs(&self, side: Release) -> bool {
        self.machines.iter().all(|m| m.processes.len() == 1 && m.processes[0].side == side)
    }

    /// A front has another process at once, which takes clients from the start.
    pub fn swap(&mut self, front: usize, side: Release) {
        let machine = &mut self.machines[front];
        if machine.processes.last().is_none_or(|p| p.side != side) {
            let mut process = Process::new(machine.next, side, self.now);
            process.ready = true;
            machine.next += 1;
            machine.processes = vec![process];
        }
    }

    /// What each front runs, and its counts since the first process; those of one that is gone are gone.
    pub fn counts(&self) -> Vec<(Release, Vec<Counts>)> {
        let last = |m: &Machine| m.processes.last().map(|p| (p.side, p.reading.classes.clone()));
        self.machines.iter().filter_map(last).collect()
    }

    /// Does a process of a front take clients?
    pub fn serves(&self, front: usize) -> bool {
        self.machines[front].processes.iter().any(|p| p.ready)
    }

    fn tell(&mut self, front: usize, order: ProcessCommand, heard: &mut Vec<(usize, ProcessObservation)>) {
        let now = self.now;
        let machine = &mut self.machines[front];
        match order {
            ProcessCommand::Start(run, side) => {
                machine.next = machine.next.max(run + 1);
                let fault = machine.faults.pop();
                if fault == Some(Fault::NotStarted) {
                    return heard.push((front, ProcessObservation::StartFailed(run)));
                }
                let mut process = Process::new(run, side, now);
                match fault {
                    Some(Fault::EndsEarly) => process.ends = now + 0.5,
                    Some(Fault::Lies) => process.lies = true,
                    Some(Fault::NeverReady) => process.silent = true,
                    _ => {}
                }
                machine.processes.push(process);
            }
            ProcessCommand::Term(run) => {
                let process = machine.processes.iter_mut().find(|p| p.run == run);
                if let Some(p) = process.filter(|p| !p.deaf) {
                    p.told.get_or_insert(now);
                    p.ends = p.ends.min(now + LEAVE);
                }
            }
            ProcessCommand::Kill(run) => {
                if let Some(p) = machine.processes.iter_mut().find(|p| p.run == run) {
                    p.ends = now;
                }
            }
            ProcessCommand::Reload(run, side) => {
                if let Some(p) = machine.processes.iter_mut().find(|p| p.run == run && !p.deaf) {
                    p.side = side;
                }
            }
        }
    }

    /// What all processes say.
    fn ask(&self, heard: &mut Vec<(usize, ProcessObservation)>, readings: &mut Vec<(usize, Reading)>) {
        for (front, machine) in self.machines.iter().enumerate() {
            for p in &machine.processes {
                heard.push((front, ProcessObservation::Answered(p.run, p.says())));
                if !p.silent && p.ready {
                    readings.push((front, p.reading.clone()));
                }
            }
        }
    }
}

impl Process {
    fn new(run: Run, side: Release, began: f64) -> Process {
        let reading = Reading {
            run,
            classes: vec![Counts::default(); CLASSES.len()],
            descriptors: 40,
            ..Reading::default()
        };
        let (silent, lies, deaf) = (false, false, false);
        Process { run, side, began, told: None, reading, ready: false, silent, lies, deaf, ends: f64::MAX }
    }

    fn says(&self) -> Health {
        match self.side {
            _ if self.silent => Health::NoAnswer,
            _ if !self.ready || self.told.is_some() => Health::NotServing,
            _ if self.lies => Health::OtherBuild,
            side => Health::Serving(side),
        }
    }
}
