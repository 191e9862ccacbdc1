//! A JSON value with the path that led to it: what is wrong is told by file, key and what would be right.

use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Where the keys come from: the platform's file, and the operator's, whose keys count where both have one.
pub(super) struct Sources<'a> {
    pub(super) platform: &'a str,
    pub(super) operator: &'a str,
    pub(super) own: Map<String, Value>,
}

/// A JSON value with the path that led to it, for messages.
pub(super) struct KeyPath<'a> {
    pub(super) value: &'a Value,
    /// What is read, for messages: a file.
    pub(super) what: &'a str,
    pub(super) path: String,
    /// Of the whole: whose each key is.
    pub(super) sources: Option<&'a Sources<'a>>,
}

impl<'a> KeyPath<'a> {
    pub(super) fn whole(&self) -> Result<u64, String> {
        self.value.as_u64().ok_or_else(|| self.wrong("a whole number"))
    }
    pub(super) fn address(&self) -> Result<SocketAddr, String> {
        self.text()?.parse().map_err(|_| self.wrong("an address and a port"))
    }
    pub(super) fn above_zero(&self) -> Result<f64, String> {
        self.number().ok().filter(|&n| n > 0.0).ok_or_else(|| self.wrong("a number above 0"))
    }
    pub(super) fn get(&self, key: &str) -> Result<KeyPath<'a>, String> {
        self.opt(key).ok_or_else(|| format!("{}: '{}{key}' is missing", self.what, self.path))
    }
    pub(super) fn opt(&self, key: &str) -> Option<KeyPath<'a>> {
        let value = self.value.get(key)?;
        let what = match self.sources {
            Some(s) if s.own.contains_key(key) => s.operator,
            Some(s) => s.platform,
            None => self.what,
        };
        Some(KeyPath { value, what, path: format!("{}{key}.", self.path), sources: None })
    }
    /// Only these keys are known here.
    pub(super) fn only(&self, known: &[&str]) -> Result<(), String> {
        for (key, at) in self.entries()? {
            if !known.contains(&key) {
                return Err(at.wrong(&format!("known: there are {}", known.join(", "))));
            }
        }
        Ok(())
    }
    pub(super) fn entries(&self) -> Result<impl Iterator<Item = (&'a str, KeyPath<'a>)>, String> {
        let table = self.value.as_object().ok_or_else(|| self.wrong("a table"))?;
        let (what, path) = (self.what, self.path.clone());
        let at = move |(key, value): (&'a String, &'a Value)| {
            (key.as_str(), KeyPath { value, what, path: format!("{path}{key}."), sources: None })
        };
        Ok(table.iter().map(at))
    }
    pub(super) fn wrong(&self, wanted: &str) -> String {
        format!("{}: '{}' is not {wanted}", self.what, self.path.trim_end_matches('.'))
    }
    pub(super) fn number(&self) -> Result<f64, String> {
        self.value.as_f64().filter(|v| v.is_finite()).ok_or_else(|| self.wrong("a number"))
    }
    /// A time, a size or a worth.
    pub(super) fn amount(&self) -> Result<f64, String> {
        self.number().ok().filter(|&n| n >= 0.0).ok_or_else(|| self.wrong("a number of 0 or more"))
    }
    pub(super) fn share(&self) -> Result<f64, String> {
        let share = self.number().ok().filter(|n| (0.0..=1.0).contains(n));
        share.ok_or_else(|| self.wrong("a number from 0 to 1"))
    }
    /// Names, each of which stands once.
    pub(super) fn names(
        &self,
        name: impl Fn(&KeyPath<'a>) -> Result<&'a str, String>,
    ) -> Result<Vec<String>, String> {
        let names = self.list(|at| name(at).map(str::to_owned))?;
        match (1..names.len()).find(|&i| names[..i].contains(&names[i])) {
            Some(i) => Err(self.wrong(&format!("a list without twins: '{}' stands twice in it", names[i]))),
            None => Ok(names),
        }
    }
    pub(super) fn count(&self) -> Result<u16, String> {
        let v = self.value.as_u64().and_then(|v| u16::try_from(v).ok());
        v.ok_or_else(|| self.wrong("a small whole number"))
    }
    pub(super) fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| self.wrong("true or false"))
    }
    pub(super) fn text(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| self.wrong("a text"))
    }
    pub(super) fn list<T>(&self, each: impl Fn(&KeyPath<'a>) -> Result<T, String>) -> Result<Vec<T>, String> {
        let values = self.value.as_array().ok_or_else(|| self.wrong("a list"))?;
        let at = |(i, value)| {
            each(&KeyPath { value, what: self.what, path: format!("{}{i}.", self.path), sources: None })
        };
        values.iter().enumerate().map(at).collect()
    }
    pub(super) fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let found = words.iter().find(|(word, _)| *word == text);
        let known = || words.iter().map(|w| w.0).collect::<Vec<_>>().join(", ");
        found.map(|&(_, v)| v).ok_or_else(|| self.wrong(&format!("one of {}", known())))
    }
}
