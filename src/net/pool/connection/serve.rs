//! The loop of an established connection: commands, writes, answers, and its timers.

use super::answer_timers::AnswerTimers;
use super::{Connection, ConnectionCommand, INPUT_BYTES, NodeSocket, ended_by};
use crate::broker::Report;
use crate::clock;
use crate::memory::{AccountOwner, Purpose};
use crate::net::Buffer;
use crate::net::exchange::{EndedBy, Progress};
use std::io;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Sleep, sleep_until};

/// Memory that there was not is asked for again after this.
const MEMORY_RETRY_SECONDS: f64 = 0.005;
/// A cancel that is not sent within this ends the connection, which gives up all that is in flight on it: no further
/// attempt goes out before. The platform's slack for two attempts in flight is 0.05 s.
const CANCEL_WRITE_TIMEOUT_SECONDS: f64 = 0.02;
/// Whether a cancel that the socket has taken is sent is asked again after this: the system does not tell by itself.
const SENT_CHECK_SECONDS: f64 = 0.001;

/// What a connection waits for; a time is `None` where it does not count (Unix seconds).
struct Waits {
    interest: Interest,
    /// The socket counts: not while nothing is read, for lack of memory.
    reads: bool,
    retry_memory_at: Option<f64>,
    answer_stalled_at: Option<f64>,
    check_sent_at: Option<f64>,
    cancel_overdue_at: Option<f64>,
    idle_at: Option<f64>,
}

/// What a connection waited for.
enum Event {
    Command(ConnectionCommand),
    RetryMemory,
    Socket(io::Result<Ready>),
    AnswerStalled,
    CheckSent,
    CancelOverdue,
    Idle,
}

impl Waits {
    /// Waits for the first of these; of several at once, for the one that is listed first.
    async fn next(&self, queue: &mut UnboundedReceiver<ConnectionCommand>, stream: &TcpStream) -> Event {
        tokio::select! {
            biased;
            Some(command) = queue.recv() => Event::Command(command),
            // Guards the memory limit: what there is no memory for stays with the cache node, which holds up
            // this connection and no other; deadlines go on.
            () = sleep_to(self.retry_memory_at), if self.retry_memory_at.is_some() => Event::RetryMemory,
            ready = stream.ready(self.interest), if self.reads => Event::Socket(ready),
            // Guards what else is in flight here against an answer that stops short: nothing comes after it.
            () = sleep_to(self.answer_stalled_at), if self.answer_stalled_at.is_some() => Event::AnswerStalled,
            // Comes before the next, lest a cancel that was sent while this thread was busy counts as overdue.
            () = sleep_to(self.check_sent_at), if self.check_sent_at.is_some() => Event::CheckSent,
            () = sleep_to(self.cancel_overdue_at), if self.cancel_overdue_at.is_some() => Event::CancelOverdue,
            () = sleep_to(self.idle_at), if self.idle_at.is_some() => Event::Idle,
        }
    }
}

/// Sleeps until then; a branch without such a time is disabled, and this one is not polled.
fn sleep_to(at: Option<f64>) -> Sleep {
    sleep_until(clock::instant(at.unwrap_or(0.0)))
}

/// What the socket had to read.
#[derive(PartialEq)]
enum Received {
    Bytes,
    Nothing,
    End,
}

impl Connection {
    /// Writes orders and reads answers until the connection breaks, is idle or its node is gone. One that is given up here
    /// ends with a reset where not all was sent: an ordinary end would lie behind that, and its node might work on.
    pub(super) async fn serve(&mut self, socket: NodeSocket, output: &mut Buffer) -> io::Result<()> {
        let result = self.exchange_messages(&socket, output).await;
        let given_up = result.is_err() && ended_by(&result) == EndedBy::Front;
        if given_up && socket.sent(output.taken()) < output.taken() {
            socket.reset_when_dropped();
        }
        result
    }

    /// The loop: commands, writes, answers and timers, until the connection ends.
    async fn exchange_messages(&mut self, socket: &NodeSocket, output: &mut Buffer) -> io::Result<()> {
        let account = AccountOwner::of(Purpose::Partial);
        let mut input = Buffer::new(INPUT_BYTES, self.context.memory.empty_grant(account));
        let mut idle_at = clock::now() + self.context.limits.idle_timeout;
        let mut timers = AnswerTimers::default();
        loop {
            self.handle_queued();
            self.write_queued(socket, output)?;
            let is_idle = self.exchange.borrow().load() == 0;
            if !is_idle {
                idle_at = clock::now() + self.context.limits.idle_timeout;
            } else if self.closes_when_idle() && output.is_empty() {
                return Ok(());
            }
            timers.restart_while_memory_is_short(clock::now());
            let mut must_decode = timers.needs_memory();
            let waits = self.waits(&timers, output, is_idle.then_some(idle_at));
            match waits.next(&mut self.queue, socket).await {
                Event::Command(command) => self.handle(command),
                Event::RetryMemory | Event::CheckSent => {}
                Event::Socket(ready) => match receive(socket, ready?, &mut input)? {
                    Received::Bytes => must_decode = true,
                    Received::Nothing => {}
                    Received::End if is_idle => return Ok(()),
                    Received::End => return Err(io::ErrorKind::UnexpectedEof.into()),
                },
                Event::AnswerStalled => return Err(invalid_data("an answer that stopped short")),
                Event::CancelOverdue => return Err(reset(socket)),
                Event::Idle => return Ok(()),
            }
            if must_decode {
                self.decode(&mut input, &mut timers)?;
            }
        }
    }

