//! The virtual clock and the queue of scheduled events.

use super::caches::CacheIndex;
use super::fronts::FrontIndex;
use super::requests::RequestKey;
use super::transfers::{Transfer, TransferId};
use onyxyoke::interface::Outcome;
use std::collections::BTreeMap;

/// Virtual time at the start of a run (seconds); not 0, since a real clock's time isn't either.
pub const START_S: f64 = 1000.0;

/// An event at a scheduled time.
pub enum ScheduledEvent {
    /// The next request arrives at a front.
    Arrival(FrontIndex),
    /// A timer that a director has set fires, with its token.
    Timer(FrontIndex, u64),
    TransferStart(TransferId),
    /// The next transfer on a cache's link is complete, unless the link's version has changed.
    LinkProgress(CacheIndex, u64),
    /// An attempt ends and its front is notified.
    AttemptEnd(Transfer, Outcome),
    Deadline(RequestKey),
    /// A fault of the scenario, by index.
    FaultStart(usize),
    FaultEnd(usize),
    /// The fronts receive a cache's new state.
    CacheListed(CacheIndex),
    /// The links of cold caches are resized.
    WarmUpStep,
    /// A window of the statistics ends.
    WindowEnd,
}

/// A queue of events in order of time; events of the same time keep the order in which they were scheduled.
pub struct Schedule {
    now: f64,
    last_sequence: u64,
    /// Keyed by the time's bits and a sequence number; the bits of non-negative floats order as their values
    /// do.
    due: BTreeMap<(u64, u64), ScheduledEvent>,
}

impl Schedule {
    pub fn new() -> Self {
        Schedule { now: START_S, last_sequence: 0, due: BTreeMap::new() }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    /// Schedules an event after `delay` seconds.
    pub fn after(&mut self, delay: f64, event: ScheduledEvent) {
        self.last_sequence += 1;
        let at = self.now + delay.max(0.0);
        self.due.insert((at.to_bits(), self.last_sequence), event);
    }

    /// Removes the next event, and advances the clock to its time.
    pub fn advance(&mut self) -> Option<ScheduledEvent> {
        let ((at, _), event) = self.due.pop_first()?;
        self.now = f64::from_bits(at);
        Some(event)
    }
}
