//! onyxyoke makes the decisions of a front (a *director*) for caches of large objects behind thin links.
//!
//! A director learns, per count of positive beliefs, how often its belief that an edge cache holds an
//! object is wrong, and picks the edge cache and the source of a fill by least expected cost. The policy
//! is one module, [`Director`]; the types it speaks are in [`interface`]. It opens no sockets and reads no
//! clock: the host hands in events with the time they happened and carries out the actions. Around it stand
//! the [`broker`], a core that knows no wire, the platform's wires in [`net`], the front for signed links in
//! [`signed`], and discovery in [`xds`] form.
//!
//! ```
//! use onyxyoke::interface::*;
//! use onyxyoke::Director;
//!
//! let mut settings = Settings { origin_kind: 2, max_attempts: 4, ..Settings::default() };
//! settings.classes.push(Class { aim: 0.5, deadline: 3.0, ..Class::default() });
//! let edge = Node { id: NodeId(7), ..Node::default() };
//! let origin = Node { id: NodeId(1), kind: 2, ..Node::default() };
//! let mut director = Director::new(42, settings);
//! let mut actions = Vec::new();
//! director.handle(0.0, Event::List { kind: ListKind::Cached, nodes: vec![edge, origin].into() }, &mut actions);
//! let request = Request { id: RequestId(1), expires: 3.0, object: ObjectId(99), ..Request::default() };
//! director.handle(0.1, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Fetch { node: NodeId(7), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod broker;
pub mod clock;
pub mod config;
mod director;
pub mod interface;
pub mod log;
pub mod membership;
pub mod memory;
pub mod net;
#[cfg(feature = "planted")]
pub mod planted;
pub mod rollout;
pub mod routing;
pub mod signed;
pub mod spread;
pub mod state;
pub mod turns;
pub mod watch;
pub mod xds;

pub use director::Director;

/// The README's example, compiled with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
