//! Stand-ins for what a front talks to: cache nodes and the origin, the coordinator, a discovery server, a signer.
//! Each speaks the published form of its wire and knows nothing of the front. They listen on loopback only.
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

/// A field of a request on a cache node's wire, where the fields are `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

/// Most bytes of an object.
pub const LARGEST: usize = 240_000;

/// An object whose name tells its length, so that whoever asked can check every byte of the answer.
pub fn row(number: u64, length: usize) -> u64 {
    number << 20 | length as u64
}

/// Fills `out` with the bytes of an object of that name.
pub fn body(row: u64, out: &mut Vec<u8>) {
    let length = (row as usize & 0xf_ffff).min(LARGEST);
    let word = (row.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1).to_le_bytes();
    out.clear();
    out.extend(word.iter().cycle().take(length));
}
