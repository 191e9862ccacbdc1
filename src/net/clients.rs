//! RESP clients: one task per connection, which reads requests, passes them to the broker and writes answers.

mod connection;
mod request;
mod session;
mod timers;

#[cfg(test)]
pub(super) use session::Session;

use super::ListenerState;
use crate::broker::{ClientRequest, Contracts, Input, Metrics};
use crate::config::Classes;
use crate::memory::{Ledger, MemoryRefusal};
use connection::ClientConnection;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;

/// What all client connections share.
pub struct ClientContext {
    /// The queue to the broker.
    pub broker_inputs: Sender<Input>,
    /// The request classes by name.
    pub classes: Rc<Classes>,
    /// The teams, if any are configured; requests then name their team in the field `org`.
    pub contracts: Rc<Contracts>,
    /// Whether health checks are answered with `yes`.
    pub ready: Rc<Cell<bool>>,
    /// Connection limit.
    pub max_connections: usize,
    /// The number given to the last connection, shared by all fronts.
    pub numbers: Rc<Cell<u64>>,
    /// The memory accounts for connections, requests and answers.
    pub memory: Ledger,
    /// The pushback time in refusals that this front issues by itself (seconds).
    pub pushback: f64,
    /// The operators' metrics, which count the answers that this front gives by itself.
    pub metrics: Rc<Metrics>,
}

impl ClientContext {
    /// Reserves memory for a request and its body, and stores the body in the request.
    fn reserve_memory(
        &self,
        mut request: ClientRequest,
        body: &[u8],
    ) -> Result<ClientRequest, MemoryRefusal> {
        request.reserve_memory(&self.memory, self.classes.uncacheable(request.class), body.len())?;
        request.body = body.to_vec();
        Ok(request)
    }
}

/// Accepts clients until the program ends, or the front closes its listener.
pub async fn accept(listener: TcpListener, context: Rc<ClientContext>, state: Rc<ListenerState>) {
    let (max_connections, memory) = (context.max_connections, context.memory.clone());
    let serve =
        move |socket, slot, grant| ClientConnection::new(context.clone(), socket, slot, grant).serve();
    super::accept(listener, state, max_connections, memory, serve).await;
}
