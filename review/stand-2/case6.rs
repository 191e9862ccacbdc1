//! Discovery is slow: it comes to each watch 2 s after that has begun. A cache node drains. From 7 s later the
//! drain counts as told, and nothing new may go to that node once the grace has passed.
mod common;
use common::*;
use std::sync::atomic::Ordering;

/// Time from the 8 bytes that begin a watch to its first frame while discovery is slow (seconds).
const SLOW: f64 = 2.0;
/// Whatever the coordinator has to tell counts as told no later than this afterwards (seconds).
const TOLD: f64 = 7.0;
/// `invariants.drain-grace` of the settings, and what every limit on sockets is longer by (seconds).
const GRACE: f64 = 0.5 + 0.05;
/// When the node drains, and how long it is watched after that (seconds).
const DRAIN_AT: f64 = 5.0;
const WATCHED: f64 = 20.0;

fn main() {
    let site = Site::new("case6", 6);
    let record = site.record.clone();
    if trouble() {
        *site.coordinator.slow.lock().unwrap() = SLOW;
    }
    let mut front = site.start("front", None);
    let drained = site.deployment.members[0];
    let (begin, mut drain_at) = (now(), 0.0);
    let clients = ask_for_pages(site.listen, begin + DRAIN_AT + WATCHED, |at| {
        if drain_at == 0.0 && at > begin + DRAIN_AT {
            drain_at = at;
            let number = site.coordinator.change(&[Member { state: 1, ..drained }]);
            record.line(&format!("event {number} is in the coordinator: s-{:08x} drains", drained.id));
        }
    });
    sleep(3.6);
    let (served, unanswered) = record_answers(&record, &clients);
    let told = drain_at + TOLD;
    let names = |a: &Arrival| a.node == drained.id || a.source == Some(drained.id);
    let after: Vec<Arrival> =
        site.deployment.arrivals().into_iter().filter(|a| names(a) && a.at > drain_at).collect();
    let late: Vec<Arrival> = after.iter().filter(|a| a.at > told + GRACE).cloned().collect();
    record_arrivals(&record, &after);
    front.record_log(&record);
    record.say(&format!(
        "served {served}, without answer {unanswered}; drain at {}, told at {}",
        record.at(drain_at),
        record.at(told)
    ));
    record.say(&format!(
        "watches: {}; sent to the draining node, or with it as source: {} after the drain, {} of them later than told and grace",
        site.coordinator.watches.load(Ordering::SeqCst),
        after.len(),
        late.len()
    ));
    let crashed = front.ended();
    drop((front, site.folder));
    finish(i32::from(!late.is_empty() || crashed.is_some()));
}
