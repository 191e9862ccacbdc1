//! Property test of [`Exchange`] against a model of its attempts.

use super::{attempt_id, check, order};
use crate::broker::Report;
use crate::interface::Outcome;
use crate::memory::Ledger;
use crate::net::Buffer;
use crate::net::exchange::{ClosedBy, Exchange};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::ops::ControlFlow;

/// A random step.
#[derive(Debug, Clone)]
enum Step {
    /// Queues an order that is due after `patience` tenths of a second.
    Queue { call: u8, patience: u8 },
    /// Cancels an attempt.
    Cancel(u8),
    /// The socket accepts a share of the encoded bytes, and the kernel sends a share of the accepted bytes,
    /// in 255ths.
    Encode { accepted: u8, sent: u8 },
    /// The node answers an attempt in flight, in two pieces.
    Answer { which: u8, word: u8, cut: u8 },
    /// The node sends an answer that no attempt waits for.
    StrayAnswer(u8),
    /// So many tenths of a second pass.
    AdvanceClock(u8),
}

/// The state of an attempt in the model.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Queued,
    InFlight,
    /// Cancelled, with the position of the end of its cancel once that is encoded.
    Cancelled(Option<u64>),
    Ended,
}

/// Status words of answers, and the outcomes they stand for.
const WORDS: [(&str, Outcome); 6] = [
    ("HIT", Outcome::Ok),
    ("VALID", Outcome::Ok),
    ("NONE", Outcome::Miss),
    ("SHED", Outcome::Full),
    ("FAULT", Outcome::Error),
    ("LATE", Outcome::NotSent),
];

/// An attempt in the model.
#[derive(Debug)]
struct Attempt {
    call: u8,
    /// Until when it may be sent (Unix seconds).
    due: f64,
    state: State,
}

impl Attempt {
    /// Returns the call id as it is on the wire.
    fn call_id(&self) -> String {
        format!("{:016x}", self.call)
    }
}

/// An answer to an attempt, as it is on the wire, and its expected outcome.
struct ModelAnswer {
    line: String,
    body: &'static str,
    outcome: Outcome,
    /// The node confirms the client's copy.
    valid: bool,
    /// The answer confirms a copy that the client does not have, or lacks the tag and creation time of its
    /// copy.
    unusable: bool,
}

impl ModelAnswer {
    fn new(call: u8, word: u8, cut: u8) -> Self {
        let (word, outcome) = WORDS[usize::from(word) % WORDS.len()];
        let body = if word == "HIT" { "the bytes" } else { "" };
        let old = cut.is_multiple_of(5);
        let made = if old { 994_000 } else { 996_000 };
        let bare = cut.is_multiple_of(7);
        let fields = if bare { "n=TCP_HIT".into() } else { format!("n=TCP_HIT,etag=e,made={made}") };
        let line = format!("{call:016x} {word} {fields} {}\r\n{body}\r\n", body.len());
        let unusable = match word {
            "VALID" => call % 2 == 1 || bare,
            "HIT" => !call.is_multiple_of(3) && bare,
            _ => false,
        };
        let outcome = if old && !bare && outcome == Outcome::Ok { Outcome::Error } else { outcome };
        ModelAnswer { line, body, outcome, valid: word == "VALID", unusable }
    }
}

/// The exchange under test, its buffers, and the model of its attempts.
struct ExchangeModel {
    exchange: Exchange,
    now: f64,
    out: Buffer,
    input: Buffer,
    /// Number of bytes of the connection that the kernel has sent.
    sent: u64,
    /// The unwritten bytes after the last encoding.
    wire: String,
    last_request: u32,
    attempts: BTreeMap<u32, Attempt>,
    /// Calls that were written.
    used: Vec<u8>,
    /// The reports of this step.
    reports: Vec<Report>,
    /// The expected outcomes of the attempts that end in this step.
    expected: BTreeMap<u32, Outcome>,
}

impl ExchangeModel {
    fn new() -> Self {
        ExchangeModel {
            exchange: Exchange::new(Ledger::unlimited()),
            now: 1000.0,
            out: Buffer::default(),
            input: Buffer::default(),
            sent: 0,
            wire: String::new(),
            last_request: 0,
            attempts: BTreeMap::new(),
            used: Vec::new(),
            reports: Vec::new(),
            expected: BTreeMap::new(),
        }
    }

