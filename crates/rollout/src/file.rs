//! The plan's file: reads it, checks it together with the programs and settings that it names, and describes
//! it as text.

use crate::host::{self, ReleaseDigests};
use anyhow::{Context, Result, bail};
use onyxyoke::config;
use onyxyoke::net::admin::program_digest;
use onyxyoke::rollout::{Front, GroupBy, MixingRule, Placement, Plan, Release, mixing_rule, stages};
use std::collections::BTreeMap;
use std::path::Path;

/// A checked plan with the data that its files provide.
pub struct CheckedPlan {
    pub plan: Plan,
    /// The digests that each front's old and new processes report.
    pub digests: Vec<[ReleaseDigests; 2]>,
    /// Changed settings, and how old and new values may be mixed.
    pub changed: BTreeMap<String, MixingRule>,
}

/// Reads a plan. An error names the invalid key.
pub fn read_plan(path: &Path) -> Result<Plan> {
    let text = std::fs::read_to_string(path).with_context(|| format!("'{}'", path.display()))?;
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let plan: Plan = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| anyhow::anyhow!("'{}': '{}': {}", path.display(), e.path(), e.inner()))?;
    plan.check().map_err(|e| anyhow::anyhow!("'{}': {e}", path.display()))?;
    Ok(plan)
}

/// The contents of a front's old and new settings files.
pub type SettingsFiles = [Vec<u8>; 2];

/// Checks a plan with the files that it names. `settings` are those of its fronts, in the plan's order.
pub fn check(plan: Plan, settings: &[SettingsFiles]) -> Result<CheckedPlan> {
    let digest = |key: &str, path: &Path| {
        program_digest(path).with_context(|| format!("'{key}.program': '{}'", path.display()))
    };
    let builds = [digest("old", &plan.old.program)?, digest("new", &plan.new.program)?];
    let (mut digests, mut changed) = (Vec::new(), BTreeMap::new());
    for (i, [old, new]) in settings.iter().enumerate() {
        // Parsed with this tool's build. The old program has accepted its settings before; whether the new one
        // accepts its own shows when it starts.
        let parse = |key: &str, text: &[u8]| {
            let parsed = config::read(Some(("its file", text)), None);
            parsed.map(|c| c.loaded).map_err(|e| anyhow::anyhow!("'fronts.{i}.{key}': {e}"))
        };
        let (before, after) = (parse("settings", old)?, parse("new_settings", new)?);
        for key in before.changed_keys(&after) {
            let rule = mixing_rule(&key);
            changed.insert(key, rule);
        }
        let release_digests = |i: usize, loaded: &config::LoadedSettings| ReleaseDigests {
            build: builds[i],
            settings: loaded.digest(),
        };
        digests.push([release_digests(0, &before), release_digests(1, &after)]);
    }
    for (key, rule) in &changed {
        match rule {
            MixingRule::Never => {
                bail!(
                    "the setting '{key}' is who a front is, or where clients reach it: it can't be rolled out"
                )
            }
            MixingRule::WholeLocation if plan.limits.by != GroupBy::Location => bail!(
                "the setting '{key}' must be the same at all fronts of a location: 'limits.by' has to be \"location\""
            ),
            rule if plan.limits.reload && *rule != MixingRule::Reload => {
                bail!("the setting '{key}' takes no effect in service: 'limits.reload' has to be false")
            }
            _ => {}
        }
    }
    Ok(CheckedPlan { plan, digests, changed })
}

fn read_bytes(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("'{}'", path.display()))
}

/// Reads the settings files that the plan names.
pub fn read_settings(plan: &Plan) -> Result<Vec<SettingsFiles>> {
    let both = |front: &Front| {
        let old = read_bytes(&front.settings)?;
        let new = front.new_settings.as_deref().map_or(Ok(old.clone()), read_bytes)?;
        Ok([old, new])
    };
    plan.fronts.iter().map(both).collect()
}

/// Copies the settings to the state folder, so that the last stage starts with the settings that were
/// checked.
pub fn save_settings(state: &Path, plan: &Plan, settings: &[SettingsFiles]) -> Result<()> {
    for (front, [old, new]) in plan.fronts.iter().zip(settings) {
        let folder = host::front_folder(state, front);
        std::fs::create_dir_all(&folder).with_context(|| format!("'{}'", folder.display()))?;
        std::fs::write(host::saved_settings_path(state, front, Release::Old), old)?;
        std::fs::write(host::saved_settings_path(state, front, Release::New), new)?;
    }
    Ok(())
}

/// Reads the settings that were saved in the state folder.
pub fn saved_settings(state: &Path, plan: &Plan) -> Result<Vec<SettingsFiles>> {
    let saved = |front, release| read_bytes(&host::saved_settings_path(state, front, release));
    plan.fronts.iter().map(|f| Ok([saved(f, Release::Old)?, saved(f, Release::New)?])).collect()
}

/// Describes the stages with their earliest times.
pub fn describe(checked: &CheckedPlan) -> String {
    let plan = &checked.plan;
    let (locations, location_count) = plan.locations();
    let placements: Vec<Placement> =
        locations.into_iter().map(|location| Placement { location, rate: 1.0 }).collect();
    let limits = &plan.limits;
    let stages = stages(&placements, &limits.stages, limits.control, limits.by, plan.seed);
    let spans = &plan.spans;
    let mut text = format!("'{}': {} fronts in {} locations\n", plan.name, placements.len(), location_count);
    for (key, rule) in &checked.changed {
        let method = match rule {
            MixingRule::Reload if limits.reload => "in service, by SIGHUP",
            MixingRule::Reload | MixingRule::Mixed => "by replacement, old and new side by side",
            _ => "by replacement, whole locations",
        };
        text += &format!("changed: '{key}', {method}\n");
    }
    if plan.old.program != plan.new.program {
        text += &format!("changed: the program, to '{}'\n", plan.new.program.display());
    }
    text += &format!("watched for {} s before anything changes\n", spans.watch_s);
    let mut earliest_s = spans.watch_s;
    for (i, stage) in stages.iter().enumerate() {
        // The fronts of a location change in turn, up to the permitted number at once.
        let concurrent = (limits.at_once * placements.len() as f64 / location_count as f64).max(1.0).floor();
        let rounds =
            ((stage.fronts.len() + stage.control.len()) as f64 / location_count as f64 / concurrent).ceil();
        let change_s = rounds.max(1.0) * (spans.steady_s + 2.0);
        text += &format!(
            "stage {} from {earliest_s:.0} s at the earliest: {} fronts change, {} restart beside them; judged after {:.0} s, \
             stopped after {} s if it can't be judged\n",
            i + 1,
            stage.fronts.len(),
            stage.control.len(),
            change_s + spans.soak_s,
            spans.longest_stage_s,
        );
        earliest_s += change_s + spans.soak_s;
    }
    text += &format!(
        "done after {earliest_s:.0} s at the earliest, stopped after {} s; the chance of a false stop is {}\n",
        spans.longest_s, plan.gates.false_stop
    );
    text
}
