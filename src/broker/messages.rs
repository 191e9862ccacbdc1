//! What the core hears from fronts, cache connections and the list, and what it has them do.

use super::metrics::Count;
use super::tenants::TeamId;
use crate::interface::*;
use crate::memory::{AccountOwner, Grant, Ledger, MemoryRefusal, Purpose};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// A member of the list with where it listens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// As the director knows it.
    pub node: Node,
    /// Where it listens. The address of a node that has gone may belong to a new one.
    pub address: SocketAddr,
}

/// News of the world, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryUpdate {
    /// The whole list, or what has changed in it.
    NodeList {
        /// Who is absent is gone.
        full: bool,
        /// The entries.
        members: Vec<Member>,
    },
    /// Older copies are out of date.
    Purge {
        /// The object; none: the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: GroupId,
        /// When the purge was made, in Unix seconds.
        at: f64,
    },
}

/// What a request takes of the open tables, the queues between tasks and the timers until it is answered, in
/// whole and rounded up: its entries here and at the director, its attempts, its order and its reports (bytes).
pub const REQUEST_OVERHEAD_BYTES: usize = 2048;

/// What a front asks, whatever its wire.
#[derive(Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The class.
    pub class: ClassId,
    /// The object as the director knows it.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The group of the object.
    pub group: GroupId,
    /// Size in KB, 0 where not told.
    pub size_kb: f64,
    /// When the answer must be out, in Unix seconds.
    pub deadline: f64,
    /// A client's repeat.
    pub is_retry: bool,
    /// Whose request it is, where teams are configured.
    pub team: Option<TeamId>,
    /// Where the object lies in the teams' name space, on a wire that has paths.
    pub path: Option<Box<str>>,
    /// Names this try on the caches' wire.
    pub call: Box<str>,
    /// The object on the caches' wire.
    pub asset: Box<str>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// The bare tag of the client's copy.
    pub client_etag: Option<Box<str>>,
    /// What a write carries.
    pub body: Vec<u8>,
    /// Memory of the request and of its body, until it is over.
    pub held: [Grant; 2],
    /// Bytes that its client has left unread, where it reads more than one answer.
    pub unread_bytes: Option<Rc<Cell<usize>>>,
    /// Its client has left, or cancelled it: set by whoever reads that, so that nothing more is sent for it however long
    /// the word of it takes.
    pub cancelled: Rc<Cell<bool>>,
}

impl ClientRequest {
    /// Takes memory for the request and for a body of so many bytes. `may_use_reserve` ones may have the reserve.
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
        self.held = [
            memory.acquire(holder(Purpose::Waiting), REQUEST_OVERHEAD_BYTES)?,
            memory.acquire(holder(Purpose::Bodies), body)?,
        ];
        Ok(())
    }
}

/// The final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// Served: a whole answer of a cache node, unchanged.
    Served(Content),
    /// Refused: a further try is harmless, after so many seconds.
    Refused(f64),
    /// Failed; it may have run.
    Failed,
    /// Failed: its time has passed.
    DeadlineExceeded,
    /// Refused: the team's budget is spent for so many seconds.
    OverBudget(f64),
    /// Refused: no contract covers it.
    Forbidden,
}

impl Answer {
    /// What operators count it as.
    pub fn count(&self) -> Count {
        match self {
            Answer::Served(_) => Count::Success,
            Answer::Refused(_) | Answer::OverBudget(_) => Count::Busy,
            Answer::Failed | Answer::DeadlineExceeded | Answer::Forbidden => Count::Failure,
        }
    }
}

/// What a cache node made.
#[derive(Debug, Default, PartialEq)]
pub struct Content {
    /// The bytes.
    pub body: Vec<u8>,
    /// The tag of the copy.
    pub etag: Box<str>,
    /// The client's copy is the one; there are no bytes.
    pub not_modified: bool,
    /// Memory of the bytes, until the client has them.
    pub grant: Grant,
}

/// Who asked: a connection of a front, and the tag of the request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Caller {
    /// The connection.
    pub connection: u64,
    /// The request on it.
    pub tag: u64,
}

