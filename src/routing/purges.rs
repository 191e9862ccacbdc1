//! Purges, for as long as caches may still hold copies from before. None may be forgotten before its time:
//! where there are too many, they are merged into one that applies to every object, which asks the caches for
//! younger copies than necessary and serves no old one.

use crate::interface::{GroupId, ObjectId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Most purges that are kept apart.
const MAX_PURGES: usize = 16_384;

/// An object, or a whole group.
type Key = Result<ObjectId, GroupId>;

/// When a purge was made and when this director learned of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Purge {
    /// When it was made.
    pub at: f64,
    /// When this director learned of it.
    pub learned_at: f64,
}

/// The purges that apply.
#[derive(Default)]
pub struct Purges {
    by_key: FxHashMap<Key, Purge>,
    /// The keys with the times until which they apply, in that order.
    order: VecDeque<(f64, Key)>,
    /// The merged purge that applies to every object, and until when.
    merged: Option<(Purge, f64)>,
}

impl Purges {
    /// Records a purge made at `at`, which applies for `keep` seconds. They may arrive out of order; the
    /// latest counts.
    pub fn record(&mut self, now: f64, key: Key, at: f64, keep: f64) {
        let purge = self.by_key.entry(key).or_insert(Purge { at: f64::MIN, learned_at: now });
        *purge = Purge { at: purge.at.max(at), learned_at: now };
        self.order.push_back((now + keep, key));
        while let Some((_, key)) = self.order.pop_front_if(|p| p.0 <= now) {
            if self.by_key.get(&key).is_some_and(|p| p.learned_at + keep <= now) {
                self.by_key.remove(&key);
            }
        }
        self.merged = self.merged.filter(|(_, until)| *until > now);
        if self.order.len() > MAX_PURGES {
            let all = self.by_key.values().chain(self.merged.iter().map(|m| &m.0));
            let at = all.map(|p| p.at).fold(f64::MIN, f64::max);
            self.merged = Some((Purge { at, learned_at: now }, now + keep));
            (self.by_key, self.order) = Default::default();
        }
    }

    /// Returns the latest purge that applies to an object or its group.
    pub fn latest(&self, object: ObjectId, group: GroupId) -> Option<Purge> {
        let purges = [self.by_key.get(&Ok(object)), self.by_key.get(&Err(group))];
        let purges = purges.into_iter().flatten().copied().chain(self.merged.map(|m| m.0));
        purges.reduce(|a, b| Purge { at: a.at.max(b.at), learned_at: a.learned_at.max(b.learned_at) })
    }

    /// Returns its size in bytes.
    pub fn footprint(&self) -> usize {
        self.by_key.capacity() * 8 / 7 * (size_of::<(Key, Purge)>() + 1)
            + self.order.capacity() * size_of::<(f64, Key)>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn times(purge: Option<Purge>) -> Option<(f64, f64)> {
        purge.map(|p| (p.at, p.learned_at))
    }

    #[test]
    fn purges_apply_for_their_time_and_the_latest_counts() {
        let (mut p, group) = (Purges::default(), GroupId(3));
        p.record(100.0, Ok(ObjectId(1)), 99.0, 30.0);
        p.record(101.0, Ok(ObjectId(1)), 98.0, 30.0);
        assert_eq!(times(p.latest(ObjectId(1), group)), Some((99.0, 101.0)));
        assert_eq!(p.latest(ObjectId(2), group), None);
        p.record(102.0, Err(group), 102.0, 30.0);
        assert_eq!(times(p.latest(ObjectId(2), group)), Some((102.0, 102.0)));
        p.record(131.0, Ok(ObjectId(9)), 131.0, 30.0);
        assert_eq!(p.latest(ObjectId(1), GroupId(0)), None);
        assert_eq!(times(p.latest(ObjectId(2), group)), Some((102.0, 102.0)));
    }

    /// Guards against a storm of purges that fills the memory, and against the loss of one of them.
    #[test]
    fn a_storm_of_purges_is_merged_into_one_for_every_object() {
        let mut p = Purges::default();
        for i in 0..40 * MAX_PURGES as u64 {
            p.record(100.0 + i as f64 * 1e-6, Ok(ObjectId(i)), 100.0, 30.0);
        }
        assert!(p.footprint() < 4 << 20, "{}", p.footprint());
        assert!(
            (0..40 * MAX_PURGES as u64).step_by(997).all(|i| p.latest(ObjectId(i), GroupId(0)).is_some())
        );
        p.record(200.0, Err(GroupId(1)), 200.0, 30.0);
        assert_eq!(p.latest(ObjectId(5), GroupId(0)), None, "the merged purge ends");
    }
}
