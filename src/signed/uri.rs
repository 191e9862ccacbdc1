//! The target of a signed request: the URI without its signing package (RFC 9246), normalised so that each
//! object has one name, and the token that it carried.

/// Name of the attribute, and of the cookie, that carries the token.
pub const SIGNING_PACKAGE: &str = "URISigningPackage";
/// Maximum size of a path or query.
const MAX_COMPONENT_BYTES: usize = 4096;

/// A valid request target.
#[derive(Debug, PartialEq, Eq)]
pub struct Target {
    /// The path without the token; it identifies the object.
    pub path: String,
    /// Path and query without the token; the token's URI container is matched against it.
    pub uri: String,
    /// The token, if the URI carries one.
    pub token: Option<String>,
}

/// Parses a request target. Returns `None` if it is malformed, has empty or dot segments, or carries several
/// tokens.
pub fn parse_target(raw: &str) -> Option<Target> {
    // Absolute form: the authority is ignored, since links are checked against the operator's base.
    let raw = match raw.strip_prefix("http://").or_else(|| raw.strip_prefix("https://")) {
        Some(rest) => &rest[rest.find('/')?..],
        None => raw,
    };
    let is_plain = raw.bytes().all(|b| b.is_ascii_graphic() && b != b'#' && b != b'\\');
    if !is_plain || !raw.starts_with('/') {
        return None;
    }
    let (path, query) = raw.split_once('?').map_or((raw, None), |(p, q)| (p, Some(q)));
    let mut tokens = Vec::new();
    let path =
        path.split('/').map(|segment| remove_token(segment, ';', &mut tokens)).collect::<Vec<_>>().join("/");
    let query = query.map(|q| remove_token(q, '&', &mut tokens)).filter(|q| !q.is_empty());
    if tokens.len() > 1
        || path.len() > MAX_COMPONENT_BYTES
        || query.as_ref().is_some_and(|q| q.len() > MAX_COMPONENT_BYTES)
    {
        return None;
    }
    let path = normalise_percent_encoding(&path)?;
    // Prevents several names for one object, and leaving a contract's prefix by dot segments.
    let segments: Vec<&str> = path[1..].split('/').collect();
    let (last, before) = segments.split_last()?;
    let is_dot_segment = |s: &&str| matches!(*s, "." | "..");
    if before.iter().any(|s| s.is_empty() || is_dot_segment(s)) || is_dot_segment(last) {
        return None;
    }
    let uri = match query {
        Some(query) => format!("{path}?{}", normalise_percent_encoding(&query)?),
        None => path.clone(),
    };
    Some(Target { path, uri, token: tokens.pop() })
}

/// Removes the signing package, with its separator, from parameters that are separated by `separator`. Adds
/// its token to `tokens`.
fn remove_token(text: &str, separator: char, tokens: &mut Vec<String>) -> String {
    let token = |p: &str| Some(p.strip_prefix(SIGNING_PACKAGE)?.strip_prefix('=')?.to_owned());
    let keep = |p: &&str| match token(p) {
        Some(found) => {
            tokens.push(found);
            false
        }
        None => true,
    };
    let parts: Vec<&str> = text.split(separator).filter(keep).collect();
    parts.join(&separator.to_string())
}

/// Normalises percent-encoding (RFC 3986, 6.2.2): decodes unreserved characters, and writes others in upper
/// case.
fn normalise_percent_encoding(text: &str) -> Option<String> {
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.find('%') {
        out.push_str(&rest[..at]);
        let digits = rest.get(at + 1..at + 3)?;
        let byte =
            digits.bytes().all(|b| b.is_ascii_hexdigit()).then(|| u8::from_str_radix(digits, 16).ok())??;
        match byte {
            // Control characters, such as an encoded NUL or line end, are invalid in a path.
            0..=31 | 127 => return None,
            b if b.is_ascii_alphanumeric() || b"-._~".contains(&b) => out.push(char::from(b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
        rest = &rest[at + 3..];
    }
    out.push_str(rest);
    Some(out)
}

/// Returns the token in a `Cookie` field, if there is exactly one.
pub fn token_from_cookie(header: &str) -> Option<&str> {
    let mut tokens =
        header.split(';').filter_map(|c| c.trim().strip_prefix(SIGNING_PACKAGE)?.strip_prefix('='));
    let first = tokens.next()?;
    tokens.next().is_none().then_some(first)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn token_is_removed_from_path_and_uri() {
        for raw in [
            "/talks/7.mp4?URISigningPackage=a.b.c",
            "/talks/7.mp4;URISigningPackage=a.b.c",
            "/talks;URISigningPackage=a.b.c/7.mp4",
            "http://other.example/talks/%37.mp4?URISigningPackage=a.b.c",
        ] {
            let t = parse_target(raw).expect(raw);
            assert_eq!(
                (&*t.path, &*t.uri, t.token.as_deref()),
                ("/talks/7.mp4", "/talks/7.mp4", Some("a.b.c"))
            );
        }
        let t = parse_target("/a?x=1&URISigningPackage=t&y=%2f").expect("a query around it");
        assert_eq!((&*t.path, &*t.uri), ("/a", "/a?x=1&y=%2F"));
        assert_eq!(parse_target("/a?xURISigningPackage=t").and_then(|t| t.token), None);
    }

    #[test]
    fn malformed_and_ambiguous_targets_are_refused() {
        for raw in [
            "/a/../b",
            "/a/%2e%2E/b",
            "/a/./b",
            "//a",
            "/a//b",
            "/a%00",
            "/a%4",
            "/a%zz",
            "a",
            "/a b",
            "/a#b",
        ] {
            assert_eq!(parse_target(raw), None, "{raw}");
        }
        assert_eq!(
            parse_target("/a;URISigningPackage=t?URISigningPackage=u"),
            None,
            "which one counts is unclear"
        );
        assert!(parse_target("/").is_some() && parse_target("/a/").is_some());
    }

    #[test]
    fn cookie_with_several_tokens_is_refused() {
        assert_eq!(token_from_cookie("a=b; URISigningPackage=t.u.v"), Some("t.u.v"));
        assert_eq!(token_from_cookie("URISigningPackage=t; URISigningPackage=u"), None);
        assert_eq!(token_from_cookie("a=b"), None);
    }
}
