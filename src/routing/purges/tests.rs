//! Tests of `purges.rs`.

use super::*;

fn times(purge: Option<Purge>) -> Option<(f64, f64)> {
    purge.map(|p| (p.at, p.learned_at))
}

#[test]
fn purges_apply_for_their_time_and_the_latest_counts() {
    let (mut p, group) = (Purges::default(), Some(GroupId(3)));
    p.record(100.0, PurgeScope::Object(ObjectId(1)), 99.0, 30.0);
    p.record(101.0, PurgeScope::Object(ObjectId(1)), 98.0, 30.0);
    assert_eq!(times(p.latest(ObjectId(1), group)), Some((99.0, 101.0)));
    assert_eq!(p.latest(ObjectId(2), group), None);
    p.record(102.0, PurgeScope::Group(GroupId(3)), 102.0, 30.0);
    assert_eq!(times(p.latest(ObjectId(2), group)), Some((102.0, 102.0)));
    p.record(131.0, PurgeScope::Object(ObjectId(9)), 131.0, 30.0);
    assert_eq!(p.latest(ObjectId(1), Some(GroupId(0))), None);
    assert_eq!(times(p.latest(ObjectId(2), group)), Some((102.0, 102.0)));
}

/// Guards against a storm of purges that fills the memory, and against the loss of one of them.
#[test]
fn a_storm_of_purges_is_merged_into_one_for_every_object() {
    let mut p = Purges::default();
    for i in 0..40 * MAX_PURGES as u64 {
        p.record(100.0 + i as f64 * 1e-6, PurgeScope::Object(ObjectId(i)), 100.0, 30.0);
    }
    assert!(p.footprint() < 4 << 20, "{}", p.footprint());
    assert!(
        (0..40 * MAX_PURGES as u64).step_by(997).all(|i| p.latest(ObjectId(i), Some(GroupId(0))).is_some())
    );
    p.record(200.0, PurgeScope::Group(GroupId(1)), 200.0, 30.0);
    assert_eq!(p.latest(ObjectId(5), Some(GroupId(0))), None, "the merged purge ends");
}

/// Guards against an unknown group that is taken for a certain one, so that purges of others are ignored.
#[test]
fn an_object_of_an_unknown_group_is_covered_by_the_purge_of_any_group() {
    let mut p = Purges::default();
    p.record(100.0, PurgeScope::Object(ObjectId(1)), 100.0, 30.0);
    assert_eq!(p.latest(ObjectId(2), None), None, "purges of other objects do not cover it");
    p.record(101.0, PurgeScope::Group(GroupId(17)), 101.0, 30.0);
    p.record(102.0, PurgeScope::Group(GroupId(18)), 99.0, 30.0);
    assert_eq!(times(p.latest(ObjectId(2), None)), Some((101.0, 102.0)));
    assert_eq!(p.latest(ObjectId(2), Some(GroupId(0))), None);
    p.record(131.5, PurgeScope::Object(ObjectId(1)), 131.5, 30.0);
    assert!(p.latest(ObjectId(2), None).is_some(), "the last purge of a group applies for its whole time");
    p.record(132.5, PurgeScope::Object(ObjectId(1)), 132.5, 30.0);
    assert_eq!(p.latest(ObjectId(2), None), None);
}
