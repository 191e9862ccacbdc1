//! The attempts of open requests: sent, taken back, ended, and whether another may follow.

use super::{Answer, AttemptId, Broker, Caller, ClientRequest, Command, Content, Effect, Order, timers};
use crate::interface::*;
use crate::membership::Membership;
use std::cell::Cell;
use std::rc::Rc;

pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) source: Option<NodeId>,
    pub(super) sent_at: f64,
    pub(super) written: bool,
    pub(super) out: bool,
    /// Its time ran out, so that its withdrawal is a time-out.
    pub(super) timed_out: bool,
    /// Taken back; its order sees that too.
    pub(super) cancelled: Rc<Cell<bool>>,
    /// Its end proves that it did not run.
    pub(super) never_ran: bool,
    /// It was given up on the wire: how it ends once that is surely known to its node.
    pub(super) abandoned: Option<Outcome>,
}

impl Attempt {
    /// Takes it back; not if that was done before.
    pub(super) fn call_off(&self) -> bool {
        !self.cancelled.replace(true)
    }
}

pub(super) struct Open {
    pub(super) caller: Caller,
    pub(super) request: Rc<ClientRequest>,
    /// When it is answered as its class aims for.
    pub(super) aim: f64,
    pub(super) attempts: Vec<Attempt>,
    /// The final answer is out, or none is owed.
    pub(super) done: bool,
}

impl Broker {
    /// Takes back unwritten attempts to a node, or with a source, that is not ready in the view (rule 3).
    pub(super) fn recall_unready(&mut self) {
        self.recall(|members, _, a| {
            let ready = |id| members.state(id) == Some(NodeState::Ready);
            !ready(a.node) || a.source.is_some_and(|s| !ready(s))
        });
    }

    /// Takes back unwritten attempts that `bears` names.
    pub(super) fn recall(&mut self, bears: impl Fn(&Membership, &ClientRequest, &Attempt) -> bool) {
        for (&request, open) in &mut self.open {
            for (i, a) in open.attempts.iter_mut().enumerate() {
                if a.out && !a.written && bears(&self.members, &open.request, a) && a.call_off() {
                    self.counters.recalled += 1;
                    let attempt_id = AttemptId { request, attempt: i as u16 };
                    self.effects.push(Effect::Command(Command::Cancel { attempt_id, node: a.node }));
                }
            }
        }
    }

    /// Marks a request as concluded, and cancels what is still out.
    pub(super) fn call_off(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.done = true;
        for (i, a) in open.attempts.iter().enumerate().filter(|(_, a)| a.out && a.call_off()) {
            let attempt_id = AttemptId { request: id, attempt: i as u16 };
            self.effects.push(Effect::Command(Command::Cancel { attempt_id, node: a.node }));
        }
    }

    /// An attempt was given up on the wire. Guards against two attempts out for one request: its node reads that on one
    /// connection and the next attempt on another, or another node reads the next one, and nothing orders the two but
    /// the time between them. Where there is no next attempt, nothing is waited for.
    pub(super) fn abandoned(&mut self, now: f64, attempt_id: AttemptId, outcome: Outcome, propagation: f64) {
        let classes = &self.director.settings().classes;
        let closes = self.closes;
        let again = self.open.get(&attempt_id.request).is_some_and(|o| {
            let rules = classes.get(usize::from(o.request.class.0));
            let until = o.request.deadline.min(closes).min(repeat_by(rules, &o.attempts));
            !o.done && !o.request.cancelled.get() && now < until
        });
        if again && let Some(a) = self.attempt(attempt_id).filter(|a| a.out) {
            a.abandoned = Some(outcome);
            let timer = timers::Timer::Propagated(attempt_id.request, attempt_id.attempt);
            return self.timers.set(now + propagation, timer);
        }
        self.ended(now, attempt_id, outcome, Note::None, 0.0, None);
    }

