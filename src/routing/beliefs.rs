//! The beliefs of a director: which edge caches were seen to hold an object's part, and when.
//!
//! Every belief is a slot of 24 bytes in one of `GENERATIONS` open-addressed tables. A generation takes the
//! beliefs of one span of time; the oldest is emptied as a whole and reused, so that ageing costs nothing per
//! belief and the oldest beliefs are forgotten first. A new generation also begins early where the newest
//! table is full and may not grow. All beliefs of a key lie in one probe sequence, at any position in it.

use crate::interface::{NodeId, ObjectId};

/// Tables of successive spans. With four, a belief is kept for the rest of its span and three more.
const GENERATIONS: usize = 4;
/// Slots of a new table.
const MIN_SLOTS: usize = 64;
/// Most slots of a table: all tables together hold 98,000 beliefs.
const MAX_SLOTS: usize = 1 << 15;
/// How far the base of a generation lies before its start (seconds); earlier times are stored as the base.
const BASE_OFFSET: f64 = 120.0;

/// Stamp of an empty slot, and of one whose belief was removed. Other stamps are milliseconds since the
/// generation's base, plus `FIRST_STAMP`.
const EMPTY: u32 = 0;
const REMOVED: u32 = 1;
const FIRST_STAMP: u32 = 2;

#[derive(Clone, Copy, Default)]
struct BeliefSlot {
    object: u64,
    node: u64,
    part: u32,
    stamp: u32,
}

#[derive(Default)]
struct Generation {
    /// A power of two of slots, or none yet.
    slots: Vec<BeliefSlot>,
    /// Slots that are not empty.
    used: usize,
    base: f64,
}

impl Generation {
    fn bytes(slots: usize) -> usize {
        slots * size_of::<BeliefSlot>()
    }

    /// Returns the indices of a key's probe sequence. Its first empty slot ends it.
    fn probe(&self, hash: u64) -> impl Iterator<Item = usize> + use<> {
        let mask = self.slots.len().wrapping_sub(1);
        let first = if self.slots.is_empty() { 0 } else { hash as usize & mask };
        (0..self.slots.len()).map(move |i| (first + i) & mask)
    }

    fn clear(&mut self, slots: usize, now: f64) {
        if self.slots.len() != slots {
            self.slots = vec![BeliefSlot::default(); slots];
        } else {
            self.slots.fill(BeliefSlot::default());
        }
        (self.used, self.base) = (0, now - BASE_OFFSET);
    }

    /// Returns the stamp of a time, rounded down, so that a belief never seems younger than it is.
    fn stamp(&self, at: f64) -> u32 {
        ((at - self.base).max(0.0) * 1000.0).min(f64::from(u32::MAX - FIRST_STAMP)) as u32 + FIRST_STAMP
    }

    fn time(&self, stamp: u32) -> f64 {
        self.base + f64::from(stamp - FIRST_STAMP) / 1000.0
    }
}

/// All beliefs of one director.
pub struct Beliefs {
    seed: u64,
    /// Length of one generation's span (seconds).
    span: f64,
    /// From the oldest to the newest.
    generations: [Generation; GENERATIONS],
    begun_at: f64,
    /// Bytes that all tables may take.
    limit: usize,
    /// Bytes that they need to grow; 0 where none had to.
    wanted: usize,
}

impl Beliefs {
    /// Creates an empty table. A belief is kept for at least `age` seconds, unless memory is short. The seed
    /// keys the hash, so that nobody can choose objects that share a probe sequence.
    pub fn new(seed: u64, age: f64) -> Self {
        Beliefs {
            seed,
            span: age / (GENERATIONS - 1) as f64,
            generations: Default::default(),
            begun_at: f64::MIN,
            limit: GENERATIONS * Generation::bytes(MAX_SLOTS),
            wanted: 0,
        }
    }

    fn hash(&self, object: ObjectId, part: u32) -> u64 {
        let mixed =
            u128::from(object.0 ^ self.seed) * u128::from(u64::from(part) << 1 ^ 0x9e37_79b9_7f4a_7c15);
        let folded = (mixed as u64) ^ (mixed >> 64) as u64;
        let again = u128::from(folded ^ 0xd1b5_4a32_d192_ed03) * 0x2545_f491_4f6c_dd1d;
        (again as u64) ^ (again >> 64) as u64
    }

    /// Calls `call` with every believed holder of a part and when it was seen, from the oldest generation to
    /// the newest.
    pub fn for_each_holder(&self, object: ObjectId, part: u32, mut call: impl FnMut(NodeId, f64)) {
        let hash = self.hash(object, part);
        for g in &self.generations {
            for slot in g.probe(hash).map(|i| &g.slots[i]).take_while(|s| s.stamp != EMPTY) {
                if slot.stamp >= FIRST_STAMP && (slot.object, slot.part) == (object.0, part) {
                    call(NodeId(slot.node), g.time(slot.stamp));
                }
            }
        }
    }

