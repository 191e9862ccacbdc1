//! Models of the connections' states, against which random steps are checked. Fixed seed, no sockets, no
//! clock but the test's.

use super::clients::{Front, Session};
use super::exchange::{EndedBy, Exchange, Progress};
use super::frames::{self, Frame};
use super::{Buffer, coordinator, lines, resp};
use crate::broker::{Answer, ClientRequest, Input, News, Order, Report, Ticket};
use crate::config::Classes;
use crate::interface::*;
use crate::memory::{AccountOwner, Ledger, Limit, PURPOSES, Plan, Purpose};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn check<S: Strategy>(cases: u32, strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&strategy, test).unwrap_or_else(|e| panic!("{e}"));
}

fn order(request: u32, call: u8, due: f64) -> Order {
    // Clients of even calls hold a copy.
    let have = call.is_multiple_of(2).then(|| "e0".into());
    let asset = "00000000000000aa".into();
    let ask = ClientRequest { call: format!("{call:016x}").into(), asset, have, ..ClientRequest::default() };
    Order {
        ticket: Ticket { request: RequestId(request), attempt: 0 },
        ask: ask.into(),
        class: "media".into(),
        node: NodeId(1),
        source: Some(NodeId(2)),
        rank: 1,
        age: 0.25,
        options: FillOptions { renew: true, ..FillOptions::default() },
        due,
        oldest: 995.0,
        never_kept: call.is_multiple_of(3),
        returned: 0,
        called_off: Rc::default(),
        begin_by: f64::INFINITY,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Queue {
        call: u8,
        life: u8,
    },
    Recall(u8),
    /// The socket takes this part of what is encoded, in 255ths.
    Encode(u8),
    Answer {
        which: u8,
        word: u8,
        cut: u8,
    },
    Crossed(u8),
    Pass(u8),
}

/// Where an attempt is, as the model sees it.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Waiting,
    Out,
    /// Taken back; where its cancel ends on the connection, once that is encoded.
    Leaving(Option<u64>),
    Ended,
}

const WORDS: [(&str, Outcome); 6] = [
    ("HIT", Outcome::Ok),
    ("VALID", Outcome::Ok),
    ("NONE", Outcome::Miss),
    ("SHED", Outcome::Full),
    ("FAULT", Outcome::Error),
    ("LATE", Outcome::Moot),
];

