//! Parser and writer of the clients' protocol: RESP arrays of bulk strings, each with a tag.

use super::ProtocolError;
use crate::memory::Grant;

/// An error in a frame, after which its connection cannot be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameError {
    /// The error.
    pub error: ProtocolError,
    /// The frame's tag, to which an answer can be sent, if it precedes the error.
    pub tag: Option<u64>,
}

/// Upper bound on the words of a frame; a request has five.
const MAX_WORDS: usize = 8;
/// Upper bound on the length of a bulk string, which is that of the largest write (bytes).
const MAX_BULK_BYTES: usize = 48_000;
/// Upper bound on the digits of a length or a count.
const MAX_COUNT_DIGITS: usize = 8;

/// A command of a client.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// A request.
    Request {
        /// The tag of the answer.
        tag: u64,
        /// The name of the class.
        class: &'a [u8],
        /// Fields in the form `name=value,name=value`.
        fields: &'a [u8],
        /// The body of a write.
        body: &'a [u8],
    },
    /// The client no longer waits for an answer.
    Abort {
        /// The request's tag.
        tag: u64,
    },
    /// The client asks whether this front is ready.
    Health {
        /// The tag of the answer.
        tag: u64,
    },
    /// An unknown command whose tag could be read.
    Unusable {
        /// The tag of the answer.
        tag: u64,
    },
}

/// Parses `MARK number CR LF`. Returns the number and the length of the header; `None` if it is incomplete.
fn parse_header(bytes: &[u8], mark: u8, max: usize) -> Result<Option<(usize, usize)>, ProtocolError> {
    let Some(&first) = bytes.first() else { return Ok(None) };
    if first != mark {
        return Err(ProtocolError("the frame is no array of bulk strings"));
    }
    let line = &bytes[1..bytes.len().min(MAX_COUNT_DIGITS + 3)];
    let Some(end) = line.iter().position(|&b| b == b'\n') else {
        let full = line.len() == MAX_COUNT_DIGITS + 2;
        return if full { Err(ProtocolError("count has too many digits")) } else { Ok(None) };
    };
    let digits = line[..end].strip_suffix(b"\r").ok_or(ProtocolError("count is not followed by CR LF"))?;
    let count = super::parse_u64(digits).ok_or(ProtocolError("count is not a number"))?;
    match usize::try_from(count) {
        Ok(count) if count <= max => Ok(Some((count, end + 2))),
        _ => Err(ProtocolError("an oversized frame")),
    }
}

/// Parses the command at the head of `bytes`. Returns it and its length; `None` if it is incomplete. An
/// oversized frame is rejected by its counts, before any of it is buffered.
pub fn parse(bytes: &[u8]) -> Result<Option<(Command<'_>, usize)>, FrameError> {
    let mut words: [&[u8]; MAX_WORDS] = [&[]; MAX_WORDS];
    let mut parsed = 0;
    match parse_words(bytes, &mut words, &mut parsed) {
        Ok(Some((count, used))) => match super::parse_u64(words[1]).filter(|_| count >= 2) {
            None => Err(FrameError { error: ProtocolError("frame without a tag"), tag: None }),
            Some(tag) => Ok(Some((command(&words, count, tag), used))),
        },
        Ok(None) => Ok(None),
        Err(error) => Err(FrameError { error, tag: super::parse_u64(words[1]).filter(|_| parsed >= 2) }),
    }
}

/// Parses the words of a frame and counts them in `parsed`. Returns their count and the frame's length;
/// `None` if the frame is incomplete.
fn parse_words<'a>(
    bytes: &'a [u8],
    words: &mut [&'a [u8]; MAX_WORDS],
    parsed: &mut usize,
) -> Result<Option<(usize, usize)>, ProtocolError> {
    let Some((count, mut at)) = parse_header(bytes, b'*', MAX_WORDS)? else { return Ok(None) };
    for word in words.iter_mut().take(count) {
        let Some((length, used)) = parse_header(&bytes[at..], b'$', MAX_BULK_BYTES)? else { return Ok(None) };
        at += used;
        let Some(bulk) = bytes.get(at..at + length + 2) else { return Ok(None) };
        *word = bulk.strip_suffix(b"\r\n").ok_or(ProtocolError("bulk string does not end with CR LF"))?;
        at += length + 2;
        *parsed += 1;
    }
    Ok(Some((count, at)))
}

/// Returns the command that these words make up.
fn command<'a>(words: &[&'a [u8]; MAX_WORDS], count: usize, tag: u64) -> Command<'a> {
    match (words[0], count) {
        (b"REQ", 4 | 5) => Command::Request { tag, class: words[2], fields: words[3], body: words[4] },
        (b"ABORT", _) => Command::Abort { tag },
        (b"HEALTH", _) => Command::Health { tag },
        _ => Command::Unusable { tag },
    }
}

/// A request whose body is incomplete.
#[derive(Debug, PartialEq)]
pub struct PartialRequest<'a> {
    /// The tag of the answer.
    pub tag: u64,
    /// The name of the class.
    pub class: &'a [u8],
    /// Length of the body (bytes).
    pub body: usize,
    /// Length of the whole frame (bytes).
    pub total: usize,
}

/// Parses a request at the head of `bytes` whose body is announced and incomplete; `None` if there is no such
/// request. So a body can be refused, or memory for it granted, before it is read.
pub fn parse_partial_request(bytes: &[u8]) -> Option<PartialRequest<'_>> {
    let (count, mut at) = parse_header(bytes, b'*', MAX_WORDS).ok()??;
    let mut words: [&[u8]; 4] = [&[]; 4];
    for word in words.iter_mut().filter(|_| count == 5) {
        let (length, used) = parse_header(bytes.get(at..)?, b'$', MAX_BULK_BYTES).ok()??;
        *word = bytes.get(at + used..at + used + length)?;
        at += used + length + 2;
    }
    let (body, used) = parse_header(bytes.get(at..)?, b'$', MAX_BULK_BYTES).ok()??;
    let total = at + used + body + 2;
    let tag = super::parse_u64(words[1]).filter(|_| words[0] == b"REQ" && total > bytes.len())?;
    Some(PartialRequest { tag, class: words[2], body, total })
}

/// Upper bound on the digits of a `u64`.
const MAX_U64_DIGITS: usize = 20;

/// Formats a number without an allocation.
fn format_decimal(mut number: u64, digits: &mut [u8; MAX_U64_DIGITS]) -> &str {
    let mut at = MAX_U64_DIGITS;
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            return std::str::from_utf8(&digits[at..]).unwrap_or_default();
        }
    }
}

/// Writes an answer: tag, word, fields, and the body with its grant and its deadline (Unix seconds).
pub fn write_answer(
    out: &mut super::Output,
    tag: u64,
    word: &str,
    fields: &str,
    body: Option<(Vec<u8>, Grant, f64)>,
) {
    let (body, grant, due) = body.unwrap_or_default();
    let mut length_digits = [0; MAX_U64_DIGITS];
    out.push(b"*4\r\n");
    let mut tag_digits = [0; MAX_U64_DIGITS];
    let tag = format_decimal(tag, &mut tag_digits);
    for text in [tag, word, fields] {
        out.push(b"$");
        out.push(format_decimal(text.len() as u64, &mut length_digits).as_bytes());
        out.push(b"\r\n");
        out.push(text.as_bytes());
        out.push(b"\r\n");
    }
    let length = body.len();
    out.push(b"$");
    out.push(format_decimal(length as u64, &mut length_digits).as_bytes());
    out.push(b"\r\n");
    out.push_body(body, 0..length, grant, due);
    out.push(b"\r\n");
}
