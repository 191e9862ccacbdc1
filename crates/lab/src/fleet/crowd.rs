//! Connections that use up a front's file descriptors: they send nothing, or half of a request.

use super::Fleet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

/// The bytes that every second connection sends.
const HALF_A_REQUEST: &[u8] = b"*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$5\r\nmedia\r\n$40\r\ncall=9b1f";
/// Delay before a closed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Keeps this number of connections to a front open for the span.
pub fn open_connections(fleet: &Rc<Fleet>, front: usize, connections: usize, span: Duration) {
    let until = Instant::now() + span;
    for index in 0..connections {
        let fleet = fleet.clone();
        spawn_local(async move {
            while Instant::now() < until {
                if let Some(address) = fleet.fronts[front].address.get() {
                    let _ = timeout_at(until, hold_connection(address, index % 2 == 1)).await;
                }
                sleep(RECONNECT_DELAY).await;
            }
        });
    }
}

/// Opens a connection and waits until the front closes it.
async fn hold_connection(address: SocketAddr, sends_half: bool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    if sends_half {
        stream.write_all(HALF_A_REQUEST).await?;
    }
    let mut answer = [0; 256];
    while stream.read(&mut answer).await? > 0 {}
    Ok(())
}
