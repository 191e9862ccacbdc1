//! RESP as clients speak it: arrays of bulk strings, every one with a tag. Parsing and writing only.

use super::ProtocolError;
use crate::memory::Grant;

/// A frame that cannot be read, after which nothing on its connection can. Its tag, if that came before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameError {
    /// What is wrong.
    pub error: ProtocolError,
    /// The tag, which an answer can be given to.
    pub tag: Option<u64>,
}

/// Most words of a frame; a request has five.
const WORDS: usize = 8;
/// Most bytes of one bulk string: a write carries so many.
const BULK: usize = 48_000;
/// Most digits of a length or a count.
const DIGITS: usize = 8;

/// What a client sends.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// A request.
    Request {
        /// The tag of the answer.
        tag: u64,
        /// The class, in a word.
        class: &'a [u8],
        /// `name=value,name=value`.
        fields: &'a [u8],
        /// What a write carries.
        body: &'a [u8],
    },
    /// The client no longer waits.
    Abort {
        /// The request's tag.
        tag: u64,
    },
    /// Is this front ready?
    Health {
        /// The tag of the answer.
        tag: u64,
    },
    /// Nothing that is known here, but its tag could be read.
    Unusable {
        /// The tag of the answer.
        tag: u64,
    },
}

/// Reads `MARK number CR LF`; `None` while it is not whole.
fn header(bytes: &[u8], mark: u8, most: usize) -> Result<Option<(usize, usize)>, ProtocolError> {
    let Some(&first) = bytes.first() else { return Ok(None) };
    if first != mark {
        return Err(ProtocolError("a frame that is no array of bulk strings"));
    }
    let line = &bytes[1..bytes.len().min(DIGITS + 3)];
    let Some(end) = line.iter().position(|&b| b == b'\n') else {
        let full = line.len() == DIGITS + 2;
        return if full { Err(ProtocolError("an overlong count")) } else { Ok(None) };
    };
    let digits = line[..end].strip_suffix(b"\r").ok_or(ProtocolError("a count without CR"))?;
    let count = super::parse_u64(digits).ok_or(ProtocolError("a count that is no number"))?;
    match usize::try_from(count) {
        Ok(count) if count <= most => Ok(Some((count, end + 2))),
        _ => Err(ProtocolError("an oversized frame")),
    }
}

/// Reads one command off the head of `bytes`, and how long it was; `None` while it is not whole. What is too
/// long is told by its count alone, so that none of it needs to be held.
pub fn parse(bytes: &[u8]) -> Result<Option<(Command<'_>, usize)>, FrameError> {
    let mut words: [&[u8]; WORDS] = [&[]; WORDS];
    let mut had = 0;
    match frame(bytes, &mut words, &mut had) {
        Ok(Some((count, used))) => match super::parse_u64(words[1]).filter(|_| count >= 2) {
            None => Err(FrameError { error: ProtocolError("a frame without a tag"), tag: None }),
            Some(tag) => Ok(Some((command(&words, count, tag), used))),
        },
        Ok(None) => Ok(None),
        Err(error) => Err(FrameError { error, tag: super::parse_u64(words[1]).filter(|_| had >= 2) }),
    }
}

/// Reads the words of a frame as far as they have come; their count and the frame's length once it is whole.
fn frame<'a>(
    bytes: &'a [u8],
    words: &mut [&'a [u8]; WORDS],
    had: &mut usize,
) -> Result<Option<(usize, usize)>, ProtocolError> {
    let Some((count, mut at)) = header(bytes, b'*', WORDS)? else { return Ok(None) };
    for word in words.iter_mut().take(count) {
        let Some((length, used)) = header(&bytes[at..], b'$', BULK)? else { return Ok(None) };
        at += used;
        let Some(bulk) = bytes.get(at..at + length + 2) else { return Ok(None) };
        *word = bulk.strip_suffix(b"\r\n").ok_or(ProtocolError("a bulk string without its end"))?;
        at += length + 2;
        *had += 1;
    }
    Ok(Some((count, at)))
}

fn command<'a>(words: &[&'a [u8]; WORDS], count: usize, tag: u64) -> Command<'a> {
    match (words[0], count) {
        (b"REQ", 4 | 5) => Command::Request { tag, class: words[2], fields: words[3], body: words[4] },
        (b"ABORT", _) => Command::Abort { tag },
        (b"HEALTH", _) => Command::Health { tag },
        _ => Command::Unusable { tag },
    }
}

/// A request whose body is not whole, as far as its words before the body say.
#[derive(Debug, PartialEq)]
pub struct PartialRequest<'a> {
    /// The tag of the answer.
    pub tag: u64,
    /// The class, in a word.
    pub class: &'a [u8],
    /// Bytes of the body.
    pub body: usize,
    /// Bytes of the whole frame.
    pub total: usize,
}

/// Reads a request whose body has been announced and has not come whole; `None` if there is none such at the head
/// of `bytes`. So a body can be refused, or granted, before its bytes are read.
pub fn parse_partial_request(bytes: &[u8]) -> Option<PartialRequest<'_>> {
    let (count, mut at) = header(bytes, b'*', WORDS).ok()??;
    let mut words: [&[u8]; 4] = [&[]; 4];
    for word in words.iter_mut().filter(|_| count == 5) {
        let (length, used) = header(bytes.get(at..)?, b'$', BULK).ok()??;
        *word = bytes.get(at + used..at + used + length)?;
        at += used + length + 2;
    }
    let (body, used) = header(bytes.get(at..)?, b'$', BULK).ok()??;
    let total = at + used + body + 2;
    let tag = super::parse_u64(words[1]).filter(|_| words[0] == b"REQ" && total > bytes.len())?;
    Some(PartialRequest { tag, class: words[2], body, total })
}

/// Most digits of a number.
const DECIMAL: usize = 20;

/// A number's digits, without an allocation.
fn decimal(mut number: u64, digits: &mut [u8; DECIMAL]) -> &str {
    let mut at = DECIMAL;
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            return std::str::from_utf8(&digits[at..]).unwrap_or_default();
        }
    }
}

/// Writes an answer: tag, word, fields, body with its memory and when it is due.
pub fn write_answer(
    out: &mut super::Output,
    tag: u64,
    word: &str,
    fields: &str,
    body: Option<(Vec<u8>, Grant, f64)>,
) {
    let (body, grant, due) = body.unwrap_or_default();
    let mut digits = [0; DECIMAL];
    out.push(b"*4\r\n");
    let mut own = [0; DECIMAL];
    let tag = decimal(tag, &mut own);
    for part in [tag, word, fields] {
        out.push(b"$");
        out.push(decimal(part.len() as u64, &mut digits).as_bytes());
        out.push(b"\r\n");
        out.push(part.as_bytes());
        out.push(b"\r\n");
    }
    let length = body.len();
    out.push(b"$");
    out.push(decimal(length as u64, &mut digits).as_bytes());
    out.push(b"\r\n");
    out.push_body(body, 0..length, grant, due);
    out.push(b"\r\n");
}
