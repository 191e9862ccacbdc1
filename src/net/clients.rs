//! RESP clients: one task a connection, which reads requests, hands them to the broker and writes answers.

use super::resp::{self, Command, FrameError};
use super::{Buffer, INPUT, Output, Seat, Unreadable, amount, number};
use crate::broker::{Answer, Caller, ClientRequest, Contracts, Count, Figures, Input};
use crate::clock;
use crate::config::Classes;
use crate::interface::*;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose, Refused};
use rustc_hash::FxHashMap;
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
const IDLE: f64 = 5.0;
/// One that has said nothing whole is closed this long after it was made (seconds).
const SPEAK: f64 = 2.0;
/// A frame is to be whole this long after its first byte (seconds).
const WHOLE: f64 = 2.0;
/// Credit for frames: so many a second, and so many at once.
const CREDIT: (f64, f64) = (1000.0, 500.0);
/// What a frame costs of it: one that is taken, refused at once, unusable.
const COSTS: [f64; 3] = [1.0, 2.0, 10.0];
/// A client whose frame may not grow is read from again after this (seconds).
const RELIEF: f64 = 0.005;
/// One that takes nothing of what it is sent is closed after this (seconds): what it holds is late by then,
/// and its bytes are counted against everybody's.
const STALLED: f64 = 5.0;
/// The answer is to be out this long before the client gives up: its `ttl` counts from its own send, which
/// lies before our read (seconds).
const MARGIN: f64 = 0.03;
/// Longest time that a client may ask for (milliseconds); it is served as if it waited for its class's time.
const TTL_MOST: f64 = 600_000.0;
/// Groups of objects, and parts of one (more would be a mistake).
const GROUPS: u64 = 256;
const PARTS: u64 = 1 << 24;
/// Largest size of a part (KB).
const KB_MOST: f64 = 1e9;
/// Digits of a call and of an object.
const HEX: usize = 16;

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
    /// What holds connections, requests and answers.
    pub memory: Ledger,
    /// What a refusal of this front's own says (seconds).
    pub wait: f64,
    /// What operators read: the answers that this front gives of its own are counted here.
    pub figures: Rc<Figures>,
}

impl Front {
    /// Takes memory for a request and for its body, which it has from then on.
    fn hold(&self, mut ask: ClientRequest, body: &[u8]) -> Result<ClientRequest, Refused> {
        ask.hold(&self.memory, self.classes.never_kept(ask.class), body.len())?;
        ask.body = body.to_vec();
        Ok(ask)
    }
}

/// Accepts clients until the program ends, or the door is shut.
pub async fn accept(listener: TcpListener, front: Rc<Front>, door: Rc<super::ListenerState>) {
    let serve = |stream, seat, own| Client::new(front.clone(), seat, own).serve(stream);
    super::accept(listener, door, front.connections, front.memory.clone(), serve).await;
}

/// A request that was taken and is not answered.
struct Taken {
    /// When the answer is due.
    due: f64,
    class: ClassId,
    /// Set once nobody waits for it: whoever would send for it sees that at once.
    gone: Rc<Cell<bool>>,
}

/// One connection's requests and answers, without the socket.
pub(super) struct Session {
    front: Rc<Front>,
    number: u64,
    /// The tags of what is open.
    open: FxHashMap<u64, Taken>,
    reply: UnboundedSender<(u64, Answer)>,
    pub(super) output: Output,
    /// It has said something whole that can be used.
    spoken: bool,
    /// The client has closed its side: requests that are still read are nobody's.
    left: bool,
    /// Credit for frames, and when it was topped up. Below zero, nothing is read.
    credit: (f64, f64),
}

impl Session {
    pub(super) fn new(front: Rc<Front>, reply: UnboundedSender<(u64, Answer)>) -> Self {
        let number = front.numbers.get() + 1;
        front.numbers.set(number);
        let unread = front.memory.empty(AccountOwner { precious: true, ..AccountOwner::of(Purpose::Unread) });
        Session {
            front,
            number,
            open: FxHashMap::default(),
            reply,
            output: Output::new(unread),
            spoken: false,
            left: false,
            credit: (CREDIT.1, 0.0),
        }
    }

