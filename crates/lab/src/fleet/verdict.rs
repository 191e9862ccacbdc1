//! Judges a run from its observations: load balance, idle nodes, herds, served requests and the rules. It has
//! no side effects.

mod rules;

use super::plan::{Bounds, SignalSeries};
use super::record::{Attempt, End, Observations, RequestRecord, WORK_WINDOW_S};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// What `judge` needs beside the observations.
#[derive(Debug, Clone)]
pub struct VerdictCriteria {
    /// The judged span, in Unix seconds.
    pub from: f64,
    pub until: f64,
    pub cold: ColdStartLimit,
    /// Fronts follow a purge or a drain at most this long after its notification (seconds).
    pub purge_slack: f64,
    pub drain_grace: f64,
    /// Answers may be this much later than the deadline (seconds).
    pub answer_slack: f64,
    /// Number of fronts in each location.
    pub fronts: Vec<usize>,
    pub bounds: Bounds,
}

/// The rule on cold nodes: within each window a cold node receives at most a multiple of its present
/// capacity.
#[derive(Debug, Clone, Copy)]
pub struct ColdStartLimit {
    /// The share of its capacity that a node has when it starts.
    pub from: f64,
    /// The time after which it has its full capacity (seconds).
    pub time: f64,
    pub multiple: f64,
    /// Seconds.
    pub window: f64,
}

/// Tolerance that real sockets add to every time limit (seconds).
const SOCKET_SLACK_S: f64 = 0.05;
/// A cold node that can take N calls may get this multiple of the square root of N more by chance, and
/// `CHANCE_EXTRA_CALLS`.
const CHANCE_ROOT_MULTIPLE: f64 = 2.0;
const CHANCE_EXTRA_CALLS: f64 = 2.0;
/// Nine in ten of the restarted fronts are ready within this time (seconds).
const READY_P90_S: f64 = 10.0;
/// Every restarted front is ready within this time (seconds).
pub const READY_MAX_S: f64 = 30.0;
/// Requests sent at most this long before a series of signals count towards it: the longest deadline
/// (seconds).
const CYCLE_LEAD_S: f64 = 5.0;
/// Requests sent at most this long after a series of signals count towards it: faults that follow a start
/// (seconds).
const CYCLE_TAIL_S: f64 = 0.5;
/// The interval over which the fronts at one node are counted as a herd (seconds).
const HERD_WINDOW_S: f64 = 0.1;
/// A recovered node has its share of the load again after this time (seconds).
const RECOVERY_S: f64 = 8.0;
/// There is no verdict where the 99th percentile of the stand-ins' lateness is over this (microseconds).
pub const MAX_RIG_LATENESS_US: u64 = 50_000;

/// Measurements of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    pub asked: usize,
    pub served: f64,
    pub in_time: f64,
    pub refused: f64,
    pub failed: f64,
    pub unreached: f64,
    /// 99th percentile of the time to a served answer (seconds).
    pub p99_s: f64,
    /// Work of the most and of the least loaded node, relative to the mean of its location.
    pub most: f64,
    pub least: f64,
    /// The longest time that a healthy node had nothing to do (seconds).
    pub idle_s: f64,
    /// The most fronts at one node within 0.1 s of an event, the same at calm times, and their ratio.
    pub herd: usize,
    pub herd_by_chance: f64,
    pub herd_times: f64,
    /// Shares of the work that came from copies and from the origin.
    pub hits: f64,
    pub origin: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// Load of recovered nodes relative to the mean: the least after 8 s, and the most within them.
    pub back_least: Option<f64>,
    pub back_most: Option<f64>,
    /// The largest excess of a cold node over the N calls of mean work that it can take in a window, in
    /// multiples of the square root of N.
    pub cold_excess: Option<f64>,
    /// The time within which nine in ten of the restarted fronts accepted clients (seconds).
    pub ready_s: Option<f64>,
    /// 99th percentile of the stand-ins' lateness.
    pub rig_late_ms: f64,
}

