//! The requests in flight on a connection, and the names that a late answer may still carry.

use crate::broker::{AttemptId, Order};
use crate::memory::{AccountOwner, Purpose};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// With so many withdrawn requests a connection is given no new ones.
const MAX_WITHDRAWN: usize = 512;
/// Calls that were answered here lately and are remembered, since a second copy of an answer may follow.
const RECENTLY_ANSWERED_CAPACITY: usize = 64;

/// A request that was written and is to be answered.
pub(super) struct InFlightRequest {
    pub(super) attempt_id: AttemptId,
    /// When its first byte was written (Unix seconds).
    pub(super) written_at: f64,
    /// A copy made before is too old (Unix seconds).
    pub(super) oldest: f64,
    /// It runs anew each time, and what it gives is no copy.
    pub(super) uncacheable: bool,
    /// The client holds a copy, so that its tag alone may be answered.
    pub(super) client_has_copy: bool,
    /// Whose request it is, for the accounts.
    pub(super) team: Option<u16>,
    /// What its client has left unread (bytes).
    pub(super) client_unread: Option<Rc<Cell<usize>>>,
}

impl InFlightRequest {
    fn new(order: &Order, written_at: f64) -> Self {
        InFlightRequest {
            attempt_id: order.attempt_id,
            written_at,
            oldest: order.min_created_at,
            uncacheable: order.uncacheable,
            client_has_copy: order.request.client_etag.is_some(),
            team: order.request.team,
            client_unread: order.request.unread_bytes.clone(),
        }
    }

    /// The account that holds memory for its answer.
    pub(super) fn account(&self, purpose: Purpose) -> AccountOwner {
        AccountOwner { purpose, team: self.team, may_use_reserve: self.uncacheable }
    }
}

/// Requests in flight by their call, with the calls that were withdrawn or answered.
#[derive(Default)]
pub(super) struct InFlightTable {
    requests: FxHashMap<Box<str>, InFlightRequest>,
    withdrawn: FxHashSet<Box<str>>,
    recently_answered: VecDeque<Box<str>>,
}

impl InFlightTable {
    /// How many requests are in flight.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Were too many requests withdrawn here to take a new one?
    pub(super) fn is_exhausted(&self) -> bool {
        self.withdrawn.len() >= MAX_WITHDRAWN
    }

    /// Could an answer to this call be taken for no earlier one's?
    pub(super) fn accepts(&self, call: &str) -> bool {
        !self.is_exhausted()
            && !self.requests.contains_key(call)
            && !self.withdrawn.contains(call)
            && self.recently_answered.iter().all(|answered| &**answered != call)
    }

    /// The request in flight under this call.
    pub(super) fn get(&self, call: &str) -> Option<&InFlightRequest> {
        self.requests.get(call)
    }

    /// The first byte of this order was written.
    pub(super) fn insert(&mut self, order: &Order, now: f64) {
        self.requests.insert(order.request.call.clone(), InFlightRequest::new(order, now));
    }

    /// Takes out what is answered; a second copy of the answer may follow under its name.
    pub(super) fn take_answered(&mut self, call: &str) -> Option<InFlightRequest> {
        let (call, request) = self.requests.remove_entry(call)?;
        if self.recently_answered.len() >= RECENTLY_ANSWERED_CAPACITY {
            self.recently_answered.pop_front();
        }
        self.recently_answered.push_back(call);
        Some(request)
    }

    /// Takes out what is cancelled; its answer may still come.
    pub(super) fn withdraw(&mut self, attempt_id: AttemptId) -> Option<(Box<str>, InFlightRequest)> {
        let (call, _) = self.requests.iter().find(|(_, request)| request.attempt_id == attempt_id)?;
        let call = call.clone();
        let request = self.requests.remove(&call)?;
        self.withdrawn.insert(call.clone());
        Some((call, request))
    }

    /// Takes out all that is in flight.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = AttemptId> {
        self.requests.drain().map(|(_, request)| request.attempt_id)
    }
}
