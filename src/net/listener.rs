//! Listening for clients, also beside another process of the same front, and accepting them: one task per
//! connection.

use super::ClientSocket;
use super::connection_memory::{ConnectionMemory, EVICTION_INTERVAL, MEMORY_RETRY_INTERVAL};
use super::connections::{ConnectionSlot, ConnectionTable};
use crate::memory::{Grant, Ledger};
use crate::turns::{TaskKind, track_polls};
use crate::{clock, log};
use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// Delay after a failed accept, for example for lack of descriptors (seconds).
const ACCEPT_RETRY_DELAY: f64 = 0.01;
/// Limit of connections that the system queues for a listener (listen(2)).
const BACKLOG: u32 = 1024;
/// Beside the connections that are served, one in this many may linger, and one in this many may hold a
/// reserved slot.
const EXTRA_DIVISOR: usize = 8;
/// An index that no listener has: the system chooses a listener by the connection's hash.
const ANY_BY_HASH: u32 = u32::MAX;
/// Index of the listener that was bound first.
const OLDEST: u32 = 0;
/// Index of the listener that was bound second.
const YOUNGEST_OF_TWO: u32 = 1;
/// Time for handshakes that began at this listener to complete, after new connections were directed to the
/// successor's (seconds).
const HANDSHAKE_TIME: f64 = 0.05;

/// An accepted connection with its client's address.
type Accepted = (TcpStream, SocketAddr);

/// Listens for clients at an address at which a second process of the same front may listen too
/// (SO_REUSEPORT). While both do, the system gives every connection to the first process until that hands
/// over ([`prefer_youngest`]) or ends. A second process that ends while the first one still serves has no
/// clients, and loses none.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    // Replaces the filter that an earlier process may have left at the address.
    let _ = steer_to(&listener, OLDEST);
    Ok(listener)
}

/// Lets the system distribute new connections over the listeners that share the address, by hash: for
/// processes that cannot tell one another when to hand over.
pub fn share_by_hash(listener: &TcpListener) {
    let _ = steer_to(listener, ANY_BY_HASH);
}

/// Lets the system give each new connection to the younger of two listeners that share the address; a single
/// listener gets them all.
pub fn prefer_youngest(listener: &TcpListener) {
    if let Err(e) = steer_to(listener, YOUNGEST_OF_TWO) {
        log!("cannot direct new connections to the newest process: {e}");
    }
}

/// Lets the system give each new connection at a shared address to the listener with this index, in the order
/// in which they were bound; if there is none, to any. The classic packet filter has a single instruction,
/// `ret index` (SO_ATTACH_REUSEPORT_CBPF, socket(7)); if the system rejects it, nothing changes.
fn steer_to(listener: &TcpListener, index: u32) -> nix::Result<()> {
    use nix::libc::{BPF_K, BPF_RET, sock_filter, sock_fprog};
    let mut program = [sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: index }];
    let program = sock_fprog { len: 1, filter: program.as_mut_ptr() };
    nix::sys::socket::setsockopt(listener, nix::sys::socket::sockopt::AttachReusePortCbpf, &program)
}

/// The stages in which a front stops taking clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum AcceptStage {
    /// The front takes clients.
    #[default]
    Open,
    /// Another process of the front takes new clients. Requests may still come on open connections.
    HandedOver,
    /// No clients are taken, and no requests are expected on open connections.
    Closed,
    /// All accepted requests are answered, and those that still come on open connections are refused.
    Ended,
}

/// Whether a front takes clients. When it no longer does, the listener is closed once its queue is accepted,
/// and client connections close once they are idle.
#[derive(Default)]
pub struct ListenerState {
    stage: Cell<AcceptStage>,
    has_successor: Cell<bool>,
    changed: Notify,
}

impl ListenerState {
    /// The state of a front that takes clients.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Hands new clients over to a younger process of the front.
    pub fn hand_over(&self) {
        self.has_successor.set(true);
        self.set(AcceptStage::HandedOver);
    }

    /// Takes no more clients; no more requests are expected on open connections.
    pub fn close(&self) {
        self.set(AcceptStage::Closed);
    }

    /// Ends service: all accepted requests are answered, and those that still come on open connections are
    /// refused.
    pub fn end(&self) {
        self.set(AcceptStage::Ended);
    }

    fn set(&self, stage: AcceptStage) {
        self.stage.set(stage);
        self.changed.notify_waiters();
    }

    /// Waits until this stage, or a later one, is reached.
    async fn reached(&self, stage: AcceptStage) {
        while self.stage.get() < stage {
            self.changed.notified().await;
        }
    }
}

/// Accepts the next connection; waits for ever if the listener is closed.
async fn accept_next(listener: &Option<TcpListener>) -> io::Result<Accepted> {
    match listener {
        Some(listener) => listener.accept().await,
        None => pending().await,
    }
}

/// Closes a listener and returns the connections of its queue, the oldest last. They are accepted from the
/// system directly and without a pause, since the runtime may not have been notified of them yet. A
/// connection that comes after the last of them is reset, so new ones must have been directed to another
/// listener before ([`steer_to`]).
fn close_listener(listener: TcpListener) -> io::Result<Vec<Accepted>> {
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    while let Ok((stream, peer)) = listener.accept() {
        queued.push((stream, peer));
    }
    drop(listener);
    let register = |(stream, peer): (std::net::TcpStream, SocketAddr)| {
        stream.set_nonblocking(true)?;
        Ok((TcpStream::from_std(stream)?, peer))
    };
    queued.into_iter().rev().map(register).collect()
}

