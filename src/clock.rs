//! The one place that reads the time: the system's Unix clock, in seconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Seconds since the Unix epoch.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// The instant to sleep until for a Unix time; one that has passed is now, one far off is a day away.
pub fn instant(at: f64) -> Instant {
    Instant::now() + Duration::from_secs_f64((at - now()).clamp(0.0, 86_400.0))
}
