//! The exchange with a cache node against a plain model of its attempts.

use super::{attempt_id, check, order};
use crate::broker::Report;
use crate::interface::Outcome;
use crate::memory::Ledger;
use crate::net::Buffer;
use crate::net::exchange::{EndedBy, Exchange};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::ops::ControlFlow;

#[derive(Debug, Clone)]
enum Step {
    Queue {
        call: u8,
        life: u8,
    },
    Cancel(u8),
    /// The socket takes this part of what is encoded, and the system sends this part of what is taken, in 255ths.
    Encode {
        taken: u8,
        sent: u8,
    },
    Answer {
        which: u8,
        word: u8,
        cut: u8,
    },
    Crossed(u8),
    Pass(u8),
}

/// Where an attempt is, as the model sees it.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Waiting,
    InFlight,
    /// Cancelled; where its cancel ends on the connection, once that is encoded.
    Cancelled(Option<u64>),
    Ended,
}

const WORDS: [(&str, Outcome); 6] = [
    ("HIT", Outcome::Ok),
    ("VALID", Outcome::Ok),
    ("NONE", Outcome::Miss),
    ("SHED", Outcome::Full),
    ("FAULT", Outcome::Error),
    ("LATE", Outcome::NotSent),
];

/// An attempt as the model sees it.
#[derive(Debug)]
struct Attempt {
    call: u8,
    /// Until when it may be sent.
    due: f64,
    state: State,
}

impl Attempt {
    /// The call as the wire names it.
    fn name(&self) -> String {
        format!("{:016x}", self.call)
    }
}

/// An answer to an attempt, as it is on the wire, and what must come of it.
struct ModelAnswer {
    line: String,
    body: &'static str,
    outcome: Outcome,
    /// The client's copy is the one.
    valid: bool,
    /// Nobody asked for a valid copy, or it is a copy that tells nothing of itself.
    spoilt: bool,
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
        let spoilt = match word {
            "VALID" => call % 2 == 1 || bare,
            "HIT" => !call.is_multiple_of(3) && bare,
            _ => false,
        };
        let outcome = if old && !bare && outcome == Outcome::Ok { Outcome::Error } else { outcome };
        ModelAnswer { line, body, outcome, valid: word == "VALID", spoilt }
    }
}

/// The exchange, its buffers, and the attempts as they should be.
struct ExchangeModel {
    exchange: Exchange,
    now: f64,
    out: Buffer,
    input: Buffer,
    /// How many bytes of the connection the system has sent.
    sent: u64,
    /// What was encoded last.
    wire: String,
    last_request: u32,
    attempts: BTreeMap<u32, Attempt>,
    /// Calls that were written.
    used: Vec<u8>,
    /// What was reported in this step.
    reports: Vec<Report>,
    /// What each attempt that ends in this step must end with.
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

    /// Takes a step; breaks where the connection is of no more use.
    fn step(&mut self, step: Step) -> Result<ControlFlow<()>, TestCaseError> {
        match step {
            Step::Queue { call, life } => self.queue(call, life)?,
            Step::Cancel(which) => self.cancel(which)?,
            Step::Encode { taken, sent } => self.encode(taken, sent)?,
            Step::Answer { which, word, cut } => return self.answer(which, word, cut),
            Step::Crossed(which) => self.answer_nobody(which),
            Step::Pass(tenths) => self.now += f64::from(tenths) / 10.0,
        }
        Ok(ControlFlow::Continue(()))
    }

    /// One of the attempts in this state.
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

    fn queue(&mut self, call: u8, life: u8) -> Result<(), TestCaseError> {
        let name = format!("{call:016x}");
        let is_open = |attempt: &Attempt| attempt.call == call && attempt.state != State::Ended;
        let clash = self.attempts.values().any(is_open) || self.used.contains(&call);
        prop_assert!(!(clash && self.exchange.accepts(&name)), "a name that could be mistaken");
        if self.exchange.accepts(&name) {
            self.last_request += 1;
            let due = self.now + f64::from(life) / 10.0;
            self.exchange.queue(order(self.last_request, call, due));
            self.attempts.insert(self.last_request, Attempt { call, due, state: State::Waiting });
        }
        Ok(())
    }

    fn cancel(&mut self, which: u8) -> Result<(), TestCaseError> {
        let state = if which.is_multiple_of(2) { State::Waiting } else { State::InFlight };
        if let Some(id) = self.pick(which / 2, &state) {
            self.reports.extend(self.exchange.cancel(self.now, attempt_id(id)));
            if state == State::Waiting {
                self.expected.insert(id, Outcome::NotSent);
            } else {
                self.set_state(id, State::Cancelled(None));
            }
        }
        let again = self.exchange.cancel(self.now, attempt_id(self.last_request + 1));
        prop_assert!(again.is_none(), "an attempt that is not here");
        Ok(())
    }

