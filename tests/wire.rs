//! The adapter, which runs as a process: byte examples of the wire protocol, and malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"az": 2, "caps": {"cancel": true, "may-duplicate": true, "may-tell": true,
 "max-retry-after": 0.5, "most-tries": 8, "probes": true, "unheard-of": [1]}, "fleet-size": 1, "me": 0,
 "invariants": {"ask-every": 10.0, "cold": 18.0, "cold-from": 0.15, "fall": 1.0, "grace-to-answer": 0.008,
 "overload-factor": 4.0}, "membership-mode": "automatic", "weights": "silent", "report": {"fields": ["busy"]},
 "profiles": [{"aim": 0.6, "deadline": 5.0, "late-worth": 0.15, "semantics": "idempotent",
 "streaming": false, "worth": 2.0}], "specifics": {"collapses": false, "count-by-zone": [0, 0, 1],
 "good-for": [0.0], "multi-part": [true], "never-kept": [false], "old-copy-worth": [0.7],
 "one-flow-kb-per-s": 3900.0, "origin-over-for": 3.0, "parent-floor": 0.087, "parent-kind": 1,
 "parent-ramp": 19.0, "pipe-kb-per-s": [0.0, 0.0, 40548.0], "purge-settles": 6.0, "purge-slack": 0.3,
 "root-fall-multiple": 0.0, "says": "all", "sideways": "any", "source-kind": 2, "straight": false,
 "upper-fall-multiple": 2.0, "usable-after": [0.0], "zone-hub": [0, 1, 0]}}"#;

/// A request record.
const REQUEST_RECORD: &str =
    "02 25000000 c4913a5d 0000 0000 640ad2557c3bf091 cba145b6f34d2140 00002044 00003041 00004040 01";
/// A frame without records.
const EMPTY_FRAME: &str = "14000000 508d976e12d32040 00000000 01000000";

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let mut out = vec![code];
    out.extend((fields.len() as u32).to_le_bytes());
    out.extend(fields);
    out
}

