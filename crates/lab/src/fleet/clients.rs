//! Open-loop clients of a fleet. Each sends its requests on connections to its own front, and to another
//! front of the location once it notices that its own is gone.

use super::fronts::Front;
use super::plan::Plan;
use super::record::{End, EventLog, RequestRecord, SentOn};
use crate::connection::ClientConnection;
use crate::paced::PacedReader;
use crate::soak::clients::answer;
use onyxyoke_stand_ins::fleet::{Tier, object, read_body, work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// A request that was sent this shortly before its connection closed is retried once, as on the platform
/// (seconds). The measured lateness of this program is added, since it sees the close that much later.
const CLOSE_RACE_S: f64 = 0.05;
/// Limit of the requests in flight on a connection.
const MAX_IN_FLIGHT: usize = 30;
/// Classes as in the example settings: name, deadline (seconds), base of the aim (seconds), and the multiple
/// of the sending time that is added to the base.
const MEDIA: (&str, f64, f64, f64) = ("media", 5.0, 0.5, 1.6);
const HOLDS: (&str, f64, f64, f64) = ("holds", 3.0, 0.6, 0.0);

/// A client's connection; each tag in flight has its index in the record, and whether it is a retry.
type Connection = ClientConnection<(usize, bool)>;

/// The clients of all fronts of a fleet.
pub struct Clients {
    plan: Plan,
    tier: Arc<Tier>,
    event_log: Arc<EventLog>,
    fronts: Vec<Rc<Front>>,
    /// The open connections of each front.
    connections: RefCell<Vec<Vec<Rc<Connection>>>>,
    random: RefCell<SmallRng>,
    popularity: Zipf<f64>,
    running: Cell<bool>,
    /// Multiple of the planned request rate.
    pub load: Cell<f64>,
    /// Share of the requests that ask for one single object.
    pub hot: Cell<f64>,
    next_call: Cell<u64>,
}

impl Clients {
    pub fn new(
        plan: &Plan,
        tier: Arc<Tier>,
        event_log: Arc<EventLog>,
        fronts: Vec<Rc<Front>>,
        seed: u64,
    ) -> Rc<Clients> {
        let c = &plan.clients;
        Rc::new(Clients {
            popularity: Zipf::new(c.objects as f64, c.zipf).expect("checked with the plan"),
            connections: RefCell::new(vec![Vec::new(); fronts.len()]),
            plan: plan.clone(),
            tier,
            event_log,
            fronts,
            random: RefCell::new(SmallRng::seed_from_u64(seed ^ 0xc11e)),
            running: Cell::new(true),
            load: Cell::new(1.0),
            hot: Cell::new(0.0),
            next_call: Cell::new(1),
        })
    }

    /// Starts the arrivals of requests at every front.
    pub fn start(self: &Rc<Self>) {
        for front in 0..self.fronts.len() {
            spawn_local(self.clone().run_arrivals(front));
        }
    }

    /// Stops the arrivals of new requests.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// Marks the requests in flight at a front as excused, since it was killed or stopped.
    pub fn excuse_in_flight(&self, front: usize) {
        let connections = self.connections.borrow();
        let mut seen = self.event_log.open();
        for (index, _) in
            connections[front].iter().flat_map(|c| c.open.borrow().values().copied().collect::<Vec<_>>())
        {
            seen.requests[index].excused = true;
        }
    }

    /// Sends the requests of one front's clients as a Poisson process, whether or not earlier ones were
    /// answered.
    async fn run_arrivals(self: Rc<Self>, front: usize) {
        let rate = self.plan.rate(front);
        let mut at = Instant::now();
        while self.running.get() {
            let gap = {
                let mut random = self.random.borrow_mut();
                Exp::new(rate * self.load.get()).map_or(1.0, |e| e.sample(&mut *random))
            };
            at += Duration::from_secs_f64(gap);
            sleep_until(at).await;
            if !self.running.get() {
                return;
            }
            self.event_log.open().late.saturating_record(at.elapsed().as_micros() as u64);
            spawn_local(self.clone().send_new(front));
        }
    }

    /// Draws the class of a request (whether it is `holds`) and its object.
    fn draw_request(&self) -> (bool, u64) {
        let mut random = self.random.borrow_mut();
        let holds = random.random_bool(self.plan.clients.holds);
        let hot = self.hot.get() > 0.0 && random.random_bool(self.hot.get());
        let number =
            if hot { self.plan.clients.objects + 1 } else { self.popularity.sample(&mut *random) as u64 };
        // Each object has a fixed size; most are small, some are several times the mean.
        let unit = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64;
        let size = if hot { 1.0 } else { 0.3 - (1.0 - unit).max(1e-6).ln() * 0.7 };
        (holds, object(number, self.plan.work() * size))
    }

    /// Records a new request of a front's clients and sends it.
    async fn send_new(self: Rc<Self>, front: usize) {
        let (holds, object) = self.draw_request();
        let (_, deadline, aim, stretch) = if holds { HOLDS } else { MEDIA };
        let index = {
            let asked = &mut self.event_log.open().requests;
            asked.push(RequestRecord {
                at: self.tier.unix_seconds(),
                front,
                sent_on: None,
                aim: aim + stretch * work(object),
                deadline,
                object,
                end: None,
                made: None,
                extra_answers: 0,
                corrupted: false,
                excused: false,
                paced: self.plan.clients.pace.is_some(),
            });
            asked.len() - 1
        };
        self.send(front, index, holds, false).await;
    }

    /// Sends a request to its front or, if that is not reachable, to another front of the location.
    async fn send(self: Rc<Self>, front: usize, index: usize, holds: bool, is_retry: bool) {
        let mut at = front;
        for _ in 0..4 {
            let target = &self.fronts[at];
            if target.address.get().is_some() || target.keeps_connections.get() {
                match self.connection(at, is_retry).await {
                    Ok(connection) => return self.send_on(at, &connection, index, holds, is_retry).await,
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => self.record_refusal(at),
                    Err(_) => {}
                }
            }
            let others: Vec<usize> = (0..self.fronts.len())
                .filter(|f| {
                    self.plan.location(*f) == self.plan.location(front)
                        && self.fronts[*f].address.get().is_some()
                })
                .collect();
            if others.is_empty() {
                sleep(Duration::from_millis(50)).await;
                continue;
            }
            at = others[self.random.borrow_mut().random_range(0..others.len())];
        }
        self.event_log.open().requests[index].end = Some((self.tier.unix_seconds(), End::Unreached));
    }

    /// Records a refused connection if a process of the front should have accepted it: not after SIGTERM, not
    /// after the test has killed it, and not if the rollout's new program is one that crashes.
    fn record_refusal(&self, front: usize) {
        let target = &self.fronts[front];
        let crashes = self.plan.rollout.as_ref().is_some_and(|rollout| rollout.crashes);
        let killed = target.kills.get() != target.answered_kills.get();
        if target.address.get().is_some() && !killed && !crashes {
            self.event_log.open().refused.push((self.tier.unix_seconds(), front));
        }
    }

    /// Sends a recorded request on this connection.
    async fn send_on(
        &self,
        front: usize,
        connection: &Connection,
        index: usize,
        holds: bool,
        is_retry: bool,
    ) {
        let tag = connection.allocate_tag();
        let call = self.next_call.replace(self.next_call.get() + 1);
        let (object, deadline) = {
            let mut seen = self.event_log.open();
            // The latency of a request is measured from its last byte.
            let now = self.tier.unix_seconds();
            seen.requests[index].at = now;
            let made = now - connection.connected_at.elapsed().as_secs_f64();
            seen.requests[index].sent_on =
                Some(SentOn { front, port: connection.local_port, made, closed: None });
            (seen.requests[index].object, seen.requests[index].deadline)
        };
        let (class, ..) = if holds { HOLDS } else { MEDIA };
        let ttl = (deadline * 1000.0) as u64;
        let heap = work(object) * self.tier.flow;
        let mut fields = format!(
            "call={call:016x},ttl={ttl},row={object:016x},slice=0,set={},heap={heap:.3}",
            object >> 20 & 0xff
        );
        if holds {
            // All tries of one request share the deduplication key.
            fields += &format!(",dedupe={:032x}", index as u64 + 1);
        }
        let tag_text = tag.to_string();
        let words = ["REQ", &tag_text, class, &fields, ""];
        let mut out = format!("*{}\r\n", words.len());
        words.iter().for_each(|w| out += &format!("${}\r\n{w}\r\n", w.len()));
        connection.open.borrow_mut().insert(tag, (index, is_retry));
        let _ = connection.write.lock().await.write_all(out.as_bytes()).await;
    }

    /// Returns whether a connection may take another request. Clients use a connection until it closes.
    /// Clients that read slowly don't see the close in time, so they stop at the time that the platform sets.
    fn is_usable(&self, front: usize, connection: &Connection) -> bool {
        let closing = self.fronts[front]
            .terminations
            .has_no_more_requests(connection.connected_at, std::time::Instant::now());
        let may_send = self.plan.clients.pace.is_none() || !closing;
        may_send && !connection.ended.get() && connection.open.borrow().len() < MAX_IN_FLIGHT
    }

    /// Returns a usable connection of a front, or a new one.
    async fn connection(self: &Rc<Self>, front: usize, new: bool) -> io::Result<Rc<Connection>> {
        let usable = |c: &&Rc<Connection>| self.is_usable(front, c);
        let may_open = self.fronts[front].address.get().is_some();
        let connections: Vec<Rc<Connection>> =
            self.connections.borrow()[front].iter().filter(usable).cloned().collect();
        if !new
            && !connections.is_empty()
            && (connections.len() >= self.plan.clients.connections || !may_open)
        {
            // With several connections per front one of them is drawn; otherwise the first is used.
            let several = self.plan.clients.connections > 1;
            let drawn = if several { self.random.borrow_mut().random_range(0..connections.len()) } else { 0 };
            return Ok(connections[drawn].clone());
        }
        let address = self.fronts[front].address.get().ok_or(io::ErrorKind::NotConnected)?;
        let kills = self.fronts[front].kills.get();
        let (connection, read) = Connection::connect(address, self.plan.clients.pace).await?;
        self.connections.borrow_mut()[front].push(connection.clone());
        spawn_local(self.clone().read_answers(front, read, connection.clone(), kills));
        Ok(connection)
    }

    /// Reads answers until the connection closes, then retries or records as lost what is still in flight.
    /// `kills` is the front's count of kills when the connection was opened.
    async fn read_answers(
        self: Rc<Self>,
        front: usize,
        read: PacedReader,
        connection: Rc<Connection>,
        kills: u32,
    ) {
        let mut read = BufReader::new(read);
        while let Ok([tag, word, _, body]) = answer(&mut read).await {
            let tag = std::str::from_utf8(&tag).ok().and_then(|t| t.parse::<u64>().ok());
            self.fronts[front].answered_kills.set(kills);
            let now = self.tier.unix_seconds();
            let mut seen = self.event_log.open();
            let Some((index, _)) = tag.and_then(|t| connection.open.borrow_mut().remove(&t)) else {
                // A duplicate answer, or one without a request.
                if let Some(last) = seen.requests.last_mut() {
                    last.extra_answers += 1;
                }
                continue;
            };
            let asked = &mut seen.requests[index];
            let end = match &word[..] {
                b"ok" => {
                    match read_body(&body) {
                        Some((object, made)) if object == asked.object => {
                            asked.made = Some(made as f64 / 1000.0)
                        }
                        _ => asked.corrupted = true,
                    }
                    End::Served
                }
                b"full" => End::Refused,
                _ => End::Failed,
            };
            asked.extra_answers += u32::from(asked.end.is_some());
            asked.end.get_or_insert((now, end));
        }
        connection.ended.set(true);
        self.connections.borrow_mut()[front].retain(|c| !Rc::ptr_eq(c, &connection));
        for (_, (index, is_retry)) in connection.open.take() {
            let now = self.tier.unix_seconds();
            let closed = now - connection.time_since_end().as_secs_f64();
            let (holds, raced_close) = {
                let seen = self.event_log.open();
                let a = &seen.requests[index];
                let own_lateness = seen.late.value_at_quantile(0.99) as f64 / 1e6;
                (a.deadline == HOLDS.1, (closed - a.at).abs() < CLOSE_RACE_S + own_lateness && !is_retry)
            };
            if raced_close {
                spawn_local(self.clone().send(front, index, holds, true));
            } else {
                let asked = &mut self.event_log.open().requests[index];
                asked.end = Some((now, End::Lost));
                asked.sent_on = asked.sent_on.map(|sent_on| SentOn { closed: Some(closed), ..sent_on });
                asked.excused |= self.plan.rollout.as_ref().is_some_and(|r| r.crashes);
            }
        }
    }
}
