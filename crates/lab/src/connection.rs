//! A client's connection to a front, with the requests that are open on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Mutex;

/// A connection that is kept open; `T` is what its client notes of a request until that is answered.
pub struct ClientConnection<T> {
    pub write: Mutex<OwnedWriteHalf>,
    /// By tag.
    pub open: RefCell<HashMap<u64, T>>,
    next: Cell<u64>,
    pub ended: Cell<bool>,
}

impl<T> ClientConnection<T> {
    /// Connects; what comes is read from the second.
    pub async fn connect(front: SocketAddr) -> io::Result<(Rc<ClientConnection<T>>, OwnedReadHalf)> {
        let stream = TcpStream::connect(front).await?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let connection = ClientConnection {
            write: Mutex::new(write),
            open: RefCell::default(),
            next: Cell::new(1),
            ended: Cell::new(false),
        };
        Ok((Rc::new(connection), read))
    }

    /// A tag that no request of this connection has had.
    pub fn fresh_tag(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }
}
