//! What a record comes to: how even, how idle, how many at once, what was served, and the rules. A pure function.

mod rules;

use super::plan::{Bounds, SignalSeries};
use super::record::{Asked, Attempt, End, Seen, WINDOW};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// What the judge is told beside the record.
#[derive(Debug, Clone)]
pub struct VerdictCriteria {
    /// The judged span, in Unix seconds.
    pub from: f64,
    pub until: f64,
    /// A cold node is sent at most so many times its present capacity over so long; it starts with this share and has
    /// all after this.
    pub cold: Cold,
    /// Purges are heeded, and drains, so long after they were told (seconds).
    pub purge_slack: f64,
    pub drain_grace: f64,
    pub answer_slack: f64,
    /// Fronts by location.
    pub fronts: Vec<usize>,
    pub bounds: Bounds,
}

/// The rule on cold nodes.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    pub from: f64,
    pub time: f64,
    pub multiple: f64,
    pub window: f64,
}

/// Time limits are longer by this on real sockets (seconds).
const SOCKETS: f64 = 0.05;
/// Beyond the N calls that a cold node bears, so many times the root of N and so many more are put down to chance.
const CHANCE: (f64, f64) = (2.0, 2.0);
/// Of the fronts that are started again, nine in ten are ready within the first, and all within the second (seconds).
pub const READY: (f64, f64) = (10.0, 30.0);
/// What was asked so long before a series of signals, and so long after its end, is counted with it: the longest deadline, and
/// what comes up after a start (seconds).
const BEFORE_CYCLE: f64 = 5.0;
const AFTER_CYCLE: f64 = 0.5;
/// Herds are counted this long after an event (seconds).
const HERD: f64 = 0.1;
/// A node that is well again has its part after this (seconds).
const BACK: f64 = 8.0;
/// No verdict is given where the stand-ins were later than this at one in a hundred (microseconds).
pub const RIG_LATE: u64 = 50_000;

/// The figures.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    pub asked: usize,
    pub served: f64,
    pub in_time: f64,
    pub refused: f64,
    pub failed: f64,
    pub unreached: f64,
    /// Within this 99 of 100 served ones were answered (seconds).
    pub p99_s: f64,
    pub most: f64,
    pub least: f64,
    pub idle_s: f64,
    /// Most fronts at one node within 0.1 s of an event, what chance gives, and the first by the second.
    pub herd: usize,
    pub herd_by_chance: f64,
    pub herd_times: f64,
    pub hits: f64,
    pub origin: f64,
    /// Attempts for each request.
    pub attempts: f64,
    /// Part by the mean of nodes that are well again: after 8 s, and at its most within them.
    pub back_least: Option<f64>,
    pub back_most: Option<f64>,
    /// What cold nodes got at most in the time in which they fall, beyond the N calls of mean work that they bear, in
    /// times the root of N.
    pub cold_excess: Option<f64>,
    /// Nine in ten of the fronts that were started again took clients within this (seconds).
    pub ready_s: Option<f64>,
    pub rig_late_ms: f64,
}

/// Rules and bounds that did not hold, and the figures.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Verdict {
    pub figures: Figures,
    /// Broken rules, by name, with how often and an example.
    pub rules: BTreeMap<String, (usize, String)>,
    /// What fronts' processes were sent, with what became of requests meanwhile.
    pub cycles: BTreeMap<SignalSeries, CycleFigures>,
    pub bounds: Vec<String>,
    /// The stand-ins ran late: nothing above says anything of the fronts.
    pub none: bool,
}

/// What became of a front's requests while its process was sent signals, and shortly after.
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
    /// The sum of two.
    pub fn and(self, more: CycleFigures) -> CycleFigures {
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
    pub fn held(&self) -> bool {
        !self.none && self.rules.is_empty() && self.bounds.is_empty()
    }

    fn broken(&mut self, rule: &str, example: String) {
        self.rules.entry(rule.to_owned()).or_insert((0, example)).0 += 1;
    }
}

