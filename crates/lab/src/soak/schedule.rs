//! The schedule of faults: one compressed round of recorded incidents, plus faults of misbehaving clients and
//! operators.

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Requests for new objects of 5.4 to 28 times the usual size.
    OversizedObjects,
    /// More objects that are requested only once.
    OneTimeObjects,
    /// The coordinator's events are delayed.
    DelayedEvents,
    /// Half of the fronts failed: their clients connect to this front.
    FailedOverClients,
    /// A cache node and a parent fail most requests quickly.
    FailingNodes,
    /// Cache nodes answer slowly.
    SlowNodes,
    /// A cache node reads requests and never answers.
    UnresponsiveNode,
    /// Connections end inside a body, or bring unparsable answers.
    TruncatedAnswers,
    /// Thousands of purges at once.
    PurgeStorm,
    /// A cache node drains and returns with an empty cache; another restarts.
    Drain,
    /// Clients that request much and hardly read.
    SlowReaders,
    /// Clients that send nothing, random bytes, truncated requests or false lengths.
    MalformedRequests,
    /// Hundreds of aborts at once.
    Aborts,
    /// All memory caps are halved by a reload, and restored.
    CapsHalved,
    /// Large bodies and unread answers from many connections at once, while holds go on.
    Flood,
}

/// The start and end of each fault, as shares of a round.
const SCHEDULE: [(FaultKind, f64, f64); 15] = [
    (FaultKind::OversizedObjects, 0.05, 0.35),
    (FaultKind::OneTimeObjects, 0.08, 0.35),
    (FaultKind::DelayedEvents, 0.12, 0.25),
    (FaultKind::FailedOverClients, 0.18, 0.28),
    (FaultKind::FailingNodes, 0.28, 0.40),
    (FaultKind::PurgeStorm, 0.34, 0.36),
    (FaultKind::Drain, 0.38, 0.50),
    (FaultKind::SlowReaders, 0.42, 0.60),
    (FaultKind::MalformedRequests, 0.45, 0.62),
    (FaultKind::TruncatedAnswers, 0.52, 0.60),
    (FaultKind::UnresponsiveNode, 0.61, 0.66),
    (FaultKind::Aborts, 0.62, 0.68),
    (FaultKind::SlowNodes, 0.68, 0.74),
    (FaultKind::CapsHalved, 0.70, 0.80),
    (FaultKind::Flood, 0.80, 0.95),
];

/// Returns the faults that are active at this share of a round.
pub fn active_faults(at: f64) -> impl Iterator<Item = FaultKind> {
    SCHEDULE.into_iter().filter(move |(_, from, until)| (*from..*until).contains(&at)).map(|s| s.0)
}
