//! The requests and answers of one client connection, without its socket.

use super::{ClientContext, request};
use crate::broker::{Answer, Caller, Count, Input};
use crate::interface::ClassId;
use crate::memory::{AccountOwner, Purpose};
use crate::net::resp::{self, Command, FrameError};
use crate::net::{Buffer, Output, ProtocolError};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// Limit of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Rate at which the token bucket for frames is filled (tokens per second).
const TOKENS_PER_SECOND: f64 = 1000.0;
/// Capacity of the token bucket for frames (tokens).
const MAX_TOKENS: f64 = 500.0;
/// Cost of a frame that is accepted (tokens).
const FRAME_COST: f64 = 1.0;
/// Cost of a request that is refused at once (tokens).
const REFUSED_COST: f64 = 2.0;
/// Cost of a frame that cannot be used (tokens).
const UNUSABLE_COST: f64 = 10.0;

/// A request that was accepted and is not answered yet.
pub(super) struct OpenRequest {
    /// When the answer is due (Unix seconds).
    due: f64,
    class: ClassId,
    /// Set once the client no longer waits, so that no further attempt is sent for the request.
    cancelled: Rc<Cell<bool>>,
}

/// The requests and answers of one client connection, without its socket.
pub(in crate::net) struct Session {
    pub(super) context: Rc<ClientContext>,
    /// The number of the connection.
    number: u64,
    /// The open requests by tag.
    pub(super) open: FxHashMap<u64, OpenRequest>,
    reply: UnboundedSender<(u64, Answer)>,
    pub(in crate::net) output: Output,
    /// The client has sent a usable command.
    pub(super) has_sent_command: bool,
    /// The client has closed its side: requests that are still read are ignored.
    pub(super) client_left: bool,
    /// Level of the token bucket for frames. Below zero, nothing is read.
    tokens: f64,
    /// When the token bucket was last filled (Unix seconds).
    tokens_at: f64,
}

