//! Tests of `request.rs`.

use super::parse;
use crate::broker::Contracts;
use crate::config::Classes;
use crate::interface::{Class, ClassId};

/// How long a request is tried whose client waits for so many milliseconds (seconds).
fn tried_for(ttl: u32) -> f64 {
    let class = Class { deadline: 3.0, ..Class::default() };
    let classes = Classes::new(vec!["media".to_owned()], &[class]);
    let fields = format!("call=9b1f03aa5c7e2d41,ttl={ttl},row=7f3a9c21e0b4d655,slice=0,set=17,heap=10.5");
    let ask = parse(1000.0, ClassId(0), &classes, &Contracts::default(), fields.as_bytes()).unwrap();
    ask.deadline - 1000.0
}

/// An object that takes 0.12 s to send, and 0.01 s more to be asked for and to come, is not given up on while its client waits
/// for it for 0.15 s.
#[test]
fn a_client_that_waits_for_a_short_time_has_nearly_all_of_it() {
    let waits = tried_for(150);
    assert!((0.12 + 0.01..0.15).contains(&waits), "{waits}");
}

/// What could not be had in the client's time was refused 15 ms before that ended. Beside load the request, or the refusal, was
/// that late, so that its client left without an answer.
#[test]
fn a_client_that_waits_for_seconds_is_answered_well_before_it_leaves() {
    // The platform's times are so much longer on sockets (seconds), but for what a clock's fractions lose.
    let on_its_way = 0.05 - 1e-6;
    for ttl in [2_000, 3_000] {
        let waits = tried_for(ttl);
        assert!(waits <= f64::from(ttl) / 1000.0 - on_its_way, "{waits} of {ttl} ms");
    }
}
