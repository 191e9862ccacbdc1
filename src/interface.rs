//! Input and output types of the director: settings, events and actions. No decisions are made here.

use std::sync::Arc;

/// Identifies a cache node (edge cache, parent or origin). Opaque: it is only compared and hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct NodeId(pub u64);
/// Identifies one request of a client; a client's retry has a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u32);
/// Identifies an object, without regard to its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ObjectId(pub u64);
/// Identifies a group of objects that can be purged together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);
/// The objects whose copies a purge invalidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PurgeScope {
    /// One object.
    Object(ObjectId),
    /// All objects of a group.
    Group(GroupId),
}

impl PurgeScope {
    /// Returns whether an object may be among them. One whose group is not known may be in any group.
    pub fn may_cover(self, object: ObjectId, group: Option<GroupId>) -> bool {
        match self {
            PurgeScope::Object(purged) => purged == object,
            PurgeScope::Group(purged) => group.is_none_or(|group| group == purged),
        }
    }
}

/// A request class, as an index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub u16);
/// A zone: a location with edge caches and directors, or a hub with parents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneId(pub u16);
/// Identifies another director of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PeerId(pub u16);

/// Whether a request of a class may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// Repeats and refusals are harmless.
    #[default]
    Safe,
    /// The request has an idempotency key: nodes of one scope drop repeats for [`Class::key_ttl`].
    Keyed(Scope),
    /// It must run at most once.
    Unsafe,
}

/// The set of nodes that share their record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Scope {
    /// All nodes.
    #[default]
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell.
    Cell,
}

/// Which edge caches may be the source of a fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SiblingScope {
    /// No edge cache.
    #[default]
    None,
    /// The edge caches of the director's own zone.
    Zone,
    /// Any edge cache.
    Any,
}

/// How much of an attempt's [`Note`] the nodes report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NoteDetail {
    /// Hits, fills and the reason of a failed fill.
    #[default]
    All,
    /// Only whether it was a hit or a fill.
    Hit,
    /// Nothing.
    None,
}

/// The settings of a request class.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Class {
    /// An answer within this time earns the full worth (seconds).
    pub aim: f64,
    /// The aim is extended by this multiple of the request's transfer time.
    pub aim_stretch: f64,
    /// The longest time that a client waits (seconds).
    pub deadline: f64,
    /// Share of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// Worth of one answered request.
    pub worth: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// How long nodes drop repeats with the same key (seconds).
    pub key_ttl: f64,
    /// The answer is a stream.
    pub streaming: bool,
    /// Freshness lifetime of a copy (seconds); 0: until it is purged.
    pub fresh_for: f64,
    /// How long past its freshness lifetime a copy may still be served (seconds).
    pub grace: f64,
    /// Share of the worth that a stale copy earns.
    pub stale_worth: f64,
    /// Objects consist of parts that are requested one after another.
    pub multi_part: bool,
    /// The answer comes from the origin and no cache keeps a copy.
    pub uncacheable: bool,
}

/// The settings that a director starts with.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// The number of this director within the tier.
    pub director_number: u16,
    /// Number of directors in the tier.
    pub directors: u16,
    /// Zone of this director.
    pub own_zone: ZoneId,
    /// Number of directors in each zone.
    pub directors_by_zone: Vec<u16>,
    /// Hub of each zone.
    pub hub_of_zone: Vec<ZoneId>,
    /// Rate of the link into each zone (KB/s); 0: unknown.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Rate of one answer at full pace (KB/s); 0: unknown.
    pub answer_kb_per_s: f64,
    /// The request classes.
    pub classes: Vec<Class>,
    /// Machine kind of parents, if there are any.
    pub parent_kind: Option<u16>,
    /// Machine kind of the origin.
    pub origin_kind: u16,
    /// Which sibling edge caches may be the source of a fill.
    pub sibling_sources: SiblingScope,
    /// How much of an attempt's note the nodes report.
    pub note_detail: NoteDetail,
    /// Parents and the origin accept attempts too.
    pub direct_attempts: bool,
    /// A request may wait for a fill of the same object that is in progress.
    pub join_fills: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of one request may be in flight at a time.
    pub concurrent_attempts: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Messages may be sent to peers.
    pub messages: bool,
    /// Most attempts for one request.
    pub max_attempts: u16,
    /// The longest retry delay that a client honours (seconds).
    pub max_retry_after: f64,
    /// A node's weight is the capacity of its link in transfers at full pace.
    pub weights_are_link_sizes: bool,
    /// The director must request the list of nodes.
    pub list_on_request: bool,
    /// Longest interval between two requests for the list, where it must be requested (seconds).
    pub list_poll_interval: f64,
    /// Smallest share of its capacity that an edge cache has when it starts.
    pub cold_start_share: f64,
    /// Time until a started edge cache has its full capacity (seconds).
    pub warm_up_time: f64,
    /// A warming edge cache fails when it is sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// Window over which the load on a warming node is measured (seconds).
    pub overload_window: f64,
    /// Smallest share of its capacity that a parent has when it starts.
    pub parent_cold_start_share: f64,
    /// Time until a parent has its full capacity (seconds).
    pub parent_warm_up_time: f64,
    /// A warming parent fails when it is sent more than this multiple of its present capacity.
    pub parent_overload_multiple: f64,
    /// The origin stops for a while when it is sent this multiple of its capacity (0: never).
    pub origin_overload_multiple: f64,
    /// How long the origin must be overloaded until it stops (seconds).
    pub origin_overload_window: f64,
    /// Time within which every cache has dropped a purged copy (seconds).
    pub purge_settle_time: f64,
    /// Time that a front may take to act on a purge (seconds).
    pub purge_slack: f64,
    /// A final answer still counts this long after the deadline (seconds).
    pub answer_slack: f64,
    /// Names of the values in a load report.
    pub report_fields: Vec<String>,
}

