//! Placement of objects on caches by weighted rendezvous hashing: an order of the caches for each object that
//! is the same at all fronts. A hot object has several homes, and each front uses the one that it has sent
//! the least.
//!
//! A cache scores `weight / -ln(u)`, with `u` drawn uniformly by hash of cache and object, and the highest
//! score wins. Each cache gets objects in proportion to its weight, and a cache that joins or leaves moves
//! only its own objects (Schindelhauer and Schomaker, 2005).

use crate::interface::NodeId;
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A uniform number in the open interval from 0 to 1, drawn by hash.
pub fn unit_hash(value: u64, seed: u64) -> f64 {
    ((xxh3_64_with_seed(&value.to_le_bytes(), seed) >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// A cache that can take an attempt, with its weight in the placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedCache {
    /// The cache.
    pub node: NodeId,
    /// Size of its link relative to those of the others; above 0.
    pub weight: f64,
}

/// The caches in the order of their scores for one object.
#[derive(Debug)]
pub struct RendezvousOrder {
    order: Vec<(f64, WeightedCache)>,
}

impl RendezvousOrder {
    /// The first `count + 1` caches in the order of `object`.
    pub fn new(object: u64, count: usize, caches: impl Iterator<Item = WeightedCache>) -> RendezvousOrder {
        let score = |cache: WeightedCache| (cache.weight / -unit_hash(cache.node.0, object).ln(), cache);
        let mut order: Vec<(f64, WeightedCache)> = caches.map(score).collect();
        let by_score = |a: &(f64, WeightedCache), b: &(f64, WeightedCache)| {
            b.0.total_cmp(&a.0).then(b.1.node.cmp(&a.1.node))
        };
        let wanted = count + 1;
        if wanted < order.len() {
            order.select_nth_unstable_by(wanted - 1, by_score);
            order.truncate(wanted);
        }
        order.sort_unstable_by(by_score);
        RendezvousOrder { order }
    }

    /// The least loaded of the first `count` homes by `load`, this front's own load on a node per unit of its
    /// link. Ties are broken by `seed`, so that fronts with the same information and no load yet are spread
    /// over all homes. `load` is not called for a single home.
    pub fn pick(&self, count: usize, seed: u64, load: impl Fn(NodeId) -> f64) -> Option<NodeId> {
        if count <= 1 {
            return self.order.first().map(|h| h.1.node);
        }
        let homes = self.order.iter().take(count).map(|h| (load(h.1.node), h.1.node));
        let by_load = |a: &(f64, NodeId), b: &(f64, NodeId)| -> Ordering {
            let tie_break = |n: NodeId| unit_hash(n.0, seed);
            a.0.total_cmp(&b.0).then_with(|| tie_break(a.1).total_cmp(&tie_break(b.1)))
        };
        homes.min_by(by_load).map(|h| h.1)
    }

    /// The first home other than `excluded`.
    pub fn first_except(&self, excluded: NodeId) -> Option<NodeId> {
        self.order.iter().map(|h| h.1.node).find(|&n| n != excluded)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn caches(weights: &[f64]) -> Vec<WeightedCache> {
        let weighted =
            |(i, &weight): (usize, &f64)| WeightedCache { node: NodeId(i as u64 * 7919 + 3), weight };
        weights.iter().enumerate().map(weighted).collect()
    }

    #[test]
    fn objects_are_placed_in_proportion_to_weights() {
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
    fn removed_cache_moves_only_its_own_objects() {
        let all = caches(&[4.0; 10]);
        for object in 0..500 {
            let before = RendezvousOrder::new(object, 1, all.iter().copied()).pick(1, 5, |_| 0.0);
            let left = all.iter().copied().filter(|c| c.node != all[3].node);
            let after = RendezvousOrder::new(object, 1, left).pick(1, 5, |_| 0.0);
            assert!(before == after || before == Some(all[3].node), "object {object}");
        }
    }

    #[test]
    fn fronts_use_all_homes_of_a_hot_object_and_prefer_the_least_loaded() {
        let all = caches(&[4.0; 10]);
        let picks: Vec<_> = (0..200)
            .map(|seed| RendezvousOrder::new(9, 4, all.iter().copied()).pick(4, seed, |_| 0.0).unwrap())
            .collect();
        let used: std::collections::BTreeSet<_> = picks.iter().collect();
        assert_eq!(used.len(), 4, "each home is picked by some front");
        for node in used {
            assert!(picks.iter().filter(|&p| p == node).count() > 25, "no home is picked rarely");
        }
        let homes = RendezvousOrder::new(9, 4, all.iter().copied());
        let first = homes.pick(1, 1, |_| 0.0).unwrap();
        let load = |n: NodeId| f64::from(u8::from(n != picks[0]));
        assert_eq!(homes.pick(4, 77, load), Some(picks[0]));
        assert!(homes.first_except(first).is_some_and(|o| o != first));
        assert_eq!(RendezvousOrder::new(9, 4, [].into_iter()).pick(4, 77, |_| 0.0), None);
    }
}
