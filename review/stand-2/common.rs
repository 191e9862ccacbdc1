//! Stand-ins for cases 6 to 10: cache nodes, a coordinator, clients and the platform that starts fronts.
//! Only the standard library. Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

pub fn unix_ms() -> u64 {
    (now() * 1000.0) as u64
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// The record of a run: lines with the time since its start.
pub struct Record {
    file: Mutex<File>,
    pub start: f64,
}

impl Record {
    /// Opens `record.txt` in the folder that the first argument names.
    pub fn open() -> Arc<Record> {
        let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| quit("usage: CASE FOLDER")));
        let file =
            File::create(folder.join("record.txt")).unwrap_or_else(|e| quit(&format!("record.txt: {e}")));
        watch_time();
        Arc::new(Record { file: Mutex::new(file), start: now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", now() - self.start);
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// The time since the start of a Unix time.
    pub fn at(&self, unix: f64) -> String {
        format!("{:.4}", unix - self.start)
    }
}

/// The ids of the processes that this case started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this case started.
fn send_signal(pid: u32, signal: &str) {
    let _ =
        Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {pid}")).stderr(Stdio::null()).status();
}

/// Ends all processes that this case started, and the case itself with this status.
pub fn finish(status: i32) -> ! {
    let started = STARTED.lock().unwrap().clone();
    started.into_iter().for_each(|pid| send_signal(pid, "KILL"));
    std::process::exit(status);
}

/// Ends the case as one that could not run.
pub fn quit(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    finish(2);
}

/// Ends the case after 115 seconds at the latest.
fn watch_time() {
    thread::spawn(|| {
        sleep(115.0);
        quit("the case took too long");
    });
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// Small generator of random numbers with a fixed seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---- Cache nodes ----

/// A request that arrived whole at a node.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub node: u32,
    pub call: String,
    pub sort: String,
    pub asset: String,
    pub key: String,
    pub source: Option<u32>,
    pub maxage_ms: u64,
    pub bytes: usize,
}

/// What all nodes share.
pub struct Tier {
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Size of an object on the sockets.
    pub size: Box<dyn Fn(&str) -> usize + Send + Sync>,
    /// Time of an answer (seconds), by node and class.
    pub delay: Box<dyn Fn(u32, &str) -> f64 + Send + Sync>,
    /// Classes that are never kept.
    pub uncacheable: Vec<String>,
}

/// A cache node, parent or origin. It holds what it was filled with.
pub struct Node {
    pub id: u32,
    pub address: SocketAddr,
    pub origin: bool,
    held: Mutex<HashMap<String, u64>>,
    tier: Arc<Tier>,
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

pub fn node_id(text: &str) -> Option<u32> {
    u32::from_str_radix(text.strip_prefix("s-")?, 16).ok()
}

/// The bytes of a copy: they begin with the object's name and the Unix millisecond at which the origin gave it out.
pub fn body_of(asset: &str, made: u64, size: usize) -> Vec<u8> {
    let mut body = format!("{asset}@{made}").into_bytes();
    body.resize(size.max(body.len()), b'.');
    body
}

/// The Unix millisecond in the bytes of a copy.
pub fn made_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.split_once('@')?.1.trim_end_matches('.').parse().ok()
}

impl Node {
    pub fn start(id: u32, origin: bool, tier: &Arc<Tier>) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| quit(&format!("node: {e}")));
        let address = listener.local_addr().unwrap();
        let node = Arc::new(Node { id, address, origin, held: Mutex::default(), tier: tier.clone() });
        let this = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || drop(this.serve(stream)));
            }
        });
        node
    }

    /// Has the node hold an object from now on.
    pub fn hold(&self, asset: &str) {
        self.held.lock().unwrap().insert(asset.to_owned(), unix_ms());
    }

    /// Drops the copy of an object that was made before a time.
    pub fn drop_older(&self, asset: &str, than: u64) {
        let mut held = self.held.lock().unwrap();
        if held.get(asset).is_some_and(|made| *made < than) {
            held.remove(asset);
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let out = Arc::new(Mutex::new(stream.try_clone()?));
        let cancelled: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                // Closing the connection gives up everything open on it.
                cancelled.lock().unwrap().values().for_each(|c| c.store(true, Ordering::SeqCst));
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["serve", call, fields, length] => {
                    let Ok(length) = length.parse::<usize>() else { return Ok(()) };
                    let mut body = vec![0; length + 2];
                    input.read_exact(&mut body)?;
                    let arrival = Arrival {
                        at: now(),
                        node: self.id,
                        call: call.to_owned(),
                        sort: field(fields, "sort").unwrap_or("").to_owned(),
                        asset: field(fields, "asset").unwrap_or("").to_owned(),
                        key: field(fields, "op").unwrap_or("").to_owned(),
                        source: field(fields, "src").and_then(node_id),
                        maxage_ms: field(fields, "maxage").and_then(|m| m.parse().ok()).unwrap_or(0),
                        bytes: length,
                    };
                    self.tier.arrivals.lock().unwrap().push(arrival.clone());
                    let flag = Arc::new(AtomicBool::new(false));
                    cancelled.lock().unwrap().insert(call.to_owned(), flag.clone());
                    let (this, out, cancelled) = (self.clone(), out.clone(), cancelled.clone());
                    let keep = field(fields, "keep").is_some();
                    let delay = (self.tier.delay)(self.id, &arrival.sort);
                    let answer = move || {
                        sleep(delay);
                        cancelled.lock().unwrap().remove(&arrival.call);
                        if !flag.load(Ordering::SeqCst) {
                            let answer = this.answer(&arrival, keep);
                            let _ = out.lock().unwrap().write_all(&answer);
                        }
                    };
                    match delay > 0.0 {
                        true => drop(thread::spawn(answer)),
                        false => answer(),
                    }
                }
                ["cancel", call] => {
                    if let Some(flag) = cancelled.lock().unwrap().remove(call) {
                        flag.store(true, Ordering::SeqCst);
                    }
                }
                ["health" | "gauges", tag] => {
                    let _ = out.lock().unwrap().write_all(format!("{tag} PONG - 0\r\n\r\n").as_bytes());
                }
                _ => return Ok(()),
            }
        }
    }

    fn answer(&self, a: &Arrival, keep: bool) -> Vec<u8> {
        let write = self.tier.uncacheable.contains(&a.sort);
        let mut held = self.held.lock().unwrap();
        let found = held.get(&a.asset).copied().filter(|_| !write);
        let fresh = found.filter(|made| a.maxage_ms == 0 || made + a.maxage_ms >= unix_ms());
        let (note, made) = match (fresh, a.source) {
            (Some(made), _) => ("TCP_HIT", made),
            (None, None) if !self.origin => return format!("{} NONE - 0\r\n\r\n", a.call).into_bytes(),
            (None, _) => ("TCP_MISS", unix_ms()),
        };
        if keep && !write {
            held.insert(a.asset.clone(), made);
        }
        drop(held);
        let body = body_of(&a.asset, made, (self.tier.size)(&a.asset));
        let mut out =
            format!("{} HIT n={note},etag=t{made},made={made} {}\r\n", a.call, body.len()).into_bytes();
        out.extend_from_slice(&body);
        out.extend_from_slice(b"\r\n");
        out
    }
}

