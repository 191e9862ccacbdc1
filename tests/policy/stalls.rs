//! Times in which nothing was heard, because a node, the front or the machine stood still: what is late then is late
//! for that, and no sign of a lost answer, of a node that is down or of an origin that fails.

use crate::common::*;
use onyxyoke::interface::*;

/// How long nothing is heard (seconds): longer than answers are waited for.
const SILENCE: f64 = 0.4;
/// How far apart the answers come that were all held up (seconds).
const BEHIND: f64 = 0.01;
/// How long a lost answer may stay unnoticed once its node is heard again (seconds).
const NOTICED: f64 = 0.25;
/// Requests that are out in the silence, and those that come after it.
const OUT: u64 = 6;
const LATER: u64 = 20;
/// Size of the objects (KB).
const KB: f64 = 20.0;
/// Time from one request to the next (seconds).
const STEP: f64 = 0.005;

/// One of the platform's fronts: no second attempt while the first is out, and no parents.
fn stage(nodes: &[Node]) -> Clocked {
    let mut stage = Stage::new(Settings { concurrent_attempts: false, ..settings() }, nodes);
    stage.mixed();
    Clocked { stage, alarms: Vec::new(), actions: Vec::new() }
}

/// A stage whose alarms go off when they are due.
struct Clocked {
    stage: Stage,
    /// When each is due, and its token.
    alarms: Vec<(f64, u64)>,
    /// What was ordered but alarms.
    actions: Vec<Action>,
}

impl Clocked {
    /// Notes what is to be done, and sets its alarms.
    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { token, after } => self.alarms.push((self.stage.now + after, token)),
                other => self.actions.push(other),
            }
        }
    }

    /// Time passes, and every alarm goes off when it is due.
    fn pass(&mut self, seconds: f64) {
        let until = self.stage.now + seconds;
        while let Some(due) = self.next_alarm().filter(|&due| due <= until) {
            self.stage.now = self.stage.now.max(due);
            self.alarms_go_off();
        }
        self.stage.now = until;
    }

    fn next_alarm(&self) -> Option<f64> {
        self.alarms.iter().map(|alarm| alarm.0).reduce(f64::min)
    }

    /// Time passes in which the front does nothing; then all alarms that are due go off at once.
    fn stands_still(&mut self, seconds: f64) {
        self.stage.now += seconds;
        self.alarms_go_off();
    }

    /// The alarms that are due go off.
    fn alarms_go_off(&mut self) {
        let now = self.stage.now;
        let mut due: Vec<(f64, u64)> = self.alarms.extract_if(.., |alarm| alarm.0 <= now).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, token) in due {
            let actions = self.stage.event(Event::TimerFired { token });
            self.take(actions);
        }
    }

    /// A request that is sent somewhere.
    fn fetch(&mut self, object: u64) -> Sent {
        let (_, actions) = self.stage.ask(object, KB);
        let sent = sent(&actions)[0];
        self.take(actions);
        sent
    }

    /// Requests for so many objects that no cache is believed to hold, one after the other; whither they were sent.
    fn fetch_unknown(&mut self, first: u64, count: u64) -> Vec<Sent> {
        let fetch = |object| {
            let sent = self.fetch(object);
            self.pass(STEP);
            sent
        };
        (first..first + count).map(fetch).collect()
    }

    fn end(&mut self, sent: Sent, number: u16, outcome: Outcome, note: Note) {
        let actions = self.stage.end(sent, number, outcome, note, 0.0);
        self.take(actions);
    }

    /// The client's time is up so long after the attempt was sent.
    fn times_out(&mut self, sent: Sent, took: f64) {
        self.stage.now -= took;
        let actions = self.stage.end(sent, 0, Outcome::TimedOut, Note::None, took);
        self.take(actions);
    }

    /// The withdrawn attempts have ended.
    fn withdrawn_end(&mut self, out: &[Sent]) {
        let withdrawn: Vec<Sent> = out.iter().copied().filter(|sent| self.is_withdrawn(sent)).collect();
        for sent in withdrawn {
            self.end(sent, 0, Outcome::Cancelled, Note::None);
        }
    }

    fn is_withdrawn(&self, sent: &Sent) -> bool {
        let withdraws =
            |action: &Action| matches!(action, Action::Cancel { request, .. } if request.0 == sent.id);
        self.actions.iter().any(withdraws)
    }

    /// How many of so many requests for further objects are refused, each of the others being answered.
    fn refused_of(&mut self, first: u64, count: u64) -> usize {
        let mut refusals = 0;
        for object in first..first + count {
            let (_, actions) = self.stage.ask(object, KB);
            refusals += usize::from(refused(&actions));
            for sent in sent(&actions) {
                self.stage.end(sent, 0, Outcome::Ok, Note::Hit, KB / 1000.0);
            }
        }
        refusals
    }
}

