//! The cache nodes, parents and origin of a whole fleet. Each has a link that its transfers share, holds what it was
//! asked for lately, starts cold, and listens at an address for each front alone, so that it knows who asks and a path
//! between one front and one node can fail by itself. What it sees goes to a record of the test's own.

use crate::link::Link;
use crate::unix_ms;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until};

/// What a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Cache,
    Parent,
    Origin,
}

/// How the way from one front to one node is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Path {
    Open,
    /// Nobody listens: connections are refused, and those that were open end.
    Down,
    /// Nothing passes: connections stay open, or come up, and say nothing.
    Silent,
    /// Connections end as soon as anything comes over them.
    Reset,
    /// Everything takes so much longer (seconds).
    Delayed(f64),
    /// This share of connections is up and dead: what comes over them is taken, and nothing is said.
    HalfOpen(f64),
}

/// How a node does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Its link is so many times as thin.
    pub slow: f64,
    /// This share of requests is answered at once with an error.
    pub failing: f64,
    /// This share of answers breaks off in the middle, and its connection ends.
    pub breaking: f64,
    /// When it started, in Unix seconds, if it is still cold; it has its whole link `cold.1` seconds after.
    pub started: f64,
    /// Share of its link at the start, and time until it has all (seconds).
    pub cold: (f64, f64),
}

/// What a node saw of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct ObservedAttempt {
    /// Unix seconds.
    pub at: f64,
    pub node: usize,
    pub front: usize,
    pub object: u64,
    /// Seconds of sending at full pace.
    pub work: f64,
    /// The idempotency key, if it had one.
    pub key: Option<u64>,
    pub hit: bool,
    /// It had to be filled from above, and by the origin.
    pub filled: bool,
    pub origin: bool,
}

/// Where nodes tell what they see.
pub trait Record: Send + Sync + 'static {
    /// An attempt came; it is out from now on. Its number.
    fn came(&self, came: ObservedAttempt) -> usize;
    /// The attempt of this number is out no more, at a Unix time.
    fn ended(&self, attempt: usize, at: f64);
    /// A transfer was whole so much later than it should have been (seconds).
    fn late(&self, seconds: f64);
}

/// Objects that a cache and a parent hold.
const HELD: [usize; 2] = [1_500, 20_000];
/// The wait for a parent, and what the origin adds (seconds).
const WAIT: (f64, f64) = (0.02, 0.04);
/// Cold links are brought up to date this often (seconds).
const WARMS: f64 = 0.25;

struct State {
    link: Link,
    health: Health,
    held: (HashMap<u64, u64>, VecDeque<u64>),
    whole: HashMap<u64, oneshot::Sender<f64>>,
    next: u64,
    id: u32,
    /// Its state in the list (0 ready, 1 draining, 2 gone), and when it started as the list has it (Unix
    /// milliseconds).
    listed: (u8, u64),
}

