//! Incomplete answers from a stand-in for a front's operators' socket: they must not pass for a reading.

use super::*;
use crate::operators::MAX_ANSWER_BYTES;
use std::io::Write;
use std::net::TcpListener;

const DIGESTS: ReleaseDigests = ReleaseDigests { build: 0x7, settings: 0x8 };
/// A refusal, which is complete at the end of its line whatever the query was.
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
    fn complete() -> Answers {
        let counts = [("success", 51), ("busy", 12), ("failure", 13), ("backend_calls", 147)];
        let lines = counts.map(|(name, count)| format!("front_{name}{{tier=\"media\"}} {count}\n"));
        Answers {
            health: "ok yes\n".into(),
            version: format!("ok {DIGESTS} homes=2 pid=4711\n"),
            counters: format!("ok\n{}eof\n", lines.concat()),
            slow: "ok\nfront_slow{tier=\"media\"} 15\neof\n".into(),
        }
    }

    /// The answer to a query.
    fn answer_to(&mut self, query: &str) -> &mut String {
        match query {
            "health" => &mut self.health,
            "version" => &mut self.version,
            "counters" => &mut self.counters,
            "slow" => &mut self.slow,
            _ => panic!("'{query}' is not a query"),
        }
    }

    /// Serves each query on its own connection until the test process ends.
    fn serve(mut self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut line = String::new();
                std::io::BufRead::read_line(&mut std::io::BufReader::new(&stream), &mut line).unwrap();
                let _ = stream.write_all(self.answer_to(line.trim_end()).as_bytes());
            }
        });
        address
    }

    /// The tool's report of a process with these answers.
    fn report(self) -> ProcessReport {
        let digests = [DIGESTS, ReleaseDigests { build: 0x9, settings: 0x9 }];
        let report = query(Some(self.serve()), 1, Release::Old, digests, vec!["media".into()], (0, 0, 0.0));
        on_runtime(report)
    }
}

fn on_runtime<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

/// All answers whose answer to `query` is truncated, from empty to all but its last byte.
fn truncated_answers(query: &str) -> impl Iterator<Item = Answers> {
    let length = Answers::complete().answer_to(query).len();
    (0..length).map(move |end| {
        let mut answers = Answers::complete();
        answers.answer_to(query).truncate(end);
        answers
    })
}

#[track_caller]
fn assert_silent(report: &ProcessReport, answer: &str) {
    assert_eq!(report.health, Health::NoAnswer, "of {answer:?}");
    assert!(report.reading.is_none(), "a reading of {answer:?}");
    assert!(report.version.is_none(), "a version of {answer:?}");
}

#[test]
fn complete_answers_give_a_reading() {
    let report = Answers::complete().report();
    assert_eq!(report.health, Health::Serving(Release::Old));
    assert_eq!(report.version, Some(Version { digests: DIGESTS, placement_rule: 2, pid: 4711 }));
    let counts = &report.reading.expect("a reading").classes[0];
    let read = [counts.served, counts.busy, counts.failed, counts.calls, counts.slow];
    assert_eq!(read, [51, 12, 13, 147, 15]);
}

#[test]
fn truncated_answer_gives_no_reading() {
    for query in ["health", "version", "counters", "slow"] {
        for mut answers in truncated_answers(query) {
            let answer = answers.answer_to(query).clone();
            assert_silent(&answers.report(), &answer);
        }
    }
}

#[test]
fn truncated_refusal_leaves_health_unknown() {
    for end in 0..REFUSAL.len() {
        let health = REFUSAL[..end].to_owned();
        assert_silent(&Answers { health: health.clone(), ..Answers::complete() }.report(), &health);
    }
}

#[test]
fn truncated_version_is_reported_as_cut_off() {
    for mut answers in truncated_answers("version") {
        let answer = answers.answer_to("version").clone();
        let error = on_runtime(query_version(answers.serve())).expect_err(&answer);
        assert!(error.to_string().contains("cut off"), "{error:#} of {answer:?}");
    }
}

#[test]
fn oversized_answer_gives_no_reading() {
    let mut answers = Answers::complete();
    let more = "front_inflight 1\n".repeat(MAX_ANSWER_BYTES / 17 + 1);
    answers.counters = answers.counters.replace("eof\n", &format!("{more}eof\n"));
    assert_silent(&answers.report(), "counters longer than the bound");
}

#[test]
fn complete_refusal_means_unhealthy() {
    let mut answers = Answers::complete();
    answers.health = "fail no: this process takes no clients now\n".into();
    assert_eq!(answers.report().health, Health::NotServing);
    // A build without the query `slow` still reports its health.
    let answers = Answers { slow: REFUSAL.into(), ..Answers::complete() };
    let report = answers.report();
    assert_eq!(report.health, Health::Serving(Release::Old));
    assert!(report.reading.is_none());
}

#[test]
fn address_in_an_unfinished_log_line_is_ignored() {
    let log = "onyxyoke: n0 answers operators on 127.0.0.1:41903\n";
    assert_eq!(operators_address(log), Some("127.0.0.1:41903".parse().unwrap()));
    for end in 0..log.len() {
        assert_eq!(operators_address(&log[..end]), None, "cut after {end} bytes");
    }
}
