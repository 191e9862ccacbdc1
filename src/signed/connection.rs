//! The task of one connection of the second front: heads, bodies, the core's answers, and how it ends.

use super::{Admitted, BUSY, Front, Rejection, WHOLE_HEAD, http};
use crate::broker::{Answer, Caller, ClientRequest, Content, Input};
use crate::clock;
use crate::memory::{AccountOwner, Grant, MemoryRefusal, Purpose};
use crate::net::{
    Buffer, ClientSocket, ConnectionSlot, DELIVERY_CHECK_INTERVAL, Delivery, Output, PEER_CHECK_INTERVAL,
    READ_CHUNK_BYTES, SendState, linger, peer_has_closed, readable_within_window,
};
use http::Unusable;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// Most bytes of a body; what the caches' wire takes.
const BODY: usize = 48_000;
/// A head, or a body, must be whole this long after its first byte (seconds).
const WHOLE: f64 = 10.0;
/// A connection between requests, or one that takes nothing of its answer, is closed after this (seconds).
const IDLE: f64 = 20.0;
/// What a header line takes beside its text (bytes).
const FIELD: usize = 2 * size_of::<String>();

/// A connection of the second front.
pub(super) struct Connection {
    front: Rc<Front>,
    socket: Rc<ClientSocket>,
    slot: ConnectionSlot,
    number: u64,
    tag: u64,
    /// A whole head has come from the client.
    spoken: bool,
    reply: UnboundedSender<(u64, Answer)>,
    answers: UnboundedReceiver<(u64, Answer)>,
    input: Buffer,
    output: Output,
    grant: Grant,
}

