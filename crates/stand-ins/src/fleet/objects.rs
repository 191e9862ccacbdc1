//! Objects whose names tell their work and whose bytes tell their names, and ids of nodes.

use std::collections::HashSet;

/// An object whose name tells its work, in tenths of milliseconds of sending.
pub fn object(number: u64, work: f64) -> u64 {
    number << 20 | (work * 10_000.0).clamp(1.0, 1e6) as u64 & 0xf_ffff
}

/// The work that an object's name tells (seconds of sending).
pub fn work(object: u64) -> f64 {
    (object & 0xf_ffff) as f64 / 10_000.0
}

/// The bytes of a copy, which tell whose it is and when it was made; so many at least.
pub fn body(object: u64, made: u64, least: usize) -> String {
    let mut body = format!("{object:016x} {made}");
    if body.len() < least {
        body.push(' ');
        body.extend(std::iter::repeat_n('.', least.saturating_sub(body.len() + 1)));
        body.push('!');
    }
    body
}

/// Reads them again: the object and when the copy was made.
pub fn read_body(bytes: &[u8]) -> Option<(u64, u64)> {
    let mut words = std::str::from_utf8(bytes).ok()?.split(' ');
    let (object, made) = (words.next()?, words.next()?);
    // What fills it up has an end, so that a shorter one is told from a whole one.
    let filling = |rest: &str| rest.strip_suffix('!').is_some_and(|dots| dots.bytes().all(|b| b == b'.'));
    if !words.all(filling) {
        return None;
    }
    Some((u64::from_str_radix(object, 16).ok()?, made.parse().ok()?))
}

/// Ids that say nothing of the order, all different.
pub fn ids(count: usize) -> Vec<u32> {
    let mut seen = HashSet::new();
    (1u32..).map(|i| i.wrapping_mul(0x9e37_79b9)).filter(|id| seen.insert(*id)).take(count).collect()
}
