//! Tests of `admin.rs`.

use super::*;

#[test]
fn calls_are_parsed_and_invalid_ones_get_a_reason() {
    assert_eq!(parse(b"health"), Ok(Call::Health));
    assert_eq!(parse(b"counters"), Ok(Call::Counters));
    assert_eq!(parse(b"version"), Ok(Call::Version));
    assert_eq!(parse(b"slow"), Ok(Call::Slow));
    assert_eq!(parse(b"cordon s-00c41f7a"), Ok(Call::Cordon(NodeId(0x00c4_1f7a))));
    assert_eq!(parse(b"uncordon  s-00C41F7A"), Ok(Call::Uncordon(NodeId(0x00c4_1f7a))));
    assert!(parse(b"cordon").unwrap_err().contains("needs a node id"));
    assert!(parse(b"cordon s-123").unwrap_err().contains("'s-123' is no node id"));
    assert!(parse(b"cordon 00c41f7a").is_err());
    assert!(parse(b"health now").unwrap_err().contains("too many"));
    assert!(parse(b"drain s-00c41f7a").unwrap_err().contains("unknown call"));
    assert!(parse(b"").is_err());
    assert!(parse(&[0xff, 0xfe]).is_err());
}
