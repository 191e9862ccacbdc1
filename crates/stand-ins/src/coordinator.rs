//! The coordinator: sends numbered events to each connected front, beginning after the number that the front
//! states, and an empty frame each second as a heartbeat. Events can be delayed, withheld or repeated.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A node's record in the membership list.
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
    fn encode(&self) -> Vec<u8> {
        let mut record = self.id.to_be_bytes().to_vec();
        match self.address.ip() {
            IpAddr::V4(ip) => record.extend(ip.octets()),
            IpAddr::V6(_) => record.extend([0; 4]),
        }
        record.extend(self.address.port().to_be_bytes());
        record.extend([self.state, self.zone, self.kind, 0, 0]);
        record.extend(((self.weight * 1000.0) as u32).to_be_bytes());
        record.extend(self.started_ms.to_be_bytes());
        record
    }
}

/// Kind, payload, and the ids and states of the nodes that it updates.
type Event = (u8, Vec<u8>, Vec<(u32, u8)>);

/// A coordinator; the number of its oldest event is `initial_number` + 1.
pub struct Coordinator {
    /// The listening address.
    pub address: SocketAddr,
    initial_number: u64,
    /// All events, in the order of their numbers.
    events: RefCell<Vec<Event>>,
    /// The number of the last event that its front knows, from the watch or from its configuration.
    delivered: Cell<u64>,
    /// Node states that its front was sent: Unix time in seconds, node id, state.
    notifications: RefCell<Vec<(f64, u32, u8)>>,
    updated: Notify,
    /// Events are delayed while this is set; heartbeats continue.
    pub delayed: Cell<bool>,
    /// Connections are closed while this is set.
    closing: Cell<bool>,
    /// Nothing is sent while this is set, not even heartbeats.
    silent: Cell<bool>,
    /// Events are sent repeatedly while this is set.
    repeats: Cell<bool>,
    /// Nodes whose updates are withheld.
    withheld_ids: RefCell<Vec<u32>>,
    /// The withheld updates.
    withheld_members: RefCell<Vec<Member>>,
}

