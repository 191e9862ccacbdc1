//! Which edge caches were seen to hold an object's part, and when: a table made for the job.
//!
//! Every belief is a slot of 24 bytes in one of `GENERATIONS` open-addressed tables. A generation takes what is seen
//! in its span of time; the oldest is emptied as a whole and used again, so that ageing costs nothing for each
//! belief, and what is forgotten first is what was seen longest ago. A further generation also begins early where the
//! newest is full and may not grow. All of a key's beliefs lie in one run of slots, wherever they stand in it.

use crate::interface::{NodeId, ObjectId};

/// Tables of successive spans. With four, what was seen in a span is kept for three more.
const GENERATIONS: usize = 4;
/// Slots of a new table.
const LEAST: usize = 64;
/// Most slots of a table: all of them hold 98,000 beliefs.
const MOST: usize = 1 << 15;
/// Room for times before a generation began (seconds): what was seen longer ago counts as seen then.
const BEFORE: f64 = 120.0;

/// Empty, and taken back; other times are milliseconds from the generation's base, and this.
const EMPTY: u32 = 0;
const GONE: u32 = 1;
const FIRST: u32 = 2;

#[derive(Clone, Copy, Default)]
struct BeliefSlot {
    object: u64,
    node: u64,
    part: u32,
    at: u32,
}

#[derive(Default)]
struct Generation {
    /// A power of two of them, or none yet.
    slots: Vec<BeliefSlot>,
    /// Slots that are not empty.
    used: usize,
    base: f64,
}

impl Generation {
    fn bytes(slots: usize) -> usize {
        slots * size_of::<BeliefSlot>()
    }

    /// The places of a key's run, up to its first empty slot, which ends it.
    fn run(&self, hash: u64) -> impl Iterator<Item = usize> + use<> {
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
        (self.used, self.base) = (0, now - BEFORE);
    }

    /// A time as it is kept: rounded down, so that a belief never seems younger than it is.
    fn stamp(&self, at: f64) -> u32 {
        ((at - self.base).max(0.0) * 1000.0).min(f64::from(u32::MAX - FIRST)) as u32 + FIRST
    }

    fn time(&self, stamp: u32) -> f64 {
        self.base + f64::from(stamp - FIRST) / 1000.0
    }
}

/// All beliefs of one director.
pub struct Beliefs {
    seed: u64,
    /// Seconds that one generation takes.
    span: f64,
    /// The newest is the last.
    generations: [Generation; GENERATIONS],
    began: f64,
    /// Bytes that all tables may take, and what they would like to.
    allowed: usize,
    wanted: usize,
}

