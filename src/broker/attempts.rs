//! The attempts of open requests: sending, cancelling and ending them, and whether a further attempt may
//! follow.

use super::{Answer, AttemptId, Broker, Caller, ClientRequest, Command, Content, Effect, Order, timers};
use crate::interface::*;
use crate::membership::Membership;
use std::cell::Cell;
use std::rc::Rc;

/// An attempt of an open request.
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) source: Option<NodeId>,
    pub(super) sent_at: f64,
    pub(super) write_started: bool,
    pub(super) in_flight: bool,
    /// The attempt was cancelled because its time ran out, so that its outcome is a timeout.
    pub(super) timed_out: bool,
    /// Whether the attempt is cancelled; shared with its order.
    pub(super) cancelled: Rc<Cell<bool>>,
    /// Whether its outcome proves that the node did not execute it.
    pub(super) never_ran: bool,
    /// Outcome of an abandoned attempt, which stays in flight until its node has read the cancel or reset.
    pub(super) abandoned_as: Option<Outcome>,
}

impl Attempt {
    /// Cancels the attempt; returns whether it was not cancelled before.
    pub(super) fn cancel(&self) -> bool {
        !self.cancelled.replace(true)
    }
}

/// A request that is not concluded, or that still has an attempt in flight.
pub(super) struct OpenRequest {
    pub(super) caller: Caller,
    pub(super) request: Rc<ClientRequest>,
    /// Time by which its class aims to answer it (Unix seconds).
    pub(super) aim: f64,
    pub(super) attempts: Vec<Attempt>,
    /// Whether the final answer is sent, or none is needed any more.
    pub(super) concluded: bool,
}

impl Broker {
    /// Cancels unwritten attempts whose node or source is not ready in the view (rule 3).
    pub(super) fn cancel_unready(&mut self) {
        self.cancel_unwritten(|members, _, a| {
            let ready = |id| members.state(id) == Some(NodeState::Ready);
            !ready(a.node) || a.source.is_some_and(|s| !ready(s))
        });
    }

    /// Cancels the unwritten attempts for which `affected` returns true.
    pub(super) fn cancel_unwritten(
        &mut self,
        affected: impl Fn(&Membership, &ClientRequest, &Attempt) -> bool,
    ) {
        for (&request, open) in &mut self.open {
            for (i, a) in open.attempts.iter_mut().enumerate() {
                if a.in_flight && !a.write_started && affected(&self.members, &open.request, a) && a.cancel()
                {
                    self.counters.recalled += 1;
                    let attempt_id = AttemptId { request, attempt: i as u16 };
                    self.effects.push(Effect::Command(Command::Cancel { attempt_id, node: a.node }));
                }
            }
        }
    }

