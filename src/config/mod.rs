//! The one place where configuration is read, checked and given defaults. A key that is missing, wrong or stands twice is
//! an error that names its file, the key, and what would be right. The platform may have keys that are not known here,
//! which are passed over; in what only the operator writes they are errors too.

mod strict;

use crate::broker::{Contracts, Member, News, Team};
use crate::interface::*;
use crate::memory::{PURPOSES, Plan, Purpose, Wish};
use crate::xds::Names;
use rustc_hash::FxHashMap;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Share of each account that one of several teams may hold.
const TEAM_SHARE: f64 = 0.5;

/// Where the keys come from: the platform's file, and the operator's, whose keys count where both have one.
struct Sources<'a> {
    platform: &'a str,
    operator: &'a str,
    own: Map<String, Value>,
}

/// A JSON value with the path that led to it, for messages.
struct At<'a> {
    value: &'a Value,
    /// What is read, for messages: a file.
    what: &'a str,
    path: String,
    /// Of the whole: whose each key is.
    sources: Option<&'a Sources<'a>>,
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
        let what = match self.sources {
            Some(s) if s.own.contains_key(key) => s.operator,
            Some(s) => s.platform,
            None => self.what,
        };
        Some(At { value, what, path: format!("{}{key}.", self.path), sources: None })
    }
    /// Only these keys are known here.
    fn only(&self, known: &[&str]) -> Result<(), String> {
        for (key, at) in self.entries()? {
            if !known.contains(&key) {
                return Err(at.wrong(&format!("known: there are {}", known.join(", "))));
            }
        }
        Ok(())
    }
    fn entries(&self) -> Result<impl Iterator<Item = (&'a str, At<'a>)>, String> {
        let table = self.value.as_object().ok_or_else(|| self.wrong("a table"))?;
        let (what, path) = (self.what, self.path.clone());
        let at = move |(key, value): (&'a String, &'a Value)| {
            (key.as_str(), At { value, what, path: format!("{path}{key}."), sources: None })
        };
        Ok(table.iter().map(at))
    }
    fn wrong(&self, wanted: &str) -> String {
        format!("{}: '{}' is not {wanted}", self.what, self.path.trim_end_matches('.'))
    }
    fn number(&self) -> Result<f64, String> {
        self.value.as_f64().filter(|v| v.is_finite()).ok_or_else(|| self.wrong("a number"))
    }
    /// A time, a size or a worth.
    fn amount(&self) -> Result<f64, String> {
        self.number().ok().filter(|&n| n >= 0.0).ok_or_else(|| self.wrong("a number of 0 or more"))
    }
    fn share(&self) -> Result<f64, String> {
        let share = self.number().ok().filter(|n| (0.0..=1.0).contains(n));
        share.ok_or_else(|| self.wrong("a number from 0 to 1"))
    }
    /// Names, each of which stands once.
    fn names(&self, name: impl Fn(&At<'a>) -> Result<&'a str, String>) -> Result<Vec<String>, String> {
        let names = self.list(|at| name(at).map(str::to_owned))?;
        match (1..names.len()).find(|&i| names[..i].contains(&names[i])) {
            Some(i) => Err(self.wrong(&format!("a list without twins: '{}' stands twice in it", names[i]))),
            None => Ok(names),
        }
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
        let at = |(i, value)| {
            each(&At { value, what: self.what, path: format!("{}{i}.", self.path), sources: None })
        };
        values.iter().enumerate().map(at).collect()
    }
    fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let found = words.iter().find(|(word, _)| *word == text);
        let known = || words.iter().map(|w| w.0).collect::<Vec<_>>().join(", ");
        found.map(|&(_, v)| v).ok_or_else(|| self.wrong(&format!("one of {}", known())))
    }
}