/// Every attempt ends once; only a whole answer under its own name, of a copy that is young enough, is `Ok`; what
/// never left is told as that, what left as perhaps run; a name is used once, since a copy of its answer may still
/// come; a valid copy is one only where the client has one.
fn exchange(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let (mut x, mut now, mut next) = (Exchange::new(Ledger::unlimited()), 1000.0, 0u32);
    let (mut out, mut input, mut wire) = (Buffer::default(), Buffer::default(), String::new());
    let mut model: BTreeMap<u32, (u8, State)> = BTreeMap::new();
    // Until when each may be sent.
    let mut dues: BTreeMap<u32, f64> = BTreeMap::new();
    let mut used: Vec<u8> = Vec::new();
    for step in steps {
        let mut reports = Vec::new();
        // What each attempt that ends in this step must end with.
        let mut expect: BTreeMap<u32, Outcome> = BTreeMap::new();
        let at = |which: u8, state: State, model: &BTreeMap<u32, (u8, State)>| {
            let all: Vec<u32> = model.iter().filter(|(_, m)| m.1 == state).map(|(id, _)| *id).collect();
            (!all.is_empty()).then(|| all[usize::from(which) % all.len()])
        };
        match step {
            Step::Queue { call, life } => {
                let name = format!("{call:016x}");
                let clash =
                    model.values().any(|m| m.0 == call && m.1 != State::Ended) || used.contains(&call);
                prop_assert!(!(clash && x.accepts(&name)), "a name that could be mistaken");
                if x.accepts(&name) {
                    next += 1;
                    let due = now + f64::from(life) / 10.0;
                    x.queue(order(next, call, due));
                    dues.insert(next, due);
                    model.insert(next, (call, State::Waiting));
                }
            }
            Step::Recall(which) => {
                let state = if which % 2 == 0 { State::Waiting } else { State::Out };
                if let Some(id) = at(which / 2, state.clone(), &model) {
                    reports.extend(x.cancel(now, Ticket { request: RequestId(id), attempt: 0 }));
                    if state == State::Waiting {
                        expect.insert(id, Outcome::Moot);
                    } else {
                        model.get_mut(&id).unwrap().1 = State::Leaving(None);
                    }
                }
                let again = x.cancel(now, Ticket { request: RequestId(next + 1), attempt: 0 });
                prop_assert!(again.is_none(), "an attempt that is not here");
            }
            Step::Encode(part) => {
                let base = out.taken();
                let clear = out.is_empty() && !model.values().any(|m| m.1 == State::Leaving(None));
                x.encode(now, &mut out, |r| reports.push(r));
                wire = String::from_utf8(out.bytes().to_vec()).unwrap();
                // Where each cancel ends; the socket takes as much as it will.
                for (call, state) in model.values_mut().filter(|m| m.1 == State::Leaving(None)) {
                    let line = format!("cancel {call:016x}\r\n");
                    let end = wire.find(&line).expect("a cancel is encoded at once") + line.len();
                    *state = State::Leaving(Some(base + end as u64));
                }
                out.consume((wire.len() * usize::from(part)).div_ceil(255));
                for (id, m) in &model {
                    if matches!(m.1, State::Leaving(Some(end)) if end <= out.taken()) {
                        expect.insert(*id, Outcome::Cancelled);
                    }
                }
                let (taken, before) = (out.taken() > base, out.len());
                let more = x.written(now, &mut out, |r| reports.push(r));
                prop_assert!(!more || out.is_empty(), "more only where the socket takes it");
                // The first that is not overdue is written where all before it was taken, and is out once a byte of it
                // is; overdue ones before it end.
                let mut written = Vec::new();
                let waiting = model.iter().filter(|(_, m)| m.1 == State::Waiting).map(|(id, _)| *id);
                for id in waiting.take_while(|_| clear) {
                    let name = format!("{:016x}", model[&id].0);
                    if ((dues[&id] - now) * 1000.0) as u64 == 0 {
                        expect.insert(id, Outcome::Moot);
                        continue;
                    }
                    prop_assert!(wire.starts_with(&format!("serve {name} ")), "{} for {}", wire, name);
                    written.extend(taken.then_some(id));
                    prop_assert!(taken || before > 0 && out.is_empty(), "taken back whole");
                    prop_assert_eq!(x.is_write_blocked(), !taken);
                    break;
                }
                for r in &reports {
                    if let Report::Written(t) = r {
                        prop_assert_eq!(written.pop(), Some(t.request.0));
                        let m = model.get_mut(&t.request.0).unwrap();
                        m.1 = State::Out;
                        used.push(m.0);
                    }
                }
                prop_assert!(written.is_empty(), "{:?} is out", written);
            }
            Step::Answer { which, word, cut } => {
                if let Some(id) = at(which, State::Out, &model) {
                    let (word, outcome) = WORDS[usize::from(word) % WORDS.len()];
                    let body = if word == "HIT" { "the bytes" } else { "" };
                    let call = model[&id].0;
                    let old = cut % 5 == 0;
                    let made = if old { 994_000 } else { 996_000 };
                    let bare = cut % 7 == 0;
                    let fields =
                        if bare { "n=TCP_HIT".into() } else { format!("n=TCP_HIT,etag=e,made={made}") };
                    let line = format!("{call:016x} {word} {fields} {}\r\n{body}\r\n", body.len());
                    // Nobody asked for a valid copy, or it is a copy that tells nothing of itself.
                    let spoilt = match word {
                        "VALID" => call % 2 == 1 || bare,
                        "HIT" => !call.is_multiple_of(3) && bare,
                        _ => false,
                    };
                    if spoilt {
                        assert!(input.push(line.as_bytes()));
                        prop_assert!(x.decode(now, &mut input, |_| ()).is_err(), "{}", line);
                        break;
                    }
                    let outcome =
                        if old && !bare && outcome == Outcome::Ok { Outcome::Error } else { outcome };
                    // Cut anywhere, nothing is told until the rest has come.
                    let (first, rest) = line.as_bytes().split_at(usize::from(cut) % line.len());
                    assert!(input.push(first));
                    x.decode(now, &mut input, |r| reports.push(r)).unwrap();
                    prop_assert!(reports.is_empty(), "half an answer is none");
                    assert!(input.push(rest));
                    x.decode(now, &mut input, |r| reports.push(r)).unwrap();
                    expect.insert(id, outcome);
                    for r in &reports {
                        if let Report::Ended { content, .. } = r {
                            let whole = content.as_ref().map(|c| (c.body.as_slice(), c.current));
                            let wanted =
                                (outcome == Outcome::Ok).then_some((body.as_bytes(), word == "VALID"));
                            prop_assert_eq!(whole, wanted);
                        }
                    }
                }
            }
            Step::Crossed(which) => {
                // An answer that crossed its cancel, a second copy, or one under an unknown id: all nobody's.
                let out = |call: &u8| model.values().any(|m| m.0 == *call && m.1 == State::Out);
                let past: Vec<u8> = used.iter().copied().filter(|call| !out(call)).chain([99]).collect();
                let call = past[usize::from(which) % past.len()];
                assert!(input.push(format!("{call:016x} HIT etag=e,made=996000 2\r\nhi\r\n").as_bytes()));
                x.decode(now, &mut input, |r| reports.push(r)).unwrap();
            }
            Step::Pass(tenths) => now += f64::from(tenths) / 10.0,
        }
        for r in reports {
            // A cancel that is written is reported as that: its node may not have read it yet.
            let cancels = matches!(r, Report::Left { .. });
            if let Report::Ended { ticket, outcome, .. } | Report::Left { ticket, outcome, .. } = r {
                prop_assert_eq!(cancels, outcome == Outcome::Cancelled);
                let id = ticket.request.0;
                prop_assert_eq!(expect.remove(&id), Some(outcome), "{:?} of {:?}", id, &model);
                let was = std::mem::replace(&mut model.get_mut(&id).unwrap().1, State::Ended);
                prop_assert_ne!(was, State::Ended, "an attempt ends once");
            }
        }
        prop_assert!(expect.is_empty(), "{:?} had no end; wire {:?}", expect, wire);
        let under_way = model.values().filter(|m| m.1 != State::Ended).count();
        prop_assert_eq!(x.load(), under_way);
    }
    // What is encoded but of which not a byte has left was never sent, and what was taken back is given up.
    let rest = out.len();
    out.consume(rest);
    let (mut gone, mut overdue) = (0, 0);
    x.written(now, &mut out, |_| gone += 1);
    x.encode(now, &mut out, |r| overdue += usize::from(matches!(r, Report::Ended { .. })));
    let count = |state| model.values().filter(|m| m.1 == state).count();
    let leaving = model.values().filter(|m| matches!(m.1, State::Leaving(_))).count();
    let mut reset = 0;
    // Where this side ends it, the node hears of that later; where the node does, it knows.
    let by = if next.is_multiple_of(2) { EndedBy::Front } else { EndedBy::Node };
    let handed_back = x.close(by, out.taken(), |r| {
        assert_eq!(matches!(r, Report::Left { .. }), by == EndedBy::Front);
        match r {
            Report::Ended { outcome: Outcome::Reset, .. } | Report::Left { outcome: Outcome::Reset, .. } => {
                reset += 1;
            }
            Report::Ended { outcome: Outcome::Cancelled, .. }
            | Report::Left { outcome: Outcome::Cancelled, .. } => gone += 1,
            other => panic!("{other:?}"),
        }
    });
    prop_assert_eq!(reset, count(State::Out));
    prop_assert_eq!(gone, leaving);
    prop_assert_eq!(handed_back.len() + overdue, count(State::Waiting));
    Ok(())
}

