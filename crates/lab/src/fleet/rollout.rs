//! A rollout over the fronts of a fleet: runs `onyxyoke-rollout` as a process, kills and stops it as the plan
//! says, and judges it by the processes that run at the end rather than by its own reports.

use super::Fleet;
use super::plan::Rollout;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, sleep_until};

/// Interval between checks of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of the exit of processes after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// A process that a rollout started: its id, its front's name, and whether it belongs to the new side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutProcess {
    pub pid: i32,
    pub front: String,
    pub new: bool,
}

/// Returns the running processes of the rollout of this name, found by the `ONYXYOKE_RUN` of their
/// environments.
pub fn processes(name: &str) -> Vec<RolloutProcess> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|n| n.parse::<i32>().ok()) else { continue };
        let Ok(environ) = std::fs::read(entry.path().join("environ")) else { continue };
        let text = String::from_utf8_lossy(&environ);
        let Some(run) = text.split('\0').find_map(|v| v.strip_prefix("ONYXYOKE_RUN=")) else { continue };
        let words: Vec<&str> = run.split(' ').collect();
        if let [rollout, front, _, side] = words[..]
            && rollout == name
        {
            found.push(RolloutProcess { pid, front: front.to_owned(), new: side == "New" });
        }
    }
    found
}

/// Kills all processes of the rollout of this name on drop, however the test ends.
pub struct ProcessCleanup(pub String);

impl Drop for ProcessCleanup {
    fn drop(&mut self) {
        for p in processes(&self.0) {
            let _ = kill(Pid::from_raw(p.pid), Signal::SIGKILL);
        }
    }
}

/// One run of a rollout over the fleet.
pub struct RolloutRun {
    spec: Rollout,
    pub name: String,
    folder: PathBuf,
    tool: RefCell<Option<Child>>,
    /// The tool's exit code, once it has exited by itself.
    pub exit_code: Cell<Option<i32>>,
    /// How often the tool was killed.
    pub kills: Cell<usize>,
}

impl RolloutRun {
    pub fn new(spec: &Rollout, name: String, folder: &Path) -> Rc<RolloutRun> {
        let folder = folder.join("rollout");
        let (tool, exit_code, kills) = (RefCell::new(None), Cell::new(None), Cell::new(0));
        Rc::new(RolloutRun { spec: spec.clone(), name, folder, tool, exit_code, kills })
    }

