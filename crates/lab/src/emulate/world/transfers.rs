//! The attempts in flight, each a transfer over a cache's link.

use super::caches::CacheIndex;
use super::fronts::FrontIndex;
use super::requests::RequestKey;
use onyxyoke::interface::Note;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Identifies a transfer on its link.
pub type TransferId = u64;

/// Identifies an attempt of a request, numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub request: RequestKey,
    pub number: u16,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub struct Transfer {
    pub attempt: AttemptKey,
    pub cache: CacheIndex,
    pub sent_at: f64,
    /// Time that the cache waits for the source of its fill (seconds).
    pub source_wait: f64,
    pub note: Note,
    /// Whether the cache stores a copy of the object once the transfer is complete.
    pub fills: bool,
}

/// All transfers in flight, by id and by attempt.
#[derive(Default)]
pub struct TransferTable {
    last_id: TransferId,
    transfers: BTreeMap<TransferId, Transfer>,
    /// Ids by attempt, only of attempts whose front still waits for them.
    ids: HashMap<AttemptKey, TransferId>,
}

impl TransferTable {
    /// Returns an id that no transfer has had before.
    pub fn new_id(&mut self) -> TransferId {
        self.last_id += 1;
        self.last_id
    }

    pub fn insert(&mut self, transfer: Transfer) -> TransferId {
        let id = self.new_id();
        self.transfers.insert(id, transfer);
        self.ids.insert(transfer.attempt, id);
        id
    }

    pub fn get(&self, id: TransferId) -> Option<Transfer> {
        self.transfers.get(&id).copied()
    }

    pub fn remove(&mut self, id: TransferId) -> Option<Transfer> {
        let transfer = self.transfers.remove(&id)?;
        self.ids.remove(&transfer.attempt);
        Some(transfer)
    }

    pub fn remove_attempt(&mut self, attempt: AttemptKey) -> Option<(TransferId, Transfer)> {
        let id = self.ids.remove(&attempt)?;
        let transfer = self.transfers.remove(&id)?;
        Some((id, transfer))
    }

    /// Removes all transfers of a cache and returns them, oldest first.
    pub fn remove_of_cache(&mut self, cache: CacheIndex) -> Vec<Transfer> {
        let ids: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.cache == cache)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Detaches the transfers of these fronts, which no longer wait for them; the transfers go on at the
    /// caches.
    pub fn detach_fronts(&mut self, fronts: &Range<FrontIndex>) {
        self.ids.retain(|attempt, _| !fronts.contains(&attempt.request.front));
    }
}
