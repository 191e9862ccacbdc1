//! The cache nodes, parents and origin of a whole fleet. Each has a link that its transfers share, holds what it was
//! asked for lately, starts cold, and listens at an address for each front alone, so that it knows who asks and a path
//! between one front and one node can fail by itself. What it sees goes to a record of the test's own.

mod node;
mod objects;
mod record;
mod tier;

pub use node::{Health, Kind, Node, Path};
pub use objects::{body, ids, object, read_body, work};
pub use record::{ObservedAttempt, Record};
pub use tier::Tier;
