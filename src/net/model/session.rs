//! A client's session.

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

pub(super) fn frame(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{words}", words.matches('$').count()).into_bytes()
}

/// Tags and words of the answers that were written; none of them has fields or a body.
fn answers(session: &mut Session) -> Vec<(u64, String)> {
    let text = String::from_utf8(session.output.bytes()).unwrap();
    session.output.consume(text.len());
    let lines: Vec<&str> = text.split_terminator("\r\n").collect();
    lines.chunks(9).map(|a| (a[2].parse().unwrap(), a[4].to_owned())).collect()
}

pub(super) const GOOD: &str =
    "call=9b1f03aa5c7e2d41,ttl=60000,row=7f3a9c21e0b4d655,slice=3,set=17,heap=412.5";
/// What makes a request unusable: each replaces the field of its name, or takes it away.
const SPOILT: [&str; 16] = [
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

/// Each request that a client's connection takes has one answer or is open; what is unusable is failed at once
/// and goes no further; nothing is waited for longer than its class's time. Once something cannot be read, all
/// that is owed is failed.
#[test]
fn a_client_connection_keeps_to_its_states() {
    let step = (0u8..6, 1u64..7, 0usize..SPOILT.len());
    check(400, vec(step, 1..120), |steps| {
        let (mut session, mut input, mut now) = (session(Ledger::unlimited()), Buffer::default(), 1000.0);
        let mut open = BTreeSet::new();
        for (kind, tag, which) in steps {
            now += 1.0;
            let word = tag.to_string();
            let mut expect = Vec::new();
            let name = SPOILT[which].split_once('=').unwrap().0;
            let spoilt = GOOD.split(',').filter(|f| f.split_once('=').unwrap().0 != name);
            let spoilt = spoilt.chain([SPOILT[which]]).collect::<Vec<_>>().join(",");
            let bytes = match kind {
                0 | 1 => frame(&["REQ", &word, "media", GOOD, ""]),
                2 if which % 2 == 0 => frame(&["REQ", &word, "holds", GOOD, "no key"]),
                2 => frame(&["REQ", &word, "media", &spoilt, ""]),
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
                "half a frame is none"
            );
            assert!(input.push(rest));
            let heard = match session.process_frame(now, &mut input) {
                Ok(heard) => heard.flatten(),
                Err(broken) => {
                    prop_assert!(kind < 3 && open.contains(&tag) || kind == 5 && which == 0);
                    session.fail_open(broken.tag);
                    let failed: BTreeSet<u64> = answers(&mut session).iter().map(|a| a.0).collect();
                    open.extend((kind == 5).then_some(9));
                    prop_assert_eq!(failed, open);
                    return Ok(());
                }
            };
            match (kind, heard) {
                (0 | 1, Some(Input::Request { caller, request: ask, .. })) => {
                    prop_assert!(caller.tag == tag && ask.deadline < now + 5.0 && open.insert(tag));
                }
                (2, None) => expect.push((tag, "fault".to_owned())),
                (3, Some(Input::Abort(caller))) => prop_assert!(caller.tag == tag && open.remove(&tag)),
                (3, None) => prop_assert!(!open.contains(&tag)),
                (4, None) => {
                    session.answer(tag, Answer::Failed);
                    expect.extend(open.remove(&tag).then(|| (tag, "fault".to_owned())));
                }
                (5, None) => expect.push((8, "no".to_owned())),
                (_, heard) => prop_assert!(false, "{} of {}: {:?}", kind, tag, heard),
            }
            prop_assert_eq!(answers(&mut session), expect);
        }
        Ok(())
    });
}

/// Guards against a flood of what cannot be used: it is answered, but not heard faster than so.
#[test]
fn a_flood_is_heard_at_a_bounded_pace() {
    let (mut session, mut input) = (session(Ledger::unlimited()), Buffer::default());
    (0..1000).for_each(|_| assert!(input.push(&frame(&["DANCE", "7"]))));
    let mut heard = |now| {
        while let Ok(Some(_)) = session.process_frame(now, &mut input) {}
        answers(&mut session).len()
    };
    let first = heard(1000.0);
    assert!((1..100).contains(&first), "{first}");
    assert_eq!(heard(1000.0), 0);
    let next = heard(1000.1);
    assert!(next > 0 && next <= first, "{next}");
}