/// Accepts clients, with one task per connection, until the program ends, or until the front takes no more
/// clients and all connections have closed. At most `max_connections` are served, and a few linger beside
/// them. Silent connections must not keep out others: at the limit, a new connection evicts an idle one, and
/// is refused only if none is idle. Where memory is missing, new connections stay in the system's queue until
/// those before them have got theirs.
pub async fn accept<F>(
    listener: TcpListener,
    state: Rc<ListenerState>,
    max_connections: usize,
    memory: Ledger,
    serve: impl Fn(Rc<ClientSocket>, ConnectionSlot, Grant) -> F + 'static,
) where
    F: Future<Output = io::Result<()>> + 'static,
{
    let table = ConnectionTable::new((max_connections / EXTRA_DIVISOR).max(1));
    let connection_memory = Rc::new(ConnectionMemory::new(memory.clone(), table.clone()));
    let acceptor = Acceptor {
        table: table.clone(),
        max_connections,
        ledger: memory.clone(),
        memory: connection_memory,
        serve: Rc::new(serve),
    };
    let mut next_eviction = clock::now();
    // The connections from the closed listener's queue that are not served yet.
    let (mut listener, mut queued) = (Some(listener), Vec::new());
    // When the listener is closed, once the front takes no more clients.
    let mut closing_at = None;
    loop {
        let scarce = memory.idle_connections_to_close(table.open()) > 0;
        let paused = acceptor.is_paused();
        let accepted = tokio::select! {
            biased;
            // New connections are directed to the successor first, if there is one; then the listener is
            // closed, and only then do connections close: a client that reconnects must reach the successor.
            () = state.reached(AcceptStage::HandedOver), if closing_at.is_none() => {
                // A process without a successor may be the younger one itself, and would take the other's
                // clients.
                listener.iter().filter(|_| state.has_successor.get()).for_each(prefer_youngest);
                closing_at = Some(clock::now() + HANDSHAKE_TIME);
                continue;
            }
            () = sleep_until(clock::instant(closing_at.unwrap_or_default())),
                if closing_at.is_some() && !table.is_closing_all() =>
            {
                queued = listener.take().map_or(Ok(Vec::new()), close_listener).unwrap_or_else(|e| {
                    log!("connections in the listener's queue are lost: {e}");
                    Vec::new()
                });
                table.close_all_after_grace();
                continue;
            }
            oldest = std::future::ready(queued.pop()), if table.is_closing_all() => match oldest {
                Some(oldest) => Ok(oldest),
                None => {
                    log!("listener closed: no more clients are accepted");
                    return close_all(&table, &state).await;
                }
            },
            () = sleep_until(clock::instant(next_eviction)), if scarce => {
                let now = clock::now();
                next_eviction = now + EVICTION_INTERVAL;
                for _ in 0..memory.idle_connections_to_close(table.idle()) {
                    table.evict_after_grace(now);
                }
                continue;
            }
            () = memory.wait_until_scarce(), if !scarce => continue,
            () = sleep_until(clock::instant(clock::now() + MEMORY_RETRY_INTERVAL)), if paused => continue,
            accepted = accept_next(&listener), if !paused && !table.is_closing_all() => accepted,
        };
        match accepted {
            Ok(accepted) => acceptor.serve_or_refuse(accepted).await,
            Err(e) => {
                log!("cannot accept a client: {e}");
                sleep_until(clock::instant(clock::now() + ACCEPT_RETRY_DELAY)).await;
            }
        }
    }
}

/// Waits until all connections have closed, and lets them close sooner at each stage of `state`.
async fn close_all(table: &ConnectionTable, state: &ListenerState) {
    let hasten = async {
        state.reached(AcceptStage::Closed).await;
        table.close_all_after_delivery();
        state.reached(AcceptStage::Ended).await;
        table.close_all_after_send();
        pending::<()>().await;
    };
    tokio::select! {
        () = table.all_closed() => {}
        () = hasten => {}
    }
}

/// Starts a task for each accepted connection.
struct Acceptor<S> {
    table: Rc<ConnectionTable>,
    max_connections: usize,
    ledger: Ledger,
    memory: Rc<ConnectionMemory>,
    serve: Rc<S>,
}

impl<S, F> Acceptor<S>
where
    S: Fn(Rc<ClientSocket>, ConnectionSlot, Grant) -> F + 'static,
    F: Future<Output = io::Result<()>> + 'static,
{
    /// Returns whether new connections stay in the system's queue: all slots are in use, and connections that
    /// wait for memory keep theirs.
    fn is_paused(&self) -> bool {
        self.table.slots_in_use() >= self.max_connections && self.memory.waiters_keep_slots()
    }

    /// Serves a connection, for which another one may be evicted, or refuses it.
    async fn serve_or_refuse(&self, (stream, peer): Accepted) {
        if self.table.slots_in_use() >= self.max_connections {
            if !self.memory.free_slot().await {
                return log!("client {peer} is refused: {} connections are open", self.max_connections);
            }
            // The connection that has a close request closes first.
            tokio::task::yield_now().await;
        }
        let socket = Rc::new(ClientSocket::new(stream));
        let slot = ConnectionSlot::new(self.table.clone(), socket.clone(), clock::now());
        let (ledger, memory, serve) = (self.ledger.clone(), self.memory.clone(), self.serve.clone());
        spawn_local(track_polls(TaskKind::Client, async move {
            let Some(grant) = memory.grant(&socket, &slot).await else {
                return log!("client {peer} is refused: no memory for another connection");
            };
            ledger.adjust_client_count(1);
            if let Err(e) = serve(socket, slot, grant).await
                && !matches!(e.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
            {
                log!("client {peer}: {e}");
            }
            ledger.adjust_client_count(-1);
        }));
    }
}

#[cfg(test)]
mod tests;
