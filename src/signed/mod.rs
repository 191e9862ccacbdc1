//! The second front: HTTP/1.1 with signed links (URI Signing, RFC 9246), on the same core and under the same
//! rules as the first. Off unless an operator's file turns it on.

pub mod http;
pub mod keys;
pub mod token;
pub mod uri;

use crate::broker::{Answer, Caller, ClientRequest, Content, Contracts, Input};
use crate::interface::*;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose, Refused};
use crate::net::{
    Buffer, ConnectionSlot, INPUT, ListenerState, Output, PEER_CHECK_INTERVAL, linger, peer_has_closed,
    readable_within_window,
};
use crate::{clock, log};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use http::Unusable;
use keys::{KeyFile, Keys};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use token::Refusal;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

/// Most bytes of a body; what the caches' wire takes.
const BODY: usize = 48_000;
/// A head, or a body, must be whole this long after its first byte (seconds).
const WHOLE: f64 = 10.0;
/// A connection between requests, or one that takes nothing of its answer, is closed after this (seconds).
const IDLE: f64 = 20.0;
/// The answer is to be out this long before the class's deadline (seconds).
const MARGIN: f64 = 0.02;

/// Bytes in base64url without padding.
fn base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

/// What all connections of this front share.
pub struct Front {
    /// To the broker.
    pub asks: Sender<Input>,
    /// Whose paths are whose.
    pub contracts: Rc<Contracts>,
    /// The classes, for their deadlines and effects.
    pub classes: Vec<Class>,
    /// Scheme and authority that links are signed with.
    pub base: String,
    /// Whom a token's `aud` must name.
    pub audience: Option<String>,
    /// Clocks may differ by so much (seconds).
    pub leeway: f64,
    /// The signers' keys.
    pub keys: Rc<RefCell<Keys>>,
    /// Most connections.
    pub connections: usize,
    /// Numbers for connections, shared by all fronts.
    pub numbers: Rc<Cell<u64>>,
    /// What holds connections, requests and answers.
    pub memory: Ledger,
    /// What a refusal of this front's own says (seconds).
    pub wait: f64,
}

/// Rereads the key file, of which `text` was read before, for ever. One that cannot be used changes nothing
/// and is told of once.
pub async fn watch_keys(
    path: PathBuf,
    text: String,
    keys: Rc<RefCell<Keys>>,
    (every, overlap): (f64, f64),
    mut held: Grant,
) {
    let mut last = Some(text);
    loop {
        sleep_until(clock::instant(clock::now() + every)).await;
        // A small local file; reading it does not hold up the thread.
        let text = std::fs::read_to_string(&path);
        let same = match (&text, &last) {
            (Ok(text), Some(last)) => text == last,
            (Err(_), None) => true,
            _ => false,
        };
        if same {
            continue;
        }
        let file = text.as_ref().map_err(ToString::to_string).and_then(|t| KeyFile::parse(t));
        match file {
            // The replaced ones stay for the overlap, so that both are held for a while.
            Ok(file) if held.resize(keys.borrow().footprint() + file.footprint()).is_err() => {
                log!("keys: no memory for the new set ('memory.signed'); the old set stays");
            }
            Ok(file) => {
                let now = clock::now();
                keys.borrow_mut().replace(now, now + overlap, file);
                let _ = held.resize(keys.borrow().footprint());
                log!("keys: {} in force; replaced ones verify for {overlap} s", keys.borrow().len());
            }
            Err(e) => log!("keys: {e}; the old set stays"),
        }
        last = text.ok();
    }
}

/// Accepts clients until the program ends, or the front takes no more.
pub async fn accept(listener: TcpListener, front: Rc<Front>, state: Rc<ListenerState>) {
    let serve = |stream, slot, grant| Connection::new(front.clone(), slot, grant).serve(stream);
    crate::net::accept(listener, state, front.connections, front.memory.clone(), serve).await;
}