/// The figures of a run, and the rules and bounds that it broke.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Verdict {
    pub figures: Figures,
    /// Broken rules by name, each with its number of violations and the first as an example.
    pub rules: BTreeMap<String, (usize, String)>,
    /// What became of requests during each series of signals.
    pub cycles: BTreeMap<SignalSeries, CycleFigures>,
    /// Bounds of the plan that were missed.
    pub bounds: Vec<String>,
    /// There is no verdict: the stand-ins ran late, so the figures don't describe the fronts.
    pub none: bool,
}

/// What became of a front's requests during a series of signals, and shortly before and after.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct CycleFigures {
    pub times: usize,
    pub asked: usize,
    pub lost: usize,
    pub duplicated: usize,
    pub late: usize,
    pub refused_connections: usize,
    pub wrong_ends: usize,
}

impl CycleFigures {
    /// The sums of both figures, field by field.
    pub fn plus(self, more: CycleFigures) -> CycleFigures {
        CycleFigures {
            times: self.times + more.times,
            asked: self.asked + more.asked,
            lost: self.lost + more.lost,
            duplicated: self.duplicated + more.duplicated,
            late: self.late + more.late,
            refused_connections: self.refused_connections + more.refused_connections,
            wrong_ends: self.wrong_ends + more.wrong_ends,
        }
    }
}

impl Verdict {
    /// Returns whether there is a verdict, and no rule or bound was broken.
    pub fn held(&self) -> bool {
        !self.none && self.rules.is_empty() && self.bounds.is_empty()
    }

    fn add_violation(&mut self, rule: &str, example: String) {
        self.rules.entry(rule.to_owned()).or_insert((0, example)).0 += 1;
    }
}

/// Judges a run.
pub fn judge(observed: &Observations, criteria: &VerdictCriteria) -> Verdict {
    let mut verdict = Verdict { figures: client_figures(observed, criteria), ..Verdict::default() };
    let f = &mut verdict.figures;
    measure_evenness(observed, criteria, f);
    f.idle_s = longest_idle_s(observed, criteria);
    measure_herds(observed, criteria, f);
    measure_recovery(observed, criteria, f);
    f.rig_late_ms = observed.late.value_at_quantile(0.99) as f64 / 1000.0;
    verdict.none = observed.late.value_at_quantile(0.99) > MAX_RIG_LATENESS_US;
    rules::check(observed, criteria, &mut verdict);
    count_cycles(observed, criteria, &mut verdict);
    let bounds = &criteria.bounds;
    let f = verdict.figures.clone();
    let mut check_bound = |name: &str, value: f64, bound: Option<f64>, is_minimum: bool| {
        if let Some(missed) = bound.filter(|b| if is_minimum { value < *b } else { value > *b }) {
            let side = if is_minimum { "under" } else { "over" };
            verdict.bounds.push(format!("{name} is {value:.3}, {side} {missed}"));
        }
    };
    check_bound("served", f.served, bounds.served, true);
    check_bound("in_time", f.in_time, bounds.in_time, true);
    check_bound("most", f.most, bounds.most, false);
    check_bound("least", f.least, bounds.least, true);
    check_bound("idle_s", f.idle_s, bounds.idle_s, false);
    check_bound("herd", f.herd_times, bounds.herd, false);
    check_bound("back_least", f.back_least.unwrap_or(1.0), bounds.back_least, true);
    check_bound("back_most", f.back_most.unwrap_or(1.0), bounds.back_most, false);
    check_bound("hits", f.hits, bounds.hits, true);
    verdict
}

