//! What routes are decided by: tables made for the director, each bounded in bytes and without I/O or clock.

mod beliefs;
mod exclusion;
mod load;
mod purges;
mod silence;
mod sizes;

pub use beliefs::Beliefs;
pub use exclusion::{COUNTS, Exclusion};
pub use load::{Pace, Pipe, STRETCHED, fade, smooth};
pub use purges::Purges;
pub use silence::{Hearing, RECHECK, Standstill};
pub use sizes::Sizes;
