//! The clients' requests: how they arrive, and how they end.

use super::World;
use super::fronts::FrontIndex;
use super::schedule::{START, ScheduledEvent};
use super::transfers::AttemptKey;
use onyxyoke::interface::{Event, ObjectId, Outcome, Request, RequestId};
use rand::Rng;
use rand_distr::{Distribution, Exp};

/// Work of the smallest object and what is spread above it, as shares of the mean; together 1.
const SMALLEST_WORK: f64 = 0.3;
const SPREAD_WORK: f64 = 0.7;
/// Bounds the work of the largest object.
const SMALLEST_TAIL: f64 = 1e-6;
/// Spreads the objects' names over 64 bits, of which a fraction of a `f64` takes 53.
const NAME_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const FRACTION_BITS: u32 = 53;

/// A request, by the front that it came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    pub front: FrontIndex,
    pub id: RequestId,
}

/// A request that has no final answer yet.
#[derive(Debug, Clone, Copy)]
pub struct OpenRequest {
    pub object: u64,
    /// Sending time of the object at full pace (seconds).
    pub work: f64,
    pub arrived_at: f64,
    pub expires: f64,
    /// How many were started.
    pub attempts: u16,
}

impl World {
    /// Schedules a front's next arrival, and gives this one to it or, while it is gone, to another one.
    pub(super) fn arrive(&mut self, front: FrontIndex) {
        let rate = self.fronts[front].request_rate;
        let gap = Exp::new(rate).expect("a rate above zero").sample(&mut self.random);
        self.schedule.after(gap, ScheduledEvent::Arrival(front));
        let front = self.front_in_service(front);
        let object = self.draw_object();
        self.open_request(front, object);
    }

    fn front_in_service(&mut self, front: FrontIndex) -> FrontIndex {
        if front < self.first_front_up {
            self.random.random_range(self.first_front_up..self.fronts.len())
        } else {
            front
        }
    }

    fn draw_object(&mut self) -> u64 {
        let is_hot = self.hot_share > 0.0 && self.random.random_bool(self.hot_share);
        if is_hot { self.scenario.objects + 1 } else { self.popularity.sample(&mut self.random) as u64 }
    }

    /// Objects differ in size by their name: most are small, some are several times the mean.
    fn work_of(&self, object: u64) -> f64 {
        let bits = object.wrapping_mul(NAME_FACTOR) >> (u64::BITS - FRACTION_BITS);
        let fraction = bits as f64 / (1u64 << FRACTION_BITS) as f64;
        self.scenario.mean_work * (SMALLEST_WORK - (1.0 - fraction).max(SMALLEST_TAIL).ln() * SPREAD_WORK)
    }

    fn open_request(&mut self, front: FrontIndex, object: u64) {
        let now = self.schedule.now();
        let work = self.work_of(object);
        self.statistics.record_arrival(now - START, work);
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

    /// A whole answer came.
    pub(super) fn answer(&mut self, key: RequestKey, request: OpenRequest) {
        let class = &self.settings.classes[0];
        let aim = class.aim + class.aim_stretch * request.work;
        if self.schedule.now() - request.arrived_at <= aim {
            self.statistics.record_in_time(request.arrived_at - START);
        }
        self.open.remove(&key);
    }

    pub(super) fn refuse(&mut self, key: RequestKey) {
        self.statistics.refused += u64::from(self.open.remove(&key).is_some());
    }

    pub(super) fn fail(&mut self, key: RequestKey) {
        self.statistics.failed += u64::from(self.open.remove(&key).is_some());
    }

    /// The deadline of a request has come; if it is still open, its attempt times out.
    pub(super) fn expire(&mut self, key: RequestKey) {
        let Some(request) = self.open.remove(&key) else { return };
        let attempts = (0..request.attempts).map(|number| AttemptKey { request: key, number });
        let under_way = attempts.into_iter().find_map(|attempt| self.take_off_link(attempt));
        match under_way {
            Some(transfer) => self.end_attempt(transfer, Outcome::TimedOut),
            None => self.notify_front(key.front, Event::Expired { request: key.id }),
        }
    }
}
