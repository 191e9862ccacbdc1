//! URI Signing (RFC 9246): checks whether a signed JWT authorises a URI. Done once, when a request arrives.

use super::keys::Keys;
use jsonwebtoken::Validation;
use regex::bytes::RegexBuilder;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

/// Maximum size of a token.
const MAX_TOKEN_BYTES: usize = 4096;
/// Maximum compiled size of a token's regular expression.
const MAX_REGEX_BYTES: usize = 256 * 1024;
/// Maximum memory of checking a token: its claims, its compiled regular expression and the matcher's state.
pub const CHECK_MEMORY_BYTES: usize = 2 * MAX_REGEX_BYTES + 8 * MAX_TOKEN_BYTES;
/// Claims that are supported. `sub` is opaque and `iat` is informational (RFC 9246, 2.1).
const HONOURED_CLAIMS: [&str; 9] = ["iss", "sub", "aud", "exp", "nbf", "iat", "cdniv", "cdnicrit", "cdniuc"];
/// Claims of the RFC that are not supported: a nonce needs state that fronts do not share, the client's
/// address is encrypted, and chains of tokens are not issued.
const UNSUPPORTED_CLAIMS: [&str; 5] = ["jti", "cdniip", "cdniets", "cdnistt", "cdnistd"];

/// Why a link is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no token.
    Missing,
    /// The token is not a JWT, or a claim has an invalid form.
    Malformed,
    /// The key is unknown or no longer valid, or the signature does not match it.
    BadSignature,
    /// The token has expired.
    Expired,
    /// The token is not valid yet.
    NotYetValid,
    /// The issuer may not sign for this path.
    WrongIssuer,
    /// The token is for another audience.
    WrongAudience,
    /// The token is for another URI.
    UriMismatch,
    /// A claim is not supported, or a required claim is missing.
    UnacceptableClaims,
}

/// What a token is checked against.
pub struct CheckContext<'a> {
    /// The complete URI without the signing package.
    pub uri: &'a str,
    /// The only issuer that may sign for the URI.
    pub issuer: &'a str,
    /// Audience that a token's `aud`, if present, must contain.
    pub audience: Option<&'a str>,
    /// Permitted difference between clocks (seconds).
    pub leeway_s: f64,
    /// Arrival time of the request (Unix seconds).
    pub now: f64,
}

/// Checks that the token authorises the URI now.
pub fn check(token: &str, keys: &Keys, context: &CheckContext) -> Result<(), Refusal> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(Refusal::Malformed);
    }
    let header = jsonwebtoken::decode_header(token).map_err(|_| Refusal::Malformed)?;
    if header.crit.is_some() {
        return Err(Refusal::UnacceptableClaims);
    }
    let kid = header.kid.ok_or(Refusal::Malformed)?;
    // The key determines the algorithm; a header that names another is refused before verification.
    let claims = keys.for_kid(context.now, &kid).find_map(|key| {
        let mut validation = Validation::new(key.algorithm);
        validation.required_spec_claims.clear();
        (validation.validate_exp, validation.validate_aud) = (false, false);
        let verified = jsonwebtoken::decode::<Map<String, Value>>(token, &key.verifier, &validation);
        verified.ok().map(|v| (v.claims, &key.issuer))
    });
    let (claims, issuer) = claims.ok_or(Refusal::BadSignature)?;
    if issuer != context.issuer || claims.get("iss").and_then(Value::as_str) != Some(context.issuer) {
        return Err(Refusal::WrongIssuer);
    }
    check_supported(&claims)?;
    let time = |name: &str| match claims.get(name) {
        None => Ok(None),
        Some(v) => v.as_f64().map(Some).ok_or(Refusal::Malformed),
    };
    if context.now >= time("exp")?.ok_or(Refusal::UnacceptableClaims)? + context.leeway_s {
        return Err(Refusal::Expired);
    }
    if time("nbf")?.is_some_and(|nbf| context.now < nbf - context.leeway_s) {
        return Err(Refusal::NotYetValid);
    }
    check_audience(&claims, context.audience)?;
    let container = claims.get("cdniuc").and_then(Value::as_str).ok_or(Refusal::UnacceptableClaims)?;
    match container_matches(container, context.uri)? {
        true => Ok(()),
        false => Err(Refusal::UriMismatch),
    }
}

/// Checks that the token has no unsupported claim and no unknown critical claim.
fn check_supported(claims: &Map<String, Value>) -> Result<(), Refusal> {
    let critical = match claims.get("cdnicrit") {
        None => Vec::new(),
        Some(Value::String(list)) => list.split(',').map(str::trim).collect(),
        Some(Value::Array(list)) => {
            list.iter().map(Value::as_str).collect::<Option<_>>().ok_or(Refusal::Malformed)?
        }
        Some(_) => return Err(Refusal::Malformed),
    };
    let unknown_critical = critical.iter().any(|c| !HONOURED_CLAIMS.contains(c));
    let supported_version = claims.get("cdniv").is_none_or(|v| v.as_u64() == Some(1));
    // `cdnistt` of 0 requests no further token, which is the behaviour here.
    let is_refused =
        |name: &str| claims.get(name).is_some_and(|v| name != "cdnistt" || v.as_u64() != Some(0));
    match unknown_critical || !supported_version || UNSUPPORTED_CLAIMS.into_iter().any(is_refused) {
        true => Err(Refusal::UnacceptableClaims),
        false => Ok(()),
    }
}

/// Checks that the `aud` claim, if present, contains the expected audience.
fn check_audience(claims: &Map<String, Value>, expected: Option<&str>) -> Result<(), Refusal> {
    let names_us = |v: &Value| v.as_str().is_some_and(|v| Some(v) == expected);
    match claims.get("aud") {
        None => Ok(()),
        Some(Value::Array(list)) if list.iter().any(names_us) => Ok(()),
        Some(one) if names_us(one) => Ok(()),
        Some(_) => Err(Refusal::WrongAudience),
    }
}

/// Returns whether a URI container matches the URI. The container is a hash of the URI, or a regular
/// expression that must match all of it.
fn container_matches(container: &str, uri: &str) -> Result<bool, Refusal> {
    if let Some(hash) = container.strip_prefix("hash:") {
        let hash = hash.strip_prefix("sha-256;").ok_or(Refusal::UnacceptableClaims)?;
        let hash = super::base64url(hash).ok_or(Refusal::Malformed)?;
        return Ok(hash == Sha256::digest(uri.as_bytes())[..]);
    }
    let pattern = container.strip_prefix("regex:").ok_or(Refusal::UnacceptableClaims)?;
    let regex =
        RegexBuilder::new(&format!("^(?:{pattern})$")).size_limit(MAX_REGEX_BYTES).unicode(false).build();
    Ok(regex.map_err(|_| Refusal::Malformed)?.is_match(uri.as_bytes()))
}
