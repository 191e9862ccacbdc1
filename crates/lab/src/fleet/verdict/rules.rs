//! The rules that hold in every run, whatever a plan's bounds are.

use super::super::record::{Asked, Attempt, End, Seen};
use super::{CHANCE, READY, SOCKETS, Verdict, VerdictCriteria, answer_by};
use std::collections::HashMap;

/// A copy's time is cut to milliseconds (seconds).
const COPY_TIME_PRECISION: f64 = 0.002;
/// The state of a node that is ready, in the record.
const NODE_READY: u8 = 0;

/// The states of a node, each with the time at which it was told.
type ToldStates = Vec<(f64, u8)>;

/// Adds the rules that were broken, and the figures that belong to them.
pub(super) fn check(seen: &Seen, terms: &VerdictCriteria, verdict: &mut Verdict) {
    for asked in &seen.asked {
        check_answer(asked, seen, terms, verdict);
        check_purges(asked, seen, terms, verdict);
    }
    for _ in 0..seen.unheard {
        verdict.broken("operators are answered within 1 s", "a cordon without a yes".into());
    }
    check_keyed_attempts(seen, verdict);
    check_drains(seen, terms, verdict);
    check_starts(seen, verdict);
    let mean_work = mean_work(seen);
    for &(node, started) in &seen.cold {
        check_cold_node(ColdStart { node, started, mean_work }, seen, terms, verdict);
    }
}

/// What a broken rule's example says of a request.
fn request_example(asked: &Asked, seen: &Seen, why: &str) -> String {
    format!("{why}, asked of front {} at {:.2} s", asked.front, asked.at - seen.began)
}

fn check_answer(asked: &Asked, seen: &Seen, terms: &VerdictCriteria, verdict: &mut Verdict) {
    let example = |why: &str| request_example(asked, seen, why);
    if asked.again > 0 {
        verdict.broken("one final answer", example("answered twice"));
    }
    if asked.spoilt {
        verdict.broken("whole and unchanged", example("bytes of another object"));
    }
    let by = answer_by(asked, terms);
    match asked.end {
        _ if asked.excused => {}
        Some((at, End::Served | End::Refused | End::Failed)) if at > by => {
            let late_ms = (at - by) * 1000.0;
            verdict.broken("one final answer", example(&format!("{late_ms:.0} ms late")));
        }
        Some((_, End::Lost)) | None => verdict.broken("one final answer", example("lost")),
        _ => {}
    }
}

fn check_purges(asked: &Asked, seen: &Seen, terms: &VerdictCriteria, verdict: &mut Verdict) {
    for purged in seen.purged.iter().filter(|purged| **purged + terms.purge_slack < asked.at) {
        if asked.made.is_some_and(|made| made + COPY_TIME_PRECISION < *purged) {
            let example = request_example(asked, seen, "an old copy");
            verdict.broken("no copy from before a purge", example);
        }
    }
}

/// Two attempts of a keyed request are not out at once.
fn check_keyed_attempts(seen: &Seen, verdict: &mut Verdict) {
    let mut keys: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &seen.attempts {
        attempt.came.key.into_iter().for_each(|key| keys.entry(key).or_default().push(attempt));
    }
    for (key, attempts) in keys {
        if attempts.windows(2).any(|pair| overlap(pair[0], pair[1])) {
            verdict.broken("never two attempts out", format!("key {key:016x}"));
        }
    }
}

/// Whether a front's second attempt came while its first one was out.
fn overlap(first: &Attempt, second: &Attempt) -> bool {
    let ended = first.ended.unwrap_or(f64::MAX);
    second.came.at + SOCKETS < ended && second.came.front == first.came.front
}