/// Translates the settings' text that an instance is started with.
pub fn settings(text: &[u8]) -> Result<Settings, String> {
    let value = strict::json(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read_settings(&At { value: &value, what: "settings", path: String::new(), sources: None })
}

fn read_settings(top: &At) -> Result<Settings, String> {
    let caps = top.get("caps")?;
    let rules = top.get("invariants")?;
    let site = top.get("specifics")?;
    let amount = |at: &At, key| at.get(key)?.amount();
    let share = |at: &At, key| at.get(key)?.share();
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
        zone_link: site.get("pipe-kb-per-s")?.list(At::amount)?,
        flow: amount(&site, "one-flow-kb-per-s")?,
        classes: classes(top, &site)?,
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
        max_wait: amount(&caps, "max-retry-after")?,
        weights_told: top.get("weights")?.text()? != "silent",
        list_on_request: top.get("membership-mode")?.one_of(&[("subscribe", true), ("automatic", false)])?,
        ask_every: amount(&rules, "ask-every")?,
        cold_from: share(&rules, "cold-from")?,
        cold_for: amount(&rules, "cold")?,
        fall_multiple: amount(&rules, "overload-factor")?,
        fall_window: amount(&rules, "fall")?,
        parent_cold_from: share(&site, "parent-floor")?,
        parent_cold_for: amount(&site, "parent-ramp")?,
        parent_fall_multiple: amount(&site, "upper-fall-multiple")?,
        origin_fall_multiple: amount(&site, "root-fall-multiple")?,
        origin_fall_window: amount(&site, "origin-over-for")?,
        purge_settles: amount(&site, "purge-settles")?,
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

fn classes(top: &At, site: &At) -> Result<Vec<Class>, String> {
    let fresh = site.get("good-for")?.list(At::amount)?;
    let grace = site.get("usable-after")?.list(At::amount)?;
    let stale_worth = site.get("old-copy-worth")?.list(At::amount)?;
    let multi_part = site.get("multi-part")?.list(At::flag)?;
    let never_kept = site.get("never-kept")?.list(At::flag)?;
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
    /// By class, in the same order: the longest that a client waits (seconds), whether it needs a key, and whether
    /// its answers are no copies.
    asks: Vec<(f64, bool, bool)>,
}

impl Classes {
    /// Classes of these names, with what the settings say of each.
    pub fn new(names: Vec<String>, classes: &[Class]) -> Self {
        let ids =
            names.iter().enumerate().map(|(i, n)| (n.clone().into_bytes(), ClassId(i as u16))).collect();
        let asks = classes
            .iter()
            .map(|c| (c.deadline, matches!(c.effect, Effect::Keyed(_)), c.never_kept))
            .collect();
        Classes { ids, names: names.into_iter().map(Into::into).collect(), asks }
    }

    /// The longest that a client of the class waits (seconds), and whether its requests need a key.
    pub fn asks(&self, class: ClassId) -> (f64, bool) {
        self.asks.get(usize::from(class.0)).map_or((0.0, false), |c| (c.0, c.1))
    }

    /// Is the class never kept, so that the reserve is there for it?
    pub fn never_kept(&self, class: ClassId) -> bool {
        self.asks.get(usize::from(class.0)).is_some_and(|c| c.2)
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
    /// Where the platform's clients connect, if that front is on.
    pub listen: Option<SocketAddr>,
    /// Where operators call, if anywhere: `admin_addr`, or `NODE_ADMIN_ADDR`, which counts over it.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What memory is held to, in all and by purpose.
    pub memory: Plan,
    /// Most descriptors.
    pub sockets: usize,
    /// Where the coordinator listens, if there is one.
    pub coordinator: Option<SocketAddr>,
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
    /// What a new connection to a cache node costs (points for each of a first try's); 0: nothing is charged.
    pub handshake: f64,
    /// The second front, if it is on.
    pub signed: Option<Signed>,
    /// Discovery in xDS form, if it is used.
    pub xds: Option<Xds>,
    /// What teams may ask for; nobody is limited where it is empty.
    pub contracts: Contracts,
    /// Names of zones and kinds, in the settings' order.
    pub names: Names,
    /// What the files held, to compare a later reading with.
    pub told: Told,
}

/// All that the files hold but the events of the start and the seed.
#[derive(Debug, Default)]
pub struct Told(Value);

impl Told {
    /// Keys in which a later reading differs and that cannot change while the program runs. What was on at
    /// the start stays on: where the coordinator or the discovery server is reached may change, and what memory is
    /// held to.
    pub fn fixed(&self, later: &Told) -> Vec<String> {
        let mut keys = Vec::new();
        differing("", &self.0, &later.0, &mut keys);
        let xds = |told: &Told| told.0.get("xds").is_some();
        let live: &[&str] = match (xds(self), xds(later)) {
            (true, true) => &["xds.server", "xds.refresh_s", "coordinator"],
            (false, false) => &["coordinator"],
            _ => &[],
        };
        let memory = |key: &str| key == "limits.memory_mb" || key == "memory" || key.starts_with("memory.");
        keys.retain(|key| !live.contains(&key.as_str()) && !memory(key));
        keys
    }

    /// All keys in which a later reading differs.
    pub fn differs(&self, later: &Told) -> Vec<String> {
        let mut keys = Vec::new();
        differing("", &self.0, &later.0, &mut keys);
        keys
    }

    /// A digest of the settings, by which operators tell what a process runs: the same for the same keys and values in
    /// any order.
    pub fn digest(&self) -> u64 {
        digest(&self.0)
    }
}

fn digest(value: &Value) -> u64 {
    let text = match value {
        Value::Object(map) => {
            let mut keys: Vec<(&String, u64)> = map.iter().map(|(key, v)| (key, digest(v))).collect();
            keys.sort();
            format!("{keys:?}")
        }
        Value::Array(all) => format!("{:?}", all.iter().map(digest).collect::<Vec<_>>()),
        plain => plain.to_string(),
    };
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Names the keys under which two trees differ.
fn differing(path: &str, old: &Value, new: &Value, keys: &mut Vec<String>) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        let dot = if path.is_empty() { "" } else { "." };
        let missing = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(missing) {
            let at = |tree: &Map<String, Value>| tree.get(key).cloned().unwrap_or_default();
            differing(&format!("{path}{dot}{key}"), &at(old), &at(new), keys);
        }
    } else if old != new {
        keys.push(path.to_owned());
    }
}

/// The second front.
#[derive(Debug)]
pub struct Signed {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Scheme and authority that links are signed with.
    pub base: String,
    /// Whom a token's `aud` must name.
    pub audience: Option<String>,
    /// Clocks may differ by so much (seconds).
    pub leeway: f64,
    /// The file of the signers' keys.
    pub keys: PathBuf,
    /// It is reread this often (seconds).
    pub reread: f64,
    /// A replaced key verifies for so long (seconds).
    pub overlap: f64,
}

/// Discovery in xDS form.
#[derive(Debug)]
pub struct Xds {
    /// Where the discovery server listens.
    pub server: SocketAddr,
    /// It is asked this often (seconds).
    pub refresh: f64,
}

/// The operators' address that `NODE_ADMIN_ADDR` gives, where it is set: it counts over the file's, since a process
/// that replaces another is told its own there.
pub fn admin(variable: Option<&str>, config: &mut Config) -> Result<(), String> {
    if let Some(text) = variable {
        let wrong = |_| format!("NODE_ADMIN_ADDR: '{text}' is not an address and a port");
        config.admin = Some(text.trim().parse().map_err(wrong)?);
    }
    Ok(())
}

/// A file's name, for messages, and its text.
pub type File<'a, T> = (&'a str, T);

/// What stands at the top of an operator's file: the platform's keys, and the operator's own.
const TOP: [&str; 14] = [
    "name",
    "listen",
    "admin_addr",
    "seed",
    "limits",
    "coordinator",
    "known",
    "settings",
    "flow_bytes_per_s",
    "link_bytes_per_s",
    "signed",
    "xds",
    "memory",
    "teams",
];

/// Reads the platform's JSON and the operator's TOML, either of which may be missing. The operator's tables
/// stand beside the platform's; where both have a key, the operator's counts.
pub fn read(platform: Option<File<&[u8]>>, operator: Option<File<&str>>) -> Result<Config, String> {
    let mut tree = match &platform {
        None => Value::Object(Map::new()),
        Some((name, text)) => strict::json(text).map_err(|e| format!("{name}: not JSON: {e}"))?,
    };
    let own: Map<String, Value> = match &operator {
        None => Map::new(),
        Some((name, text)) => {
            toml::from_str(text).map_err(|e| format!("{name}: not TOML: {}", e.message()))?
        }
    };
    let (platform, operator) = (platform.map(|p| p.0), operator.map_or("", |o| o.0));
    let platform = platform.unwrap_or(operator);
    let top = tree.as_object_mut().ok_or_else(|| format!("{platform}: not a JSON object"))?;
    top.extend(own.clone());
    let own_keys = Value::Object(own.clone());
    At { value: &own_keys, what: operator, path: String::new(), sources: None }.only(&TOP)?;
    let sources = Sources { platform, operator, own };
    let mut config = config(&tree, &sources)?;
    if let Value::Object(top) = &mut tree {
        top.retain(|key, _| key != "known" && key != "seed");
    }
    config.told = Told(tree);
    Ok(config)
}

fn config(value: &Value, sources: &Sources) -> Result<Config, String> {
    let top = At { value, what: sources.platform, path: String::new(), sources: Some(sources) };
    let inner = top.get("settings")?;
    let settings = read_settings(&inner)?;
    let caps = inner.get("caps")?;
    let or = |at: &At, key: &str, default: f64| at.opt(key).map_or(Ok(default), |v| v.above_zero());
    let names = |key: &str| inner.get(key)?.names(At::text);
    let limits = top.get("limits")?;
    let seed = match top.opt("seed") {
        Some(seed) => u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.wrong("hexadecimal digits"))?,
        None => fastrand::u64(..),
    };
    let classes = inner.get("profiles")?.names(|c| c.get("name")?.text())?;
    let classes = Classes::new(classes, &settings.classes);
    let names = Names { zones: names("localities")?, kinds: names("kinds")? };
    let signed = top.opt("signed").map(|s| signed(&s)).transpose()?;
    let xds = top.opt("xds").map(|x| xds(&x)).transpose()?;
    let contracts = top
        .opt("teams")
        .map_or(Ok(Contracts::default()), |t| t.list(|t| team(t, &classes)).map(Contracts))?;
    if signed.is_some() && contracts.none() {
        return Err(format!(
            "{}: 'teams' is missing: the signed front serves what contracts cover",
            sources.operator
        ));
    }
    // The platform tells a first list and where its changes come from; xDS stands in for both.
    let feed = xds.is_none();
    let needed = |key: &str, off: bool| if off { Ok(top.opt(key)) } else { top.get(key).map(Some) };
    let known = match needed("known", !feed)? {
        Some(at) => known(&at, &names.zones, &names.kinds)?,
        None => (0, Vec::new()),
    };
    Ok(Config {
        name: top.get("name")?.text()?.to_owned(),
        listen: needed("listen", signed.is_some())?.map(|v| v.address()).transpose()?,
        admin: top.opt("admin_addr").map(|v| v.address()).transpose()?,
        seed,
        memory: memory(&top, (limits.get("memory_mb")?.above_zero()? * 1e6) as usize, contracts.0.len())?,
        sockets: limits.get("sockets")?.above_zero()? as usize,
        coordinator: needed("coordinator", !feed)?.filter(|_| feed).map(|v| v.address()).transpose()?,
        known,
        settings,
        classes,
        connect_within: or(&caps, "connect-timeout", 0.4)?,
        keepalive: or(&caps, "keepalive", 15.0)?,
        streams: or(&caps, "max-streams", 100.0)? as usize,
        handshake: match inner.opt("prices").and_then(|prices| prices.opt("handshake")) {
            Some(price) => price.amount()?,
            None => 0.0,
        },
        signed,
        xds,
        contracts,
        names,
        told: Told::default(),
    })
}

