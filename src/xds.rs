//! Discovery in xDS form: Envoy's v3 clusters and endpoints, polled as JSON over REST, into the core's node
//! list. An update that cannot be used is rejected whole, the last good one stays, and the server is told.

use crate::broker::{DiscoveryUpdate, Member};
use crate::interface::*;
use crate::memory::{AccountOwner, Ledger, Purpose};
use crate::net::{Buffer, Reloadable};
use crate::signed::http;
use crate::{clock, log};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Type of a cluster.
pub const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
/// Type of a cluster's endpoints.
pub const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Key of this program's metadata under `filter_metadata`.
const METADATA: &str = "onyxyoke";
/// Largest response (bytes).
const LARGEST: usize = 4 << 20;
/// What is read of a response at once (bytes).
const OWN: usize = 16 * 1024;
/// A poll that has no response by then has failed (seconds).
const POLL_WITHIN: f64 = 2.0;

/// The names by which metadata and localities mean the settings' places.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// The state of the world as last accepted.
#[derive(Debug, Default)]
pub struct World {
    names: Names,
    /// By name: the name of its endpoints' resource, the kind of its machines.
    clusters: BTreeMap<String, (String, Option<u16>)>,
    assignments: BTreeMap<String, Vec<Endpoint>>,
}

#[derive(Debug, Clone)]
struct Endpoint {
    address: SocketAddr,
    state: NodeState,
    weight: f64,
    zone: u16,
    kind: Option<u16>,
    cell: u16,
    id: Option<u32>,
    started: f64,
}

/// A field by its proto name, which JSON may also write in lowerCamelCase.
fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let camel = || {
        let mut parts = name.split('_');
        let first = parts.next().unwrap_or_default().to_owned();
        parts.fold(first, |all, p| all + &p[..1].to_ascii_uppercase() + &p[1..])
    };
    value.get(name).or_else(|| value.get(camel())).filter(|v| !v.is_null())
}

fn path<'a>(value: &'a Value, names: &[&str]) -> Option<&'a Value> {
    names.iter().try_fold(value, |v, name| field(v, name))
}

fn text<'a>(value: &'a Value, name: &str) -> Result<&'a str, String> {
    let text = field(value, name).and_then(Value::as_str).filter(|t| !t.is_empty());
    text.ok_or_else(|| format!("'{name}' is missing or no text"))
}

fn list<'a>(value: &'a Value, name: &str) -> Result<&'a [Value], String> {
    match field(value, name) {
        None => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(format!("'{name}' is no list")),
    }
}

impl World {
    /// Knows nothing yet.
    pub fn new(names: Names) -> Self {
        World { names, ..World::default() }
    }

    /// Names of the endpoint resources that the clusters ask for.
    pub fn wanted(&self) -> Vec<&str> {
        self.clusters.values().map(|(service, _)| service.as_str()).collect()
    }

