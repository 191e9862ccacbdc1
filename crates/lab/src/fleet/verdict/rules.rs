//! The rules that every run must keep, whatever a plan's bounds are.

use super::super::record::{Attempt, End, Observations, RequestRecord};
use super::{
    CHANCE_EXTRA_CALLS, CHANCE_ROOT_MULTIPLE, READY_MAX_S, READY_P90_S, SOCKET_SLACK_S, Verdict,
    VerdictCriteria, answer_due,
};
use std::collections::HashMap;

/// The time of a copy is truncated to milliseconds (seconds).
const COPY_TIME_PRECISION: f64 = 0.002;
/// The state of a ready node in a notification.
const NODE_READY: u8 = 0;

/// The states of a node, each with the time of its notification.
type NotifiedStates = Vec<(f64, u8)>;

/// Adds the violations of the rules, and the figures that belong to them.
pub(super) fn check(observed: &Observations, criteria: &VerdictCriteria, verdict: &mut Verdict) {
    for request in &observed.requests {
        check_answer(request, observed, criteria, verdict);
        check_purges(request, observed, criteria, verdict);
    }
    for _ in 0..observed.unconfirmed_calls {
        verdict.add_violation("operators are answered within 1 s", "a cordon without a yes".into());
    }
    check_keyed_attempts(observed, verdict);
    check_drains(observed, criteria, verdict);
    check_starts(observed, verdict);
    let mean_work = mean_work(observed);
    for &(node, started) in &observed.cold {
        check_cold_node(ColdStart { node, started, mean_work }, observed, criteria, verdict);
    }
}

/// Describes a request as the example of a violation.
fn request_example(request: &RequestRecord, observed: &Observations, why: &str) -> String {
    format!("{why}, asked of front {} at {:.2} s", request.front, request.at - observed.started_at)
}

fn check_answer(
    request: &RequestRecord,
    observed: &Observations,
    criteria: &VerdictCriteria,
    verdict: &mut Verdict,
) {
    let example = |why: &str| request_example(request, observed, why);
    if request.extra_answers > 0 {
        verdict.add_violation("one final answer", example("answered twice"));
    }
    if request.corrupted {
        verdict.add_violation("whole and unchanged", example("bytes of another object"));
    }
    let due = answer_due(request, criteria);
    match request.end {
        _ if request.excused => {}
        Some((at, End::Served | End::Refused | End::Failed)) if at > due => {
            let late_ms = (at - due) * 1000.0;
            verdict.add_violation("one final answer", example(&format!("{late_ms:.0} ms late")));
        }
        Some((_, End::Lost)) | None => verdict.add_violation("one final answer", example("lost")),
        _ => {}
    }
}

fn check_purges(
    request: &RequestRecord,
    observed: &Observations,
    criteria: &VerdictCriteria,
    verdict: &mut Verdict,
) {
    for purged in observed.purged.iter().filter(|purged| **purged + criteria.purge_slack < request.at) {
        if request.made.is_some_and(|made| made + COPY_TIME_PRECISION < *purged) {
            let example = request_example(request, observed, "an old copy");
            verdict.add_violation("no copy from before a purge", example);
        }
    }
}

/// Two attempts of a keyed request are never in flight at once.
fn check_keyed_attempts(observed: &Observations, verdict: &mut Verdict) {
    let mut keys: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &observed.attempts {
        attempt.arrival.key.into_iter().for_each(|key| keys.entry(key).or_default().push(attempt));
    }
    for (key, attempts) in keys {
        if attempts.windows(2).any(|pair| overlap(pair[0], pair[1])) {
            verdict.add_violation("never two attempts out", format!("key {key:016x}"));
        }
    }
}

/// Returns whether a front's second attempt arrived while its first was in flight.
fn overlap(first: &Attempt, second: &Attempt) -> bool {
    let ended = first.ended.unwrap_or(f64::MAX);
    second.arrival.at + SOCKET_SLACK_S < ended && second.arrival.front == first.arrival.front
}

