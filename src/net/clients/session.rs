//! One client connection's requests and answers, without the socket.

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

/// Open requests that one connection may have.
const OPEN_MOST: usize = 32;
/// Credit for frames: so many a second, and so many at once.
const CREDIT: (f64, f64) = (1000.0, 500.0);
/// What a frame costs of it: one that is taken, refused at once, unusable.
const COSTS: [f64; 3] = [1.0, 2.0, 10.0];

/// A request that was taken and is not answered.
pub(super) struct Taken {
    /// When the answer is due.
    due: f64,
    class: ClassId,
    /// Set once nobody waits for it: whoever would send for it sees that at once.
    gone: Rc<Cell<bool>>,
}

/// One connection's requests and answers, without the socket.
pub(in crate::net) struct Session {
    pub(super) front: Rc<ClientContext>,
    number: u64,
    /// The tags of what is open.
    pub(super) open: FxHashMap<u64, Taken>,
    reply: UnboundedSender<(u64, Answer)>,
    pub(in crate::net) output: Output,
    /// It has said something whole that can be used.
    pub(super) spoken: bool,
    /// The client has closed its side: requests that are still read are nobody's.
    pub(super) client_left: bool,
    /// Credit for frames, and when it was topped up. Below zero, nothing is read.
    credit: (f64, f64),
}

impl Session {
    pub(in crate::net) fn new(front: Rc<ClientContext>, reply: UnboundedSender<(u64, Answer)>) -> Self {
        let number = front.numbers.get() + 1;
        front.numbers.set(number);
        let unread = front
            .memory
            .empty_grant(AccountOwner { may_use_reserve: true, ..AccountOwner::of(Purpose::Unread) });
        Session {
            front,
            number,
            open: FxHashMap::default(),
            reply,
            output: Output::new(unread),
            spoken: false,
            client_left: false,
            credit: (CREDIT.1, 0.0),
        }
    }

    fn caller(&self, tag: u64) -> Caller {
        Caller { connection: self.number, tag }
    }

    /// When the next frame may be taken. Guards against a flood, and against a client that comes again as
    /// soon as it is turned away: its answers go out at once, but it is not heard faster than others.
    pub(super) fn reads_at(&mut self, now: f64) -> f64 {
        let level = self.credit.0 + (now - self.credit.1).clamp(0.0, 1.0) * CREDIT.0;
        self.credit = (level.min(CREDIT.1), now);
        now + (-self.credit.0 / CREDIT.0).max(0.0)
    }

    /// Takes one whole frame off the buffer: `None` if there is none, else what the broker is to hear of it.
    pub(in crate::net) fn process_frame(
        &mut self,
        now: f64,
        input: &mut Buffer,
    ) -> Result<Option<Option<Input>>, FrameError> {
        // What is owed to a client that does not read must not outgrow the connection's own.
        if self.reads_at(now) > now || self.output.has_text_backlog() {
            return Ok(None);
        }
        let Some((command, used)) = resp::parse(input.bytes())? else {
            return Ok(self.refuse_announced(input));
        };
        let mut say = |tag, word| resp::write_answer(&mut self.output, tag, word, "", None);
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
            Command::Request { .. } if self.client_left => None,
            Command::Unusable { tag } => {
                say(tag, "fault");
                (cost, usable) = (unusable, false);
                None
            }
            // Two answers under one tag could not be told apart.
            Command::Request { tag, .. } if self.open.contains_key(&tag) => {
                return Err(FrameError { error: ProtocolError("a tag that is in use"), tag: None });
            }
            Command::Request { tag, class, fields, body } => {
                let front = &self.front;
                let class = front.classes.get(class);
                let ask =
                    class.and_then(|c| request::parse(now, c, &front.classes, &front.contracts, fields));
                let ask = ask.map(|ask| match self.open.len() >= OPEN_MOST {
                    true => None,
                    false => front.hold(ask, body).ok(),
                });
                match ask {
                    None => {
                        say(tag, "fault");
                        if let Some(class) = class {
                            front.metrics.count(class, Count::Failure);
                        }
                        (cost, usable) = (unusable, false);
                        None
                    }
                    Some(None) => {
                        front.metrics.count(class.unwrap_or_default(), Count::Busy);
                        self.refuse(tag, self.front.pushback);
                        cost = refused;
                        None
                    }
                    Some(Some(mut ask)) => {
                        let gone = ask.cancelled.clone();
                        self.open.insert(tag, Taken { due: ask.deadline, class: ask.class, gone });
                        ask.unread_bytes = Some(self.output.unread_content());
                        Some(Input::Request {
                            caller: self.caller(tag),
                            request: ask.into(),
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
    fn refuse_announced(&mut self, input: &mut Buffer) -> Option<Option<Input>> {
        let resp::PartialRequest { tag, class, body, total } = resp::parse_partial_request(input.bytes())?;
        let front = &self.front;
        let class = front.classes.get(class);
        let may_use_reserve = class.is_some_and(|c| front.classes.uncacheable(c));
        input.set_grant(|| {
            front.memory.empty_grant(AccountOwner { may_use_reserve, ..AccountOwner::of(Purpose::Bodies) })
        });
        let admitted = self.open.len() < OPEN_MOST && front.memory.admits(body, may_use_reserve);
        if admitted && input.reserve(total - input.len()).is_ok() || self.open.contains_key(&tag) {
            return None;
        }
        input.skip(total);
        if let Some(class) = class {
            front.metrics.count(class, Count::Busy);
        }
        self.refuse(tag, self.front.pushback);
        self.credit.0 -= COSTS[1];
        self.spoken = true;
        Some(None)
    }

    /// Nobody waits for what is open any more: nothing is sent for it from now on, and the broker is to hear of it.
    pub(in crate::net) fn cancel_open(&mut self) -> Vec<Input> {
        let open = std::mem::take(&mut self.open);
        open.values().for_each(|taken| taken.gone.set(true));
        open.into_keys().map(|tag| Input::Abort(self.caller(tag))).collect()
    }

    /// Nothing more can be read: what is owed is failed, and so is the frame if its tag could be read. To be followed by
    /// [`Session::cancel_open`].
    pub(in crate::net) fn fail_open(&mut self, tag: Option<u64>) {
        for (&tag, taken) in &self.open {
            self.front.metrics.count(taken.class, Count::Failure);
            resp::write_answer(&mut self.output, tag, "fault", "", None);
        }
        if let Some(tag) = tag.filter(|tag| !self.open.contains_key(tag)) {
            resp::write_answer(&mut self.output, tag, "fault", "", None);
        }
    }

    pub(in crate::net) fn answer(&mut self, tag: u64, answer: Answer) {
        // After an abort none is owed, and one that crossed it is dropped.
        let Some(Taken { due, .. }) = self.open.remove(&tag) else { return };
        match answer {
            Answer::Served(content) if content.not_modified => {
                resp::write_answer(&mut self.output, tag, "ok", "current=1", None);
            }
            Answer::Served(content) => {
                resp::write_answer(&mut self.output, tag, "ok", "", Some((content.body, content.grant, due)));
            }
            Answer::Refused(wait) | Answer::OverBudget(wait) => self.refuse(tag, wait),
            Answer::Failed | Answer::DeadlineExceeded | Answer::Forbidden => {
                resp::write_answer(&mut self.output, tag, "fault", "", None);
            }
        }
    }

    fn refuse(&mut self, tag: u64, wait: f64) {
        let fields = match wait > 0.0 {
            true => format!("pushback={}", (wait * 1000.0).ceil()),
            false => String::new(),
        };
        resp::write_answer(&mut self.output, tag, "full", &fields, None);
    }
}
