//! Clients of a fleet: they ask whether or not they were answered, each by its front's connection, and go to another
//! front of the location once they notice that theirs is gone.

use super::fronts::Front;
use super::plan::Plan;
use super::record::{Asked, End, EventLog, SentOn};
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

/// A request that crosses the close of its connection was sent so much before it at most, and is sent again, once
/// (seconds; the platform's). This rig sees the close as late as it is otherwise, which is measured and added.
const CROSSED: f64 = 0.05;
/// A connection has so many requests open at most.
const OPEN: usize = 30;
/// Classes: name, deadline, aim beyond the sending time, its multiple (seconds; as in the example's settings).
const MEDIA: (&str, f64, f64, f64) = ("media", 5.0, 0.5, 1.6);
const HOLDS: (&str, f64, f64, f64) = ("holds", 3.0, 0.6, 0.0);

/// By tag: the place in the record, and whether it was sent again.
type Line = ClientConnection<(usize, bool)>;

/// All clients of a fleet.
pub struct Clients {
    plan: Plan,
    tier: Arc<Tier>,
    book: Arc<EventLog>,
    fronts: Vec<Rc<Front>>,
    lines: RefCell<Vec<Vec<Rc<Line>>>>,
    random: RefCell<SmallRng>,
    popularity: Zipf<f64>,
    running: Cell<bool>,
    /// Load in times the usual, and the share that one object has.
    pub load: Cell<f64>,
    pub hot: Cell<f64>,
    calls: Cell<u64>,
}

impl Clients {
    pub fn new(
        plan: &Plan,
        tier: Arc<Tier>,
        book: Arc<EventLog>,
        fronts: Vec<Rc<Front>>,
        seed: u64,
    ) -> Rc<Clients> {
        let c = &plan.clients;
        Rc::new(Clients {
            popularity: Zipf::new(c.objects as f64, c.zipf).expect("checked with the plan"),
            lines: RefCell::new(vec![Vec::new(); fronts.len()]),
            plan: plan.clone(),
            tier,
            book,
            fronts,
            random: RefCell::new(SmallRng::seed_from_u64(seed ^ 0xc11e)),
            running: Cell::new(true),
            load: Cell::new(1.0),
            hot: Cell::new(0.0),
            calls: Cell::new(1),
        })
    }

    pub fn start(self: &Rc<Self>) {
        for front in 0..self.fronts.len() {
            spawn_local(self.clone().arrivals(front));
        }
    }

    /// Nothing more is asked.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// What is open at a front is not the front's to answer any more: it was killed, or stands still.
    pub fn excuse(&self, front: usize) {
        let lines = self.lines.borrow();
        let mut seen = self.book.open();
        for (place, _) in
            lines[front].iter().flat_map(|l| l.open.borrow().values().copied().collect::<Vec<_>>())
        {
            seen.asked[place].excused = true;
        }
    }