impl Connection {
    pub(super) fn new(
        front: Rc<Front>,
        socket: Rc<ClientSocket>,
        slot: ConnectionSlot,
        grant: Grant,
    ) -> Self {
        let (reply, answers) = unbounded_channel();
        let number = front.numbers.get() + 1;
        front.numbers.set(number);
        let input =
            Buffer::new(READ_CHUNK_BYTES, front.memory.empty_grant(AccountOwner::of(Purpose::Signed)));
        let unread = AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Unread) };
        let output = Output::new(front.memory.empty_grant(unread));
        Connection {
            front,
            socket,
            slot,
            number,
            tag: 0,
            spoken: false,
            reply,
            answers,
            input,
            output,
            grant,
        }
    }

    pub(super) async fn serve(mut self) -> io::Result<()> {
        self.socket.set_nodelay(true)?;
        let ended = self.requests().await;
        if ended.is_ok() {
            // Its place in memory is somebody else's from now on; what is still unsent keeps its own.
            self.grant.shrink(usize::MAX);
            linger(&self.socket, &self.slot, &mut self.output).await;
        }
        match ended {
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => {
                Ok(())
            }
            other => other,
        }
    }

    /// Serves one request after the other.
    async fn requests(&mut self) -> io::Result<()> {
        loop {
            match self.head().await? {
                Some(Ok(request)) => {
                    if !self.serve_request(&request).await? {
                        return Ok(());
                    }
                }
                Some(Err(Unusable(status))) => {
                    // Where it ends is unknown, so that nothing after it can be read.
                    self.say(status, &[("Connection", "close")], "the message cannot be taken", false);
                    return self.flush().await;
                }
                None => return Ok(()),
            }
        }
    }

    /// Serves one request; is another to be read from the connection?
    async fn serve_request(&mut self, request: &http::Request) -> io::Result<bool> {
        let arrived = clock::now();
        // What was read of its head is held while it is served.
        let text = request.fields.iter().map(|(name, value)| name.len() + value.len() + FIELD).sum::<usize>();
        let held = self.front.memory.acquire(WHOLE_HEAD, text + 2 * request.target.len());
        let admitted = match &held {
            Ok(_) => self.front.admit(arrived, request).and_then(|ask| self.hold(ask, request.length)),
            Err(_) => Err(BUSY),
        };
        let keep = request.keep && (admitted.is_ok() || request.length == 0);
        let end = if keep { ("Connection", "keep-alive") } else { ("Connection", "close") };
        match admitted {
            Err(rejection) => self.reject(&rejection, end, request.method == "HEAD"),
            Ok(mut ask) => {
                if !self.body(request, &mut ask, arrived).await? {
                    return Ok(false);
                }
                let deadline = ask.deadline;
                let Some(mut answer) = self.ask(ask).await? else { return Ok(false) };
                // What the core gave up on since its time was over is told as that.
                if matches!(answer, Answer::Refused(_) | Answer::Failed) && clock::now() >= deadline {
                    answer = Answer::DeadlineExceeded;
                }
                self.answer(answer, request, end);
            }
        }
        self.flush().await?;
        Ok(keep)
    }

    /// Reads a request's body; `false` if the client has gone, or is too slow. Its memory is granted: it is moved there as
    /// it comes, and needs no room in the buffer.
    async fn body(
        &mut self,
        request: &http::Request,
        ask: &mut ClientRequest,
        arrived: f64,
    ) -> io::Result<bool> {
        if request.expects {
            self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.flush().await?;
        }
        let by = clock::instant(arrived + WHOLE);
        ask.body = Vec::with_capacity(request.length);
        loop {
            let here = self.input.len().min(request.length - ask.body.len());
            ask.body.extend_from_slice(&self.input.bytes()[..here]);
            self.input.consume(here);
            if ask.body.len() == request.length {
                return Ok(true);
            }
            if !self.fill(by).await? {
                return Ok(false);
            }
        }
    }

    /// Answers a request that the core does not hear of.
    fn reject(&mut self, rejection: &Rejection, end: (&str, &str), bare: bool) {
        let challenge = [end, ("WWW-Authenticate", "URISigningPackage")];
        let wait = format!("{}", self.front.wait.max(1.0).ceil());
        let later = [end, ("Retry-After", &*wait)];
        let fields = match rejection.status {
            401 => &challenge[..],
            503 => &later[..],
            _ => &challenge[..1],
        };
        self.say(rejection.status, fields, rejection.why, bare);
    }

    /// Reads until a head is whole; `None` if the client has gone, or never began.
    async fn head(&mut self) -> io::Result<Option<Result<http::Request, Unusable>>> {
        let mut by = clock::instant(clock::now() + IDLE);
        let mut begun = false;
        loop {
            match http::request(self.input.bytes(), BODY) {
                Ok(Some((request, used))) => {
                    self.input.consume(used);
                    self.spoken = true;
                    self.slot.mark_active();
                    return Ok(Some(Ok(request)));
                }
                Ok(None) => {}
                Err(e) => return Ok(Some(Err(e))),
            }
            if !begun && !self.input.is_empty() {
                (begun, by) = (true, clock::instant(clock::now() + WHOLE));
            }
            let more = match self.fill_between_requests(by).await {
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
    async fn fill_between_requests(&mut self, mut by: Instant) -> io::Result<bool> {
        let mut was_unsent = false;
        // It is not closed before, since the client is to acknowledge by then what it was sent just now.
        let mut acknowledged_by = Instant::now();
        let half_a_head = !self.input.is_empty();
        loop {
            let now = clock::now();
            let unsent = self.slot.is_send_blocked();
            if !half_a_head && unsent != was_unsent {
                // An end is seen only by a client that took its answer: until then it has longer, and then a whole time.
                by = if unsent { by + Duration::from_secs_f64(IDLE) } else { clock::instant(now + IDLE) };
            }
            was_unsent = unsent;
            match unsent {
                true => self.slot.mark_active(),
                false => self.slot.mark_idle(now, self.spoken, half_a_head),
            }
            if !unsent && !half_a_head {
                by = by.max(clock::instant(self.slot.idle_since() + IDLE));
            }
            // Half a head is waited for, where there is no other in need of the place.
            let waits = half_a_head && self.slot.is_closing_all();
            let closes_at = self.slot.closes_at().filter(|_| !waits);
            let closing_at = clock::instant(closes_at.unwrap_or_default());
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    ready?;
                    self.slot.mark_active();
                    return self.read();
                }
                changed = self.socket.delivery_changed(), if unsent => changed?,
                () = self.slot.changed(), if !unsent => {}
                () = sleep_until(closing_at.max(acknowledged_by)), if closes_at.is_some() => {
                    match self.socket.delivery() {
                        // What it was sent only just now, it has as long to read as any other.
                        Delivery::Delivered if self.slot.postpone_to_last_sent() => {}
                        // One that is asked to close just as its request comes serves that first.
                        Delivery::Delivered if readable_within_window(&self.socket).await => {
                            self.slot.mark_active();
                            return self.read();
                        }
                        Delivery::Delivered => return Ok(false),
                        Delivery::InFlight => acknowledged_by = Instant::now() + DELIVERY_CHECK_INTERVAL,
                        // Its client could not see an end.
                        Delivery::Unsent | Delivery::Undelivered => {}
                    }
                }
                () = sleep_until(by.max(acknowledged_by)) => {
                    if unsent || half_a_head {
                        return Ok(false);
                    }
                    match self.socket.delivery() {
                        Delivery::Delivered if self.slot.postpone_to_last_sent() => {}
                        Delivery::Delivered => return Ok(false),
                        Delivery::InFlight => acknowledged_by = Instant::now() + DELIVERY_CHECK_INTERVAL,
                        Delivery::Unsent | Delivery::Undelivered => {}
                    }
                }
            }
        }
    }

    /// Reads once; `false` at the end of the stream or of the time.
    async fn fill(&mut self, by: Instant) -> io::Result<bool> {
        tokio::select! {
            biased;
            ready = self.socket.readable() => ready?,
            () = sleep_until(by) => return Ok(false),
        }
        self.read()
    }

    /// Reads what is there; `false` at the end of the stream.
    fn read(&mut self) -> io::Result<bool> {
        match self.input.read_from(&self.socket) {
            Ok(n) => Ok(n > 0),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(e) => Err(e),
        }
    }

    /// Hands the request to the core and waits for its answer; `None` if the client left before.
    async fn ask(&mut self, ask: ClientRequest) -> io::Result<Option<Answer>> {
        self.tag += 1;
        let caller = Caller { connection: self.number, tag: self.tag };
        let ended = |_| io::Error::other("the broker has ended");
        let gone = ask.cancelled.clone();
        let input = Input::Request { caller, request: ask.into(), reply: self.reply.clone() };
        self.front.asks.send(input).await.map_err(ended)?;
        loop {
            let reads = self.input.len() < READ_CHUNK_BYTES;
            let left = tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    if tag == self.tag {
                        return Ok(Some(answer));
                    }
                    false
                }
                ready = self.socket.ready(Interest::READABLE), if reads => match ready {
                    Ok(ready) if ready.is_read_closed() => true,
                    ready => match ready.and_then(|_| self.input.read_from(&self.socket)) {
                        Ok(n) => n == 0,
                        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
                    },
                },
                // Its end is seen behind what it has sent ahead.
                () = sleep_until(clock::instant(clock::now() + PEER_CHECK_INTERVAL)), if !reads => peer_has_closed(&self.socket).await?,
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
        let held = ask.reserve_memory(&self.front.memory, rules.is_some_and(|c| c.uncacheable), body);
        held.map_err(|MemoryRefusal { .. }| BUSY).map(|()| ask)
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
            Answer::DeadlineExceeded => self.say(504, &[end], "no answer in time", bare),
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
            _ if content.not_modified => (304, 0..0, None),
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
    async fn flush(&mut self) -> io::Result<()> {
        let mut by = clock::instant(clock::now() + IDLE);
        loop {
            if self.output.write_to(&self.socket)? > 0 {
                by = clock::instant(clock::now() + IDLE);
            }
            if self.output.is_empty() {
                return Ok(());
            }
            tokio::select! {
                biased;
                ready = self.socket.ready(Interest::WRITABLE) => { ready?; }
                () = sleep_until(by) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}
