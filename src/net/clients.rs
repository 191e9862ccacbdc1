//! RESP clients: one task a connection, which reads requests, hands them to the broker and writes answers.

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
    /// To the broker.
    pub broker_inputs: Sender<Input>,
    /// The classes by name.
    pub classes: Rc<Classes>,
    /// The teams, if any are configured; requests then name theirs in `org`.
    pub contracts: Rc<Contracts>,
    /// Whether health checks are answered with yes.
    pub ready: Rc<Cell<bool>>,
    /// Most connections.
    pub max_connections: usize,
    /// Numbers for connections, shared by all fronts.
    pub numbers: Rc<Cell<u64>>,
    /// What holds connections, requests and answers.
    pub memory: Ledger,
    /// What a refusal of this front's own says (seconds).
    pub pushback: f64,
    /// What operators read: the answers that this front gives of its own are counted here.
    pub metrics: Rc<Metrics>,
}

impl ClientContext {
    /// Takes memory for a request and for its body, which it has from then on.
    fn hold(&self, mut ask: ClientRequest, body: &[u8]) -> Result<ClientRequest, MemoryRefusal> {
        ask.reserve_memory(&self.memory, self.classes.uncacheable(ask.class), body.len())?;
        ask.body = body.to_vec();
        Ok(ask)
    }
}

/// Accepts clients until the program ends, or the front takes no more.
pub async fn accept(listener: TcpListener, front: Rc<ClientContext>, state: Rc<ListenerState>) {
    let (connections, memory) = (front.max_connections, front.memory.clone());
    let serve = move |socket, slot, grant| ClientConnection::new(front.clone(), socket, slot, grant).serve();
    super::accept(listener, state, connections, memory, serve).await;
}
