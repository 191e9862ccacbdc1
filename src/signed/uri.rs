//! The target of a signed request: the URI without its signing package (RFC 9246), normalised so that one
//! object has one name, and the token that was in it.

/// Name of the attribute, and of the cookie, that carries the token.
pub const PACKAGE: &str = "URISigningPackage";
/// Longest path or query.
const LONGEST: usize = 4096;

/// A target that can be used.
#[derive(Debug, PartialEq, Eq)]
pub struct Target {
    /// The object: the path without token.
    pub path: String,
    /// Path and query without token, against which the token's URI container is matched.
    pub uri: String,
    /// The token, if the URI carries one.
    pub token: Option<String>,
}

/// Takes a request target apart; `None` if it is malformed, climbs, or carries more than one token.
pub fn target(raw: &str) -> Option<Target> {
    // Absolute form: the authority is not what links are checked against, the operator's base is.
    let raw = match raw.strip_prefix("http://").or_else(|| raw.strip_prefix("https://")) {
        Some(rest) => &rest[rest.find('/')?..],
        None => raw,
    };
    let plain = raw.bytes().all(|b| b.is_ascii_graphic() && b != b'#' && b != b'\\');
    if !plain || !raw.starts_with('/') {
        return None;
    }
    let (path, query) = raw.split_once('?').map_or((raw, None), |(p, q)| (p, Some(q)));
    let mut tokens = Vec::new();
    let path = path.split('/').map(|segment| strip(segment, ';', &mut tokens)).collect::<Vec<_>>().join("/");
    let query = query.map(|q| strip(q, '&', &mut tokens)).filter(|q| !q.is_empty());
    if tokens.len() > 1 || path.len() > LONGEST || query.as_ref().is_some_and(|q| q.len() > LONGEST) {
        return None;
    }
    let path = normal(&path)?;
    // Guards against one object under many names, and against a prefix that is left by climbing out of it.
    let segments: Vec<&str> = path[1..].split('/').collect();
    let (last, before) = segments.split_last()?;
    let climbs = |s: &&str| matches!(*s, "." | "..");
    if before.iter().any(|s| s.is_empty() || climbs(s)) || climbs(last) {
        return None;
    }
    let uri = match query {
        Some(query) => format!("{path}?{}", normal(&query)?),
        None => path.clone(),
    };
    Some(Target { path, uri, token: tokens.pop() })
}

/// Removes the signing package from parameters parted by `by`, with its separator.
fn strip(text: &str, by: char, tokens: &mut Vec<String>) -> String {
    let token = |p: &str| Some(p.strip_prefix(PACKAGE)?.strip_prefix('=')?.to_owned());
    let keep = |p: &&str| match token(p) {
        Some(found) => {
            tokens.push(found);
            false
        }
        None => true,
    };
    let parts: Vec<&str> = text.split(by).filter(keep).collect();
    parts.join(&by.to_string())
}

/// Percent-encoding in its normal form (RFC 3986, 6.2.2): unreserved characters plain, others in capitals.
fn normal(text: &str) -> Option<String> {
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.find('%') {
        out.push_str(&rest[..at]);
        let digits = rest.get(at + 1..at + 3)?;
        let byte =
            digits.bytes().all(|b| b.is_ascii_hexdigit()).then(|| u8::from_str_radix(digits, 16).ok())??;
        match byte {
            // An encoded end of text or line has no place in a name.
            0..=31 | 127 => return None,
            b if b.is_ascii_alphanumeric() || b"-._~".contains(&b) => out.push(char::from(b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
        rest = &rest[at + 3..];
    }
    out.push_str(rest);
    Some(out)
}

/// The token in a `Cookie` header, if there is exactly one.
pub fn cookie(header: &str) -> Option<&str> {
    let mut tokens = header.split(';').filter_map(|c| c.trim().strip_prefix(PACKAGE)?.strip_prefix('='));
    let first = tokens.next()?;
    tokens.next().is_none().then_some(first)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_token_is_no_part_of_the_object() {
        for raw in [
            "/talks/7.mp4?URISigningPackage=a.b.c",
            "/talks/7.mp4;URISigningPackage=a.b.c",
            "/talks;URISigningPackage=a.b.c/7.mp4",
            "http://other.example/talks/%37.mp4?URISigningPackage=a.b.c",
        ] {
            let t = target(raw).expect(raw);
            assert_eq!(
                (&*t.path, &*t.uri, t.token.as_deref()),
                ("/talks/7.mp4", "/talks/7.mp4", Some("a.b.c"))
            );
        }
        let t = target("/a?x=1&URISigningPackage=t&y=%2f").expect("a query around it");
        assert_eq!((&*t.path, &*t.uri), ("/a", "/a?x=1&y=%2F"));
        assert_eq!(target("/a?xURISigningPackage=t").and_then(|t| t.token), None);
    }

    #[test]
    fn names_that_climb_or_double_are_refused() {
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
            assert_eq!(target(raw), None, "{raw}");
        }
        assert_eq!(target("/a;URISigningPackage=t?URISigningPackage=u"), None, "which one counts is unclear");
        assert!(target("/").is_some() && target("/a/").is_some());
    }

    #[test]
    fn a_cookie_carries_one_token() {
        assert_eq!(cookie("a=b; URISigningPackage=t.u.v"), Some("t.u.v"));
        assert_eq!(cookie("URISigningPackage=t; URISigningPackage=u"), None);
        assert_eq!(cookie("a=b"), None);
    }
}
