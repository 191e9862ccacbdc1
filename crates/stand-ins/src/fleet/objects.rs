//! Objects whose names encode their work and whose bodies contain their names, and ids of nodes.

use std::collections::HashSet;

/// Returns an object name that encodes the object's work, in units of 0.1 ms of sending.
pub fn object(number: u64, work: f64) -> u64 {
    number << 20 | (work * 10_000.0).clamp(1.0, 1e6) as u64 & 0xf_ffff
}

/// Returns the work that an object's name encodes, in seconds of sending.
pub fn work(object: u64) -> f64 {
    (object & 0xf_ffff) as f64 / 10_000.0
}

/// Returns the body of a copy: the object, the time when the copy was made, and padding to the minimum
/// length.
pub fn body(object: u64, made: u64, min_bytes: usize) -> String {
    let mut body = format!("{object:016x} {made}");
    if body.len() < min_bytes {
        body.push(' ');
        body.extend(std::iter::repeat_n('.', min_bytes.saturating_sub(body.len() + 1)));
        body.push('!');
    }
    body
}

/// Parses a body: returns the object and when the copy was made, or `None` if the body is incomplete.
pub fn read_body(bytes: &[u8]) -> Option<(u64, u64)> {
    let mut words = std::str::from_utf8(bytes).ok()?.split(' ');
    let (object, made) = (words.next()?, words.next()?);
    // The padding has an end mark, so that a truncated body is detected.
    let is_padding = |word: &str| word.strip_suffix('!').is_some_and(|dots| dots.bytes().all(|b| b == b'.'));
    if !words.all(is_padding) {
        return None;
    }
    Some((u64::from_str_radix(object, 16).ok()?, made.parse().ok()?))
}

/// Returns distinct ids in no particular order.
pub fn ids(count: usize) -> Vec<u32> {
    let mut seen = HashSet::new();
    (1u32..).map(|i| i.wrapping_mul(0x9e37_79b9)).filter(|id| seen.insert(*id)).take(count).collect()
}
