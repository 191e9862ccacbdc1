//! What happens on either side where there is no memory.

use super::session::{GOOD, frame, session};
use super::{attempt_id, order};
use crate::broker::{Input, Report};
use crate::interface::Outcome;
use crate::memory::{AccountOwner, Ledger, Limit, PURPOSES, Plan, Purpose};
use crate::net::Buffer;
use crate::net::clients::Session;
use crate::net::exchange::{Exchange, Progress};

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
    let (mut exchange, mut out) = (Exchange::new(memory.clone()), Buffer::default());
    let mut input = Buffer::new(512, memory.empty_grant(AccountOwner::of(Purpose::Partial)));
    let used = |purpose| memory.accounts().used(purpose);
    for call in [1, 5, 7] {
        exchange.queue(order(call.into(), call, 1010.0));
        exchange.encode(1000.0, &mut out, |_| {});
        out.consume(usize::MAX);
        exchange.written(1000.0, &mut out, || panic!("no cancel is under way"), |_| {});
    }
    let answer = |call: u8, n: usize| {
        let head = format!("{call:016x} HIT n=TCP_HIT,etag=e,made=999000 {n}\r\n");
        [head.as_bytes(), &vec![b'x'; n], b"\r\n"].concat()
    };
    // A large one under an unknown id is passed over as it comes.
    let (unknown, large, small) = (answer(99, 100_000), answer(1, 5000), answer(5, 1500));
    input.arrive(&unknown[..400]);
    assert_eq!(exchange.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    assert_eq!((input.len(), used(Purpose::Partial)), (0, 0));
    input.arrive(&unknown[400..]);
    input.arrive(&large[..100]);
    // Its announcement alone decides; nothing more of it is read.
    assert_eq!(exchange.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsMemory));
    assert_eq!((used(Purpose::Unread), used(Purpose::Partial)), (0, 0));
    let mut reports = Vec::new();
    exchange.discard_answer(&mut input, &mut |r| reports.push(r));
    assert_eq!(reports, [Report::NoMemory(attempt_id(1))]);
    input.arrive(&large[100..]);
    input.arrive(&small[..60]);
    // One that fits has its memory before its bytes are here.
    assert_eq!(exchange.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    assert!(used(Purpose::Unread) >= 1500 && used(Purpose::Partial) >= 1500 - 512);
    assert!(input.push(&small[60..]));
    reports.clear();
    assert_eq!(exchange.decode(1000.0, &mut input, |r| reports.push(r)), Ok(Progress::NeedsBytes));
    assert!(
        matches!(&reports[..], [Report::AttemptEnded { outcome: Outcome::Ok, content: Some(c), .. }] if c.body.len() == 1500)
    );
    assert_eq!(used(Purpose::Partial), 0, "given back with the buffer");
    // The one after it fits only once the client has read that.
    assert!(input.push(&answer(7, 1500)[..100]));
    assert_eq!(exchange.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsMemory));
    reports.clear();
    assert_eq!(used(Purpose::Unread), 0, "the client has it");
    assert_eq!(exchange.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    // Withdrawn in the middle: its memory is back, and its bytes are nobody's.
    exchange.cancel(1000.0, attempt_id(7));
    assert_eq!(exchange.decode(1000.0, &mut input, |r| panic!("{r:?}")), Ok(Progress::NeedsBytes));
    assert_eq!(memory.accounts().sum(), 0);
    // Said to have 3 GB: told from its line.
    let mut input = Buffer::default();
    assert!(input.push(b"0000000000000001 HIT etag=e,made=1 3000000000\r\n"));
    assert!(exchange.decode(1000.0, &mut input, |_| {}).is_err());
}

/// A body that there is no memory for is refused by its announcement, with the time to stay away, and passed over;
/// what comes behind it is heard, and holds have the reserve.
#[test]
fn a_body_without_memory_is_refused_and_passed_over() {
    let memory = scarce(Purpose::Bodies, 20_000, 12_000);
    let mut session = session(memory.clone());
    let mut input = Buffer::new(4096, memory.empty_grant(AccountOwner::of(Purpose::Bodies)));
    let mut feed = |session: &mut Session, bytes: &[u8]| {
        assert!(input.push(bytes));
        let mut heard = Vec::new();
        while let Some(one) = session.process_frame(1000.0, &mut input).unwrap() {
            heard.extend(one);
        }
        (heard, input.bytes_to_skip())
    };
    let write = |tag: &str, class: &str, n: usize| {
        let fields = format!("{},dedupe=k", GOOD.replace("9b1f", &format!("{:0>4}", tag)));
        frame(&["REQ", tag, class, &fields, &"b".repeat(n)])
    };
    let large = write("1", "media", 15_000);
    let (heard, skipping) = feed(&mut session, &large[..300]);
    assert!(heard.is_empty() && skipping == large.len() - 300);
    assert_eq!(
        String::from_utf8(session.output.bytes()).unwrap(),
        "*4\r\n$1\r\n1\r\n$4\r\nfull\r\n$12\r\npushback=500\r\n$0\r\n\r\n"
    );
    assert_eq!(memory.accounts().used(Purpose::Bodies), 0);
    session.output.consume(usize::MAX);
    // The same connection goes on behind it.
    let mut input = Buffer::new(4096, memory.empty_grant(AccountOwner::of(Purpose::Bodies)));
    let hold = write("2", "holds", 5_000);
    assert!(input.push(&hold[..300]));
    assert!(matches!(session.process_frame(1000.0, &mut input), Ok(None)), "granted, and waited for");
    assert!(memory.accounts().used(Purpose::Bodies) > 0);
    assert!(input.push(&hold[300..]));
    let Ok(Some(Some(Input::Request { request: ask, .. }))) = session.process_frame(1000.0, &mut input)
    else {
        panic!("a hold has the reserve")
    };
    assert_eq!((ask.body.len(), memory.accounts().used(Purpose::Bodies)), (5_000, 5_000));
    drop(ask);
    assert_eq!((memory.accounts().used(Purpose::Bodies), memory.accounts().used(Purpose::Waiting)), (0, 0));
    let refused = memory.accounts().snapshot(Purpose::Bodies).refused;
    assert!(refused >= 1, "{refused}");
}
