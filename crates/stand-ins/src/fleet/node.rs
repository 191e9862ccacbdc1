//! A node: its link, stored objects, health, membership record and the network paths to it.

use crate::link::Link;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot, watch};

/// Objects that a cache node and a parent store before they evict the oldest.
const MAX_STORED_OBJECTS: [usize; 2] = [1_500, 20_000];

/// The kind of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Cache,
    Parent,
    Origin,
}

/// The condition of the network path from one front to one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Path {
    Open,
    /// Nothing listens: new connections are refused and open ones are closed.
    Down,
    /// Connections are accepted and stay open, but nothing is answered.
    Silent,
    /// Connections are closed as soon as data arrives on them.
    Reset,
    /// Requests and answers are each delayed by this time in seconds.
    Delayed(f64),
    /// This share of connections is half-open: data is read and nothing is answered.
    HalfOpen(f64),
}

/// The health of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Divisor of the link's capacity.
    pub slow: f64,
    /// Share of requests that are answered at once with an error.
    pub failing: f64,
    /// Share of answers that break off in the middle, with the end of their connection.
    pub breaking: f64,
    /// When it started, in Unix seconds; its link has full capacity `cold.1` seconds later.
    pub started: f64,
    /// Share of the link's capacity at the start, and seconds until it is full.
    pub cold: (f64, f64),
}

/// The mutable state of a node.
pub(super) struct State {
    pub(super) link: Link,
    pub(super) health: Health,
    /// When each stored copy was made (Unix milliseconds), and the order of insertion for eviction.
    pub(super) stored: (HashMap<u64, u64>, VecDeque<u64>),
    /// Waiting transfers by id; each gets the time at which it was due to complete.
    pub(super) completions: HashMap<u64, oneshot::Sender<f64>>,
    pub(super) last_transfer: u64,
    id: u32,
    /// Its state in the membership list (0 ready, 1 draining, 2 gone), and its listed start time (Unix
    /// milliseconds).
    listed: (u8, u64),
}

/// A cache node, parent or origin.
pub struct Node {
    /// Its index in [`Tier::nodes`](super::Tier::nodes).
    pub place: usize,
    pub kind: Kind,
    /// The usual capacity of its link, in transfers at full rate.
    pub usual_capacity: f64,
    /// The name of its zone in the list.
    pub zone: String,
    pub(super) state: Mutex<State>,
    pub(super) changed: Notify,
    /// For each front: the listening address, and the condition of the path.
    pub(super) paths: Mutex<HashMap<usize, (SocketAddr, watch::Sender<Path>)>>,
}

pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates a warm node.
    pub fn new(place: usize, id: u32, kind: Kind, usual_capacity: f64, zone: String) -> Arc<Node> {
        let health = Health { slow: 1.0, failing: 0.0, breaking: 0.0, started: 0.0, cold: (1.0, 1.0) };
        let state = State {
            link: Link::new(usual_capacity),
            health,
            stored: Default::default(),
            completions: HashMap::new(),
            last_transfer: 0,
            id,
            listed: (0, 0),
        };
        Arc::new(Node {
            place,
            kind,
            usual_capacity,
            zone,
            state: Mutex::new(state),
            changed: Notify::new(),
            paths: Mutex::default(),
        })
    }

    /// Changes the health.
    pub fn set(&self, change: impl FnOnce(&mut Health)) {
        change(&mut locked(&self.state).health);
        self.changed.notify_one();
    }

    /// Sets the state and start time that its membership record shows.
    pub fn set_listed(&self, state: u8, started_ms: u64) {
        locked(&self.state).listed = (state, started_ms);
    }

    /// The id in its membership record.
    pub fn id(&self) -> u32 {
        locked(&self.state).id
    }

    /// Sets another id, as if another node had replaced it.
    pub fn set_id(&self, id: u32) {
        locked(&self.state).id = id;
    }

    /// The state and start time that its membership record shows.
    pub fn listed(&self) -> (u8, u64) {
        locked(&self.state).listed
    }

    /// Deletes all copies.
    pub fn delete_copies(&self) {
        locked(&self.state).stored = Default::default();
    }

    /// Sets the condition of the path from one front, or from all.
    pub fn set_path(&self, front: Option<usize>, path: Path) {
        let paths = locked(&self.paths);
        let selected = paths.iter().filter(|(f, _)| front.is_none_or(|front| **f == front));
        for (_, (_, sender)) in selected {
            sender.send_replace(path);
        }
    }

    /// Returns the address at which a front reaches it.
    pub fn address(&self, front: usize) -> Option<SocketAddr> {
        locked(&self.paths).get(&front).map(|p| p.0)
    }

    /// Returns the work done since the last call, in seconds of sending.
    pub fn take_done(&self, now: f64) -> f64 {
        locked(&self.state).link.take_done(now)
    }

    /// Deletes copies made before this time (Unix milliseconds).
    pub fn delete_copies_before(&self, before: u64) {
        let state = &mut *locked(&self.state);
        state.stored.0.retain(|_, made| *made >= before);
        let stored = &state.stored.0;
        state.stored.1.retain(|object| stored.contains_key(object));
    }

    /// Returns when its copy of the object was made (Unix milliseconds), if it has one.
    pub(super) fn copy_made_at(&self, object: u64) -> Option<u64> {
        locked(&self.state).stored.0.get(&object).copied()
    }

    pub(super) fn store(&self, object: u64, made: u64) {
        let max_objects = MAX_STORED_OBJECTS[usize::from(self.kind == Kind::Parent)];
        let state = &mut *locked(&self.state);
        if state.stored.0.insert(object, made).is_none() {
            state.stored.1.push_back(object);
            if state.stored.1.len() > max_objects
                && let Some(oldest) = state.stored.1.pop_front()
            {
                state.stored.0.remove(&oldest);
            }
        }
    }
}
