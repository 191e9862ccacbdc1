//! The line protocol of cache nodes: lines of words that end in CR LF; a line may announce the length of a
//! body that follows it. Only parsing and writing.

use super::{Buffer, ProtocolError};
use crate::broker::Order;
use crate::interface::{Note, Outcome};

/// Longest line of an answer (bytes).
const MAX_LINE_BYTES: usize = 4096;
/// Largest body of an answer (bytes); objects have up to 240,000.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A cache node's answer.
#[derive(Debug, PartialEq)]
pub struct NodeAnswer<'a> {
    /// The id of the request, as it was sent.
    pub id: &'a str,
    /// The outcome; `None` if the answer's word is unknown.
    pub outcome: Option<Outcome>,
    /// The client's copy is still valid.
    pub valid: bool,
    /// Where the content came from, or why there is none.
    pub note: Note,
    /// Time that the node waited for its source (seconds).
    pub source_wait: f64,
    /// The entity tag of the copy.
    pub etag: &'a str,
    /// When the origin sent the copy (Unix milliseconds).
    pub made: Option<u64>,
    /// The body.
    pub body: &'a [u8],
}

/// Writes the command `serve` for an order, for which the node has `patience_ms` from now on. Returns `false`
/// and writes nothing if there is no memory for it.
#[must_use]
pub fn write_serve(out: &mut Buffer, order: &Order, patience_ms: u64) -> bool {
    use std::fmt::Write;
    let request = &order.request;
    let mut line = String::with_capacity(160);
    let _ = write!(
        line,
        "serve {} sort={},asset={},slice={}",
        request.call, order.class, request.asset, request.part
    );
    let _ = write!(line, ",patience={patience_ms}");
    if let Some(key) = &request.key {
        let _ = write!(line, ",op={key}");
    }
    if let Some(source) = order.source {
        let _ = write!(line, ",src=s-{:08x}", source.0);
    }
    if order.rank > 0 {
        let _ = write!(line, ",keep={}", order.rank);
    }
    if order.age > 0.0 {
        // Rounded down, since the node may judge a copy of exactly this age by another clock. 0 would mean no
        // limit.
        let _ = write!(line, ",maxage={}", ((order.age * 1000.0) as u64).max(1));
    }
    let o = order.options;
    let flags = [
        (o.join, "merge"),
        (o.only_if_cached, "local"),
        (o.no_parent_copy, "skip"),
        (o.revalidate, "revalidate"),
    ];
    let mut separator = ",flags=";
    for (_, word) in flags.iter().filter(|f| f.0) {
        let _ = write!(line, "{separator}{word}");
        separator = "+";
    }
    if let Some(have) = &request.client_etag {
        let _ = write!(line, ",have={have}");
    }
    let _ = write!(line, " {}\r\n", request.body.len());
    let fits = out.reserve(line.len() + request.body.len() + 2).is_ok();
    fits && out.push(line.as_bytes()) && out.push(&request.body) && out.push(b"\r\n")
}

/// Writes the command `cancel`. Returns `false` if there is no memory for it.
#[must_use]
pub fn write_cancel(out: &mut Buffer, id: &str) -> bool {
    out.push(format!("cancel {id}\r\n").as_bytes())
}

/// The line of an answer, which precedes its body.
#[derive(Debug, PartialEq)]
pub struct AnswerHead<'a> {
    /// The answer, with an empty body.
    pub answer: NodeAnswer<'a>,
    /// Length of the line with its terminator (bytes).
    pub line: usize,
    /// Length of the body without the line terminator behind it (bytes); `None` if no body follows.
    pub length: Option<usize>,
}

impl AnswerHead<'_> {
    /// Returns the length of the whole answer (bytes).
    pub fn total(&self) -> usize {
        self.line + self.length.map_or(0, |length| length + 2)
    }
}

/// Parses the line of an answer at the start of `bytes`; `None` while it is incomplete. An invalid answer is
/// recognised by its line, so that none of its body needs to be buffered.
pub fn parse_head(bytes: &[u8]) -> Result<Option<AnswerHead<'_>>, ProtocolError> {
    let Some(end) = bytes.iter().take(MAX_LINE_BYTES).position(|&b| b == b'\n') else {
        return if bytes.len() >= MAX_LINE_BYTES { Err(ProtocolError("an overlong line")) } else { Ok(None) };
    };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(ProtocolError("a line without CR"))?;
    let line = std::str::from_utf8(line).map_err(|_| ProtocolError("a line that is not UTF-8"))?;
    let mut words = line.split(' ');
    let (Some(id), Some(word)) = (words.next(), words.next()) else {
        return Err(ProtocolError("a line without an outcome"));
    };
    let fields = words.next().unwrap_or("-");
    let length = words.next();
    if words.next().is_some() {
        return Err(ProtocolError("a line with too many words"));
    }
    let length = match length {
        None => None,
        Some(digits) => {
            let length = super::parse_u64(digits.as_bytes()).filter(|&n| n <= MAX_BODY_BYTES as u64);
            Some(length.ok_or(ProtocolError("an invalid or oversized length"))? as usize)
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
            "n" => answer.note = parse_note(value),
            "ttfb" => {
                answer.source_wait = super::parse_non_negative(value.as_bytes()).unwrap_or(0.0) / 1000.0
            }
            "etag" => answer.etag = value,
            "made" => answer.made = super::parse_u64(value.as_bytes()),
            _ => {}
        }
    }
    // Guards against an invalid answer that would count as served.
    match word {
        "HIT" if length.is_none() => Err(ProtocolError("a hit without its length")),
        "VALID" if length.unwrap_or(0) > 0 => Err(ProtocolError("a valid copy with bytes")),
        _ => Ok(Some(AnswerHead { answer, line: end + 1, length })),
    }
}

/// Parses one answer at the start of `bytes`, and returns it with its length (bytes); `None` while it is
/// incomplete.
pub fn parse(bytes: &[u8]) -> Result<Option<(NodeAnswer<'_>, usize)>, ProtocolError> {
    let Some(AnswerHead { mut answer, line, length }) = parse_head(bytes)? else { return Ok(None) };
    let Some(length) = length else { return Ok(Some((answer, line))) };
    let Some(rest) = bytes.get(line..line + length + 2) else { return Ok(None) };
    answer.body = rest.strip_suffix(b"\r\n").ok_or(ProtocolError("a body without its line terminator"))?;
    Ok(Some((answer, line + length + 2)))
}

fn parse_note(word: &str) -> Note {
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