/// Each front is judged by its own notifications and their times: two fronts may have different lists.
fn check_drains(observed: &Observations, criteria: &VerdictCriteria, verdict: &mut Verdict) {
    let mut states_by_node: HashMap<(usize, Option<usize>), NotifiedStates> = HashMap::new();
    for notification in &observed.notifications {
        let states = states_by_node.entry((notification.node, notification.front)).or_default();
        states.push((notification.at, notification.state));
    }
    states_by_node.values_mut().for_each(|states| states.sort_by(|a, b| a.0.total_cmp(&b.0)));
    for Attempt { arrival, .. } in &observed.attempts {
        for front in [None, Some(arrival.front)] {
            let Some(states) = states_by_node.get(&(arrival.node, front)) else { continue };
            let unready_since = unready_since(states, arrival.at);
            if unready_since.is_some_and(|since| arrival.at >= since + criteria.drain_grace + SOCKET_SLACK_S)
            {
                let at = arrival.at - observed.started_at;
                let example = format!("front {} to node {} at {at:.2} s", arrival.front, arrival.node);
                verdict.add_violation("nothing new to a draining node", example);
            }
        }
    }
}

/// The time of the first notification that a node isn't ready after the last one that it is, as of `at`.
fn unready_since(states: &NotifiedStates, at: f64) -> Option<f64> {
    let past = &states[..states.partition_point(|state| state.0 <= at)];
    let since_ready = past.iter().rposition(|state| state.1 == NODE_READY).map_or(0, |last| last + 1);
    past[since_ready..].first().map(|state| state.0)
}

/// Restarted fronts are ready in time.
fn check_starts(observed: &Observations, verdict: &mut Verdict) {
    let mut ready = observed.ready.clone();
    ready.sort_by(f64::total_cmp);
    let p90_rank = (ready.len() * 9).div_ceil(10);
    verdict.figures.ready_s = ready.get(p90_rank.saturating_sub(1)).copied();
    if let Some(late) = verdict.figures.ready_s.filter(|&seconds| seconds > READY_P90_S) {
        verdict.add_violation(
            "nine in ten restarted fronts are ready within 10 s",
            format!("after {late:.1} s"),
        );
    }
    for late in ready.iter().filter(|&&seconds| seconds > READY_MAX_S) {
        verdict.add_violation("a front is ready within 30 s", format!("after {late:.1} s"));
    }
}

/// The mean work of the attempts at cache nodes.
fn mean_work(observed: &Observations) -> f64 {
    let at_caches = observed.attempts.iter().filter(|attempt| observed.nodes[attempt.arrival.node].cache);
    let works = at_caches.map(|attempt| attempt.arrival.work);
    works.clone().sum::<f64>() / works.count().max(1) as f64
}

/// A cold node's start, with the mean work that its calls are counted in.
struct ColdStart {
    node: usize,
    started: f64,
    mean_work: f64,
}

/// A cold node gets no more than it can take in any window. Only its first excess beyond chance is a
/// violation.
fn check_cold_node(
    start: ColdStart,
    observed: &Observations,
    criteria: &VerdictCriteria,
    verdict: &mut Verdict,
) {
    let ColdStart { node, started, mean_work } = start;
    let cold = criteria.cold;
    let share = |at: f64| (cold.from + (1.0 - cold.from) * (at - started) / cold.time).min(1.0);
    let span = started..started + cold.time;
    let arrivals: Vec<(f64, f64)> = observed
        .attempts
        .iter()
        .filter(|attempt| attempt.arrival.node == node && span.contains(&attempt.arrival.at))
        .map(|attempt| (attempt.arrival.at, attempt.arrival.work))
        .collect();
    let mut is_overloaded = false;
    for (last, &(at, _)) in arrivals.iter().enumerate() {
        let in_window = arrivals[..=last].iter().rev().take_while(|attempt| attempt.0 > at - cold.window);
        let sent: f64 = in_window.map(|attempt| attempt.1).sum();
        let allowed = cold.multiple * share(at) * observed.nodes[node].link * cold.window / mean_work;
        let over = sent / mean_work - allowed;
        let excess = &mut verdict.figures.cold_excess;
        *excess = Some(excess.unwrap_or(f64::MIN).max(over / allowed.sqrt()));
        if !is_overloaded && over > CHANCE_ROOT_MULTIPLE * allowed.sqrt() + CHANCE_EXTRA_CALLS {
            is_overloaded = true;
            let (calls, at) = (sent / mean_work, at - observed.started_at);
            let example =
                format!("node {node} got {calls:.1} calls of mean work for {allowed:.1} at {at:.2} s");
            verdict.add_violation("no cold node pushed over", example);
        }
    }
}
