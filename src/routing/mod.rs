//! The tables that routing decisions are based on. Each is bounded in bytes and uses neither I/O nor a clock.

mod beliefs;
mod exclusion;
mod groups;
mod load;
mod purges;
mod sizes;
mod stalls;

pub use beliefs::Beliefs;
pub use exclusion::{Exclusion, HOLDER_COUNTS};
pub use groups::ObjectGroups;
pub use load::{CachePace, FULL_LINK_SLOWDOWN, FadingCount, SharedLink, fade, smooth};
pub use purges::{Purge, Purges};
pub use sizes::SizeFairness;
pub use stalls::{FrontStalls, NodeStalls, RECHECK_DELAY};
