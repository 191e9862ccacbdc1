//! The virtual clock, and what is due when.

use super::caches::CacheIndex;
use super::fronts::FrontIndex;
use super::requests::RequestKey;
use super::transfers::{Transfer, TransferId};
use onyxyoke::interface::Outcome;
use std::collections::BTreeMap;

/// The time at which a run starts (seconds); like a real clock's, it isn't 0.
pub const START: f64 = 1000.0;

/// What happens at a scheduled time.
pub enum ScheduledEvent {
    /// The next request comes to a front.
    Arrival(FrontIndex),
    /// An alarm that a director asked for, with its token.
    Alarm(FrontIndex, u64),
    TransferStart(TransferId),
    /// The next transfer on a cache's link is whole, unless the link's version has changed.
    LinkProgress(CacheIndex, u64),
    /// A front hears how an attempt ended.
    AttemptEnd(Transfer, Outcome),
    Deadline(RequestKey),
    /// A fault of the scenario, by index.
    FaultStart(usize),
    FaultEnd(usize),
    /// The fronts hear of a cache's new state.
    CacheListed(CacheIndex),
    /// Cold caches warm up a little more.
    WarmUp,
    /// A window of the statistics ends.
    WindowEnd,
}

/// Events in the order of their times, and those of one time in the order in which they were scheduled.
pub struct Schedule {
    now: f64,
    last_number: u64,
    /// By time and number; the bits of times that aren't negative order as the times do.
    due: BTreeMap<(u64, u64), ScheduledEvent>,
}

impl Schedule {
    pub fn new() -> Self {
        Schedule { now: START, last_number: 0, due: BTreeMap::new() }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    /// Schedules an event so many seconds from now.
    pub fn after(&mut self, delay: f64, event: ScheduledEvent) {
        self.last_number += 1;
        let at = self.now + delay.max(0.0);
        self.due.insert((at.to_bits(), self.last_number), event);
    }

    /// Moves the clock to the next event and takes it.
    pub fn advance(&mut self) -> Option<ScheduledEvent> {
        let ((at, _), event) = self.due.pop_first()?;
        self.now = f64::from_bits(at);
        Some(event)
    }
}
