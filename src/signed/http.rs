//! Parses and writes HTTP/1.1 messages, without I/O. Strict wherever lenient parsers could disagree on where
//! a message ends (request smuggling).

use std::fmt::Write;

/// Maximum size of a message's head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields.
const MAX_FIELDS: usize = 100;

/// The error of a message that cannot be accepted, as an HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageError(pub u16);

const MALFORMED: MessageError = MessageError(400);

/// The head of a request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// GET, HEAD, POST, …
    pub method: String,
    /// The target as received.
    pub target: String,
    /// Whether the client wants the connection kept open.
    pub keep_alive: bool,
    /// Length of the body (bytes).
    pub body_length: usize,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Request {
    /// Returns the value of a header field; `None` if it is absent or repeated.
    pub fn field(&self, name: &str) -> Option<&str> {
        single_value(&self.fields, name).ok().flatten()
    }
}

/// Returns the value of a field that may occur at most once.
fn single_value<'a>(fields: &'a [(String, String)], name: &str) -> Result<Option<&'a str>, MessageError> {
    let mut all = fields.iter().filter(|(n, _)| n == name);
    let first = all.next().map(|(_, v)| v.as_str());
    if all.next().is_some() { Err(MALFORMED) } else { Ok(first) }
}

/// A head's first line, its fields, and its length (bytes).
type ParsedHead<'a> = (&'a str, Vec<(String, String)>, usize);

/// Parses the head at the start of `bytes`; `None` while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<ParsedHead<'_>>, MessageError> {
    let Some(end) = bytes.windows(4).take(MAX_HEAD_BYTES).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEAD_BYTES { Err(MessageError(431)) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| MALFORMED)?;
    let mut lines = text.split("\r\n");
    let first = lines.next().ok_or(MALFORMED)?;
    let mut fields = Vec::new();
    for line in lines {
        if fields.len() == MAX_FIELDS {
            return Err(MessageError(431));
        }
        let (name, value) = line.split_once(':').ok_or(MALFORMED)?;
        // Parsers differ on a space before the colon and on folded lines: both are rejected.
        let valid_name = !name.is_empty()
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b));
        let valid_value = value.bytes().all(|b| b >= b' ' && b != 127 || b == b'\t');
        if !valid_name || !valid_value {
            return Err(MALFORMED);
        }
        fields.push((name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Some((first, fields, end + 4)))
}

/// Parses the `Content-Length` field, if there is one.
fn content_length(fields: &[(String, String)]) -> Result<Option<usize>, MessageError> {
    let Some(text) = single_value(fields, "content-length")? else { return Ok(None) };
    let digits = crate::net::parse_u64(text.as_bytes()).ok_or(MALFORMED)?;
    usize::try_from(digits).map(Some).map_err(|_| MessageError(413))
}

/// Parses the head of a request. Returns it with its length in `bytes`; `None` while it is incomplete. A body
/// may have at most `max_body_bytes`.
pub fn parse_request(bytes: &[u8], max_body_bytes: usize) -> Result<Option<(Request, usize)>, MessageError> {
    // Empty lines before a request are skipped (RFC 9112, 2.2).
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).take(8).count();
    let Some((first, fields, used)) = parse_head(&bytes[skipped..])? else { return Ok(None) };
    let mut words = first.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(MALFORMED);
    };
    let is_http_1_0 = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        v if v.starts_with("HTTP/") => return Err(MessageError(505)),
        _ => return Err(MALFORMED),
    };
    if method.is_empty() || target.is_empty() || single_value(&fields, "host")?.is_none() && !is_http_1_0 {
        return Err(MALFORMED);
    }
    let length = content_length(&fields)?;
    if single_value(&fields, "transfer-encoding")?.is_some() {
        // With a Content-Length, a second request could be hidden in the body of the first; without one, the
        // length is unknown.
        return Err(if length.is_some() { MALFORMED } else { MessageError(411) });
    }
    let length = length.unwrap_or(0);
    if length > max_body_bytes {
        return Err(MessageError(413));
    }
    let lists_word = |name: &str, word: &str| {
        let mut all = fields.iter().filter(|(n, _)| n == name).flat_map(|(_, v)| v.split(','));
        all.any(|w| w.trim().eq_ignore_ascii_case(word))
    };
    let keep_alive =
        if is_http_1_0 { lists_word("connection", "keep-alive") } else { !lists_word("connection", "close") };
    let expects_continue = lists_word("expect", "100-continue") && length > 0;
    let (method, target) = (method.to_owned(), target.to_owned());
    Ok(Some((
        Request { method, target, keep_alive, body_length: length, expects_continue, fields },
        skipped + used,
    )))
}

