//! Discovery client for Envoy's xDS v3 API: polls clusters and endpoints as JSON over REST and converts them
//! into the broker's node list. An invalid update is rejected as a whole: the last good one stays in use, and
//! the next request reports the error to the server (NACK).

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

/// Type URL of clusters.
pub const CLUSTER_TYPE: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
/// Type URL of a cluster's endpoint assignments.
pub const ASSIGNMENT_TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Key of this program's metadata under `filter_metadata`.
const METADATA_KEY: &str = "onyxyoke";
/// Maximum size of a response's body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Size up to which a buffer needs no memory grant.
const BUFFER_BYTES: usize = 16 * 1024;
/// Timeout of one poll (seconds).
const POLL_TIMEOUT_S: f64 = 2.0;

/// The names that localities and metadata use, at the index that the settings give them.
#[derive(Debug, Clone, Default)]
pub struct TopologyNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of node.
    pub kinds: Vec<String>,
}

/// The resources that were accepted last.
#[derive(Debug, Default)]
pub struct DiscoveryState {
    names: TopologyNames,
    /// Clusters by name: the name of the endpoint resource, and the kind of the nodes.
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
    started_s: f64,
}

/// Returns a field by its proto name, which JSON may also spell in lowerCamelCase.
fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let camel = || {
        let mut parts = name.split('_');
        let first = parts.next().unwrap_or_default().to_owned();
        parts.fold(first, |all, p| all + &p[..1].to_ascii_uppercase() + &p[1..])
    };
    value.get(name).or_else(|| value.get(camel())).filter(|v| !v.is_null())
}

/// Returns the field at a path of names.
fn nested_field<'a>(value: &'a Value, names: &[&str]) -> Option<&'a Value> {
    names.iter().try_fold(value, |v, name| field(v, name))
}

fn required_text<'a>(value: &'a Value, name: &str) -> Result<&'a str, String> {
    let text = field(value, name).and_then(Value::as_str).filter(|t| !t.is_empty());
    text.ok_or_else(|| format!("'{name}' is missing or not a string"))
}

fn optional_list<'a>(value: &'a Value, name: &str) -> Result<&'a [Value], String> {
    match field(value, name) {
        None => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(format!("'{name}' is not a list")),
    }
}

impl DiscoveryState {
    /// An empty state.
    pub fn new(names: TopologyNames) -> Self {
        DiscoveryState { names, ..DiscoveryState::default() }
    }

    /// Returns the names of the endpoint resources that the clusters refer to.
    pub fn endpoint_resources(&self) -> Vec<&str> {
        self.clusters.values().map(|(service, _)| service.as_str()).collect()
    }

    /// Applies a discovery response of either type, as a whole or not at all. Returns its version and nonce.
    pub fn apply(&mut self, response: &Value, type_url: &str) -> Result<(String, String), String> {
        if field(response, "type_url").and_then(Value::as_str).is_some_and(|t| t != type_url) {
            return Err("'type_url' is not the requested type".into());
        }
        let version = field(response, "version_info").and_then(Value::as_str).unwrap_or_default().to_owned();
        let nonce = field(response, "nonce").and_then(Value::as_str).unwrap_or_default().to_owned();
        let resources = optional_list(response, "resources")?;
        let has_type = |r: &Value| r.get("@type").and_then(Value::as_str).is_none_or(|t| t == type_url);
        if let Some(at) = resources.iter().position(|r| !has_type(r)) {
            return Err(format!("'resources.{at}.@type' is not the requested type"));
        }
        let at = |i: usize, e: String| format!("resources.{i}: {e}");
        if type_url == CLUSTER_TYPE {
            // A list of clusters is complete: clusters that it lacks are removed.
            let mut clusters = BTreeMap::new();
            let mut inline = BTreeMap::new();
            for (i, r) in resources.iter().enumerate() {
                let name = required_text(r, "name").map_err(|e| at(i, e))?.to_owned();
                let service =
                    nested_field(r, &["eds_cluster_config", "service_name"]).and_then(Value::as_str);
                let service = service.filter(|s| !s.is_empty()).unwrap_or(&name).to_owned();
                let kind = self.kind(r).map_err(|e| at(i, e))?;
                if let Some(assignment) = field(r, "load_assignment") {
                    let found = self.assignment(assignment).map_err(|e| at(i, e))?;
                    inline.insert(service.clone(), found);
                }
                if clusters.insert(name, (service, kind)).is_some() {
                    return Err(at(i, "'name' is not unique".into()));
                }
            }
            self.clusters = clusters;
            self.assignments.extend(inline);
            let services: Vec<&String> = self.clusters.values().map(|(s, _)| s).collect();
            self.assignments.retain(|name, _| services.contains(&name));
        } else {
            // A list of assignments updates only the clusters that it names.
            let mut updated = BTreeMap::new();
            for (i, r) in resources.iter().enumerate() {
                let name = required_text(r, "cluster_name").map_err(|e| at(i, e))?.to_owned();
                updated.insert(name, self.assignment(r).map_err(|e| at(i, e))?);
            }
            self.assignments.extend(updated);
        }
        Ok((version, nonce))
    }