/// A request as the core takes it, or the status that it is answered with at once.
type Admitted = Result<ClientRequest, Rejection>;

/// Turned away before the core hears of it.
#[derive(Debug, PartialEq)]
struct Rejection {
    status: u16,
    why: &'static str,
}

/// What a whole head takes may come out of the reserve: half heads, however many, must not keep it out.
const WHOLE_HEAD: AccountOwner = AccountOwner { purpose: Purpose::Signed, team: None, precious: true };
/// There is no memory for it.
const BUSY: Rejection = Rejection { status: 503, why: "busy; try again" };
/// What a header line takes beside its text (bytes).
const FIELD: usize = 2 * size_of::<String>();

impl Front {
    /// Checks a request whose head arrived at `now`: its method, its target, its link. From here on it is
    /// authorised; neither an expiry nor a change of keys cuts what it asked for.
    fn admit(&self, now: f64, request: &http::Request) -> Admitted {
        let denied = |status, why| Err(Rejection { status, why });
        let Some(target) = uri::target(&request.target) else { return denied(400, "malformed target") };
        let Some((team, class)) = self.contracts.route(&target.path) else {
            return denied(403, "no contract covers the path");
        };
        let Some(rules) = self.classes.get(usize::from(class.0)) else { return denied(403, "no class") };
        let Ok(_check) = self.memory.ask(WHOLE_HEAD, token::CHECK) else {
            return Err(BUSY);
        };
        let cookie = request.field("cookie").and_then(uri::cookie).map(str::to_owned);
        let checked = target.token.or(cookie).ok_or(Refusal::Missing).and_then(|token| {
            let uri = format!("{}{}", self.base, target.uri);
            let issuer = &self.contracts.0[usize::from(team)].issuer;
            let (audience, leeway) = (self.audience.as_deref(), self.leeway);
            let want = token::Check { uri: &uri, issuer, audience, leeway, now };
            token::check(&token, &self.keys.borrow(), &want)
        });
        match checked {
            Ok(()) => {}
            Err(Refusal::Missing) => return denied(401, "a signed link is needed"),
            Err(refusal) => return denied(403, why(refusal)),
        }
        let method_fits = match &*request.method {
            "GET" | "HEAD" => !rules.never_kept,
            "POST" => rules.never_kept,
            _ => false,
        };
        if !method_fits {
            return denied(405, "the method does not fit the path's class");
        }
        let key = request.field("idempotency-key").map(|k| k.trim_matches('"'));
        let plain = |k: &&str| {
            !k.is_empty()
                && k.len() <= 128
                && k.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        };
        if key.is_some_and(|k| !plain(&k)) || key.is_none() && matches!(rules.effect, Effect::Keyed(_)) {
            return denied(400, "an Idempotency-Key is needed, of letters, digits, '-', '_' and '.'");
        }
        let etag = request.field("if-none-match").map(|t| t.strip_prefix("W/").unwrap_or(t));
        let etag = etag.and_then(|t| t.strip_prefix('"')?.strip_suffix('"'));
        // One object is one copy, whatever token it is asked for with.
        let object = xxh3_64(target.path.as_bytes());
        Ok(ClientRequest {
            class,
            object: ObjectId(object),
            deadline: now + rules.deadline - MARGIN,
            team: Some(team),
            call: format!("{:016x}", fastrand::u64(..)).into(),
            asset: format!("{object:016x}").into(),
            key: key.map(Into::into),
            have: etag.filter(plain).map(Into::into),
            path: Some(target.path.into()),
            ..ClientRequest::default()
        })
    }
}

/// What a refused client is told; the token itself is never repeated.
fn why(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Missing => "a signed link is needed",
        Refusal::Malformed => "the token cannot be read",
        Refusal::Signature => "the signature does not verify",
        Refusal::Expired => "the link has expired",
        Refusal::Early => "the link is not yet valid",
        Refusal::Issuer => "the issuer may not sign for this path",
        Refusal::Audience => "the link is for another audience",
        Refusal::Uri => "the link is for another URI",
        Refusal::Claim => "the token has a claim that cannot be honoured, or lacks one that is needed",
    }
}

