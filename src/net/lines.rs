//! The line protocol of cache nodes: words ending in CR LF, and after a length so many bytes more. Parsing
//! and writing only.

use super::{Buffer, ProtocolError};
use crate::broker::Order;
use crate::interface::{Note, Outcome};

/// Longest line of an answer.
const LINE: usize = 4096;
/// Most bytes of an object (240,000), and a little over.
pub const LARGEST: usize = 256 * 1024;

/// A cache node's answer.
#[derive(Debug, PartialEq)]
pub struct NodeAnswer<'a> {
    /// The id of the request, as it was sent.
    pub id: &'a str,
    /// How it ended; `None` for a word that is unknown here.
    pub outcome: Option<Outcome>,
    /// The client's copy is the one.
    pub valid: bool,
    /// Where the content came from, or why not.
    pub note: Note,
    /// Seconds that the node waited for the source.
    pub source_wait: f64,
    /// The tag of the copy.
    pub etag: &'a str,
    /// When the origin gave the copy out, Unix milliseconds.
    pub made: Option<u64>,
    /// The bytes.
    pub body: &'a [u8],
}

/// Writes `serve` for an order, of which the node may take until `patience_ms` from now; nothing at all if there is
/// no memory for it.
#[must_use]
pub fn write_serve(out: &mut Buffer, order: &Order, patience_ms: u64) -> bool {
    use std::fmt::Write;
    let ask = &order.request;
    let mut line = String::with_capacity(160);
    let _ = write!(line, "serve {} sort={},asset={},slice={}", ask.call, order.class, ask.asset, ask.part);
    let _ = write!(line, ",patience={patience_ms}");
    if let Some(key) = &ask.key {
        let _ = write!(line, ",op={key}");
    }
    if let Some(source) = order.source {
        let _ = write!(line, ",src=s-{:08x}", source.0);
    }
    if order.rank > 0 {
        let _ = write!(line, ",keep={}", order.rank);
    }
    if order.age > 0.0 {
        // Rounded down: a copy of exactly the limit may be told by another clock. 0 would mean no limit.
        let _ = write!(line, ",maxage={}", ((order.age * 1000.0) as u64).max(1));
    }
    let o = order.options;
    let flags = [
        (o.join, "merge"),
        (o.only_if_cached, "local"),
        (o.no_parent_copy, "skip"),
        (o.revalidate, "revalidate"),
    ];
    let mut mark = ",flags=";
    for (_, word) in flags.iter().filter(|f| f.0) {
        let _ = write!(line, "{mark}{word}");
        mark = "+";
    }
    if let Some(have) = &ask.client_etag {
        let _ = write!(line, ",have={have}");
    }
    let _ = write!(line, " {}\r\n", ask.body.len());
    let fits = out.reserve(line.len() + ask.body.len() + 2).is_ok();
    fits && out.push(line.as_bytes()) && out.push(&ask.body) && out.push(b"\r\n")
}

/// Writes `cancel`; not if there is no memory for it.
#[must_use]
pub fn write_cancel(out: &mut Buffer, id: &str) -> bool {
    out.push(format!("cancel {id}\r\n").as_bytes())
}

/// An answer's line: all that it says before its bytes come.
#[derive(Debug, PartialEq)]
pub struct AnswerHead<'a> {
    /// The answer, without bytes.
    pub answer: NodeAnswer<'a>,
    /// Bytes of the line.
    pub line: usize,
    /// Bytes that follow, without the end of line behind them; `None` where nothing follows.
    pub length: Option<usize>,
}

impl AnswerHead<'_> {
    /// How long the whole answer is.
    pub fn total(&self) -> usize {
        self.line + self.length.map_or(0, |length| length + 2)
    }
}

/// Reads the line of an answer off the head of `bytes`; `None` while it is not whole. What is wrong with an
/// answer is told from its line, so that none of its bytes needs to be held.
pub fn parse_head(bytes: &[u8]) -> Result<Option<AnswerHead<'_>>, ProtocolError> {
    let Some(end) = bytes.iter().take(LINE).position(|&b| b == b'\n') else {
        return if bytes.len() >= LINE { Err(ProtocolError("an overlong line")) } else { Ok(None) };
    };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(ProtocolError("a line without CR"))?;
    let line = std::str::from_utf8(line).map_err(|_| ProtocolError("a line that is no text"))?;
    let mut words = line.split(' ');
    let (Some(id), Some(word)) = (words.next(), words.next()) else {
        return Err(ProtocolError("a line without a word"));
    };
    let fields = words.next().unwrap_or("-");
    let length = words.next();
    if words.next().is_some() {
        return Err(ProtocolError("a line with too many words"));
    }
    let length = match length {
        None => None,
        Some(digits) => {
            let length = super::parse_u64(digits.as_bytes()).filter(|&n| n <= LARGEST as u64);
            Some(length.ok_or(ProtocolError("a length that is none, or too large"))? as usize)
        }
    };
    let outcome = match word {
        "HIT" | "VALID" => Some(Outcome::Ok),
        "NONE" => Some(Outcome::Miss),
        "SHED" => Some(Outcome::Full),
        "FAULT" => Some(Outcome::Error),
        "LATE" => Some(Outcome::NotSent),
        _ => None,
    };
    let valid = word == "VALID";
    let (note, source_wait, etag, made) = (Note::None, 0.0, "", None);
    let mut answer = NodeAnswer { id, outcome, valid, note, source_wait, etag, made, body: &[] };
    for (name, value) in fields.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "n" => answer.note = note_of(value),
            "ttfb" => {
                answer.source_wait = super::parse_non_negative(value.as_bytes()).unwrap_or(0.0) / 1000.0
            }
            "etag" => answer.etag = value,
            "made" => answer.made = super::parse_u64(value.as_bytes()),
            _ => {}
        }
    }
    // Guards against a spoilt answer that would pass for served.
    match word {
        "HIT" if length.is_none() => Err(ProtocolError("a hit without its length")),
        "VALID" if length.unwrap_or(0) > 0 => Err(ProtocolError("a valid copy with bytes")),
        _ => Ok(Some(AnswerHead { answer, line: end + 1, length })),
    }
}

/// Reads one answer off the head of `bytes`, and how long it was; `None` while it is not whole.
pub fn parse(bytes: &[u8]) -> Result<Option<(NodeAnswer<'_>, usize)>, ProtocolError> {
    let Some(AnswerHead { mut answer, line, length }) = parse_head(bytes)? else { return Ok(None) };
    let Some(length) = length else { return Ok(Some((answer, line))) };
    let Some(rest) = bytes.get(line..line + length + 2) else { return Ok(None) };
    answer.body =
        rest.strip_suffix(b"\r\n").ok_or(ProtocolError("bytes that do not end where they should"))?;
    Ok(Some((answer, line + length + 2)))
}

fn note_of(word: &str) -> Note {
    match word {
        "TCP_HIT" => Note::Hit,
        "TCP_MISS" => Note::Filled,
        "TCP_MISS_ROOT" => Note::FilledFromOrigin,
        "TCP_JOIN" => Note::Joined,
        "TCP_STALE" => Note::Stale,
        "PEER_DENY" => Note::SourceRefused,
        "PEER_DEAD" => Note::SourceFailed,
        "PEER_MISS" => Note::SourceMiss,
        "FILL_FULL" => Note::NoFillSlot,
        "ROOT_FAIL" => Note::OriginFailed,
        _ => Note::None,
    }
}