    /// The requests of one front's clients, at times drawn ahead.
    async fn arrivals(self: Rc<Self>, front: usize) {
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
            self.book.open().late.saturating_record(at.elapsed().as_micros() as u64);
            spawn_local(self.clone().ask(front));
        }
    }

    fn draw(&self) -> (bool, u64) {
        let mut random = self.random.borrow_mut();
        let holds = random.random_bool(self.plan.clients.holds);
        let hot = self.hot.get() > 0.0 && random.random_bool(self.hot.get());
        let number =
            if hot { self.plan.clients.objects + 1 } else { self.popularity.sample(&mut *random) as u64 };
        // Sizes differ by name: most are small, some several times the mean.
        let unit = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64;
        let size = if hot { 1.0 } else { 0.3 - (1.0 - unit).max(1e-6).ln() * 0.7 };
        (holds, object(number, self.plan.work() * size))
    }

    async fn ask(self: Rc<Self>, front: usize) {
        let (holds, object) = self.draw();
        let (_, deadline, aim, stretch) = if holds { HOLDS } else { MEDIA };
        let place = {
            let asked = &mut self.book.open().asked;
            asked.push(Asked {
                at: self.tier.unix(),
                front,
                sent_on: None,
                aim: aim + stretch * work(object),
                deadline,
                object,
                end: None,
                made: None,
                again: 0,
                spoilt: false,
                excused: false,
                paced: self.plan.clients.pace.is_some(),
            });
            asked.len() - 1
        };
        self.send(front, place, holds, false).await;
    }

    /// Sends it on a connection of its front, or, where that is gone, of another of the location.
    async fn send(self: Rc<Self>, front: usize, place: usize, holds: bool, again: bool) {
        let mut at = front;
        for _ in 0..4 {
            let there = &self.fronts[at];
            if there.address.get().is_some() || there.lingers.get() {
                match self.line(at, again).await {
                    Ok(line) => return self.send_on(at, &line, place, holds, again).await,
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => self.was_refused(at),
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
        self.book.open().asked[place].end = Some((self.tier.unix(), End::Unreached));
    }

    /// A front took no connection. That is its fault where a process of it should be there: not once it is told to end, nor
    /// after the rig has killed it, nor where its new program is one that ends by itself.
    fn was_refused(&self, front: usize) {
        let there = &self.fronts[front];
        let crashes = self.plan.rollout.as_ref().is_some_and(|rollout| rollout.crashes);
        let killed = there.kills.get() != there.answered_after.get();
        if there.address.get().is_some() && !killed && !crashes {
            self.book.open().refused.push((self.tier.unix(), front));
        }
    }

    async fn send_on(&self, front: usize, line: &Line, place: usize, holds: bool, again: bool) {
        let tag = line.fresh_tag();
        let call = self.calls.replace(self.calls.get() + 1);
        let (object, deadline) = {
            let mut seen = self.book.open();
            // The time of a request counts from its last byte.
            let now = self.tier.unix();
            seen.asked[place].at = now;
            let made = now - line.made.elapsed().as_secs_f64();
            seen.asked[place].sent_on = Some(SentOn { front, port: line.local_port, made, closed: None });
            (seen.asked[place].object, seen.asked[place].deadline)
        };
        let (class, ..) = if holds { HOLDS } else { MEDIA };
        let ttl = (deadline * 1000.0) as u64;
        let heap = work(object) * self.tier.flow;
        let mut fields = format!(
            "call={call:016x},ttl={ttl},row={object:016x},slice=0,set={},heap={heap:.3}",
            object >> 20 & 0xff
        );
        if holds {
            // The same for all tries of one request.
            fields += &format!(",dedupe={:032x}", place as u64 + 1);
        }
        let tag_text = tag.to_string();
        let words = ["REQ", &tag_text, class, &fields, ""];
        let mut out = format!("*{}\r\n", words.len());
        words.iter().for_each(|w| out += &format!("${}\r\n{w}\r\n", w.len()));
        line.open.borrow_mut().insert(tag, (place, again));
        let _ = line.write.lock().await.write_all(out.as_bytes()).await;
    }

    /// Has a connection room, and is it still to be used? Clients use their connections to the kill, but for those that read
    /// at a pace of their own: they do not see an end in time, and send as long as the platform says.
    fn usable(&self, front: usize, line: &Line) -> bool {
        let closing = self.fronts[front].terminations.end_requests(line.made, std::time::Instant::now());
        let patient = self.plan.clients.pace.is_none() || !closing;
        patient && !line.ended.get() && line.open.borrow().len() < OPEN
    }

    /// A connection of a front with room, or a new one.
    async fn line(self: &Rc<Self>, front: usize, new: bool) -> io::Result<Rc<Line>> {
        let usable = |l: &&Rc<Line>| self.usable(front, l);
        let may_open = self.fronts[front].address.get().is_some();
        let lines: Vec<Rc<Line>> = self.lines.borrow()[front].iter().filter(usable).cloned().collect();
        if !new && !lines.is_empty() && (lines.len() >= self.plan.clients.connections || !may_open) {
            // One connection that has room is used before a second, unless several are kept.
            let several = self.plan.clients.connections > 1;
            let drawn = if several { self.random.borrow_mut().random_range(0..lines.len()) } else { 0 };
            return Ok(lines[drawn].clone());
        }
        let address = self.fronts[front].address.get().ok_or(io::ErrorKind::NotConnected)?;
        let kills = self.fronts[front].kills.get();
        let (line, read) = Line::connect(address, self.plan.clients.pace).await?;
        self.lines.borrow_mut()[front].push(line.clone());
        spawn_local(self.clone().read(front, read, line.clone(), kills));
        Ok(line)
    }

    /// Reads answers until the connection ends, which was made after so many kills.
    async fn read(self: Rc<Self>, front: usize, read: PacedReader, line: Rc<Line>, kills: u32) {
        let mut read = BufReader::new(read);
        while let Ok([tag, word, _, body]) = answer(&mut read).await {
            let tag = std::str::from_utf8(&tag).ok().and_then(|t| t.parse::<u64>().ok());
            self.fronts[front].answered_after.set(kills);
            let now = self.tier.unix();
            let mut seen = self.book.open();
            let Some((place, _)) = tag.and_then(|t| line.open.borrow_mut().remove(&t)) else {
                // A second answer, or one to nothing.
                if let Some(last) = seen.asked.last_mut() {
                    last.again += 1;
                }
                continue;
            };
            let asked = &mut seen.asked[place];
            let end = match &word[..] {
                b"ok" => {
                    match read_body(&body) {
                        Some((object, made)) if object == asked.object => {
                            asked.made = Some(made as f64 / 1000.0)
                        }
                        _ => asked.spoilt = true,
                    }
                    End::Served
                }
                b"full" => End::Refused,
                _ => End::Failed,
            };
            asked.again += u32::from(asked.end.is_some());
            asked.end.get_or_insert((now, end));
        }
        line.ended.set(true);
        self.lines.borrow_mut()[front].retain(|l| !Rc::ptr_eq(l, &line));
        for (_, (place, again)) in line.open.take() {
            let now = self.tier.unix();
            let closed = now - line.since_end().as_secs_f64();
            let (holds, crossed) = {
                let seen = self.book.open();
                let a = &seen.asked[place];
                let rig_late = seen.late.value_at_quantile(0.99) as f64 / 1e6;
                (a.deadline == HOLDS.1, (closed - a.at).abs() < CROSSED + rig_late && !again)
            };
            if crossed {
                spawn_local(self.clone().send(front, place, holds, true));
            } else {
                let asked = &mut self.book.open().asked[place];
                asked.end = Some((now, End::Lost));
                asked.sent_on = asked.sent_on.map(|sent_on| SentOn { closed: Some(closed), ..sent_on });
                asked.excused |= self.plan.rollout.as_ref().is_some_and(|r| r.crashes);
            }
        }
    }
}
