//! The task of one client connection: what it waits for, what it reads and writes, and how it ends.

use super::ClientContext;
use super::session::Session;
use super::timers::{IDLE, STALLED, Timers, WHOLE, Wait};
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

/// With so many bytes of answers unsent, a connection is not read from.
const UNSENT_MOST: usize = 512 * 1024;
/// A client whose frame may not grow is read from again after this (seconds).
const RELIEF: f64 = 0.005;
/// Once the front ends, a connection on which requests still come is read from for so long (seconds). What crosses a close by
/// up to 0.05 s is sent again.
const LAST_READS: f64 = 0.01;

/// How a connection ends in order.
enum End {
    /// It is idle, and closed by this side.
    ByFront,
    /// The client has closed it, or takes nothing of what it is sent.
    ByClient,
}

/// Why a connection is closed.
enum Ended {
    /// What it said cannot be read.
    ProtocolError(FrameError),
    /// The connection itself.
    Io(io::Error),
}

impl From<FrameError> for Ended {
    fn from(broken: FrameError) -> Self {
        Ended::ProtocolError(broken)
    }
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Self {
        Ended::Io(e)
    }
}

/// A client connection.
pub(super) struct ClientConnection {
    socket: Rc<ClientSocket>,
    slot: ConnectionSlot,
    session: Session,
    answers: UnboundedReceiver<(u64, Answer)>,
    grant: Grant,
    /// Once the front ends: nothing more is read after this (Unix seconds).
    reads_until: f64,
}

impl ClientConnection {
    pub(super) fn new(
        front: Rc<ClientContext>,
        socket: Rc<ClientSocket>,
        slot: ConnectionSlot,
        grant: Grant,
    ) -> Self {
        let (reply, answers) = unbounded_channel();
        ClientConnection {
            socket,
            slot,
            session: Session::new(front, reply),
            answers,
            grant,
            reads_until: f64::INFINITY,
        }
    }

    pub(super) async fn serve(mut self) -> io::Result<()> {
        self.socket.set_nodelay(true)?;
        let ended = self.exchange().await;
        if let Err(Ended::ProtocolError(broken)) = &ended {
            self.session.fail_open(broken.tag);
        }
        // A connection that ends takes its requests with it, before anything is waited for: no answer is owed where none
        // can be given, and none is sent for what was answered here.
        self.cancel_open_requests().await;
        match ended {
            Ok(End::ByFront) => {
                self.close().await;
                Ok(())
            }
            Ok(End::ByClient) => Ok(()),
            Err(Ended::ProtocolError(broken)) => {
                self.close().await;
                Err(io::Error::new(io::ErrorKind::InvalidData, broken.error.0))
            }
            Err(Ended::Io(e)) => match e.kind() {
                io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Ok(()),
                _ => Err(e),
            },
        }
    }

    /// Nobody waits for what is open.
    async fn cancel_open_requests(&mut self) {
        for abort in self.session.cancel_open() {
            let _ = self.session.front.broker_inputs.send(abort).await;
        }
    }

    /// Writes the last answers and ends the stream in order. A request among what still comes is not taken, and its client
    /// sends it again elsewhere.
    async fn close(&mut self) {
        // Its place in memory is somebody else's from now on; what is still unsent keeps its own.
        self.grant.shrink(usize::MAX);
        linger(&self.socket, &self.slot, &mut self.session.output).await;
    }