    /// Takes a discovery response of either type, whole or not at all. Returns its version and nonce.
    pub fn take(&mut self, response: &Value, kind: &str) -> Result<(String, String), String> {
        if field(response, "type_url").and_then(Value::as_str).is_some_and(|t| t != kind) {
            return Err("'type_url' is another type's".into());
        }
        let version = field(response, "version_info").and_then(Value::as_str).unwrap_or_default().to_owned();
        let nonce = field(response, "nonce").and_then(Value::as_str).unwrap_or_default().to_owned();
        let resources = list(response, "resources")?;
        let typed = |r: &Value| r.get("@type").and_then(Value::as_str).is_none_or(|t| t == kind);
        if let Some(at) = resources.iter().position(|r| !typed(r)) {
            return Err(format!("'resources.{at}.@type' is another type's"));
        }
        let at = |i: usize, e: String| format!("resources.{i}: {e}");
        if kind == CLUSTER {
            // A list of clusters is complete: what it lacks is gone.
            let mut clusters = BTreeMap::new();
            let mut inline = BTreeMap::new();
            for (i, r) in resources.iter().enumerate() {
                let name = text(r, "name").map_err(|e| at(i, e))?.to_owned();
                let service = path(r, &["eds_cluster_config", "service_name"]).and_then(Value::as_str);
                let service = service.filter(|s| !s.is_empty()).unwrap_or(&name).to_owned();
                let kind = self.kind(r).map_err(|e| at(i, e))?;
                if let Some(assignment) = field(r, "load_assignment") {
                    let found = self.assignment(assignment).map_err(|e| at(i, e))?;
                    inline.insert(service.clone(), found);
                }
                if clusters.insert(name, (service, kind)).is_some() {
                    return Err(at(i, "'name' stands twice".into()));
                }
            }
            self.clusters = clusters;
            self.assignments.extend(inline);
            let services: Vec<&String> = self.clusters.values().map(|(s, _)| s).collect();
            self.assignments.retain(|name, _| services.contains(&name));
        } else {
            // A list of assignments tells only of those that it names.
            let mut taken = BTreeMap::new();
            for (i, r) in resources.iter().enumerate() {
                let name = text(r, "cluster_name").map_err(|e| at(i, e))?.to_owned();
                taken.insert(name, self.assignment(r).map_err(|e| at(i, e))?);
            }
            self.assignments.extend(taken);
        }
        Ok((version, nonce))
    }

    fn kind(&self, of: &Value) -> Result<Option<u16>, String> {
        let Some(kind) = path(of, &["metadata", "filter_metadata", METADATA, "kind"]) else {
            return Ok(None);
        };
        let place = kind.as_str().and_then(|k| self.names.kinds.iter().position(|n| n == k));
        place.map(|p| Some(p as u16)).ok_or_else(|| format!("metadata 'kind' {kind} is unknown"))
    }

    fn assignment(&self, of: &Value) -> Result<Vec<Endpoint>, String> {
        let mut all = Vec::new();
        for group in list(of, "endpoints")? {
            let zone = path(group, &["locality", "zone"]).and_then(Value::as_str);
            let zone = zone.ok_or("'locality.zone' is missing")?;
            let place = self.names.zones.iter().position(|z| z == zone);
            let place = place.ok_or_else(|| format!("'locality.zone' \"{zone}\" is unknown"))? as u16;
            for e in list(group, "lb_endpoints")? {
                all.push(self.endpoint(e, place)?);
            }
        }
        Ok(all)
    }

    fn endpoint(&self, of: &Value, zone: u16) -> Result<Endpoint, String> {
        let socket =
            path(of, &["endpoint", "address", "socket_address"]).ok_or("'socket_address' is missing")?;
        let ip = text(socket, "address")?.parse().map_err(|_| "'address' is no IP address")?;
        let port = field(socket, "port_value").and_then(Value::as_u64).and_then(|p| u16::try_from(p).ok());
        let port = port.filter(|&p| p > 0).ok_or("'port_value' is missing or no port")?;
        let health = field(of, "health_status");
        let state = match health.map_or(Some("UNKNOWN"), |h| match h.as_u64() {
            Some(n) => ["UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"]
                .get(n as usize)
                .copied(),
            None => h.as_str(),
        }) {
            Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => NodeState::Ready,
            Some("DRAINING") => NodeState::Draining,
            Some("UNHEALTHY" | "TIMEOUT") => NodeState::Withdrawn,
            _ => return Err("'health_status' is unknown".into()),
        };
        let weight = match field(of, "load_balancing_weight") {
            None => 1.0,
            Some(w) => {
                w.as_u64().filter(|&w| w >= 1).ok_or("'load_balancing_weight' is no whole number from 1")?
                    as f64
            }
        };
        let nothing = Value::Object(Map::new());
        let own = path(of, &["metadata", "filter_metadata", METADATA]).unwrap_or(&nothing);
        let cell = match field(own, "cell") {
            None => 0,
            Some(c) => {
                c.as_f64().filter(|c| (0.0..=65_535.0).contains(c)).ok_or("metadata 'cell' is no number")?
                    as u16
            }
        };
        let id = match field(own, "id").map(|id| id.as_str().and_then(|t| t.strip_prefix("s-"))) {
            None => None,
            Some(digits) => {
                let id = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
                Some(id.ok_or("metadata 'id' is not 's-' and hexadecimal digits")?)
            }
        };
        let started = match field(own, "started_ms") {
            None => 0.0,
            Some(s) => s.as_f64().ok_or("metadata 'started_ms' is no number")? / 1000.0,
        };
        let address = SocketAddr::new(ip, port);
        Ok(Endpoint { address, state, weight, zone, kind: self.kind(of)?, cell, id, started })
    }