fn frame(number: u32, clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = ((20 + body.len()) as u32).to_le_bytes().to_vec();
    out.extend(clock.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend(body);
    out
}

/// Selects the instance that the next records are for.
fn select_instance(instance: u16) -> Vec<u8> {
    record(12, &instance.to_le_bytes())
}

/// Starts the selected instance with these settings.
fn start_instance(settings: &str) -> Vec<u8> {
    let mut fields = 7u64.to_le_bytes().to_vec();
    fields.extend((settings.len() as u32).to_le_bytes());
    fields.extend(settings.as_bytes());
    record(0, &fields)
}

/// Node list 0, with an edge cache of zone 2 and the origin.
fn node_list() -> Vec<u8> {
    let edge = "01 0000 0a124a07 2b23 0000803f 0000 0000000000000000 0200";
    let origin = "01 0000 0a9011f2 5423 0000803f 0200 0000000000000000 0000";
    record(11, &hex(&format!("0000 02000000 {edge} {origin}")))
}

/// Gives an instance node list 0 as its cached view.
fn view() -> Vec<u8> {
    hex("01 07000000 02 29000000 0000")
}

/// Runs the adapter on this input.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_onyxyoke-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may end before it has read everything.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

/// Asserts that the adapter exits with status 1 and an error message that contains `word`.
fn assert_refused(input: &[u8], word: &str) {
    let out = run(input);
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{message}");
    assert!(message.contains(word) && !message.contains("panic"), "{message}");
}

#[test]
fn an_empty_frame_gets_an_empty_reply_and_end_of_input_exits_with_0() {
    let out = run(&hex(EMPTY_FRAME));
    assert!(out.status.success());
    assert_eq!(out.stdout, hex("0c000000 00000000 01000000"));
    assert!(run(&[]).status.success());
}

#[test]
fn a_request_leads_to_a_fetch_record_with_the_documented_layout() {
    let start = frame(1, 8.4, &[select_instance(3), start_instance(SETTINGS), node_list(), view()]);
    let ask = frame(2, 8.41, &[select_instance(3), hex(REQUEST_RECORD)]);
    let out = run(&[start, ask].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let reply = &out.stdout[12..];
    assert_eq!(u32::from_le_bytes(reply[4..8].try_into().unwrap()), 3, "By, AnswerFrom, SetAlarm");
    assert_eq!(&reply[12..19], hex("0d 02000000 0300"));
    let (id, cache, origin) = (hex("c4913a5d"), hex("0a124a07 2b23"), hex("0a9011f2 5423"));
    let fetch = &reply[19..19 + 5 + 34];
    assert_eq!(fetch[..5], hex("0c 22000000"));
    assert_eq!(fetch[5..9], id);
    assert_eq!(fetch[9..15], cache);
    assert_eq!(fetch[15..23], [0; 8], "until the client gives up");
    assert_eq!(fetch[23..29], origin);
    assert_eq!(fetch[29], 1, "rank");
    assert_eq!(fetch[30..38], [0; 8], "no age limit");
    assert_eq!(fetch[38], 0, "no options");
    assert_eq!(reply[58..63], hex("04 10000000"));
}

#[test]
fn a_request_without_any_node_is_refused_by_its_instance() {
    let batch = frame(
        5,
        8.4,
        &[
            select_instance(0),
            start_instance(SETTINGS),
            select_instance(9),
            start_instance(SETTINGS),
            hex(REQUEST_RECORD),
        ],
    );
    let out = run(&batch);
    let wait = 0.5f64.to_le_bytes();
    let expected =
        [&hex("27000000 02000000 05000000 0d 02000000 0900 01 0c000000 c4913a5d")[..], &wait].concat();
    let expected = [&((expected.len()) as u32).to_le_bytes()[..], &expected[4..]].concat();
    assert_eq!(out.stdout, expected);
}

#[test]
fn all_example_records_are_accepted_also_with_trailing_bytes() {
    let outcome = "04 21000000 c4913a5d 0000 0a124a07 2b23 6400 8b6ce7fba9f1923f 01 02 55c1a8a44e40833f 00";
    let mut long = hex(outcome);
    long[1] += 3;
    long.extend([1, 2, 3]);
    let peer = [&hex("0100 0400 68692037")[..]].concat();
    let probed = hex("6400 8b6ce7fba9f1923f 0a124a07 2b23 01 0000003f");
    let records = [
        select_instance(3),
        start_instance(SETTINGS),
        node_list(),
        view(),
        hex(REQUEST_RECORD),
        hex(outcome),
        long,
        hex("06 08000000 4d00000000000000"),
        hex("05 04000000 192b6f0e"),
        hex("0a 12000000 010ad2557c000000 0b00 c3f5285c8fc2b53f"),
        record(8, &peer),
        record(7, &probed),
        record(9, &[]),
    ];
    let out = run(&frame(1, 8.4, &records));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}

#[test]
fn malformed_frames_exit_with_an_error_message() {
    let start = || vec![select_instance(3), start_instance(SETTINGS), node_list(), view()];
    let with = |extra: Vec<u8>| frame(1, 8.4, &[start(), vec![extra]].concat());
    assert_refused(&hex("13000000"), "cannot be");
    assert_refused(&hex("ffffffff"), "cannot be");
    assert_refused(&hex(EMPTY_FRAME)[..15], "inside a frame");
    assert_refused(&hex(EMPTY_FRAME)[..2], "inside a frame");
    assert_refused(&frame(1, f64::NAN, &[]), "finite");
    let mut more = frame(1, 8.4, &[select_instance(3)]);
    more[12] = 2;
    assert_refused(&more, "cut short");
    more[12] = 0;
    assert_refused(&more, "more than its records");
    assert_refused(&with(record(99, &[])), "code 99");
    assert_refused(&with(record(4, &[1, 2, 3])), "cut short");
    assert_refused(&with(hex("01 07000000 05 29000000 0000")), "view mode");
    assert_refused(&with(hex("01 07000000 01 29000000 0300")), "never given");
    assert_refused(&with(record(11, &hex("1000 00000000"))), "list number");
    assert_refused(&with(record(11, &hex("0000 ffffff7f"))), "cut short");
    let mut bad = hex(REQUEST_RECORD);
    bad[9] = 7;
    assert_refused(&with(bad), "class 7");
    let mut bad = node_list();
    bad[34] = 9;
    assert_refused(&frame(1, 8.4, &[select_instance(3), start_instance(SETTINGS), bad, view()]), "zone");
    assert_refused(&frame(1, 8.4, &[hex(REQUEST_RECORD)]), "without an instance");
    assert_refused(&frame(1, 8.4, &[select_instance(4), hex(REQUEST_RECORD)]), "not running");
}

#[test]
fn invalid_settings_exit_with_an_error_message() {
    let start = |text: &str| frame(1, 8.4, &[select_instance(0), start_instance(text)]);
    assert_refused(&start("{"), "not JSON");
    assert_refused(&start("{}"), "missing");
    assert_refused(&start(&SETTINGS.replace("\"most-tries\"", "\"tries\"")), "most-tries");
    assert_refused(
        &start(&SETTINGS.replace("\"idempotent\"", "\"perhaps\"")),
        "'profiles.0.semantics' is not one of idempotent, ",
    );
    assert_refused(&start(&SETTINGS.replace("\"any\"", "\"some\"")), "sideways");
    assert_refused(&start(&SETTINGS.replace("\"az\": 2", "\"az\": 3")), "az");
    assert_refused(&start(&SETTINGS.replace("\"good-for\": [0.0]", "\"good-for\": []")), "as many classes");
    assert_refused(&start(&SETTINGS.replace("18.0", "1e999")), "JSON");
}
