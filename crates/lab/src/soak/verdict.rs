//! The checks of a soak, applied sample by sample, and its report.

use super::clients::{Class, Clients};
use super::front::{Account, ProcessSample};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum relative difference of the mean RSS of the last quarter from that of the second.
const MAX_RSS_DRIFT: f64 = 0.03;
/// Runs shorter than this are short: their second quarter is still warming, and each quarter has only one
/// round.
const SHORT_RUN_SECONDS: f64 = 240.0;
/// Maximum relative RSS difference in a short run.
const MAX_RSS_DRIFT_SHORT: f64 = 0.10;
/// Minimum share of holds that must be served, also while other classes are refused.
const MIN_HOLDS_SERVED_SHARE: f64 = 0.99;

/// The maxima of an account over all samples, its last values and its refusals.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct AccountRow {
    most: u64,
    most_of_cap: f64,
    last: u64,
    cap: u64,
    refused: u64,
}

/// The report of a soak, which collects the violations.
#[derive(Debug, Default, Serialize)]
pub struct Verdict {
    seed: u64,
    seconds: f64,
    round: f64,
    limit: u64,
    samples: u64,
    accounts: BTreeMap<String, AccountRow>,
    resident_most: u64,
    /// Mean RSS of each quarter of the run, in bytes.
    resident: [f64; 4],
    descriptors_most: usize,
    levels: BTreeMap<String, u64>,
    classes: BTreeMap<&'static str, [u64; 5]>,
    /// Holds sent, and holds served, while other classes were refused.
    holds_while_refusing: (u64, u64),
    latency_ms: BTreeMap<&'static str, u64>,
    faults: Vec<String>,
    #[serde(skip)]
    resident_sums: [(f64, u64); 4],
    #[serde(skip)]
    previous_accounts: Option<BTreeMap<String, Account>>,
    #[serde(skip)]
    log_lines: Vec<String>,
}

impl Verdict {
    /// Creates the report of a run; `limit` is the memory limit in bytes.
    pub fn new(limit: usize, seconds: f64, round: f64, seed: u64) -> Self {
        Verdict { seed, seconds, round, limit: limit as u64, ..Verdict::default() }
    }

    fn record_fault(&mut self, what: String) {
        if self.faults.len() < 20 {
            eprintln!("onyxyoke-lab: {what}");
            self.faults.push(what);
        }
    }

    /// Checks a sample taken at this time of the run (seconds).
    pub fn sample(&mut self, at: f64, sample: ProcessSample) {
        self.samples += 1;
        *self.levels.entry(sample.level.clone()).or_default() += 1;
        self.resident_most = self.resident_most.max(sample.resident);
        self.descriptors_most = self.descriptors_most.max(sample.descriptors);
        if sample.resident > self.limit {
            self.record_fault(format!(
                "at {at:.1} s the process holds {} bytes, over its limit",
                sample.resident
            ));
        }
        let quarter = ((at / self.seconds * 4.0) as usize).min(3);
        self.resident_sums[quarter].0 += sample.resident as f64;
        self.resident_sums[quarter].1 += 1;
        let previous = self.previous_accounts.take();
        for (name, account) in &sample.accounts {
            // After a reload cuts a cap below the current use, the use may exceed it, but it must not grow
            // except out of the reserve.
            let previous_use = previous.as_ref().and_then(|b| b.get(name)).map_or(0, |a| a.now);
            if account.now > account.cap.max(previous_use + account.reserve) {
                self.record_fault(format!("at {at:.1} s '{name}' holds {} of {}", account.now, account.cap));
            }
            let row = self.accounts.entry(name.clone()).or_default();
            row.most = row.most.max(account.peak);
            if account.now <= account.cap {
                row.most_of_cap = row.most_of_cap.max(account.now as f64 / account.cap.max(1) as f64);
            }
            (row.last, row.cap, row.refused) = (account.now, row.cap.max(account.cap), account.refused);
        }
        self.previous_accounts = Some(sample.accounts);
    }

    /// Records that the front ended during the run.
    pub fn ended(&mut self, at: f64, lines: Vec<String>) {
        self.record_fault(format!("at {at:.1} s the front had ended"));
        self.log_lines = lines;
    }

