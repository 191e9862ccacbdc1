//! The coordinator: numbered events, told to every front that connects from the number it has on, and an empty
//! frame each second. What it tells may be held back, as when its news are late.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A record of the list.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 is ready, 1 draining, 2 gone.
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub weight: f64,
    pub started_ms: u64,
}

impl Member {
    fn record(&self) -> Vec<u8> {
        let mut r = self.id.to_be_bytes().to_vec();
        match self.address.ip() {
            IpAddr::V4(ip) => r.extend(ip.octets()),
            IpAddr::V6(_) => r.extend([0; 4]),
        }
        r.extend(self.address.port().to_be_bytes());
        r.extend([self.state, self.zone, self.kind, 0, 0]);
        r.extend(((self.weight * 1000.0) as u32).to_be_bytes());
        r.extend(self.started_ms.to_be_bytes());
        r
    }
}

/// Kind, payload, and of which nodes it tells which state.
type Event = (u8, Vec<u8>, Vec<(u32, u8)>);

/// A coordinator; events are numbered from the one after `first`.
pub struct Coordinator {
    /// Where it listens.
    pub address: SocketAddr,
    first: u64,
    /// Each event.
    events: RefCell<Vec<Event>>,
    /// Up to which number its front has been told, by the feed or otherwise, and what of which node: at a Unix time
    /// (seconds), and the state in the list.
    had: Cell<u64>,
    heard: RefCell<Vec<(f64, u32, u8)>>,
    told: Notify,
    /// Nothing is told while this is set.
    pub late: Cell<bool>,
    /// No connection stays while this is set.
    cut: Cell<bool>,
    /// Nothing at all is said while this is set, not even that nothing is new.
    silent: Cell<bool>,
    /// Everything is told again and again while this is set.
    repeats: Cell<bool>,
    /// Of these nothing is told, and what was to be told of them.
    left_out: RefCell<Vec<u32>>,
    withheld: RefCell<Vec<Member>>,
}

impl Coordinator {
    /// Starts one on a port of its own.
    pub async fn start(first: u64) -> std::io::Result<Rc<Coordinator>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = Rc::new(Coordinator {
            address,
            first,
            events: RefCell::default(),
            had: Cell::new(first),
            heard: RefCell::default(),
            told: Notify::new(),
            late: Cell::new(false),
            cut: Cell::new(false),
            silent: Cell::new(false),
            repeats: Cell::new(false),
            left_out: RefCell::default(),
            withheld: RefCell::default(),
        });
        let server = this.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().feed(stream));
            }
        });
        Ok(this)
    }

    /// The number of the last event.
    pub fn told(&self) -> u64 {
        self.first + self.events.borrow().len() as u64
    }

    fn event(&self, kind: u8, payload: Vec<u8>, nodes: Vec<(u32, u8)>) {
        self.events.borrow_mut().push((kind, payload, nodes));
        self.told.notify_waiters();
    }

    /// Its front knows by now what was told so far, and these states, from elsewhere.
    pub fn knows(&self, nodes: impl Iterator<Item = (u32, u8)>) {
        self.had.set(self.told());
        self.hears(nodes);
    }

    fn hears(&self, nodes: impl Iterator<Item = (u32, u8)>) {
        let now = crate::unix_ms() as f64 / 1000.0;
        self.heard.borrow_mut().extend(nodes.map(|(id, state)| (now, id, state)));
    }

    /// What its front was told of which node: when (Unix seconds), and the state.
    pub fn heard(&self) -> Vec<(f64, u32, u8)> {
        self.heard.borrow().clone()
    }

    /// Members have changed.
    pub fn changed(&self, members: &[Member]) {
        let left_out = self.left_out.borrow();
        let (withheld, told): (Vec<Member>, Vec<Member>) =
            members.iter().partition(|m| left_out.contains(&m.id));
        self.withheld.borrow_mut().extend(withheld);
        if !told.is_empty() {
            let nodes = told.iter().map(|m| (m.id, m.state)).collect();
            self.event(2, told.iter().flat_map(Member::record).collect(), nodes);
        }
    }

    /// Tells nothing of these nodes from now on; of others, all that was withheld.
    pub fn leave_out(&self, ids: Vec<u32>) {
        *self.left_out.borrow_mut() = ids;
        let withheld = self.withheld.take();
        if !withheld.is_empty() {
            self.changed(&withheld);
        }
    }

    /// Ends every connection as it comes, or takes them again.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
        self.told.notify_waiters();
    }

    /// Takes every connection and says nothing on it, or speaks again.
    pub fn silence(&self, silent: bool) {
        self.silent.set(silent);
        self.told.notify_waiters();
    }

    /// Tells each event three times, and all from the first on once it was told; or only what is new.
    pub fn repeat(&self, repeats: bool) {
        self.repeats.set(repeats);
        self.told.notify_waiters();
    }

    /// An object was purged at this time.
    pub fn purged(&self, object: u64, unix_ms: u64) {
        self.event(3, [object.to_be_bytes(), unix_ms.to_be_bytes()].concat(), Vec::new());
    }

    /// A whole group was purged at this time.
    pub fn purged_group(&self, group: u16, unix_ms: u64) {
        self.event(4, [&group.to_be_bytes()[..], &unix_ms.to_be_bytes()].concat(), Vec::new());
    }

    /// Holds its news back, or tells all that it has held.
    pub fn hold(&self, late: bool) {
        self.late.set(late);
        self.told.notify_waiters();
    }

    async fn feed(self: Rc<Self>, mut stream: TcpStream) {
        let mut last = [0; 8];
        if stream.read_exact(&mut last).await.is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last).max(self.first);
        // The last that it tells once more of what was told before.
        let mut again = self.first;
        loop {
            if self.cut.get() {
                return;
            }
            let more = self.told.notified();
            if self.silent.get() {
                more.await;
                continue;
            }
            if self.repeats.get() && again < last {
                let at = (again - self.first) as usize;
                let Some((kind, payload, _)) = self.events.borrow().get(at).cloned() else { return };
                again += 1;
                if write(&mut stream, again, kind, &payload).await.is_err() {
                    return;
                }
                continue;
            }
            let at = (last - self.first) as usize;
            let next = self.events.borrow().get(at).cloned().filter(|_| !self.late.get());
            let (kind, payload, nodes) = match next {
                Some(event) => {
                    last += 1;
                    // Twice more of each while it repeats.
                    for _ in 0..2 * usize::from(self.repeats.get()) {
                        if write(&mut stream, last, event.0, &event.1).await.is_err() {
                            return;
                        }
                    }
                    event
                }
                // What is told meanwhile ends the wait.
                None if timeout(Duration::from_secs(1), more).await.is_ok() => continue,
                None => (0, Vec::new(), Vec::new()),
            };
            if kind == 0 {
                // Everything from the first on once more with the next turn.
                again = self.first;
            }
            if write(&mut stream, last, kind, &payload).await.is_err() {
                return;
            }
            if last > self.had.get() {
                self.had.set(last);
                self.hears(nodes.into_iter());
            }
        }
    }
}

/// One frame: length, number, kind, payload.
async fn write(stream: &mut TcpStream, number: u64, kind: u8, payload: &[u8]) -> std::io::Result<()> {
    let length = (9 + payload.len()) as u32;
    let frame = [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat();
    stream.write_all(&frame).await
}