    /// An answer came that could not be held: the client hears at once, refused where its class lets a further try
    /// be harmless. Another node's answer would find no more room, so that none is asked, and this one is not blamed.
    pub(super) fn no_memory(&mut self, now: f64, attempt_id: AttemptId) {
        let Some(open) = self.open.get(&attempt_id.request).filter(|o| !o.done) else {
            return self.ended(now, attempt_id, Outcome::NotSent, Note::None, 0.0, None);
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
        if let Some(a) = self.attempt(attempt_id) {
            a.call_off();
        }
        self.answer(now, attempt_id.request, answer);
        self.ended(now, attempt_id, Outcome::NotSent, Note::None, 0.0, None);
    }

    pub(super) fn attempt(&mut self, attempt_id: AttemptId) -> Option<&mut Attempt> {
        self.open.get_mut(&attempt_id.request)?.attempts.get_mut(usize::from(attempt_id.attempt))
    }

    pub(super) fn ended(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        outcome: Outcome,
        note: Note,
        source_wait: f64,
        content: Option<Content>,
    ) {
        let Some(a) = self.attempt(attempt_id).filter(|a| a.out) else { return };
        a.out = false;
        a.never_ran = outcome.never_ran();
        let outcome = match outcome {
            Outcome::Cancelled if a.timed_out => Outcome::TimedOut,
            other => other,
        };
        let (node, took) = (a.node, (now - a.sent_at).max(0.0));
        self.counters.ended(outcome, note);
        if self.open.get(&attempt_id.request).is_some_and(|o| o.request.cancelled.get()) {
            self.leave(now, attempt_id.request);
        }
        if let Some(content) = content.filter(|_| outcome == Outcome::Ok) {
            self.answer(now, attempt_id.request, Answer::Served(content));
        }
        let done = self.open.get(&attempt_id.request).is_none_or(|o| o.done);
        self.feed(
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
        self.forget(attempt_id.request);
    }

    /// Whether its node has heard or not, an attempt that was given up on the wire has ended now.
    pub(super) fn propagated(&mut self, now: f64, attempt_id: AttemptId) {
        if let Some(outcome) = self.attempt(attempt_id).and_then(|a| a.abandoned.take()) {
            self.ended(now, attempt_id, outcome, Note::None, 0.0, None);
        }
    }

    /// Orders the attempt that a fetch asks for, or ends it at once where it may not go out.
    pub(super) fn send(&mut self, now: f64, fetch: Action) {
        let Action::Fetch { request, node, within, source, rank, age, options } = fetch else { return };
        let source = Some(source).filter(|s| *s != node);
        let Some(open) = self.open.get_mut(&request) else { return };
        let rules = self.director.settings().classes.get(usize::from(open.request.class.0));
        let attempt_id = AttemptId { request, attempt: open.attempts.len() as u16 };
        let last = open.request.deadline.min(self.closes);
        let due = if within > 0.0 { (now + within).min(last) } else { last };
        let begin_by = repeat_by(rules, &open.attempts);
        let cancelled = Rc::new(Cell::new(false));
        // Never two attempts out for one request, none for one that is over, none to a node that drains, none that its
        // class does not permit any more.
        let ready = |id: &NodeId| self.members.state(*id) == Some(NodeState::Ready);
        let gone = open.request.cancelled.get();
        let may = !open.done
            && open.attempts.iter().all(|a| !a.out)
            && !gone
            && now < due.min(begin_by)
            && ready(&node)
            && source.as_ref().is_none_or(ready);
        open.attempts.push(Attempt {
            node,
            source,
            sent_at: now,
            written: false,
            out: may,
            timed_out: false,
            cancelled: cancelled.clone(),
            never_ran: false,
            abandoned: None,
        });
        if !may {
            if gone {
                self.leave(now, request);
            }
            let done = self.open.get(&request).is_none_or(|o| o.done);
            self.counters.ended(Outcome::NotSent, Note::None);
            return self.queue.push_back(Event::AttemptEnd {
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
        let ask = open.request.clone();
        if due < ask.deadline {
            self.timers.set(due, timers::Timer::Deadline(request));
        }
        // With a limit on age only what is younger will do; else what the class's grace lets pass.
        let uncacheable = rules.is_some_and(|c| c.uncacheable);
        let grace = rules.filter(|c| c.fresh_for > 0.0).map(|c| c.fresh_for + c.grace);
        let oldest = if age > 0.0 { Some(age) } else { grace }.map_or(0.0, |limit| now - limit);
        let order = Order {
            attempt_id,
            request: ask,
            class,
            node,
            source,
            rank,
            age,
            options,
            due,
            min_created_at: oldest,
            uncacheable,
            requeues: 0,
            cancelled,
            begin_by,
        };
        self.effects.push(Effect::Command(Command::Send(order)));
    }
}

/// Until when a request may be sent once more, given what its earlier attempts may have done. An attempt's time here is
/// that of its order, which is no later than its first byte.
fn repeat_by(rules: Option<&crate::interface::Class>, attempts: &[Attempt]) -> f64 {
    use crate::interface::Effect;
    let ran = attempts.iter().filter(|a| !a.never_ran);
    match rules.map(|c| (c.effect, c.key_ttl)) {
        Some((Effect::Keyed(_), ttl)) => ran.map(|a| a.sent_at + ttl).fold(f64::INFINITY, f64::min),
        Some((Effect::Unsafe, _)) if ran.count() > 0 => f64::NEG_INFINITY,
        _ => f64::INFINITY,
    }
}
