//! A client's connection to a front, with the requests that are open on it.

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

/// A connection that is kept open; `T` is what its client notes of a request until that is answered.
pub struct ClientConnection<T> {
    pub write: Mutex<OwnedWriteHalf>,
    /// By tag.
    pub open: RefCell<HashMap<u64, T>>,
    next: Cell<u64>,
    /// When it was made.
    pub made: Instant,
    /// The client's port, by which the front's log names it.
    pub local_port: u16,
    pub ended: Cell<bool>,
    /// When the front's end of it came, though what lies before that may still be unread.
    end_came: Cell<Option<Instant>>,
}

impl<T: 'static> ClientConnection<T> {
    /// Connects; what comes is read from the second, at this pace.
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
        let watched = pace.map(|_| stream.try_clone()).transpose()?;
        let stream = TcpStream::from_std(stream)?;
        let (read, write) = stream.into_split();
        let connection = ClientConnection {
            write: Mutex::new(write),
            open: RefCell::default(),
            next: Cell::new(1),
            made: Instant::now(),
            local_port,
            ended: Cell::new(false),
            end_came: Cell::default(),
        };
        let connection = Rc::new(connection);
        if let Some(watched) = watched {
            spawn_local(note_end(TcpStream::from_std(watched)?, connection.clone()));
        }
        Ok((connection, PacedReader::new(read, pace)))
    }

    /// How long ago the front's end of it came; one that is read at once is read when it comes.
    pub fn since_end(&self) -> Duration {
        self.end_came.get().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// A tag that no request of this connection has had.
    pub fn fresh_tag(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }
}

/// Notes when the front's end of a connection comes, whatever lies unread before it.
async fn note_end<T>(stream: TcpStream, connection: Rc<ClientConnection<T>>) {
    while let Ok(ready) = stream.ready(Interest::READABLE).await {
        if ready.is_read_closed() {
            return connection.end_came.set(Some(Instant::now()));
        }
        // Nothing is read here: the next thing that comes is waited for.
        let _ = stream.try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
    }
}
