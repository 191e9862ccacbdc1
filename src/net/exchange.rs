//! What is under way on one connection to a cache node, without the socket: orders that wait for their
//! write, requests that are out, and withdrawn ones whose answer may still come.

use super::{Buffer, Unreadable, lines};
use crate::broker::{Content, Order, Report, Ticket};
use crate::interface::{Note, Outcome};
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// With so many withdrawn requests a connection is given no new ones.
const WITHDRAWN_MOST: usize = 512;
/// An answer without content is waited for whole up to this length (bytes); of a longer one only the line is read.
const TOLD: usize = 4096;
/// A client that has left so much unread is given no more (bytes).
const UNREAD: usize = 512 * 1024;
/// Calls that were answered here lately and are remembered, since a second copy of an answer may follow.
const ANSWERED: usize = 64;
/// A copy made so much later than now is none; clocks of a site differ by less (seconds).
const AHEAD_OF_TIME: f64 = 5.0;
/// How much older than asked for a copy may seem by another clock (seconds).
const CLOCKS: f64 = 0.05;
/// What is given up on the wire has surely been read at the other end once as much time has passed as the connection took
/// to come up, which is a round trip and more; not less than the first of these, nor more than the second (seconds).
const SETTLES: (f64, f64) = (0.005, 0.02);
/// A request that heard nothing on its connection for so long speaks against the connection (seconds).
const SILENCE: f64 = 0.4;

struct Sent {
    ticket: Ticket,
    at: f64,
    /// A copy made before is too old (Unix seconds).
    oldest: f64,
    /// It runs anew each time, and what it gives is no copy.
    never_kept: bool,
    /// The client holds a copy, so that its tag alone may be answered.
    have: bool,
    /// Whose request it is, for the accounts, and what its client has left unread.
    team: Option<u16>,
    reader: Option<Rc<Cell<usize>>>,
}

/// An attempt that was taken back, and when.
#[derive(Clone, Copy)]
struct Leaving {
    ticket: Ticket,
    since: f64,
}

impl Sent {
    fn holder(&self, purpose: Purpose) -> AccountOwner {
        AccountOwner { purpose, team: self.team, precious: self.never_kept }
    }
}

/// Who ended a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndedBy {
    /// This front: the node has yet to hear of it.
    Front,
    /// The node, or what lies between.
    Node,
}

/// How far the reading of answers has come.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// More bytes are needed.
    Wants,
    /// The next answer is announced, and there is no memory for it. Nothing of it is read until there is, or it
    /// is given up.
    Held,
}

/// The state of one connection.
pub struct Exchange {
    memory: Ledger,
    waiting: VecDeque<Order>,
    /// The order that is being written, with where on the connection its first byte stands: until the socket has taken
    /// that byte nothing was sent, and it can be taken back.
    writing: Option<(Order, u64)>,
    out: FxHashMap<Box<str>, Sent>,
    withdrawn: FxHashSet<Box<str>>,
    answered: VecDeque<Box<str>>,
    /// Bytes encoded so far.
    encoded: u64,
    /// Attempts that are taken back: those whose cancel is to be encoded, and those whose cancel is, with where on the
    /// connection it ends. They are out until the node can know of it.
    cancels: VecDeque<(Box<str>, Leaving)>,
    leaving: VecDeque<(u64, Leaving)>,
    last_read: f64,
    silent: bool,
    /// Memory for the answer that is under way, granted before its bytes are read.
    coming: Option<Grant>,
    /// Bytes that nobody waits for are passed over; behind them the end of their line is due.
    passing: bool,
    /// The socket took nothing of the next order.
    stuck: bool,
    /// Part of something is here that belongs to nobody, or of which that cannot be told yet.
    astray: bool,
    /// What is given up has been read at the other end after this (seconds).
    settles: f64,
}

