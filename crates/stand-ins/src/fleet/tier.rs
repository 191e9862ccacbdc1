//! All nodes of a fleet on their sockets: connections, commands, fills and transfers.

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

/// Delay of a fill from a parent.
const PARENT_FILL_SECONDS: f64 = 0.02;
/// Additional delay of a fill from the origin.
const ORIGIN_FILL_SECONDS: f64 = 0.04;
/// Interval of capacity updates of links that are warming.
const WARMING_UPDATE_SECONDS: f64 = 0.25;

/// All nodes of a fleet, with what they share.
pub struct Tier {
    /// The nodes, by index.
    pub nodes: Vec<Arc<Node>>,
    /// Full rate of one transfer in KB per second.
    pub flow: f64,
    /// Minimum length of a body in bytes.
    object_bytes: usize,
    record: Arc<dyn Record>,
    begun: Instant,
    begun_unix: f64,
    /// Connections accepted so far.
    accepted: AtomicU64,
}

/// A transfer on a link; dropping it cancels the transfer if it is not complete.
struct Transfer<'a> {
    tier: &'a Tier,
    node: &'a Node,
    id: u64,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let mut state = locked(&self.node.state);
        if state.completions.remove(&self.id).is_some() {
            state.link.remove(self.tier.now(), self.id);
            self.node.changed.notify_one();
        }
    }
}

/// An attempt in flight, which ends when this is dropped.
struct InFlightAttempt<'a> {
    tier: &'a Tier,
    attempt: usize,
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        self.tier.record.attempt_ended(self.attempt, self.tier.unix_seconds());
    }
}

/// A parsed request.
struct Request {
    id: String,
    object: u64,
    work: f64,
    key: Option<u64>,
    source: Option<u32>,
    local: bool,
    max_age_ms: u64,
}

impl Tier {
    /// Creates a tier whose nodes do not listen yet.
    pub fn new(nodes: Vec<Arc<Node>>, flow: f64, object_bytes: usize, record: Arc<dyn Record>) -> Arc<Tier> {
        let begun_unix = unix_ms() as f64 / 1000.0;
        Arc::new(Tier {
            nodes,
            flow,
            object_bytes,
            record,
            begun: Instant::now(),
            begun_unix,
            accepted: AtomicU64::new(0),
        })
    }

    /// Seconds since creation, by a monotonic clock.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// The Unix time in seconds, advanced by the monotonic clock.
    pub fn unix_seconds(&self) -> f64 {
        self.begun_unix + self.now()
    }

    /// Starts the tasks that run the links.
    pub fn start(self: &Arc<Self>) {
        for node in &self.nodes {
            tokio::spawn(self.clone().run_link(node.clone()));
        }
    }

    /// Starts listening on a node for connections of a front.
    pub async fn listen(self: &Arc<Self>, node: &Arc<Node>, front: usize) -> io::Result<()> {
        // An address for each front: together they need more ports than one address has.
        let address = Ipv4Addr::new(127, 0, (front / 250 + 1) as u8, (front % 250 + 1) as u8);
        let listener = TcpListener::bind((address, 0)).await?;
        let (sender, path) = watch::channel(Path::Open);
        locked(&node.paths).insert(front, (listener.local_addr()?, sender));
        tokio::spawn(self.clone().accept(node.clone(), front, listener, path));
        Ok(())
    }

