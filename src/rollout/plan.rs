//! The plan of a rollout: what changes, on which fronts, in which stages, and what stops it; with its
//! validation.

use super::change::ChangeTimeouts;
#[cfg(feature = "rollout")]
use schemars::JsonSchema;
#[cfg(feature = "rollout")]
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Derives serialization and a JSON schema for types of the plan's file; unknown keys are errors.
macro_rules! plan_types {
    ($($item:item)*) => {$(
        #[cfg_attr(feature = "rollout", derive(Serialize, Deserialize, JsonSchema))]
        #[cfg_attr(feature = "rollout", serde(deny_unknown_fields))]
        #[derive(Debug, Clone, PartialEq)]
        $item
    )*};
}

plan_types! {
/// A program and the environment variables that it gets in addition to the platform's.
pub struct Built {
    /// Path of the program.
    pub program: PathBuf,
    /// Additional environment variables.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub variables: std::collections::BTreeMap<String, String>,
}

/// A front.
pub struct Front {
    /// Its name, as in its settings.
    pub name: String,
    /// Its location; fronts of one location share cache nodes.
    pub location: String,
    /// Address of the operator endpoint of its present process.
    pub operators: std::net::SocketAddr,
    /// Path of its present settings (`NODE_CONFIG`).
    pub settings: PathBuf,
    /// Path of the settings that are rolled out; without it only the program changes.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub new_settings: Option<PathBuf>,
    /// Its `TMPDIR`, which its old and new process share.
    pub folder: PathBuf,
}

/// Durations and timeouts (seconds).
#[cfg_attr(feature = "rollout", serde(default))]
pub struct Timeouts {
    /// Time for which fronts are watched before anything changes.
    pub watch_s: f64,
    /// Minimum time for which a stage is watched after its last front changed.
    pub soak_s: f64,
    /// Maximum time of a stage; one that could not be judged by then stops the rollout.
    pub longest_stage_s: f64,
    /// Maximum time of the rollout.
    pub longest_s: f64,
    /// Interval at which the counters of fronts are read and compared.
    pub window_s: f64,
    /// Age above which a reading is stale and ignored.
    pub stale_s: f64,
    /// Time after its start for which a process is compared only with others that started as recently.
    pub warm_s: f64,
    /// Time within which a new process must be healthy.
    pub start_s: f64,
    /// Time for which a new process must stay healthy before the old one is stopped.
    pub steady_s: f64,
    /// Time after SIGTERM at which a process that still runs is killed.
    pub end_s: f64,
    /// Time for which the whole fleet may do worse than before; no front is changed meanwhile.
    pub patience_s: f64,
    /// Time after which a serving process that does not answer or accepts no clients counts as failed.
    pub silent_s: f64,
}

/// Stages, and limits of simultaneous changes.
#[cfg_attr(feature = "rollout", serde(default))]
pub struct Limits {
    /// Shares of the fronts that are changed after each stage, ascending to 1. A stage of one front always
    /// precedes them.
    pub stages: Vec<f64>,
    /// Share of a location's fronts that may be in change at once, at least one front.
    pub at_once: f64,
    /// Maximum share of all fronts that are restarted in a stage as controls for its new processes, at least
    /// one front.
    pub control: f64,
    /// Whether a stage takes single fronts spread over locations, or whole locations.
    pub by: GroupBy,
    /// Whether settings are reloaded by SIGHUP; only for keys that take effect on reload, and not with
    /// another program.
    pub reload: bool,
}

/// Criteria that stop the rollout.
#[cfg_attr(feature = "rollout", serde(default))]
pub struct Gates {
    /// Probability that a change that is no worse is stopped.
    pub false_stop: f64,
    /// Requests of each class that new fronts must end in a stage before it can pass.
    pub least_requests: f64,
    /// Classes that need not reach `least_requests`, by index.
    pub not_awaited: Vec<usize>,
    /// Permitted ratio of the memory, descriptors and processor time of new fronts to those of old ones.
    pub uses_times: f64,
    /// Time for which the ratio may be exceeded (seconds).
    pub uses_s: f64,
    /// Permitted rise of the whole fleet's share of unserved requests over that before the rollout.
    pub whole: f64,
}

/// A rollout plan.
pub struct Plan {
    /// Its name in the journal and the report.
    pub name: String,
    /// The program that runs now.
    pub old: Built,
    /// The program that is rolled out.
    pub new: Built,
    /// All fronts of the rollout.
    pub fronts: Vec<Front>,
    /// The classes, in the order in which fronts report their counters.
    pub classes: Vec<String>,
    /// Durations and timeouts.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub spans: Timeouts,
    /// Stages, and limits of simultaneous changes.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub limits: Limits,
    /// Criteria that stop the rollout.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub gates: Gates,
    /// Seed of the random assignment of fronts to stages.
    #[cfg_attr(feature = "rollout", serde(default))]
    pub seed: u64,
}
}

