//! The front processes of a fleet, each with its own configuration, coordinator and folder.

use super::plan::Plan;
use super::terminations::Terminations;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use onyxyoke_stand_ins::coordinator::{Coordinator, Member};
use onyxyoke_stand_ins::fleet::{Kind, Tier};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::{Mutex, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Timeout of the start and of the exit of a process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between health checks of a front that is not ready.
const HEALTH_INTERVAL: Duration = Duration::from_millis(20);
/// Limit of a front's file descriptors.
const SOCKET_LIMIT: usize = 256;

/// Returns the settings that all fronts share; each front adds its own place and location.
pub fn settings(plan: &Plan) -> Result<Value, Box<dyn Error>> {
    let operator: Value = toml::from_str(crate::OPERATOR_EXAMPLE)?;
    let mut settings = operator["settings"].clone();
    let fronts_at = |l: usize| (0..plan.fronts).filter(|f| plan.location(*f) == l).count();
    let counts = (0..plan.locations).map(fronts_at);
    let names = (0..plan.locations).map(|l| format!("branch{l}"));
    let links: f64 = (0..plan.nodes).map(|n| plan.link(n)).sum();
    let flow = settings["specifics"]["one-flow-kb-per-s"]
        .as_f64()
        .ok_or("the example settings lack 'specifics.one-flow-kb-per-s'")?;
    let link_in = links / plan.locations as f64 * flow;
    settings["fleet-size"] = json!(plan.fronts);
    settings["localities"] = [String::from("hub")].into_iter().chain(names).collect();
    settings["specifics"]["count-by-zone"] = [0].into_iter().chain(counts).collect();
    settings["specifics"]["zone-hub"] = json!(vec![0; plan.locations + 1]);
    settings["specifics"]["pipe-kb-per-s"] =
        [0.0].into_iter().chain((0..plan.locations).map(|_| link_in)).collect();
    Ok(settings)
}

/// Which memory limit a front's settings contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryLimit {
    /// The limit of the plan.
    Planned,
    /// Less than the program itself needs, so that the front refuses everything beyond its reserves.
    BelowProgram,
}

/// Less memory than any build of the program needs (megabytes).
const BELOW_PROGRAM_MB: usize = 4;

/// A front, whose process may be restarted and replaced.
pub struct Front {
    pub place: usize,
    pub coordinator: Rc<Coordinator>,
    /// The address for new client connections; `None` while clients must not open any.
    pub address: Cell<Option<SocketAddr>>,
    /// The address at which the newest process accepts operators' commands.
    operators: Cell<Option<SocketAddr>>,
    program: PathBuf,
    folder: PathBuf,
    /// The file that collects the logs of its processes, if any; each line gets the time since `created_at`.
    log: Option<PathBuf>,
    created_at: Instant,
    config: RefCell<Value>,
    child: RefCell<Option<Child>>,
    /// The process is expected to run, so that an exit of its own counts as a crash.
    pub should_run: Cell<bool>,
    pub crashed: Cell<bool>,
    /// Clients keep using their open connections, though they open no new ones.
    pub keeps_connections: Cell<bool>,
    /// The times at which its processes got SIGTERM.
    pub terminations: Terminations,
    /// Locked during a series of signals, since the next series is meant for the process that this one
    /// leaves.
    pub cycle_lock: Mutex<()>,
    /// How often the test killed all processes of a front that a rollout restarts, and the number of kills
    /// after which a client last got an answer. While the two differ, refused connections are expected.
    pub kills: Cell<u32>,
    pub answered_kills: Cell<u32>,
}

impl Front {
    /// Creates a front whose process is not started yet.
    pub async fn new(
        plan: &Plan,
        place: usize,
        settings: &Value,
        tier: &Tier,
        (folder, logs): (&Path, Option<&Path>),
    ) -> Result<Rc<Front>, Box<dyn Error>> {
        let mut share_sum = 0.0;
        let share = (place / plan.locations) as f64 / (plan.fronts / plan.locations).max(1) as f64;
        let covers_place = |p: &super::plan::Program| {
            share_sum += p.share;
            share < share_sum - 1e-9
        };
        let index = plan.programs.iter().position(covers_place).unwrap_or(plan.programs.len() - 1);
        let program = match &plan.programs[index].path {
            Some(path) => path.clone(),
            None => std::env::current_exe()?.with_file_name("onyxyoke"),
        };
        let folder = folder.join(format!("front{place}"));
        std::fs::create_dir_all(&folder)?;
        let coordinator = Coordinator::start(1).await?;
        let mut settings = settings.clone();
        settings["me"] = json!(place);
        settings["az"] = json!(plan.location(place) + 1);
        // All processes of a rollout listen on the address of the first, so the settings file needs a fixed
        // address.
        let listen = match plan.rollout {
            None => "127.0.0.1:0".to_owned(),
            Some(_) => {
                let port = 10_000 + std::process::id() % 20_000;
                format!("127.1.{}.{}:{port}", place / 200, place % 200 + 1)
            }
        };
        let config = json!({"name": format!("n{place}"), "listen": listen,
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": SOCKET_LIMIT},
            "coordinator": coordinator.address, "settings": settings, "known": known_members(place, tier)?});
        Ok(Rc::new(Front {
            place,
            coordinator,
            address: Cell::new(None),
            operators: Cell::new(None),
            program,
            folder,
            log: logs.map(|l| l.join(format!("front{place}.log"))),
            created_at: Instant::now(),
            config: RefCell::new(config),
            child: RefCell::new(None),
            should_run: Cell::new(false),
            crashed: Cell::new(false),
            keeps_connections: Cell::new(false),
            terminations: Terminations::default(),
            cycle_lock: Mutex::default(),
            kills: Cell::new(0),
            answered_kills: Cell::new(0),
        }))
    }

