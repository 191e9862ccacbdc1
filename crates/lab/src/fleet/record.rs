//! What nodes and clients saw, as it came: the verdict is drawn from this and from nothing that fronts say.

use super::plan::SignalSeries;
use hdrhistogram::Histogram;
use onyxyoke_stand_ins::fleet::{ObservedAttempt, Record};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// An attempt at a node; Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub came: ObservedAttempt,
    pub ended: Option<f64>,
}

/// How a client's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// Its connection ended with no answer, or none came.
    Lost,
    /// No front was there to take it.
    Unreached,
}

/// The connection that a request was last sent on, in Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct SentOn {
    /// The front that it leads to.
    pub front: usize,
    /// Its client's port, by which it is found in the front's log.
    pub port: u16,
    /// When it was made.
    pub made: f64,
    /// When its end came to its client's system, if that was noticed.
    pub closed: Option<f64>,
}

/// A client's request.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    pub at: f64,
    /// Its client's own front, which it is meant for.
    pub front: usize,
    /// `None` until it was sent.
    pub sent_on: Option<SentOn>,
    /// What its class allows, and how long its client waits (seconds).
    pub aim: f64,
    pub deadline: f64,
    pub object: u64,
    pub end: Option<(f64, End)>,
    /// When the copy that served it was made; answers beyond the first; bytes that were another's.
    pub made: Option<f64>,
    pub again: u32,
    pub spoilt: bool,
    /// Its front was killed, stopped or replaced while it was open.
    pub excused: bool,
    /// Its client reads at a pace of its own, so that when it had its answer says nothing of its front.
    pub paced: bool,
}

/// A front was told something of a node, or all fronts were by their operators, in Unix seconds.
#[derive(Debug, Clone, Copy)]
pub struct NotificationRecord {
    pub at: f64,
    pub node: usize,
    pub state: u8,
    pub front: Option<usize>,
}

/// A front's process was sent a series of signals, in Unix seconds; until the last process that was told to end is gone.
#[derive(Debug, Clone)]
pub struct Cycle {
    pub front: usize,
    pub from: f64,
    pub until: f64,
    pub series: SignalSeries,
}

/// A node as the verdict knows it.
#[derive(Debug, Clone, Copy)]
pub struct NodeInfo {
    pub location: usize,
    pub link: f64,
    pub cache: bool,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct Seen {
    pub nodes: Vec<NodeInfo>,
    pub attempts: Vec<Attempt>,
    pub asked: Vec<Asked>,
    pub told: Vec<NotificationRecord>,
    /// When everything was purged, and when fronts were told.
    pub purged: Vec<f64>,
    /// When a node was up again, or slow no more; and from when on it was not.
    pub troubled: Vec<(usize, f64, f64)>,
    /// Operators' calls that were not answered with a yes within a second.
    pub unheard: usize,
    /// Connections that were refused where the platform counts on a process.
    pub refused: Vec<(f64, usize)>,
    /// Series of signals, and processes that did not end as they should: when, which front, and how.
    pub cycles: Vec<Cycle>,
    pub ends: Vec<(f64, usize, String)>,
    /// Fronts that were started again: how long after that they took clients (seconds).
    pub ready: Vec<f64>,
    /// Nodes that restarted cold: when.
    pub cold: Vec<(usize, f64)>,
    /// Times at which something changed at once for many fronts.
    pub events: Vec<f64>,
    /// Work by node and window, per unit of link.
    pub done: Vec<Vec<f64>>,
    /// When the first window began.
    pub began: f64,
    /// How late the stand-ins themselves were (microseconds).
    pub late: Histogram<u64>,
}

/// The length of a window of work (seconds).
pub const WINDOW: f64 = 0.5;

/// A record that many tasks write to.
#[derive(Debug)]
pub struct EventLog(Mutex<Seen>);

impl Seen {
    /// Nothing was seen yet.
    pub fn new(nodes: Vec<NodeInfo>) -> Seen {
        let done = vec![Vec::new(); nodes.len()];
        Seen {
            nodes,
            attempts: Vec::new(),
            asked: Vec::new(),
            told: Vec::new(),
            purged: Vec::new(),
            troubled: Vec::new(),
            unheard: 0,
            refused: Vec::new(),
            cycles: Vec::new(),
            ends: Vec::new(),
            ready: Vec::new(),
            cold: Vec::new(),
            events: Vec::new(),
            done,
            began: 0.0,
            late: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"),
        }
    }
}

impl EventLog {
    pub fn new(nodes: Vec<NodeInfo>) -> EventLog {
        EventLog(Mutex::new(Seen::new(nodes)))
    }

    pub fn open(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Record for EventLog {
    fn came(&self, came: ObservedAttempt) -> usize {
        let attempts = &mut self.open().attempts;
        attempts.push(Attempt { came, ended: None });
        attempts.len() - 1
    }

    fn ended(&self, attempt: usize, at: f64) {
        if let Some(a) = self.open().attempts.get_mut(attempt) {
            a.ended.get_or_insert(at);
        }
    }

    fn late(&self, seconds: f64) {
        self.open().late.saturating_record((seconds * 1e6) as u64);
    }
}

/// Writes every request as a line: when it was asked, of which front, what for, how it ended and how long that took; then the
/// front, the client's port, the making and the end of the connection that it was last sent on.
pub fn write_requests(path: &Path, seen: &Seen) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(path)?);
    let columns = "at_s,front,object,deadline_s,end,took_s,excused,sent_to,port,connected_s,closed_s";
    writeln!(out, "{columns}")?;
    for a in &seen.asked {
        let (took, end) = a.end.map_or((f64::NAN, "open".into()), |(t, e)| (t - a.at, format!("{e:?}")));
        let at = a.at - seen.began;
        write!(out, "{at:.3},{},{:016x},{},{end},{took:.3},{}", a.front, a.object, a.deadline, a.excused)?;
        match a.sent_on {
            None => writeln!(out, ",,,,")?,
            Some(SentOn { front, port, made, closed }) => {
                let made = made - seen.began;
                let closed = closed.map_or(String::new(), |at| format!("{:.3}", at - seen.began));
                writeln!(out, ",{front},{port},{made:.3},{closed}")?;
            }
        }
    }
    out.flush()
}