    /// The whole list as the core takes it. A node is known by the id in its metadata; without one, by its
    /// cluster, address and start, so that an address that passes to another machine makes another node.
    pub fn roster(&self) -> Result<Vec<Member>, String> {
        let mut members: BTreeMap<NodeId, Member> = BTreeMap::new();
        for (name, (service, kind)) in &self.clusters {
            for e in self.assignments.get(service).into_iter().flatten() {
                let made = || xxh3_64(format!("{name} {} {}", e.address, e.started).as_bytes()) as u32;
                let id = NodeId(e.id.unwrap_or_else(made).into());
                let kind = e.kind.or(*kind);
                let kind = kind.ok_or_else(|| format!("cluster '{name}': no metadata says the 'kind'"))?;
                let (state, cell, zone) = (e.state, e.cell, ZoneId(e.zone));
                let node = Node { id, state, cell, weight: e.weight, kind, ready_at: e.started, zone };
                if members.insert(id, Member { node, address: e.address }).is_some() {
                    return Err(format!("cluster '{name}': two endpoints have one id"));
                }
            }
        }
        Ok(members.into_values().collect())
    }
}

/// A subscription to one type: what was accepted, and what to say of the last response.
struct Subscription {
    kind: &'static str,
    target: &'static str,
    version: String,
    nonce: String,
    error: Option<String>,
}

/// Polls a discovery server for ever.
pub async fn follow(
    server: Rc<Reloadable<(SocketAddr, f64)>>,
    node: String,
    names: Names,
    news: UnboundedSender<DiscoveryUpdate>,
    memory: Ledger,
) {
    let mut world = World::new(names.clone());
    let new = |kind, target| Subscription {
        kind,
        target,
        version: String::new(),
        nonce: String::new(),
        error: None,
    };
    let mut subscriptions =
        [new(CLUSTER, "/v3/discovery:clusters"), new(ASSIGNMENT, "/v3/discovery:endpoints")];
    let mut told: Option<Vec<Member>> = None;
    loop {
        for s in &mut subscriptions {
            let wanted: Vec<String> = match s.kind {
                ASSIGNMENT => world.wanted().into_iter().map(str::to_owned).collect(),
                _ => Vec::new(),
            };
            if s.kind == ASSIGNMENT && wanted.is_empty() {
                continue;
            }
            if let Err(e) = poll(server.get().0, &node, s, &mut world, &wanted, &memory).await {
                log!("xds {}: {e}; the last good list stays", s.target);
            }
        }
        if let Ok(members) = world.roster()
            && told.as_ref() != Some(&members)
            && !members.is_empty()
        {
            told = Some(members.clone());
            if news.send(DiscoveryUpdate::NodeList { full: true, members }).is_err() {
                return;
            }
        }
        tokio::select! {
            biased;
            () = server.changed() => log!("xds: {} is asked from now on", server.get().0),
            () = tokio::time::sleep_until(clock::instant(clock::now() + server.get().1)) => {}
        }
    }
}