/// Reads the table of memory by purpose: sizes in megabytes (`cap_mb`) or shares of the total (`cap`).
fn memory(top: &At, total: usize, teams: usize) -> Result<Plan, String> {
    let mut wishes = [Wish::default(); PURPOSES];
    let mut share = if teams > 1 { TEAM_SHARE } else { 1.0 };
    let Some(table) = top.opt("memory") else {
        return Plan::new(total, &wishes, share).map_err(|e| format!("{}: {e}", top.what));
    };
    for (key, at) in table.entries()? {
        if key == "team_share" {
            share = at.above_zero()?;
            continue;
        }
        let Some(purpose) = Purpose::ALL.into_iter().find(|p| p.name() == key) else {
            let names = Purpose::ALL.map(Purpose::name).join(", ");
            return Err(at.wrong(&format!("known: there are team_share, {names}")));
        };
        let wish = &mut wishes[purpose as usize];
        for (key, at) in at.entries()? {
            let (name, size) = match key.strip_suffix("_mb") {
                Some(name) => (name, at.number()? * 1e6),
                None => (
                    key,
                    at.number()
                        .and_then(|s| if s <= 1.0 { Ok(s) } else { Err(at.wrong("a share of 1 at most")) })?
                        * total as f64,
                ),
            };
            let place = match name {
                "guarantee" => &mut wish.guarantee,
                "cap" => &mut wish.cap,
                "reserve" => &mut wish.reserve,
                _ => {
                    return Err(
                        at.wrong("known: there are guarantee, cap and reserve, each with or without _mb")
                    );
                }
            };
            if size < 0.0 || place.replace(size as usize).is_some() {
                return Err(at.wrong("a size of 0 or more that stands once"));
            }
        }
    }
    Plan::new(total, &wishes, share).map_err(|e| format!("{}: {e}", table.what))
}