// ---- The coordinator ----

/// A record of the list.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub weight: f64,
    pub started_ms: u64,
}

impl Member {
    fn encode(&self) -> Vec<u8> {
        let SocketAddr::V4(v4) = self.address else { quit("an address of IPv4 is needed") };
        let mut out = self.id.to_be_bytes().to_vec();
        out.extend(v4.ip().octets());
        out.extend(v4.port().to_be_bytes());
        out.extend([self.state, self.zone, self.kind, 0, 0]);
        out.extend(((self.weight * 1000.0) as u32).to_be_bytes());
        out.extend(self.started_ms.to_be_bytes());
        out
    }

    pub fn json(&self, zones: &[&str], kinds: &[&str]) -> String {
        format!(
            "{{\"id\":\"s-{:08x}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":0,\"phase\":\"{}\",\"size\":{},\"up_since_ms\":{}}}",
            self.id,
            self.address,
            zones[usize::from(self.zone)],
            kinds[usize::from(self.kind)],
            ["active", "leaving", "left"][usize::from(self.state)],
            self.weight,
            self.started_ms
        )
    }
}

/// A coordinator for one front. Event 1 is the whole list, which the configuration holds.
pub struct Coordinator {
    pub address: SocketAddr,
    events: Mutex<Vec<(u8, Vec<u8>)>>,
    changed: Condvar,
    /// Time from the last event's number that a front writes to the first frame (seconds).
    pub slow: Mutex<f64>,
    pub watches: AtomicU64,
    /// Number of the last event that was written to the front.
    pub written: AtomicU64,
    record: Arc<Record>,
}

