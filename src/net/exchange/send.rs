//! Writing: cancels first, then one order at a time, of which the first byte that the socket takes decides whether it
//! was sent.

use super::{Exchange, ended_without_answer};
use crate::broker::{Order, Report};
use crate::interface::Outcome;
use crate::memory::{AccountOwner, Purpose};
use crate::net::{Buffer, lines};

/// An order that is encoded: until the socket has taken its first byte nothing was sent, and it can be taken back.
pub(super) struct PartialOrder {
    pub(super) order: Order,
    /// Where on the connection its first byte stands.
    pub(super) start: u64,
}

impl Exchange {
    /// Encodes the cancels that wait and, where the socket has taken all before, one order: the next that is still to be
    /// sent. No order goes behind a cancel that is not sent: it could not be sent before that either, and if the connection
    /// is reset for the cancel, it would count as one that may have run. What is overdue, called off, or whose client has
    /// left goes no further. What there is no memory for waits on, and can be taken back unsent. To be followed by a write
    /// and [`Exchange::written`].
    pub fn encode(&mut self, now: f64, out: &mut Buffer, mut report: impl FnMut(Report)) {
        self.encoded = self.cancels.encode(self.encoded, out);
        while out.is_empty()
            && !self.has_unsent_cancel()
            && let Some(order) = self.waiting.pop_front()
        {
            let patience_ms = ((order.due - now) * 1000.0) as u64;
            if patience_ms == 0 || !order.may_be_sent(now) {
                report(ended_without_answer(order.attempt_id, Outcome::NotSent));
                continue;
            }
            if !self.encode_order(&order, patience_ms, out) {
                return self.waiting.push_front(order);
            }
            self.writing = Some(PartialOrder { order, start: self.encoded });
            self.encoded += out.len() as u64;
        }
    }

    /// Encodes an order, if there is memory for it.
    fn encode_order(&self, order: &Order, patience_ms: u64, out: &mut Buffer) -> bool {
        let account = AccountOwner {
            purpose: Purpose::Bodies,
            team: order.request.team,
            may_use_reserve: order.uncacheable,
        };
        out.set_grant(|| self.memory.empty_grant(account));
        lines::write_serve(out, order, patience_ms)
    }

    /// The socket has taken what it would. The order whose first byte is among that is in flight, and one of which it took
    /// nothing waits again. Attempts whose cancel is sent have ended: `sent` tells how many bytes of the connection are,
    /// and is asked only where a cancel is among what was taken. Is there more to write, that the socket may take?
    pub fn written(
        &mut self,
        now: f64,
        out: &mut Buffer,
        sent: impl FnOnce() -> u64,
        mut report: impl FnMut(Report),
    ) -> bool {
        let cancels_sent = self.cancels.is_taken(out.taken()) && self.end_cancelled(sent(), &mut report);
        let order_written = self.settle_partial_order(now, out, &mut report);
        let has_more = self.has_waiting() || self.cancels.has_queued();
        (cancels_sent || order_written) && out.is_empty() && has_more
    }

    /// Ends the attempts whose cancel is among the first `sent` bytes; was there any?
    fn end_cancelled(&mut self, sent: u64, report: &mut impl FnMut(Report)) -> bool {
        let mut any = false;
        while let Some(attempt) = self.cancels.pop_sent(sent) {
            let (outcome, propagation) = (Outcome::Cancelled, self.propagation);
            report(Report::Abandoned { attempt_id: attempt.attempt_id, outcome, propagation });
            any = true;
        }
        any
    }

    /// Puts the order that was being written in flight or back in the queue; is it in flight?
    fn settle_partial_order(&mut self, now: f64, out: &mut Buffer, report: &mut impl FnMut(Report)) -> bool {
        self.write_blocked = false;
        let Some(PartialOrder { order, start }) = self.writing.take() else { return false };
        if out.taken() > start {
            report(Report::WriteStarted(order.attempt_id));
            self.in_flight.insert(&order, now);
            return true;
        }
        out.retract((self.encoded - start) as usize);
        self.encoded = start;
        self.waiting.push_front(order);
        self.write_blocked = true;
        false
    }
}
