//! What the review's cases share, and stand-ins for them, with the standard library alone: cache nodes, the coordinator, clients,
//! operators and the processes of a front. Every address is on loopback.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Unix time in milliseconds, with fractions.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes `record.txt`: one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: f64,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record { file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))), start: now_ms() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.1} {text}\n", now_ms() - self.start);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// An address for a listener of a front: a free port of a loopback address that only this process uses, so that no
/// client's connection takes the port before the front listens.
pub fn free_address() -> SocketAddr {
    let id = std::process::id();
    let ip = format!("127.{}.{}.1", 16 + (id >> 8) % 200, id % 256);
    TcpListener::bind((&*ip, 0)).expect("a free port").local_addr().unwrap()
}

// ---- Cache nodes ----

/// A request that arrived whole at a node.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: f64,
    pub node: u32,
    pub call: String,
    pub fields: HashMap<String, String>,
}

/// A listed node.
#[derive(Clone)]
pub struct Node {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// The bytes of an object, which depend on its name alone.
pub fn object_bytes(row: &str) -> Vec<u8> {
    format!("object {row} ").repeat(20).into_bytes()
}

/// Starts a cache node, a parent or the origin: it holds every object, answers each request after `delay_ms`
/// unless it is cancelled, and notes what arrives.
fn start_node(
    id: u32,
    zone: &'static str,
    kind: &'static str,
    delay_ms: u64,
    arrivals: &Arrivals,
    record: &Record,
) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a node's port");
    let node = Node { id, address: listener.local_addr().unwrap(), zone, kind };
    let (arrivals, record) = (arrivals.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (arrivals, record) = (arrivals.clone(), record.clone());
            thread::spawn(move || serve_node_connection(id, stream, delay_ms, &arrivals, &record));
        }
    });
    node
}

/// A small branch: caches, a parent and the origin.
pub fn start_nodes(caches: u32, delay_ms: u64, arrivals: &Arrivals, record: &Record) -> Vec<Node> {
    let start = |id, zone, kind| start_node(id, zone, kind, delay_ms, arrivals, record);
    let mut nodes: Vec<Node> = (1..=caches).map(|i| start(0x00c4_0000 + i, "branch", "standard")).collect();
    nodes.extend([start(0x00c4_00f0, "hub", "parent"), start(0x00c4_00ff, "hub", "origin")]);
    nodes
}

fn serve_node_connection(id: u32, stream: TcpStream, delay_ms: u64, arrivals: &Arrivals, record: &Record) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a socket")));
    let cancelled: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while {
        line.clear();
        reader.read_line(&mut line).unwrap_or(0)
    } > 0
    {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["serve", call, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                let at_ms = now_ms();
                let fields: HashMap<String, String> = fields
                    .split(',')
                    .filter_map(|f| f.split_once('='))
                    .map(|(n, v)| (n.to_owned(), v.to_owned()))
                    .collect();
                let row = fields.get("asset").cloned().unwrap_or_default();
                let source = fields.get("src").cloned().unwrap_or("-".into());
                record.line(&format!("node s-{id:08x} got {call} asset={row} src={source}"));
                arrivals.lock().unwrap().push(Arrival { at_ms, node: id, call: call.to_owned(), fields });
                let (call, writer, cancelled) = (call.to_owned(), writer.clone(), cancelled.clone());
                thread::spawn(move || {
                    sleep_ms(delay_ms);
                    if cancelled.lock().unwrap().contains(&call) {
                        return;
                    }
                    let bytes = object_bytes(&row);
                    let made = now_ms() as u64;
                    let head = format!("{call} HIT n=TCP_HIT,etag=t{row},made={made} {}\r\n", bytes.len());
                    let mut answer = head.into_bytes();
                    answer.extend(&bytes);
                    answer.extend(b"\r\n");
                    let _ = writer.lock().unwrap().write_all(&answer);
                });
            }
            ["cancel", call] => cancelled.lock().unwrap().push(call.to_owned()),
            ["health" | "gauges", tag] => {
                let _ = writer.lock().unwrap().write_all(format!("{tag} PONG -\r\n").as_bytes());
            }
            _ => return,
        }
    }
}

// ---- The coordinator ----