/// The figures of clients' requests and of the nodes' work.
fn client_figures(observed: &Observations, criteria: &VerdictCriteria) -> Figures {
    let judged = || observed.requests.iter().filter(|a| (criteria.from..criteria.until).contains(&a.at));
    let total_requests = judged().count().max(1) as f64;
    let share =
        |end: End| judged().filter(|a| a.end.is_some_and(|e| e.1 == end)).count() as f64 / total_requests;
    let in_time = judged()
        .filter(|a| a.end.is_some_and(|(at, end)| end == End::Served && at <= a.at + a.aim + SOCKET_SLACK_S))
        .count();
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    for (sent, (at, _)) in judged().filter_map(|a| Some((a.at, a.end.filter(|e| e.1 == End::Served)?))) {
        latencies.saturating_record(((at - sent).max(0.0) * 1e6) as u64);
    }
    let attempts =
        || observed.attempts.iter().filter(|a| (criteria.from..criteria.until).contains(&a.arrival.at));
    let work_where = |is_counted: &dyn Fn(&Attempt) -> bool| {
        attempts().filter(|a| is_counted(a)).map(|a| a.arrival.work).sum::<f64>()
    };
    let total_work = work_where(&|_| true).max(1e-9);
    Figures {
        asked: total_requests as usize,
        served: share(End::Served),
        in_time: in_time as f64 / total_requests,
        refused: share(End::Refused),
        failed: share(End::Failed) + share(End::Lost),
        unreached: share(End::Unreached),
        p99_s: latencies.value_at_quantile(0.99) as f64 / 1e6,
        hits: 1.0 - work_where(&|a| a.arrival.filled) / total_work,
        origin: work_where(&|a| a.arrival.origin) / total_work,
        attempts: attempts().count() as f64 / total_requests,
        ..Figures::default()
    }
}

/// The cache nodes of a location that were healthy throughout the judged span.
fn healthy_caches(observed: &Observations, criteria: &VerdictCriteria, location: usize) -> Vec<usize> {
    let troubled = |n: usize| {
        observed.impairments.iter().any(|t| t.0 == n && t.1 < criteria.until && t.2 > criteria.from)
    };
    let here =
        |n: &usize| observed.nodes[*n].cache && observed.nodes[*n].location == location && !troubled(*n);
    (0..observed.nodes.len()).filter(here).collect()
}

/// Work of a node in a span of time, per unit of link.
fn node_work(observed: &Observations, node: usize, from: f64, until: f64) -> f64 {
    let window_at = |time: f64| {
        (((time - observed.started_at) / WORK_WINDOW_S).max(0.0) as usize).min(observed.done[node].len())
    };
    observed.done[node][window_at(from)..window_at(until)].iter().sum()
}

/// Compares the work of the healthy nodes of each location.
fn measure_evenness(observed: &Observations, criteria: &VerdictCriteria, f: &mut Figures) {
    (f.most, f.least) = (0.0, f64::MAX);
    for location in 0..criteria.fronts.len() {
        let nodes = healthy_caches(observed, criteria, location);
        let works: Vec<f64> =
            nodes.iter().map(|&n| node_work(observed, n, criteria.from, criteria.until)).collect();
        let mean = works.iter().sum::<f64>() / works.len().max(1) as f64;
        if mean > 0.0 {
            f.most = works.iter().map(|w| w / mean).fold(f.most, f64::max);
            f.least = works.iter().map(|w| w / mean).fold(f.least, f64::min);
        }
    }
}

/// The longest time that a healthy node had nothing to do while its location got at least as many attempts as
/// it has nodes.
fn longest_idle_s(observed: &Observations, criteria: &VerdictCriteria) -> f64 {
    let mut longest = 0.0f64;
    for location in 0..criteria.fronts.len() {
        let nodes = healthy_caches(observed, criteria, location);
        let arrivals: Vec<(f64, usize, f64)> = observed
            .attempts
            .iter()
            .filter(|a| {
                (criteria.from..criteria.until).contains(&a.arrival.at) && nodes.contains(&a.arrival.node)
            })
            .map(|a| (a.arrival.at, a.arrival.node, a.ended.unwrap_or(criteria.until)))
            .collect();
        for &node in &nodes {
            let mut free_since = criteria.from;
            let own = arrivals.iter().filter(|c| c.1 == node).map(|c| (c.0, c.2));
            for (at, ended) in own.chain([(criteria.until, criteria.until)]) {
                let others = arrivals.iter().filter(|c| c.0 > free_since && c.0 < at).count();
                if at - free_since > longest && others >= nodes.len() {
                    longest = at - free_since;
                }
                free_since = free_since.max(ended);
            }
        }
    }
    longest
}

