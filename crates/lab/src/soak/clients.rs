//! Clients of the front: regular ones, which count their answers and check every byte, and misbehaving ones.

use crate::connection::ClientConnection;
use crate::paced::PacedReader;
use hdrhistogram::Histogram;
use onyxyoke_stand_ins::{MAX_OBJECT_BYTES, row_with_length, write_body};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpSocket;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Connections of regular clients.
const CONNECTIONS: usize = 24;
/// Maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 16;
/// Number of objects that are requested repeatedly.
const POPULAR_OBJECTS: u64 = 3_000;
/// An answer that arrives this long after the client's patience has expired counts as late.
const LATE_SECONDS: f64 = 0.25;
/// A request sent at most this long before its connection closed counts as crossing the close, and is
/// retried.
const CLOSE_RACE_SECONDS: f64 = 0.05;
/// A hold sent within this time after a refusal in another class counts as sent while others are refused.
const REFUSAL_WINDOW: Duration = Duration::from_millis(500);
/// Number of requests in one burst of aborted requests.
const ABORT_BURST: usize = 200;

/// The classes of the example settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Media,
    Pages,
    Holds,
}

impl Class {
    pub const ALL: [Class; 3] = [Class::Media, Class::Pages, Class::Holds];

    /// The name on the wire.
    pub fn name(self) -> &'static str {
        ["media", "pages", "holds"][self as usize]
    }

    /// How long its clients wait, in seconds.
    fn patience(self) -> f64 {
        [5.0, 3.0, 3.0][self as usize]
    }
}

/// Request counts of one class, by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests sent and not aborted.
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub aborted: u64,
}

/// A request that was sent.
struct Sent {
    class: Class,
    row: u64,
    at: Instant,
    aborted: bool,
    retried: bool,
}

/// Whether a request is regular, a retry, or aborted at once.
#[derive(Clone, Copy, PartialEq)]
enum RequestKind {
    Regular,
    Retry,
    Aborted,
}

/// A connection of a regular client.
type Connection = ClientConnection<Sent>;

