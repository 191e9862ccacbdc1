//! Connections to cache nodes, by node id (an address may pass from one node to another). One task owns the
//! pool; each connection is a task of its own that reports straight to the broker.

use super::Buffer;
use super::exchange::{EndedBy, Exchange, Progress, ended};
use crate::broker::{Command, Member, Order, Report, Ticket};
use crate::interface::{NodeId, NodeState, Outcome};
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::turns::{TaskKind, measured};
use crate::{clock, log};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep_until, timeout_at};

/// A further connection to a node is opened once each has so many requests: where a connection costs nothing, since
/// whatever spoils an answer ends its connection and with it what else is out there; and where it has a price, as in a
/// fleet whose fronts together hold most of what a node accepts.
const CROWD: [usize; 2] = [1, 8];
/// While there is no memory for an answer, it is asked for again after this; after that the answer is given up,
/// and its request refused, so that its client hears in time (seconds).
const RELIEF: f64 = 0.005;
const HELD_UP: f64 = 0.15;
/// A connection's own: its task and tables, what is read at once, and what is written of orders without bodies.
const OWN: usize = 4 * 1024;
const INPUT: usize = 16 * 1024;
const OUTPUT: usize = 4 * 1024;
/// Most connections to one node.
const PER_NODE: usize = 16;
/// An answer of which a part has come goes on within this, and is whole within that (seconds). Nodes write
/// theirs at once: none of 14,000 took 2 ms.
const STALL: (f64, f64) = (0.25, 1.5);
/// A cancel that the socket does not take within this ends the connection, which gives up all that is out on it: no
/// further attempt goes out before (seconds). The platform's slack for two attempts out is 0.05 s.
const CANCEL_WITHIN: f64 = 0.02;
/// So many cancels are remembered, lest an order that was being handed back meanwhile goes out after its own.
const REMEMBERED: usize = 256;
/// So often an order that was surely not written goes out again at once; then its node counts as down.
const RETURNS: u8 = 2;

/// The pool's limits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A connection that is not made by then has failed (seconds).
    pub connect_within: f64,
    /// An unused connection is closed after this (seconds); well before the node does.
    pub idle: f64,
    /// Most requests on one connection.
    pub streams: usize,
    /// Most connections in all.
    pub connections: usize,
    /// What each new one costs; 0: nothing.
    pub handshake: f64,
}

impl Limits {
    /// So many requests on each connection to a node are worth a further one.
    fn crowd(&self) -> usize {
        CROWD[usize::from(self.handshake > 0.0)].min(self.streams)
    }
}

/// To a connection's task.
enum Job {
    Write(Order),
    Recall(Ticket),
    /// Its node has moved: finish what is under way, and end.
    Retire,
}

/// A connection as the pool sees it.
struct Link {
    jobs: UnboundedSender<Job>,
    state: Rc<RefCell<Exchange>>,
    /// Orders handed over that its task has not queued yet.
    pending: Rc<Cell<usize>>,
}

impl Link {
    fn load(&self) -> usize {
        self.state.borrow().load() + self.pending.get()
    }
}

#[derive(Default)]
struct Peer {
    address: Option<SocketAddr>,
    links: Vec<Link>,
    /// Connections to where the node was before. They get no new orders, but what is out on them can still
    /// be cancelled.
    retired: Vec<Link>,
}

struct Pool {
    peers: FxHashMap<NodeId, Peer>,
    reports: UnboundedSender<Report>,
    returned: UnboundedSender<Order>,
    /// The last cancels.
    cancelled: VecDeque<Ticket>,
    limits: Limits,
    memory: Ledger,
}

/// Runs the pool until the broker has ended.
pub async fn run(
    mut commands: UnboundedReceiver<Command>,
    reports: UnboundedSender<Report>,
    limits: Limits,
    memory: Ledger,
) {
    let (returned, mut back) = unbounded_channel();
    let (peers, cancelled) = (FxHashMap::default(), VecDeque::new());
    let mut pool = Pool { peers, reports, returned, cancelled, limits, memory };
    loop {
        tokio::select! {
            biased;
            // What a broken connection hands back goes first, so that a cancel finds it on its new one.
            Some(order) = back.recv() => pool.send_again(order),
            command = commands.recv() => match command {
                Some(command) => {
                    while let Ok(order) = back.try_recv() {
                        pool.send_again(order);
                    }
                    pool.obey(command);
                }
                None => return,
            },
        }
    }
}

