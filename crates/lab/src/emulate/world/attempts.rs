//! Attempts: the lookup in a cache, the transfer over its link, and the end that the front is notified of.

use super::World;
use super::caches::{CACHE_CAPACITY, CacheIndex};
use super::requests::{OpenRequest, RequestKey};
use super::schedule::ScheduledEvent;
use super::transfers::{AttemptKey, Transfer, TransferId};
use super::upstream::{ORIGIN_WAIT_S, PARENT_WAIT_S, UpstreamAnswer};
use onyxyoke::interface::{Event, NodeId, Note, Outcome};

/// Round trip from a front to a cache (seconds).
const ROUND_TRIP_S: f64 = 0.004;
const ONE_WAY_S: f64 = ROUND_TRIP_S / 2.0;
/// Wait for another cache, which is reached by way of the level above both (seconds).
const SIBLING_WAIT_S: f64 = 2.0 * ROUND_TRIP_S;

/// The cache that an attempt goes to and the source of its fill.
#[derive(Debug, Clone, Copy)]
pub struct FetchOrder {
    pub node: NodeId,
    /// Source from which the cache fills a missing object.
    pub source: NodeId,
    /// Whether the source must not fetch an object that it lacks.
    pub only_if_cached: bool,
}

/// The result of an attempt's lookup in a cache.
enum Lookup {
    /// The cache or the source has a copy.
    Found { note: Note, source_wait: f64, fills: bool },
    /// Neither has a copy; the cache answers after this many seconds.
    Missed { note: Note, after: f64 },
    /// The source can't be reached; the cache answers after this many seconds.
    SourceFailed { after: f64 },
}

impl Lookup {
    fn filled(note: Note, source_wait: f64) -> Self {
        Lookup::Found { note, source_wait, fills: true }
    }
}

impl World {
    /// Starts an attempt of a request, unless the request is closed.
    pub(super) fn start_attempt(&mut self, key: RequestKey, order: FetchOrder) {
        let Some(request) = self.open.get_mut(&key) else { return };
        let number = request.attempts;
        request.attempts += 1;
        let request = *request;
        let cache = self.cache_index(order.node);
        let transfer = Transfer {
            attempt: AttemptKey { request: key, number },
            cache,
            sent_at: self.schedule.now(),
            source_wait: 0.0,
            note: Note::Hit,
            fills: false,
        };
        if !self.caches[cache].up {
            return self.end_attempt_after(ROUND_TRIP_S, transfer, Outcome::ConnectFailed);
        }
        match self.look_up(cache, &request, order) {
            Lookup::Found { note, source_wait, fills } => {
                let id = self.transfers.insert(Transfer { note, source_wait, fills, ..transfer });
                self.schedule.after(ONE_WAY_S + source_wait, ScheduledEvent::TransferStart(id));
            }
            Lookup::Missed { note, after } => {
                self.end_attempt_after(after, Transfer { note, ..transfer }, Outcome::Miss);
            }
            Lookup::SourceFailed { after } => {
                let transfer = Transfer { note: Note::SourceFailed, ..transfer };
                self.end_attempt_after(after, transfer, Outcome::Error);
            }
        }
    }

    fn look_up(&mut self, cache: CacheIndex, request: &OpenRequest, order: FetchOrder) -> Lookup {
        if self.caches[cache].copies.contains(request.object) {
            return Lookup::Found { note: Note::Hit, source_wait: 0.0, fills: false };
        }
        if order.source == order.node {
            return Lookup::Missed { note: Note::None, after: ROUND_TRIP_S };
        }
        match self.caches.iter().position(|sibling| sibling.id == order.source) {
            Some(sibling) => self.fill_from_sibling(sibling, request),
            None => self.fill_from_upstream(request, order),
        }
    }

    /// Fills from a sibling, which loads the sibling's link too. A sibling that is down refuses the
    /// connection.
    fn fill_from_sibling(&mut self, sibling: CacheIndex, request: &OpenRequest) -> Lookup {
        if !self.caches[sibling].up {
            return Lookup::SourceFailed { after: SIBLING_WAIT_S };
        }
        if !self.caches[sibling].copies.contains(request.object) {
            return Lookup::Missed { note: Note::SourceMiss, after: SIBLING_WAIT_S };
        }
        let id = self.transfers.new_id();
        self.caches[sibling].link.add(self.schedule.now(), id, request.work);
        self.schedule_link_progress(sibling);
        Lookup::filled(Note::Filled, SIBLING_WAIT_S)
    }

