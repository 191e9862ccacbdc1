//! JSON values with their paths. Errors name the file, the key and what is expected.

use serde_json::{Map, Value};
use std::net::SocketAddr;

/// The files that top-level keys come from: the platform's, and the operator's, which takes precedence.
pub(super) struct Sources<'a> {
    pub(super) platform: &'a str,
    pub(super) operator: &'a str,
    /// The top-level keys of the operator's file.
    pub(super) operator_keys: Map<String, Value>,
}

/// A JSON value with its path, for error messages.
pub(super) struct KeyPath<'a> {
    pub(super) value: &'a Value,
    /// Name of the file that the value comes from.
    pub(super) file: &'a str,
    pub(super) path: String,
    /// At the top level: the files of its keys.
    pub(super) sources: Option<&'a Sources<'a>>,
}

impl<'a> KeyPath<'a> {
    /// Reads a whole number of 0 or more.
    pub(super) fn whole_number(&self) -> Result<u64, String> {
        self.value.as_u64().ok_or_else(|| self.invalid("a whole number"))
    }

    /// Reads an address with a port.
    pub(super) fn address(&self) -> Result<SocketAddr, String> {
        self.text()?.parse().map_err(|_| self.invalid("an address and a port"))
    }

    /// Reads a number above 0.
    pub(super) fn above_zero(&self) -> Result<f64, String> {
        self.number().ok().filter(|&n| n > 0.0).ok_or_else(|| self.invalid("a number above 0"))
    }

    /// Returns the value of a required key.
    pub(super) fn get(&self, key: &str) -> Result<KeyPath<'a>, String> {
        self.opt(key).ok_or_else(|| format!("{}: '{}{key}' is missing", self.file, self.path))
    }

    /// Returns the value of an optional key.
    pub(super) fn opt(&self, key: &str) -> Option<KeyPath<'a>> {
        let value = self.value.get(key)?;
        let file = match self.sources {
            Some(s) if s.operator_keys.contains_key(key) => s.operator,
            Some(s) => s.platform,
            None => self.file,
        };
        Some(KeyPath { value, file, path: format!("{}{key}.", self.path), sources: None })
    }

    /// Checks that the table has no other keys than these.
    pub(super) fn only(&self, known: &[&str]) -> Result<(), String> {
        for (key, at) in self.entries()? {
            if !known.contains(&key) {
                return Err(at.invalid(&format!("known: there are {}", known.join(", "))));
            }
        }
        Ok(())
    }

    /// Returns the entries of the table.
    pub(super) fn entries(&self) -> Result<impl Iterator<Item = (&'a str, KeyPath<'a>)>, String> {
        let table = self.value.as_object().ok_or_else(|| self.invalid("a table"))?;
        let (file, path) = (self.file, self.path.clone());
        let at = move |(key, value): (&'a String, &'a Value)| {
            (key.as_str(), KeyPath { value, file, path: format!("{path}{key}."), sources: None })
        };
        Ok(table.iter().map(at))
    }

    /// Formats the error that the value is not `expected`.
    pub(super) fn invalid(&self, expected: &str) -> String {
        format!("{}: '{}' is not {expected}", self.file, self.path.trim_end_matches('.'))
    }

    /// Reads a finite number.
    pub(super) fn number(&self) -> Result<f64, String> {
        self.value.as_f64().filter(|v| v.is_finite()).ok_or_else(|| self.invalid("a number"))
    }

    /// Reads a time, a size or a worth: a number of 0 or more.
    pub(super) fn amount(&self) -> Result<f64, String> {
        self.number().ok().filter(|&n| n >= 0.0).ok_or_else(|| self.invalid("a number of 0 or more"))
    }

    /// Reads a number from 0 to 1.
    pub(super) fn share(&self) -> Result<f64, String> {
        let share = self.number().ok().filter(|n| (0.0..=1.0).contains(n));
        share.ok_or_else(|| self.invalid("a number from 0 to 1"))
    }

    /// Reads a list of distinct names.
    pub(super) fn names(
        &self,
        name: impl Fn(&KeyPath<'a>) -> Result<&'a str, String>,
    ) -> Result<Vec<String>, String> {
        let names = self.list(|at| name(at).map(str::to_owned))?;
        match (1..names.len()).find(|&i| names[..i].contains(&names[i])) {
            Some(i) => Err(self.invalid(&format!("a list without twins: '{}' stands twice in it", names[i]))),
            None => Ok(names),
        }
    }

    /// Reads a whole number of 16 bits.
    pub(super) fn count(&self) -> Result<u16, String> {
        let v = self.value.as_u64().and_then(|v| u16::try_from(v).ok());
        v.ok_or_else(|| self.invalid("a small whole number"))
    }

    /// Reads a Boolean.
    pub(super) fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| self.invalid("true or false"))
    }

    /// Reads a string.
    pub(super) fn text(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| self.invalid("a text"))
    }

    /// Reads a list, each element by `each`.
    pub(super) fn list<T>(&self, each: impl Fn(&KeyPath<'a>) -> Result<T, String>) -> Result<Vec<T>, String> {
        let values = self.value.as_array().ok_or_else(|| self.invalid("a list"))?;
        let at = |(i, value)| {
            each(&KeyPath { value, file: self.file, path: format!("{}{i}.", self.path), sources: None })
        };
        values.iter().enumerate().map(at).collect()
    }

    /// Reads one of these words, and returns the value that belongs to it.
    pub(super) fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let found = words.iter().find(|(word, _)| *word == text);
        let known = || words.iter().map(|w| w.0).collect::<Vec<_>>().join(", ");
        found.map(|&(_, v)| v).ok_or_else(|| self.invalid(&format!("one of {}", known())))
    }
}
