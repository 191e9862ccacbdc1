//! The fronts, each with a director or a plain policy in its place.

use super::World;
use super::attempts::FetchOrder;
use super::requests::RequestKey;
use super::schedule::ScheduledEvent;
use super::transfers::AttemptKey;
use super::upstream::Upstream;
use crate::emulate::plain::Policy;
use crate::emulate::scenario::Scenario;
use onyxyoke::Director;
use onyxyoke::interface::{Action, Event, ListKind, Node, Request, Settings};
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;

/// Index of a front in the world, also its director number in the settings.
pub type FrontIndex = usize;

/// An emulated front.
pub struct Front {
    pub director: Director,
    /// Requests a second.
    pub request_rate: f64,
    /// Amount sent to each cache (kB), used by plain policies.
    pub sent_kb: Vec<f64>,
}

/// Returns a front's requests per second; the busy fronts have the lowest indices.
pub fn request_rate(scenario: &Scenario, front: FrontIndex) -> f64 {
    let busy_fronts = (scenario.busy_share * scenario.fronts as f64) as usize;
    let mean_factor = 1.0 + scenario.busy_share * (scenario.busy_factor - 1.0);
    let factor = if front < busy_fronts { scenario.busy_factor } else { 1.0 };
    scenario.request_rate * factor / mean_factor
}

impl World {
    /// Creates a director that has received nothing but the list of nodes.
    pub(super) fn new_director(&mut self, front: FrontIndex) -> Director {
        let settings = Settings { director_number: front as u16, ..self.settings.clone() };
        let mut director = Director::new(self.random.random(), settings);
        let list = Event::List { kind: ListKind::Cached, nodes: self.listed_nodes() };
        director.handle(self.schedule.now(), list, &mut Vec::new());
        director
    }

    fn listed_nodes(&self) -> Arc<[Node]> {
        let caches = self.caches.iter().filter(|cache| cache.up).map(|cache| cache.node_entry());
        caches.chain(Upstream::node_entries()).collect()
    }

    /// Replaces the directors of these fronts with new ones.
    pub(super) fn restart_directors(&mut self, fronts: Range<FrontIndex>) {
        for front in fronts {
            self.fronts[front].director = self.new_director(front);
        }
    }

    /// Sends a cache's state to all fronts.
    pub(super) fn list_cache(&mut self, cache: usize) {
        let nodes: Arc<[Node]> = [self.caches[cache].node_entry()].into();
        for front in 0..self.fronts.len() {
            self.notify_front(front, Event::List { kind: ListKind::Delta, nodes: nodes.clone() });
        }
    }

    /// Passes an event to a front's director or plain policy, and performs the resulting actions.
    pub(super) fn notify_front(&mut self, front: FrontIndex, event: Event) {
        if let Some(policy) = self.scenario.policy {
            return self.apply_plain_policy(policy, front, &event);
        }
        let mut actions = Vec::new();
        self.fronts[front].director.handle(self.schedule.now(), event, &mut actions);
        for action in actions {
            self.perform(front, action);
        }
    }

    fn perform(&mut self, front: FrontIndex, action: Action) {
        match action {
            Action::Fetch { request, node, source, options, .. } => {
                let order = FetchOrder { node, source, only_if_cached: options.only_if_cached };
                self.start_attempt(RequestKey { front, id: request }, order);
            }
            Action::Refuse { request, .. } => self.refuse(RequestKey { front, id: request }),
            Action::Fail { request } => self.fail(RequestKey { front, id: request }),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(AttemptKey {
                    request: RequestKey { front, id: request },
                    number: attempt,
                });
            }
            Action::SetTimer { token, after } => {
                self.schedule.after(after, ScheduledEvent::Timer(front, token));
            }
            _ => {}
        }
    }

    /// Handles an event by a plain policy, which chooses the cache, fills from a parent by hash, and does not
    /// retry.
    fn apply_plain_policy(&mut self, policy: Policy, front: FrontIndex, event: &Event) {
        match event {
            Event::Request(request) => self.send_by_plain_policy(policy, front, request),
            Event::AttemptEnd { request, done: false, .. } => self.fail(RequestKey { front, id: *request }),
            _ => {}
        }
    }

    fn send_by_plain_policy(&mut self, policy: Policy, front: FrontIndex, request: &Request) {
        let up: Vec<usize> = (0..self.caches.len()).filter(|&cache| self.caches[cache].up).collect();
        let object = request.object.0;
        let sent_kb = &mut self.fronts[front].sent_kb;
        let Some(cache) = policy.choose(object, &up, sent_kb, &mut self.random) else { return };
        sent_kb[cache] += request.kb;
        let order = FetchOrder {
            node: self.caches[cache].id,
            source: Upstream::parent_of(object),
            only_if_cached: false,
        };
        self.start_attempt(RequestKey { front, id: request.id }, order);
    }
}