    /// Records the clients' counts and violations.
    pub fn clients(&mut self, clients: &Clients) {
        for class in Class::ALL {
            let c = clients.counts(class);
            self.classes.insert(class.name(), [c.asked, c.served, c.refused, c.failed, c.aborted]);
        }
        let violations = [
            ("answers that nobody was owed", clients.unexpected.get()),
            ("requests whose connection ended without an answer", clients.lost.get()),
            ("answers after their time", clients.late.get()),
            ("answers with other bytes than the object's", clients.corrupted.get()),
            ("requests without an answer at the end", clients.pending() as u64),
        ];
        for (what, n) in violations.into_iter().filter(|v| v.1 > 0) {
            self.record_fault(format!("{n} {what}"));
        }
        self.holds_while_refusing = clients.holds_while_refusing.get();
        let latency = clients.latency.borrow();
        for (name, q) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            self.latency_ms.insert(name, latency.value_at_quantile(q));
        }
    }

    /// Records the front's exit after SIGTERM and makes the final checks.
    pub fn exit(&mut self, code: Option<i32>, lines: Vec<String>) {
        self.log_lines = lines;
        if code != Some(0) {
            self.record_fault(format!("the front exited with {code:?}"));
        }
        self.resident = self.resident_sums.map(|(sum, count)| sum / count.max(1) as f64);
        let [_, second, _, last] = self.resident;
        let allowed = if self.seconds < SHORT_RUN_SECONDS { MAX_RSS_DRIFT_SHORT } else { MAX_RSS_DRIFT };
        if (last - second).abs() > allowed * second {
            let drift = 100.0 * (last / second - 1.0);
            self.record_fault(format!("RSS of the last quarter differs by {drift:.1}% from the second's"));
        }
        let [asked, served, ..] = self.classes.get("holds").copied().unwrap_or_default();
        let while_refusing = self.holds_while_refusing;
        for (what, asked, served) in
            [("", asked, served), (" while others were refused", while_refusing.0, while_refusing.1)]
        {
            // One unserved hold is allowed if there were few.
            if ((served + 1) as f64) < MIN_HOLDS_SERVED_SHARE * asked as f64
                || asked > 100 && (served as f64) < MIN_HOLDS_SERVED_SHARE * asked as f64
            {
                self.record_fault(format!("{served} of {asked} holds were served{what}"));
            }
        }
        if !self.classes.values().any(|c| c[2] > 0) {
            self.record_fault("nothing was refused: the soak did not reach the caps".into());
        }
    }

    /// Returns whether no fault was recorded.
    pub fn held(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mb = |bytes: f64| bytes / 1e6;
        writeln!(
            f,
            "{} samples in {:.0} s, rounds of {:.0} s, seed {}",
            self.samples, self.seconds, self.round, self.seed
        )?;
        writeln!(
            f,
            "\n| account | most (MB) | cap (MB) | most, of cap | last (MB) | refused |\n| --- | --- | --- | --- | --- | --- |"
        )?;
        for (name, r) in &self.accounts {
            let (most, cap, last) = (mb(r.most as f64), mb(r.cap as f64), mb(r.last as f64));
            writeln!(
                f,
                "| {name} | {most:.2} | {cap:.2} | {:.2} | {last:.2} | {} |",
                r.most_of_cap, r.refused
            )?;
        }
        writeln!(
            f,
            "\n| class | asked | served | refused | failed | aborted |\n| --- | --- | --- | --- | --- | --- |"
        )?;
        for (name, [asked, served, refused, failed, aborted]) in &self.classes {
            writeln!(f, "| {name} | {asked} | {served} | {refused} | {failed} | {aborted} |")?;
        }
        let [a, b, c, d] = self.resident.map(mb);
        writeln!(
            f,
            "\nRSS by quarter {a:.2}, {b:.2}, {c:.2}, {d:.2} MB; most {:.2} of {:.0} MB",
            mb(self.resident_most as f64),
            mb(self.limit as f64)
        )?;
        writeln!(
            f,
            "descriptors at most {}; latency of the served (ms) {:?}",
            self.descriptors_most, self.latency_ms
        )?;
        writeln!(f, "pressure, in samples {:?}", self.levels)?;
        let (asked, served) = self.holds_while_refusing;
        writeln!(f, "holds while others were refused: {served} of {asked}")?;
        if self.held() {
            return writeln!(f, "all held");
        }
        self.faults.iter().try_for_each(|fault| writeln!(f, "FAULT: {fault}"))?;
        self.log_lines.iter().try_for_each(|line| writeln!(f, "  log: {line}"))
    }
}
