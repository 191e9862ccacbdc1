//! The groups of objects that are also asked for without their group. A purge of any group applies to an
//! object whose group is not known, which has caches fetch it anew; requests that name the group spare that.

use crate::interface::{GroupId, ObjectId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Most objects whose group is kept; the one that was first asked for without its group is evicted.
const MAX_OBJECTS: usize = 4096;

/// What requests have said of an object's group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Statement {
    /// No request has named a group.
    None,
    /// All requests that named a group named this one.
    Group(GroupId),
    /// Requests have named different groups, so that none counts.
    Contradictory,
}

/// The groups of objects that are asked for without their group.
#[derive(Default)]
pub struct ObjectGroups {
    statements: FxHashMap<ObjectId, Statement>,
    /// The objects, in the order in which they were first asked for without their group.
    order: VecDeque<ObjectId>,
}

impl ObjectGroups {
    /// Handles a request for an object, which names its group or does not; returns the group if it is known.
    pub fn resolve(&mut self, object: ObjectId, named: Option<GroupId>) -> Option<GroupId> {
        match named {
            Some(group) => {
                self.record(object, group);
                Some(group)
            }
            None => self.look_up(object),
        }
    }

    /// Records the group that a request names, if the object was asked for without its group before.
    fn record(&mut self, object: ObjectId, group: GroupId) {
        if let Some(statement) = self.statements.get_mut(&object) {
            *statement = match *statement {
                Statement::None => Statement::Group(group),
                Statement::Group(known) if known == group => *statement,
                _ => Statement::Contradictory,
            };
        }
    }

    /// Returns the group of an object; it is recorded from now on.
    fn look_up(&mut self, object: ObjectId) -> Option<GroupId> {
        match self.statements.get(&object) {
            Some(Statement::Group(group)) => return Some(*group),
            Some(_) => return None,
            None => {}
        }
        if self.order.len() >= MAX_OBJECTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.statements.remove(&oldest);
        }
        self.statements.insert(object, Statement::None);
        self.order.push_back(object);
        None
    }

    /// Returns its size in bytes.
    pub fn footprint(&self) -> usize {
        self.statements.capacity() * 8 / 7 * (size_of::<(ObjectId, Statement)>() + 1)
            + self.order.capacity() * size_of::<ObjectId>()
    }
}

#[cfg(test)]
mod tests;
