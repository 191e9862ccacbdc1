//! Stand-ins for the peers of a front: cache nodes, the origin, the coordinator, a discovery server and a
//! signer of links. Each implements the published protocol, independently of the front's code, and listens on
//! loopback only.
#![forbid(unsafe_code)]

pub mod caches;
pub mod command;
pub mod coordinator;
pub mod fleet;
pub mod link;
pub mod scripted;

use std::time::{SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Returns the value of a request's field in the cache node protocol, where fields are
/// `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

/// Maximum length of an object in bytes.
pub const MAX_OBJECT_BYTES: usize = 240_000;

/// Returns an object name that encodes the object's length, so that a client can check every byte of the
/// answer.
pub fn row_with_length(number: u64, length: usize) -> u64 {
    number << 20 | length as u64
}

/// Replaces the contents of `out` with the bytes of the object of that name.
pub fn write_body(row: u64, out: &mut Vec<u8>) {
    let length = (row as usize & 0xf_ffff).min(MAX_OBJECT_BYTES);
    let word = (row.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1).to_le_bytes();
    out.clear();
    out.extend(word.iter().cycle().take(length));
}
