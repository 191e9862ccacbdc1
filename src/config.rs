//! The one place where configuration is read, checked and given defaults. Keys that are not known are
//! skipped; a missing or wrong one is an error that names it.

use crate::broker::{Member, News};
use crate::interface::*;
use rustc_hash::FxHashMap;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// A JSON value with the path that led to it, for messages.
struct At<'a> {
    value: &'a Value,
    /// What is read, for messages.
    what: &'static str,
    path: String,
}

impl<'a> At<'a> {
    fn whole(&self) -> Result<u64, String> {
        self.value.as_u64().ok_or_else(|| self.wrong("a whole number"))
    }
    fn address(&self) -> Result<SocketAddr, String> {
        self.text()?.parse().map_err(|_| self.wrong("an address and a port"))
    }
    fn above_zero(&self) -> Result<f64, String> {
        self.number().ok().filter(|&n| n > 0.0).ok_or_else(|| self.wrong("a number above 0"))
    }
    fn get(&self, key: &str) -> Result<At<'a>, String> {
        self.opt(key).ok_or_else(|| format!("{}: '{}{key}' is missing", self.what, self.path))
    }
    fn opt(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key)?;
        Some(At { value, what: self.what, path: format!("{}{key}.", self.path) })
    }
    fn wrong(&self, wanted: &str) -> String {
        format!("{}: '{}' is not {wanted}", self.what, self.path.trim_end_matches('.'))
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
        let at = |(i, value)| each(&At { value, what: self.what, path: format!("{}{i}.", self.path) });
        values.iter().enumerate().map(at).collect()
    }
    fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let found = words.iter().find(|(word, _)| *word == text);
        found.map(|&(_, v)| v).ok_or_else(|| self.wrong("a word that is known here"))
    }
}

/// Translates the settings' text that an instance is started with.
pub fn settings(text: &[u8]) -> Result<Settings, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read_settings(&value)
}

fn read_settings(value: &Value) -> Result<Settings, String> {
    let top = At { value, what: "settings", path: String::new() };
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

/// The classes by the names that clients and cache nodes use.
#[derive(Debug, Default)]
pub struct Classes {
    ids: FxHashMap<Vec<u8>, ClassId>,
    /// The names in the settings' order.
    pub names: Vec<Rc<str>>,
}

impl Classes {
    /// Classes of these names.
    pub fn new(names: Vec<String>) -> Self {
        let ids =
            names.iter().enumerate().map(|(i, n)| (n.clone().into_bytes(), ClassId(i as u16))).collect();
        Classes { ids, names: names.into_iter().map(Into::into).collect() }
    }

    /// The class of a name.
    pub fn get(&self, name: &[u8]) -> Option<ClassId> {
        self.ids.get(name).copied()
    }
}

/// All that one front is told.
#[derive(Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Most memory, in bytes.
    pub memory: usize,
    /// Most descriptors.
    pub sockets: usize,
    /// Where the coordinator listens.
    pub coordinator: SocketAddr,
    /// The coordinator's events so far, and the number of the last.
    pub known: (u64, Vec<News>),
    /// What the director is set up with.
    pub settings: Settings,
    /// The classes by name.
    pub classes: Classes,
    /// A connection to a cache node that is not made by then has failed (seconds).
    pub connect_within: f64,
    /// Cache nodes close idle connections after this (seconds).
    pub keepalive: f64,
    /// Most requests on one connection to a cache node.
    pub streams: usize,
}

/// Reads the platform's JSON.
pub fn platform(text: &[u8]) -> Result<Config, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("config is not JSON: {e}"))?;
    let top = At { value: &value, what: "config", path: String::new() };
    let inner = top.get("settings")?;
    let settings = read_settings(inner.value)?;
    let inner = At { path: String::new(), what: "settings", ..inner };
    let caps = inner.get("caps")?;
    let or = |at: &At, key: &str, default: f64| at.opt(key).map_or(Ok(default), |v| v.above_zero());
    let names = |key: &str| inner.get(key)?.list(|v| v.text().map(str::to_owned));
    let limits = top.get("limits")?;
    let seed = top.get("seed")?;
    let seed = u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.wrong("hexadecimal digits"))?;
    let classes = inner.get("profiles")?.list(|c| c.get("name")?.text().map(str::to_owned))?;
    Ok(Config {
        name: top.get("name")?.text()?.to_owned(),
        listen: top.get("listen")?.address()?,
        seed,
        memory: (limits.get("memory_mb")?.above_zero()? * 1e6) as usize,
        sockets: limits.get("sockets")?.above_zero()? as usize,
        coordinator: top.get("coordinator")?.address()?,
        known: known(&top.get("known")?, &names("localities")?, &names("kinds")?)?,
        settings,
        classes: Classes::new(classes),
        connect_within: or(&caps, "connect-timeout", 0.4)?,
        keepalive: or(&caps, "keepalive", 15.0)?,
        streams: or(&caps, "max-streams", 100.0)? as usize,
    })
}

fn known(at: &At, zones: &[String], kinds: &[String]) -> Result<(u64, Vec<News>), String> {
    let news = at.get("updates")?.list(|update| {
        if let Some(list) = update.opt("endpoints") {
            let full = list.get("complete")?.flag()?;
            return Ok(Some(News::Roster {
                full,
                members: list.get("members")?.list(|m| member(m, zones, kinds))?,
            }));
        }
        let Some(purge) = update.opt("evict") else { return Ok(None) };
        let object = match purge.opt("ref") {
            Some(object) => {
                let digits = u64::from_str_radix(object.text()?, 16);
                Some(ObjectId(digits.map_err(|_| object.wrong("hexadecimal digits"))?))
            }
            None => None,
        };
        let group = match object {
            Some(_) => GroupId(0),
            None => GroupId(purge.get("shard")?.count()?.into()),
        };
        Ok(Some(News::Purge { object, group, at: purge.get("unix_ms")?.number()? / 1000.0 }))
    })?;
    Ok((at.get("index")?.whole()?, news.into_iter().flatten().collect()))
}

fn member(at: &At, zones: &[String], kinds: &[String]) -> Result<Member, String> {
    let place = |key: &str, of: &[String]| {
        let word = at.get(key)?;
        let text = word.text()?;
        let place = of.iter().position(|w| w == text).ok_or_else(|| word.wrong("a word of the settings"))?;
        u16::try_from(place).map_err(|_| word.wrong("a place that can be counted"))
    };
    let id = at.get("id")?;
    let digits = id.text()?.strip_prefix("s-").and_then(|d| u32::from_str_radix(d, 16).ok());
    let node = Node {
        id: NodeId(digits.ok_or_else(|| id.wrong("'s-' and hexadecimal digits"))?.into()),
        state: at.get("phase")?.one_of(&[
            ("active", NodeState::Ready),
            ("leaving", NodeState::Draining),
            ("left", NodeState::Gone),
        ])?,
        cell: at.opt("cell").map_or(Ok(0), |v| v.count())?,
        weight: at.opt("size").map_or(Ok(1.0), |v| v.number())?,
        kind: place("flavor", kinds)?,
        ready_at: at.opt("up_since_ms").map_or(Ok(0.0), |v| v.number())? / 1000.0,
        zone: ZoneId(place("locality", zones)?),
    };
    Ok(Member { node, address: at.get("host_port")?.address()? })
}
