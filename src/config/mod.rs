//! Reads and checks the configuration and applies defaults. A key that is missing, invalid or duplicated is
//! an error that names the file, the key and what is expected. Unknown keys in the platform's file are
//! ignored; in the operator's file they are errors.

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
use crate::xds::TopologyNames;
pub use classes::Classes;
use key_path::{KeyPath, Sources};
pub use loaded::LoadedSettings;
use members::initial_updates;
use sections::{memory, signed, team, xds};
use serde_json::{Map, Value};
use settings::read_settings;
pub use settings::settings;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration of a front.
#[derive(Debug)]
pub struct Config {
    /// Name of the front, the same after a restart.
    pub name: String,
    /// Address for the platform's clients, if that listener is enabled.
    pub listen: Option<SocketAddr>,
    /// Address of the operators' socket, if any: `NODE_ADMIN_ADDR`, else `admin_addr`.
    pub admin: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Limits of memory, in total and by purpose.
    pub memory: Plan,
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Address of the coordinator, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// The number of the coordinator's last update before the start, and the updates up to it.
    pub initial_updates: (u64, Vec<DiscoveryUpdate>),
    /// Settings of the director.
    pub settings: Settings,
    /// The classes of requests by name.
    pub classes: Classes,
    /// Timeout for connecting to a cache node (seconds).
    pub connect_timeout: f64,
    /// Time after which cache nodes close idle connections (seconds).
    pub node_idle_timeout: f64,
    /// Maximum number of requests in flight on one connection to a cache node.
    pub max_requests_per_connection: usize,
    /// Cost of a new connection to a cache node, in points, where a first attempt costs one; 0: free.
    pub handshake_cost: f64,
    /// The listener for signed links, if enabled.
    pub signed: Option<Signed>,
    /// Discovery by xDS, if enabled.
    pub xds: Option<Xds>,
    /// The teams' contracts; if empty, nothing is limited.
    pub contracts: Contracts,
    /// Names of the zones and of the kinds of nodes, in the settings' order.
    pub names: TopologyNames,
    /// The contents of the files, for comparison on reload.
    pub loaded: LoadedSettings,
}

/// Settings of the listener for signed links.
#[derive(Debug)]
pub struct Signed {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Scheme and authority of the signed URIs.
    pub base: String,
    /// Value that a token's `aud` claim must name.
    pub audience: Option<String>,
    /// Tolerated clock difference (seconds).
    pub leeway: f64,
    /// File with the signers' keys.
    pub keys: PathBuf,
    /// Interval at which the file of keys is reread (seconds).
    pub keys_refresh: f64,
    /// Time for which a replaced key remains valid (seconds).
    pub key_overlap: f64,
}

/// Settings of discovery by xDS.
#[derive(Debug)]
pub struct Xds {
    /// Address of the discovery server.
    pub server: SocketAddr,
    /// Polling interval (seconds).
    pub refresh: f64,
}

/// Sets the operators' address from `NODE_ADMIN_ADDR`, if set. It takes precedence over the file because a
/// process that replaces another gets its own address there.
pub fn override_admin_address(variable: Option<&str>, config: &mut Config) -> Result<(), String> {
    if let Some(text) = variable {
        let invalid = |_| format!("NODE_ADMIN_ADDR: '{text}' is not an address and a port");
        config.admin = Some(text.trim().parse().map_err(invalid)?);
    }
    Ok(())
}

/// A file's name, for error messages, and its contents.
pub type File<'a, T> = (&'a str, T);

