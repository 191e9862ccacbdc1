//! The plan's file: read, checked with the programs and settings that it names, and told in words.

use crate::host::{self, Stamp};
use anyhow::{Context, Result, bail};
use onyxyoke::config;
use onyxyoke::net::admin::program_digest;
use onyxyoke::rollout::{Front, GroupBy, MixingRule, Placement, Plan, Release, mixing, stages};
use std::collections::BTreeMap;
use std::path::Path;

/// A plan with what is behind it.
pub struct Checked {
    pub plan: Plan,
    /// What each front's old and new processes say that they run.
    pub stamps: Vec<[Stamp; 2]>,
    /// Changed settings, and what they allow.
    pub changed: BTreeMap<String, MixingRule>,
}

/// Reads a plan; an error names the key.
pub fn read(path: &Path) -> Result<Plan> {
    let text = std::fs::read_to_string(path).with_context(|| format!("'{}'", path.display()))?;
    let mut from = serde_json::Deserializer::from_str(&text);
    let plan: Plan = serde_path_to_error::deserialize(&mut from)
        .map_err(|e| anyhow::anyhow!("'{}': '{}': {}", path.display(), e.path(), e.inner()))?;
    plan.check().map_err(|e| anyhow::anyhow!("'{}': {e}", path.display()))?;
    Ok(plan)
}

/// The old and new settings of a front, as their files have them.
pub type Settings = [Vec<u8>; 2];

/// Checks it with the files that it names; `settings` are those of its fronts, in their order.
pub fn check(plan: Plan, settings: &[Settings]) -> Result<Checked> {
    let digest = |key: &str, path: &Path| {
        program_digest(path).with_context(|| format!("'{key}.program': '{}'", path.display()))
    };
    let builds = [digest("old", &plan.old.program)?, digest("new", &plan.new.program)?];
    let (mut stamps, mut changed) = (Vec::new(), BTreeMap::new());
    for (i, [old, new]) in settings.iter().enumerate() {
        // What the old build took, it takes again; what the new one will say to the new is seen when it starts.
        let told = |key: &str, text: &[u8]| {
            let read = config::read(Some(("its file", text)), None);
            read.map(|c| c.loaded).map_err(|e| anyhow::anyhow!("'fronts.{i}.{key}': {e}"))
        };
        let (before, after) = (told("settings", old)?, told("new_settings", new)?);
        for key in before.changed_keys(&after) {
            let how = mixing(&key);
            changed.insert(key, how);
        }
        let stamp =
            |i: usize, told: &config::LoadedSettings| Stamp { build: builds[i], settings: told.digest() };
        stamps.push([stamp(0, &before), stamp(1, &after)]);
    }
    for (key, how) in &changed {
        match how {
            MixingRule::Never => {
                bail!(
                    "the setting '{key}' is who a front is, or where clients reach it: it can't be rolled out"
                )
            }
            MixingRule::AtOnce if plan.limits.by != GroupBy::Location => bail!(
                "the setting '{key}' must be the same at all fronts of a location: 'limits.by' has to be \"location\""
            ),
            how if plan.limits.reload && *how != MixingRule::Reload => {
                bail!("the setting '{key}' takes no effect in service: 'limits.reload' has to be false")
            }
            _ => {}
        }
    }
    Ok(Checked { plan, stamps, changed })
}

fn bytes(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("'{}'", path.display()))
}

/// The settings that the plan names, as they are now.
pub fn settings(plan: &Plan) -> Result<Vec<Settings>> {
    let both = |front: &Front| {
        let old = bytes(&front.settings)?;
        let new = front.new_settings.as_deref().map_or(Ok(old.clone()), bytes)?;
        Ok([old, new])
    };
    plan.fronts.iter().map(both).collect()
}

/// They are kept in the state folder, so that what is started at the last stage is what was checked.
pub fn keep(state: &Path, plan: &Plan, settings: &[Settings]) -> Result<()> {
    for (front, [old, new]) in plan.fronts.iter().zip(settings) {
        let folder = host::folder(state, front);
        std::fs::create_dir_all(&folder).with_context(|| format!("'{}'", folder.display()))?;
        std::fs::write(host::kept(state, front, Release::Old), old)?;
        std::fs::write(host::kept(state, front, Release::New), new)?;
    }
    Ok(())
}

/// The kept ones.
pub fn kept(state: &Path, plan: &Plan) -> Result<Vec<Settings>> {
    let kept = |front, side| bytes(&host::kept(state, front, side));
    plan.fronts.iter().map(|f| Ok([kept(f, Release::Old)?, kept(f, Release::New)?])).collect()
}

/// What would happen when, in words.
pub fn tell(checked: &Checked) -> String {
    let plan = &checked.plan;
    let (locations, places) = plan.locations();
    let seats: Vec<Placement> =
        locations.into_iter().map(|location| Placement { location, rate: 1.0 }).collect();
    let limits = &plan.limits;
    let all = stages(&seats, &limits.stages, limits.control, limits.by, plan.seed);
    let s = &plan.spans;
    let mut text = format!("'{}': {} fronts in {} locations\n", plan.name, seats.len(), places);
    for (key, how) in &checked.changed {
        let how = match how {
            MixingRule::Reload if limits.reload => "in service, by SIGHUP",
            MixingRule::Reload | MixingRule::Mixed => "by replacement, old and new side by side",
            _ => "by replacement, whole locations",
        };
        text += &format!("changed: '{key}', {how}\n");
    }
    if plan.old.program != plan.new.program {
        text += &format!("changed: the program, to '{}'\n", plan.new.program.display());
    }
    text += &format!("watched for {} s before anything changes\n", s.watch_s);
    let mut at = s.watch_s;
    for (i, stage) in all.iter().enumerate() {
        // A front after the other of a location, as many at once as may be.
        let most = (limits.at_once * seats.len() as f64 / places as f64).max(1.0).floor();
        let turns = ((stage.fronts.len() + stage.control.len()) as f64 / places as f64 / most).ceil();
        let change = turns.max(1.0) * (s.steady_s + 2.0);
        text += &format!(
            "stage {} from {at:.0} s at the earliest: {} fronts change, {} restart beside them; judged after {:.0} s, \
             stopped after {} s if it can't be judged\n",
            i + 1,
            stage.fronts.len(),
            stage.control.len(),
            change + s.soak_s,
            s.longest_stage_s,
        );
        at += change + s.soak_s;
    }
    text += &format!(
        "done after {at:.0} s at the earliest, stopped after {} s; the chance of a false stop is {}\n",
        s.longest_s, plan.gates.false_stop
    );
    text
}