/// A coordinator without news: it takes the number of the last event and sends an empty frame each second.
pub fn start_coordinator(last: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the coordinator's port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut number = [0; 8];
                if stream.read_exact(&mut number).is_err() {
                    return;
                }
                let mut frame = 9u32.to_be_bytes().to_vec();
                frame.extend(last.to_be_bytes());
                frame.push(0);
                while stream.write_all(&frame).is_ok() {
                    sleep_ms(1000);
                }
            });
        }
    });
    address
}

// ---- Clients ----

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    Served,
    /// An answer 'served' with other bytes than those of the object.
    Wrong,
    Refused,
    Failed,
    /// The connection ended without a whole answer.
    Lost,
    /// No answer within the time and half a second more.
    Silent,
    /// No connection was made, so that nothing was taken.
    NotTaken,
}

static CALLS: AtomicU64 = AtomicU64::new(1);

/// A call id that no other request has.
fn new_call() -> String {
    format!("{:08x}{:08x}", std::process::id(), CALLS.fetch_add(1, Ordering::Relaxed))
}

fn bulk(out: &mut Vec<u8>, word: &[u8]) {
    out.extend(format!("${}\r\n", word.len()).as_bytes());
    out.extend(word);
    out.extend(b"\r\n");
}

fn read_bulk(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let length = line.trim_end().strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
    let Some(length) = length else { return Err(std::io::ErrorKind::UnexpectedEof.into()) };
    let mut word = vec![0; length + 2];
    reader.read_exact(&mut word)?;
    word.truncate(length);
    Ok(word)
}

/// Reads an answer: its tag, word, fields and body.
fn read_answer(reader: &mut impl BufRead) -> std::io::Result<[Vec<u8>; 4]> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if line.trim_end() != "*4" {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok([read_bulk(reader)?, read_bulk(reader)?, read_bulk(reader)?, read_bulk(reader)?])
}

/// Connects, if the front takes connections.
fn connect(front: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(TTL_MS + 500)));
    Some(stream)
}

/// The pace of one transfer to a client by the settings, in KB a second.
const FLOW_KB_PER_S: u64 = 8500;
/// How long a client waits for an answer.
const TTL_MS: u64 = 4000;
/// A request that crosses the close of its connection within this time is sent again, once.
const CROSSING_MS: f64 = 50.0;

/// Sends one request on a connection, and waits for its answer.
fn request(stream: &TcpStream, tag: u64, row: &str, call: &str, size_kb: u64) -> End {
    let mut out = b"*5\r\n".to_vec();
    // `org` names the team, where the front has teams.
    let fields = format!("call={call},ttl={TTL_MS},row={row},slice=0,set=1,heap={size_kb},org=talks");
    for word in ["REQ", &tag.to_string(), "media", &fields, ""] {
        bulk(&mut out, word.as_bytes());
    }
    let mut writer = stream;
    if writer.write_all(&out).is_err() {
        return End::Lost;
    }
    match read_answer(&mut BufReader::new(stream)) {
        Ok([answered, word, fields, body]) => match &word[..] {
            _ if answered != tag.to_string().as_bytes() => End::Wrong,
            b"ok" if fields.is_empty() && body == object_bytes(row) => End::Served,
            b"ok" => End::Wrong,
            b"full" => End::Refused,
            _ => End::Failed,
        },
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            End::Silent
        }
        Err(_) => End::Lost,
    }
}

/// A request of the load, as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub sent_ms: f64,
    pub ended_ms: f64,
    pub call: String,
    /// Its number on its connection, from 1.
    pub tag: u64,
    pub end: End,
}

