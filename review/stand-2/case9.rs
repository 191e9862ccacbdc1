//! Discovery comes in Envoy's xDS form. The site is closed: an update leaves every cluster without endpoints. The
//! front may send nothing new to a removed endpoint 500 ms after it was told.
mod common;
use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// The clusters, one for each kind of node.
const CLUSTERS: [&str; 3] = ["caches", "parents", "origin"];
/// Time after which nothing new may go to a removed endpoint, and what a limit on sockets is longer by (seconds).
const GRACE: f64 = 0.5 + 0.05;
/// When the endpoints are removed, and how long the nodes are watched after that (seconds).
const REMOVED_AT: f64 = 4.0;
const WATCHED: f64 = 12.0;

/// A management server that is polled.
struct Management {
    address: SocketAddr,
    members: Vec<Member>,
    removed: AtomicBool,
    /// When the first response without endpoints was written, and how many were.
    told: Mutex<Option<f64>>,
    responses: AtomicU64,
    record: Arc<Record>,
}

impl Management {
    fn start(members: &[Member], record: &Arc<Record>) -> Arc<Management> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| quit(&e.to_string()));
        let this = Arc::new(Management {
            address: listener.local_addr().unwrap(),
            members: members.to_vec(),
            removed: AtomicBool::new(false),
            told: Mutex::new(None),
            responses: AtomicU64::new(0),
            record: record.clone(),
        });
        let server = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        this
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let (mut first, mut length) = (String::new(), 0);
            if input.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                input.read_line(&mut line)?;
                match line.trim_end().split_once(':') {
                    Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                        length = value.trim().parse().unwrap_or(0);
                    }
                    _ => {}
                }
                if line.trim_end().is_empty() {
                    break;
                }
            }
            let mut body = vec![0; length];
            input.read_exact(&mut body)?;
            let removed = self.removed.load(Ordering::SeqCst);
            let endpoints = first.contains("discovery:endpoints");
            let text = if endpoints { self.assignments(removed) } else { clusters() };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            out.write_all(format!("{head}{text}").as_bytes())?;
            if endpoints && removed {
                let number = self.responses.fetch_add(1, Ordering::SeqCst) + 1;
                let told = *self.told.lock().unwrap().get_or_insert(now());
                self.record.line(&format!(
                    "response {number} without endpoints is written; told at {}",
                    self.record.at(told)
                ));
                if String::from_utf8_lossy(&body).contains("error_detail") {
                    self.record.line("the front rejects the update");
                }
            }
        }
    }

    fn assignments(&self, removed: bool) -> String {
        let endpoint = |m: &Member| {
            format!(
                "{{\"locality\":{{\"zone\":\"{}\"}},\"lb_endpoints\":[{{\"endpoint\":{{\"address\":{{\"socket_address\":{{\"address\":\"{}\",\"port_value\":{}}}}}}},\"health_status\":\"HEALTHY\",\"load_balancing_weight\":{},\"metadata\":{{\"filter_metadata\":{{\"onyxyoke\":{{\"id\":\"s-{:08x}\"}}}}}}}}]}}",
                ZONES[usize::from(m.zone)],
                m.address.ip(),
                m.address.port(),
                m.weight as u64,
                m.id
            )
        };
        let assignment = |kind: usize| {
            let members = self.members.iter().filter(|m| usize::from(m.kind) == kind && !removed);
            let groups: Vec<String> = members.map(endpoint).collect();
            format!(
                "{{\"@type\":\"{ASSIGNMENT}\",\"cluster_name\":\"{}\",\"endpoints\":[{}]}}",
                CLUSTERS[kind],
                groups.join(",")
            )
        };
        let all: Vec<String> = (0..CLUSTERS.len()).map(assignment).collect();
        let version = 1 + u8::from(removed);
        format!(
            "{{\"version_info\":\"{version}\",\"type_url\":\"{ASSIGNMENT}\",\"nonce\":\"e{version}\",\"resources\":[{}]}}",
            all.join(",")
        )
    }
}

fn clusters() -> String {
    let cluster = |kind: usize| {
        format!(
            "{{\"@type\":\"{CLUSTER}\",\"name\":\"{}\",\"metadata\":{{\"filter_metadata\":{{\"onyxyoke\":{{\"kind\":\"{}\"}}}}}}}}",
            CLUSTERS[kind], KINDS[kind]
        )
    };
    let all: Vec<String> = (0..CLUSTERS.len()).map(cluster).collect();
    format!(
        "{{\"version_info\":\"1\",\"type_url\":\"{CLUSTER}\",\"nonce\":\"c1\",\"resources\":[{}]}}",
        all.join(",")
    )
}

fn main() {
    let site = Site::new("case9", 6);
    let record = site.record.clone();
    let management = Management::start(&site.deployment.members, &record);
    let operator = site.folder.0.join("operator.toml");
    std::fs::write(&operator, format!("[xds]\nserver = \"{}\"\nrefresh_s = 0.5\n", management.address))
        .unwrap_or_else(|e| quit(&e.to_string()));
    let variables = [("ONYXYOKE_OPERATOR", operator.display().to_string())];
    let mut front = Process::start_with("front", &site.config, site.listen, None, &site.folder.0, &variables);
    if !wait_ready(site.listen, 20.0) {
        quit("the front is not ready within 20 s");
    }
    let begin = now();
    let clients = ask_for_pages(site.listen, begin + REMOVED_AT + WATCHED, |at| {
        if trouble() && at > begin + REMOVED_AT {
            management.removed.store(true, Ordering::SeqCst);
        }
    });
    sleep(3.6);
    let (served, unanswered) = record_answers(&record, &clients);
    let told = *management.told.lock().unwrap();
    if trouble() && told.is_none() {
        quit("the front did not ask for the endpoints after their removal");
    }
    let arrivals = site.deployment.arrivals();
    let late: Vec<Arrival> =
        arrivals.iter().filter(|a| told.is_some_and(|t| a.at > t + GRACE)).cloned().collect();
    record_arrivals(&record, &late);
    front.record_log(&record);
    record.say(&format!(
        "served {served}, without answer {unanswered}; {} sends in all; told at {}; sends to removed endpoints after the grace: {}, the last at {}",
        arrivals.len(),
        told.map_or("-".into(), |t| record.at(t)),
        late.len(),
        late.last().map_or("-".into(), |a| record.at(a.at))
    ));
    let crashed = front.ended();
    drop((front, site.folder));
    finish(i32::from(!late.is_empty() || crashed.is_some()));
}
