//! The signed front, which runs as a process against stand-ins: signed links from arrival to answer.

mod stand_ins;
use jsonwebtoken::{Algorithm, EncodingKey};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use stand_ins::*;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;

const DOCUMENTS: &str = "documents.example.org";

fn base64url(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes)
}

fn from_base64(text: &str) -> Vec<u8> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(text).unwrap()
}

fn documents() -> Signer {
    Signer::new("d1", DOCUMENTS, b"the documents team's secret, 32b")
}

/// A signer with an elliptic curve key, which was made for these tests only.
fn elliptic_signer() -> Signer {
    let der = from_base64(
        "MIGHAgEAMBMGByqGSM49AgEGCCqGSM49AwEHBG0wawIBAQQgE18X+uUUNzlstrovE/ON96de0jQCrckLagkjZtvYHhyhRANCAARhfIGLFBsFdbHRdIVxZXrUPa5TTD+SEkjtiSM0iCZY5Et2mqOZe9gv53LHsU5GoTZlosqmXC1Bjfbo0PBAQ8dE",
    );
    let point = &der[der.len() - 64..];
    let jwk = json!({"kty": "EC", "crv": "P-256", "alg": "ES256", "kid": "t-ec", "iss": TALKS_ISSUER,
        "x": base64url(&point[..32]), "y": base64url(&point[32..])});
    let key = EncodingKey::from_ec_der(&der);
    Signer { kid: "t-ec", issuer: TALKS_ISSUER, algorithm: Algorithm::ES256, key, jwk }
}

fn next(served: &Receiver<ReceivedCommand>) -> ReceivedCommand {
    served.recv_timeout(PATIENCE).expect("a request at the cache node")
}

/// Sends a request, has the cache node serve it, and returns the status, the head and the requested asset.
fn get_through(front: &SignedFront, served: &Receiver<ReceivedCommand>, text: &str) -> (u16, String, String) {
    let mut stream = front.send(text);
    let mut one = next(served);
    assert_eq!(one.verb, "serve");
    one.hit(b"the object");
    let (code, head, body) = status(read_message(&mut stream));
    assert_eq!(body, b"the object", "{head}");
    (code, head, one.field("asset").unwrap().to_owned())
}