impl Coordinator {
    pub fn start(record: &Arc<Record>) -> Arc<Coordinator> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| quit(&format!("coordinator: {e}")));
        let address = listener.local_addr().unwrap();
        let this = Arc::new(Coordinator {
            address,
            events: Mutex::new(vec![(1, Vec::new())]),
            changed: Condvar::new(),
            slow: Mutex::new(0.0),
            watches: AtomicU64::new(0),
            written: AtomicU64::new(1),
            record: record.clone(),
        });
        let server = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                let number = server.watches.fetch_add(1, Ordering::SeqCst) + 1;
                thread::spawn(move || {
                    server.record.line(&format!("coordinator: watch {number} begins"));
                    let ended = server.watch(stream, number);
                    server.record.line(&format!("coordinator: watch {number} ended ({ended:?})"));
                });
            }
        });
        this
    }

    fn publish(&self, kind: u8, payload: Vec<u8>) -> u64 {
        let mut events = self.events.lock().unwrap();
        events.push((kind, payload));
        self.changed.notify_all();
        events.len() as u64
    }

    /// Adds changes of the list as one event and returns its number.
    pub fn change(&self, members: &[Member]) -> u64 {
        self.publish(2, members.iter().flat_map(Member::encode).collect())
    }

    /// Adds the purge of a group.
    pub fn purge_group(&self, group: u16, at_ms: u64) -> u64 {
        self.publish(4, [&group.to_be_bytes()[..], &at_ms.to_be_bytes()].concat())
    }

    /// Adds the purge of an object.
    pub fn purge(&self, object: u64, at_ms: u64) -> u64 {
        self.publish(3, [object.to_be_bytes(), at_ms.to_be_bytes()].concat())
    }

    pub fn last(&self) -> u64 {
        self.events.lock().unwrap().len() as u64
    }

    fn watch(&self, mut stream: TcpStream, watch: u64) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut last = [0; 8];
        stream.read_exact(&mut last)?;
        let mut sent = u64::from_be_bytes(last).max(1);
        let slow = *self.slow.lock().unwrap();
        sleep(slow);
        // A slow one writes what there is as soon as it comes to this watch: events, else an empty frame.
        let mut beat = if slow > 0.0 { now() } else { now() + 1.0 };
        loop {
            let next = {
                let mut events = self.events.lock().unwrap();
                while events.len() as u64 <= sent && now() < beat {
                    events = self
                        .changed
                        .wait_timeout(events, Duration::from_secs_f64((beat - now()).max(0.001)))
                        .unwrap()
                        .0;
                }
                events.get(sent as usize).cloned()
            };
            let (kind, payload) = match next {
                Some(event) => {
                    sent += 1;
                    event
                }
                None => (0, Vec::new()),
            };
            beat = now() + 1.0;
            let length = (9 + payload.len()) as u32;
            let frame = [&length.to_be_bytes()[..], &sent.to_be_bytes(), &[kind], &payload].concat();
            stream.write_all(&frame)?;
            self.written.fetch_max(sent, Ordering::SeqCst);
            if kind != 0 {
                self.record.line(&format!("coordinator: watch {watch}: event {sent} written"));
            }
        }
    }
}

// ---- Fronts ----

/// The repository's folder: the one with `deploy/balancer.toml`, at or above the current one.
pub fn root() -> PathBuf {
    let here = std::env::current_dir().unwrap();
    let found = here.ancestors().find(|p| p.join("deploy/balancer.toml").exists());
    found.unwrap_or_else(|| quit("start it in the repository")).to_owned()
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_else(|| quit("no 'run'"));
    line[..line.find('"').unwrap()].to_owned()
}

