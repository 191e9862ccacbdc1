//! Runs the program as a process against stand-ins for clients, cache nodes, the coordinator and discovery.
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

/// Starts the program with `variable` set to this file. Returns the process, its listen address and its log.
pub fn start(variable: &str, file: &Path) -> (Child, SocketAddr, Receiver<String>) {
    onyxyoke_stand_ins::scripted::start(env!("CARGO_BIN_EXE_onyxyoke"), variable, file)
}

/// A front that serves signed links, started with the operator's example file on ports of the test.
pub struct SignedFront {
    pub child: Child,
    pub address: SocketAddr,
    pub keys: PathBuf,
    pub log: Receiver<String>,
    folder: PathBuf,
}

impl SignedFront {
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
        SignedFront { child, address, keys: key_file, log, folder }
    }

    /// Sends a request on a new connection and reads the answer.
    pub fn request(&self, text: &str) -> (u16, String, Vec<u8>) {
        let mut stream = self.send(text);
        status(read_message(&mut stream))
    }

    /// Sends a request on a new connection and returns that without reading the answer.
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

    /// Reads the log until a line contains this, and returns the line.
    pub fn logged(&self, what: &str) -> String {
        logged(&self.log, what)
    }

    /// The memory accounts that the counters print (bytes).
    pub fn accounts(&self) -> BTreeMap<String, f64> {
        accounts(&self.child, &self.log)
    }
}

/// Sends a process a signal.
fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

/// Reads a log until a line contains this, and returns the line.
fn logged(log: &Receiver<String>, what: &str) -> String {
    // One deadline for all lines: other lines don't prolong the wait.
    let deadline = Instant::now() + PATIENCE;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let line = log.recv_timeout(left).unwrap_or_else(|_| panic!("'{what}' was never logged"));
        if line.contains(what) {
            return line;
        }
    }
}

/// Has a process print its counters and returns its memory accounts (bytes).
fn accounts(child: &Child, log: &Receiver<String>) -> BTreeMap<String, f64> {
    signal(child, "-USR1");
    let line = logged(log, "memory total=");
    line.split(' ')
        .filter_map(|w| w.split_once('='))
        .filter_map(|(k, v)| Some((k.into(), v.parse().ok()?)))
        .collect()
}

impl Drop for SignedFront {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub const EDGE: u32 = 7;
pub const OTHER_EDGE: u32 = 8;
pub const ORIGIN: u32 = 9;
pub const OBJECT: &str = "7f3a9c21e0b4d655";

/// The settings of the operator's example file, in the form that the platform sends them.
pub fn settings() -> Value {
    let operator: Value = toml::from_str(include_str!("../../deploy/operator.toml")).unwrap();
    operator["settings"].clone()
}

/// A member of the list of nodes.
pub fn member(id: u32, kind: &str, address: SocketAddr) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": address, "cell": 0, "phase": "active", "size": 8,
        "locality": if kind == "origin" { "hub" } else { "branch" }, "flavor": kind, "up_since_ms": 0})
}

/// Starts a coordinator that passes each connection of a front to the test, with the index of the last event
/// that the front has.
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

/// A front that the platform configures, with a coordinator.
pub struct PlatformFront {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Receiver<String>,
    pub folder: PathBuf,
    /// Its `TMPDIR`, if that is not the test's own.
    pub tmp: Option<PathBuf>,
    /// The front's connections to the coordinator, each with the index of the last event that the front has.
    pub feeds: Receiver<(u64, TcpStream)>,
}

impl PlatformFront {
    pub fn start(name: &str, members: Vec<Value>, change: impl Fn(&mut Value)) -> Self {
        Self::start_in_tmpdir(name, members, change, None)
    }

    /// Starts the front with `TMPDIR` set to `tmp`, if there is one.
    pub fn start_in_tmpdir(
        name: &str,
        members: Vec<Value>,
        change: impl Fn(&mut Value),
        tmp: Option<&Path>,
    ) -> Self {
        let variables: Vec<(&str, &Path)> = tmp.map(|tmp| ("TMPDIR", tmp)).into_iter().collect();
        Self::start_with_variables(name, members, change, &variables)
    }

