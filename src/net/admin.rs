//! The operators' socket: each connection carries one call in a line, gets one line back (metrics extend to a
//! line `eof`), and ends. Nothing is decided here: health and metrics are read where they are published, and
//! cordons are queued to the broker, which replies once they are in force.

use crate::broker::{Metrics, OperatorRequest, OverrideApplied};
use crate::interface::NodeId;
use crate::membership::{OperatorOverride, node_id};
use crate::spread::HOME_RULE_VERSION;
use crate::state::StateWorker;
use crate::turns::{TaskKind, track_polls};
use crate::{clock, log};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep_until, timeout_at};

/// Longest line of a call (bytes).
pub const MAX_LINE_BYTES: usize = 256;
/// Time within which a caller must send its line (seconds).
const CALL_TIMEOUT: f64 = 5.0;
/// Limit of callers at once. Beyond it the oldest is evicted, so that silent callers do not keep others out.
const MAX_CALLERS: usize = 16;
/// Time within which a caller must accept the reply (seconds).
const REPLY_TIMEOUT: f64 = 1.0;
/// Time for which further input is discarded after the reply, so that closing does not reset the connection
/// before the reply is read (seconds).
const LINGER_WINDOW: f64 = 0.2;
/// Limit of the input that is discarded (bytes).
const LINGER_DISCARD_BYTES: usize = 4096;
/// Delay after a failed accept (seconds).
const ACCEPT_RETRY_DELAY: f64 = 0.01;
/// The program's file is read in chunks of this size (bytes).
const DIGEST_CHUNK_BYTES: usize = 65_536;
/// Interval of checks whether the other process of the front has saved overrides (seconds), which must be in
/// force here 0.25 s after that.
const STATE_POLL_INTERVAL: f64 = 0.1;
/// Limit of a call's wait for the saved state (seconds): a cordon must be in force 1 s after its call, however
/// slow the disk is.
const STATE_READ_TIMEOUT: f64 = 0.25;
/// Limit of the time from a cordon or uncordon to its reply (seconds): a caller waits 1 s.
const OVERRIDE_REPLY_TIMEOUT: f64 = 0.7;

/// An operator's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Health,
    /// The metrics.
    Counters,
    /// The metrics of requests that were served late.
    Slow,
    /// The program and the settings that this process runs.
    Version,
    /// Send no more requests to this cache node until it is uncordoned.
    Cordon(NodeId),
    /// Use this cache node again.
    Uncordon(NodeId),
}

/// Parses a line without its terminator. The error is the reason in the reply.
pub fn parse(line: &[u8]) -> Result<Call, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the line is not text".to_owned())?;
    let words: Vec<&str> = text.split_ascii_whitespace().take(3).collect();
    const CALLS: &str = "calls are health, counters, slow, version, cordon ID, uncordon ID";
    match words[..] {
        ["health"] => Ok(Call::Health),
        ["counters"] => Ok(Call::Counters),
        ["slow"] => Ok(Call::Slow),
        ["version"] => Ok(Call::Version),
        ["cordon", id] => Ok(Call::Cordon(parse_node_id(id)?)),
        ["uncordon", id] => Ok(Call::Uncordon(parse_node_id(id)?)),
        [word @ ("cordon" | "uncordon")] => Err(format!("'{word}' needs a node id")),
        [] => Err(format!("the line is empty; {CALLS}")),
        ["health" | "counters" | "slow" | "version" | "cordon" | "uncordon", ..] => {
            Err("too many words".into())
        }
        _ => Err(format!("unknown call; {CALLS}")),
    }
}

/// Parses a node's id. The error is the reason in the reply.
fn parse_node_id(word: &str) -> Result<NodeId, String> {
    node_id(word).ok_or_else(|| format!("'{word}' is no node id ('s-' and 8 hexadecimal digits)"))
}

/// What the calls of operators read and change.
pub struct AdminContext {
    /// Whether this process takes clients.
    pub ready: Rc<Cell<bool>>,
    /// The metrics.
    pub metrics: Rc<Metrics>,
    /// The queue to the broker.
    pub operators: UnboundedSender<OperatorRequest>,
    /// The saved overrides.
    pub store: StateWorker,
    /// The digest of the settings in force.
    pub settings: Rc<Cell<u64>>,
    /// The digest of the program's file, once it has been computed.
    pub build: Cell<Option<u64>>,
}

