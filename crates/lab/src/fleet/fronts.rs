//! The fronts of a fleet as processes: each with a configuration, a coordinator and a folder of its own.

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

/// Longest wait for a process to start, or to end (seconds).
const PATIENCE: Duration = Duration::from_secs(30);
/// Longest that an operator waits (seconds).
const CALL: Duration = Duration::from_secs(1);
/// A front that is not ready is asked again after so long.
const LOOK: Duration = Duration::from_millis(20);
/// Descriptors that a front may have.
const SOCKETS: usize = 256;

/// The settings of every front, before it is told who it is.
pub fn settings(plan: &Plan) -> Result<Value, Box<dyn Error>> {
    let operator: Value = toml::from_str(crate::OPERATOR)?;
    let mut settings = operator["settings"].clone();
    let here = |l: usize| (0..plan.fronts).filter(|f| plan.location(*f) == l).count();
    let counts = (0..plan.locations).map(here);
    let names = (0..plan.locations).map(|l| format!("branch{l}"));
    let links: f64 = (0..plan.nodes).map(|n| plan.link(n)).sum();
    let flow = settings["specifics"]["one-flow-kb-per-s"].as_f64().ok_or("the example tells no flow")?;
    let link_in = links / plan.locations as f64 * flow;
    settings["fleet-size"] = json!(plan.fronts);
    settings["localities"] = [String::from("hub")].into_iter().chain(names).collect();
    settings["specifics"]["count-by-zone"] = [0].into_iter().chain(counts).collect();
    settings["specifics"]["zone-hub"] = json!(vec![0; plan.locations + 1]);
    settings["specifics"]["pipe-kb-per-s"] =
        [0.0].into_iter().chain((0..plan.locations).map(|_| link_in)).collect();
    Ok(settings)
}

/// A front's limit of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryLimit {
    /// What the plan says.
    Planned,
    /// Less than the program itself takes, so that all but the reserves is refused.
    BelowProgram,
}

/// Less than any build of the program takes (megabytes).
const BELOW_PROGRAM_MB: usize = 4;

/// A front: its process comes and goes.
pub struct Front {
    pub place: usize,
    pub coordinator: Rc<Coordinator>,
    /// Where its clients reach it, while it is up.
    pub address: Cell<Option<SocketAddr>>,
    /// Where operators call the newest process.
    operators: Cell<Option<SocketAddr>>,
    path: PathBuf,
    folder: PathBuf,
    /// Where what its processes log is kept, if it is, each line with the time since this.
    log: Option<PathBuf>,
    began: Instant,
    config: RefCell<Value>,
    child: RefCell<Option<Child>>,
    /// It is meant to be up: an end by itself is a crash.
    pub meant: Cell<bool>,
    pub crashed: Cell<bool>,
    /// Its clients go on using the connections that they have, though no new ones come.
    pub lingers: Cell<bool>,
    /// When its processes were told to end.
    pub terminations: Terminations,
    /// Held while its process goes through a series of signals: the next series is for the process that comes of this one.
    pub cycle_turn: Mutex<()>,
    /// How often the rig killed all its processes for another than the rig to start it again, and after how many of these a
    /// client has had an answer: in between nobody need take connections.
    pub kills: Cell<u32>,
    pub answered_after: Cell<u32>,
}

impl Front {
    /// A front that has not started yet.
    pub async fn new(
        plan: &Plan,
        place: usize,
        settings: &Value,
        tier: &Tier,
        (folder, logs): (&Path, Option<&Path>),
    ) -> Result<Rc<Front>, Box<dyn Error>> {
        let mut sum = 0.0;
        let share = (place / plan.locations) as f64 / (plan.fronts / plan.locations).max(1) as f64;
        let after = |p: &super::plan::Program| {
            sum += p.share;
            share < sum - 1e-9
        };
        let program = plan.programs.iter().position(after).unwrap_or(plan.programs.len() - 1);
        let path = match &plan.programs[program].path {
            Some(path) => path.clone(),
            None => std::env::current_exe()?.with_file_name("onyxyoke"),
        };
        let folder = folder.join(format!("front{place}"));
        std::fs::create_dir_all(&folder)?;
        let coordinator = Coordinator::start(1).await?;
        let mut settings = settings.clone();
        settings["me"] = json!(place);
        settings["az"] = json!(plan.location(place) + 1);
        // A rollout's processes listen where the first one does, so that the file has to say where.
        let listen = match plan.rollout {
            None => "127.0.0.1:0".to_owned(),
            Some(_) => {
                let port = 10_000 + std::process::id() % 20_000;
                format!("127.1.{}.{}:{port}", place / 200, place % 200 + 1)
            }
        };
        let config = json!({"name": format!("n{place}"), "listen": listen,
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": SOCKETS},
            "coordinator": coordinator.address, "settings": settings, "known": known(place, tier)?});
        Ok(Rc::new(Front {
            place,
            coordinator,
            address: Cell::new(None),
            operators: Cell::new(None),
            path,
            folder,
            log: logs.map(|l| l.join(format!("front{place}.log"))),
            began: Instant::now(),
            config: RefCell::new(config),
            child: RefCell::new(None),
            meant: Cell::new(false),
            crashed: Cell::new(false),
            lingers: Cell::new(false),
            terminations: Terminations::default(),
            cycle_turn: Mutex::default(),
            kills: Cell::new(0),
            answered_after: Cell::new(0),
        }))
    }

