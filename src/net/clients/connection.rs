//! The task of one client connection: what it waits for, what it reads and writes, and how it ends.

use super::ClientContext;
use super::session::Session;
use super::timers::{FRAME_TIMEOUT, IDLE_TIMEOUT, STALL_TIMEOUT, Timers, Wait};
use crate::broker::Answer;
use crate::clock;
use crate::memory::{AccountOwner, Grant, Purpose};
use crate::net::closing::has_input;
use crate::net::resp::FrameError;
use crate::net::{
    Buffer, ClientSocket, ConnectionSlot, DELIVERY_CHECK_INTERVAL, Delivery, PEER_CHECK_INTERVAL,
    ProtocolError, READ_CHUNK_BYTES, SendState, linger, peer_has_closed, readable_within_window,
};
use std::io;
use std::rc::Rc;
use tokio::io::Ready;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::sleep_until;

/// Limit of answers that are still to be written; beyond it, a connection is not read from (bytes).
const MAX_UNSENT_BYTES: usize = 512 * 1024;
/// Delay before a connection is read from again whose frame got no memory to grow (seconds).
const MEMORY_RETRY_DELAY: f64 = 0.005;
/// Once the front ends, a connection on which requests still come is read from for this long (seconds).
/// Clients retry a request that crosses the close by up to 0.05 s.
const FINAL_READ_TIME: f64 = 0.01;

/// Which side ends a connection in order.
enum ClosedBy {
    /// The connection is idle, and this side closes it.
    Front,
    /// The client has closed the connection, or reads none of its answers.
    Client,
}

/// Why a connection is closed on an error.
enum ConnectionError {
    /// The client's input violates the protocol.
    Protocol(FrameError),
    /// Reading or writing failed, or the broker has ended.
    Io(io::Error),
}

impl From<FrameError> for ConnectionError {
    fn from(e: FrameError) -> Self {
        ConnectionError::Protocol(e)
    }
}

impl From<io::Error> for ConnectionError {
    fn from(e: io::Error) -> Self {
        ConnectionError::Io(e)
    }
}

/// The task of one client connection.
pub(super) struct ClientConnection {
    socket: Rc<ClientSocket>,
    slot: ConnectionSlot,
    session: Session,
    answers: UnboundedReceiver<(u64, Answer)>,
    grant: Grant,
    /// Nothing is read after this time, which is finite once the front ends (Unix seconds).
    reads_until: f64,
}

impl ClientConnection {
    pub(super) fn new(
        context: Rc<ClientContext>,
        socket: Rc<ClientSocket>,
        slot: ConnectionSlot,
        grant: Grant,
    ) -> Self {
        let (reply, answers) = unbounded_channel();
        ClientConnection {
            socket,
            slot,
            session: Session::new(context, reply),
            answers,
            grant,
            reads_until: f64::INFINITY,
        }
    }

    pub(super) async fn serve(mut self) -> io::Result<()> {
        self.socket.set_nodelay(true)?;
        let result = self.exchange().await;
        if let Err(ConnectionError::Protocol(e)) = &result {
            self.session.fail_open(e.tag);
        }
        // The open requests are cancelled before anything is waited for: no attempt is to be made for a
        // request that can no longer be answered, or that was answered as failed above.
        self.cancel_open_requests().await;
        match result {
            Ok(ClosedBy::Front) => {
                self.close().await;
                Ok(())
            }
            Ok(ClosedBy::Client) => Ok(()),
            Err(ConnectionError::Protocol(e)) => {
                self.close().await;
                Err(io::Error::new(io::ErrorKind::InvalidData, e.error.0))
            }
            Err(ConnectionError::Io(e)) => match e.kind() {
                io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Ok(()),
                _ => Err(e),
            },
        }
    }

    /// Cancels the open requests, and tells the broker.
    async fn cancel_open_requests(&mut self) {
        for abort in self.session.cancel_open() {
            let _ = self.session.context.broker_inputs.send(abort).await;
        }
    }

    /// Writes the last answers and closes the connection with a lingering close. Requests that still come are
    /// discarded; the client retries them on another connection.
    async fn close(&mut self) {
        // The connection's memory is free for another one now; unsent answers have memory of their own.
        self.grant.shrink(usize::MAX);
        linger(&self.socket, &self.slot, &mut self.session.output).await;
    }