/// Computes the digest of a program's file, by which operators tell builds apart. The file is read in chunks,
/// since the whole of it would exceed a front's memory limit.
pub fn program_digest(program: &std::path::Path) -> io::Result<u64> {
    let (mut file, mut chunk) = (std::fs::File::open(program)?, vec![0; DIGEST_CHUNK_BYTES]);
    let mut digest = xxhash_rust::xxh3::Xxh3Default::new();
    loop {
        match io::Read::read(&mut file, &mut chunk) {
            Ok(0) => return Ok(digest.digest()),
            Ok(n) => digest.update(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

impl AdminContext {
    /// Executes the call in a line, and returns the whole reply.
    pub async fn reply(self: &Rc<Self>, line: &[u8]) -> String {
        let call = match parse(line) {
            Ok(call) => call,
            Err(reason) => return format!("fail {reason}\n"),
        };
        #[cfg(feature = "planted")]
        match crate::planted::operator_fault() {
            crate::planted::OperatorFault::Mute => std::future::pending().await,
            crate::planted::OperatorFault::NeverReady if call == Call::Health => {
                return "fail no: planted\n".into();
            }
            crate::planted::OperatorFault::OtherBuild if call == Call::Version => {
                return "ok build=0 settings=0 homes=0 pid=0\n".into();
            }
            _ => {}
        }
        match call {
            Call::Health if self.ready.get() => "ok yes\n".into(),
            Call::Health => "fail no: this process takes no clients now\n".into(),
            Call::Counters => format!("ok\n{}eof\n", self.metrics.render()),
            Call::Slow => format!("ok\n{}eof\n", self.metrics.render_slow()),
            Call::Version => self.version().await,
            Call::Cordon(node) => self.override_reply(OperatorOverride::Cordon(node)).await,
            Call::Uncordon(node) => self.override_reply(OperatorOverride::Uncordon(node)).await,
        }
    }

    /// Executes a cordon or uncordon, and returns the reply.
    async fn override_reply(self: &Rc<Self>, action: OperatorOverride) -> String {
        let reply_by = clock::now() + OVERRIDE_REPLY_TIMEOUT;
        // What the front's other process has saved is applied first, so that the reply is right.
        let refresh = spawn_local(self.clone().apply_saved_overrides());
        let _ = timeout_at(clock::instant(clock::now() + STATE_READ_TIMEOUT), refresh).await;
        let (reply, answer) = oneshot::channel();
        // If the broker has ended, the call is dropped with its reply channel, which `answer` reports.
        let _ = self.operators.send(OperatorRequest::Override { action, reply });
        match answer.await {
            Ok(Ok(applied)) => self.save_reply(applied, reply_by).await,
            Ok(Err(reason)) => format!("fail {reason}\n"),
            Err(_) => self.save_for_successor_reply(action, reply_by).await,
        }
    }

    /// Saves the overrides after a call, and returns the reply.
    async fn save_reply(self: &Rc<Self>, applied: OverrideApplied, reply_by: f64) -> String {
        let (context, message) = (self.clone(), applied.message);
        // A task of its own, which goes on if the disk is too slow for the reply.
        let write = spawn_local(async move { context.store.write(applied.overrides).await });
        match in_time(write, reply_by).await {
            Ok(()) => format!("ok {message}\n"),
            Err(e) => {
                log!("cordons: cannot save the state: {e}");
                format!("fail {message} in this process, but not kept for the next: {e}\n")
            }
        }
    }

    /// Saves a call for the successor of this process, whose broker has ended and which sends no more
    /// requests; returns the reply.
    async fn save_for_successor_reply(self: &Rc<Self>, action: OperatorOverride, reply_by: f64) -> String {
        let context = self.clone();
        let write = spawn_local(async move { context.store.apply_override(action, clock::now()).await });
        match in_time(write, reply_by).await {
            Ok(()) => format!("ok kept for the process that follows: {action}\n"),
            Err(e) => format!("fail this process is ending, and the call could not be kept: {e}\n"),
        }
    }

    /// Returns the reply that tells which program and settings this process runs. The digest is that of the
    /// running program, even if its path holds another file by now; it is computed once, on a separate
    /// thread.
    async fn version(&self) -> String {
        if self.build.get().is_none() {
            let read = tokio::task::spawn_blocking(|| program_digest("/proc/self/exe".as_ref())).await;
            match read.map_err(io::Error::other).and_then(|read| read) {
                Ok(digest) => self.build.set(Some(digest)),
                Err(e) => return format!("fail the program's file cannot be read: {e}\n"),
            }
        }
        let (build, settings) = (self.build.get().unwrap_or(0), self.settings.get());
        format!(
            "ok build={build:016x} settings={settings:016x} homes={HOME_RULE_VERSION} pid={}\n",
            std::process::id()
        )
    }

    /// Passes what other processes have saved to the broker.
    async fn apply_saved_overrides(self: Rc<Self>) {
        if let Some(saved) = self.store.refresh().await {
            let _ = self.operators.send(OperatorRequest::Merge(saved));
        }
    }

    /// Polls the saved state until the program ends.
    async fn poll_saved_state(self: Rc<Self>) {
        loop {
            sleep_until(clock::instant(clock::now() + STATE_POLL_INTERVAL)).await;
            self.clone().apply_saved_overrides().await;
        }
    }
}

/// Waits for a save until this time (Unix seconds); it goes on after that.
async fn in_time(save: JoinHandle<io::Result<()>>, by: f64) -> io::Result<()> {
    match timeout_at(clock::instant(by), save).await {
        Ok(result) => result.map_err(io::Error::other)?,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the disk is too slow")),
    }
}

/// Serves operators until the program ends.
pub async fn serve(listener: TcpListener, context: Rc<AdminContext>) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    spawn_local(track_polls(TaskKind::Operators, context.clone().poll_saved_state()));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= MAX_CALLERS
                    && let Some(oldest) = callers.pop_front()
                {
                    oldest.abort();
                }
                callers.push_back(spawn_local(track_polls(
                    TaskKind::Operators,
                    serve_caller(stream, context.clone()),
                )));
            }
            Err(e) => {
                log!("cannot accept an operator: {e}");
                sleep_until(clock::instant(clock::now() + ACCEPT_RETRY_DELAY)).await;
            }
        }
    }
}

