//! Starts and ends the faults of the scenario.

use super::World;
use super::caches::{CacheIndex, CopyStore};
use super::fronts::FrontIndex;
use super::schedule::ScheduledEvent;
use crate::emulate::scenario::FaultKind;
use onyxyoke::interface::Outcome;
use std::ops::Range;

/// Delay after which fronts are notified that a cache is down, and that it is back (seconds).
const DOWN_LISTING_DELAY_S: f64 = 3.0;
const UP_LISTING_DELAY_S: f64 = 1.0;

impl World {
    pub(super) fn start_fault(&mut self, fault: usize) {
        let fault = self.scenario.faults[fault].clone();
        match fault.kind {
            FaultKind::HotObject(share) => self.hot_share = share,
            FaultKind::CachesEmptied => self.empty_caches(),
            FaultKind::FrontsRestart => self.restart_fronts(0..self.fronts.len()),
            FaultKind::FrontsDown(share) => {
                self.first_front_in_service = self.fronts_in(share);
                self.drop_requests(&(0..self.first_front_in_service));
            }
            FaultKind::SlowLinks(factor) => {
                for cache in fault.caches {
                    self.resize_link(cache, self.caches[cache].usual_link / factor);
                }
            }
            FaultKind::CachesDown => fault.caches.into_iter().for_each(|cache| self.stop_cache(cache)),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let fault = self.scenario.faults[fault].clone();
        match fault.kind {
            FaultKind::HotObject(_) => self.hot_share = 0.0,
            FaultKind::CachesEmptied | FaultKind::FrontsRestart => {}
            FaultKind::FrontsDown(share) => {
                self.first_front_in_service = 0;
                self.restart_fronts(0..self.fronts_in(share));
            }
            FaultKind::SlowLinks(_) => {
                for cache in fault.caches {
                    self.resize_link(cache, self.caches[cache].usual_link);
                }
            }
            FaultKind::CachesDown => fault.caches.into_iter().for_each(|cache| self.start_cache(cache)),
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
        self.drop_requests(&fronts);
        self.restart_directors(fronts);
    }

    /// Drops the open requests of these fronts; their transfers go on at the caches.
    fn drop_requests(&mut self, fronts: &Range<FrontIndex>) {
        self.open.retain(|request, _| !fronts.contains(&request.front));
        self.transfers.detach_fronts(fronts);
    }

    fn stop_cache(&mut self, index: CacheIndex) {
        let cache = &mut self.caches[index];
        cache.up = false;
        cache.link.clear(self.schedule.now());
        for transfer in self.transfers.remove_of_cache(index) {
            self.end_attempt_after(0.0, transfer, Outcome::Reset);
        }
        self.schedule.after(DOWN_LISTING_DELAY_S, ScheduledEvent::CacheListed(index));
    }

    fn start_cache(&mut self, index: CacheIndex) {
        let cache = &mut self.caches[index];
        cache.up = true;
        cache.restart_empty(self.schedule.now());
        self.schedule.after(UP_LISTING_DELAY_S, ScheduledEvent::CacheListed(index));
    }
}
