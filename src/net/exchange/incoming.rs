//! The answer at the head of the input: its memory, and the bytes that are discarded as they come.

use super::Progress;
use super::in_flight::InFlightRequest;
use crate::memory::{Grant, Ledger, Purpose};
use crate::net::{Buffer, ProtocolError, lines};
use std::cell::Cell;
use std::rc::Rc;

/// An answer without content is waited for whole up to this length; of a longer one only the line is read.
const MAX_BUFFERED_WITHOUT_CONTENT_BYTES: usize = 4096;
/// A client that has left so much unread is given no more.
const CLIENT_UNREAD_LIMIT_BYTES: usize = 512 * 1024;
/// What stands behind an answer's bytes.
const TERMINATOR: &[u8] = b"\r\n";

/// Where the parts of an answer stand, from its first byte.
#[derive(Clone, Copy)]
pub(super) struct AnswerLayout {
    /// Bytes of the line.
    line: usize,
    /// Bytes that follow, without the end of line behind them; `None` where nothing follows.
    length: Option<usize>,
    /// Bytes of the whole answer.
    pub(super) total: usize,
}

impl AnswerLayout {
    pub(super) fn of(head: &lines::AnswerHead<'_>) -> Self {
        AnswerLayout { line: head.line, length: head.length, total: head.total() }
    }

    /// Do bytes follow the line?
    pub(super) fn has_body(&self) -> bool {
        self.length.is_some_and(|length| length > 0)
    }

    /// Is it waited for whole though it has no content?
    pub(super) fn is_buffered_without_content(&self) -> bool {
        self.total <= MAX_BUFFERED_WITHOUT_CONTENT_BYTES
    }

    /// Is all of it here, with its end where it should be?
    pub(super) fn is_whole(&self, bytes: &[u8]) -> Result<bool, ProtocolError> {
        let Some(answer) = bytes.get(..self.total) else { return Ok(false) };
        if self.length.is_some() && !answer.ends_with(TERMINATOR) {
            return Err(ProtocolError("bytes that do not end where they should"));
        }
        Ok(true)
    }

    /// The bytes that follow the line.
    pub(super) fn body<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        &bytes[self.line..self.line + self.length.unwrap_or(0)]
    }
}

/// Whether content may be read.
pub(super) enum Admission {
    /// There is memory for it until its client has it.
    Granted,
    /// There is none now.
    NoMemory,
    /// Its client does not read what it has.
    SlowClient,
}

/// What is known of the answer at the head of the input.
pub(super) struct IncomingAnswer {
    memory: Ledger,
    /// Memory for its content, granted before its bytes are read.
    grant: Option<Grant>,
    /// Bytes that nobody waits for are discarded; behind them the end of their line is due.
    discarding: bool,
    /// Part of something is here that belongs to nobody, or of which that cannot be told yet.
    unowned: bool,
}

impl IncomingAnswer {
    pub(super) fn new(memory: Ledger) -> Self {
        IncomingAnswer { memory, grant: None, discarding: false, unowned: false }
    }

    /// Is the input in the middle of bytes that are nobody's, as far as can be told?
    pub(super) fn is_unowned(&self) -> bool {
        self.unowned
    }

    /// Is there memory for the content that is coming?
    pub(super) fn is_granted(&self) -> bool {
        self.grant.is_some()
    }

    /// Asks for memory for the content of an answer to this request.
    pub(super) fn admit(&mut self, request: &InFlightRequest, layout: AnswerLayout) -> Admission {
        // A client that does not read what it has is given no more; that holds up nobody else.
        let reads = |unread: &Rc<Cell<usize>>| {
            unread.get() <= CLIENT_UNREAD_LIMIT_BYTES && self.memory.may_read(unread.get())
        };
        if !request.uncacheable && !request.client_unread.as_ref().is_none_or(reads) {
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

    /// Makes room in the buffer for the rest of an admitted answer, whose memory goes back if there is none.
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

    /// Takes the memory that was granted for the content.
    pub(super) fn take_grant(&mut self) -> Grant {
        self.grant.take().unwrap_or_default()
    }

    /// Takes an answer's line off the buffer, and what follows it as it comes. Its memory goes back.
    pub(super) fn discard(&mut self, buffer: &mut Buffer, layout: AnswerLayout) {
        self.grant = None;
        buffer.consume(layout.line);
        if let Some(length) = layout.length {
            buffer.skip(length);
            self.discarding = true;
        }
    }

    /// Takes the end of line behind discarded bytes; is nothing left to discard?
    pub(super) fn finish_discarding(&mut self, buffer: &mut Buffer) -> Result<bool, ProtocolError> {
        if !self.discarding {
            return Ok(true);
        }
        if buffer.bytes_to_skip() > 0 || buffer.len() < TERMINATOR.len() {
            return Ok(false);
        }
        if !buffer.bytes().starts_with(TERMINATOR) {
            return Err(ProtocolError("bytes that do not end where they should"));
        }
        buffer.consume(TERMINATOR.len());
        self.discarding = false;
        Ok(true)
    }

    /// Notes whose the bytes at the head of the input are; is an answer here in part?
    pub(super) fn note_partial(&mut self, buffer: &Buffer) -> bool {
        let partial = self.discarding || !buffer.is_empty();
        self.unowned = partial && self.grant.is_none();
        partial
    }
}
