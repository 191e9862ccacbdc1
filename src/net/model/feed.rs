//! The coordinator's feed.

use super::check;
use crate::broker::DiscoveryUpdate;
use crate::interface::GroupId;
use crate::net::coordinator;
use crate::net::frames::Frame;
use proptest::collection::vec;
use proptest::prelude::*;

/// Guards against a purge or a drain that is never heard of, or heard twice: whatever the connections do,
/// each event is handed on once and in order, and only what the coordinator has forgotten is passed over.
#[test]
fn the_feed_hands_on_each_event_once() {
    let news = || DiscoveryUpdate::Purge { object: None, group: GroupId(0), at: 0.0 };
    check(400, vec((0u8..4, 1u64..6), 1..80), |steps| {
        let (mut feed, mut sent) = (coordinator::FeedPosition::new(0), 0u64);
        let mut taken = Vec::new();
        for (kind, size) in steps {
            let (number, frame) = match kind {
                0 => (sent, Frame::Heartbeat),
                1 => (sent.saturating_sub(size), Frame::Event(news())),
                2 => (sent + 1 + size, Frame::Event(news())),
                _ => (sent + 1, Frame::Event(news())),
            };
            match feed.advance(number, frame) {
                coordinator::FrameAction::Deliver(_) => taken.push(number),
                coordinator::FrameAction::Skip => prop_assert!(number <= feed.last_number),
                // A lost frame: the next session begins after the last one had, and brings it.
                coordinator::FrameAction::Reconnect => {
                    prop_assert!(feed.last_number == sent && number > sent, "a repeat is no gap");
                    prop_assert_eq!(
                        feed.advance(sent + 1, Frame::Event(news())),
                        coordinator::FrameAction::Deliver(news())
                    );
                    taken.push(sent + 1);
                }
            }
            sent = feed.last_number;
        }
        prop_assert!(taken.windows(2).all(|w| w[0] + 1 == w[1]), "{:?}", taken);
        Ok(())
    });
    // A gap that stays will not close: what is there is taken.
    let mut feed = coordinator::FeedPosition::new(4);
    assert_eq!(feed.advance(7, Frame::Event(news())), coordinator::FrameAction::Reconnect);
    assert_eq!(feed.advance(7, Frame::Event(news())), coordinator::FrameAction::Deliver(news()));
    assert_eq!(feed.last_number, 7);
    assert_eq!(
        feed.advance(9, Frame::Heartbeat),
        coordinator::FrameAction::Reconnect,
        "the coordinator is further on"
    );
}
