//! The connections to one node.

use super::connection::ConnectionHandle;
use super::limits::MAX_CONNECTIONS_PER_NODE;
use crate::broker::AttemptId;
use std::net::SocketAddr;

/// A node's address and the connections to it.
#[derive(Default)]
pub(super) struct NodeConnections {
    address: Option<SocketAddr>,
    active: Vec<ConnectionHandle>,
    /// Connections to where the node was before. They get no new orders, but what is in flight on them can still
    /// be cancelled.
    retired: Vec<ConnectionHandle>,
}

impl NodeConnections {
    /// Where the node is; `None` once it is gone.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// The node is gone, as far as the list says.
    pub(super) fn forget_address(&mut self) {
        self.address = None;
    }

    /// The node is at this address; connections to another lead elsewhere, or to a node that is gone.
    pub(super) fn move_to(&mut self, address: Option<SocketAddr>) {
        if self.address == address {
            return;
        }
        self.address = address;
        for connection in self.active.drain(..) {
            connection.retire();
            self.retired.push(connection);
        }
    }

    /// Cancels an attempt, wherever it is.
    pub(super) fn cancel(&self, attempt_id: AttemptId) {
        for connection in self.active.iter().chain(&self.retired) {
            connection.cancel(attempt_id);
        }
    }

    /// Forgets active connections that have closed.
    pub(super) fn forget_closed(&mut self) {
        self.active.retain(ConnectionHandle::is_open);
    }

    /// Forgets connections that have closed; is there an address or a connection left?
    pub(super) fn is_in_use(&mut self) -> bool {
        self.forget_closed();
        self.retired.retain(ConnectionHandle::is_open);
        self.address.is_some() || !self.active.is_empty() || !self.retired.is_empty()
    }

    /// Connections that are open, also those that only finish what is under way.
    pub(super) fn count_open(&mut self) -> usize {
        self.retired.retain(ConnectionHandle::is_open);
        self.active.len() + self.retired.len()
    }

    /// How many connections are active.
    pub(super) fn len(&self) -> usize {
        self.active.len()
    }

    /// Is no connection active?
    pub(super) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// May a further connection be opened to this node?
    pub(super) fn has_room(&self) -> bool {
        self.active.len() < MAX_CONNECTIONS_PER_NODE
    }

    /// The index and load of the least loaded active connection that may take this call.
    pub(super) fn least_loaded(&self, call: &str, max_requests: usize) -> Option<(usize, usize)> {
        let loads = self.active.iter().enumerate().map(|(index, connection)| (index, connection.load()));
        let usable = loads.filter(|(index, load)| *load < max_requests && self.active[*index].accepts(call));
        usable.min_by_key(|(_, load)| *load)
    }

    /// The active connection of this index.
    pub(super) fn get(&self, index: usize) -> &ConnectionHandle {
        &self.active[index]
    }

    /// Adds an active connection.
    pub(super) fn add(&mut self, connection: ConnectionHandle) -> &ConnectionHandle {
        let index = self.active.len();
        self.active.push(connection);
        &self.active[index]
    }

    /// Is there an active connection with nothing on it?
    pub(super) fn has_idle(&self) -> bool {
        self.idle_index().is_some()
    }

    /// Retires an active connection with nothing on it; was there any?
    pub(super) fn retire_idle(&mut self) -> bool {
        let Some(index) = self.idle_index() else { return false };
        let connection = self.active.swap_remove(index);
        connection.retire();
        self.retired.push(connection);
        true
    }

    fn idle_index(&self) -> Option<usize> {
        self.active.iter().position(|connection| connection.load() == 0)
    }
}
