//! A rollout over the fronts of a fleet: `onyxyoke-rollout` as a process, killed and stopped as the plan says, and judged
//! by which processes run in the end, not by what it says of itself.

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

/// Looked at this often.
const LOOK: Duration = Duration::from_millis(20);
/// Processes that were told to end have so long.
const ENDING: Duration = Duration::from_secs(6);

/// A process that a rollout started: its front's name, its number, and what it is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    pub pid: i32,
    pub front: String,
    pub new: bool,
}

/// All processes of the rollout of this name that run, by what their environment says.
pub fn processes(name: &str) -> Vec<Started> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|n| n.parse::<i32>().ok()) else { continue };
        let Ok(environ) = std::fs::read(entry.path().join("environ")) else { continue };
        let text = String::from_utf8_lossy(&environ);
        let Some(named) = text.split('\0').find_map(|v| v.strip_prefix("ONYXYOKE_RUN=")) else { continue };
        let words: Vec<&str> = named.split(' ').collect();
        if let [rollout, front, _, side] = words[..]
            && rollout == name
        {
            found.push(Started { pid, front: front.to_owned(), new: side == "New" });
        }
    }
    found
}

/// Ends whatever a rollout started, when a rig ends however it ends.
pub struct ProcessCleanup(pub String);

impl Drop for ProcessCleanup {
    fn drop(&mut self) {
        for p in processes(&self.0) {
            let _ = kill(Pid::from_raw(p.pid), Signal::SIGKILL);
        }
    }
}

/// One rollout, driven.
pub struct RolloutRun {
    spec: Rollout,
    pub name: String,
    folder: PathBuf,
    tool: RefCell<Option<Child>>,
    /// Its exit code, once it ended by itself; how often it was killed.
    pub code: Cell<Option<i32>>,
    pub killed: Cell<usize>,
}

impl RolloutRun {
    pub fn new(spec: &Rollout, name: String, folder: &Path) -> Rc<RolloutRun> {
        let folder = folder.join("rollout");
        let (tool, code, killed) = (RefCell::new(None), Cell::new(None), Cell::new(0));
        Rc::new(RolloutRun { spec: spec.clone(), name, folder, tool, code, killed })
    }

    /// Writes the tool's plan: the fronts as they run now.
    pub fn write(&self, fleet: &Fleet) -> Result<(), Box<dyn Error>> {
        std::fs::create_dir_all(&self.folder)?;
        let mut fronts = Vec::new();
        for front in &fleet.fronts {
            let config = front.settings_file();
            let mut one = json!({"name": front.name(), "location": format!("branch{}", fleet.plan.location(front.place)),
                "operators": front.operators().ok_or("a front answers no operators")?, "settings": config,
                "folder": front.folder()});
            if let Some(patch) = &self.spec.settings {
                let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(&config)?)?;
                merge(&mut settings, patch);
                let path = config.with_extension("new.json");
                std::fs::write(&path, settings.to_string())?;
                one["new_settings"] = json!(path);
            }
            fronts.push(one);
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

    fn start(&self) -> Result<(), Box<dyn Error>> {
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
            .map_err(|e| format!("'{}' does not start: {e}", tool.display()))?;
        self.tool.replace(Some(child));
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.tool.borrow().as_ref().and_then(Child::id) {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    fn reloads(&self) -> bool {
        self.spec.limits.get("reload") == Some(&Value::Bool(true))
    }

    fn records(&self) -> usize {
        let text = std::fs::read(self.folder.join("state").join("journal")).unwrap_or_default();
        text.iter().filter(|b| **b == b'\n').count()
    }

    /// What the tool logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Runs the tool until it ends by itself: killed once its journal has so many records, and started again; stopped
    /// and going on; told words.
    pub async fn drive(self: Rc<Self>, begun: Instant) -> Result<(), Box<dyn Error>> {
        sleep_until(begun + Duration::from_secs_f64(self.spec.at)).await;
        let mut kills = self.spec.killed_at.clone();
        kills.sort_unstable();
        let mut kills = kills.into_iter().peekable();
        let mut words = self.spec.words.clone();
        let mut stopped = self.spec.stopped;
        self.start()?;
        loop {
            sleep(LOOK).await;
            let passed = begun.elapsed().as_secs_f64() - self.spec.at;
            let ended = self.tool.borrow_mut().as_mut().and_then(|t| t.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.code.set(Some(status.code().unwrap_or(-1)));
                return Ok(());
            }
            if kills.next_if(|n| self.records() >= *n).is_some() {
                self.signal(Signal::SIGKILL);
                let tool = self.tool.borrow_mut().take();
                if let Some(mut tool) = tool {
                    let _ = tool.wait().await;
                }
                self.killed.set(self.killed.get() + 1);
                self.start()?;
            }
            if let Some((from, until)) = stopped {
                if passed >= until {
                    self.signal(Signal::SIGCONT);
                    stopped = None;
                } else if passed >= from {
                    self.signal(Signal::SIGSTOP);
                }
            }
            if let Some(at) = words.iter().position(|w| passed >= w.0) {
                let (_, word) = words.remove(at);
                let tool = std::env::current_exe()?.with_file_name("onyxyoke-rollout");
                let state = self.folder.join("state");
                let said = Command::new(tool).arg("--state").arg(state).arg(&word).output().await?;
                if !said.status.success() {
                    return Err(format!("'{word}': {}", String::from_utf8_lossy(&said.stderr)).into());
                }
            }
        }
    }

    /// What does not hold: how it ended, and which processes run now.
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
        let end = name(self.code.get());
        if let Some(wanted) = &self.spec.end
            && wanted != end
        {
            wrong.push(format!("the rollout is '{end}', not '{wanted}'; {}", self.log()));
        }
        let running = processes(&self.name);
        for front in &fleet.fronts {
            let mine: Vec<&Started> = running.iter().filter(|p| p.front == front.name()).collect();
            let first = front.is_running();
            let reloaded = || {
                let file = |path: &Path| std::fs::read(path).ok();
                let settings = front.settings_file();
                file(&settings) == file(&settings.with_extension("new.json"))
            };
            let held = match end {
                // One process, whoever started it, and the new settings in its file: it said that it has read them.
                "done" if self.reloads() => mine.len() + usize::from(first) == 1 && reloaded(),
                "done" => !first && mine.len() == 1 && mine[0].new,
                "stopped" | "aborted" => mine.len() + usize::from(first) == 1 && mine.iter().all(|p| !p.new),
                _ => true,
            };
            if !held {
                wrong.push(format!("{end}, and front {} runs {mine:?}, its first one {first}", front.place));
            }
        }
        if self.killed.get() < self.spec.killed_at.len() {
            wrong.push(format!("the tool was killed {} times only", self.killed.get()));
        }
        wrong
    }

    /// Ends every process by SIGTERM; those whose exit is late.
    pub async fn end(&self) -> usize {
        for p in processes(&self.name) {
            let _ = kill(Pid::from_raw(p.pid), Signal::SIGTERM);
        }
        let by = Instant::now() + ENDING;
        while !processes(&self.name).is_empty() && Instant::now() < by {
            sleep(LOOK).await;
        }
        processes(&self.name).len()
    }

    /// Where its figures are kept.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Changes a tree by another: what it names is replaced.
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
