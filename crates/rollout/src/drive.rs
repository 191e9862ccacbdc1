//! Drives a rollout: asks processes, hands what they say to the decisions, keeps records, does what is to be done. It
//! decides nothing.

use crate::file::{self, Checked};
use crate::host::{self, Heard, Process, Version};
use crate::journal::{Journal, Lease};
use anyhow::{Context, Result, bail};
use indicatif::{ProgressBar, ProgressStyle};
use nix::sys::signal::Signal;
use onyxyoke::rollout::{
    Action, Event, Found, GroupBy, Health, OperatorCommand, Outcome, Plan, ProcessCommand, ProcessEvent,
    Record, Release, Report, RolloutController, Run,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

/// Everything that is due is looked at this often.
const TURN: Duration = Duration::from_millis(100);
/// The status is written this often (seconds).
const STATUS: f64 = 0.5;
/// A front that says nothing at the start is asked so many times.
const FIRST_CALLS: usize = 5;
/// Processes that are being asked at once.
const ASKING: usize = 64;

/// What `status` shows.
#[derive(Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub report: Report,
    /// By front: the process that serves and what it runs.
    pub fronts: Vec<FrontStatus>,
    /// Unix seconds.
    pub at: f64,
}

#[derive(Serialize, Deserialize)]
pub struct FrontStatus {
    pub name: String,
    pub run: Option<Run>,
    pub side: Option<Release>,
    pub pid: Option<u32>,
    pub operators: Option<String>,
    pub settled: bool,
}

/// A window of the report, a line of `windows.jsonl`.
#[derive(Serialize, Deserialize)]
pub struct Moment {
    pub at: f64,
    pub report: Report,
}

fn unix() -> f64 {
    onyxyoke::clock::now()
}

/// The words of operators wait here, as files.
pub fn words(state: &Path) -> PathBuf {
    state.join("words")
}

/// Leaves a word for the tool that drives, or the one that will.
pub fn leave(state: &Path, word: OperatorCommand) -> Result<PathBuf> {
    let folder = words(state);
    std::fs::create_dir_all(&folder).with_context(|| format!("'{}'", folder.display()))?;
    let name = format!("{:020}-{}", (unix() * 1e6) as u64, std::process::id());
    let (new, path) = (folder.join(format!(".{name}")), folder.join(name));
    std::fs::write(&new, serde_json::to_string(&word)?)?;
    std::fs::rename(new, &path)?;
    Ok(path)
}

/// Writes a file whole.
pub fn write_whole(path: &Path, text: &str) -> std::io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(new, path)
}

/// Puts a file in another's place, whole.
fn put(from: &Path, to: &Path) -> std::io::Result<()> {
    let new = to.with_extension("rollout");
    std::fs::copy(from, &new)?;
    std::fs::rename(&new, to)
}

struct Drive {
    state: PathBuf,
    checked: Checked,
    controller: RolloutController,
    journal: Journal,
    processes: BTreeMap<(usize, Run), Process>,
    asking: BTreeSet<(usize, Run)>,
    /// Next time at which each is asked.
    due: BTreeMap<(usize, Run), f64>,
    /// The rule of homes that old processes follow.
    homes: Option<u32>,
    /// Orders whose records are not on disk yet.
    orders: Vec<(usize, ProcessCommand)>,
    windows: std::fs::File,
    began: Instant,
}

