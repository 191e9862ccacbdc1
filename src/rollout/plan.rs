//! The plan of a rollout: what changes, on which fronts, in which stages, and what stops it; checked as a whole.

use super::change::ChangeTimeouts;
#[cfg(feature = "rollout")]
use schemars::JsonSchema;
#[cfg(feature = "rollout")]
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Gives a type the forms of a file: read, written, with a schema; keys that are not known are errors.
macro_rules! file {
    ($($item:item)*) => {$(
        #[cfg_attr(feature = "rollout", derive(Serialize, Deserialize, JsonSchema), serde(deny_unknown_fields))]
        #[derive(Debug, Clone, PartialEq)]
        $item
    )*};
}

file! {
/// What runs on a front: a program and the variables that it is given beside the platform's.
pub struct Built {
    /// The program's file.
    pub program: PathBuf,
    /// Variables for it alone.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub variables: std::collections::BTreeMap<String, String>,
}

/// A front.
pub struct Front {
    /// Its name, as its settings have it.
    pub name: String,
    /// Its location: fronts of one location share cache nodes.
    pub location: String,
    /// Where its present process answers operators.
    pub operators: std::net::SocketAddr,
    /// Its settings (`NODE_CONFIG`), and those that are rolled out; without them only the program changes.
    pub settings: PathBuf,
    /// The settings that are rolled out.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub new_settings: Option<PathBuf>,
    /// Its `TMPDIR`, which both its processes share.
    pub folder: PathBuf,
}

/// Spans (seconds).
#[cfg_attr(feature = "rollout", serde(default))]
pub struct Timeouts {
    /// Fronts are watched for so long before anything changes.
    pub watch_s: f64,
    /// A stage is watched for so long at least after its last front changed, and so long at most.
    pub soak_s: f64,
    /// A stage that could not be judged by then stops the rollout.
    pub longest_stage_s: f64,
    /// The whole takes no longer.
    pub longest_s: f64,
    /// Fronts are read this often.
    pub window_s: f64,
    /// A reading that is older says nothing.
    pub stale_s: f64,
    /// A process is young for so long: it starts empty, and is compared with others that did.
    pub warm_s: f64,
    /// A new process says yes within so long,
    pub start_s: f64,
    /// and for so long before the old one is told to end.
    pub steady_s: f64,
    /// The old one ends within so long, else it is killed.
    pub end_s: f64,
    /// The fleet as a whole may do worse than before for so long, in which nothing more is changed.
    pub patience_s: f64,
    /// A new process that is silent for so long is evidence against it.
    pub silent_s: f64,
}

/// What limits the change.
#[cfg_attr(feature = "rollout", serde(default))]
pub struct Limits {
    /// Shares of the fronts that are changed after each stage, ascending to 1. One front is always the first stage.
    pub stages: Vec<f64>,
    /// Share of a location's fronts that is in change at once; one is always.
    pub at_once: f64,
    /// Old fronts that are restarted beside new ones to compare with, at most this share of all; one is always.
    pub control: f64,
    /// What a stage takes: fronts spread over locations, or whole locations.
    pub by: GroupBy,
    /// Settings are changed in service, by SIGHUP; for keys that take effect so, and no other program.
    pub reload: bool,
}

/// What stops the rollout.
#[cfg_attr(feature = "rollout", serde(default))]
pub struct Gates {
    /// The chance that a change that is no worse is stopped.
    pub false_stop: f64,
    /// New fronts end at least so many requests of each class in a stage, before it is judged.
    pub least_requests: f64,
    /// Classes of which `least_requests` are not waited for, by place.
    pub not_awaited: Vec<usize>,
    /// New fronts may use so many times the memory, descriptors and processor time of old ones,
    pub uses_times: f64,
    /// and more for so long (seconds).
    pub uses_s: f64,
    /// The share of unserved requests of the whole fleet may rise by so much over what it was before.
    pub whole: f64,
}

/// A plan.
pub struct Plan {
    /// What it is called in the journal and the report.
    pub name: String,
    /// What runs.
    pub old: Built,
    /// What is rolled out.
    pub new: Built,
    /// The fronts.
    pub fronts: Vec<Front>,
    /// The classes, in the order in which fronts list their figures.
    pub classes: Vec<String>,
    /// Spans.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub spans: Timeouts,
    /// Limits.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub limits: Limits,
    /// What stops it.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub gates: Gates,
    /// Fronts are drawn by this.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub seed: u64,
}
}