    /// Reads requests and writes answers until the connection ends.
    async fn exchange(&mut self) -> Result<End, Ended> {
        let socket = self.socket.clone();
        let bodies = self.session.front.memory.empty_grant(AccountOwner::of(Purpose::Bodies));
        let mut input = Buffer::new(READ_CHUNK_BYTES, bodies);
        let mut timers = Timers::new(clock::now());
        loop {
            self.write_answers(&mut timers)?;
            if self.reads_until.is_infinite() && self.slot.closes_behind_answers() {
                self.reads_until = clock::now() + LAST_READS;
            }
            let half_a_frame = !input.is_empty() || input.bytes_to_skip() > 0;
            let wait = self.plan(half_a_frame, &mut timers);
            let throttled_until = wait.throttled_until.unwrap_or(wait.now);
            let next_peer_check = wait.now + PEER_CHECK_INTERVAL;
            let until = wait.until.unwrap_or(timers.idle_at);
            let end = tokio::select! {
                biased;
                Some((tag, answer)) = self.answers.recv() => {
                    timers.active();
                    self.session.answer(tag, answer);
                    None
                }
                ready = socket.ready(wait.interest()),
                    if wait.writes || wait.throttled_until.is_none() && !self.reads_ended(wait.now) =>
                {
                    self.ready(ready?, &wait, &mut input, &mut timers).await?
                }
                changed = socket.delivery_changed(), if wait.untaken => {
                    changed?;
                    None
                }
                () = sleep_until(clock::instant(throttled_until)), if wait.throttled_until.is_some() => {
                    self.take_frames(&mut input).await?;
                    timers.whole_by = (!input.is_empty()).then_some(clock::now() + WHOLE);
                    None
                }
                // One that is not read from is looked at, for whether it is still there.
                () = sleep_until(clock::instant(next_peer_check)),
                    if wait.reads_paused() && !self.session.open.is_empty() =>
                {
                    peer_has_closed(&socket).await?.then_some(End::ByClient)
                }
                () = self.slot.changed(), if wait.idle => None,
                () = sleep_until(clock::instant(until)), if wait.until.is_some() => {
                    self.time_out(&wait, &mut timers).await?
                }
            };
            if let Some(end) = end {
                return Ok(end);
            }
        }
    }

    /// Is nothing more read? A client that never pauses would keep its connection open for as long as it is read from.
    fn reads_ended(&self, now: f64) -> bool {
        now >= self.reads_until
    }

    /// May the end come right behind the last answers? Only where nothing has come meanwhile, while it is read.
    async fn may_end_behind_answers(&self, now: f64) -> bool {
        self.reads_ended(now) || !has_input(&self.socket) || !readable_within_window(&self.socket).await
    }

    /// Writes what the socket takes of the answers that are there.
    fn write_answers(&mut self, timers: &mut Timers) -> io::Result<()> {
        while let Ok((tag, answer)) = self.answers.try_recv() {
            self.session.answer(tag, answer);
        }
        let output = &mut self.session.output;
        if output.write_to(&self.socket)? > 0 || output.is_empty() {
            timers.stalled_at = clock::now() + STALLED;
        }
        Ok(())
    }

    /// What is waited for next, by what is open and unsent; keeps the connection's place in the table true.
    fn plan(&mut self, half_a_frame: bool, timers: &mut Timers) -> Wait {
        let now = clock::now();
        let output = &self.session.output;
        let unsent = output.len();
        // One that leaves much unread is not read from, and sooner while all do.
        let may_read = self.session.front.memory.may_read(unsent);
        let held_back =
            unsent > UNSENT_MOST || output.has_text_backlog() || !may_read || self.reads_ended(now);
        let writes = !output.is_empty();
        // What is still unread so long after it was due is of no use to its client any more; where memory is scarce,
        // it has no such time.
        let slack = if may_read { STALLED } else { 0.0 };
        let stalled_by = output.due().map_or(timers.stalled_at, |due| timers.stalled_at.min(due + slack));
        let nothing_owed = !writes && self.session.open.is_empty();
        let untaken = nothing_owed && self.slot.is_send_blocked();
        let idle = nothing_owed && !untaken;
        let was_untaken = timers.taken_by.is_some();
        timers.taken_by = untaken.then_some(timers.taken_by.unwrap_or(timers.idle_at + STALLED));
        match idle {
            true => self.slot.mark_idle(now, self.session.spoken, half_a_frame),
            false => self.slot.mark_active(),
        }
        if idle && was_untaken {
            timers.idle_at = now + IDLE;
        }
        if idle {
            timers.idle_at = timers.idle_at.max(self.slot.idle_since() + IDLE);
        }
        let throttled_until = Some(self.session.reads_at(now)).filter(|&at| at > now);
        if held_back || throttled_until.is_some() {
            // What is not read here cannot become whole.
            timers.whole_by = timers.whole_by.map(|_| now + WHOLE);
        }
        // Guards the share of clients' connections against those that never say anything whole.
        let silent = (!self.session.spoken && nothing_owed && !untaken)
            .then_some(timers.speak_by.max(timers.acknowledged_by));
        let stalled = writes.then_some(stalled_by);
        let idle_at = idle.then_some(timers.idle_at.max(timers.acknowledged_by));
        // Half a request is waited for, where there is no other in need of the place.
        let waits = half_a_frame && self.slot.is_closing_all();
        let waits_until = if waits { self.reads_until } else { now };
        let closes_at = self.slot.closes_at().map(|at| at.max(waits_until)).filter(|at| at.is_finite());
        // What one that has spoken has sent ahead is read before it closes.
        let heard_by = throttled_until.filter(|_| self.session.spoken).unwrap_or(now);
        let acknowledged_by = if self.slot.closes_behind_answers() { now } else { timers.acknowledged_by };
        let closes_at = closes_at.map(|at| at.max(heard_by).max(acknowledged_by));
        let all = [silent, timers.whole_by, stalled, timers.taken_by, idle_at, closes_at];
        let until = all.into_iter().flatten().reduce(f64::min);
        Wait { now, writes, untaken, idle, held_back, throttled_until, stalled_by, until }
    }

