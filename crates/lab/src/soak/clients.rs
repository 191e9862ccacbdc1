//! Clients of the first front: usual ones, which count what they are answered and check every byte, and bad ones.

use crate::connection::ClientConnection;
use crate::paced::PacedReader;
use hdrhistogram::Histogram;
use onyxyoke_stand_ins::{LARGEST, body, row};
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

/// Connections of usual clients, and requests that one has open at most.
const CONNECTIONS: usize = 24;
const OPEN: usize = 16;
/// Objects that are asked for again and again.
const POPULAR: u64 = 3_000;
/// An answer that comes so much after the client's time is late (seconds).
const LATE: f64 = 0.25;
/// A request that crosses the close of its connection was sent so much before it at most (seconds).
const CROSSED: f64 = 0.05;
/// Others are being refused until so long after the last of them was.
const REFUSING: Duration = Duration::from_millis(500);
/// Requests of one burst of aborts.
const BURST: usize = 200;

/// The classes of the example's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Media,
    Pages,
    Holds,
}

impl Class {
    pub const ALL: [Class; 3] = [Class::Media, Class::Pages, Class::Holds];

    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        ["media", "pages", "holds"][self as usize]
    }

    /// How long its clients wait (seconds).
    fn patience(self) -> f64 {
        [5.0, 3.0, 3.0][self as usize]
    }
}

/// What became of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub aborted: u64,
}

struct Sent {
    class: Class,
    row: u64,
    at: Instant,
    aborted: bool,
    again: bool,
}

/// A request, one that is sent again, or one that is taken back at once.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Usual,
    Again,
    Aborted,
}

/// A connection of a usual client.
type Line = ClientConnection<Sent>;