    /// Parses the kind in a resource's metadata, if there is one.
    fn kind(&self, resource: &Value) -> Result<Option<u16>, String> {
        let Some(kind) = nested_field(resource, &["metadata", "filter_metadata", METADATA_KEY, "kind"])
        else {
            return Ok(None);
        };
        let index = kind.as_str().and_then(|k| self.names.kinds.iter().position(|n| n == k));
        index.map(|i| Some(i as u16)).ok_or_else(|| format!("metadata 'kind' {kind} is unknown"))
    }

    /// Parses the endpoints of an assignment.
    fn assignment(&self, assignment: &Value) -> Result<Vec<Endpoint>, String> {
        let mut endpoints = Vec::new();
        for group in optional_list(assignment, "endpoints")? {
            let zone = nested_field(group, &["locality", "zone"]).and_then(Value::as_str);
            let zone = zone.ok_or("'locality.zone' is missing")?;
            let index = self.names.zones.iter().position(|z| z == zone);
            let index = index.ok_or_else(|| format!("'locality.zone' \"{zone}\" is unknown"))? as u16;
            for e in optional_list(group, "lb_endpoints")? {
                endpoints.push(self.endpoint(e, index)?);
            }
        }
        Ok(endpoints)
    }

    /// Parses one endpoint of a zone.
    fn endpoint(&self, endpoint: &Value, zone: u16) -> Result<Endpoint, String> {
        let socket = nested_field(endpoint, &["endpoint", "address", "socket_address"])
            .ok_or("'socket_address' is missing")?;
        let ip = required_text(socket, "address")?.parse().map_err(|_| "'address' is not an IP address")?;
        let port = field(socket, "port_value").and_then(Value::as_u64).and_then(|p| u16::try_from(p).ok());
        let port = port.filter(|&p| p > 0).ok_or("'port_value' is missing or not a port")?;
        let health = field(endpoint, "health_status");
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
        let weight = match field(endpoint, "load_balancing_weight") {
            None => 1.0,
            Some(w) => {
                w.as_u64()
                    .filter(|&w| w >= 1)
                    .ok_or("'load_balancing_weight' is not an integer of 1 or more")? as f64
            }
        };
        let nothing = Value::Object(Map::new());
        let metadata =
            nested_field(endpoint, &["metadata", "filter_metadata", METADATA_KEY]).unwrap_or(&nothing);
        let cell = match field(metadata, "cell") {
            None => 0,
            Some(c) => c
                .as_f64()
                .filter(|c| (0.0..=65_535.0).contains(c))
                .ok_or("metadata 'cell' is not a number from 0 to 65535")? as u16,
        };
        let id = match field(metadata, "id").map(|id| id.as_str().and_then(|t| t.strip_prefix("s-"))) {
            None => None,
            Some(digits) => {
                let id = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
                Some(id.ok_or("metadata 'id' is not 's-' followed by hexadecimal digits")?)
            }
        };
        let started_s = match field(metadata, "started_ms") {
            None => 0.0,
            Some(s) => s.as_f64().ok_or("metadata 'started_ms' is not a number")? / 1000.0,
        };
        let address = SocketAddr::new(ip, port);
        Ok(Endpoint { address, state, weight, zone, kind: self.kind(endpoint)?, cell, id, started_s })
    }

    /// Returns the complete node list. A node is identified by the id in its metadata; without one, by its
    /// cluster, address and start time, so that another machine at the same address is another node.
    pub fn members(&self) -> Result<Vec<Member>, String> {
        let mut members: BTreeMap<NodeId, Member> = BTreeMap::new();
        for (name, (service, kind)) in &self.clusters {
            for e in self.assignments.get(service).into_iter().flatten() {
                let derived_id =
                    || xxh3_64(format!("{name} {} {}", e.address, e.started_s).as_bytes()) as u32;
                let id = NodeId(e.id.unwrap_or_else(derived_id).into());
                let kind = e.kind.or(*kind);
                let kind = kind.ok_or_else(|| format!("cluster '{name}': metadata 'kind' is missing"))?;
                let (state, cell, zone) = (e.state, e.cell, ZoneId(e.zone));
                let node = Node { id, state, cell, weight: e.weight, kind, ready_at: e.started_s, zone };
                if members.insert(id, Member { node, address: e.address }).is_some() {
                    return Err(format!("cluster '{name}': two endpoints have the same id"));
                }
            }
        }
        Ok(members.into_values().collect())
    }
}

