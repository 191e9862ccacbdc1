//! The protocol state of one connection to a cache node, without the socket: queued orders, requests in
//! flight, and cancelled requests whose answer may still arrive.

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
use send::EncodedOrder;
use std::collections::VecDeque;

/// Lower bound on the propagation time. A cancel or a close counts as read by the node once as much time has
/// passed as the connection took to establish, which is at least a round trip.
const MIN_PROPAGATION_SECONDS: f64 = 0.005;
/// Upper bound on the propagation time.
const MAX_PROPAGATION_SECONDS: f64 = 0.02;
/// A connection is unresponsive if nothing was read on it for so long before a request in flight was
/// cancelled.
const SILENCE_TIMEOUT_SECONDS: f64 = 0.4;

/// Which side closed a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClosedBy {
    /// This front, which the node may not have noticed yet.
    Front,
    /// The node, or the network.
    Node,
}

/// Why decoding stopped.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// More bytes are needed.
    NeedsBytes,
    /// There is no memory for the next answer. Its content is not read until there is, unless the answer is
    /// discarded.
    NeedsMemory,
}

/// The protocol state of one connection.
pub struct Exchange {
    memory: Ledger,
    /// Orders that are not encoded.
    queued: VecDeque<Order>,
    /// The order that is encoded and of which nothing is known to be written.
    encoded_order: Option<EncodedOrder>,
    /// The socket accepted nothing of the next order.
    write_blocked: bool,
    /// Number of bytes encoded since the connection was opened.
    encoded_bytes: u64,
    /// Requests that were written and are neither answered nor cancelled.
    in_flight: InFlightTable,
    /// Cancelled attempts, which are in flight until their cancel is sent.
    cancels: CancelQueue,
    /// The answer at the head of the input.
    incoming: IncomingAnswer,
    /// When bytes were last read from the node (Unix seconds).
    last_read: f64,
    /// A request was cancelled after [`SILENCE_TIMEOUT_SECONDS`] without input, and nothing was read since.
    unresponsive: bool,
    /// Time after which the node has read a cancel or noticed a close (seconds).
    propagation: f64,
}

impl Exchange {
    /// Creates the state of a new connection, whose memory is charged to this ledger.
    pub fn new(memory: Ledger) -> Self {
        Exchange {
            queued: VecDeque::new(),
            encoded_order: None,
            write_blocked: false,
            encoded_bytes: 0,
            in_flight: InFlightTable::default(),
            cancels: CancelQueue::default(),
            incoming: IncomingAnswer::new(memory.clone()),
            last_read: 0.0,
            unresponsive: false,
            propagation: MIN_PROPAGATION_SECONDS,
            memory,
        }
    }

    /// Sets the time that the connection took to establish (seconds).
    pub fn set_connect_time(&mut self, connect_time: f64) {
        self.propagation = connect_time.clamp(MIN_PROPAGATION_SECONDS, MAX_PROPAGATION_SECONDS);
    }

    /// Returns whether orders are queued.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns whether an order waits for the socket.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked && self.has_queued()
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn load(&self) -> usize {
        self.queued.len() + self.in_flight.len() + self.cancels.len()
    }

    /// Returns whether a request with this call id may be sent here. It may not if the connection is
    /// unresponsive or in the middle of an answer that no request waits for, or if a late answer to an
    /// earlier attempt with the same call id could be mistaken for an answer to the new one.
    pub fn accepts(&self, call: &str) -> bool {
        !self.unresponsive
            && !self.incoming.is_unowned()
            && self.in_flight.accepts(call)
            && self.queued.iter().all(|order| &*order.request.call != call)
    }

    /// Returns whether the connection is to be closed once no request is in flight.
    pub fn closes_when_idle(&self) -> bool {
        self.unresponsive || self.in_flight.is_exhausted()
    }

    /// Queues an order.
    pub fn queue(&mut self, order: Order) {
        self.queued.push_back(order);
    }

    /// Cancels an attempt. A queued order was never sent, and its end is returned. An attempt in flight ends
    /// once its cancel is sent ([`Exchange::process_write`]): if the socket or the kernel is blocked, the
    /// request must not get a second attempt in flight.
    pub fn cancel(&mut self, now: f64, attempt_id: AttemptId) -> Option<Report> {
        if let Some(at) = self.queued.iter().position(|order| order.attempt_id == attempt_id) {
            self.queued.remove(at);
            return Some(ended_without_answer(attempt_id, Outcome::NotSent));
        }
        let (call, request) = self.in_flight.withdraw(attempt_id)?;
        // The connections of a machine that has vanished stay open without input; the next request must not
        // use them.
        self.unresponsive |= now - self.last_read.max(request.written_at) > SILENCE_TIMEOUT_SECONDS;
        self.cancels.push(call, CancelledAttempt { attempt_id, since: now });
        None
    }

    /// Returns whether a cancel is encoded and not known to be sent. Orders wait behind it.
    pub fn has_unsent_cancel(&self) -> bool {
        self.cancels.has_encoded()
    }

    /// Returns since when the oldest unsent cancel waits (Unix seconds).
    pub fn oldest_cancel_since(&self) -> Option<f64> {
        self.cancels.oldest_since()
    }

    /// Removes and returns the orders that were never sent.
    pub fn take_unsent(&mut self) -> VecDeque<Order> {
        std::mem::take(&mut self.queued)
    }

    /// Closes the connection after `written` bytes were written. Attempts in flight may have run, and are
    /// reported. Orders of which no byte was written were never sent, and are returned.
    pub fn close(&mut self, by: ClosedBy, written: u64, mut report: impl FnMut(Report)) -> VecDeque<Order> {
        let propagation = self.propagation;
        // The attempts in flight have ended once both sides know of the close.
        let mut end = |attempt_id, outcome| match by {
            ClosedBy::Node => report(ended_without_answer(attempt_id, outcome)),
            ClosedBy::Front => report(Report::Abandoned { attempt_id, outcome, propagation }),
        };
        for attempt in self.cancels.drain() {
            end(attempt.attempt_id, Outcome::Cancelled);
        }
        for attempt_id in self.in_flight.drain() {
            end(attempt_id, Outcome::Reset);
        }
        match self.encoded_order.take() {
            Some(encoded) if written <= encoded.start => self.queued.push_front(encoded.order),
            Some(encoded) => end(encoded.order.attempt_id, Outcome::Reset),
            None => {}
        }
        self.take_unsent()
    }
}

/// Returns the report of an attempt that ended without an answer.
pub fn ended_without_answer(attempt_id: AttemptId, outcome: Outcome) -> Report {
    Report::AttemptEnded { attempt_id, outcome, note: Note::None, source_wait: 0.0, content: None }
}