/// The result of reading a caller's line.
enum ReadLine {
    /// A line of this length (bytes).
    Line(usize),
    /// No terminator within the longest line.
    TooLong,
    /// The caller closed without sending anything.
    Empty,
}

/// Serves one caller: reads its line, writes the reply, and closes the connection.
async fn serve_caller(mut stream: TcpStream, context: Rc<AdminContext>) {
    let mut line = [0u8; MAX_LINE_BYTES];
    let read = timeout_at(clock::instant(clock::now() + CALL_TIMEOUT), async {
        let mut len = 0;
        loop {
            let n = stream.read(&mut line[len..]).await?;
            len += n;
            if let Some(end) = line[..len].iter().position(|&b| b == b'\n') {
                return io::Result::Ok(ReadLine::Line(end));
            }
            // A last line without its terminator is accepted, one that does not fit is not.
            match (n, len) {
                (0, 0) => return Ok(ReadLine::Empty),
                (0, _) => return Ok(ReadLine::Line(len)),
                (_, MAX_LINE_BYTES) => return Ok(ReadLine::TooLong),
                _ => {}
            }
        }
    })
    .await;
    let reply = match read {
        Ok(Ok(ReadLine::Line(end))) => context.reply(line[..end].trim_ascii()).await,
        Ok(Ok(ReadLine::TooLong)) => format!("fail the line is longer than {MAX_LINE_BYTES} bytes\n"),
        _ => return,
    };
    let _ =
        timeout_at(clock::instant(clock::now() + REPLY_TIMEOUT), stream.write_all(reply.as_bytes())).await;
    let by = clock::instant(clock::now() + LINGER_WINDOW);
    let _ = timeout_at(by, super::shut_and_discard(&stream, LINGER_DISCARD_BYTES)).await;
}

#[cfg(test)]
mod tests;
