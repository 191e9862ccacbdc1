//! The signers' keys, by `kid`: a JWK Set (RFC 7517) in a file that is reread while running. Each key has an
//! issuer (`iss`), and its algorithm is its own, whatever a token's header says. `revoked` lists key ids that
//! verify nothing from then on. A key that was replaced, or left out, verifies for the overlap.

use jsonwebtoken::{Algorithm, DecodingKey};
use rustc_hash::FxHashMap;
use serde_json::Value;

/// Least bytes of an HS256 secret (RFC 7518, 3.2).
const SECRET_LEAST: usize = 32;

/// One key.
#[derive(Clone)]
pub struct Key {
    /// Whose links it signs.
    pub issuer: String,
    /// The only algorithm it is used with.
    pub algorithm: Algorithm,
    /// What verifies.
    pub verifier: DecodingKey,
    /// The key as it was written, to see whether it was replaced.
    written: Value,
}

/// A key file that was read.
#[derive(Default)]
pub struct KeyFile {
    keys: FxHashMap<String, Key>,
    revoked: Vec<String>,
}

/// The keys that verify now.
#[derive(Default)]
pub struct Keys {
    current: FxHashMap<String, Key>,
    /// Keys that were replaced, and until when they verify.
    replaced: Vec<(String, Key, f64)>,
}

impl Key {
    /// Bytes that it takes: what verifies, its names, and the key as it was written.
    fn footprint(&self) -> usize {
        const OWN: usize = 1024;
        OWN + 4 * self.issuer.len() + 2 * self.written.to_string().len()
    }
}

impl KeyFile {
    /// Bytes that the keys take.
    pub fn footprint(&self) -> usize {
        self.keys.values().map(Key::footprint).sum()
    }

    /// Reads a key file; an error names the key that is at fault, and never its material.
    pub fn parse(text: &str) -> Result<Self, String> {
        let value: Value = serde_json::from_str(text).map_err(|e| format!("no JSON at line {}", e.line()))?;
        let list = value.get("keys").and_then(Value::as_array).ok_or("'keys' is not a list")?;
        let mut file = KeyFile::default();
        for (i, jwk) in list.iter().enumerate() {
            let text = |name: &str| {
                let text = jwk.get(name).and_then(Value::as_str).filter(|t| !t.is_empty());
                text.ok_or_else(|| format!("'keys.{i}.{name}' is missing or no text"))
            };
            let kid = text("kid")?.to_owned();
            let wrong = |name: &str, wanted: &str| format!("'keys.{i}.{name}' is not {wanted}");
            let (algorithm, verifier) = match (text("kty")?, text("alg")?) {
                ("oct", "HS256") => {
                    let secret = super::base64url(text("k")?).filter(|k| k.len() >= SECRET_LEAST);
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
            let key = Key { issuer: text("iss")?.to_owned(), algorithm, verifier, written: jwk.clone() };
            if file.keys.insert(kid, key).is_some() {
                return Err(wrong("kid", "new: it stands twice"));
            }
        }
        if let Some(revoked) = value.get("revoked") {
            let list = revoked.as_array().ok_or("'revoked' is not a list")?;
            let texts = list.iter().map(|v| v.as_str().map(str::to_owned)).collect::<Option<_>>();
            file.revoked = texts.ok_or("'revoked' is not a list of texts")?;
        }
        Ok(file)
    }
}

impl Keys {
    /// Takes a new file: what it no longer holds, or holds anew under the same id, verifies until `until`,
    /// unless it is revoked.
    pub fn replace(&mut self, now: f64, until: f64, file: KeyFile) {
        let KeyFile { mut keys, revoked } = file;
        keys.retain(|kid, _| !revoked.contains(kid));
        for (kid, key) in self.current.drain() {
            if keys.get(&kid).is_none_or(|new| new.written != key.written) {
                self.replaced.push((kid, key, until));
            }
        }
        self.replaced.retain(|(kid, _, until)| *until > now && !revoked.contains(kid));
        self.current = keys;
    }

    /// The keys of an id that verify now.
    pub fn of(&self, now: f64, kid: &str) -> impl Iterator<Item = &Key> {
        let old = self.replaced.iter().filter(move |(id, _, until)| id == kid && *until > now);
        self.current.get(kid).into_iter().chain(old.map(|(_, key, _)| key))
    }

    /// Bytes that they take, the replaced ones too.
    pub fn footprint(&self) -> usize {
        let replaced = self.replaced.iter().map(|(_, key, _)| key);
        self.current.values().chain(replaced).map(Key::footprint).sum()
    }

    /// How many are current.
    pub fn len(&self) -> usize {
        self.current.len()
    }

    /// Are there none?
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }
}
