//! Detection of hot objects from the few requests that one front sees: the space-saving sketch (Metwally,
//! Agrawal and El Abbadi, 2005) with counts that decay, so that its size is fixed and it follows changes in
//! popularity.

use crate::interface::ObjectId;

/// Counters of the sketch: an object with more than one in this many of a front's requests always has one.
const COUNTERS_MAX: usize = 128;
/// Time constant of the decay (seconds): a front with one request a second takes about this long to see an
/// object twice.
const DECAY_S: f64 = 120.0;
/// Counts are scaled to a base time; the base moves up when it is this many time constants old.
const REBASE_DECAYS: f64 = 50.0;
/// Observation time after which a rate is estimated (seconds).
const RATE_OBSERVATION_S: f64 = 10.0;
/// An object gets one more home for each such share of a cache's mean load that it makes up.
const LOAD_PER_HOME: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct Counter {
    key: u64,
    /// Upper bound of the requests for the object.
    count: f64,
    /// The part of `count` that may belong to the object whose counter this one replaced.
    error: f64,
}

/// The sketch. Each part of an object is counted on its own, because caches hold parts separately.
#[derive(Debug, Default)]
pub struct PopularitySketch {
    counters: Vec<Counter>,
    /// All requests, scaled to the base time.
    requests: f64,
    /// The work of all requests (seconds of sending), scaled to the base time.
    work: f64,
    base: f64,
    /// When the first request was recorded.
    first_at: Option<f64>,
    /// Index of the counter that was updated last: the decision on a request looks it up next.
    last: usize,
}

fn key(object: ObjectId, part: u32) -> u64 {
    object.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(part).wrapping_mul(0xd1b5_4a32_d192_ed03)
}

impl PopularitySketch {
    /// Records a request for a part that takes `work` seconds of sending.
    pub fn record(&mut self, now: f64, object: ObjectId, part: u32, work: f64) {
        if now - self.base > REBASE_DECAYS * DECAY_S {
            let factor = ((self.base - now) / DECAY_S).exp();
            self.counters.iter_mut().for_each(|c| (c.count, c.error) = (c.count * factor, c.error * factor));
            (self.requests, self.work, self.base) = (self.requests * factor, self.work * factor, now);
        }
        self.first_at.get_or_insert(now);
        let weight = self.weight(now);
        self.requests += weight;
        self.work += weight * work;
        let key = key(object, part);
        if let Some(at) = self.counters.iter().position(|c| c.key == key) {
            self.counters[at].count += weight;
            self.last = at;
        } else if self.counters.len() < COUNTERS_MAX {
            self.last = self.counters.len();
            self.counters.push(Counter { key, count: weight, error: 0.0 });
        } else {
            // Counts are finite, so plain comparisons order them.
            let mut lowest = 0;
            for (at, c) in self.counters.iter().enumerate() {
                if c.count < self.counters[lowest].count {
                    lowest = at;
                }
            }
            let error = self.counters[lowest].count;
            self.counters[lowest] = Counter { key, count: error + weight, error };
            self.last = lowest;
        }
    }

    /// Mean request rate (per second); infinite until enough time has been observed for an estimate.
    pub fn rate(&self, now: f64) -> f64 {
        match self.first_at.map(|first_at| now - first_at) {
            Some(observed) if observed > RATE_OBSERVATION_S => {
                self.requests / self.weight(now) / (DECAY_S * (1.0 - (-observed / DECAY_S).exp()))
            }
            _ => f64::INFINITY,
        }
    }

    /// What a request at `now` adds to a count that is scaled to the base time.
    fn weight(&self, now: f64) -> f64 {
        ((now - self.base) / DECAY_S).exp()
    }

    /// A lower bound of a part's share of this front's load in work. A single request counts as none: any of
    /// the many objects with rare requests may be the one that was just requested.
    pub fn share(&self, now: f64, object: ObjectId, part: u32, work: f64) -> f64 {
        let key = key(object, part);
        let repeats = |c: &Counter| (c.count - c.error - self.weight(now)).max(0.0);
        let last = self.counters.get(self.last).filter(|c| c.key == key);
        let repeats = last.or_else(|| self.counters.iter().find(|c| c.key == key)).map_or(0.0, repeats);
        if repeats > 0.0 { (repeats * work / self.work.max(1e-9)).min(1.0) } else { 0.0 }
    }