    fn caller(&self, tag: u64) -> Caller {
        Caller { connection: self.number, tag }
    }

    /// When the next frame may be taken. Guards against a flood, and against a client that comes again as
    /// soon as it is turned away: its answers go out at once, but it is not heard faster than others.
    fn hears_at(&mut self, now: f64) -> f64 {
        let level = self.credit.0 + (now - self.credit.1).clamp(0.0, 1.0) * CREDIT.0;
        self.credit = (level.min(CREDIT.1), now);
        now + (-self.credit.0 / CREDIT.0).max(0.0)
    }

    /// Takes one whole frame off the buffer: `None` if there is none, else what the broker is to hear of it.
    pub(super) fn take(&mut self, now: f64, input: &mut Buffer) -> Result<Option<Option<Input>>, FrameError> {
        // What is owed to a client that does not read must not outgrow the connection's own.
        if self.hears_at(now) > now || self.output.crowded() {
            return Ok(None);
        }
        let Some((command, used)) = resp::parse(input.bytes())? else { return Ok(self.announced(input)) };
        let mut say = |tag, word| resp::answer(&mut self.output, tag, word, "", None);
        let [mut cost, refused, unusable] = COSTS;
        let mut usable = true;
        let heard = match command {
            Command::Health { tag } => {
                say(tag, if self.front.ready.get() { "yes" } else { "no" });
                None
            }
            Command::Abort { tag } => self.open.remove(&tag).map(|taken| {
                taken.gone.set(true);
                Input::Abort(self.caller(tag))
            }),
            Command::Request { .. } if self.left => None,
            Command::Unusable { tag } => {
                say(tag, "fault");
                (cost, usable) = (unusable, false);
                None
            }
            // Two answers under one tag could not be told apart.
            Command::Request { tag, .. } if self.open.contains_key(&tag) => {
                return Err(FrameError { why: Unreadable("a tag that is in use"), tag: None });
            }
            Command::Request { tag, class, fields, body } => {
                let front = &self.front;
                let class = front.classes.get(class);
                let ask = class.and_then(|c| parse(now, c, &front.classes, &front.contracts, fields));
                let ask = ask.map(|ask| match self.open.len() >= OPEN_MOST {
                    true => None,
                    false => front.hold(ask, body).ok(),
                });
                match ask {
                    None => {
                        say(tag, "fault");
                        if let Some(class) = class {
                            front.figures.count(class, Count::Failure);
                        }
                        (cost, usable) = (unusable, false);
                        None
                    }
                    Some(None) => {
                        front.figures.count(class.unwrap_or_default(), Count::Busy);
                        self.refuse(tag, self.front.wait);
                        cost = refused;
                        None
                    }
                    Some(Some(mut ask)) => {
                        let gone = ask.gone.clone();
                        self.open.insert(tag, Taken { due: ask.deadline, class: ask.class, gone });
                        ask.reader = Some(self.output.reader());
                        Some(Input::Ask {
                            caller: self.caller(tag),
                            ask: ask.into(),
                            reply: self.reply.clone(),
                        })
                    }
                }
            }
        };
        input.consume(used);
        self.spoken |= usable;
        self.credit.0 -= cost;
        Ok(Some(heard))
    }

    /// A request whose body is still to come: there is memory for all of it, or it is refused now and its bytes are
    /// passed over as they come.
    fn announced(&mut self, input: &mut Buffer) -> Option<Option<Input>> {
        let resp::Pending { tag, class, body, total } = resp::pending(input.bytes())?;
        let front = &self.front;
        let class = front.classes.get(class);
        let precious = class.is_some_and(|c| front.classes.never_kept(c));
        input.set_room(|| front.memory.empty(AccountOwner { precious, ..AccountOwner::of(Purpose::Bodies) }));
        let admitted = self.open.len() < OPEN_MOST && front.memory.admits(body, precious);
        if admitted && input.reserve(total - input.len()).is_ok() || self.open.contains_key(&tag) {
            return None;
        }
        input.skip(total);
        if let Some(class) = class {
            front.figures.count(class, Count::Busy);
        }
        self.refuse(tag, self.front.wait);
        self.credit.0 -= COSTS[1];
        self.spoken = true;
        Some(None)
    }

