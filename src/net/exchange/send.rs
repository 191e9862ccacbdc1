//! Encoding and writing: cancels first, then one order at a time. An order counts as sent once the socket
//! accepts its first byte.

use super::{Exchange, ended_without_answer};
use crate::broker::{Order, Report};
use crate::interface::Outcome;
use crate::memory::{AccountOwner, Purpose};
use crate::net::{Buffer, lines};

/// An encoded order. Until the socket accepts its first byte it counts as unsent, and its bytes can be
/// retracted.
pub(super) struct EncodedOrder {
    pub(super) order: Order,
    /// Position of its first byte in the bytes of the connection.
    pub(super) start: u64,
}

impl Exchange {
    /// Encodes the queued cancels and, once all previous bytes are written, the next order that may still be
    /// sent. No order is encoded behind an unsent cancel: it could not be sent earlier, and if the connection
    /// is reset because of that cancel, the order would count as one that may have run. Orders that are
    /// overdue, cancelled, or whose client has left are dropped and reported. An order without memory stays
    /// queued. A write and [`Exchange::process_write`] must follow.
    pub fn encode(&mut self, now: f64, out: &mut Buffer, mut report: impl FnMut(Report)) {
        self.encoded_bytes = self.cancels.encode(self.encoded_bytes, out);
        while out.is_empty()
            && !self.has_unsent_cancel()
            && let Some(order) = self.queued.pop_front()
        {
            let patience_ms = ((order.due - now) * 1000.0) as u64;
            if patience_ms == 0 || !order.may_be_sent(now) {
                report(ended_without_answer(order.attempt_id, Outcome::NotSent));
                continue;
            }
            if !self.encode_order(&order, patience_ms, out) {
                return self.queued.push_front(order);
            }
            self.encoded_order = Some(EncodedOrder { order, start: self.encoded_bytes });
            self.encoded_bytes += out.len() as u64;
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

    /// Processes a write to the socket. An order whose first byte was written is in flight; one of which
    /// nothing was written is queued again. Attempts whose cancel is sent have ended: `sent` returns how many
    /// bytes of the connection are sent, and is called only if a cancel is among the written bytes. Returns
    /// whether there is more to write and the socket may accept it.
    pub fn process_write(
        &mut self,
        now: f64,
        out: &mut Buffer,
        sent: impl FnOnce() -> u64,
        mut report: impl FnMut(Report),
    ) -> bool {
        let cancels_sent =
            self.cancels.has_written(out.consumed()) && self.report_sent_cancels(sent(), &mut report);
        let order_written = self.settle_encoded_order(now, out, &mut report);
        let has_more = self.has_queued() || self.cancels.has_queued();
        (cancels_sent || order_written) && out.is_empty() && has_more
    }

    /// Reports the attempts whose cancel is among the first `sent` bytes. Returns whether there was any.
    fn report_sent_cancels(&mut self, sent: u64, report: &mut impl FnMut(Report)) -> bool {
        let mut any = false;
        while let Some(attempt) = self.cancels.pop_sent(sent) {
            let (outcome, propagation) = (Outcome::Cancelled, self.propagation);
            report(Report::Abandoned { attempt_id: attempt.attempt_id, outcome, propagation });
            any = true;
        }
        any
    }

    /// Moves the order that was being written in flight or back to the queue. Returns whether it is in
    /// flight.
    fn settle_encoded_order(&mut self, now: f64, out: &mut Buffer, report: &mut impl FnMut(Report)) -> bool {
        self.write_blocked = false;
        let Some(EncodedOrder { order, start }) = self.encoded_order.take() else { return false };
        if out.consumed() > start {
            report(Report::WriteStarted(order.attempt_id));
            self.in_flight.insert(&order, now);
            return true;
        }
        out.retract((self.encoded_bytes - start) as usize);
        self.encoded_bytes = start;
        self.queued.push_front(order);
        self.write_blocked = true;
        false
    }
}
