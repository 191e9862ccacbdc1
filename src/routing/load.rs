//! Estimates of how busy links and how fast caches are, from the few transfers of one front: sums and means
//! that fade. Times are in seconds; work is transfer time at full pace, in seconds.

/// Time constant with which observations fade (seconds).
const FADE_TIME: f64 = 5.0;
/// An answer that took more than this multiple of its work shows a full link.
pub const FULL_LINK_SLOWDOWN: f64 = 1.25;
/// Outcomes in a window after which a link is estimated anew, and the weight of the newest window.
const WINDOW: f64 = 20.0;
const CAPACITY_WEIGHT: f64 = 0.1;
/// Outcomes in a window where the capacity is known and only the activity of peers is estimated. It is
/// shorter: when most peers die, their clients come to those that are left, and each of these takes the
/// others to have as many.
const KNOWN_LINK_WINDOW: f64 = 6.0;
/// Weight of the newest window in the activity of a peer relative to this director, and the bounds of that.
/// More than 1 is ruled out: a link that carries more than it could has certainly been taken for too full,
/// while a slow one may be slow for another reason.
const ACTIVITY_WEIGHT: f64 = 0.6;
const MIN_ACTIVITY: f64 = 0.05;
const MAX_ACTIVITY: f64 = 1.0;
/// Peers' activity is left as it is where a known link carries this many times what was expected.
const EXPECTED_CARRIED: std::ops::Range<f64> = 0.75..1.33;
/// Weight of the assumption that a cache has its normal pace, beside what was seen of it (seconds of work).
const PACE_PRIOR: f64 = 0.3;
/// Observations of a slow cache count for this long; each front draws a time between the two (seconds). So
/// the fronts that left a cache come back one after another, even if they saw no fast answer, which a front
/// that sees little of it never would.
const MIN_RECOVERY: f64 = 3.0;
const MAX_RECOVERY: f64 = 7.0;
/// The recovery time doubles each time that the cache is slow again, at most this often.
const MAX_RECOVERY_DOUBLINGS: u8 = 2;
/// An answer that took more than this multiple of its expected time shows that a cache is slow again.
const SLOW_AGAIN: f64 = 1.5;

/// Returns the share that is left at `now` of a fading count taken at `at`.
pub fn fade(at: f64, now: f64) -> f64 {
    ((at - now) / FADE_TIME).exp()
}

/// Moves a smoothed value, which is never below 0, towards an observation.
pub fn smooth(value: &mut f64, seen: f64, weight: f64) {
    *value = (*value + weight * (seen - *value)).max(0.0);
}

/// A count that fades with time.
#[derive(Clone, Copy, Default)]
pub struct FadingCount {
    count: f64,
    at: f64,
}

impl FadingCount {
    /// Adds to the count.
    pub fn add(&mut self, now: f64, amount: f64) {
        *self = FadingCount { count: self.value(now) + amount, at: now };
    }

    /// Returns what is left of the count at `now`.
    pub fn value(&self, now: f64) -> f64 {
        self.count * fade(self.at, now)
    }
}

/// A link that the transfers of all directors share evenly: a node's link out, or the link into a zone. One
/// that stands for a whole tier counts the transfers at all its nodes, and has the capacity of a mean one.
#[derive(Clone, Copy, Default)]
pub struct SharedLink {
    /// Transfers of this director that are in flight.
    pub in_flight: f64,
    /// Their mean over time, as of `counted_at`.
    mean_in_flight: f64,
    counted_at: f64,
    /// Work done for this director per second, in the mean.
    pub work_rate: f64,
    /// Estimate of the transfers at full pace, of all directors, that fit; 0 until known.
    pub capacity: f64,
    /// Whether the capacity is known. Then the activity of peers relative to this director is estimated
    /// instead.
    pub known: bool,
    /// Whether the capacity is known exactly.
    exact: bool,
    peer_activity: f64,
    window: TransferWindow,
}

/// Sums over the outcomes of a window.
#[derive(Clone, Copy, Default)]
struct TransferWindow {
    time: f64,
    work: f64,
    transfers: f64,
    outcomes: f64,
}

impl SharedLink {
    /// Creates an idle link; `known` says that `capacity` is exact.
    pub fn new(capacity: f64, known: bool) -> Self {
        SharedLink { capacity, known, exact: known, peer_activity: 1.0, ..SharedLink::default() }
    }

    /// Adds `step` to the transfers in flight, and the work that a transfer did.
    pub fn count(&mut self, now: f64, step: f64, work: f64) {
        let fade = fade(self.counted_at, now);
        self.mean_in_flight = self.in_flight + (self.mean_in_flight - self.in_flight) * fade;
        self.work_rate = self.work_rate * fade + work / FADE_TIME;
        self.counted_at = now;
        self.in_flight = (self.in_flight + step).max(0.0);
    }

