//! A node: its link, what it holds, its health, its place in the list, and the ways to it.

use crate::link::Link;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot, watch};

/// Objects that a cache and a parent hold.
const HELD: [usize; 2] = [1_500, 20_000];

/// What a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Cache,
    Parent,
    Origin,
}

/// How the way from one front to one node is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Path {
    Open,
    /// Nobody listens: connections are refused, and those that were open end.
    Down,
    /// Nothing passes: connections stay open, or come up, and say nothing.
    Silent,
    /// Connections end as soon as anything comes over them.
    Reset,
    /// Everything takes so much longer (seconds).
    Delayed(f64),
    /// This share of connections is up and dead: what comes over them is taken, and nothing is said.
    HalfOpen(f64),
}

/// How a node does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Its link is so many times as thin.
    pub slow: f64,
    /// This share of requests is answered at once with an error.
    pub failing: f64,
    /// This share of answers breaks off in the middle, and its connection ends.
    pub breaking: f64,
    /// When it started, in Unix seconds, if it is still cold; it has its whole link `cold.1` seconds after.
    pub started: f64,
    /// Share of its link at the start, and time until it has all (seconds).
    pub cold: (f64, f64),
}

pub(super) struct State {
    pub(super) link: Link,
    pub(super) health: Health,
    pub(super) held: (HashMap<u64, u64>, VecDeque<u64>),
    pub(super) whole: HashMap<u64, oneshot::Sender<f64>>,
    pub(super) next: u64,
    id: u32,
    /// Its state in the list (0 ready, 1 draining, 2 gone), and when it started as the list has it (Unix
    /// milliseconds).
    listed: (u8, u64),
}

/// A node.
pub struct Node {
    pub place: usize,
    pub kind: Kind,
    /// Its link, in transfers at full pace.
    pub usual: f64,
    /// The name of its zone in the list.
    pub zone: String,
    pub(super) state: Mutex<State>,
    pub(super) changed: Notify,
    /// By front: where it listens, and how the way there is.
    pub(super) paths: Mutex<HashMap<usize, (SocketAddr, watch::Sender<Path>)>>,
}

pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// A node that was up for long.
    pub fn new(place: usize, id: u32, kind: Kind, usual: f64, zone: String) -> Arc<Node> {
        let health = Health { slow: 1.0, failing: 0.0, breaking: 0.0, started: 0.0, cold: (1.0, 1.0) };
        let state = State {
            link: Link::new(usual),
            health,
            held: Default::default(),
            whole: HashMap::new(),
            next: 0,
            id,
            listed: (0, 0),
        };
        Arc::new(Node {
            place,
            kind,
            usual,
            zone,
            state: Mutex::new(state),
            changed: Notify::new(),
            paths: Mutex::default(),
        })
    }

    /// It does so from now on.
    pub fn set(&self, change: impl FnOnce(&mut Health)) {
        change(&mut locked(&self.state).health);
        self.changed.notify_one();
    }

    /// Its state in the list and its start, as they are told from now on.
    pub fn list(&self, state: u8, started_ms: u64) {
        locked(&self.state).listed = (state, started_ms);
    }

    /// Its id in the list.
    pub fn id(&self) -> u32 {
        locked(&self.state).id
    }

    /// Another node is in its place.
    pub fn rename(&self, id: u32) {
        locked(&self.state).id = id;
    }

    /// The same as last told.
    pub fn listed(&self) -> (u8, u64) {
        locked(&self.state).listed
    }

    /// Its copies are gone.
    pub fn empty(&self) {
        locked(&self.state).held = Default::default();
    }

    /// The way from a front, or from all, is so from now on.
    pub fn path(&self, front: Option<usize>, path: Path) {
        let paths = locked(&self.paths);
        let these = paths.iter().filter(|(f, _)| front.is_none_or(|front| **f == front));
        for (_, (_, sender)) in these {
            sender.send_replace(path);
        }
    }

    /// Where a front reaches it.
    pub fn address(&self, front: usize) -> Option<SocketAddr> {
        locked(&self.paths).get(&front).map(|p| p.0)
    }

    /// Work done since this was last asked (seconds of sending).
    pub fn take_done(&self, now: f64) -> f64 {
        locked(&self.state).link.take_done(now)
    }

    /// Copies made before this are gone (Unix milliseconds).
    pub fn forget(&self, before: u64) {
        let state = &mut *locked(&self.state);
        state.held.0.retain(|_, made| *made >= before);
        let held = &state.held.0;
        state.held.1.retain(|object| held.contains_key(object));
    }

    /// When the copy that it holds was made (Unix milliseconds).
    pub(super) fn holds(&self, object: u64) -> Option<u64> {
        locked(&self.state).held.0.get(&object).copied()
    }

    pub(super) fn keep(&self, object: u64, made: u64) {
        let most = HELD[usize::from(self.kind == Kind::Parent)];
        let state = &mut *locked(&self.state);
        if state.held.0.insert(object, made).is_none() {
            state.held.1.push_back(object);
            if state.held.1.len() > most
                && let Some(old) = state.held.1.pop_front()
            {
                state.held.0.remove(&old);
            }
        }
    }
}