#[test]
fn a_connection_to_a_cache_node_keeps_to_its_states() {
    let step = prop_oneof![
        6 => (0u8..40, 0u8..40).prop_map(|(call, life)| Step::Queue { call, life }),
        4 => any::<u8>().prop_map(Step::Recall),
        6 => prop_oneof![Just(255u8), any::<u8>()].prop_map(Step::Encode),
        6 => (any::<u8>(), any::<u8>(), any::<u8>()).prop_map(|(which, word, cut)| Step::Answer { which, word, cut }),
        2 => any::<u8>().prop_map(Step::Crossed),
        3 => (0u8..9).prop_map(Step::Pass),
    ];
    check(400, vec(step, 1..120), exchange);
}

/// Guards against a machine that has vanished: its connection takes everything and says nothing.
#[test]
fn a_silent_connection_is_not_chosen_until_it_speaks() {
    let (mut x, mut out, mut input) =
        (Exchange::new(Ledger::unlimited()), Buffer::default(), Buffer::default());
    x.queue(order(1, 1, 1010.0));
    x.encode(1000.0, &mut out, |_| {});
    out.consume(usize::MAX);
    assert!(!x.written(1000.0, &mut out, |_| {}));
    assert!(x.cancel(1002.0, Ticket { request: RequestId(1), attempt: 0 }).is_none());
    assert!(x.oldest_cancel_since() == Some(1002.0), "it is out until its cancel is written");
    x.encode(1002.0, &mut out, |_| {});
    let (written, mut ended) = (out.len(), 0);
    out.consume(written - 1);
    x.written(1002.0, &mut out, |_| ended += 1);
    assert_eq!(ended, 0, "nor is it while a byte of that is left");
    out.consume(1);
    x.written(1002.0, &mut out, |r| {
        ended += usize::from(matches!(r, Report::Left { outcome: Outcome::Cancelled, .. }))
    });
    assert!(ended == 1 && x.oldest_cancel_since().is_none());
    assert!(x.closes_when_idle() && !x.accepts("other"));
    assert!(input.push(b"0000000000000009 NONE - 0\r\n\r\n"));
    x.decode(1003.0, &mut input, |_| {}).unwrap();
    assert!(x.accepts("other") && !x.accepts("0000000000000001"), "the old name may still be answered");
}

