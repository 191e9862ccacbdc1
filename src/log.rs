//! Log lines: one macro over `eprintln!`, rate-limited so that a storm of bad input cannot fill a disk or
//! hold up the one thread.

use std::cell::Cell;

/// Lines a second that are let through; the rest are counted and told of with the next line.
const LINES_PER_S: f64 = 20.0;
/// Lines that may come at once.
const BURST: f64 = 60.0;

thread_local! {
    /// Tokens left, when they were last topped up, lines dropped since the last one written.
    static BUCKET: Cell<(f64, f64, u64)> = const { Cell::new((BURST, 0.0, 0)) };
}

/// Takes a token; `None` if the line is to be dropped, else how many were dropped before it.
pub fn admit(now: f64) -> Option<u64> {
    BUCKET.with(|bucket| {
        let (tokens, at, dropped) = bucket.get();
        let tokens = (tokens + (now - at).max(0.0) * LINES_PER_S).min(BURST);
        let (state, verdict) = match tokens >= 1.0 {
            true => ((tokens - 1.0, now, 0), Some(dropped)),
            false => ((tokens, now, dropped + 1), None),
        };
        bucket.set(state);
        verdict
    })
}

/// Writes one line to standard error, unless too many were written lately.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {
        match $crate::log::admit($crate::clock::now()) {
            Some(0) => eprintln!("onyxyoke: {}", format_args!($($arg)*)),
            Some(dropped) => eprintln!("onyxyoke: {} ({dropped} lines dropped before)", format_args!($($arg)*)),
            None => {}
        }
    };
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_storm_of_lines_is_cut_and_counted() {
        let let_through = (0..1000).filter(|_| super::admit(1e9).is_some()).count();
        assert_eq!(let_through, super::BURST as usize);
        assert_eq!(super::admit(1e9 + 1.0), Some(1000 - super::BURST as u64));
    }
}
