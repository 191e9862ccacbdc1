//! Property test of the coordinator's feed.

use super::check;
use crate::broker::DiscoveryUpdate;
use crate::interface::{GroupId, PurgeScope};
use crate::net::coordinator;
use crate::net::frames::Frame;
use proptest::collection::vec;
use proptest::prelude::*;

/// Whatever frames the connections bring, each event (such as a purge or a drain) is delivered once and in
/// order, except for those that the coordinator no longer has.
#[test]
fn the_feed_delivers_each_event_once() {
    let event = || DiscoveryUpdate::Purge { scope: PurgeScope::Group(GroupId(0)), at: 0.0 };
    check(400, vec((0u8..4, 1u64..6), 1..80), |steps| {
        let (mut feed, mut sent) = (coordinator::FeedPosition::new(0), 0u64);
        let mut delivered = Vec::new();
        for (kind, size) in steps {
            let (number, frame) = match kind {
                0 => (sent, Frame::Heartbeat),
                1 => (sent.saturating_sub(size), Frame::Event(event())),
                2 => (sent + 1 + size, Frame::Event(event())),
                _ => (sent + 1, Frame::Event(event())),
            };
            match feed.advance(number, frame) {
                coordinator::FrameAction::Deliver(_) => delivered.push(number),
                coordinator::FrameAction::Skip => prop_assert!(number <= feed.last_number),
                // A frame was lost: the next session starts after the last event received, and brings it.
                coordinator::FrameAction::Reconnect => {
                    prop_assert!(feed.last_number == sent && number > sent, "a repeat is no gap");
                    prop_assert_eq!(
                        feed.advance(sent + 1, Frame::Event(event())),
                        coordinator::FrameAction::Deliver(event())
                    );
                    delivered.push(sent + 1);
                }
            }
            sent = feed.last_number;
        }
        prop_assert!(delivered.windows(2).all(|pair| pair[0] + 1 == pair[1]), "{:?}", delivered);
        Ok(())
    });
    // A gap that is still there after a reconnect is accepted: the coordinator no longer has those events.
    let mut feed = coordinator::FeedPosition::new(4);
    assert_eq!(feed.advance(7, Frame::Event(event())), coordinator::FrameAction::Reconnect);
    assert_eq!(feed.advance(7, Frame::Event(event())), coordinator::FrameAction::Deliver(event()));
    assert_eq!(feed.last_number, 7);
    assert_eq!(
        feed.advance(9, Frame::Heartbeat),
        coordinator::FrameAction::Reconnect,
        "the coordinator is ahead"
    );
}
