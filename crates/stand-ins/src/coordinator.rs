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

/// A coordinator; events are numbered from the one after `first`.
pub struct Coordinator {
    /// Where it listens.
    pub address: SocketAddr,
    first: u64,
    /// Kind and payload of each event.
    events: RefCell<Vec<(u8, Vec<u8>)>>,
    told: Notify,
    /// Nothing is told while this is set.
    pub late: Cell<bool>,
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
            told: Notify::new(),
            late: Cell::new(false),
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

    fn event(&self, kind: u8, payload: Vec<u8>) {
        self.events.borrow_mut().push((kind, payload));
        self.told.notify_waiters();
    }

    /// Members have changed.
    pub fn changed(&self, members: &[Member]) {
        self.event(2, members.iter().flat_map(Member::record).collect());
    }

    /// An object was purged at this time.
    pub fn purged(&self, object: u64, unix_ms: u64) {
        self.event(3, [object.to_be_bytes(), unix_ms.to_be_bytes()].concat());
    }

    /// A whole group was purged at this time.
    pub fn purged_group(&self, group: u16, unix_ms: u64) {
        self.event(4, [&group.to_be_bytes()[..], &unix_ms.to_be_bytes()].concat());
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
        loop {
            let more = self.told.notified();
            let at = (last - self.first) as usize;
            let next = self.events.borrow().get(at).cloned().filter(|_| !self.late.get());
            let (kind, payload) = match next {
                Some(event) => {
                    last += 1;
                    event
                }
                // What is told meanwhile ends the wait.
                None if timeout(Duration::from_secs(1), more).await.is_ok() => continue,
                None => (0, Vec::new()),
            };
            let length = (9 + payload.len()) as u32;
            let frame = [&length.to_be_bytes()[..], &last.to_be_bytes(), &[kind], &payload].concat();
            if stream.write_all(&frame).await.is_err() {
                return;
            }
        }
    }
}
