//! Tests of `request.rs`.

use super::parse;
use crate::broker::Contracts;
use crate::config::Classes;
use crate::interface::{Class, ClassId};

/// How long a request with this `ttl` (milliseconds) is tried (seconds).
fn time_to_deadline(ttl: u32) -> f64 {
    let class = Class { deadline: 3.0, ..Class::default() };
    let classes = Classes::new(vec!["media".to_owned()], &[class]);
    let fields = format!("call=9b1f03aa5c7e2d41,ttl={ttl},row=7f3a9c21e0b4d655,slice=0,set=17,heap=10.5");
    let ask = parse(1000.0, ClassId(0), &classes, &Contracts::default(), fields.as_bytes()).unwrap();
    ask.deadline - 1000.0
}

/// Guards against giving up on an object that takes 0.12 s to send, and 0.01 s to be requested and to arrive,
/// while its client waits for 0.15 s.
#[test]
fn a_short_ttl_is_used_almost_entirely() {
    let patience = time_to_deadline(150);
    assert!((0.12 + 0.01..0.15).contains(&patience), "{patience}");
}

/// Guards against refusals that come too late: with a margin of 15 ms the request or its refusal was delayed
/// by as much under load, and the client left without an answer.
#[test]
fn a_ttl_of_seconds_leaves_a_margin_for_delays() {
    // The extra time that the platform grants on sockets (seconds), less rounding errors.
    let margin = 0.05 - 1e-6;
    for ttl in [2_000, 3_000] {
        let patience = time_to_deadline(ttl);
        assert!(patience <= f64::from(ttl) / 1000.0 - margin, "{patience} s of {ttl} ms");
    }
}