    /// Completes the transfers on a node's link as they are due, and updates the link's capacity while it
    /// warms.
    async fn run_link(self: Arc<Self>, node: Arc<Node>) {
        loop {
            let (next, cold) = {
                let state = &mut *locked(&node.state);
                let now = self.now();
                let Health { slow, started, cold: (from, time), .. } = state.health;
                let age = self.unix_seconds() - started;
                let capacity_share = if age < time { from + (1.0 - from) * age / time } else { 1.0 };
                let size = node.usual_capacity * capacity_share / slow;
                if (size - state.link.size).abs() > 1e-9 {
                    state.link.resize(now, size);
                }
                let due = state.link.next_end();
                for id in state.link.take_complete(now) {
                    if let Some(completion) = state.completions.remove(&id) {
                        let _ = completion.send(due.unwrap_or(now));
                    }
                }
                (state.link.next_end(), age < time)
            };
            let warming_update = if cold { self.now() + WARMING_UPDATE_SECONDS } else { f64::MAX };
            let next_wake = next.unwrap_or(f64::MAX).min(warming_update);
            if next_wake == f64::MAX {
                node.changed.notified().await;
                continue;
            }
            let at = tokio::time::Instant::from_std(self.begun + Duration::from_secs_f64(next_wake));
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
            let Some(bound) = &listener else {
                if path.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                changed = path.changed() => if changed.is_err() { return },
                accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().connection(node.clone(), front, stream, path.clone()));
                }
            }
        }
    }

    /// Reads commands. Each request runs in its own task, which a cancel command or the end of the connection
    /// ends.
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
        let mut tasks: HashMap<String, AbortHandle> = HashMap::new();
        let mut line = String::new();
        // Multiples of the golden ratio spread the half-open share evenly over successive connections.
        let draw = (self.accepted.fetch_add(1, Ordering::Relaxed) as f64 * 0.618_033_988_749_895).fract();
        // A half-open connection stays half-open when the path recovers.
        let mut half_open = matches!(*path.borrow(), Path::HalfOpen(share) if draw < share);
        loop {
            line.clear();
            let read_bytes = tokio::select! {
                read_bytes = read.read_line(&mut line) => read_bytes,
                _ = path.changed() => {
                    let now = *path.borrow_and_update();
                    if now == Path::Down {
                        break;
                    }
                    if matches!(now, Path::HalfOpen(share) if draw < share) {
                        half_open = true;
                        tasks.drain().for_each(|(_, task)| task.abort());
                    }
                    continue;
                }
            };
            if !read_bytes.is_ok_and(|n| n > 0) || *path.borrow() == Path::Reset {
                break;
            }
            match Command::parse(&line) {
                Some(Command::Serve { id, fields, length }) => {
                    if discard_body(&mut read, length).await.is_err() {
                        break;
                    }
                    if half_open || *path.borrow() == Path::Silent {
                        continue;
                    }
                    let request = Self::parse_request(id, fields);
                    let (this, node, write, path) = (self.clone(), node.clone(), write.clone(), path.clone());
                    tasks.retain(|_, task| !task.is_finished());
                    let task =
                        tokio::spawn(async move { this.serve(&node, front, request, &write, path).await });
                    tasks.insert(id.to_owned(), task.abort_handle());
                }
                Some(Command::Cancel { id }) => {
                    if let Some(task) = tasks.remove(id) {
                        task.abort();
                    }
                }
                None => break,
            }
        }
        tasks.values().for_each(AbortHandle::abort);
    }

    fn parse_request(id: &str, fields: &str) -> Request {
        let field = |name: &str| crate::field(fields, name);
        let object = field("asset").and_then(|a| u64::from_str_radix(a, 16).ok()).unwrap_or(0);
        let key = field("op").and_then(|k| u128::from_str_radix(k, 16).ok());
        Request {
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
        request: Request,
        write: &tokio::sync::Mutex<OwnedWriteHalf>,
        path: watch::Receiver<Path>,
    ) {
        let condition = *path.borrow();
        if let Path::Delayed(seconds) = condition {
            sleep(Duration::from_secs_f64(seconds)).await;
        }
        let Request { object, work, key, .. } = request;
        let fresh =
            |made: &u64| request.max_age_ms == 0 || unix_ms().saturating_sub(*made) <= request.max_age_ms;
        let stored = if key.is_some() { None } else { node.copy_made_at(object).filter(fresh) };
        let mut observed = ObservedAttempt {
            at: self.unix_seconds(),
            node: node.place,
            front,
            object,
            work,
            key,
            hit: stored.is_some(),
            filled: false,
            origin: false,
        };
        let Health { failing, breaking, .. } = locked(&node.state).health;
        let draw = (unix_ms() ^ object).wrapping_mul(0x9e37_79b9) % 1000;
        if draw < (failing * 1000.0) as u64 {
            let in_flight = InFlightAttempt { tier: self, attempt: self.record.attempt_started(observed) };
            write_answer(write, &path, &format!("{} FAULT - 0\r\n\r\n", request.id), &[]).await;
            return drop(in_flight);
        }
        let source = request.source.and_then(|s| self.nodes.iter().find(|n| n.id() == s));
        let from_sibling = source
            .filter(|s| s.kind == Kind::Cache && s.place != node.place)
            .and_then(|s| s.copy_made_at(object));
        let upstream = source.filter(|s| s.kind != Kind::Cache);
        let from_parent = upstream
            .filter(|s| s.kind == Kind::Parent && key.is_none())
            .and_then(|s| s.copy_made_at(object).filter(fresh));
        let (made, delay_seconds, note) = if let Some(made) = stored {
            (made, 0.0, "TCP_HIT")
        } else if let Some(made) = from_sibling.filter(fresh) {
            (made, PARENT_FILL_SECONDS / 2.0, "TCP_MISS")
        } else if let Some(made) = from_parent {
            observed.filled = true;
            (made, PARENT_FILL_SECONDS, "TCP_MISS")
        } else if upstream.is_some() && !(request.local && upstream.is_some_and(|a| a.kind == Kind::Parent)) {
            (observed.filled, observed.origin) = (true, true);
            (unix_ms(), PARENT_FILL_SECONDS + ORIGIN_FILL_SECONDS, "TCP_MISS_ROOT")
        } else {
            let in_flight = InFlightAttempt { tier: self, attempt: self.record.attempt_started(observed) };
            let note = if source.is_some() { "n=PEER_MISS" } else { "-" };
            write_answer(write, &path, &format!("{} NONE {note} 0\r\n\r\n", request.id), &[]).await;
            return drop(in_flight);
        };
        let in_flight = InFlightAttempt { tier: self, attempt: self.record.attempt_started(observed) };
        if delay_seconds > 0.0 {
            sleep(Duration::from_secs_f64(delay_seconds)).await;
        }
        // A fill also occupies the link of its source.
        let sender_node =
            source.filter(|s| stored.is_none() && s.place != node.place && s.kind != Kind::Origin);
        if let Some(source) = sender_node {
            self.transfer(source, work).await;
        }
        self.transfer(node, work).await;
        if stored.is_none() && key.is_none() {
            node.store(object, made);
            if let Some(parent) = upstream.filter(|a| a.kind == Kind::Parent) {
                parent.store(object, made);
            }
        }
        let body = body(object, made, self.object_bytes);
        let ttfb = (delay_seconds * 1000.0) as u64;
        let head =
            format!("{} HIT n={note},etag={object:x},made={made},ttfb={ttfb} {}\r\n", request.id, body.len());
        if draw < (breaking * 1000.0) as u64 {
            let mut write = write.lock().await;
            let _ = write.write_all(head.as_bytes()).await;
            let _ = write.shutdown().await;
            return drop(in_flight);
        }
        write_answer(write, &path, &head, body.as_bytes()).await;
        drop(in_flight);
    }

    /// Sends work over a node's link; returns when the transfer is complete.
    async fn transfer(&self, node: &Node, work: f64) {
        let (sender, completion) = oneshot::channel();
        let id = {
            let state = &mut *locked(&node.state);
            state.last_transfer += 1;
            state.link.add(self.now(), state.last_transfer, work);
            state.completions.insert(state.last_transfer, sender);
            state.last_transfer
        };
        node.changed.notify_one();
        let transfer = Transfer { tier: self, node, id };
        if let Ok(due) = completion.await {
            self.record.transfer_late((self.now() - due).max(0.0));
        }
        drop(transfer);
    }
}

/// Writes an answer as the condition of the path allows.
async fn write_answer(
    write: &tokio::sync::Mutex<OwnedWriteHalf>,
    path: &watch::Receiver<Path>,
    head: &str,
    body: &[u8],
) {
    let now = *path.borrow();
    match now {
        Path::Silent | Path::Down | Path::Reset => return,
        Path::Delayed(seconds) => sleep(Duration::from_secs_f64(seconds)).await,
        Path::Open | Path::HalfOpen(_) => {}
    }
    let mut bytes = head.as_bytes().to_vec();
    if !body.is_empty() {
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
    }
    let _ = write.lock().await.write_all(&bytes).await;
}