/// The most fronts that call the same cache node within `HERD_WINDOW_S` after a time.
fn most_fronts_at_a_node(observed: &Observations, at: f64) -> usize {
    let mut fronts: HashMap<usize, BTreeSet<usize>> = HashMap::new();
    for a in observed.attempts.iter().filter(|a| (at..at + HERD_WINDOW_S).contains(&a.arrival.at)) {
        if observed.nodes[a.arrival.node].cache {
            fronts.entry(a.arrival.node).or_default().insert(a.arrival.front);
        }
    }
    fronts.values().map(BTreeSet::len).max().unwrap_or(0)
}

/// The largest herd within 2 s after events, compared with the median of the largest herds of calm spans as
/// long.
fn measure_herds(observed: &Observations, criteria: &VerdictCriteria, f: &mut Figures) {
    let windows_from = |at: f64| (0..20).map(move |i| at + f64::from(i) * HERD_WINDOW_S);
    let is_judged = |at: &f64| (criteria.from..criteria.until).contains(at);
    for &event in observed.events.iter().filter(|e| is_judged(e)) {
        f.herd = windows_from(event)
            .filter(is_judged)
            .map(|at| most_fronts_at_a_node(observed, at))
            .fold(f.herd, usize::max);
    }
    let is_calm =
        |at: &f64| is_judged(at) && observed.events.iter().all(|e| at + HERD_WINDOW_S < *e || *at > e + 10.0);
    let mut at = criteria.from;
    let mut calm_herds = Vec::new();
    while at < criteria.until {
        let largest = windows_from(at).filter(is_calm).map(|at| most_fronts_at_a_node(observed, at)).max();
        calm_herds.extend(largest.map(|fronts| fronts as f64));
        at += 20.0 * HERD_WINDOW_S;
    }
    if !calm_herds.is_empty() {
        calm_herds.sort_by(f64::total_cmp);
        f.herd_by_chance = calm_herds[calm_herds.len() / 2];
    }
    f.herd_times = f.herd as f64 / f.herd_by_chance.max(1.0);
}

/// Compares the load of recovered nodes with that of the healthy nodes of their location.
fn measure_recovery(observed: &Observations, criteria: &VerdictCriteria, f: &mut Figures) {
    let mut sums: BTreeMap<u64, (f64, f64, f64)> = BTreeMap::new();
    for &(node, _, recovered) in
        observed.impairments.iter().filter(|t| t.2 < criteria.until - RECOVERY_S - 4.0)
    {
        let others = healthy_caches(observed, criteria, observed.nodes[node].location);
        if others.is_empty() || !observed.nodes[node].cache {
            continue;
        }
        let load = |from: f64, until: f64| {
            let total: f64 = others.iter().map(|&n| node_work(observed, n, from, until)).sum();
            node_work(observed, node, from, until) * others.len() as f64 / total.max(1e-9)
        };
        let after_recovery =
            load(recovered + RECOVERY_S, (recovered + RECOVERY_S + 20.0).min(criteria.until));
        // Nodes that recovered together are judged by their mean: a single one has too little work for a
        // stable figure.
        let sum = sums.entry((recovered * 10.0) as u64).or_default();
        *sum = (sum.0 + after_recovery, sum.1 + load(recovered + 0.5, recovered + RECOVERY_S), sum.2 + 1.0);
    }
    let least = sums.values().map(|p| p.0 / p.2).reduce(f64::min);
    let most = sums.values().map(|p| p.1 / p.2).reduce(f64::max);
    (f.back_least, f.back_most) = (least, most);
}

