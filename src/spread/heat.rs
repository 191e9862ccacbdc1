//! Which objects are hot, from the few requests that one front sees: space-saving (Metwally, Agrawal and El
//! Abbadi, 2005) with counts that fade, so that it holds a fixed number of objects and a change of fashion is
//! seen.

use crate::interface::ObjectId;

/// Objects that are told apart: whatever is more than one in so many of a front's requests is among them.
const MOST: usize = 128;
/// Span over which what was seen fades (seconds): a front with a request a second needs as long to see
/// anything twice.
const MEMORY: f64 = 120.0;
/// Counts are kept as they would be at a base time, and brought up to date when that lies so many spans back.
const REBASE: f64 = 50.0;
/// A rate is told once it was looked at for so long (seconds).
const ENOUGH: f64 = 10.0;
/// A home for each such part of a cache's mean load that an object makes up.
const PART: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct Counter {
    key: u64,
    /// Times that it was seen, at most; of these so many may have been another's, whose place it took.
    count: f64,
    error: f64,
}

/// The sketch. Every part of an object is one of its own, as copies are.
#[derive(Debug, Default)]
pub struct PopularitySketch {
    counters: Vec<Counter>,
    /// Requests, and their work in seconds of sending; as the counts, in those of the base time.
    requests: f64,
    work: f64,
    base: f64,
    /// When the first came.
    began: Option<f64>,
    /// Where the counter of what was seen last is: a request's decision asks for it next.
    last: usize,
}

fn key(object: ObjectId, part: u32) -> u64 {
    object.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(part).wrapping_mul(0xd1b5_4a32_d192_ed03)
}

impl PopularitySketch {
    /// A part was asked for, which takes `work` seconds of sending.
    pub fn record(&mut self, now: f64, object: ObjectId, part: u32, work: f64) {
        if now - self.base > REBASE * MEMORY {
            let left = ((self.base - now) / MEMORY).exp();
            self.counters.iter_mut().for_each(|c| (c.count, c.error) = (c.count * left, c.error * left));
            (self.requests, self.work, self.base) = (self.requests * left, self.work * left, now);
        }
        self.began.get_or_insert(now);
        let one = self.grown(now);
        self.requests += one;
        self.work += one * work;
        let key = key(object, part);
        if let Some(at) = self.counters.iter().position(|c| c.key == key) {
            self.counters[at].count += one;
            self.last = at;
        } else if self.counters.len() < MOST {
            self.last = self.counters.len();
            self.counters.push(Counter { key, count: one, error: 0.0 });
        } else {
            // Counts are finite, so that plain comparisons order them.
            let mut least = 0;
            for (at, c) in self.counters.iter().enumerate() {
                if c.count < self.counters[least].count {
                    least = at;
                }
            }
            let error = self.counters[least].count;
            self.counters[least] = Counter { key, count: error + one, error };
            self.last = least;
        }
    }

    /// Requests a second in the mean; without bound while too few were seen to tell.
    pub fn rate(&self, now: f64) -> f64 {
        match self.began.map(|b| now - b) {
            Some(seen) if seen > ENOUGH => {
                self.requests / self.grown(now) / (MEMORY * (1.0 - (-seen / MEMORY).exp()))
            }
            _ => f64::INFINITY,
        }
    }

    /// What a request now counts in those of the base time.
    fn grown(&self, now: f64) -> f64 {
        ((now - self.base) / MEMORY).exp()
    }

    /// The share of this front's load, in work, that a part is at least. What was seen once says nothing: of
    /// the many objects that are asked for seldom, any may be the one that was.
    pub fn share(&self, now: f64, object: ObjectId, part: u32, work: f64) -> f64 {
        let key = key(object, part);
        let again = |c: &Counter| (c.count - c.error - self.grown(now)).max(0.0);
        let last = self.counters.get(self.last).filter(|c| c.key == key);
        let again = last.or_else(|| self.counters.iter().find(|c| c.key == key)).map_or(0.0, again);
        if again > 0.0 { (again * work / self.work.max(1e-9)).min(1.0) } else { 0.0 }
    }

