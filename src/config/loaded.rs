//! The contents of the configuration files, for comparison on reload.

use serde_json::{Map, Value};

/// The merged contents of the files, without the initial updates and the seed.
#[derive(Debug, Default)]
pub struct LoadedSettings(pub(super) Value);

impl LoadedSettings {
    /// Returns the keys in which `later` differs and that need a restart. Without one, only the addresses of
    /// the coordinator and of the discovery server, its polling interval and the limits of memory may change;
    /// discovery itself cannot be switched between the two.
    pub fn restart_required(&self, later: &LoadedSettings) -> Vec<String> {
        let mut keys = Vec::new();
        collect_differences("", &self.0, &later.0, &mut keys);
        let xds = |loaded: &LoadedSettings| loaded.0.get("xds").is_some();
        let reloadable: &[&str] = match (xds(self), xds(later)) {
            (true, true) => &["xds.server", "xds.refresh_s", "coordinator"],
            (false, false) => &["coordinator"],
            _ => &[],
        };
        let memory = |key: &str| key == "limits.memory_mb" || key == "memory" || key.starts_with("memory.");
        keys.retain(|key| !reloadable.contains(&key.as_str()) && !memory(key));
        keys
    }

    /// Returns all keys in which `later` differs.
    pub fn changed_keys(&self, later: &LoadedSettings) -> Vec<String> {
        let mut keys = Vec::new();
        collect_differences("", &self.0, &later.0, &mut keys);
        keys
    }

    /// Returns a digest of the settings, by which operators identify what a process runs. It does not depend
    /// on the order of the keys.
    pub fn digest(&self) -> u64 {
        digest(&self.0)
    }
}

/// Returns the digest of a value.
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

/// Collects the keys in which two trees differ.
fn collect_differences(path: &str, old: &Value, new: &Value, keys: &mut Vec<String>) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        let dot = if path.is_empty() { "" } else { "." };
        let missing = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(missing) {
            let at = |tree: &Map<String, Value>| tree.get(key).cloned().unwrap_or_default();
            collect_differences(&format!("{path}{dot}{key}"), &at(old), &at(new), keys);
        }
    } else if old != new {
        keys.push(path.to_owned());
    }
}
