//! The requests in flight on a connection, and the call ids that a late answer may still carry.

use crate::broker::{AttemptId, Order};
use crate::memory::{AccountOwner, Purpose};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// After so many withdrawn requests, a connection accepts no new ones.
const MAX_WITHDRAWN: usize = 512;
/// How many answered calls are remembered, since a second copy of an answer may follow.
const RECENTLY_ANSWERED_CAPACITY: usize = 64;

/// A request that was written and not answered.
pub(super) struct InFlightRequest {
    pub(super) attempt_id: AttemptId,
    /// When its first byte was written (Unix seconds).
    pub(super) written_at: f64,
    /// Earliest creation time of an acceptable copy (Unix seconds).
    pub(super) min_created_at: f64,
    /// The request is executed each time, and its result is never cached.
    pub(super) uncacheable: bool,
    /// The client holds a copy, so that the node may answer that this copy is valid.
    pub(super) client_has_copy: bool,
    /// The team whose memory account is charged.
    pub(super) team: Option<u16>,
    /// Number of bytes of answers that the client has not read yet.
    pub(super) client_unread: Option<Rc<Cell<usize>>>,
}

impl InFlightRequest {
    fn new(order: &Order, written_at: f64) -> Self {
        InFlightRequest {
            attempt_id: order.attempt_id,
            written_at,
            min_created_at: order.min_created_at,
            uncacheable: order.uncacheable,
            client_has_copy: order.request.client_etag.is_some(),
            team: order.request.team,
            client_unread: order.request.unread_bytes.clone(),
        }
    }

    /// Returns the account that is charged for its answer.
    pub(super) fn account(&self, purpose: Purpose) -> AccountOwner {
        AccountOwner { purpose, team: self.team, may_use_reserve: self.uncacheable }
    }
}

/// Requests in flight by call id, and the call ids that were withdrawn or answered.
#[derive(Default)]
pub(super) struct InFlightTable {
    requests: FxHashMap<Box<str>, InFlightRequest>,
    withdrawn: FxHashSet<Box<str>>,
    recently_answered: VecDeque<Box<str>>,
}

impl InFlightTable {
    /// Returns the number of requests in flight.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether too many requests were withdrawn to accept a new one.
    pub(super) fn is_exhausted(&self) -> bool {
        self.withdrawn.len() >= MAX_WITHDRAWN
    }

    /// Returns whether a request with this call id can be accepted: no answer to an earlier one may be
    /// mistaken for its own.
    pub(super) fn accepts(&self, call: &str) -> bool {
        !self.is_exhausted()
            && !self.requests.contains_key(call)
            && !self.withdrawn.contains(call)
            && self.recently_answered.iter().all(|answered| &**answered != call)
    }

    /// Returns the request in flight under this call id.
    pub(super) fn get(&self, call: &str) -> Option<&InFlightRequest> {
        self.requests.get(call)
    }

    /// Adds an order whose first byte was written.
    pub(super) fn insert(&mut self, order: &Order, now: f64) {
        self.requests.insert(order.request.call.clone(), InFlightRequest::new(order, now));
    }

    /// Removes a request that is answered, and remembers its call id, since a second copy of the answer may
    /// follow.
    pub(super) fn take_answered(&mut self, call: &str) -> Option<InFlightRequest> {
        let (call, request) = self.requests.remove_entry(call)?;
        if self.recently_answered.len() >= RECENTLY_ANSWERED_CAPACITY {
            self.recently_answered.pop_front();
        }
        self.recently_answered.push_back(call);
        Some(request)
    }

    /// Removes a request that is cancelled, and remembers its call id, since its answer may still arrive.
    pub(super) fn withdraw(&mut self, attempt_id: AttemptId) -> Option<(Box<str>, InFlightRequest)> {
        let (call, _) = self.requests.iter().find(|(_, request)| request.attempt_id == attempt_id)?;
        let call = call.clone();
        let request = self.requests.remove(&call)?;
        self.withdrawn.insert(call.clone());
        Some((call, request))
    }

    /// Removes all requests in flight and returns their attempt ids.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = AttemptId> {
        self.requests.drain().map(|(_, request)| request.attempt_id)
    }
}