    /// How many homes a part has among so many caches: one, and one more for each `PART` of a cache's mean
    /// load that it is. All fronts see the same requests in the mean, so that one front's share of its own
    /// load stands for all's.
    pub fn home_count(&self, now: f64, object: ObjectId, part: u32, work: f64, caches: usize) -> usize {
        let more = self.share(now, object, part, work) * caches as f64 / PART;
        (1 + more as usize).min(caches.max(1))
    }

    /// Bytes that it takes.
    pub fn footprint(&self) -> usize {
        self.counters.capacity() * size_of::<Counter>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_seen_again_is_hot_and_cools_off() {
        let mut heat = PopularitySketch::default();
        let homes = |heat: &PopularitySketch, now, object, part| {
            heat.home_count(now, ObjectId(object), part, 0.2, 20)
        };
        for i in 0..40 {
            let now = 1000.0 + i as f64;
            heat.record(now, ObjectId(100 + i), 0, 0.2);
            assert_eq!(homes(&heat, now, 100 + i, 0), 1, "seen once");
            if i % 5 == 0 {
                heat.record(now, ObjectId(5), 0, 0.2);
            }
        }
        let now = 1040.0;
        assert_eq!(homes(&heat, now, 5, 0), 20, "one of six requests: more than a cache's part of the load");
        assert_eq!(homes(&heat, now, 5, 1), 1, "another part of it was not asked for");
        assert_eq!(heat.home_count(now, ObjectId(5), 0, 0.002, 20), 1, "a small one takes nothing");
        assert_eq!(homes(&heat, now + 5.0 * MEMORY, 5, 0), 1, "long ago");
    }

    #[test]
    fn a_rate_is_told_once_it_was_looked_at() {
        let mut heat = PopularitySketch::default();
        assert_eq!(heat.rate(1000.0), f64::INFINITY);
        for i in 0..600 {
            let now = 1000.0 + f64::from(i) * 0.5;
            heat.record(now, ObjectId(i as u64), 0, 0.2);
            let rate = heat.rate(now);
            assert!(
                if now <= 1010.0 { rate.is_infinite() } else { (1.6..2.6).contains(&rate) },
                "{rate} at {now}"
            );
        }
    }

    /// Guards against a busy front, in which a thousand others come between two requests for a hot object.
    #[test]
    fn a_stream_of_objects_seen_once_pushes_out_nothing_hot_and_makes_nothing_hot() {
        let mut heat = PopularitySketch::default();
        for i in 0..60_000u64 {
            let now = 1000.0 + i as f64 / 1000.0;
            heat.record(now, ObjectId(1_000_000 + i), 0, 0.1);
            if i % 30 == 0 {
                heat.record(now, ObjectId(7), 0, 0.1);
            }
        }
        let share = heat.share(1060.0, ObjectId(7), 0, 0.1);
        assert!((0.02..=0.034).contains(&share), "one in 31: {share}");
        let false_alarms =
            (0..60_000u64).filter(|i| heat.share(1060.0, ObjectId(1_000_000 + i), 0, 0.1) > 0.0);
        assert_eq!(false_alarms.count(), 0);
        assert!(heat.footprint() <= MOST * 2 * size_of::<Counter>());
    }

    #[test]
    fn it_runs_for_years() {
        let mut heat = PopularitySketch::default();
        for i in 0..100_000 {
            let now = 1.7e9 + f64::from(i) * 1000.0;
            heat.record(now, ObjectId(1), 0, 0.1);
            heat.record(now, ObjectId(1), 0, 0.1);
            assert!((0.4..=1.0).contains(&heat.share(now, ObjectId(1), 0, 0.1)), "step {i}");
        }
    }
}
