//! The processes of fronts on this host: started, found again, asked, told to end. A process carries its rollout, front
//! and number in its environment, so that a tool that was killed at any instruction finds it again.

use crate::operators::Query;
use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use onyxyoke::rollout::{Built, Counts, Front, Health, Reading, Release, Run};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The variable that names a process: rollout, front and number, with blanks between, and what it is to run.
const RUN: &str = "ONYXYOKE_RUN";

/// What a process says it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Digest of the program's file.
    pub build: u64,
    /// Digest of the settings.
    pub settings: u64,
}

impl std::fmt::Display for Stamp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "build={:016x} settings={:016x}", self.build, self.settings)
    }
}

/// What a process answers `version` with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version {
    pub stamp: Stamp,
    /// The rule by which objects have homes.
    pub homes: u32,
    pub pid: u32,
}

/// A process.
pub struct Process {
    pub pid: u32,
    /// When it began, in the system's ticks: another process of this pid is another.
    began: u64,
    /// What it was started to run.
    pub side: Release,
    /// Where it logs; the first one's is not known.
    log: Option<PathBuf>,
    /// Where it answers operators, once that is known.
    pub operators: Option<SocketAddr>,
    child: Option<Child>,
}

/// The fields of a process's line in /proc after its name: state first. None if there is no such process.
fn stat(pid: u32) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = text.rsplit_once(") ")?.1;
    Some(rest.split_whitespace().map(str::to_owned).collect())
}

fn began(pid: u32) -> Option<u64> {
    stat(pid)?.get(19)?.parse().ok()
}

/// Where a process answers operators, as its log tells. A line without its end is still being written.
fn operators_address(log: &str) -> Option<SocketAddr> {
    let mut lines = log.split_inclusive('\n').filter_map(|line| line.strip_suffix('\n'));
    let line = lines.find(|line| line.contains(" answers operators on "))?;
    line.rsplit(' ').next()?.parse().ok()
}

impl Process {
    /// A process that runs already.
    pub fn adopt(
        pid: u32,
        side: Release,
        operators: Option<SocketAddr>,
        log: Option<PathBuf>,
    ) -> Option<Process> {
        Some(Process { pid, began: began(pid)?, side, log, operators, child: None })
    }

    /// Has it ended?
    pub fn ended(&mut self) -> bool {
        if let Some(child) = &mut self.child {
            return !matches!(child.try_wait(), Ok(None));
        }
        // One whose parent has not waited for it has ended all the same.
        let Some(fields) = stat(self.pid) else { return true };
        matches!(fields.first().map(String::as_str), Some("Z" | "X"))
            || fields.get(19).and_then(|f| f.parse().ok()) != Some(self.began)
    }

    /// Sends it a signal, if it is still the one.
    pub fn signal(&self, signal: Signal) {
        if self.child.is_some() || began(self.pid) == Some(self.began) {
            let _ = kill(Pid::from_raw(self.pid as i32), signal);
        }
    }

    /// Where it answers operators, once its log tells.
    pub fn find(&mut self) {
        let (None, Some(log)) = (self.operators, &self.log) else { return };
        let Ok(text) = std::fs::read_to_string(log) else { return };
        self.operators = operators_address(&text);
    }

    /// Memory (KB), descriptors and processor time (seconds), as the system tells.
    pub fn uses(&self) -> (u64, u64, f64) {
        let pid = self.pid;
        let memory = std::fs::read_to_string(format!("/proc/{pid}/status")).ok().and_then(|text| {
            let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
            line.split_whitespace().nth(1)?.parse().ok()
        });
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count() as u64);
        let time = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok();
        let time = time.and_then(|t| t.split(' ').next()?.parse::<f64>().ok());
        (memory.unwrap_or(0), descriptors, time.unwrap_or(0.0) / 1e9)
    }
}

/// The folder of a front's processes.
pub fn folder(state: &Path, front: &Front) -> PathBuf {
    state.join("fronts").join(&front.name)
}

/// The kept settings of a side.
pub fn kept(state: &Path, front: &Front, side: Release) -> PathBuf {
    folder(state, front).join(if side == Release::Old { "old" } else { "new" })
}

/// Starts a process of a front, with settings from this file.
pub fn start(
    state: &Path,
    rollout: &str,
    (front, settings): (&Front, &Path),
    run: Run,
    side: Release,
    built: &Built,
) -> Result<Process> {
    let folder = folder(state, front);
    let log = folder.join(format!("{run}.log"));
    let file = std::fs::File::create(&log).with_context(|| format!("'{}'", log.display()))?;
    let child = Command::new(&built.program)
        .envs(&built.variables)
        .env("NODE_CONFIG", settings)
        .env("NODE_ADMIN_ADDR", SocketAddr::new(front.operators.ip(), 0).to_string())
        .env("TMPDIR", &front.folder)
        .env(RUN, format!("{rollout} {} {run} {side:?}", front.name))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        // What a terminal sends to the tool is not the fronts'.
        .process_group(0)
        .spawn()
        .with_context(|| format!("'{}'", built.program.display()))?;
    let pid = child.id();
    Ok(Process {
        pid,
        began: began(pid).unwrap_or(0),
        side,
        log: Some(log),
        operators: None,
        child: Some(child),
    })
}

