//! The fields of a client's request.

use crate::broker::{ClientRequest, Contracts};
use crate::config::Classes;
use crate::interface::{ClassId, GroupId, ObjectId};
use crate::net::{parse_non_negative, parse_u64};

/// Share of the `ttl` that is kept back: the answer is to be out this long before the client gives up. The
/// `ttl` counts from the client's send, so that the margin covers the delays of a busy machine in both
/// directions.
const ANSWER_MARGIN_SHARE: f64 = 0.025;
/// Smallest margin (seconds).
const MIN_ANSWER_MARGIN: f64 = 0.015;
/// Largest margin (seconds): the extra time that the platform grants where requests travel over sockets.
const MAX_ANSWER_MARGIN: f64 = 0.05;
/// Largest `ttl` (milliseconds). A request waits for no longer than its class's deadline in any case.
const MAX_TTL_MS: f64 = 600_000.0;
/// Number of groups; a request for a group beyond is unusable.
const MAX_GROUPS: u64 = 256;
/// Number of parts of an object; a request for a part beyond is unusable.
const MAX_PARTS: u64 = 1 << 24;
/// Largest size of a part (KB).
const MAX_PART_KB: f64 = 1e9;
/// Longest entity tag or deduplication key (bytes).
const MAX_TOKEN_BYTES: usize = 128;
/// Number of digits of a call's id and of an object's id.
const HEX_DIGITS: usize = 16;

/// Returns a word that can be sent to cache nodes as it is: no separators, no spaces, no control bytes, and
/// at most `max_length` bytes.
fn parse_token(value: &[u8], max_length: usize) -> Option<Box<str>> {
    let allowed = |b: &u8| b.is_ascii_graphic() && !b",= ".contains(b);
    let fits = !value.is_empty() && value.len() <= max_length && value.iter().all(allowed);
    std::str::from_utf8(value).ok().filter(|_| fits).map(Into::into)
}

/// Returns an id of [`HEX_DIGITS`] hexadecimal digits.
fn parse_hex_id(value: &[u8]) -> Option<Box<str>> {
    parse_token(value, HEX_DIGITS)
        .filter(|v| v.len() == HEX_DIGITS && v.bytes().all(|b| b.is_ascii_hexdigit()))
}

/// Parses a request's fields; `None` if a required field is missing, or a known one is repeated or invalid.
/// Unknown fields are ignored. Protects the cache nodes, which close a connection with all that is open on it
/// when they cannot parse a request, and the broker from requests with far deadlines.
pub(super) fn parse(
    now: f64,
    class: ClassId,
    classes: &Classes,
    contracts: &Contracts,
    fields: &[u8],
) -> Option<ClientRequest> {
    const NAMES: [&[u8]; 10] =
        [b"call", b"ttl", b"rep", b"dedupe", b"row", b"slice", b"set", b"heap", b"org", b"seen"];
    let mut request = ClientRequest { class, ..ClientRequest::default() };
    let mut ttl = None;
    let mut seen = [false; NAMES.len()];
    for field in fields.split(|&b| b == b',') {
        let Some(at) = field.iter().position(|&b| b == b'=') else { continue };
        let (name, value) = (&field[..at], &field[at + 1..]);
        let Some(known) = NAMES.iter().position(|n| *n == name) else { continue };
        if std::mem::replace(&mut seen[known], true) {
            return None;
        }
        match name {
            b"call" => request.call = parse_hex_id(value)?,
            b"ttl" => ttl = Some(parse_non_negative(value).filter(|t| (1.0..=MAX_TTL_MS).contains(t))?),
            b"rep" => request.is_retry = parse_u64(value).filter(|&r| r < 2)? == 1,
            b"dedupe" => request.key = Some(parse_token(value, MAX_TOKEN_BYTES)?),
            b"row" => {
                request.asset = parse_hex_id(value)?;
                request.object = ObjectId(u64::from_str_radix(&request.asset, 16).ok()?);
            }
            b"slice" => request.part = parse_u64(value).filter(|&p| p < MAX_PARTS)? as u32,
            b"set" => request.group = Some(GroupId(parse_u64(value).filter(|&g| g < MAX_GROUPS)? as u32)),
            b"heap" => request.size_kb = parse_non_negative(value).filter(|&kb| kb <= MAX_PART_KB)?,
            b"org" => request.team = contracts.find(value),
            b"seen" => request.client_etag = Some(parse_token(value, MAX_TOKEN_BYTES)?),
            _ => {}
        }
    }
    let (longest, keyed) = classes.client_rules(class);
    let patience = (ttl? / 1000.0).min(longest);
    request.deadline =
        now + patience - (patience * ANSWER_MARGIN_SHARE).clamp(MIN_ANSWER_MARGIN, MAX_ANSWER_MARGIN);
    let complete = !request.call.is_empty() && !request.asset.is_empty() && (!keyed || request.key.is_some());
    complete.then_some(request)
}

#[cfg(test)]
mod tests;
