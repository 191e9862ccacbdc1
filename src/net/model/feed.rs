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
