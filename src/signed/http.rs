//! HTTP/1.1 messages: parsing and writing only. Strict where leniency lets two readers disagree on where a
//! message ends.

use std::fmt::Write;

/// Longest head of a message.
pub const HEAD: usize = 16 * 1024;
/// Most header lines.
const FIELDS: usize = 100;

/// Why a message cannot be taken, as the status that says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unusable(pub u16);

const MALFORMED: Unusable = Unusable(400);

/// The head of a request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// GET, HEAD, POST, …
    pub method: String,
    /// The target as it came.
    pub target: String,
    /// The connection is to be kept.
    pub keep: bool,
    /// Bytes of the body.
    pub length: usize,
    /// The client waits for a 100 before it sends the body.
    pub expects: bool,
    /// Header lines, names in small letters.
    pub fields: Vec<(String, String)>,
}

impl Request {
    /// The only value of a header; `None` if it is absent or stands twice.
    pub fn field(&self, name: &str) -> Option<&str> {
        only(&self.fields, name).ok().flatten()
    }
}

fn only<'a>(fields: &'a [(String, String)], name: &str) -> Result<Option<&'a str>, Unusable> {
    let mut all = fields.iter().filter(|(n, _)| n == name);
    let first = all.next().map(|(_, v)| v.as_str());
    if all.next().is_some() { Err(MALFORMED) } else { Ok(first) }
}

/// A head's first line, its fields, and how long it was.
type Head<'a> = (&'a str, Vec<(String, String)>, usize);

/// Splits a head off `bytes`; `None` while it is not whole.
fn head(bytes: &[u8]) -> Result<Option<Head<'_>>, Unusable> {
    let Some(end) = bytes.windows(4).take(HEAD).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= HEAD { Err(Unusable(431)) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| MALFORMED)?;
    let mut lines = text.split("\r\n");
    let first = lines.next().ok_or(MALFORMED)?;
    let mut fields = Vec::new();
    for line in lines {
        if fields.len() == FIELDS {
            return Err(Unusable(431));
        }
        let (name, value) = line.split_once(':').ok_or(MALFORMED)?;
        // A space before the colon, or a folded line, is read differently by different readers.
        let token = !name.is_empty()
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b));
        let clean = value.bytes().all(|b| b >= b' ' && b != 127 || b == b'\t');
        if !token || !clean {
            return Err(MALFORMED);
        }
        fields.push((name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Some((first, fields, end + 4)))
}

fn length(fields: &[(String, String)]) -> Result<Option<usize>, Unusable> {
    let Some(text) = only(fields, "content-length")? else { return Ok(None) };
    let digits = crate::net::parse_u64(text.as_bytes()).ok_or(MALFORMED)?;
    usize::try_from(digits).map(Some).map_err(|_| Unusable(413))
}

/// Reads the head of a request, and how long it was; `None` while it is not whole. A body may have `most`
/// bytes.
pub fn request(bytes: &[u8], most: usize) -> Result<Option<(Request, usize)>, Unusable> {
    // Empty lines before a request are passed over (RFC 9112, 2.2).
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).take(8).count();
    let Some((first, fields, used)) = head(&bytes[skipped..])? else { return Ok(None) };
    let mut words = first.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(MALFORMED);
    };
    let old = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        v if v.starts_with("HTTP/") => return Err(Unusable(505)),
        _ => return Err(MALFORMED),
    };
    if method.is_empty() || target.is_empty() || only(&fields, "host")?.is_none() && !old {
        return Err(MALFORMED);
    }
    let length = length(&fields)?;
    if only(&fields, "transfer-encoding")?.is_some() {
        // Both together hide a second request in the body of the first; alone it has no stated length.
        return Err(if length.is_some() { MALFORMED } else { Unusable(411) });
    }
    let length = length.unwrap_or(0);
    if length > most {
        return Err(Unusable(413));
    }
    let has = |name: &str, word: &str| {
        let mut all = fields.iter().filter(|(n, _)| n == name).flat_map(|(_, v)| v.split(','));
        all.any(|w| w.trim().eq_ignore_ascii_case(word))
    };
    let keep = if old { has("connection", "keep-alive") } else { !has("connection", "close") };
    let expects = has("expect", "100-continue") && length > 0;
    let (method, target) = (method.to_owned(), target.to_owned());
    Ok(Some((Request { method, target, keep, length, expects, fields }, skipped + used)))
}

/// Reads a whole response: its status, its body, whether the body ends with the connection; `None` while it
/// is not whole.
pub fn response(bytes: &[u8], closed: bool, most: usize) -> Result<Option<(u16, Vec<u8>)>, Unusable> {
    let Some((first, fields, used)) = head(bytes)? else { return Ok(None) };
    let status = first.strip_prefix("HTTP/1.").and_then(|r| r.get(2..5)).and_then(|s| s.parse().ok());
    let status = status.ok_or(MALFORMED)?;
    let body = &bytes[used..];
    if body.len() > most + HEAD {
        return Err(Unusable(413));
    }
    if status == 304 || status == 204 {
        return Ok(Some((status, Vec::new())));
    }
    match only(&fields, "transfer-encoding")? {
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => {
            return Ok(chunks(body)?.map(|b| (status, b)));
        }
        Some(_) => return Err(MALFORMED),
        None => {}
    }
    match length(&fields)? {
        Some(n) if n > most => Err(Unusable(413)),
        Some(n) => Ok(body.get(..n).map(|b| (status, b.to_vec()))),
        None => Ok(closed.then(|| (status, body.to_vec()))),
    }
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, Unusable> {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
        let size = std::str::from_utf8(&rest[..end]).ok().and_then(|l| l.split(';').next());
        let size = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok()).ok_or(MALFORMED)?;
        if size == 0 {
            return Ok(Some(body));
        }
        let Some(chunk) = size.checked_add(2).and_then(|n| rest[end + 2..].get(..n)) else { return Ok(None) };
        body.extend_from_slice(chunk.strip_suffix(b"\r\n").ok_or(MALFORMED)?);
        rest = &rest[end + 2 + size + 2..];
    }
}

