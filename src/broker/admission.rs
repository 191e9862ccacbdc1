//! What is asked of the front, and what of it is taken.

use super::attempts::Open;
use super::{Answer, Broker, Caller, ClientRequest, Effect, timers};
use crate::interface::{ClassId, Event, Request, RequestId};
use crate::memory::Purpose;
use std::rc::Rc;

/// A client whose request came too late is to come again after this: its connection has closed by then (seconds).
const RETRY_AFTER_CLOSE: f64 = 0.05;

impl Broker {
    /// Takes a request from a front.
    pub fn ask(&mut self, now: f64, caller: Caller, ask: impl Into<Rc<ClientRequest>>) {
        let mut ask = ask.into();
        self.counters.requests += 1;
        // It has just come, and is nobody else's.
        if let Some(ask) = Rc::get_mut(&mut ask) {
            ask.deadline = ask.deadline.min(self.closes);
        }
        // Its client left while it lay in the queue: nobody is owed anything.
        if ask.cancelled.get() {
            self.counters.aborted += 1;
            return;
        }
        // Whoever asks too late for this process has time left for another.
        if self.closes <= now {
            return self.turn_away(caller, ask.class, Answer::Refused(RETRY_AFTER_CLOSE));
        }
        if ask.deadline <= now {
            return self.turn_away(caller, ask.class, Answer::DeadlineExceeded);
        }
        #[cfg(feature = "planted")]
        if crate::planted::should_refuse(ask.class.0) {
            return self.turn_away(caller, ask.class, Answer::Refused(0.1));
        }
        if !self.contracts.covers(&ask) {
            return self.turn_away(caller, ask.class, Answer::Forbidden);
        }
        if !self.has_room() || self.callers.contains_key(&caller) {
            let wait = self.director.settings().max_retry_after;
            return self.turn_away(caller, ask.class, Answer::Refused(wait));
        }
        if let Err(wait) = self.budgets.admit(now, ask.team) {
            return self.turn_away(caller, ask.class, Answer::OverBudget(wait));
        }
        // Guards whoever asked first: under one name, one's answer could be taken for the other's.
        if !self.calls.insert(ask.call.clone()) {
            self.budgets.release(now, ask.team, 0);
            return self.turn_away(caller, ask.class, Answer::Failed);
        }
        let id = self.fresh_id();
        let request = Request {
            id,
            class: ask.class,
            tenant: 0,
            object: ask.object,
            part: ask.part,
            group: ask.group,
            expires: ask.deadline,
            kb: ask.size_kb,
            repeat: ask.is_retry,
            write: self
                .director
                .settings()
                .classes
                .get(usize::from(ask.class.0))
                .is_some_and(|c| c.uncacheable),
        };
        self.timers.set(ask.deadline, timers::Timer::Deadline(id));
        self.callers.insert(caller, id);
        let aim = now + self.aim(&ask);
        self.open.insert(id, Open { caller, request: ask, aim, attempts: Vec::new(), done: false });
        self.feed(now, Event::Request(request));
        self.settle(now);
    }

    /// Is there memory for the tables with one more request? They grow by doubling, and are asked for before.
    pub(super) fn has_room(&mut self) -> bool {
        let [open, callers, calls] = [self.open.capacity(), self.callers.capacity(), self.calls.capacity()];
        let grown = |capacity: usize, len: usize| if len < capacity { capacity } else { 2 * capacity.max(4) };
        let table = |slots: usize, entry: usize| slots * 8 / 7 * (entry + 1);
        let bytes = table(grown(open, self.open.len()), size_of::<(RequestId, Open)>())
            + table(grown(callers, self.callers.len()), size_of::<(Caller, RequestId)>())
            + table(grown(calls, self.calls.len()), size_of::<Box<str>>())
            + self.timers.footprint();
        bytes == self.tables.bytes() || self.tables.resize(bytes).is_ok()
    }

    /// Books what the director has learned, and has it forget what is worth least where there is no memory for it.
    pub(super) fn book_learned(&mut self) {
        let (fixed, beliefs) = self.director.footprint();
        let fixed = fixed + self.members.footprint();
        let cap = self.memory.accounts().plan().limits[Purpose::Learned as usize].cap;
        let wanted = (fixed + beliefs).min(cap);
        if wanted == self.learned.bytes() {
            return;
        }
        // Beliefs grow only after they were granted what they want. Where that is refused, or what cannot be
        // forgotten (nodes, purges) needs room, they make do with what is left.
        let granted = self.learned.resize(wanted).is_ok();
        let left = if granted { wanted } else { self.learned.bytes() };
        self.director.set_memory_limit(left.saturating_sub(fixed));
    }

    /// Answers a request that the director never hears of.
    pub(super) fn turn_away(&mut self, caller: Caller, class: ClassId, answer: Answer) {
        self.metrics.count(class, answer.count());
        self.counters.answered(&answer);
        self.counters.turned_away += 1;
        self.effects.push(Effect::Answer { caller, answer });
    }

    /// How long its class aims for, by the size where that is told (seconds).
    pub(super) fn aim(&self, ask: &ClientRequest) -> f64 {
        let s = self.director.settings();
        let sending = s.transfer_time(ask.size_kb).unwrap_or(0.0);
        s.classes.get(usize::from(ask.class.0)).map_or(f64::MAX, |c| c.aim + c.aim_stretch * sending)
    }

    pub(super) fn fresh_id(&mut self) -> RequestId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            let id = RequestId(self.next_id);
            if !self.open.contains_key(&id) {
                return id;
            }
        }
    }
}
