//! A link whose capacity is shared evenly by its transfers, each at its full rate at most: processor sharing
//! in virtual time, so that a change costs logarithmic time in the number of transfers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A shared link. Times are in seconds, work is in seconds of sending at the full rate of one transfer.
#[derive(Debug)]
pub struct Link {
    /// Capacity: the number of transfers that the link sends at full rate.
    pub size: f64,
    /// Each transfer's end in virtual time (as the bits of the float, which sort in the same order) and its
    /// id.
    scheduled: BinaryHeap<Reverse<(u64, u64)>>,
    /// Number of transfers in flight.
    active: usize,
    /// Ids of cancelled transfers that are still in `scheduled`.
    cancelled: std::collections::HashSet<u64>,
    /// Virtual time: the work done for a transfer that was on the link from the start.
    virtual_now: f64,
    /// When the virtual time was last advanced.
    updated_at: f64,
    /// Incremented with each change of the rate, so that a caller can detect that a planned end is out of
    /// date.
    pub version: u64,
    /// Work done since the last `take_done`.
    work_done: f64,
}

impl Link {
    /// Creates an idle link of this capacity.
    pub fn new(size: f64) -> Self {
        Link {
            size,
            scheduled: BinaryHeap::new(),
            active: 0,
            cancelled: Default::default(),
            virtual_now: 0.0,
            updated_at: 0.0,
            version: 0,
            work_done: 0.0,
        }
    }

    /// The share of the full rate that each transfer gets.
    fn rate(&self) -> f64 {
        if self.active == 0 { 0.0 } else { (self.size / self.active as f64).min(1.0) }
    }

    /// Advances the virtual time to `now`.
    pub fn advance(&mut self, now: f64) {
        let step = (now - self.updated_at).max(0.0) * self.rate();
        self.virtual_now += step;
        self.work_done += step * self.active as f64;
        self.updated_at = now;
    }

    /// Starts a transfer.
    pub fn add(&mut self, now: f64, id: u64, work: f64) {
        self.advance(now);
        self.scheduled.push(Reverse(((self.virtual_now + work.max(1e-6)).to_bits(), id)));
        self.active += 1;
        self.version += 1;
    }

    /// Cancels a transfer.
    pub fn remove(&mut self, now: f64, id: u64) {
        self.advance(now);
        if self.scheduled.iter().any(|d| d.0.1 == id) && self.cancelled.insert(id) {
            self.active -= 1;
            self.version += 1;
        }
    }

    /// Changes the capacity.
    pub fn resize(&mut self, now: f64, size: f64) {
        self.advance(now);
        self.size = size;
        self.version += 1;
    }

    /// Cancels all transfers.
    pub fn clear(&mut self, now: f64) {
        self.advance(now);
        self.scheduled.clear();
        self.cancelled.clear();
        self.active = 0;
        self.version += 1;
    }

    /// Returns when the next transfer will complete if nothing changes.
    pub fn next_end(&mut self) -> Option<f64> {
        while let Some(Reverse((_, id))) = self.scheduled.peek() {
            if !self.cancelled.remove(id) {
                break;
            }
            self.scheduled.pop();
        }
        let Reverse((end, _)) = self.scheduled.peek()?;
        Some(self.updated_at + (f64::from_bits(*end) - self.virtual_now).max(0.0) / self.rate())
    }

    /// Removes and returns the transfers that are complete by now.
    pub fn take_complete(&mut self, now: f64) -> Vec<u64> {
        self.advance(now);
        let mut whole = Vec::new();
        while let Some(Reverse((end, id))) = self.scheduled.peek().copied() {
            let cancelled = self.cancelled.contains(&id);
            if !cancelled && f64::from_bits(end) > self.virtual_now + 1e-9 {
                break;
            }
            self.scheduled.pop();
            if !self.cancelled.remove(&id) {
                self.active -= 1;
                self.version += 1;
                whole.push(id);
            }
        }
        whole
    }

    /// The number of transfers in flight.
    #[cfg(test)]
    fn active(&self) -> usize {
        self.active
    }

    /// Returns the work done since the last call.
    pub fn take_done(&mut self, now: f64) -> f64 {
        self.advance(now);
        std::mem::take(&mut self.work_done)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn transfers_share_the_link_evenly_up_to_the_full_rate() {
        let mut link = Link::new(2.0);
        link.add(0.0, 1, 1.0);
        assert_eq!(link.next_end(), Some(1.0), "one transfer at the full rate");
        link.add(0.0, 2, 1.0);
        link.add(0.0, 3, 1.0);
        link.add(0.0, 4, 1.0);
        assert_eq!(link.next_end(), Some(2.0), "four transfers on a link of capacity two");
        link.remove(1.0, 4);
        link.remove(1.0, 3);
        assert_eq!(
            link.next_end(),
            Some(1.5),
            "half of the work is done, and the rest is sent at the full rate"
        );
        let mut whole = link.take_complete(1.5);
        whole.sort_unstable();
        assert_eq!((whole, link.active()), (vec![1, 2], 0));
        assert!((link.take_done(2.0) - 3.0).abs() < 1e-9);
    }
}