/// Judges a record.
pub fn judge(seen: &Seen, terms: &VerdictCriteria) -> Verdict {
    let mut verdict = Verdict { figures: clients(seen, terms), ..Verdict::default() };
    let f = &mut verdict.figures;
    evenness(seen, terms, f);
    f.idle_s = idle(seen, terms);
    herd(seen, terms, f);
    back(seen, terms, f);
    f.rig_late_ms = seen.late.value_at_quantile(0.99) as f64 / 1000.0;
    verdict.none = seen.late.value_at_quantile(0.99) > RIG_LATE;
    rules::check(seen, terms, &mut verdict);
    cycles(seen, terms, &mut verdict);
    let bounds = &terms.bounds;
    let f = verdict.figures.clone();
    let mut bound = |name: &str, value: f64, bound: Option<f64>, least: bool| {
        if let Some(b) = bound.filter(|b| if least { value < *b } else { value > *b }) {
            verdict
                .bounds
                .push(format!("{name} is {value:.3}, {} {b}", if least { "under" } else { "over" }));
        }
    };
    bound("served", f.served, bounds.served, true);
    bound("in_time", f.in_time, bounds.in_time, true);
    bound("most", f.most, bounds.most, false);
    bound("least", f.least, bounds.least, true);
    bound("idle_s", f.idle_s, bounds.idle_s, false);
    bound("herd", f.herd_times, bounds.herd, false);
    bound("back_least", f.back_least.unwrap_or(1.0), bounds.back_least, true);
    bound("back_most", f.back_most.unwrap_or(1.0), bounds.back_most, false);
    bound("hits", f.hits, bounds.hits, true);
    verdict
}

fn clients(seen: &Seen, terms: &VerdictCriteria) -> Figures {
    let judged = || seen.asked.iter().filter(|a| (terms.from..terms.until).contains(&a.at));
    let all = judged().count().max(1) as f64;
    let share = |end: End| judged().filter(|a| a.end.is_some_and(|e| e.1 == end)).count() as f64 / all;
    let in_time = judged()
        .filter(|a| a.end.is_some_and(|(at, end)| end == End::Served && at <= a.at + a.aim + SOCKETS))
        .count();
    let mut took = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    for (asked, (at, _)) in judged().filter_map(|a| Some((a.at, a.end.filter(|e| e.1 == End::Served)?))) {
        took.saturating_record(((at - asked).max(0.0) * 1e6) as u64);
    }
    let attempts = || seen.attempts.iter().filter(|a| (terms.from..terms.until).contains(&a.came.at));
    let work = |of: &dyn Fn(&Attempt) -> bool| attempts().filter(|a| of(a)).map(|a| a.came.work).sum::<f64>();
    let total = work(&|_| true).max(1e-9);
    Figures {
        asked: all as usize,
        served: share(End::Served),
        in_time: in_time as f64 / all,
        refused: share(End::Refused),
        failed: share(End::Failed) + share(End::Lost),
        unreached: share(End::Unreached),
        p99_s: took.value_at_quantile(0.99) as f64 / 1e6,
        hits: 1.0 - work(&|a| a.came.filled) / total,
        origin: work(&|a| a.came.origin) / total,
        attempts: attempts().count() as f64 / all,
        ..Figures::default()
    }
}

/// Nodes of one location that were up and well all the time, by place.
fn whole(seen: &Seen, terms: &VerdictCriteria, location: usize) -> Vec<usize> {
    let troubled = |n: usize| seen.troubled.iter().any(|t| t.0 == n && t.1 < terms.until && t.2 > terms.from);
    let here = |n: &usize| seen.nodes[*n].cache && seen.nodes[*n].location == location && !troubled(*n);
    (0..seen.nodes.len()).filter(here).collect()
}

/// Work of a node from and until, per unit of link.
fn work(seen: &Seen, node: usize, from: f64, until: f64) -> f64 {
    let at = |t: f64| (((t - seen.began) / WINDOW).max(0.0) as usize).min(seen.done[node].len());
    seen.done[node][at(from)..at(until)].iter().sum()
}

