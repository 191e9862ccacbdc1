//! The platform's wires: RESP clients, the line protocol to cache nodes, the coordinator's feed. Nothing is
//! decided here: what arrives is handed to the broker by queue, and what it orders is carried out.

pub mod admin;
mod buffer;
pub mod clients;
pub mod coordinator;
mod exchange;
pub mod frames;
pub mod lines;
#[cfg(test)]
mod model;
pub mod pool;
pub mod resp;

pub use buffer::{Buffer, Output, TEXT};

use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::{clock, log};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at};

/// After a failed accept (too many descriptors, say) the next is tried this much later (seconds).
const ACCEPT_PAUSE: f64 = 0.01;

/// What a client connection has as its own beside the text of its answers: its task, its tables, and what is
/// read at once (bytes).
const OWN: usize = 4 * 1024 + INPUT;
/// What is read of a client at once (bytes).
pub const INPUT: usize = 4 * 1024;
/// While memory is scarce, idle connections are looked at this often (seconds).
const RELIEF: f64 = 0.1;

/// Connections that the system holds for a listener before they are accepted.
const BACKLOG: u32 = 1024;

/// Listens for clients at an address that a second process of the same front may listen at too (SO_REUSEPORT):
/// during a replacement both take connections, and the one that ends hands over without a refused one.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    // What a process that closed here before has left at the address no longer counts.
    let _ = steer(&listener, BY_HASH);
    Ok(listener)
}

/// Has the system give each new connection at a shared address to the listener of this place, in the order in which
/// they came; with no listener at that place, to any. One instruction of the classic packet filter, `ret place`
/// (SO_ATTACH_REUSEPORT_CBPF, socket(7)); where the system refuses it, all stays as it was.
fn steer(listener: &TcpListener, place: u32) -> nix::Result<()> {
    use nix::libc::{BPF_K, BPF_RET, sock_filter, sock_fprog};
    let mut program = [sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: place }];
    let program = sock_fprog { len: 1, filter: program.as_mut_ptr() };
    nix::sys::socket::setsockopt(listener, nix::sys::socket::sockopt::AttachReusePortCbpf, &program)
}

/// The place that nobody has: any listener gets a connection, by its hash.
const BY_HASH: u32 = u32::MAX;
/// The place of the younger of two listeners.
const YOUNGER: u32 = 1;
/// So long after the successor's listener was given all that is new, what was in its handshake has come (seconds).
const HANDSHAKE: f64 = 0.05;

/// Why input cannot be read; the connection that it came on is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable(pub &'static str);

/// A value that a reload may change while a task goes by it.
pub struct Live<T> {
    value: Cell<T>,
    changed: Notify,
}

impl<T: Copy + PartialEq> Live<T> {
    /// Starts with this.
    pub fn new(value: T) -> Rc<Self> {
        Rc::new(Live { value: Cell::new(value), changed: Notify::new() })
    }

    /// What it is now.
    pub fn get(&self) -> T {
        self.value.get()
    }

    /// Changes it and wakes its one task; was it another?
    pub fn set(&self, value: T) -> bool {
        let changed = self.value.replace(value) != value;
        if changed {
            self.changed.notify_one();
        }
        changed
    }

    /// Waits until it has changed; a change that nobody waited for is not missed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Plain decimal digits.
pub fn number(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || digits.len() > 19 {
        return None;
    }
    digits.iter().try_fold(0u64, |n, d| d.is_ascii_digit().then(|| n * 10 + u64::from(d - b'0')))
}

/// A decimal number that is not negative, with or without a fraction.
pub fn amount(text: &[u8]) -> Option<f64> {
    let plain = text.len() <= 24 && text.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let value: f64 = std::str::from_utf8(text).ok().filter(|_| plain)?.parse().ok()?;
    value.is_finite().then_some(value)
}

/// Where a front takes clients. Shut when another process of the front serves beside this one, which ends: the
/// listener is closed once what waits at it is taken, and client connections close as soon as they are idle.
#[derive(Default)]
pub struct ListenerState {
    shut: Cell<bool>,
    shutting: Notify,
}

impl ListenerState {
    /// A door that is open.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Shuts it.
    pub fn shut(&self) {
        self.shut.set(true);
        self.shutting.notify_waiters();
    }