/// Runs it to its end, or goes on with it; the plan is that of the file, or the one that was begun in this folder.
pub fn run(state: &Path, plan: &Path) -> Result<Outcome> {
    std::fs::create_dir_all(state).with_context(|| format!("'{}'", state.display()))?;
    let _lease = Lease::take(state)?;
    let (mut journal, records) = Journal::open(&state.join("journal"))?;
    let kept = state.join("plan.json");
    let plan = file::read(plan)?;
    let checked = if records.is_empty() {
        let settings = file::settings(&plan)?;
        // What is wrong is told before anything is kept.
        let checked = file::check(plan.clone(), &settings)?;
        file::keep(state, &plan, &settings)?;
        write_whole(&kept, &serde_json::to_string(&plan)?)?;
        checked
    } else {
        if plan != file::read(&kept)? {
            bail!("'{}' holds a rollout of another plan; give another '--state'", state.display());
        }
        file::check(plan.clone(), &file::kept(state, &plan)?)?
    };
    if let Some(Record::Ended(end)) = records.last() {
        return Ok(*end);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let began = Instant::now();
    runtime.block_on(LocalSet::new().run_until(async {
        let mut processes = host::find(state, &plan.name, &plan.fronts);
        find_first(&plan, &records, &mut processes).await?;
        let mut heard = Vec::new();
        for (&(front, run), process) in &mut processes {
            process.find();
            heard.push((front, run, ask(&checked, front, run, process).await));
        }
        let other = heard.iter().find(|h| records.is_empty() && h.2.health == Health::Other);
        if let Some((front, _, heard)) = other {
            let (says, wanted) = (heard.version, checked.stamps[*front][0]);
            let says = says.map_or(String::new(), |v| format!(" ({})", v.stamp));
            let name = &plan.fronts[*front].name;
            bail!("front '{name}' runs something else{says} than 'old' and its settings ({wanted})");
        }
        let found = found(&plan, &records, &heard);
        let homes = heard.iter().filter(|h| h.2.health == Health::Yes(Release::Old));
        let homes = homes.filter_map(|h| h.2.version.map(|v| v.homes)).next();
        let mut controller = RolloutController::new(0.0, plan.clone(), found, &records);
        let windows =
            std::fs::OpenOptions::new().create(true).append(true).open(state.join("windows.jsonl"))?;
        let acts = controller.take();
        let mut orders = Vec::new();
        for act in acts {
            match act {
                Action::Keep(record) => journal.push(&record),
                Action::Tell(front, order) => orders.push((front, order)),
            }
        }
        let (asking, due) = (BTreeSet::new(), BTreeMap::new());
        let state = state.to_owned();
        let drive = Drive {
            state,
            checked,
            controller,
            journal,
            processes,
            asking,
            due,
            homes,
            orders,
            windows,
            began,
        };
        drive.go().await
    }))
}

/// The processes that served before the rollout, as far as they still do.
async fn find_first(
    plan: &Plan,
    records: &[Record],
    processes: &mut BTreeMap<(usize, Run), Process>,
) -> Result<()> {
    for (place, front) in plan.fronts.iter().enumerate() {
        // The first call may take long: the program's file is read for it.
        let mut version = host::version(front.operators).await;
        for _ in 1..FIRST_CALLS {
            if version.is_ok() || !records.is_empty() {
                break;
            }
            version = host::version(front.operators).await;
        }
        let mine = |v: &Version| processes.iter().any(|((f, _), p)| *f == place && p.pid == v.pid);
        match version {
            Ok(version) if !mine(&version) => {
                if let Some(p) = Process::adopt(version.pid, Release::Old, Some(front.operators), None) {
                    processes.insert((place, 1), p);
                }
            }
            Ok(_) => {}
            // Where nothing was changed yet, it has to be there.
            Err(e) if records.is_empty() => {
                bail!("front '{}' at {} does not say what it runs: {e}", front.name, front.operators)
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// What was found, as the decisions want it.
fn found(plan: &Plan, records: &[Record], heard: &[(usize, Run, Heard)]) -> Vec<Found> {
    let mut all = vec![Found { runs: Vec::new(), next: 2 }; plan.fronts.len()];
    for (front, run, heard) in heard {
        all[*front].runs.push((*run, heard.health));
        all[*front].next = all[*front].next.max(run + 1);
    }
    for record in records {
        if let Record::Ordered { front, order: ProcessCommand::Start(run, _) } = record {
            all[*front].next = all[*front].next.max(run + 1);
        }
    }
    all.iter_mut().for_each(|f| f.runs.sort_by_key(|r| r.0));
    all
}

/// Asks one process for everything; it may be waited for elsewhere.
fn ask(checked: &Checked, front: usize, run: Run, process: &Process) -> impl Future<Output = Heard> + use<> {
    let (stamps, classes) = (checked.stamps[front], checked.plan.classes.clone());
    host::ask(process.operators, run, process.side, stamps, classes, process.uses())
}

/// Objects that have other homes at the new side halve the hits of a location that has both.
fn refuse_homes(plan: &Plan, homes: Option<u32>, heard: &mut Heard) {
    let differs = heard.version.is_some_and(|v| homes.is_some_and(|h| h != v.homes));
    if differs && heard.health == Health::Yes(Release::New) && plan.limits.by == GroupBy::Front {
        tracing::error!("the new build has another rule of homes: 'limits.by' has to be \"location\"");
        heard.health = Health::Other;
    }
}

impl Drive {
    async fn go(mut self) -> Result<Outcome> {
        let (sender, mut heard) = mpsc::unbounded_channel::<(usize, Run, Heard)>();
        let bar = ProgressBar::new(self.checked.plan.fronts.len() as u64);
        if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}") {
            bar.set_style(style);
        }
        let mut turns = tokio::time::interval(TURN);
        turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut status_at = 0.0;
        loop {
            tokio::select! {
                _ = turns.tick() => {}
                Some((front, run, said)) = heard.recv() => {
                    self.heard(front, run, said);
                    continue;
                }
            }
            let now = self.began.elapsed().as_secs_f64();
            self.look(now);
            self.words(now);
            self.controller.step(now);
            self.act();
            self.ask_all(now, &sender);
            if now >= status_at {
                status_at = now + STATUS;
                self.status(now);
                let report = self.controller.report(now);
                bar.set_position(report.new as u64);
                let most = report.evidence.iter().flatten().copied().fold(0.0, f64::max);
                bar.set_message(format!("new; {}; evidence {most:.1} of {:.1}", report.phase, report.bound));
            }
            // Its last records have to be on disk.
            if let Some(end) = self.controller.ended()
                && self.orders.is_empty()
                && self.journal.sync().is_ok()
            {
                self.status(now);
                bar.finish_and_clear();
                return Ok(end);
            }
        }
    }

    fn heard(&mut self, front: usize, run: Run, mut said: Heard) {
        self.asking.remove(&(front, run));
        if !self.processes.contains_key(&(front, run)) {
            return;
        }
        if said.health == Health::Yes(Release::Old) {
            self.homes = self.homes.or(said.version.map(|v| v.homes));
        }
        refuse_homes(&self.checked.plan, self.homes, &mut said);
        let now = self.began.elapsed().as_secs_f64();
        self.controller.hear(now, front, Event::Said(run, said.health));
        if let Some(reading) = said.reading {
            self.controller.read(now, front, reading);
        }
    }

    /// Looks which processes have ended, and where new ones answer.
    fn look(&mut self, now: f64) {
        let mut ended = Vec::new();
        for (&key, process) in &mut self.processes {
            process.find();
            if process.ended() {
                ended.push(key);
            }
        }
        for (front, run) in ended {
            self.processes.remove(&(front, run));
            self.due.remove(&(front, run));
            self.controller.hear(now, front, Event::Ended(run));
        }
    }

    /// Hears what operators left.
    fn words(&mut self, now: f64) {
        let Ok(all) = std::fs::read_dir(words(&self.state)) else { return };
        let mut paths: Vec<PathBuf> = all.flatten().map(|e| e.path()).collect();
        paths.retain(|p| !p.file_name().is_some_and(|n| n.to_string_lossy().starts_with('.')));
        paths.sort();
        for path in paths {
            let word = std::fs::read_to_string(&path).ok().and_then(|t| serde_json::from_str(&t).ok());
            if let Some(word) = word {
                tracing::info!("an operator says {word:?}");
                self.controller.say(now, word);
                self.act();
                // Taken once it is on disk; said again it changes nothing.
                if !self.journal.synced() {
                    return;
                }
            }
            let _ = std::fs::remove_file(path);
        }
    }

    /// Keeps records, then does what they tell. While the journal cannot be written nothing is done.
    fn act(&mut self) {
        for act in self.controller.take() {
            match act {
                Action::Keep(record) => {
                    tell(&self.checked.plan, &record);
                    self.journal.push(&record);
                }
                Action::Tell(front, order) => self.orders.push((front, order)),
            }
        }
        if let Err(e) = self.journal.sync() {
            return tracing::error!("the journal cannot be written, and nothing is done: {e}");
        }
        for (front, order) in std::mem::take(&mut self.orders) {
            self.order(front, order);
        }
    }

    fn order(&mut self, front: usize, order: ProcessCommand) {
        let plan = &self.checked.plan;
        let spec = &plan.fronts[front];
        let signal = |run: Run, signal| {
            if let Some(process) = self.processes.get(&(front, run)) {
                process.signal(signal);
            }
        };
        match order {
            ProcessCommand::Start(run, side) => {
                let built = if side == Release::Old { &plan.old } else { &plan.new };
                let kept = host::kept(&self.state, spec, side);
                // One that is to read its settings again in service needs the front's own file.
                let from = if plan.limits.reload { &spec.settings } else { &kept };
                let put = if plan.limits.reload { put(&kept, &spec.settings) } else { Ok(()) };
                let started = put
                    .context("its settings")
                    .and_then(|()| host::start(&self.state, &plan.name, (spec, from), run, side, built));
                match started {
                    Ok(process) => _ = self.processes.insert((front, run), process),
                    Err(e) => {
                        tracing::error!("front '{}': {e:#}", spec.name);
                        let now = self.began.elapsed().as_secs_f64();
                        self.controller.hear(now, front, Event::NotStarted(run));
                    }
                }
            }
            ProcessCommand::Term(run) => signal(run, Signal::SIGTERM),
            ProcessCommand::Kill(run) => signal(run, Signal::SIGKILL),
            ProcessCommand::Reload(run, side) => {
                if let Err(e) = put(&host::kept(&self.state, spec, side), &spec.settings) {
                    tracing::error!("front '{}': '{}': {e}", spec.name, spec.settings.display());
                }
                signal(run, Signal::SIGHUP);
            }
        }
    }

    /// Asks whoever is due, some at a time.
    fn ask_all(&mut self, now: f64, sender: &mpsc::UnboundedSender<(usize, Run, Heard)>) {
        let every = self.checked.plan.spans.window_s / 2.0;
        for (&(front, run), process) in &self.processes {
            if self.asking.len() >= ASKING {
                return;
            }
            if self.asking.contains(&(front, run)) || self.due.get(&(front, run)).is_some_and(|d| now < *d) {
                continue;
            }
            // One that does not serve yet is looked at more often.
            let serving = self.controller.serving(front).is_some_and(|s| s.0 == run);
            self.due.insert((front, run), now + if serving { every } else { every.min(0.2) });
            self.asking.insert((front, run));
            let (asked, sender) = (ask(&self.checked, front, run, process), sender.clone());
            spawn_local(async move {
                let _ = sender.send((front, run, asked.await));
            });
        }
    }

    fn status(&mut self, now: f64) {
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
        let moment = Moment { at: unix(), report: report.clone() };
        let status = Status { name: self.checked.plan.name.clone(), report, fronts, at: moment.at };
        let text = serde_json::to_string(&status).unwrap_or_default();
        // What only informs must not stop anything.
        let _ = write_whole(&self.state.join("status.json"), &text);
        let _ = writeln!(self.windows, "{}", serde_json::to_string(&moment).unwrap_or_default());
    }
}

/// Says a record to whoever watches.
fn tell(plan: &Plan, record: &Record) {
    let name = |front: &usize| &plan.fronts[*front].name;
    match record {
        Record::Noticed { front, notice: ProcessEvent::Changed(side) } => {
            tracing::info!("{}: {side:?}", name(front))
        }
        Record::Noticed { front, notice } => tracing::warn!("{}: {notice:?}", name(front)),
        Record::Ordered { front, order } => tracing::debug!("{}: {order:?}", name(front)),
        Record::RollbackStarted { why, .. } => tracing::error!("going back: {why}"),
        Record::RollbackFailed(front) => {
            tracing::error!("{} CANNOT BE BROUGHT BACK; the others go on", name(front))
        }
        Record::Paused(class) => {
            tracing::warn!(
                "the whole does worse than before in '{}': nothing is changed",
                plan.classes[*class]
            );
        }
        Record::Staged { stages, .. } => tracing::info!("{} stages", stages.len()),
        other => tracing::info!("{other:?}"),
    }
}
