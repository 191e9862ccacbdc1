//! The process of a front is being replaced. Two operators take four cache nodes each out by hand, at the same
//! time, one through the old process and one through the new one. Each of the eight calls is answered `ok`.
//! From then on, nothing new may go to any of the eight nodes.
mod common;
use common::*;
use std::net::SocketAddr;
use std::thread;

/// Nodes that each operator takes out.
const EACH: u32 = 4;
/// `invariants.drain-grace` of the settings, and what every limit on sockets is longer by (seconds).
const GRACE: f64 = 0.5 + 0.05;
/// Once this has passed since a call, the ban holds even without a reply (seconds).
const REPLY: f64 = 1.0;

/// A call: the node, when it was made, when the reply was there, the reply.
type Called = (u32, f64, f64, String);

/// Takes nodes out, one after the other, from this time on.
fn cordon(operators: SocketAddr, first: u32, at: f64) -> thread::JoinHandle<Vec<Called>> {
    thread::spawn(move || {
        sleep_until(at);
        let call = |id: u32| {
            let made = now();
            let reply = operator(operators, &format!("cordon s-{id:08x}"));
            (id, made, now(), reply)
        };
        (first..first + EACH).map(call).collect()
    })
}

fn main() {
    let site = Site::new("case9", 12);
    let record = site.record.clone();
    let (old_operators, new_operators) = (free_address(), free_address());
    let mut old = site.start("old", Some(old_operators));
    let listen = site.listen;
    let begin = now();
    let clients = thread::spawn(move || ask_for_pages(listen, begin + 14.0, |_| ()));
    sleep(3.0);
    let new =
        trouble().then(|| Process::start("new", &site.config, listen, Some(new_operators), &site.folder.0));
    let second = if trouble() { new_operators } else { old_operators };
    let by = now() + 10.0;
    while operator(second, "health") != "ok yes" {
        if now() > by {
            quit("the new process does not say yes");
        }
        sleep(0.02);
    }
    let yes = now();
    record.line("the second address says yes");
    let at = now() + 0.5;
    let (one, two) = (cordon(old_operators, EDGE_ID, at), cordon(second, EDGE_ID + EACH, at));
    let mut calls = one.join().unwrap();
    calls.extend(two.join().unwrap());
    for (id, made, replied, reply) in &calls {
        record.say(&format!(
            "cordon s-{id:08x} at {}, at {}: {reply}",
            record.at(*made),
            record.at(*replied)
        ));
    }
    if calls.iter().any(|c| !c.3.starts_with("ok")) {
        quit("a call was not answered with ok");
    }
    // The old process is told to end within 6 s of the yes.
    if new.is_some() {
        sleep_until(yes + 4.0);
        record.line("SIGTERM to the old process");
        old.signal("TERM");
    }
    let clients = clients.join().unwrap();
    sleep(3.6);
    let (served, unanswered) = record_answers(&record, &clients);
    let arrivals = site.deployment.arrivals();
    let mut broken = 0;
    for (id, made, replied, _) in &calls {
        let held_from = replied.min(made + REPLY) + GRACE;
        let late: Vec<&Arrival> = arrivals
            .iter()
            .filter(|a| (a.node == *id || a.source == Some(*id)) && a.at > held_from)
            .collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            record.say(&format!(
                "s-{id:08x}: {} sends after the ban held, from {} to {}",
                late.len(),
                record.at(first.at),
                record.at(last.at)
            ));
        }
        broken += late.len();
    }
    record_arrivals(&record, &arrivals.into_iter().filter(|a| a.at > yes).collect::<Vec<_>>());
    old.record_log(&record);
    if let Some(new) = &new {
        new.record_log(&record);
    }
    record.say(&format!(
        "served {served}, without answer {unanswered}; sends to nodes that are out by hand: {broken}"
    ));
    let _ = old.ended();
    drop((old, new, site.folder));
    finish(i32::from(broken > 0));
}
