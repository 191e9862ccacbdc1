//! Runs a fleet of front processes, which share no state, against stand-in cache nodes with limited links,
//! injects faults between them, and judges the result by what nodes and clients observed.

mod clients;
mod crowd;
mod cycle;
mod faults;
mod fronts;
pub mod plan;
mod plot;
pub mod record;
mod rollout;
mod terminations;
pub mod verdict;

use clients::Clients;
use fronts::Front;
use onyxyoke_stand_ins::fleet::{Kind, Node, Tier, ids};
use plan::Plan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use record::{EventLog, NodeInfo, WORK_WINDOW_S};
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};
use verdict::{ColdStartLimit, Verdict, VerdictCriteria};

/// Command-line options of a fleet run.
#[derive(clap::Args)]
pub struct Options {
    /// Plan file (JSON) [default: 6 fronts, 10 nodes, 20 s, one node killed and back]
    plan: Option<PathBuf>,
    /// Prints the plan's JSON schema and exits
    #[arg(long)]
    schema: bool,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for the figures (JSON)
    #[arg(long)]
    json: Option<PathBuf>,
    /// File for a plot of the nodes' work over time (SVG)
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Runs the plan without its rollout, as a baseline
    #[arg(long)]
    quiet: bool,
    /// Program of all fronts, in place of those of the plan
    #[arg(long)]
    front: Option<PathBuf>,
    /// Folder for a CSV file with a line for each request, and for the fronts' logs
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// The figures of a run that `--json` writes.
#[derive(Serialize)]
struct Report<'a> {
    seed: u64,
    verdict: &'a Verdict,
    /// Mean processor time of a front (seconds).
    front_processor_s: f64,
    /// Processor time of this program (seconds).
    rig_processor_s: f64,
}

/// Worker threads of the runtime that serves the stand-in nodes.
const WORKER_THREADS: usize = 2;
/// The longest deadline of a class plus a margin (seconds).
const LONGEST_DEADLINE_S: f64 = 5.5;
/// Additional time that slowly reading clients need to read their last answers (seconds).
const SLOW_READ_MARGIN_S: f64 = 5.0;
/// A run ends this long after its rollout is over (seconds).
const AFTER_ROLLOUT_S: f64 = 2.0;
/// Timeout until all serving fronts have logged the address of their operators' interface (seconds).
const OPERATORS_TIMEOUT_S: f64 = 5.0;
/// Link of the origin and the parents, wide enough for all traffic (in transfers at full pace).
const UPSTREAM_LINK: f64 = 1e5;
/// File descriptors of this process beside those for the pairs of a front and a node.
const BASE_DESCRIPTORS: u64 = 2_000;

/// Runs the fleet as the options say, and returns whether all rules and bounds held.
pub fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    if options.schema {
        println!("{}", serde_json::to_string_pretty(&schemars::schema_for!(Plan))?);
        return Ok(true);
    }
    let mut plan = match &options.plan {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("'{}': {e}", path.display()))?;
            Plan::read(&text).map_err(|e| format!("'{}': {e}", path.display()))?
        }
        None => Plan::first_look(),
    };
    if options.quiet {
        plan.rollout = None;
    }
    if let Some(front) = &options.front {
        plan.programs = vec![plan::Program { name: "now".into(), path: Some(front.clone()), share: 1.0 }];
    }
    let (verdict, event_log, processor) = run_plan_blocking(&plan, options.seed, options.logs.as_deref())?;
    print!("{verdict}");
    if let Some(folder) = &options.logs {
        record::write_requests(&folder.join("requests.csv"), &event_log.open())?;
    }
    if let Some(path) = &options.json {
        let report = Report {
            seed: options.seed,
            verdict: &verdict,
            front_processor_s: processor.0,
            rig_processor_s: processor.1,
        };
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &options.plot {
        plot::draw(path, &event_log.open())?;
    }
    if verdict.none {
        return Err(
            "no verdict: the stand-ins ran late, which says nothing of the fronts; try on a calmer machine"
                .into(),
        );
    }
    Ok(verdict.held())
}

/// The verdict, the event log, and the processor times of the mean front and of this program (seconds).
pub type RunResult = (Verdict, Arc<EventLog>, (f64, f64));

/// Runs a plan on a runtime of its own.
pub fn run_plan_blocking(plan: &Plan, seed: u64, logs: Option<&Path>) -> Result<RunResult, Box<dyn Error>> {
    let pairs = plan.fronts * (plan.nodes / plan.locations + plan.parents + 2);
    raise_descriptor_limit(BASE_DESCRIPTORS + 2 * pairs as u64)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_plan(plan, seed, logs))
}

