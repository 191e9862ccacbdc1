//! Absolute times at which something is to be done.

use crate::interface::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The director asked to be woken.
    Alarm(u64),
    /// A request's time, or that of its attempt, is up.
    Deadline(RequestId),
    /// Whoever had this attempt of a request has heard by now that it was given up.
    Propagated(RequestId, u16),
}

/// A heap of timers by Unix time, kept in microseconds.
#[derive(Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<(u64, Timer)>>);

impl Timers {
    /// Sets one.
    pub fn set(&mut self, at: f64, timer: Timer) {
        self.0.push(Reverse(((at.max(0.0) * 1e6).ceil() as u64, timer)));
    }

    /// When the next is due.
    pub fn next(&self) -> Option<f64> {
        self.0.peek().map(|t| t.0.0 as f64 / 1e6)
    }

    /// Bytes that it takes.
    pub fn footprint(&self) -> usize {
        self.0.capacity() * size_of::<Reverse<(u64, Timer)>>()
    }

    /// Takes one that is due.
    pub fn due(&mut self, now: f64) -> Option<Timer> {
        self.next().filter(|&at| at <= now)?;
        self.0.pop().map(|t| t.0.1)
    }
}
