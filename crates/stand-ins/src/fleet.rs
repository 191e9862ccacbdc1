//! The cache nodes, parents and origin of a whole fleet. Each node has a link that its transfers share,
//! stores the objects that were requested last, starts cold, and listens at a separate address for each
//! front, so that it knows which front sent a request and the path between one front and one node can fail
//! alone. Nodes report attempts to a [`Record`].

mod node;
mod objects;
mod record;
mod tier;

pub use node::{Health, Kind, Node, Path};
pub use objects::{body, ids, object, read_body, work};
pub use record::{ObservedAttempt, Record};
pub use tier::Tier;