impl Exchange {
    /// A connection on which nothing is under way; what comes and goes on it is held by these accounts.
    pub fn new(memory: Ledger) -> Self {
        Exchange {
            memory,
            waiting: VecDeque::new(),
            writing: None,
            out: FxHashMap::default(),
            withdrawn: FxHashSet::default(),
            answered: VecDeque::new(),
            encoded: 0,
            cancels: VecDeque::new(),
            leaving: VecDeque::new(),
            last_read: 0.0,
            silent: false,
            coming: None,
            passing: false,
            stuck: false,
            astray: false,
            settles: SETTLES.0,
        }
    }

    /// The connection has come up, which took so long (seconds).
    pub fn came_up(&mut self, took: f64) {
        self.settles = took.clamp(SETTLES.0, SETTLES.1);
    }

    /// Does an order wait for its write?
    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Does it wait for the socket?
    pub fn stuck(&self) -> bool {
        self.stuck && self.waits()
    }

    /// How many requests are waiting or out.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.out.len() + self.cancels.len() + self.leaving.len()
    }

    /// May a request of this name go here? Not to a connection that is silent or in the middle of bytes that are
    /// nobody's, and not where an answer to an earlier attempt of the same name could be taken for the new one's.
    pub fn takes(&self, call: &str) -> bool {
        !self.silent
            && !self.astray
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

    /// Takes an attempt back. An order that still waits was never sent, and that is its end; one that is out ends once
    /// its cancel is written ([`Exchange::left`]). Guards against two attempts out for one request where the socket
    /// takes nothing more.
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
        self.cancels.push_back((call, Leaving { ticket, since: now }));
        None
    }

    /// Since when the oldest cancel waits to be written.
    pub fn leaving_since(&self) -> Option<f64> {
        let first = self.leaving.front().map(|l| l.1).or(self.cancels.front().map(|c| c.1));
        first.map(|l| l.since)
    }

    /// Encodes the cancels that wait and, where the socket has taken all before, one order: the next that is still to be
    /// sent. What is overdue, called off, or whose client has left goes no further. What there is no memory for waits on,
    /// and can be taken back unsent. To be followed by a write and [`Exchange::written`].
    pub fn encode(&mut self, now: f64, out: &mut Buffer, mut report: impl FnMut(Report)) {
        while let Some((call, gone)) = self.cancels.pop_front() {
            let had = out.len();
            if !lines::cancel(out, &call) {
                self.cancels.push_front((call, gone));
                break;
            }
            self.encoded += (out.len() - had) as u64;
            self.leaving.push_back((self.encoded, gone));
        }
        while out.is_empty()
            && let Some(order) = self.waiting.pop_front()
        {
            let patience = ((order.due - now) * 1000.0) as u64;
            if patience == 0 || !order.goes(now) {
                report(ended(order.ticket, Outcome::Moot));
                continue;
            }
            let holder =
                AccountOwner { purpose: Purpose::Bodies, team: order.ask.team, precious: order.never_kept };
            out.set_room(|| self.memory.empty(holder));
            if !lines::serve(out, &order, patience) {
                return self.waiting.push_front(order);
            }
            self.writing = Some((order, self.encoded));
            self.encoded += out.len() as u64;
        }
    }

    /// The socket has taken what it would. Attempts whose cancel is among that have ended; the order whose first byte is
    /// among it is out, and one of which it took nothing waits again. Is there more to write, that it may take?
    pub fn written(&mut self, now: f64, out: &mut Buffer, mut report: impl FnMut(Report)) -> bool {
        let mut went = false;
        while let Some((_, gone)) = self.leaving.pop_front_if(|(end, _)| *end <= out.taken()) {
            report(Report::Left { ticket: gone.ticket, outcome: Outcome::Cancelled, settles: self.settles });
            went = true;
        }
        self.stuck = false;
        if let Some((order, from)) = self.writing.take() {
            if out.taken() > from {
                report(Report::Written(order.ticket));
                let (oldest, never_kept, have) = (order.oldest, order.never_kept, order.ask.have.is_some());
                let (ticket, team, reader) = (order.ticket, order.ask.team, order.ask.reader.clone());
                let sent = Sent { ticket, at: now, oldest, never_kept, have, team, reader };
                self.out.insert(order.ask.call.clone(), sent);
                went = true;
            } else {
                out.retract((self.encoded - from) as usize);
                self.encoded = from;
                self.waiting.push_front(order);
                self.stuck = true;
            }
        }
        went && out.is_empty() && (self.waits() || !self.cancels.is_empty())
    }

    /// Takes whole answers off the head of the buffer. Only a whole one becomes `Ok`, and only what somebody
    /// waits for is held at all: its stated length is granted before its bytes are read.
    pub fn decode(
        &mut self,
        now: f64,
        buffer: &mut Buffer,
        mut report: impl FnMut(Report),
    ) -> Result<Progress, Unreadable> {
        (self.last_read, self.silent) = (now, false);
        loop {
            if self.passing {
                if buffer.skipping() > 0 || buffer.len() < 2 {
                    return Ok(Progress::Wants);
                }
                if !buffer.bytes().starts_with(b"\r\n") {
                    return Err(Unreadable("bytes that do not end where they should"));
                }
                buffer.consume(2);
                self.passing = false;
            }
            let Some(head) = lines::head(buffer.bytes())? else { return Ok(Progress::Wants) };
            let (line, length, total) = (head.line, head.length, head.total());
            // Only what is out can be answered: a second copy, or an answer under an unknown id, is passed over.
            let Some(sent) = self.out.get(head.answer.id) else {
                self.coming = None;
                self.pass(buffer, line, length);
                continue;
            };
            let outcome = head.answer.outcome.ok_or(Unreadable("an answer with an unknown word"))?;
            if head.answer.valid && !sent.have {
                return Err(Unreadable("a valid copy that nobody asked for"));
            }
            // A copy that cannot be told from others, or whose age is untold, is a spoilt one.
            let told = !head.answer.etag.is_empty() && head.answer.made.is_some();
            if outcome == Outcome::Ok && !told && (head.answer.valid || !sent.never_kept) {
                return Err(Unreadable("a copy without its tag or time"));
            }
            let made = head.answer.made.map(|ms| ms as f64 / 1000.0);
            if made.is_some_and(|made| made > now + AHEAD_OF_TIME) {
                return Err(Unreadable("a copy from the future"));
            }
            // What the node should not have served is not served on.
            let old = outcome == Outcome::Ok && made.is_some_and(|made| made < sent.oldest - CLOCKS);
            let outcome = if old { Outcome::Error } else { outcome };
            // Content is held from here until the client has it; anything else is only told.
            let content = length.filter(|&n| n > 0 && outcome == Outcome::Ok);
            if let Some(length) = content
                && self.coming.is_none()
            {
                // A client that does not read what it has is given no more; that holds up nobody else.
                let reads = |r: &Rc<Cell<usize>>| r.get() <= UNREAD && self.memory.may_read(r.get());
                if !sent.never_kept && !sent.reader.as_ref().is_none_or(reads) {
                    self.give_up(buffer, &mut report);
                    continue;
                }
                let Ok(grant) = self.memory.ask(sent.holder(Purpose::Unread), line + length) else {
                    return Ok(Progress::Held);
                };
                let partial = sent.holder(Purpose::Partial);
                let reader = sent.reader.clone();
                self.coming = Some(match reader {
                    Some(reader) => grant.counted_in(reader),
                    None => grant,
                });
                if total > buffer.len() {
                    buffer.set_room(|| self.memory.empty(partial));
                    if buffer.reserve(total - buffer.len()).is_err() {
                        self.coming = None;
                        return Ok(Progress::Held);
                    }
                    return Ok(Progress::Wants);
                }
            }
            let held = content.is_some() || total <= TOLD;
            if held && buffer.len() < total {
                return Ok(Progress::Wants);
            }
            if held && length.is_some() && &buffer.bytes()[total - 2..total] != b"\r\n" {
                return Err(Unreadable("bytes that do not end where they should"));
            }
            let body = content.map_or_else(Vec::new, |length| buffer.bytes()[line..line + length].to_vec());
            let answer = head.answer;
            let (note, source_wait, current) = (answer.note, answer.source_wait, answer.valid);
            let grant = self.coming.take().unwrap_or_default();
            let content =
                (outcome == Outcome::Ok).then(|| Content { body, etag: answer.etag.into(), current, grant });
            let Some((call, sent)) = self.out.remove_entry(answer.id) else { continue };
            self.remember(call);
            match held {
                true => buffer.consume(total),
                false => self.pass(buffer, line, length),
            }
            report(Report::Ended { ticket: sent.ticket, outcome, note, source_wait, content });
        }
    }

    /// Whose answer is at the head of the buffer, if anybody waits for it.
    pub fn at_head(&self, buffer: &Buffer) -> Option<Ticket> {
        let head = lines::head(buffer.bytes()).ok().flatten()?;
        self.out.get(head.answer.id).map(|sent| sent.ticket)
    }

    /// There was no memory for the answer at the head of the buffer, for too long: it is passed over, and its
    /// request hears that at once. What else is out here, and is still to come behind it, is not touched.
    pub fn give_up(&mut self, buffer: &mut Buffer, report: &mut impl FnMut(Report)) {
        let Ok(Some(head)) = lines::head(buffer.bytes()) else { return };
        let (line, length) = (head.line, head.length);
        if let Some((call, sent)) = self.out.remove_entry(head.answer.id) {
            self.remember(call);
            report(Report::NoMemory(sent.ticket));
        }
        self.coming = None;
        self.pass(buffer, line, length);
    }

    /// Is an answer here in part? Where it is nobody's, as far as can be told, nothing new goes to this connection until
    /// the rest of it has come.
    pub fn midway(&mut self, buffer: &Buffer) -> bool {
        let midway = self.passing || !buffer.is_empty();
        self.astray = midway && self.coming.is_none();
        midway
    }

    /// Takes an answer's line off the buffer, and what follows it as it comes.
    fn pass(&mut self, buffer: &mut Buffer, line: usize, length: Option<usize>) {
        buffer.consume(line);
        if let Some(length) = length {
            buffer.skip(length);
            self.passing = true;
        }
    }

    /// A second copy of an answer may follow under this name.
    fn remember(&mut self, call: Box<str>) {
        if self.answered.len() >= ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(call);
    }

    /// Gives up what was never sent.
    pub fn hand_back(&mut self) -> VecDeque<Order> {
        std::mem::take(&mut self.waiting)
    }

    /// The connection has ended after so many bytes were written, by this side or by the other. What was out may have run;
    /// what waited, and that of which not a byte has left, was never sent and is handed back.
    pub fn broken(&mut self, by: EndedBy, written: u64, mut report: impl FnMut(Report)) -> VecDeque<Order> {
        let settles = self.settles;
        // A connection's end gives up all that was out on it, as soon as both sides know.
        let mut over = |ticket, outcome| match by {
            EndedBy::Node => report(ended(ticket, outcome)),
            EndedBy::Front => report(Report::Left { ticket, outcome, settles }),
        };
        let gone = self.leaving.drain(..).map(|l| l.1).chain(self.cancels.drain(..).map(|c| c.1));
        gone.for_each(|l| over(l.ticket, Outcome::Cancelled));
        self.out.drain().for_each(|(_, s)| over(s.ticket, Outcome::Reset));
        match self.writing.take() {
            Some((order, from)) if written <= from => self.waiting.push_front(order),
            Some((order, _)) => over(order.ticket, Outcome::Reset),
            None => {}
        }
        self.hand_back()
    }
}

/// An end without an answer.
pub fn ended(ticket: Ticket, outcome: Outcome) -> Report {
    Report::Ended { ticket, outcome, note: Note::None, source_wait: 0.0, content: None }
}
