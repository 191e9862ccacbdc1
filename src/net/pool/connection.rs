//! The task of one connection, and the pool's handle to it.

mod answer_timers;
mod node_socket;
mod serve;

use super::PoolLimits;
use crate::broker::{AttemptId, Order, Report};
use crate::interface::Outcome;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::net::Buffer;
use crate::net::exchange::{EndedBy, Exchange, ended_without_answer};
use crate::turns::{TaskKind, track_polls};
use crate::{clock, log};
use node_socket::NodeSocket;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout_at;

/// A connection's own memory: its task and tables.
const TASK_BYTES: usize = 4 * 1024;
/// What is read at once.
const INPUT_BYTES: usize = 16 * 1024;
/// What is written at once of orders without bodies.
const OUTPUT_BYTES: usize = 4 * 1024;
/// So often an order that was surely not written goes out again at once; then its node counts as down.
const MAX_RETURNS: u8 = 2;

/// What every connection of a pool is given.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    pub(super) limits: PoolLimits,
    /// To the broker.
    pub(super) reports: UnboundedSender<Report>,
    /// To the pool: orders that were not sent.
    pub(super) returned: UnboundedSender<Order>,
    pub(super) memory: Ledger,
}

impl ConnectionContext {
    /// Reports to the broker.
    pub(super) fn report(&self, report: Report) {
        let _ = self.reports.send(report);
    }

    /// Asks for the memory that a connection needs for itself.
    pub(super) fn ask_overhead(&self) -> Option<Grant> {
        let bytes = TASK_BYTES + INPUT_BYTES + OUTPUT_BYTES;
        self.memory.acquire(AccountOwner::of(Purpose::Caches), bytes).ok()
    }

    /// Hands an order that was not sent back to the pool.
    fn hand_back(&self, order: Order) {
        let _ = self.returned.send(order);
    }
}

/// To a connection's task.
enum ConnectionCommand {
    Write(Order),
    Cancel(AttemptId),
    /// Its node has moved: finish what is under way, and end.
    Retire,
}

/// A connection as the pool sees it.
pub(super) struct ConnectionHandle {
    commands: UnboundedSender<ConnectionCommand>,
    exchange: Rc<RefCell<Exchange>>,
    /// Orders handed over that its task has not queued yet.
    pending: Rc<Cell<usize>>,
}

impl ConnectionHandle {
    /// Has its task not ended?
    pub(super) fn is_open(&self) -> bool {
        !self.commands.is_closed()
    }

    /// How many requests are on it.
    pub(super) fn load(&self) -> usize {
        self.exchange.borrow().load() + self.pending.get()
    }

    /// May a request of this name go here?
    pub(super) fn accepts(&self, call: &str) -> bool {
        self.exchange.borrow().accepts(call)
    }

    /// Hands over an order, or tells how it ends since the connection has closed.
    pub(super) fn write(&self, order: Order) -> Result<(), Outcome> {
        self.pending.set(self.pending.get() + 1);
        self.commands.send(ConnectionCommand::Write(order)).map_err(|_| Outcome::ConnectFailed)
    }

    /// Cancels an attempt, if it is here.
    pub(super) fn cancel(&self, attempt_id: AttemptId) {
        let _ = self.commands.send(ConnectionCommand::Cancel(attempt_id));
    }

    /// Ends it once nothing is under way.
    pub(super) fn retire(&self) {
        let _ = self.commands.send(ConnectionCommand::Retire);
    }
}

/// Starts a connection's task, which holds `overhead`.
pub(super) fn open(address: SocketAddr, context: &ConnectionContext, overhead: Grant) -> ConnectionHandle {
    let (commands, queue) = unbounded_channel();
    let exchange = Rc::new(RefCell::new(Exchange::new(context.memory.clone())));
    let pending = Rc::new(Cell::new(0));
    let handle = ConnectionHandle { commands, exchange: exchange.clone(), pending: pending.clone() };
    let connection = Connection {
        address,
        queue,
        exchange,
        pending,
        context: context.clone(),
        _overhead: overhead,
        retired: false,
    };
    tokio::task::spawn_local(track_polls(TaskKind::Cache, connection.run()));
    handle
}

struct Connection {
    address: SocketAddr,
    queue: UnboundedReceiver<ConnectionCommand>,
    exchange: Rc<RefCell<Exchange>>,
    pending: Rc<Cell<usize>>,
    context: ConnectionContext,
    _overhead: Grant,
    retired: bool,
}

impl Connection {
    async fn run(mut self) {
        let connected = self.connect().await;
        // A connection that is reset while it is new is no refusal.
        let refused = connected.as_ref().is_err_and(|error| error.kind() != io::ErrorKind::ConnectionReset);
        // What a body needs beyond the connection's own is granted with the body's own account.
        let mut output =
            Buffer::new(OUTPUT_BYTES, self.context.memory.empty_grant(AccountOwner::of(Purpose::Bodies)));
        let result = match connected {
            Ok(stream) => self.serve(NodeSocket::new(stream), &mut output).await,
            Err(error) => Err(error),
        };
        self.queue.close();
        self.handle_queued();
        self.finish(result, output.taken(), refused);
    }

    /// Connects, by the site's deadline for that; orders that come meanwhile wait and can be taken back.
    async fn connect(&mut self) -> io::Result<TcpStream> {
        let began = clock::now();
        let by = clock::instant(began + self.context.limits.connect_timeout);
        let connecting = timeout_at(by, TcpStream::connect(self.address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                biased;
                Some(command) = self.queue.recv() => self.handle(command),
                connected = &mut connecting => {
                    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                    stream.set_nodelay(true)?;
                    self.exchange.borrow_mut().established(clock::now() - began);
                    return Ok(stream);
                }
            }
        }
    }

    /// Handles all commands that have come.
    fn handle_queued(&mut self) {
        while let Ok(command) = self.queue.try_recv() {
            self.handle(command);
        }
    }

    fn handle(&mut self, command: ConnectionCommand) {
        let mut exchange = self.exchange.borrow_mut();
        match command {
            ConnectionCommand::Write(order) => {
                self.pending.set(self.pending.get().saturating_sub(1));
                exchange.queue(order);
            }
            ConnectionCommand::Cancel(attempt_id) => {
                if let Some(report) = exchange.cancel(clock::now(), attempt_id) {
                    self.context.report(report);
                }
            }
            ConnectionCommand::Retire => {
                // What waits must not leave for the old address, which may be another node's by now.
                self.retired = true;
                exchange.hand_back().into_iter().for_each(|order| self.context.hand_back(order));
            }
        }
    }

    /// Ends what was in flight and hands back what was not sent, after so many bytes were written.
    fn finish(&self, result: io::Result<()>, written: u64, refused: bool) {
        let mut exchange = self.exchange.borrow_mut();
        let unsent = exchange.close(ended_by(&result), written, |report| self.context.report(report));
        if let Err(error) = result {
            log!("cache node at {}: {error}", self.address);
        }
        for mut order in unsent {
            if refused || order.requeues >= MAX_RETURNS {
                self.context.report(ended_without_answer(order.attempt_id, Outcome::ConnectFailed));
            } else {
                order.requeues += 1;
                self.context.hand_back(order);
            }
        }
    }
}

/// Who ended a connection that ended so.
fn ended_by(result: &io::Result<()>) -> EndedBy {
    match result {
        Ok(()) => EndedBy::Front,
        // Given up here, for what the node said or did not take.
        Err(error) if matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::TimedOut) => {
            EndedBy::Front
        }
        Err(_) => EndedBy::Node,
    }
}
