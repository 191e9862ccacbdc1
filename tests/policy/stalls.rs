//! Stalls: no answer arrives for a while because a node, the front or the machine was paused. Answers that
//! are late for this reason are no sign of a lost answer, a failed node or a failing origin.

use crate::common::*;
use onyxyoke::interface::*;

/// Duration of a stall, longer than the time after which an answer counts as lost.
const STALL_S: f64 = 0.4;
/// Time between the delayed answers after a stall.
const ANSWER_GAP_S: f64 = 0.01;
/// Time within which a lost answer must be detected once its node answers again.
const DETECTION_LIMIT_S: f64 = 0.25;
/// Number of requests that are in flight during the stall.
const REQUESTS_IN_FLIGHT: u64 = 6;
/// Number of requests after the stall.
const LATER_REQUESTS: u64 = 20;
const OBJECT_KB: f64 = 20.0;
const REQUEST_INTERVAL_S: f64 = 0.005;

/// A director with the settings of the platform's front: no concurrent attempts and no parents.
fn timed_stage(nodes: &[Node]) -> TimedStage {
    let mut stage = DirectorHarness::new(Settings { concurrent_attempts: false, ..settings() }, nodes);
    stage.request_many_objects();
    TimedStage { stage, timers: Vec::new(), actions: Vec::new() }
}

/// A stage whose timers fire when they are due.
struct TimedStage {
    stage: DirectorHarness,
    /// Due time and token of each timer.
    timers: Vec<(f64, u64)>,
    /// All actions except timers.
    actions: Vec<Action>,
}

impl TimedStage {
    /// Sets the timers of these actions and records the other actions.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { token, after } => self.timers.push((self.stage.now + after, token)),
                other => self.actions.push(other),
            }
        }
    }

    /// Advances the clock, firing each timer when it is due.
    fn advance(&mut self, seconds: f64) {
        let until = self.stage.now + seconds;
        while let Some(due) = self.next_due().filter(|&due| due <= until) {
            self.stage.now = self.stage.now.max(due);
            self.fire_due_timers();
        }
        self.stage.now = until;
    }

    fn next_due(&self) -> Option<f64> {
        self.timers.iter().map(|timer| timer.0).reduce(f64::min)
    }

    /// Advances the clock while the front is paused, then fires all due timers at once.
    fn pause_front(&mut self, seconds: f64) {
        self.stage.now += seconds;
        self.fire_due_timers();
    }

    /// Fires the timers that are due, in the order of their due times.
    fn fire_due_timers(&mut self) {
        let now = self.stage.now;
        let mut due: Vec<(f64, u64)> = self.timers.extract_if(.., |timer| timer.0 <= now).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, token) in due {
            let actions = self.stage.event(Event::TimerFired { token });
            self.apply_actions(actions);
        }
    }

    /// Issues a request for an object and returns its attempt.
    fn fetch(&mut self, object: u64) -> SentAttempt {
        let (_, actions) = self.stage.ask(object, OBJECT_KB);
        let sent = sent_attempts(&actions)[0];
        self.apply_actions(actions);
        sent
    }

    /// Issues requests for `count` objects without a believed holder, one after the other, and returns their
    /// attempts.
    fn fetch_each(&mut self, first: u64, count: u64) -> Vec<SentAttempt> {
        let fetch = |object| {
            let sent = self.fetch(object);
            self.advance(REQUEST_INTERVAL_S);
            sent
        };
        (first..first + count).map(fetch).collect()
    }

    fn end(&mut self, sent: SentAttempt, number: u16, outcome: Outcome, note: Note) {
        let actions = self.stage.end(sent, number, outcome, note, 0.0);
        self.apply_actions(actions);
    }

    /// Ends an attempt `took` seconds after it was sent because the client's deadline has passed.
    fn time_out(&mut self, sent: SentAttempt, took: f64) {
        self.stage.now -= took;
        let actions = self.stage.end(sent, 0, Outcome::TimedOut, Note::None, took);
        self.apply_actions(actions);
    }

    /// Ends the attempts that were cancelled.
    fn end_cancelled(&mut self, attempts: &[SentAttempt]) {
        let cancelled: Vec<SentAttempt> =
            attempts.iter().copied().filter(|sent| self.is_cancelled(sent)).collect();
        for sent in cancelled {
            self.end(sent, 0, Outcome::Cancelled, Note::None);
        }
    }

    fn is_cancelled(&self, sent: &SentAttempt) -> bool {
        let cancels =
            |action: &Action| matches!(action, Action::Cancel { request, .. } if request.0 == sent.id);
        self.actions.iter().any(cancels)
    }

    /// Issues `count` requests, answers those that are sent and returns the number of refusals.
    fn count_refusals(&mut self, first: u64, count: u64) -> usize {
        let mut refusals = 0;
        for object in first..first + count {
            let (_, actions) = self.stage.ask(object, OBJECT_KB);
            refusals += usize::from(refused(&actions));
            for sent in sent_attempts(&actions) {
                self.stage.end(sent, 0, Outcome::Ok, Note::Hit, OBJECT_KB / 1000.0);
            }
        }
        refusals
    }
}