/// A process of a front.
pub struct Process {
    child: Child,
    pub name: String,
    pub log: PathBuf,
}

impl Process {
    /// Starts `run` as the platform does.
    pub fn start(
        name: &str,
        config: &Path,
        listen: SocketAddr,
        admin: Option<SocketAddr>,
        folder: &Path,
    ) -> Process {
        Process::start_with(name, config, listen, admin, folder, &[])
    }

    pub fn start_with(
        name: &str,
        config: &Path,
        listen: SocketAddr,
        admin: Option<SocketAddr>,
        folder: &Path,
        variables: &[(&str, String)],
    ) -> Process {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp).unwrap();
        let log = folder.join(format!("{name}-{}.log", COUNT.fetch_add(1, Ordering::SeqCst)));
        let out = File::create(&log).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root());
        command.env("NODE_NAME", "n0").env("NODE_LISTEN", listen.to_string()).env("NODE_CONFIG", config);
        command.env("TMPDIR", &tmp).env_remove("ONYXYOKE_OPERATOR").env_remove("NODE_ADMIN_ADDR");
        if let Some(admin) = admin {
            command.env("NODE_ADMIN_ADDR", admin.to_string());
        }
        for (variable, value) in variables {
            command.env(variable, value);
        }
        command.stdin(Stdio::null()).stdout(out.try_clone().unwrap()).stderr(out);
        let child = command.spawn().unwrap_or_else(|e| quit(&format!("{name}: {e}")));
        STARTED.lock().unwrap().push(child.id());
        Process { child, name: name.to_owned(), log }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        send_signal(self.pid(), signal);
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let ended = self.child.try_wait().ok().flatten().map(|s| s.to_string());
        if ended.is_some() {
            STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        }
        ended
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }

    /// Copies the log of the process into the record.
    pub fn record_log(&self, record: &Record) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().for_each(|line| record.line(&format!("log of {}: {line}", self.name)));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A free loopback port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Calls an operators' socket; the whole reply, or why there is none.
pub fn operator(address: SocketAddr, line: &str) -> String {
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply)?;
        Ok(reply.trim_end().to_owned())
    };
    call().unwrap_or_else(|e| format!("none: {e}"))
}

/// Waits until a front answers HEALTH with yes.
pub fn wait_ready(listen: SocketAddr, limit: f64) -> bool {
    let by = now() + limit;
    while now() < by {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"*3\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n$0\r\n\r\n");
            let mut reader = BufReader::new(stream);
            if matches!(read_answer(&mut reader), Ok(Some((_, word, _, _))) if word == "yes") {
                return true;
            }
        }
        sleep(0.02);
    }
    false
}

// ---- Clients ----

