//! The protocol state of one connection to a cache node, without the socket: orders that wait for their write,
//! requests in flight, and cancelled ones whose answer may still come.

mod cancellation;
mod in_flight;
mod incoming;
mod receive;
mod send;

use crate::broker::{AttemptId, Order, Report};
use crate::interface::{Note, Outcome};
use crate::memory::Ledger;
use cancellation::{CancelQueue, CancelledAttempt};
use in_flight::InFlightTable;
use incoming::IncomingAnswer;
use send::PartialOrder;
use std::collections::VecDeque;

/// What is given up on the wire has surely been read at the other end once as much time has passed as the connection
/// took to come up, which is a round trip and more; this is the least that is waited.
const MIN_PROPAGATION_SECONDS: f64 = 0.005;
/// The most that is waited for the other end to read what was given up.
const MAX_PROPAGATION_SECONDS: f64 = 0.02;
/// A request that heard nothing on its connection for so long speaks against the connection.
const SILENCE_TIMEOUT_SECONDS: f64 = 0.4;

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
    NeedsBytes,
    /// The next answer is announced, and there is no memory for it. Nothing of it is read until there is, or it
    /// is discarded.
    NeedsMemory,
}

/// The state of one connection.
pub struct Exchange {
    memory: Ledger,
    /// Orders of which nothing is encoded.
    waiting: VecDeque<Order>,
    /// The order that is being written.
    writing: Option<PartialOrder>,
    /// The socket took nothing of the next order.
    write_blocked: bool,
    /// Bytes encoded so far.
    encoded: u64,
    /// Requests that were written and are neither answered nor cancelled.
    in_flight: InFlightTable,
    /// Attempts that are taken back, and in flight until the node can know of it.
    cancels: CancelQueue,
    /// The answer at the head of the input.
    incoming: IncomingAnswer,
    /// When the node was last heard (Unix seconds).
    last_read: f64,
    /// A cancelled request heard nothing for too long, and nothing has come since.
    silent: bool,
    /// What is given up has been read at the other end after this (seconds).
    propagation: f64,
}

impl Exchange {
    /// A connection on which nothing is under way; what comes and goes on it is held by these accounts.
    pub fn new(memory: Ledger) -> Self {
        Exchange {
            waiting: VecDeque::new(),
            writing: None,
            write_blocked: false,
            encoded: 0,
            in_flight: InFlightTable::default(),
            cancels: CancelQueue::default(),
            incoming: IncomingAnswer::new(memory.clone()),
            last_read: 0.0,
            silent: false,
            propagation: MIN_PROPAGATION_SECONDS,
            memory,
        }
    }

    /// The connection was established, which took so long (seconds).
    pub fn established(&mut self, connect_time: f64) {
        self.propagation = connect_time.clamp(MIN_PROPAGATION_SECONDS, MAX_PROPAGATION_SECONDS);
    }

    /// Does an order wait for its write?
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Does an order wait for the socket?
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked && self.has_waiting()
    }

    /// How many requests are waiting or in flight.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.in_flight.len() + self.cancels.len()
    }

    /// May a request of this name go here? Not to a connection that is silent or in the middle of bytes that are
    /// nobody's, and not where an answer to an earlier attempt of the same name could be taken for the new one's.
    pub fn accepts(&self, call: &str) -> bool {
        !self.silent
            && !self.incoming.is_unowned()
            && self.in_flight.accepts(call)
            && self.waiting.iter().all(|order| &*order.request.call != call)
    }

    /// Is the connection of no more use once nothing is under way?
    pub fn closes_when_idle(&self) -> bool {
        self.silent || self.in_flight.is_exhausted()
    }

    /// Queues an order.
    pub fn queue(&mut self, order: Order) {
        self.waiting.push_back(order);
    }

    /// Cancels an attempt. An order that still waits was never sent, and that is its end; one in flight ends once its
    /// cancel is sent ([`Exchange::written`]). Guards against two attempts in flight for one request where the socket
    /// takes nothing more, or the system sends nothing more of it.
    pub fn cancel(&mut self, now: f64, attempt_id: AttemptId) -> Option<Report> {
        if let Some(at) = self.waiting.iter().position(|order| order.attempt_id == attempt_id) {
            self.waiting.remove(at);
            return Some(ended_without_answer(attempt_id, Outcome::NotSent));
        }
        let (call, request) = self.in_flight.withdraw(attempt_id)?;
        // Guards against a machine that has vanished: its connections stay open and say nothing, and the
        // next request must not go to one of them.
        self.silent |= now - self.last_read.max(request.written_at) > SILENCE_TIMEOUT_SECONDS;
        self.cancels.push(call, CancelledAttempt { attempt_id, since: now });
        None
    }

    /// Is a cancel encoded that is not known to be sent? Orders wait behind it.
    pub fn has_unsent_cancel(&self) -> bool {
        self.cancels.has_encoded()
    }

    /// Since when the oldest cancel waits to be sent.
    pub fn oldest_cancel_since(&self) -> Option<f64> {
        self.cancels.oldest_since()
    }

    /// Gives up what was never sent.
    pub fn hand_back(&mut self) -> VecDeque<Order> {
        std::mem::take(&mut self.waiting)
    }

    /// The connection has ended after so many bytes were written, by this side or by the other. What was in flight may
    /// have run; what waited, and that of which not a byte has left, was never sent and is handed back.
    pub fn close(&mut self, by: EndedBy, written: u64, mut report: impl FnMut(Report)) -> VecDeque<Order> {
        let propagation = self.propagation;
        // A connection's end gives up all that was in flight on it, as soon as both sides know.
        let mut end = |attempt_id, outcome| match by {
            EndedBy::Node => report(ended_without_answer(attempt_id, outcome)),
            EndedBy::Front => report(Report::Abandoned { attempt_id, outcome, propagation }),
        };
        for attempt in self.cancels.drain() {
            end(attempt.attempt_id, Outcome::Cancelled);
        }
        for attempt_id in self.in_flight.drain() {
            end(attempt_id, Outcome::Reset);
        }
        match self.writing.take() {
            Some(partial) if written <= partial.start => self.waiting.push_front(partial.order),
            Some(partial) => end(partial.order.attempt_id, Outcome::Reset),
            None => {}
        }
        self.hand_back()
    }
}

/// An end without an answer.
pub fn ended_without_answer(attempt_id: AttemptId, outcome: Outcome) -> Report {
    Report::AttemptEnded { attempt_id, outcome, note: Note::None, source_wait: 0.0, content: None }
}
