//! The messages that the broker exchanges with the client connections, the connections to cache nodes and
//! discovery.

use super::metrics::Count;
use super::tenants::TeamId;
use crate::interface::*;
use crate::memory::{AccountOwner, Grant, Ledger, MemoryRefusal, Purpose};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// A listed node with its address.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The node as the director sees it.
    pub node: Node,
    /// The address that the node listens on. The address of a removed node may be reused by a new one.
    pub address: SocketAddr,
}

/// An update of discovery. Updates are applied in the order in which they arrive.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryUpdate {
    /// The whole list of nodes, or the entries that changed.
    NodeList {
        /// Whether the list is complete, so that nodes absent from it are removed.
        full: bool,
        /// The entries.
        members: Vec<Member>,
    },
    /// Copies made before the purge are stale.
    Purge {
        /// What was purged.
        scope: PurgeScope,
        /// Time of the purge (Unix seconds).
        at: f64,
    },
}

/// Memory that a request takes until it is answered, rounded up: its entries in the tables here and at the
/// director, its timers, its attempts, and its order and reports in the queues between tasks.
pub const REQUEST_OVERHEAD_BYTES: usize = 2048;

/// A client's request, independent of the protocol that it arrived by.
#[derive(Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// The object's id in the director.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The group that the object belongs to, for purges; `None` if it is not known.
    pub group: Option<GroupId>,
    /// Size of the answer in KB; 0 if the client did not state it.
    pub size_kb: f64,
    /// Time by which the answer must be sent (Unix seconds).
    pub deadline: f64,
    /// Whether the client sends this request again after an earlier try.
    pub is_retry: bool,
    /// The team that the request belongs to, if teams are configured.
    pub team: Option<TeamId>,
    /// The object's path in the teams' name space, if the protocol has paths.
    pub path: Option<Box<str>>,
    /// Identifies the request in the protocol of the cache nodes.
    pub call: Box<str>,
    /// The object's name in the protocol of the cache nodes.
    pub asset: Box<str>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// The ETag of the client's copy, without quotes.
    pub client_etag: Option<Box<str>>,
    /// The body, for a request that carries one.
    pub body: Vec<u8>,
    /// Memory granted for the request and for its body, held until the request is finished.
    pub memory_grants: [Grant; 2],
    /// Bytes of earlier answers that the client has not read yet, on a connection that carries several
    /// requests.
    pub unread_bytes: Option<Rc<Cell<usize>>>,
    /// Set by the client's connection when the client disconnects or cancels the request, so that nothing
    /// more is sent for the request even before the abort reaches the broker.
    pub cancelled: Rc<Cell<bool>>,
}

impl ClientRequest {
    /// Reserves memory for the request and for a body of `body` bytes, from the reserve too if
    /// `may_use_reserve` is set.
    pub fn reserve_memory(
        &mut self,
        memory: &Ledger,
        may_use_reserve: bool,
        body: usize,
    ) -> Result<(), MemoryRefusal> {
        let holder = |purpose| AccountOwner { purpose, team: self.team, may_use_reserve };
        if !memory.admits(REQUEST_OVERHEAD_BYTES + body, may_use_reserve) {
            return Err(memory.count_refusal(Purpose::Waiting));
        }
        self.memory_grants = [
            memory.acquire(holder(Purpose::Waiting), REQUEST_OVERHEAD_BYTES)?,
            memory.acquire(holder(Purpose::Bodies), body)?,
        ];
        Ok(())
    }
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// Served: the complete answer of a cache node, unchanged.
    Served(Content),
    /// Refused: a retry is safe after this many seconds.
    Refused(f64),
    /// Failed; the request may have been executed.
    Failed,
    /// Failed: the deadline has passed.
    DeadlineExceeded,
    /// Refused: the team's budget is exhausted for this many seconds.
    OverBudget(f64),
    /// Refused: no contract covers the request.
    Forbidden,
}

impl Answer {
    /// Returns the counter that the answer is counted under.
    pub fn count(&self) -> Count {
        match self {
            Answer::Served(_) => Count::Success,
            Answer::Refused(_) | Answer::OverBudget(_) => Count::Busy,
            Answer::Failed | Answer::DeadlineExceeded | Answer::Forbidden => Count::Failure,
        }
    }
}

/// The content of a cache node's answer.
#[derive(Debug, Default, PartialEq)]
pub struct Content {
    /// The bytes.
    pub body: Vec<u8>,
    /// The ETag of the copy.
    pub etag: Box<str>,
    /// Whether the client's copy is still valid; the body is empty then.
    pub not_modified: bool,
    /// Memory granted for the bytes, held until they are sent to the client.
    pub grant: Grant,
}

