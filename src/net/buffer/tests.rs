//! Tests of `buffer.rs`.

use super::*;
use crate::memory::{AccountOwner, Ledger, Limit, PURPOSES, Plan, Purpose};

fn ledger(cap: usize) -> Ledger {
    let limits = [Limit { guarantee: 0, cap, reserve: 0 }; PURPOSES];
    Ledger::new(Plan { total: 10 * cap, limits, team_share: 1.0 }, 0)
}

/// A buffer never holds more than its own and what it was granted, and gives that back when it is empty.
#[test]
fn a_buffer_asks_before_it_grows_and_gives_back_when_empty() {
    let ledger = ledger(20_000);
    let mut b = Buffer::new(1000, ledger.empty_grant(AccountOwner::of(Purpose::Partial)));
    assert!(b.push(&[1; 1000]) && ledger.accounts().used(Purpose::Partial) == 0, "its own");
    assert!(b.push(&[2; 7000]));
    assert_eq!(ledger.accounts().used(Purpose::Partial), 8192 - 1000);
    assert!(!b.push(&[3; 30_000]), "over the cap");
    assert_eq!((b.len(), b.bytes()[999], b.bytes()[1000]), (8000, 1, 2), "and nothing was appended");
    b.consume(7999);
    assert!(b.push(&[4; 5000]), "compacted in place");
    assert_eq!(ledger.accounts().used(Purpose::Partial), 8192 - 1000);
    b.consume(usize::MAX);
    assert_eq!(ledger.accounts().sum(), 0);
    b.skip(7);
    assert_eq!((b.bytes_to_skip(), b.data.capacity()), (7, 0), "what is passed over costs nothing");
}

/// Bodies keep their grants until their last byte is sent, and text stands between them in order.
#[test]
fn an_output_gives_bodies_back_as_they_are_sent() {
    let ledger = ledger(20_000);
    let mut out = Output::new(ledger.empty_grant(AccountOwner::of(Purpose::Unread)));
    let body = |n: usize| (vec![b'b'; n], ledger.acquire(AccountOwner::of(Purpose::Unread), n).unwrap());
    let ((one, first), (two, second)) = (body(3), body(4));
    out.push(b"head ");
    out.push(b"more ");
    out.push_body(one, 0..3, first, 7.0);
    out.push(b" tail");
    out.push_body(two, 1..3, second, 8.0);
    assert_eq!((out.due(), out.unread_content().get()), (Some(7.0), 0));
    assert_eq!(out.bytes(), b"head more bbb tailbb");
    assert_eq!(ledger.accounts().used(Purpose::Unread), 7);
    out.consume(12);
    assert_eq!((out.bytes(), ledger.accounts().used(Purpose::Unread)), (b"b tailbb".to_vec(), 7));
    out.consume(1);
    assert_eq!(ledger.accounts().used(Purpose::Unread), 4);
    out.consume(7);
    assert!(out.is_empty() && out.text == 0 && ledger.accounts().sum() == 0);
    (0..OUTPUT_TEXT_BYTES / 2).for_each(|_| out.push(b"x"));
    assert!(!out.has_text_backlog());
    out.push(b"x");
    assert!(out.has_text_backlog());
}