/// From a front to the broker.
#[derive(Debug)]
pub enum Input {
    /// A request was taken; exactly one answer is owed, unless it is aborted.
    Request {
        /// Who asks.
        caller: Caller,
        /// What.
        request: Rc<ClientRequest>,
        /// Where the answer goes. A connection has few requests open, which bounds its queue.
        reply: UnboundedSender<(u64, Answer)>,
    },
    /// The client stopped waiting; no answer is owed.
    Abort(Caller),
}

/// One attempt on its way: the request and the number of the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 0.
    pub attempt: u16,
}

/// An attempt to be written to a cache node.
#[derive(Debug, Clone)]
pub struct Order {
    /// Names it in reports.
    pub attempt_id: AttemptId,
    /// What is asked.
    pub request: Rc<ClientRequest>,
    /// The class as the wire names it.
    pub class: Rc<str>,
    /// Whom to ask.
    pub node: NodeId,
    /// Where a miss is filled from; none: no fill.
    pub source: Option<NodeId>,
    /// Rank at which the copy is kept.
    pub rank: u8,
    /// Oldest copy that will do, in seconds; 0: the class's fresh time.
    pub age: f64,
    /// Further options.
    pub options: FillOptions,
    /// It is not waited for longer, in Unix seconds.
    pub due: f64,
    /// A copy made before is too old to be served, in Unix seconds.
    pub min_created_at: f64,
    /// What it gives is no copy of anything.
    pub uncacheable: bool,
    /// How often it came back from a connection that ended before its write.
    pub requeues: u8,
    /// It is not sent any more: told here as it is decided, whatever queue the order is in.
    pub cancelled: Rc<Cell<bool>>,
    /// A further attempt that its class permits only so long after an earlier one begins by then (Unix seconds).
    pub begin_by: f64,
}

impl Order {
    /// May its first byte go out now? Asked last, by whoever writes it.
    pub fn may_be_sent(&self, now: f64) -> bool {
        now < self.due.min(self.begin_by) && !self.cancelled.get() && !self.request.cancelled.get()
    }
}

/// From the broker to the cache connections.
#[derive(Debug)]
pub enum Command {
    /// Write it, on any connection to its node.
    Send(Order),
    /// Take it back: unsent if its write has not begun, else cancelled on the wire. Its end is reported.
    Cancel {
        /// Which.
        attempt_id: AttemptId,
        /// Its node.
        node: NodeId,
    },
    /// The list has changed.
    NodeList {
        /// Who is absent is gone.
        full: bool,
        /// The entries.
        members: Vec<Member>,
    },
}

/// From the cache connections to the broker.
#[derive(Debug, PartialEq)]
pub enum Report {
    /// Its write has begun; from here on only proof says that it did not run.
    WriteStarted(AttemptId),
    /// It has ended.
    AttemptEnded {
        /// Which.
        attempt_id: AttemptId,
        /// How; `NotSent` if it was taken back unsent, `Cancelled` if on the wire.
        outcome: Outcome,
        /// Where the content came from, or why not.
        note: Note,
        /// Seconds that the node waited for the source.
        source_wait: f64,
        /// What was served.
        content: Option<Content>,
    },
    /// Its answer has begun to come, and waits here until there is memory for it: it is not lost.
    AwaitingMemory(AttemptId),
    /// It was answered, and there is no memory for the answer. That says nothing of the node.
    NoMemory(AttemptId),
    /// It was given up on the wire, and its node may not have read that yet: it is out for a little longer.
    Abandoned {
        /// Which.
        attempt_id: AttemptId,
        /// `Cancelled`, or `Reset` with its connection.
        outcome: Outcome,
        /// Its node has surely read that after so long (seconds).
        propagation: f64,
    },
}

/// What the core wants done outside.
#[derive(Debug)]
pub enum Effect {
    /// For the cache connections.
    Command(Command),
    /// For a caller.
    Answer {
        /// Whose.
        caller: Caller,
        /// What.
        answer: Answer,
    },
}
