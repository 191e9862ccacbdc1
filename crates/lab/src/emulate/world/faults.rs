//! The scenario's faults, as they start and end.

use super::World;
use super::caches::{CacheIndex, CopyStore};
use super::fronts::FrontIndex;
use super::schedule::ScheduledEvent;
use crate::emulate::scenario::FaultKind;
use onyxyoke::interface::Outcome;
use std::ops::Range;

/// How late fronts hear that a cache is gone, and that it is back (seconds).
const GONE_LISTED_AFTER: f64 = 3.0;
const BACK_LISTED_AFTER: f64 = 1.0;

impl World {
    pub(super) fn start_fault(&mut self, fault: usize) {
        let fault = self.scenario.faults[fault].clone();
        match fault.kind {
            FaultKind::Hot(share) => self.hot_share = share,
            FaultKind::Emptied => self.empty_caches(),
            FaultKind::FrontsRestart => self.restart_fronts(0..self.fronts.len()),
            FaultKind::FrontsGone(share) => {
                self.first_front_up = self.fronts_in(share);
                self.forget_requests(&(0..self.first_front_up));
            }
            FaultKind::Slow(factor) => {
                for cache in fault.caches {
                    self.resize_link(cache, self.caches[cache].usual_link / factor);
                }
            }
            FaultKind::Gone => fault.caches.into_iter().for_each(|cache| self.stop_cache(cache)),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let fault = self.scenario.faults[fault].clone();
        match fault.kind {
            FaultKind::Hot(_) => self.hot_share = 0.0,
            FaultKind::Emptied | FaultKind::FrontsRestart => {}
            FaultKind::FrontsGone(share) => {
                self.first_front_up = 0;
                self.restart_fronts(0..self.fronts_in(share));
            }
            FaultKind::Slow(_) => {
                for cache in fault.caches {
                    self.resize_link(cache, self.caches[cache].usual_link);
                }
            }
            FaultKind::Gone => fault.caches.into_iter().for_each(|cache| self.start_cache(cache)),
        }
    }

    fn fronts_in(&self, share: f64) -> usize {
        (share * self.fronts.len() as f64) as usize
    }

    fn empty_caches(&mut self) {
        for cache in &mut self.caches {
            cache.copies = CopyStore::default();
        }
    }

    fn restart_fronts(&mut self, fronts: Range<FrontIndex>) {
        self.forget_requests(&fronts);
        self.restart_directors(fronts);
    }

    /// What these fronts had under way goes on at the caches, and nobody waits for it.
    fn forget_requests(&mut self, fronts: &Range<FrontIndex>) {
        self.open.retain(|request, _| !fronts.contains(&request.front));
        self.transfers.disown(fronts);
    }

    fn stop_cache(&mut self, index: CacheIndex) {
        let cache = &mut self.caches[index];
        cache.up = false;
        cache.link.clear(self.schedule.now());
        for transfer in self.transfers.remove_of_cache(index) {
            self.end_attempt_after(0.0, transfer, Outcome::Reset);
        }
        self.schedule.after(GONE_LISTED_AFTER, ScheduledEvent::CacheListed(index));
    }

    fn start_cache(&mut self, index: CacheIndex) {
        let cache = &mut self.caches[index];
        cache.up = true;
        cache.return_empty(self.schedule.now());
        self.schedule.after(BACK_LISTED_AFTER, ScheduledEvent::CacheListed(index));
    }
}