/// An array of bulk strings.
pub fn resp(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A request for an object.
pub fn request(
    tag: u64,
    class: &str,
    call: u64,
    object: u64,
    ttl_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let fields =
        format!("call={call:016x},ttl={ttl_ms},row={object:016x},slice=0,set={}{more}", object % 256);
    resp(&[b"REQ", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
}

type AnswerWords = (u64, String, String, Vec<u8>);

/// Reads an answer: tag, word, fields, body; none at the end of the stream.
pub fn read_answer(input: &mut impl BufRead) -> std::io::Result<Option<AnswerWords>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let bad = || std::io::Error::other("an answer that cannot be read");
    let count: usize = line.trim_end().strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
    let mut words: Vec<Vec<u8>> = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        input.read_line(&mut line)?;
        let length: usize = line.trim_end().strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        let mut word = vec![0; length + 2];
        input.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    words.resize(4, Vec::new());
    let text = |w: &[u8]| String::from_utf8_lossy(w).into_owned();
    let tag = text(&words[0]).parse().map_err(|_| bad())?;
    Ok(Some((tag, text(&words[1]), text(&words[2]), words.swap_remove(3))))
}

/// A request that was taken, and its answers.
#[derive(Clone, Debug)]
pub struct Asked {
    pub call: u64,
    pub at: f64,
    pub ttl: f64,
    pub class: String,
    pub answers: Vec<(f64, String)>,
    pub closed_at: Option<f64>,
}

/// A client's connection: several requests may be open.
pub struct Connection {
    out: Mutex<TcpStream>,
    next_tag: AtomicU64,
    pub asked: Arc<Mutex<BTreeMap<u64, Asked>>>,
    pub closed: Arc<AtomicBool>,
}

impl Connection {
    /// Connects. `rate`: bytes a second that the client reads at most; 0: all at once.
    pub fn open(address: SocketAddr, rate: f64) -> std::io::Result<Arc<Connection>> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let asked: Arc<Mutex<BTreeMap<u64, Asked>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        let input = stream.try_clone()?;
        let this = Arc::new(Connection {
            out: Mutex::new(stream),
            next_tag: AtomicU64::new(1),
            asked: asked.clone(),
            closed: closed.clone(),
        });
        thread::spawn(move || {
            let mut reader = BufReader::with_capacity(16 * 1024, Paced { input, rate, due: now() });
            while let Ok(Some((tag, word, _, _))) = read_answer(&mut reader) {
                if let Some(one) = asked.lock().unwrap().get_mut(&tag) {
                    one.answers.push((now(), word));
                }
            }
            let at = now();
            asked
                .lock()
                .unwrap()
                .values_mut()
                .filter(|a| a.answers.is_empty())
                .for_each(|a| a.closed_at = Some(at));
            closed.store(true, Ordering::SeqCst);
        });
        Ok(this)
    }

    /// Sends a request and returns its tag.
    pub fn ask(
        &self,
        class: &str,
        call: u64,
        object: u64,
        ttl_ms: u64,
        more: &str,
        body: &[u8],
    ) -> std::io::Result<u64> {
        let tag = self.next_tag.fetch_add(1, Ordering::SeqCst);
        let frame = request(tag, class, call, object, ttl_ms, more, body);
        let one = Asked {
            call,
            at: now(),
            ttl: ttl_ms as f64 / 1000.0,
            class: class.into(),
            answers: Vec::new(),
            closed_at: None,
        };
        self.asked.lock().unwrap().insert(tag, one);
        let sent = self.out.lock().unwrap().write_all(&frame);
        if sent.is_err() {
            self.asked.lock().unwrap().remove(&tag);
        }
        sent.map(|()| tag)
    }

    pub fn open_requests(&self) -> usize {
        self.asked.lock().unwrap().values().filter(|a| a.answers.is_empty() && a.closed_at.is_none()).count()
    }

    pub fn answer(&self, tag: u64) -> Option<(f64, String)> {
        self.asked.lock().unwrap().get(&tag).and_then(|a| a.answers.first().cloned())
    }

    pub fn close(&self) {
        let _ = self.out.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// Reads at a limited rate.
struct Paced {
    input: TcpStream,
    rate: f64,
    due: f64,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.rate > 0.0 {
            sleep_until(self.due);
        }
        let n = self.input.read(buffer)?;
        if self.rate > 0.0 {
            self.due = self.due.max(now() - 0.02) + n as f64 / self.rate;
        }
        Ok(n)
    }
}

// ---- Configuration ----

pub const ZONES: [&str; 3] = ["nord", "centre", "edge-1"];
pub const KINDS: [&str; 3] = ["standard", "parent", "origin"];
/// The front's zone, and the kinds.
pub const EDGE: u8 = 2;
pub const PARENT: u8 = 1;
pub const ORIGIN: u8 = 2;

/// The settings of a small deployment, as the wire's page shows them, with one front and one branch.
pub fn settings() -> String {
    r#"{"az":2,"caps":{"cancel":true,"connect-timeout":0.4,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,"keepalive":15.0,"max-open":20000,"max-retry-after":0.5,"max-streams":100,"may-duplicate":false,"may-tell":false,"most-tries":8,"probes":true,"retry-after":true},
"clients":{"marks-retry":true},"family":"edge","fleet-size":1,
"invariants":{"ask-every":10.0,"cold":17.0,"cold-from":0.22,"drain-grace":0.5,"fall":2.0,"grace-to-answer":0.008,"overload-factor":3.0},
"kinds":["standard","parent","origin"],"localities":["nord","centre","edge-1"],"me":0,"membership-mode":"automatic","over-share-worth":0.1,
"prices":{"connection":0.0,"cross-zone":0.0082,"handshake":0.0,"late-fail":0.03,"membership-mode":0.0,"moves":0.0,"origin":0.12,"peer":0.0,"probe":0.01,"waste":0.05},
"profiles":[{"aim":0.5,"aim-stretch":1.6,"deadline":5.0,"group":"all","key-ttl":5.0,"late-worth":0.15,"name":"media","semantics":"idempotent","streaming":false,"worth":2.0},{"aim":0.25,"aim-stretch":2.0,"deadline":3.0,"group":"all","key-ttl":5.0,"late-worth":0.2,"name":"pages","semantics":"idempotent","streaming":false,"worth":1.0},{"aim":0.6,"deadline":3.0,"group":"all","key-ttl":3.0,"late-worth":0.0,"name":"holds","semantics":"deduplicated","streaming":false,"worth":3.0}],
"realms":[],"report":{"fields":["rif","x0","x1"],"source":"pull"},"score-parts":{"whole":0.65,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.15},
"specifics":{"byte-fee":0.02,"collapses":false,"count-by-zone":[0,0,1],"good-for":[0.0,8.0,0.0],"multi-part":[false,false,false],"never-kept":[false,false,true],"old-copy-worth":[0.7,0.5,0.7],"one-flow-kb-per-s":8500.0,"origin-over-for":3.0,"parent-floor":0.064,"parent-kind":1,"parent-ramp":22.0,"pipe-kb-per-s":[0.0,0.0,99452.0],"purge-settles":6.0,"purge-slack":1.0,"report-x0":"share of hits, lately","report-x1":"transfers","root-fall-multiple":0.0,"says":"all","sideways":"location","source-kind":2,"straight":false,"upper-fall-multiple":2.0,"usable-after":[0.0,20.0,0.0],"zone-hub":[0,1,0]},
"stages":["catalogue-cache"],"tick":0.002,"tier":0,"weights":"rough","worth-by":"request"}"#.replace('\n', "")
}

/// The configuration of a front, with the whole list as its only event.
pub fn config(
    listen: SocketAddr,
    coordinator: SocketAddr,
    members: &[Member],
    memory_mb: u64,
    sockets: u64,
    settings: &str,
    seed: u64,
) -> String {
    let list: Vec<String> = members.iter().map(|m| m.json(&ZONES, &KINDS)).collect();
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"coordinator\":\"{coordinator}\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{{\"index\":1,\"updates\":[{{\"index\":1,\"endpoints\":{{\"revision\":1,\"complete\":true,\"members\":[{}]}}}}]}},\"settings\":{settings}}}",
        list.join(",")
    )
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| quit(&format!("{}: {e}", folder.display())));
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A small deployment: edge caches, two parents and the origin.
pub struct Deployment {
    pub tier: Arc<Tier>,
    pub nodes: Vec<Arc<Node>>,
    pub members: Vec<Member>,
}

