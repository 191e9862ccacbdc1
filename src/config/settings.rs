//! The settings of the decisions, in the platform's form.

use super::key_path::KeyPath;
use super::strict;
use crate::interface::*;

/// Translates the settings' text that an instance is started with.
pub fn settings(text: &[u8]) -> Result<Settings, String> {
    let value = strict::json(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read_settings(&KeyPath { value: &value, what: "settings", path: String::new(), sources: None })
}

pub(super) fn read_settings(top: &KeyPath) -> Result<Settings, String> {
    let caps = top.get("caps")?;
    let rules = top.get("invariants")?;
    let site = top.get("specifics")?;
    let amount = |at: &KeyPath, key| at.get(key)?.amount();
    let share = |at: &KeyPath, key| at.get(key)?.share();
    let parent_kind = &site.get("parent-kind")?;
    let parent_kind = match parent_kind.number()? {
        -1.0 => None,
        _ => Some(parent_kind.count()?),
    };
    let settings = Settings {
        director_number: top.get("me")?.count()?,
        directors: top.get("fleet-size")?.count()?,
        own_zone: ZoneId(top.get("az")?.count()?),
        directors_by_zone: site.get("count-by-zone")?.list(KeyPath::count)?,
        hub_of_zone: site.get("zone-hub")?.list(|v| v.count().map(ZoneId))?,
        zone_link_kb_per_s: site.get("pipe-kb-per-s")?.list(KeyPath::amount)?,
        answer_kb_per_s: amount(&site, "one-flow-kb-per-s")?,
        classes: classes(top, &site)?,
        parent_kind,
        origin_kind: site.get("source-kind")?.count()?,
        sibling_sources: site.get("sideways")?.one_of(&[
            ("silent", SiblingScope::None),
            ("location", SiblingScope::Zone),
            ("any", SiblingScope::Any),
        ])?,
        note_detail: site.get("says")?.one_of(&[
            ("all", NoteDetail::All),
            ("hit", NoteDetail::Hit),
            ("silent", NoteDetail::None),
        ])?,
        direct_attempts: site.get("straight")?.flag()?,
        join_fills: site.get("collapses")?.flag()?,
        cancel: caps.get("cancel")?.flag()?,
        concurrent_attempts: caps.get("may-duplicate")?.flag()?,
        probes: caps.get("probes")?.flag()?,
        messages: caps.get("may-tell")?.flag()?,
        max_attempts: caps.get("most-tries")?.count()?,
        max_retry_after: amount(&caps, "max-retry-after")?,
        weights_are_link_sizes: top.get("weights")?.text()? != "silent",
        list_on_request: top.get("membership-mode")?.one_of(&[("subscribe", true), ("automatic", false)])?,
        list_poll_interval: amount(&rules, "ask-every")?,
        cold_start_share: share(&rules, "cold-from")?,
        warm_up_time: amount(&rules, "cold")?,
        overload_multiple: amount(&rules, "overload-factor")?,
        overload_window: amount(&rules, "fall")?,
        parent_cold_start_share: share(&site, "parent-floor")?,
        parent_warm_up_time: amount(&site, "parent-ramp")?,
        parent_overload_multiple: amount(&site, "upper-fall-multiple")?,
        origin_overload_multiple: amount(&site, "root-fall-multiple")?,
        origin_overload_window: amount(&site, "origin-over-for")?,
        purge_settle_time: amount(&site, "purge-settles")?,
        purge_slack: amount(&site, "purge-slack")?,
        answer_slack: amount(&rules, "grace-to-answer")?,
        report_fields: top.get("report")?.get("fields")?.list(|v| v.text().map(str::to_owned))?,
    };
    let zones = settings.hub_of_zone.len();
    if usize::from(settings.own_zone.0) >= zones {
        return Err(top.get("az")?.wrong("the place of one of the zones"));
    }
    if settings.hub_of_zone.iter().any(|z| usize::from(z.0) >= zones) {
        return Err(site.get("zone-hub")?.wrong("a list of places of zones"));
    }
    Ok(settings)
}

fn classes(top: &KeyPath, site: &KeyPath) -> Result<Vec<Class>, String> {
    let fresh = site.get("good-for")?.list(KeyPath::amount)?;
    let grace = site.get("usable-after")?.list(KeyPath::amount)?;
    let stale_worth = site.get("old-copy-worth")?.list(KeyPath::amount)?;
    let multi_part = site.get("multi-part")?.list(KeyPath::flag)?;
    let uncacheable = site.get("never-kept")?.list(KeyPath::flag)?;
    let mut classes = top.get("profiles")?.list(|c| {
        Ok(Class {
            aim: c.get("aim")?.amount()?,
            aim_stretch: c.opt("aim-stretch").map_or(Ok(0.0), |v| v.amount())?,
            deadline: c.get("deadline")?.above_zero()?,
            late_worth: c.get("late-worth")?.amount()?,
            worth: c.get("worth")?.amount()?,
            effect: match c.get("semantics")?.one_of(&[
                ("idempotent", Effect::Safe),
                ("at_most_once", Effect::Unsafe),
                ("deduplicated", Effect::Keyed(Scope::All)),
            ])? {
                Effect::Keyed(_) => Effect::Keyed(c.get("group")?.one_of(&[
                    ("all", Scope::All),
                    ("zone", Scope::Zone),
                    ("cell", Scope::Cell),
                ])?),
                other => other,
            },
            key_ttl: c.opt("key-ttl").map_or(Ok(0.0), |v| v.amount())?,
            streaming: c.get("streaming")?.flag()?,
            ..Class::default()
        })
    })?;
    let short = || site.wrong("a table that tells of as many classes as 'profiles'");
    for (i, class) in classes.iter_mut().enumerate() {
        class.fresh_for = *fresh.get(i).ok_or_else(short)?;
        class.grace = *grace.get(i).ok_or_else(short)?;
        class.stale_worth = *stale_worth.get(i).ok_or_else(short)?;
        class.multi_part = *multi_part.get(i).ok_or_else(short)?;
        class.uncacheable = *uncacheable.get(i).ok_or_else(short)?;
    }
    Ok(classes)
}
