//! All nodes on their sockets: connections, commands, fills and transfers.

use super::node::{Health, Kind, Node, Path, locked};
use super::objects::{body, work};
use super::record::{ObservedAttempt, Record};
use crate::command::{Command, discard_body};
use crate::unix_ms;
use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until};

/// The wait for a parent, and what the origin adds (seconds).
const WAIT: (f64, f64) = (0.02, 0.04);
/// Cold links are brought up to date this often (seconds).
const WARMS: f64 = 0.25;

/// All nodes, and what their wires need to know.
pub struct Tier {
    pub nodes: Vec<Arc<Node>>,
    /// KB that one transfer sends in a second.
    pub flow: f64,
    /// Bytes of an object, at least.
    object_bytes: usize,
    record: Arc<dyn Record>,
    begun: Instant,
    begun_unix: f64,
    /// Connections so far.
    came: AtomicU64,
}

/// A transfer on a link, which is taken off it when nobody waits for it any more.
struct OnLink<'a> {
    tier: &'a Tier,
    node: &'a Node,
    name: u64,
}

impl Drop for OnLink<'_> {
    fn drop(&mut self) {
        let mut state = locked(&self.node.state);
        if state.whole.remove(&self.name).is_some() {
            state.link.remove(self.tier.now(), self.name);
            self.node.changed.notify_one();
        }
    }
}

/// An attempt that is out until this is dropped.
struct Out<'a> {
    tier: &'a Tier,
    attempt: usize,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.tier.record.ended(self.attempt, self.tier.unix());
    }
}

/// A request as it came over the wire.
struct Asked {
    id: String,
    object: u64,
    work: f64,
    key: Option<u64>,
    source: Option<u32>,
    local: bool,
    max_age_ms: u64,
}

impl Tier {
    /// Nodes that nobody reaches yet.
    pub fn new(nodes: Vec<Arc<Node>>, flow: f64, object_bytes: usize, record: Arc<dyn Record>) -> Arc<Tier> {
        let begun_unix = unix_ms() as f64 / 1000.0;
        Arc::new(Tier {
            nodes,
            flow,
            object_bytes,
            record,
            begun: Instant::now(),
            begun_unix,
            came: AtomicU64::new(0),
        })
    }

    /// Seconds since it was made, by a clock that only advances.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// The same as Unix seconds.
    pub fn unix(&self) -> f64 {
        self.begun_unix + self.now()
    }

    /// Starts the links.
    pub fn start(self: &Arc<Self>) {
        for node in &self.nodes {
            tokio::spawn(self.clone().drive(node.clone()));
        }
    }

    /// A node listens for a front from now on.
    pub async fn listen(self: &Arc<Self>, node: &Arc<Node>, front: usize) -> io::Result<()> {
        // An address for each front: together they need more ports than one address has.
        let address = Ipv4Addr::new(127, 0, (front / 250 + 1) as u8, (front % 250 + 1) as u8);
        let listener = TcpListener::bind((address, 0)).await?;
        let (sender, path) = watch::channel(Path::Open);
        locked(&node.paths).insert(front, (listener.local_addr()?, sender));
        tokio::spawn(self.clone().accept(node.clone(), front, listener, path));
        Ok(())
    }

    /// Takes transfers off a node's link as they are whole, and keeps the link's size up to date.
    async fn drive(self: Arc<Self>, node: Arc<Node>) {
        loop {
            let (next, cold) = {
                let state = &mut *locked(&node.state);
                let now = self.now();
                let Health { slow, started, cold: (from, time), .. } = state.health;
                let age = self.unix() - started;
                let part = if age < time { from + (1.0 - from) * age / time } else { 1.0 };
                let size = node.usual * part / slow;
                if (size - state.link.size).abs() > 1e-9 {
                    state.link.resize(now, size);
                }
                let due = state.link.next_end();
                for name in state.link.whole(now) {
                    if let Some(whole) = state.whole.remove(&name) {
                        let _ = whole.send(due.unwrap_or(now));
                    }
                }
                (state.link.next_end(), age < time)
            };
            let warms = if cold { self.now() + WARMS } else { f64::MAX };
            let wake = next.unwrap_or(f64::MAX).min(warms);
            if wake == f64::MAX {
                node.changed.notified().await;
                continue;
            }
            let at = tokio::time::Instant::from_std(self.begun + Duration::from_secs_f64(wake));
            tokio::select! {
                () = sleep_until(at) => {}
                () = node.changed.notified() => {}
            }
        }
    }

