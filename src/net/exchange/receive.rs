//! Reading answers, and what may be believed of one.

use super::in_flight::InFlightRequest;
use super::incoming::{Admission, AnswerLayout};
use super::{Exchange, Progress};
use crate::broker::{AttemptId, Content, Report};
use crate::interface::Outcome;
use crate::memory::Grant;
use crate::net::{Buffer, ProtocolError, lines};
use std::ops::ControlFlow;

/// A copy made so much later than now is none; clocks of a site differ by less.
const MAX_FUTURE_SECONDS: f64 = 5.0;
/// How much older than asked for a copy may seem by another clock.
const CLOCK_SKEW_SECONDS: f64 = 0.05;

/// Whether reading goes on behind an answer, or what it needs first.
type Decoded = Result<ControlFlow<Progress>, ProtocolError>;

impl Exchange {
    /// Takes whole answers off the head of the buffer. Only a whole one becomes `Ok`, and only what somebody
    /// waits for is held at all: its stated length is granted before its bytes are read.
    pub fn decode(
        &mut self,
        now: f64,
        buffer: &mut Buffer,
        mut report: impl FnMut(Report),
    ) -> Result<Progress, ProtocolError> {
        self.last_read = now;
        self.silent = false;
        loop {
            if let ControlFlow::Break(progress) = self.decode_one(now, buffer, &mut report)? {
                return Ok(progress);
            }
        }
    }

    /// Takes one answer off the head of the buffer.
    fn decode_one(&mut self, now: f64, buffer: &mut Buffer, report: &mut impl FnMut(Report)) -> Decoded {
        if !self.incoming.finish_discarding(buffer)? {
            return Ok(ControlFlow::Break(Progress::NeedsBytes));
        }
        let Some(head) = lines::parse_head(buffer.bytes())? else {
            return Ok(ControlFlow::Break(Progress::NeedsBytes));
        };
        let layout = AnswerLayout::of(&head);
        // Only what is in flight can be answered: a second copy, or an answer under an unknown id, is discarded.
        let Some(request) = self.in_flight.get(head.answer.id) else {
            self.incoming.discard(buffer, layout);
            return Ok(ControlFlow::Continue(()));
        };
        let outcome = checked_outcome(&head.answer, request, now)?;
        // Content is held from here until the client has it; anything else is only told.
        let has_content = outcome == Outcome::Ok && layout.has_body();
        if has_content && !self.incoming.is_granted() {
            match self.incoming.admit(request, layout) {
                Admission::NoMemory => return Ok(ControlFlow::Break(Progress::NeedsMemory)),
                Admission::SlowClient => {
                    self.discard_answer(buffer, report);
                    return Ok(ControlFlow::Continue(()));
                }
                Admission::Granted if layout.total > buffer.len() => {
                    return Ok(ControlFlow::Break(self.incoming.reserve_rest(request, layout, buffer)));
                }
                Admission::Granted => {}
            }
        }
        let buffered = has_content || layout.is_buffered_without_content();
        if buffered && !layout.is_whole(buffer.bytes())? {
            return Ok(ControlFlow::Break(Progress::NeedsBytes));
        }
        let grant = self.incoming.take_grant();
        let is_served = outcome == Outcome::Ok;
        let content = is_served.then(|| content_of(&head.answer, layout.body(buffer.bytes()), grant));
        let (note, source_wait) = (head.answer.note, head.answer.source_wait);
        let ended =
            Report::AttemptEnded { attempt_id: request.attempt_id, outcome, note, source_wait, content };
        self.in_flight.take_answered(head.answer.id);
        match buffered {
            true => buffer.consume(layout.total),
            false => self.incoming.discard(buffer, layout),
        }
        report(ended);
        Ok(ControlFlow::Continue(()))
    }

    /// The attempt whose answer is at the head of the buffer, if anybody waits for it.
    pub fn ticket_at_head(&self, buffer: &Buffer) -> Option<AttemptId> {
        let head = lines::parse_head(buffer.bytes()).ok().flatten()?;
        self.in_flight.get(head.answer.id).map(|request| request.attempt_id)
    }

    /// There was no memory for the answer at the head of the buffer, for too long: it is discarded, and its
    /// request hears that at once. What else is in flight, and is still to come behind it, is not touched.
    pub fn discard_answer(&mut self, buffer: &mut Buffer, report: &mut impl FnMut(Report)) {
        let Ok(Some(head)) = lines::parse_head(buffer.bytes()) else { return };
        if let Some(request) = self.in_flight.take_answered(head.answer.id) {
            report(Report::NoMemory(request.attempt_id));
        }
        let layout = AnswerLayout::of(&head);
        self.incoming.discard(buffer, layout);
    }

    /// Is an answer here in part? Where it is nobody's, as far as can be told, nothing new goes to this connection until
    /// the rest of it has come.
    pub fn note_partial_answer(&mut self, buffer: &Buffer) -> bool {
        self.incoming.note_partial(buffer)
    }
}

/// How an answer ends its request; an error where it says less, or other, than it must.
fn checked_outcome(
    answer: &lines::NodeAnswer<'_>,
    request: &InFlightRequest,
    now: f64,
) -> Result<Outcome, ProtocolError> {
    let outcome = answer.outcome.ok_or(ProtocolError("an answer with an unknown word"))?;
    if answer.valid && !request.client_has_copy {
        return Err(ProtocolError("a valid copy that nobody asked for"));
    }
    // A copy that cannot be told from others, or whose age is untold, is a spoilt one.
    let is_identified = !answer.etag.is_empty() && answer.made.is_some();
    let must_be_identified = answer.valid || !request.uncacheable;
    if outcome == Outcome::Ok && must_be_identified && !is_identified {
        return Err(ProtocolError("a copy without its tag or time"));
    }
    let made = answer.made.map(|milliseconds| milliseconds as f64 / 1000.0);
    if made.is_some_and(|made| made > now + MAX_FUTURE_SECONDS) {
        return Err(ProtocolError("a copy from the future"));
    }
    // What the node should not have served is not served on.
    let too_old = made.is_some_and(|made| made < request.oldest - CLOCK_SKEW_SECONDS);
    Ok(if outcome == Outcome::Ok && too_old { Outcome::Error } else { outcome })
}

/// The content of an answer, held by this grant.
fn content_of(answer: &lines::NodeAnswer<'_>, body: &[u8], grant: Grant) -> Content {
    Content { body: body.to_vec(), etag: answer.etag.into(), not_modified: answer.valid, grant }
}
