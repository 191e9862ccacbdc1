//! One client connection of the signed-link listener: reads requests, passes them to the broker, writes the
//! answers, and closes the connection.

use super::{AdmissionResult, COMPLETE_HEAD_OWNER, Front, OUT_OF_MEMORY, Rejection, http};
use crate::broker::{Answer, Caller, ClientRequest, Content, Input};
use crate::clock;
use crate::memory::{AccountOwner, Grant, MemoryRefusal, Purpose};
use crate::net::{
    Buffer, ClientSocket, ConnectionSlot, DELIVERY_CHECK_INTERVAL, Delivery, Output, PEER_CHECK_INTERVAL,
    READ_CHUNK_BYTES, SendState, linger, peer_has_closed, readable_within_window,
};
use http::MessageError;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// Maximum size of a request body; the protocol of the cache nodes accepts no more.
const MAX_BODY_BYTES: usize = 48_000;
/// Maximum time for a head, from its first byte, and for a body, from the end of its head (seconds).
const MESSAGE_TIMEOUT_S: f64 = 10.0;
/// Time after which a connection without a request, or one whose client reads nothing of its answer, is
/// closed (seconds).
const IDLE_TIMEOUT_S: f64 = 20.0;
/// Memory that a header field takes in addition to its text.
const FIELD_OVERHEAD_BYTES: usize = 2 * size_of::<String>();

