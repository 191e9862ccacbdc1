//! What a soak must show, judged sample by sample, and its report.

use super::clients::{Class, Clients};
use super::front::{Account, ProcessSample};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// RSS of the last quarter may differ so much from that of the second; in runs of under so many seconds, whose second
/// quarter is still warming up and whose quarters see one round each, by more.
const DRIFT: (f64, f64, f64) = (0.03, 240.0, 0.10);
/// Holds that must be served of those asked, also while others are refused.
const HOLDS: f64 = 0.99;

/// The most that was seen of an account, and what it refused.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Row {
    most: u64,
    most_of_cap: f64,
    last: u64,
    cap: u64,
    refused: u64,
}

/// The report.
#[derive(Debug, Default, Serialize)]
pub struct Verdict {
    seed: u64,
    seconds: f64,
    round: f64,
    limit: u64,
    samples: u64,
    accounts: BTreeMap<String, Row>,
    resident_most: u64,
    /// Mean RSS of each quarter.
    resident: [f64; 4],
    descriptors_most: usize,
    levels: BTreeMap<String, u64>,
    classes: BTreeMap<&'static str, [u64; 5]>,
    /// Holds asked and served about a time at which others were refused.
    holds_while_refusing: (u64, u64),
    latency_ms: BTreeMap<&'static str, u64>,
    faults: Vec<String>,
    #[serde(skip)]
    sums: [(f64, u64); 4],
    #[serde(skip)]
    before: Option<BTreeMap<String, Account>>,
    #[serde(skip)]
    lines: Vec<String>,
}

impl Verdict {
    pub fn new(limit: usize, seconds: f64, round: f64, seed: u64) -> Self {
        Verdict { seed, seconds, round, limit: limit as u64, ..Verdict::default() }
    }

    fn fault(&mut self, what: String) {
        if self.faults.len() < 20 {
            eprintln!("onyxyoke-lab: {what}");
            self.faults.push(what);
        }
    }

    /// A look at this time of the run (seconds).
    pub fn sample(&mut self, at: f64, look: ProcessSample) {
        self.samples += 1;
        *self.levels.entry(look.level.clone()).or_default() += 1;
        self.resident_most = self.resident_most.max(look.resident);
        self.descriptors_most = self.descriptors_most.max(look.descriptors);
        if look.resident > self.limit {
            self.fault(format!("at {at:.1} s the process holds {} bytes, over its limit", look.resident));
        }
        let quarter = ((at / self.seconds * 4.0) as usize).min(3);
        self.sums[quarter].0 += look.resident as f64;
        self.sums[quarter].1 += 1;
        let before = self.before.take();
        for (name, account) in &look.accounts {
            // A cap that was cut under what is in use may not be met at once, but nothing more is granted, except
            // out of the reserve.
            let had = before.as_ref().and_then(|b| b.get(name)).map_or(0, |a| a.now);
            if account.now > account.cap.max(had + account.reserve) {
                self.fault(format!("at {at:.1} s '{name}' holds {} of {}", account.now, account.cap));
            }
            let row = self.accounts.entry(name.clone()).or_default();
            row.most = row.most.max(account.peak);
            if account.now <= account.cap {
                row.most_of_cap = row.most_of_cap.max(account.now as f64 / account.cap.max(1) as f64);
            }
            (row.last, row.cap, row.refused) = (account.now, row.cap.max(account.cap), account.refused);
        }
        self.before = Some(look.accounts);
    }

    /// The front ended by itself.
    pub fn ended(&mut self, at: f64, lines: Vec<String>) {
        self.fault(format!("at {at:.1} s the front had ended"));
        self.lines = lines;
    }

    pub fn clients(&mut self, clients: &Clients) {
        for class in Class::ALL {
            let c = clients.counts(class);
            self.classes.insert(class.name(), [c.asked, c.served, c.refused, c.failed, c.aborted]);
        }
        let violations = [
            ("answers that nobody was owed", clients.second.get()),
            ("requests whose connection ended without an answer", clients.lost.get()),
            ("answers after their time", clients.late.get()),
            ("answers with other bytes than the object's", clients.spoilt.get()),
            ("requests without an answer at the end", clients.pending() as u64),
        ];
        for (what, n) in violations.into_iter().filter(|v| v.1 > 0) {
            self.fault(format!("{n} {what}"));
        }
        self.holds_while_refusing = clients.holds_while_refusing.get();
        let latency = clients.latency.borrow();
        for (name, q) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            self.latency_ms.insert(name, latency.value_at_quantile(q));
        }
    }

    /// It was told to end; what is judged at the end is judged now.
    pub fn exit(&mut self, code: Option<i32>, lines: Vec<String>) {
        self.lines = lines;
        if code != Some(0) {
            self.fault(format!("the front exited with {code:?}"));
        }
        self.resident = self.sums.map(|(sum, n)| sum / n.max(1) as f64);
        let [_, second, _, last] = self.resident;
        let (usual, short, more) = DRIFT;
        let allowed = if self.seconds < short { more } else { usual };
        if (last - second).abs() > allowed * second {
            let drift = 100.0 * (last / second - 1.0);
            self.fault(format!("RSS of the last quarter differs by {drift:.1}% from the second's"));
        }
        let [asked, served, ..] = self.classes.get("holds").copied().unwrap_or_default();
        let while_refusing = self.holds_while_refusing;
        for (what, asked, served) in
            [("", asked, served), (" while others were refused", while_refusing.0, while_refusing.1)]
        {
            // Of few, one may be missing.
            if ((served + 1) as f64) < HOLDS * asked as f64
                || asked > 100 && (served as f64) < HOLDS * asked as f64
            {
                self.fault(format!("{served} of {asked} holds were served{what}"));
            }
        }
        if !self.classes.values().any(|c| c[2] > 0) {
            self.fault("nothing was refused: the soak did not reach the caps".into());
        }
    }

    /// Did all hold?
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
        self.lines.iter().try_for_each(|line| writeln!(f, "  log: {line}"))
    }
}
