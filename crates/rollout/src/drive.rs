//! Drives a rollout: queries processes, passes their reports to the rollout controller, journals its records
//! and performs its actions. All decisions are the controller's.

use crate::file::{self, CheckedPlan};
use crate::host::{self, Process, ProcessReport, Version};
use crate::journal::{Journal, Lease};
use anyhow::{Context, Result, bail};
use indicatif::{ProgressBar, ProgressStyle};
use nix::sys::signal::Signal;
use onyxyoke::rollout::{
    Action, FoundProcesses, GroupBy, Health, OperatorCommand, Outcome, Plan, ProcessCommand, ProcessEvent,
    ProcessObservation, Record, Release, Report, RolloutController, Run,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

/// Interval at which processes, commands and the controller are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the status is written (seconds).
const STATUS_INTERVAL_S: f64 = 0.5;
/// Number of version queries at the start before a front counts as unreachable.
const MAX_VERSION_QUERIES: usize = 5;
/// Maximum interval between queries to a process that does not serve yet (seconds).
const STARTING_QUERY_INTERVAL_S: f64 = 0.2;
/// Maximum number of processes that are queried at once.
const MAX_QUERIES_IN_FLIGHT: usize = 64;

/// The content of `status.json`, which `status` shows.
#[derive(Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub report: Report,
    /// By front: the process that serves and its release.
    pub fronts: Vec<FrontStatus>,
    /// Unix seconds.
    pub at: f64,
}

/// The serving process of a front.
#[derive(Serialize, Deserialize)]
pub struct FrontStatus {
    pub name: String,
    pub run: Option<Run>,
    pub side: Option<Release>,
    pub pid: Option<u32>,
    pub operators: Option<String>,
    pub settled: bool,
}

/// A report and its time, one line of `windows.jsonl`.
#[derive(Serialize, Deserialize)]
pub struct StatusSample {
    /// Unix seconds.
    pub at: f64,
    pub report: Report,
}

fn unix_time() -> f64 {
    onyxyoke::clock::now()
}

/// The folder where operators' commands wait, one file each.
pub fn command_folder(state: &Path) -> PathBuf {
    state.join("words")
}

/// Writes a command for the process that drives the rollout, now or later.
pub fn submit_command(state: &Path, command: OperatorCommand) -> Result<PathBuf> {
    let folder = command_folder(state);
    std::fs::create_dir_all(&folder).with_context(|| format!("'{}'", folder.display()))?;
    let name = format!("{:020}-{}", (unix_time() * 1e6) as u64, std::process::id());
    let (new, path) = (folder.join(format!(".{name}")), folder.join(name));
    std::fs::write(&new, serde_json::to_string(&command)?)?;
    std::fs::rename(new, &path)?;
    Ok(path)
}

/// Replaces a file's content atomically.
pub fn replace_file(path: &Path, text: &str) -> std::io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(new, path)
}

/// Replaces a file atomically with a copy of another.
fn copy_file(from: &Path, to: &Path) -> std::io::Result<()> {
    let new = to.with_extension("rollout");
    std::fs::copy(from, &new)?;
    std::fs::rename(&new, to)
}

/// The state of a rollout that is being driven.
struct Driver {
    state: PathBuf,
    checked: CheckedPlan,
    controller: RolloutController,
    journal: Journal,
    processes: BTreeMap<(usize, Run), Process>,
    in_flight: BTreeSet<(usize, Run)>,
    /// The next time at which each process is queried.
    next_query_at: BTreeMap<(usize, Run), f64>,
    /// The placement rule of the old processes.
    placement_rule: Option<u32>,
    /// Commands to processes whose records are not on disk yet.
    pending_commands: Vec<(usize, ProcessCommand)>,
    windows: std::fs::File,
    started_at: Instant,
}

