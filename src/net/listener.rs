//! Listening for clients, beside another process of the same front too, and accepting them: a task for each connection.

use super::ClientSocket;
use super::connection_memory::{ConnectionMemory, MEMORY_RETRY_INTERVAL, RELIEF_INTERVAL};
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

/// After a failed accept (too many descriptors, say) the next is tried this much later (seconds).
const ACCEPT_PAUSE: f64 = 0.01;
/// Connections that the system holds for a listener before they are accepted.
const BACKLOG: u32 = 1024;
/// One in so many connections may linger, and one in so many may be about to give its place, beside those that are served.
const EXTRA_SHARE: usize = 8;
/// The place that no listener has: any of them gets a connection, by its hash.
const ANY_BY_HASH: u32 = u32::MAX;
/// The places of two listeners, in the order in which they came.
const OLDEST: u32 = 0;
const YOUNGEST_OF_TWO: u32 = 1;
/// So long after the successor's listener was given all that is new, what was in its handshake has come (seconds).
const HANDSHAKE: f64 = 0.05;

/// A connection as it is accepted, with its client's address.
type Accepted = (TcpStream, SocketAddr);

/// Listens for clients at an address that a second process of the same front may listen at too (SO_REUSEPORT). While both
/// do, the system gives every connection to the one that came first, until that hands over ([`prefer_youngest`]) or is gone:
/// a second process that is ended while the first still serves has no clients, and loses none.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    // What a process that closed here before has left at the address no longer counts.
    let _ = steer_to(&listener, OLDEST);
    Ok(listener)
}

/// Has the system give each new connection at the listener's address to any of those that share it, by its hash: for
/// processes that cannot tell one another when to hand over.
pub fn share_by_hash(listener: &TcpListener) {
    let _ = steer_to(listener, ANY_BY_HASH);
}

/// Has the system give each new connection at the listener's address to the younger of two that share it; one that is alone
/// is given them all.
pub fn prefer_youngest(listener: &TcpListener) {
    if let Err(e) = steer_to(listener, YOUNGEST_OF_TWO) {
        log!("the newest process is not given every new client at once: {e}");
    }
}

/// Has the system give each new connection at a shared address to the listener of this place, in the order in which
/// they came; with no listener at that place, to any. One instruction of the classic packet filter, `ret place`
/// (SO_ATTACH_REUSEPORT_CBPF, socket(7)); where the system refuses it, all stays as it was.
fn steer_to(listener: &TcpListener, place: u32) -> nix::Result<()> {
    use nix::libc::{BPF_K, BPF_RET, sock_filter, sock_fprog};
    let mut program = [sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: place }];
    let program = sock_fprog { len: 1, filter: program.as_mut_ptr() };
    nix::sys::socket::setsockopt(listener, nix::sys::socket::sockopt::AttachReusePortCbpf, &program)
}

/// Does a front take clients?
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Accepting {
    /// It does.
    #[default]
    Yes,
    /// Another process of the front does. Requests may still come on open connections.
    HandedOver,
    /// It does not, and nothing more is to come on open connections.
    No,
    /// All that was taken is answered, and what still comes on open connections is refused.
    Ended,
}

/// Whether a front takes clients. When it no longer does, the listener is closed once what waits at it is accepted, and
/// client connections close once they are idle.
#[derive(Default)]
pub struct ListenerState {
    accepting: Cell<Accepting>,
    has_successor: Cell<bool>,
    changed: Notify,
}

impl ListenerState {
    /// A front that takes clients.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// A younger process of the front takes its clients.
    pub fn hand_over(&self) {
        self.has_successor.set(true);
        self.set(Accepting::HandedOver);
    }

    /// The front takes no more clients, and no more requests come on open connections.
    pub fn close(&self) {
        self.set(Accepting::No);
    }

    /// All that was taken is answered, and what still comes on open connections is refused.
    pub fn end(&self) {
        self.set(Accepting::Ended);
    }

    fn set(&self, accepting: Accepting) {
        self.accepting.set(accepting);
        self.changed.notify_waiters();
    }

    /// Waits until it has come to this.
    async fn reached(&self, accepting: Accepting) {
        while self.accepting.get() < accepting {
            self.changed.notified().await;
        }
    }
}

/// The next connection, while there is a listener.
async fn next(listener: &Option<TcpListener>) -> io::Result<Accepted> {
    match listener {
        Some(listener) => listener.accept().await,
        None => pending().await,
    }
}

/// Closes a listener; what waited at it, the first to come last. The system is asked for each without a turn of this
/// thread's between: the runtime may not have been told of it yet. What comes after the last of them is reset, so
/// that nothing may be given to this listener any more ([`steer_to`]).
fn close_listener(listener: TcpListener) -> io::Result<Vec<Accepted>> {
    let listener = listener.into_std()?;
    let mut waited = Vec::new();
    while let Ok((stream, peer)) = listener.accept() {
        waited.push((stream, peer));
    }
    drop(listener);
    let register = |(stream, peer): (std::net::TcpStream, SocketAddr)| {
        stream.set_nonblocking(true)?;
        Ok((TcpStream::from_std(stream)?, peer))
    };
    waited.into_iter().rev().map(register).collect()
}

