//! Models of the connections' states, against which random steps are checked. Fixed seed, no sockets, no
//! clock but the test's.

mod exchange;
mod feed;
mod memory;
mod parsers;
mod session;

use crate::broker::{AttemptId, ClientRequest, Order};
use crate::interface::{FillOptions, NodeId, RequestId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::rc::Rc;

fn check<S: Strategy>(cases: u32, strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&strategy, test).unwrap_or_else(|e| panic!("{e}"));
}

/// The first attempt of a request.
fn attempt_id(request: u32) -> AttemptId {
    AttemptId { request: RequestId(request), attempt: 0 }
}

fn order(request: u32, call: u8, due: f64) -> Order {
    // Clients of even calls hold a copy.
    let have = call.is_multiple_of(2).then(|| "e0".into());
    let asset = "00000000000000aa".into();
    let ask = ClientRequest {
        call: format!("{call:016x}").into(),
        asset,
        client_etag: have,
        ..ClientRequest::default()
    };
    Order {
        attempt_id: attempt_id(request),
        request: ask.into(),
        class: "media".into(),
        node: NodeId(1),
        source: Some(NodeId(2)),
        rank: 1,
        age: 0.25,
        options: FillOptions { revalidate: true, ..FillOptions::default() },
        due,
        min_created_at: 995.0,
        uncacheable: call.is_multiple_of(3),
        requeues: 0,
        cancelled: Rc::default(),
        begin_by: f64::INFINITY,
    }
}