    /// Starts the front with further environment variables.
    pub fn start_with_variables(
        name: &str,
        members: Vec<Value>,
        change: impl Fn(&mut Value),
        variables: &[(&str, &Path)],
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
        let program = env!("CARGO_BIN_EXE_onyxyoke");
        let (child, address, log) = onyxyoke_stand_ins::scripted::start_with(
            program,
            "NODE_CONFIG",
            &folder.join("config.json"),
            variables,
        );
        let tmp = variables.iter().find(|(name, _)| *name == "TMPDIR").map(|(_, tmp)| tmp.to_path_buf());
        PlatformFront { child, address, log, folder, tmp, feeds }
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Reads the log until a line contains this, and returns the line.
    pub fn logged(&self, what: &str) -> String {
        logged(&self.log, what)
    }

    /// The memory accounts that the counters print (bytes).
    pub fn accounts(&self) -> BTreeMap<String, f64> {
        accounts(&self.child, &self.log)
    }

    /// Changes the front's configuration file and has the front read it again.
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

impl Drop for PlatformFront {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A client's connection to the front.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// The RESP frame of a command.
pub fn frame(words: &[&str]) -> String {
    let framed_words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{framed_words}", words.len())
}

impl Client {
    pub fn send(&mut self, words: &[&str]) {
        self.stream.write_all(frame(words).as_bytes()).unwrap();
    }

    /// Sends a request for [`OBJECT`] in the class `media`; `more_fields` follow the usual ones.
    pub fn send_request(&mut self, tag: &str, call: u64, more_fields: &str) {
        let fields =
            format!("call={call:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5,novel=1{more_fields}");
        self.send(&["REQ", tag, "media", &fields, ""]);
    }

    /// Reads a line that holds a number behind this mark.
    pub fn number(&mut self, mark: char) -> usize {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.strip_prefix(mark).unwrap_or_else(|| panic!("{line:?}")).trim_end().parse().unwrap()
    }

    /// Reads an answer and returns its words.
    pub fn answer(&mut self) -> Vec<String> {
        let count = self.number('*');
        let word = |client: &mut Self| {
            let mut bytes = vec![0; client.number('$') + 2];
            client.reader.read_exact(&mut bytes).unwrap();
            bytes.truncate(bytes.len() - 2);
            String::from_utf8(bytes).unwrap()
        };
        (0..count).map(|_| word(self)).collect()
    }

    /// Waits for the end of the connection; returns false if a byte comes first.
    pub fn ends_without_data(&mut self) -> bool {
        at_end(&mut self.reader).unwrap_or(true)
    }
}

/// Starts a front with one cache node, which is its origin too; returns the front and the node's commands.
pub fn front_with_one_cache(name: &str) -> (PlatformFront, Receiver<ReceivedCommand>) {
    let (cache, served) = cache_node();
    (
        PlatformFront::start(
            name,
            vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)],
            |_| (),
        ),
        served,
    )
}

/// Starts a front with two cache nodes, the second of which is its origin too; returns the front and, for
/// each node, its address and its commands.
pub fn front_with_two_caches(name: &str) -> (PlatformFront, [(SocketAddr, Receiver<ReceivedCommand>); 2]) {
    let caches = [cache_node(), cache_node()];
    let [one, two] = [caches[0].0, caches[1].0];
    let members = vec![
        member(EDGE, "standard", one),
        member(OTHER_EDGE, "standard", two),
        member(ORIGIN, "origin", two),
    ];
    (PlatformFront::start(name, members, |_| ()), caches)
}

/// Waits for the next command at a cache node.
pub fn next(served: &Receiver<ReceivedCommand>) -> ReceivedCommand {
    served.recv_timeout(PATIENCE).expect("no command came to the cache node")
}

/// Returns whether a stream is at its end. `read_exact` repeats a read that a signal interrupts.
pub fn at_end(stream: &mut impl Read) -> std::io::Result<bool> {
    match stream.read_exact(&mut [0]) {
        Ok(()) => Ok(false),
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => Ok(true),
        Err(e) => Err(e),
    }
}

/// A client that has sent a command, read its answer, and is idle from then on.
pub fn idle_client(front: &PlatformFront) -> Client {
    let mut client = front.connect();
    client.send(&["HEALTH", "8", ""]);
    client.answer();
    client
}

/// The frame of a keyed request in the class `holds`. The reserve is for that class, so that the front
/// refuses none of its requests while memory is scarce.
pub fn keyed_request_frame(tag: u64) -> String {
    let fields = format!("call={tag:016x},ttl=3000,row={OBJECT},slice=0,set=17,heap=10.5,dedupe=k{tag}");
    frame(&["REQ", &tag.to_string(), "holds", &fields, ""])
}

/// Sends the request of [`keyed_request_frame`].
pub fn send_keyed_request(client: &mut Client, tag: u64) {
    client.stream.write_all(keyed_request_frame(tag).as_bytes()).unwrap();
}

/// Returns whether the front has closed the connection.
pub fn is_closed(client: &mut Client) -> bool {
    client.stream.set_nonblocking(true).unwrap();
    client.stream.peek(&mut [0]).is_ok_and(|n| n == 0)
}

/// Replaces the front: registers the test's own process as its successor, and sends SIGTERM.
pub fn replace_front(front: &PlatformFront, tmp: &Path) {
    let paths = std::fs::read_dir(tmp).unwrap().map(|entry| entry.unwrap().path());
    for pid_file in paths.filter(|path| path.extension().is_some_and(|e| e == "live")) {
        std::fs::write(pid_file, std::process::id().to_string()).unwrap();
    }
    front.signal("-TERM");
}

/// The issuer of the links that [`talks`] signs.
pub const TALKS_ISSUER: &str = "talks.example.org";

/// The signer of the talks team's links.
pub fn talks() -> Signer {
    Signer::new("t1", TALKS_ISSUER, b"the talks team's secret, 32 byte")
}

/// Starts a front that serves signed links, with a cache node and an origin, and waits until it has applied
/// the list of nodes. Returns the front and the cache node's commands.
pub fn start_signed_front(
    name: &str,
    keys: &[&Signer],
    change: impl Fn(String) -> String,
) -> (SignedFront, Receiver<ReceivedCommand>) {
    let (cache, served) = cache_node();
    let (origin, origin_commands) = cache_node();
    let (server, requests) = discovery(vec![("standard", cache), ("origin", origin)]);
    let front = SignedFront::start(name, keys, server, change);
    // The third request for a resource type shows that the front has applied the first two answers.
    (0..6).for_each(|_| drop(requests.recv_timeout(PATIENCE).unwrap()));
    assert_eq!(requests.recv_timeout(PATIENCE).unwrap()["version_info"], "1");
    // The origin keeps its connections open for as long as this receiver exists.
    std::mem::forget(origin_commands);
    (front, served)
}

/// Leaves a configuration file as it is.
pub fn unchanged(text: String) -> String {
    text
}

/// The state of a process that waits for events (proc_pid_stat(5)).
const SLEEPING: char = 'S';
/// The state of a process that SIGSTOP has stopped (proc_pid_stat(5)).
const STOPPED: char = 'T';
/// How often a test is run anew after the machine was too slow for its time limits, so that the run proved
/// nothing.
const MAX_ROUNDS: u32 = 5;

/// Stops the front while `events` runs, so that it then finds all of these events at once.
pub fn while_stopped<T>(front: &PlatformFront, events: impl FnOnce() -> T) -> T {
    eventually("the front waits for events", || process_state(front) == SLEEPING);
    front.signal("-STOP");
    eventually("the front is stopped", || process_state(front) == STOPPED);
    let result = events();
    front.signal("-CONT");
    result
}

/// The state of the front's process.
fn process_state(front: &PlatformFront) -> char {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.child.id())).unwrap();
    let (_, fields_after_name) = stat.rsplit_once(") ").unwrap();
    fields_after_name.chars().next().unwrap()
}

