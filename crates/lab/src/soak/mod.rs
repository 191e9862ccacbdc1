//! A long run of one front under a small memory limit, with a schedule of faults.

pub mod clients;
pub mod front;
mod lifecycle;
mod schedule;
mod verdict;

use clients::Clients;
use front::Front;
use onyxyoke_stand_ins::caches::{Cache, NodeBehavior};
use onyxyoke_stand_ins::coordinator::{Coordinator, Member};
use onyxyoke_stand_ins::unix_ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schedule::{FaultKind, active_faults};
use std::collections::BTreeSet;
use std::error::Error;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval, sleep};
use verdict::Verdict;

/// Options of a soak.
#[derive(clap::Args)]
pub struct Options {
    /// Fronts start, are reloaded, replaced and ended under load, in place of one front under a memory limit
    #[arg(long)]
    lifecycle: bool,
    /// With --lifecycle: runs, each from a seed of its own, from `--seed` on
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// With --lifecycle: a folder for each run's plan, for what was seen, and for the fronts' logs
    #[arg(long)]
    logs: Option<PathBuf>,
    /// How long
    #[arg(long, default_value_t = 20.0)]
    minutes: f64,
    /// The front's memory limit in megabytes
    #[arg(long, default_value_t = 32)]
    memory_mb: usize,
    /// The front's descriptor limit
    #[arg(long, default_value_t = 256)]
    sockets: usize,
    /// What is drawn at random, is drawn from this
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests a second of usual clients, on a calm minute
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Where the report is written
    #[arg(long)]
    json: Option<PathBuf>,
    /// The front's program [default: `onyxyoke` beside this one]
    #[arg(long)]
    front: Option<PathBuf>,
}

/// Interval between two samples of the front.
const SAMPLE_INTERVAL_SECONDS: f64 = 0.1;
/// Duration of one round of all faults; a quarter of the run where that is shorter.
const ROUND_SECONDS: f64 = 60.0;
/// Number of cache nodes.
const CACHES: usize = 8;
/// Number of parents.
const PARENTS: usize = 2;

/// Runs the soak; returns whether all checks held.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    let program = match &options.front {
        Some(path) => path.clone(),
        None => std::env::current_exe()?.with_file_name("onyxyoke"),
    };
    if options.lifecycle {
        return lifecycle::run(options, &program);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let verdict = LocalSet::new().block_on(&runtime, soak(options, program))?;
    print!("{verdict}");
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string_pretty(&verdict)?)?;
    }
    Ok(verdict.held())
}

/// The nodes and the coordinator that the front talks to.
pub struct World {
    caches: Vec<Rc<Cache>>,
    pub members: Vec<Member>,
    pub coordinator: Rc<Coordinator>,
    random: StdRng,
}

impl World {
    /// Starts the nodes and the coordinator.
    pub async fn start(seed: u64) -> std::io::Result<World> {
        let (mut caches, mut members) = (Vec::new(), Vec::new());
        for i in 0..CACHES + PARENTS + 1 {
            let origin = i == CACHES + PARENTS;
            let cache = Cache::start(origin, seed + i as u64).await?;
            let (kind, zone) = match i {
                _ if i < CACHES => (0, 1),
                _ if origin => (2, 0),
                _ => (1, 0),
            };
            let (id, address) = (i as u32 + 1, cache.address);
            members.push(Member { id, address, state: 0, zone, kind, weight: 40.0, started_ms: 0 });
            caches.push(cache);
        }
        let coordinator = Coordinator::start(1).await?;
        Ok(World { caches, members, coordinator, random: StdRng::seed_from_u64(seed) })
    }

    fn set_behavior(&self, which: impl Fn(usize) -> bool, behavior: NodeBehavior) {
        let behavior = NodeBehavior { slow: behavior.slow.max(1.0), ..behavior };
        let caches = self.caches.iter().enumerate().filter(|(i, _)| which(*i));
        caches.for_each(|(_, c)| c.set_behavior(behavior));
    }

    fn set_node_state(&mut self, at: usize, state: u8, restarted: bool) {
        self.members[at].state = state;
        if restarted {
            self.members[at].started_ms = unix_ms();
            self.caches[at].clear();
        }
        self.coordinator.publish_members(&self.members[at..=at]);
    }

