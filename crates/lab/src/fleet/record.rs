//! Observations of nodes and clients in order of arrival. The verdict rests on these alone, and on nothing
//! that fronts report.

use super::plan::SignalSeries;
use hdrhistogram::Histogram;
use onyxyoke_stand_ins::fleet::{ObservedAttempt, Record};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// An attempt at a node, with its end in Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub arrival: ObservedAttempt,
    pub ended: Option<f64>,
}

/// How a client's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// Its connection ended without an answer, or no answer came.
    Lost,
    /// No front accepted its connection.
    Unreached,
}

/// The connection that a request was last sent on, with times in Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct SentOn {
    /// The front at the other end.
    pub front: usize,
    /// The client's port, which identifies the connection in the front's log.
    pub port: u16,
    /// When it was established.
    pub made: f64,
    /// When the client's system saw it end, if it did.
    pub closed: Option<f64>,
}

/// A client's request, with times in Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct RequestRecord {
    pub at: f64,
    /// The front of its client, which it is meant for.
    pub front: usize,
    /// `None` until it is sent.
    pub sent_on: Option<SentOn>,
    /// The time within which its class wants an answer (seconds).
    pub aim: f64,
    /// How long its client waits (seconds).
    pub deadline: f64,
    pub object: u64,
    pub end: Option<(f64, End)>,
    /// When the copy that served it was made.
    pub made: Option<f64>,
    /// The number of answers beyond the first.
    pub extra_answers: u32,
    /// Whether the answer had bytes of another object.
    pub corrupted: bool,
    /// Whether its front was killed, stopped or replaced while it was open, so that it may be lost.
    pub excused: bool,
    /// Whether its client reads at its own pace, so that the time of its answer says nothing about the front.
    pub paced: bool,
}

/// A front was notified of a node's state, or operators set it at all fronts; the time is in Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct NotificationRecord {
    pub at: f64,
    pub node: usize,
    /// 0 is ready, 1 draining, 2 gone.
    pub state: u8,
    /// `None` for all fronts.
    pub front: Option<usize>,
}

/// A series of signals to a front's process, in Unix seconds. It lasts until the last process that got
/// SIGTERM has ended.
#[derive(Debug, Clone)]
pub struct Cycle {
    pub front: usize,
    pub from: f64,
    pub until: f64,
    pub series: SignalSeries,
}

/// What the verdict needs to know about a node.
#[derive(Debug, Clone, Copy)]
pub struct NodeInfo {
    pub location: usize,
    pub link: f64,
    pub cache: bool,
}

/// All observations of a run; times are Unix seconds.
#[derive(Debug)]
pub struct Observations {
    pub nodes: Vec<NodeInfo>,
    pub attempts: Vec<Attempt>,
    pub requests: Vec<RequestRecord>,
    pub notifications: Vec<NotificationRecord>,
    /// When all objects were purged.
    pub purged: Vec<f64>,
    /// Nodes with faults: the node, and the start and end of its fault.
    pub impairments: Vec<(usize, f64, f64)>,
    /// Number of operators' calls that were not confirmed within a second.
    pub unconfirmed_calls: usize,
    /// Connections refused while the platform expects a process to accept them: the time and the front.
    pub refused: Vec<(f64, usize)>,
    pub cycles: Vec<Cycle>,
    /// Processes that did not start or end as they should: the time, the front and what was wrong.
    pub failed_ends: Vec<(f64, usize, String)>,
    /// For each restart of a front, the time until it accepted clients (seconds).
    pub ready: Vec<f64>,
    /// Cold starts of nodes: the node and the time.
    pub cold: Vec<(usize, f64)>,
    /// Times at which something changed for many fronts at once.
    pub events: Vec<f64>,
    /// Work by node and window of `WORK_WINDOW_S` seconds, per unit of link.
    pub done: Vec<Vec<f64>>,
    /// When the first window began.
    pub started_at: f64,
    /// Lateness of the stand-ins themselves (microseconds).
    pub late: Histogram<u64>,
}

/// The length of the windows in which work is added up (seconds).
pub const WORK_WINDOW_S: f64 = 0.5;

/// Observations that many tasks write to.
#[derive(Debug)]
pub struct EventLog(Mutex<Observations>);

impl Observations {
    /// Empty observations of these nodes.
    pub fn new(nodes: Vec<NodeInfo>) -> Observations {
        let done = vec![Vec::new(); nodes.len()];
        Observations {
            nodes,
            attempts: Vec::new(),
            requests: Vec::new(),
            notifications: Vec::new(),
            purged: Vec::new(),
            impairments: Vec::new(),
            unconfirmed_calls: 0,
            refused: Vec::new(),
            cycles: Vec::new(),
            failed_ends: Vec::new(),
            ready: Vec::new(),
            cold: Vec::new(),
            events: Vec::new(),
            done,
            started_at: 0.0,
            late: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"),
        }
    }
}

impl EventLog {
    pub fn new(nodes: Vec<NodeInfo>) -> EventLog {
        EventLog(Mutex::new(Observations::new(nodes)))
    }

    pub fn open(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Record for EventLog {
    fn attempt_started(&self, arrival: ObservedAttempt) -> usize {
        let attempts = &mut self.open().attempts;
        attempts.push(Attempt { arrival, ended: None });
        attempts.len() - 1
    }

    fn attempt_ended(&self, attempt: usize, at: f64) {
        if let Some(a) = self.open().attempts.get_mut(attempt) {
            a.ended.get_or_insert(at);
        }
    }

    fn transfer_late(&self, seconds: f64) {
        self.open().late.saturating_record((seconds * 1e6) as u64);
    }
}

/// Writes each request as a line of CSV: its time, front, object, deadline, end and duration, and whether it
/// is excused; then the front, the client's port, the start and the end of the connection that it was last
/// sent on.
pub fn write_requests(path: &Path, observed: &Observations) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(path)?);
    let columns = "at_s,front,object,deadline_s,end,took_s,excused,sent_to,port,connected_s,closed_s";
    writeln!(out, "{columns}")?;
    for a in &observed.requests {
        let (took, end) = a.end.map_or((f64::NAN, "open".into()), |(t, e)| (t - a.at, format!("{e:?}")));
        let at = a.at - observed.started_at;
        write!(out, "{at:.3},{},{:016x},{},{end},{took:.3},{}", a.front, a.object, a.deadline, a.excused)?;
        match a.sent_on {
            None => writeln!(out, ",,,,")?,
            Some(SentOn { front, port, made, closed }) => {
                let made = made - observed.started_at;
                let closed = closed.map_or(String::new(), |at| format!("{:.3}", at - observed.started_at));
                writeln!(out, ",{front},{port},{made:.3},{closed}")?;
            }
        }
    }
    out.flush()
}
