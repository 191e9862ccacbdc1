//! Where an object is at home: an order of the caches that is the same at all fronts (weighted rendezvous),
//! of which a hot object has several and each front uses the one that its own load leaves emptiest.
//!
//! Weighted rendezvous: a cache scores `weight / -ln(u)`, with `u` drawn evenly by hash of cache and object;
//! the highest score wins, which gives each cache objects in proportion to its weight, and a cache that comes
//! or goes moves only its own (Schindelhauer and Schomaker, 2005).

use crate::interface::NodeId;
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A number from 0 to 1, both left out, drawn evenly by hash.
pub fn unit_hash(value: u64, seed: u64) -> f64 {
    ((xxh3_64_with_seed(&value.to_le_bytes(), seed) >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// A cache that can take an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedCache {
    /// Who.
    pub node: NodeId,
    /// The size of its link beside those of the others; above 0.
    pub weight: f64,
}

/// The caches in the order in which an object is at home with them.
#[derive(Debug)]
pub struct RendezvousOrder {
    order: Vec<(f64, WeightedCache)>,
}

impl RendezvousOrder {
    /// The order of `object`, of which the first `count + 1` are wanted.
    pub fn new(object: u64, count: usize, caches: impl Iterator<Item = WeightedCache>) -> RendezvousOrder {
        let score = |home: WeightedCache| (home.weight / -unit_hash(home.node.0, object).ln(), home);
        let mut order: Vec<(f64, WeightedCache)> = caches.map(score).collect();
        let first = |a: &(f64, WeightedCache), b: &(f64, WeightedCache)| {
            b.0.total_cmp(&a.0).then(b.1.node.cmp(&a.1.node))
        };
        let wanted = count + 1;
        if wanted < order.len() {
            order.select_nth_unstable_by(wanted - 1, first);
            order.truncate(wanted);
        }
        order.sort_unstable_by(first);
        RendezvousOrder { order }
    }

    /// Of the first `count` homes the one with the least load of this front's own, as `load` tells it per unit of
    /// their links; of equals the one that `seed` draws, so that fronts with the same news and no load yet are
    /// spread over all of them. A single home is not asked for its load.
    pub fn pick(&self, count: usize, seed: u64, load: impl Fn(NodeId) -> f64) -> Option<NodeId> {
        if count <= 1 {
            return self.order.first().map(|h| h.1.node);
        }
        let homes = self.order.iter().take(count).map(|h| (load(h.1.node), h.1.node));
        let least = |a: &(f64, NodeId), b: &(f64, NodeId)| -> Ordering {
            let own = |n: NodeId| unit_hash(n.0, seed);
            a.0.total_cmp(&b.0).then_with(|| own(a.1).total_cmp(&own(b.1)))
        };
        homes.min_by(least).map(|h| h.1)
    }

    /// The first home that is not this one.
    pub fn first_except(&self, than: NodeId) -> Option<NodeId> {
        self.order.iter().map(|h| h.1.node).find(|&n| n != than)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn caches(weights: &[f64]) -> Vec<WeightedCache> {
        let one = |(i, &weight): (usize, &f64)| WeightedCache { node: NodeId(i as u64 * 7919 + 3), weight };
        weights.iter().enumerate().map(one).collect()
    }

    #[test]
    fn objects_are_at_home_in_proportion_to_links() {
        let all = caches(&[1.0, 8.0, 2.0, 5.0]);
        let mut count = BTreeMap::new();
        for object in 0..16_000 {
            *count
                .entry(RendezvousOrder::new(object, 1, all.iter().copied()).pick(1, 5, |_| 0.0))
                .or_insert(0) += 1;
        }
        for cache in &all {
            let share = f64::from(count[&Some(cache.node)]) / 16_000.0 * 16.0;
            assert!((share / cache.weight - 1.0).abs() < 0.1, "{share} of {}", cache.weight);
        }
    }

    #[test]
    fn a_cache_that_goes_moves_only_its_own_objects() {
        let all = caches(&[4.0; 10]);
        for object in 0..500 {
            let before = RendezvousOrder::new(object, 1, all.iter().copied()).pick(1, 5, |_| 0.0);
            let left = all.iter().copied().filter(|c| c.node != all[3].node);
            let after = RendezvousOrder::new(object, 1, left).pick(1, 5, |_| 0.0);
            assert!(before == after || before == Some(all[3].node), "object {object}");
        }
    }

    #[test]
    fn fronts_use_all_homes_of_a_hot_object_and_their_least_loaded_first() {
        let all = caches(&[4.0; 10]);
        let picks: Vec<_> = (0..200)
            .map(|seed| RendezvousOrder::new(9, 4, all.iter().copied()).pick(4, seed, |_| 0.0).unwrap())
            .collect();
        let used: std::collections::BTreeSet<_> = picks.iter().collect();
        assert_eq!(used.len(), 4, "each of the homes is somebody's");
        for node in used {
            assert!(picks.iter().filter(|&p| p == node).count() > 25, "and none is nearly left out");
        }
        let homes = RendezvousOrder::new(9, 4, all.iter().copied());
        let first = homes.pick(1, 1, |_| 0.0).unwrap();
        let load = |n: NodeId| f64::from(u8::from(n != picks[0]));
        assert_eq!(homes.pick(4, 77, load), Some(picks[0]));
        assert!(homes.first_except(first).is_some_and(|o| o != first));
        assert_eq!(RendezvousOrder::new(9, 4, [].into_iter()).pick(4, 77, |_| 0.0), None);
    }
}