/// All clients. What the bad ones do is set from outside.
pub struct Clients {
    front: SocketAddr,
    rate: f64,
    random: RefCell<StdRng>,
    lines: RefCell<Vec<Rc<Line>>>,
    counts: RefCell<[Counts; 3]>,
    running: Cell<bool>,
    fresh: Cell<u64>,
    /// Share of oversized objects, and of those that are wanted once.
    pub oversized: Cell<f64>,
    pub one_time: Cell<f64>,
    /// Load, in times the usual.
    pub load: Cell<f64>,
    /// How many connections of each kind are kept up.
    pub slow_readers: Cell<usize>,
    pub rude: Cell<usize>,
    pub flood: Cell<usize>,
    pub aborts: Cell<bool>,
    /// Violations: answers that nobody asked for, requests whose connection ended without one, answers that came
    /// late, bytes that are not the object's.
    pub second: Cell<u64>,
    pub lost: Cell<u64>,
    pub late: Cell<u64>,
    pub spoilt: Cell<u64>,
    /// When another request than a hold was last refused; holds that were asked and served about such a time.
    refused_at: Cell<Instant>,
    pub holds_while_refusing: Cell<(u64, u64)>,
    /// Milliseconds to a served answer.
    pub latency: RefCell<Histogram<u64>>,
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl Clients {
    pub fn new(front: SocketAddr, seed: u64, rate: f64) -> Rc<Clients> {
        let latency = Histogram::new_with_bounds(1, 60_000, 3);
        Rc::new(Clients {
            front,
            rate,
            random: RefCell::new(StdRng::seed_from_u64(seed ^ 0xc11e)),
            lines: RefCell::default(),
            counts: RefCell::default(),
            running: Cell::new(true),
            fresh: Cell::new(POPULAR),
            oversized: Cell::default(),
            one_time: Cell::new(0.02),
            load: Cell::new(1.0),
            slow_readers: Cell::default(),
            rude: Cell::default(),
            flood: Cell::default(),
            aborts: Cell::default(),
            second: Cell::default(),
            lost: Cell::default(),
            late: Cell::default(),
            spoilt: Cell::default(),
            refused_at: Cell::new(Instant::now()),
            holds_while_refusing: Cell::default(),
            latency: RefCell::new(latency.expect("bounds that fit")),
        })
    }

    pub fn counts(&self, class: Class) -> Counts {
        self.counts.borrow()[class as usize]
    }

    /// Requests of usual clients that have no answer yet.
    pub fn pending(&self) -> usize {
        let owed = |l: &Rc<Line>| l.open.borrow().values().filter(|s| !s.aborted).count();
        self.lines.borrow().iter().map(owed).sum()
    }

    /// The object of this place in the order of popularity.
    pub fn popular(&self, place: u64) -> u64 {
        let number = place % POPULAR + 1;
        let length = 4_000 + number.wrapping_mul(2_654_435_761) % 44_000;
        row(number, length as usize)
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random_bool(share.min(1.0))
    }

    fn draw(&self) -> (Class, u64) {
        let mut random = self.random.borrow_mut();
        let class = match random.random_range(0.0..1.0) {
            u if u < 0.56 => Class::Media,
            u if u < 0.97 => Class::Pages,
            _ => Class::Holds,
        };
        // Popularity falls off evenly on a logarithmic scale.
        let place = (POPULAR as f64).powf(random.random_range(0.0..1.0)) as u64 - 1;
        let (large, once) =
            (random.random_bool(self.oversized.get()), random.random_bool(self.one_time.get()));
        if !large && !once {
            return (class, self.popular(place));
        }
        let number = self.fresh.replace(self.fresh.get() + 1);
        let times = if large { random.random_range(5.4..28.0) } else { 1.0 };
        (class, row(number, ((20_000.0 * times) as usize).min(LARGEST)))
    }

    /// Starts all of them.
    pub fn start(self: &Rc<Self>) {
        for _ in 0..CONNECTIONS {
            spawn_local(self.clone().connection());
        }
        spawn_local(self.clone().arrivals());
        for (i, kind) in [Misbehavior::Slow, Misbehavior::Rude, Misbehavior::Flood].into_iter().enumerate() {
            for place in 0..64 {
                spawn_local(self.clone().bad(kind, place, i as u64 * 100 + place as u64));
            }
        }
    }

    /// Nothing more is asked.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// Keeps one connection up.
    async fn connection(self: Rc<Self>) {
        while self.running.get() {
            let Ok((line, read)) = Line::connect(self.front, None).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            self.lines.borrow_mut().push(line.clone());
            let _ = self.read(read, &line).await;
            line.ended.set(true);
            self.lines.borrow_mut().retain(|l| !Rc::ptr_eq(l, &line));
            for sent in line.open.take().into_values().filter(|s| !s.aborted) {
                // A front may close a connection that nothing is open on; what crosses that is sent again, once.
                let crossed = sent.at.elapsed().as_secs_f64() < CROSSED && !sent.again;
                if !crossed {
                    count(&self.lost);
                    eprintln!(
                        "onyxyoke-lab: a connection ended with a request open for {:?}",
                        sent.at.elapsed()
                    );
                    continue;
                }
                self.counts.borrow_mut()[sent.class as usize].asked -= 1;
                spawn_local(self.clone().ask(sent.class, sent.row, Kind::Again));
            }
        }
    }

    /// Reads answers until the connection ends.
    async fn read(&self, read: PacedReader, line: &Line) -> io::Result<()> {
        let (mut read, mut wanted) = (BufReader::new(read), Vec::new());
        loop {
            let [tag, word, _, bytes] = answer(&mut read).await?;
            let tag = String::from_utf8_lossy(&tag).parse().unwrap_or(0);
            let Some(sent) = line.open.borrow_mut().remove(&tag) else {
                count(&self.second);
                continue;
            };
            if sent.aborted {
                continue;
            }
            let took = sent.at.elapsed().as_secs_f64();
            if took > sent.class.patience() + LATE {
                count(&self.late);
            }
            let mut counts = self.counts.borrow_mut();
            let counts = &mut counts[sent.class as usize];
            match &word[..] {
                b"ok" => {
                    counts.served += 1;
                    let _ = self.latency.borrow_mut().record((took * 1000.0) as u64);
                    match sent.class {
                        Class::Holds => wanted = b"held".to_vec(),
                        _ => body(sent.row, &mut wanted),
                    }
                    if bytes != wanted {
                        count(&self.spoilt);
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
            if sent.class == Class::Holds && self.refused_at.get() + REFUSING > sent.at {
                self.holds_while_refusing.set((asked + 1, served + u64::from(&word[..] == b"ok")));
            }
        }
    }

    /// Asks at the usual rate, whatever became of what was asked before.
    async fn arrivals(self: Rc<Self>) {
        while self.running.get() {
            let gap = -(1.0 - self.random.borrow_mut().random_range(0.0..1.0f64)).ln();
            sleep(Duration::from_secs_f64(gap / self.rate / self.load.get())).await;
            let (class, row) = self.draw();
            spawn_local(self.clone().ask(class, row, Kind::Usual));
            if self.aborts.get() && self.chance(0.02) {
                for _ in 0..BURST {
                    let (class, row) = self.draw();
                    spawn_local(self.clone().ask(class, row, Kind::Aborted));
                }
            }
        }
    }

    /// One request on some connection that has room.
    async fn ask(self: Rc<Self>, class: Class, row: u64, kind: Kind) {
        let (abort, again) = (kind == Kind::Aborted, kind == Kind::Again);
        let line = {
            let lines = self.lines.borrow();
            let free: Vec<&Rc<Line>> = lines.iter().filter(|l| l.open.borrow().len() < OPEN).collect();
            if free.is_empty() {
                return;
            }
            free[self.random.borrow_mut().random_range(0..free.len())].clone()
        };
        let tag = line.fresh_tag();
        let bytes = {
            let mut random = self.random.borrow_mut();
            request(&mut random, tag, class, row, if class == Class::Holds { 200 } else { 0 })
        };
        line.open.borrow_mut().insert(tag, Sent { class, row, at: Instant::now(), aborted: abort, again });
        let mut write = line.write.lock().await;
        if line.ended.get() {
            // It closed before this was sent.
            line.open.borrow_mut().remove(&tag);
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

    /// Keeps one place of a kind of bad clients filled, as long as so many are wanted.
    async fn bad(self: Rc<Self>, kind: Misbehavior, place: usize, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while self.running.get() {
            let wanted = match kind {
                Misbehavior::Slow => self.slow_readers.get(),
                Misbehavior::Rude => self.rude.get(),
                Misbehavior::Flood => self.flood.get(),
            };
            if place < wanted {
                let _ = timeout(Duration::from_secs(8), self.misbehave(kind, &mut random)).await;
            }
            sleep(Duration::from_millis(random.random_range(20..120))).await;
        }
    }

    async fn misbehave(&self, kind: Misbehavior, random: &mut StdRng) -> io::Result<()> {
        // What the system buffers for a client that does not read is kept small, so that the front must.
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(8 * 1024)?;
        let mut stream = socket.connect(self.front).await?;
        let fresh = || self.fresh.replace(self.fresh.get() + 1);
        match kind {
            Misbehavior::Slow | Misbehavior::Flood => {
                for tag in 1..=32 {
                    let large = row(fresh(), LARGEST);
                    let (row, bytes) = match kind {
                        // Bodies with it, which a read does not need and must be held all the same.
                        Misbehavior::Flood => (large, 47_000),
                        _ => (large, 0),
                    };
                    let bytes = request(random, tag, Class::Media, row, bytes);
                    stream.write_all(&bytes).await?;
                }
                // Reads a little now and then.
                let mut some = [0; 2_000];
                loop {
                    sleep(Duration::from_millis(500)).await;
                    if stream.read(&mut some).await? == 0 {
                        return Ok(());
                    }
                }
            }
            Misbehavior::Rude => {
                let bytes: Vec<u8> = match random.random_range(0..6) {
                    0 => Vec::new(),
                    1 => (0..300).map(|_| random.random()).collect(),
                    2 => b"*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$5\r\nmedia\r\n$60000000\r\n".to_vec(),
                    3 => {
                        let whole = request(random, 1, Class::Media, row(fresh(), 100), 47_000);
                        whole[..whole.len() / 2].to_vec()
                    }
                    4 => b"*3\r\n$3\r\nREQ\r\n$1\r\n1".to_vec(),
                    _ => request(random, 1, Class::Pages, self.popular(7), 0).repeat(40),
                };
                stream.write_all(&bytes).await?;
                let mut rest = [0; 4096];
                while stream.read(&mut rest).await? > 0 {}
                Ok(())
            }
        }
    }
}

/// Clients that no front can want.
#[derive(Clone, Copy)]
enum Misbehavior {
    Slow,
    Rude,
    Flood,
}

fn digits(number: u64) -> usize {
    number.to_string().len()
}

/// A request as the protocol words it.
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

/// Reads an answer: four words.
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