    /// Encodes, lets the socket take a part of it, and the system send a part of what is unsent. Nothing is written behind
    /// a cancel that is not sent.
    fn encode(&mut self, part_taken: u8, part_sent: u8) -> Result<(), TestCaseError> {
        let base = self.out.taken();
        let clear = self.out.is_empty() && self.count(|state| matches!(state, State::Cancelled(_))) == 0;
        self.exchange.encode(self.now, &mut self.out, |report| self.reports.push(report));
        self.wire = String::from_utf8(self.out.bytes().to_vec()).unwrap();
        self.find_cancels(base);
        self.out.consume((self.wire.len() * usize::from(part_taken)).div_ceil(255));
        self.sent += (self.out.taken() - self.sent) * u64::from(part_sent) / 255;
        for (id, attempt) in &self.attempts {
            if matches!(attempt.state, State::Cancelled(Some(end)) if end <= self.sent) {
                self.expected.insert(*id, Outcome::Cancelled);
            }
        }
        let (taken, before) = (self.out.taken() > base, self.out.len());
        let (sent, report) = (self.sent, |report| self.reports.push(report));
        let more = self.exchange.written(self.now, &mut self.out, || sent, report);
        prop_assert!(!more || self.out.is_empty(), "more only where the socket takes it");
        let written = if clear { self.check_first_order(taken, before)? } else { None };
        self.check_written(written)
    }

    /// Notes where each cancel that was just encoded ends.
    fn find_cancels(&mut self, base: u64) {
        let cancelled = self.attempts.values_mut().filter(|attempt| attempt.state == State::Cancelled(None));
        for attempt in cancelled {
            let line = format!("cancel {}\r\n", attempt.name());
            let end = self.wire.find(&line).expect("a cancel is encoded at once") + line.len();
            attempt.state = State::Cancelled(Some(base + end as u64));
        }
    }

    /// The first that is not overdue is written where all before it was taken, and is in flight once a byte of it is;
    /// overdue ones before it end. Gives the one in flight.
    fn check_first_order(&mut self, taken: bool, before: usize) -> Result<Option<u32>, TestCaseError> {
        for (id, attempt) in self.attempts.iter().filter(|(_, attempt)| attempt.state == State::Waiting) {
            if ((attempt.due - self.now) * 1000.0) as u64 == 0 {
                self.expected.insert(*id, Outcome::NotSent);
                continue;
            }
            let name = attempt.name();
            prop_assert!(self.wire.starts_with(&format!("serve {name} ")), "{} for {}", self.wire, name);
            prop_assert!(taken || before > 0 && self.out.is_empty(), "taken back whole");
            prop_assert_eq!(self.exchange.is_write_blocked(), !taken);
            return Ok(taken.then_some(*id));
        }
        Ok(None)
    }