fn evenness(seen: &Seen, terms: &VerdictCriteria, f: &mut Figures) {
    (f.most, f.least) = (0.0, f64::MAX);
    for location in 0..terms.fronts.len() {
        let nodes = whole(seen, terms, location);
        let works: Vec<f64> = nodes.iter().map(|&n| work(seen, n, terms.from, terms.until)).collect();
        let mean = works.iter().sum::<f64>() / works.len().max(1) as f64;
        if mean > 0.0 {
            f.most = works.iter().map(|w| w / mean).fold(f.most, f64::max);
            f.least = works.iter().map(|w| w / mean).fold(f.least, f64::min);
        }
    }
}

/// The longest time in which a node that was well had nothing to do, while its location was asked once a node at least.
fn idle(seen: &Seen, terms: &VerdictCriteria) -> f64 {
    let mut longest = 0.0f64;
    for location in 0..terms.fronts.len() {
        let nodes = whole(seen, terms, location);
        let came: Vec<(f64, usize, f64)> = seen
            .attempts
            .iter()
            .filter(|a| (terms.from..terms.until).contains(&a.came.at) && nodes.contains(&a.came.node))
            .map(|a| (a.came.at, a.came.node, a.ended.unwrap_or(terms.until)))
            .collect();
        for &node in &nodes {
            let mut free = terms.from;
            let of = came.iter().filter(|c| c.1 == node).map(|c| (c.0, c.2));
            for (at, ended) in of.chain([(terms.until, terms.until)]) {
                let others = came.iter().filter(|c| c.0 > free && c.0 < at).count();
                if at - free > longest && others >= nodes.len() {
                    longest = at - free;
                }
                free = free.max(ended);
            }
        }
    }
    longest
}

/// Different fronts that turn to one node within `HERD` of a time.
fn turned(seen: &Seen, at: f64) -> usize {
    let mut fronts: HashMap<usize, BTreeSet<usize>> = HashMap::new();
    for a in seen.attempts.iter().filter(|a| (at..at + HERD).contains(&a.came.at)) {
        if seen.nodes[a.came.node].cache {
            fronts.entry(a.came.node).or_default().insert(a.came.front);
        }
    }
    fronts.values().map(BTreeSet::len).max().unwrap_or(0)
}

/// The largest herd in the seconds after events, beside the largest of as many calm moments.
fn herd(seen: &Seen, terms: &VerdictCriteria, f: &mut Figures) {
    let spans = |at: f64| (0..20).map(move |i| at + f64::from(i) * HERD);
    let inside = |at: &f64| (terms.from..terms.until).contains(at);
    for &event in seen.events.iter().filter(|e| inside(e)) {
        f.herd = spans(event).filter(inside).map(|at| turned(seen, at)).fold(f.herd, usize::max);
    }
    let calm = |at: &f64| inside(at) && seen.events.iter().all(|e| at + HERD < *e || *at > e + 10.0);
    let mut at = terms.from;
    let mut largest = Vec::new();
    while at < terms.until {
        let span = spans(at).filter(calm).map(|at| turned(seen, at)).max();
        largest.extend(span.map(|s| s as f64));
        at += 20.0 * HERD;
    }
    if !largest.is_empty() {
        largest.sort_by(f64::total_cmp);
        f.herd_by_chance = largest[largest.len() / 2];
    }
    f.herd_times = f.herd as f64 / f.herd_by_chance.max(1.0);
}

