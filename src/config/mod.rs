//! The one place where configuration is read, checked and given defaults. A key that is missing, wrong or stands twice is
//! an error that names its file, the key, and what would be right. The platform may have keys that are not known here,
//! which are passed over; in what only the operator writes they are errors too.

mod classes;
mod key_path;
mod loaded;
mod members;
mod sections;
mod settings;
mod strict;

use crate::broker::{Contracts, DiscoveryUpdate};
use crate::interface::*;
use crate::memory::Plan;
use crate::xds::Names;
pub use classes::Classes;
use key_path::{KeyPath, Sources};
pub use loaded::LoadedSettings;
use members::known;
use sections::{memory, signed, team, xds};
use serde_json::{Map, Value};
use settings::read_settings;
pub use settings::settings;
use std::net::SocketAddr;
use std::path::PathBuf;

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
    pub max_descriptors: usize,
    /// Where the coordinator listens, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// The coordinator's events so far, and the number of the last.
    pub initial_updates: (u64, Vec<DiscoveryUpdate>),
    /// What the director is set up with.
    pub settings: Settings,
    /// The classes by name.
    pub classes: Classes,
    /// A connection to a cache node that is not made by then has failed (seconds).
    pub connect_timeout: f64,
    /// Cache nodes close idle connections after this (seconds).
    pub node_idle_timeout: f64,
    /// Most requests on one connection to a cache node.
    pub max_requests_per_connection: usize,
    /// What a new connection to a cache node costs (points for each of a first try's); 0: nothing is charged.
    pub handshake_cost: f64,
    /// The second front, if it is on.
    pub signed: Option<Signed>,
    /// Discovery in xDS form, if it is used.
    pub xds: Option<Xds>,
    /// What teams may ask for; nobody is limited where it is empty.
    pub contracts: Contracts,
    /// Names of zones and kinds, in the settings' order.
    pub names: Names,
    /// What the files held, to compare a later reading with.
    pub loaded: LoadedSettings,
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
    pub keys_refresh: f64,
    /// A replaced key verifies for so long (seconds).
    pub key_overlap: f64,
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
pub fn override_admin_address(variable: Option<&str>, config: &mut Config) -> Result<(), String> {
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
    KeyPath { value: &own_keys, what: operator, path: String::new(), sources: None }.only(&TOP)?;
    let sources = Sources { platform, operator, own };
    let mut config = config(&tree, &sources)?;
    if let Value::Object(top) = &mut tree {
        top.retain(|key, _| key != "known" && key != "seed");
    }
    config.loaded = LoadedSettings(tree);
    Ok(config)
}

fn config(value: &Value, sources: &Sources) -> Result<Config, String> {
    let top = KeyPath { value, what: sources.platform, path: String::new(), sources: Some(sources) };
    let inner = top.get("settings")?;
    let settings = read_settings(&inner)?;
    let caps = inner.get("caps")?;
    let or = |at: &KeyPath, key: &str, default: f64| at.opt(key).map_or(Ok(default), |v| v.above_zero());
    let names = |key: &str| inner.get(key)?.names(KeyPath::text);
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
        max_descriptors: limits.get("sockets")?.above_zero()? as usize,
        coordinator: needed("coordinator", !feed)?.filter(|_| feed).map(|v| v.address()).transpose()?,
        initial_updates: known,
        settings,
        classes,
        connect_timeout: or(&caps, "connect-timeout", 0.4)?,
        node_idle_timeout: or(&caps, "keepalive", 15.0)?,
        max_requests_per_connection: or(&caps, "max-streams", 100.0)? as usize,
        handshake_cost: match inner.opt("prices").and_then(|prices| prices.opt("handshake")) {
            Some(price) => price.amount()?,
            None => 0.0,
        },
        signed,
        xds,
        contracts,
        names,
        loaded: LoadedSettings::default(),
    })
}

#[cfg(test)]
mod tests;
