//! A signer's key is replaced and the old one revoked while a crowd of half-written requests stands at the front for
//! signed links. The crowd goes. From then on, a link that is signed with the revoked key has to be refused.
mod common;
mod signing;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// The signer's old and new key, their ids, the issuer, and what links are signed with.
const OLD: (&str, &[u8; 32]) = ("t1", b"the talks team's secret, 32 byte");
const NEW: (&str, &[u8; 32]) = ("t2", b"the talks team's second secret 3");
const ISSUER: &str = "talks.example.org";
const BASE: &str = "https://media.example.org";
const PATH: &str = "/talks/7.mp4";
/// Keys of other teams in the file.
const OTHER_KEYS: u8 = 14;
/// `signed.reread_s` (seconds).
const REREAD: f64 = 1.0;
/// Memory limit and descriptors of the front: those of a day on which they are cut by half.
const MEMORY_MB: u64 = 16;
const SOCKETS: u64 = 512;
/// Connections that send half of a head, and its length (bytes).
const CROWD: usize = 90;
const HALF_HEAD: usize = 12_000;

/// Asks for the object by a link that is signed with this key. Returns the status.
fn get(address: SocketAddr, key: (&str, &[u8; 32])) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let claims = format!(
        "{{\"iss\":\"{ISSUER}\",\"exp\":{},\"cdniuc\":\"regex:https://media\\\\.example\\\\.org/talks/.*\"}}",
        now() as u64 + 60
    );
    let token = signing::token(key.0, &claims, key.1);
    let head = format!(
        "GET {PATH}?URISigningPackage={token} HTTP/1.1\r\nHost: media.example.org\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut all = Vec::new();
    BufReader::new(stream).read_to_end(&mut all)?;
    let head = String::from_utf8_lossy(&all).into_owned();
    Ok(head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0))
}

/// Puts a key set in place, as a whole: the key of the team, and those of other teams, which stay.
fn write_keys(file: &Path, key: (&str, &[u8; 32]), revoked: &str) {
    let jwk = |id: &str, issuer: &str, secret: &[u8; 32]| {
        let k = signing::base64url(secret);
        format!("{{\"kty\":\"oct\",\"alg\":\"HS256\",\"kid\":\"{id}\",\"iss\":\"{issuer}\",\"k\":\"{k}\"}}")
    };
    let mut all = vec![jwk(key.0, ISSUER, key.1)];
    all.extend(
        (0..OTHER_KEYS).map(|i| jwk(&format!("other-{i}"), &format!("team{i}.example.org"), &[i; 32])),
    );
    let text = format!("{{\"keys\":[{}],\"revoked\":[{revoked}]}}", all.join(","));
    let next = file.with_extension("next");
    let written = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, file));
    written.unwrap_or_else(|e| quit(&e.to_string()));
}

fn main() {
    let site = Site::new("case8", 3);
    let record = site.record.clone();
    let text = config(
        site.listen,
        site.coordinator.address,
        &site.deployment.members,
        MEMORY_MB,
        SOCKETS,
        &settings(),
        7,
    );
    std::fs::write(&site.config, text).unwrap_or_else(|e| quit(&e.to_string()));
    let signed = free_address();
    let (keys, operator) = (site.folder.0.join("keys.json"), site.folder.0.join("operator.toml"));
    write_keys(&keys, OLD, "");
    let table = format!(
        "[signed]\nlisten = \"{signed}\"\nbase = \"{BASE}\"\nkeys = \"{}\"\nreread_s = {REREAD:.1}\noverlap_s = 0\n\n[[teams]]\nname = \"talks\"\nissuer = \"{ISSUER}\"\nclasses = [\"media\"]\nprefixes = [{{ path = \"/talks\", class = \"media\" }}]\nrequests_per_s = 200\nin_flight = 64\nbytes_per_s = 20_000_000\n",
        keys.display()
    );
    std::fs::write(&operator, table).unwrap_or_else(|e| quit(&e.to_string()));
    let variables = [("ONYXYOKE_OPERATOR", operator.display().to_string())];
    let mut front = Process::start_with("front", &site.config, site.listen, None, &site.folder.0, &variables);
    if !wait_ready(site.listen, 20.0) {
        front.record_log(&record);
        quit("the front is not ready within 20 s");
    }
    let status = |key| get(signed, key).map_or_else(|e| e.to_string(), |s| s.to_string());
    record.say(&format!("before: old key {}, new key {}", status(OLD), status(NEW)));
    // The crowd: half of a head on each connection, and no more of it.
    let half =
        format!("GET {PATH} HTTP/1.1\r\nHost: media.example.org\r\nX-Filler: {}", "x".repeat(HALF_HEAD));
    let mut crowd = Vec::new();
    for _ in 0..if trouble() { CROWD } else { 0 } {
        if let Ok(mut stream) = TcpStream::connect(signed) {
            let _ = stream.write_all(half.as_bytes());
            crowd.push(stream);
        }
    }
    sleep(0.3);
    record.line(&format!("{} connections have sent half of a head", crowd.len()));
    write_keys(&keys, NEW, &format!("\"{}\"", OLD.0));
    record.line("the new key set is in place; the old key is revoked");
    sleep(3.0 * REREAD);
    drop(crowd);
    record.line("the crowd has gone");
    let mut wrong = 0;
    for _ in 0..8 {
        sleep(1.5);
        let (old, new) = (status(OLD), status(NEW));
        record.say(&format!("revoked key {old}, new key {new}"));
        wrong += i32::from(old == "200");
    }
    front.record_log(&record);
    let crashed = front.ended();
    drop((front, site.folder));
    finish(i32::from(wrong > 0 || crashed.is_some()));
}
