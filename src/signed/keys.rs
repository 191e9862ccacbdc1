//! The signers' keys, by key id (`kid`): a JWK Set (RFC 7517) in a file that is reread while the process
//! runs. Each key has an issuer (`iss`) and fixes the algorithm, whatever a token's header says. The key ids
//! in `revoked` are invalid at once. A key that was replaced or removed stays valid for the overlap.

use jsonwebtoken::{Algorithm, DecodingKey};
use rustc_hash::FxHashMap;
use serde_json::Value;

/// Minimum size of an HS256 secret (RFC 7518, 3.2).
const MIN_SECRET_BYTES: usize = 32;

/// A verification key.
#[derive(Clone)]
pub struct Key {
    /// The issuer whose links the key signs.
    pub issuer: String,
    /// The only algorithm that the key is used with.
    pub algorithm: Algorithm,
    /// The key material for verification.
    pub verifier: DecodingKey,
    /// The key as it stands in the file, to detect that it was replaced.
    jwk: Value,
}

/// The content of a key file.
#[derive(Default)]
pub struct KeyFile {
    keys: FxHashMap<String, Key>,
    revoked: Vec<String>,
}

/// The keys that are valid now.
#[derive(Default)]
pub struct Keys {
    current: FxHashMap<String, Key>,
    /// Replaced keys: key id, key, and the time until which it is valid.
    replaced: Vec<(String, Key, f64)>,
}

impl Key {
    /// Estimated memory (bytes): key material, names, and the key as it stands in the file.
    fn footprint(&self) -> usize {
        const FIXED_BYTES: usize = 1024;
        FIXED_BYTES + 4 * self.issuer.len() + 2 * self.jwk.to_string().len()
    }
}

impl KeyFile {
    /// Estimated memory of all keys (bytes).
    pub fn footprint(&self) -> usize {
        self.keys.values().map(Key::footprint).sum()
    }

    /// Parses a key file. An error names the invalid key, and never contains its material.
    pub fn parse(text: &str) -> Result<Self, String> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| format!("invalid JSON at line {}", e.line()))?;
        let list = value.get("keys").and_then(Value::as_array).ok_or("'keys' is not a list")?;
        let mut file = KeyFile::default();
        for (i, jwk) in list.iter().enumerate() {
            let text = |name: &str| {
                let text = jwk.get(name).and_then(Value::as_str).filter(|t| !t.is_empty());
                text.ok_or_else(|| format!("'keys.{i}.{name}' is missing or not a string"))
            };
            let kid = text("kid")?.to_owned();
            let wrong = |name: &str, expected: &str| format!("'keys.{i}.{name}' is not {expected}");
            let (algorithm, verifier) = match (text("kty")?, text("alg")?) {
                ("oct", "HS256") => {
                    let secret = super::base64url(text("k")?).filter(|k| k.len() >= MIN_SECRET_BYTES);
                    let secret = secret.ok_or_else(|| wrong("k", "base64url of 32 bytes or more"))?;
                    let key = DecodingKey::from_secret(&secret).map_err(|_| wrong("k", "a secret"))?;
                    (Algorithm::HS256, key)
                }
                ("EC", "ES256") if text("crv")? == "P-256" => {
                    let key = DecodingKey::from_ec_components(text("x")?, text("y")?);
                    (Algorithm::ES256, key.map_err(|_| wrong("x", "a coordinate"))?)
                }
                _ => return Err(wrong("alg", "HS256 with an 'oct' key or ES256 with a 'P-256' key")),
            };
            let key = Key { issuer: text("iss")?.to_owned(), algorithm, verifier, jwk: jwk.clone() };
            if file.keys.insert(kid, key).is_some() {
                return Err(wrong("kid", "unique"));
            }
        }
        if let Some(revoked) = value.get("revoked") {
            let list = revoked.as_array().ok_or("'revoked' is not a list")?;
            let texts = list.iter().map(|v| v.as_str().map(str::to_owned)).collect::<Option<_>>();
            file.revoked = texts.ok_or("'revoked' is not a list of strings")?;
        }
        Ok(file)
    }
}

impl Keys {
    /// Replaces the current keys with those of a new file. A key that the file lacks, or has changed under
    /// the same id, stays valid until `until` unless it is revoked.
    pub fn replace(&mut self, now: f64, until: f64, file: KeyFile) {
        let KeyFile { mut keys, revoked } = file;
        keys.retain(|kid, _| !revoked.contains(kid));
        for (kid, key) in self.current.drain() {
            if keys.get(&kid).is_none_or(|new| new.jwk != key.jwk) {
                self.replaced.push((kid, key, until));
            }
        }
        self.replaced.retain(|(kid, _, until)| *until > now && !revoked.contains(kid));
        self.current = keys;
    }

    /// Returns the valid keys of a key id.
    pub fn for_kid(&self, now: f64, kid: &str) -> impl Iterator<Item = &Key> {
        let old = self.replaced.iter().filter(move |(id, _, until)| id == kid && *until > now);
        self.current.get(kid).into_iter().chain(old.map(|(_, key, _)| key))
    }

    /// Estimated memory of all keys, including replaced ones (bytes).
    pub fn footprint(&self) -> usize {
        let replaced = self.replaced.iter().map(|(_, key, _)| key);
        self.current.values().chain(replaced).map(Key::footprint).sum()
    }

    /// Number of current keys, without replaced ones.
    pub fn len(&self) -> usize {
        self.current.len()
    }

    /// Returns whether there are no current keys.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }
}
