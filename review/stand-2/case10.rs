//! Some clients write their request slowly: it comes on a new connection over less than 2 s, half a second after
//! the connection was made. It has to get a final answer, on that connection or on the one on which the client
//! sends it again after a close.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time from the connection's start to the request's first byte, and from there to its last byte (seconds).
const PAUSE: f64 = 0.5;
const SPAN: f64 = 1.75;
/// Pieces in which a request comes.
const PIECES: usize = 8;
/// Clients, and how long each waits for the answer from the request's last byte (milliseconds).
const CLIENTS: u64 = 12;
const TTL_MS: u64 = 3000;

/// Sends a request on a new connection and waits for its answer: the word, or none if the connection ended.
fn ask(listen: SocketAddr, call: u64, object: u64, slow: bool, record: &Record) -> Option<String> {
    let mut stream = TcpStream::connect(listen).ok()?;
    let _ = stream.set_nodelay(true);
    // Up to half a second after its time an answer only earns nothing.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(TTL_MS + 550)));
    let (pause, span) = if slow { (PAUSE, SPAN) } else { (0.0, 0.0) };
    let frame = request(1, "pages", call, object, TTL_MS, "", b"");
    let connected = now();
    for piece in 0..PIECES {
        sleep_until(connected + pause + span * piece as f64 / (PIECES - 1) as f64);
        let (from, to) = (frame.len() * piece / PIECES, frame.len() * (piece + 1) / PIECES);
        if let Err(e) = stream.write_all(&frame[from..to]) {
            record.line(&format!("call {call:016x}: piece {piece} cannot be written: {e}"));
            return None;
        }
    }
    let written = now();
    let answer = read_answer(&mut BufReader::new(stream));
    let word = answer.as_ref().ok().and_then(|a| a.as_ref()).map(|a| a.1.clone());
    record.line(&format!(
        "call {call:016x}: connected at {}, last byte written at {} ({:.3} s later), {} at {}",
        record.at(connected),
        record.at(written),
        written - connected,
        match &answer {
            Ok(Some(a)) => format!("answer '{}'", a.1),
            Ok(None) => "the connection ended without an answer".into(),
            Err(e) => format!("no answer ({e})"),
        },
        record.at(now())
    ));
    word
}

fn main() {
    let site = Site::new("case10", 6);
    let record = site.record.clone();
    let mut front = site.start("front", None);
    let listen = site.listen;
    let client = |c: u64, record: Arc<Record>| {
        thread::spawn(move || {
            sleep(c as f64 * 0.2);
            let first = ask(listen, 0x1000 + c, 1 + c, trouble(), &record);
            // A request that crosses a close is sent again on a new connection, once.
            first.or_else(|| ask(listen, 0x2000 + c, 1 + c, trouble(), &record))
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(|c| client(c, record.clone())).collect();
    let answers: Vec<Option<String>> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let lost = answers.iter().filter(|a| a.is_none()).count();
    record_arrivals(&record, &site.deployment.arrivals());
    front.record_log(&record);
    record.say(&format!("{} requests, {} answered, {lost} lost", answers.len(), answers.len() - lost));
    let crashed = front.ended();
    drop((front, site.folder));
    finish(i32::from(lost > 0 || crashed.is_some()));
}
