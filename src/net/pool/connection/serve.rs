//! The event loop of an established connection: commands, writes, answers and timers.

use super::answer_timers::AnswerTimers;
use super::{Connection, ConnectionCommand, INPUT_BYTES, NodeSocket, closed_by};
use crate::broker::Report;
use crate::clock;
use crate::memory::{AccountOwner, Purpose};
use crate::net::Buffer;
use crate::net::exchange::{ClosedBy, Progress};
use std::io;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Sleep, sleep_until};

/// Interval at which refused memory is requested again.
const MEMORY_RETRY_SECONDS: f64 = 0.005;
/// A cancel that is not sent within this time closes the connection and with it abandons all attempts in
/// flight there. The request gets no further attempt before that, and the platform tolerates two attempts in
/// flight for 0.05 s.
const CANCEL_SEND_TIMEOUT_SECONDS: f64 = 0.02;
/// Interval at which the kernel is asked whether a written cancel has been sent, since no event reports that.
const SENT_CHECK_SECONDS: f64 = 0.001;

/// The events a connection waits for; a disabled timer is `None` (Unix seconds).
struct Waits {
    interest: Interest,
    /// Whether to wait for the socket; it is not read while an answer waits for memory.
    socket_enabled: bool,
    retry_memory_at: Option<f64>,
    answer_stalled_at: Option<f64>,
    check_sent_at: Option<f64>,
    cancel_overdue_at: Option<f64>,
    idle_at: Option<f64>,
}

/// An event of a connection.
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
    /// Waits for the next event; of several that are ready, the one listed first wins.
    async fn next(&self, commands: &mut UnboundedReceiver<ConnectionCommand>, stream: &TcpStream) -> Event {
        tokio::select! {
            biased;
            Some(command) = commands.recv() => Event::Command(command),
            // Keeps the memory limit: an answer without memory stays with the cache node. That blocks this
            // connection and no other, and deadlines still run.
            () = sleep_to(self.retry_memory_at), if self.retry_memory_at.is_some() => Event::RetryMemory,
            ready = stream.ready(self.interest), if self.socket_enabled => Event::Socket(ready),
            // An incomplete answer would block all others in flight on this connection.
            () = sleep_to(self.answer_stalled_at), if self.answer_stalled_at.is_some() => Event::AnswerStalled,
            // Precedes the next branch, so that a cancel that was sent while this thread was busy is not
            // overdue.
            () = sleep_to(self.check_sent_at), if self.check_sent_at.is_some() => Event::CheckSent,
            () = sleep_to(self.cancel_overdue_at), if self.cancel_overdue_at.is_some() => Event::CancelOverdue,
            () = sleep_to(self.idle_at), if self.idle_at.is_some() => Event::Idle,
        }
    }
}

/// Sleeps until `at`. Without a time the branch is disabled and the sleep is not polled.
fn sleep_to(at: Option<f64>) -> Sleep {
    sleep_until(clock::instant(at.unwrap_or(0.0)))
}

/// The result of a read.
#[derive(PartialEq)]
enum Received {
    Bytes,
    Nothing,
    End,
}

impl Connection {
    /// Writes orders and reads answers until the connection fails, is idle for too long, or is retired. A
    /// connection that this front abandons with unsent bytes ends with a reset: an ordinary end would queue
    /// behind those bytes, and the node might go on working.
    pub(super) async fn serve(&mut self, socket: NodeSocket, output: &mut Buffer) -> io::Result<()> {
        let result = self.exchange_messages(&socket, output).await;
        let abandoned = result.is_err() && closed_by(&result) == ClosedBy::Front;
        if abandoned && socket.sent(output.consumed()) < output.consumed() {
            socket.reset_when_dropped();
        }
        result
    }

