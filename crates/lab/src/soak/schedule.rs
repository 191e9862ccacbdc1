//! When what goes wrong: one round of the incident record, compressed, and of what bad clients and operators add.

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Requests for new objects of 5.4 to 28 times the usual size.
    Oversized,
    /// More objects that are wanted only once.
    OneTime,
    /// The coordinator's news come late.
    LateNews,
    /// Half of the fronts died: their clients come here.
    HalfTheFronts,
    /// A cache node and a parent fail most requests quickly.
    Failing,
    /// Cache nodes answer late.
    Slow,
    /// A cache node takes everything and says nothing.
    Silent,
    /// Connections die inside a body, or bring what cannot be read.
    Dying,
    /// Thousands of purges at once.
    PurgeStorm,
    /// A cache node drains, and comes back empty; another restarts.
    Drain,
    /// Clients that ask for much and read nothing.
    SlowReaders,
    /// Silent, garbling and lying clients.
    Rude,
    /// Hundreds of aborts at once.
    Aborts,
    /// All caps are halved by a reload, and restored.
    CapsHalved,
    /// Large bodies and unread answers from many connections at once, while holds go on.
    Flood,
}

/// From and until when, as shares of a round.
const SCHEDULE: [(FaultKind, f64, f64); 15] = [
    (FaultKind::Oversized, 0.05, 0.35),
    (FaultKind::OneTime, 0.08, 0.35),
    (FaultKind::LateNews, 0.12, 0.25),
    (FaultKind::HalfTheFronts, 0.18, 0.28),
    (FaultKind::Failing, 0.28, 0.40),
    (FaultKind::PurgeStorm, 0.34, 0.36),
    (FaultKind::Drain, 0.38, 0.50),
    (FaultKind::SlowReaders, 0.42, 0.60),
    (FaultKind::Rude, 0.45, 0.62),
    (FaultKind::Dying, 0.52, 0.60),
    (FaultKind::Silent, 0.61, 0.66),
    (FaultKind::Aborts, 0.62, 0.68),
    (FaultKind::Slow, 0.68, 0.74),
    (FaultKind::CapsHalved, 0.70, 0.80),
    (FaultKind::Flood, 0.80, 0.95),
];

/// What goes wrong at this share of a round.
pub fn troubles(at: f64) -> impl Iterator<Item = FaultKind> {
    SCHEDULE.into_iter().filter(move |(_, from, until)| (*from..*until).contains(&at)).map(|s| s.0)
}