    /// Records that a node was seen to hold a part at `since`, in place of any earlier belief about the two.
    pub fn believe(&mut self, now: f64, object: ObjectId, part: u32, node: NodeId, since: f64) {
        self.disbelieve(object, part, node);
        if self.begun_at == f64::MIN || now >= self.begun_at + self.span {
            self.begin(now);
        } else if !self.newest_has_room() {
            self.grow(now);
        }
        self.request_growth();
        let hash = self.hash(object, part);
        let g = &mut self.generations[GENERATIONS - 1];
        let stamp = g.stamp(since);
        if let Some(i) = g.probe(hash).find(|&i| g.slots[i].stamp < FIRST_STAMP) {
            g.used += usize::from(g.slots[i].stamp == EMPTY);
            g.slots[i] = BeliefSlot { object: object.0, node: node.0, part, stamp };
        }
    }

    /// Removes the belief that a node holds a part.
    pub fn disbelieve(&mut self, object: ObjectId, part: u32, node: NodeId) {
        let hash = self.hash(object, part);
        for g in &mut self.generations {
            let same = |s: &BeliefSlot| {
                (s.object, s.part, s.node) == (object.0, part, node.0) && s.stamp >= FIRST_STAMP
            };
            let mut probe = g.probe(hash).take_while(|&i| g.slots[i].stamp != EMPTY);
            if let Some(i) = probe.find(|&i| same(&g.slots[i])) {
                g.slots[i].stamp = REMOVED;
            }
        }
    }

    /// Returns whether at most three quarters of the newest table are used, which keeps probe sequences
    /// short.
    fn newest_has_room(&self) -> bool {
        let g = &self.generations[GENERATIONS - 1];
        g.used * 4 < g.slots.len() * 3
    }

    /// Requests memory to double the newest table well before that is necessary, so that it can be granted
    /// meanwhile.
    fn request_growth(&mut self) {
        let g = &self.generations[GENERATIONS - 1];
        let bytes = self.footprint() + Generation::bytes(g.slots.len());
        if g.used * 2 >= g.slots.len() && g.slots.len() < MAX_SLOTS && bytes > self.limit {
            self.wanted = bytes;
        }
    }

    /// Begins a generation in place of the oldest, with the size that the previous one came to need.
    fn begin(&mut self, now: f64) {
        let last = &self.generations[GENERATIONS - 1];
        let needed = (last.used * 3 / 2).next_power_of_two().clamp(MIN_SLOTS, MAX_SLOTS);
        self.generations.rotate_left(1);
        let mut slots = needed;
        for oldest in 0..GENERATIONS - 1 {
            let others: usize = self.generations[..GENERATIONS - 1].iter().map(|g| g.slots.len()).sum();
            while slots > MIN_SLOTS && Generation::bytes(others + slots) > self.limit {
                slots /= 2;
            }
            if Generation::bytes(others + slots) <= self.limit {
                break;
            }
            self.generations[oldest] = Generation::default();
        }
        self.generations[GENERATIONS - 1].clear(slots, now);
        self.begun_at = now;
    }

    /// Doubles the newest table, which is full, or begins a new generation where it may not grow.
    fn grow(&mut self, now: f64) {
        let full = self.generations[GENERATIONS - 1].slots.len();
        let bytes = self.footprint() + Generation::bytes(full);
        if full >= MAX_SLOTS || bytes > self.limit {
            return self.begin(now);
        }
        let g = &mut self.generations[GENERATIONS - 1];
        let old = std::mem::replace(&mut g.slots, vec![BeliefSlot::default(); 2 * full]);
        self.fill_newest(old.into_iter().filter(|s| s.stamp >= FIRST_STAMP));
    }

    /// Fills the newest generation, which is empty, with these slots.
    fn fill_newest(&mut self, slots: impl Iterator<Item = BeliefSlot>) {
        self.generations[GENERATIONS - 1].used = 0;
        for slot in slots {
            let hash = self.hash(ObjectId(slot.object), slot.part);
            let g = &mut self.generations[GENERATIONS - 1];
            if let Some(i) = g.probe(hash).find(|&i| g.slots[i].stamp == EMPTY) {
                g.slots[i] = slot;
                g.used += 1;
            }
        }
    }

    /// Returns the size of the tables in bytes.
    pub fn footprint(&self) -> usize {
        self.generations.iter().map(|g| Generation::bytes(g.slots.len())).sum()
    }

    /// Returns the bytes that the tables ask for: their size, or more if one could not grow since the limit
    /// was set.
    pub fn wanted_bytes(&self) -> usize {
        self.wanted.max(self.footprint())
    }

