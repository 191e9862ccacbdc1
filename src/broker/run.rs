//! The one task that owns the core.

use super::{Answer, Broker, Caller, Command, DiscoveryUpdate, Effect, Input, Report};
use crate::membership::{OperatorOverride, SavedOverrides};
use crate::{clock, turns};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep_until};

/// Messages taken from one queue before the others and the timers get their turn.
const TURN: usize = 32;
/// Gauges for operators are published this often; they may be half a second old (seconds).
const PUBLISH: f64 = 0.2;

/// The queues that lead to the core, by rank: news first, so that what is decided after them knows of them.
pub struct Inputs {
    /// From the coordinator, or a discovery document.
    pub updates: UnboundedReceiver<DiscoveryUpdate>,
    /// From the operators' socket, whose callers have one call each at most, which bounds it.
    pub operators: UnboundedReceiver<OperatorRequest>,
    /// From cache connections; each attempt has three reports at most, which bounds it.
    pub reports: UnboundedReceiver<Report>,
    /// From fronts.
    pub requests: Receiver<Input>,
    /// Set once the core has a list of nodes to send to; a front is healthy from then on.
    pub ready: Rc<Cell<bool>>,
    /// Asks for the counters.
    pub print: Rc<Notify>,
    /// Tells of the end.
    pub close: UnboundedReceiver<Shutdown>,
}

/// From the operators' socket.
#[derive(Debug)]
pub enum OperatorRequest {
    /// A call. The answer says what was done, with what is now to be kept and the number of the call, so that
    /// of two answers the later is kept; or why it was refused.
    Override {
        /// What.
        action: OperatorOverride,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<(String, SavedOverrides, u64), String>>,
    },
    /// What another process of this front kept.
    Restore(SavedOverrides),
}

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shutdown {
    /// Whatever is taken from now on, or was before, is to be answered by then (Unix seconds).
    AnswerBy(f64),
    /// Nothing more is expected: the core ends once every request taken is answered.
    WhenAnswered,
}

/// Runs the core until it was asked to close and nothing is pending.
pub async fn run(mut broker: Broker, mut inputs: Inputs, commands: UnboundedSender<Command>) {
    let mut replies: FxHashMap<Caller, UnboundedSender<(u64, Answer)>> = FxHashMap::default();
    let (mut closing, mut started) = (false, false);
    // True from before the process says it takes clients, then fresh every period.
    broker.publish(clock::now(), 0);
    let period = Duration::from_secs_f64(PUBLISH);
    let mut publish = interval_at(Instant::now() + period, period);
    publish.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut calls = 0;
    loop {
        if !started && broker.has_nodes() {
            started = true;
            inputs.ready.set(true);
        }
        for effect in broker.effects() {
            match effect {
                Effect::Command(command) => {
                    #[cfg(feature = "planted")]
                    if let Some(late) = crate::planted::attempt_delay() {
                        let commands = commands.clone();
                        tokio::task::spawn_local(async move {
                            tokio::time::sleep(late).await;
                            let _ = commands.send(command);
                        });
                        continue;
                    }
                    let _ = commands.send(command);
                }
                Effect::Answer { caller, answer } => {
                    // A connection that has closed meanwhile has aborted, or is about to.
                    if let Some(reply) = replies.remove(&caller) {
                        let _ = reply.send((caller.tag, answer));
                    }
                }
            }
        }
        if closing && broker.pending() == 0 {
            break;
        }
        let next = broker.next_timer();
        let timer = async {
            match next {
                Some(at) => sleep_until(clock::instant(at)).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(news) = inputs.updates.recv() => {
                broker.apply_update(clock::now(), news, false);
                while let Ok(news) = inputs.updates.try_recv() {
                    broker.apply_update(clock::now(), news, false);
                }
            }
            Some(call) = inputs.operators.recv() => match call {
                OperatorRequest::Override { action: hand, reply } => {
                    let now = clock::now();
                    calls += 1;
                    let _ = reply.send(broker.hand(now, hand).map(|said| (said, broker.kept(now), calls)));
                }
                OperatorRequest::Restore(kept) => broker.restore_overrides(clock::now(), &kept),
            },
            () = timer => {}
            _ = publish.tick() => broker.publish(clock::now(), inputs.requests.len()),
            Some(report) = inputs.reports.recv() => {
                broker.report(clock::now(), report);
                for _ in 1..TURN {
                    let Ok(report) = inputs.reports.try_recv() else { break };
                    broker.report(clock::now(), report);
                }
            }
            Some(input) = inputs.requests.recv() => take(&mut broker, &mut replies, input),
            () = inputs.print.notified() => {
                // Asked for by the operator, and so not held back by the storm that it is to explain.
                eprintln!("onyxyoke: {}", broker.counters);
                eprintln!("onyxyoke: {}", broker.reason_counts());
                eprintln!("onyxyoke: {}", broker.memory());
                eprintln!("onyxyoke: {}", turns::longest());
            }
            Some(close) = inputs.close.recv() => match close {
                Shutdown::AnswerBy(by) => broker.answer_by(by),
                Shutdown::WhenAnswered => closing = true,
            },
        }
        // Whatever came, timers that are due fire now: a busy queue does not hold them up.
        broker.tick(clock::now());
    }
    eprintln!("onyxyoke: at exit: {}", broker.counters);
    eprintln!("onyxyoke: at exit: {}", broker.reason_counts());
    eprintln!("onyxyoke: at exit: {}", broker.memory());
    eprintln!("onyxyoke: at exit: {}", turns::longest());
}

fn take(broker: &mut Broker, replies: &mut FxHashMap<Caller, UnboundedSender<(u64, Answer)>>, input: Input) {
    match input {
        Input::Request { caller, request: ask, reply } => {
            replies.insert(caller, reply);
            broker.ask(clock::now(), caller, ask);
        }
        Input::Abort(caller) => {
            replies.remove(&caller);
            broker.abort(clock::now(), caller);
        }
    }
}
