//! The front as a process: starts it with a configuration of the lab, samples, reloads and stops it.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use onyxyoke_stand_ins::coordinator::Member;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Timeout for a log line, and for the end of the process.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of log lines that are kept for a report.
const MAX_LOG_LINES: usize = 40;

/// One memory account, in bytes; `refused` counts requests.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Account {
    pub now: u64,
    pub peak: u64,
    pub cap: u64,
    pub guarantee: u64,
    pub reserve: u64,
    pub borrowed: u64,
    pub refused: u64,
}

/// One sample of the front.
#[derive(Debug, Clone, Default)]
pub struct ProcessSample {
    /// Resident set size in bytes.
    pub resident: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// The memory accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Shared memory that no account uses, in bytes.
    pub free: u64,
    /// The pressure level.
    pub level: String,
}

/// A running front.
pub struct Front {
    pub address: SocketAddr,
    child: Child,
    pid: u32,
    /// Log lines that carry the listening address or the memory accounts.
    lines: UnboundedReceiver<String>,
    /// The last log lines, without counters and memory accounts.
    last_lines: Rc<RefCell<VecDeque<String>>>,
    file: PathBuf,
    config: Value,
}

impl Front {
    /// Starts the program under these limits, with the current membership list.
    pub async fn start(
        program: &Path,
        (memory_mb, sockets): (usize, usize),
        members: &[Member],
        coordinator: SocketAddr,
    ) -> Result<Front, Box<dyn Error>> {
        let operator: Value = toml::from_str(crate::OPERATOR_EXAMPLE)?;
        let kinds = ["standard", "parent", "origin"];
        let member = |m: &Member| {
            json!({"id": format!("s-{:08x}", m.id), "host_port": m.address, "cell": 0, "phase": "active",
                "size": m.weight, "locality": if m.zone == 0 { "hub" } else { "branch" },
                "flavor": kinds[usize::from(m.kind)], "up_since_ms": 0})
        };
        let members: Vec<Value> = members.iter().map(member).collect();
        let config = json!({"name": "soaked", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "coordinator": coordinator,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints":
                {"revision": 1, "complete": true, "members": members}}]}, "settings": operator["settings"]});
        let file = std::env::temp_dir().join(format!("onyxyoke-lab-{}.json", std::process::id()));
        std::fs::write(&file, config.to_string())?;
        let mut child = Command::new(program)
            .env_remove("ONYXYOKE_OPERATOR")
            .env_remove("RUST_BACKTRACE")
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("cannot start '{}': {e}", program.display()))?;
        let (sender, mut lines) = unbounded_channel();
        let last_lines: Rc<RefCell<VecDeque<String>>> = Rc::default();
        let mut log = BufReader::new(child.stderr.take().ok_or("no standard error")?).lines();
        let log_lines = last_lines.clone();
        spawn_local(async move {
            while let Ok(Some(line)) = log.next_line().await {
                if line.contains(": memory total=") {
                    let _ = sender.send(line);
                } else if !line.contains("counters requests=") || line.contains("at exit") {
                    let mut log_lines = log_lines.borrow_mut();
                    if log_lines.len() == MAX_LOG_LINES {
                        log_lines.pop_front();
                    }
                    let serves = line.contains(" serves on ");
                    log_lines.push_back(line.clone());
                    if serves {
                        let _ = sender.send(line);
                    }
                }
            }
        });
        let first = timeout(TIMEOUT, lines.recv()).await?.ok_or("the front did not start")?;
        let address = first.rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or(first)?;
        let pid = child.id().ok_or("the front has ended")?;
        Ok(Front { address, child, pid, lines, last_lines, file, config })
    }

    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.pid as i32), signal);
    }

    /// Halves all memory caps by a reload, or restores them.
    pub fn reload_caps(&self, halved: bool) {
        let mut config = self.config.clone();
        if halved {
            let usual = [
                ("clients", 0.15),
                ("caches", 0.1),
                ("bodies", 0.07),
                ("partial", 0.15),
                ("unread", 0.15),
                ("waiting", 0.1),
                ("learned", 0.1),
            ];
            config["memory"] =
                usual.iter().map(|(name, cap)| (name.to_string(), json!({"cap": cap}))).collect();
        }
        // The rename is atomic, so that the front never reads a partial file.
        let next = self.file.with_extension("next");
        if std::fs::write(&next, config.to_string()).and_then(|()| std::fs::rename(&next, &self.file)).is_ok()
        {
            self.signal(Signal::SIGHUP);
        }
    }

    /// Samples the process and its memory accounts; returns `None` if it has ended.
    pub async fn sample(&mut self) -> Option<ProcessSample> {
        if self.child.try_wait().ok()?.is_some() {
            return None;
        }
        let page = 4096;
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.pid)).ok()?;
        let resident = statm.split(' ').nth(1)?.parse::<u64>().ok()? * page;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).ok()?.count();
        self.signal(Signal::SIGUSR1);
        let line = timeout(TIMEOUT, self.lines.recv()).await.ok()??;
        let mut sample = ProcessSample { resident, descriptors, ..ProcessSample::default() };
        for (name, value) in line.split(' ').filter_map(|w| w.split_once('=')) {
            match name.split_once('.') {
                Some((account, figure)) => {
                    let account = sample.accounts.entry(account.to_owned()).or_default();
                    let field = match figure {
                        "now" => &mut account.now,
                        "peak" => &mut account.peak,
                        "cap" => &mut account.cap,
                        "guarantee" => &mut account.guarantee,
                        "reserve" => &mut account.reserve,
                        "borrowed" => &mut account.borrowed,
                        "refused" => &mut account.refused,
                        _ => continue,
                    };
                    *field = value.parse().ok()?;
                }
                None if name == "free" => sample.free = value.parse().ok()?,
                None if name == "level" => value.clone_into(&mut sample.level),
                None => {}
            }
        }
        Some(sample)
    }

    /// Returns the processor time that the process has used, in nanoseconds.
    pub fn processor_ns(&self) -> Result<u64, Box<dyn Error>> {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid))?;
        Ok(stat.split(' ').next().ok_or("an empty schedstat")?.parse()?)
    }

    /// Returns the last lines that it logged.
    pub fn last_lines(&self) -> Vec<String> {
        self.last_lines.borrow().iter().cloned().collect()
    }

    /// Sends SIGTERM, as the platform does; returns the exit code, or `None` after the timeout.
    pub async fn end(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let ended = timeout(TIMEOUT, self.child.wait()).await;
        sleep(Duration::from_millis(50)).await;
        let _ = std::fs::remove_file(&self.file);
        ended.ok()?.ok()?.code()
    }
}