/// Each front goes by what it was told itself, and when: two may have different lists.
fn check_drains(seen: &Seen, terms: &VerdictCriteria, verdict: &mut Verdict) {
    let mut told: HashMap<(usize, Option<usize>), ToldStates> = HashMap::new();
    for notification in &seen.told {
        let states = told.entry((notification.node, notification.front)).or_default();
        states.push((notification.at, notification.state));
    }
    told.values_mut().for_each(|states| states.sort_by(|a, b| a.0.total_cmp(&b.0)));
    for Attempt { came, .. } in &seen.attempts {
        for front in [None, Some(came.front)] {
            let Some(states) = told.get(&(came.node, front)) else { continue };
            let unready_since = unready_since(states, came.at);
            if unready_since.is_some_and(|since| came.at >= since + terms.drain_grace + SOCKETS) {
                let at = came.at - seen.began;
                let example = format!("front {} to node {} at {at:.2} s", came.front, came.node);
                verdict.broken("nothing new to a draining node", example);
            }
        }
    }
}

/// When a node was first told not to be ready since it was last told to be, as of a time.
fn unready_since(states: &ToldStates, at: f64) -> Option<f64> {
    let past = &states[..states.partition_point(|state| state.0 <= at)];
    let since_ready = past.iter().rposition(|state| state.1 == NODE_READY).map_or(0, |last| last + 1);
    past[since_ready..].first().map(|state| state.0)
}

/// How soon fronts that were started again took clients.
fn check_starts(seen: &Seen, verdict: &mut Verdict) {
    let mut ready = seen.ready.clone();
    ready.sort_by(f64::total_cmp);
    let nine_in_ten = (ready.len() * 9).div_ceil(10);
    verdict.figures.ready_s = ready.get(nine_in_ten.saturating_sub(1)).copied();
    if let Some(late) = verdict.figures.ready_s.filter(|&seconds| seconds > READY.0) {
        verdict.broken("nine in ten restarted fronts are ready within 10 s", format!("after {late:.1} s"));
    }
    for late in ready.iter().filter(|&&seconds| seconds > READY.1) {
        verdict.broken("a front is ready within 30 s", format!("after {late:.1} s"));
    }
}

/// The mean work of the attempts that came to caches.
fn mean_work(seen: &Seen) -> f64 {
    let at_caches = seen.attempts.iter().filter(|attempt| seen.nodes[attempt.came.node].cache);
    let works = at_caches.map(|attempt| attempt.came.work);
    works.clone().sum::<f64>() / works.count().max(1) as f64
}

/// The start of a cold node.
struct ColdStart {
    node: usize,
    started: f64,
    mean_work: f64,
}

/// A cold node is not sent more than it bears in any window; the first time beyond chance is told.
fn check_cold_node(start: ColdStart, seen: &Seen, terms: &VerdictCriteria, verdict: &mut Verdict) {
    let ColdStart { node, started, mean_work } = start;
    let cold = terms.cold;
    let share = |at: f64| (cold.from + (1.0 - cold.from) * (at - started) / cold.time).min(1.0);
    let span = started..started + cold.time;
    let came: Vec<(f64, f64)> = seen
        .attempts
        .iter()
        .filter(|attempt| attempt.came.node == node && span.contains(&attempt.came.at))
        .map(|attempt| (attempt.came.at, attempt.came.work))
        .collect();
    let mut fallen = false;
    for (last, &(at, _)) in came.iter().enumerate() {
        let in_window = came[..=last].iter().rev().take_while(|attempt| attempt.0 > at - cold.window);
        let sent: f64 = in_window.map(|attempt| attempt.1).sum();
        let borne = cold.multiple * share(at) * seen.nodes[node].link * cold.window / mean_work;
        let over = sent / mean_work - borne;
        let excess = &mut verdict.figures.cold_excess;
        *excess = Some(excess.unwrap_or(f64::MIN).max(over / borne.sqrt()));
        if !fallen && over > CHANCE.0 * borne.sqrt() + CHANCE.1 {
            fallen = true;
            let (calls, at) = (sent / mean_work, at - seen.began);
            let example =
                format!("node {node} got {calls:.1} calls of mean work for {borne:.1} at {at:.2} s");
            verdict.broken("no cold node pushed over", example);
        }
    }
}