pub const EDGE_ID: u32 = 0x0100;
pub const PARENT_ID: u32 = 0x0200;
pub const ORIGIN_ID: u32 = 0x0300;

impl Deployment {
    pub fn start(
        edges: u32,
        size: impl Fn(&str) -> usize + Send + Sync + 'static,
        delay: impl Fn(u32, &str) -> f64 + Send + Sync + 'static,
    ) -> Deployment {
        let tier = Arc::new(Tier {
            arrivals: Mutex::default(),
            size: Box::new(size),
            delay: Box::new(delay),
            uncacheable: vec!["holds".into()],
        });
        let mut all: Vec<(u32, u8, u8, f64)> = (0..edges).map(|i| (EDGE_ID + i, EDGE, 0, 6.0)).collect();
        all.extend([
            (PARENT_ID, 0, PARENT, 20.0),
            (PARENT_ID + 1, 1, PARENT, 20.0),
            (ORIGIN_ID, 0, ORIGIN, 20.0),
        ]);
        let (mut nodes, mut members) = (Vec::new(), Vec::new());
        for (id, zone, kind, weight) in all {
            let node = Node::start(id, kind == ORIGIN, &tier);
            members.push(Member { id, address: node.address, state: 0, zone, kind, weight, started_ms: 0 });
            nodes.push(node);
        }
        Deployment { tier, nodes, members }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.tier.arrivals.lock().unwrap().clone()
    }
}

