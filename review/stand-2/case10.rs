//! A client sends many commands at once: health checks, and behind them requests. Each request has to get a final
//! answer. The connection has served a request before, so that none of them is the first on it.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Health checks that are sent at once, and the requests behind them.
const CHECKS: u64 = 125;
const REQUESTS: u64 = 2;
/// Rounds, each on a connection of its own.
const ROUNDS: u64 = 5;
/// How long a client waits for an answer (milliseconds).
const TTL_MS: u64 = 3000;

/// What became of a round's requests.
struct Round {
    answered: u64,
    checks_answered: u64,
}

/// Plays a round: a request, its answer, then the checks and the other requests.
fn round(listen: SocketAddr, number: u64, record: &Record) -> Round {
    let mut stream = TcpStream::connect(listen).unwrap_or_else(|e| quit(&e.to_string()));
    let _ = stream.set_nodelay(true);
    // Up to half a second after its time an answer only earns nothing.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(TTL_MS + 550)));
    let mut input = BufReader::new(stream.try_clone().unwrap_or_else(|e| quit(&e.to_string())));
    let call = |tag: u64| number << 32 | tag;
    let first = request(1, "pages", call(1), 5, TTL_MS, "", b"");
    stream.write_all(&first).unwrap_or_else(|e| quit(&e.to_string()));
    match read_answer(&mut input) {
        Ok(Some((1, word, _, _))) if word == "ok" => {}
        other => quit(&format!("the connection's first request: {other:?}")),
    }
    let mut checks_answered = 0;
    let mut commands = Vec::new();
    for tag in 2..2 + CHECKS {
        let command = resp(&[b"HEALTH", tag.to_string().as_bytes(), b""]);
        if trouble() {
            commands.extend(command);
        } else {
            // One after the other: each is answered before the next is sent.
            let _ = stream.write_all(&command);
            checks_answered += u64::from(matches!(read_answer(&mut input), Ok(Some(a)) if a.1 == "yes"));
        }
    }
    let requests = 2 + CHECKS..2 + CHECKS + REQUESTS;
    for tag in requests.clone() {
        commands.extend(request(tag, "pages", call(tag), 5 + tag, TTL_MS, "", b""));
    }
    let sent = now();
    stream.write_all(&commands).unwrap_or_else(|e| quit(&e.to_string()));
    record.line(&format!("round {number}: {} bytes written at once at {}", commands.len(), record.at(sent)));
    let mut answered = 0;
    let ended = loop {
        match read_answer(&mut input) {
            Ok(Some((tag, word, _, _))) if requests.contains(&tag) => {
                answered += 1;
                record.line(&format!(
                    "round {number}: tag {tag} call {:016x}: '{word}' {:.3} s later",
                    call(tag),
                    now() - sent
                ));
                if answered == REQUESTS {
                    break "all answered";
                }
            }
            Ok(Some(_)) => checks_answered += 1,
            Ok(None) => break "the front has ended the connection",
            Err(_) => break "no answer in time",
        }
    };
    record.line(&format!(
        "round {number}: {ended} {:.3} s after the write; {checks_answered} of {CHECKS} checks and {answered} of {REQUESTS} requests answered",
        now() - sent
    ));
    Round { answered, checks_answered }
}

fn main() {
    let site = Site::new("case10", 6);
    let record = site.record.clone();
    let mut front = site.start("front", None);
    let rounds: Vec<Round> = (1..=ROUNDS).map(|number| round(site.listen, number, &record)).collect();
    let answered: u64 = rounds.iter().map(|r| r.answered).sum();
    let checks: u64 = rounds.iter().map(|r| r.checks_answered).sum();
    record_arrivals(&record, &site.deployment.arrivals());
    front.record_log(&record);
    let (asked, checked) = (ROUNDS * REQUESTS, ROUNDS * CHECKS);
    record.say(&format!("{checks} of {checked} health checks answered; {asked} requests behind them, {answered} answered, {} lost", asked - answered));
    let crashed = front.ended();
    drop((front, site.folder));
    finish(i32::from(answered < asked || crashed.is_some()));
}