impl Pool {
    fn obey(&mut self, command: Command) {
        match command {
            Command::Send(order) => self.send(order),
            Command::Cancel { ticket, node } => {
                if self.cancelled.len() >= REMEMBERED {
                    self.cancelled.pop_front();
                }
                self.cancelled.push_back(ticket);
                for link in self.peers.get(&node).into_iter().flat_map(|p| p.links.iter().chain(&p.retired)) {
                    let _ = link.jobs.send(Job::Recall(ticket));
                }
            }
            Command::Roster { full, members } => self.roster(full, &members),
        }
    }

    /// A node that is gone loses its address and, once they are idle, its connections; what is out on them
    /// may still be answered.
    fn roster(&mut self, full: bool, members: &[Member]) {
        if full {
            let gone = |id: &NodeId| members.iter().all(|m| m.node.id != *id);
            self.peers.iter_mut().filter(|(id, _)| gone(id)).for_each(|(_, p)| p.address = None);
        }
        for m in members {
            let peer = self.peers.entry(m.node.id).or_default();
            let address = Some(m.address).filter(|_| m.node.state != NodeState::Gone);
            if peer.address != address {
                peer.address = address;
                // The old connections lead elsewhere, or to a node that is gone.
                for link in peer.links.drain(..) {
                    let _ = link.jobs.send(Job::Retire);
                    peer.retired.push(link);
                }
            }
        }
        self.peers.retain(|_, p| {
            p.links.retain(|l| !l.jobs.is_closed());
            p.retired.retain(|l| !l.jobs.is_closed());
            p.address.is_some() || !p.links.is_empty() || !p.retired.is_empty()
        });
    }

    /// Connections that are open, also those that only finish what is under way.
    fn total(&mut self) -> usize {
        let open = |p: &mut Peer| {
            p.retired.retain(|l| !l.jobs.is_closed());
            p.links.len() + p.retired.len()
        };
        self.peers.values_mut().map(open).sum()
    }

    /// Ends a connection that nothing is on, so that another node can have one; was there any?
    fn make_room(&mut self, node: NodeId) -> bool {
        let idle = |p: &Peer| p.links.iter().position(|l| l.load() == 0);
        let others = self.peers.iter_mut().filter(|(id, p)| **id != node && idle(p).is_some());
        let Some((_, peer)) = others.max_by_key(|(_, p)| p.links.len()) else { return false };
        let Some(at) = idle(peer) else { return false };
        let link = peer.links.swap_remove(at);
        let _ = link.jobs.send(Job::Retire);
        peer.retired.push(link);
        true
    }

    /// Sends what a connection handed back. Guards against one whose cancel came while it was on its way here, and
    /// found it neither there nor on another connection.
    fn send_again(&mut self, order: Order) {
        match self.cancelled.contains(&order.ticket) {
            true => _ = self.reports.send(ended(order.ticket, Outcome::Moot)),
            false => self.send(order),
        }
    }

    fn send(&mut self, order: Order) {
        let mut total = self.total();
        let none = |p: &Peer| p.links.is_empty();
        if total >= self.limits.connections && self.peers.get(&order.node).is_some_and(none) {
            total -= usize::from(self.make_room(order.node));
        }
        let ticket = order.ticket;
        let Some(peer) = self.peers.get_mut(&order.node).filter(|p| p.address.is_some()) else {
            let _ = self.reports.send(ended(ticket, Outcome::Moot));
            return;
        };
        peer.links.retain(|l| !l.jobs.is_closed());
        let usable = |l: &&Link| l.state.borrow().takes(&order.ask.call) && l.load() < self.limits.streams;
        let least = peer.links.iter().filter(usable).min_by_key(|l| l.load());
        let room = peer.links.len() < PER_NODE && total < self.limits.connections;
        // A further one is opened where none is free, if there is room for it and memory.
        let further = room && least.is_none_or(|link| link.load() >= self.limits.crowd());
        let ask = || self.memory.ask(AccountOwner::of(Purpose::Caches), OWN + INPUT + OUTPUT).ok();
        let own = further.then(ask).flatten();
        let link = match least {
            Some(link) if own.is_none() => link,
            _ if let (Some(own), Some(address)) = (own, peer.address) => {
                let (reports, returned) = (self.reports.clone(), self.returned.clone());
                peer.links.push(open(address, self.limits, reports, returned, self.memory.clone(), own));
                &peer.links[peer.links.len() - 1]
            }
            _ => {
                // Nothing may be opened and nothing can be used: it was not sent. That says nothing of the node.
                let _ = self.reports.send(ended(ticket, Outcome::Full));
                return;
            }
        };
        link.pending.set(link.pending.get() + 1);
        if link.jobs.send(Job::Write(order)).is_err() {
            let _ = self.reports.send(ended(ticket, Outcome::ConnectFailed));
        }
    }
}