    /// Executes a step; breaks if the connection cannot be used any further.
    fn step(&mut self, step: Step) -> Result<ControlFlow<()>, TestCaseError> {
        match step {
            Step::Queue { call, patience } => self.queue(call, patience)?,
            Step::Cancel(which) => self.cancel(which)?,
            Step::Encode { accepted, sent } => self.encode(accepted, sent)?,
            Step::Answer { which, word, cut } => return self.answer(which, word, cut),
            Step::StrayAnswer(which) => self.receive_stray_answer(which),
            Step::AdvanceClock(tenths) => self.now += f64::from(tenths) / 10.0,
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Picks one of the attempts in this state.
    fn pick(&self, which: u8, state: &State) -> Option<u32> {
        let attempts = self.attempts.iter().filter(|(_, attempt)| attempt.state == *state);
        let all: Vec<u32> = attempts.map(|(id, _)| *id).collect();
        (!all.is_empty()).then(|| all[usize::from(which) % all.len()])
    }

    fn set_state(&mut self, id: u32, state: State) -> State {
        std::mem::replace(&mut self.attempts.get_mut(&id).unwrap().state, state)
    }

    fn count(&self, state: impl Fn(&State) -> bool) -> usize {
        self.attempts.values().filter(|attempt| state(&attempt.state)).count()
    }

    fn queue(&mut self, call: u8, patience: u8) -> Result<(), TestCaseError> {
        let call_id = format!("{call:016x}");
        let is_open = |attempt: &Attempt| attempt.call == call && attempt.state != State::Ended;
        let clash = self.attempts.values().any(is_open) || self.used.contains(&call);
        prop_assert!(!(clash && self.exchange.accepts(&call_id)), "an ambiguous call id");
        if self.exchange.accepts(&call_id) {
            self.last_request += 1;
            let due = self.now + f64::from(patience) / 10.0;
            self.exchange.queue(order(self.last_request, call, due));
            self.attempts.insert(self.last_request, Attempt { call, due, state: State::Queued });
        }
        Ok(())
    }

    fn cancel(&mut self, which: u8) -> Result<(), TestCaseError> {
        let state = if which.is_multiple_of(2) { State::Queued } else { State::InFlight };
        if let Some(id) = self.pick(which / 2, &state) {
            self.reports.extend(self.exchange.cancel(self.now, attempt_id(id)));
            if state == State::Queued {
                self.expected.insert(id, Outcome::NotSent);
            } else {
                self.set_state(id, State::Cancelled(None));
            }
        }
        let again = self.exchange.cancel(self.now, attempt_id(self.last_request + 1));
        prop_assert!(again.is_none(), "an unknown attempt");
        Ok(())
    }

    /// Encodes, lets the socket accept a share of the encoded bytes, and the kernel send a share of the
    /// unsent ones. No order is written behind an unsent cancel.
    fn encode(&mut self, accepted_share: u8, sent_share: u8) -> Result<(), TestCaseError> {
        let base = self.out.consumed();
        let order_allowed =
            self.out.is_empty() && self.count(|state| matches!(state, State::Cancelled(_))) == 0;
        self.exchange.encode(self.now, &mut self.out, |report| self.reports.push(report));
        self.wire = String::from_utf8(self.out.bytes().to_vec()).unwrap();
        self.find_cancels(base);
        self.out.consume((self.wire.len() * usize::from(accepted_share)).div_ceil(255));
        self.sent += (self.out.consumed() - self.sent) * u64::from(sent_share) / 255;
        for (id, attempt) in &self.attempts {
            if matches!(attempt.state, State::Cancelled(Some(end)) if end <= self.sent) {
                self.expected.insert(*id, Outcome::Cancelled);
            }
        }
        let (accepted, left) = (self.out.consumed() > base, self.out.len());
        let (sent, report) = (self.sent, |report| self.reports.push(report));
        let more = self.exchange.process_write(self.now, &mut self.out, || sent, report);
        prop_assert!(!more || self.out.is_empty(), "more to write only if the socket may accept it");
        let written = if order_allowed { self.check_first_order(accepted, left)? } else { None };
        self.check_written(written)
    }

    /// Records the position of the end of each cancel that was just encoded.
    fn find_cancels(&mut self, base: u64) {
        let cancelled = self.attempts.values_mut().filter(|attempt| attempt.state == State::Cancelled(None));
        for attempt in cancelled {
            let line = format!("cancel {}\r\n", attempt.call_id());
            let end = self.wire.find(&line).expect("a cancel is encoded at once") + line.len();
            attempt.state = State::Cancelled(Some(base + end as u64));
        }
    }

    /// Checks that overdue orders end, that the first other order is encoded, and that it is in flight once a
    /// byte of it is accepted. Returns the request in flight.
    fn check_first_order(&mut self, accepted: bool, left: usize) -> Result<Option<u32>, TestCaseError> {
        for (id, attempt) in self.attempts.iter().filter(|(_, attempt)| attempt.state == State::Queued) {
            if ((attempt.due - self.now) * 1000.0) as u64 == 0 {
                self.expected.insert(*id, Outcome::NotSent);
                continue;
            }
            let call_id = attempt.call_id();
            prop_assert!(
                self.wire.starts_with(&format!("serve {call_id} ")),
                "{} for {}",
                self.wire,
                call_id
            );
            prop_assert!(accepted || left > 0 && self.out.is_empty(), "the whole order is retracted");
            prop_assert_eq!(self.exchange.is_write_blocked(), !accepted);
            return Ok(accepted.then_some(*id));
        }
        Ok(None)
    }

    /// Checks that exactly this attempt is reported as written.
    fn check_written(&mut self, mut written: Option<u32>) -> Result<(), TestCaseError> {
        for report in &self.reports {
            if let Report::WriteStarted(attempt_id) = report {
                prop_assert_eq!(written.take(), Some(attempt_id.request.0));
                let attempt = self.attempts.get_mut(&attempt_id.request.0).unwrap();
                attempt.state = State::InFlight;
                self.used.push(attempt.call);
            }
        }
        prop_assert!(written.is_none(), "{:?} is in flight", written);
        Ok(())
    }

    fn answer(&mut self, which: u8, word: u8, cut: u8) -> Result<ControlFlow<()>, TestCaseError> {
        let Some(id) = self.pick(which, &State::InFlight) else { return Ok(ControlFlow::Continue(())) };
        let answer = ModelAnswer::new(self.attempts[&id].call, word, cut);
        if answer.unusable {
            assert!(self.input.push(answer.line.as_bytes()));
            let decoded = self.exchange.decode(self.now, &mut self.input, |_| ());
            prop_assert!(decoded.is_err(), "{}", answer.line);
            return Ok(ControlFlow::Break(()));
        }
        // Nothing is reported until both pieces have arrived.
        let (first, rest) = answer.line.as_bytes().split_at(usize::from(cut) % answer.line.len());
        self.receive(first);
        prop_assert!(self.reports.is_empty(), "an incomplete answer is not reported");
        self.receive(rest);
        self.expected.insert(id, answer.outcome);
        for report in &self.reports {
            if let Report::AttemptEnded { content, .. } = report {
                let actual = content.as_ref().map(|content| (content.body.as_slice(), content.not_modified));
                let expected =
                    (answer.outcome == Outcome::Ok).then_some((answer.body.as_bytes(), answer.valid));
                prop_assert_eq!(actual, expected);
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Receives an answer that no attempt waits for: one that crossed its cancel, a second copy, or one with
    /// an unknown id.
    fn receive_stray_answer(&mut self, which: u8) {
        let is_in_flight = |call: &u8| {
            let mut attempts = self.attempts.values();
            attempts.any(|attempt| attempt.call == *call && attempt.state == State::InFlight)
        };
        let ended = self.used.iter().copied().filter(|call| !is_in_flight(call));
        let candidates: Vec<u8> = ended.chain([99]).collect();
        let call = candidates[usize::from(which) % candidates.len()];
        self.receive(format!("{call:016x} HIT etag=e,made=996000 2\r\nhi\r\n").as_bytes());
    }

    fn receive(&mut self, bytes: &[u8]) {
        assert!(self.input.push(bytes));
        self.exchange.decode(self.now, &mut self.input, |report| self.reports.push(report)).unwrap();
    }

    /// Checks the reports of this step against the expected outcomes, and the load against the model.
    fn check_step(&mut self) -> Result<(), TestCaseError> {
        for report in std::mem::take(&mut self.reports) {
            // A sent cancel is reported as abandoned, since the node may not have read it yet.
            let abandoned = matches!(report, Report::Abandoned { .. });
            if let Report::AttemptEnded { attempt_id, outcome, .. }
            | Report::Abandoned { attempt_id, outcome, .. } = report
            {
                prop_assert_eq!(abandoned, outcome == Outcome::Cancelled);
                let id = attempt_id.request.0;
                prop_assert_eq!(self.expected.remove(&id), Some(outcome), "{:?} of {:?}", id, &self.attempts);
                let previous = self.set_state(id, State::Ended);
                prop_assert_ne!(previous, State::Ended, "an attempt ends once");
            }
        }
        prop_assert!(self.expected.is_empty(), "{:?} did not end; wire {:?}", self.expected, self.wire);
        prop_assert_eq!(self.exchange.load(), self.count(|state| *state != State::Ended));
        Ok(())
    }

    /// Closes the connection. Orders of which no byte was written are handed back, and cancelled attempts are
    /// reported.
    fn check_end(mut self) -> Result<(), TestCaseError> {
        let rest = self.out.len();
        self.out.consume(rest);
        let (mut cancelled, mut overdue, mut reset) = (0, 0, 0);
        let sent = self.sent;
        self.exchange.process_write(self.now, &mut self.out, || sent, |_| cancelled += 1);
        self.exchange.encode(self.now, &mut self.out, |report| {
            overdue += usize::from(matches!(report, Report::AttemptEnded { .. }));
        });
        // The node learns of a close by the front only later.
        let by = if self.last_request.is_multiple_of(2) { ClosedBy::Front } else { ClosedBy::Node };
        let handed_back = self.exchange.close(by, self.out.consumed(), |report| {
            assert_eq!(matches!(report, Report::Abandoned { .. }), by == ClosedBy::Front);
            match report {
                Report::AttemptEnded { outcome: Outcome::Reset, .. }
                | Report::Abandoned { outcome: Outcome::Reset, .. } => {
                    reset += 1;
                }
                Report::AttemptEnded { outcome: Outcome::Cancelled, .. }
                | Report::Abandoned { outcome: Outcome::Cancelled, .. } => cancelled += 1,
                other => panic!("{other:?}"),
            }
        });
        prop_assert_eq!(reset, self.count(|state| *state == State::InFlight));
        prop_assert_eq!(cancelled, self.count(|state| matches!(state, State::Cancelled(_))));
        prop_assert_eq!(handed_back.len() + overdue, self.count(|state| *state == State::Queued));
        Ok(())
    }
}

/// Checks that every attempt ends once; that it ends as `Ok` only by a whole answer with its own call id and
/// a copy that is young enough; that an unsent order is not reported as one that may have run; that a call id
/// is used once, since a copy of its answer may still arrive; and that a copy is confirmed only to a client
/// that has one.
fn matches_the_model(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut model = ExchangeModel::new();
    for step in steps {
        if model.step(step)?.is_break() {
            break;
        }
        model.check_step()?;
    }
    model.check_end()
}

#[test]
fn a_connection_to_a_cache_node_matches_its_model() {
    let share = || prop_oneof![Just(255u8), any::<u8>()];
    let step = prop_oneof![
        6 => (0u8..40, 0u8..40).prop_map(|(call, patience)| Step::Queue { call, patience }),
        4 => any::<u8>().prop_map(Step::Cancel),
        6 => (share(), share()).prop_map(|(accepted, sent)| Step::Encode { accepted, sent }),
        6 => (any::<u8>(), any::<u8>(), any::<u8>()).prop_map(|(which, word, cut)| Step::Answer { which, word, cut }),
        2 => any::<u8>().prop_map(Step::StrayAnswer),
        3 => (0u8..9).prop_map(Step::AdvanceClock),
    ];
    check(400, vec(step, 1..120), matches_the_model);
}

/// The connection to a machine that has vanished accepts every write and yields no input: it must not get new
/// requests.
#[test]
fn an_unresponsive_connection_accepts_no_requests_until_it_is_read_from() {
    let (mut exchange, mut out, mut input) =
        (Exchange::new(Ledger::unlimited()), Buffer::default(), Buffer::default());
    exchange.queue(order(1, 1, 1010.0));
    exchange.encode(1000.0, &mut out, |_| {});
    out.consume(usize::MAX);
    assert!(!exchange.process_write(1000.0, &mut out, || panic!("no cancel is queued"), |_| {}));
    assert!(exchange.cancel(1002.0, attempt_id(1)).is_none());
    assert!(exchange.oldest_cancel_since() == Some(1002.0), "it is in flight until its cancel is sent");
    exchange.encode(1002.0, &mut out, |_| {});
    let (written, mut ended) = (out.len(), 0);
    out.consume(written - 1);
    exchange.process_write(1002.0, &mut out, || panic!("the cancel is not written"), |_| ended += 1);
    assert_eq!(ended, 0, "a byte of the cancel is not written");
    out.consume(1);
    let accepted = out.consumed();
    exchange.process_write(1002.0, &mut out, || accepted - 1, |_| ended += 1);
    assert_eq!(ended, 0, "a byte of the cancel is not sent");
    let count = |r| ended += usize::from(matches!(r, Report::Abandoned { outcome: Outcome::Cancelled, .. }));
    exchange.process_write(1002.0, &mut out, || accepted, count);
    assert!(ended == 1 && exchange.oldest_cancel_since().is_none());
    assert!(exchange.closes_when_idle() && !exchange.accepts("other"));
    assert!(input.push(b"0000000000000009 NONE - 0\r\n\r\n"));
    exchange.decode(1003.0, &mut input, |_| {}).unwrap();
    assert!(
        exchange.accepts("other") && !exchange.accepts("0000000000000001"),
        "the old call id may still be answered"
    );
}