    /// Reads requests and writes answers until the connection ends.
    async fn exchange(&mut self) -> Result<ClosedBy, ConnectionError> {
        let socket = self.socket.clone();
        let bodies = self.session.context.memory.empty_grant(AccountOwner::of(Purpose::Bodies));
        let mut input = Buffer::new(READ_CHUNK_BYTES, bodies);
        let mut timers = Timers::new(clock::now());
        loop {
            self.write_answers(&mut timers)?;
            if self.reads_until.is_infinite() && self.slot.closes_after_send() {
                self.reads_until = clock::now() + FINAL_READ_TIME;
            }
            let mid_frame = !input.is_empty() || input.bytes_to_skip() > 0;
            let wait = self.plan_wait(mid_frame, &mut timers);
            let throttled_until = wait.throttled_until.unwrap_or(wait.now);
            let next_peer_check = wait.now + PEER_CHECK_INTERVAL;
            let next_timer = wait.next_timer.unwrap_or(timers.idle_at);
            let closed_by = tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    timers.restart_idle();
                    self.session.answer(tag, answer);
                    None
                }
                ready = socket.ready(wait.interest()),
                    if wait.has_unwritten || wait.throttled_until.is_none() && !self.reads_ended(wait.now) =>
                {
                    self.on_ready(ready?, &wait, &mut input, &mut timers).await?
                }
                changed = socket.delivery_changed(), if wait.send_blocked => {
                    changed?;
                    None
                }
                () = sleep_until(clock::instant(throttled_until)), if wait.throttled_until.is_some() => {
                    self.process_frames(&mut input).await?;
                    timers.frame_by = (!input.is_empty()).then_some(clock::now() + FRAME_TIMEOUT);
                    None
                }
                // While nothing is read, no readiness event reports that the client has left.
                () = sleep_until(clock::instant(next_peer_check)),
                    if wait.reads_paused() && !self.session.open.is_empty() =>
                {
                    peer_has_closed(&socket).await?.then_some(ClosedBy::Client)
                }
                () = self.slot.changed(), if wait.idle => None,
                () = sleep_until(clock::instant(next_timer)), if wait.next_timer.is_some() => {
                    self.on_timer(&wait, &mut timers).await?
                }
            };
            if let Some(closed_by) = closed_by {
                return Ok(closed_by);
            }
        }
    }

    /// Returns whether nothing more is read. Without this limit, a client that never pauses would keep its
    /// connection open.
    fn reads_ended(&self, now: f64) -> bool {
        now >= self.reads_until
    }

    /// Returns whether the connection may close although its last answers are not acknowledged: not if input
    /// has come in the meantime, unless nothing more is read.
    async fn may_close_after_send(&self, now: f64) -> bool {
        self.reads_ended(now) || !has_input(&self.socket) || !readable_within_window(&self.socket).await
    }

    /// Writes as many of the available answers as the socket accepts.
    fn write_answers(&mut self, timers: &mut Timers) -> io::Result<()> {
        while let Ok((tag, answer)) = self.answers.try_recv() {
            self.session.answer(tag, answer);
        }
        let output = &mut self.session.output;
        if output.write_to(&self.socket)? > 0 || output.is_empty() {
            timers.stalled_at = clock::now() + STALL_TIMEOUT;
        }
        Ok(())
    }

    /// Determines what to wait for next, from the open requests and unsent answers, and updates the
    /// connection's slot.
    fn plan_wait(&mut self, mid_frame: bool, timers: &mut Timers) -> Wait {
        let now = clock::now();
        let output = &self.session.output;
        let unsent = output.len();
        // A client with much unread output is not read from; the limit is lower while memory is scarce.
        let may_read = self.session.context.memory.may_read(unsent);
        let backpressure =
            unsent > MAX_UNSENT_BYTES || output.has_text_backlog() || !may_read || self.reads_ended(now);
        let has_unwritten = !output.is_empty();
        // An answer that is still unread this long after it was due is useless to its client. While memory is
        // scarce, there is no such tolerance.
        let slack = if may_read { STALL_TIMEOUT } else { 0.0 };
        let stalled_by = output.due().map_or(timers.stalled_at, |due| timers.stalled_at.min(due + slack));
        let nothing_pending = !has_unwritten && self.session.open.is_empty();
        let send_blocked = nothing_pending && self.slot.is_send_blocked();
        let idle = nothing_pending && !send_blocked;
        let was_send_blocked = timers.unblocked_by.is_some();
        timers.unblocked_by =
            send_blocked.then_some(timers.unblocked_by.unwrap_or(timers.idle_at + STALL_TIMEOUT));
        match idle {
            true => self.slot.mark_idle(now, self.session.has_sent_command, mid_frame),
            false => self.slot.mark_active(),
        }
        if idle && was_send_blocked {
            timers.idle_at = now + IDLE_TIMEOUT;
        }
        if idle {
            timers.idle_at = timers.idle_at.max(self.slot.idle_since() + IDLE_TIMEOUT);
        }
        let throttled_until = Some(self.session.reads_at(now)).filter(|&at| at > now);
        if backpressure || throttled_until.is_some() {
            // The frame cannot be completed while nothing is read.
            timers.frame_by = timers.frame_by.map(|_| now + FRAME_TIMEOUT);
        }
        // Connections on which no usable command comes must not use up the connection limit.
        let silent = (!self.session.has_sent_command && nothing_pending && !send_blocked)
            .then_some(timers.first_command_by.max(timers.acknowledged_by));
        let stalled = has_unwritten.then_some(stalled_by);
        let idle_at = idle.then_some(timers.idle_at.max(timers.acknowledged_by));
        // An incomplete request is waited for where no new connection needs the slot.
        let waits_for_frame = mid_frame && self.slot.is_closing_all();
        let frame_until = if waits_for_frame { self.reads_until } else { now };
        let closes_at = self.slot.closes_at().map(|at| at.max(frame_until)).filter(|at| at.is_finite());
        // Frames that a client has sent ahead are processed before the close, if it has sent a usable
        // command.
        let processed_by = throttled_until.filter(|_| self.session.has_sent_command).unwrap_or(now);
        let acknowledged_by = if self.slot.closes_after_send() { now } else { timers.acknowledged_by };
        let closes_at = closes_at.map(|at| at.max(processed_by).max(acknowledged_by));
        let all = [silent, timers.frame_by, stalled, timers.unblocked_by, idle_at, closes_at];
        let next_timer = all.into_iter().flatten().reduce(f64::min);
        Wait { now, has_unwritten, send_blocked, idle, backpressure, throttled_until, stalled_by, next_timer }
    }

    /// Handles readiness of the socket: reads from it, or notes that the client has closed it.
    async fn on_ready(
        &mut self,
        ready: Ready,
        wait: &Wait,
        input: &mut Buffer,
        timers: &mut Timers,
    ) -> Result<Option<ClosedBy>, ConnectionError> {
        if ready.is_read_closed() {
            self.client_left(wait, input).await?;
            return Ok(Some(ClosedBy::Client));
        }
        if !ready.is_readable() || wait.reads_paused() {
            return Ok(None);
        }
        match input.read_from(&self.socket) {
            Ok(0) => return Ok(Some(ClosedBy::Client)),
            Ok(_) => {
                timers.restart_idle();
                self.slot.mark_active();
                let complete = self.process_frames(input).await?;
                let by = timers.frame_by.filter(|_| !complete).unwrap_or(clock::now() + FRAME_TIMEOUT);
                timers.frame_by = (!input.is_empty()).then_some(by);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            // The frame got no memory to grow. It must still be complete in time.
            Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                sleep_until(clock::instant(clock::now() + MEMORY_RETRY_DELAY)).await;
            }
            Err(e) => return Err(e.into()),
        }
        Ok(None)
    }

    /// Handles the client's end of stream. It takes effect before the last input is processed, and even if
    /// that is not read: no further attempt is sent for this client's requests. Commands that need no cache
    /// node are still answered, since the client may have closed only its write side.
    async fn client_left(&mut self, wait: &Wait, input: &mut Buffer) -> Result<(), ConnectionError> {
        self.session.client_left = true;
        self.cancel_open_requests().await;
        if !wait.reads_paused() && input.read_from(&self.socket).is_ok_and(|n| n > 0) {
            self.process_frames(input).await?;
            self.session.output.write_to(&self.socket)?;
        }
        Ok(())
    }

    /// Handles a timer that has expired, and returns whether the connection ends.
    async fn on_timer(&self, wait: &Wait, timers: &mut Timers) -> Result<Option<ClosedBy>, ConnectionError> {
        let now = clock::now();
        if timers.frame_by.is_some_and(|by| now >= by) {
            return Err(FrameError { error: ProtocolError("an incomplete frame"), tag: None }.into());
        }
        let blocked = timers.unblocked_by.is_some_and(|by| now >= by);
        if blocked || wait.has_unwritten && now >= wait.stalled_by {
            return Ok(Some(ClosedBy::Client));
        }
        let delivery = self.socket.delivery();
        if wait.idle && self.slot.closes_after_send() && !delivery.is_blocked() {
            return Ok(self.may_close_after_send(now).await.then_some(ClosedBy::Front));
        }
        match delivery {
            Delivery::Delivered => {}
            Delivery::InFlight => {
                timers.acknowledged_by = now + DELIVERY_CHECK_INTERVAL.as_secs_f64();
                return Ok(None);
            }
            // The client cannot see an end of stream. The connection is known to be blocked now, and waits
            // for that to change.
            Delivery::Unsent | Delivery::Undelivered => return Ok(None),
        }
        // The grace period of an answer that was sent only just now has not passed.
        if self.slot.postpone_to_last_sent() {
            return Ok(None);
        }
        // Input does not keep a connection open on which nothing is read and no usable command ever came.
        let ignored = !self.session.has_sent_command && wait.reads_paused();
        Ok((ignored || !readable_within_window(&self.socket).await).then_some(ClosedBy::Front))
    }

    /// Processes the complete frames of the buffer, and returns whether there was one.
    async fn process_frames(&mut self, input: &mut Buffer) -> Result<bool, ConnectionError> {
        let mut any = false;
        while let Some(message) = self.session.process_frame(clock::now(), input)? {
            any = true;
            if let Some(message) = message {
                let ended = |_| io::Error::other("the broker has ended");
                self.session.context.broker_inputs.send(message).await.map_err(ended)?;
            }
        }
        Ok(any)
    }
}
