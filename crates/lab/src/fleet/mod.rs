//! A fleet of front processes between cache nodes whose links are shared, with faults between them: what comes of many
//! fronts that share nothing, judged by what nodes and clients saw.

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
use record::{EventLog, NodeInfo, WINDOW};
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};
use verdict::{Cold, Verdict, VerdictCriteria};

/// Which plan, and what is left of it.
#[derive(clap::Args)]
pub struct Options {
    /// The plan [default: 6 fronts, 10 nodes, 20 s, one node killed and back]
    plan: Option<PathBuf>,
    /// Prints the plan's JSON schema and ends
    #[arg(long)]
    schema: bool,
    /// What is drawn at random, is drawn from this
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the figures are written
    #[arg(long)]
    json: Option<PathBuf>,
    /// Where a plot of the nodes' work over time is written (SVG)
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Plays it without its rollout: a quiet day to compare with
    #[arg(long)]
    quiet: bool,
    /// The fronts' program, in place of those that the plan names
    #[arg(long)]
    front: Option<PathBuf>,
    /// A folder for what was seen: every request as a line of CSV, and the fronts' own logs
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// The report.
#[derive(Serialize)]
struct Report<'a> {
    seed: u64,
    verdict: &'a Verdict,
    /// Processor time by front: the mean, and that of the rig (seconds).
    front_processor_s: f64,
    rig_processor_s: f64,
}

/// Threads of the nodes.
const THREADS: usize = 2;
/// The longest deadline of a class, and what is granted beyond it (seconds).
const LONGEST: f64 = 5.5;
/// Clients that read at a pace of their own have read what was answered so much later at most (seconds).
const READ_BEHIND: f64 = 5.0;
/// A plan with a rollout is played so long after that is over, and no longer (seconds).
const AFTER: f64 = 2.0;
/// Fronts that serve answer operators within so long (seconds).
const PATIENCE: f64 = 5.0;
/// The origin and the parents have room for all.
const ABOVE: f64 = 1e5;
/// Descriptors of this process for each front and each of its nodes, and for everything else.
const DESCRIPTORS: u64 = 2_000;

/// Runs it; did all hold?
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
    let (verdict, book, processor) = play_alone(&plan, options.seed, options.logs.as_deref())?;
    print!("{verdict}");
    if let Some(folder) = &options.logs {
        record::write_requests(&folder.join("requests.csv"), &book.open())?;
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
        plot::draw(path, &book.open())?;
    }
    if verdict.none {
        return Err(
            "no verdict: the stand-ins ran late, which says nothing of the fronts; try on a calmer machine"
                .into(),
        );
    }
    Ok(verdict.held())
}

/// The verdict, what was seen, and the processor time of a front in the mean and of the rig (seconds).
pub type Played = (Verdict, Arc<EventLog>, (f64, f64));

/// Plays a plan on threads of its own.
pub fn play_alone(plan: &Plan, seed: u64, logs: Option<&Path>) -> Result<Played, Box<dyn Error>> {
    let near = plan.fronts * (plan.nodes / plan.locations + plan.parents + 2);
    descriptors(DESCRIPTORS + 2 * near as u64)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(plan, seed, logs))
}

/// Lets this process hold so many descriptors.
fn descriptors(count: u64) -> Result<(), String> {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    let failed = |e: nix::Error| format!("the limit of descriptors: {e}");
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(failed)?;
    if soft >= count {
        return Ok(());
    }
    if hard < count {
        return Err(format!(
            "{count} descriptors are needed, and the limit is {hard}: fewer 'fronts' or 'nodes'"
        ));
    }
    setrlimit(Resource::RLIMIT_NOFILE, count, hard).map_err(failed)
}