/// Runs a rollout to its end, or resumes the one in this state folder, which must have the same plan.
pub fn run(state: &Path, plan: &Path) -> Result<Outcome> {
    std::fs::create_dir_all(state).with_context(|| format!("'{}'", state.display()))?;
    let _lease = Lease::acquire(state)?;
    let (mut journal, records) = Journal::open(&state.join("journal"))?;
    let saved_plan = state.join("plan.json");
    let plan = file::read_plan(plan)?;
    let checked = if records.is_empty() {
        let settings = file::read_settings(&plan)?;
        // Errors are reported before anything is saved.
        let checked = file::check(plan.clone(), &settings)?;
        file::save_settings(state, &plan, &settings)?;
        replace_file(&saved_plan, &serde_json::to_string(&plan)?)?;
        checked
    } else {
        if plan != file::read_plan(&saved_plan)? {
            bail!("'{}' holds a rollout of another plan; give another '--state'", state.display());
        }
        file::check(plan.clone(), &file::saved_settings(state, &plan)?)?
    };
    if let Some(Record::Ended(end)) = records.last() {
        return Ok(*end);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let started_at = Instant::now();
    runtime.block_on(LocalSet::new().run_until(async {
        let mut processes = host::find_processes(state, &plan.name, &plan.fronts);
        find_initial_processes(&plan, &records, &mut processes).await?;
        let mut reports = Vec::new();
        for (&(front, run), process) in &mut processes {
            process.find_operators_address();
            reports.push((front, run, query(&checked, front, run, process).await));
        }
        let unknown = reports.iter().find(|r| records.is_empty() && r.2.health == Health::OtherBuild);
        if let Some((front, _, report)) = unknown {
            let (version, expected) = (report.version, checked.digests[*front][0]);
            let running = version.map_or(String::new(), |v| format!(" ({})", v.digests));
            let name = &plan.fronts[*front].name;
            bail!("front '{name}' runs something else{running} than 'old' and its settings ({expected})");
        }
        let found = found_fronts(&plan, &records, &reports);
        let old = reports.iter().filter(|r| r.2.health == Health::Serving(Release::Old));
        let placement_rule = old.filter_map(|r| r.2.version.map(|v| v.placement_rule)).next();
        let mut controller = RolloutController::new(0.0, plan.clone(), found, &records);
        let windows =
            std::fs::OpenOptions::new().create(true).append(true).open(state.join("windows.jsonl"))?;
        let actions = controller.take_actions();
        let mut pending_commands = Vec::new();
        for action in actions {
            match action {
                Action::WriteRecord(record) => journal.push(&record),
                Action::RunCommand(front, command) => pending_commands.push((front, command)),
            }
        }
        let (in_flight, next_query_at) = (BTreeSet::new(), BTreeMap::new());
        let state = state.to_owned();
        let driver = Driver {
            state,
            checked,
            controller,
            journal,
            processes,
            in_flight,
            next_query_at,
            placement_rule,
            pending_commands,
            windows,
            started_at,
        };
        driver.run().await
    }))
}

/// Finds the processes that served before the rollout, as far as they still run.
async fn find_initial_processes(
    plan: &Plan,
    records: &[Record],
    processes: &mut BTreeMap<(usize, Run), Process>,
) -> Result<()> {
    for (index, front) in plan.fronts.iter().enumerate() {
        // The first query may take long: the process reads its program's file to compute the digest.
        let mut version = host::query_version(front.operators).await;
        for _ in 1..MAX_VERSION_QUERIES {
            if version.is_ok() || !records.is_empty() {
                break;
            }
            version = host::query_version(front.operators).await;
        }
        let is_known = |v: &Version| processes.iter().any(|((f, _), p)| *f == index && p.pid == v.pid);
        match version {
            Ok(version) if !is_known(&version) => {
                if let Some(p) = Process::adopt(version.pid, Release::Old, Some(front.operators), None) {
                    processes.insert((index, 1), p);
                }
            }
            Ok(_) => {}
            // As long as nothing has changed, every front must answer.
            Err(e) if records.is_empty() => {
                bail!("front '{}' at {} does not report its version: {e}", front.name, front.operators)
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// The processes that were found, in the controller's form.
fn found_fronts(
    plan: &Plan,
    records: &[Record],
    reports: &[(usize, Run, ProcessReport)],
) -> Vec<FoundProcesses> {
    let mut fronts = vec![FoundProcesses { runs: Vec::new(), next: 2 }; plan.fronts.len()];
    for (front, run, report) in reports {
        fronts[*front].runs.push((*run, report.health));
        fronts[*front].next = fronts[*front].next.max(run + 1);
    }
    for record in records {
        if let Record::Ordered { front, order: ProcessCommand::Start(run, _) } = record {
            fronts[*front].next = fronts[*front].next.max(run + 1);
        }
    }
    fronts.iter_mut().for_each(|f| f.runs.sort_by_key(|r| r.0));
    fronts
}

/// Queries one process. The future borrows nothing and may run in another task.
fn query(
    checked: &CheckedPlan,
    front: usize,
    run: Run,
    process: &Process,
) -> impl Future<Output = ProcessReport> + use<> {
    let (digests, classes) = (checked.digests[front], checked.plan.classes.clone());
    host::query(process.operators, run, process.release, digests, classes, process.resource_usage())
}

/// Refuses a new process whose placement rule differs from the old ones': mixing both in a location would
/// halve its hit ratio.
fn refuse_other_placement(plan: &Plan, placement_rule: Option<u32>, report: &mut ProcessReport) {
    let differs = report.version.is_some_and(|v| placement_rule.is_some_and(|old| old != v.placement_rule));
    if differs && report.health == Health::Serving(Release::New) && plan.limits.by == GroupBy::Front {
        tracing::error!(
            "the new build assigns objects to other home nodes: 'limits.by' has to be \"location\""
        );
        report.health = Health::OtherBuild;
    }
}

impl Driver {
    /// Runs the rollout to its end.
    async fn run(mut self) -> Result<Outcome> {
        let (sender, mut reports) = mpsc::unbounded_channel::<(usize, Run, ProcessReport)>();
        let progress = ProgressBar::new(self.checked.plan.fronts.len() as u64);
        if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}") {
            progress.set_style(style);
        }
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut status_at = 0.0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                Some((front, run, report)) = reports.recv() => {
                    self.handle_report(front, run, report);
                    continue;
                }
            }
            let now = self.started_at.elapsed().as_secs_f64();
            self.check_processes(now);
            self.read_commands(now);
            self.controller.step(now);
            self.perform_actions();
            self.query_due_processes(now, &sender);
            if now >= status_at {
                status_at = now + STATUS_INTERVAL_S;
                self.write_status(now);
                let report = self.controller.report(now);
                progress.set_position(report.new as u64);
                let max_evidence = report.evidence.iter().flatten().copied().fold(0.0, f64::max);
                progress.set_message(format!(
                    "new; {}; evidence {max_evidence:.1} of {:.1}",
                    report.phase, report.bound
                ));
            }
            // The last records have to be on disk before the tool exits.
            if let Some(end) = self.controller.outcome()
                && self.pending_commands.is_empty()
                && self.journal.sync().is_ok()
            {
                self.write_status(now);
                progress.finish_and_clear();
                return Ok(end);
            }
        }
    }

    /// Passes the report of a process to the controller.
    fn handle_report(&mut self, front: usize, run: Run, mut report: ProcessReport) {
        self.in_flight.remove(&(front, run));
        if !self.processes.contains_key(&(front, run)) {
            return;
        }
        if report.health == Health::Serving(Release::Old) {
            self.placement_rule = self.placement_rule.or(report.version.map(|v| v.placement_rule));
        }
        refuse_other_placement(&self.checked.plan, self.placement_rule, &mut report);
        let now = self.started_at.elapsed().as_secs_f64();
        self.controller.handle_observation(now, front, ProcessObservation::Answered(run, report.health));
        if let Some(reading) = report.reading {
            self.controller.add_reading(now, front, reading);
        }
    }

    /// Detects processes that have ended, and the operators' addresses of new ones.
    fn check_processes(&mut self, now: f64) {
        let mut ended = Vec::new();
        for (&key, process) in &mut self.processes {
            process.find_operators_address();
            if process.has_ended() {
                ended.push(key);
            }
        }
        for (front, run) in ended {
            self.processes.remove(&(front, run));
            self.next_query_at.remove(&(front, run));
            self.controller.handle_observation(now, front, ProcessObservation::Exited(run));
        }
    }

    /// Reads the commands that operators have submitted.
    fn read_commands(&mut self, now: f64) {
        let Ok(entries) = std::fs::read_dir(command_folder(&self.state)) else { return };
        let mut paths: Vec<PathBuf> = entries.flatten().map(|e| e.path()).collect();
        paths.retain(|p| !p.file_name().is_some_and(|n| n.to_string_lossy().starts_with('.')));
        paths.sort();
        for path in paths {
            let command = std::fs::read_to_string(&path).ok().and_then(|t| serde_json::from_str(&t).ok());
            if let Some(command) = command {
                tracing::info!("operator command: {command:?}");
                self.controller.apply_command(now, command);
                self.perform_actions();
                // The file is removed once the command is on disk. Repeating a command changes nothing.
                if !self.journal.is_synced() {
                    return;
                }
            }
            let _ = std::fs::remove_file(path);
        }
    }

    /// Journals the controller's records, then performs its actions. Nothing is done while the journal cannot
    /// be written.
    fn perform_actions(&mut self) {
        for action in self.controller.take_actions() {
            match action {
                Action::WriteRecord(record) => {
                    log_record(&self.checked.plan, &record);
                    self.journal.push(&record);
                }
                Action::RunCommand(front, command) => self.pending_commands.push((front, command)),
            }
        }
        if let Err(e) = self.journal.sync() {
            return tracing::error!("the journal cannot be written; no action is taken: {e}");
        }
        for (front, command) in std::mem::take(&mut self.pending_commands) {
            self.execute(front, command);
        }
    }

    /// Starts or signals a process of a front.
    fn execute(&mut self, front: usize, command: ProcessCommand) {
        let plan = &self.checked.plan;
        let spec = &plan.fronts[front];
        let signal = |run: Run, signal| {
            if let Some(process) = self.processes.get(&(front, run)) {
                process.signal(signal);
            }
        };
        match command {
            ProcessCommand::Start(run, release) => {
                let built = if release == Release::Old { &plan.old } else { &plan.new };
                let saved = host::saved_settings_path(&self.state, spec, release);
                // A process that will reload its settings has to read the front's own file.
                let settings = if plan.limits.reload { &spec.settings } else { &saved };
                let copied = if plan.limits.reload { copy_file(&saved, &spec.settings) } else { Ok(()) };
                let started = copied.context("its settings").and_then(|()| {
                    host::start(&self.state, &plan.name, (spec, settings), run, release, built)
                });
                match started {
                    Ok(process) => _ = self.processes.insert((front, run), process),
                    Err(e) => {
                        tracing::error!("front '{}': {e:#}", spec.name);
                        let now = self.started_at.elapsed().as_secs_f64();
                        self.controller.handle_observation(now, front, ProcessObservation::StartFailed(run));
                    }
                }
            }
            ProcessCommand::Term(run) => signal(run, Signal::SIGTERM),
            ProcessCommand::Kill(run) => signal(run, Signal::SIGKILL),
            ProcessCommand::Reload(run, release) => {
                if let Err(e) =
                    copy_file(&host::saved_settings_path(&self.state, spec, release), &spec.settings)
                {
                    tracing::error!("front '{}': '{}': {e}", spec.name, spec.settings.display());
                }
                signal(run, Signal::SIGHUP);
            }
        }
    }

    /// Queries the processes that are due, a limited number at once.
    fn query_due_processes(&mut self, now: f64, sender: &mpsc::UnboundedSender<(usize, Run, ProcessReport)>) {
        let interval_s = self.checked.plan.spans.window_s / 2.0;
        for (&(front, run), process) in &self.processes {
            if self.in_flight.len() >= MAX_QUERIES_IN_FLIGHT {
                return;
            }
            if self.in_flight.contains(&(front, run))
                || self.next_query_at.get(&(front, run)).is_some_and(|d| now < *d)
            {
                continue;
            }
            // A process that does not serve yet is queried more often.
            let serving = self.controller.serving(front).is_some_and(|s| s.0 == run);
            self.next_query_at.insert(
                (front, run),
                now + if serving { interval_s } else { interval_s.min(STARTING_QUERY_INTERVAL_S) },
            );
            self.in_flight.insert((front, run));
            let (query, sender) = (query(&self.checked, front, run, process), sender.clone());
            spawn_local(async move {
                let _ = sender.send((front, run, query.await));
            });
        }
    }

    /// Writes `status.json` and appends to `windows.jsonl`.
    fn write_status(&mut self, now: f64) {
        let report = self.controller.report(now);
        let front = |(i, spec): (usize, &onyxyoke::rollout::Front)| {
            let serving = self.controller.serving(i);
            let process = serving.and_then(|s| self.processes.get(&(i, s.0)));
            FrontStatus {
                name: spec.name.clone(),
                run: serving.map(|s| s.0),
                side: serving.map(|s| s.1),
                pid: process.map(|p| p.pid),
                operators: process.and_then(|p| p.operators).map(|a| a.to_string()),
                settled: self.controller.change(i).settled(),
            }
        };
        let fronts = self.checked.plan.fronts.iter().enumerate().map(front).collect();
        let sample = StatusSample { at: unix_time(), report: report.clone() };
        let status = Status { name: self.checked.plan.name.clone(), report, fronts, at: sample.at };
        let text = serde_json::to_string(&status).unwrap_or_default();
        // These files only inform: a failure to write them does not stop the rollout.
        let _ = replace_file(&self.state.join("status.json"), &text);
        let _ = writeln!(self.windows, "{}", serde_json::to_string(&sample).unwrap_or_default());
    }
}

/// Logs a record.
fn log_record(plan: &Plan, record: &Record) {
    let name = |front: &usize| &plan.fronts[*front].name;
    match record {
        Record::Noticed { front, notice: ProcessEvent::Changed(release) } => {
            tracing::info!("{}: {release:?}", name(front))
        }
        Record::Noticed { front, notice } => tracing::warn!("{}: {notice:?}", name(front)),
        Record::Ordered { front, order } => tracing::debug!("{}: {order:?}", name(front)),
        Record::RollbackStarted { why, .. } => tracing::error!("rolling back: {why}"),
        Record::RollbackFailed(front) => {
            tracing::error!("{} could not be rolled back; the other fronts continue", name(front))
        }
        Record::Paused(class) => {
            tracing::warn!(
                "the whole fleet does worse than before in '{}': the rollout is paused",
                plan.classes[*class]
            );
        }
        Record::Staged { stages, .. } => tracing::info!("{} stages", stages.len()),
        other => tracing::info!("{other:?}"),
    }
}
