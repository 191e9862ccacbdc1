//! A crowd of clients that fill a front's descriptors: connections that say nothing, or half of a request.

use super::Fleet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

/// What every second one of them says.
const HALF_A_REQUEST: &[u8] = b"*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$5\r\nmedia\r\n$40\r\ncall=9b1f";
/// One that was ended comes back after so long.
const AGAIN: Duration = Duration::from_millis(100);

/// So many connections to a front, for as long as the span.
pub fn gather(fleet: &Rc<Fleet>, front: usize, connections: usize, span: Duration) {
    let until = Instant::now() + span;
    for member in 0..connections {
        let fleet = fleet.clone();
        spawn_local(async move {
            while Instant::now() < until {
                if let Some(address) = fleet.fronts[front].address.get() {
                    let _ = timeout_at(until, stay(address, member % 2 == 1)).await;
                }
                sleep(AGAIN).await;
            }
        });
    }
}

/// Stays until the front ends the connection.
async fn stay(address: SocketAddr, speaks: bool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    if speaks {
        stream.write_all(HALF_A_REQUEST).await?;
    }
    let mut answer = [0; 256];
    while stream.read(&mut answer).await? > 0 {}
    Ok(())
}