/// Runs a test until it returns `Some`. It returns `None` if the machine was too slow for its time limits.
pub fn retry_if_late(mut run: impl FnMut(&str) -> Option<()>) {
    let in_time = (0..MAX_ROUNDS).any(|round| run(&format!("round-{round}")).is_some());
    assert!(in_time, "the machine was too slow in each of {MAX_ROUNDS} rounds");
}

/// Makes a folder of a test's own.
pub fn make_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("onyxyoke-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Address of a front's operators' socket, read from its log.
pub fn admin_of(node: &PlatformFront) -> SocketAddr {
    node.logged("answers operators on").rsplit(' ').next().unwrap().parse().unwrap()
}

/// Sends one call and returns the complete reply, which ends with the connection.
pub fn call(admin: SocketAddr, line: &str) -> String {
    read_reply(&mut send_call(admin, line))
}

/// Sends one call without reading the reply.
pub fn send_call(admin: SocketAddr, line: &str) -> TcpStream {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    stream
}

/// Reads the complete reply to a call, which ends with the connection.
pub fn read_reply(stream: &mut TcpStream) -> String {
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.ends_with('\n'), "the reply is incomplete: {reply:?}");
    reply
}

/// Value of one series in a reply to `counters`.
pub fn series_value(reply: &str, series: &str) -> u64 {
    assert!(reply.starts_with("ok\n") && reply.ends_with("\neof\n"), "the reply is incomplete: {reply:?}");
    let line = reply.lines().find(|l| l.split(' ').next() == Some(series));
    line.unwrap_or_else(|| panic!("no {series} in {reply}")).rsplit(' ').next().unwrap().parse().unwrap()
}