/// The bytes that a `Range` header asks for (RFC 9110, 14): `None` where the whole is the answer (another
/// unit, several ranges, or none that can be read), an error where there are no such bytes.
pub fn range(header: &str, length: usize) -> Option<Result<std::ops::Range<usize>, ()>> {
    let (first, last) = header.strip_prefix("bytes=")?.split_once('-')?;
    let digits = |text: &str| crate::net::parse_u64(text.as_bytes()).and_then(|n| usize::try_from(n).ok());
    let range = match (digits(first), digits(last)) {
        (Some(first), Some(last)) if first <= last => first..last.saturating_add(1).min(length),
        (Some(first), None) if last.is_empty() => first..length,
        (None, Some(most)) if first.is_empty() => {
            if most == 0 {
                return Some(Err(()));
            }
            length.saturating_sub(most)..length
        }
        _ => return None,
    };
    Some(if range.start < range.end { Ok(range) } else { Err(()) })
}

/// Writes a response's head; `length` bytes of body are to follow it, unless only the head was asked for.
pub fn respond(out: &mut crate::net::Output, status: u16, fields: &[(&str, &str)], length: usize) {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if status != 304 {
        let _ = write!(head, "Content-Length: {length}\r\n");
    }
    head.push_str("\r\n");
    out.push(head.as_bytes());
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(text: &str) -> u16 {
        request(text.as_bytes(), 100).map(|_| 0).unwrap_or_else(|e| e.0)
    }

    #[test]
    fn a_request_is_read_once_it_is_whole() {
        let text = "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX: a b \r\n\r\nhello";
        for end in 0..text.len() - 5 {
            assert_eq!(request(&text.as_bytes()[..end], 100), Ok(None), "{end} bytes");
        }
        let (r, used) = request(text.as_bytes(), 100).unwrap().unwrap();
        assert_eq!((&*r.method, &*r.target, r.keep, r.length), ("POST", "/a", true, 5));
        assert_eq!((r.field("x"), &text[used..]), (Some("a b"), "hello"));
    }

    #[test]
    fn what_two_readers_could_read_differently_is_refused() {
        let with = |fields: &str| status(&format!("GET /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n"));
        assert_eq!(with(""), 0);
        assert_eq!(with("Content-Length: 1\r\nContent-Length: 1\r\n"), 400);
        assert_eq!(with("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400);
        assert_eq!(with("Content-Length: +1\r\n"), 400);
        assert_eq!(with("Transfer-Encoding: chunked\r\n"), 411);
        assert_eq!(with("X : y\r\n"), 400);
        assert_eq!(with("X: y\r\n folded\r\n"), 400);
        assert_eq!(with("Host: other\r\n"), 400);
        assert_eq!(with("Content-Length: 101\r\n"), 413);
        assert_eq!(with(&format!("X: {}\r\n", "y".repeat(HEAD))), 431);
        assert_eq!(with(&"X: y\r\n".repeat(FIELDS + 1)), 431);
        assert_eq!(status("GET /a HTTP/1.1\r\n\r\n"), 400);
        assert_eq!(status("GET /a HTTP/2.0\r\nHost: h\r\n\r\n"), 505);
        assert_eq!(status("GET  /a HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
    }

    #[test]
    fn ranges_are_cut_to_what_there_is() {
        let cases = [
            ("bytes=0-3", Some(Ok(0..4))),
            ("bytes=8-99", Some(Ok(8..10))),
            ("bytes=4-", Some(Ok(4..10))),
            ("bytes=-3", Some(Ok(7..10))),
            ("bytes=-99", Some(Ok(0..10))),
            ("bytes=10-", Some(Err(()))),
            ("bytes=-0", Some(Err(()))),
            ("bytes=3-2", None),
            ("bytes=0-1,4-5", None),
            ("bytes=-", None),
            ("lines=0-1", None),
            ("bytes=0-18446744073709551615", None),
        ];
        for (header, wanted) in cases {
            assert_eq!(range(header, 10), wanted, "{header}");
        }
    }

    #[test]
    fn a_response_is_read_in_its_three_forms() {
        let read = |text: &str, closed| response(text.as_bytes(), closed, 100);
        let sized = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        assert_eq!(read(sized, false), Ok(Some((200, b"hi".to_vec()))));
        assert_eq!(read(&sized[..sized.len() - 1], true), Ok(None));
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x\r\ni\r\n0\r\n\r\n";
        assert_eq!(read(chunked, false), Ok(Some((200, b"hi".to_vec()))));
        let open = "HTTP/1.1 200 OK\r\n\r\nhi";
        assert_eq!((read(open, false), read(open, true)), (Ok(None), Ok(Some((200, b"hi".to_vec())))));
    }
}