/// Guards against answers that were only held up with their whole node, and of which the first to come may be that of
/// the last request: the others are a moment behind it.
#[test]
fn answers_that_come_together_after_a_silence_are_not_lost() {
    let mut s = stage(&[edge(10), origin(30)]);
    let out = s.fetch_unknown(1, OUT);
    s.pass(SILENCE);
    for sent in out.iter().rev() {
        s.end(*sent, 0, Outcome::Ok, Note::Hit);
        s.pass(BEHIND);
        s.withdrawn_end(&out);
    }
    let withdrawn = out.iter().filter(|sent| s.is_withdrawn(sent)).count();
    assert_eq!((withdrawn, s.refused_of(100, LATER)), (0, 0), "withdrawn, and refused later");
}

/// The same where a request that came right behind the silence is answered first.
#[test]
fn answers_that_are_overtaken_right_after_a_silence_are_not_lost() {
    let mut s = stage(&[edge(10), origin(30)]);
    let out = s.fetch_unknown(1, OUT);
    s.pass(SILENCE);
    let newcomer = s.fetch(50);
    s.pass(BEHIND);
    s.end(newcomer, 0, Outcome::Ok, Note::Hit);
    for sent in &out {
        s.pass(BEHIND);
        s.withdrawn_end(&out);
        s.end(*sent, 0, Outcome::Ok, Note::Hit);
    }
    let withdrawn = out.iter().filter(|sent| s.is_withdrawn(sent)).count();
    assert_eq!((withdrawn, s.refused_of(100, LATER)), (0, 0), "withdrawn, and refused later");
}

/// An answer that is really lost is noticed a moment after its node is heard again.
#[test]
fn an_answer_that_was_lost_in_a_silence_is_asked_for_again() {
    let mut s = stage(&[edge(10), origin(30)]);
    let out = s.fetch_unknown(1, OUT);
    s.pass(SILENCE);
    for sent in &out[1..] {
        s.end(*sent, 0, Outcome::Ok, Note::Hit);
        s.pass(BEHIND);
    }
    s.pass(NOTICED - (OUT - 1) as f64 * BEHIND);
    assert!(s.is_withdrawn(&out[0]), "{:?}", s.actions);
}

/// Guards a node's health where the front itself, or its machine, stood still: its alarms come first, late, and what
/// came meanwhile is read behind them.
#[test]
fn a_front_that_stood_still_blames_nobody_for_it() {
    let mut s = stage(&[edge(10), edge(11), origin(30)]);
    let out = s.fetch_unknown(1, 4 * OUT);
    let of = |node: u64| out.iter().copied().filter(move |sent| sent.node == node);
    // One cache has answered something that went later than what the other was asked first.
    let first = of(11).next_back().expect("some of cache 11");
    s.end(first, 0, Outcome::Ok, Note::Hit);
    s.stands_still(SILENCE);
    s.stands_still(0.0);
    let now = s.stage.now;
    assert!(!s.stage.director.is_ejected(now, NodeId(10)), "blamed");
    for sent in out.iter().filter(|sent| sent.id != first.id) {
        s.withdrawn_end(&out);
        s.end(*sent, 0, Outcome::Ok, Note::Hit);
    }
    let withdrawn = out.iter().filter(|sent| s.is_withdrawn(sent)).count();
    assert_eq!((withdrawn, s.refused_of(100, LATER)), (0, 0), "withdrawn, and refused later");
}

/// Guards health and the origin's record where clients' times run out while the front stands still.
#[test]
fn times_that_run_out_while_the_front_stands_still_blame_nobody() {
    let mut s = stage(&[edge(10), origin(30)]);
    s.stage.patience = SILENCE / 2.0;
    let out = s.fetch_unknown(1, OUT);
    s.stage.patience = 5.0;
    s.stands_still(SILENCE);
    for sent in &out {
        s.times_out(*sent, SILENCE);
    }
    assert_eq!(s.refused_of(100, LATER), 0);
}

/// What waits for a moment after a silence does not wait where there was none.
#[test]
fn a_lost_answer_is_noticed_at_once_where_its_node_was_never_silent() {
    let mut s = stage(&[edge(10), origin(30)]);
    let lost = s.fetch(1);
    let due = s.next_alarm().expect("it is looked at");
    while s.stage.now < due {
        let other = s.fetch(2);
        s.pass(BEHIND);
        s.end(other, 0, Outcome::Ok, Note::Hit);
    }
    assert!(s.is_withdrawn(&lost), "{:?}", s.actions);
}

/// Nor does it wait for ever where each answer ends a silence, and the front is too busy to look before the next.
#[test]
fn a_lost_answer_is_noticed_though_each_answer_ends_a_silence() {
    let mut s = stage(&[edge(10), origin(30)]);
    let lost = s.fetch(1);
    let begun = s.stage.now;
    while !s.is_withdrawn(&lost) {
        assert!(s.stage.now < begun + 1.0, "waited for too long");
        let other = s.fetch(2);
        s.stage.now += 2.0 * BEHIND + 0.1;
        s.end(other, 0, Outcome::Ok, Note::Hit);
        s.alarms_go_off();
    }
}
