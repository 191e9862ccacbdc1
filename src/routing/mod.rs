//! What routes are decided by: tables made for the director, each bounded in bytes and without I/O or clock.

mod beliefs;
mod purges;

pub use beliefs::Beliefs;
pub use purges::Purges;