/// The part that nodes have that are well again.
fn back(seen: &Seen, terms: &VerdictCriteria, f: &mut Figures) {
    let mut parts: BTreeMap<u64, (f64, f64, f64)> = BTreeMap::new();
    for &(node, _, well) in seen.troubled.iter().filter(|t| t.2 < terms.until - BACK - 4.0) {
        let others = whole(seen, terms, seen.nodes[node].location);
        if others.is_empty() || !seen.nodes[node].cache {
            continue;
        }
        let part = |from: f64, until: f64| {
            let all: f64 = others.iter().map(|&n| work(seen, n, from, until)).sum();
            work(seen, node, from, until) * others.len() as f64 / all.max(1e-9)
        };
        let late = part(well + BACK, (well + BACK + 20.0).min(terms.until));
        // Nodes that came back together are judged in their mean: one has too little to tell by.
        let sum = parts.entry((well * 10.0) as u64).or_default();
        *sum = (sum.0 + late, sum.1 + part(well + 0.5, well + BACK), sum.2 + 1.0);
    }
    let least = parts.values().map(|p| p.0 / p.2).reduce(f64::min);
    let most = parts.values().map(|p| p.1 / p.2).reduce(f64::max);
    (f.back_least, f.back_most) = (least, most);
}

/// When an answer is late; never, where its client itself was late to read it.
fn answer_by(asked: &Asked, terms: &VerdictCriteria) -> f64 {
    let within = if asked.paced { f64::INFINITY } else { asked.deadline };
    asked.at + within + terms.answer_slack + SOCKETS
}

/// What broke while fronts' processes came and went, by what they were sent.
fn cycles(seen: &Seen, terms: &VerdictCriteria, verdict: &mut Verdict) {
    for cycle in &seen.cycles {
        let during = |at: f64, front: usize| {
            front == cycle.front && (cycle.from - BEFORE_CYCLE..cycle.until + AFTER_CYCLE).contains(&at)
        };
        let figures = verdict.cycles.entry(cycle.series).or_default();
        figures.times += 1;
        for asked in seen.asked.iter().filter(|a| during(a.at, a.front)) {
            let late = asked.end.is_some_and(|(at, end)| at > answer_by(asked, terms) && end != End::Lost);
            figures.asked += 1;
            figures.lost += usize::from(!asked.excused && matches!(asked.end, None | Some((_, End::Lost))));
            figures.duplicated += usize::from(asked.again > 0);
            figures.late += usize::from(late);
        }
        figures.refused_connections += seen.refused.iter().filter(|r| during(r.0, r.1)).count();
        figures.wrong_ends += seen.ends.iter().filter(|e| during(e.0, e.1)).count();
    }
    let since = |at: f64| at - seen.began;
    for (at, front, what) in &seen.ends {
        verdict.broken(
            "a process ends and starts as it is told",
            format!("front {front} at {:.2} s: {what}", since(*at)),
        );
    }
    for (at, front) in &seen.refused {
        let example = format!("front {front} at {:.2} s", since(*at));
        verdict.broken("a process takes connections as long as the platform sends some", example);
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let f = &self.figures;
        writeln!(
            out,
            "asked {}: served {:.4}, in time {:.4}, refused {:.4}, failed {:.4}, no front {:.4}; {:.3} attempts each, p99 {:.2} s",
            f.asked, f.served, f.in_time, f.refused, f.failed, f.unreached, f.attempts, f.p99_s
        )?;
        writeln!(
            out,
            "work per unit of link, by the mean: most {:.2}, least {:.2}; longest idle {:.1} s",
            f.most, f.least, f.idle_s
        )?;
        writeln!(
            out,
            "herd after an event: {} fronts at one node in 0.1 s, by chance {:.0}",
            f.herd, f.herd_by_chance
        )?;
        if let (Some(least), Some(most)) = (f.back_least, f.back_most) {
            writeln!(out, "nodes well again: {most:.2} of their part within 8 s, {least:.2} after that")?;
        }
        if let Some(excess) = f.cold_excess {
            writeln!(out, "cold nodes: {excess:.2} times the root of N calls over N at most")?;
        }
        if let Some(ready) = f.ready_s {
            writeln!(out, "fronts started again: nine in ten ready within {ready:.2} s")?;
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
        writeln!(out, "stand-ins late by {:.1} ms at one in a hundred; {end}", f.rig_late_ms)
    }
}

#[cfg(test)]
mod tests;
