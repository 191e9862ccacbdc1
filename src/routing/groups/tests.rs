//! Tests of `groups.rs`.

use super::*;

const OBJECT: ObjectId = ObjectId(1);
const GROUP: Option<GroupId> = Some(GroupId(17));

#[test]
fn a_group_is_known_once_a_request_has_named_it() {
    let mut groups = ObjectGroups::default();
    assert_eq!(groups.resolve(OBJECT, None), None);
    assert_eq!(groups.resolve(OBJECT, GROUP), GROUP);
    assert_eq!(groups.resolve(OBJECT, None), GROUP);
    assert_eq!(groups.resolve(ObjectId(2), None), None, "another object");
}

/// Guards against a group that one of two requests names wrongly: the object counts as of any group.
#[test]
fn an_object_for_which_different_groups_were_named_has_none() {
    let mut groups = ObjectGroups::default();
    groups.resolve(OBJECT, None);
    groups.resolve(OBJECT, GROUP);
    assert_eq!(groups.resolve(OBJECT, Some(GroupId(18))), Some(GroupId(18)), "a request counts as it says");
    assert_eq!(groups.resolve(OBJECT, GROUP), GROUP);
    assert_eq!(groups.resolve(OBJECT, None), None);
}

#[test]
fn memory_is_used_only_for_objects_asked_for_without_a_group_and_is_bounded() {
    let mut groups = ObjectGroups::default();
    for id in 0..1000 {
        groups.resolve(ObjectId(id), GROUP);
    }
    assert_eq!(groups.footprint(), 0);
    for id in 0..3 * MAX_OBJECTS as u64 {
        groups.resolve(ObjectId(id), None);
        groups.resolve(ObjectId(id), GROUP);
    }
    assert!(groups.footprint() < 1 << 18, "{}", groups.footprint());
    assert_eq!(groups.resolve(ObjectId(3 * MAX_OBJECTS as u64 - 1), None), GROUP);
    assert_eq!(groups.resolve(ObjectId(0), None), None, "an evicted object's group is not known");
}