    /// Starts a process with the current membership and this seed, waits until it serves, and returns the
    /// process before it.
    pub async fn start(self: &Rc<Self>, tier: &Tier, seed: u64) -> Result<Option<Child>, Box<dyn Error>> {
        let file = self.settings_file();
        {
            let mut config = self.config.borrow_mut();
            config["known"] = known_members(self.place, tier)?;
            config["known"]["index"] = json!(self.coordinator.last_number());
            config["known"]["updates"][0]["index"] = config["known"]["index"].clone();
            config["seed"] = json!(format!("{seed:016x}"));
            std::fs::write(&file, config.to_string())?;
        }
        let listed = tier.nodes.iter().filter_map(|n| member(tier, n.place, self.place, 0));
        self.coordinator.record_known_states(listed.map(|m| (m.id, m.state)));
        let mut child = self.spawn(Stdio::piped())?;
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let (sender, serving) = oneshot::channel();
        let this = self.clone();
        let log = self.log.as_ref().map(|l| std::fs::OpenOptions::new().create(true).append(true).open(l));
        let mut log = log.transpose()?;
        spawn_local(async move {
            let mut lines = BufReader::new(stderr).lines();
            let mut sender = Some(sender);
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(log) = &mut log {
                    let _ = writeln!(log, "{:.3} {line}", this.created_at.elapsed().as_secs_f64());
                }
                if line.contains(" answers operators on ") {
                    this.operators.set(line.rsplit(' ').next().and_then(|a| a.parse().ok()));
                }
                if let Some(sender) = sender.take_if(|_| line.contains(" serves on ")) {
                    let _ = sender.send(line);
                }
            }
        });
        let line = timeout(PROCESS_TIMEOUT, serving).await?.map_err(|_| "a front exited before it served")?;
        let address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or(line)?;
        self.config.borrow_mut()["listen"] = json!(address);
        self.address.set(Some(address));
        self.should_run.set(true);
        Ok(self.child.borrow_mut().replace(child))
    }

    /// Spawns a process with the current settings file, without waiting until it serves.
    pub fn spawn(&self, log: Stdio) -> Result<Child, Box<dyn Error>> {
        let child = Command::new(&self.program)
            .env_remove("ONYXYOKE_OPERATOR")
            .env("NODE_ADMIN_ADDR", "127.0.0.1:0")
            .env("NODE_CONFIG", self.settings_file())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("cannot start '{}': {e}", self.program.display()))?;
        Ok(child)
    }

    /// Has the process reload its settings: usable ones with another memory limit, or an unusable file.
    pub fn reload(&self, usable: bool) {
        let mut config = self.config.borrow().clone();
        config["limits"]["memory_mb"] = json!(config["limits"]["memory_mb"].as_u64().unwrap_or(64) + 1);
        self.reload_text(if usable { config.to_string() } else { "{".to_owned() });
    }

    /// Has the process reload its settings with this memory limit.
    pub fn limit_memory(&self, limit: MemoryLimit) {
        let mut config = self.config.borrow().clone();
        if limit == MemoryLimit::BelowProgram {
            config["limits"]["memory_mb"] = json!(BELOW_PROGRAM_MB);
        }
        self.reload_text(config.to_string());
    }

    /// Replaces the settings file and sends SIGHUP.
    fn reload_text(&self, text: String) {
        let next = self.folder.join("config.next");
        if std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, self.settings_file())).is_ok() {
            self.signal(Signal::SIGHUP);
        }
    }

    /// Takes the newest process out, so that its exit no longer counts as a crash.
    pub fn take_process(&self) -> Option<Child> {
        self.should_run.set(false);
        self.child.borrow_mut().take()
    }

    /// Waits until the health check succeeds.
    pub async fn wait_until_ready(&self) {
        while !self.is_healthy().await.unwrap_or(false) {
            sleep(HEALTH_INTERVAL).await;
        }
    }

    /// Returns whether the process answers a health check with yes.
    async fn is_healthy(&self) -> std::io::Result<bool> {
        let Some(address) = self.address.get() else { return Ok(false) };
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*3\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n$0\r\n\r\n").await?;
        let mut lines = BufReader::new(stream).lines();
        // Skips the array's header, the tag's length and value, and the length of the result.
        for _ in 0..4 {
            lines.next_line().await?;
        }
        Ok(lines.next_line().await?.is_some_and(|word| word == "yes"))
    }

    /// The front's name in its settings.
    pub fn name(&self) -> String {
        format!("n{}", self.place)
    }

    pub fn settings_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn program(&self) -> PathBuf {
        self.program.clone()
    }

    /// The address at which the newest process accepts operators' commands, once it has logged it.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators.get()
    }

    /// Returns whether the process that the test started still runs.
    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Leaves the front to a rollout, which may end the first process.
    pub fn hand_over(&self) {
        self.should_run.set(false);
    }

    /// Sends an operator's command, and returns whether the front accepted it.
    pub async fn send_command(&self, line: &str) -> bool {
        let Some(address) = self.operators.get() else { return false };
        is_accepted(address, line).await
    }

    /// Sends the newest process a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.borrow().as_ref() {
            send_signal(child, signal);
        }
    }

    /// Kills the newest process.
    pub async fn kill(&self) {
        self.should_run.set(false);
        self.address.set(None);
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Ends the newest process with SIGTERM, as the platform does; clients open connections until it has
    /// exited. Returns whether its exit code was 0.
    pub async fn terminate(&self) -> bool {
        self.should_run.set(false);
        let child = self.child.borrow_mut().take();
        let exited_well = terminate(child).await;
        self.address.set(None);
        exited_well
    }

    /// Checks whether the process exited by itself.
    pub fn check_for_crash(&self) {
        if let Some(child) = self.child.borrow_mut().as_mut().filter(|_| self.should_run.get())
            && !matches!(child.try_wait(), Ok(None))
        {
            self.crashed.set(true);
        }
    }

    /// Processor time of the newest process (seconds).
    pub fn processor_s(&self) -> f64 {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        let stat = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok());
        let first = stat.and_then(|s| s.split(' ').next().and_then(|n| n.parse::<f64>().ok()));
        first.unwrap_or(0.0) / 1e9
    }
}