/// Valid top-level keys of the operator's file: the platform's, and the operator's own.
const TOP_LEVEL_KEYS: [&str; 14] = [
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

/// Reads the platform's JSON and the operator's TOML, either of which may be missing. Their top-level keys
/// are merged; if both have a key, the operator's takes precedence.
pub fn read(platform: Option<File<&[u8]>>, operator: Option<File<&str>>) -> Result<Config, String> {
    let mut tree = match &platform {
        None => Value::Object(Map::new()),
        Some((name, text)) => strict::json(text).map_err(|e| format!("{name}: not JSON: {e}"))?,
    };
    let operator_keys: Map<String, Value> = match &operator {
        None => Map::new(),
        Some((name, text)) => {
            toml::from_str(text).map_err(|e| format!("{name}: not TOML: {}", e.message()))?
        }
    };
    let (platform, operator) = (platform.map(|p| p.0), operator.map_or("", |o| o.0));
    let platform = platform.unwrap_or(operator);
    let top = tree.as_object_mut().ok_or_else(|| format!("{platform}: not a JSON object"))?;
    top.extend(operator_keys.clone());
    let operator_value = Value::Object(operator_keys.clone());
    KeyPath { value: &operator_value, file: operator, path: String::new(), sources: None }
        .only(&TOP_LEVEL_KEYS)?;
    let sources = Sources { platform, operator, operator_keys };
    let mut config = config(&tree, &sources)?;
    if let Value::Object(top) = &mut tree {
        top.retain(|key, _| key != "known" && key != "seed");
    }
    config.loaded = LoadedSettings(tree);
    Ok(config)
}

/// Builds the configuration from the merged files.
fn config(value: &Value, sources: &Sources) -> Result<Config, String> {
    let top = KeyPath { value, file: sources.platform, path: String::new(), sources: Some(sources) };
    let director = top.get("settings")?;
    let settings = read_settings(&director)?;
    let caps = director.get("caps")?;
    let above_zero_or =
        |at: &KeyPath, key: &str, default: f64| at.opt(key).map_or(Ok(default), |v| v.above_zero());
    let names = |key: &str| director.get(key)?.names(KeyPath::text);
    let limits = top.get("limits")?;
    let seed = match top.opt("seed") {
        Some(seed) => {
            u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.invalid("hexadecimal digits"))?
        }
        None => fastrand::u64(..),
    };
    let classes = director.get("profiles")?.names(|c| c.get("name")?.text())?;
    let classes = Classes::new(classes, &settings.classes);
    let names = TopologyNames { zones: names("localities")?, kinds: names("kinds")? };
    let signed = top.opt("signed").map(|s| signed(&s)).transpose()?;
    let xds = top.opt("xds").map(|x| xds(&x)).transpose()?;
    let contracts = top
        .opt("teams")
        .map_or(Ok(Contracts::default()), |t| t.list(|t| team(t, &classes)).map(Contracts))?;
    if signed.is_some() && contracts.is_empty() {
        return Err(format!(
            "{}: 'teams' is missing: the signed front serves what contracts cover",
            sources.operator
        ));
    }
    // The platform gives an initial list and the coordinator's address; xDS replaces both.
    let use_coordinator = xds.is_none();
    let required_unless =
        |key: &str, optional: bool| if optional { Ok(top.opt(key)) } else { top.get(key).map(Some) };
    let initial_updates = match required_unless("known", !use_coordinator)? {
        Some(at) => initial_updates(&at, &names.zones, &names.kinds)?,
        None => (0, Vec::new()),
    };
    Ok(Config {
        name: top.get("name")?.text()?.to_owned(),
        listen: required_unless("listen", signed.is_some())?.map(|v| v.address()).transpose()?,
        admin: top.opt("admin_addr").map(|v| v.address()).transpose()?,
        seed,
        memory: memory(&top, (limits.get("memory_mb")?.above_zero()? * 1e6) as usize, contracts.0.len())?,
        max_descriptors: limits.get("sockets")?.above_zero()? as usize,
        coordinator: required_unless("coordinator", !use_coordinator)?
            .filter(|_| use_coordinator)
            .map(|v| v.address())
            .transpose()?,
        initial_updates,
        settings,
        classes,
        connect_timeout: above_zero_or(&caps, "connect-timeout", 0.4)?,
        node_idle_timeout: above_zero_or(&caps, "keepalive", 15.0)?,
        max_requests_per_connection: above_zero_or(&caps, "max-streams", 100.0)? as usize,
        handshake_cost: match director.opt("prices").and_then(|prices| prices.opt("handshake")) {
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