/// The byte form of an order, which cache nodes check word by word.
#[test]
fn an_order_is_written_as_the_protocol_says() {
    let mut out = Buffer::default();
    let mut o = order(1, 7, 1001.2);
    assert!(lines::serve(&mut out, &o, 1200));
    let line = "serve 0000000000000007 sort=media,asset=00000000000000aa,slice=0,patience=1200,\
        src=s-00000002,keep=1,maxage=250,flags=revalidate 0\r\n\r\n";
    assert_eq!(o.ask.have, None, "an odd call");
    assert_eq!(std::str::from_utf8(out.bytes()), Ok(line));
    out.consume(line.len());
    o.options = FillOptions { join: true, held_only: true, ..FillOptions::default() };
    (o.source, o.rank, o.age, o.class) = (None, 0, 0.0, "holds".into());
    let (body, key, have) = (b"a\r\nb".to_vec(), Some("k1".into()), Some("e1".into()));
    let (call, asset) = (o.ask.call.clone(), o.ask.asset.clone());
    o.ask = ClientRequest { body, key, have, call, asset, ..ClientRequest::default() }.into();
    assert!(lines::serve(&mut out, &o, 5));
    let line = "serve 0000000000000007 sort=holds,asset=00000000000000aa,slice=0,patience=5,op=k1,\
        flags=merge+local,have=e1 4\r\na\r\nb\r\n";
    assert_eq!(std::str::from_utf8(out.bytes()), Ok(line));
}

