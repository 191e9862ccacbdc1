//! What a director is told and what it asks for: settings, events and actions. No decisions are made here.

use std::sync::Arc;

/// A cache node (edge cache, parent or origin); opaque, only compared and hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct NodeId(pub u64);
/// One try of a client; never repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u32);
/// An object, whatever the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ObjectId(pub u64);
/// A group of objects that can be purged together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);
/// A request class, by its place in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub u16);
/// A zone: a location with edge caches and directors, or a hub with parents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneId(pub u16);
/// Another director of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PeerId(pub u16);

/// May a request of this class run more than once?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// Repeats and refusals are harmless.
    #[default]
    Safe,
    /// Nodes of one scope drop repeats for a while.
    Keyed(Scope),
    /// It must run once at most.
    Unsafe,
}

/// The nodes that share which keyed requests they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Scope {
    /// All nodes.
    #[default]
    All,
    /// Nodes of one zone.
    Zone,
    /// Nodes of one cell.
    Cell,
}

/// Which edge caches may be the source of a fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SiblingScope {
    /// None.
    #[default]
    None,
    /// Those of the own zone.
    Zone,
    /// All.
    Any,
}

/// How much answers tell about where the content came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NoteDetail {
    /// Hits, fills and why a fill failed.
    #[default]
    All,
    /// Hit or fill only.
    Hit,
    /// Nothing.
    None,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Class {
    /// Full worth inside this time (seconds).
    pub aim: f64,
    /// The aim grows by this multiple of the request's own sending time.
    pub aim_stretch: f64,
    /// Seconds a client waits in total.
    pub deadline: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// Worth of one request.
    pub worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// How long keyed repeats are dropped (seconds).
    pub key_ttl: f64,
    /// Answered as a stream.
    pub streaming: bool,
    /// How long a copy is fresh (seconds); 0: until purged.
    pub fresh_for: f64,
    /// Grace: how much older than fresh a copy may be when asked for (seconds).
    pub grace: f64,
    /// What a copy past its fresh time earns, as a share of the worth.
    pub stale_worth: f64,
    /// Objects come in parts asked for in turn.
    pub multi_part: bool,
    /// Runs at the origin and leaves no copy.
    pub uncacheable: bool,
}

/// What a director is given at start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// This director's number.
    pub director_number: u16,
    /// How many directors the tier has.
    pub directors: u16,
    /// Zone of this director.
    pub own_zone: ZoneId,
    /// Directors by zone.
    pub directors_by_zone: Vec<u16>,
    /// Hub of each zone.
    pub hub_of_zone: Vec<ZoneId>,
    /// Link in of each zone, KB a second; 0 where not told.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Top pace of one answer, KB a second; 0 where not told.
    pub answer_kb_per_s: f64,
    /// The request classes.
    pub classes: Vec<Class>,
    /// Machine kind of parents, if there are any.
    pub parent_kind: Option<u16>,
    /// Machine kind of the origin.
    pub origin_kind: u16,
    /// Which edge caches may be the source of a fill.
    pub sibling_sources: SiblingScope,
    /// What answers tell.
    pub note_detail: NoteDetail,
    /// Parents and the origin take attempts too.
    pub direct_attempts: bool,
    /// A request may join a fill under way.
    pub join_fills: bool,
    /// Withdrawing attempts is allowed.
    pub cancel: bool,
    /// Two attempts of one request may be out at a time.
    pub concurrent_attempts: bool,
    /// Probing is allowed.
    pub probes: bool,
    /// Messages to peers are allowed.
    pub messages: bool,
    /// Most attempts for one request.
    pub max_attempts: u16,
    /// Longest wait a client will follow (seconds).
    pub max_retry_after: f64,
    /// Node weights tell the size of its link in full-pace transfers.
    pub weights_are_link_sizes: bool,
    /// The list must be asked for.
    pub list_on_request: bool,
    /// Ask at least this often where the list must be asked for (seconds).
    pub list_poll_interval: f64,
    /// A node starts with at least this share of its capacity.
    pub cold_start_share: f64,
    /// And is warm within this time (seconds).
    pub warm_up_time: f64,
    /// Sent more than this multiple of its present capacity a cold node falls over.
    pub overload_multiple: f64,
    /// In this window (seconds).
    pub overload_window: f64,
    /// The same for parents: share of capacity at start.
    pub parent_cold_start_share: f64,
    /// Parents are warm within this time (seconds).
    pub parent_warm_up_time: f64,
    /// Parents fall over at this multiple.
    pub parent_overload_multiple: f64,
    /// The origin stops for a while at this multiple of what it can do (0: never).
    pub origin_overload_multiple: f64,
    /// When asked for it this long (seconds).
    pub origin_overload_window: f64,
    /// Caches drop purged copies by themselves within this time (seconds).
    pub purge_settle_time: f64,
    /// Time to heed a purge (seconds).
    pub purge_slack: f64,
    /// A final answer counts until this long after the deadline (seconds).
    pub answer_slack: f64,
    /// Names of the values in load reports.
    pub report_fields: Vec<String>,
}

