//! Arrivals and ends of the clients' requests.

use super::World;
use super::fronts::FrontIndex;
use super::schedule::{START_S, ScheduledEvent};
use super::transfers::AttemptKey;
use onyxyoke::interface::{Event, ObjectId, Outcome, Request, RequestId};
use rand::Rng;
use rand_distr::{Distribution, Exp};

/// Work of the smallest object, and mean of the exponential part above it, as shares of the mean work; their
/// sum is 1.
const SMALLEST_WORK_SHARE: f64 = 0.3;
const EXPONENTIAL_WORK_SHARE: f64 = 0.7;
/// Smallest tail probability that is used, which bounds the work of the largest object.
const SMALLEST_TAIL: f64 = 1e-6;
/// Spreads the objects' names over 64 bits, of which the fraction of an `f64` takes 53.
const NAME_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const FRACTION_BITS: u32 = 53;

/// Identifies a request by its front and its id there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    pub front: FrontIndex,
    pub id: RequestId,
}

/// A request without a final answer.
#[derive(Debug, Clone, Copy)]
pub struct OpenRequest {
    pub object: u64,
    /// Sending time of the object at full pace (seconds).
    pub work: f64,
    pub arrived_at: f64,
    pub expires: f64,
    /// Number of attempts that were started.
    pub attempts: u16,
}

impl World {
    /// Schedules a front's next arrival, and opens a request at the front or, while it is down, at another
    /// one.
    pub(super) fn handle_arrival(&mut self, front: FrontIndex) {
        let rate = self.fronts[front].request_rate;
        let gap = Exp::new(rate).expect("the request rate is not above zero").sample(&mut self.random);
        self.schedule.after(gap, ScheduledEvent::Arrival(front));
        let front = self.front_in_service(front);
        let object = self.draw_object();
        self.open_request(front, object);
    }

    fn front_in_service(&mut self, front: FrontIndex) -> FrontIndex {
        if front < self.first_front_in_service {
            self.random.random_range(self.first_front_in_service..self.fronts.len())
        } else {
            front
        }
    }

    fn draw_object(&mut self) -> u64 {
        let is_hot = self.hot_share > 0.0 && self.random.random_bool(self.hot_share);
        if is_hot { self.scenario.objects + 1 } else { self.popularity.sample(&mut self.random) as u64 }
    }

    /// Returns an object's work, which follows from its name: most objects are small, some are several times
    /// the mean.
    fn work_of(&self, object: u64) -> f64 {
        let bits = object.wrapping_mul(NAME_FACTOR) >> (u64::BITS - FRACTION_BITS);
        let fraction = bits as f64 / (1u64 << FRACTION_BITS) as f64;
        self.scenario.mean_work
            * (SMALLEST_WORK_SHARE - (1.0 - fraction).max(SMALLEST_TAIL).ln() * EXPONENTIAL_WORK_SHARE)
    }

    fn open_request(&mut self, front: FrontIndex, object: u64) {
        let now = self.schedule.now();
        let work = self.work_of(object);
        self.statistics.record_arrival(now - START_S, work);
        let key = RequestKey { front, id: RequestId(self.statistics.requests as u32) };
        let deadline = self.settings.classes[0].deadline;
        let expires = now + deadline;
        self.open.insert(key, OpenRequest { object, work, arrived_at: now, expires, attempts: 0 });
        self.schedule.after(deadline, ScheduledEvent::Deadline(key));
        let request = Request {
            id: key.id,
            object: ObjectId(object),
            expires,
            kb: work * self.settings.answer_kb_per_s,
            ..Request::default()
        };
        self.notify_front(front, Event::Request(request));
    }

    /// Closes a request that got a complete answer.
    pub(super) fn answer(&mut self, key: RequestKey, request: OpenRequest) {
        let class = &self.settings.classes[0];
        let aim = class.aim + class.aim_stretch * request.work;
        if self.schedule.now() - request.arrived_at <= aim {
            self.statistics.record_in_time(request.arrived_at - START_S);
        }
        self.open.remove(&key);
    }

    pub(super) fn refuse(&mut self, key: RequestKey) {
        self.statistics.refused += u64::from(self.open.remove(&key).is_some());
    }

    pub(super) fn fail(&mut self, key: RequestKey) {
        self.statistics.failed += u64::from(self.open.remove(&key).is_some());
    }

    /// Handles the deadline of a request: if it is still open, its attempt times out.
    pub(super) fn expire(&mut self, key: RequestKey) {
        let Some(request) = self.open.remove(&key) else { return };
        let attempts = (0..request.attempts).map(|number| AttemptKey { request: key, number });
        let in_flight = attempts.into_iter().find_map(|attempt| self.remove_transfer(attempt));
        match in_flight {
            Some(transfer) => self.end_attempt(transfer, Outcome::TimedOut),
            None => self.notify_front(key.front, Event::Expired { request: key.id }),
        }
    }
}