/// Raises the soft limit of this process's file descriptors to `count`, if it is lower.
fn raise_descriptor_limit(count: u64) -> Result<(), String> {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    let failed = |e: nix::Error| format!("cannot read or set the limit of file descriptors: {e}");
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(failed)?;
    if soft >= count {
        return Ok(());
    }
    if hard < count {
        return Err(format!(
            "the plan needs {count} file descriptors, the hard limit is {hard}; reduce 'fronts' or 'nodes'"
        ));
    }
    setrlimit(Resource::RLIMIT_NOFILE, count, hard).map_err(failed)
}

/// A temporary folder that is removed on drop.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The parts of a running fleet, on which the faults act.
struct Fleet {
    plan: Plan,
    tier: Arc<Tier>,
    event_log: Arc<EventLog>,
    fronts: Vec<Rc<Front>>,
    clients: Rc<Clients>,
    cold: ColdStartLimit,
    /// Unused ids for nodes that replace others.
    unused_ids: std::cell::RefCell<Vec<u32>>,
    /// By node id: the place of the node, and until when it has the id (Unix seconds).
    node_ids: std::cell::RefCell<std::collections::HashMap<u32, (usize, f64)>>,
    random: std::cell::RefCell<StdRng>,
    rollout: Option<Rc<rollout::RolloutRun>>,
}

