//! Tests of `verdict.rs`.

use super::super::record::{Cycle, NodeInfo, NotificationRecord, RequestRecord};
use super::*;
use onyxyoke_stand_ins::fleet::ObservedAttempt;

/// Twenty seconds in which two caches of one location do half of the work each for three fronts.
fn undisturbed() -> (Observations, VerdictCriteria) {
    let node = NodeInfo { location: 0, link: 4.0, cache: true };
    let above = NodeInfo { cache: false, ..node };
    let mut observed = Observations::new(vec![node, node, above]);
    observed.started_at = 1000.0;
    for i in 0..200 {
        let at = 1000.0 + f64::from(i) * 0.1;
        let (node, front) = (i as usize % 2, i as usize % 3);
        let arrival = ObservedAttempt {
            at,
            node,
            front,
            object: 7,
            work: 0.1,
            key: None,
            hit: true,
            filled: false,
            origin: false,
        };
        observed.attempts.push(Attempt { arrival, ended: Some(at + 0.1) });
        let end = Some((at + 0.1, End::Served));
        let (aim, deadline, made) = (0.5, 3.0, Some(at));
        let (extra_answers, corrupted, excused, paced, object) = (0, false, false, false, 7);
        observed.requests.push(RequestRecord {
            at,
            front,
            sent_on: None,
            aim,
            deadline,
            object,
            end,
            made,
            extra_answers,
            corrupted,
            excused,
            paced,
        });
    }
    (0..2).for_each(|n| observed.done[n] = vec![0.1; 40]);
    let criteria = VerdictCriteria {
        from: 1000.0,
        until: 1020.0,
        cold: ColdStartLimit { from: 0.2, time: 10.0, multiple: 2.0, window: 1.0 },
        purge_slack: 1.0,
        drain_grace: 0.5,
        answer_slack: 0.01,
        fronts: vec![3],
        bounds: Bounds { served: Some(0.95), most: Some(1.2), least: Some(0.8), ..Bounds::default() },
    };
    (observed, criteria)
}

fn judge_changed(change: impl Fn(&mut Observations)) -> Verdict {
    let (mut observed, criteria) = undisturbed();
    change(&mut observed);
    judge(&observed, &criteria)
}

#[test]
fn an_undisturbed_run_keeps_all_rules_and_bounds() {
    let v = judge_changed(|_| ());
    assert!(v.held(), "{v}");
    assert!((v.figures.most - 1.0).abs() < 1e-9 && v.figures.served == 1.0 && v.figures.hits == 1.0);
}

#[test]
fn each_planted_fault_breaks_its_own_rule_only() {
    type Plant = fn(&mut Observations);
    let plants: [(&str, Plant); 16] = [
        ("a process ends and starts as it is told", |s| s.failed_ends.push((1005.0, 1, "exit 1".into()))),
        ("a process takes connections as long as the platform sends some", |s| {
            s.refused.push((1005.0, 1));
        }),
        ("operators are answered within 1 s", |s| s.unconfirmed_calls = 1),
        ("one final answer", |s| s.requests[5].extra_answers = 1),
        ("one final answer", |s| s.requests[5].end = Some((1009.0, End::Served))),
        ("one final answer", |s| s.requests[5].end = None),
        ("one final answer", |s| s.requests[5].end = Some((1001.0, End::Lost))),
        ("whole and unchanged", |s| s.requests[5].corrupted = true),
        ("no copy from before a purge", |s| {
            s.purged.push(1005.0);
            s.requests[100].made = Some(1004.0);
        }),
        ("never two attempts out", |s| {
            s.attempts[6].arrival.key = Some(1);
            s.attempts[6].ended = Some(1003.0);
            s.attempts[9].arrival.key = Some(1);
        }),
        ("nothing new to a draining node", |s| {
            s.notifications.push(NotificationRecord { at: 1005.0, node: 0, state: 1, front: None });
            s.attempts.retain(|a| a.arrival.node != 0 || a.arrival.at < 1005.4 || a.arrival.at > 1019.7);
        }),
        ("nothing new to a draining node", |s| {
            let arrival = s.attempts.iter().rfind(|a| a.arrival.node == 0).unwrap().arrival;
            s.notifications.push(NotificationRecord {
                at: arrival.at - 0.7,
                node: 0,
                state: 1,
                front: Some(arrival.front),
            });
            s.notifications.push(NotificationRecord {
                at: arrival.at - 0.1,
                node: 0,
                state: 0,
                front: Some(arrival.front + 1),
            });
        }),
        ("nine in ten restarted fronts are ready within 10 s", |s| {
            s.ready = vec![1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 10.1, 10.1];
        }),
        ("a front is ready within 30 s", |s| s.ready = [vec![1.0; 10], vec![31.0]].concat()),
        ("no cold node pushed over", |s| {
            s.cold.push((0, 1002.0));
            s.attempts[30].arrival.work = 4.0;
        }),
        // The node can take 29 calls a second at 1004 s, or 41 with the allowance for chance; 50 arrive at
        // once.
        ("no cold node pushed over", |s| {
            s.cold.push((0, 1002.0));
            let arrival = ObservedAttempt { at: 1004.0, node: 0, ..s.attempts[0].arrival };
            let more = (0..50).map(|_| Attempt { arrival, ended: Some(1004.1) });
            s.attempts.splice(40..40, more);
        }),
    ];
    for (rule, plant) in plants {
        let v = judge_changed(plant);
        assert_eq!(v.rules.keys().collect::<Vec<_>>(), [rule], "{v}");
    }
}

