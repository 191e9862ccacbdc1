//! Purges: the age limit of copies after a purge.

use crate::common::*;
use onyxyoke::interface::*;

#[test]
fn a_purge_drops_beliefs_and_limits_copy_age_until_the_settle_time() {
    let mut stage = DirectorHarness::new(Settings { join_fills: true, ..settings() }, &small_fleet());
    let first = stage.fetch(5, 50.0);
    assert_eq!((first.age, first.join), (0.0, true));
    stage.end(first, 0, Outcome::Ok, Note::Hit, 0.05);
    stage.event(Event::Purged { scope: PurgeScope::Object(ObjectId(5)), age: 0.2 });
    for step in 0..13 {
        let sent = stage.hit(5, 50.0);
        let since = stage.now - 0.05 - 100.05 + 0.2;
        assert!(sent.age > 0.0 && sent.age <= since.max(0.001), "{sent:?} {step}");
        assert!(!sent.join, "a running fill may carry the old version");
        stage.now += 0.4;
    }
    stage.now += 2.0;
    assert_eq!(stage.fetch(5, 50.0).age, 0.0);
    // A group purge with an age of 0: the limit must not become 0, which means no limit.
    stage.event(Event::Purged { scope: PurgeScope::Group(GroupId(1)), age: 0.0 });
    let sent = stage.fetch(5, 50.0);
    assert!(sent.age > 0.0 && sent.age < 0.01);
}

#[test]
fn the_age_limit_after_a_purge_is_capped_by_the_freshness_time() {
    let mut base = settings();
    base.classes[0].fresh_for = 2.0;
    let mut stage = DirectorHarness::new(base, &small_fleet());
    stage.event(Event::Purged { scope: PurgeScope::Object(ObjectId(5)), age: 5.0 });
    assert_eq!(stage.fetch(5, 50.0).age, 2.0);
}
