//! Log lines: a macro over `eprintln!` with a token bucket, so that a flood of bad input can neither fill a
//! disk nor block the single thread.

use std::cell::Cell;

/// Lines per second that are written; the others are counted, and the next line states their number.
const LINES_PER_S: f64 = 20.0;
/// Lines that may be written at once.
const BURST_LINES: f64 = 60.0;

thread_local! {
    /// Tokens left, when the bucket was last refilled, and lines dropped since the last written line.
    static BUCKET: Cell<(f64, f64, u64)> = const { Cell::new((BURST_LINES, 0.0, 0)) };
}

/// Takes a token for a line. Returns the number of lines dropped before it, or `None` if it must be dropped
/// as well.
pub fn admit(now: f64) -> Option<u64> {
    BUCKET.with(|bucket| {
        let (tokens, at, dropped) = bucket.get();
        let tokens = (tokens + (now - at).max(0.0) * LINES_PER_S).min(BURST_LINES);
        let (state, admitted) = match tokens >= 1.0 {
            true => ((tokens - 1.0, now, 0), Some(dropped)),
            false => ((tokens, now, dropped + 1), None),
        };
        bucket.set(state);
        admitted
    })
}

/// Writes a line to standard error, unless the rate limit drops it.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {
        match $crate::log::admit($crate::clock::now()) {
            Some(0) => eprintln!("onyxyoke: {}", format_args!($($arg)*)),
            Some(dropped) => {
                eprintln!("onyxyoke: {} ({dropped} lines dropped before)", format_args!($($arg)*))
            }
            None => {}
        }
    };
}

#[cfg(test)]
mod tests {
    #[test]
    fn lines_over_the_rate_limit_are_dropped_and_counted() {
        let admitted = (0..1000).filter(|_| super::admit(1e9).is_some()).count();
        assert_eq!(admitted, super::BURST_LINES as usize);
        assert_eq!(super::admit(1e9 + 1.0), Some(1000 - super::BURST_LINES as u64));
    }
}