/// The subscription to one resource type: the version that was accepted, and the nonce and error of the last
/// response.
struct Subscription {
    type_url: &'static str,
    target: &'static str,
    version: String,
    nonce: String,
    error: Option<String>,
}

/// Polls a discovery server until the receiver of updates is closed.
pub async fn follow(
    server: Rc<Reloadable<(SocketAddr, f64)>>,
    node: String,
    names: TopologyNames,
    updates: UnboundedSender<DiscoveryUpdate>,
    memory: Ledger,
) {
    let mut state = DiscoveryState::new(names.clone());
    let new = |type_url, target| Subscription {
        type_url,
        target,
        version: String::new(),
        nonce: String::new(),
        error: None,
    };
    let mut subscriptions =
        [new(CLUSTER_TYPE, "/v3/discovery:clusters"), new(ASSIGNMENT_TYPE, "/v3/discovery:endpoints")];
    let mut sent: Option<Vec<Member>> = None;
    loop {
        for s in &mut subscriptions {
            let wanted: Vec<String> = match s.type_url {
                ASSIGNMENT_TYPE => state.endpoint_resources().into_iter().map(str::to_owned).collect(),
                _ => Vec::new(),
            };
            if s.type_url == ASSIGNMENT_TYPE && wanted.is_empty() {
                continue;
            }
            if let Err(e) = poll(server.get().0, &node, s, &mut state, &wanted, &memory).await {
                log!("xds {}: {e}; keeping the last good list", s.target);
            }
        }
        if let Ok(members) = state.members()
            && sent.as_ref() != Some(&members)
            && !members.is_empty()
        {
            sent = Some(members.clone());
            if updates.send(DiscoveryUpdate::NodeList { full: true, members }).is_err() {
                return;
            }
        }
        tokio::select! {
            biased;
            () = server.changed() => log!("xds: now polling {}", server.get().0),
            () = tokio::time::sleep_until(clock::instant(clock::now() + server.get().1)) => {}
        }
    }
}

/// Sends one request and applies its response. The next request reports an error in the response.
async fn poll(
    server: SocketAddr,
    node: &str,
    s: &mut Subscription,
    state: &mut DiscoveryState,
    wanted: &[String],
    memory: &Ledger,
) -> Result<(), String> {
    let mut request = json!({
        "node": {"id": node}, "type_url": s.type_url, "resource_names": wanted,
        "version_info": s.version, "response_nonce": s.nonce,
    });
    if let Some(error) = &s.error {
        request["error_detail"] = json!({"code": 3, "message": error});
    }
    let deadline = clock::instant(clock::now() + POLL_TIMEOUT_S);
    let (status, body) = post(server, s.target, request.to_string().as_bytes(), deadline, memory)
        .await
        .map_err(|e| e.to_string())?;
    if status == 304 {
        return Ok(());
    }
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let response: Value = serde_json::from_slice(&body).map_err(|e| format!("invalid JSON: {e}"))?;
    let previous = (state.clusters.clone(), state.assignments.clone());
    let applied = state.apply(&response, s.type_url).and_then(|accepted| state.members().map(|_| accepted));
    match applied {
        Ok((version, nonce)) => {
            (s.version, s.nonce, s.error) = (version, nonce, None);
            Ok(())
        }
        Err(e) => {
            (state.clusters, state.assignments) = previous;
            s.nonce = field(&response, "nonce").and_then(Value::as_str).unwrap_or_default().to_owned();
            s.error = Some(e.clone());
            Err(e)
        }
    }
}

