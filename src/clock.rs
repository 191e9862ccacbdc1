//! The only reads of the clock: the system's Unix time in seconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Seconds since the Unix epoch.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// The instant of a Unix time, for sleeping: a past time gives now, and one more than a day away a day from
/// now.
pub fn instant(at: f64) -> Instant {
    Instant::now() + Duration::from_secs_f64((at - now()).clamp(0.0, 86_400.0))
}
