//! The fields of a client's request.

use crate::broker::{ClientRequest, Contracts};
use crate::config::Classes;
use crate::interface::{ClassId, GroupId, ObjectId};
use crate::net::{parse_non_negative, parse_u64};

/// The answer is to be out so long before the client gives up, whose `ttl` counts from its own send: this share of the `ttl`,
/// which is to hold what a busy machine adds on both ways, within these bounds (seconds). The most is what the platform's
/// times are longer by on sockets.
const MARGIN_SHARE: f64 = 0.025;
const MARGIN_LEAST: f64 = 0.015;
const MARGIN_MOST: f64 = 0.05;
/// Longest time that a client may ask for (milliseconds); it is served as if it waited for its class's time.
const TTL_MOST: f64 = 600_000.0;
/// Groups of objects (more would be a mistake).
const GROUPS: u64 = 256;
/// Parts of an object (more would be a mistake).
const PARTS: u64 = 1 << 24;
/// Largest size of a part (KB).
const KB_MOST: f64 = 1e9;
/// Digits of a call and of an object.
const HEX_DIGITS: usize = 16;

/// A word that can be written on the caches' wire as it is: no separators, no spaces, no control bytes.
fn token(value: &[u8], most: usize) -> Option<Box<str>> {
    let fine = |b: &u8| b.is_ascii_graphic() && !b",= ".contains(b);
    let fits = !value.is_empty() && value.len() <= most && value.iter().all(fine);
    std::str::from_utf8(value).ok().filter(|_| fits).map(Into::into)
}

/// So many hexadecimal digits.
fn hex(value: &[u8]) -> Option<Box<str>> {
    token(value, HEX_DIGITS).filter(|v| v.len() == HEX_DIGITS && v.bytes().all(|b| b.is_ascii_hexdigit()))
}

/// Reads a request's fields; `None` if one that is needed is missing, stands twice or cannot be used. Unknown
/// ones are passed over. Guards the cache nodes, which end a connection with all that is open on it over what
/// they cannot read, and the core, which a far deadline would keep busy.
pub(super) fn parse(
    now: f64,
    class: ClassId,
    classes: &Classes,
    contracts: &Contracts,
    fields: &[u8],
) -> Option<ClientRequest> {
    const NAMES: [&[u8]; 10] =
        [b"call", b"ttl", b"rep", b"dedupe", b"row", b"slice", b"set", b"heap", b"org", b"seen"];
    let mut ask = ClientRequest { class, ..ClientRequest::default() };
    let mut ttl = None;
    let mut had = [false; NAMES.len()];
    for field in fields.split(|&b| b == b',') {
        let Some(at) = field.iter().position(|&b| b == b'=') else { continue };
        let (name, value) = (&field[..at], &field[at + 1..]);
        let Some(known) = NAMES.iter().position(|n| *n == name) else { continue };
        if std::mem::replace(&mut had[known], true) {
            return None;
        }
        match name {
            b"call" => ask.call = hex(value)?,
            b"ttl" => ttl = Some(parse_non_negative(value).filter(|t| (1.0..=TTL_MOST).contains(t))?),
            b"rep" => ask.is_retry = parse_u64(value).filter(|&r| r < 2)? == 1,
            b"dedupe" => ask.key = Some(token(value, 128)?),
            b"row" => {
                ask.asset = hex(value)?;
                ask.object = ObjectId(u64::from_str_radix(&ask.asset, 16).ok()?);
            }
            b"slice" => ask.part = parse_u64(value).filter(|&p| p < PARTS)? as u32,
            b"set" => ask.group = GroupId(parse_u64(value).filter(|&g| g < GROUPS)? as u32),
            b"heap" => ask.size_kb = parse_non_negative(value).filter(|&kb| kb <= KB_MOST)?,
            b"org" => ask.team = contracts.find(value),
            b"seen" => ask.client_etag = Some(token(value, 128)?),
            _ => {}
        }
    }
    let (longest, keyed) = classes.client_rules(class);
    let waits = (ttl? / 1000.0).min(longest);
    ask.deadline = now + waits - (waits * MARGIN_SHARE).clamp(MARGIN_LEAST, MARGIN_MOST);
    let whole = !ask.call.is_empty() && !ask.asset.is_empty() && (!keyed || ask.key.is_some());
    whole.then_some(ask)
}

#[cfg(test)]
mod tests;
