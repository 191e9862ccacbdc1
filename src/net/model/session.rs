//! Property test of a client's session.

use super::check;
use crate::broker::{Answer, Input};
use crate::config::Classes;
use crate::interface::*;
use crate::memory::Ledger;
use crate::net::Buffer;
use crate::net::clients::{ClientContext, Session};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Returns a session with two classes: reads, and writes whose result is not cached.
pub(super) fn session(memory: Ledger) -> Session {
    let class = |effect| Class { deadline: 5.0, effect, ..Class::default() };
    let classes = [class(Effect::Safe), Class { uncacheable: true, ..class(Effect::Keyed(Scope::All)) }];
    let (broker_inputs, _) = tokio::sync::mpsc::channel(1);
    let front = ClientContext {
        broker_inputs,
        classes: Classes::new(vec!["media".into(), "holds".into()], &classes).into(),
        contracts: Rc::default(),
        ready: Rc::default(),
        max_connections: 1,
        numbers: Rc::default(),
        memory,
        pushback: 0.5,
        metrics: crate::broker::Metrics::new(vec!["media".into(), "holds".into()]),
    };
    Session::new(front.into(), tokio::sync::mpsc::unbounded_channel().0)
}

/// Encodes a frame of these words.
pub(super) fn frame(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{words}", words.matches('$').count()).into_bytes()
}

/// Removes the written answers, and returns their tags and words; none of them has fields or a body.
fn answers(session: &mut Session) -> Vec<(u64, String)> {
    let text = String::from_utf8(session.output.bytes()).unwrap();
    session.output.consume(text.len());
    let lines: Vec<&str> = text.split_terminator("\r\n").collect();
    lines.chunks(9).map(|a| (a[2].parse().unwrap(), a[4].to_owned())).collect()
}

pub(super) const VALID_FIELDS: &str =
    "call=9b1f03aa5c7e2d41,ttl=60000,row=7f3a9c21e0b4d655,slice=3,set=17,heap=412.5";
/// Fields that make a request unusable: each replaces the field of the same name, or removes it.
const INVALID_FIELDS: [&str; 16] = [
    "call=",
    "call=9b1f",
    "call=9b1f03aa5c7e2d41f",
    "call=9b1f03aa5c7e2d4 ",
    "row=7f3a9c21e0b4d65x",
    "row=",
    "ttl=-5",
    "ttl=0",
    "ttl=nan",
    "ttl=1e9",
    "slice=-1",
    "slice=99999999999",
    "set=256",
    "heap=inf",
    "heap=-1",
    "ttl=5,ttl=5",
];

/// Each accepted request is open or has one answer; an unusable request fails at once and is not passed on;
/// no deadline exceeds that of the class. After a protocol error, all open requests fail.
#[test]
fn a_client_connection_matches_its_model() {
    let step = (0u8..6, 1u64..7, 0usize..INVALID_FIELDS.len());
    check(400, vec(step, 1..120), |steps| {
        let (mut session, mut input, mut now) = (session(Ledger::unlimited()), Buffer::default(), 1000.0);
        let mut open = BTreeSet::new();
        for (kind, tag, which) in steps {
            now += 1.0;
            let word = tag.to_string();
            let mut expect = Vec::new();
            let name = INVALID_FIELDS[which].split_once('=').unwrap().0;
            let others = VALID_FIELDS.split(',').filter(|field| field.split_once('=').unwrap().0 != name);
            let invalid = others.chain([INVALID_FIELDS[which]]).collect::<Vec<_>>().join(",");
            let bytes = match kind {
                0 | 1 => frame(&["REQ", &word, "media", VALID_FIELDS, ""]),
                2 if which % 2 == 0 => frame(&["REQ", &word, "holds", VALID_FIELDS, "no key"]),
                2 => frame(&["REQ", &word, "media", &invalid, ""]),
                3 => frame(&["ABORT", &word]),
                4 => Vec::new(),
                _ if which == 0 => {
                    [&b"*5\r\n$3\r\nREQ\r\n$1\r\n9\r\n$60000000\r\n"[..], &[b'x'; 99]].concat()
                }
                _ => frame(&["HEALTH", "8", ""]),
            };
            let (first, rest) = bytes.split_at(bytes.len() / 2);
            assert!(input.push(first));
            prop_assert!(
                !matches!(session.process_frame(now, &mut input), Ok(Some(_))),
                "an incomplete frame is not processed"
            );
            assert!(input.push(rest));
            let received = match session.process_frame(now, &mut input) {
                Ok(received) => received.flatten(),
                Err(error) => {
                    prop_assert!(kind < 3 && open.contains(&tag) || kind == 5 && which == 0);
                    session.fail_open(error.tag);
                    let failed: BTreeSet<u64> = answers(&mut session).iter().map(|(tag, _)| *tag).collect();
                    open.extend((kind == 5).then_some(9));
                    prop_assert_eq!(failed, open);
                    return Ok(());
                }
            };
            match (kind, received) {
                (0 | 1, Some(Input::Request { caller, request, .. })) => {
                    prop_assert!(caller.tag == tag && request.deadline < now + 5.0 && open.insert(tag));
                }
                (2, None) => expect.push((tag, "fault".to_owned())),
                (3, Some(Input::Abort(caller))) => prop_assert!(caller.tag == tag && open.remove(&tag)),
                (3, None) => prop_assert!(!open.contains(&tag)),
                (4, None) => {
                    session.answer(tag, Answer::Failed);
                    expect.extend(open.remove(&tag).then(|| (tag, "fault".to_owned())));
                }
                (5, None) => expect.push((8, "no".to_owned())),
                (_, received) => prop_assert!(false, "{} of {}: {:?}", kind, tag, received),
            }
            prop_assert_eq!(answers(&mut session), expect);
        }
        Ok(())
    });
}

/// A flood of unusable frames is answered, but processed at a limited rate.
#[test]
fn a_flood_is_processed_at_a_limited_rate() {
    let (mut session, mut input) = (session(Ledger::unlimited()), Buffer::default());
    (0..1000).for_each(|_| assert!(input.push(&frame(&["DANCE", "7"]))));
    let mut process_all = |now| {
        while let Ok(Some(_)) = session.process_frame(now, &mut input) {}
        answers(&mut session).len()
    };
    let first = process_all(1000.0);
    assert!((1..100).contains(&first), "{first}");
    assert_eq!(process_all(1000.0), 0);
    let next = process_all(1000.1);
    assert!(next > 0 && next <= first, "{next}");
}
