//! RESP as clients speak it: arrays of bulk strings, every one with a tag. Parsing and writing only.

use super::Unreadable;

/// A frame that cannot be read, after which nothing on its connection can. Its tag, if that came before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken {
    /// What is wrong.
    pub why: Unreadable,
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
fn header(bytes: &[u8], mark: u8, most: usize) -> Result<Option<(usize, usize)>, Unreadable> {
    let Some(&first) = bytes.first() else { return Ok(None) };
    if first != mark {
        return Err(Unreadable("a frame that is no array of bulk strings"));
    }
    let line = &bytes[1..bytes.len().min(DIGITS + 3)];
    let Some(end) = line.iter().position(|&b| b == b'\n') else {
        let full = line.len() == DIGITS + 2;
        return if full { Err(Unreadable("an overlong count")) } else { Ok(None) };
    };
    let digits = line[..end].strip_suffix(b"\r").ok_or(Unreadable("a count without CR"))?;
    let count = super::number(digits).ok_or(Unreadable("a count that is no number"))?;
    match usize::try_from(count) {
        Ok(count) if count <= most => Ok(Some((count, end + 2))),
        _ => Err(Unreadable("an oversized frame")),
    }
}

/// Reads one command off the head of `bytes`, and how long it was; `None` while it is not whole. What is too
/// long is told by its count alone, so that none of it needs to be held.
pub fn parse(bytes: &[u8]) -> Result<Option<(Command<'_>, usize)>, Broken> {
    let mut words: [&[u8]; WORDS] = [&[]; WORDS];
    let mut had = 0;
    match frame(bytes, &mut words, &mut had) {
        Ok(Some((count, used))) => match super::number(words[1]).filter(|_| count >= 2) {
            None => Err(Broken { why: Unreadable("a frame without a tag"), tag: None }),
            Some(tag) => Ok(Some((command(&words, count, tag), used))),
        },
        Ok(None) => Ok(None),
        Err(why) => Err(Broken { why, tag: super::number(words[1]).filter(|_| had >= 2) }),
    }
}

/// Reads the words of a frame as far as they have come; their count and the frame's length once it is whole.
fn frame<'a>(
    bytes: &'a [u8],
    words: &mut [&'a [u8]; WORDS],
    had: &mut usize,
) -> Result<Option<(usize, usize)>, Unreadable> {
    let Some((count, mut at)) = header(bytes, b'*', WORDS)? else { return Ok(None) };
    for word in words.iter_mut().take(count) {
        let Some((length, used)) = header(&bytes[at..], b'$', BULK)? else { return Ok(None) };
        at += used;
        let Some(bulk) = bytes.get(at..at + length + 2) else { return Ok(None) };
        *word = bulk.strip_suffix(b"\r\n").ok_or(Unreadable("a bulk string without its end"))?;
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

/// Writes an answer: tag, word, fields, body.
pub fn answer(out: &mut super::Buffer, tag: u64, word: &str, fields: &str, body: &[u8]) {
    let tag = tag.to_string();
    out.push(b"*4\r\n");
    for part in [tag.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
        out.push(format!("${}\r\n", part.len()).as_bytes());
        out.push(part);
        out.push(b"\r\n");
    }
}