    /// Starts a process, with what is known by now and a seed of its own; the one before is given back.
    pub async fn start(self: &Rc<Self>, tier: &Tier, seed: u64) -> Result<Option<Child>, Box<dyn Error>> {
        let file = self.settings_file();
        {
            let mut config = self.config.borrow_mut();
            config["known"] = known(self.place, tier)?;
            config["known"]["index"] = json!(self.coordinator.told());
            config["known"]["updates"][0]["index"] = config["known"]["index"].clone();
            config["seed"] = json!(format!("{seed:016x}"));
            std::fs::write(&file, config.to_string())?;
        }
        let listed = tier.nodes.iter().filter_map(|n| member(tier, n.place, self.place, 0));
        self.coordinator.knows(listed.map(|m| (m.id, m.state)));
        let mut child = self.spawn(Stdio::piped())?;
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let (sender, serves) = oneshot::channel();
        let this = self.clone();
        let log = self.log.as_ref().map(|l| std::fs::OpenOptions::new().create(true).append(true).open(l));
        let mut log = log.transpose()?;
        spawn_local(async move {
            let mut lines = BufReader::new(stderr).lines();
            let mut sender = Some(sender);
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(log) = &mut log {
                    let _ = writeln!(log, "{:.3} {line}", this.began.elapsed().as_secs_f64());
                }
                if line.contains(" answers operators on ") {
                    this.operators.set(line.rsplit(' ').next().and_then(|a| a.parse().ok()));
                }
                if let Some(sender) = sender.take_if(|_| line.contains(" serves on ")) {
                    let _ = sender.send(line);
                }
            }
        });
        let first = timeout(PATIENCE, serves).await?.map_err(|_| "a front ended before it served")?;
        let address = first.rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or(first)?;
        self.config.borrow_mut()["listen"] = json!(address);
        self.address.set(Some(address));
        self.meant.set(true);
        Ok(self.child.borrow_mut().replace(child))
    }

    /// Starts a process by the settings as they are, and waits for nothing.
    pub fn spawn(&self, log: Stdio) -> Result<Child, Box<dyn Error>> {
        let child = Command::new(&self.path)
            .env_remove("ONYXYOKE_OPERATOR")
            .env("NODE_ADMIN_ADDR", "127.0.0.1:0")
            .env("NODE_CONFIG", self.settings_file())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("'{}' does not start: {e}", self.path.display()))?;
        Ok(child)
    }

    /// Has it read its settings again: the usable ones, with another limit of memory, or a file that is none.
    pub fn reload(&self, usable: bool) {
        let mut config = self.config.borrow().clone();
        config["limits"]["memory_mb"] = json!(config["limits"]["memory_mb"].as_u64().unwrap_or(64) + 1);
        self.reread(if usable { config.to_string() } else { "{".to_owned() });
    }

    /// Has it read its settings again, with this limit of memory.
    pub fn limit_memory(&self, limit: MemoryLimit) {
        let mut config = self.config.borrow().clone();
        if limit == MemoryLimit::BelowProgram {
            config["limits"]["memory_mb"] = json!(BELOW_PROGRAM_MB);
        }
        self.reread(config.to_string());
    }

    /// Has it read this as its settings.
    fn reread(&self, text: String) {
        let next = self.folder.join("config.next");
        if std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, self.settings_file())).is_ok() {
            self.signal(Signal::SIGHUP);
        }
    }

    /// Its newest process, which is meant to be up no more.
    pub fn take_process(&self) -> Option<Child> {
        self.meant.set(false);
        self.child.borrow_mut().take()
    }

    /// Waits until it says that it takes clients.
    pub async fn ready(&self) {
        while !self.healthy().await.unwrap_or(false) {
            sleep(LOOK).await;
        }
    }

    /// Does it say so?
    async fn healthy(&self) -> std::io::Result<bool> {
        let Some(address) = self.address.get() else { return Ok(false) };
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*3\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n$0\r\n\r\n").await?;
        let mut lines = BufReader::new(stream).lines();
        // An array of four: the tag, and the word.
        for _ in 0..4 {
            lines.next_line().await?;
        }
        Ok(lines.next_line().await?.is_some_and(|word| word == "yes"))
    }

    /// Its name, its settings' file and its folder.
    pub fn name(&self) -> String {
        format!("n{}", self.place)
    }

    pub fn settings_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Its program, and where its first process answers operators.
    pub fn program(&self) -> PathBuf {
        self.path.clone()
    }

    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators.get()
    }

    /// Does the process run that the rig started?
    pub fn runs(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// A rollout has it from now on: its first process may be told to end by another than the rig.
    pub fn handed_over(&self) {
        self.meant.set(false);
    }

    /// Calls it as an operator does; was the answer a yes?
    pub async fn call(&self, line: &str) -> bool {
        let Some(address) = self.operators.get() else { return false };
        accepts(address, line).await
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.borrow().as_ref() {
            send(child, signal);
        }
    }

    /// Ends it at once.
    pub async fn kill(&self) {
        self.meant.set(false);
        self.address.set(None);
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Ends it by SIGTERM, as the platform does; clients go elsewhere when it has ended. Was its exit 0?
    pub async fn end(&self) -> bool {
        self.meant.set(false);
        let child = self.child.borrow_mut().take();
        let ended = end(child).await;
        self.address.set(None);
        ended
    }

    /// Looks whether it ended by itself.
    pub fn look(&self) {
        if let Some(child) = self.child.borrow_mut().as_mut().filter(|_| self.meant.get())
            && !matches!(child.try_wait(), Ok(None))
        {
            self.crashed.set(true);
        }
    }

    /// Processor time that it has taken (seconds).
    pub fn processor_s(&self) -> f64 {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        let stat = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok());
        let first = stat.and_then(|s| s.split(' ').next().and_then(|n| n.parse::<f64>().ok()));
        first.unwrap_or(0.0) / 1e9
    }
}

