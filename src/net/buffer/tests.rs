//! Tests of `buffer.rs`.

use super::*;
use crate::memory::{AccountOwner, Ledger, Limit, PURPOSES, Plan, Purpose};

fn ledger(cap: usize) -> Ledger {
    let limits = [Limit { guarantee: 0, cap, reserve: 0 }; PURPOSES];
    Ledger::new(Plan { total: 10 * cap, limits, team_share: 1.0 }, 0)
}

/// A buffer never uses more than its own memory and its grant, and releases the grant when it is empty.
#[test]
fn a_buffer_acquires_memory_before_it_grows_and_releases_it_when_empty() {
    let ledger = ledger(20_000);
    let mut buffer = Buffer::new(1000, ledger.empty_grant(AccountOwner::of(Purpose::Partial)));
    assert!(buffer.push(&[1; 1000]) && ledger.accounts().used(Purpose::Partial) == 0, "its own memory");
    assert!(buffer.push(&[2; 7000]));
    assert_eq!(ledger.accounts().used(Purpose::Partial), 8192 - 1000);
    assert!(!buffer.push(&[3; 30_000]), "over the cap");
    assert_eq!(
        (buffer.len(), buffer.bytes()[999], buffer.bytes()[1000]),
        (8000, 1, 2),
        "nothing was appended"
    );
    buffer.consume(7999);
    assert!(buffer.push(&[4; 5000]), "compacted in place");
    assert_eq!(ledger.accounts().used(Purpose::Partial), 8192 - 1000);
    buffer.consume(usize::MAX);
    assert_eq!(ledger.accounts().sum(), 0);
    buffer.skip(7);
    assert_eq!((buffer.bytes_to_skip(), buffer.data.capacity()), (7, 0), "skipped bytes need no memory");
}

/// A body keeps its grant until its last byte is consumed, and text and bodies keep their order.
#[test]
fn an_output_releases_the_grants_of_bodies_as_they_are_consumed() {
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
    assert!(out.is_empty() && out.text_len == 0 && ledger.accounts().sum() == 0);
    (0..OUTPUT_TEXT_BYTES / 2).for_each(|_| out.push(b"x"));
    assert!(!out.has_text_backlog());
    out.push(b"x");
    assert!(out.has_text_backlog());
}
