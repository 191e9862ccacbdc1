//! A group of objects is purged. One of them is asked for by clients of both fronts: over the platform's protocol,
//! where the request names the group, and by signed links. From 1 s after the front was told, no answer may come
//! from a copy older than the purge, whichever way the request came. The caches drop such copies within 6 s.
mod common;
mod signing;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The team's signing key, its id and issuer, and what links are signed with.
const SECRET: &[u8; 32] = b"the talks team's secret, 32 byte";
const KEY_ID: &str = "t1";
const ISSUER: &str = "talks.example.org";
const BASE: &str = "https://media.example.org";
const PATH: &str = "/talks/7.mp4";
/// The group that is purged.
const GROUP: u16 = 17;
/// `specifics.purge-slack` of the settings, and what every limit on sockets is longer by (seconds).
const GRACE: f64 = 1.0 + 0.05;
/// How long after the purge the caches drop their copy: less than `specifics.purge-settles`, 6 s (seconds).
const DROPPED: f64 = 5.0;

/// Asks for the object by its signed link. Returns the status and the body.
fn get(address: SocketAddr) -> std::io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let claims = format!(
        "{{\"iss\":\"{ISSUER}\",\"exp\":{},\"cdniuc\":\"regex:https://media\\\\.example\\\\.org/talks/.*\"}}",
        now() as u64 + 60
    );
    let token = signing::token(KEY_ID, &claims, SECRET);
    let head = format!(
        "GET {PATH}?URISigningPackage={token} HTTP/1.1\r\nHost: media.example.org\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut all = Vec::new();
    BufReader::new(stream).read_to_end(&mut all)?;
    let end =
        all.windows(4).position(|w| w == b"\r\n\r\n").ok_or_else(|| std::io::Error::other("no head"))?;
    let head = String::from_utf8_lossy(&all[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok((status, all[end + 4..].to_vec()))
}

/// Asks for the object over the platform's protocol, with its group.
fn req(address: SocketAddr, call: u64, asset: u64) -> std::io::Result<(String, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let fields = format!("call={call:016x},ttl=4000,row={asset:016x},slice=0,set={GROUP},org=talks");
    stream.write_all(&resp(&[b"REQ", b"1", b"media", fields.as_bytes(), b""]))?;
    let answer =
        read_answer(&mut BufReader::new(stream))?.ok_or_else(|| std::io::Error::other("no answer"))?;
    Ok((answer.1, answer.3))
}

fn main() {
    let site = Site::new("case7", 3);
    let record = site.record.clone();
    let signed = free_address();
    let (keys, operator) = (site.folder.0.join("keys.json"), site.folder.0.join("operator.toml"));
    let jwk = format!(
        "{{\"keys\":[{{\"kty\":\"oct\",\"alg\":\"HS256\",\"kid\":\"{KEY_ID}\",\"iss\":\"{ISSUER}\",\"k\":\"{}\"}}]}}",
        signing::base64url(SECRET)
    );
    let table = format!(
        "[signed]\nlisten = \"{signed}\"\nbase = \"{BASE}\"\nkeys = \"{}\"\n\n[[teams]]\nname = \"talks\"\nissuer = \"{ISSUER}\"\nclasses = [\"media\"]\nprefixes = [{{ path = \"/talks\", class = \"media\" }}]\nrequests_per_s = 200\nin_flight = 64\nbytes_per_s = 20_000_000\n",
        keys.display()
    );
    std::fs::write(&keys, jwk)
        .and_then(|()| std::fs::write(&operator, table))
        .unwrap_or_else(|e| quit(&e.to_string()));
    let variables = [("ONYXYOKE_OPERATOR", operator.display().to_string())];
    let mut front = Process::start_with("front", &site.config, site.listen, None, &site.folder.0, &variables);
    if !wait_ready(site.listen, 20.0) {
        front.record_log(&record);
        quit("the front is not ready within 20 s");
    }
    // The first request brings the object into a cache; its name there is the name of its row.
    let first = get(signed).unwrap_or_else(|e| quit(&format!("the first link: {e}")));
    let asset = site.deployment.arrivals().first().map(|a| a.asset.clone());
    let Some(asset) = asset.filter(|_| first.0 == 200) else {
        quit(&format!("the first link got {}", first.0))
    };
    let number = u64::from_str_radix(&asset, 16).unwrap_or_else(|_| quit("the asset is no number"));
    record.line(&format!("the object is {asset}; first copy made at {:?}", made_of(&first.1)));
    // All caches get a copy, as when many clients ask for it.
    for node in &site.deployment.nodes {
        node.hold(&asset);
    }
    let platform = |call: u64| match req(site.listen, call, number) {
        Ok((word, body)) => record.line(&format!("platform: '{word}', made {:?}", made_of(&body))),
        Err(e) => quit(&format!("the platform's client: {e}")),
    };
    // A client of the platform's protocol asks for the same object and names its group.
    platform(1);
    sleep(1.0);
    let purged = unix_ms();
    let purged_at = purged as f64 / 1000.0;
    let told = if trouble() {
        let event = site.coordinator.purge_group(GROUP, purged);
        let by = now() + 3.0;
        while site.coordinator.written.load(Ordering::SeqCst) < event {
            if now() > by {
                quit("the purge was not written to the front");
            }
            sleep(0.005);
        }
        record.line(&format!("group {GROUP} was purged at {}; the front is told", record.at(purged_at)));
        now()
    } else {
        now()
    };
    let (mut old, mut asked, mut dropped) = (0, 0, false);
    while now() < purged_at + 8.0 {
        if !dropped && now() > purged_at + DROPPED {
            dropped = true;
            for node in site.deployment.nodes.iter().filter(|_| trouble()) {
                node.drop_older(&asset, purged);
            }
            record.line("the caches have dropped their older copies");
        }
        let sent = now();
        let answer = get(signed);
        let made = answer.as_ref().ok().filter(|a| a.0 == 200).and_then(|a| made_of(&a.1));
        let is_old = trouble() && sent > told + GRACE && made.is_some_and(|made| made < purged);
        record.line(&format!(
            "signed link at {}: {}{}",
            record.at(sent),
            match (&answer, made) {
                (_, Some(made)) => format!("served, made {} ms after the purge", made as i64 - purged as i64),
                (Ok(answer), None) => format!("status {}", answer.0),
                (Err(e), None) => format!("no answer: {e}"),
            },
            if is_old { "; OLDER THAN THE PURGE" } else { "" }
        ));
        (asked, old) = (asked + 1, old + i32::from(is_old));
        sleep(0.2);
    }
    platform(2);
    record_arrivals(&record, &site.deployment.arrivals());
    front.record_log(&record);
    record.say(&format!("{asked} requests after the purge, {old} answered from a copy older than the purge though sent over {GRACE} s after the front was told"));
    let crashed = front.ended();
    drop((front, site.folder));
    finish(i32::from(old > 0 || crashed.is_some()));
}