struct Connection {
    front: Rc<Front>,
    slot: ConnectionSlot,
    number: u64,
    tag: u64,
    reply: UnboundedSender<(u64, Answer)>,
    answers: UnboundedReceiver<(u64, Answer)>,
    input: Buffer,
    output: Output,
    _grant: Grant,
}

impl Connection {
    fn new(front: Rc<Front>, slot: ConnectionSlot, grant: Grant) -> Self {
        let (reply, answers) = unbounded_channel();
        let number = front.numbers.get() + 1;
        front.numbers.set(number);
        let input = Buffer::new(INPUT, front.memory.empty(AccountOwner::of(Purpose::Signed)));
        let unread = AccountOwner { precious: true, ..AccountOwner::of(Purpose::Unread) };
        let output = Output::new(front.memory.empty(unread));
        Connection { front, slot, number, tag: 0, reply, answers, input, output, _grant: grant }
    }

    async fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let ended = self.requests(&stream).await;
        if ended.is_ok() {
            linger(&mut stream, &self.slot, &mut self.output).await;
        }
        match ended {
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => {
                Ok(())
            }
            other => other,
        }
    }

    /// Serves one request after the other.
    async fn requests(&mut self, stream: &TcpStream) -> io::Result<()> {
        loop {
            let request = match self.head(stream).await? {
                Some(Ok(request)) => request,
                Some(Err(Unusable(status))) => {
                    // Where it ends is unknown, so that nothing after it can be read.
                    self.say(status, &[("Connection", "close")], "the message cannot be taken", false);
                    return self.flush(stream).await;
                }
                None => return Ok(()),
            };
            let arrived = clock::now();
            // What was read of its head is held while it is served.
            let text =
                request.fields.iter().map(|(name, value)| name.len() + value.len() + FIELD).sum::<usize>();
            let held = self.front.memory.ask(WHOLE_HEAD, text + 2 * request.target.len());
            let bare = request.method == "HEAD";
            let admitted = match &held {
                Ok(_) => self.front.admit(arrived, &request).and_then(|ask| self.hold(ask, request.length)),
                Err(_) => Err(BUSY),
            };
            let keep = request.keep && (admitted.is_ok() || request.length == 0);
            let end = if keep { ("Connection", "keep-alive") } else { ("Connection", "close") };
            match admitted {
                Err(Rejection { status, why }) => {
                    let challenge = [end, ("WWW-Authenticate", "URISigningPackage")];
                    let wait = format!("{}", self.front.wait.max(1.0).ceil());
                    let later = [end, ("Retry-After", &*wait)];
                    let fields = match status {
                        401 => &challenge[..],
                        503 => &later[..],
                        _ => &challenge[..1],
                    };
                    self.say(status, fields, why, bare);
                }
                Ok(mut ask) => {
                    if request.expects {
                        self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                        self.flush(stream).await?;
                    }
                    // Its memory is granted; it is moved there as it comes, and needs no room in the buffer.
                    let by = clock::instant(arrived + WHOLE);
                    ask.body = Vec::with_capacity(request.length);
                    loop {
                        let here = self.input.len().min(request.length - ask.body.len());
                        ask.body.extend_from_slice(&self.input.bytes()[..here]);
                        self.input.consume(here);
                        if ask.body.len() == request.length {
                            break;
                        }
                        if !self.fill(stream, by).await? {
                            return Ok(());
                        }
                    }
                    let deadline = ask.deadline;
                    let Some(mut answer) = self.ask(stream, ask).await? else { return Ok(()) };
                    // What the core gave up on since its time was over is told as that.
                    if matches!(answer, Answer::Refused(_) | Answer::Failed) && clock::now() >= deadline {
                        answer = Answer::Late;
                    }
                    self.answer(answer, &request, end);
                }
            }
            self.flush(stream).await?;
            if !keep {
                return Ok(());
            }
        }
    }

    /// Reads until a head is whole; `None` if the client has gone, or never began.
    async fn head(&mut self, stream: &TcpStream) -> io::Result<Option<Result<http::Request, Unusable>>> {
        let mut by = clock::instant(clock::now() + IDLE);
        let mut begun = false;
        loop {
            match http::request(self.input.bytes(), BODY) {
                Ok(Some((request, used))) => {
                    self.input.consume(used);
                    self.slot.mark_active();
                    return Ok(Some(Ok(request)));
                }
                Ok(None) => {}
                Err(e) => return Ok(Some(Err(e))),
            }
            if !begun && !self.input.is_empty() {
                (begun, by) = (true, clock::instant(clock::now() + WHOLE));
            }
            let more = match self.fill_between_requests(stream, by).await {
                // Half a head that may not grow.
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return Ok(Some(Err(Unusable(503)))),
                more => more?,
            };
            if !more {
                let late = begun && Instant::now() >= by;
                return Ok(late.then_some(Err(Unusable(408))));
            }
        }
    }

    /// Reads once while nothing is owed; `false` at the end of the stream or of the time, or if the connection is to close.
    async fn fill_between_requests(&mut self, stream: &TcpStream, by: Instant) -> io::Result<bool> {
        loop {
            let sent = self.output.is_sent(stream);
            if sent {
                self.slot.mark_idle(clock::now(), self.tag > 0);
            }
            // Half a head is waited for, where there is no other in need of the place.
            let waits = !self.input.is_empty() && self.slot.is_closing_all();
            let closes_at = self.slot.closes_at().filter(|_| !waits);
            tokio::select! {
                biased;
                ready = stream.readable() => {
                    ready?;
                    return self.read(stream);
                }
                ready = stream.writable(), if !sent => ready?,
                () = self.slot.closes_at_changed(), if sent => {}
                () = sleep_until(clock::instant(closes_at.unwrap_or_default())), if closes_at.is_some() => {
                    // One that is asked to close just as its request comes serves that first.
                    if !readable_within_window(stream).await {
                        return Ok(false);
                    }
                    self.slot.mark_active();
                    return self.read(stream);
                }
                () = sleep_until(by) => return Ok(false),
            }
        }
    }

    /// Reads once; `false` at the end of the stream or of the time.
    async fn fill(&mut self, stream: &TcpStream, by: Instant) -> io::Result<bool> {
        tokio::select! {
            biased;
            ready = stream.readable() => ready?,
            () = sleep_until(by) => return Ok(false),
        }
        self.read(stream)
    }

    /// Reads what is there; `false` at the end of the stream.
    fn read(&mut self, stream: &TcpStream) -> io::Result<bool> {
        match self.input.read_from(stream) {
            Ok(n) => Ok(n > 0),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(e) => Err(e),
        }
    }

    /// Hands the request to the core and waits for its answer; `None` if the client left before.
    async fn ask(&mut self, stream: &TcpStream, ask: ClientRequest) -> io::Result<Option<Answer>> {
        self.tag += 1;
        let caller = Caller { connection: self.number, tag: self.tag };
        let ended = |_| io::Error::other("the broker has ended");
        let gone = ask.gone.clone();
        let input = Input::Ask { caller, ask: ask.into(), reply: self.reply.clone() };
        self.front.asks.send(input).await.map_err(ended)?;
        loop {
            let reads = self.input.len() < INPUT;
            let left = tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    if tag == self.tag {
                        return Ok(Some(answer));
                    }
                    false
                }
                ready = stream.ready(Interest::READABLE), if reads => match ready {
                    Ok(ready) if ready.is_read_closed() => true,
                    ready => match ready.and_then(|_| self.input.read_from(stream)) {
                        Ok(n) => n == 0,
                        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
                    },
                },
                // Its end is seen behind what it has sent ahead.
                () = sleep_until(clock::instant(clock::now() + PEER_CHECK_INTERVAL)), if !reads => peer_has_closed(stream).await?,
            };
            if left {
                gone.set(true);
                self.front.asks.send(Input::Abort(caller)).await.map_err(ended)?;
                return Ok(None);
            }
        }
    }

    /// Takes memory for a request and its body; what does not fit is refused before its body is read.
    fn hold(&self, mut ask: ClientRequest, body: usize) -> Admitted {
        let rules = self.front.classes.get(usize::from(ask.class.0));
        let held = ask.hold(&self.front.memory, rules.is_some_and(|c| c.never_kept), body);
        held.map_err(|Refused { .. }| BUSY).map(|()| ask)
    }

    fn answer(&mut self, answer: Answer, request: &http::Request, end: (&str, &str)) {
        let bare = request.method == "HEAD";
        let seconds = |wait: f64| format!("{}", wait.max(1.0).ceil());
        match answer {
            Answer::Served(content) => self.served(content, request, end),
            Answer::Refused(wait) => {
                self.say(503, &[end, ("Retry-After", &seconds(wait))], "busy; try again", bare);
            }
            Answer::OverBudget(wait) => {
                self.say(429, &[end, ("Retry-After", &seconds(wait))], "the team's budget is spent", bare);
            }
            Answer::Forbidden => self.say(403, &[end], "no contract covers the request", bare),
            Answer::Failed => self.say(502, &[end], "the caches failed", bare),
            Answer::Late => self.say(504, &[end], "no answer in time", bare),
        }
    }

    /// The object, or the part of its bytes that was asked for.
    fn served(&mut self, content: Content, request: &http::Request, end: (&str, &str)) {
        let etag = format!("\"{}\"", content.etag);
        // Only the holder of a valid link may have it; no cache between may keep it for others.
        let mut fields = vec![end, ("Cache-Control", "private"), ("Accept-Ranges", "bytes")];
        if !content.etag.is_empty() {
            fields.push(("ETag", &etag));
        }
        let length = content.body.len();
        // A range of another version than the client's is of no use to it: the whole is sent.
        let same = request.field("if-range").is_none_or(|tag| tag == etag);
        let asked = request.field("range").filter(|_| request.method == "GET" && same);
        let (status, part, place) = match asked.and_then(|r| http::range(r, length)) {
            _ if content.current => (304, 0..0, None),
            None => (200, 0..length, None),
            Some(Ok(r)) => (206, r.clone(), Some(format!("bytes {}-{}/{length}", r.start, r.end - 1))),
            Some(Err(())) => (416, 0..0, Some(format!("bytes */{length}"))),
        };
        if let Some(place) = &place {
            fields.push(("Content-Range", place));
        }
        http::respond(&mut self.output, status, &fields, part.len());
        if request.method != "HEAD" {
            self.output.push_body(content.body, part, content.grant, f64::INFINITY);
        }
    }

    /// An answer of a line of text.
    fn say(&mut self, status: u16, fields: &[(&str, &str)], text: &str, bare: bool) {
        let mut all = vec![("Content-Type", "text/plain"), ("Cache-Control", "no-store")];
        all.extend(fields);
        http::respond(&mut self.output, status, &all, text.len() + 1);
        if !bare {
            self.output.push(text.as_bytes());
            self.output.push(b"\n");
        }
    }

    /// Writes all that is to be written; a client that takes nothing for long is dropped.
    async fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        let mut by = clock::instant(clock::now() + IDLE);
        loop {
            if self.output.write_to(stream)? > 0 {
                by = clock::instant(clock::now() + IDLE);
            }
            if self.output.is_empty() {
                return Ok(());
            }
            tokio::select! {
                biased;
                ready = stream.ready(Interest::WRITABLE) => { ready?; }
                () = sleep_until(by) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}