    async fn shutting(&self) {
        let shutting = self.shutting.notified();
        if !self.shut.get() {
            shutting.await;
        }
    }
}

/// Connections that wait for their client, in the order in which they are dispensable: those that never said
/// anything whole, then those without a request, the longest quiet first.
#[derive(Default)]
struct ConnectionTable {
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<(bool, u64), Rc<Notify>>>,
    /// All leave as soon as they wait for their client.
    leaving: Cell<bool>,
    /// Those that close and wait for their client to do so too, and how many may at once.
    lingering: Cell<usize>,
    lingering_most: usize,
    /// One has ended.
    ended: Notify,
}

/// One of those that may linger.
pub struct Linger(Rc<ConnectionTable>);

impl Drop for Linger {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

/// A client connection's place among the connections of its front.
pub struct Seat {
    table: Rc<ConnectionTable>,
    key: Cell<Option<(bool, u64)>>,
    asked: Rc<Notify>,
}

impl Seat {
    fn new(table: Rc<ConnectionTable>) -> Self {
        let seat = Seat { table, key: Cell::new(None), asked: Rc::default() };
        // From the start, for it may be asked before its task has had a turn.
        seat.quiet(false);
        seat
    }

    /// It waits for its client from now on, which has asked for something before, or has not. Once all are to leave,
    /// it is asked to at once.
    pub fn quiet(&self, spoken: bool) {
        if self.table.leaving.get() {
            self.asked.notify_one();
        }
        if self.key.get().is_none() {
            let key = (spoken, self.table.next.replace(self.table.next.get() + 1));
            self.key.set(Some(key));
            self.table.waiting.borrow_mut().insert(key, self.asked.clone());
        }
    }

    /// It has heard from its client, or owes it something.
    pub fn busy(&self) {
        if let Some(key) = self.key.take() {
            self.table.waiting.borrow_mut().remove(&key);
        }
    }

    /// Is it asked to leave because all are?
    pub fn leaving(&self) -> bool {
        self.table.leaving.get()
    }

    /// Leave to wait, once it has closed its side, for its client to close too; there is none where so many do that they
    /// would take the place of others. Once all leave, nobody is to come.
    pub fn linger(&self) -> Option<Linger> {
        let now = self.table.lingering.get();
        (self.leaving() || now < self.table.lingering_most).then(|| {
            self.table.lingering.set(now + 1);
            Linger(self.table.clone())
        })
    }

    /// Does it wait for its client?
    pub fn waits(&self) -> bool {
        self.key.get().is_some()
    }

    /// Waits until its place is needed for somebody else.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.busy();
    }
}

/// A client that is not read from is looked at so often (seconds). What its departure leaves to be sent is not to be sent
/// on 0.1 s later.
pub const LOOK: f64 = 0.05;

/// Has the other side closed, whatever of what it sent is still unread?
pub async fn closed(stream: &TcpStream) -> io::Result<bool> {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => Ok(ready?.is_read_closed()),
        () = std::future::ready(()) => Ok(false),
    }
}

/// The last answers are written for so long, and so many bytes of what still comes are passed over (seconds, bytes).
const LINGER: (f64, usize) = (0.5, 64 * 1024);

/// A lingering close: writes the last answers, ends the stream, and passes over what still comes until the client has ended
/// it too. Closing with bytes unread would reset it, and the client might lose what it was sent last.
pub async fn linger(stream: &mut TcpStream, seat: &Seat, last: &mut Output) {
    let lingers = seat.linger();
    let most = if lingers.is_some() { LINGER.1 } else { 0 };
    let by = clock::instant(clock::now() + LINGER.0);
    let closing = async {
        while !last.is_empty() {
            stream.writable().await?;
            last.write_to(stream)?;
        }
        part(stream, most).await
    };
    // Whether it got them or not, it is closed now.
    let _ = timeout_at(by, closing).await;
}

/// Ends the stream, and passes over up to so many bytes of what still comes until the other side has ended it too.
pub async fn part(stream: &mut TcpStream, most: usize) -> io::Result<()> {
    stream.shutdown().await?;
    let (mut rest, mut passed) = ([0; 512], 0);
    while passed < most {
        match stream.read(&mut rest).await? {
            0 => break,
            n => passed += n,
        }
    }
    Ok(())
}

/// So long a connection that is asked to leave looks whether something has come meanwhile (seconds).
const LAST_WORD: f64 = 0.002;

/// Has something come on a connection that is about to leave? Guards a request that lies in the system's buffer and of
/// which this busy thread has not been told: it was taken, and is owed an answer.
pub async fn last_word(stream: &TcpStream) -> bool {
    timeout_at(clock::instant(clock::now() + LAST_WORD), stream.readable()).await.is_ok()
}

impl ConnectionTable {
    /// How many wait for their client.
    fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Asks all to leave as soon as they wait for their client.
    fn dismiss(&self) {
        self.leaving.set(true);
        for asked in self.waiting.borrow().values() {
            asked.notify_one();
        }
    }

    /// Asks the most dispensable connection to leave, if there is one.
    fn make_place(&self) -> bool {
        let first = self.waiting.borrow_mut().pop_first();
        first.is_some_and(|(_, asked)| {
            asked.notify_one();
            true
        })
    }
}