impl Session {
    pub(in crate::net) fn new(context: Rc<ClientContext>, reply: UnboundedSender<(u64, Answer)>) -> Self {
        let number = context.numbers.get() + 1;
        context.numbers.set(number);
        let unread = context
            .memory
            .empty_grant(AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Unread) });
        Session {
            context,
            number,
            open: FxHashMap::default(),
            reply,
            output: Output::new(unread),
            has_sent_command: false,
            client_left: false,
            tokens: MAX_TOKENS,
            tokens_at: 0.0,
        }
    }

    fn caller(&self, tag: u64) -> Caller {
        Caller { connection: self.number, tag }
    }

    /// Fills the token bucket, and returns when the next frame may be processed (Unix seconds). Limits
    /// floods, and clients that retry as soon as they are refused: they are answered at once, but not read
    /// from faster than others.
    pub(super) fn reads_at(&mut self, now: f64) -> f64 {
        let level = self.tokens + (now - self.tokens_at).clamp(0.0, 1.0) * TOKENS_PER_SECOND;
        (self.tokens, self.tokens_at) = (level.min(MAX_TOKENS), now);
        now + (-self.tokens / TOKENS_PER_SECOND).max(0.0)
    }

    /// Processes one complete frame of the buffer: `None` if there is none, `Some` with the message to the
    /// broker, if any, otherwise.
    pub(in crate::net) fn process_frame(
        &mut self,
        now: f64,
        input: &mut Buffer,
    ) -> Result<Option<Option<Input>>, FrameError> {
        // The answers to a client that does not read must fit the connection's own memory.
        if self.reads_at(now) > now || self.output.has_text_backlog() {
            return Ok(None);
        }
        let Some((command, used)) = resp::parse(input.bytes())? else {
            return Ok(self.admit_partial_request(input));
        };
        let mut write = |tag, word| resp::write_answer(&mut self.output, tag, word, "", None);
        let (mut cost, mut usable) = (FRAME_COST, true);
        let message = match command {
            Command::Health { tag } => {
                write(tag, if self.context.ready.get() { "yes" } else { "no" });
                None
            }
            Command::Abort { tag } => self.open.remove(&tag).map(|open| {
                open.cancelled.set(true);
                Input::Abort(self.caller(tag))
            }),
            Command::Request { .. } if self.client_left => None,
            Command::Unusable { tag } => {
                write(tag, "fault");
                (cost, usable) = (UNUSABLE_COST, false);
                None
            }
            // The client could not tell two answers with the same tag apart.
            Command::Request { tag, .. } if self.open.contains_key(&tag) => {
                return Err(FrameError { error: ProtocolError("a tag that is in use"), tag: None });
            }
            Command::Request { tag, class, fields, body } => {
                let context = &self.context;
                let class = context.classes.get(class);
                let request =
                    class.and_then(|c| request::parse(now, c, &context.classes, &context.contracts, fields));
                let request = request.map(|request| match self.open.len() >= MAX_OPEN_REQUESTS {
                    true => None,
                    false => context.reserve_memory(request, body).ok(),
                });
                match request {
                    None => {
                        write(tag, "fault");
                        if let Some(class) = class {
                            context.metrics.count(class, Count::Failure);
                        }
                        (cost, usable) = (UNUSABLE_COST, false);
                        None
                    }
                    Some(None) => {
                        context.metrics.count(class.unwrap_or_default(), Count::Busy);
                        self.refuse(tag, self.context.pushback);
                        cost = REFUSED_COST;
                        None
                    }
                    Some(Some(mut request)) => {
                        let cancelled = request.cancelled.clone();
                        let open = OpenRequest { due: request.deadline, class: request.class, cancelled };
                        self.open.insert(tag, open);
                        request.unread_bytes = Some(self.output.unread_content());
                        Some(Input::Request {
                            caller: self.caller(tag),
                            request: request.into(),
                            reply: self.reply.clone(),
                        })
                    }
                }
            }
        };
        input.consume(used);
        self.has_sent_command |= usable;
        self.tokens -= cost;
        Ok(Some(message))
    }

    /// Admits a request whose body is still incomplete if there is memory for all of it. Otherwise refuses it
    /// now, and skips its bytes as they come.
    fn admit_partial_request(&mut self, input: &mut Buffer) -> Option<Option<Input>> {
        let resp::PartialRequest { tag, class, body, total } = resp::parse_partial_request(input.bytes())?;
        let context = &self.context;
        let class = context.classes.get(class);
        let may_use_reserve = class.is_some_and(|c| context.classes.uncacheable(c));
        input.set_grant(|| {
            context.memory.empty_grant(AccountOwner { may_use_reserve, ..AccountOwner::of(Purpose::Bodies) })
        });
        let admitted = self.open.len() < MAX_OPEN_REQUESTS && context.memory.admits(body, may_use_reserve);
        if admitted && input.reserve(total - input.len()).is_ok() || self.open.contains_key(&tag) {
            return None;
        }
        input.skip(total);
        if let Some(class) = class {
            context.metrics.count(class, Count::Busy);
        }
        self.refuse(tag, self.context.pushback);
        self.tokens -= REFUSED_COST;
        self.has_sent_command = true;
        Some(None)
    }

    /// Cancels all open requests: no further attempt is sent for them. Returns the messages to the broker.
    pub(in crate::net) fn cancel_open(&mut self) -> Vec<Input> {
        let open = std::mem::take(&mut self.open);
        open.values().for_each(|request| request.cancelled.set(true));
        open.into_keys().map(|tag| Input::Abort(self.caller(tag))).collect()
    }

    /// Answers all open requests as failed after a protocol error, and also the faulty frame if its tag is
    /// known. To be followed by [`Session::cancel_open`].
    pub(in crate::net) fn fail_open(&mut self, tag: Option<u64>) {
        for (&tag, request) in &self.open {
            self.context.metrics.count(request.class, Count::Failure);
            resp::write_answer(&mut self.output, tag, "fault", "", None);
        }
        if let Some(tag) = tag.filter(|tag| !self.open.contains_key(tag)) {
            resp::write_answer(&mut self.output, tag, "fault", "", None);
        }
    }

    /// Writes the answer to an open request into the output.
    pub(in crate::net) fn answer(&mut self, tag: u64, answer: Answer) {
        // An answer that crossed an abort is dropped.
        let Some(OpenRequest { due, .. }) = self.open.remove(&tag) else { return };
        match answer {
            Answer::Served(content) if content.not_modified => {
                resp::write_answer(&mut self.output, tag, "ok", "current=1", None);
            }
            Answer::Served(content) => {
                resp::write_answer(&mut self.output, tag, "ok", "", Some((content.body, content.grant, due)));
            }
            Answer::Refused(pushback) | Answer::OverBudget(pushback) => self.refuse(tag, pushback),
            Answer::Failed | Answer::DeadlineExceeded | Answer::Forbidden => {
                resp::write_answer(&mut self.output, tag, "fault", "", None);
            }
        }
    }

    fn refuse(&mut self, tag: u64, pushback: f64) {
        let fields = match pushback > 0.0 {
            true => format!("pushback={}", (pushback * 1000.0).ceil()),
            false => String::new(),
        };
        resp::write_answer(&mut self.output, tag, "full", &fields, None);
    }
}
