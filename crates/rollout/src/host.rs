//! The front processes of this host: starts, finds, queries and signals them. A process carries its rollout,
//! front and run number in its environment, so that the tool finds it again after being killed at any point.

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

/// The variable that identifies a process: rollout, front, run number and release, separated by spaces.
const RUN_VARIABLE: &str = "ONYXYOKE_RUN";

/// Digests of the program and settings that a process reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseDigests {
    /// Digest of the program's file.
    pub build: u64,
    /// Digest of the settings.
    pub settings: u64,
}

impl std::fmt::Display for ReleaseDigests {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "build={:016x} settings={:016x}", self.build, self.settings)
    }
}

/// A process's answer to `version`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version {
    pub digests: ReleaseDigests,
    /// Version of the rule that assigns objects to home nodes.
    pub placement_rule: u32,
    pub pid: u32,
}

/// A front process.
pub struct Process {
    pub pid: u32,
    /// Start time in clock ticks, which tells the process from a later one with the same pid.
    start_ticks: u64,
    /// The release that it was started with.
    pub release: Release,
    /// Its log file; `None` for a process that the tool has not started.
    log: Option<PathBuf>,
    /// The address of its operators' socket, once known.
    pub operators: Option<SocketAddr>,
    child: Option<Child>,
}

/// The fields of `/proc/PID/stat` after the command name, with the state first. `None` if there is no such
/// process.
fn process_stat(pid: u32) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = text.rsplit_once(") ")?.1;
    Some(rest.split_whitespace().map(str::to_owned).collect())
}

/// The start time of a process (clock ticks).
fn start_ticks(pid: u32) -> Option<u64> {
    process_stat(pid)?.get(19)?.parse().ok()
}

/// Finds the address of the operators' socket in a process's log. A line without its line end is still being
/// written.
fn operators_address(log: &str) -> Option<SocketAddr> {
    let mut lines = log.split_inclusive('\n').filter_map(|line| line.strip_suffix('\n'));
    let line = lines.find(|line| line.contains(" answers operators on "))?;
    line.rsplit(' ').next()?.parse().ok()
}

impl Process {
    /// Returns a process that is already running; `None` if there is none with this pid.
    pub fn adopt(
        pid: u32,
        release: Release,
        operators: Option<SocketAddr>,
        log: Option<PathBuf>,
    ) -> Option<Process> {
        Some(Process { pid, start_ticks: start_ticks(pid)?, release, log, operators, child: None })
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        if let Some(child) = &mut self.child {
            return !matches!(child.try_wait(), Ok(None));
        }
        // A zombie has ended too, although its parent has not reaped it.
        let Some(fields) = process_stat(self.pid) else { return true };
        matches!(fields.first().map(String::as_str), Some("Z" | "X"))
            || fields.get(19).and_then(|f| f.parse().ok()) != Some(self.start_ticks)
    }

    /// Sends a signal, unless the pid belongs to another process now.
    pub fn signal(&self, signal: Signal) {
        if self.child.is_some() || start_ticks(self.pid) == Some(self.start_ticks) {
            let _ = kill(Pid::from_raw(self.pid as i32), signal);
        }
    }

    /// Looks for the address of the operators' socket in the log, if it is not known yet.
    pub fn find_operators_address(&mut self) {
        let (None, Some(log)) = (self.operators, &self.log) else { return };
        let Ok(text) = std::fs::read_to_string(log) else { return };
        self.operators = operators_address(&text);
    }