    /// Starts or ends a fault.
    fn switch_fault(&mut self, fault: FaultKind, active: bool, clients: &Clients, front: &Front) {
        let normal = NodeBehavior::default();
        let victim = self.random.random_range(0..CACHES);
        match fault {
            FaultKind::OversizedObjects => clients.oversized.set(if active { 0.1 } else { 0.0 }),
            FaultKind::OneTimeObjects => clients.one_time.set(if active { 0.17 } else { 0.02 }),
            FaultKind::DelayedEvents => self.coordinator.delayed.set(active),
            FaultKind::FailedOverClients => clients.load.set(if active { 1.85 } else { 1.0 }),
            FaultKind::FailingNodes if active => {
                let failing = self.random.random_range(0.33..0.97);
                self.set_behavior(|i| i == victim || i == CACHES, NodeBehavior { failing, ..normal });
            }
            FaultKind::TruncatedAnswers if active => {
                self.set_behavior(|i| i < CACHES, NodeBehavior { truncating: 0.1, garbling: 0.01, ..normal })
            }
            FaultKind::UnresponsiveNode if active => {
                self.set_behavior(|i| i == victim, NodeBehavior { silent: true, ..normal })
            }
            FaultKind::SlowNodes if active => {
                self.set_behavior(|i| i < CACHES, NodeBehavior { slow: 6.0, ..normal })
            }
            FaultKind::FailingNodes
            | FaultKind::TruncatedAnswers
            | FaultKind::UnresponsiveNode
            | FaultKind::SlowNodes => self.set_behavior(|_| true, normal),
            FaultKind::PurgeStorm if active => {
                (0..2_000).for_each(|i| self.coordinator.publish_purge(clients.popular(i), unix_ms()));
            }
            FaultKind::PurgeStorm => {}
            FaultKind::Drain => {
                self.set_node_state(0, u8::from(active), !active);
                self.set_node_state(1, 0, active);
            }
            FaultKind::SlowReaders => clients.slow_readers.set(if active { 16 } else { 0 }),
            FaultKind::MalformedRequests => clients.malformed.set(if active { 40 } else { 0 }),
            FaultKind::Aborts => clients.aborts.set(active),
            FaultKind::CapsHalved => front.reload_caps(active),
            FaultKind::Flood => clients.flood.set(if active { 24 } else { 0 }),
        }
    }
}

async fn soak(options: &Options, program: PathBuf) -> Result<Verdict, Box<dyn Error>> {
    let mut world = World::start(options.seed).await?;
    let limits = (options.memory_mb, options.sockets);
    let mut front = Front::start(&program, limits, &world.members, world.coordinator.address).await?;
    let clients = Clients::new(front.address, options.seed, options.rate);
    clients.start();
    let seconds = options.minutes * 60.0;
    let round = ROUND_SECONDS.min(seconds / 4.0);
    let mut verdict = Verdict::new(options.memory_mb * 1_000_000, seconds, round, options.seed);
    let (begun, mut active) = (Instant::now(), BTreeSet::new());
    let mut samples = interval(Duration::from_secs_f64(SAMPLE_INTERVAL_SECONDS));
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut purged_at = 0.0;
    loop {
        samples.tick().await;
        let at = begun.elapsed().as_secs_f64();
        if at >= seconds {
            break;
        }
        let now: BTreeSet<FaultKind> = active_faults(at % round / round).collect();
        for &fault in active.symmetric_difference(&now) {
            world.switch_fault(fault, now.contains(&fault), &clients, &front);
        }
        active = now;
        if at - purged_at >= 1.0 {
            purged_at = at;
            world.coordinator.publish_purge(clients.popular(world.random.random_range(0..500)), unix_ms());
        }
        match front.sample().await {
            Some(sample) => verdict.sample(at, sample),
            None => {
                verdict.ended(at, front.last_lines());
                break;
            }
        }
    }
    // Requests in flight are answered within the longest deadline.
    clients.stop();
    let remaining = active.into_iter().collect::<Vec<_>>();
    remaining.into_iter().for_each(|t| world.switch_fault(t, false, &clients, &front));
    sleep(Duration::from_secs_f64(6.0)).await;
    verdict.clients(&clients);
    verdict.exit(front.end().await, front.last_lines());
    Ok(verdict)
}
