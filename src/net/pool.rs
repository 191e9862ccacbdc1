//! Connection pool for the cache nodes, keyed by node id because an address may pass from one node to
//! another. One task owns the pool; each connection runs in its own task and reports directly to the broker.

mod connection;
mod limits;
mod node_connections;

use super::exchange::ended_without_answer;
use crate::broker::{AttemptId, Command, Member, Order, Report};
use crate::interface::{NodeId, NodeState, Outcome};
use crate::memory::Ledger;
use connection::{ConnectionContext, ConnectionHandle};
pub use limits::PoolLimits;
use node_connections::NodeConnections;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// How many recent cancels are kept, so that an order that a connection hands back is not sent after its
/// cancel.
const MAX_RECENT_CANCELS: usize = 256;

/// Runs the pool until the broker closes the command channel.
pub async fn run(
    mut commands: UnboundedReceiver<Command>,
    reports: UnboundedSender<Report>,
    limits: PoolLimits,
    memory: Ledger,
) {
    let (returned, mut returned_orders) = unbounded_channel();
    let mut pool = Pool::new(ConnectionContext { limits, reports, returned, memory });
    loop {
        tokio::select! {
            biased;
            // Returned orders are resent first, so that a cancel finds them on their new connection.
            Some(order) = returned_orders.recv() => pool.resend(order),
            command = commands.recv() => match command {
                Some(command) => {
                    while let Ok(order) = returned_orders.try_recv() {
                        pool.resend(order);
                    }
                    pool.handle(command);
                }
                None => return,
            },
        }
    }
}

struct Pool {
    nodes: FxHashMap<NodeId, NodeConnections>,
    /// The most recent cancels, oldest first.
    recent_cancels: VecDeque<AttemptId>,
    context: ConnectionContext,
}

impl Pool {
    fn new(context: ConnectionContext) -> Self {
        Pool { nodes: FxHashMap::default(), recent_cancels: VecDeque::new(), context }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Send(order) => self.send(order),
            Command::Cancel { attempt_id, node } => self.cancel(attempt_id, node),
            Command::NodeList { full, members } => self.update_nodes(full, &members),
        }
    }

    fn cancel(&mut self, attempt_id: AttemptId, node: NodeId) {
        if self.recent_cancels.len() >= MAX_RECENT_CANCELS {
            self.recent_cancels.pop_front();
        }
        self.recent_cancels.push_back(attempt_id);
        if let Some(connections) = self.nodes.get(&node) {
            connections.cancel(attempt_id);
        }
    }

    /// Applies a node list. A withdrawn node loses its address at once and its connections as soon as they
    /// are idle; requests in flight on them may still be answered.
    fn update_nodes(&mut self, full: bool, members: &[Member]) {
        if full {
            self.clear_absent_addresses(members);
        }
        for member in members {
            let address = Some(member.address).filter(|_| member.node.state != NodeState::Withdrawn);
            self.nodes.entry(member.node.id).or_default().set_address(address);
        }
        self.nodes.retain(|_, connections| connections.is_in_use());
    }

    /// Clears the address of each node that is not in the list.
    fn clear_absent_addresses(&mut self, members: &[Member]) {
        for (id, connections) in &mut self.nodes {
            if members.iter().all(|member| member.node.id != *id) {
                connections.clear_address();
            }
        }
    }

    /// Sends an order that a connection handed back, unless it was cancelled while it was in the channel:
    /// such a cancel found it on no connection.
    fn resend(&mut self, order: Order) {
        match self.recent_cancels.contains(&order.attempt_id) {
            true => self.context.report(ended_without_answer(order.attempt_id, Outcome::NotSent)),
            false => self.send(order),
        }
    }

    /// Hands an order to a connection, or reports why it could not be sent.
    fn send(&mut self, order: Order) {
        let attempt_id = order.attempt_id;
        let failure = match self.connection_for(&order) {
            Ok(connection) => connection.write(order).err(),
            Err(outcome) => Some(outcome),
        };
        if let Some(outcome) = failure {
            self.context.report(ended_without_answer(attempt_id, outcome));
        }
    }

    /// Chooses the connection for an order: a new one if all existing ones are busy and the limits and the
    /// memory allow it, otherwise the least loaded one that accepts the order.
    fn connection_for(&mut self, order: &Order) -> Result<&ConnectionHandle, Outcome> {
        let total = self.count_after_making_room(order.node);
        let connections = self.nodes.get_mut(&order.node).ok_or(Outcome::NotSent)?;
        let address = connections.address().ok_or(Outcome::NotSent)?;
        let limits = self.context.limits;
        connections.remove_closed();
        let least_loaded = connections.least_loaded(&order.request.call, limits.max_requests_per_connection);
        let may_open = connections.has_room() && total < limits.max_connections;
        let all_busy = least_loaded.is_none_or(|(_, load)| load >= limits.requests_before_new_connection());
        let overhead = (may_open && all_busy).then(|| self.context.acquire_overhead()).flatten();
        match (overhead, least_loaded) {
            (Some(overhead), _) => Ok(connections.add(connection::open(address, &self.context, overhead))),
            (None, Some((index, _))) => Ok(connections.get(index)),
            // The order was not sent because of a limit of this front, which says nothing about the node.
            (None, None) => Err(Outcome::Full),
        }
    }

    /// Returns the number of open connections. At the limit, an idle connection of another node is retired
    /// first if `node` has no connection, and is no longer counted.
    fn count_after_making_room(&mut self, node: NodeId) -> usize {
        let total: usize = self.nodes.values_mut().map(NodeConnections::count_open).sum();
        let has_none = self.nodes.get(&node).is_some_and(NodeConnections::is_empty);
        if total >= self.context.limits.max_connections && has_none && self.retire_idle_of_others(node) {
            return total - 1;
        }
        total
    }

    /// Retires an idle connection of the node with the most connections, `node` excepted. Returns whether
    /// there was one.
    fn retire_idle_of_others(&mut self, node: NodeId) -> bool {
        let others = self.nodes.iter_mut().filter(|(id, _)| **id != node);
        let with_idle = others.filter(|(_, connections)| connections.has_idle());
        let largest = with_idle.max_by_key(|(_, connections)| connections.len());
        largest.is_some_and(|(_, connections)| connections.retire_idle())
    }
}

#[cfg(test)]
mod tests;
