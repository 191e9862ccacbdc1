//! What is under way on one connection to a cache node, without the socket: orders that wait for their
//! write, requests that are out, and withdrawn ones whose answer may still come.

use super::{Buffer, Unreadable, lines};
use crate::broker::{Content, Order, Report, Ticket};
use crate::interface::{Note, Outcome};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;

/// Bytes that are encoded ahead of the socket. What waits beyond can still be taken back unsent.
const AHEAD: usize = 16 * 1024;
/// With so many withdrawn requests a connection is given no new ones.
const WITHDRAWN_MOST: usize = 512;
/// Calls that were answered here lately and are remembered, since a second copy of an answer may follow.
const ANSWERED: usize = 64;
/// A copy made so much later than now is none; clocks of a site differ by less (seconds).
const AHEAD_OF_TIME: f64 = 5.0;
/// How much older than asked for a copy may seem by another clock (seconds).
const CLOCKS: f64 = 0.05;
/// A request that heard nothing on its connection for so long speaks against the connection (seconds).
const SILENCE: f64 = 0.4;

struct Sent {
    ticket: Ticket,
    at: f64,
    /// Where on the connection its first byte stands.
    from: u64,
    /// A copy made before is too old (Unix seconds).
    oldest: f64,
    /// It runs anew each time, and what it gives is no copy.
    never_kept: bool,
    /// The client holds a copy, so that its tag alone may be answered.
    have: bool,
}

/// The state of one connection.
#[derive(Default)]
pub struct Exchange {
    waiting: VecDeque<Order>,
    out: FxHashMap<Box<str>, Sent>,
    withdrawn: FxHashSet<Box<str>>,
    answered: VecDeque<Box<str>>,
    /// Bytes encoded so far, for telling what was surely never written.
    encoded: u64,
    cancels: Vec<Box<str>>,
    last_read: f64,
    silent: bool,
}

impl Exchange {
    /// How many requests are waiting or out.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.out.len()
    }

    /// May a request of this name go here? Not to a connection that is silent, and not where an answer to
    /// an earlier attempt of the same name could be taken for the new one's.
    pub fn takes(&self, call: &str) -> bool {
        !self.silent
            && self.withdrawn.len() < WITHDRAWN_MOST
            && !self.out.contains_key(call)
            && !self.withdrawn.contains(call)
            && self.answered.iter().all(|a| &**a != call)
            && self.waiting.iter().all(|o| &*o.ask.call != call)
    }

    /// Is the connection of no more use once nothing is under way?
    pub fn worn(&self) -> bool {
        self.silent || self.withdrawn.len() >= WITHDRAWN_MOST
    }

    /// Queues an order.
    pub fn queue(&mut self, order: Order) {
        self.waiting.push_back(order);
    }

    /// Takes an attempt back; its end, if it is here. An order that still waits was never sent.
    pub fn recall(&mut self, now: f64, ticket: Ticket) -> Option<Report> {
        if let Some(at) = self.waiting.iter().position(|o| o.ticket == ticket) {
            self.waiting.remove(at);
            return Some(ended(ticket, Outcome::Moot));
        }
        let call = self.out.iter().find(|(_, s)| s.ticket == ticket).map(|(call, _)| call.clone())?;
        let sent = self.out.remove(&call)?;
        // Guards against a machine that has vanished: its connections stay open and say nothing, and the
        // next request must not go to one of them.
        self.silent |= now - self.last_read.max(sent.at) > SILENCE;
        self.withdrawn.insert(call.clone());
        self.cancels.push(call);
        Some(ended(ticket, Outcome::Cancelled))
    }

    /// Encodes what waits, as long as the socket keeps up. What is overdue is not sent any more.
    pub fn encode(&mut self, now: f64, out: &mut Buffer, mut report: impl FnMut(Report)) {
        let had = out.len();
        for call in self.cancels.drain(..) {
            lines::cancel(out, &call);
        }
        self.encoded += (out.len() - had) as u64;
        while out.len() < AHEAD
            && let Some(order) = self.waiting.pop_front()
        {
            let patience = ((order.due - now) * 1000.0) as u64;
            if now >= order.due || patience == 0 {
                report(ended(order.ticket, Outcome::Moot));
                continue;
            }
            let (from, had) = (self.encoded, out.len());
            lines::serve(out, &order, patience);
            self.encoded += (out.len() - had) as u64;
            report(Report::Written(order.ticket));
            let (oldest, never_kept, have) = (order.oldest, order.never_kept, order.ask.have.is_some());
            let sent = Sent { ticket: order.ticket, at: now, from, oldest, never_kept, have };
            self.out.insert(order.ask.call.clone(), sent);
        }
    }

    /// Takes whole answers off the head of the buffer. Only a whole one becomes `Ok`.
    pub fn decode(
        &mut self,
        now: f64,
        buffer: &mut Buffer,
        mut report: impl FnMut(Report),
    ) -> Result<(), Unreadable> {
        (self.last_read, self.silent) = (now, false);
        while let Some((answer, used)) = lines::parse(buffer.bytes())? {
            // Only what is out can be answered: a second copy, or an answer under an unknown id, is passed over.
            if let Some(sent) = self.out.get(answer.id) {
                let outcome = answer.outcome.ok_or(Unreadable("an answer with an unknown word"))?;
                if answer.valid && !sent.have {
                    return Err(Unreadable("a valid copy that nobody asked for"));
                }
                // A copy that cannot be told from others, or whose age is untold, is a spoilt one.
                let told = !answer.etag.is_empty() && answer.made.is_some();
                if outcome == Outcome::Ok && !told && (answer.valid || !sent.never_kept) {
                    return Err(Unreadable("a copy without its tag or time"));
                }
                let made = answer.made.map(|ms| ms as f64 / 1000.0);
                if made.is_some_and(|made| made > now + AHEAD_OF_TIME) {
                    return Err(Unreadable("a copy from the future"));
                }
                // What the node should not have served is not served on.
                let old = outcome == Outcome::Ok && made.is_some_and(|made| made < sent.oldest - CLOCKS);
                let outcome = if old { Outcome::Error } else { outcome };
                let Some((call, sent)) = self.out.remove_entry(answer.id) else { continue };
                if self.answered.len() >= ANSWERED {
                    self.answered.pop_front();
                }
                self.answered.push_back(call);
                let content = (outcome == Outcome::Ok).then(|| Content {
                    body: answer.body.to_vec(),
                    etag: answer.etag.into(),
                    current: answer.valid,
                });
                let (note, source_wait) = (answer.note, answer.source_wait);
                report(Report::Ended { ticket: sent.ticket, outcome, note, source_wait, content });
            }
            buffer.consume(used);
        }
        Ok(())
    }

    /// Gives up what was never sent.
    pub fn hand_back(&mut self) -> VecDeque<Order> {
        std::mem::take(&mut self.waiting)
    }

    /// The connection has ended after so many bytes were written. What was out may have run, but for that of
    /// which not a byte has left; what waited was never sent and is handed back.
    pub fn broken(&mut self, written: u64, mut report: impl FnMut(Report)) -> VecDeque<Order> {
        let end = |s: &Sent| if s.from >= written { Outcome::Moot } else { Outcome::Reset };
        self.out.drain().for_each(|(_, s)| report(ended(s.ticket, end(&s))));
        self.hand_back()
    }
}

/// An end without an answer.
pub fn ended(ticket: Ticket, outcome: Outcome) -> Report {
    Report::Ended { ticket, outcome, note: Note::None, source_wait: 0.0, content: None }
}