/// The next connection, while there is a listener.
async fn next(listener: &Option<TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Closes a listener; what waited at it, the first to come last. The system is asked for each without a turn of this
/// thread's between: the runtime may not have been told of it yet. What comes after the last of them is reset, so
/// that nothing may be given to this listener any more ([`steer`]).
fn close(listener: TcpListener) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut waited = Vec::new();
    while let Ok((stream, peer)) = listener.accept() {
        waited.push((stream, peer));
    }
    drop(listener);
    let tell = |(stream, peer): (std::net::TcpStream, SocketAddr)| {
        stream.set_nonblocking(true)?;
        Ok((TcpStream::from_std(stream)?, peer))
    };
    waited.into_iter().rev().map(tell).collect()
}

/// One in so many connections may linger beside those that are served.
const LINGERING: usize = 8;

/// Accepts until the program ends, or the door is shut and all that came through it are served and gone: a task for each
/// connection, and at most so many of them, with a few that linger.
/// Guards against connections that say nothing, which must not keep out those that would: the newest comer gets
/// the place of the one that is most dispensable, and is turned away only where all have a request.
pub async fn accept<F>(
    listener: TcpListener,
    door: Rc<ListenerState>,
    most: usize,
    memory: Ledger,
    serve: impl Fn(TcpStream, Seat, Grant) -> F,
) where
    F: Future<Output = io::Result<()>> + 'static,
{
    let table =
        Rc::new(ConnectionTable { lingering_most: (most / LINGERING).max(1), ..ConnectionTable::default() });
    let open = Rc::new(Cell::new(0usize));
    let own = || memory.ask(AccountOwner::of(Purpose::Clients), OWN + TEXT);
    let mut relief_at = clock::now();
    // What still waits of what was at the listener when it was closed.
    let (mut listener, mut waited) = (Some(listener), Vec::new());
    // Once the door shuts: when the listener is closed.
    let mut closing_at = None;
    loop {
        // While memory is scarce, idle connections leave turn by turn, the most dispensable first.
        let closing = memory.closes(table.waiting()) > 0;
        let accepted = tokio::select! {
            biased;
            // New connections go to the successor first; then the listener goes, and only then is anybody asked to
            // leave: who comes again must find the successor's.
            () = door.shutting(), if closing_at.is_none() => {
                if let Some(Err(e)) = listener.as_ref().map(|l| steer(l, YOUNGER)) {
                    log!("the successor is not given every new client at once: {e}");
                }
                closing_at = Some(clock::now() + HANDSHAKE);
                continue;
            }
            () = sleep_until(clock::instant(closing_at.unwrap_or_default())),
                if closing_at.is_some() && !table.leaving.get() =>
            {
                waited = listener.take().map_or(Ok(Vec::new()), close).unwrap_or_else(|e| {
                    log!("what waits at the listener is lost: {e}");
                    Vec::new()
                });
                table.dismiss();
                continue;
            }
            last = std::future::ready(waited.pop()), if table.leaving.get() => match last {
                Some(last) => Ok(last),
                None => {
                    log!("the door is shut: no more clients here");
                    while open.get() > 0 {
                        table.ended.notified().await;
                    }
                    return;
                }
            },
            () = sleep_until(clock::instant(relief_at)), if closing => {
                relief_at = clock::now() + RELIEF;
                for _ in 0..memory.closes(table.waiting()) {
                    table.make_place();
                }
                continue;
            }
            accepted = next(&listener), if !table.leaving.get() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                if open.get() >= most {
                    if !table.make_place() {
                        log!("client {peer} is turned away: {most} are connected");
                        continue;
                    }
                    // Whoever was asked leaves now, before there is another.
                    tokio::task::yield_now().await;
                }
                let mut granted = own();
                if granted.is_err() && table.make_place() {
                    sleep_until(clock::instant(clock::now() + 2.0 * LAST_WORD)).await;
                    granted = own();
                }
                let Ok(granted) = granted else {
                    log!("client {peer} is turned away: no memory for another connection");
                    continue;
                };
                memory.clients(1);
                let memory = memory.clone();
                let (open, served) = (open.clone(), serve(stream, Seat::new(table.clone()), granted));
                let table = table.clone();
                open.set(open.get() + 1);
                tokio::task::spawn_local(async move {
                    match served.await {
                        Err(e)
                            if !matches!(
                                e.kind(),
                                io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
                            ) =>
                        {
                            log!("client {peer}: {e}");
                        }
                        _ => {}
                    }
                    open.set(open.get() - 1);
                    memory.clients(-1);
                    table.ended.notify_one();
                });
            }
            Err(e) => {
                log!("cannot accept a client: {e}");
                sleep_until(clock::instant(clock::now() + ACCEPT_PAUSE)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