    /// Learns from a transfer that took `time` for `work` while `transfers` shared the link. Windows of
    /// outcomes are evaluated rather than single ones, since sizes may be unknown.
    pub fn learn(&mut self, time: f64, work: f64, transfers: f64) {
        let sums = &mut self.window;
        sums.time += time;
        sums.work += work;
        sums.transfers += transfers;
        sums.outcomes += 1.0;
        let TransferWindow { time, work, transfers, outcomes } = self.window;
        if outcomes < if self.known { KNOWN_LINK_WINDOW } else { WINDOW } {
            return;
        }
        self.window = TransferWindow::default();
        let slowdown = (time / work.max(0.001)).max(1.0);
        let carried = transfers / outcomes / slowdown;
        if slowdown <= FULL_LINK_SLOWDOWN && carried <= self.capacity {
            return;
        }
        // With as many transfers as assumed, the pace would have been much lower, or higher: peers are not as
        // active as assumed. A small difference is due to the link, or to chance.
        let correction = (self.capacity / carried.max(0.01)).clamp(0.2, 5.0);
        if self.known && !EXPECTED_CARRIED.contains(&correction) {
            let activity = self.peer_activity * (1.0 + ACTIVITY_WEIGHT * (correction - 1.0));
            self.peer_activity = activity.clamp(MIN_ACTIVITY, MAX_ACTIVITY);
        } else if !self.exact {
            self.capacity += CAPACITY_WEIGHT * outcomes / WINDOW * (carried.max(1.0) - self.capacity);
        }
    }

    /// Returns the transfers that one peer has in flight in the mean.
    pub fn mean_per_peer(&self) -> f64 {
        self.mean_in_flight * self.peer_activity
    }
}

/// Returns how many times as long as expected transfers took; close to 1 while there is little evidence.
fn slowdown((time, expected): (f64, f64)) -> f64 {
    (time + PACE_PRIOR) / (expected + PACE_PRIOR)
}

/// The pace of one cache relative to the others of its zone. A front sees few answers of each, so that sums
/// are compared; they fade, and a cache that was slow is tried again.
#[derive(Clone, Copy, Default)]
pub struct CachePace {
    /// Time that its transfers took, the time expected of them, and when these sums were last updated.
    time: f64,
    expected: f64,
    updated_at: f64,
    /// Where between the least and the greatest this front's recovery time lies, and how often it was
    /// doubled.
    draw: f64,
    doublings: u8,
}

impl CachePace {
    /// Creates the pace of a cache of which nothing was seen; `draw`, from 0 to 1, differs by front and
    /// cache.
    pub fn new(draw: f64) -> CachePace {
        CachePace { draw, ..CachePace::default() }
    }

    /// Returns how long after the last answer its observations stop to count.
    fn recovery_time(&self) -> f64 {
        (MIN_RECOVERY + (MAX_RECOVERY - MIN_RECOVERY) * self.draw) * f64::from(1u32 << self.doublings)
    }

    /// Records a transfer that took `time`, so far if it has not ended, and should have taken `expected`.
    pub fn record(&mut self, now: f64, time: f64, expected: f64) {
        let time = time.max(0.0);
        if now - self.updated_at >= self.recovery_time() {
            let slow = slowdown((time, expected)) > SLOW_AGAIN;
            let again = slow && self.time > SLOW_AGAIN * self.expected;
            self.doublings = if again { (self.doublings + 1).min(MAX_RECOVERY_DOUBLINGS) } else { 0 };
        }
        let (old_time, old_expected) = self.faded(now);
        (self.time, self.expected, self.updated_at) = (old_time + time, old_expected + expected, now);
    }

    fn faded(&self, now: f64) -> (f64, f64) {
        let elapsed = now - self.updated_at;
        let left = fade(self.updated_at, now) * (2.0 - 2.0 * elapsed / self.recovery_time()).clamp(0.0, 1.0);
        (self.time * left, self.expected * left)
    }

    /// Returns how many times as long as expected its transfers take; below 1 where they are faster.
    pub fn absolute(&self, now: f64) -> f64 {
        slowdown(self.faded(now))
    }

