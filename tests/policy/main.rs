//! Tests of the decision module through its interface: the mechanism and each of its guards.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod beliefs;
mod health;
mod membership;
mod peers;
mod placement;
mod purges;
mod retries;
mod slow_start;
mod sources;
mod stalls;
