//! Cache nodes and the origin. They store the objects that were requested last, fill missing objects if the
//! request names a source, delay their answers by a service time, and fail as a [`NodeBehavior`] configures.

use crate::command::{Command, discard_body};
use crate::{unix_ms, write_body};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The configured behavior of a node; shares are from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeBehavior {
    /// Share of requests that are answered at once with an error or a rejection.
    pub failing: f64,
    /// Share of requests whose answer has an unparsable or impossible length.
    pub garbling: f64,
    /// Share of requests whose connection ends in the middle of the answer.
    pub truncating: f64,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Factor on the service time.
    pub slow: f64,
}

/// A cache node or the origin.
pub struct Cache {
    /// The listening address.
    pub address: SocketAddr,
    /// Set for the origin, which has every object.
    origin: bool,
    behavior: Cell<NodeBehavior>,
    /// Stored objects, and their order of insertion for eviction.
    stored: RefCell<(HashSet<u64>, VecDeque<u64>)>,
    random: RefCell<SmallRng>,
    /// Requests answered with an object.
    pub served: Cell<u64>,
    /// Requests answered with an error or a rejection.
    pub failed: Cell<u64>,
    /// Cancel commands received.
    pub cancelled: Cell<u64>,
}

/// A request in flight: its id, and a sender that cancels it when dropped.
type OpenRequest = (String, watch::Sender<()>);

/// Objects that a node stores before it evicts the oldest.
const MAX_STORED_OBJECTS: usize = 2_000;
/// Service time of a hit.
const HIT_SECONDS: f64 = 0.004;
/// Additional service time of a fill.
const FILL_SECONDS: f64 = 0.03;
/// Transfer time of a megabyte.
const SECONDS_PER_MEGABYTE: f64 = 0.12;

impl Cache {
    /// Starts a node on a port of its own. It runs until the runtime ends.
    pub async fn start(origin: bool, seed: u64) -> std::io::Result<Rc<Cache>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let cache = Rc::new(Cache {
            address: listener.local_addr()?,
            origin,
            behavior: Cell::new(NodeBehavior { slow: 1.0, ..NodeBehavior::default() }),
            stored: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            served: Cell::new(0),
            failed: Cell::new(0),
            cancelled: Cell::new(0),
        });
        let this = cache.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(this.clone().connection(stream));
            }
        });
        Ok(cache)
    }

    /// Sets the behavior of all later requests.
    pub fn set_behavior(&self, behavior: NodeBehavior) {
        self.behavior.set(behavior);
    }

    /// Deletes every stored object, as after a restart.
    pub fn clear(&self) {
        self.stored.take();
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random_bool(share.min(1.0))
    }

    fn contains_object(&self, row: u64) -> bool {
        self.origin || self.stored.borrow().0.contains(&row)
    }

    fn store(&self, row: u64) {
        let (rows, order) = &mut *self.stored.borrow_mut();
        if rows.insert(row) {
            order.push_back(row);
            if order.len() > MAX_STORED_OBJECTS
                && let Some(old) = order.pop_front()
            {
                rows.remove(&old);
            }
        }
    }

    /// Reads commands. Each request runs in its own task, which a cancel command or the end of the connection
    /// ends.
    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (mut read, write) = (BufReader::new(read), Rc::new(Mutex::new(write)));
        let open: Rc<RefCell<Vec<OpenRequest>>> = Rc::default();
        let mut line = String::new();
        while read.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            match Command::parse(&line) {
                Some(Command::Serve { id, fields, length }) => {
                    if discard_body(&mut read, length).await.is_err() {
                        break;
                    }
                    let (cancel_on_drop, cancelled_signal) = watch::channel(());
                    open.borrow_mut().push((id.to_owned(), cancel_on_drop));
                    let (this, open, write) = (self.clone(), open.clone(), write.clone());
                    let (id, fields) = (id.to_owned(), fields.to_owned());
                    spawn_local(async move {
                        this.serve(&id, &fields, &write, cancelled_signal).await;
                        open.borrow_mut().retain(|o| o.0 != id);
                    });
                }
                Some(Command::Cancel { id }) => {
                    self.cancelled.set(self.cancelled.get() + 1);
                    open.borrow_mut().retain(|o| o.0 != id);
                }
                None => break,
            }
            line.clear();
        }
        open.borrow_mut().clear();
    }

    async fn serve(
        &self,
        id: &str,
        fields: &str,
        write: &Mutex<OwnedWriteHalf>,
        mut cancelled_signal: watch::Receiver<()>,
    ) {
        let field = |name: &str| crate::field(fields, name);
        let asset = field("asset").and_then(|a| u64::from_str_radix(a, 16).ok()).unwrap_or(0);
        let is_hold = field("sort") == Some("holds");
        let behavior = self.behavior.get();
        if behavior.silent {
            return;
        }
        let hit = !is_hold && self.contains_object(asset);
        let available = hit || self.origin || field("src").is_some();
        let mut wait = HIT_SECONDS + if hit { 0.0 } else { FILL_SECONDS };
        let mut bytes = Vec::new();
        let mut line = format!("{id} NONE - 0\r\n\r\n").into_bytes();
        if self.chance(behavior.failing) {
            self.failed.set(self.failed.get() + 1);
            let word = if self.chance(0.5) { "SHED" } else { "FAULT" };
            (line, wait) = (format!("{id} {word} - 0\r\n\r\n").into_bytes(), 0.001);
        } else if self.chance(behavior.garbling) {
            let length = if self.chance(0.5) { "3000000000" } else { "x" };
            line = format!("{id} HIT n=TCP_HIT,etag=e,made=1 {length}\r\n").into_bytes();
        } else if available {
            if is_hold {
                bytes.extend_from_slice(b"held");
            } else {
                write_body(asset, &mut bytes);
                self.store(asset);
            }
            wait += bytes.len() as f64 / 1e6 * SECONDS_PER_MEGABYTE;
            let note = if hit { "TCP_HIT" } else { "TCP_MISS" };
            let length = bytes.len();
            let made = unix_ms();
            line = format!("{id} HIT n={note},etag={asset:x},made={made} {length}\r\n").into_bytes();
            line.extend_from_slice(&bytes);
            line.extend_from_slice(b"\r\n");
            self.served.set(self.served.get() + 1);
        }
        let truncated = bytes.len() > 100 && self.chance(behavior.truncating);
        tokio::select! {
            biased;
            _ = cancelled_signal.changed() => return,
            () = sleep(Duration::from_secs_f64(wait * behavior.slow.max(0.1))) => {}
        }
        let mut write = write.lock().await;
        let length = if truncated { line.len() / 2 } else { line.len() };
        if write.write_all(&line[..length]).await.is_ok() && truncated {
            let _ = write.shutdown().await;
        }
    }
}
