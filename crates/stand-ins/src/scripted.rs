//! Stand-ins that a test scripts step by step: what they hear is handed to the test, which says what they answer.
//! They block, and panic where a test is to fail.

use jsonwebtoken::{Algorithm, EncodingKey, Header};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Envoy's resource types.
pub const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
pub const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Longest wait for anything that is to happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

/// A connection for whose unread bytes the system keeps little room, so that they stay where they come from.
pub fn narrow(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// Tries again until it is so.
pub fn eventually(what: &str, mut so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < PATIENCE, "{what} never happened");
        thread::yield_now();
    }
}

/// What came in on a cache node's wire, and where its answer goes.
pub struct Served {
    pub verb: String,
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
    stream: TcpStream,
}

impl Served {
    pub fn field(&self, name: &str) -> Option<&str> {
        crate::field(&self.fields, name)
    }
    pub fn answer(&mut self, word: &str, fields: &str, body: &[u8]) {
        let mut out = format!("{} {word} {fields} {}\r\n", self.id, body.len()).into_bytes();
        out.extend_from_slice(body);
        out.extend_from_slice(b"\r\n");
        self.stream.write_all(&out).unwrap();
    }
    pub fn hit(&mut self, body: &[u8]) {
        self.answer("HIT", &format!("n=TCP_HIT,etag=e1,made={}", (unix() * 1000.0) as u64), body);
    }
    /// Writes these bytes, whatever they are.
    pub fn raw(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    /// Ends the connection with the request on it.
    pub fn hang_up(self) {
        self.stream.shutdown(std::net::Shutdown::Both).unwrap();
    }
}

/// An address at which no connection comes up, and none is refused: as many wait there as may, and whoever else comes is
/// passed over, until it hears.
pub struct UnresponsiveClient {
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl UnresponsiveClient {
    /// Deaf from now on.
    #[allow(clippy::new_without_default)]
    pub fn new() -> UnresponsiveClient {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let come = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let waiting: Vec<_> = (0..3).map_while(|_| come()).collect();
        assert!((1..3).contains(&waiting.len()), "the system lets {} wait", waiting.len());
        UnresponsiveClient { listener, waiting }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Connections come up from now on; the first to be taken are those that only waited, and have ended.
    pub fn hears(self) -> TcpListener {
        drop(self.waiting);
        self.listener
    }
}

/// A cache node: hands each command that it gets to the test.
pub fn cache_node() -> (SocketAddr, Receiver<Served>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (listener.local_addr().unwrap(), cache_node_at(listener))
}

/// A cache node that takes connections here.
pub fn cache_node_at(listener: TcpListener) -> Receiver<Served> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || commands(stream, &sender));
        }
    });
    receiver
}

fn commands(stream: TcpStream, sender: &Sender<Served>) {
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
        if sender.send(Served { verb: word(0), id: word(1), fields: word(2), body, stream }).is_err() {
            return;
        }
        line.clear();
    }
}

/// A discovery server that serves these nodes, by kind, and hands the requests that it gets to the test.
pub fn discovery(nodes: Vec<(&'static str, SocketAddr)>) -> (SocketAddr, Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (head, body) = read_message(&mut stream);
            let ask: Value = serde_json::from_slice(&body).unwrap();
            let resources: Vec<Value> = if head.starts_with("POST /v3/discovery:clusters ") {
                let cluster = |kind: &str| {
                    json!({"@type": CLUSTER, "name": kind,
                        "metadata": {"filter_metadata": {"onyxyoke": {"kind": kind}}}})
                };
                ["standard", "origin"].map(cluster).to_vec()
            } else {
                ["standard", "origin"].map(|kind| assignment(kind, &nodes)).to_vec()
            };
            let response = json!({"version_info": "1", "nonce": "n", "type_url": ask["type_url"],
                "resources": resources})
            .to_string();
            let length = response.len();
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{response}");
            let _ = sender.send(ask);
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

/// Reads a message with a stated length.
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

/// Signs links.
pub struct Signer {
    pub kid: &'static str,
    pub issuer: &'static str,
    pub algorithm: Algorithm,
    pub key: EncodingKey,
    pub jwk: Value,
}

impl Signer {
    /// A signer with a secret of its own.
    pub fn new(kid: &'static str, issuer: &'static str, secret: &[u8; 32]) -> Self {
        use base64::Engine;
        let k = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(secret);
        let jwk = json!({"kty": "oct", "alg": "HS256", "kid": kid, "iss": issuer, "k": k});
        let key = EncodingKey::from_secret(secret).unwrap();
        Signer { kid, issuer, algorithm: Algorithm::HS256, key, jwk }
    }

    /// Claims that are good for a path for a minute.
    pub fn claims(&self, path: &str) -> Value {
        json!({"iss": self.issuer, "aud": "media-1", "exp": unix() + 60.0, "nbf": unix() - 60.0, "cdniv": 1,
            "cdniuc": format!("regex:https://media\\.example\\.org{path}(\\?.*)?")})
    }

    pub fn sign(&self, claims: &Value) -> String {
        let mut header = Header::new(self.algorithm);
        header.kid = Some(self.kid.into());
        jsonwebtoken::encode(&header, claims, &self.key).unwrap()
    }

    /// A link to a path.
    pub fn link(&self, path: &str) -> String {
        format!("{path}?URISigningPackage={}", self.sign(&self.claims(path)))
    }
}

pub fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n")
}

pub fn status((head, body): (String, Vec<u8>)) -> (u16, String, Vec<u8>) {
    (head[9..12].parse().unwrap(), head, body)
}

/// Writes a key file in one step.
pub fn write_keys(path: &Path, keys: &[&Signer], revoked: &[&str]) {
    let keys: Vec<&Value> = keys.iter().map(|s| &s.jwk).collect();
    let next = path.with_extension("next");
    std::fs::write(&next, json!({"keys": keys, "revoked": revoked}).to_string()).unwrap();
    std::fs::rename(next, path).unwrap();
}

/// Starts the program with this file alone; where it listens, and what else it logs.
pub fn start(program: &str, variable: &str, file: &Path) -> (Child, SocketAddr, Receiver<String>) {
    start_with(program, variable, file, &[])
}

/// The same, with these further variables.
pub fn start_with(
    program: &str,
    variable: &str,
    file: &Path,
    more: &[(&str, &Path)],
) -> (Child, SocketAddr, Receiver<String>) {
    let mut child = Command::new(program)
        .env_remove("NODE_CONFIG")
        .env_remove("ONYXYOKE_OPERATOR")
        .env_remove("NODE_ADMIN_ADDR")
        .env(variable, file)
        .envs(more.iter().copied())
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
