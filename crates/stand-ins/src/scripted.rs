//! Stand-ins that a test scripts step by step: each hands the requests that it receives to the test, which
//! chooses the answers. They block, and panic on errors so that the test fails.

use jsonwebtoken::{Algorithm, EncodingKey, Header};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Envoy's resource type for clusters.
pub const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
/// Envoy's resource type for the endpoints of a cluster.
pub const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Timeout for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The Unix time in seconds.
pub fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

/// Connects with a small receive buffer, so that unread bytes stay queued at the sender.
pub fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// Polls the condition until it is true; panics after [`PATIENCE`].
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "{what} never happened");
        thread::yield_now();
    }
}

/// A command that a cache node received, and the connection that its answer goes to.
pub struct ReceivedCommand {
    pub verb: String,
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
    stream: TcpStream,
}

impl ReceivedCommand {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        crate::field(&self.fields, name)
    }
    /// Writes an answer with this result word, these fields and this body.
    pub fn answer(&mut self, word: &str, fields: &str, body: &[u8]) {
        let mut out = format!("{} {word} {fields} {}\r\n", self.id, body.len()).into_bytes();
        out.extend_from_slice(body);
        out.extend_from_slice(b"\r\n");
        self.stream.write_all(&out).unwrap();
    }
    /// Answers with a cache hit.
    pub fn hit(&mut self, body: &[u8]) {
        self.answer("HIT", &format!("n=TCP_HIT,etag=e1,made={}", (unix_seconds() * 1000.0) as u64), body);
    }
    /// Writes these bytes to the connection as they are.
    pub fn write_raw(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    /// Shuts down the connection that the command came on.
    pub fn close_connection(self) {
        self.stream.shutdown(std::net::Shutdown::Both).unwrap();
    }
}

/// A listening address at which a connection attempt is neither accepted nor refused: its accept queue is
/// full, so that the system ignores further attempts until the server accepts.
pub struct UnresponsiveServer {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl UnresponsiveServer {
    /// Starts listening and fills the accept queue.
    #[allow(clippy::new_without_default)]
    pub fn new() -> UnresponsiveServer {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let queued: Vec<_> = (0..3).map_while(|_| connect()).collect();
        assert!((1..3).contains(&queued.len()), "the system lets {} wait", queued.len());
        UnresponsiveServer { listener, queued }
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Returns the listener, which accepts from now on; the first connections that it yields are the queued
    /// ones, already closed by their clients.
    pub fn accept_connections(self) -> TcpListener {
        drop(self.queued);
        self.listener
    }
}

/// Starts a cache node that hands each command that it receives to the test.
pub fn cache_node() -> (SocketAddr, Receiver<ReceivedCommand>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (listener.local_addr().unwrap(), cache_node_at(listener))
}

/// Starts a cache node on this listener.
pub fn cache_node_at(listener: TcpListener) -> Receiver<ReceivedCommand> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || read_commands(stream, &sender));
        }
    });
    receiver
}

fn read_commands(stream: TcpStream, sender: &Sender<ReceivedCommand>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_owned).collect();
        let mut body = vec![0; words.get(3).map_or(0, |l| l.parse().unwrap())];
        if words.len() > 3 {
            let mut end = [0; 2];
            reader.read_exact(&mut body).and_then(|()| reader.read_exact(&mut end)).unwrap();
            assert_eq!(&end, b"\r\n");
        }
        let word = |i: usize| words.get(i).cloned().unwrap_or_default();
        let stream = stream.try_clone().unwrap();
        if sender.send(ReceivedCommand { verb: word(0), id: word(1), fields: word(2), body, stream }).is_err()
        {
            return;
        }
        line.clear();
    }
}

/// Starts a discovery server that serves these nodes, by kind, and hands the requests that it receives to the
/// test.
pub fn discovery(nodes: Vec<(&'static str, SocketAddr)>) -> (SocketAddr, Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (head, body) = read_message(&mut stream);
            let request: Value = serde_json::from_slice(&body).unwrap();
            let resources: Vec<Value> = if head.starts_with("POST /v3/discovery:clusters ") {
                let cluster = |kind: &str| {
                    json!({"@type": CLUSTER, "name": kind,
                        "metadata": {"filter_metadata": {"onyxyoke": {"kind": kind}}}})
                };
                ["standard", "origin"].map(cluster).to_vec()
            } else {
                ["standard", "origin"].map(|kind| assignment(kind, &nodes)).to_vec()
            };
            let response = json!({"version_info": "1", "nonce": "n", "type_url": request["type_url"],
                "resources": resources})
            .to_string();
            let length = response.len();
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{response}");
            let _ = sender.send(request);
        }
    });
    (address, receiver)
}