/// All clients. The soak sets the load and the number of misbehaving clients.
pub struct Clients {
    front: SocketAddr,
    rate: f64,
    random: RefCell<StdRng>,
    connections: RefCell<Vec<Rc<Connection>>>,
    counts: RefCell<[Counts; 3]>,
    running: Cell<bool>,
    /// Number of the next object that is requested once.
    next_object: Cell<u64>,
    /// Share of requests for oversized objects.
    pub oversized: Cell<f64>,
    /// Share of requests for objects that are requested once.
    pub one_time: Cell<f64>,
    /// Factor on the request rate.
    pub load: Cell<f64>,
    /// Connections of clients that hardly read.
    pub slow_readers: Cell<usize>,
    /// Connections of clients that send malformed or incomplete requests.
    pub malformed: Cell<usize>,
    /// Connections of clients that send large bodies and hardly read.
    pub flood: Cell<usize>,
    /// Whether bursts of aborted requests are sent.
    pub aborts: Cell<bool>,
    /// Violation: answers without an open request.
    pub unexpected: Cell<u64>,
    /// Violation: requests whose connection ended without an answer.
    pub lost: Cell<u64>,
    /// Violation: answers after the client's patience.
    pub late: Cell<u64>,
    /// Violation: answers with other bytes than the object's.
    pub corrupted: Cell<u64>,
    /// When a request of a class other than holds was last refused.
    refused_at: Cell<Instant>,
    /// Holds sent, and holds served, within `REFUSAL_WINDOW` of such a refusal.
    pub holds_while_refusing: Cell<(u64, u64)>,
    /// Latency of served answers in milliseconds.
    pub latency: RefCell<Histogram<u64>>,
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl Clients {
    pub fn new(front: SocketAddr, seed: u64, rate: f64) -> Rc<Clients> {
        let latency = Histogram::new_with_bounds(1, 60_000, 3);
        Rc::new(Clients {
            front,
            rate,
            random: RefCell::new(StdRng::seed_from_u64(seed ^ 0xc11e)),
            connections: RefCell::default(),
            counts: RefCell::default(),
            running: Cell::new(true),
            next_object: Cell::new(POPULAR_OBJECTS),
            oversized: Cell::default(),
            one_time: Cell::new(0.02),
            load: Cell::new(1.0),
            slow_readers: Cell::default(),
            malformed: Cell::default(),
            flood: Cell::default(),
            aborts: Cell::default(),
            unexpected: Cell::default(),
            lost: Cell::default(),
            late: Cell::default(),
            corrupted: Cell::default(),
            refused_at: Cell::new(Instant::now()),
            holds_while_refusing: Cell::default(),
            latency: RefCell::new(latency.expect("bounds that fit")),
        })
    }

    /// Returns the counts of a class.
    pub fn counts(&self, class: Class) -> Counts {
        self.counts.borrow()[class as usize]
    }

    /// Returns the number of requests of regular clients without an answer.
    pub fn pending(&self) -> usize {
        let unanswered = |l: &Rc<Connection>| l.open.borrow().values().filter(|s| !s.aborted).count();
        self.connections.borrow().iter().map(unanswered).sum()
    }

    /// Returns the object at this rank of popularity.
    pub fn popular(&self, rank: u64) -> u64 {
        let number = rank % POPULAR_OBJECTS + 1;
        let length = 4_000 + number.wrapping_mul(2_654_435_761) % 44_000;
        row_with_length(number, length as usize)
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random_bool(share.min(1.0))
    }

    /// Draws the class and object of a request.
    fn draw(&self) -> (Class, u64) {
        let mut random = self.random.borrow_mut();
        let class = match random.random_range(0.0..1.0) {
            draw if draw < 0.56 => Class::Media,
            draw if draw < 0.97 => Class::Pages,
            _ => Class::Holds,
        };
        // The rank is uniform on a logarithmic scale.
        let rank = (POPULAR_OBJECTS as f64).powf(random.random_range(0.0..1.0)) as u64 - 1;
        let (large, once) =
            (random.random_bool(self.oversized.get()), random.random_bool(self.one_time.get()));
        if !large && !once {
            return (class, self.popular(rank));
        }
        let number = self.next_object.replace(self.next_object.get() + 1);
        let times = if large { random.random_range(5.4..28.0) } else { 1.0 };
        (class, row_with_length(number, ((20_000.0 * times) as usize).min(MAX_OBJECT_BYTES)))
    }

    /// Starts all clients.
    pub fn start(self: &Rc<Self>) {
        for _ in 0..CONNECTIONS {
            spawn_local(self.clone().keep_connected());
        }
        spawn_local(self.clone().arrivals());
        for (i, kind) in
            [Misbehavior::SlowReader, Misbehavior::Malformed, Misbehavior::Flood].into_iter().enumerate()
        {
            for slot in 0..64 {
                spawn_local(self.clone().run_misbehaving(kind, slot, i as u64 * 100 + slot as u64));
            }
        }
    }

    /// Stops sending requests.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// Keeps one connection of a regular client open.
    async fn keep_connected(self: Rc<Self>) {
        while self.running.get() {
            let Ok((connection, read)) = Connection::connect(self.front, None).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            self.connections.borrow_mut().push(connection.clone());
            let _ = self.read(read, &connection).await;
            connection.ended.set(true);
            self.connections.borrow_mut().retain(|l| !Rc::ptr_eq(l, &connection));
            for sent in connection.open.take().into_values().filter(|s| !s.aborted) {
                // A front may close an idle connection; a request that crosses the close is retried once.
                let close_race = sent.at.elapsed().as_secs_f64() < CLOSE_RACE_SECONDS && !sent.retried;
                if !close_race {
                    increment(&self.lost);
                    eprintln!(
                        "onyxyoke-lab: a connection ended with a request open for {:?}",
                        sent.at.elapsed()
                    );
                    continue;
                }
                self.counts.borrow_mut()[sent.class as usize].asked -= 1;
                spawn_local(self.clone().ask(sent.class, sent.row, RequestKind::Retry));
            }
        }
    }

    /// Reads and checks answers until the connection ends.
    async fn read(&self, read: PacedReader, connection: &Connection) -> io::Result<()> {
        let (mut read, mut expected) = (BufReader::new(read), Vec::new());
        loop {
            let [tag, word, _, bytes] = answer(&mut read).await?;
            let tag = String::from_utf8_lossy(&tag).parse().unwrap_or(0);
            let Some(sent) = connection.open.borrow_mut().remove(&tag) else {
                increment(&self.unexpected);
                continue;
            };
            if sent.aborted {
                continue;
            }
            let took = sent.at.elapsed().as_secs_f64();
            if took > sent.class.patience() + LATE_SECONDS {
                increment(&self.late);
            }
            let mut counts = self.counts.borrow_mut();
            let counts = &mut counts[sent.class as usize];
            match &word[..] {
                b"ok" => {
                    counts.served += 1;
                    let _ = self.latency.borrow_mut().record((took * 1000.0) as u64);
                    match sent.class {
                        Class::Holds => expected = b"held".to_vec(),
                        _ => write_body(sent.row, &mut expected),
                    }
                    if bytes != expected {
                        increment(&self.corrupted);
                    }
                }
                b"full" => {
                    counts.refused += 1;
                    if sent.class != Class::Holds {
                        self.refused_at.set(Instant::now());
                    }
                }
                _ => counts.failed += 1,
            }
            let (asked, served) = self.holds_while_refusing.get();
            if sent.class == Class::Holds && self.refused_at.get() + REFUSAL_WINDOW > sent.at {
                self.holds_while_refusing.set((asked + 1, served + u64::from(&word[..] == b"ok")));
            }
        }
    }

    /// Sends requests as a Poisson process at the configured rate, independently of earlier answers.
    async fn arrivals(self: Rc<Self>) {
        while self.running.get() {
            let gap = -(1.0 - self.random.borrow_mut().random_range(0.0..1.0f64)).ln();
            sleep(Duration::from_secs_f64(gap / self.rate / self.load.get())).await;
            let (class, row) = self.draw();
            spawn_local(self.clone().ask(class, row, RequestKind::Regular));
            if self.aborts.get() && self.chance(0.02) {
                for _ in 0..ABORT_BURST {
                    let (class, row) = self.draw();
                    spawn_local(self.clone().ask(class, row, RequestKind::Aborted));
                }
            }
        }
    }

    /// Sends one request on a random connection with a free request slot.
    async fn ask(self: Rc<Self>, class: Class, row: u64, kind: RequestKind) {
        let (abort, retried) = (kind == RequestKind::Aborted, kind == RequestKind::Retry);
        let connection = {
            let connections = self.connections.borrow();
            let free: Vec<&Rc<Connection>> =
                connections.iter().filter(|l| l.open.borrow().len() < MAX_OPEN_REQUESTS).collect();
            if free.is_empty() {
                return;
            }
            free[self.random.borrow_mut().random_range(0..free.len())].clone()
        };
        let tag = connection.allocate_tag();
        let bytes = {
            let mut random = self.random.borrow_mut();
            request(&mut random, tag, class, row, if class == Class::Holds { 200 } else { 0 })
        };
        connection
            .open
            .borrow_mut()
            .insert(tag, Sent { class, row, at: Instant::now(), aborted: abort, retried });
        let mut write = connection.write.lock().await;
        if connection.ended.get() {
            // The connection closed before the request was sent.
            connection.open.borrow_mut().remove(&tag);
            return;
        }
        {
            let counts = &mut self.counts.borrow_mut()[class as usize];
            counts.asked += u64::from(!abort);
            counts.aborted += u64::from(abort);
        }
        let _ = write.write_all(&bytes).await;
        if abort {
            let _ = write
                .write_all(format!("*2\r\n$5\r\nABORT\r\n${}\r\n{tag}\r\n", digits(tag)).as_bytes())
                .await;
        }
    }

    /// Runs one slot of misbehaving clients: connects while the configured number of this kind exceeds the
    /// slot's index.
    async fn run_misbehaving(self: Rc<Self>, kind: Misbehavior, slot: usize, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while self.running.get() {
            let connections = match kind {
                Misbehavior::SlowReader => self.slow_readers.get(),
                Misbehavior::Malformed => self.malformed.get(),
                Misbehavior::Flood => self.flood.get(),
            };
            if slot < connections {
                let _ = timeout(Duration::from_secs(8), self.misbehave(kind, &mut random)).await;
            }
            sleep(Duration::from_millis(random.random_range(20..120))).await;
        }
    }

    async fn misbehave(&self, kind: Misbehavior, random: &mut StdRng) -> io::Result<()> {
        // A small receive buffer, so that unread answers are buffered by the front.
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(8 * 1024)?;
        let mut stream = socket.connect(self.front).await?;
        let new_object = || self.next_object.replace(self.next_object.get() + 1);
        match kind {
            Misbehavior::SlowReader | Misbehavior::Flood => {
                for tag in 1..=32 {
                    let large = row_with_length(new_object(), MAX_OBJECT_BYTES);
                    let (row, bytes) = match kind {
                        // A read does not need the body, but the front must buffer it.
                        Misbehavior::Flood => (large, 47_000),
                        _ => (large, 0),
                    };
                    let bytes = request(random, tag, Class::Media, row, bytes);
                    stream.write_all(&bytes).await?;
                }
                // Reads a small chunk every half second.
                let mut chunk = [0; 2_000];
                loop {
                    sleep(Duration::from_millis(500)).await;
                    if stream.read(&mut chunk).await? == 0 {
                        return Ok(());
                    }
                }
            }
            Misbehavior::Malformed => {
                let bytes: Vec<u8> = match random.random_range(0..6) {
                    0 => Vec::new(),
                    1 => (0..300).map(|_| random.random()).collect(),
                    2 => b"*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$5\r\nmedia\r\n$60000000\r\n".to_vec(),
                    3 => {
                        let whole =
                            request(random, 1, Class::Media, row_with_length(new_object(), 100), 47_000);
                        whole[..whole.len() / 2].to_vec()
                    }
                    4 => b"*3\r\n$3\r\nREQ\r\n$1\r\n1".to_vec(),
                    _ => request(random, 1, Class::Pages, self.popular(7), 0).repeat(40),
                };
                stream.write_all(&bytes).await?;
                let mut discarded = [0; 4096];
                while stream.read(&mut discarded).await? > 0 {}
                Ok(())
            }
        }
    }
}

/// Kinds of misbehaving clients.
#[derive(Clone, Copy)]
enum Misbehavior {
    SlowReader,
    Malformed,
    Flood,
}

fn digits(number: u64) -> usize {
    number.to_string().len()
}

/// Encodes a request.
fn request(random: &mut StdRng, tag: u64, class: Class, row: u64, body: usize) -> Vec<u8> {
    let (call, ttl) = (random.random::<u64>(), class.patience() * 1000.0);
    let kb = (row as usize & 0xf_ffff) as f64 / 1000.0;
    let mut fields = format!("call={call:016x},ttl={ttl},row={row:016x},slice=0,set={},heap={kb}", row % 256);
    if class == Class::Holds {
        fields += &format!(",dedupe={call:032x}");
    }
    let mut out = b"*5\r\n".to_vec();
    for word in ["REQ", &tag.to_string(), class.name(), &fields, &"b".repeat(body)] {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

/// Reads an answer, which has four words.
pub async fn answer<R: AsyncRead + Unpin>(read: &mut BufReader<R>) -> io::Result<[Vec<u8>; 4]> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    async fn number<R: AsyncRead + Unpin>(read: &mut BufReader<R>, mark: u8) -> io::Result<usize> {
        let mut line = Vec::new();
        read.read_until(b'\n', &mut line).await?;
        let digits = line.strip_prefix(&[mark]).and_then(|l| l.strip_suffix(b"\r\n"));
        let text = digits.and_then(|d| std::str::from_utf8(d).ok());
        text.and_then(|t| t.parse().ok()).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
    if number(read, b'*').await? != 4 {
        return Err(bad());
    }
    let mut words: [Vec<u8>; 4] = Default::default();
    for word in &mut words {
        let length = number(read, b'$').await?;
        word.resize(length + 2, 0);
        read.read_exact(word).await?;
        word.truncate(length);
    }
    Ok(words)
}