    /// Resident memory (KB), open descriptors and processor time (seconds).
    pub fn resource_usage(&self) -> (u64, u64, f64) {
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

/// The folder for the logs and saved settings of a front.
pub fn front_folder(state: &Path, front: &Front) -> PathBuf {
    state.join("fronts").join(&front.name)
}

/// The path of the saved settings of a release.
pub fn saved_settings_path(state: &Path, front: &Front, release: Release) -> PathBuf {
    front_folder(state, front).join(if release == Release::Old { "old" } else { "new" })
}

/// Starts a process of a front with the given settings file.
pub fn start(
    state: &Path,
    rollout: &str,
    (front, settings): (&Front, &Path),
    run: Run,
    release: Release,
    built: &Built,
) -> Result<Process> {
    let folder = front_folder(state, front);
    let log = folder.join(format!("{run}.log"));
    let file = std::fs::File::create(&log).with_context(|| format!("'{}'", log.display()))?;
    let child = Command::new(&built.program)
        .envs(&built.variables)
        .env("NODE_CONFIG", settings)
        .env("NODE_ADMIN_ADDR", SocketAddr::new(front.operators.ip(), 0).to_string())
        .env("TMPDIR", &front.folder)
        .env(RUN_VARIABLE, format!("{rollout} {} {run} {release:?}", front.name))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        // Signals from the tool's terminal must not reach the fronts.
        .process_group(0)
        .spawn()
        .with_context(|| format!("'{}'", built.program.display()))?;
    let pid = child.id();
    Ok(Process {
        pid,
        start_ticks: start_ticks(pid).unwrap_or(0),
        release,
        log: Some(log),
        operators: None,
        child: Some(child),
    })
}

/// Finds the running processes of a rollout, by front and run number.
pub fn find_processes(state: &Path, rollout: &str, fronts: &[Front]) -> BTreeMap<(usize, Run), Process> {
    let mut found = BTreeMap::new();
    let Ok(entries) = std::fs::read_dir("/proc") else { return found };
    for pid in entries.flatten().filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok()) {
        let Ok(environ) = std::fs::read(format!("/proc/{pid}/environ")) else { continue };
        let mut variables = environ.split(|b| *b == 0).filter_map(|v| std::str::from_utf8(v).ok());
        let Some(identity) = variables.find_map(|v| v.strip_prefix(RUN_VARIABLE)?.strip_prefix('=')) else {
            continue;
        };
        let parts: Vec<&str> = identity.rsplitn(4, ' ').collect();
        let [release, run, front, name] = parts[..] else { continue };
        let (Ok(run), Some(index)) = (run.parse(), fronts.iter().position(|f| f.name == front)) else {
            continue;
        };
        if name != rollout {
            continue;
        }
        let release = if release == "New" { Release::New } else { Release::Old };
        let log = front_folder(state, &fronts[index]).join(format!("{run}.log"));
        if let Some(mut process) = Process::adopt(pid, release, None, Some(log))
            && !process.has_ended()
        {
            process.find_operators_address();
            found.insert((index, run), process);
        }
    }
    found
}

/// Queries the version of a process.
pub async fn query_version(operators: SocketAddr) -> Result<Version> {
    let answer = Query::Version.send(operators).await?;
    let fields: BTreeMap<&str, &str> =
        answer.split_whitespace().filter_map(|field| field.split_once('=')).collect();
    let hex = |key: &str| fields.get(key).and_then(|v| u64::from_str_radix(v, 16).ok());
    let number = |key: &str| fields.get(key).and_then(|v| v.parse().ok());
    match (hex("build"), hex("settings"), number("homes"), number("pid")) {
        (Some(build), Some(settings), Some(placement_rule), Some(pid)) => {
            Ok(Version { digests: ReleaseDigests { build, settings }, placement_rule, pid })
        }
        _ => bail!("the answer to 'version' is incomplete: {}", answer.trim()),
    }
}

/// The result of querying a process: its health, and its readings and version if it answers.
pub struct ProcessReport {
    pub health: Health,
    pub reading: Option<Reading>,
    pub version: Option<Version>,
}

/// The answers of a process that accepts clients.
struct FrontAnswers {
    version: Version,
    /// The answers to `counters` and `slow`.
    series: String,
}

impl FrontAnswers {
    /// Returns the value of a class's time series.
    fn series_value(&self, name: &str, class: &str) -> Option<u64> {
        let prefix = format!("{name}{{tier=\"{class}\"}} ");
        let value = self.series.lines().find_map(|line| line.strip_prefix(&prefix))?;
        value.trim().parse().ok()
    }

    /// Returns the counts of a class; `None` if one is missing.
    fn counts(&self, class: &str) -> Option<Counts> {
        Some(Counts {
            served: self.series_value("front_success", class)?,
            busy: self.series_value("front_busy", class)?,
            failed: self.series_value("front_failure", class)?,
            calls: self.series_value("front_backend_calls", class)?,
            slow: self.series_value("front_slow", class)?,
        })
    }

    /// The health of a process that was started with `release`; `digests` are those of the old and the new
    /// release.
    fn health(&self, release: Release, digests: [ReleaseDigests; 2]) -> Health {
        let reports =
            |release: Release| self.version.digests == digests[usize::from(release == Release::New)];
        let other = if release == Release::New { Release::Old } else { Release::New };
        match () {
            () if reports(release) => Health::Serving(release),
            () if reports(other) => Health::Serving(other),
            () => Health::OtherBuild,
        }
    }
}

/// Queries health, version and counts. Returns `None` if the process accepts no clients.
async fn query_answers(operators: SocketAddr) -> Result<Option<FrontAnswers>> {
    if !Query::Health.send(operators).await?.starts_with("ok") {
        return Ok(None);
    }
    let version = query_version(operators).await?;
    let counters = Query::Counters.send(operators).await?;
    let slow = Query::Slow.send(operators).await?;
    Ok(Some(FrontAnswers { version, series: counters + &slow }))
}

/// Queries a process that was started with `release`; `digests` are those expected of the old and the new
/// release.
pub async fn query(
    operators: Option<SocketAddr>,
    run: Run,
    release: Release,
    digests: [ReleaseDigests; 2],
    classes: Vec<String>,
    usage: (u64, u64, f64),
) -> ProcessReport {
    let report = |health| ProcessReport { health, reading: None, version: None };
    // The process does not listen yet.
    let Some(operators) = operators else { return report(Health::NotServing) };
    let answers = match query_answers(operators).await {
        Ok(Some(answers)) => answers,
        Ok(None) => return report(Health::NotServing),
        Err(error) => {
            tracing::debug!("process {run} at {operators}: {error:#}");
            return report(Health::NoAnswer);
        }
    };
    let classes: Option<Vec<Counts>> = classes.iter().map(|class| answers.counts(class)).collect();
    let (memory_kb, descriptors, processor_s) = usage;
    let reading = classes.map(|classes| Reading { run, classes, memory_kb, descriptors, processor_s });
    ProcessReport { health: answers.health(release, digests), reading, version: Some(answers.version) }
}

#[cfg(test)]
mod tests;
