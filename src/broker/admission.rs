//! Admission of requests.

use super::attempts::OpenRequest;
use super::{Answer, Broker, Caller, ClientRequest, Effect, timers};
use crate::interface::{ClassId, Event, Request, RequestId};
use crate::memory::Purpose;
use std::rc::Rc;

/// Retry delay of a request that arrives after the shutdown deadline: its connection is closed by then.
const SHUTDOWN_RETRY_SECONDS: f64 = 0.05;

impl Broker {
    /// Admits a request and hands it to the director, or answers it at once.
    pub fn handle_request(&mut self, now: f64, caller: Caller, request: impl Into<Rc<ClientRequest>>) {
        let mut request = request.into();
        self.counters.requests += 1;
        // The request has just arrived and has no other owner.
        if let Some(request) = Rc::get_mut(&mut request) {
            request.deadline = request.deadline.min(self.shutdown_deadline);
            request.group = self.groups.resolve(request.object, request.group);
        }
        // The client disconnected or cancelled while the request was queued: no answer is needed.
        if request.cancelled.get() {
            self.counters.aborted += 1;
            return;
        }
        // The request is too late for this process, but its client has time left to retry at another.
        if self.shutdown_deadline <= now {
            return self.reject(caller, request.class, Answer::Refused(SHUTDOWN_RETRY_SECONDS));
        }
        if request.deadline <= now {
            return self.reject(caller, request.class, Answer::DeadlineExceeded);
        }
        #[cfg(feature = "planted")]
        if crate::planted::should_refuse(request.class.0) {
            return self.reject(caller, request.class, Answer::Refused(0.1));
        }
        if !self.contracts.covers(&request) {
            return self.reject(caller, request.class, Answer::Forbidden);
        }
        if !self.reserve_tables() || self.callers.contains_key(&caller) {
            let wait = self.director.settings().max_retry_after;
            return self.reject(caller, request.class, Answer::Refused(wait));
        }
        if let Err(wait) = self.budgets.admit(now, request.team) {
            return self.reject(caller, request.class, Answer::OverBudget(wait));
        }
        // Two open requests with one call id could receive each other's answers; the earlier one is kept.
        if !self.open_calls.insert(request.call.clone()) {
            self.budgets.release(now, request.team, 0);
            return self.reject(caller, request.class, Answer::Failed);
        }
        let id = self.next_request_id();
        let event = Event::Request(Request {
            id,
            class: request.class,
            tenant: 0,
            object: request.object,
            part: request.part,
            group: request.group,
            expires: request.deadline,
            kb: request.size_kb,
            repeat: request.is_retry,
            write: self
                .director
                .settings()
                .classes
                .get(usize::from(request.class.0))
                .is_some_and(|c| c.uncacheable),
        });
        self.timers.set(request.deadline, timers::Timer::Deadline(id));
        self.callers.insert(caller, id);
        let aim = now + self.aim(&request);
        self.open.insert(id, OpenRequest { caller, request, aim, attempts: Vec::new(), concluded: false });
        self.dispatch(now, event);
        self.drain_events(now);
    }

    /// Reserves memory for the tables with one more request, before they grow, which they do by doubling.
    /// Returns whether it was granted.
    pub(super) fn reserve_tables(&mut self) -> bool {
        let [open, callers, calls] =
            [self.open.capacity(), self.callers.capacity(), self.open_calls.capacity()];
        let grown = |capacity: usize, len: usize| if len < capacity { capacity } else { 2 * capacity.max(4) };
        let table = |slots: usize, entry: usize| slots * 8 / 7 * (entry + 1);
        let bytes = table(grown(open, self.open.len()), size_of::<(RequestId, OpenRequest)>())
            + table(grown(callers, self.callers.len()), size_of::<(Caller, RequestId)>())
            + table(grown(calls, self.open_calls.len()), size_of::<Box<str>>())
            + self.timers.footprint();
        bytes == self.table_grant.bytes() || self.table_grant.resize(bytes).is_ok()
    }

    /// Updates the account of what the director has learned, and has it evict the least valuable beliefs if
    /// the memory is not granted.
    pub(super) fn account_learned(&mut self) {
        let (fixed, beliefs) = self.director.footprint();
        let fixed = fixed + self.members.footprint() + self.groups.footprint();
        let cap = self.memory.accounts().plan().limits[Purpose::Learned as usize].cap;
        let wanted = (fixed + beliefs).min(cap);
        if wanted == self.learned_grant.bytes() {
            return;
        }
        // Beliefs grow only once the memory is granted. If it is refused, or if the fixed part (nodes,
        // purges), which cannot be evicted, needs more, the beliefs are limited to what is left.
        let granted = self.learned_grant.resize(wanted).is_ok();
        let left = if granted { wanted } else { self.learned_grant.bytes() };
        self.director.set_memory_limit(left.saturating_sub(fixed));
    }

    /// Answers a request without handing it to the director.
    pub(super) fn reject(&mut self, caller: Caller, class: ClassId, answer: Answer) {
        self.metrics.count(class, answer.count());
        self.counters.count_answer(&answer);
        self.counters.turned_away += 1;
        self.effects.push(Effect::Answer { caller, answer });
    }

    /// Returns the time in which the class aims to answer the request, given its size if stated (seconds).
    pub(super) fn aim(&self, request: &ClientRequest) -> f64 {
        let settings = self.director.settings();
        let transfer_time = settings.transfer_time(request.size_kb).unwrap_or(0.0);
        settings
            .classes
            .get(usize::from(request.class.0))
            .map_or(f64::MAX, |c| c.aim + c.aim_stretch * transfer_time)
    }

    /// Returns an id that no open request has.
    pub(super) fn next_request_id(&mut self) -> RequestId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            let id = RequestId(self.next_id);
            if !self.open.contains_key(&id) {
                return id;
            }
        }
    }
}