    /// The number of homes of a part among `caches` caches: one, and one more for each `LOAD_PER_HOME` of a
    /// cache's mean load that it makes up. All fronts see the same mix of requests on average, so a part's
    /// share of this front's load stands for its share of the total.
    pub fn home_count(&self, now: f64, object: ObjectId, part: u32, work: f64, caches: usize) -> usize {
        let additional = self.share(now, object, part, work) * caches as f64 / LOAD_PER_HOME;
        (1 + additional as usize).min(caches.max(1))
    }

    /// Memory of the counters in bytes.
    pub fn footprint(&self) -> usize {
        self.counters.capacity() * size_of::<Counter>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn object_with_repeated_requests_is_hot_until_its_counts_decay() {
        let mut sketch = PopularitySketch::default();
        let homes = |sketch: &PopularitySketch, now, object, part| {
            sketch.home_count(now, ObjectId(object), part, 0.2, 20)
        };
        for i in 0..40 {
            let now = 1000.0 + i as f64;
            sketch.record(now, ObjectId(100 + i), 0, 0.2);
            assert_eq!(homes(&sketch, now, 100 + i, 0), 1, "requested once");
            if i % 5 == 0 {
                sketch.record(now, ObjectId(5), 0, 0.2);
            }
        }
        let now = 1040.0;
        assert_eq!(homes(&sketch, now, 5, 0), 20, "one of six requests: more than a cache's load");
        assert_eq!(homes(&sketch, now, 5, 1), 1, "another part of it was not requested");
        assert_eq!(sketch.home_count(now, ObjectId(5), 0, 0.002, 20), 1, "little work");
        assert_eq!(homes(&sketch, now + 5.0 * DECAY_S, 5, 0), 1, "counts have decayed");
    }

    #[test]
    fn rate_is_infinite_until_the_observation_time_has_passed() {
        let mut sketch = PopularitySketch::default();
        assert_eq!(sketch.rate(1000.0), f64::INFINITY);
        for i in 0..600 {
            let now = 1000.0 + f64::from(i) * 0.5;
            sketch.record(now, ObjectId(i as u64), 0, 0.2);
            let rate = sketch.rate(now);
            assert!(
                if now <= 1010.0 { rate.is_infinite() } else { (1.6..2.6).contains(&rate) },
                "{rate} at {now}"
            );
        }
    }

    /// On a busy front many other objects are requested between two requests for a hot object, which must
    /// keep its counter.
    #[test]
    fn stream_of_single_requests_evicts_no_hot_object_and_makes_none_hot() {
        let mut sketch = PopularitySketch::default();
        for i in 0..60_000u64 {
            let now = 1000.0 + i as f64 / 1000.0;
            sketch.record(now, ObjectId(1_000_000 + i), 0, 0.1);
            if i % 30 == 0 {
                sketch.record(now, ObjectId(7), 0, 0.1);
            }
        }
        let share = sketch.share(1060.0, ObjectId(7), 0, 0.1);
        assert!((0.02..=0.034).contains(&share), "one in 31: {share}");
        let false_alarms =
            (0..60_000u64).filter(|i| sketch.share(1060.0, ObjectId(1_000_000 + i), 0, 0.1) > 0.0);
        assert_eq!(false_alarms.count(), 0);
        assert!(sketch.footprint() <= COUNTERS_MAX * 2 * size_of::<Counter>());
    }

    #[test]
    fn share_stays_plausible_over_years_of_rebasing() {
        let mut sketch = PopularitySketch::default();
        for i in 0..100_000 {
            let now = 1.7e9 + f64::from(i) * 1000.0;
            sketch.record(now, ObjectId(1), 0, 0.1);
            sketch.record(now, ObjectId(1), 0, 0.1);
            assert!((0.4..=1.0).contains(&sketch.share(now, ObjectId(1), 0, 0.1)), "step {i}");
        }
    }
}