    fn fill_from_upstream(&mut self, request: &OpenRequest, order: FetchOrder) -> Lookup {
        match self.upstream.fetch(order.source, request.object, order.only_if_cached) {
            UpstreamAnswer::NotHeld => Lookup::Missed { note: Note::SourceMiss, after: PARENT_WAIT_S },
            UpstreamAnswer::FromParent => {
                self.statistics.work_filled += request.work;
                Lookup::filled(Note::Filled, PARENT_WAIT_S)
            }
            UpstreamAnswer::FromOrigin => {
                self.statistics.work_filled += request.work;
                self.statistics.work_from_origin += request.work;
                Lookup::filled(Note::FilledFromOrigin, PARENT_WAIT_S + ORIGIN_WAIT_S)
            }
        }
    }

    /// Starts sending over the cache's link, unless the attempt was cancelled.
    pub(super) fn start_transfer(&mut self, id: TransferId) {
        let Some(transfer) = self.transfers.get(id) else { return };
        let work = self.open.get(&transfer.attempt.request).map_or(0.0, |request| request.work);
        self.caches[transfer.cache].link.add(self.schedule.now(), id, work);
        self.schedule_link_progress(transfer.cache);
    }

    /// Ends the complete transfers of a link, unless it has changed since this was scheduled.
    pub(super) fn finish_transfers(&mut self, cache: CacheIndex, version: u64) {
        if self.caches[cache].link.version != version {
            return;
        }
        for id in self.caches[cache].link.take_complete(self.schedule.now()) {
            if let Some(transfer) = self.transfers.remove(id) {
                self.end_attempt_after(ONE_WAY_S, transfer, Outcome::Ok);
            }
        }
        self.schedule_link_progress(cache);
    }

    /// Cancels an attempt on behalf of its front.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptKey) {
        if let Some(transfer) = self.remove_transfer(attempt) {
            self.end_attempt_after(0.0, transfer, Outcome::Cancelled);
        }
    }

    /// Removes the transfer of an attempt in flight from its link.
    pub(super) fn remove_transfer(&mut self, attempt: AttemptKey) -> Option<Transfer> {
        let (id, transfer) = self.transfers.remove_attempt(attempt)?;
        self.caches[transfer.cache].link.remove(self.schedule.now(), id);
        self.schedule_link_progress(transfer.cache);
        Some(transfer)
    }

    pub(super) fn end_attempt_after(&mut self, delay: f64, transfer: Transfer, outcome: Outcome) {
        self.schedule.after(delay, ScheduledEvent::AttemptEnd(transfer, outcome));
    }

    /// Ends an attempt: answers its request and stores the copy if it was successful, and notifies the front.
    pub(super) fn end_attempt(&mut self, transfer: Transfer, outcome: Outcome) {
        let key = transfer.attempt.request;
        let mut done = true;
        if let Some(request) = self.open.get(&key).copied() {
            if outcome == Outcome::Ok {
                self.answer(key, request);
                self.store_copy(&transfer, request.object);
            } else {
                done = self.schedule.now() >= request.expires;
            }
        }
        self.notify_front(key.front, self.attempt_end_event(&transfer, outcome, done));
    }

    fn store_copy(&mut self, transfer: &Transfer, object: u64) {
        let cache = &mut self.caches[transfer.cache];
        if transfer.fills && cache.up {
            cache.copies.insert(object, CACHE_CAPACITY);
        }
    }

    fn attempt_end_event(&self, transfer: &Transfer, outcome: Outcome, done: bool) -> Event {
        Event::AttemptEnd {
            request: transfer.attempt.request.id,
            attempt: transfer.attempt.number,
            node: self.caches[transfer.cache].id,
            outcome,
            took: self.schedule.now() - transfer.sent_at,
            done,
            note: transfer.note,
            source_wait: transfer.source_wait,
            load: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
