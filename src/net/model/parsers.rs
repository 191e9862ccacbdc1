//! Tests of the parsers and encodings of the three protocols.

use super::{check, order};
use crate::broker::{ClientRequest, DiscoveryUpdate};
use crate::interface::*;
use crate::net::frames::{self, Frame};
use crate::net::{Buffer, lines, resp};
use proptest::collection::vec;
use proptest::prelude::*;

/// Cache nodes check the encoding of an order word by word.
#[test]
fn an_order_is_encoded_as_the_protocol_says() {
    let mut out = Buffer::default();
    let mut order = order(1, 7, 1001.2);
    assert!(lines::write_serve(&mut out, &order, 1200));
    let line = "serve 0000000000000007 sort=media,asset=00000000000000aa,slice=0,patience=1200,\
        src=s-00000002,keep=1,maxage=250,flags=revalidate 0\r\n\r\n";
    assert_eq!(order.request.client_etag, None, "an odd call");
    assert_eq!(std::str::from_utf8(out.bytes()), Ok(line));
    out.consume(line.len());
    order.options = FillOptions { join: true, only_if_cached: true, ..FillOptions::default() };
    (order.source, order.rank, order.age, order.class) = (None, 0, 0.0, "holds".into());
    let (body, key, client_etag) = (b"a\r\nb".to_vec(), Some("k1".into()), Some("e1".into()));
    let (call, asset) = (order.request.call.clone(), order.request.asset.clone());
    order.request = ClientRequest { body, key, client_etag, call, asset, ..ClientRequest::default() }.into();
    assert!(lines::write_serve(&mut out, &order, 5));
    let line = "serve 0000000000000007 sort=holds,asset=00000000000000aa,slice=0,patience=5,op=k1,\
        flags=merge+local,have=e1 4\r\na\r\nb\r\n";
    assert_eq!(std::str::from_utf8(out.bytes()), Ok(line));
}

/// For any input, parsers neither panic nor consume more bytes than there are, and an incomplete frame is not
/// parsed.
#[test]
fn parsers_handle_arbitrary_bytes() {
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
            crate::signed::http::parse_request(&bytes, 100).ok().flatten().map(|f| f.1),
        ] {
            prop_assert!(used.is_none_or(|n| n > 0 && n <= bytes.len()));
        }
        if let Some(request) = resp::parse_partial_request(&bytes) {
            prop_assert!(request.total > bytes.len() && request.total > request.body);
        }
        Ok(())
    });
    let whole = b"*4\r\n$3\r\nREQ\r\n$1\r\n7\r\n$5\r\nmedia\r\n$0\r\n\r\n";
    for cut in 0..whole.len() {
        assert_eq!(resp::parse(&whole[..cut]), Ok(None));
        // A body is announced as soon as its length is complete, and not before.
        let announced = resp::PartialRequest { tag: 7, class: b"media", body: 0, total: whole.len() };
        assert_eq!(resp::parse_partial_request(&whole[..cut]), None, "four words carry no body");
        let with_body = [&b"*5"[..], &whole[2..whole.len() - 6], b"$0\r\n\r\n$0\r\n\r\n"].concat();
        let cut = cut.min(with_body.len() - 1);
        let is_announced = cut >= with_body.len() - 2;
        let total = with_body.len();
        assert_eq!(
            resp::parse_partial_request(&with_body[..cut]),
            is_announced.then_some(resp::PartialRequest { total, ..announced })
        );
    }
    assert_eq!(resp::parse(whole).unwrap().unwrap().1, whole.len());
    assert!(resp::parse(b"*4\r\n$3\r\nREQ\r\n$99999\r\n").is_err(), "an oversized word");
    assert!(frames::parse(&[1, 0, 0, 0]).is_err(), "an oversized frame");
    assert!(lines::parse(&[b'x'; 5000]).is_err(), "an overlong line");
    assert!(lines::parse(b"7 HIT - 999999999\r\n").is_err(), "an oversized body");
    for invalid in ["HIT etag=e,made=1", "NONE - 0 0", "VALID etag=e,made=1 2", "HIT - -1"] {
        let line = format!("7 {invalid}\r\n\r\n\r\n");
        assert!(lines::parse(line.as_bytes()).is_err(), "{invalid}");
    }
}

#[test]
fn frames_are_parsed_as_the_protocol_says() {
    let mut bytes = vec![0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 9, 2];
    bytes.extend([0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x10, 0x04, 1, 3, 2, 0, 5]);
    bytes.extend(4500u32.to_be_bytes());
    bytes.extend(1_764_576_000_123u64.to_be_bytes());
    let (number, frame, used) = frames::parse(&bytes).unwrap().unwrap();
    assert_eq!((number, used), (9, bytes.len()));
    let Frame::Event(DiscoveryUpdate::NodeList { full: false, members }) = frame else { panic!("{frame:?}") };
    let (node, address) = (members[0].node, members[0].address);
    assert_eq!(address, "10.1.0.9:4100".parse().unwrap());
    assert_eq!(
        (node.id, node.state, node.zone, node.kind, node.cell),
        (NodeId(0xc41f7a), NodeState::Draining, ZoneId(3), 2, 5)
    );
    assert_eq!((node.weight, node.ready_at), (4.5, 1_764_576_000.123));
    let purge = [&[0, 0, 0, 19, 0, 0, 0, 0, 0, 0, 0, 10, 4, 0, 17][..], &1500u64.to_be_bytes()].concat();
    let expected = DiscoveryUpdate::Purge { scope: PurgeScope::Group(GroupId(17)), at: 1.5 };
    assert_eq!(frames::parse(&purge), Ok(Some((10, Frame::Event(expected), purge.len()))));
}