    /// Nobody waits for what is open any more: nothing is sent for it from now on, and the broker is to hear of it.
    pub(super) fn leave(&mut self) -> Vec<Input> {
        let open = std::mem::take(&mut self.open);
        open.values().for_each(|taken| taken.gone.set(true));
        open.into_keys().map(|tag| Input::Abort(self.caller(tag))).collect()
    }

    /// Nothing more can be read: what is owed is failed, and so is the frame if its tag could be read. To be followed by
    /// [`Session::leave`].
    pub(super) fn broken(&mut self, tag: Option<u64>) {
        for (&tag, taken) in &self.open {
            self.front.figures.count(taken.class, Count::Failure);
            resp::answer(&mut self.output, tag, "fault", "", None);
        }
        if let Some(tag) = tag.filter(|tag| !self.open.contains_key(tag)) {
            resp::answer(&mut self.output, tag, "fault", "", None);
        }
    }

    pub(super) fn answer(&mut self, tag: u64, answer: Answer) {
        // After an abort none is owed, and one that crossed it is dropped.
        let Some(Taken { due, .. }) = self.open.remove(&tag) else { return };
        match answer {
            Answer::Served(content) if content.current => {
                resp::answer(&mut self.output, tag, "ok", "current=1", None);
            }
            Answer::Served(content) => {
                resp::answer(&mut self.output, tag, "ok", "", Some((content.body, content.grant, due)));
            }
            Answer::Refused(wait) | Answer::OverBudget(wait) => self.refuse(tag, wait),
            Answer::Failed | Answer::Late | Answer::Forbidden => {
                resp::answer(&mut self.output, tag, "fault", "", None);
            }
        }
    }

    fn refuse(&mut self, tag: u64, wait: f64) {
        let fields = match wait > 0.0 {
            true => format!("pushback={}", (wait * 1000.0).ceil()),
            false => String::new(),
        };
        resp::answer(&mut self.output, tag, "full", &fields, None);
    }
}

struct Client {
    seat: Seat,
    session: Session,
    answers: UnboundedReceiver<(u64, Answer)>,
    own: Grant,
}

impl Client {
    fn new(front: Rc<Front>, seat: Seat, own: Grant) -> Self {
        let (reply, answers) = unbounded_channel();
        Client { seat, session: Session::new(front, reply), answers, own }
    }

