//! The caches, their links and their stored copies.

use super::World;
use super::schedule::ScheduledEvent;
use crate::emulate::statistics::WINDOW_S;
use onyxyoke::interface::{Node, NodeId, NodeState, ZoneId};
use onyxyoke_stand_ins::link::Link;
use std::collections::{HashSet, VecDeque};

/// Index of a cache in the world.
pub type CacheIndex = usize;

/// Largest number of copies in a cache.
pub const CACHE_CAPACITY: usize = 1_500;
/// The zone of the caches in the settings.
const CACHE_ZONE: ZoneId = ZoneId(1);
/// Spreads the caches' ids, so that they don't follow the order of the caches.
const ID_FACTOR: u64 = 0x9e37_79b9;
const ID_MASK: u64 = 0xffff_ffff;
/// Time after its warm-up for which a cache's link is still resized, so that it reaches its full size
/// (seconds).
const WARM_UP_OVERRUN_S: f64 = 2.0 * WINDOW_S;

/// Stored copies of objects, with first-in, first-out eviction.
#[derive(Default)]
pub struct CopyStore {
    objects: HashSet<u64>,
    by_age: VecDeque<u64>,
}

impl CopyStore {
    pub fn contains(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    pub fn insert(&mut self, object: u64, capacity: usize) {
        if !self.objects.insert(object) {
            return;
        }
        self.by_age.push_back(object);
        if self.by_age.len() > capacity
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.objects.remove(&oldest);
        }
    }
}

/// A cache node.
pub struct Cache {
    pub id: NodeId,
    /// Link size when the cache is warm and without a fault, in concurrent transfers at full pace.
    pub usual_link: f64,
    pub link: Link,
    pub copies: CopyStore,
    pub up: bool,
    /// Time at which the cache came back empty; 0 if it was never down.
    pub ready_at: f64,
}

impl Cache {
    pub fn new(index: CacheIndex, link_size: f64) -> Self {
        let id = NodeId((index as u64 + 1).wrapping_mul(ID_FACTOR) & ID_MASK);
        let link = Link::new(link_size);
        Cache { id, usual_link: link_size, link, copies: CopyStore::default(), up: true, ready_at: 0.0 }
    }

    /// Returns the cache's entry in the list of nodes.
    pub fn node_entry(&self) -> Node {
        Node {
            id: self.id,
            state: if self.up { NodeState::Ready } else { NodeState::Withdrawn },
            weight: self.usual_link,
            ready_at: self.ready_at,
            zone: CACHE_ZONE,
            ..Node::default()
        }
    }

    /// Drops all copies and restarts the warm-up.
    pub fn restart_empty(&mut self, now: f64) {
        self.copies = CopyStore::default();
        self.ready_at = now;
    }

    /// Returns whether the cache is warming up, or was until `WARM_UP_OVERRUN_S` ago.
    fn is_warming(&self, now: f64, warm_up_time: f64) -> bool {
        self.ready_at > 0.0 && now - self.ready_at < warm_up_time + WARM_UP_OVERRUN_S
    }
}

impl World {
    /// Returns the index of the cache with this id; attempts go only to listed caches.
    pub(super) fn cache_index(&self, id: NodeId) -> CacheIndex {
        self.caches.iter().position(|cache| cache.id == id).expect("the node is not a listed cache")
    }

    /// Schedules the end of the next transfer on a cache's link; called after each change to the link.
    pub(super) fn schedule_link_progress(&mut self, cache: CacheIndex) {
        let link = &mut self.caches[cache].link;
        if let Some(at) = link.next_end() {
            let event = ScheduledEvent::LinkProgress(cache, link.version);
            self.schedule.after(at - self.schedule.now(), event);
        }
    }

    pub(super) fn resize_link(&mut self, cache: CacheIndex, size: f64) {
        self.caches[cache].link.resize(self.schedule.now(), size);
        self.schedule_link_progress(cache);
    }

    /// Grows the links of cold caches with the time since they came back.
    pub(super) fn warm_up_caches(&mut self) {
        let (first_share, warm_up_time) = (self.settings.cold_start_share, self.settings.warm_up_time);
        let now = self.schedule.now();
        for index in 0..self.caches.len() {
            let cache = &self.caches[index];
            if cache.is_warming(now, warm_up_time) {
                let age = now - cache.ready_at;
                let share = (first_share + (1.0 - first_share) * age / warm_up_time).min(1.0);
                self.resize_link(index, cache.usual_link * share);
            }
        }
        self.schedule.after(WINDOW_S, ScheduledEvent::WarmUpStep);
    }

    /// Records the work that each cache did in the window that ends now.
    pub(super) fn end_window(&mut self) {
        let now = self.schedule.now();
        for (cache, work) in self.caches.iter_mut().zip(&mut self.statistics.work_by_window) {
            work.push(cache.link.take_done(now) / cache.usual_link);
        }
        self.schedule.after(WINDOW_S, ScheduledEvent::WindowEnd);
    }
}