/// Starts the nodes, the fronts and the clients, injects the faults, and judges the run.
async fn run_plan(plan: &Plan, seed: u64, logs: Option<&Path>) -> Result<RunResult, Box<dyn Error>> {
    if let Some(folder) = logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("'{}': {e}", folder.display()))?;
    }
    let folder =
        TempFolder(std::env::temp_dir().join(format!("onyxyoke-fleet-{}-{seed}", std::process::id())));
    let mut random = StdRng::seed_from_u64(seed);
    let settings = fronts::settings(plan)?;
    let number = |section: &str, key: &str| {
        settings[section][key].as_f64().ok_or(format!("the example settings lack '{section}.{key}'"))
    };
    let cold = ColdStartLimit {
        from: number("invariants", "cold-from")?,
        time: number("invariants", "cold")?,
        multiple: number("invariants", "overload-factor")?,
        window: number("invariants", "fall")?,
    };
    let (tier, event_log) = create_tier(plan, number("specifics", "one-flow-kb-per-s")?);
    let mut fronts = Vec::new();
    for place in 0..plan.fronts {
        for node in &tier.nodes {
            if node.kind != Kind::Cache || plan.location(node.place) == plan.location(place) {
                tier.listen(node, place).await?;
            }
        }
        fronts.push(Front::new(plan, place, &settings, &tier, (&folder.0, logs)).await?);
    }
    tier.start();
    // Fronts start in batches, since hundreds that start at once would all be late.
    for batch in fronts.chunks(16) {
        let seeds: Vec<u64> = batch.iter().map(|_| random.random()).collect();
        let starts = batch.iter().zip(seeds).map(|(f, seed)| {
            let (f, tier) = (f.clone(), tier.clone());
            spawn_local(async move { f.start(&tier, seed).await.map(drop).map_err(|e| e.to_string()) })
        });
        for start in starts.collect::<Vec<_>>() {
            start.await??;
        }
    }
    let clients = Clients::new(plan, tier.clone(), event_log.clone(), fronts.clone(), seed);
    let name = format!("fleet-{}-{seed}", std::process::id());
    let rollout_run = plan.rollout.as_ref().map(|r| rollout::RolloutRun::new(r, name.clone(), &folder.0));
    let _process_cleanup = rollout_run.as_ref().map(|_| rollout::ProcessCleanup(name));
    let began = tier.unix_seconds();
    event_log.open().started_at = began;
    for node in &tier.nodes {
        node.take_done(tier.now());
    }
    let fleet = Rc::new(Fleet {
        plan: plan.clone(),
        tier: tier.clone(),
        event_log: event_log.clone(),
        fronts: fronts.clone(),
        clients: clients.clone(),
        cold,
        unused_ids: std::cell::RefCell::new(ids(plan.nodes * 8).split_off(plan.nodes + plan.parents + 1)),
        node_ids: std::cell::RefCell::new(tier.nodes.iter().map(|n| (n.id(), (n.place, f64::MAX))).collect()),
        random: std::cell::RefCell::new(random),
        rollout: rollout_run.clone(),
    });
    let mut rollout_task = None;
    if let Some(rollout_run) = &rollout_run {
        // Fronts log this address right after the line that says that they serve.
        let deadline = tier.unix_seconds() + OPERATORS_TIMEOUT_S;
        while fronts.iter().any(|f| f.operators().is_none()) && tier.unix_seconds() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        rollout_run.write_plan(&fleet)?;
        fronts.iter().for_each(|f| f.hand_over());
        let control = rollout_run.clone().control(tokio::time::Instant::now());
        rollout_task = Some(spawn_local(async move { control.await.map_err(|e| e.to_string()) }));
    }
    let processor_before: f64 = fronts.iter().map(|f| f.processor_s()).sum();
    clients.start();
    fleet.schedule();
    let mut rollout_error = None;
    let mut windows = interval(Duration::from_secs_f64(WORK_WINDOW_S));
    windows.set_missed_tick_behavior(MissedTickBehavior::Burst);
    windows.tick().await;
    let mut until = began + plan.seconds;
    while tier.unix_seconds() < until {
        windows.tick().await;
        if rollout_task.as_ref().is_some_and(|task| task.is_finished())
            && let Some(task) = rollout_task.take()
        {
            rollout_error = task.await?.err();
            // The effects of the rollout show soon after its end.
            until = until.min(tier.unix_seconds() + AFTER_ROLLOUT_S);
        }
        let mut seen = event_log.open();
        for node in &tier.nodes {
            let done = node.take_done(tier.now()) / node.usual_capacity;
            seen.done[node.place].push(done);
        }
        drop(seen);
        fronts.iter().for_each(|f| f.check_for_crash());
    }
    clients.stop();
    let processor_after: f64 = fronts.iter().map(|f| f.processor_s()).sum();
    // Requests in flight are answered within the longest deadline, or are lost.
    let deadline =
        tier.unix_seconds() + LONGEST_DEADLINE_S + plan.clients.pace.map_or(0.0, |_| SLOW_READ_MARGIN_S);
    while tier.unix_seconds() < deadline && event_log.open().requests.iter().any(|a| a.end.is_none()) {
        sleep(Duration::from_millis(20)).await;
    }
    // A signal series that waited for the one before it may still be running.
    for front in &fronts {
        let _finished = front.cycle_lock.lock().await;
    }
    let own_processor = std::fs::read_to_string("/proc/self/stat").ok().map_or(0.0, |s| {
        let ticks = |i: usize| s.rsplit(") ").next().and_then(|s| s.split(' ').nth(i)?.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / 100.0
    });
    let criteria = VerdictCriteria {
        from: began + plan.judged_from,
        until,
        cold,
        purge_slack: number("specifics", "purge-slack")?,
        drain_grace: 0.5,
        answer_slack: number("invariants", "grace-to-answer")?,
        fronts: (0..plan.locations)
            .map(|l| (0..plan.fronts).filter(|f| plan.location(*f) == l).count())
            .collect(),
        bounds: plan.bounds.clone(),
    };
    fleet.record_notifications();
    let mut verdict = verdict::judge(&event_log.open(), &criteria);
    for front in fronts.iter().filter(|f| f.crashed.get()) {
        let (times, example) = verdict.rules.entry("no crash".into()).or_default();
        (*times, *example) = (*times + 1, format!("front {} ended by itself", front.place));
    }
    if let Some(rollout_run) = &rollout_run {
        verdict.bounds.extend(rollout_error);
        verdict.bounds.extend(rollout_run.judge(&fleet));
        if rollout_run.end_processes().await > 0 {
            verdict.bounds.push("processes of the rollout did not end at SIGTERM".into());
        }
        if let Some(keep) = std::env::var_os("ONYXYOKE_KEEP") {
            let _ = std::fs::rename(rollout_run.folder(), keep);
        }
        fronts.iter().for_each(|f| f.should_run.set(f.is_running()));
    }
    for batch in fronts.chunks(50) {
        let exits: Vec<_> = batch
            .iter()
            .filter(|f| f.should_run.get())
            .map(|f| {
                let f = f.clone();
                spawn_local(async move { (f.place, f.terminate().await) })
            })
            .collect();
        for exit in exits {
            let (place, exited_well) = exit.await?;
            if !exited_well {
                let (times, example) = verdict.rules.entry("exit 0 at SIGTERM".into()).or_default();
                (*times, *example) = (*times + 1, format!("front {place}"));
            }
        }
    }
    let mean = (processor_after - processor_before).max(0.0) / fronts.len() as f64;
    Ok((verdict, event_log, (mean, own_processor)))
}

/// Creates the nodes in the order of their places (cache nodes, parents, origin) and the event log.
fn create_tier(plan: &Plan, flow: f64) -> (Arc<Tier>, Arc<EventLog>) {
    let all = plan.nodes + plan.parents + 1;
    let ids = ids(all);
    let kind = |n: usize| match n {
        _ if n < plan.nodes => Kind::Cache,
        _ if n + 1 == all => Kind::Origin,
        _ => Kind::Parent,
    };
    let node = |n: usize| match kind(n) {
        Kind::Cache => Node::new(n, ids[n], Kind::Cache, plan.link(n), format!("branch{}", plan.location(n))),
        kind => Node::new(n, ids[n], kind, UPSTREAM_LINK, "hub".into()),
    };
    let infos = (0..all).map(|n| NodeInfo {
        location: plan.location(n),
        link: if n < plan.nodes { plan.link(n) } else { UPSTREAM_LINK },
        cache: n < plan.nodes,
    });
    let event_log = Arc::new(EventLog::new(infos.collect()));
    (Tier::new((0..all).map(node).collect(), flow, plan.clients.object_bytes, event_log.clone()), event_log)
}