#[test]
fn excused_and_timely_requests_break_no_rule() {
    let v = judge_changed(|s| {
        s.requests[5].end = Some((1001.0, End::Lost));
        s.requests[5].excused = true;
        s.purged.push(1005.0);
        s.requests[50].made = Some(1004.9);
        s.notifications.push(NotificationRecord { at: 1005.0, node: 0, state: 1, front: None });
        s.notifications.push(NotificationRecord { at: 1005.3, node: 0, state: 0, front: None });
        // Only another front's list has the node as draining, and that front makes no attempt.
        let other = s.attempts.iter().map(|a| a.arrival.front).max().unwrap_or(0) + 1;
        s.notifications.push(NotificationRecord { at: 1006.0, node: 0, state: 1, front: Some(other) });
        s.cold.push((1, 1002.0));
        s.ready = vec![9.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 29.0];
    });
    assert!(v.rules.is_empty(), "{v}");
}

#[test]
fn uneven_work_idle_nodes_and_herds_are_measured() {
    let v = judge_changed(|s| s.done[0] = vec![0.3; 40]);
    assert_eq!(v.bounds.len(), 2, "{v}");
    assert!((v.figures.most - 1.5).abs() < 1e-9 && (v.figures.least - 0.5).abs() < 1e-9, "{v}");
    let v = judge_changed(|s| {
        s.attempts.retain(|a| a.arrival.node != 1 || !(1004.0..1009.0).contains(&a.arrival.at))
    });
    assert!((4.8..5.3).contains(&v.figures.idle_s), "{v}");
    let v = judge_changed(|s| {
        s.events.push(1010.0);
        for front in 0..30 {
            let arrival =
                ObservedAttempt { at: 1010.31 + front as f64 * 0.002, front, ..s.attempts[0].arrival };
            s.attempts.push(Attempt { arrival, ended: Some(1010.5) });
        }
    });
    assert_eq!((v.figures.herd, v.figures.herd_by_chance), (30, 1.0), "{v}");
}

#[test]
fn a_recovered_node_is_compared_with_the_other_nodes() {
    let v = judge_changed(|s| s.cold.push((0, 1002.0)));
    // Five calls a second, where the node can take 16 at its start and more from then on.
    assert!((-3.8..-3.3).contains(&v.figures.cold_excess.unwrap()), "{v}");
    let v = judge_changed(|s| {
        s.impairments.push((0, 1001.0, 1003.0));
        s.done[0] = (0..40).map(|w| if (2..22).contains(&w) { 0.02 } else { 0.08 }).collect();
    });
    let (least, most) = (v.figures.back_least.unwrap(), v.figures.back_most.unwrap());
    assert!((0.75..0.85).contains(&least) && most < 0.3, "{v}");
}

#[test]
fn late_stand_ins_prevent_a_verdict() {
    let v = judge_changed(|s| (0..100).for_each(|_| s.late.saturating_record(2 * MAX_RIG_LATENESS_US)));
    assert!(v.none && !v.held());
}

/// Guards against losses of one front that are counted towards another front's series of signals.
#[test]
fn losses_count_towards_their_fronts_series_of_signals_only() {
    let cycle = |front, from, series| Cycle { front, from, until: from + 4.0, series };
    let v = judge_changed(|observed| {
        observed.cycles.push(cycle(1, 1006.0, SignalSeries::Term));
        observed.cycles.push(cycle(2, 1006.0, SignalSeries::Replaced));
        let place = |front: usize, at: f64| move |a: &RequestRecord| a.front == front && a.at > at;
        let lost = observed.requests.iter().position(place(1, 1007.0)).unwrap();
        observed.requests[lost].end = Some((1008.0, End::Lost));
        let twice = observed.requests.iter().position(place(2, 1007.0)).unwrap();
        observed.requests[twice].extra_answers = 1;
        observed.refused.push((1006.2, 1));
        observed.failed_ends.push((1009.0, 2, "exit 1".into()));
    });
    let (term, replaced) = (v.cycles[&SignalSeries::Term], v.cycles[&SignalSeries::Replaced]);
    assert_eq!((term.times, term.lost, term.duplicated, term.refused_connections), (1, 1, 0, 1));
    assert_eq!((replaced.lost, replaced.duplicated, replaced.wrong_ends), (0, 1, 1));
    assert!(term.asked > 20 && !v.held());
}

/// A front isn't to blame when a client that reads at its own pace has its answer late, but it is for a lost
/// or second answer.
#[test]
fn a_slow_reader_may_be_answered_late_but_lose_or_duplicate_nothing() {
    let late = |s: &mut Observations| {
        s.requests[5].paced = true;
        s.requests[5].end = Some((s.requests[5].at + 30.0, End::Served));
    };
    assert!(judge_changed(late).rules.is_empty());
    let lost = judge_changed(|s| {
        s.requests[5].paced = true;
        s.requests[5].end = None;
    });
    let twice = judge_changed(|s| (s.requests[5].paced, s.requests[5].extra_answers) = (true, 1));
    for broken in [lost, twice] {
        assert!(broken.rules.contains_key("one final answer"), "{broken}");
    }
}
