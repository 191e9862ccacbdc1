//! What is made of answers that do not arrive whole, from a stand-in for a front's operators' socket.

use super::*;
use crate::operators::LONGEST_ANSWER;
use std::io::Write;
use std::net::TcpListener;

const STAMP: Stamp = Stamp { build: 0x7, settings: 0x8 };
/// A refusal, which is whole at the end of its line whatever was called.
const REFUSAL: &str = "fail unknown call\n";

/// The answers of a stand-in front.
#[derive(Clone)]
struct Answers {
    health: String,
    version: String,
    counters: String,
    slow: String,
}

impl Answers {
    fn whole() -> Answers {
        let counts = [("success", 51), ("busy", 12), ("failure", 13), ("backend_calls", 147)];
        let lines = counts.map(|(name, count)| format!("front_{name}{{tier=\"media\"}} {count}\n"));
        Answers {
            health: "ok yes\n".into(),
            version: format!("ok {STAMP} homes=2 pid=4711\n"),
            counters: format!("ok\n{}eof\n", lines.concat()),
            slow: "ok\nfront_slow{tier=\"media\"} 15\neof\n".into(),
        }
    }

    /// The answer to a call.
    fn to(&mut self, word: &str) -> &mut String {
        match word {
            "health" => &mut self.health,
            "version" => &mut self.version,
            "counters" => &mut self.counters,
            "slow" => &mut self.slow,
            _ => panic!("'{word}' is no call"),
        }
    }

    /// Serves each call on a connection of its own, until the test process ends.
    fn serve(mut self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut line = String::new();
                std::io::BufRead::read_line(&mut std::io::BufReader::new(&stream), &mut line).unwrap();
                let _ = stream.write_all(self.to(line.trim_end()).as_bytes());
            }
        });
        address
    }

    /// What the tool hears of a process with these answers.
    fn heard(self) -> Heard {
        let stamps = [STAMP, Stamp { build: 0x9, settings: 0x9 }];
        let ask = ask(Some(self.serve()), 1, Release::Old, stamps, vec!["media".into()], (0, 0, 0.0));
        on_runtime(ask)
    }
}

fn on_runtime<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

/// The answers to `word` that lack their last bytes, from nothing on.
fn cut_answers(word: &str) -> impl Iterator<Item = Answers> {
    let length = Answers::whole().to(word).len();
    (0..length).map(move |end| {
        let mut answers = Answers::whole();
        answers.to(word).truncate(end);
        answers
    })
}

#[track_caller]
fn assert_silent(heard: &Heard, answer: &str) {
    assert_eq!(heard.health, Health::Silent, "of {answer:?}");
    assert!(heard.reading.is_none(), "a reading of {answer:?}");
    assert!(heard.version.is_none(), "a version of {answer:?}");
}

#[test]
fn whole_answers_are_a_reading() {
    let heard = Answers::whole().heard();
    assert_eq!(heard.health, Health::Yes(Release::Old));
    assert_eq!(heard.version, Some(Version { stamp: STAMP, homes: 2, pid: 4711 }));
    let counts = &heard.reading.expect("a reading").classes[0];
    let read = [counts.served, counts.busy, counts.failed, counts.calls, counts.slow];
    assert_eq!(read, [51, 12, 13, 147, 15]);
}

#[test]
fn an_answer_that_ends_midway_is_no_reading() {
    for word in ["health", "version", "counters", "slow"] {
        for mut answers in cut_answers(word) {
            let answer = answers.to(word).clone();
            assert_silent(&answers.heard(), &answer);
        }
    }
}

#[test]
fn a_refusal_that_ends_midway_says_nothing_of_health() {
    for end in 0..REFUSAL.len() {
        let health = REFUSAL[..end].to_owned();
        assert_silent(&Answers { health: health.clone(), ..Answers::whole() }.heard(), &health);
    }
}

#[test]
fn a_version_that_ends_midway_is_an_error_that_says_so() {
    for mut answers in cut_answers("version") {
        let answer = answers.to("version").clone();
        let error = on_runtime(version(answers.serve())).expect_err(&answer);
        assert!(error.to_string().contains("cut off"), "{error:#} of {answer:?}");
    }
}

#[test]
fn an_answer_beyond_the_longest_is_no_reading() {
    let mut answers = Answers::whole();
    let more = "front_inflight 1\n".repeat(LONGEST_ANSWER / 17 + 1);
    answers.counters = answers.counters.replace("eof\n", &format!("{more}eof\n"));
    assert_silent(&answers.heard(), "counters longer than the bound");
}

#[test]
fn a_whole_refusal_is_heard() {
    let mut answers = Answers::whole();
    answers.health = "fail no: this process takes no clients now\n".into();
    assert_eq!(answers.heard().health, Health::No);
    // A build that does not count what is slow can be asked for the rest.
    let answers = Answers { slow: REFUSAL.into(), ..Answers::whole() };
    let heard = answers.heard();
    assert_eq!(heard.health, Health::Yes(Release::Old));
    assert!(heard.reading.is_none());
}

#[test]
fn the_address_in_a_line_that_is_being_written_is_not_known() {
    let log = "onyxyoke: n0 answers operators on 127.0.0.1:41903\n";
    assert_eq!(operators_address(log), Some("127.0.0.1:41903".parse().unwrap()));
    for end in 0..log.len() {
        assert_eq!(operators_address(&log[..end]), None, "cut after {end} bytes");
    }
}
