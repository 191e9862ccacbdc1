//! A queue of timers by absolute time.

use crate::interface::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What to do when a timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Deliver an alarm that the director requested.
    Director(u64),
    /// Check the deadline of a request and the timeout of its attempt.
    Deadline(RequestId),
    /// End an abandoned attempt: its node has read the cancel or reset by now.
    Abandoned(RequestId, u16),
}

/// A heap of timers by Unix time, kept in microseconds.
#[derive(Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<(u64, Timer)>>);

impl Timers {
    /// Adds a timer that fires at `at` (Unix seconds).
    pub fn set(&mut self, at: f64, timer: Timer) {
        self.0.push(Reverse(((at.max(0.0) * 1e6).ceil() as u64, timer)));
    }

    /// Returns when the next timer is due (Unix seconds).
    pub fn next(&self) -> Option<f64> {
        self.0.peek().map(|t| t.0.0 as f64 / 1e6)
    }

    /// Returns the heap memory in use (bytes).
    pub fn footprint(&self) -> usize {
        self.0.capacity() * size_of::<Reverse<(u64, Timer)>>()
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn due(&mut self, now: f64) -> Option<Timer> {
        self.next().filter(|&at| at <= now)?;
        self.0.pop().map(|t| t.0.1)
    }
}