/// A folder that goes when it is dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Everything that a fault may turn.
struct Fleet {
    plan: Plan,
    tier: Arc<Tier>,
    book: Arc<EventLog>,
    fronts: Vec<Rc<Front>>,
    clients: Rc<Clients>,
    cold: Cold,
    /// Unused ids for nodes that replace others.
    unused_ids: std::cell::RefCell<Vec<u32>>,
    /// The place of each node by the ids that it has had, and until when it had them (Unix seconds).
    names: std::cell::RefCell<std::collections::HashMap<u32, (usize, f64)>>,
    random: std::cell::RefCell<StdRng>,
    rollout: Option<Rc<rollout::RolloutRun>>,
}

async fn play(plan: &Plan, seed: u64, logs: Option<&Path>) -> Result<Played, Box<dyn Error>> {
    if let Some(folder) = logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("'{}': {e}", folder.display()))?;
    }
    let folder = Folder(std::env::temp_dir().join(format!("onyxyoke-fleet-{}-{seed}", std::process::id())));
    let mut random = StdRng::seed_from_u64(seed);
    let settings = fronts::settings(plan)?;
    let number = |a: &str, b: &str| settings[a][b].as_f64().ok_or(format!("the example tells no '{a}.{b}'"));
    let cold = Cold {
        from: number("invariants", "cold-from")?,
        time: number("invariants", "cold")?,
        multiple: number("invariants", "overload-factor")?,
        window: number("invariants", "fall")?,
    };
    let tier = tier(plan, number("specifics", "one-flow-kb-per-s")?);
    let (tier, book) = (tier.0, tier.1);
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
    // Some at a time: hundreds at once would each start late.
    for some in fronts.chunks(16) {
        let seeds: Vec<u64> = some.iter().map(|_| random.random()).collect();
        let starts = some.iter().zip(seeds).map(|(f, seed)| {
            let (f, tier) = (f.clone(), tier.clone());
            spawn_local(async move { f.start(&tier, seed).await.map(drop).map_err(|e| e.to_string()) })
        });
        for start in starts.collect::<Vec<_>>() {
            start.await??;
        }
    }
    let clients = Clients::new(plan, tier.clone(), book.clone(), fronts.clone(), seed);
    let name = format!("fleet-{}-{seed}", std::process::id());
    let driven = plan.rollout.as_ref().map(|r| rollout::RolloutRun::new(r, name.clone(), &folder.0));
    let _leftovers = driven.as_ref().map(|_| rollout::ProcessCleanup(name));
    let begun = tier.unix();
    book.open().began = begun;
    for node in &tier.nodes {
        node.take_done(tier.now());
    }
    let fleet = Rc::new(Fleet {
        plan: plan.clone(),
        tier: tier.clone(),
        book: book.clone(),
        fronts: fronts.clone(),
        clients: clients.clone(),
        cold,
        unused_ids: std::cell::RefCell::new(ids(plan.nodes * 8).split_off(plan.nodes + plan.parents + 1)),
        names: std::cell::RefCell::new(tier.nodes.iter().map(|n| (n.id(), (n.place, f64::MAX))).collect()),
        random: std::cell::RefCell::new(random),
        rollout: driven.clone(),
    });
    let mut driving = None;
    if let Some(driven) = &driven {
        // They tell where right after they have told that they serve.
        let by = tier.unix() + PATIENCE;
        while fronts.iter().any(|f| f.operators().is_none()) && tier.unix() < by {
            sleep(Duration::from_millis(5)).await;
        }
        driven.write(&fleet)?;
        fronts.iter().for_each(|f| f.hand_over());
        let drive = driven.clone().drive(tokio::time::Instant::now());
        driving = Some(spawn_local(async move { drive.await.map_err(|e| e.to_string()) }));
    }
    let before: f64 = fronts.iter().map(|f| f.processor_s()).sum();
    clients.start();
    fleet.schedule();
    let mut failed = None;
    let mut windows = interval(Duration::from_secs_f64(WINDOW));
    windows.set_missed_tick_behavior(MissedTickBehavior::Burst);
    windows.tick().await;
    let mut until = begun + plan.seconds;
    while tier.unix() < until {
        windows.tick().await;
        if driving.as_ref().is_some_and(|d| d.is_finished())
            && let Some(done) = driving.take()
        {
            failed = done.await?.err();
            // What comes of it is seen soon after.
            until = until.min(tier.unix() + AFTER);
        }
        let mut seen = book.open();
        for node in &tier.nodes {
            let done = node.take_done(tier.now()) / node.usual;
            seen.done[node.place].push(done);
        }
        drop(seen);
        fronts.iter().for_each(|f| f.check_for_crash());
    }
    clients.stop();
    let after: f64 = fronts.iter().map(|f| f.processor_s()).sum();
    // What is out is answered within the longest deadline, or is lost.
    let by = tier.unix() + LONGEST + plan.clients.pace.map_or(0.0, |_| READ_BEHIND);
    while tier.unix() < by && book.open().asked.iter().any(|a| a.end.is_none()) {
        sleep(Duration::from_millis(20)).await;
    }
    // A series that waited for the one before may have begun late.
    for front in &fronts {
        let _over = front.cycle_turn.lock().await;
    }
    let rig = std::fs::read_to_string("/proc/self/stat").ok().map_or(0.0, |s| {
        let ticks = |i: usize| s.rsplit(") ").next().and_then(|s| s.split(' ').nth(i)?.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / 100.0
    });
    let terms = VerdictCriteria {
        from: begun + plan.judged_from,
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
    let mut verdict = verdict::judge(&book.open(), &terms);
    for front in fronts.iter().filter(|f| f.crashed.get()) {
        let (times, example) = verdict.rules.entry("no crash".into()).or_default();
        (*times, *example) = (*times + 1, format!("front {} ended by itself", front.place));
    }
    if let Some(driven) = &driven {
        verdict.bounds.extend(failed);
        verdict.bounds.extend(driven.judge(&fleet));
        if driven.end().await > 0 {
            verdict.bounds.push("processes of the rollout did not end at SIGTERM".into());
        }
        if let Some(keep) = std::env::var_os("ONYXYOKE_KEEP") {
            let _ = std::fs::rename(driven.folder(), keep);
        }
        fronts.iter().for_each(|f| f.meant.set(f.is_running()));
    }
    for some in fronts.chunks(50) {
        let ends: Vec<_> = some
            .iter()
            .filter(|f| f.meant.get())
            .map(|f| {
                let f = f.clone();
                spawn_local(async move { (f.place, f.terminate().await) })
            })
            .collect();
        for end in ends {
            let (place, well) = end.await?;
            if !well {
                let (times, example) = verdict.rules.entry("exit 0 at SIGTERM".into()).or_default();
                (*times, *example) = (*times + 1, format!("front {place}"));
            }
        }
    }
    let each = (after - before).max(0.0) / fronts.len() as f64;
    Ok((verdict, book, (each, rig)))
}

/// The nodes, by place: caches, then parents, then the origin.
fn tier(plan: &Plan, flow: f64) -> (Arc<Tier>, Arc<EventLog>) {
    let all = plan.nodes + plan.parents + 1;
    let ids = ids(all);
    let kind = |n: usize| match n {
        _ if n < plan.nodes => Kind::Cache,
        _ if n + 1 == all => Kind::Origin,
        _ => Kind::Parent,
    };
    let node = |n: usize| match kind(n) {
        Kind::Cache => Node::new(n, ids[n], Kind::Cache, plan.link(n), format!("branch{}", plan.location(n))),
        kind => Node::new(n, ids[n], kind, ABOVE, "hub".into()),
    };
    let infos = (0..all).map(|n| NodeInfo {
        location: plan.location(n),
        link: if n < plan.nodes { plan.link(n) } else { ABOVE },
        cache: n < plan.nodes,
    });
    let book = Arc::new(EventLog::new(infos.collect()));
    (Tier::new((0..all).map(node).collect(), flow, plan.clients.object_bytes, book.clone()), book)
}
