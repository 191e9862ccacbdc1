//! The answer at the head of the input: its memory, and the discarding of bytes as they arrive.

use super::Progress;
use super::in_flight::InFlightRequest;
use crate::memory::{Grant, Ledger, Purpose};
use crate::net::{Buffer, ProtocolError, lines};
use std::cell::Cell;
use std::rc::Rc;

/// An answer without content is buffered whole up to this length; of a longer one only the line is used and
/// the rest is discarded.
const MAX_BUFFERED_WITHOUT_CONTENT_BYTES: usize = 4096;
/// A client with more unread bytes than this gets no further content.
const CLIENT_UNREAD_LIMIT_BYTES: usize = 512 * 1024;
/// The end of line behind an answer's body.
const TERMINATOR: &[u8] = b"\r\n";

/// Lengths of an answer and its parts.
#[derive(Clone, Copy)]
pub(super) struct AnswerLayout {
    /// Length of the line (bytes).
    line: usize,
    /// Length of the body without the end of line behind it (bytes); `None` if the answer has no body.
    length: Option<usize>,
    /// Length of the whole answer (bytes).
    pub(super) total: usize,
}

impl AnswerLayout {
    /// Returns the layout that an answer's line announces.
    pub(super) fn of(head: &lines::AnswerHead<'_>) -> Self {
        AnswerLayout { line: head.line, length: head.length, total: head.total() }
    }

    /// Returns whether the body has any bytes.
    pub(super) fn has_body(&self) -> bool {
        self.length.is_some_and(|length| length > 0)
    }

    /// Returns whether the answer is short enough to be buffered whole although its content is not used.
    pub(super) fn is_buffered_without_content(&self) -> bool {
        self.total <= MAX_BUFFERED_WITHOUT_CONTENT_BYTES
    }

    /// Returns whether `bytes` hold the whole answer; an error if its body does not end with an end of line.
    pub(super) fn is_complete(&self, bytes: &[u8]) -> Result<bool, ProtocolError> {
        let Some(answer) = bytes.get(..self.total) else { return Ok(false) };
        if self.length.is_some() && !answer.ends_with(TERMINATOR) {
            return Err(ProtocolError("answer body does not end with CR LF"));
        }
        Ok(true)
    }

    /// Returns the body.
    pub(super) fn body<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        &bytes[self.line..self.line + self.length.unwrap_or(0)]
    }
}

/// The decision whether the content of an answer is read.
pub(super) enum Admission {
    /// The memory is granted, until the content is sent to the client.
    Granted,
    /// There is not enough memory now.
    NoMemory,
    /// The client does not read the answers it was sent before.
    SlowClient,
}

/// The state of the answer at the head of the input.
pub(super) struct IncomingAnswer {
    memory: Ledger,
    /// Memory for its content, granted before the content is read.
    grant: Option<Grant>,
    /// A body is being discarded; the end of line behind it is still expected.
    discarding: bool,
    /// The input ends in the middle of an answer that no request waits for, as far as is known.
    unowned: bool,
}

impl IncomingAnswer {
    /// Creates the state of an empty input.
    pub(super) fn new(memory: Ledger) -> Self {
        IncomingAnswer { memory, grant: None, discarding: false, unowned: false }
    }

    /// Returns whether the input ends in the middle of an answer that no request waits for, as far as is
    /// known.
    pub(super) fn is_unowned(&self) -> bool {
        self.unowned
    }

    /// Returns whether the memory for the content is granted.
    pub(super) fn is_granted(&self) -> bool {
        self.grant.is_some()
    }

    /// Requests memory for the content of an answer to this request.
    pub(super) fn admit(&mut self, request: &InFlightRequest, layout: AnswerLayout) -> Admission {
        // Refusing a client that does not read its answers holds up no other request.
        let reads_answers = |unread: &Rc<Cell<usize>>| {
            unread.get() <= CLIENT_UNREAD_LIMIT_BYTES && self.memory.may_read(unread.get())
        };
        if !request.uncacheable && !request.client_unread.as_ref().is_none_or(reads_answers) {
            return Admission::SlowClient;
        }
        let content = layout.line + layout.length.unwrap_or(0);
        let Ok(grant) = self.memory.acquire(request.account(Purpose::Unread), content) else {
            return Admission::NoMemory;
        };
        self.grant = Some(match request.client_unread.clone() {
            Some(unread) => grant.counted_in(unread),
            None => grant,
        });
        Admission::Granted
    }

    /// Reserves buffer space for the rest of an admitted answer; releases the answer's grant if there is
    /// none.
    pub(super) fn reserve_rest(
        &mut self,
        request: &InFlightRequest,
        layout: AnswerLayout,
        buffer: &mut Buffer,
    ) -> Progress {
        buffer.set_grant(|| self.memory.empty_grant(request.account(Purpose::Partial)));
        if buffer.reserve(layout.total - buffer.len()).is_err() {
            self.grant = None;
            return Progress::NeedsMemory;
        }
        Progress::NeedsBytes
    }

    /// Removes and returns the grant for the content.
    pub(super) fn take_grant(&mut self) -> Grant {
        self.grant.take().unwrap_or_default()
    }

    /// Discards an answer: its line at once, and its body as it arrives. Releases its grant.
    pub(super) fn discard(&mut self, buffer: &mut Buffer, layout: AnswerLayout) {
        self.grant = None;
        buffer.consume(layout.line);
        if let Some(length) = layout.length {
            buffer.skip(length);
            self.discarding = true;
        }
    }

    /// Consumes the end of line behind a discarded body. Returns whether nothing is left to discard.
    pub(super) fn finish_discarding(&mut self, buffer: &mut Buffer) -> Result<bool, ProtocolError> {
        if !self.discarding {
            return Ok(true);
        }
        if buffer.bytes_to_skip() > 0 || buffer.len() < TERMINATOR.len() {
            return Ok(false);
        }
        if !buffer.bytes().starts_with(TERMINATOR) {
            return Err(ProtocolError("answer body does not end with CR LF"));
        }
        buffer.consume(TERMINATOR.len());
        self.discarding = false;
        Ok(true)
    }

    /// Updates whether a request waits for the bytes at the head of the input. Returns whether an answer has
    /// been received in part.
    pub(super) fn update_partial(&mut self, buffer: &Buffer) -> bool {
        let is_partial = self.discarding || !buffer.is_empty();
        self.unowned = is_partial && self.grant.is_none();
        is_partial
    }
}