/// Sends a signal to a process that has not been waited for yet.
pub fn send_signal(child: &Child, signal: Signal) {
    if let Some(id) = child.id() {
        let _ = kill(Pid::from_raw(id as i32), signal);
    }
}

/// Ends a process with SIGTERM, and returns whether its exit code was 0.
pub async fn terminate(child: Option<Child>) -> bool {
    let Some(mut child) = child else { return true };
    send_signal(&child, Signal::SIGTERM);
    matches!(timeout(PROCESS_TIMEOUT, child.wait()).await, Ok(Ok(status)) if status.success())
}

/// Returns a node's entry in the membership list of a front, if the front has an address for the node.
pub fn member(tier: &Tier, node: usize, front: usize, location: usize) -> Option<Member> {
    let n = &tier.nodes[node];
    let (zone, kind) = match n.kind {
        Kind::Cache => (location as u8 + 1, 0),
        Kind::Parent => (0, 1),
        Kind::Origin => (0, 2),
    };
    let address = n.address(front)?;
    let (state, started) = n.listed();
    Some(Member { id: n.id(), address, state, zone, kind, weight: n.usual_capacity, started_ms: started })
}

/// Returns the whole membership list for the settings of a front's new process.
fn known_members(front: usize, tier: &Tier) -> Result<Value, Box<dyn Error>> {
    let kinds = ["standard", "parent", "origin"];
    let mut members = Vec::new();
    for node in 0..tier.nodes.len() {
        // A front has addresses only for nodes of its own location, for parents and for the origin.
        let Some(m) = member(tier, node, front, 0).filter(|m| m.state != 2) else { continue };
        members.push((m, tier.nodes[node].zone.clone()));
    }
    let members: Vec<Value> = members
        .iter()
        .map(|(m, zone)| {
            json!({"id": format!("s-{:08x}", m.id), "host_port": m.address, "cell": 0,
                "phase": if m.state == 0 { "active" } else { "leaving" }, "size": m.weight, "locality": zone,
                "flavor": kinds[usize::from(m.kind)], "up_since_ms": m.started_ms})
        })
        .collect();
    Ok(json!({"index": 1, "updates": [{"index": 1, "endpoints":
        {"revision": 1, "complete": true, "members": members}}]}))
}

/// Sends an operator's command, and returns whether the reply is a complete confirmation.
async fn is_accepted(operators: SocketAddr, line: &str) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut reply = String::new();
        BufReader::new(stream).read_line(&mut reply).await?;
        std::io::Result::Ok(reply)
    };
    let confirms = |reply: &str| reply.starts_with("ok") && reply.ends_with('\n');
    matches!(timeout(COMMAND_TIMEOUT, exchange).await, Ok(Ok(reply)) if confirms(&reply))
}

#[cfg(test)]
mod tests;