/// Starts a connection's task.
fn open(
    address: SocketAddr,
    limits: Limits,
    reports: UnboundedSender<Report>,
    returned: UnboundedSender<Order>,
    memory: Ledger,
    own: Grant,
) -> Link {
    let (jobs, queue) = unbounded_channel();
    let state = Rc::new(RefCell::new(Exchange::new(memory.clone())));
    let pending = Rc::new(Cell::new(0));
    let link = Link { jobs, state: state.clone(), pending: pending.clone() };
    let connection = Connection {
        address,
        limits,
        queue,
        state,
        pending,
        reports,
        returned,
        memory,
        _own: own,
        retired: false,
    };
    tokio::task::spawn_local(measured(TaskKind::Cache, connection.run()));
    link
}

struct Connection {
    address: SocketAddr,
    limits: Limits,
    queue: UnboundedReceiver<Job>,
    state: Rc<RefCell<Exchange>>,
    pending: Rc<Cell<usize>>,
    reports: UnboundedSender<Report>,
    returned: UnboundedSender<Order>,
    memory: Ledger,
    _own: Grant,
    retired: bool,
}

impl Connection {
    fn report(&self, report: Report) {
        let _ = self.reports.send(report);
    }

    fn take(&mut self, job: Job) {
        let mut state = self.state.borrow_mut();
        match job {
            Job::Write(order) => {
                self.pending.set(self.pending.get().saturating_sub(1));
                state.queue(order);
            }
            Job::Recall(ticket) => {
                if let Some(report) = state.recall(clock::now(), ticket) {
                    let _ = self.reports.send(report);
                }
            }
            Job::Retire => {
                // What waits must not leave for the old address, which may be another node's by now.
                self.retired = true;
                for order in state.hand_back() {
                    let _ = self.returned.send(order);
                }
            }
        }
    }

