//! What was purged, for as long as copies from before may still be about. None may be forgotten before its time:
//! where there are too many, they are folded into one that holds for everything, which asks the caches for younger
//! copies than need be and serves no old one.

use crate::interface::{GroupId, ObjectId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Most purges that are told apart.
const MOST: usize = 16_384;

/// An object, or a whole group.
type Key = Result<ObjectId, GroupId>;

/// The purges that bind, each with when it was and when it was heard of (seconds).
#[derive(Default)]
pub struct Purges {
    facts: FxHashMap<Key, (f64, f64)>,
    /// The keys, with when they stop to bind, in that order.
    order: VecDeque<(f64, Key)>,
    /// What holds for everything, and until when.
    all: Option<((f64, f64), f64)>,
}

impl Purges {
    /// A purge made at `at` is heard of, and binds for `keep` seconds. News may come out of order: the latest purge
    /// counts.
    pub fn heard(&mut self, now: f64, key: Key, at: f64, keep: f64) {
        let fact = self.facts.entry(key).or_insert((f64::MIN, now));
        *fact = (fact.0.max(at), now);
        self.order.push_back((now + keep, key));
        while let Some((_, key)) = self.order.pop_front_if(|p| p.0 <= now) {
            if self.facts.get(&key).is_some_and(|f| f.1 + keep <= now) {
                self.facts.remove(&key);
            }
        }
        self.all = self.all.filter(|(_, until)| *until > now);
        if self.order.len() > MOST {
            let latest =
                self.facts.values().map(|f| f.0).chain(self.all.map(|a| a.0.0)).fold(f64::MIN, f64::max);
            self.all = Some(((latest, now), now + keep));
            (self.facts, self.order) = Default::default();
        }
    }

    /// The latest purge of an object or its group: when it was, and when it was heard of.
    pub fn of(&self, object: ObjectId, group: GroupId) -> Option<(f64, f64)> {
        let facts = [self.facts.get(&Ok(object)), self.facts.get(&Err(group))];
        let facts = facts.into_iter().flatten().copied().chain(self.all.map(|a| a.0));
        facts.reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)))
    }

    /// Bytes that it takes.
    pub fn footprint(&self) -> usize {
        self.facts.capacity() * 8 / 7 * (size_of::<(Key, (f64, f64))>() + 1)
            + self.order.capacity() * size_of::<(f64, Key)>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn purges_bind_for_their_time_and_the_latest_counts() {
        let (mut p, group) = (Purges::default(), GroupId(3));
        p.heard(100.0, Ok(ObjectId(1)), 99.0, 30.0);
        p.heard(101.0, Ok(ObjectId(1)), 98.0, 30.0);
        assert_eq!(p.of(ObjectId(1), group), Some((99.0, 101.0)));
        assert_eq!(p.of(ObjectId(2), group), None);
        p.heard(102.0, Err(group), 102.0, 30.0);
        assert_eq!(p.of(ObjectId(2), group), Some((102.0, 102.0)));
        p.heard(131.0, Ok(ObjectId(9)), 131.0, 30.0);
        assert_eq!((p.of(ObjectId(1), GroupId(0)), p.of(ObjectId(2), group)), (None, Some((102.0, 102.0))));
    }

    /// Guards against a storm that would fill the memory, and against forgetting one of its purges.
    #[test]
    fn a_storm_is_folded_into_one_that_holds_for_all() {
        let mut p = Purges::default();
        for i in 0..40 * MOST as u64 {
            p.heard(100.0 + i as f64 * 1e-6, Ok(ObjectId(i)), 100.0, 30.0);
        }
        assert!(p.footprint() < 4 << 20, "{}", p.footprint());
        assert!((0..40 * MOST as u64).step_by(997).all(|i| p.of(ObjectId(i), GroupId(0)).is_some()));
        p.heard(200.0, Err(GroupId(1)), 200.0, 30.0);
        assert_eq!(p.of(ObjectId(5), GroupId(0)), None, "and it ends");
    }
}