/// What a stage takes.
#[cfg_attr(feature = "rollout", derive(Serialize, Deserialize, JsonSchema), serde(rename_all = "kebab-case"))]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupBy {
    /// Fronts of all locations.
    Front,
    /// Whole locations, for settings that fronts of one location must have in common.
    Location,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            watch_s: 60.0,
            soak_s: 120.0,
            longest_stage_s: 1_800.0,
            longest_s: 14_400.0,
            window_s: 1.0,
            stale_s: 3.0,
            warm_s: 60.0,
            start_s: 10.0,
            steady_s: 1.0,
            end_s: 5.0,
            patience_s: 120.0,
            silent_s: 5.0,
        }
    }
}

impl Timeouts {
    /// Those of one front's change.
    pub fn change_timeouts(&self) -> ChangeTimeouts {
        ChangeTimeouts { start_s: self.start_s, steady_s: self.steady_s, end_s: self.end_s, retry_s: 1.0 }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            stages: vec![0.01, 0.05, 0.2, 0.5, 1.0],
            at_once: 0.2,
            control: 0.2,
            by: GroupBy::Front,
            reload: false,
        }
    }
}

impl Default for Gates {
    fn default() -> Self {
        Gates {
            false_stop: 0.01,
            least_requests: 100.0,
            not_awaited: Vec::new(),
            uses_times: 1.5,
            uses_s: 10.0,
            whole: 0.03,
        }
    }
}

impl Plan {
    /// The number of each front's location, by its name, and how many locations there are.
    pub fn locations(&self) -> (Vec<usize>, usize) {
        let names: BTreeSet<&String> = self.fronts.iter().map(|f| &f.location).collect();
        let numbers: BTreeMap<&String, usize> = names.into_iter().enumerate().map(|(i, n)| (n, i)).collect();
        (self.fronts.iter().map(|f| numbers[&f.location]).collect(), numbers.len())
    }

    /// The first key that is wrong, and what would be right.
    pub fn check(&self) -> Result<(), String> {
        let must = |held: bool, what: &str| if held { Ok(()) } else { Err(what.to_owned()) };
        must(!self.name.is_empty(), "'name' is empty")?;
        must((2..=10_000).contains(&self.fronts.len()), "'fronts' are not from 2 to 10000")?;
        must((1..=64).contains(&self.classes.len()), "'classes' are not from 1 to 64")?;
        let mut names = BTreeSet::new();
        for (i, front) in self.fronts.iter().enumerate() {
            must(!front.name.is_empty(), &format!("'fronts.{i}.name' is empty"))?;
            must(names.insert(&front.name), &format!("'fronts.{i}.name' names one a second time"))?;
            must(
                front.new_settings.is_some() || self.old != self.new,
                &format!("'fronts.{i}.new_settings' is missing, and 'old' and 'new' are the same"),
            )?;
        }
        let s = &self.spans;
        let spans = [
            ("watch_s", s.watch_s, 1.0),
            ("soak_s", s.soak_s, 1.0),
            ("longest_stage_s", s.longest_stage_s, s.soak_s),
            ("longest_s", s.longest_s, s.longest_stage_s),
            ("window_s", s.window_s, 0.1),
            ("stale_s", s.stale_s, 1.5 * s.window_s),
            ("warm_s", s.warm_s, 0.0),
            ("start_s", s.start_s, 0.1),
            ("steady_s", s.steady_s, 0.0),
            ("end_s", s.end_s, 0.1),
            ("patience_s", s.patience_s, 0.0),
            ("silent_s", s.silent_s, 2.0 * s.window_s),
        ];
        for (key, value, least) in spans {
            let held = value.is_finite() && (least..=1e6).contains(&value);
            must(held, &format!("'spans.{key}' is not from {least} to 1000000 seconds"))?;
        }
        let l = &self.limits;
        let shares = !l.stages.is_empty()
            && l.stages.windows(2).all(|w| w[0] < w[1])
            && l.stages[0] > 0.0
            && l.stages[l.stages.len() - 1] == 1.0;
        must(shares, "'limits.stages' are not shares that ascend from above 0 to 1")?;
        for (key, value) in [("at_once", l.at_once), ("control", l.control)] {
            must(value > 0.0 && value <= 1.0, &format!("'limits.{key}' is not above 0 and at most 1"))?;
        }
        let g = &self.gates;
        must((1e-6..=0.5).contains(&g.false_stop), "'gates.false_stop' is not from 0.000001 to 0.5")?;
        must((0.0..=1e9).contains(&g.least_requests), "'gates.least_requests' is not from 0 to 1000000000")?;
        must((1.05..=100.0).contains(&g.uses_times), "'gates.uses_times' is not from 1.05 to 100")?;
        must((0.0..=1e6).contains(&g.uses_s), "'gates.uses_s' is not from 0 to 1000000")?;
        must((0.001..=1.0).contains(&g.whole), "'gates.whole' is not from 0.001 to 1")?;
        let reloads =
            !l.reload || self.old == self.new && self.fronts.iter().all(|f| f.new_settings.is_some());
        must(reloads, "'limits.reload' is for new settings alone, of every front")?;
        let class = g.not_awaited.iter().position(|c| *c >= self.classes.len());
        must(class.is_none(), "'gates.not_awaited' names none of 'classes'")
    }
}

