//! Limits on the number of connections, and on the requests on each of them.

/// Load at which another connection to a node is opened when a handshake costs nothing: an unusable answer
/// closes its connection and fails whatever else is in flight on it, so requests do not share one.
const REQUESTS_PER_FREE_CONNECTION: usize = 1;
/// Load at which another connection to a node is opened when a handshake has a cost, as in a fleet whose
/// fronts together use up most of the connections that a node accepts.
pub(super) const REQUESTS_PER_PRICED_CONNECTION: usize = 8;
/// Upper bound on the active connections to one node.
pub(super) const MAX_CONNECTIONS_PER_NODE: usize = 16;

/// Timeouts and limits of the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Timeout for establishing a connection (seconds).
    pub connect_timeout: f64,
    /// How long an unused connection stays open (seconds); well below the node's own idle timeout.
    pub idle_timeout: f64,
    /// Upper bound on the requests on one connection.
    pub max_requests_per_connection: usize,
    /// Upper bound on the connections to all nodes.
    pub max_connections: usize,
    /// Cost of opening a connection; 0 if it is free.
    pub handshake_cost: f64,
}

impl PoolLimits {
    /// Returns the load of every connection to a node from which on another one is opened.
    pub(super) fn requests_before_new_connection(&self) -> usize {
        let threshold = match self.handshake_cost > 0.0 {
            true => REQUESTS_PER_PRICED_CONNECTION,
            false => REQUESTS_PER_FREE_CONNECTION,
        };
        threshold.min(self.max_requests_per_connection)
    }
}
