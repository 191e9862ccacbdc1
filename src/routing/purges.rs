//! Purges, for as long as caches may still hold copies from before. None may be forgotten before its time:
//! where there are too many, they are merged into one that applies to every object, which asks the caches for
//! younger copies than necessary and serves no old one.

use crate::interface::{GroupId, ObjectId, PurgeScope};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Most purges that are kept apart.
const MAX_PURGES: usize = 16_384;

/// When a purge was made and when this director learned of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Purge {
    /// When it was made.
    pub at: f64,
    /// When this director learned of it.
    pub learned_at: f64,
}

impl Purge {
    /// Returns a purge that both are no later than.
    fn latest_of(self, other: Purge) -> Purge {
        Purge { at: self.at.max(other.at), learned_at: self.learned_at.max(other.learned_at) }
    }
}

/// The purges that apply.
#[derive(Default)]
pub struct Purges {
    by_scope: FxHashMap<PurgeScope, Purge>,
    /// The scopes with the times until which they apply, in that order.
    order: VecDeque<(f64, PurgeScope)>,
    /// The latest purge of any group, which applies to objects whose group is not known, and until when.
    any_group: Option<(Purge, f64)>,
    /// The merged purge that applies to every object, and until when.
    merged: Option<(Purge, f64)>,
}

impl Purges {
    /// Records a purge made at `at`, which applies for `keep` seconds. They may arrive out of order; the
    /// latest counts.
    pub fn record(&mut self, now: f64, scope: PurgeScope, at: f64, keep: f64) {
        let purge = self.by_scope.entry(scope).or_insert(Purge { at: f64::MIN, learned_at: now });
        *purge = Purge { at: purge.at.max(at), learned_at: now };
        self.order.push_back((now + keep, scope));
        while let Some((_, scope)) = self.order.pop_front_if(|p| p.0 <= now) {
            if self.by_scope.get(&scope).is_some_and(|p| p.learned_at + keep <= now) {
                self.by_scope.remove(&scope);
            }
        }
        self.merged = self.merged.filter(|(_, until)| *until > now);
        self.any_group = self.any_group.filter(|(_, until)| *until > now);
        if let PurgeScope::Group(_) = scope {
            let purge = Purge { at, learned_at: now };
            let latest = self.any_group.map_or(purge, |(known, _)| known.latest_of(purge));
            self.any_group = Some((latest, now + keep));
        }
        if self.order.len() > MAX_PURGES {
            let all = self.by_scope.values().chain(self.merged.iter().map(|m| &m.0));
            let at = all.map(|p| p.at).fold(f64::MIN, f64::max);
            self.merged = Some((Purge { at, learned_at: now }, now + keep));
            (self.by_scope, self.order) = Default::default();
        }
    }

    /// Returns the latest purge that applies to an object or its group. If the group is not known, the purge
    /// of any group applies.
    pub fn latest(&self, object: ObjectId, group: Option<GroupId>) -> Option<Purge> {
        let of_object = self.by_scope.get(&PurgeScope::Object(object)).copied();
        let of_group = match group {
            Some(group) => self.by_scope.get(&PurgeScope::Group(group)).copied(),
            None => self.any_group.map(|(purge, _)| purge),
        };
        let of_all = self.merged.map(|(purge, _)| purge);
        [of_object, of_group, of_all].into_iter().flatten().reduce(Purge::latest_of)
    }

    /// Returns its size in bytes.
    pub fn footprint(&self) -> usize {
        self.by_scope.capacity() * 8 / 7 * (size_of::<(PurgeScope, Purge)>() + 1)
            + self.order.capacity() * size_of::<(f64, PurgeScope)>()
    }
}

#[cfg(test)]
mod tests;