impl Coordinator {
    /// Starts a coordinator on a port of its own.
    pub async fn start(initial_number: u64) -> std::io::Result<Rc<Coordinator>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = Rc::new(Coordinator {
            address,
            initial_number,
            events: RefCell::default(),
            delivered: Cell::new(initial_number),
            notifications: RefCell::default(),
            updated: Notify::new(),
            delayed: Cell::new(false),
            closing: Cell::new(false),
            silent: Cell::new(false),
            repeats: Cell::new(false),
            withheld_ids: RefCell::default(),
            withheld_members: RefCell::default(),
        });
        let server = this.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().serve_watch(stream));
            }
        });
        Ok(this)
    }

    /// Returns the number of the last event.
    pub fn last_number(&self) -> u64 {
        self.initial_number + self.events.borrow().len() as u64
    }

    fn publish(&self, kind: u8, payload: Vec<u8>, nodes: Vec<(u32, u8)>) {
        self.events.borrow_mut().push((kind, payload, nodes));
        self.updated.notify_waiters();
    }

    /// Records that its front knows all events so far, and these node states, from another source.
    pub fn record_known_states(&self, nodes: impl Iterator<Item = (u32, u8)>) {
        self.delivered.set(self.last_number());
        self.record_notifications(nodes);
    }

    fn record_notifications(&self, nodes: impl Iterator<Item = (u32, u8)>) {
        let now = crate::unix_ms() as f64 / 1000.0;
        self.notifications.borrow_mut().extend(nodes.map(|(id, state)| (now, id, state)));
    }

    /// Returns the node states that its front was sent: Unix time in seconds, node id, state.
    pub fn notifications(&self) -> Vec<(f64, u32, u8)> {
        self.notifications.borrow().clone()
    }

    /// Publishes the current records of these members, except withheld ones.
    pub fn publish_members(&self, members: &[Member]) {
        let withheld_ids = self.withheld_ids.borrow();
        let (withheld_members, published): (Vec<Member>, Vec<Member>) =
            members.iter().partition(|m| withheld_ids.contains(&m.id));
        self.withheld_members.borrow_mut().extend(withheld_members);
        if !published.is_empty() {
            let nodes = published.iter().map(|m| (m.id, m.state)).collect();
            self.publish(2, published.iter().flat_map(Member::encode).collect(), nodes);
        }
    }

    /// Withholds the updates of these nodes from now on, and publishes the withheld updates of all others.
    pub fn withhold_updates(&self, ids: Vec<u32>) {
        *self.withheld_ids.borrow_mut() = ids;
        let withheld_members = self.withheld_members.take();
        if !withheld_members.is_empty() {
            self.publish_members(&withheld_members);
        }
    }

    /// Closes every connection, or accepts connections again.
    pub fn close_connections(&self, closing: bool) {
        self.closing.set(closing);
        self.updated.notify_waiters();
    }

    /// Accepts connections but sends nothing on them, or resumes sending.
    pub fn suspend_sending(&self, silent: bool) {
        self.silent.set(silent);
        self.updated.notify_waiters();
    }

    /// Sends each event three times, and then all events since the oldest once more; or only new events.
    pub fn repeat_events(&self, repeats: bool) {
        self.repeats.set(repeats);
        self.updated.notify_waiters();
    }

    /// Publishes the purge of an object at this time.
    pub fn publish_purge(&self, object: u64, unix_ms: u64) {
        self.publish(3, [object.to_be_bytes(), unix_ms.to_be_bytes()].concat(), Vec::new());
    }

    /// Publishes the purge of a group at this time.
    pub fn publish_group_purge(&self, group: u16, unix_ms: u64) {
        self.publish(4, [&group.to_be_bytes()[..], &unix_ms.to_be_bytes()].concat(), Vec::new());
    }

    /// Delays all events, or sends the delayed ones.
    pub fn delay_events(&self, delayed: bool) {
        self.delayed.set(delayed);
        self.updated.notify_waiters();
    }

    async fn serve_watch(self: Rc<Self>, mut stream: TcpStream) {
        let mut last = [0; 8];
        if stream.read_exact(&mut last).await.is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last).max(self.initial_number);
        // The number of the last event that was sent once more.
        let mut repeated = self.initial_number;
        loop {
            if self.closing.get() {
                return;
            }
            let update = self.updated.notified();
            if self.silent.get() {
                update.await;
                continue;
            }
            if self.repeats.get() && repeated < last {
                let index = (repeated - self.initial_number) as usize;
                let Some((kind, payload, _)) = self.events.borrow().get(index).cloned() else { return };
                repeated += 1;
                if write_frame(&mut stream, repeated, kind, &payload).await.is_err() {
                    return;
                }
                continue;
            }
            let index = (last - self.initial_number) as usize;
            let next = self.events.borrow().get(index).cloned().filter(|_| !self.delayed.get());
            let (kind, payload, nodes) = match next {
                Some(event) => {
                    last += 1;
                    // Two additional copies of each event while repeating.
                    for _ in 0..2 * usize::from(self.repeats.get()) {
                        if write_frame(&mut stream, last, event.0, &event.1).await.is_err() {
                            return;
                        }
                    }
                    event
                }
                // A new event ends the wait.
                None if timeout(Duration::from_secs(1), update).await.is_ok() => continue,
                None => (0, Vec::new(), Vec::new()),
            };
            if kind == 0 {
                // Repeats all events from the oldest on in the next iteration.
                repeated = self.initial_number;
            }
            if write_frame(&mut stream, last, kind, &payload).await.is_err() {
                return;
            }
            if last > self.delivered.get() {
                self.delivered.set(last);
                self.record_notifications(nodes.into_iter());
            }
        }
    }
}

/// Writes one frame: length, number, kind, payload.
async fn write_frame(stream: &mut TcpStream, number: u64, kind: u8, payload: &[u8]) -> std::io::Result<()> {
    let length = (9 + payload.len()) as u32;
    let frame = [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat();
    stream.write_all(&frame).await
}