/// Whatever bytes come, parsers neither panic nor take more than there is, and a cut frame is no frame.
#[test]
fn parsers_bear_any_bytes() {
    let bytes = prop_oneof![
        vec(any::<u8>(), 0..200),
        "\\*[0-9]{1,3}\r\n(\\$[0-9]{1,2}\r\n[A-Z0-9 =,]{0,9}\r\n){0,5}".prop_map(String::into_bytes),
        "[0-9a-f]{1,4} (HIT|NONE|X) (-|n=TCP_HIT) [0-9]{1,7}\r\n.{0,9}".prop_map(String::into_bytes),
        (0u8..40, 0u8..6, vec(any::<u8>(), 0..60)).prop_map(|(n, kind, mut rest)| {
            rest.insert(0, kind);
            [&[0, 0, 0, n, 0, 0, 0, 0, 0, 0, 0, 1], &rest[..]].concat()
        }),
    ];
    check(2000, bytes, |bytes| {
        for used in [
            resp::parse(&bytes).ok().flatten().map(|f| f.1),
            lines::parse(&bytes).ok().flatten().map(|f| f.1),
            frames::parse(&bytes).ok().flatten().map(|f| f.2),
            crate::signed::http::request(&bytes, 100).ok().flatten().map(|f| f.1),
        ] {
            prop_assert!(used.is_none_or(|n| n > 0 && n <= bytes.len()));
        }
        if let Some(p) = resp::pending(&bytes) {
            prop_assert!(p.total > bytes.len() && p.total > p.body);
        }
        Ok(())
    });
    let whole = b"*4\r\n$3\r\nREQ\r\n$1\r\n7\r\n$5\r\nmedia\r\n$0\r\n\r\n";
    for cut in 0..whole.len() {
        assert_eq!(resp::parse(&whole[..cut]), Ok(None));
        // Announced as soon as the length of its body is read, and not before.
        let announced = resp::Pending { tag: 7, class: b"media", body: 0, total: whole.len() };
        assert_eq!(resp::pending(&whole[..cut]), None, "four words carry no body");
        let with_body = [&b"*5"[..], &whole[2..whole.len() - 6], b"$0\r\n\r\n$0\r\n\r\n"].concat();
        let cut = cut.min(with_body.len() - 1);
        let there = cut >= with_body.len() - 2;
        let total = with_body.len();
        assert_eq!(resp::pending(&with_body[..cut]), there.then_some(resp::Pending { total, ..announced }));
    }
    assert_eq!(resp::parse(whole).unwrap().unwrap().1, whole.len());
    assert!(resp::parse(b"*4\r\n$3\r\nREQ\r\n$99999\r\n").is_err(), "an oversized word");
    assert!(frames::parse(&[1, 0, 0, 0]).is_err(), "an oversized frame");
    assert!(lines::parse(&[b'x'; 5000]).is_err(), "an overlong line");
    assert!(lines::parse(b"7 HIT - 999999999\r\n").is_err(), "an oversized body");
    for spoilt in ["HIT etag=e,made=1", "NONE - 0 0", "VALID etag=e,made=1 2", "HIT - -1"] {
        let line = format!("7 {spoilt}\r\n\r\n\r\n");
        assert!(lines::parse(line.as_bytes()).is_err(), "{spoilt}");
    }
}

#[test]
fn frames_are_read_as_the_protocol_says() {
    let mut bytes = vec![0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 9, 2];
    bytes.extend([0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x10, 0x04, 1, 3, 2, 0, 5]);
    bytes.extend(4500u32.to_be_bytes());
    bytes.extend(1_764_576_000_123u64.to_be_bytes());
    let (number, frame, used) = frames::parse(&bytes).unwrap().unwrap();
    assert_eq!((number, used), (9, bytes.len()));
    let Frame::News(News::Roster { full: false, members }) = frame else { panic!("{frame:?}") };
    let (n, address) = (members[0].node, members[0].address);
    assert_eq!(address, "10.1.0.9:4100".parse().unwrap());
    assert_eq!(
        (n.id, n.state, n.zone, n.kind, n.cell),
        (NodeId(0xc41f7a), NodeState::Draining, ZoneId(3), 2, 5)
    );
    assert_eq!((n.weight, n.ready_at), (4.5, 1_764_576_000.123));
    let purge = [&[0, 0, 0, 19, 0, 0, 0, 0, 0, 0, 0, 10, 4, 0, 17][..], &1500u64.to_be_bytes()].concat();
    let wanted = News::Purge { object: None, group: GroupId(17), at: 1.5 };
    assert_eq!(frames::parse(&purge), Ok(Some((10, Frame::News(wanted), purge.len()))));
}

