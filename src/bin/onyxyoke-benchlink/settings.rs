//! The settings' JSON, translated. Keys that are not known are skipped; a missing or wrong one is an error.

use onyxyoke::interface::*;
use serde_json::Value;

/// A JSON value with the path that led to it, for messages.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn get(&self, key: &str) -> Result<At<'a>, String> {
        self.opt(key).ok_or_else(|| format!("settings: '{}{key}' is missing", self.path))
    }
    fn opt(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key)?;
        Some(At { value, path: format!("{}{key}.", self.path) })
    }
    fn wrong(&self, wanted: &str) -> String {
        format!("settings: '{}' is not {wanted}", self.path.trim_end_matches('.'))
    }
    fn number(&self) -> Result<f64, String> {
        self.value.as_f64().filter(|v| v.is_finite()).ok_or_else(|| self.wrong("a number"))
    }
    fn count(&self) -> Result<u16, String> {
        let v = self.value.as_u64().and_then(|v| u16::try_from(v).ok());
        v.ok_or_else(|| self.wrong("a small whole number"))
    }
    fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| self.wrong("true or false"))
    }
    fn text(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| self.wrong("a text"))
    }
    fn list<T>(&self, each: impl Fn(&At<'a>) -> Result<T, String>) -> Result<Vec<T>, String> {
        let values = self.value.as_array().ok_or_else(|| self.wrong("a list"))?;
        let at = |(i, value)| each(&At { value, path: format!("{}{i}.", self.path) });
        values.iter().enumerate().map(at).collect()
    }
    fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let found = words.iter().find(|(word, _)| *word == text);
        found.map(|&(_, v)| v).ok_or_else(|| self.wrong("a word that is known here"))
    }
}

/// Translates the settings an instance is started with.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    let top = At { value: &value, path: String::new() };
    let caps = top.get("caps")?;
    let rules = top.get("invariants")?;
    let site = top.get("specifics")?;
    let number = |at: &At, key| at.get(key)?.number();
    let parent_kind = &site.get("parent-kind")?;
    let parent_kind = match parent_kind.number()? {
        -1.0 => None,
        _ => Some(parent_kind.count()?),
    };
    let settings = Settings {
        me: top.get("me")?.count()?,
        directors: top.get("fleet-size")?.count()?,
        own_zone: ZoneId(top.get("az")?.count()?),
        directors_by_zone: site.get("count-by-zone")?.list(At::count)?,
        hub_of_zone: site.get("zone-hub")?.list(|v| v.count().map(ZoneId))?,
        zone_link: site.get("pipe-kb-per-s")?.list(At::number)?,
        flow: number(&site, "one-flow-kb-per-s")?,
        classes: classes(&top, &site)?,
        parent_kind,
        origin_kind: site.get("source-kind")?.count()?,
        sources: site.get("sideways")?.one_of(&[
            ("silent", SiblingScope::None),
            ("location", SiblingScope::Zone),
            ("any", SiblingScope::Any),
        ])?,
        notes: site.get("says")?.one_of(&[
            ("all", Notes::All),
            ("hit", Notes::Hit),
            ("silent", Notes::None),
        ])?,
        direct: site.get("straight")?.flag()?,
        joins: site.get("collapses")?.flag()?,
        cancel: caps.get("cancel")?.flag()?,
        duplicate: caps.get("may-duplicate")?.flag()?,
        probes: caps.get("probes")?.flag()?,
        messages: caps.get("may-tell")?.flag()?,
        most_tries: caps.get("most-tries")?.count()?,
        max_wait: number(&caps, "max-retry-after")?,
        weights_told: top.get("weights")?.text()? != "silent",
        list_on_request: top.get("membership-mode")?.one_of(&[("subscribe", true), ("automatic", false)])?,
        ask_every: number(&rules, "ask-every")?,
        cold_from: number(&rules, "cold-from")?,
        cold_for: number(&rules, "cold")?,
        fall_multiple: number(&rules, "overload-factor")?,
        fall_window: number(&rules, "fall")?,
        parent_cold_from: number(&site, "parent-floor")?,
        parent_cold_for: number(&site, "parent-ramp")?,
        parent_fall_multiple: number(&site, "upper-fall-multiple")?,
        origin_fall_multiple: number(&site, "root-fall-multiple")?,
        origin_fall_window: number(&site, "origin-over-for")?,
        purge_settles: number(&site, "purge-settles")?,
        purge_slack: number(&site, "purge-slack")?,
        answer_slack: number(&rules, "grace-to-answer")?,
        report_fields: top.get("report")?.get("fields")?.list(|v| v.text().map(str::to_owned))?,
    };
    let zones = settings.hub_of_zone.len();
    if usize::from(settings.own_zone.0) >= zones {
        return Err("settings: 'az' is out of range".into());
    }
    if settings.hub_of_zone.iter().any(|z| usize::from(z.0) >= zones) {
        return Err("settings: 'specifics.zone-hub' is out of range".into());
    }
    Ok(settings)
}

fn classes(top: &At, site: &At) -> Result<Vec<Class>, String> {
    let fresh = site.get("good-for")?.list(At::number)?;
    let grace = site.get("usable-after")?.list(At::number)?;
    let stale_worth = site.get("old-copy-worth")?.list(At::number)?;
    let multi_part = site.get("multi-part")?.list(At::flag)?;
    let never_kept = site.get("never-kept")?.list(At::flag)?;
    let mut classes = top.get("profiles")?.list(|c| {
        Ok(Class {
            aim: c.get("aim")?.number()?,
            aim_stretch: c.opt("aim-stretch").map_or(Ok(0.0), |v| v.number())?,
            deadline: c.get("deadline")?.number()?,
            late_worth: c.get("late-worth")?.number()?,
            worth: c.get("worth")?.number()?,
            effect: match c.get("semantics")?.text()? {
                "idempotent" => Effect::Safe,
                "at_most_once" => Effect::Unsafe,
                "deduplicated" => Effect::Keyed(c.get("group")?.one_of(&[
                    ("all", Scope::All),
                    ("zone", Scope::Zone),
                    ("cell", Scope::Cell),
                ])?),
                other => return Err(format!("settings: semantics '{other}' are unknown")),
            },
            key_ttl: c.opt("key-ttl").map_or(Ok(0.0), |v| v.number())?,
            streaming: c.get("streaming")?.flag()?,
            ..Class::default()
        })
    })?;
    let short = || String::from("settings: 'specifics' tells of fewer classes than 'profiles'");
    for (i, class) in classes.iter_mut().enumerate() {
        class.fresh = *fresh.get(i).ok_or_else(short)?;
        class.grace = *grace.get(i).ok_or_else(short)?;
        class.stale_worth = *stale_worth.get(i).ok_or_else(short)?;
        class.multi_part = *multi_part.get(i).ok_or_else(short)?;
        class.never_kept = *never_kept.get(i).ok_or_else(short)?;
    }
    Ok(classes)
}