/// All processes of a rollout that run, by front and number.
pub fn find(state: &Path, rollout: &str, fronts: &[Front]) -> BTreeMap<(usize, Run), Process> {
    let mut found = BTreeMap::new();
    let Ok(all) = std::fs::read_dir("/proc") else { return found };
    for pid in all.flatten().filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok()) {
        let Ok(environ) = std::fs::read(format!("/proc/{pid}/environ")) else { continue };
        let mut variables = environ.split(|b| *b == 0).filter_map(|v| std::str::from_utf8(v).ok());
        let Some(named) = variables.find_map(|v| v.strip_prefix(RUN)?.strip_prefix('=')) else { continue };
        let words: Vec<&str> = named.rsplitn(4, ' ').collect();
        let [side, run, front, name] = words[..] else { continue };
        let (Ok(run), Some(place)) = (run.parse(), fronts.iter().position(|f| f.name == front)) else {
            continue;
        };
        if name != rollout {
            continue;
        }
        let side = if side == "New" { Release::New } else { Release::Old };
        let log = folder(state, &fronts[place]).join(format!("{run}.log"));
        if let Some(mut process) = Process::adopt(pid, side, None, Some(log))
            && !process.ended()
        {
            process.find();
            found.insert((place, run), process);
        }
    }
    found
}

/// Asks a process what it runs.
pub async fn version(operators: SocketAddr) -> Result<Version> {
    let answer = Query::Version.ask(operators).await?;
    let words: BTreeMap<&str, &str> =
        answer.split_whitespace().filter_map(|word| word.split_once('=')).collect();
    let hex = |key: &str| words.get(key).and_then(|v| u64::from_str_radix(v, 16).ok());
    let number = |key: &str| words.get(key).and_then(|v| v.parse().ok());
    match (hex("build"), hex("settings"), number("homes"), number("pid")) {
        (Some(build), Some(settings), Some(homes), Some(pid)) => {
            Ok(Version { stamp: Stamp { build, settings }, homes, pid })
        }
        _ => bail!("it does not say what it runs: {}", answer.trim()),
    }
}

/// What was heard of a process: how it answers, and its figures.
pub struct Heard {
    pub health: Health,
    pub reading: Option<Reading>,
    pub version: Option<Version>,
}

/// What a process answers that takes clients.
struct Answers {
    version: Version,
    /// The answers to `counters` and `slow`.
    figures: String,
}

impl Answers {
    /// The value of a class's series.
    fn figure(&self, name: &str, class: &str) -> Option<u64> {
        let series = format!("{name}{{tier=\"{class}\"}} ");
        let value = self.figures.lines().find_map(|line| line.strip_prefix(&series))?;
        value.trim().parse().ok()
    }

    fn counts(&self, class: &str) -> Option<Counts> {
        Some(Counts {
            served: self.figure("front_success", class)?,
            busy: self.figure("front_busy", class)?,
            failed: self.figure("front_failure", class)?,
            calls: self.figure("front_backend_calls", class)?,
            slow: self.figure("front_slow", class)?,
        })
    }

    /// The health of a process that was started to run `side`, where old and new have these stamps.
    fn health(&self, side: Release, stamps: [Stamp; 2]) -> Health {
        let says = |side: Release| self.version.stamp == stamps[usize::from(side == Release::New)];
        let other = if side == Release::New { Release::Old } else { Release::New };
        match () {
            () if says(side) => Health::Yes(side),
            () if says(other) => Health::Yes(other),
            () => Health::Other,
        }
    }
}

/// Asks a process for everything, and returns nothing if it takes no clients.
async fn answers(operators: SocketAddr) -> Result<Option<Answers>> {
    if !Query::Health.ask(operators).await?.starts_with("ok") {
        return Ok(None);
    }
    let version = version(operators).await?;
    let counters = Query::Counters.ask(operators).await?;
    let slow = Query::Slow.ask(operators).await?;
    Ok(Some(Answers { version, figures: counters + &slow }))
}

/// Asks a process for everything. `stamps` are what old and new should say, `side` what it was started to run.
pub async fn ask(
    operators: Option<SocketAddr>,
    run: Run,
    side: Release,
    stamps: [Stamp; 2],
    classes: Vec<String>,
    uses: (u64, u64, f64),
) -> Heard {
    let heard = |health| Heard { health, reading: None, version: None };
    // It has not begun to listen yet.
    let Some(operators) = operators else { return heard(Health::No) };
    let answers = match answers(operators).await {
        Ok(Some(answers)) => answers,
        Ok(None) => return heard(Health::No),
        Err(error) => {
            tracing::debug!("process {run} at {operators}: {error:#}");
            return heard(Health::Silent);
        }
    };
    let classes: Option<Vec<Counts>> = classes.iter().map(|class| answers.counts(class)).collect();
    let (memory_kb, descriptors, processor_s) = uses;
    let reading = classes.map(|classes| Reading { run, classes, memory_kb, descriptors, processor_s });
    Heard { health: answers.health(side, stamps), reading, version: Some(answers.version) }
}

#[cfg(test)]
mod tests;