/// Clients that each have one connection at a time, ask one thing after the other, and connect anew after some
/// requests. A request that crosses the close of an open connection is sent again, once, on a new one.
pub struct Load {
    stop: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// `clients` clients, each with `per_connection` requests on a connection and `pause_ms` between them, for
    /// objects that take `sending_ms` to send.
    pub fn start(
        front: SocketAddr,
        (clients, per_connection, pause_ms, sending_ms): (u64, u64, u64, u64),
        record: &Record,
    ) -> Load {
        let size_kb = sending_ms * FLOW_KB_PER_S / 1000;
        let (stop, asked): (Arc<AtomicBool>, Arc<Mutex<Vec<Asked>>>) = Default::default();
        let client = |number: u64| {
            let (stop, asked, record) = (stop.clone(), asked.clone(), record.clone());
            thread::spawn(move || {
                sleep_ms(number * 1000 / clients);
                let mut object = number * 7919;
                while !stop.load(Ordering::Relaxed) {
                    let Some(mut stream) = connect(front) else {
                        note(&asked, &record, now_ms(), "-", 1, "-", End::NotTaken);
                        sleep_ms(50);
                        continue;
                    };
                    for tag in 1..=per_connection {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        object = (object + 104_729) % 500;
                        let (row, call) = (format!("{:016x}", 0x7f00_0000 + object), new_call());
                        let sent_ms = now_ms();
                        let mut end = request(&stream, tag, &row, &call, size_kb);
                        let crossed = end == End::Lost && tag > 1 && now_ms() - sent_ms < CROSSING_MS;
                        if crossed && let Some(again) = connect(front) {
                            record.line(&format!("client {call} crosses a close, and is sent again"));
                            stream = again;
                            end = request(&stream, tag, &row, &call, size_kb);
                        }
                        note(&asked, &record, sent_ms, &call, tag, &row, end);
                        if matches!(end, End::Lost | End::Silent) {
                            break;
                        }
                        sleep_ms(pause_ms);
                    }
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Load { stop, asked, clients }
    }

    /// Stops, waits for the answers that are due, and returns all requests.
    pub fn finish(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| drop(client.join()));
        self.asked.lock().unwrap().clone()
    }
}

fn note(asked: &Mutex<Vec<Asked>>, record: &Record, sent_ms: f64, call: &str, tag: u64, row: &str, end: End) {
    let ended_ms = now_ms();
    record.line(&format!("client {call} tag={tag} row={row}: {end:?} after {:.0} ms", ended_ms - sent_ms));
    asked.lock().unwrap().push(Asked { sent_ms, ended_ms, call: call.to_owned(), tag, end });
}

/// Counts requests by their end.
pub fn count_ends(asked: &[Asked]) -> String {
    let mut counts: HashMap<End, usize> = HashMap::new();
    asked.iter().for_each(|a| *counts.entry(a.end).or_default() += 1);
    let mut counts: Vec<String> = counts.iter().map(|(end, n)| format!("{end:?} {n}")).collect();
    counts.sort();
    format!("{} requests: {}", asked.len(), counts.join(", "))
}

/// The requests that were taken and got no whole answer, or a wrong one: a cache node had got each of them, so
/// that the front had read it, and it was not the first on its connection.
pub fn lost(asked: &[Asked], arrivals: &Arrivals) -> Vec<Asked> {
    let arrivals = arrivals.lock().unwrap();
    let forwarded = |a: &&Asked| arrivals.iter().any(|arrival| arrival.call == a.call);
    let ended_badly = |a: &&Asked| matches!(a.end, End::Lost | End::Silent | End::Wrong);
    asked.iter().filter(|a| a.tag > 1).filter(ended_badly).filter(forwarded).cloned().collect()
}

// ---- Operators ----

/// One call on an operators' socket: the whole reply.
pub fn operator(address: SocketAddr, call: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(1500)))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply.trim_end().to_owned())
}

// ---- Processes of a front ----