    /// The socket can be read from or written to, or its end has come.
    async fn ready(
        &mut self,
        ready: Ready,
        wait: &Wait,
        input: &mut Buffer,
        timers: &mut Timers,
    ) -> Result<Option<End>, Ended> {
        if ready.is_read_closed() {
            self.client_left(wait, input).await?;
            return Ok(Some(End::ByClient));
        }
        if !ready.is_readable() || wait.reads_paused() {
            return Ok(None);
        }
        match input.read_from(&self.socket) {
            Ok(0) => return Ok(Some(End::ByClient)),
            Ok(_) => {
                timers.active();
                self.slot.mark_active();
                let whole = self.take_frames(input).await?;
                let by = timers.whole_by.filter(|_| !whole).unwrap_or(clock::now() + WHOLE);
                timers.whole_by = (!input.is_empty()).then_some(by);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            // Half a frame that may not grow is held up, and is to be whole in its time all the same.
            Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                sleep_until(clock::instant(clock::now() + RELIEF)).await;
            }
            Err(e) => return Err(e.into()),
        }
        Ok(None)
    }

    /// The client has closed its side. That is heeded before what it said last, and behind whatever of that is not read:
    /// nothing is sent for it any more. What needs no cache is still answered, as to one that closed its side only.
    async fn client_left(&mut self, wait: &Wait, input: &mut Buffer) -> Result<(), Ended> {
        self.session.client_left = true;
        self.cancel_open_requests().await;
        if !wait.reads_paused() && input.read_from(&self.socket).is_ok_and(|n| n > 0) {
            self.take_frames(input).await?;
            self.session.output.write_to(&self.socket)?;
        }
        Ok(())
    }

    /// A timer is due: is the connection to end?
    async fn time_out(&self, wait: &Wait, timers: &mut Timers) -> Result<Option<End>, Ended> {
        let now = clock::now();
        if timers.whole_by.is_some_and(|by| now >= by) {
            return Err(FrameError { error: ProtocolError("half a frame and no more"), tag: None }.into());
        }
        let untaken = timers.taken_by.is_some_and(|by| now >= by);
        if untaken || wait.writes && now >= wait.stalled_by {
            return Ok(Some(End::ByClient));
        }
        let delivery = self.socket.delivery();
        if wait.idle && self.slot.closes_behind_answers() && !delivery.is_blocked() {
            return Ok(self.may_end_behind_answers(now).await.then_some(End::ByFront));
        }
        match delivery {
            Delivery::Delivered => {}
            Delivery::InFlight => {
                timers.acknowledged_by = now + DELIVERY_CHECK_INTERVAL.as_secs_f64();
                return Ok(None);
            }
            // Its client cannot see an end: it is waited for, as known to be unsent from now on.
            Delivery::Unsent | Delivery::Undelivered => return Ok(None),
        }
        // What it was sent only just now, it has as long to read as any other.
        if self.slot.postpone_to_last_sent() {
            return Ok(None);
        }
        // One that never said anything usable, and is not read from since it sent too much, is not listened to.
        let ignored = !self.session.spoken && wait.reads_paused();
        Ok((ignored || !readable_within_window(&self.socket).await).then_some(End::ByFront))
    }

    /// Takes the whole frames off the buffer; was there one?
    async fn take_frames(&mut self, input: &mut Buffer) -> Result<bool, Ended> {
        let mut any = false;
        while let Some(heard) = self.session.process_frame(clock::now(), input)? {
            any = true;
            if let Some(heard) = heard {
                let ended = |_| io::Error::other("the broker has ended");
                self.session.front.broker_inputs.send(heard).await.map_err(ended)?;
            }
        }
        Ok(any)
    }
}
