//! What the files held, to compare a later reading with.

use serde_json::{Map, Value};

/// All that the files hold but the events of the start and the seed.
#[derive(Debug, Default)]
pub struct LoadedSettings(pub(super) Value);

impl LoadedSettings {
    /// Keys in which a later reading differs and that cannot change while the program runs. What was on at
    /// the start stays on: where the coordinator or the discovery server is reached may change, and what memory is
    /// held to.
    pub fn restart_required(&self, later: &LoadedSettings) -> Vec<String> {
        let mut keys = Vec::new();
        differing("", &self.0, &later.0, &mut keys);
        let xds = |loaded: &LoadedSettings| loaded.0.get("xds").is_some();
        let live: &[&str] = match (xds(self), xds(later)) {
            (true, true) => &["xds.server", "xds.refresh_s", "coordinator"],
            (false, false) => &["coordinator"],
            _ => &[],
        };
        let memory = |key: &str| key == "limits.memory_mb" || key == "memory" || key.starts_with("memory.");
        keys.retain(|key| !live.contains(&key.as_str()) && !memory(key));
        keys
    }

    /// All keys in which a later reading differs.
    pub fn changed_keys(&self, later: &LoadedSettings) -> Vec<String> {
        let mut keys = Vec::new();
        differing("", &self.0, &later.0, &mut keys);
        keys
    }

    /// A digest of the settings, by which operators tell what a process runs: the same for the same keys and values in
    /// any order.
    pub fn digest(&self) -> u64 {
        digest(&self.0)
    }
}

fn digest(value: &Value) -> u64 {
    let text = match value {
        Value::Object(map) => {
            let mut keys: Vec<(&String, u64)> = map.iter().map(|(key, v)| (key, digest(v))).collect();
            keys.sort();
            format!("{keys:?}")
        }
        Value::Array(all) => format!("{:?}", all.iter().map(digest).collect::<Vec<_>>()),
        plain => plain.to_string(),
    };
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Names the keys under which two trees differ.
fn differing(path: &str, old: &Value, new: &Value, keys: &mut Vec<String>) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        let dot = if path.is_empty() { "" } else { "." };
        let missing = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(missing) {
            let at = |tree: &Map<String, Value>| tree.get(key).cloned().unwrap_or_default();
            differing(&format!("{path}{dot}{key}"), &at(old), &at(new), keys);
        }
    } else if old != new {
        keys.push(path.to_owned());
    }
}