/// The time by which an answer is due; a client that reads at its own pace has no such time.
fn answer_due(request: &RequestRecord, criteria: &VerdictCriteria) -> f64 {
    let patience = if request.paced { f64::INFINITY } else { request.deadline };
    request.at + patience + criteria.answer_slack + SOCKET_SLACK_S
}

/// Counts what became of requests during each series of signals, and adds the violations of fronts'
/// processes.
fn count_cycles(observed: &Observations, criteria: &VerdictCriteria, verdict: &mut Verdict) {
    for cycle in &observed.cycles {
        let during = |at: f64, front: usize| {
            front == cycle.front && (cycle.from - CYCLE_LEAD_S..cycle.until + CYCLE_TAIL_S).contains(&at)
        };
        let figures = verdict.cycles.entry(cycle.series).or_default();
        figures.times += 1;
        for request in observed.requests.iter().filter(|a| during(a.at, a.front)) {
            let late =
                request.end.is_some_and(|(at, end)| at > answer_due(request, criteria) && end != End::Lost);
            figures.asked += 1;
            figures.lost +=
                usize::from(!request.excused && matches!(request.end, None | Some((_, End::Lost))));
            figures.duplicated += usize::from(request.extra_answers > 0);
            figures.late += usize::from(late);
        }
        figures.refused_connections += observed.refused.iter().filter(|r| during(r.0, r.1)).count();
        figures.wrong_ends += observed.failed_ends.iter().filter(|e| during(e.0, e.1)).count();
    }
    let since = |at: f64| at - observed.started_at;
    for (at, front, what) in &observed.failed_ends {
        verdict.add_violation(
            "a process ends and starts as it is told",
            format!("front {front} at {:.2} s: {what}", since(*at)),
        );
    }
    for (at, front) in &observed.refused {
        let example = format!("front {front} at {:.2} s", since(*at));
        verdict.add_violation("a process takes connections as long as the platform sends some", example);
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let f = &self.figures;
        writeln!(
            out,
            "asked {}: served {:.4}, in time {:.4}, refused {:.4}, failed {:.4}, no front {:.4}; \
             {:.3} attempts each, p99 {:.2} s",
            f.asked, f.served, f.in_time, f.refused, f.failed, f.unreached, f.attempts, f.p99_s
        )?;
        writeln!(
            out,
            "work per unit of link, relative to the mean: most {:.2}, least {:.2}; longest idle {:.1} s",
            f.most, f.least, f.idle_s
        )?;
        writeln!(
            out,
            "herd after an event: {} fronts at one node in 0.1 s, at calm times {:.0}",
            f.herd, f.herd_by_chance
        )?;
        if let (Some(least), Some(most)) = (f.back_least, f.back_most) {
            writeln!(out, "nodes recovered: {most:.2} of the mean load within 8 s, {least:.2} after that")?;
        }
        if let Some(excess) = f.cold_excess {
            writeln!(
                out,
                "cold nodes: at most {excess:.2} times the square root of N over the N calls allowed"
            )?;
        }
        if let Some(ready) = f.ready_s {
            writeln!(out, "fronts restarted: nine in ten ready within {ready:.2} s")?;
        }
        writeln!(out, "bytes from copies {:.3}, from the origin {:.3}", f.hits, f.origin)?;
        for (rule, (times, example)) in &self.rules {
            writeln!(out, "BROKEN: {rule}, {times} times: {example}")?;
        }
        self.bounds.iter().try_for_each(|b| writeln!(out, "NOT HELD: {b}"))?;
        let end = match (self.none, self.held()) {
            (true, _) => "no verdict: the stand-ins ran late",
            (_, true) => "all held",
            _ => "not held",
        };
        writeln!(out, "stand-ins late by {:.1} ms at the 99th percentile; {end}", f.rig_late_ms)
    }
}

#[cfg(test)]
mod tests;
