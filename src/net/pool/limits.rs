//! How many connections there may be, and how many requests on each.

/// A further connection to a node is opened once each has so many requests, where a connection costs nothing: whatever
/// spoils an answer ends its connection, and with it what else is in flight there.
const REQUESTS_PER_FREE_CONNECTION: usize = 1;
/// The same where a connection has a price, as in a fleet whose fronts together hold most of what a node accepts.
pub(super) const REQUESTS_PER_PRICED_CONNECTION: usize = 8;
/// Most connections to one node.
pub(super) const MAX_CONNECTIONS_PER_NODE: usize = 16;

/// The pool's limits.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// A connection that is not made by then has failed (seconds).
    pub connect_timeout: f64,
    /// An unused connection is closed after this (seconds); well before the node does.
    pub idle_timeout: f64,
    /// Most requests on one connection.
    pub max_requests_per_connection: usize,
    /// Most connections in all.
    pub max_connections: usize,
    /// What each new one costs; 0: nothing.
    pub handshake_cost: f64,
}

impl PoolLimits {
    /// So many requests on each connection to a node are worth a further one.
    pub(super) fn requests_per_connection(&self) -> usize {
        let wanted = match self.handshake_cost > 0.0 {
            true => REQUESTS_PER_PRICED_CONNECTION,
            false => REQUESTS_PER_FREE_CONNECTION,
        };
        wanted.min(self.max_requests_per_connection)
    }
}