#[test]
fn invalid_links_are_refused_before_a_cache_gets_a_request() {
    let (talks, documents, ec) = (talks(), documents(), elliptic_signer());
    let (front, served) = start_signed_front("links", &[&talks, &documents, &ec], unchanged);
    let path = "/talks/7.mp4";
    let with = |s: &Signer, change: &dyn Fn(&mut Value)| {
        let mut claims = s.claims(path);
        change(&mut claims);
        format!("{path}?URISigningPackage={}", s.sign(&claims))
    };
    let set = |name: &'static str, value: Value| with(&talks, &move |c| c[name] = value.clone());
    let without = |name: &'static str| with(&talks, &move |c| drop(c.as_object_mut().unwrap().remove(name)));
    let good = talks.link(path);
    let parts: Vec<&str> = good.split('.').collect();
    let altered = base64url(talks.claims("/talks/8.mp4").to_string().as_bytes());
    let unsigned = base64url(br#"{"alg":"none","kid":"t1"}"#);
    let critical = base64url(br#"{"alg":"HS256","kid":"t1","crit":["b64"],"b64":false}"#);
    let forged = Signer::new("t1", TALKS_ISSUER, b"somebody else's secret, 32 bytes");
    let unknown = Signer::new("t9", TALKS_ISSUER, b"the talks team's secret, 32 byte");
    // The public half of the elliptic curve key as an HS256 secret: the key is for ES256, whatever the header
    // says.
    let point = ec.jwk["x"].as_str().unwrap().as_bytes()[..32].try_into().unwrap();
    let confused = Signer::new("t-ec", TALKS_ISSUER, point);
    let other =
        format!("hash:sha-256;{}", base64url(&Sha256::digest(b"https://media.example.org/talks/8.mp4")));
    // The link has a dot in `.mp4` too, so the token is split on its own.
    let token: Vec<&str> = good.split_once('=').unwrap().1.split('.').collect();
    assert_eq!((token.len(), parts.len()), (3, 4));
    let put = |h: &str, c: &str, s: &str| format!("{path}?URISigningPackage={h}.{c}.{s}");
    let refused = [
        ("unsigned", put(&unsigned, token[1], "")),
        ("altered claims", put(token[0], &altered, token[2])),
        ("altered signature", put(token[0], token[1], &base64url(&[7; 32]))),
        ("cut short", put(token[0], token[1], &token[2][..20])),
        ("critical header", put(&critical, token[1], token[2])),
        ("no JWT", format!("{path}?URISigningPackage=7")),
        ("forged", forged.link(path)),
        ("unknown key", unknown.link(path)),
        ("another algorithm than the key's", confused.link(path)),
        ("another team's key", with(&documents, &|_| ())),
        ("another team's key, with this team's name", with(&documents, &|c| c["iss"] = json!(TALKS_ISSUER))),
        ("another issuer's name", set("iss", json!(DOCUMENTS))),
        ("expired", set("exp", json!(unix_seconds() - 1.0))),
        ("expired, in words", set("exp", json!("tomorrow"))),
        ("not yet valid", set("nbf", json!(unix_seconds() + 30.0))),
        ("wrong path", talks.link("/talks/8.mp4").replace("8.mp4", "7.mp4")),
        ("wrong hash", set("cdniuc", json!(other))),
        ("part of the path", set("cdniuc", json!("regex:/talks"))),
        ("unknown container", set("cdniuc", json!(format!("plain:{path}")))),
        ("another audience", set("aud", json!("media-2"))),
        ("no expiry", without("exp")),
        ("no container", without("cdniuc")),
        ("no issuer", without("iss")),
        ("a nonce", set("jti", json!("once"))),
        ("a client address", set("cdniip", json!("encrypted"))),
        ("a chain", set("cdnistt", json!(1))),
        ("a later version", set("cdniv", json!(2))),
        ("a critical claim that is unknown", set("cdnicrit", json!("moon"))),
    ];
    for (what, target) in &refused {
        let (code, head, _) = front.get(target);
        assert_eq!(code, 403, "{what}: {head}");
    }
    let (code, head, _) = front.get(path);
    assert!(code == 401 && head.contains("WWW-Authenticate: URISigningPackage"), "{head}");
    assert_eq!(front.get("/elsewhere?URISigningPackage=x").0, 403, "no contract");
    assert!(served.try_recv().is_err(), "a cache node got a request for a refused link");
    // The corresponding valid links are served, so the refusals above have the tested cause.
    let hash =
        format!("hash:sha-256;{}", base64url(&Sha256::digest(b"https://media.example.org/talks/7.mp4")));
    for target in [good.clone(), ec.link(path), set("cdniuc", json!(hash)), set("cdnistt", json!(0))] {
        assert_eq!(get_through(&front, &served, &get(&target)).0, 200, "{target}");
    }
    while let Ok(line) = front.log.try_recv() {
        assert!(!line.contains("eyJ"), "a token in the log: {line}");
    }
}

#[test]
fn requests_with_different_tokens_share_one_copy_of_an_object() {
    let (talks, documents) = (talks(), documents());
    let (front, served) = start_signed_front("copy", &[&talks, &documents], unchanged);
    let (path, cookie) = ("/talks/7.mp4", talks.sign(&talks.claims("/talks/7.mp4")));
    let mut later = talks.claims(path);
    later["exp"] = json!(unix_seconds() + 90.0);
    let by_cookie =
        format!("GET {path} HTTP/1.1\r\nHost: h\r\nCookie: a=b; URISigningPackage={cookie}\r\n\r\n");
    let requests = [
        get(&talks.link(path)),
        get(&format!("{path}?URISigningPackage={}", talks.sign(&later))),
        get(&format!("{path};URISigningPackage={cookie}")),
        get(&format!("{path}?utm=x&URISigningPackage={cookie}")),
        get(&format!("/talks/%37.mp4?URISigningPackage={cookie}")),
        by_cookie,
    ];
    let assets: Vec<String> = requests.iter().map(|r| get_through(&front, &served, r).2).collect();
    assert!(assets.iter().all(|a| *a == assets[0]), "{assets:?}");
    assert_ne!(get_through(&front, &served, &get(&talks.link("/talks/8.mp4"))).2, assets[0]);
    // The token is checked on each request, also for a cached object.
    assert_eq!(front.get(path).0, 401);
}

#[test]
fn a_transfer_completes_after_its_token_and_key_expire_and_the_next_request_is_refused() {
    let (old, new) = (talks(), Signer::new("t1", TALKS_ISSUER, b"the talks team's 2nd secret, 32b"));
    // The first transfer stays in flight while files are written and read; a long deadline keeps a slow disk
    // from ending it.
    let (front, served) = start_signed_front("rotation", &[&old], |text| {
        text.replace("overlap_s = 300", "overlap_s = 1000").replacen("deadline = 5.0", "deadline = 60.0", 1)
    });
    let path = "/talks/7.mp4";
    let mut claims = old.claims(path);
    let expires = unix_seconds() + 1.0;
    claims["exp"] = json!(expires);
    let short = format!("{path}?URISigningPackage={}", old.sign(&claims));
    let mut stream = front.send(&get(&short));
    let mut held = next(&served);
    // The front may cancel the unanswered attempt and send it again: such retries are collected and get the
    // same answer.
    let video = vec![b'v'; 240_000];
    let (id, retries) = (held.id.clone(), RefCell::new(Vec::new()));
    let get_through = |text: &str| {
        let mut stream = front.send(text);
        let mut one = next(&served);
        while one.verb != "serve" || one.id == id {
            retries.borrow_mut().push(one);
            one = next(&served);
        }
        one.hit(b"the object");
        status(read_message(&mut stream)).0
    };
    eventually("the token has expired", || unix_seconds() > expires);
    assert_eq!(front.get(&short).0, 403, "an expired token is refused");
    // The key is replaced under the same id while the transfer is in flight.
    write_keys(&front.keys, &[&new], &[]);
    let log = || front.log.recv_timeout(PATIENCE).unwrap();
    while !log().contains("keys: 1 in force") {}
    assert_eq!(get_through(&get(&new.link(path))), 200, "the new key is accepted");
    assert_eq!(get_through(&get(&old.link(path))), 200, "the replaced key is accepted in the overlap");
    // An invalid file keeps the old key set, and the log line does not contain the key.
    let next = front.keys.with_extension("next");
    std::fs::write(&next, r#"{"keys": [{"kid": "t1", "k": "c2VjcmV0"}]}"#).unwrap();
    std::fs::rename(next, &front.keys).unwrap();
    let refusal = loop {
        let line = log();
        if line.contains("the old set stays") {
            break line;
        }
    };
    assert!(refusal.contains("'keys.0.kty'") && !refusal.contains("c2VjcmV0"), "{refusal}");
    assert_eq!(get_through(&get(&new.link(path))), 200);
    // Revoked: neither the new key nor the replaced one verifies.
    write_keys(&front.keys, &[&new], &["t1"]);
    while !log().contains("keys: 0 in force") {}
    assert_eq!((front.get(&new.link(path)).0, front.get(&old.link(path)).0), (403, 403));
    // The first transfer was authorised at its start and completes.
    held.hit(&video);
    let retries = retries.into_inner();
    let whole = video.clone();
    std::thread::spawn(move || {
        let remaining = retries.into_iter().chain(served).filter(|one| one.verb == "serve");
        remaining.for_each(|mut one| one.hit(&whole));
    });
    let (code, _, body) = status(read_message(&mut stream));
    assert_eq!((code, body.len(), body == video), (200, video.len(), true));
}

#[test]
fn validation_ranges_deadlines_and_refusals_have_their_status_codes() {
    let (talks, documents) = (talks(), documents());
    let (front, served) = start_signed_front("answers", &[&talks, &documents], |text| {
        let text = text.replace("deadline = 5.0", "deadline = 0.5");
        text.replace("semantics = \"deduplicated\"", "semantics = \"at_most_once\"")
    });
    let link = talks.link("/talks/7.mp4");
    // The client's copy is current. From here on the object is believed held, so it is requested even if the
    // origin fails.
    let valid = get(&link).replace("Host: h", "Host: h\r\nIf-None-Match: \"e1\"");
    let mut stream = front.send(&valid);
    let mut asked = next(&served);
    assert_eq!(asked.field("have"), Some("e1"));
    asked.answer("VALID", &format!("n=TCP_HIT,etag=e1,made={}", (unix_seconds() * 1000.0) as u64), b"");
    let (code, head, _) = status(read_message(&mut stream));
    assert!(code == 304 && head.contains("ETag: \"e1\""), "{head}");
    // Byte ranges of a video, and a HEAD request, whose answer has no body.
    let range = |more: &str, method: &str| {
        let text = get(&link).replacen("GET", method, 1).replace("Host: h", &format!("Host: h\r\n{more}"));
        let stream = front.send(&text);
        next(&served).hit(b"0123456789");
        stream
    };
    for (more, code, bytes, field) in [
        ("Range: bytes=2-4", 206, "234", "Content-Range: bytes 2-4/10"),
        ("Range: bytes=10-", 416, "", "Content-Range: bytes */10"),
        ("Range: bytes=2-4\r\nIf-Range: \"e0\"", 200, "0123456789", "Accept-Ranges: bytes"),
    ] {
        let (got, head, body) = status(read_message(&mut range(more, "GET")));
        assert!(got == code && body == bytes.as_bytes() && head.contains(field), "{head}");
    }
    let mut head = String::new();
    range("Connection: close", "HEAD").read_to_string(&mut head).unwrap();
    assert!(
        head.starts_with("HTTP/1.1 200")
            && head.contains("Content-Length: 10\r\n")
            && head.ends_with("\r\n\r\n")
    );
    // No answer of the cache node: the client gets 504 at the deadline, and the cache node gets a cancel.
    let sent = unix_seconds();
    let mut stream = front.send(&get(&link));
    let asked = next(&served);
    let patience: f64 = asked.field("patience").unwrap().parse().unwrap();
    assert!(patience <= 500.0, "{patience}");
    let (code, head, _) = status(read_message(&mut stream));
    assert!(code == 504 && unix_seconds() - sent < 3.0, "{head}");
    let cancel = next(&served);
    assert_eq!((&*cancel.verb, &cancel.id), ("cancel", &asked.id));
    // A refusal of the cache node: the client gets 503 at once with a Retry-After.
    let mut stream = front.send(&get(&link));
    next(&served).answer("SHED", "-", b"");
    let (code, head, _) = status(read_message(&mut stream));
    assert!(code == 503 && head.contains("Retry-After: 1"), "{head}");
    // A client that disconnects has its request cancelled.
    let stream = front.send(&get(&link));
    let asked = next(&served);
    drop(stream);
    let cancel = next(&served);
    assert_eq!((&*cancel.verb, &cancel.id), ("cancel", &asked.id));
    // The same for a client that has pipelined more than the front reads before the answer.
    let mut stream = front.send(&get(&link));
    let asked = next(&served);
    std::io::Write::write_all(&mut stream, get(&link).repeat(100).as_bytes()).unwrap();
    drop(stream);
    let cancel = next(&served);
    assert_eq!((&*cancel.verb, &cancel.id), ("cancel", &asked.id));
    // Both were cancelled because their clients disconnected, not because of the deadline.
    let usr1 = ["-USR1", &front.child.id().to_string()].map(String::from);
    assert!(std::process::Command::new("kill").args(usr1).status().unwrap().success());
    let counters = front.log.iter().find(|l| l.contains("counters")).unwrap();
    assert!(counters.contains(" aborted=2 "), "{counters}");
}

/// Guards against running a write twice: a cache node that closes the connection may have run it, so it fails
/// and is not sent again.
#[test]
fn a_write_that_may_have_run_fails_and_is_not_retried() {
    let (documents, path) = (documents(), "/documents/holds/9");
    let (origin, served) = cache_node();
    let (server, asked) = discovery(vec![("standard", origin), ("origin", origin)]);
    let front = SignedFront::start("writes", &[&documents], server, |text| {
        text.replace("semantics = \"deduplicated\"", "semantics = \"at_most_once\"")
    });
    (0..6).for_each(|_| drop(asked.recv_timeout(PATIENCE).unwrap()));
    let post = format!("POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nhold", documents.link(path));
    let mut stream = front.send(&post);
    let write = next(&served);
    assert_eq!((&*write.body, write.field("keep")), (&b"hold"[..], None));
    write.close_connection();
    assert_eq!(status(read_message(&mut stream)).0, 502);
    assert!(served.try_recv().is_err(), "the write is sent again");
    // The class requires POST, so its links are refused for GET.
    assert_eq!(front.get(&documents.link(path)).0, 405);
}

#[test]
fn team_budgets_are_separate_and_refusals_have_a_retry_after() {
    let (talks, documents) = (talks(), documents());
    let (front, served) = start_signed_front("budgets", &[&talks, &documents], |text| {
        text.replace("requests_per_s = 200\nin_flight = 64", "requests_per_s = 0.01\nin_flight = 64")
            .replace("requests_per_s = 50\nin_flight = 16", "requests_per_s = 50\nin_flight = 1")
    });
    assert_eq!(get_through(&front, &served, &get(&talks.link("/talks/7.mp4"))).0, 200);
    let (code, head, _) = front.get(&talks.link("/talks/7.mp4"));
    let wait = head.lines().find_map(|l| l.strip_prefix("Retry-After: ")).and_then(|w| w.parse::<u32>().ok());
    assert!(code == 429 && wait.is_some_and(|w| w > 60 && w <= 100), "{head}");
    // The other team has a budget of its own, here one request at a time.
    let mut first = front.send(&get(&documents.link("/documents/1")));
    let mut held = next(&served);
    assert_eq!(front.get(&documents.link("/documents/2")).0, 429);
    held.hit(b"done");
    assert_eq!(status(read_message(&mut first)).0, 200);
    assert_eq!(get_through(&front, &served, &get(&documents.link("/documents/2"))).0, 200);
}

#[test]
fn malformed_and_oversized_messages_get_an_error_and_a_close() {
    let talks = talks();
    let (front, served) = start_signed_front("messages", &[&talks], unchanged);
    let link = talks.link("/talks/7.mp4");
    let post = |fields: &str| format!("POST {link} HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    for (text, code) in [
        ("hello\r\n\r\n".to_owned(), 400),
        (get(&format!("/talks/../x{}", &link[12..])), 400),
        (post("Content-Length: 48001\r\n"), 413),
        (post("Transfer-Encoding: chunked\r\n"), 411),
        (post("Content-Length: 1\r\n"), 405),
        (format!("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", "x".repeat(20_000)), 431),
    ] {
        let (got, head, _) = front.request(&text);
        assert!(
            got == code && head.contains("Connection: close") == (code != 400 || !text.contains("..")),
            "{head}"
        );
    }
    // Two requests in one write are served in turn, on one connection.
    let mut stream = front.send(&(get(&link) + &get(&link)));
    for _ in 0..2 {
        next(&served).hit(b"again");
        assert_eq!(status(read_message(&mut stream)).0, 200);
    }
}

/// Guards against a crash of a front that runs without any known node: it refuses requests.
#[test]
fn without_discovery_requests_are_refused() {
    let talks = talks();
    let unreachable: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let front = SignedFront::start("alone", &[&talks], unreachable, unchanged);
    let (code, head, _) = front.get(&talks.link("/talks/7.mp4"));
    assert!(code == 503 && head.contains("Retry-After"), "{head}");
}

/// Guards against losing a request at SIGTERM: a client that has not read its answer yet cannot see the close
/// after it, so a request that it sends meanwhile is answered too.
#[test]
fn sigterm_closes_no_connection_with_an_unread_answer() {
    let talks = talks();
    let (front, served) = start_signed_front("unread-end", &[&talks], unchanged);
    let link = get(&talks.link("/talks/7.mp4"));
    let mut idle = front.send(&get("/talks/unsigned"));
    assert_eq!(status(read_message(&mut idle)).0, 401);
    let mut slow = connect_with_small_buffer(front.address);
    slow.write_all(link.as_bytes()).unwrap();
    let large = vec![b'y'; 240_000];
    next(&served).hit(&large);
    eventually("the front has the answer", || front.accounts()["unread.peak"] >= large.len() as f64);
    eventually("the system has the answer", || front.accounts()["unread.now"] == 0.0);
    front.signal("-TERM");
    assert!(at_end(&mut idle).unwrap(), "an idle connection is closed");
    slow.write_all(link.as_bytes()).unwrap();
    std::thread::spawn(move || next(&served).hit(b"second"));
    assert!(status(read_message(&mut slow)).2 == large);
    assert_eq!(status(read_message(&mut slow)).2, b"second");
}