    /// Exactly this attempt is reported as written.
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
        if answer.spoilt {
            assert!(self.input.push(answer.line.as_bytes()));
            let decoded = self.exchange.decode(self.now, &mut self.input, |_| ());
            prop_assert!(decoded.is_err(), "{}", answer.line);
            return Ok(ControlFlow::Break(()));
        }
        // Cut anywhere, nothing is told until the rest has come.
        let (first, rest) = answer.line.as_bytes().split_at(usize::from(cut) % answer.line.len());
        self.receive(first);
        prop_assert!(self.reports.is_empty(), "half an answer is none");
        self.receive(rest);
        self.expected.insert(id, answer.outcome);
        for report in &self.reports {
            if let Report::AttemptEnded { content, .. } = report {
                let whole = content.as_ref().map(|content| (content.body.as_slice(), content.not_modified));
                let wanted =
                    (answer.outcome == Outcome::Ok).then_some((answer.body.as_bytes(), answer.valid));
                prop_assert_eq!(whole, wanted);
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    /// An answer that crossed its cancel, a second copy, or one under an unknown id: all nobody's.
    fn answer_nobody(&mut self, which: u8) {
        let is_in_flight = |call: &u8| {
            let mut attempts = self.attempts.values();
            attempts.any(|attempt| attempt.call == *call && attempt.state == State::InFlight)
        };
        let past = self.used.iter().copied().filter(|call| !is_in_flight(call));
        let past: Vec<u8> = past.chain([99]).collect();
        let call = past[usize::from(which) % past.len()];
        self.receive(format!("{call:016x} HIT etag=e,made=996000 2\r\nhi\r\n").as_bytes());
    }

    fn receive(&mut self, bytes: &[u8]) {
        assert!(self.input.push(bytes));
        self.exchange.decode(self.now, &mut self.input, |report| self.reports.push(report)).unwrap();
    }

    /// What was reported in this step is what was expected, and what is under way is counted.
    fn check_step(&mut self) -> Result<(), TestCaseError> {
        for report in std::mem::take(&mut self.reports) {
            // A cancel that is sent is reported as that: its node may not have read it yet.
            let cancels = matches!(report, Report::Abandoned { .. });
            if let Report::AttemptEnded { attempt_id, outcome, .. }
            | Report::Abandoned { attempt_id, outcome, .. } = report
            {
                prop_assert_eq!(cancels, outcome == Outcome::Cancelled);
                let id = attempt_id.request.0;
                prop_assert_eq!(self.expected.remove(&id), Some(outcome), "{:?} of {:?}", id, &self.attempts);
                let was = self.set_state(id, State::Ended);
                prop_assert_ne!(was, State::Ended, "an attempt ends once");
            }
        }
        prop_assert!(self.expected.is_empty(), "{:?} had no end; wire {:?}", self.expected, self.wire);
        prop_assert_eq!(self.exchange.load(), self.count(|state| *state != State::Ended));
        Ok(())
    }

    /// The connection ends. What is encoded but of which not a byte has left was never sent, and what was taken back is
    /// given up.
    fn check_end(mut self) -> Result<(), TestCaseError> {
        let rest = self.out.len();
        self.out.consume(rest);
        let (mut cancelled, mut overdue, mut reset) = (0, 0, 0);
        let sent = self.sent;
        self.exchange.written(self.now, &mut self.out, || sent, |_| cancelled += 1);
        self.exchange.encode(self.now, &mut self.out, |report| {
            overdue += usize::from(matches!(report, Report::AttemptEnded { .. }));
        });
        // Where this side ends it, the node hears of that later; where the node does, it knows.
        let by = if self.last_request.is_multiple_of(2) { EndedBy::Front } else { EndedBy::Node };
        let handed_back = self.exchange.close(by, self.out.taken(), |report| {
            assert_eq!(matches!(report, Report::Abandoned { .. }), by == EndedBy::Front);
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
        prop_assert_eq!(handed_back.len() + overdue, self.count(|state| *state == State::Waiting));
        Ok(())
    }
}

/// Every attempt ends once; only a whole answer under its own name, of a copy that is young enough, is `Ok`; what
/// never left is told as that, what left as perhaps run; a name is used once, since a copy of its answer may still
/// come; a valid copy is one only where the client has one.
fn keeps_to_its_states(steps: Vec<Step>) -> Result<(), TestCaseError> {
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
fn a_connection_to_a_cache_node_keeps_to_its_states() {
    let part = || prop_oneof![Just(255u8), any::<u8>()];
    let step = prop_oneof![
        6 => (0u8..40, 0u8..40).prop_map(|(call, life)| Step::Queue { call, life }),
        4 => any::<u8>().prop_map(Step::Cancel),
        6 => (part(), part()).prop_map(|(taken, sent)| Step::Encode { taken, sent }),
        6 => (any::<u8>(), any::<u8>(), any::<u8>()).prop_map(|(which, word, cut)| Step::Answer { which, word, cut }),
        2 => any::<u8>().prop_map(Step::Crossed),
        3 => (0u8..9).prop_map(Step::Pass),
    ];
    check(400, vec(step, 1..120), keeps_to_its_states);
}

/// Guards against a machine that has vanished: its connection takes everything and says nothing.
#[test]
fn a_silent_connection_is_not_chosen_until_it_speaks() {
    let (mut exchange, mut out, mut input) =
        (Exchange::new(Ledger::unlimited()), Buffer::default(), Buffer::default());
    exchange.queue(order(1, 1, 1010.0));
    exchange.encode(1000.0, &mut out, |_| {});
    out.consume(usize::MAX);
    assert!(!exchange.written(1000.0, &mut out, || panic!("no cancel is under way"), |_| {}));
    assert!(exchange.cancel(1002.0, attempt_id(1)).is_none());
    assert!(exchange.oldest_cancel_since() == Some(1002.0), "it is out until its cancel is sent");
    exchange.encode(1002.0, &mut out, |_| {});
    let (written, mut ended) = (out.len(), 0);
    out.consume(written - 1);
    exchange.written(1002.0, &mut out, || panic!("the cancel is not taken"), |_| ended += 1);
    assert_eq!(ended, 0, "nor is it while a byte of that is left");
    out.consume(1);
    let taken = out.taken();
    exchange.written(1002.0, &mut out, || taken - 1, |_| ended += 1);
    assert_eq!(ended, 0, "nor while a byte of that is unsent");
    let count = |r| ended += usize::from(matches!(r, Report::Abandoned { outcome: Outcome::Cancelled, .. }));
    exchange.written(1002.0, &mut out, || taken, count);
    assert!(ended == 1 && exchange.oldest_cancel_since().is_none());
    assert!(exchange.closes_when_idle() && !exchange.accepts("other"));
    assert!(input.push(b"0000000000000009 NONE - 0\r\n\r\n"));
    exchange.decode(1003.0, &mut input, |_| {}).unwrap();
    assert!(
        exchange.accepts("other") && !exchange.accepts("0000000000000001"),
        "the old name may still be answered"
    );
}