/// Identifies a client's request: the client connection, and the request's tag on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Caller {
    /// Id of the connection.
    pub connection: u64,
    /// Tag of the request on the connection.
    pub tag: u64,
}

/// Message from a client connection to the broker.
#[derive(Debug)]
pub enum Input {
    /// A request, to which exactly one answer is sent unless it is aborted.
    Request {
        /// Where the request came from.
        caller: Caller,
        /// The request.
        request: Rc<ClientRequest>,
        /// Receives the answer. The limit on open requests per connection bounds this queue.
        reply: UnboundedSender<(u64, Answer)>,
    },
    /// The client no longer waits for the request; no answer is sent.
    Abort(Caller),
}

/// Identifies an attempt: its request, and its number within the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
}

/// An attempt to be written to a cache node.
#[derive(Debug, Clone)]
pub struct Order {
    /// Identifies the attempt in reports.
    pub attempt_id: AttemptId,
    /// The client's request.
    pub request: Rc<ClientRequest>,
    /// The class's name in the protocol of the cache nodes.
    pub class: Rc<str>,
    /// The node to send it to.
    pub node: NodeId,
    /// The node that a miss is filled from; `None`: no fill.
    pub source: Option<NodeId>,
    /// Retention rank of the copy.
    pub rank: u8,
    /// Maximum age of an acceptable copy (seconds); 0: the class's freshness lifetime.
    pub age: f64,
    /// Further options of the fill.
    pub options: FillOptions,
    /// Time at which the attempt times out (Unix seconds).
    pub due: f64,
    /// A copy made before this time is too old to be served (Unix seconds).
    pub min_created_at: f64,
    /// Whether the answer is never stored by caches, as that to a write.
    pub uncacheable: bool,
    /// How often the order was requeued because a connection ended before the write began.
    pub requeues: u8,
    /// Set as soon as the attempt is cancelled, so that it is not sent whichever queue it is in.
    pub cancelled: Rc<Cell<bool>>,
    /// Latest time at which the write may begin (Unix seconds), for a class that permits a retry only within
    /// a window after an earlier attempt.
    pub begin_by: f64,
}

impl Order {
    /// Returns whether the first byte may be written now. Checked directly before the write.
    pub fn may_be_sent(&self, now: f64) -> bool {
        now < self.due.min(self.begin_by) && !self.cancelled.get() && !self.request.cancelled.get()
    }
}

/// Command from the broker to the connections to cache nodes.
#[derive(Debug)]
pub enum Command {
    /// Write the attempt on any connection to its node.
    Send(Order),
    /// Cancel the attempt: dropped if its write has not begun, else cancelled on the wire. Its end is
    /// reported.
    Cancel {
        /// The attempt.
        attempt_id: AttemptId,
        /// The node that it was sent to.
        node: NodeId,
    },
    /// The list of nodes has changed.
    NodeList {
        /// Whether the list is complete, so that nodes absent from it are removed.
        full: bool,
        /// The entries.
        members: Vec<Member>,
    },
}

/// Report from the connections to cache nodes to the broker.
#[derive(Debug, PartialEq)]
pub enum Report {
    /// The write has begun. From here on the attempt counts as executed unless its outcome proves otherwise.
    WriteStarted(AttemptId),
    /// The attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt_id: AttemptId,
        /// Its outcome; `NotSent` if it was cancelled before its write, `Cancelled` if on the wire.
        outcome: Outcome,
        /// Where the content came from, or why there is none.
        note: Note,
        /// Time that the node waited for the source (seconds).
        source_wait: f64,
        /// The content, if the attempt was served.
        content: Option<Content>,
    },
    /// The answer has begun to arrive and waits for memory in this process: the attempt is not stalled at its
    /// node.
    AwaitingMemory(AttemptId),
    /// The attempt was answered, but there is no memory for the answer. The node is not at fault.
    NoMemory(AttemptId),
    /// The attempt was cancelled or reset on the wire. Its node may not have read that yet, so the attempt
    /// stays in flight for the propagation time.
    Abandoned {
        /// The attempt.
        attempt_id: AttemptId,
        /// `Cancelled`, or `Reset` with its connection.
        outcome: Outcome,
        /// Time after which the node has read the cancel or reset (seconds).
        propagation: f64,
    },
}

/// An action that the broker asks its task to carry out.
#[derive(Debug)]
pub enum Effect {
    /// A command for the connections to cache nodes.
    Command(Command),
    /// An answer for a client.
    Answer {
        /// The client's request.
        caller: Caller,
        /// The answer.
        answer: Answer,
    },
}