impl Beliefs {
    /// No beliefs yet; each is kept for `age` seconds at least, unless memory is short. The seed keys the hash, so
    /// that nobody can choose objects that share a run.
    pub fn new(seed: u64, age: f64) -> Self {
        Beliefs {
            seed,
            span: age / (GENERATIONS - 1) as f64,
            generations: Default::default(),
            began: f64::MIN,
            allowed: GENERATIONS * Generation::bytes(MOST),
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

    /// Calls with every believed holder and when it was seen, the longest ago first.
    pub fn for_each_holder(&self, object: ObjectId, part: u32, mut call: impl FnMut(NodeId, f64)) {
        let hash = self.hash(object, part);
        for g in &self.generations {
            for slot in g.run(hash).map(|i| &g.slots[i]).take_while(|s| s.at != EMPTY) {
                if slot.at >= FIRST && (slot.object, slot.part) == (object.0, part) {
                    call(NodeId(slot.node), g.time(slot.at));
                }
            }
        }
    }

    /// A node was seen to hold a part at `since`; what was believed of the two before is replaced.
    pub fn believe(&mut self, now: f64, object: ObjectId, part: u32, node: NodeId, since: f64) {
        self.disbelieve(object, part, node);
        if self.began == f64::MIN || now >= self.began + self.span {
            self.begin(now);
        } else if !self.has_room() {
            self.grow(now);
        }
        self.ask_early();
        let hash = self.hash(object, part);
        let g = &mut self.generations[GENERATIONS - 1];
        let at = g.stamp(since);
        if let Some(i) = g.run(hash).find(|&i| g.slots[i].at < FIRST) {
            g.used += usize::from(g.slots[i].at == EMPTY);
            g.slots[i] = BeliefSlot { object: object.0, node: node.0, part, at };
        }
    }

    /// A node was seen not to hold a part.
    pub fn disbelieve(&mut self, object: ObjectId, part: u32, node: NodeId) {
        let hash = self.hash(object, part);
        for g in &mut self.generations {
            let same =
                |s: &BeliefSlot| (s.object, s.part, s.node) == (object.0, part, node.0) && s.at >= FIRST;
            let mut run = g.run(hash).take_while(|&i| g.slots[i].at != EMPTY);
            if let Some(i) = run.find(|&i| same(&g.slots[i])) {
                g.slots[i].at = GONE;
            }
        }
    }

    /// A run must stay short: three quarters of the newest table are used at most.
    fn has_room(&self) -> bool {
        let g = &self.generations[GENERATIONS - 1];
        g.used * 4 < g.slots.len() * 3
    }

    /// Asks for a doubling of the newest table well before it must be, so that it can be granted meanwhile.
    fn ask_early(&mut self) {
        let g = &self.generations[GENERATIONS - 1];
        let bytes = self.footprint() + Generation::bytes(g.slots.len());
        if g.used * 2 >= g.slots.len() && g.slots.len() < MOST && bytes > self.allowed {
            self.wanted = bytes;
        }
    }

    /// Begins a generation in the oldest's place, as large as the one before has come to need.
    fn begin(&mut self, now: f64) {
        let last = &self.generations[GENERATIONS - 1];
        let needed = (last.used * 3 / 2).next_power_of_two().clamp(LEAST, MOST);
        self.generations.rotate_left(1);
        let mut slots = needed;
        for oldest in 0..GENERATIONS - 1 {
            let others: usize = self.generations[..GENERATIONS - 1].iter().map(|g| g.slots.len()).sum();
            while slots > LEAST && Generation::bytes(others + slots) > self.allowed {
                slots /= 2;
            }
            if Generation::bytes(others + slots) <= self.allowed {
                break;
            }
            self.generations[oldest] = Generation::default();
        }
        self.generations[GENERATIONS - 1].clear(slots, now);
        self.began = now;
    }

    /// The newest is full: it is doubled, or where it may not be, the oldest is forgotten for a further one.
    fn grow(&mut self, now: f64) {
        let full = self.generations[GENERATIONS - 1].slots.len();
        let bytes = self.footprint() + Generation::bytes(full);
        if full >= MOST || bytes > self.allowed {
            return self.begin(now);
        }
        let g = &mut self.generations[GENERATIONS - 1];
        let old = std::mem::replace(&mut g.slots, vec![BeliefSlot::default(); 2 * full]);
        self.refill(old.into_iter().filter(|s| s.at >= FIRST));
    }

    /// Puts slots into the newest generation, which has no other.
    fn refill(&mut self, slots: impl Iterator<Item = BeliefSlot>) {
        self.generations[GENERATIONS - 1].used = 0;
        for slot in slots {
            let hash = self.hash(ObjectId(slot.object), slot.part);
            let g = &mut self.generations[GENERATIONS - 1];
            if let Some(i) = g.run(hash).find(|&i| g.slots[i].at == EMPTY) {
                g.slots[i] = slot;
                g.used += 1;
            }
        }
    }

    /// Bytes that the tables take.
    pub fn footprint(&self) -> usize {
        self.generations.iter().map(|g| Generation::bytes(g.slots.len())).sum()
    }

    /// Bytes that they would like to take: what they do, or more where one could not grow since the last answer.
    pub fn wanted(&self) -> usize {
        self.wanted.max(self.footprint())
    }

    /// The answer to that: they may take so much from now on. Where they take more, the oldest are forgotten, and of
    /// the newest what was seen longest ago; one small table is left in any case.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        (self.allowed, self.wanted) = (bytes, 0);
        for i in 0..GENERATIONS - 1 {
            if self.footprint() <= bytes {
                return;
            }
            self.generations[i] = Generation::default();
        }
        let mut slots = self.generations[GENERATIONS - 1].slots.len();
        while slots > LEAST && Generation::bytes(slots) > bytes {
            slots /= 2;
        }
        let g = &mut self.generations[GENERATIONS - 1];
        if slots < g.slots.len() {
            let mut old = std::mem::replace(&mut g.slots, vec![BeliefSlot::default(); slots]);
            old.retain(|s| s.at >= FIRST);
            let kept = (slots / 2).min(old.len());
            if kept < old.len() {
                old.select_nth_unstable_by_key(kept, |s| std::cmp::Reverse(s.at));
            }
            self.refill(old.into_iter().take(kept));
        }
    }

    /// How many beliefs there are.
    pub fn len(&self) -> usize {
        let live = |g: &Generation| g.slots.iter().filter(|s| s.at >= FIRST).count();
        self.generations.iter().map(live).sum()
    }

    /// Are there none?
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

    /// What happens, to which object, part and node, and a tenth of seconds.
    type Step = (u8, u64, u32, u64, u8);

    fn held(b: &Beliefs, object: u64, part: u32) -> BTreeMap<u64, f64> {
        let mut all = BTreeMap::new();
        b.for_each_holder(ObjectId(object), part, |node, at| {
            assert!(all.insert(node.0, at).is_none(), "a node twice")
        });
        all
    }

    /// Against a plain map: nothing is believed that was not seen or was taken back, nothing seems younger than it
    /// is, and with memory enough nothing is forgotten within its age.
    #[test]
    fn beliefs_are_those_of_a_plain_map() {
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
                        b.set_memory_limit(Generation::bytes(LEAST * (1 + usize::from(tenths) / 8)))
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
    fn tables_stay_within_what_they_are_allowed_and_ask_for_more() {
        let mut b = Beliefs::new(7, AGE);
        let bytes = GENERATIONS * Generation::bytes(LEAST);
        b.set_memory_limit(bytes);
        for i in 0..10_000u64 {
            b.believe(1000.0 + i as f64 / 10_000.0, ObjectId(i), 0, NodeId(1), 1000.0);
            assert!(b.footprint() <= bytes, "{i}");
        }
        assert!(held(&b, 9_999, 0).len() == 1 && held(&b, 1, 0).is_empty(), "the newest are kept");
        assert!(b.wanted() > bytes, "it would grow if it might");
        b.set_memory_limit(usize::MAX);
        for i in 0..300_000u64 {
            b.believe(1001.0, ObjectId(i), 0, NodeId(1), 1000.0);
        }
        assert!(b.footprint() <= GENERATIONS * Generation::bytes(MOST));
        assert!(b.len() > 70_000, "{}", b.len());
        // Cut down, what is left is what was seen last.
        b.believe(1002.0, ObjectId(5), 5, NodeId(5), 1002.0);
        b.set_memory_limit(Generation::bytes(LEAST));
        assert_eq!((b.footprint(), held(&b, 5, 5).len()), (Generation::bytes(LEAST), 1));
    }
}
