//! A client's connection to a front, with its open requests.

use crate::paced::{Pace, PacedReader};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::spawn_local;

/// A persistent connection; `T` is the client's state of a request until that is answered.
pub struct ClientConnection<T> {
    pub write: Mutex<OwnedWriteHalf>,
    /// Open requests by tag.
    pub open: RefCell<HashMap<u64, T>>,
    next_tag: Cell<u64>,
    /// Time at which the connection was established.
    pub connected_at: Instant,
    /// The client's port, which identifies the connection in the front's log.
    pub local_port: u16,
    /// Whether the client has finished reading.
    pub ended: Cell<bool>,
    /// Time at which the front's end of stream arrived; data before it may still be unread.
    end_arrived_at: Cell<Option<Instant>>,
}

impl<T: 'static> ClientConnection<T> {
    /// Connects to a front; the returned reader reads at this pace.
    pub async fn connect(
        front: SocketAddr,
        pace: Option<Pace>,
    ) -> io::Result<(Rc<ClientConnection<T>>, PacedReader)> {
        let socket = if front.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(bytes) = pace.and_then(|pace| pace.receive_buffer) {
            socket.set_recv_buffer_size(bytes as u32)?;
        }
        let stream = socket.connect(front).await?;
        let _ = stream.set_nodelay(true);
        let local_port = stream.local_addr()?.port();
        let stream = stream.into_std()?;
        let end_watcher = pace.map(|_| stream.try_clone()).transpose()?;
        let stream = TcpStream::from_std(stream)?;
        let (read, write) = stream.into_split();
        let connection = ClientConnection {
            write: Mutex::new(write),
            open: RefCell::default(),
            next_tag: Cell::new(1),
            connected_at: Instant::now(),
            local_port,
            ended: Cell::new(false),
            end_arrived_at: Cell::default(),
        };
        let connection = Rc::new(connection);
        if let Some(end_watcher) = end_watcher {
            spawn_local(record_end(TcpStream::from_std(end_watcher)?, connection.clone()));
        }
        Ok((connection, PacedReader::new(read, pace)))
    }

    /// Returns the time since the front's end of stream arrived; zero if it wasn't recorded, as without a
    /// pace, where the end is read on arrival.
    pub fn time_since_end(&self) -> Duration {
        self.end_arrived_at.get().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Returns a tag that no request of this connection has had.
    pub fn allocate_tag(&self) -> u64 {
        self.next_tag.replace(self.next_tag.get() + 1)
    }
}

/// Records the time at which the front's end of stream arrives, even while data before it is unread.
async fn record_end<T>(stream: TcpStream, connection: Rc<ClientConnection<T>>) {
    while let Ok(ready) = stream.ready(Interest::READABLE).await {
        if ready.is_read_closed() {
            return connection.end_arrived_at.set(Some(Instant::now()));
        }
        // Clears the readiness without reading, so that the next `ready` waits for a new event.
        let _ = stream.try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
    }
}
