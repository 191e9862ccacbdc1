//! RESP clients: one task a connection, which reads requests, hands them to the broker and writes answers.

use super::resp::{self, Command};
use super::{Buffer, Unreadable, amount, number};
use crate::broker::{Answer, Ask, Caller, Contracts, Input};
use crate::clock;
use crate::config::Classes;
use crate::interface::*;
use rustc_hash::FxHashSet;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep_until;

/// Open requests that one connection may have.
const OPEN_MOST: usize = 32;
/// With so many bytes of answers unsent, a connection is not read from.
const UNSENT: usize = 512 * 1024;
/// An idle connection is closed after this (seconds). Clients close theirs after 4 s.
const IDLE: f64 = 20.0;
/// One that takes nothing of what it is sent is closed after this (seconds): what it holds is late by then,
/// and its bytes are counted against everybody's.
const STALLED: f64 = 5.0;
/// The answer is to be out this long before the client gives up: its `ttl` counts from its own send, which
/// lies before our read (seconds).
const MARGIN: f64 = 0.03;
/// Longest time that a client may ask for (milliseconds).
const TTL_MOST: f64 = 600_000.0;

/// What all client connections share.
pub struct Front {
    /// To the broker.
    pub asks: Sender<Input>,
    /// The classes by name.
    pub classes: Rc<Classes>,
    /// The teams, if any are configured; requests then name theirs in `org`.
    pub contracts: Rc<Contracts>,
    /// Whether health checks are answered with yes.
    pub ready: Rc<Cell<bool>>,
    /// Most connections.
    pub connections: usize,
    /// Numbers for connections, shared by all fronts.
    pub numbers: Rc<Cell<u64>>,
    /// Bytes of answers that connections hold, and the most of them.
    pub unsent: Rc<Cell<usize>>,
    /// Over this many of them, new requests are refused.
    pub unsent_most: usize,
    /// What a refusal of this front's own says (seconds).
    pub wait: f64,
}

/// Accepts clients until the program ends.
pub async fn accept(listener: TcpListener, front: Rc<Front>) {
    super::accept(listener, front.connections, |stream| Client::new(front.clone()).serve(stream)).await;
}

/// One connection's requests and answers, without the socket.
struct Session {
    front: Rc<Front>,
    number: u64,
    open: FxHashSet<u64>,
    reply: UnboundedSender<(u64, Answer)>,
    output: Buffer,
}

impl Session {
    fn new(front: Rc<Front>, reply: UnboundedSender<(u64, Answer)>) -> Self {
        let number = front.numbers.get() + 1;
        front.numbers.set(number);
        Session { front, number, open: FxHashSet::default(), reply, output: Buffer::default() }
    }

    fn caller(&self, tag: u64) -> Caller {
        Caller { connection: self.number, tag }
    }

    /// Takes one whole frame off the buffer: `None` if there is none, else what the broker is to hear of it.
    fn take(&mut self, now: f64, input: &mut Buffer) -> Result<Option<Option<Input>>, Unreadable> {
        let Some((command, used)) = resp::parse(input.bytes())? else { return Ok(None) };
        let mut say = |tag, word| resp::answer(&mut self.output, tag, word, "", b"");
        let heard = match command {
            Command::Health { tag } => {
                say(tag, if self.front.ready.get() { "yes" } else { "no" });
                None
            }
            Command::Abort { tag } => self.open.remove(&tag).then(|| Input::Abort(self.caller(tag))),
            Command::Unusable { tag } => {
                say(tag, "fault");
                None
            }
            // Two answers under one tag could not be told apart.
            Command::Request { tag, .. } if self.open.contains(&tag) => {
                return Err(Unreadable("a tag that is in use"));
            }
            Command::Request { tag, class, fields, body } => {
                let front = &self.front;
                let class = front.classes.get(class);
                let ask = class.and_then(|c| parse(now, c, &front.contracts, fields, body));
                let crowded = self.open.len() >= OPEN_MOST || front.unsent.get() > front.unsent_most;
                match ask {
                    None => {
                        say(tag, "fault");
                        None
                    }
                    Some(_) if crowded => {
                        self.refuse(tag, self.front.wait);
                        None
                    }
                    Some(ask) => {
                        self.open.insert(tag);
                        Some(Input::Ask { caller: self.caller(tag), ask, reply: self.reply.clone() })
                    }
                }
            }
        };
        input.consume(used);
        Ok(Some(heard))
    }

    fn answer(&mut self, tag: u64, answer: &Answer) {
        // After an abort none is owed, and one that crossed it is dropped.
        if !self.open.remove(&tag) {
            return;
        }
        match answer {
            Answer::Served(content) if content.current => {
                resp::answer(&mut self.output, tag, "ok", "current=1", b"");
            }
            Answer::Served(content) => resp::answer(&mut self.output, tag, "ok", "", &content.body),
            Answer::Refused(wait) | Answer::OverBudget(wait) => self.refuse(tag, *wait),
            Answer::Failed | Answer::Late | Answer::Forbidden => {
                resp::answer(&mut self.output, tag, "fault", "", b"");
            }
        }
    }

