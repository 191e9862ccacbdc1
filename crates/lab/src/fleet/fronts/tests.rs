//! What is made of the replies to operators' calls.

use super::accepts;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

/// The call that the stand-in answers.
const CALL: &str = "cordon s-00000007";

/// Whether a call is accepted by a front whose connection ends behind these bytes.
fn accepted(reply: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let operators = listener.local_addr().unwrap();
    let reply = reply.to_owned();
    let front = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).unwrap();
        assert_eq!(line, format!("{CALL}\n"));
        stream.write_all(reply.as_bytes()).unwrap();
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let accepted = runtime.block_on(accepts(operators, CALL));
    front.join().unwrap();
    accepted
}

#[test]
fn only_a_whole_yes_accepts_a_call() {
    let reply = "ok s-00000007 cordoned\n";
    assert!(accepted(reply));
    assert!(!accepted("fail s-00000007 is on no list here\n"));
    for end in 0..reply.len() {
        assert!(!accepted(&reply[..end]), "cut after {end} bytes");
    }
}