    /// Returns how many times as long as those of the others its transfers take, at least 1. What slows down
    /// all of them does not count, nor does the pace of a cache without others.
    pub fn relative_to<'a>(&self, now: f64, others: impl Iterator<Item = &'a CachePace>) -> f64 {
        let absolute = self.absolute(now);
        if absolute <= 1.0 {
            return 1.0;
        }
        let all = others.map(|o| o.faded(now)).reduce(|a, b| (a.0 + b.0, a.1 + b.1));
        all.map_or(1.0, |all| (absolute / slowdown(all).max(1.0)).max(1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards a front with ten times the requests of its peers, and those that are left when most fronts
    /// died: each took its peers to have as many transfers in flight as itself, and so a half-empty link for
    /// a full one.
    #[test]
    fn peers_are_found_less_active_where_a_known_link_carries_more_than_it_could() {
        let mut link = SharedLink::new(4.0, true);
        for i in 0..100 {
            link.count(100.0 + f64::from(i) * 0.1, if i % 2 == 0 { 1.0 } else { -1.0 }, 0.1);
        }
        let assumed = link.mean_per_peer();
        // Twenty transfers are assumed to share the link, and yet each has full pace.
        (0..6).for_each(|_| link.learn(0.1, 0.1, 20.0));
        assert!(link.mean_per_peer() < 0.7 * assumed, "{} of {assumed}", link.mean_per_peer());
        (0..120).for_each(|_| link.learn(0.1, 0.1, 20.0));
        assert!(link.mean_per_peer() > 0.01 * assumed, "peers are never taken to have none");
        // Transfers that are slow for another reason make no peer more active than this front.
        (0..600).for_each(|_| link.learn(5.0, 0.1, 2.0));
        assert!(link.mean_per_peer() <= assumed);
        assert_eq!(link.capacity, 4.0, "the capacity is known");
    }

    #[test]
    fn a_slow_cache_is_told_apart_from_a_slow_zone_and_recovers() {
        let [mut one, mut other, mut third] = [CachePace::new(1.0); 3];
        assert_eq!(one.relative_to(100.0, [other, third].iter()), 1.0, "nothing is known");
        for i in 0..10 {
            let now = 100.0 + f64::from(i) * 0.2;
            one.record(now, 1.0, 0.1);
            other.record(now, 0.1, 0.1);
        }
        let slow = one.relative_to(102.0, [other, third].iter());
        assert!((4.0..10.0).contains(&slow), "reduced a little for want of evidence: {slow}");
        assert!(one.relative_to(106.0, [other, third].iter()) < slow);
        assert!(one.relative_to(110.0, [other, third].iter()) < 1.1, "recovered after some seconds");
        for now in [102.0, 102.1] {
            other.record(now, 6.0, 0.3);
            third.record(now, 8.0, 0.4);
        }
        assert!(one.relative_to(102.2, [other, third].iter()) < 1.2, "all are slow");
    }

    /// Guards against a front that sees too little of a cache to find it recovered, and against one that
    /// returns too often to a cache that has not.
    #[test]
    fn recovery_times_differ_between_fronts_and_grow_while_a_cache_stays_slow() {
        let recovered = |pace: &CachePace, now| pace.relative_to(now, [CachePace::default()].iter()) < 1.2;
        let after = |pace: &CachePace, at: f64| {
            (0..600).map(|i| f64::from(i) * 0.1).find(|s| recovered(pace, at + s)).expect("it recovers")
        };
        let mut spans = Vec::new();
        for i in 0..10 {
            let mut pace = CachePace::new(f64::from(i) / 10.0);
            pace.record(100.0, 8.0, 1.0);
            spans.push(after(&pace, 100.0));
        }
        assert!(spans.iter().all(|s| (2.0..8.0).contains(s)), "{spans:?}");
        assert!(spans[9] - spans[0] > 2.0, "spread over time: {spans:?}");
        let mut pace = CachePace::new(0.5);
        let (mut now, mut last) = (100.0, 0.0);
        for round in 0..4 {
            pace.record(now, 8.0, 1.0);
            let span = after(&pace, now);
            assert!(
                if round < 3 { span > 1.5 * last } else { span <= last + 0.11 },
                "{round}: {span} after {last}"
            );
            (now, last) = (now + 40.0, span);
        }
        pace.record(now, 1.0, 1.0);
        pace.record(now + 30.0, 8.0, 1.0);
        assert!(after(&pace, now + 30.0) < 8.0, "a normal answer in between resets the doublings");
    }

    #[test]
    fn one_slow_answer_of_a_small_object_does_not_make_a_cache_slow() {
        let mut one = CachePace::default();
        one.record(100.0, 0.05, 0.005);
        assert!(one.relative_to(100.0, [CachePace::default()].iter()) < 1.2);
        one.record(100.0, 50.0, 0.5);
        assert_eq!(one.relative_to(100.0, [].into_iter()), 1.0);
    }
}