/// A process that this program started. It is killed when it is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    pub operators: SocketAddr,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until it answers `health` with yes.
    pub fn wait_until_ready(&self, within_ms: u64) -> bool {
        let by = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < by {
            if operator(self.operators, "health").is_ok_and(|reply| reply.starts_with("ok")) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Waits for its end: the exit code, or `None` for a signal or no end in time.
    pub fn wait(&mut self, within_ms: u64) -> Option<i32> {
        let by = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < by {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            sleep_ms(10);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A small deployment: the temporary folder, and the `run` command of the deploy file.
pub struct Deployment {
    pub folder: PathBuf,
    pub root: PathBuf,
    run: String,
    pub record: Record,
    pub trouble: bool,
}

impl Deployment {
    /// From the environment that `run.sh` sets; exits with 2 where something is missing.
    pub fn from_environment() -> Deployment {
        let variable = |name: &str| {
            std::env::var(name).unwrap_or_else(|_| {
                eprintln!("{name} is not set");
                std::process::exit(2)
            })
        };
        let record = Record::create(&PathBuf::from(variable("RECORD")));
        Deployment {
            folder: PathBuf::from(variable("FOLDER")),
            root: PathBuf::from(variable("ROOT")),
            run: variable("RUN"),
            record,
            trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
        }
    }

    /// The case could not be played.
    pub fn cannot(&self, why: &str) -> ! {
        self.record.say(&format!("could not run: {why}"));
        std::process::exit(2)
    }

    /// Starts a process of the front with `run`. Processes of one front share `tmpdir`.
    pub fn start(&self, name: &str, variables: &[(&str, &str)], tmpdir: &Path) -> Process {
        let operators = free_address();
        let _ = std::fs::create_dir_all(tmpdir);
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &self.run]).current_dir(&self.root).env_remove("ONYXYOKE_OPERATOR");
        command.env("TMPDIR", tmpdir).env("NODE_ADMIN_ADDR", operators.to_string());
        command.envs(variables.iter().copied());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| self.cannot(&format!("{}: {e}", self.run)));
        self.record.line(&format!("started {name} as process {}", child.id()));
        Process { name: name.to_owned(), child, operators }
    }
}

/// The settings of a small deployment with one branch: classes `media` and `pages`, safe to repeat, and `holds`.
pub const SETTINGS: &str = r#"{"me":0,"fleet-size":1,"az":1,"localities":["hub","branch"],
"kinds":["standard","parent","origin"],"membership-mode":"automatic","weights":"nominal","report":{"fields":[]},
"caps":{"cancel":true,"connect-timeout":0.4,"keepalive":15.0,"max-retry-after":0.5,"max-streams":100,
"may-duplicate":false,"may-tell":false,"most-tries":8,"probes":false},
"invariants":{"ask-every":10.0,"cold":17.0,"cold-from":0.22,"drain-grace":0.5,"fall":2.0,"grace-to-answer":0.008,
"overload-factor":3.0},
"specifics":{"collapses":false,"count-by-zone":[0,1],"good-for":[0.0,8.0,0.0],"multi-part":[false,false,false],
"never-kept":[false,false,true],"old-copy-worth":[0.7,0.5,0.7],"one-flow-kb-per-s":8500.0,"origin-over-for":3.0,
"parent-floor":0.064,"parent-kind":1,"parent-ramp":22.0,"pipe-kb-per-s":[0.0,99000.0],"purge-settles":6.0,
"purge-slack":1.0,"root-fall-multiple":0.0,"says":"all","sideways":"location","source-kind":2,"straight":false,
"upper-fall-multiple":2.0,"usable-after":[0.0,20.0,0.0],"zone-hub":[0,0]},
"profiles":[
{"name":"media","aim":0.5,"aim-stretch":1.6,"deadline":5.0,"late-worth":0.15,"semantics":"idempotent","streaming":false,"worth":2.0},
{"name":"pages","aim":0.25,"aim-stretch":2.0,"deadline":3.0,"late-worth":0.2,"semantics":"idempotent","streaming":false,"worth":1.0},
{"name":"holds","aim":0.6,"deadline":3.0,"group":"all","key-ttl":3.0,"late-worth":0.0,"semantics":"deduplicated","streaming":false,"worth":3.0}]}"#;

/// The platform's file of front `me` of `fronts` in the branch, whose name is `n` and its number.
pub fn config(
    (me, fronts): (usize, usize),
    listen: SocketAddr,
    coordinator: SocketAddr,
    nodes: &[Node],
) -> String {
    let settings = SETTINGS
        .replace(r#""me":0,"fleet-size":1"#, &format!(r#""me":{me},"fleet-size":{fronts}"#))
        .replace(r#""count-by-zone":[0,1]"#, &format!(r#""count-by-zone":[0,{fronts}]"#));
    let member = |n: &Node| {
        format!(
            r#"{{"id":"s-{:08x}","host_port":"{}","locality":"{}","flavor":"{}","cell":0,"phase":"active","size":8,"up_since_ms":0}}"#,
            n.id, n.address, n.zone, n.kind
        )
    };
    let members: Vec<String> = nodes.iter().map(member).collect();
    format!(
        r#"{{"name":"n{me}","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"coordinator":"{coordinator}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
"settings":{settings}}}"#,
        members.join(",")
    )
}

