//! The task of one connection, and the pool's handle to it.

mod answer_timers;
mod node_socket;
mod serve;

use super::PoolLimits;
use crate::broker::{AttemptId, Order, Report};
use crate::interface::Outcome;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::net::Buffer;
use crate::net::exchange::{ClosedBy, Exchange, ended_without_answer};
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

/// Memory that a connection's task and tables need.
const TASK_BYTES: usize = 4 * 1024;
/// Size of the read buffer.
const INPUT_BYTES: usize = 16 * 1024;
/// Size of the write buffer for orders without bodies.
const OUTPUT_BYTES: usize = 4 * 1024;
/// How often an order that was certainly not written is resent; after that the node counts as down.
const MAX_REQUEUES: u8 = 2;

/// Limits, channels and memory that the connections of a pool share.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    pub(super) limits: PoolLimits,
    /// Channel to the broker.
    pub(super) reports: UnboundedSender<Report>,
    /// Channel to the pool for orders that were not sent.
    pub(super) returned: UnboundedSender<Order>,
    pub(super) memory: Ledger,
}

impl ConnectionContext {
    /// Sends a report to the broker.
    pub(super) fn report(&self, report: Report) {
        let _ = self.reports.send(report);
    }

    /// Acquires the memory that a connection needs besides its requests.
    pub(super) fn acquire_overhead(&self) -> Option<Grant> {
        let bytes = TASK_BYTES + INPUT_BYTES + OUTPUT_BYTES;
        self.memory.acquire(AccountOwner::of(Purpose::Caches), bytes).ok()
    }

    /// Returns an order that was not sent to the pool.
    fn hand_back(&self, order: Order) {
        let _ = self.returned.send(order);
    }
}

/// A command of the pool to a connection's task.
enum ConnectionCommand {
    Write(Order),
    Cancel(AttemptId),
    /// Finish the requests in flight and close, because the node has moved or the connection is not needed.
    Retire,
}

/// The pool's handle to a connection.
pub(super) struct ConnectionHandle {
    commands: UnboundedSender<ConnectionCommand>,
    exchange: Rc<RefCell<Exchange>>,
    /// Number of orders that the connection's task has not received yet.
    pending: Rc<Cell<usize>>,
}

impl ConnectionHandle {
    /// Returns whether the connection's task still runs.
    pub(super) fn is_open(&self) -> bool {
        !self.commands.is_closed()
    }

    /// Returns the number of requests on this connection.
    pub(super) fn load(&self) -> usize {
        self.exchange.borrow().load() + self.pending.get()
    }

    /// Returns whether a request with this call id may be sent on this connection.
    pub(super) fn accepts(&self, call: &str) -> bool {
        self.exchange.borrow().accepts(call)
    }

    /// Queues an order, or returns its outcome if the connection has closed.
    pub(super) fn write(&self, order: Order) -> Result<(), Outcome> {
        self.pending.set(self.pending.get() + 1);
        self.commands.send(ConnectionCommand::Write(order)).map_err(|_| Outcome::ConnectFailed)
    }

    /// Cancels an attempt if it is on this connection.
    pub(super) fn cancel(&self, attempt_id: AttemptId) {
        let _ = self.commands.send(ConnectionCommand::Cancel(attempt_id));
    }

    /// Closes the connection once no request is in flight.
    pub(super) fn retire(&self) {
        let _ = self.commands.send(ConnectionCommand::Retire);
    }
}

/// Starts a connection's task, which keeps the grant `overhead` until it ends.
pub(super) fn open(address: SocketAddr, context: &ConnectionContext, overhead: Grant) -> ConnectionHandle {
    let (command_sender, commands) = unbounded_channel();
    let exchange = Rc::new(RefCell::new(Exchange::new(context.memory.clone())));
    let pending = Rc::new(Cell::new(0));
    let handle =
        ConnectionHandle { commands: command_sender, exchange: exchange.clone(), pending: pending.clone() };
    let connection = Connection {
        address,
        commands,
        exchange,
        pending,
        context: context.clone(),
        _overhead: overhead,
        retired: false,
    };
    tokio::task::spawn_local(track_polls(TaskKind::Cache, connection.run()));
    handle
}

/// The state of a connection's task.
struct Connection {
    address: SocketAddr,
    commands: UnboundedReceiver<ConnectionCommand>,
    exchange: Rc<RefCell<Exchange>>,
    pending: Rc<Cell<usize>>,
    context: ConnectionContext,
    _overhead: Grant,
    retired: bool,
}

impl Connection {
    /// Connects, and exchanges messages until the connection ends.
    async fn run(mut self) {
        let connected = self.connect().await;
        // A reset during the handshake does not count as a refusal.
        let refused = connected.as_ref().is_err_and(|error| error.kind() != io::ErrorKind::ConnectionReset);
        // Memory for a request body beyond the write buffer is charged to that request's account.
        let mut output =
            Buffer::new(OUTPUT_BYTES, self.context.memory.empty_grant(AccountOwner::of(Purpose::Bodies)));
        let result = match connected {
            Ok(stream) => self.serve(NodeSocket::new(stream), &mut output).await,
            Err(error) => Err(error),
        };
        self.commands.close();
        self.handle_queued();
        self.finish(result, output.consumed(), refused);
    }

    /// Connects within the connect timeout. Orders that arrive meanwhile are queued and can be cancelled.
    async fn connect(&mut self) -> io::Result<TcpStream> {
        let started_at = clock::now();
        let deadline = clock::instant(started_at + self.context.limits.connect_timeout);
        let connecting = timeout_at(deadline, TcpStream::connect(self.address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => self.handle(command),
                connected = &mut connecting => {
                    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                    stream.set_nodelay(true)?;
                    self.exchange.borrow_mut().set_connect_time(clock::now() - started_at);
                    return Ok(stream);
                }
            }
        }
    }

    /// Handles all commands in the channel.
    fn handle_queued(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            self.handle(command);
        }
    }

    /// Handles a command of the pool.
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
                // Queued orders must not be sent to the old address, which may belong to another node by now.
                self.retired = true;
                exchange.take_unsent().into_iter().for_each(|order| self.context.hand_back(order));
            }
        }
    }

    /// Reports the end of the attempts in flight and hands back the unsent orders, after `written` bytes were
    /// written.
    fn finish(&self, result: io::Result<()>, written: u64, refused: bool) {
        let mut exchange = self.exchange.borrow_mut();
        let unsent = exchange.close(closed_by(&result), written, |report| self.context.report(report));
        if let Err(error) = result {
            log!("connection to cache node at {} failed: {error}", self.address);
        }
        for mut order in unsent {
            if refused || order.requeues >= MAX_REQUEUES {
                self.context.report(ended_without_answer(order.attempt_id, Outcome::ConnectFailed));
            } else {
                order.requeues += 1;
                self.context.hand_back(order);
            }
        }
    }
}

/// Returns which side closed a connection that ended with this result.
fn closed_by(result: &io::Result<()>) -> ClosedBy {
    match result {
        Ok(()) => ClosedBy::Front,
        // Closed by this front, because of an unusable answer or a timeout.
        Err(error) if matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::TimedOut) => {
            ClosedBy::Front
        }
        Err(_) => ClosedBy::Node,
    }
}