    async fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let ended = self.exchange(&stream).await;
        if let Err(Ended::Unreadable(broken)) = &ended {
            self.session.broken(broken.tag);
        }
        // A connection that ends takes its requests with it, before anything is waited for: no answer is owed where none
        // can be given, and none is sent for what was answered here.
        self.depart().await;
        match ended {
            Ok(End::Rested) => {
                self.part(&mut stream).await;
                Ok(())
            }
            Ok(End::Left) => Ok(()),
            Err(Ended::Unreadable(broken)) => {
                self.part(&mut stream).await;
                Err(io::Error::new(io::ErrorKind::InvalidData, broken.why.0))
            }
            Err(Ended::Io(e)) => match e.kind() {
                io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Ok(()),
                _ => Err(e),
            },
        }
    }

    /// Nobody waits for what is open.
    async fn depart(&mut self) {
        for abort in self.session.leave() {
            let _ = self.session.front.asks.send(abort).await;
        }
    }

    async fn exchange(&mut self, stream: &TcpStream) -> Result<End, Ended> {
        let memory = self.session.front.memory.clone();
        let mut input = Buffer::new(INPUT, memory.empty(AccountOwner::of(Purpose::Bodies)));
        let made = clock::now();
        let (mut idle_at, mut stalled_at) = (made + IDLE, made + STALLED);
        // When the frame that has begun is to be whole.
        let mut whole_by = None;
        loop {
            while let Ok((tag, answer)) = self.answers.try_recv() {
                self.session.answer(tag, answer);
            }
            let output = &mut self.session.output;
            if output.write_to(stream)? > 0 || output.is_empty() {
                stalled_at = clock::now() + STALLED;
            }
            // One that leaves much unread is not read from, and sooner while all do.
            let full = output.len() > UNSENT || output.crowded() || !memory.hears(output.len());
            let writable = !output.is_empty();
            // What is still unread so long after it was due is of no use to its client any more; where memory is scarce,
            // it has no such time.
            let slack = if memory.hears(output.len()) { STALLED } else { 0.0 };
            let stalled_by = output.due().map_or(stalled_at, |due| stalled_at.min(due + slack));
            let quiet = !writable && self.session.open.is_empty();
            match quiet {
                true => self.seat.quiet(self.session.spoken),
                false => self.seat.busy(),
            }
            let now = clock::now();
            let hears_at = self.session.hears_at(now);
            let deaf = hears_at > now;
            if full || deaf {
                // What is not read here cannot become whole.
                whole_by = whole_by.map(|_| now + WHOLE);
            }
            let interest = match (full || deaf, writable) {
                (true, _) => Interest::WRITABLE,
                (false, true) => Interest::READABLE | Interest::WRITABLE,
                (false, false) => Interest::READABLE,
            };
            // Guards the share of clients' connections against those that never say anything whole.
            let silent = (!self.session.spoken).then_some(made + SPEAK);
            let idle = if writable { Some(stalled_by) } else { quiet.then_some(idle_at) };
            let until = [silent, whole_by, idle].into_iter().flatten().reduce(f64::min);
            tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    idle_at = clock::now() + IDLE;
                    self.session.answer(tag, answer);
                }
                ready = stream.ready(interest), if writable || !deaf => {
                    let ready = ready?;
                    // Its end is heeded before what it said last, and behind whatever of that is not read: nothing is
                    // sent for it any more. What needs no cache is still answered, as to one that closed its side only.
                    if ready.is_read_closed() {
                        self.session.left = true;
                        self.depart().await;
                        if !full && !deaf && input.read_from(stream).is_ok_and(|n| n > 0) {
                            self.read(&mut input).await?;
                            self.session.output.write_to(stream)?;
                        }
                        return Ok(End::Left);
                    }
                    if !ready.is_readable() || full || deaf {
                        continue;
                    }
                    match input.read_from(stream) {
                        Ok(0) => return Ok(End::Left),
                        Ok(_) => {
                            idle_at = clock::now() + IDLE;
                            self.seat.busy();
                            let whole = self.read(&mut input).await?;
                            let by = whole_by.filter(|_| !whole).unwrap_or(clock::now() + WHOLE);
                            whole_by = (!input.is_empty()).then_some(by);
                        }
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                        // Half a frame that may not grow is held up, and is to be whole in its time all the same.
                        Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                            sleep_until(clock::instant(clock::now() + RELIEF)).await;
                        }
                        Err(e) => return Err(e.into()),
                    }
                }
                () = sleep_until(clock::instant(hears_at)), if deaf => {
                    self.read(&mut input).await?;
                    whole_by = (!input.is_empty()).then_some(clock::now() + WHOLE);
                }
                // One that is not read from is looked at, for whether it is still there.
                () = sleep_until(clock::instant(now + super::LOOK)), if (full || deaf) && !self.session.open.is_empty() => {
                    if super::closed(stream).await? {
                        return Ok(End::Left);
                    }
                }
                // Half a request is waited for, where there is no other in need of the place.
                () = self.seat.asked(), if quiet && (input.is_empty() || !self.seat.leaving()) => {
                    let half = !input.is_empty() && self.seat.leaving();
                    if !half && !super::last_word(stream).await {
                        return Ok(End::Rested);
                    }
                }
                () = sleep_until(clock::instant(until.unwrap_or(idle_at))), if until.is_some() => {
                    let now = clock::now();
                    if whole_by.is_some_and(|by| now >= by) {
                        return Err(FrameError { why: Unreadable("half a frame and no more"), tag: None }.into());
                    }
                    if writable && now >= stalled_by {
                        return Ok(End::Left);
                    }
                    if !super::last_word(stream).await {
                        return Ok(End::Rested);
                    }
                }
            }
        }
    }

    /// Takes the whole frames off the buffer; was there one?
    async fn read(&mut self, input: &mut Buffer) -> Result<bool, Ended> {
        let mut any = false;
        while let Some(heard) = self.session.take(clock::now(), input)? {
            any = true;
            if let Some(heard) = heard {
                let ended = |_| io::Error::other("the broker has ended");
                self.session.front.asks.send(heard).await.map_err(ended)?;
            }
        }
        Ok(any)
    }

    /// Writes the last answers and ends the stream in order. A request among what still comes is not taken, and its client
    /// sends it again elsewhere.
    async fn part(&mut self, stream: &mut TcpStream) {
        // Its place in memory is somebody else's from now on; what is still unsent keeps its own.
        self.own.shrink(usize::MAX);
        super::linger(stream, &self.seat, &mut self.session.output).await;
    }
}