/// Guards against a purge or a drain that is never heard of, or heard twice: whatever the connections do,
/// each event is handed on once and in order, and only what the coordinator has forgotten is passed over.
#[test]
fn the_feed_hands_on_each_event_once() {
    let news = || News::Purge { object: None, group: GroupId(0), at: 0.0 };
    check(400, vec((0u8..4, 1u64..6), 1..80), |steps| {
        let (mut feed, mut sent) = (coordinator::Feed::new(0), 0u64);
        let mut taken = Vec::new();
        for (kind, size) in steps {
            let (number, frame) = match kind {
                0 => (sent, Frame::Idle),
                1 => (sent.saturating_sub(size), Frame::News(news())),
                2 => (sent + 1 + size, Frame::News(news())),
                _ => (sent + 1, Frame::News(news())),
            };
            match feed.judge(number, frame) {
                coordinator::Step::Take(_) => taken.push(number),
                coordinator::Step::Skip => prop_assert!(number <= feed.last),
                // A lost frame: the next session begins after the last one had, and brings it.
                coordinator::Step::Resume => {
                    prop_assert!(feed.last == sent && number > sent, "a repeat is no gap");
                    prop_assert_eq!(
                        feed.judge(sent + 1, Frame::News(news())),
                        coordinator::Step::Take(news())
                    );
                    taken.push(sent + 1);
                }
            }
            sent = feed.last;
        }
        prop_assert!(taken.windows(2).all(|w| w[0] + 1 == w[1]), "{:?}", taken);
        Ok(())
    });
    // A gap that stays will not close: what is there is taken.
    let mut feed = coordinator::Feed::new(4);
    assert_eq!(feed.judge(7, Frame::News(news())), coordinator::Step::Resume);
    assert_eq!(feed.judge(7, Frame::News(news())), coordinator::Step::Take(news()));
    assert_eq!(feed.last, 7);
    assert_eq!(feed.judge(9, Frame::Idle), coordinator::Step::Resume, "the coordinator is further on");
}

fn session(memory: Ledger) -> Session {
    let class = |effect| Class { deadline: 5.0, effect, ..Class::default() };
    let classes = [class(Effect::Safe), Class { never_kept: true, ..class(Effect::Keyed(Scope::All)) }];
    let (asks, _) = tokio::sync::mpsc::channel(1);
    let front = Front {
        asks,
        classes: Classes::new(vec!["media".into(), "holds".into()], &classes).into(),
        contracts: Rc::default(),
        ready: Rc::default(),
        connections: 1,
        numbers: Rc::default(),
        memory,
        wait: 0.5,
        figures: crate::broker::Figures::new(vec!["media".into(), "holds".into()]),
    };
    Session::new(front.into(), tokio::sync::mpsc::unbounded_channel().0)
}

fn frame(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{words}", words.matches('$').count()).into_bytes()
}

/// Tags and words of the answers that were written; none of them has fields or a body.
fn answers(s: &mut Session) -> Vec<(u64, String)> {
    let text = String::from_utf8(s.output.bytes()).unwrap();
    s.output.consume(text.len());
    let lines: Vec<&str> = text.split_terminator("\r\n").collect();
    lines.chunks(9).map(|a| (a[2].parse().unwrap(), a[4].to_owned())).collect()
}

