//! The program as a process, between the stand-ins.
#![allow(dead_code)]

pub use onyxyoke_stand_ins::scripted::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

/// Starts the program with this file alone; where it listens, and what else it logs.
pub fn start(variable: &str, file: &Path) -> (Child, SocketAddr, Receiver<String>) {
    onyxyoke_stand_ins::scripted::start(env!("CARGO_BIN_EXE_onyxyoke"), variable, file)
}

/// The program, started with the operator's example file on ports of the test's.
pub struct Front {
    pub child: Child,
    pub address: SocketAddr,
    pub keys: PathBuf,
    pub log: Receiver<String>,
    folder: PathBuf,
}

impl Front {
    pub fn start(
        name: &str,
        keys: &[&Signer],
        discovery: SocketAddr,
        change: impl Fn(String) -> String,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("onyxyoke-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (key_file, operator) = (folder.join("keys.json"), folder.join("operator.toml"));
        write_keys(&key_file, keys, &[]);
        let text = include_str!("../../deploy/operator.toml")
            .replace("127.0.0.1:8080", "127.0.0.1:0")
            .replace("127.0.0.1:8500", &discovery.to_string())
            .replace("deploy/keys.example.json", key_file.to_str().unwrap())
            .replace("reread_s = 5", "reread_s = 0.02")
            .replace("refresh_s = 0.5", "refresh_s = 0.05");
        std::fs::write(&operator, change(text)).unwrap();
        let (child, address, log) = start("ONYXYOKE_OPERATOR", &operator);
        Front { child, address, keys: key_file, log, folder }
    }

    /// One request on a connection of its own.
    pub fn request(&self, text: &str) -> (u16, String, Vec<u8>) {
        let mut stream = self.send(text);
        status(read_message(&mut stream))
    }

    /// Sends a request and leaves its answer.
    pub fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    }

    pub fn get(&self, target: &str) -> (u16, String, Vec<u8>) {
        self.request(&get(target))
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Reads the log until a line has this in it.
    pub fn logged(&self, what: &str) -> String {
        logged(&self.log, what)
    }

    /// What the counters say of the accounts of memory.
    pub fn accounts(&self) -> BTreeMap<String, f64> {
        accounts(&self.child, &self.log)
    }
}

/// Sends a process a signal.
fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

/// Reads a log until a line has this in it.
fn logged(log: &Receiver<String>, what: &str) -> String {
    // Whatever else is logged meanwhile does not make the wait longer.
    let by = Instant::now() + PATIENCE;
    loop {
        let left = by.saturating_duration_since(Instant::now());
        let line = log.recv_timeout(left).unwrap_or_else(|_| panic!("'{what}' was never logged"));
        if line.contains(what) {
            return line;
        }
    }
}

/// What a process's counters say of its accounts of memory.
fn accounts(child: &Child, log: &Receiver<String>) -> BTreeMap<String, f64> {
    signal(child, "-USR1");
    let line = logged(log, "memory total=");
    line.split(' ')
        .filter_map(|w| w.split_once('='))
        .filter_map(|(k, v)| Some((k.into(), v.parse().ok()?)))
        .collect()
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub const EDGE: u32 = 7;
pub const OTHER: u32 = 8;
pub const ORIGIN: u32 = 9;
pub const OBJECT: &str = "7f3a9c21e0b4d655";

/// The settings of the operator's example, which have the platform's form.
pub fn settings() -> Value {
    let operator: Value = toml::from_str(include_str!("../../deploy/operator.toml")).unwrap();
    operator["settings"].clone()
}

pub fn member(id: u32, kind: &str, address: SocketAddr) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": address, "cell": 0, "phase": "active", "size": 8,
        "locality": if kind == "origin" { "hub" } else { "branch" }, "flavor": kind, "up_since_ms": 0})
}

/// A coordinator: hands each connection of a front to the test, with the number it asked from.
pub fn coordinator() -> (SocketAddr, Receiver<(u64, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, feeds) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut last = [0; 8];
            if stream.read_exact(&mut last).is_err()
                || sender.send((u64::from_be_bytes(last), stream)).is_err()
            {
                return;
            }
        }
    });
    (address, feeds)
}

pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Receiver<String>,
    pub folder: PathBuf,
    /// Its `TMPDIR`, where it is not the test's.
    pub tmp: Option<PathBuf>,
    /// The coordinator: each connection of the front, with the number it asked from.
    pub feeds: Receiver<(u64, TcpStream)>,
}

impl Node {
    pub fn start(name: &str, members: Vec<Value>, change: impl Fn(&mut Value)) -> Self {
        Self::start_in(name, members, change, None)
    }

    /// The same, with `TMPDIR` set to this folder where it is given.
    pub fn start_in(
        name: &str,
        members: Vec<Value>,
        change: impl Fn(&mut Value),
        tmp: Option<&Path>,
    ) -> Self {
        let (coordinator, feeds) = coordinator();
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": coordinator,
            "known": {"index": 3, "updates": [{"index": 3, "endpoints":
                {"revision": 1, "complete": true, "members": members}}]}, "settings": settings()});
        change(&mut config);
        let folder = std::env::temp_dir().join(format!("onyxyoke-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let more: Vec<(&str, &Path)> = tmp.map(|tmp| ("TMPDIR", tmp)).into_iter().collect();
        let program = env!("CARGO_BIN_EXE_onyxyoke");
        let (child, address, log) = onyxyoke_stand_ins::scripted::start_with(
            program,
            "NODE_CONFIG",
            &folder.join("config.json"),
            &more,
        );
        Node { child, address, log, folder, tmp: tmp.map(Path::to_owned), feeds }
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Reads the log until a line has this in it.
    pub fn logged(&self, what: &str) -> String {
        logged(&self.log, what)
    }

    /// What the counters say of the accounts of memory.
    pub fn accounts(&self) -> BTreeMap<String, f64> {
        accounts(&self.child, &self.log)
    }

    /// Changes the front's configuration and has it read that again.
    pub fn reload(&self, change: impl Fn(&mut Value)) {
        let file = self.folder.join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
        change(&mut config);
        std::fs::write(&file, config.to_string()).unwrap();
        self.signal("-HUP");
    }

    pub fn connect(&self) -> Client {
        Client::new(TcpStream::connect(self.address).unwrap())
    }
}

impl Client {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// A command's frame.
pub fn frame(words: &[&str]) -> String {
    let words_framed: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{words_framed}", words.len())
}

impl Client {
    pub fn send(&mut self, words: &[&str]) {
        self.stream.write_all(frame(words).as_bytes()).unwrap();
    }

    pub fn ask(&mut self, tag: &str, call: u64, more: &str) {
        let fields = format!("call={call:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5,novel=1{more}");
        self.send(&["REQ", tag, "media", &fields, ""]);
    }

    pub fn number(&mut self, mark: char) -> usize {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.strip_prefix(mark).unwrap_or_else(|| panic!("{line:?}")).trim_end().parse().unwrap()
    }

    /// An answer's words.
    pub fn answer(&mut self) -> Vec<String> {
        let count = self.number('*');
        let word = |c: &mut Self| {
            let mut bytes = vec![0; c.number('$') + 2];
            c.reader.read_exact(&mut bytes).unwrap();
            bytes.truncate(bytes.len() - 2);
            String::from_utf8(bytes).unwrap()
        };
        (0..count).map(|_| word(self)).collect()
    }

    pub fn closed(&mut self) -> bool {
        at_end(&mut self.reader).unwrap_or(true)
    }
}

pub fn one_cache(name: &str) -> (Node, Receiver<Served>) {
    let (cache, served) = cache_node();
    (
        Node::start(name, vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)], |_| ()),
        served,
    )
}

/// The same with two cache nodes, of which the second is the origin too; where each is, and what it gets.
pub fn two_caches(name: &str) -> (Node, [(SocketAddr, Receiver<Served>); 2]) {
    let caches = [cache_node(), cache_node()];
    let [one, two] = [caches[0].0, caches[1].0];
    let members =
        vec![member(EDGE, "standard", one), member(OTHER, "standard", two), member(ORIGIN, "origin", two)];
    (Node::start(name, members, |_| ()), caches)
}

