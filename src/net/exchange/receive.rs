//! Decoding and validation of answers.

use super::in_flight::InFlightRequest;
use super::incoming::{Admission, AnswerLayout};
use super::{Exchange, Progress};
use crate::broker::{AttemptId, Content, Report};
use crate::interface::Outcome;
use crate::memory::Grant;
use crate::net::{Buffer, ProtocolError, lines};
use std::ops::ControlFlow;

/// An answer is rejected if its copy was created this far in the future; the clocks of a site differ by less.
const MAX_FUTURE_SECONDS: f64 = 5.0;
/// How far beyond the requested age limit a copy may be, because the node has another clock.
const CLOCK_SKEW_SECONDS: f64 = 0.05;

/// Whether decoding continues with the next answer, or why it stops.
type DecodeStep = Result<ControlFlow<Progress>, ProtocolError>;

impl Exchange {
    /// Decodes the whole answers at the head of the buffer. Only a whole answer ends its request with `Ok`,
    /// and only content that a request waits for is buffered: memory for its announced length is granted
    /// before it is read.
    pub fn decode(
        &mut self,
        now: f64,
        buffer: &mut Buffer,
        mut report: impl FnMut(Report),
    ) -> Result<Progress, ProtocolError> {
        self.last_read = now;
        self.unresponsive = false;
        loop {
            if let ControlFlow::Break(progress) = self.decode_one(now, buffer, &mut report)? {
                return Ok(progress);
            }
        }
    }

    /// Decodes one answer at the head of the buffer.
    fn decode_one(&mut self, now: f64, buffer: &mut Buffer, report: &mut impl FnMut(Report)) -> DecodeStep {
        if !self.incoming.finish_discarding(buffer)? {
            return Ok(ControlFlow::Break(Progress::NeedsBytes));
        }
        let Some(head) = lines::parse_head(buffer.bytes())? else {
            return Ok(ControlFlow::Break(Progress::NeedsBytes));
        };
        let layout = AnswerLayout::of(&head);
        // A second copy of an answer, or one under an unknown id, belongs to no request in flight and is
        // discarded.
        let Some(request) = self.in_flight.get(head.answer.id) else {
            self.incoming.discard(buffer, layout);
            return Ok(ControlFlow::Continue(()));
        };
        let outcome = checked_outcome(&head.answer, request, now)?;
        // Content is kept until it is sent to the client; of any other answer only the line is used.
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
        if buffered && !layout.is_complete(buffer.bytes())? {
            return Ok(ControlFlow::Break(Progress::NeedsBytes));
        }
        let grant = self.incoming.take_grant();
        let content =
            (outcome == Outcome::Ok).then(|| content_of(&head.answer, layout.body(buffer.bytes()), grant));
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

    /// Returns the attempt in flight whose answer is at the head of the buffer, if there is one.
    pub fn attempt_at_head(&self, buffer: &Buffer) -> Option<AttemptId> {
        let head = lines::parse_head(buffer.bytes()).ok().flatten()?;
        self.in_flight.get(head.answer.id).map(|request| request.attempt_id)
    }

    /// Discards the answer at the head of the buffer, for which there is no memory, and reports that to its
    /// request at once. Other requests in flight, whose answers follow, are not affected.
    pub fn discard_answer(&mut self, buffer: &mut Buffer, report: &mut impl FnMut(Report)) {
        let Ok(Some(head)) = lines::parse_head(buffer.bytes()) else { return };
        if let Some(request) = self.in_flight.take_answered(head.answer.id) {
            report(Report::NoMemory(request.attempt_id));
        }
        let layout = AnswerLayout::of(&head);
        self.incoming.discard(buffer, layout);
    }

    /// Returns whether an answer has been received in part. If no request waits for it, as far as is known,
    /// the connection accepts no new requests until the rest has arrived.
    pub fn update_partial_answer(&mut self, buffer: &Buffer) -> bool {
        self.incoming.update_partial(buffer)
    }
}

/// Validates an answer and returns its outcome; an error if the answer is incomplete or contradicts the
/// request.
fn checked_outcome(
    answer: &lines::NodeAnswer<'_>,
    request: &InFlightRequest,
    now: f64,
) -> Result<Outcome, ProtocolError> {
    let outcome = answer.outcome.ok_or(ProtocolError("answer with an unknown status"))?;
    if answer.valid && !request.client_has_copy {
        return Err(ProtocolError("answer confirms a copy that the client does not have"));
    }
    // A copy without a tag cannot be told from others, and one without a creation time has an unknown age.
    let is_identified = !answer.etag.is_empty() && answer.made.is_some();
    let must_be_identified = answer.valid || !request.uncacheable;
    if outcome == Outcome::Ok && must_be_identified && !is_identified {
        return Err(ProtocolError("answer without the tag or creation time of its copy"));
    }
    let made = answer.made.map(|milliseconds| milliseconds as f64 / 1000.0);
    if made.is_some_and(|made| made > now + MAX_FUTURE_SECONDS) {
        return Err(ProtocolError("answer with a creation time in the future"));
    }
    // A copy that is too old is not passed on to the client.
    let too_old = made.is_some_and(|made| made < request.min_created_at - CLOCK_SKEW_SECONDS);
    Ok(if outcome == Outcome::Ok && too_old { Outcome::Error } else { outcome })
}

/// Returns the content of an answer, with the grant that covers it.
fn content_of(answer: &lines::NodeAnswer<'_>, body: &[u8], grant: Grant) -> Content {
    Content { body: body.to_vec(), etag: answer.etag.into(), not_modified: answer.valid, grant }
}