const GOOD: &str = "call=9b1f03aa5c7e2d41,ttl=60000,row=7f3a9c21e0b4d655,slice=3,set=17,heap=412.5";
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
        let (mut s, mut input, mut now) = (session(Ledger::unlimited()), Buffer::default(), 1000.0);
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
            prop_assert!(!matches!(s.take(now, &mut input), Ok(Some(_))), "half a frame is none");
            assert!(input.push(rest));
            let heard = match s.take(now, &mut input) {
                Ok(heard) => heard.flatten(),
                Err(broken) => {
                    prop_assert!(kind < 3 && open.contains(&tag) || kind == 5 && which == 0);
                    s.fail_open(broken.tag);
                    let failed: BTreeSet<u64> = answers(&mut s).iter().map(|a| a.0).collect();
                    open.extend((kind == 5).then_some(9));
                    prop_assert_eq!(failed, open);
                    return Ok(());
                }
            };
            match (kind, heard) {
                (0 | 1, Some(Input::Ask { caller, ask, .. })) => {
                    prop_assert!(caller.tag == tag && ask.deadline < now + 5.0 && open.insert(tag));
                }
                (2, None) => expect.push((tag, "fault".to_owned())),
                (3, Some(Input::Abort(caller))) => prop_assert!(caller.tag == tag && open.remove(&tag)),
                (3, None) => prop_assert!(!open.contains(&tag)),
                (4, None) => {
                    s.answer(tag, Answer::Failed);
                    expect.extend(open.remove(&tag).then(|| (tag, "fault".to_owned())));
                }
                (5, None) => expect.push((8, "no".to_owned())),
                (_, heard) => prop_assert!(false, "{} of {}: {:?}", kind, tag, heard),
            }
            prop_assert_eq!(answers(&mut s), expect);
        }
        Ok(())
    });
}

/// Guards against a flood of what cannot be used: it is answered, but not heard faster than so.
#[test]
fn a_flood_is_heard_at_a_bounded_pace() {
    let (mut s, mut input) = (session(Ledger::unlimited()), Buffer::default());
    (0..1000).for_each(|_| assert!(input.push(&frame(&["DANCE", "7"]))));
    let mut heard = |now| {
        while let Ok(Some(_)) = s.take(now, &mut input) {}
        answers(&mut s).len()
    };
    let first = heard(1000.0);
    assert!((1..100).contains(&first), "{first}");
    assert_eq!(heard(1000.0), 0);
    let next = heard(1000.1);
    assert!(next > 0 && next <= first, "{next}");
}

/// Accounts in which one purpose has so much and the others have enough.
fn scarce(purpose: Purpose, cap: usize, reserve: usize) -> Ledger {
    let mut limits = [Limit { guarantee: 0, cap: 1 << 20, reserve: 0 }; PURPOSES];
    limits[purpose as usize] = Limit { guarantee: cap, cap, reserve };
    Ledger::new(Plan { total: 16 << 20, limits, team_share: 1.0 }, 0)
}

