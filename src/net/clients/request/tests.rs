//! Tests of `request.rs`.

use super::parse;
use crate::broker::Contracts;
use crate::config::Classes;
use crate::interface::{Class, ClassId};

/// An object that takes 0.12 s to send, and 0.01 s more to be asked for and to come, is not given up on while its client waits
/// for it for 0.15 s.
#[test]
fn a_client_that_waits_for_a_short_time_has_nearly_all_of_it() {
    let class = Class { deadline: 3.0, ..Class::default() };
    let classes = Classes::new(vec!["media".to_owned()], &[class]);
    let fields = b"call=9b1f03aa5c7e2d41,ttl=150,row=7f3a9c21e0b4d655,slice=0,set=17,heap=10.5";
    let ask = parse(1000.0, ClassId(0), &classes, &Contracts::default(), fields).unwrap();
    let waits = ask.deadline - 1000.0;
    assert!((0.12 + 0.01..0.15).contains(&waits), "{waits}");
}