impl Settings {
    /// Returns the transfer time of `kb` at full pace (seconds), if both the size and the rate are known.
    pub fn transfer_time(&self, kb: f64) -> Option<f64> {
        (kb > 0.0 && self.answer_kb_per_s > 0.0).then(|| kb / self.answer_kb_per_s)
    }

    /// Returns the number of directors in this director's zone, which share its edge caches.
    pub fn own_zone_directors(&self) -> f64 {
        let here = self.directors_by_zone.get(usize::from(self.own_zone.0));
        f64::from(here.copied().unwrap_or(1).max(1))
    }
}

/// The state of a cache node in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NodeState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Completes pending requests and accepts no others.
    Draining,
    /// Removed from the list.
    Withdrawn,
}

/// An entry of the list of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Node {
    /// The node's id.
    pub id: NodeId,
    /// Its state.
    pub state: NodeState,
    /// Its cell: the nodes that share their record of idempotency keys.
    pub cell: u16,
    /// Its capacity relative to other nodes (1 where unknown).
    pub weight: f64,
    /// Its machine kind.
    pub kind: u16,
    /// When it last started; 0: long ago.
    pub ready_at: f64,
    /// Its zone.
    pub zone: ZoneId,
}

/// How to read the entries of a list event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The last known complete list, possibly outdated.
    Cached,
    /// Reading the list failed; nothing changes.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: u16,
    /// The object.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The group of the object, for purges; `None` if it is not known.
    pub group: Option<GroupId>,
    /// When the client gives up (clock time).
    pub expires: f64,
    /// Size of the answer in KB; 0: unknown.
    pub kb: f64,
    /// The client marked it as a retry.
    pub repeat: bool,
    /// It is a write.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The node answered with an error; the request may have run.
    Error,
    /// The node or its source refused it for lack of capacity.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection in time.
    ConnectFailed,
    /// The connection dropped.
    Reset,
    /// The director cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The node, or its source, has no suitable copy.
    Miss,
}

impl Outcome {
    /// Returns whether the outcome proves that the request did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// Where the content of an attempt came from, or why a fill failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Note {
    /// Unknown.
    #[default]
    None,
    /// A hit.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled, and the source had to ask the origin.
    FilledFromOrigin,
    /// Joined a fill that was in progress.
    Joined,
    /// A hit on a stale copy.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was unreachable, broke off or was too slow.
    SourceFailed,
    /// The source has no copy.
    SourceMiss,
    /// The edge cache had no free fill slot.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// An event for the director. Events with the same time are handled in the order in which they came.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A list of nodes, or a change of it.
    List {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        nodes: Arc<[Node]>,
    },
    /// A client's request arrived.
    Request(Request),
    /// The answer has begun to stream to the client, or the front holds up an answer that has begun to
    /// arrive. Such an attempt is not lost: whoever reads its answer sees it through to the end.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt's number, counted from 0.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptEnd {
        /// The request.
        request: RequestId,
        /// The attempt's number, counted from 0.
        attempt: u16,
        /// The node that it went to.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it was sent.
        took: f64,
        /// The request is finished.
        done: bool,
        /// Where the content came from, or why a fill failed.
        note: Note,
        /// Time to the first byte from the source (seconds); 0: unknown.
        source_wait: f64,
        /// The node's load report; empty if there is none.
        load: Vec<f64>,
    },
    /// The request ended without an answer from the director.
    Expired {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    TimerFired {
        /// The token that it was set with.
        token: u64,
    },
    /// A probe ended.
    ProbeEnd {
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it was sent.
        took: f64,
        /// The node's load report; empty if there is none.
        load: Vec<f64>,
    },
    /// A message from a peer.
    Message {
        /// The sender.
        from: PeerId,
        /// Its content.
        content: Vec<u8>,
    },
    /// The copies of an object, or of a whole group, are invalid.
    Purged {
        /// What was purged.
        scope: PurgeScope,
        /// Time since the purge (seconds).
        age: f64,
    },
}

/// Options of a fill besides its source and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FillOptions {
    /// Wait for a fill of the same object that is in progress.
    pub join: bool,
    /// The source answers from its own copy only.
    pub only_if_cached: bool,
    /// The parent keeps no copy.
    pub no_parent_copy: bool,
    /// Serve an ageing copy and revalidate it in the background.
    pub revalidate: bool,
}

/// An action that the director requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt, which may fill the cache.
    Fetch {
        /// The request.
        request: RequestId,
        /// The edge cache (or parent or origin, where direct attempts are allowed).
        node: NodeId,
        /// Timeout in seconds; 0: until the client gives up.
        within: f64,
        /// Source of the fill; the node itself: no fill.
        source: NodeId,
        /// Rank at which the copy is kept; 0: none.
        rank: u8,
        /// Greatest age of an acceptable copy, in seconds; 0: the class's freshness lifetime.
        age: f64,
        /// Further options.
        options: FillOptions,
    },
    /// Final answer: refused; a retry is safe.
    Refuse {
        /// The request.
        request: RequestId,
        /// Seconds after which to retry; 0: no advice.
        wait: f64,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Set a timer, which ends in an [`Event::TimerFired`].
    SetTimer {
        /// Returned with the event.
        token: u64,
        /// Seconds from now.
        after: f64,
    },
    /// Probe a node.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Send a message to one or all peers.
    SendMessage {
        /// The recipient; `None`: every peer.
        to: Option<PeerId>,
        /// Its content, at most 256 bytes.
        content: Vec<u8>,
    },
    /// Subscribe to changes of the list, or unsubscribe.
    Watch {
        /// Whether to subscribe.
        on: bool,
    },
    /// Ask for the whole list once.
    ReadList,
}