/// An answer that there is no memory for holds up its own connection, and when it is given up its bytes are passed
/// over: its request hears at once, and what comes behind it is read. What nobody waits for costs nothing.
#[test]
fn an_answer_without_memory_is_given_up_and_those_behind_it_are_read() {
    let memory = scarce(Purpose::Unread, 2000, 0);
    let (mut x, mut out) = (Exchange::new(memory.clone()), Buffer::default());
    let mut input = Buffer::new(512, memory.empty(AccountOwner::of(Purpose::Partial)));
    let used = |purpose| memory.accounts().used(purpose);
    for call in [1, 5, 7] {
        x.queue(order(call.into(), call, 1010.0));
        x.encode(1000.0, &mut out, |_| {});
        out.consume(usize::MAX);
        x.written(1000.0, &mut out, |_| {});
    }
    let answer = |call: u8, n: usize| {
        let head = format!("{call:016x} HIT n=TCP_HIT,etag=e,made=999000 {n}\r\n");
        [head.as_bytes(), &vec![b'x'; n], b"\r\n"].concat()
    };
    // A large one under an unknown id is passed over as it comes.
    let (unknown, large, small) = (answer(99, 100_000), answer(1, 5000), answer(5, 1500));
    input.arrive(&unknown[..400]);
    assert_eq!(x.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    assert_eq!((input.len(), used(Purpose::Partial)), (0, 0));
    input.arrive(&unknown[400..]);
    input.arrive(&large[..100]);
    // Its announcement alone decides; nothing more of it is read.
    assert_eq!(x.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsMemory));
    assert_eq!((used(Purpose::Unread), used(Purpose::Partial)), (0, 0));
    let mut reports = Vec::new();
    x.discard_answer(&mut input, &mut |r| reports.push(r));
    assert_eq!(reports, [Report::NoMemory(Ticket { request: RequestId(1), attempt: 0 })]);
    input.arrive(&large[100..]);
    input.arrive(&small[..60]);
    // One that fits has its memory before its bytes are here.
    assert_eq!(x.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    assert!(used(Purpose::Unread) >= 1500 && used(Purpose::Partial) >= 1500 - 512);
    assert!(input.push(&small[60..]));
    reports.clear();
    assert_eq!(x.decode(1000.0, &mut input, |r| reports.push(r)), Ok(Progress::NeedsBytes));
    assert!(
        matches!(&reports[..], [Report::Ended { outcome: Outcome::Ok, content: Some(c), .. }] if c.body.len() == 1500)
    );
    assert_eq!(used(Purpose::Partial), 0, "given back with the buffer");
    // The one after it fits only once the client has read that.
    assert!(input.push(&answer(7, 1500)[..100]));
    assert_eq!(x.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsMemory));
    reports.clear();
    assert_eq!(used(Purpose::Unread), 0, "the client has it");
    assert_eq!(x.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    // Withdrawn in the middle: its memory is back, and its bytes are nobody's.
    x.cancel(1000.0, Ticket { request: RequestId(7), attempt: 0 });
    assert_eq!(x.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    assert_eq!(memory.accounts().sum(), 0);
    // Said to have 3 GB: told from its line.
    let mut input = Buffer::default();
    assert!(input.push(b"0000000000000001 HIT etag=e,made=1 3000000000\r\n"));
    assert!(x.decode(1000.0, &mut input, |_| {}).is_err());
}

/// A body that there is no memory for is refused by its announcement, with the time to stay away, and passed over;
/// what comes behind it is heard, and holds have the reserve.
#[test]
fn a_body_without_memory_is_refused_and_passed_over() {
    let memory = scarce(Purpose::Bodies, 20_000, 12_000);
    let mut s = session(memory.clone());
    let mut input = Buffer::new(4096, memory.empty(AccountOwner::of(Purpose::Bodies)));
    let mut feed = |s: &mut Session, bytes: &[u8]| {
        assert!(input.push(bytes));
        let mut heard = Vec::new();
        while let Some(one) = s.take(1000.0, &mut input).unwrap() {
            heard.extend(one);
        }
        (heard, input.skipping())
    };
    let write = |tag: &str, class: &str, n: usize| {
        let fields = format!("{},dedupe=k", GOOD.replace("9b1f", &format!("{:0>4}", tag)));
        frame(&["REQ", tag, class, &fields, &"b".repeat(n)])
    };
    let large = write("1", "media", 15_000);
    let (heard, skipping) = feed(&mut s, &large[..300]);
    assert!(heard.is_empty() && skipping == large.len() - 300);
    assert_eq!(
        String::from_utf8(s.output.bytes()).unwrap(),
        "*4\r\n$1\r\n1\r\n$4\r\nfull\r\n$12\r\npushback=500\r\n$0\r\n\r\n"
    );
    assert_eq!(memory.accounts().used(Purpose::Bodies), 0);
    s.output.consume(usize::MAX);
    // The same connection goes on behind it.
    let mut input = Buffer::new(4096, memory.empty(AccountOwner::of(Purpose::Bodies)));
    let hold = write("2", "holds", 5_000);
    assert!(input.push(&hold[..300]));
    assert!(matches!(s.take(1000.0, &mut input), Ok(None)), "granted, and waited for");
    assert!(memory.accounts().used(Purpose::Bodies) > 0);
    assert!(input.push(&hold[300..]));
    let Ok(Some(Some(Input::Ask { ask, .. }))) = s.take(1000.0, &mut input) else {
        panic!("a hold has the reserve")
    };
    assert_eq!((ask.body.len(), memory.accounts().used(Purpose::Bodies)), (5_000, 5_000));
    drop(ask);
    assert_eq!((memory.accounts().used(Purpose::Bodies), memory.accounts().used(Purpose::Waiting)), (0, 0));
    let refused = memory.accounts().sight(Purpose::Bodies).refused;
    assert!(refused >= 1, "{refused}");
}