    fn refuse(&mut self, tag: u64, wait: f64) {
        let fields = match wait > 0.0 {
            true => format!("pushback={}", (wait * 1000.0).ceil()),
            false => String::new(),
        };
        resp::answer(&mut self.output, tag, "full", &fields, b"");
    }
}

struct Client {
    session: Session,
    answers: UnboundedReceiver<(u64, Answer)>,
    /// Bytes of the output that are counted in the front's sum.
    counted: usize,
}

impl Client {
    fn new(front: Rc<Front>) -> Self {
        let (reply, answers) = unbounded_channel();
        Client { session: Session::new(front, reply), answers, counted: 0 }
    }

    async fn serve(mut self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let ended = self.exchange(&stream).await;
        // A connection that ends takes its requests with it: no answer is owed where none can be given.
        let Session { front, open, number, .. } = self.session;
        for tag in open {
            let caller = Caller { connection: number, tag };
            let _ = front.asks.send(Input::Abort(caller)).await;
        }
        front.unsent.set(front.unsent.get() - self.counted);
        match ended {
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => {
                Ok(())
            }
            other => other,
        }
    }

    async fn exchange(&mut self, stream: &TcpStream) -> io::Result<()> {
        let mut input = Buffer::default();
        let (mut idle_at, mut stalled_at) = (clock::now() + IDLE, clock::now() + STALLED);
        loop {
            while let Ok((tag, answer)) = self.answers.try_recv() {
                self.session.answer(tag, &answer);
            }
            let output = &mut self.session.output;
            if output.write_to(stream)? > 0 || output.is_empty() {
                stalled_at = clock::now() + STALLED;
            }
            let unsent = &self.session.front.unsent;
            unsent.set(unsent.get() + output.len() - self.counted);
            self.counted = output.len();
            let full = output.len() > UNSENT;
            let interest = match (full, output.is_empty()) {
                (true, _) => Interest::WRITABLE,
                (false, false) => Interest::READABLE | Interest::WRITABLE,
                (false, true) => Interest::READABLE,
            };
            let until = match output.is_empty() {
                false => Some(stalled_at),
                true => self.session.open.is_empty().then_some(idle_at),
            };
            tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    idle_at = clock::now() + IDLE;
                    self.session.answer(tag, &answer);
                }
                ready = stream.ready(interest) => {
                    if !ready?.is_readable() || full {
                        continue;
                    }
                    match input.read_from(stream) {
                        Ok(0) => return Ok(()),
                        Ok(_) => {
                            idle_at = clock::now() + IDLE;
                            self.read(&mut input).await?;
                        }
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                        Err(e) => return Err(e),
                    }
                }
                () = sleep_until(clock::instant(until.unwrap_or(idle_at))), if until.is_some() => return Ok(()),
            }
        }
    }

    /// Takes the whole frames off the buffer.
    async fn read(&mut self, input: &mut Buffer) -> io::Result<()> {
        let unreadable = |e: Unreadable| io::Error::new(io::ErrorKind::InvalidData, e.0);
        while let Some(heard) = self.session.take(clock::now(), input).map_err(unreadable)? {
            if let Some(heard) = heard {
                let ended = |_| io::Error::other("the broker has ended");
                self.session.front.asks.send(heard).await.map_err(ended)?;
            }
        }
        Ok(())
    }
}

/// A word that can be written on the caches' wire as it is: no separators, no spaces, no control bytes.
fn token(value: &[u8], most: usize) -> Option<Box<str>> {
    let fine = |b: &u8| b.is_ascii_graphic() && !b",= ".contains(b);
    let fits = !value.is_empty() && value.len() <= most && value.iter().all(fine);
    std::str::from_utf8(value).ok().filter(|_| fits).map(Into::into)
}

/// Reads a request's fields; `None` if one that is needed is missing or cannot be used. Unknown ones are
/// passed over.
fn parse(now: f64, class: ClassId, contracts: &Contracts, fields: &[u8], body: &[u8]) -> Option<Ask> {
    let mut ask = Ask { class, body: body.to_vec(), ..Ask::default() };
    let mut ttl = None;
    for field in fields.split(|&b| b == b',') {
        let Some(at) = field.iter().position(|&b| b == b'=') else { continue };
        let (name, value) = (&field[..at], &field[at + 1..]);
        match name {
            b"call" => ask.call = token(value, 64)?,
            b"ttl" => ttl = Some(amount(value)?),
            b"rep" => ask.repeat = value == b"1",
            b"dedupe" => ask.key = Some(token(value, 128)?),
            b"row" => {
                ask.asset =
                    token(value, 16).filter(|v| v.len() == 16 && v.bytes().all(|b| b.is_ascii_hexdigit()))?;
                ask.object = ObjectId(u64::from_str_radix(&ask.asset, 16).ok()?);
            }
            b"slice" => ask.part = u32::try_from(number(value)?).ok()?,
            b"set" => ask.group = GroupId(u32::try_from(number(value)?).ok()?),
            b"heap" => ask.kb = amount(value)?,
            b"org" => ask.team = contracts.named(value),
            b"seen" => ask.have = Some(token(value, 128)?),
            _ => {}
        }
    }
    ask.deadline = now + ttl?.min(TTL_MOST) / 1000.0 - MARGIN;
    (!ask.call.is_empty() && !ask.asset.is_empty()).then_some(ask)
}