/// Makes a named pipe at this path: opening it blocks until the other side opens it too.
pub fn make_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// Opens the other side of a pipe that a front waits at, and removes the pipe.
pub fn release_pipe(pipe: &Path) {
    let writer = std::fs::File::options().write(true).open(pipe).unwrap();
    std::fs::remove_file(pipe).unwrap();
    drop(writer);
}

/// Starts a front with an operators' socket, at this address if there is one, that waits at the named pipe,
/// while there is one, before it writes its record of cordons.
pub fn start_with_held_writes(
    name: &str,
    members: Vec<Value>,
    address: Option<SocketAddr>,
    tmp: &Path,
    pipe: &Path,
) -> PlatformFront {
    assert_planted_faults_work();
    let change = |config: &mut Value| {
        config["admin_addr"] = json!("127.0.0.1:0");
        if let Some(address) = address {
            config["listen"] = json!(address);
        }
    };
    let planted = format!("hold-record={}", pipe.display());
    let variables = [("TMPDIR", tmp), ("ONYXYOKE_PLANTED", Path::new(&planted))];
    PlatformFront::start_with_variables(name, members, change, &variables)
}

/// Panics if the program was built without the feature `planted`, so that planted faults have no effect.
fn assert_planted_faults_work() {
    let program = env!("CARGO_BIN_EXE_onyxyoke");
    let out = Command::new(program).env("ONYXYOKE_PLANTED", "no-start").output().unwrap();
    let planted = out.status.code() == Some(1) && out.stderr.is_empty();
    assert!(planted, "{program} was built without `planted`: cargo test --workspace builds it");
}

/// Path of the front's cordons file, which has the name of its note with another extension.
pub fn cordons_file(tmp: &Path) -> PathBuf {
    let mut files = std::fs::read_dir(tmp).unwrap().map(|entry| entry.unwrap().path());
    let note = files.find(|path| path.extension().is_some_and(|extension| extension == "live"));
    note.expect("the front's note").with_extension("cordons")
}

/// Waits until the front's counters contain this text.
pub fn await_counter(front: &PlatformFront, text: &str) {
    eventually(text, || {
        front.signal("-USR1");
        format!("{} ", front.logged("counters")).contains(text)
    });
}