pub fn next(served: &Receiver<Served>) -> Served {
    served.recv_timeout(PATIENCE).expect("a command at the cache node")
}

/// Is a stream at its end? A read that a signal interrupts says nothing and is repeated.
pub fn at_end(stream: &mut impl Read) -> std::io::Result<bool> {
    match stream.read_exact(&mut [0]) {
        Ok(()) => Ok(false),
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => Ok(true),
        Err(e) => Err(e),
    }
}

/// A client that has spoken, and is idle from now on.
pub fn idle_client(node: &Node) -> Client {
    let mut client = node.connect();
    client.send(&["HEALTH", "8", ""]);
    client.answer();
    client
}

/// The frame of a request of a class that the reserve is for, so that scarce memory refuses none of it.
pub fn hold_frame(tag: u64) -> String {
    let fields = format!("call={tag:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5,dedupe=k{tag}");
    frame(&["REQ", &tag.to_string(), "holds", &fields, ""])
}

/// Sends such a request.
pub fn hold(client: &mut Client, tag: u64) {
    client.stream.write_all(hold_frame(tag).as_bytes()).unwrap();
}

/// Has the front closed it?
pub fn is_closed(client: &mut Client) -> bool {
    client.stream.set_nonblocking(true).unwrap();
    client.stream.peek(&mut [0]).is_ok_and(|n| n == 0)
}

/// A newer process of the front has noted itself, for which this one stands, and the front is told to end.
pub fn replaced(node: &Node, tmp: &Path) {
    let notes = std::fs::read_dir(tmp).unwrap().map(|entry| entry.unwrap().path());
    for note in notes.filter(|path| path.extension().is_some_and(|e| e == "live")) {
        std::fs::write(note, std::process::id().to_string()).unwrap();
    }
    node.signal("-TERM");
}

/// The issuer of [`talks`].
pub const TALKS: &str = "talks.example.org";

/// The signer of the talks team's links.
pub fn talks() -> Signer {
    Signer::new("t1", TALKS, b"the talks team's secret, 32 byte")
}

/// A front, its cache node (which is its origin too) and the first of its discovery server's requests.
pub fn stage(name: &str, keys: &[&Signer], change: impl Fn(String) -> String) -> (Front, Receiver<Served>) {
    let (cache, served) = cache_node();
    let (origin, held) = cache_node();
    let (server, asked) = discovery(vec![("standard", cache), ("origin", origin)]);
    let front = Front::start(name, keys, server, change);
    // The third request of a type says that the first two answers were taken in.
    (0..6).for_each(|_| drop(asked.recv_timeout(PATIENCE).unwrap()));
    assert_eq!(asked.recv_timeout(PATIENCE).unwrap()["version_info"], "1");
    std::mem::forget(held);
    (front, served)
}

/// The file as it is.
pub fn same(text: String) -> String {
    text
}

/// The states of a process that waits for events, and of one that is stopped (proc_pid_stat(5)).
const SLEEPING: char = 'S';
const STOPPED: char = 'T';
/// A machine that is so late that a while is over says nothing; it has this many tries.
const ROUNDS: u32 = 5;

/// Lets events come to the front while it stands still.
pub fn at_once<T>(node: &Node, events: impl FnOnce() -> T) -> T {
    eventually("the front waits for events", || state(node) == SLEEPING);
    node.signal("-STOP");
    eventually("the front stands still", || state(node) == STOPPED);
    let came = events();
    node.signal("-CONT");
    came
}

/// The state of the front's process.
fn state(node: &Node) -> char {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let (_, behind_the_name) = stat.rsplit_once(") ").unwrap();
    behind_the_name.chars().next().unwrap()
}

/// Plays again where the machine was too late, which the play tells by `None`.
pub fn in_time(mut play: impl FnMut(&str) -> Option<()>) {
    let in_time = (0..ROUNDS).any(|round| play(&format!("round-{round}")).is_some());
    assert!(in_time, "{ROUNDS} rounds were late");
}
