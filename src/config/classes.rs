//! The classes of requests.

use crate::interface::*;
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// What a class demands of requests.
#[derive(Debug)]
struct ClassRules {
    /// Deadline of the class (seconds).
    deadline: f64,
    /// Whether requests need an idempotency key.
    needs_key: bool,
    /// Whether answers are never stored by caches.
    uncacheable: bool,
}

/// The classes, by the names that clients and cache nodes use.
#[derive(Debug, Default)]
pub struct Classes {
    ids: FxHashMap<Vec<u8>, ClassId>,
    /// The names in the settings' order.
    pub names: Vec<Rc<str>>,
    /// The rules of each class, in the same order.
    rules: Vec<ClassRules>,
}

impl Classes {
    /// Creates the classes of these names from their settings.
    pub fn new(names: Vec<String>, classes: &[Class]) -> Self {
        let ids =
            names.iter().enumerate().map(|(i, n)| (n.clone().into_bytes(), ClassId(i as u16))).collect();
        let rules = classes
            .iter()
            .map(|c| ClassRules {
                deadline: c.deadline,
                needs_key: matches!(c.effect, Effect::Keyed(_)),
                uncacheable: c.uncacheable,
            })
            .collect();
        Classes { ids, names: names.into_iter().map(Into::into).collect(), rules }
    }

    /// Returns the deadline of the class (seconds), and whether its requests need an idempotency key.
    pub fn client_rules(&self, class: ClassId) -> (f64, bool) {
        self.rules.get(usize::from(class.0)).map_or((0.0, false), |rules| (rules.deadline, rules.needs_key))
    }

    /// Returns whether answers of the class are never stored by caches, so that its requests may use the
    /// reserve.
    pub fn uncacheable(&self, class: ClassId) -> bool {
        self.rules.get(usize::from(class.0)).is_some_and(|rules| rules.uncacheable)
    }

    /// Returns the class with this name.
    pub fn get(&self, name: &[u8]) -> Option<ClassId> {
        self.ids.get(name).copied()
    }
}