impl Settings {
    /// Sending time at full pace of so many KB, where sizes are told (seconds).
    pub fn transfer_time(&self, kb: f64) -> Option<f64> {
        (kb > 0.0 && self.answer_kb_per_s > 0.0).then(|| kb / self.answer_kb_per_s)
    }

    /// How many directors share the edge caches of this one's zone.
    pub fn own_zone_directors(&self) -> f64 {
        let here = self.directors_by_zone.get(usize::from(self.own_zone.0));
        f64::from(here.copied().unwrap_or(1).max(1))
    }
}

/// State of a cache node in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NodeState {
    /// Takes requests.
    #[default]
    Ready,
    /// Completes pending work only.
    Draining,
    /// Withdrawn.
    Withdrawn,
}

/// An entry of the list.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Node {
    /// Who.
    pub id: NodeId,
    /// Its state.
    pub state: NodeState,
    /// Cell: nodes that share which keys they have seen.
    pub cell: u16,
    /// Size to compare with others' (1 where not told).
    pub weight: f64,
    /// Machine kind.
    pub kind: u16,
    /// When it last started; 0: long ago.
    pub ready_at: f64,
    /// Its zone.
    pub zone: ZoneId,
}

/// What a list event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held, possibly outdated.
    Cached,
    /// A call failed; nothing changes.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Tenant.
    pub tenant: u16,
    /// The object.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The group of the object, for purges.
    pub group: GroupId,
    /// When the client gives up (clock time).
    pub expires: f64,
    /// KB to be sent; 0 where not told.
    pub kb: f64,
    /// A client's repeat, where marked.
    pub repeat: bool,
    /// A write.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The node answered an error; it may have run.
    Error,
    /// Not taken by the node or its source.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection in time.
    ConnectFailed,
    /// The connection dropped.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing suitable held.
    Miss,
}

impl Outcome {
    /// Does it prove that nothing ran?
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// What an outcome's note tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Note {
    /// Nothing.
    #[default]
    None,
    /// A hit.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled, and the origin was asked.
    FilledFromOrigin,
    /// Joined a fill under way.
    Joined,
    /// A copy past its fresh time.
    Stale,
    /// The source said no.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceFailed,
    /// The source has none.
    SourceMiss,
    /// No place for a fill at the edge cache.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// What happened. Events that share a time are handed in the order in which they came.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of nodes.
    List {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        nodes: Arc<[Node]>,
    },
    /// A client's request came in.
    Request(Request),
    /// A stream has begun; the attempt belongs to the client. Also where the front holds up an answer that has begun to
    /// come: it is as little lost, and whoever reads it sees to its end.
    Streaming {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptEnd {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u16,
        /// The node asked.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it went out.
        took: f64,
        /// The request is finished.
        done: bool,
        /// Where the content came from, or why not.
        note: Note,
        /// Time to the first byte from the source, 0 where not told.
        source_wait: f64,
        /// Load report, empty if none.
        load: Vec<f64>,
    },
    /// The request is over without an answer of ours.
    Expired {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    TimerFired {
        /// The number given when it was set.
        token: u64,
    },
    /// A probe ended.
    ProbeEnd {
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it went out.
        took: f64,
        /// Load report, empty if none.
        load: Vec<f64>,
    },
    /// A peer's message.
    Message {
        /// The sender.
        from: PeerId,
        /// Its content.
        content: Vec<u8>,
    },
    /// Copies of an object (or of a whole group) are out of date.
    Purged {
        /// The object; none: the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: GroupId,
        /// Time since the purge (seconds).
        age: f64,
    },
}

/// What a fill may do, besides its source and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FillOptions {
    /// Wait for a fill that runs already.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// The parent keeps no copy.
    pub no_parent_copy: bool,
    /// Serve an ageing copy and renew it behind.
    pub revalidate: bool,
}

/// What the director wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An attempt that may fill.
    Fetch {
        /// The request.
        request: RequestId,
        /// The edge cache (or parent or origin, where direct attempts are allowed).
        node: NodeId,
        /// Time-out in seconds; 0: until the client gives up.
        within: f64,
        /// Source of the fill; the node itself: no fill.
        source: NodeId,
        /// Rank at which the copy is kept; 0: none.
        rank: u8,
        /// Oldest copy that will do, in seconds; 0: the class's fresh time.
        age: f64,
        /// Further options.
        options: FillOptions,
    },
    /// Final answer: turned away; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back, in seconds; 0: no advice.
        wait: f64,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Quit waiting on an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u16,
    },
    /// Ask for an [`Event::TimerFired`].
    SetTimer {
        /// Given back.
        token: u64,
        /// Seconds from now.
        after: f64,
    },
    /// Check on a node.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Send a message.
    SendMessage {
        /// To whom; none: to every peer.
        to: Option<PeerId>,
        /// Its content, 256 bytes at most.
        content: Vec<u8>,
    },
    /// Subscribe to changes of the list, or stop.
    Watch {
        /// On or off.
        on: bool,
    },
    /// Ask for the whole list once.
    ReadList,
}
