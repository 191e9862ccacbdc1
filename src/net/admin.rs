//! The operators' socket: each connection carries one line, gets one line back (the figures run on to a line `eof`)
//! and ends. It decides nothing: health and the figures are read where they are published, and cordons go to the
//! broker by queue, which answers once they are in force.

use crate::broker::{Metrics, OperatorRequest};
use crate::interface::NodeId;
use crate::membership::{OperatorOverride, node_id};
use crate::spread::HOME_RULE_VERSION;
use crate::state::StateWorker;
use crate::turns::{TaskKind, track_polls};
use crate::{clock, log};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep_until, timeout_at};

/// The longest line (bytes).
pub const LINE: usize = 256;
/// A caller has so long for its line, and callers that say nothing are closed then (seconds).
const SPEAK: f64 = 5.0;
/// Callers at once; beyond, the one that came first gives way, so that those who say nothing keep nobody out.
const CALLERS: usize = 16;
/// The answer is to be taken within so long (seconds).
const TAKE: f64 = 1.0;
/// After the answer, what the caller still sends is read for so long, up to so many bytes, so that closing does
/// not reset the connection before the answer is read (seconds, bytes).
const PARTING: (f64, usize) = (0.2, 4096);
/// After a failed accept the next is tried this much later (seconds).
const ACCEPT_PAUSE: f64 = 0.01;
/// The program's file is read in pieces of this size (bytes).
const PIECE: usize = 65_536;
/// The file of the cordons is looked at this often, for what the other process of the front was told (seconds).
const LOOK: f64 = 0.25;
/// A call waits so long at most for what the file says: a cordon is to be in force 1 s after its call, whatever the disk does
/// (seconds).
const LOOK_PATIENCE: f64 = 0.25;

/// What an operator asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Health,
    /// The figures.
    Counters,
    /// The figures of what was served late.
    Slow,
    /// Which program and settings does it run?
    Version,
    /// Nothing more to this cache node until it is uncordoned.
    Cordon(NodeId),
    /// Put this cache node back.
    Uncordon(NodeId),
}

/// Reads one line, without its end. The error is the reply's reason.
pub fn parse(line: &[u8]) -> Result<Call, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the line is not text".to_owned())?;
    let words: Vec<&str> = text.split_ascii_whitespace().take(3).collect();
    const CALLS: &str = "calls are health, counters, slow, version, cordon ID, uncordon ID";
    match words[..] {
        ["health"] => Ok(Call::Health),
        ["counters"] => Ok(Call::Counters),
        ["slow"] => Ok(Call::Slow),
        ["version"] => Ok(Call::Version),
        ["cordon", id] => Ok(Call::Cordon(node(id)?)),
        ["uncordon", id] => Ok(Call::Uncordon(node(id)?)),
        [word @ ("cordon" | "uncordon")] => Err(format!("'{word}' needs a node id")),
        [] => Err(format!("the line is empty; {CALLS}")),
        ["health" | "counters" | "slow" | "version" | "cordon" | "uncordon", ..] => {
            Err("too many words".into())
        }
        _ => Err(format!("unknown call; {CALLS}")),
    }
}

/// A node's id, or why the word is none.
fn node(word: &str) -> Result<NodeId, String> {
    node_id(word).ok_or_else(|| format!("'{word}' is no node id ('s-' and 8 hexadecimal digits)"))
}

/// What the socket reads from and hands on to.
pub struct AdminContext {
    /// Whether this process takes clients.
    pub ready: Rc<Cell<bool>>,
    /// The figures.
    pub metrics: Rc<Metrics>,
    /// To the broker.
    pub operators: UnboundedSender<OperatorRequest>,
    /// The file of the cordons.
    pub store: StateWorker,
    /// The digest of the settings in force.
    pub settings: Rc<Cell<u64>>,
    /// That of the program's file, once somebody has asked.
    pub build: Cell<Option<u64>>,
}