    /// Sets the limit of the tables in bytes. Beyond it, the oldest generations are dropped, and then the
    /// oldest beliefs of the newest; one small table is left in any case.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        (self.limit, self.wanted) = (bytes, 0);
        for i in 0..GENERATIONS - 1 {
            if self.footprint() <= bytes {
                return;
            }
            self.generations[i] = Generation::default();
        }
        let mut slots = self.generations[GENERATIONS - 1].slots.len();
        while slots > MIN_SLOTS && Generation::bytes(slots) > bytes {
            slots /= 2;
        }
        let g = &mut self.generations[GENERATIONS - 1];
        if slots < g.slots.len() {
            let mut old = std::mem::replace(&mut g.slots, vec![BeliefSlot::default(); slots]);
            old.retain(|s| s.stamp >= FIRST_STAMP);
            let kept = (slots / 2).min(old.len());
            if kept < old.len() {
                old.select_nth_unstable_by_key(kept, |s| std::cmp::Reverse(s.stamp));
            }
            self.fill_newest(old.into_iter().take(kept));
        }
    }

    /// Returns the number of beliefs.
    pub fn len(&self) -> usize {
        let live = |g: &Generation| g.slots.iter().filter(|s| s.stamp >= FIRST_STAMP).count();
        self.generations.iter().map(live).sum()
    }

    /// Returns whether there are no beliefs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::collection::vec;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    use std::collections::BTreeMap;

    const AGE: f64 = 30.0;

    /// The kind of a step, its object, part and node, and a time in tenths of a second.
    type Step = (u8, u64, u32, u64, u8);

    fn held(b: &Beliefs, object: u64, part: u32) -> BTreeMap<u64, f64> {
        let mut all = BTreeMap::new();
        b.for_each_holder(ObjectId(object), part, |node, at| {
            assert!(all.insert(node.0, at).is_none(), "a node twice")
        });
        all
    }

    /// Compares the table with a plain map: it holds no belief that was not recorded or was removed, none
    /// seems younger than it is, and with enough memory none is forgotten within its age.
    #[test]
    fn beliefs_match_a_plain_map() {
        let step = (0u8..8, 0u64..12, 0u32..3, 0u64..5, 0u8..40);
        let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
        let strategy = (vec(step, 1..300), any::<bool>());
        let test = |(steps, tight): (Vec<Step>, bool)| {
            let (mut b, mut now) = (Beliefs::new(7, AGE), 1000.0);
            let mut model: BTreeMap<(u64, u32, u64), f64> = BTreeMap::new();
            for (kind, object, part, node, tenths) in steps {
                match kind {
                    0..5 => {
                        let since = now - f64::from(tenths) / 10.0;
                        b.believe(now, ObjectId(object), part, NodeId(node), since);
                        model.insert((object, part, node), since);
                    }
                    5 => {
                        b.disbelieve(ObjectId(object), part, NodeId(node));
                        model.remove(&(object, part, node));
                    }
                    6 if tight => {
                        b.set_memory_limit(Generation::bytes(MIN_SLOTS * (1 + usize::from(tenths) / 8)))
                    }
                    _ => now += f64::from(tenths) / 4.0,
                }
                let here = held(&b, object, part);
                for (&node, &at) in &here {
                    let seen = model.get(&(object, part, node));
                    prop_assert!(seen.is_some_and(|s| at <= *s && at > s - 0.0011), "{at} of {seen:?}");
                }
                for ((_, _, node), seen) in model.range((object, part, 0)..=(object, part, u64::MAX)) {
                    prop_assert!(
                        tight || seen + AGE <= now || here.contains_key(node),
                        "forgotten too early"
                    );
                }
            }
            Ok(())
        };
        runner.run(&strategy, test).unwrap_or_else(|e| panic!("{e}"));
    }

    #[test]
    fn tables_stay_within_their_limit_and_ask_for_more() {
        let mut b = Beliefs::new(7, AGE);
        let bytes = GENERATIONS * Generation::bytes(MIN_SLOTS);
        b.set_memory_limit(bytes);
        for i in 0..10_000u64 {
            b.believe(1000.0 + i as f64 / 10_000.0, ObjectId(i), 0, NodeId(1), 1000.0);
            assert!(b.footprint() <= bytes, "{i}");
        }
        assert!(held(&b, 9_999, 0).len() == 1 && held(&b, 1, 0).is_empty(), "the newest are kept");
        assert!(b.wanted_bytes() > bytes, "it asks for memory to grow");
        b.set_memory_limit(usize::MAX);
        for i in 0..300_000u64 {
            b.believe(1001.0, ObjectId(i), 0, NodeId(1), 1000.0);
        }
        assert!(b.footprint() <= GENERATIONS * Generation::bytes(MAX_SLOTS));
        assert!(b.len() > 70_000, "{}", b.len());
        // A lower limit leaves the newest beliefs.
        b.believe(1002.0, ObjectId(5), 5, NodeId(5), 1002.0);
        b.set_memory_limit(Generation::bytes(MIN_SLOTS));
        assert_eq!((b.footprint(), held(&b, 5, 5).len()), (Generation::bytes(MIN_SLOTS), 1));
    }
}
