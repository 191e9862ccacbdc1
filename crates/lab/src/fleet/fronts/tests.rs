//! Tests of the replies to operators' commands.

use super::is_accepted;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

/// The command that the stand-in answers.
const COMMAND: &str = "cordon s-00000007";

/// Returns whether a command counts as accepted when the connection closes after these bytes.
fn reply_is_accepted(reply: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let operators = listener.local_addr().unwrap();
    let reply = reply.to_owned();
    let front = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).unwrap();
        assert_eq!(line, format!("{COMMAND}\n"));
        stream.write_all(reply.as_bytes()).unwrap();
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let accepted = runtime.block_on(is_accepted(operators, COMMAND));
    front.join().unwrap();
    accepted
}

#[test]
fn a_command_counts_as_accepted_only_after_a_complete_confirmation() {
    let reply = "ok s-00000007 cordoned\n";
    assert!(reply_is_accepted(reply));
    assert!(!reply_is_accepted("fail s-00000007 is on no list here\n"));
    for end in 0..reply.len() {
        assert!(!reply_is_accepted(&reply[..end]), "cut after {end} bytes");
    }
}
