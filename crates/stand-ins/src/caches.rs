//! Cache nodes and the origin: they hold what they were asked for lately, fill what they lack from the source that
//! they are told, take their time, and fail in the ways that a [`NodeBehavior`] says.

use crate::command::{Command, discard_body};
use crate::{body, unix_ms};
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

/// How a node does just now; shares are of 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeBehavior {
    /// Answered at once with an error, or turned away.
    pub failing: f64,
    /// Answered with what cannot be read, or with an impossible length.
    pub garbling: f64,
    /// The connection ends inside the bytes of the answer.
    pub dying: f64,
    /// Takes everything and says nothing.
    pub silent: bool,
    /// Answers take so many times as long.
    pub slow: f64,
}

/// A node of either kind.
pub struct Cache {
    /// Where it listens.
    pub address: SocketAddr,
    /// The origin holds everything.
    origin: bool,
    mood: Cell<NodeBehavior>,
    held: RefCell<(HashSet<u64>, VecDeque<u64>)>,
    random: RefCell<SmallRng>,
    /// Requests served, turned away or failed, and cancels heard.
    pub served: Cell<u64>,
    pub failed: Cell<u64>,
    pub cancelled: Cell<u64>,
}

/// A request that is under way: its id, and what ends it when it is dropped.
type Open = (String, watch::Sender<()>);

/// Objects that a node holds.
const HELD: usize = 2_000;
/// A hit, a fill beyond it, and the sending of a megabyte (seconds).
const TIMES: (f64, f64, f64) = (0.004, 0.03, 0.12);

impl Cache {
    /// Starts one on a port of its own. It runs until the runtime ends.
    pub async fn start(origin: bool, seed: u64) -> std::io::Result<Rc<Cache>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let cache = Rc::new(Cache {
            address: listener.local_addr()?,
            origin,
            mood: Cell::new(NodeBehavior { slow: 1.0, ..NodeBehavior::default() }),
            held: RefCell::default(),
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

    /// It does so from now on.
    pub fn set(&self, mood: NodeBehavior) {
        self.mood.set(mood);
    }

    /// It has restarted, or was emptied.
    pub fn empty(&self) {
        self.held.take();
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random_bool(share.min(1.0))
    }

    fn has(&self, row: u64) -> bool {
        self.origin || self.held.borrow().0.contains(&row)
    }

    fn keep(&self, row: u64) {
        let (rows, order) = &mut *self.held.borrow_mut();
        if rows.insert(row) {
            order.push_back(row);
            if order.len() > HELD
                && let Some(old) = order.pop_front()
            {
                rows.remove(&old);
            }
        }
    }

    /// Reads commands; each request is a task of its own, which a cancel or the end of the connection ends.
    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (mut read, write) = (BufReader::new(read), Rc::new(Mutex::new(write)));
        let open: Rc<RefCell<Vec<Open>>> = Rc::default();
        let mut line = String::new();
        while read.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            match Command::parse(&line) {
                Some(Command::Serve { id, fields, length }) => {
                    if discard_body(&mut read, length).await.is_err() {
                        break;
                    }
                    let (alive, ended) = watch::channel(());
                    open.borrow_mut().push((id.to_owned(), alive));
                    let (this, open, write) = (self.clone(), open.clone(), write.clone());
                    let (id, fields) = (id.to_owned(), fields.to_owned());
                    spawn_local(async move {
                        this.serve(&id, &fields, &write, ended).await;
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
        mut ended: watch::Receiver<()>,
    ) {
        let field = |name: &str| crate::field(fields, name);
        let asset = field("asset").and_then(|a| u64::from_str_radix(a, 16).ok()).unwrap_or(0);
        let write_asked = field("sort") == Some("holds");
        let mood = self.mood.get();
        if mood.silent {
            return;
        }
        let hit = !write_asked && self.has(asset);
        let fills = hit || self.origin || field("src").is_some();
        let mut wait = TIMES.0 + if hit { 0.0 } else { TIMES.1 };
        let mut bytes = Vec::new();
        let mut line = format!("{id} NONE - 0\r\n\r\n").into_bytes();
        if self.chance(mood.failing) {
            self.failed.set(self.failed.get() + 1);
            let word = if self.chance(0.5) { "SHED" } else { "FAULT" };
            (line, wait) = (format!("{id} {word} - 0\r\n\r\n").into_bytes(), 0.001);
        } else if self.chance(mood.garbling) {
            let length = if self.chance(0.5) { "3000000000" } else { "x" };
            line = format!("{id} HIT n=TCP_HIT,etag=e,made=1 {length}\r\n").into_bytes();
        } else if fills {
            if write_asked {
                bytes.extend_from_slice(b"held");
            } else {
                body(asset, &mut bytes);
                self.keep(asset);
            }
            wait += bytes.len() as f64 / 1e6 * TIMES.2;
            let note = if hit { "TCP_HIT" } else { "TCP_MISS" };
            let length = bytes.len();
            let made = unix_ms();
            line = format!("{id} HIT n={note},etag={asset:x},made={made} {length}\r\n").into_bytes();
            line.extend_from_slice(&bytes);
            line.extend_from_slice(b"\r\n");
            self.served.set(self.served.get() + 1);
        }
        let dies = bytes.len() > 100 && self.chance(mood.dying);
        tokio::select! {
            biased;
            _ = ended.changed() => return,
            () = sleep(Duration::from_secs_f64(wait * mood.slow.max(0.1))) => {}
        }
        let mut write = write.lock().await;
        let part = if dies { line.len() / 2 } else { line.len() };
        if write.write_all(&line[..part]).await.is_ok() && dies {
            let _ = write.shutdown().await;
        }
    }
}