/// A client connection of the signed-link listener.
pub(super) struct Connection {
    front: Rc<Front>,
    socket: Rc<ClientSocket>,
    slot: ConnectionSlot,
    number: u64,
    tag: u64,
    /// Whether the client has sent a complete head.
    head_received: bool,
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
        let number = front.last_connection_number.get() + 1;
        front.last_connection_number.set(number);
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
            head_received: false,
            reply,
            answers,
            input,
            output,
            grant,
        }
    }

    pub(super) async fn serve(mut self) -> io::Result<()> {
        self.socket.set_nodelay(true)?;
        let result = self.serve_requests().await;
        if result.is_ok() {
            // The connection's own memory is released before the linger; unsent data keeps its own grants.
            self.grant.shrink(usize::MAX);
            linger(&self.socket, &self.slot, &mut self.output).await;
        }
        match result {
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => {
                Ok(())
            }
            other => other,
        }
    }

    /// Serves requests one after the other until the connection is to be closed.
    async fn serve_requests(&mut self) -> io::Result<()> {
        loop {
            match self.read_head().await? {
                Some(Ok(request)) => {
                    if !self.serve_request(&request).await? {
                        return Ok(());
                    }
                }
                Some(Err(MessageError(status))) => {
                    // The end of an invalid message is unknown, so nothing after it can be read.
                    self.write_text(status, &[("Connection", "close")], "the message cannot be taken", false);
                    return self.flush().await;
                }
                None => return Ok(()),
            }
        }
    }

    /// Serves one request. Returns whether another may be read from the connection.
    async fn serve_request(&mut self, request: &http::Request) -> io::Result<bool> {
        let arrived = clock::now();
        // The parsed head stays in memory while the request is served, and is accounted for.
        let text = request
            .fields
            .iter()
            .map(|(name, value)| name.len() + value.len() + FIELD_OVERHEAD_BYTES)
            .sum::<usize>();
        let head_grant = self.front.memory.acquire(COMPLETE_HEAD_OWNER, text + 2 * request.target.len());
        let admission = match &head_grant {
            Ok(_) => self
                .front
                .admit(arrived, request)
                .and_then(|client_request| self.reserve_memory(client_request, request.body_length)),
            Err(_) => Err(OUT_OF_MEMORY),
        };
        let keep_alive = request.keep_alive && (admission.is_ok() || request.body_length == 0);
        let connection_field =
            if keep_alive { ("Connection", "keep-alive") } else { ("Connection", "close") };
        match admission {
            Err(rejection) => self.write_rejection(&rejection, connection_field, request.method == "HEAD"),
            Ok(mut client_request) => {
                if !self.read_body(request, &mut client_request, arrived).await? {
                    return Ok(false);
                }
                let deadline = client_request.deadline;
                let Some(mut answer) = self.call_broker(client_request).await? else { return Ok(false) };
                // A request that the broker abandoned at its deadline is answered with 504.
                if matches!(answer, Answer::Refused(_) | Answer::Failed) && clock::now() >= deadline {
                    answer = Answer::DeadlineExceeded;
                }
                self.write_answer(answer, request, connection_field);
            }
        }
        self.flush().await?;
        Ok(keep_alive)
    }

    /// Reads a request's body. Returns `false` if the client has closed or is too slow. The body's memory is
    /// already granted: bytes are moved there as they arrive and take no space in the input buffer.
    async fn read_body(
        &mut self,
        request: &http::Request,
        client_request: &mut ClientRequest,
        arrived: f64,
    ) -> io::Result<bool> {
        if request.expects_continue {
            self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.flush().await?;
        }
        let deadline = clock::instant(arrived + MESSAGE_TIMEOUT_S);
        client_request.body = Vec::with_capacity(request.body_length);
        loop {
            let buffered = self.input.len().min(request.body_length - client_request.body.len());
            client_request.body.extend_from_slice(&self.input.bytes()[..buffered]);
            self.input.consume(buffered);
            if client_request.body.len() == request.body_length {
                return Ok(true);
            }
            if !self.read_before(deadline).await? {
                return Ok(false);
            }
        }
    }

    /// Answers a request that is not passed to the broker.
    fn write_rejection(&mut self, rejection: &Rejection, connection_field: (&str, &str), head_only: bool) {
        let challenge = [connection_field, ("WWW-Authenticate", "URISigningPackage")];
        let wait = format!("{}", self.front.retry_after_s.max(1.0).ceil());
        let retry_later = [connection_field, ("Retry-After", &*wait)];
        let fields = match rejection.status {
            401 => &challenge[..],
            503 => &retry_later[..],
            _ => &challenge[..1],
        };
        self.write_text(rejection.status, fields, rejection.reason, head_only);
    }

    /// Reads until a head is complete. Returns `None` if the client closed or sent nothing before the timeout,
    /// or if the connection is to be closed.
    async fn read_head(&mut self) -> io::Result<Option<Result<http::Request, MessageError>>> {
        let mut deadline = clock::instant(clock::now() + IDLE_TIMEOUT_S);
        let mut begun = false;
        loop {
            match http::parse_request(self.input.bytes(), MAX_BODY_BYTES) {
                Ok(Some((request, used))) => {
                    self.input.consume(used);
                    self.head_received = true;
                    self.slot.mark_active();
                    return Ok(Some(Ok(request)));
                }
                Ok(None) => {}
                Err(e) => return Ok(Some(Err(e))),
            }
            if !begun && !self.input.is_empty() {
                (begun, deadline) = (true, clock::instant(clock::now() + MESSAGE_TIMEOUT_S));
            }
            let more = match self.read_between_requests(deadline).await {
                // The buffer of a partial head cannot grow.
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return Ok(Some(Err(MessageError(503)))),
                more => more?,
            };
            if !more {
                let late = begun && Instant::now() >= deadline;
                return Ok(late.then_some(Err(MessageError(408))));
            }
        }
    }

    /// Reads once while no request is in service. Returns `false` at the end of the stream, at the deadline,
    /// or if the connection is to be closed.
    async fn read_between_requests(&mut self, mut deadline: Instant) -> io::Result<bool> {
        let mut was_send_blocked = false;
        // Not closed before this time: the client still has to acknowledge what was just sent.
        let mut delivery_check_at = Instant::now();
        let partial_head = !self.input.is_empty();
        loop {
            let now = clock::now();
            let send_blocked = self.slot.is_send_blocked();
            if !partial_head && send_blocked != was_send_blocked {
                // A client sees the close only once it has read its answer: until then the timeout is
                // extended, and afterwards it starts anew.
                deadline = if send_blocked {
                    deadline + Duration::from_secs_f64(IDLE_TIMEOUT_S)
                } else {
                    clock::instant(now + IDLE_TIMEOUT_S)
                };
            }
            was_send_blocked = send_blocked;
            match send_blocked {
                true => self.slot.mark_active(),
                false => self.slot.mark_idle(now, self.head_received, partial_head),
            }
            if !send_blocked && !partial_head {
                deadline = deadline.max(clock::instant(self.slot.idle_since() + IDLE_TIMEOUT_S));
            }
            // When all connections are being closed, no other client needs the slot: a partial head is
            // awaited.
            let awaits_head = partial_head && self.slot.is_closing_all();
            let closes_at = self.slot.closes_at().filter(|_| !awaits_head);
            let closing_at = clock::instant(closes_at.unwrap_or_default());
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    ready?;
                    self.slot.mark_active();
                    return self.read_available();
                }
                changed = self.socket.delivery_changed(), if send_blocked => changed?,
                () = self.slot.changed(), if !send_blocked => {}
                () = sleep_until(closing_at.max(delivery_check_at)), if closes_at.is_some() => {
                    match self.socket.delivery() {
                        // Counts from the last send, so that a client has its full time to read a recent
                        // answer.
                        Delivery::Delivered if self.slot.postpone_to_last_sent() => {}
                        // A request that arrives together with the close request is served first.
                        Delivery::Delivered if readable_within_window(&self.socket).await => {
                            self.slot.mark_active();
                            return self.read_available();
                        }
                        Delivery::Delivered => return Ok(false),
                        Delivery::InFlight => delivery_check_at = Instant::now() + DELIVERY_CHECK_INTERVAL,
                        // The client has not received all data and could not see the close yet.
                        Delivery::Unsent | Delivery::Undelivered => {}
                    }
                }
                () = sleep_until(deadline.max(delivery_check_at)) => {
                    if send_blocked || partial_head {
                        return Ok(false);
                    }
                    match self.socket.delivery() {
                        Delivery::Delivered if self.slot.postpone_to_last_sent() => {}
                        Delivery::Delivered => return Ok(false),
                        Delivery::InFlight => delivery_check_at = Instant::now() + DELIVERY_CHECK_INTERVAL,
                        Delivery::Unsent | Delivery::Undelivered => {}
                    }
                }
            }
        }
    }

    /// Waits for input and reads once. Returns `false` at the end of the stream or at the deadline.
    async fn read_before(&mut self, deadline: Instant) -> io::Result<bool> {
        tokio::select! {
            biased;
            ready = self.socket.readable() => ready?,
            () = sleep_until(deadline) => return Ok(false),
        }
        self.read_available()
    }

    /// Reads available input without waiting. Returns `false` at the end of the stream.
    fn read_available(&mut self) -> io::Result<bool> {
        match self.input.read_from(&self.socket) {
            Ok(n) => Ok(n > 0),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(e) => Err(e),
        }
    }

    /// Passes the request to the broker and waits for its answer. Returns `None` if the client closed before.
    async fn call_broker(&mut self, client_request: ClientRequest) -> io::Result<Option<Answer>> {
        self.tag += 1;
        let caller = Caller { connection: self.number, tag: self.tag };
        let broker_ended = |_| io::Error::other("the broker has ended");
        let cancelled = client_request.cancelled.clone();
        let input = Input::Request { caller, request: client_request.into(), reply: self.reply.clone() };
        self.front.broker_inputs.send(input).await.map_err(broker_ended)?;
        loop {
            let may_read = self.input.len() < READ_CHUNK_BYTES;
            let client_closed = tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    if tag == self.tag {
                        return Ok(Some(answer));
                    }
                    false
                }
                ready = self.socket.ready(Interest::READABLE), if may_read => match ready {
                    Ok(ready) if ready.is_read_closed() => true,
                    ready => match ready.and_then(|_| self.input.read_from(&self.socket)) {
                        Ok(n) => n == 0,
                        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
                    },
                },
                // The buffer is full of pipelined input: the client's close is detected behind it.
                () = sleep_until(clock::instant(clock::now() + PEER_CHECK_INTERVAL)), if !may_read =>
                    peer_has_closed(&self.socket).await?,
            };
            if client_closed {
                cancelled.set(true);
                self.front.broker_inputs.send(Input::Abort(caller)).await.map_err(broker_ended)?;
                return Ok(None);
            }
        }
    }

    /// Reserves memory for a request and its body. A request that does not fit is refused before its body is
    /// read.
    fn reserve_memory(&self, mut client_request: ClientRequest, body: usize) -> AdmissionResult {
        let rules = self.front.classes.get(usize::from(client_request.class.0));
        let reserved =
            client_request.reserve_memory(&self.front.memory, rules.is_some_and(|c| c.uncacheable), body);
        reserved.map_err(|MemoryRefusal { .. }| OUT_OF_MEMORY).map(|()| client_request)
    }

    fn write_answer(&mut self, answer: Answer, request: &http::Request, connection_field: (&str, &str)) {
        let head_only = request.method == "HEAD";
        let seconds = |wait: f64| format!("{}", wait.max(1.0).ceil());
        match answer {
            Answer::Served(content) => self.write_content(content, request, connection_field),
            Answer::Refused(wait) => {
                self.write_text(
                    503,
                    &[connection_field, ("Retry-After", &seconds(wait))],
                    "busy; try again",
                    head_only,
                );
            }
            Answer::OverBudget(wait) => {
                self.write_text(
                    429,
                    &[connection_field, ("Retry-After", &seconds(wait))],
                    "the team's budget is spent",
                    head_only,
                );
            }
            Answer::Forbidden => {
                self.write_text(403, &[connection_field], "no contract covers the request", head_only)
            }
            Answer::Failed => self.write_text(502, &[connection_field], "the caches failed", head_only),
            Answer::DeadlineExceeded => {
                self.write_text(504, &[connection_field], "no answer in time", head_only)
            }
        }
    }

    /// Writes the object, or the requested range of its bytes.
    fn write_content(&mut self, content: Content, request: &http::Request, connection_field: (&str, &str)) {
        let etag = format!("\"{}\"", content.etag);
        // Only the holder of a valid link may receive the object: shared caches must not store it.
        let mut fields = vec![connection_field, ("Cache-Control", "private"), ("Accept-Ranges", "bytes")];
        if !content.etag.is_empty() {
            fields.push(("ETag", &etag));
        }
        let length = content.body.len();
        // If `If-Range` names another version, the whole object is sent.
        let same_version = request.field("if-range").is_none_or(|tag| tag == etag);
        let range_field = request.field("range").filter(|_| request.method == "GET" && same_version);
        let (status, range, content_range) = match range_field.and_then(|r| http::parse_range(r, length)) {
            _ if content.not_modified => (304, 0..0, None),
            None => (200, 0..length, None),
            Some(Ok(r)) => (206, r.clone(), Some(format!("bytes {}-{}/{length}", r.start, r.end - 1))),
            Some(Err(())) => (416, 0..0, Some(format!("bytes */{length}"))),
        };
        if let Some(content_range) = &content_range {
            fields.push(("Content-Range", content_range));
        }
        http::write_head(&mut self.output, status, &fields, range.len());
        if request.method != "HEAD" {
            self.output.push_body(content.body, range, content.grant, f64::INFINITY);
        }
    }

    /// Writes an answer with one line of text as its body.
    fn write_text(&mut self, status: u16, fields: &[(&str, &str)], text: &str, head_only: bool) {
        let mut all_fields = vec![("Content-Type", "text/plain"), ("Cache-Control", "no-store")];
        all_fields.extend(fields);
        http::write_head(&mut self.output, status, &all_fields, text.len() + 1);
        if !head_only {
            self.output.push(text.as_bytes());
            self.output.push(b"\n");
        }
    }

    /// Writes all pending output. A client that reads nothing for the idle timeout is disconnected.
    async fn flush(&mut self) -> io::Result<()> {
        let mut deadline = clock::instant(clock::now() + IDLE_TIMEOUT_S);
        loop {
            if self.output.write_to(&self.socket)? > 0 {
                deadline = clock::instant(clock::now() + IDLE_TIMEOUT_S);
            }
            if self.output.is_empty() {
                return Ok(());
            }
            tokio::select! {
                biased;
                ready = self.socket.ready(Interest::WRITABLE) => { ready?; }
                () = sleep_until(deadline) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}