/// A node.
pub struct Node {
    pub place: usize,
    pub kind: Kind,
    /// Its link, in transfers at full pace.
    pub usual: f64,
    /// The name of its zone in the list.
    pub zone: String,
    state: Mutex<State>,
    changed: Notify,
    /// By front: where it listens, and how the way there is.
    paths: Mutex<HashMap<usize, (SocketAddr, watch::Sender<Path>)>>,
}

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

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// A node that was up for long.
    pub fn new(place: usize, id: u32, kind: Kind, usual: f64, zone: String) -> Arc<Node> {
        let health = Health { slow: 1.0, failing: 0.0, breaking: 0.0, started: 0.0, cold: (1.0, 1.0) };
        let state = State {
            link: Link::new(usual),
            health,
            held: Default::default(),
            whole: HashMap::new(),
            next: 0,
            id,
            listed: (0, 0),
        };
        Arc::new(Node {
            place,
            kind,
            usual,
            zone,
            state: Mutex::new(state),
            changed: Notify::new(),
            paths: Mutex::default(),
        })
    }

    /// It does so from now on.
    pub fn set(&self, change: impl FnOnce(&mut Health)) {
        change(&mut locked(&self.state).health);
        self.changed.notify_one();
    }

    /// Its state in the list and its start, as they are told from now on.
    pub fn list(&self, state: u8, started_ms: u64) {
        locked(&self.state).listed = (state, started_ms);
    }

    /// Its id in the list.
    pub fn id(&self) -> u32 {
        locked(&self.state).id
    }

    /// Another node is in its place.
    pub fn rename(&self, id: u32) {
        locked(&self.state).id = id;
    }

    /// The same as last told.
    pub fn listed(&self) -> (u8, u64) {
        locked(&self.state).listed
    }

    /// Its copies are gone.
    pub fn empty(&self) {
        locked(&self.state).held = Default::default();
    }

    /// The way from a front, or from all, is so from now on.
    pub fn path(&self, front: Option<usize>, path: Path) {
        let paths = locked(&self.paths);
        let these = paths.iter().filter(|(f, _)| front.is_none_or(|front| **f == front));
        for (_, (_, sender)) in these {
            sender.send_replace(path);
        }
    }

    /// Where a front reaches it.
    pub fn address(&self, front: usize) -> Option<SocketAddr> {
        locked(&self.paths).get(&front).map(|p| p.0)
    }

    /// Work done since this was last asked (seconds of sending).
    pub fn take_done(&self, now: f64) -> f64 {
        locked(&self.state).link.take_done(now)
    }

    /// Copies made before this are gone (Unix milliseconds).
    pub fn forget(&self, before: u64) {
        let state = &mut *locked(&self.state);
        state.held.0.retain(|_, made| *made >= before);
        let held = &state.held.0;
        state.held.1.retain(|object| held.contains_key(object));
    }

    /// When the copy that it holds was made (Unix milliseconds).
    fn holds(&self, object: u64) -> Option<u64> {
        locked(&self.state).held.0.get(&object).copied()
    }

    fn keep(&self, object: u64, made: u64) {
        let most = HELD[usize::from(self.kind == Kind::Parent)];
        let state = &mut *locked(&self.state);
        if state.held.0.insert(object, made).is_none() {
            state.held.1.push_back(object);
            if state.held.1.len() > most
                && let Some(old) = state.held.1.pop_front()
            {
                state.held.0.remove(&old);
            }
        }
    }
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
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["serve", id, fields, length] => {
                    let mut body = vec![0; length.parse().unwrap_or(0) + 2];
                    if read.read_exact(&mut body).await.is_err() {
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
                ["cancel", id] => {
                    if let Some(task) = open.remove(id) {
                        task.abort();
                    }
                }
                _ => break,
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

/// An object whose name tells its work, in tenths of milliseconds of sending.
pub fn object(number: u64, work: f64) -> u64 {
    number << 20 | (work * 10_000.0).clamp(1.0, 1e6) as u64 & 0xf_ffff
}

/// The work that an object's name tells (seconds of sending).
pub fn work(object: u64) -> f64 {
    (object & 0xf_ffff) as f64 / 10_000.0
}

/// The bytes of a copy, which tell whose it is and when it was made; so many at least.
pub fn body(object: u64, made: u64, least: usize) -> String {
    let mut body = format!("{object:016x} {made}");
    if body.len() < least {
        body.push(' ');
        body.extend(std::iter::repeat_n('.', least.saturating_sub(body.len() + 1)));
        body.push('!');
    }
    body
}

/// Reads them again: the object and when the copy was made.
pub fn read_body(bytes: &[u8]) -> Option<(u64, u64)> {
    let mut words = std::str::from_utf8(bytes).ok()?.split(' ');
    let (object, made) = (words.next()?, words.next()?);
    // What fills it up has an end, so that a shorter one is told from a whole one.
    let filling = |rest: &str| rest.strip_suffix('!').is_some_and(|dots| dots.bytes().all(|b| b == b'.'));
    if !words.all(filling) {
        return None;
    }
    Some((u64::from_str_radix(object, 16).ok()?, made.parse().ok()?))
}

/// Ids that say nothing of the order, all different.
pub fn ids(count: usize) -> Vec<u32> {
    let mut seen = HashSet::new();
    (1u32..).map(|i| i.wrapping_mul(0x9e37_79b9)).filter(|id| seen.insert(*id)).take(count).collect()
}