/// One request and its response. What is wrong with a response is told with the next request.
async fn poll(
    server: SocketAddr,
    node: &str,
    s: &mut Subscription,
    world: &mut World,
    wanted: &[String],
    memory: &Ledger,
) -> Result<(), String> {
    let mut ask = json!({
        "node": {"id": node}, "type_url": s.kind, "resource_names": wanted,
        "version_info": s.version, "response_nonce": s.nonce,
    });
    if let Some(error) = &s.error {
        ask["error_detail"] = json!({"code": 3, "message": error});
    }
    let by = clock::instant(clock::now() + POLL_WITHIN);
    let (status, body) =
        post(server, s.target, ask.to_string().as_bytes(), by, memory).await.map_err(|e| e.to_string())?;
    if status == 304 {
        return Ok(());
    }
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let response: Value = serde_json::from_slice(&body).map_err(|e| format!("no JSON: {e}"))?;
    let before = (world.clusters.clone(), world.assignments.clone());
    let taken = world.take(&response, s.kind).and_then(|t| world.roster().map(|_| t));
    match taken {
        Ok((version, nonce)) => {
            (s.version, s.nonce, s.error) = (version, nonce, None);
            Ok(())
        }
        Err(e) => {
            (world.clusters, world.assignments) = before;
            s.nonce = field(&response, "nonce").and_then(Value::as_str).unwrap_or_default().to_owned();
            s.error = Some(e.clone());
            Err(e)
        }
    }
}