    async fn accept(
        self: Arc<Self>,
        node: Arc<Node>,
        front: usize,
        listener: TcpListener,
        mut path: watch::Receiver<Path>,
    ) {
        let Ok(address) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        loop {
            let down = *path.borrow_and_update() == Path::Down;
            if down {
                listener = None;
            } else if listener.is_none() {
                let bound = TcpSocket::new_v4().and_then(|socket| {
                    socket.set_reuseaddr(true)?;
                    socket.bind(address)?;
                    socket.listen(128)
                });
                listener = bound.ok();
                if listener.is_none() {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                }
            }
            let Some(open) = &listener else {
                if path.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                changed = path.changed() => if changed.is_err() { return },
                accepted = open.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().connection(node.clone(), front, stream, path.clone()));
                }
            }
        }
    }

    /// Reads commands; each request is a task of its own, which a cancel or the end of the connection ends.
    async fn connection(
        self: Arc<Self>,
        node: Arc<Node>,
        front: usize,
        stream: TcpStream,
        mut path: watch::Receiver<Path>,
    ) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (mut read, write) = (BufReader::new(read), Arc::new(tokio::sync::Mutex::new(write)));
        let mut open: HashMap<String, AbortHandle> = HashMap::new();
        let mut line = String::new();
        // One in so many, evenly over the connections as they come (the golden ratio's multiples).
        let drawn = (self.came.fetch_add(1, Ordering::Relaxed) as f64 * 0.618_033_988_749_895).fract();
        // Once dead it stays so, whatever becomes of the way.
        let mut dead = matches!(*path.borrow(), Path::HalfOpen(share) if drawn < share);
        loop {
            line.clear();
            let got = tokio::select! {
                got = read.read_line(&mut line) => got,
                _ = path.changed() => {
                    let now = *path.borrow_and_update();
                    if now == Path::Down {
                        break;
                    }
                    if matches!(now, Path::HalfOpen(share) if drawn < share) {
                        dead = true;
                        open.drain().for_each(|(_, task)| task.abort());
                    }
                    continue;
                }
            };
            if !got.is_ok_and(|n| n > 0) || *path.borrow() == Path::Reset {
                break;
            }
            match Command::parse(&line) {
                Some(Command::Serve { id, fields, length }) => {
                    if discard_body(&mut read, length).await.is_err() {
                        break;
                    }
                    if dead || *path.borrow() == Path::Silent {
                        continue;
                    }
                    let asked = self.asked(id, fields);
                    let (this, node, write, path) = (self.clone(), node.clone(), write.clone(), path.clone());
                    open.retain(|_, task| !task.is_finished());
                    let task =
                        tokio::spawn(async move { this.serve(&node, front, asked, &write, path).await });
                    open.insert(id.to_owned(), task.abort_handle());
                }
                Some(Command::Cancel { id }) => {
                    if let Some(task) = open.remove(id) {
                        task.abort();
                    }
                }
                None => break,
            }
        }
        open.values().for_each(AbortHandle::abort);
    }

    fn asked(&self, id: &str, fields: &str) -> Asked {
        let field = |name: &str| crate::field(fields, name);
        let object = field("asset").and_then(|a| u64::from_str_radix(a, 16).ok()).unwrap_or(0);
        let key = field("op").and_then(|k| u128::from_str_radix(k, 16).ok());
        Asked {
            id: id.to_owned(),
            object,
            work: work(object),
            key: key.map(|k| k as u64),
            source: field("src").and_then(|s| u32::from_str_radix(s.strip_prefix("s-")?, 16).ok()),
            local: field("flags").is_some_and(|f| f.split('+').any(|w| w == "local")),
            max_age_ms: field("maxage").and_then(|m| m.parse().ok()).unwrap_or(0),
        }
    }

    async fn serve(
        &self,
        node: &Node,
        front: usize,
        asked: Asked,
        write: &tokio::sync::Mutex<OwnedWriteHalf>,
        path: watch::Receiver<Path>,
    ) {
        let way = *path.borrow();
        if let Path::Delayed(by) = way {
            sleep(Duration::from_secs_f64(by)).await;
        }
        let Asked { object, work, key, .. } = asked;
        let fresh = |made: &u64| asked.max_age_ms == 0 || unix_ms().saturating_sub(*made) <= asked.max_age_ms;
        let held = if key.is_some() { None } else { node.holds(object).filter(fresh) };
        let mut came = ObservedAttempt {
            at: self.unix(),
            node: node.place,
            front,
            object,
            work,
            key,
            hit: held.is_some(),
            filled: false,
            origin: false,
        };
        let Health { failing, breaking, .. } = locked(&node.state).health;
        let drawn = (unix_ms() ^ object).wrapping_mul(0x9e37_79b9) % 1000;
        if drawn < (failing * 1000.0) as u64 {
            let out = Out { tier: self, attempt: self.record.came(came) };
            answer(write, &path, &format!("{} FAULT - 0\r\n\r\n", asked.id), &[]).await;
            return drop(out);
        }
        let source = asked.source.and_then(|s| self.nodes.iter().find(|n| n.id() == s));
        let from_sibling =
            source.filter(|s| s.kind == Kind::Cache && s.place != node.place).and_then(|s| s.holds(object));
        let above = source.filter(|s| s.kind != Kind::Cache);
        let from_parent = above
            .filter(|s| s.kind == Kind::Parent && key.is_none())
            .and_then(|s| s.holds(object).filter(fresh));
        let (made, wait, note) = if let Some(made) = held {
            (made, 0.0, "TCP_HIT")
        } else if let Some(made) = from_sibling.filter(fresh) {
            (made, WAIT.0 / 2.0, "TCP_MISS")
        } else if let Some(made) = from_parent {
            came.filled = true;
            (made, WAIT.0, "TCP_MISS")
        } else if above.is_some() && !(asked.local && above.is_some_and(|a| a.kind == Kind::Parent)) {
            (came.filled, came.origin) = (true, true);
            (unix_ms(), WAIT.0 + WAIT.1, "TCP_MISS_ROOT")
        } else {
            let out = Out { tier: self, attempt: self.record.came(came) };
            let note = if source.is_some() { "n=PEER_MISS" } else { "-" };
            answer(write, &path, &format!("{} NONE {note} 0\r\n\r\n", asked.id), &[]).await;
            return drop(out);
        };
        let out = Out { tier: self, attempt: self.record.came(came) };
        if wait > 0.0 {
            sleep(Duration::from_secs_f64(wait)).await;
        }
        // What a source gives goes over its link too; nobody waits for more than the slower of both.
        let given = source.filter(|s| held.is_none() && s.place != node.place && s.kind != Kind::Origin);
        if let Some(source) = given {
            self.send_over(source, work).await;
        }
        self.send_over(node, work).await;
        if held.is_none() && key.is_none() {
            node.keep(object, made);
            if let Some(parent) = above.filter(|a| a.kind == Kind::Parent) {
                parent.keep(object, made);
            }
        }
        let body = body(object, made, self.object_bytes);
        let ttfb = (wait * 1000.0) as u64;
        let head =
            format!("{} HIT n={note},etag={object:x},made={made},ttfb={ttfb} {}\r\n", asked.id, body.len());
        if drawn < (breaking * 1000.0) as u64 {
            let mut write = write.lock().await;
            let _ = write.write_all(head.as_bytes()).await;
            let _ = write.shutdown().await;
            return drop(out);
        }
        answer(write, &path, &head, body.as_bytes()).await;
        drop(out);
    }

    /// Takes what the link takes for it.
    async fn send_over(&self, node: &Node, work: f64) {
        let (sender, whole) = oneshot::channel();
        let name = {
            let state = &mut *locked(&node.state);
            state.next += 1;
            state.link.add(self.now(), state.next, work);
            state.whole.insert(state.next, sender);
            state.next
        };
        node.changed.notify_one();
        let on = OnLink { tier: self, node, name };
        if let Ok(due) = whole.await {
            self.record.late((self.now() - due).max(0.0));
        }
        drop(on);
    }
}

async fn answer(
    write: &tokio::sync::Mutex<OwnedWriteHalf>,
    path: &watch::Receiver<Path>,
    head: &str,
    body: &[u8],
) {
    let now = *path.borrow();
    match now {
        Path::Silent | Path::Down | Path::Reset => return,
        Path::Delayed(by) => sleep(Duration::from_secs_f64(by)).await,
        Path::Open | Path::HalfOpen(_) => {}
    }
    let mut bytes = head.as_bytes().to_vec();
    if !body.is_empty() {
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
    }
    let _ = write.lock().await.write_all(&bytes).await;
}