fn signed(at: &At) -> Result<Signed, String> {
    at.only(&["listen", "base", "keys", "audience", "reread_s", "overlap_s", "leeway_s"])?;
    let or = |key: &str, default: f64| at.opt(key).map_or(Ok(default), |v| v.number());
    let base = at.get("base")?;
    let text = base.text()?;
    if !(text.starts_with("http://") || text.starts_with("https://")) || text.ends_with('/') {
        return Err(base.wrong("a scheme and an authority without a path"));
    }
    let leeway = or("leeway_s", 0.0)?;
    let overlap = or("overlap_s", 300.0)?;
    if leeway < 0.0 || overlap < 0.0 {
        return Err(at.wrong("a table whose times are 0 or more"));
    }
    Ok(Signed {
        listen: at.get("listen")?.address()?,
        base: text.to_owned(),
        audience: at.opt("audience").map(|v| v.text().map(str::to_owned)).transpose()?,
        leeway,
        keys: at.get("keys")?.text()?.into(),
        reread: at.opt("reread_s").map_or(Ok(5.0), |v| v.above_zero())?,
        overlap,
    })
}

fn xds(at: &At) -> Result<Xds, String> {
    at.only(&["server", "refresh_s"])?;
    let refresh = at.opt("refresh_s").map_or(Ok(0.5), |v| v.above_zero())?;
    Ok(Xds { server: at.get("server")?.address()?, refresh })
}