fn assignment(cluster: &str, nodes: &[(&str, SocketAddr)]) -> Value {
    let endpoints: Vec<Value> = nodes
        .iter()
        .filter(|(kind, _)| *kind == cluster)
        .map(|(_, a)| {
            json!({"endpoint": {"address": {"socket_address": {"address": a.ip(), "port_value": a.port()}}},
            "health_status": "HEALTHY", "load_balancing_weight": 8})
        })
        .collect();
    let zone = if cluster == "origin" { "hub" } else { "branch" };
    json!({"@type": ASSIGNMENT, "cluster_name": cluster,
        "endpoints": [{"locality": {"zone": zone}, "lb_endpoints": endpoints}]})
}

/// Reads an HTTP message whose body has a `Content-Length`; returns its head and body.
pub fn read_message(stream: &mut TcpStream) -> (String, Vec<u8>) {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length =
        head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    if !head.starts_with("HTTP/1.1 304") {
        stream.read_exact(&mut body).unwrap();
    }
    (head, body)
}

/// A signer of links, with its key.
pub struct Signer {
    pub kid: &'static str,
    pub issuer: &'static str,
    pub algorithm: Algorithm,
    pub key: EncodingKey,
    pub jwk: Value,
}

impl Signer {
    /// Returns a signer that uses this secret with HS256.
    pub fn new(kid: &'static str, issuer: &'static str, secret: &[u8; 32]) -> Self {
        use base64::Engine;
        let k = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(secret);
        let jwk = json!({"kty": "oct", "alg": "HS256", "kid": kid, "iss": issuer, "k": k});
        let key = EncodingKey::from_secret(secret).unwrap();
        Signer { kid, issuer, algorithm: Algorithm::HS256, key, jwk }
    }

    /// Returns claims that allow a path for one minute.
    pub fn claims(&self, path: &str) -> Value {
        json!({"iss": self.issuer, "aud": "media-1", "exp": unix_seconds() + 60.0,
            "nbf": unix_seconds() - 60.0, "cdniv": 1,
            "cdniuc": format!("regex:https://media\\.example\\.org{path}(\\?.*)?")})
    }

    /// Signs the claims as a JSON Web Token.
    pub fn sign(&self, claims: &Value) -> String {
        let mut header = Header::new(self.algorithm);
        header.kid = Some(self.kid.into());
        jsonwebtoken::encode(&header, claims, &self.key).unwrap()
    }

    /// Returns a signed link to a path.
    pub fn link(&self, path: &str) -> String {
        format!("{path}?URISigningPackage={}", self.sign(&self.claims(path)))
    }
}

/// Returns an HTTP GET request for this target.
pub fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// Parses the status code of an HTTP answer; returns it with the head and body.
pub fn status((head, body): (String, Vec<u8>)) -> (u16, String, Vec<u8>) {
    (head[9..12].parse().unwrap(), head, body)
}

/// Writes a key file atomically.
pub fn write_keys(path: &Path, keys: &[&Signer], revoked: &[&str]) {
    let keys: Vec<&Value> = keys.iter().map(|s| &s.jwk).collect();
    let next = path.with_extension("next");
    std::fs::write(&next, json!({"keys": keys, "revoked": revoked}).to_string()).unwrap();
    std::fs::rename(next, path).unwrap();
}

/// Starts the program with `variable` set to this file; returns the process, its listening address and the
/// lines that it logs after that.
pub fn start(program: &str, variable: &str, file: &Path) -> (Child, SocketAddr, Receiver<String>) {
    start_with(program, variable, file, &[])
}

/// Starts the program as [`start`] does, with additional environment variables.
pub fn start_with(
    program: &str,
    variable: &str,
    file: &Path,
    variables: &[(&str, &Path)],
) -> (Child, SocketAddr, Receiver<String>) {
    let mut child = Command::new(program)
        .env_remove("NODE_CONFIG")
        .env_remove("ONYXYOKE_OPERATOR")
        .env_remove("NODE_ADMIN_ADDR")
        .env(variable, file)
        .envs(variables.iter().copied())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (sender, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    thread::spawn(move || lines.map_while(Result::ok).try_for_each(|l| sender.send(l)));
    let first: String = log.recv_timeout(PATIENCE).unwrap();
    match first.rsplit(' ').next().and_then(|a| a.parse().ok()) {
        Some(address) => (child, address, log),
        None => panic!("{first}"),
    }
}