    /// Marks a request as concluded and cancels its attempt in flight.
    pub(super) fn cancel_attempts(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.concluded = true;
        for (i, a) in open.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && a.cancel()) {
            let attempt_id = AttemptId { request: id, attempt: i as u16 };
            self.effects.push(Effect::Command(Command::Cancel { attempt_id, node: a.node }));
        }
    }

    /// Handles an attempt that was cancelled or reset on the wire. It stays in flight for the propagation
    /// time, so that no two attempts of one request run at once: its node may read the cancel on one
    /// connection after the next attempt is read on another, or by another node. If no further attempt may
    /// follow, the attempt ends at once.
    pub(super) fn handle_abandoned(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        outcome: Outcome,
        propagation: f64,
    ) {
        let classes = &self.director.settings().classes;
        let shutdown_deadline = self.shutdown_deadline;
        let may_retry = self.open.get(&attempt_id.request).is_some_and(|o| {
            let rules = classes.get(usize::from(o.request.class.0));
            let until = o.request.deadline.min(shutdown_deadline).min(retry_until(rules, &o.attempts));
            !o.concluded && !o.request.cancelled.get() && now < until
        });
        if may_retry && let Some(attempt) = self.attempt(attempt_id).filter(|a| a.in_flight) {
            attempt.abandoned_as = Some(outcome);
            let timer = timers::Timer::Abandoned(attempt_id.request, attempt_id.attempt);
            return self.timers.set(now + propagation, timer);
        }
        self.handle_attempt_end(now, attempt_id, outcome, Note::None, 0.0, None);
    }

    /// Handles an answer for which there is no memory: the client is answered at once, with a refusal if a
    /// retry is safe in its class. There would be no memory for another node's answer either, so none is
    /// asked. The node is not blamed.
    pub(super) fn handle_no_memory(&mut self, now: f64, attempt_id: AttemptId) {
        let Some(open) = self.open.get(&attempt_id.request).filter(|o| !o.concluded) else {
            return self.handle_attempt_end(now, attempt_id, Outcome::NotSent, Note::None, 0.0, None);
        };
        self.counters.no_memory += 1;
        let settings = self.director.settings();
        let effect = settings.classes.get(usize::from(open.request.class.0)).map(|c| c.effect);
        let answer = match effect {
            Some(crate::interface::Effect::Safe | crate::interface::Effect::Keyed(Scope::All)) => {
                Answer::Refused(settings.max_retry_after)
            }
            _ => Answer::Failed,
        };
        if let Some(attempt) = self.attempt(attempt_id) {
            attempt.cancel();
        }
        self.answer(now, attempt_id.request, answer);
        self.handle_attempt_end(now, attempt_id, Outcome::NotSent, Note::None, 0.0, None);
    }

    /// Returns the attempt with this id.
    pub(super) fn attempt(&mut self, attempt_id: AttemptId) -> Option<&mut Attempt> {
        self.open.get_mut(&attempt_id.request)?.attempts.get_mut(usize::from(attempt_id.attempt))
    }

    /// Handles the end of an attempt: answers the client if it was served, and reports it to the director.
    pub(super) fn handle_attempt_end(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        outcome: Outcome,
        note: Note,
        source_wait: f64,
        content: Option<Content>,
    ) {
        let Some(attempt) = self.attempt(attempt_id).filter(|a| a.in_flight) else { return };
        attempt.in_flight = false;
        attempt.never_ran = outcome.never_ran();
        let outcome = match outcome {
            Outcome::Cancelled if attempt.timed_out => Outcome::TimedOut,
            other => other,
        };
        let (node, took) = (attempt.node, (now - attempt.sent_at).max(0.0));
        self.counters.count_attempt_end(outcome, note);
        if self.open.get(&attempt_id.request).is_some_and(|o| o.request.cancelled.get()) {
            self.cancel_request(now, attempt_id.request);
        }
        if let Some(content) = content.filter(|_| outcome == Outcome::Ok) {
            self.answer(now, attempt_id.request, Answer::Served(content));
        }
        let done = self.open.get(&attempt_id.request).is_none_or(|o| o.concluded);
        self.dispatch(
            now,
            Event::AttemptEnd {
                request: attempt_id.request,
                attempt: attempt_id.attempt,
                node,
                outcome,
                took,
                done,
                note,
                source_wait,
                load: Vec::new(),
            },
        );
        self.remove_if_finished(attempt_id.request);
    }

    /// Ends an abandoned attempt, whose propagation time is over or need not be waited for.
    pub(super) fn finish_abandoned(&mut self, now: f64, attempt_id: AttemptId) {
        if let Some(outcome) = self.attempt(attempt_id).and_then(|a| a.abandoned_as.take()) {
            self.handle_attempt_end(now, attempt_id, outcome, Note::None, 0.0, None);
        }
    }

    /// Orders the attempt that a fetch asks for, or ends it at once if it may not be sent.
    pub(super) fn send_attempt(&mut self, now: f64, fetch: Action) {
        let Action::Fetch { request, node, within, source, rank, age, options } = fetch else { return };
        let source = Some(source).filter(|s| *s != node);
        let Some(open) = self.open.get_mut(&request) else { return };
        let rules = self.director.settings().classes.get(usize::from(open.request.class.0));
        let attempt_id = AttemptId { request, attempt: open.attempts.len() as u16 };
        let deadline = open.request.deadline.min(self.shutdown_deadline);
        let due = if within > 0.0 { (now + within).min(deadline) } else { deadline };
        let begin_by = retry_until(rules, &open.attempts);
        let cancelled = Rc::new(Cell::new(false));
        // At most one attempt is in flight per request. None is sent for a concluded or cancelled request, to
        // a node or with a source that is not ready, or when the class permits no retry any more.
        let ready = |id: &NodeId| self.members.state(*id) == Some(NodeState::Ready);
        let client_gone = open.request.cancelled.get();
        let allowed = !open.concluded
            && open.attempts.iter().all(|a| !a.in_flight)
            && !client_gone
            && now < due.min(begin_by)
            && ready(&node)
            && source.as_ref().is_none_or(ready);
        open.attempts.push(Attempt {
            node,
            source,
            sent_at: now,
            write_started: false,
            in_flight: allowed,
            timed_out: false,
            cancelled: cancelled.clone(),
            never_ran: false,
            abandoned_as: None,
        });
        if !allowed {
            if client_gone {
                self.cancel_request(now, request);
            }
            let done = self.open.get(&request).is_none_or(|o| o.concluded);
            self.counters.count_attempt_end(Outcome::NotSent, Note::None);
            return self.pending_events.push_back(Event::AttemptEnd {
                request,
                attempt: attempt_id.attempt,
                node,
                outcome: Outcome::NotSent,
                took: 0.0,
                done,
                note: Note::None,
                source_wait: 0.0,
                load: Vec::new(),
            });
        }
        self.counters.sent += 1;
        let class = self.class_names[usize::from(open.request.class.0)].clone();
        let client_request = open.request.clone();
        if due < client_request.deadline {
            self.timers.set(due, timers::Timer::Deadline(request));
        }
        // The fetch's age limit applies if it has one, else the class's freshness lifetime plus its grace
        // period.
        let uncacheable = rules.is_some_and(|c| c.uncacheable);
        let grace = rules.filter(|c| c.fresh_for > 0.0).map(|c| c.fresh_for + c.grace);
        let min_created_at = if age > 0.0 { Some(age) } else { grace }.map_or(0.0, |limit| now - limit);
        let order = Order {
            attempt_id,
            request: client_request,
            class,
            node,
            source,
            rank,
            age,
            options,
            due,
            min_created_at,
            uncacheable,
            requeues: 0,
            cancelled,
            begin_by,
        };
        self.effects.push(Effect::Command(Command::Send(order)));
    }
}

/// Returns until when a further attempt may begin (Unix seconds), given which earlier attempts may have been
/// executed. The idempotency key's lifetime counts from the order of an attempt, which is no later than its
/// first byte.
fn retry_until(rules: Option<&crate::interface::Class>, attempts: &[Attempt]) -> f64 {
    use crate::interface::Effect;
    let may_have_run = attempts.iter().filter(|a| !a.never_ran);
    match rules.map(|c| (c.effect, c.key_ttl)) {
        Some((Effect::Keyed(_), ttl)) => may_have_run.map(|a| a.sent_at + ttl).fold(f64::INFINITY, f64::min),
        Some((Effect::Unsafe, _)) if may_have_run.count() > 0 => f64::NEG_INFINITY,
        _ => f64::INFINITY,
    }
}
