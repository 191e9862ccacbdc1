//! The classes of requests by name.

use crate::interface::*;
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// The classes by the names that clients and cache nodes use.
#[derive(Debug, Default)]
pub struct Classes {
    ids: FxHashMap<Vec<u8>, ClassId>,
    /// The names in the settings' order.
    pub names: Vec<Rc<str>>,
    /// By class, in the same order: the longest that a client waits (seconds), whether it needs a key, and whether
    /// its answers are no copies.
    client_rules: Vec<(f64, bool, bool)>,
}

impl Classes {
    /// Classes of these names, with what the settings say of each.
    pub fn new(names: Vec<String>, classes: &[Class]) -> Self {
        let ids =
            names.iter().enumerate().map(|(i, n)| (n.clone().into_bytes(), ClassId(i as u16))).collect();
        let client_rules = classes
            .iter()
            .map(|c| (c.deadline, matches!(c.effect, Effect::Keyed(_)), c.uncacheable))
            .collect();
        Classes { ids, names: names.into_iter().map(Into::into).collect(), client_rules }
    }

    /// The longest that a client of the class waits (seconds), and whether its requests need a key.
    pub fn client_rules(&self, class: ClassId) -> (f64, bool) {
        self.client_rules.get(usize::from(class.0)).map_or((0.0, false), |c| (c.0, c.1))
    }

    /// Is the class never kept, so that the reserve is there for it?
    pub fn uncacheable(&self, class: ClassId) -> bool {
        self.client_rules.get(usize::from(class.0)).is_some_and(|c| c.2)
    }

    /// The class of a name.
    pub fn get(&self, name: &[u8]) -> Option<ClassId> {
        self.ids.get(name).copied()
    }
}