/// The rollout tool's processes: pid and the words that it put into `ONYXYOKE_RUN`, which are the rollout, the
/// front, the number of the process and its side.
pub fn processes_of(rollout: &str) -> Vec<(i32, String)> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|n| n.parse::<i32>().ok()) else { continue };
        let environ = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        let text = String::from_utf8_lossy(&environ).into_owned();
        let run = text.split('\0').find_map(|v| v.strip_prefix("ONYXYOKE_RUN="));
        if let Some(run) = run.filter(|run| run.split(' ').next() == Some(rollout)) {
            found.push((pid, run.to_owned()));
        }
    }
    found
}

/// Ends the processes that a rollout of this test started, by their ids.
pub fn end_processes_of(rollout: &str, record: &Record) {
    for (pid, run) in processes_of(rollout) {
        record.line(&format!("ending process {pid} of '{run}'"));
        unsafe { kill(pid, SIGKILL) };
    }
}

/// A front that is under a rollout: its process, its clients and its files.
pub struct Front {
    pub process: Process,
    pub load: Load,
    pub settings: PathBuf,
    pub tmpdir: PathBuf,
}

/// Two fronts of one branch, `n0` and `n1`, each with its clients. Their files are in this folder.
pub fn start_two_fronts(d: &Deployment, folder: &Path, nodes: &[Node]) -> Vec<Front> {
    let _ = std::fs::create_dir_all(folder);
    let coordinator = start_coordinator(1);
    let start = |me: usize| {
        let listen = free_address();
        let settings = folder.join(format!("n{me}.json"));
        std::fs::write(&settings, config((me, 2), listen, coordinator, nodes)).expect("a settings file");
        let tmpdir = folder.join(format!("tmp{me}"));
        let process = d.start(&format!("n{me}"), &[("NODE_CONFIG", settings.to_str().unwrap())], &tmpdir);
        if !process.wait_until_ready(10_000) {
            d.cannot("a front was not ready in 10 s");
        }
        Front { process, load: Load::start(listen, (10, 8, 250, 100), &d.record), settings, tmpdir }
    };
    (0..2).map(start).collect()
}

/// Writes a plan for the rollout tool, with short times. `new_settings` names the new file of each front.
pub fn write_plan(d: &Deployment, path: &Path, name: &str, fronts: &[Front], new_settings: &[PathBuf]) {
    let program = d.root.join("target/release/onyxyoke").canonicalize().expect("the program");
    let entry = |(front, new): (&Front, &PathBuf)| {
        format!(
            r#"{{"name":"{}","location":"branch","operators":"{}","settings":{:?},"new_settings":{new:?},"folder":{:?}}}"#,
            front.process.name, front.process.operators, front.settings, front.tmpdir
        )
    };
    let entries: Vec<String> = fronts.iter().zip(new_settings).map(entry).collect();
    let plan = format!(
        r#"{{"name":"{name}","old":{{"program":{program:?}}},"new":{{"program":{program:?}}},"classes":["media"],"fronts":[{}],
"spans":{{"watch_s":3,"soak_s":4,"longest_stage_s":30,"longest_s":60,"window_s":0.5,"stale_s":2,"warm_s":5,"start_s":5,
"steady_s":0.5,"end_s":5,"patience_s":10,"silent_s":3}},
"limits":{{"stages":[0.5,1.0],"at_once":0.5}},"gates":{{"least_requests":3}}}}"#,
        entries.join(",")
    );
    std::fs::write(path, plan).expect("a plan");
}

/// Starts the rollout tool in this folder, where it keeps its state (`rollout.state`).
pub fn start_tool(d: &Deployment, folder: &Path, plan: &Path) -> Child {
    let log = File::create(folder.join("tool.log")).expect("a log");
    let mut command = Command::new(d.root.join("target/release/onyxyoke-rollout"));
    command.arg("start").arg(plan).current_dir(folder);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    command.spawn().unwrap_or_else(|e| d.cannot(&format!("onyxyoke-rollout: {e}")))
}

/// Prints the verdict, and ends with its exit code. Processes have to be dropped before.
pub fn verdict(record: &Record, broken: &[String]) -> ! {
    for line in broken.iter().take(20) {
        record.say(&format!("broken: {line}"));
    }
    record.say(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    std::process::exit(i32::from(!broken.is_empty()))
}