/// Accepts until the program ends, or the front takes no more clients and all that were accepted are served and gone: a
/// task for each connection, and at most so many of them, with a few that linger.
/// Guards against connections that say nothing, which must not keep out those that would: the newest comer gets
/// the place of the one that is first to be closed, and is turned away only where none is idle. Where it is memory that is
/// missing, it waits in the system's queue until those before it have theirs.
pub async fn accept<F>(
    listener: TcpListener,
    state: Rc<ListenerState>,
    most: usize,
    memory: Ledger,
    serve: impl Fn(Rc<ClientSocket>, ConnectionSlot, Grant) -> F + 'static,
) where
    F: Future<Output = io::Result<()>> + 'static,
{
    let table = ConnectionTable::new((most / EXTRA_SHARE).max(1));
    let connection_memory = Rc::new(ConnectionMemory::new(memory.clone(), table.clone()));
    let acceptor = Acceptor {
        table: table.clone(),
        most,
        ledger: memory.clone(),
        memory: connection_memory,
        serve: Rc::new(serve),
    };
    let mut relief_at = clock::now();
    // What still waits of what was at the listener when it was closed.
    let (mut listener, mut waited) = (Some(listener), Vec::new());
    // Once the front takes no more clients: when the listener is closed.
    let mut closing_at = None;
    loop {
        let scarce = memory.idle_connections_to_close(table.open()) > 0;
        let held = acceptor.holds_newcomers();
        let accepted = tokio::select! {
            biased;
            // New connections go to the successor first, if there is one; then the listener is closed, and only then is any
            // connection asked to close: a client that comes again must find the successor's.
            () = state.reached(Accepting::HandedOver), if closing_at.is_none() => {
                // One that is itself the younger has none, and would take the other's clients.
                listener.iter().filter(|_| state.has_successor.get()).for_each(prefer_youngest);
                closing_at = Some(clock::now() + HANDSHAKE);
                continue;
            }
            () = sleep_until(clock::instant(closing_at.unwrap_or_default())),
                if closing_at.is_some() && !table.is_closing_all() =>
            {
                waited = listener.take().map_or(Ok(Vec::new()), close_listener).unwrap_or_else(|e| {
                    log!("what waits at the listener is lost: {e}");
                    Vec::new()
                });
                table.close_all_after_reading();
                continue;
            }
            last = std::future::ready(waited.pop()), if table.is_closing_all() => match last {
                Some(last) => Ok(last),
                None => {
                    log!("listener closed: no more clients are accepted");
                    return close_all(&table, &state).await;
                }
            },
            () = sleep_until(clock::instant(relief_at)), if scarce => {
                let now = clock::now();
                relief_at = now + RELIEF_INTERVAL;
                for _ in 0..memory.idle_connections_to_close(table.idle()) {
                    table.close_idle_since_grace(now);
                }
                continue;
            }
            () = memory.wait_until_scarce(), if !scarce => continue,
            () = sleep_until(clock::instant(clock::now() + MEMORY_RETRY_INTERVAL)), if held => continue,
            accepted = next(&listener), if !held && !table.is_closing_all() => accepted,
        };
        match accepted {
            Ok(accepted) => acceptor.take(accepted).await,
            Err(e) => {
                log!("cannot accept a client: {e}");
                sleep_until(clock::instant(clock::now() + ACCEPT_PAUSE)).await;
            }
        }
    }
}

/// Closes what was accepted, and waits for less the less time there is, until all of it is gone.
async fn close_all(table: &ConnectionTable, state: &ListenerState) {
    let hasten = async {
        state.reached(Accepting::No).await;
        table.close_all_immediately();
        state.reached(Accepting::Ended).await;
        table.close_all_behind_answers();
        pending::<()>().await;
    };
    tokio::select! {
        () = table.all_closed() => {}
        () = hasten => {}
    }
}

/// What turns an accepted connection into a task that serves it.
struct Acceptor<S> {
    table: Rc<ConnectionTable>,
    most: usize,
    ledger: Ledger,
    memory: Rc<ConnectionMemory>,
    serve: Rc<S>,
}

impl<S, F> Acceptor<S>
where
    S: Fn(Rc<ClientSocket>, ConnectionSlot, Grant) -> F + 'static,
    F: Future<Output = io::Result<()>> + 'static,
{
    /// Are new connections left in the system's queue, since all places are taken and those who wait for memory keep theirs?
    fn holds_newcomers(&self) -> bool {
        self.table.places_taken() >= self.most && self.memory.holds_newcomers()
    }

    /// Serves a connection, for which another may be closed, or turns it away.
    async fn take(&self, (stream, peer): Accepted) {
        if self.table.places_taken() >= self.most {
            if !self.memory.make_place().await {
                return log!("client {peer} is turned away: {} are connected", self.most);
            }
            // The one that was asked to close does so first.
            tokio::task::yield_now().await;
        }
        let socket = Rc::new(ClientSocket::new(stream));
        let slot = ConnectionSlot::new(self.table.clone(), socket.clone(), clock::now());
        let (ledger, memory, serve) = (self.ledger.clone(), self.memory.clone(), self.serve.clone());
        spawn_local(track_polls(TaskKind::Client, async move {
            let Some(grant) = memory.grant(&socket, &slot).await else {
                return log!("client {peer} is turned away: no memory for another connection");
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