/// A front with its deployment: the folder, the configuration and the addresses.
pub struct Site {
    pub record: Arc<Record>,
    pub deployment: Deployment,
    pub coordinator: Arc<Coordinator>,
    pub folder: Folder,
    pub listen: SocketAddr,
    pub config: PathBuf,
}

impl Site {
    /// A branch with some cache boxes whose front has 64 MB and 256 descriptors.
    pub fn new(name: &str, edges: u32) -> Site {
        let record = Record::open();
        let deployment = Deployment::start(edges, |_| 2000, |_, _| 0.005);
        let coordinator = Coordinator::start(&record);
        let folder = Folder::new(name);
        let (listen, file) = (free_address(), folder.0.join("config.json"));
        let text = config(listen, coordinator.address, &deployment.members, 64, 256, &settings(), 7);
        std::fs::write(&file, text).unwrap_or_else(|e| quit(&e.to_string()));
        Site { record, deployment, coordinator, folder, listen, config: file }
    }

    /// Starts a process of the front and waits until it takes clients.
    pub fn start(&self, name: &str, admin: Option<SocketAddr>) -> Process {
        let process = Process::start(name, &self.config, self.listen, admin, &self.folder.0);
        if !wait_ready(self.listen, 20.0) {
            quit("the front is not ready within 20 s");
        }
        self.record.line(&format!("{name} (process {}) is ready", process.pid()));
        process
    }
}

/// Clients that ask for pages, 40 times a second, on connections that are opened again when they are closed.
/// Returns the connections, with all that was asked.
pub fn ask_for_pages(listen: SocketAddr, until: f64, mut tick: impl FnMut(f64)) -> Vec<Arc<Connection>> {
    let mut random = Random::new(1);
    let mut all: Vec<Arc<Connection>> = Vec::new();
    let mut last_opened = 0.0;
    while now() < until {
        tick(now());
        let closed = all.last().is_none_or(|c| c.closed.load(Ordering::SeqCst));
        if closed || now() > last_opened + 2.0 {
            // A client uses a connection for two seconds and then lets it rest.
            match Connection::open(listen, 0.0) {
                Ok(connection) => {
                    all.push(connection);
                    last_opened = now();
                }
                Err(_) => {
                    sleep(0.01);
                    continue;
                }
            }
        }
        let _ = all.last().unwrap().ask("pages", random.next(), 1 + random.below(200), 3000, "", b"");
        sleep(0.025);
    }
    all
}

/// Writes what was asked and answered into the record; returns how much was served, and how much had no answer.
pub fn record_answers(record: &Record, connections: &[Arc<Connection>]) -> (usize, usize) {
    let (mut served, mut unanswered) = (0, 0);
    for connection in connections {
        for (tag, one) in connection.asked.lock().unwrap().iter() {
            let answer = one.answers.first();
            served += usize::from(answer.is_some_and(|a| a.1 == "ok"));
            unanswered += usize::from(answer.is_none());
            let how = answer.map_or("no answer".to_owned(), |a| format!("{} at {}", a.1, record.at(a.0)));
            record.line(&format!(
                "request {tag} call {:016x} {} at {}: {how}",
                one.call,
                one.class,
                record.at(one.at)
            ));
        }
    }
    (served, unanswered)
}

/// Writes what arrived at the nodes into the record.
pub fn record_arrivals(record: &Record, arrivals: &[Arrival]) {
    for a in arrivals {
        let source = a.source.map_or("-".to_owned(), |s| format!("s-{s:08x}"));
        record.line(&format!(
            "arrived at {}: s-{:08x} source {source} call {} {}",
            record.at(a.at),
            a.node,
            a.call,
            a.sort
        ));
    }
}