/// Posts JSON on a connection of its own and returns status and body.
async fn post(
    server: SocketAddr,
    target: &str,
    body: &[u8],
    by: Instant,
    memory: &Ledger,
) -> io::Result<(u16, Vec<u8>)> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let bad = || io::Error::new(io::ErrorKind::InvalidData, "a response that cannot be read");
    let stream = timeout_at(by, TcpStream::connect(server)).await.map_err(late)??;
    stream.set_nodelay(true)?;
    let buffer = || {
        Buffer::new(
            OWN,
            memory.empty_grant(AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Learned) }),
        )
    };
    let (mut out, mut input) = (buffer(), buffer());
    let length = body.len();
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {server}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    if !out.push(head.as_bytes()) || !out.push(body) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    while !out.is_empty() {
        timeout_at(by, stream.writable()).await.map_err(late)??;
        out.write_to(&stream)?;
    }
    loop {
        timeout_at(by, stream.readable()).await.map_err(late)??;
        let closed = match input.read_from(&stream) {
            Ok(n) => n == 0,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(e) => return Err(e),
        };
        match http::response(input.bytes(), closed, LARGEST) {
            Ok(Some(response)) => return Ok(response),
            Ok(None) if !closed => {}
            _ => return Err(bad()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn world() -> World {
        let list = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        World::new(Names { zones: list(&["hub", "branch"]), kinds: list(&["standard", "parent", "origin"]) })
    }

    fn cluster(name: &str, kind: &str) -> Value {
        json!({"@type": CLUSTER, "name": name, "type": "EDS", "eds_cluster_config": {"service_name": name},
            "metadata": {"filter_metadata": {"onyxyoke": {"kind": kind}}}})
    }

    fn endpoint(port: u16, health: &str) -> Value {
        json!({"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": port}}},
            "health_status": health, "load_balancing_weight": 4,
            "metadata": {"filter_metadata": {"onyxyoke": {"cell": 2, "started_ms": 5000}}}})
    }

    fn assignment(name: &str, endpoints: Vec<Value>) -> Value {
        json!({"@type": ASSIGNMENT, "cluster_name": name,
            "endpoints": [{"locality": {"zone": "branch"}, "lb_endpoints": endpoints}]})
    }

    fn response(kind: &str, resources: Vec<Value>) -> Value {
        json!({"version_info": "7", "type_url": kind, "nonce": "n", "resources": resources})
    }

    #[test]
    fn clusters_and_endpoints_become_the_list() {
        let mut w = world();
        w.take(&response(CLUSTER, vec![cluster("caches", "standard")]), CLUSTER).unwrap();
        assert_eq!(w.wanted(), ["caches"]);
        let healths = ["HEALTHY", "DRAINING", "UNHEALTHY"];
        let all = healths.iter().enumerate().map(|(i, h)| endpoint(4000 + i as u16, h)).collect();
        let taken = w.take(&response(ASSIGNMENT, vec![assignment("caches", all)]), ASSIGNMENT);
        assert_eq!(taken, Ok(("7".into(), "n".into())));
        let mut members = w.roster().unwrap();
        members.sort_by_key(|m| m.address.port());
        let states: Vec<NodeState> = members.iter().map(|m| m.node.state).collect();
        assert_eq!(states, [NodeState::Ready, NodeState::Draining, NodeState::Withdrawn]);
        let n = members[0].node;
        assert_eq!((n.weight, n.cell, n.kind, n.zone, n.ready_at), (4.0, 2, 0, ZoneId(1), 5.0));
        // The same address with a later start is another machine.
        let mut later = endpoint(4000, "HEALTHY");
        later["metadata"]["filter_metadata"]["onyxyoke"]["started_ms"] = json!(6000);
        w.take(&response(ASSIGNMENT, vec![assignment("caches", vec![later])]), ASSIGNMENT).unwrap();
        assert_ne!(w.roster().unwrap()[0].node.id, n.id);
        // A cluster that the list lacks is gone, and its endpoints with it.
        w.take(&response(CLUSTER, vec![]), CLUSTER).unwrap();
        assert_eq!(w.roster(), Ok(vec![]));
    }

    #[test]
    fn both_spellings_of_the_json_form_are_read() {
        let mut w = world();
        let text = r#"{"versionInfo": "1", "resources": [{"name": "caches", "metadata": {"filterMetadata":
            {"onyxyoke": {"kind": "parent"}}}, "loadAssignment": {"clusterName": "caches", "endpoints":
            [{"locality": {"zone": "hub"}, "lbEndpoints": [{"healthStatus": 3, "endpoint": {"address":
            {"socketAddress": {"address": "::1", "portValue": 80}}}}]}]}}]}"#;
        w.take(&serde_json::from_str(text).unwrap(), CLUSTER).unwrap();
        let m = w.roster().unwrap()[0];
        assert_eq!((m.node.kind, m.node.state, m.address.port()), (1, NodeState::Draining, 80));
    }

    #[test]
    fn a_bad_update_is_rejected_whole() {
        let mut w = world();
        w.take(&response(CLUSTER, vec![cluster("caches", "standard")]), CLUSTER).unwrap();
        let good = assignment("caches", vec![endpoint(4000, "HEALTHY")]);
        w.take(&response(ASSIGNMENT, vec![good.clone()]), ASSIGNMENT).unwrap();
        let before = w.roster().unwrap();
        let changes: [fn(&mut Value); 6] = [
            |e| e["health_status"] = json!("SPLENDID"),
            |e| e["load_balancing_weight"] = json!(0),
            |e| e["endpoint"]["address"]["socket_address"]["port_value"] = json!(70_000),
            |e| e["endpoint"]["address"]["socket_address"]["address"] = json!("cache.example"),
            |e| e["metadata"]["filter_metadata"]["onyxyoke"]["kind"] = json!("teapot"),
            |e| e["metadata"]["filter_metadata"]["onyxyoke"]["id"] = json!("7"),
        ];
        for change in changes {
            let mut bad = endpoint(4001, "HEALTHY");
            change(&mut bad);
            let update = response(
                ASSIGNMENT,
                vec![good.clone(), assignment("caches", vec![endpoint(4002, "HEALTHY"), bad])],
            );
            assert!(w.take(&update, ASSIGNMENT).is_err(), "{update}");
            assert_eq!(w.roster().unwrap(), before);
        }
        assert!(w.take(&response(CLUSTER, vec![cluster("x", "teapot")]), CLUSTER).is_err());
        assert!(w.take(&response(ASSIGNMENT, vec![]), CLUSTER).is_err(), "the other type");
        assert_eq!(w.roster().unwrap(), before);
    }
}
