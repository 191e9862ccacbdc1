//! The task that owns the broker.

use super::{Answer, Broker, Caller, Command, DiscoveryUpdate, Effect, Input, Report};
use crate::membership::{OperatorOverride, Overrides};
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

/// Reports handled in a row before the other queues and the timers are served.
const MAX_REPORT_BATCH: usize = 32;
/// Interval at which gauges are published for operators, which may be at most half a second old.
const GAUGE_INTERVAL_SECONDS: f64 = 0.2;

/// The broker's input queues, in order of priority: updates first, so that every later decision takes them
/// into account.
pub struct Inputs {
    /// Updates from the coordinator or the discovery server.
    pub updates: UnboundedReceiver<DiscoveryUpdate>,
    /// Requests from the operators' socket. Each connection has at most one open, which bounds the queue.
    pub operators: UnboundedReceiver<OperatorRequest>,
    /// Reports from connections to cache nodes. Each attempt has at most three, which bounds the queue.
    pub reports: UnboundedReceiver<Report>,
    /// Messages from client connections.
    pub requests: Receiver<Input>,
    /// Set once any node is listed; the front is healthy from then on.
    pub ready: Rc<Cell<bool>>,
    /// Notified to print the counters.
    pub print: Rc<Notify>,
    /// Steps of the shutdown.
    pub close: UnboundedReceiver<Shutdown>,
}

/// Request from the operators' socket.
#[derive(Debug)]
pub enum OperatorRequest {
    /// A cordon or uncordon. The reply says what was done, or why the call is refused.
    Override {
        /// The cordon or uncordon.
        action: OperatorOverride,
        /// Receives the reply.
        reply: oneshot::Sender<Result<OverrideApplied, String>>,
    },
    /// Overrides that another process of this front saved.
    Merge(Overrides),
}

/// A cordon or uncordon that is in force.
#[derive(Debug)]
pub struct OverrideApplied {
    /// The message for the operator.
    pub message: String,
    /// The overrides to save.
    pub overrides: Overrides,
}

/// A step of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shutdown {
    /// Every request, open or still to come, is answered by this time (Unix seconds).
    AnswerBy(f64),
    /// No further requests come: the task ends once every request is answered.
    WhenAnswered,
}

/// Runs the broker until it is told to shut down and no request is pending.
pub async fn run(mut broker: Broker, mut inputs: Inputs, commands: UnboundedSender<Command>) {
    let mut replies: FxHashMap<Caller, UnboundedSender<(u64, Answer)>> = FxHashMap::default();
    let (mut closing, mut started) = (false, false);
    // The gauges are published before the process reports ready, then at every interval.
    broker.publish(clock::now(), 0);
    let period = Duration::from_secs_f64(GAUGE_INTERVAL_SECONDS);
    let mut publish = interval_at(Instant::now() + period, period);
    publish.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                    // A missing reply channel means that the connection has closed and aborted its requests,
                    // or is about to.
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
            Some(update) = inputs.updates.recv() => {
                broker.apply_update(clock::now(), update, false);
                while let Ok(update) = inputs.updates.try_recv() {
                    broker.apply_update(clock::now(), update, false);
                }
            }
            Some(request) = inputs.operators.recv() => match request {
                OperatorRequest::Override { action, reply } => {
                    let now = clock::now();
                    let result = broker.apply_override(now, action);
                    let applied = |message| OverrideApplied { message, overrides: broker.overrides().clone() };
                    let _ = reply.send(result.map(applied));
                }
                OperatorRequest::Merge(saved) => broker.merge_overrides(clock::now(), &saved),
            },
            () = timer => {}
            _ = publish.tick() => broker.publish(clock::now(), inputs.requests.len()),
            Some(report) = inputs.reports.recv() => {
                broker.handle_report(clock::now(), report);
                for _ in 1..MAX_REPORT_BATCH {
                    let Ok(report) = inputs.reports.try_recv() else { break };
                    broker.handle_report(clock::now(), report);
                }
            }
            Some(input) = inputs.requests.recv() => handle_input(&mut broker, &mut replies, input),
            () = inputs.print.notified() => {
                // Printed directly, not by the rate-limited log: an operator asks for it to explain a burst
                // of log lines.
                eprintln!("onyxyoke: {}", broker.counters);
                eprintln!("onyxyoke: {}", broker.reason_counts());
                eprintln!("onyxyoke: {}", broker.memory());
                eprintln!("onyxyoke: {}", turns::longest());
            }
            Some(step) = inputs.close.recv() => match step {
                Shutdown::AnswerBy(by) => broker.answer_by(by),
                Shutdown::WhenAnswered => closing = true,
            },
        }
        // Due timers fire after every input, so that a busy queue does not delay them.
        broker.fire_timers(clock::now());
    }
    eprintln!("onyxyoke: at exit: {}", broker.counters);
    eprintln!("onyxyoke: at exit: {}", broker.reason_counts());
    eprintln!("onyxyoke: at exit: {}", broker.memory());
    eprintln!("onyxyoke: at exit: {}", turns::longest());
}

/// Handles a message from a client connection, and keeps the reply channels of open requests.
fn handle_input(
    broker: &mut Broker,
    replies: &mut FxHashMap<Caller, UnboundedSender<(u64, Answer)>>,
    input: Input,
) {
    match input {
        Input::Request { caller, request, reply } => {
            replies.insert(caller, reply);
            broker.handle_request(clock::now(), caller, request);
        }
        Input::Abort(caller) => {
            replies.remove(&caller);
            broker.abort(clock::now(), caller);
        }
    }
}