/// Guards against taking answers for lost that were delayed with their whole node: the first one to arrive
/// may belong to the last request, with the others a moment behind it.
#[test]
fn answers_delivered_together_after_a_stall_are_not_cancelled() {
    let mut timed = timed_stage(&[edge(10), origin(30)]);
    let attempts = timed.fetch_each(1, REQUESTS_IN_FLIGHT);
    timed.advance(STALL_S);
    for sent in attempts.iter().rev() {
        timed.end(*sent, 0, Outcome::Ok, Note::Hit);
        timed.advance(ANSWER_GAP_S);
        timed.end_cancelled(&attempts);
    }
    let cancelled = attempts.iter().filter(|sent| timed.is_cancelled(sent)).count();
    assert_eq!((cancelled, timed.count_refusals(100, LATER_REQUESTS)), (0, 0), "(cancelled, refused later)");
}

/// Guards against taking delayed answers for lost because a request that came right after the stall is
/// answered first.
#[test]
fn answers_overtaken_by_a_new_request_after_a_stall_are_not_cancelled() {
    let mut timed = timed_stage(&[edge(10), origin(30)]);
    let attempts = timed.fetch_each(1, REQUESTS_IN_FLIGHT);
    timed.advance(STALL_S);
    let new_request = timed.fetch(50);
    timed.advance(ANSWER_GAP_S);
    timed.end(new_request, 0, Outcome::Ok, Note::Hit);
    for sent in &attempts {
        timed.advance(ANSWER_GAP_S);
        timed.end_cancelled(&attempts);
        timed.end(*sent, 0, Outcome::Ok, Note::Hit);
    }
    let cancelled = attempts.iter().filter(|sent| timed.is_cancelled(sent)).count();
    assert_eq!((cancelled, timed.count_refusals(100, LATER_REQUESTS)), (0, 0), "(cancelled, refused later)");
}

/// An answer that is really lost must be detected shortly after its node answers again.
#[test]
fn an_answer_lost_in_a_stall_is_cancelled_soon_after_the_stall() {
    let mut timed = timed_stage(&[edge(10), origin(30)]);
    let attempts = timed.fetch_each(1, REQUESTS_IN_FLIGHT);
    timed.advance(STALL_S);
    for sent in &attempts[1..] {
        timed.end(*sent, 0, Outcome::Ok, Note::Hit);
        timed.advance(ANSWER_GAP_S);
    }
    timed.advance(DETECTION_LIMIT_S - (REQUESTS_IN_FLIGHT - 1) as f64 * ANSWER_GAP_S);
    assert!(timed.is_cancelled(&attempts[0]), "{:?}", timed.actions);
}

/// Guards against ejecting a node because the front or its machine was paused: after the pause the overdue
/// timers fire first, and the answers that arrived meanwhile are read after them.
#[test]
fn a_pause_of_the_front_ejects_no_node() {
    let mut timed = timed_stage(&[edge(10), edge(11), origin(30)]);
    let attempts = timed.fetch_each(1, 4 * REQUESTS_IN_FLIGHT);
    let of = |node: u64| attempts.iter().copied().filter(move |sent| sent.node == node);
    // One cache has answered a request that was sent after the first request of the other cache.
    let first = of(11).next_back().expect("some request at cache 11");
    timed.end(first, 0, Outcome::Ok, Note::Hit);
    timed.pause_front(STALL_S);
    timed.pause_front(0.0);
    let now = timed.stage.now;
    assert!(!timed.stage.director.is_ejected(now, NodeId(10)), "cache 10 was ejected");
    for sent in attempts.iter().filter(|sent| sent.id != first.id) {
        timed.end_cancelled(&attempts);
        timed.end(*sent, 0, Outcome::Ok, Note::Hit);
    }
    let cancelled = attempts.iter().filter(|sent| timed.is_cancelled(sent)).count();
    assert_eq!((cancelled, timed.count_refusals(100, LATER_REQUESTS)), (0, 0), "(cancelled, refused later)");
}

/// Guards the health of the node and of the origin when clients' deadlines pass while the front is paused.
#[test]
fn client_timeouts_during_a_pause_of_the_front_cause_no_refusals() {
    let mut timed = timed_stage(&[edge(10), origin(30)]);
    timed.stage.patience = STALL_S / 2.0;
    let attempts = timed.fetch_each(1, REQUESTS_IN_FLIGHT);
    timed.stage.patience = 5.0;
    timed.pause_front(STALL_S);
    for sent in &attempts {
        timed.time_out(*sent, STALL_S);
    }
    assert_eq!(timed.count_refusals(100, LATER_REQUESTS), 0);
}

/// The extra wait after a stall must not delay the detection of a lost answer where there was no stall.
#[test]
fn a_lost_answer_is_cancelled_when_its_timer_fires_without_a_stall() {
    let mut timed = timed_stage(&[edge(10), origin(30)]);
    let lost = timed.fetch(1);
    let due = timed.next_due().expect("a timer is set for the attempt");
    while timed.stage.now < due {
        let other = timed.fetch(2);
        timed.advance(ANSWER_GAP_S);
        timed.end(other, 0, Outcome::Ok, Note::Hit);
    }
    assert!(timed.is_cancelled(&lost), "{:?}", timed.actions);
}

/// Guards against postponing the detection for ever where each answer ends a stall and the front is too busy
/// to run a timer before the next one.
#[test]
fn a_lost_answer_is_cancelled_though_each_answer_ends_a_stall() {
    let mut timed = timed_stage(&[edge(10), origin(30)]);
    let lost = timed.fetch(1);
    let sent_at = timed.stage.now;
    while !timed.is_cancelled(&lost) {
        assert!(timed.stage.now < sent_at + 1.0, "the lost answer was not detected in 1 s");
        let other = timed.fetch(2);
        timed.stage.now += 2.0 * ANSWER_GAP_S + 0.1;
        timed.end(other, 0, Outcome::Ok, Note::Hit);
        timed.fire_due_timers();
    }
}