/// Unit in which a stage takes fronts.
#[cfg_attr(feature = "rollout", derive(Serialize, Deserialize, JsonSchema), serde(rename_all = "kebab-case"))]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupBy {
    /// Single fronts, of all locations.
    Front,
    /// Whole locations, for settings that all fronts of a location must share.
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
    /// Returns the timeouts of the change of one front.
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
    /// Returns the number of each front's location, in the order of location names, and the number of
    /// locations.
    pub fn locations(&self) -> (Vec<usize>, usize) {
        let names: BTreeSet<&String> = self.fronts.iter().map(|f| &f.location).collect();
        let numbers: BTreeMap<&String, usize> = names.into_iter().enumerate().map(|(i, n)| (n, i)).collect();
        (self.fronts.iter().map(|f| numbers[&f.location]).collect(), numbers.len())
    }

    /// Validates the plan. The error names the first invalid key and its permitted values.
    pub fn check(&self) -> Result<(), String> {
        let must = |valid: bool, error: &str| if valid { Ok(()) } else { Err(error.to_owned()) };
        must(!self.name.is_empty(), "'name' is empty")?;
        must((2..=10_000).contains(&self.fronts.len()), "the number of 'fronts' is not from 2 to 10000")?;
        must((1..=64).contains(&self.classes.len()), "the number of 'classes' is not from 1 to 64")?;
        let mut names = BTreeSet::new();
        for (i, front) in self.fronts.iter().enumerate() {
            must(!front.name.is_empty(), &format!("'fronts.{i}.name' is empty"))?;
            must(names.insert(&front.name), &format!("'fronts.{i}.name' is not unique"))?;
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
            let valid = value.is_finite() && (least..=1e6).contains(&value);
            must(valid, &format!("'spans.{key}' is not from {least} to 1000000 seconds"))?;
        }
        let l = &self.limits;
        let valid_shares = !l.stages.is_empty()
            && l.stages.windows(2).all(|w| w[0] < w[1])
            && l.stages[0] > 0.0
            && l.stages[l.stages.len() - 1] == 1.0;
        must(valid_shares, "'limits.stages' are not shares above 0 that ascend to 1")?;
        for (key, value) in [("at_once", l.at_once), ("control", l.control)] {
            must(value > 0.0 && value <= 1.0, &format!("'limits.{key}' is not above 0 and at most 1"))?;
        }
        let g = &self.gates;
        must((1e-6..=0.5).contains(&g.false_stop), "'gates.false_stop' is not from 0.000001 to 0.5")?;
        must((0.0..=1e9).contains(&g.least_requests), "'gates.least_requests' is not from 0 to 1000000000")?;
        must((1.05..=100.0).contains(&g.uses_times), "'gates.uses_times' is not from 1.05 to 100")?;
        must((0.0..=1e6).contains(&g.uses_s), "'gates.uses_s' is not from 0 to 1000000")?;
        must((0.001..=1.0).contains(&g.whole), "'gates.whole' is not from 0.001 to 1")?;
        let valid_reload =
            !l.reload || self.old == self.new && self.fronts.iter().all(|f| f.new_settings.is_some());
        must(
            valid_reload,
            "'limits.reload' requires 'new_settings' for every front, and 'old' and 'new' to be the same",
        )?;
        let unknown_class = g.not_awaited.iter().position(|c| *c >= self.classes.len());
        must(unknown_class.is_none(), "'gates.not_awaited' holds an index beyond those of 'classes'")
    }
}

/// Whether fronts with different values of a setting may run side by side, and how the setting is changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MixingRule {
    /// Changed by SIGHUP; old and new values may run side by side.
    Reload,
    /// Changed by replacing the process; old and new values may run side by side.
    Mixed,
    /// Fronts of one location must have the same value, so that each object has one home and budgets that
    /// fronts share add up; whole locations are changed at once.
    WholeLocation,
    /// Cannot be rolled out: it identifies the front or is the address at which clients reach it.
    Never,
}

/// Returns how a settings key may be rolled out. Keys are dotted paths, as a reload reports them.
pub fn mixing_rule(key: &str) -> MixingRule {
    let under = |names: &[&str]| {
        names.iter().any(|n| key == *n || key.strip_prefix(n).is_some_and(|rest| rest.starts_with('.')))
    };
    if under(&["name", "listen", "settings.me", "settings.az", "signed.listen"]) {
        return MixingRule::Never;
    }
    if under(&["coordinator", "xds.server", "xds.refresh_s", "limits.memory_mb", "memory"]) {
        return MixingRule::Reload;
    }
    // These affect one front alone. The rest of `settings` decides which node is an object's home, what load
    // a cold node gets from all fronts, or what a class permits.
    if under(&["admin_addr", "limits", "signed", "xds", "teams", "settings.caps", "settings.prices"]) {
        return MixingRule::Mixed;
    }
    MixingRule::WholeLocation
}

#[cfg(test)]
pub mod tests {
    use super::*;

    /// Returns a valid plan with this many fronts and locations.
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
    fn an_invalid_plan_is_rejected_with_its_key() {
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
    fn each_settings_key_has_its_mixing_rule() {
        for (key, how) in [
            ("limits.memory_mb", MixingRule::Reload),
            ("coordinator", MixingRule::Reload),
            ("limits.sockets", MixingRule::Mixed),
            ("settings.caps.connect-timeout", MixingRule::Mixed),
            ("settings.fleet-size", MixingRule::WholeLocation),
            ("settings.specifics.count-by-zone", MixingRule::WholeLocation),
            ("settings.invariants.cold", MixingRule::WholeLocation),
            ("listen", MixingRule::Never),
            ("settings.me", MixingRule::Never),
        ] {
            assert_eq!(mixing_rule(key), how, "{key}");
        }
    }
}