/// Posts JSON on a new connection and returns the response's status and body.
async fn post(
    server: SocketAddr,
    target: &str,
    body: &[u8],
    deadline: Instant,
    memory: &Ledger,
) -> io::Result<(u16, Vec<u8>)> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let bad = || io::Error::new(io::ErrorKind::InvalidData, "the response is malformed");
    let stream = timeout_at(deadline, TcpStream::connect(server)).await.map_err(late)??;
    stream.set_nodelay(true)?;
    let buffer = || {
        Buffer::new(
            BUFFER_BYTES,
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
        timeout_at(deadline, stream.writable()).await.map_err(late)??;
        out.write_to(&stream)?;
    }
    loop {
        timeout_at(deadline, stream.readable()).await.map_err(late)??;
        let closed = match input.read_from(&stream) {
            Ok(n) => n == 0,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(e) => return Err(e),
        };
        match http::parse_response(input.bytes(), closed, MAX_RESPONSE_BYTES) {
            Ok(Some(response)) => return Ok(response),
            Ok(None) if !closed => {}
            _ => return Err(bad()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state() -> DiscoveryState {
        let list = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        DiscoveryState::new(TopologyNames {
            zones: list(&["hub", "branch"]),
            kinds: list(&["standard", "parent", "origin"]),
        })
    }

    fn cluster(name: &str, kind: &str) -> Value {
        json!({"@type": CLUSTER_TYPE, "name": name, "type": "EDS",
            "eds_cluster_config": {"service_name": name},
            "metadata": {"filter_metadata": {"onyxyoke": {"kind": kind}}}})
    }

    fn endpoint(port: u16, health: &str) -> Value {
        json!({"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": port}}},
            "health_status": health, "load_balancing_weight": 4,
            "metadata": {"filter_metadata": {"onyxyoke": {"cell": 2, "started_ms": 5000}}}})
    }

    fn assignment(name: &str, endpoints: Vec<Value>) -> Value {
        json!({"@type": ASSIGNMENT_TYPE, "cluster_name": name,
            "endpoints": [{"locality": {"zone": "branch"}, "lb_endpoints": endpoints}]})
    }

    fn response(kind: &str, resources: Vec<Value>) -> Value {
        json!({"version_info": "7", "type_url": kind, "nonce": "n", "resources": resources})
    }

    #[test]
    fn clusters_and_endpoints_make_the_node_list() {
        let mut w = state();
        w.apply(&response(CLUSTER_TYPE, vec![cluster("caches", "standard")]), CLUSTER_TYPE).unwrap();
        assert_eq!(w.endpoint_resources(), ["caches"]);
        let healths = ["HEALTHY", "DRAINING", "UNHEALTHY"];
        let all = healths.iter().enumerate().map(|(i, h)| endpoint(4000 + i as u16, h)).collect();
        let taken = w.apply(&response(ASSIGNMENT_TYPE, vec![assignment("caches", all)]), ASSIGNMENT_TYPE);
        assert_eq!(taken, Ok(("7".into(), "n".into())));
        let mut members = w.members().unwrap();
        members.sort_by_key(|m| m.address.port());
        let states: Vec<NodeState> = members.iter().map(|m| m.node.state).collect();
        assert_eq!(states, [NodeState::Ready, NodeState::Draining, NodeState::Withdrawn]);
        let n = members[0].node;
        assert_eq!((n.weight, n.cell, n.kind, n.zone, n.ready_at), (4.0, 2, 0, ZoneId(1), 5.0));
        // The same address with a later start is another machine.
        let mut later = endpoint(4000, "HEALTHY");
        later["metadata"]["filter_metadata"]["onyxyoke"]["started_ms"] = json!(6000);
        w.apply(&response(ASSIGNMENT_TYPE, vec![assignment("caches", vec![later])]), ASSIGNMENT_TYPE)
            .unwrap();
        assert_ne!(w.members().unwrap()[0].node.id, n.id);
        // A cluster that the list lacks is removed together with its endpoints.
        w.apply(&response(CLUSTER_TYPE, vec![]), CLUSTER_TYPE).unwrap();
        assert_eq!(w.members(), Ok(vec![]));
    }

    #[test]
    fn snake_case_and_camel_case_fields_are_parsed() {
        let mut w = state();
        let text = r#"{"versionInfo": "1", "resources": [{"name": "caches", "metadata": {"filterMetadata":
            {"onyxyoke": {"kind": "parent"}}}, "loadAssignment": {"clusterName": "caches", "endpoints":
            [{"locality": {"zone": "hub"}, "lbEndpoints": [{"healthStatus": 3, "endpoint": {"address":
            {"socketAddress": {"address": "::1", "portValue": 80}}}}]}]}}]}"#;
        w.apply(&serde_json::from_str(text).unwrap(), CLUSTER_TYPE).unwrap();
        let m = w.members().unwrap()[0];
        assert_eq!((m.node.kind, m.node.state, m.address.port()), (1, NodeState::Draining, 80));
    }

    #[test]
    fn invalid_update_is_rejected_as_a_whole() {
        let mut w = state();
        w.apply(&response(CLUSTER_TYPE, vec![cluster("caches", "standard")]), CLUSTER_TYPE).unwrap();
        let good = assignment("caches", vec![endpoint(4000, "HEALTHY")]);
        w.apply(&response(ASSIGNMENT_TYPE, vec![good.clone()]), ASSIGNMENT_TYPE).unwrap();
        let previous = w.members().unwrap();
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
                ASSIGNMENT_TYPE,
                vec![good.clone(), assignment("caches", vec![endpoint(4002, "HEALTHY"), bad])],
            );
            assert!(w.apply(&update, ASSIGNMENT_TYPE).is_err(), "{update}");
            assert_eq!(w.members().unwrap(), previous);
        }
        assert!(w.apply(&response(CLUSTER_TYPE, vec![cluster("x", "teapot")]), CLUSTER_TYPE).is_err());
        assert!(w.apply(&response(ASSIGNMENT_TYPE, vec![]), CLUSTER_TYPE).is_err(), "the other type");
        assert_eq!(w.members().unwrap(), previous);
    }
}