/// How a changed setting may be rolled out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MixingRule {
    /// In service, by SIGHUP; old and new side by side.
    Reload,
    /// By replacement; old and new side by side.
    Mixed,
    /// Fronts of one location must have the same: whole locations at once, so that objects keep one home and budgets
    /// that fronts share add up.
    AtOnce,
    /// Not at all: it is who the front is, or where its clients reach it.
    Never,
}

/// What a change of a settings key allows. Keys are written with dots, as a reload tells them.
pub fn mixing(key: &str) -> MixingRule {
    let under = |names: &[&str]| {
        names.iter().any(|n| key == *n || key.strip_prefix(n).is_some_and(|rest| rest.starts_with('.')))
    };
    if under(&["name", "listen", "settings.me", "settings.az", "signed.listen"]) {
        return MixingRule::Never;
    }
    if under(&["coordinator", "xds.server", "xds.refresh_s", "limits.memory_mb", "memory"]) {
        return MixingRule::Reload;
    }
    // What one front does by itself; all else of `settings` decides where objects are at home, what a cold node
    // bears from all, or what a class permits.
    if under(&["admin_addr", "limits", "signed", "xds", "teams", "settings.caps", "settings.prices"]) {
        return MixingRule::Mixed;
    }
    MixingRule::AtOnce
}

#[cfg(test)]
pub mod tests {
    use super::*;

    /// A plan of so many fronts in so many locations.
    pub fn plan(fronts: usize, locations: usize) -> Plan {
        let built =
            |name: &str| Built { program: PathBuf::from(name), variables: std::collections::BTreeMap::new() };
        let front = |i: usize| Front {
            name: format!("n{i}"),
            location: format!("branch{}", i % locations),
            operators: "127.0.0.1:1".parse().unwrap(),
            settings: PathBuf::from("s"),
            new_settings: None,
            folder: PathBuf::from("f"),
        };
        Plan {
            name: "p".into(),
            old: built("old"),
            new: built("new"),
            fronts: (0..fronts).map(front).collect(),
            classes: vec!["media".into(), "holds".into()],
            spans: Timeouts::default(),
            limits: Limits::default(),
            gates: Gates::default(),
            seed: 1,
        }
    }

    #[test]
    fn an_error_names_its_key() {
        assert_eq!(plan(6, 2).check(), Ok(()));
        type Change = fn(&mut Plan);
        let wrong: [(&str, Change); 8] = [
            ("fronts.3.name", |p| p.fronts[3].name = "n1".into()),
            ("fronts.0.new_settings", |p| p.new = p.old.clone()),
            ("spans.stale_s", |p| p.spans.stale_s = 1.0),
            ("spans.soak_s", |p| p.spans.soak_s = f64::NAN),
            ("limits.stages", |p| p.limits.stages = vec![0.5, 0.2, 1.0]),
            ("limits.stages", |p| p.limits.stages = vec![0.5]),
            ("gates.false_stop", |p| p.gates.false_stop = 0.0),
            ("gates.not_awaited", |p| p.gates.not_awaited = vec![2]),
        ];
        for (key, change) in wrong {
            let mut plan = plan(6, 2);
            change(&mut plan);
            let e = plan.check().expect_err(key);
            assert!(e.contains(key), "{key}: {e}");
        }
    }

    #[test]
    fn settings_that_fronts_share_are_not_mixed() {
        for (key, how) in [
            ("limits.memory_mb", MixingRule::Reload),
            ("coordinator", MixingRule::Reload),
            ("limits.sockets", MixingRule::Mixed),
            ("settings.caps.connect-timeout", MixingRule::Mixed),
            ("settings.fleet-size", MixingRule::AtOnce),
            ("settings.specifics.count-by-zone", MixingRule::AtOnce),
            ("settings.invariants.cold", MixingRule::AtOnce),
            ("listen", MixingRule::Never),
            ("settings.me", MixingRule::Never),
        ] {
            assert_eq!(mixing(key), how, "{key}");
        }
    }
}