/// Parses a complete response. Returns its status and body; `None` while it is incomplete. `closed` says
/// whether the connection has ended, which ends a body without a stated length.
pub fn parse_response(
    bytes: &[u8],
    closed: bool,
    max_body_bytes: usize,
) -> Result<Option<(u16, Vec<u8>)>, MessageError> {
    let Some((first, fields, used)) = parse_head(bytes)? else { return Ok(None) };
    let status = first.strip_prefix("HTTP/1.").and_then(|r| r.get(2..5)).and_then(|s| s.parse().ok());
    let status = status.ok_or(MALFORMED)?;
    let body = &bytes[used..];
    if body.len() > max_body_bytes + MAX_HEAD_BYTES {
        return Err(MessageError(413));
    }
    if status == 304 || status == 204 {
        return Ok(Some((status, Vec::new())));
    }
    match single_value(&fields, "transfer-encoding")? {
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => {
            return Ok(parse_chunks(body)?.map(|b| (status, b)));
        }
        Some(_) => return Err(MALFORMED),
        None => {}
    }
    match content_length(&fields)? {
        Some(n) if n > max_body_bytes => Err(MessageError(413)),
        Some(n) => Ok(body.get(..n).map(|b| (status, b.to_vec()))),
        None => Ok(closed.then(|| (status, body.to_vec()))),
    }
}

/// Parses a chunked body; `None` while it is incomplete.
fn parse_chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, MessageError> {
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

/// Parses a `Range` field (RFC 9110, 14) for an object of `length` bytes. Returns `None` if the whole object
/// is to be sent (another unit, several ranges, or an invalid range), and an error if the range is not
/// satisfiable.
pub fn parse_range(header: &str, length: usize) -> Option<Result<std::ops::Range<usize>, ()>> {
    let (first, last) = header.strip_prefix("bytes=")?.split_once('-')?;
    let digits = |text: &str| crate::net::parse_u64(text.as_bytes()).and_then(|n| usize::try_from(n).ok());
    let range = match (digits(first), digits(last)) {
        (Some(first), Some(last)) if first <= last => first..last.saturating_add(1).min(length),
        (Some(first), None) if last.is_empty() => first..length,
        (None, Some(suffix)) if first.is_empty() => {
            if suffix == 0 {
                return Some(Err(()));
            }
            length.saturating_sub(suffix)..length
        }
        _ => return None,
    };
    Some(if range.start < range.end { Ok(range) } else { Err(()) })
}

/// Writes a response's head. A body of `length` bytes follows, unless the request was HEAD.
pub fn write_head(out: &mut crate::net::Output, status: u16, fields: &[(&str, &str)], length: usize) {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if status != 304 {
        let _ = write!(head, "Content-Length: {length}\r\n");
    }
    head.push_str("\r\n");
    out.push(head.as_bytes());
}

fn reason_phrase(status: u16) -> &'static str {
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
        parse_request(text.as_bytes(), 100).map(|_| 0).unwrap_or_else(|e| e.0)
    }

    #[test]
    fn incomplete_request_is_not_parsed() {
        let text = "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX: a b \r\n\r\nhello";
        for end in 0..text.len() - 5 {
            assert_eq!(parse_request(&text.as_bytes()[..end], 100), Ok(None), "{end} bytes");
        }
        let (r, used) = parse_request(text.as_bytes(), 100).unwrap().unwrap();
        assert_eq!((&*r.method, &*r.target, r.keep_alive, r.body_length), ("POST", "/a", true, 5));
        assert_eq!((r.field("x"), &text[used..]), (Some("a b"), "hello"));
    }

    #[test]
    fn ambiguous_requests_are_rejected() {
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
        assert_eq!(with(&format!("X: {}\r\n", "y".repeat(MAX_HEAD_BYTES))), 431);
        assert_eq!(with(&"X: y\r\n".repeat(MAX_FIELDS + 1)), 431);
        assert_eq!(status("GET /a HTTP/1.1\r\n\r\n"), 400);
        assert_eq!(status("GET /a HTTP/2.0\r\nHost: h\r\n\r\n"), 505);
        assert_eq!(status("GET  /a HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
    }

    #[test]
    fn ranges_are_clamped_to_the_object() {
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
            assert_eq!(parse_range(header, 10), wanted, "{header}");
        }
    }

    #[test]
    fn response_body_by_length_by_chunks_and_until_close() {
        let read = |text: &str, closed| parse_response(text.as_bytes(), closed, 100);
        let sized = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        assert_eq!(read(sized, false), Ok(Some((200, b"hi".to_vec()))));
        assert_eq!(read(&sized[..sized.len() - 1], true), Ok(None));
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x\r\ni\r\n0\r\n\r\n";
        assert_eq!(read(chunked, false), Ok(Some((200, b"hi".to_vec()))));
        let open = "HTTP/1.1 200 OK\r\n\r\nhi";
        assert_eq!((read(open, false), read(open, true)), (Ok(None), Ok(Some((200, b"hi".to_vec())))));
    }
}