    async fn run(mut self) {
        let connected = self.connect().await;
        // A connection that is reset while it is new is no refusal.
        let refused = connected.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::ConnectionReset);
        // What a body needs beyond the connection's own is granted with the body's own account.
        let mut output = Buffer::new(OUTPUT, self.memory.empty(AccountOwner::of(Purpose::Bodies)));
        let ended_by = match connected {
            Ok(stream) => self.serve(stream, &mut output).await,
            Err(e) => Err(e),
        };
        self.queue.close();
        while let Ok(job) = self.queue.try_recv() {
            self.take(job);
        }
        let by = match &ended_by {
            // Given up here, for what the node said or did not take.
            Err(e) if matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::TimedOut) => {
                EndedBy::Front
            }
            Err(_) => EndedBy::Node,
            Ok(()) => EndedBy::Front,
        };
        let unsent = self.state.borrow_mut().broken(by, output.taken(), |r| self.report(r));
        if let Err(e) = ended_by {
            log!("cache node at {}: {e}", self.address);
        }
        for mut order in unsent {
            if refused || order.returned >= RETURNS {
                self.report(ended(order.ticket, Outcome::ConnectFailed));
            } else {
                order.returned += 1;
                let _ = self.returned.send(order);
            }
        }
    }

    /// Connects, by the site's deadline for that; orders that come meanwhile wait and can be taken back.
    async fn connect(&mut self) -> io::Result<TcpStream> {
        let began = clock::now();
        let by = clock::instant(began + self.limits.connect_within);
        let connecting = timeout_at(by, TcpStream::connect(self.address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                biased;
                Some(job) = self.queue.recv() => self.take(job),
                made = &mut connecting => {
                    let stream = made.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                    stream.set_nodelay(true)?;
                    self.state.borrow_mut().came_up(clock::now() - began);
                    return Ok(stream);
                }
            }
        }
    }

    /// Writes orders and reads answers until the connection breaks, is idle or its node is gone.
    async fn serve(&mut self, stream: TcpStream, output: &mut Buffer) -> io::Result<()> {
        let mut input = Buffer::new(INPUT, self.memory.empty(AccountOwner::of(Purpose::Partial)));
        let mut idle_at = clock::now() + self.limits.idle;
        // Since when a part of an answer is here, and when the rest is to go on.
        let mut part: Option<(f64, f64)> = None;
        // When the answer that there is no memory for is given up.
        let mut give_up_at: Option<f64> = None;
        // Whose answer was last told to be held up.
        let mut told_held_up: Option<Ticket> = None;
        loop {
            while let Ok(job) = self.queue.try_recv() {
                self.take(job);
            }
            loop {
                let now = clock::now();
                self.state.borrow_mut().encode(now, output, |r| self.report(r));
                output.write_to(&stream)?;
                if !self.state.borrow_mut().written(now, output, |r| self.report(r)) {
                    break;
                }
            }
            let leaves_by = self.state.borrow().leaving_since().map(|since| since + CANCEL_WITHIN);
            let (load, worn) = (self.state.borrow().load(), self.state.borrow().worn());
            if load > 0 {
                idle_at = clock::now() + self.limits.idle;
            } else if (worn || self.retired) && output.is_empty() {
                return Ok(());
            }
            if give_up_at.is_some() {
                part = part.map(|_| (clock::now(), clock::now() + STALL.0));
            }
            let stalled_at = part.map(|(since, goes_on)| goes_on.min(since + STALL.1));
            let stuck = self.state.borrow().stuck();
            let interest = match output.is_empty() && !stuck {
                true => Interest::READABLE,
                false => Interest::READABLE | Interest::WRITABLE,
            };
            // An order whose body there is no memory to write.
            let unwritten = self.state.borrow().waits() && output.is_empty() && !stuck;
            let mut decode = give_up_at.is_some();
            tokio::select! {
                biased;
                Some(job) = self.queue.recv() => self.take(job),
                // Guards the memory limit: what there is no memory for stays with the cache node, which holds up
                // this connection and no other; deadlines go on.
                () = sleep_until(clock::instant(clock::now() + RELIEF)), if give_up_at.is_some() || unwritten => {}
                ready = stream.ready(interest), if give_up_at.is_none() => {
                    if ready?.is_readable() {
                        match input.read_from(&stream) {
                            Ok(0) if load == 0 => return Ok(()),
                            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                            Ok(_) => decode = true,
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                            Err(e) => return Err(e),
                        }
                    }
                }
                // Guards what else is out here against an answer that stops short: nothing comes after it.
                () = sleep_until(clock::instant(stalled_at.unwrap_or(idle_at))), if stalled_at.is_some() => {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer that stopped short"));
                }
                () = sleep_until(clock::instant(leaves_by.unwrap_or(idle_at))), if leaves_by.is_some() => {
                    // At once, whatever the node has not taken.
                    let _ = stream.set_zero_linger();
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "a cancel that it does not take"));
                }
                () = sleep_until(clock::instant(idle_at)), if load == 0 => return Ok(()),
            }
            if decode {
                let now = clock::now();
                let before = (input.taken(), input.skipping());
                let mut state = self.state.borrow_mut();
                let mut progress = state.decode(now, &mut input, |r| self.report(r));
                while progress == Ok(Progress::Held) {
                    // Guards the node: what waits here is not to be taken for an answer that got lost.
                    let held_up = state.at_head(&input).filter(|&ticket| told_held_up != Some(ticket));
                    if let Some(ticket) = held_up {
                        self.report(Report::HeldUp(ticket));
                        told_held_up = Some(ticket);
                    }
                    if now < *give_up_at.get_or_insert(now + HELD_UP) {
                        break;
                    }
                    state.give_up(&mut input, &mut |r| self.report(r));
                    give_up_at = None;
                    progress = state.decode(now, &mut input, |r| self.report(r));
                }
                let progress = progress.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.0))?;
                give_up_at = give_up_at.filter(|_| progress == Progress::Held);
                // Something whole has come, or was passed over: what follows it begins now.
                let whole = (input.taken(), input.skipping()) != before;
                let since = part.filter(|_| !whole).map_or(now, |p| p.0);
                part = state.midway(&input).then_some((since, now + STALL.0));
            }
        }
    }
}

#[cfg(test)]
mod tests;