/// How a connection ends in order.
enum End {
    /// It rested, and is closed by this side.
    Rested,
    /// The client has closed it, or takes nothing of what it is sent.
    Left,
}

/// Why a connection is closed.
enum Ended {
    /// What it said cannot be read.
    Unreadable(FrameError),
    /// The connection itself.
    Io(io::Error),
}

impl From<FrameError> for Ended {
    fn from(broken: FrameError) -> Self {
        Ended::Unreadable(broken)
    }
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Self {
        Ended::Io(e)
    }
}

/// A word that can be written on the caches' wire as it is: no separators, no spaces, no control bytes.
fn token(value: &[u8], most: usize) -> Option<Box<str>> {
    let fine = |b: &u8| b.is_ascii_graphic() && !b",= ".contains(b);
    let fits = !value.is_empty() && value.len() <= most && value.iter().all(fine);
    std::str::from_utf8(value).ok().filter(|_| fits).map(Into::into)
}

/// So many hexadecimal digits.
fn hex(value: &[u8]) -> Option<Box<str>> {
    token(value, HEX).filter(|v| v.len() == HEX && v.bytes().all(|b| b.is_ascii_hexdigit()))
}

/// Reads a request's fields; `None` if one that is needed is missing, stands twice or cannot be used. Unknown
/// ones are passed over. Guards the cache nodes, which end a connection with all that is open on it over what
/// they cannot read, and the core, which a far deadline would keep busy.
fn parse(
    now: f64,
    class: ClassId,
    classes: &Classes,
    contracts: &Contracts,
    fields: &[u8],
) -> Option<ClientRequest> {
    const NAMES: [&[u8]; 10] =
        [b"call", b"ttl", b"rep", b"dedupe", b"row", b"slice", b"set", b"heap", b"org", b"seen"];
    let mut ask = ClientRequest { class, ..ClientRequest::default() };
    let mut ttl = None;
    let mut had = [false; NAMES.len()];
    for field in fields.split(|&b| b == b',') {
        let Some(at) = field.iter().position(|&b| b == b'=') else { continue };
        let (name, value) = (&field[..at], &field[at + 1..]);
        let Some(known) = NAMES.iter().position(|n| *n == name) else { continue };
        if std::mem::replace(&mut had[known], true) {
            return None;
        }
        match name {
            b"call" => ask.call = hex(value)?,
            b"ttl" => ttl = Some(amount(value).filter(|t| (1.0..=TTL_MOST).contains(t))?),
            b"rep" => ask.repeat = number(value).filter(|&r| r < 2)? == 1,
            b"dedupe" => ask.key = Some(token(value, 128)?),
            b"row" => {
                ask.asset = hex(value)?;
                ask.object = ObjectId(u64::from_str_radix(&ask.asset, 16).ok()?);
            }
            b"slice" => ask.part = number(value).filter(|&p| p < PARTS)? as u32,
            b"set" => ask.group = GroupId(number(value).filter(|&g| g < GROUPS)? as u32),
            b"heap" => ask.kb = amount(value).filter(|&kb| kb <= KB_MOST)?,
            b"org" => ask.team = contracts.named(value),
            b"seen" => ask.have = Some(token(value, 128)?),
            _ => {}
        }
    }
    let (longest, keyed) = classes.asks(class);
    ask.deadline = now + (ttl? / 1000.0).min(longest) - MARGIN;
    let whole = !ask.call.is_empty() && !ask.asset.is_empty() && (!keyed || ask.key.is_some());
    whole.then_some(ask)
}