    /// Writes the tool's plan for the fronts that run now.
    pub fn write_plan(&self, fleet: &Fleet) -> Result<(), Box<dyn Error>> {
        std::fs::create_dir_all(&self.folder)?;
        let mut fronts = Vec::new();
        for front in &fleet.fronts {
            let config = front.settings_file();
            let location = format!("branch{}", fleet.plan.location(front.place));
            let operators = front.operators().ok_or("a front accepts no operators' commands")?;
            let mut entry = json!({"name": front.name(), "location": location,
                "operators": operators, "settings": config,
                "folder": front.folder()});
            if let Some(patch) = &self.spec.settings {
                let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(&config)?)?;
                merge(&mut settings, patch);
                let path = config.with_extension("new.json");
                std::fs::write(&path, settings.to_string())?;
                entry["new_settings"] = json!(path);
            }
            fronts.push(entry);
        }
        let old = fleet.fronts[0].program();
        let new = self.spec.program.clone().unwrap_or_else(|| old.clone());
        let plan = json!({"name": self.name, "old": {"program": old},
            "new": {"program": new, "variables": self.spec.variables}, "fronts": fronts,
            "classes": ["media", "holds"], "spans": self.spec.spans, "limits": self.spec.limits,
            "gates": self.spec.gates, "seed": self.spec.seed});
        std::fs::write(self.folder.join("plan.json"), serde_json::to_string_pretty(&plan)?)?;
        Ok(())
    }

    /// Starts the tool, or starts it again from its saved state.
    fn start_tool(&self) -> Result<(), Box<dyn Error>> {
        let tool = std::env::current_exe()?.with_file_name("onyxyoke-rollout");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new(&tool)
            .arg("--state")
            .arg(self.folder.join("state"))
            .arg("start")
            .arg(self.folder.join("plan.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("cannot start '{}': {e}", tool.display()))?;
        self.tool.replace(Some(child));
        Ok(())
    }

    fn signal_tool(&self, signal: Signal) {
        if let Some(id) = self.tool.borrow().as_ref().and_then(Child::id) {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Returns whether the rollout reloads settings instead of replacing processes.
    fn is_reload(&self) -> bool {
        self.spec.limits.get("reload") == Some(&Value::Bool(true))
    }

    /// Number of records in the tool's journal.
    fn journal_records(&self) -> usize {
        let text = std::fs::read(self.folder.join("state").join("journal")).unwrap_or_default();
        text.iter().filter(|b| **b == b'\n').count()
    }

    /// The tool's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Runs the tool until it exits by itself. Meanwhile kills and restarts it at the planned numbers of
    /// journal records, stops and continues it, and runs the operators' commands of the plan.
    pub async fn control(self: Rc<Self>, started_at: Instant) -> Result<(), Box<dyn Error>> {
        sleep_until(started_at + Duration::from_secs_f64(self.spec.at)).await;
        let mut kill_counts = self.spec.killed_at.clone();
        kill_counts.sort_unstable();
        let mut kill_counts = kill_counts.into_iter().peekable();
        let mut commands = self.spec.words.clone();
        let mut stopped = self.spec.stopped;
        self.start_tool()?;
        loop {
            sleep(POLL_INTERVAL).await;
            let passed = started_at.elapsed().as_secs_f64() - self.spec.at;
            let exit = self.tool.borrow_mut().as_mut().and_then(|t| t.try_wait().ok().flatten());
            if let Some(status) = exit {
                self.exit_code.set(Some(status.code().unwrap_or(-1)));
                return Ok(());
            }
            if kill_counts.next_if(|n| self.journal_records() >= *n).is_some() {
                self.signal_tool(Signal::SIGKILL);
                let tool = self.tool.borrow_mut().take();
                if let Some(mut tool) = tool {
                    let _ = tool.wait().await;
                }
                self.kills.set(self.kills.get() + 1);
                self.start_tool()?;
            }
            if let Some((from, until)) = stopped {
                if passed >= until {
                    self.signal_tool(Signal::SIGCONT);
                    stopped = None;
                } else if passed >= from {
                    self.signal_tool(Signal::SIGSTOP);
                }
            }
            if let Some(index) = commands.iter().position(|c| passed >= c.0) {
                let (_, command) = commands.remove(index);
                let tool = std::env::current_exe()?.with_file_name("onyxyoke-rollout");
                let state = self.folder.join("state");
                let output = Command::new(tool).arg("--state").arg(state).arg(&command).output().await?;
                if !output.status.success() {
                    return Err(format!("'{command}': {}", String::from_utf8_lossy(&output.stderr)).into());
                }
            }
        }
    }

    /// Returns what is wrong with the end of the rollout and with the processes that run now.
    pub fn judge(&self, fleet: &Fleet) -> Vec<String> {
        let mut wrong = Vec::new();
        let name = |code| match code {
            Some(0) => "done",
            Some(3) => "stopped",
            Some(4) => "aborted",
            Some(5) => "failed",
            Some(_) => "not run",
            None => "not over",
        };
        let end = name(self.exit_code.get());
        if let Some(wanted) = &self.spec.end
            && wanted != end
        {
            wrong.push(format!("the rollout is '{end}', not '{wanted}'; {}", self.log()));
        }
        let running = processes(&self.name);
        for front in &fleet.fronts {
            let started: Vec<&RolloutProcess> = running.iter().filter(|p| p.front == front.name()).collect();
            let first_runs = front.is_running();
            let reloaded = || {
                let file = |path: &Path| std::fs::read(path).ok();
                let settings = front.settings_file();
                file(&settings) == file(&settings.with_extension("new.json"))
            };
            let as_expected = match end {
                // One process, started by the test or by the rollout, and the new settings in its file, which
                // it has confirmed to have read.
                "done" if self.is_reload() => started.len() + usize::from(first_runs) == 1 && reloaded(),
                "done" => !first_runs && started.len() == 1 && started[0].new,
                "stopped" | "aborted" => {
                    started.len() + usize::from(first_runs) == 1 && started.iter().all(|p| !p.new)
                }
                _ => true,
            };
            if !as_expected {
                wrong.push(format!(
                    "the rollout is '{end}', but front {} runs {started:?}, its first process: {first_runs}",
                    front.place
                ));
            }
        }
        if self.kills.get() < self.spec.killed_at.len() {
            wrong.push(format!("the tool was killed only {} times", self.kills.get()));
        }
        wrong
    }

    /// Ends all processes of the rollout with SIGTERM, and returns how many still run at the timeout.
    pub async fn end_processes(&self) -> usize {
        for p in processes(&self.name) {
            let _ = kill(Pid::from_raw(p.pid), Signal::SIGTERM);
        }
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while !processes(&self.name).is_empty() && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        processes(&self.name).len()
    }

    /// The folder of the tool's plan, log and state.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Merges a JSON patch into a tree: values that the patch names are replaced.
fn merge(tree: &mut Value, patch: &Value) {
    match (tree, patch) {
        (Value::Object(tree), Value::Object(patch)) => {
            for (key, value) in patch {
                merge(tree.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (tree, patch) => *tree = patch.clone(),
    }
}