fn team(at: &At, classes: &Classes) -> Result<Team, String> {
    let class = |v: &At| {
        let found = classes.get(v.text()?.as_bytes());
        found.ok_or_else(|| v.wrong("a class of the settings"))
    };
    let known = ["name", "issuer", "classes", "prefixes", "requests_per_s", "in_flight", "bytes_per_s"];
    at.only(&known)?;
    let allowed = at.get("classes")?.list(class)?;
    let prefixes = at.get("prefixes")?.list(|p| {
        p.only(&["path", "class"])?;
        let path = p.get("path")?;
        let text = path.text()?;
        if !text.starts_with('/') {
            return Err(path.wrong("a path from the root"));
        }
        let of = p.get("class")?;
        let class = class(&of)?;
        if !allowed.contains(&class) {
            return Err(of.wrong("one of the team's classes"));
        }
        Ok((text.to_owned(), class))
    })?;
    Ok(Team {
        name: at.get("name")?.text()?.to_owned(),
        issuer: at.get("issuer")?.text()?.to_owned(),
        classes: allowed,
        prefixes,
        requests_per_s: at.get("requests_per_s")?.above_zero()?,
        in_flight: at.get("in_flight")?.above_zero()? as usize,
        bytes_per_s: at.get("bytes_per_s")?.above_zero()?,
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

#[cfg(test)]
mod tests;