    /// Is the connection of no more use once nothing is under way?
    fn closes_when_idle(&self) -> bool {
        self.retired || self.exchange.borrow().closes_when_idle()
    }

    /// Writes cancels and orders as far as the socket takes them, orders only once the cancels before them are sent.
    fn write_queued(&self, socket: &NodeSocket, output: &mut Buffer) -> io::Result<()> {
        loop {
            let now = clock::now();
            self.exchange.borrow_mut().encode(now, output, |report| self.context.report(report));
            output.write_to(socket)?;
            let taken = output.taken();
            let mut exchange = self.exchange.borrow_mut();
            if !exchange.written(now, output, || socket.sent(taken), |report| self.context.report(report)) {
                return Ok(());
            }
        }
    }

    /// What is to be waited for now.
    fn waits(&self, timers: &AnswerTimers, output: &Buffer, idle_at: Option<f64>) -> Waits {
        let exchange = self.exchange.borrow();
        let write_blocked = exchange.is_write_blocked();
        let interest = match output.is_empty() && !write_blocked {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        // An order whose body there is no memory to write.
        let cancel_unsent = exchange.has_unsent_cancel();
        let order_needs_memory =
            exchange.has_waiting() && output.is_empty() && !write_blocked && !cancel_unsent;
        let needs_memory = timers.needs_memory() || order_needs_memory;
        let cancel_since = exchange.oldest_cancel_since();
        Waits {
            interest,
            reads: !timers.needs_memory(),
            retry_memory_at: needs_memory.then(|| clock::now() + MEMORY_RETRY_SECONDS),
            answer_stalled_at: timers.stalled_at(),
            check_sent_at: (cancel_unsent && output.is_empty()).then(|| clock::now() + SENT_CHECK_SECONDS),
            cancel_overdue_at: cancel_since.map(|since| since + CANCEL_WRITE_TIMEOUT_SECONDS),
            idle_at,
        }
    }

    /// Reports the answers that are here, and discards those that there was no memory for too long.
    fn decode(&self, input: &mut Buffer, timers: &mut AnswerTimers) -> io::Result<()> {
        let now = clock::now();
        let before = (input.taken(), input.bytes_to_skip());
        let mut exchange = self.exchange.borrow_mut();
        let mut send_report = |report| self.context.report(report);
        let mut progress = exchange.decode(now, input, send_report);
        while progress == Ok(Progress::NeedsMemory) {
            // Guards the node: what waits here is not to be taken for an answer that got lost.
            if let Some(attempt_id) = exchange.ticket_at_head(input)
                && !timers.needs_memory()
            {
                send_report(Report::AwaitingMemory(attempt_id));
            }
            if !timers.memory_wait_is_over(now) {
                break;
            }
            exchange.discard_answer(input, &mut send_report);
            timers.end_memory_wait();
            progress = exchange.decode(now, input, send_report);
        }
        let progress = progress.map_err(|error| invalid_data(error.0))?;
        if progress != Progress::NeedsMemory {
            timers.end_memory_wait();
        }
        let advanced = (input.taken(), input.bytes_to_skip()) != before;
        timers.note_read(now, exchange.note_partial_answer(input), advanced);
        Ok(())
    }
}

/// Reads what the socket has.
fn receive(stream: &TcpStream, ready: Ready, input: &mut Buffer) -> io::Result<Received> {
    if !ready.is_readable() {
        return Ok(Received::Nothing);
    }
    match input.read_from(stream) {
        Ok(0) => Ok(Received::End),
        Ok(_) => Ok(Received::Bytes),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Received::Nothing),
        Err(error) => Err(error),
    }
}

/// Ends a connection at once, whatever its node has not taken.
fn reset(socket: &NodeSocket) -> io::Error {
    socket.reset_when_dropped();
    io::Error::new(io::ErrorKind::TimedOut, "a cancel that it does not take")
}

/// The error of a node that sends what cannot be used.
fn invalid_data(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