/// The digest of a program's file, by which operators tell builds apart. It is read piece by piece: the whole of it
/// would be more than a front may have.
pub fn program_digest(program: &std::path::Path) -> std::io::Result<u64> {
    let (mut file, mut piece) = (std::fs::File::open(program)?, vec![0; PIECE]);
    let mut digest = xxhash_rust::xxh3::Xxh3Default::new();
    loop {
        match std::io::Read::read(&mut file, &mut piece) {
            Ok(0) => return Ok(digest.digest()),
            Ok(n) => digest.update(&piece[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

impl AdminContext {
    /// The whole reply to a line.
    pub async fn reply(self: &Rc<Self>, line: &[u8]) -> String {
        let call = match parse(line) {
            Ok(call) => call,
            Err(why) => return format!("fail {why}\n"),
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
        let hand = match call {
            Call::Health if self.ready.get() => return "ok yes\n".into(),
            Call::Health => return "fail no: this process takes no clients now\n".into(),
            Call::Counters => return format!("ok\n{}eof\n", self.metrics.render()),
            Call::Slow => return format!("ok\n{}eof\n", self.metrics.render_slow()),
            Call::Version => return self.version().await,
            Call::Cordon(node) => OperatorOverride::Cordon(node),
            Call::Uncordon(node) => OperatorOverride::Uncordon(node),
        };
        // What the other process of the front was told counts first, so that this one does not write back less.
        let look = spawn_local(self.clone().look());
        let _ = timeout_at(clock::instant(clock::now() + LOOK_PATIENCE), look).await;
        let (reply, answer) = oneshot::channel();
        // A call that the core can no longer take is dropped with its reply, which then says so.
        let _ = self.operators.send(OperatorRequest::Override { action: hand, reply });
        let (said, kept, number) = match answer.await {
            Ok(Ok(done)) => done,
            Ok(Err(why)) => return format!("fail {why}\n"),
            // The core has ended, and this process sends nothing more: the call is for the one that follows it.
            Err(_) => {
                return match self.store.apply_override(hand, clock::now()).await {
                    Ok(()) => format!(
                        "ok kept for the process that follows: {}\n",
                        line.trim_ascii().escape_ascii()
                    ),
                    Err(e) => format!("fail this process is ending, and the call could not be kept: {e}\n"),
                };
            }
        };
        if let Err(e) = self.store.write(number, kept).await {
            log!("cordons: cannot be kept: {e}");
            return format!("fail {said} in this process, but not kept for the next: {e}\n");
        }
        format!("ok {said}\n")
    }

    /// What this process runs. The file is that of the process, whatever lies at its path by now; it is read once, on a
    /// thread of its own.
    async fn version(&self) -> String {
        if self.build.get().is_none() {
            let read = tokio::task::spawn_blocking(|| program_digest("/proc/self/exe".as_ref())).await;
            match read.map_err(std::io::Error::other).and_then(|read| read) {
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

    /// Hands the broker what the file says, if another process changed it.
    async fn look(self: Rc<Self>) {
        if let Some(kept) = self.store.read_if_changed().await {
            let _ = self.operators.send(OperatorRequest::Restore(kept));
        }
    }

    /// Looks at the file of the cordons again and again until the program ends.
    async fn watch_file(self: Rc<Self>) {
        loop {
            sleep_until(clock::instant(clock::now() + LOOK)).await;
            self.clone().look().await;
        }
    }
}

/// Serves operators until the program ends.
pub async fn serve(listener: TcpListener, context: Rc<AdminContext>) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    spawn_local(track_polls(TaskKind::Operators, context.clone().watch_file()));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= CALLERS
                    && let Some(first) = callers.pop_front()
                {
                    first.abort();
                }
                callers
                    .push_back(spawn_local(track_polls(TaskKind::Operators, call(stream, context.clone()))));
            }
            Err(e) => {
                log!("cannot accept an operator: {e}");
                sleep_until(clock::instant(clock::now() + ACCEPT_PAUSE)).await;
            }
        }
    }
}

/// What a caller said.
enum Heard {
    /// A line of so many bytes.
    Line(usize),
    /// More than a line may have, and no end.
    TooLong,
    /// Nothing before it closed.
    Nothing,
}

/// One caller: its line, the reply, the end.
async fn call(mut stream: TcpStream, context: Rc<AdminContext>) {
    let mut line = [0u8; LINE];
    let heard = timeout_at(clock::instant(clock::now() + SPEAK), async {
        let mut len = 0;
        loop {
            let n = stream.read(&mut line[len..]).await?;
            len += n;
            if let Some(end) = line[..len].iter().position(|&b| b == b'\n') {
                return std::io::Result::Ok(Heard::Line(end));
            }
            // A last line without its end counts; one that does not fit does not.
            match (n, len) {
                (0, 0) => return Ok(Heard::Nothing),
                (0, _) => return Ok(Heard::Line(len)),
                (_, LINE) => return Ok(Heard::TooLong),
                _ => {}
            }
        }
    })
    .await;
    let reply = match heard {
        Ok(Ok(Heard::Line(end))) => context.reply(line[..end].trim_ascii()).await,
        Ok(Ok(Heard::TooLong)) => format!("fail the line is longer than {LINE} bytes\n"),
        _ => return,
    };
    let _ = timeout_at(clock::instant(clock::now() + TAKE), stream.write_all(reply.as_bytes())).await;
    let by = clock::instant(clock::now() + PARTING.0);
    let _ = timeout_at(by, super::shut_and_discard(&stream, PARTING.1)).await;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_the_calls_and_names_what_is_wrong() {
        assert_eq!(parse(b"health"), Ok(Call::Health));
        assert_eq!(parse(b"counters"), Ok(Call::Counters));
        assert_eq!(parse(b"version"), Ok(Call::Version));
        assert_eq!(parse(b"slow"), Ok(Call::Slow));
        assert_eq!(parse(b"cordon s-00c41f7a"), Ok(Call::Cordon(NodeId(0x00c4_1f7a))));
        assert_eq!(parse(b"uncordon  s-00C41F7A"), Ok(Call::Uncordon(NodeId(0x00c4_1f7a))));
        assert!(parse(b"cordon").unwrap_err().contains("needs a node id"));
        assert!(parse(b"cordon s-123").unwrap_err().contains("'s-123' is no node id"));
        assert!(parse(b"cordon 00c41f7a").is_err());
        assert!(parse(b"health now").unwrap_err().contains("too many"));
        assert!(parse(b"drain s-00c41f7a").unwrap_err().contains("unknown call"));
        assert!(parse(b"").is_err());
        assert!(parse(&[0xff, 0xfe]).is_err());
    }
}
