//! URI Signing (RFC 9246): whether a signed JWT is good for a URI. Checked once, when a request arrives.

use super::keys::Keys;
use jsonwebtoken::Validation;
use regex::bytes::RegexBuilder;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

/// Longest token.
const LONGEST: usize = 4096;
/// Largest program that a token's regular expression may compile to (bytes).
const PATTERN: usize = 256 * 1024;
/// What checking a token takes at most: its claims, its compiled expression and what running that takes (bytes).
pub const CHECK: usize = 2 * PATTERN + 8 * LONGEST;
/// Claims that can be honoured here. `sub` is opaque and `iat` only informs (RFC 9246, 2.1).
const KNOWN: [&str; 9] = ["iss", "sub", "aud", "exp", "nbf", "iat", "cdniv", "cdnicrit", "cdniuc"];
/// Claims that the RFC defines and that cannot be honoured here: a nonce needs what fronts do not share, the
/// client's address comes encrypted, and chains of tokens are not issued.
const NOT_HONOURED: [&str; 5] = ["jti", "cdniip", "cdniets", "cdnistt", "cdnistd"];

/// Why a link is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No token at all.
    Missing,
    /// No JWT that could be read, or a claim of the wrong form.
    Malformed,
    /// Signed by a key that does not verify here, or not signed by it.
    Signature,
    /// Its time is over.
    Expired,
    /// Its time has not come.
    Early,
    /// The issuer may not sign for this path.
    Issuer,
    /// For another audience.
    Audience,
    /// For another URI.
    Uri,
    /// A claim that cannot be honoured here.
    Claim,
}

/// What a token is checked against.
pub struct Check<'a> {
    /// The whole URI without its signing package.
    pub uri: &'a str,
    /// Who may sign for it.
    pub issuer: &'a str,
    /// Whom a token's `aud` must name, if it has one.
    pub audience: Option<&'a str>,
    /// Clocks may differ by so much (seconds).
    pub leeway: f64,
    /// The Unix time of arrival.
    pub now: f64,
}

/// Is the token good for the URI now?
pub fn check(token: &str, keys: &Keys, want: &Check) -> Result<(), Refusal> {
    if token.len() > LONGEST {
        return Err(Refusal::Malformed);
    }
    let header = jsonwebtoken::decode_header(token).map_err(|_| Refusal::Malformed)?;
    if header.crit.is_some() {
        return Err(Refusal::Claim);
    }
    let kid = header.kid.ok_or(Refusal::Malformed)?;
    // The keys say which algorithm counts; a header that names another is refused before it is verified.
    let claims = keys.of(want.now, &kid).find_map(|key| {
        let mut only = Validation::new(key.algorithm);
        only.required_spec_claims.clear();
        (only.validate_exp, only.validate_aud) = (false, false);
        let verified = jsonwebtoken::decode::<Map<String, Value>>(token, &key.verifier, &only);
        verified.ok().map(|v| (v.claims, &key.issuer))
    });
    let (claims, issuer) = claims.ok_or(Refusal::Signature)?;
    if issuer != want.issuer || claims.get("iss").and_then(Value::as_str) != Some(want.issuer) {
        return Err(Refusal::Issuer);
    }
    honoured(&claims)?;
    let time = |name: &str| match claims.get(name) {
        None => Ok(None),
        Some(v) => v.as_f64().map(Some).ok_or(Refusal::Malformed),
    };
    if want.now >= time("exp")?.ok_or(Refusal::Claim)? + want.leeway {
        return Err(Refusal::Expired);
    }
    if time("nbf")?.is_some_and(|nbf| want.now < nbf - want.leeway) {
        return Err(Refusal::Early);
    }
    audience(&claims, want.audience)?;
    let container = claims.get("cdniuc").and_then(Value::as_str).ok_or(Refusal::Claim)?;
    match contains(container, want.uri)? {
        true => Ok(()),
        false => Err(Refusal::Uri),
    }
}

fn honoured(claims: &Map<String, Value>) -> Result<(), Refusal> {
    let critical = match claims.get("cdnicrit") {
        None => Vec::new(),
        Some(Value::String(list)) => list.split(',').map(str::trim).collect(),
        Some(Value::Array(list)) => {
            list.iter().map(Value::as_str).collect::<Option<_>>().ok_or(Refusal::Malformed)?
        }
        Some(_) => return Err(Refusal::Malformed),
    };
    let foreign = critical.iter().any(|c| !KNOWN.contains(c));
    let version = claims.get("cdniv").is_none_or(|v| v.as_u64() == Some(1));
    // `cdnistt` of 0 says that no further token is wanted, which is what is done here.
    let refused = |name: &str| claims.get(name).is_some_and(|v| name != "cdnistt" || v.as_u64() != Some(0));
    match foreign || !version || NOT_HONOURED.into_iter().any(refused) {
        true => Err(Refusal::Claim),
        false => Ok(()),
    }
}

fn audience(claims: &Map<String, Value>, ours: Option<&str>) -> Result<(), Refusal> {
    let named = |v: &Value| v.as_str().is_some_and(|v| Some(v) == ours);
    match claims.get("aud") {
        None => Ok(()),
        Some(Value::Array(list)) if list.iter().any(named) => Ok(()),
        Some(one) if named(one) => Ok(()),
        Some(_) => Err(Refusal::Audience),
    }
}

/// Does a URI container hold this URI? It is a hash of it or a regular expression for the whole of it.
fn contains(container: &str, uri: &str) -> Result<bool, Refusal> {
    if let Some(hash) = container.strip_prefix("hash:") {
        let hash = hash.strip_prefix("sha-256;").ok_or(Refusal::Claim)?;
        let hash = super::base64url(hash).ok_or(Refusal::Malformed)?;
        return Ok(hash == Sha256::digest(uri.as_bytes())[..]);
    }
    let pattern = container.strip_prefix("regex:").ok_or(Refusal::Claim)?;
    let whole = RegexBuilder::new(&format!("^(?:{pattern})$")).size_limit(PATTERN).unicode(false).build();
    Ok(whole.map_err(|_| Refusal::Malformed)?.is_match(uri.as_bytes()))
}