/// Sends a process a signal, if it has not been waited for yet.
pub fn send(child: &Child, signal: Signal) {
    if let Some(id) = child.id() {
        let _ = kill(Pid::from_raw(id as i32), signal);
    }
}

/// Ends a process by SIGTERM; was its exit 0?
pub async fn end(child: Option<Child>) -> bool {
    let Some(mut child) = child else { return true };
    send(&child, Signal::SIGTERM);
    matches!(timeout(PATIENCE, child.wait()).await, Ok(Ok(status)) if status.success())
}

/// A node as the list has it.
pub fn member(tier: &Tier, node: usize, front: usize, location: usize) -> Option<Member> {
    let n = &tier.nodes[node];
    let (zone, kind) = match n.kind {
        Kind::Cache => (location as u8 + 1, 0),
        Kind::Parent => (0, 1),
        Kind::Origin => (0, 2),
    };
    let address = n.address(front)?;
    let (state, started) = n.listed();
    Some(Member { id: n.id(), address, state, zone, kind, weight: n.usual, started_ms: started })
}

/// The whole list as a front is told it at its start.
fn known(front: usize, tier: &Tier) -> Result<Value, Box<dyn Error>> {
    let kinds = ["standard", "parent", "origin"];
    let mut members = Vec::new();
    for node in 0..tier.nodes.len() {
        // The address is there for nodes of the own location alone, and for those above.
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

/// Calls the front that answers operators there; was the answer a whole yes?
async fn accepts(operators: SocketAddr, line: &str) -> bool {
    let call = async {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut reply = String::new();
        BufReader::new(stream).read_line(&mut reply).await?;
        std::io::Result::Ok(reply)
    };
    let whole_yes = |reply: &str| reply.starts_with("ok") && reply.ends_with('\n');
    matches!(timeout(CALL, call).await, Ok(Ok(reply)) if whole_yes(&reply))
}

#[cfg(test)]
mod tests;
