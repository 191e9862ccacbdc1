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
    /// Connections that get no new orders, such as those to a former address of the node. Requests in flight
    /// on them can still be cancelled.
    retired: Vec<ConnectionHandle>,
}

impl NodeConnections {
    /// The node's address; `None` once the node is withdrawn.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Marks the node as withdrawn without retiring its connections.
    pub(super) fn clear_address(&mut self) {
        self.address = None;
    }

    /// Sets the node's address. If it changes, the active connections are retired, since they lead to another
    /// node or to one that is withdrawn.
    pub(super) fn set_address(&mut self, address: Option<SocketAddr>) {
        if self.address == address {
            return;
        }
        self.address = address;
        for connection in self.active.drain(..) {
            connection.retire();
            self.retired.push(connection);
        }
    }

    /// Cancels an attempt on whichever connection it is.
    pub(super) fn cancel(&self, attempt_id: AttemptId) {
        for connection in self.active.iter().chain(&self.retired) {
            connection.cancel(attempt_id);
        }
    }

    /// Removes active connections that have closed.
    pub(super) fn remove_closed(&mut self) {
        self.active.retain(ConnectionHandle::is_open);
    }

    /// Removes connections that have closed, and returns whether an address or a connection is left.
    pub(super) fn is_in_use(&mut self) -> bool {
        self.remove_closed();
        self.retired.retain(ConnectionHandle::is_open);
        self.address.is_some() || !self.active.is_empty() || !self.retired.is_empty()
    }

    /// Counts the open connections, including those that only finish their requests in flight.
    pub(super) fn count_open(&mut self) -> usize {
        self.retired.retain(ConnectionHandle::is_open);
        self.active.len() + self.retired.len()
    }

    /// Returns the number of active connections.
    pub(super) fn len(&self) -> usize {
        self.active.len()
    }

    /// Returns whether no connection is active.
    pub(super) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns whether the per-node limit allows another connection.
    pub(super) fn has_room(&self) -> bool {
        self.active.len() < MAX_CONNECTIONS_PER_NODE
    }

    /// Returns the index and load of the least loaded active connection that accepts this call.
    pub(super) fn least_loaded(&self, call: &str, max_requests: usize) -> Option<(usize, usize)> {
        let loads = self.active.iter().enumerate().map(|(index, connection)| (index, connection.load()));
        let usable = loads.filter(|(index, load)| *load < max_requests && self.active[*index].accepts(call));
        usable.min_by_key(|(_, load)| *load)
    }

    /// Returns the active connection at this index.
    pub(super) fn get(&self, index: usize) -> &ConnectionHandle {
        &self.active[index]
    }

    /// Adds an active connection.
    pub(super) fn add(&mut self, connection: ConnectionHandle) -> &ConnectionHandle {
        let index = self.active.len();
        self.active.push(connection);
        &self.active[index]
    }

    /// Returns whether an active connection has no requests.
    pub(super) fn has_idle(&self) -> bool {
        self.idle_index().is_some()
    }

    /// Retires an active connection that has no requests. Returns whether there was one.
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
