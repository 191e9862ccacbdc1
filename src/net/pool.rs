//! Connections to cache nodes, by node id (an address may pass from one node to another). One task owns the
//! pool; each connection is a task of its own that reports straight to the broker.

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

/// So many cancels are remembered, lest an order that was being handed back meanwhile goes out after its own.
const REMEMBERED_CANCELS: usize = 256;

/// Runs the pool until the broker has ended.
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
            // What a broken connection hands back goes first, so that a cancel finds it on its new one.
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
    /// The last cancels.
    cancelled: VecDeque<AttemptId>,
    context: ConnectionContext,
}

impl Pool {
    fn new(context: ConnectionContext) -> Self {
        Pool { nodes: FxHashMap::default(), cancelled: VecDeque::new(), context }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Send(order) => self.send(order),
            Command::Cancel { attempt_id, node } => self.cancel(attempt_id, node),
            Command::NodeList { full, members } => self.update_nodes(full, &members),
        }
    }

    fn cancel(&mut self, attempt_id: AttemptId, node: NodeId) {
        if self.cancelled.len() >= REMEMBERED_CANCELS {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(attempt_id);
        if let Some(connections) = self.nodes.get(&node) {
            connections.cancel(attempt_id);
        }
    }

    /// A node that is gone loses its address and, once they are idle, its connections; what is in flight on them
    /// may still be answered.
    fn update_nodes(&mut self, full: bool, members: &[Member]) {
        if full {
            self.forget_absent(members);
        }
        for member in members {
            let address = Some(member.address).filter(|_| member.node.state != NodeState::Withdrawn);
            self.nodes.entry(member.node.id).or_default().move_to(address);
        }
        self.nodes.retain(|_, connections| connections.is_in_use());
    }

    /// Takes the address of each node that the list lacks.
    fn forget_absent(&mut self, members: &[Member]) {
        for (id, connections) in &mut self.nodes {
            if members.iter().all(|member| member.node.id != *id) {
                connections.forget_address();
            }
        }
    }

    /// Sends what a connection handed back. Guards against one whose cancel came while it was on its way here, and
    /// found it neither there nor on another connection.
    fn resend(&mut self, order: Order) {
        match self.cancelled.contains(&order.attempt_id) {
            true => self.context.report(ended_without_answer(order.attempt_id, Outcome::NotSent)),
            false => self.send(order),
        }
    }

    /// Hands an order to a connection, or reports why none takes it.
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

    /// Chooses the connection for an order: the least loaded that may take it, or a further one where none is free, if
    /// there is room for it and memory.
    fn connection_for(&mut self, order: &Order) -> Result<&ConnectionHandle, Outcome> {
        let total = self.total_with_room_for(order.node);
        let connections = self.nodes.get_mut(&order.node).ok_or(Outcome::NotSent)?;
        let address = connections.address().ok_or(Outcome::NotSent)?;
        let limits = self.context.limits;
        connections.forget_closed();
        let least_loaded = connections.least_loaded(&order.request.call, limits.max_requests_per_connection);
        let may_open = connections.has_room() && total < limits.max_connections;
        let crowded = least_loaded.is_none_or(|(_, load)| load >= limits.requests_per_connection());
        let overhead = (may_open && crowded).then(|| self.context.ask_overhead()).flatten();
        match (overhead, least_loaded) {
            (Some(overhead), _) => Ok(connections.add(connection::open(address, &self.context, overhead))),
            (None, Some((index, _))) => Ok(connections.get(index)),
            // Nothing may be opened and nothing can be used: it was not sent. That says nothing of the node.
            (None, None) => Err(Outcome::Full),
        }
    }

    /// How many connections are open. At the limit an idle one is closed for a node that has none.
    fn total_with_room_for(&mut self, node: NodeId) -> usize {
        let total: usize = self.nodes.values_mut().map(NodeConnections::count_open).sum();
        let has_none = self.nodes.get(&node).is_some_and(NodeConnections::is_empty);
        if total >= self.context.limits.max_connections && has_none && self.retire_idle(node) {
            return total - 1;
        }
        total
    }

    /// Retires an idle connection of another node, the one that has most; was there any?
    fn retire_idle(&mut self, node: NodeId) -> bool {
        let others = self.nodes.iter_mut().filter(|(id, _)| **id != node);
        let with_idle = others.filter(|(_, connections)| connections.has_idle());
        let most = with_idle.max_by_key(|(_, connections)| connections.len());
        most.is_some_and(|(_, connections)| connections.retire_idle())
    }
}

#[cfg(test)]
mod tests;