    /// Runs the event loop until the connection ends.
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
            timers.restart_if_waiting_for_memory(clock::now());
            let mut must_decode = timers.needs_memory();
            let waits = self.waits(&timers, output, is_idle.then_some(idle_at));
            match waits.next(&mut self.commands, socket).await {
                Event::Command(command) => self.handle(command),
                Event::RetryMemory | Event::CheckSent => {}
                Event::Socket(ready) => match receive(socket, ready?, &mut input)? {
                    Received::Bytes => must_decode = true,
                    Received::Nothing => {}
                    Received::End if is_idle => return Ok(()),
                    Received::End => return Err(io::ErrorKind::UnexpectedEof.into()),
                },
                Event::AnswerStalled => return Err(invalid_data("answer timed out before it was complete")),
                Event::CancelOverdue => return Err(reset(socket)),
                Event::Idle => return Ok(()),
            }
            if must_decode {
                self.decode(&mut input, &mut timers)?;
            }
        }
    }

    /// Returns whether the connection is closed once no request is in flight.
    fn closes_when_idle(&self) -> bool {
        self.retired || self.exchange.borrow().closes_when_idle()
    }

    /// Writes cancels and orders as far as the socket accepts them, orders only once the cancels before them
    /// are sent.
    fn write_queued(&self, socket: &NodeSocket, output: &mut Buffer) -> io::Result<()> {
        loop {
            let now = clock::now();
            self.exchange.borrow_mut().encode(now, output, |report| self.context.report(report));
            output.write_to(socket)?;
            let written = output.consumed();
            let sent = || socket.sent(written);
            let report = |report| self.context.report(report);
            if !self.exchange.borrow_mut().process_write(now, output, sent, report) {
                return Ok(());
            }
        }
    }

    /// Returns the events to wait for now.
    fn waits(&self, timers: &AnswerTimers, output: &Buffer, idle_at: Option<f64>) -> Waits {
        let exchange = self.exchange.borrow();
        let write_blocked = exchange.is_write_blocked();
        let interest = match output.is_empty() && !write_blocked {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        let cancel_unsent = exchange.has_unsent_cancel();
        // An unblocked order was not encoded, for lack of memory.
        let order_needs_memory =
            exchange.has_queued() && output.is_empty() && !write_blocked && !cancel_unsent;
        let needs_memory = timers.needs_memory() || order_needs_memory;
        let cancel_since = exchange.oldest_cancel_since();
        Waits {
            interest,
            socket_enabled: !timers.needs_memory(),
            retry_memory_at: needs_memory.then(|| clock::now() + MEMORY_RETRY_SECONDS),
            answer_stalled_at: timers.stalled_at(),
            check_sent_at: (cancel_unsent && output.is_empty()).then(|| clock::now() + SENT_CHECK_SECONDS),
            cancel_overdue_at: cancel_since.map(|since| since + CANCEL_SEND_TIMEOUT_SECONDS),
            idle_at,
        }
    }

    /// Reports the answers that have been received, and discards those that waited for memory for too long.
    fn decode(&self, input: &mut Buffer, timers: &mut AnswerTimers) -> io::Result<()> {
        let now = clock::now();
        let position_before = (input.consumed(), input.bytes_to_skip());
        let mut exchange = self.exchange.borrow_mut();
        let mut send_report = |report| self.context.report(report);
        let mut progress = exchange.decode(now, input, send_report);
        while progress == Ok(Progress::NeedsMemory) {
            // The broker must not treat an answer that waits here as lost and count that against the node.
            if let Some(attempt_id) = exchange.attempt_at_head(input)
                && !timers.needs_memory()
            {
                send_report(Report::AwaitingMemory(attempt_id));
            }
            if !timers.memory_wait_timed_out(now) {
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
        let advanced = (input.consumed(), input.bytes_to_skip()) != position_before;
        timers.record_read(now, exchange.update_partial_answer(input), advanced);
        Ok(())
    }
}

/// Reads what the socket has to read.
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

/// Makes the connection end with a reset, even with unsent bytes, and returns the error.
fn reset(socket: &NodeSocket) -> io::Error {
    socket.reset_when_dropped();
    io::Error::new(io::ErrorKind::TimedOut, "a cancel could not be sent in time")
}

/// Returns the error for unusable data from the node.
fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
