//! Tests of the fleet's health with windows of half a second, one location and one class.

use super::*;

const MARGIN: f64 = 0.03;
const PATIENCE: f64 = 8.0;
const WINDOW: f64 = 0.5;

/// Plays a number of seconds with this share of unserved requests. Returns when the patience ends with the
/// fleet still degraded, and the changes of its health.
fn play(seconds: f64, asked: f64, share: impl Fn(f64) -> f64) -> (Option<f64>, Vec<(f64, HealthChange)>) {
    let mut health = FleetHealth::new(1, MARGIN, PATIENCE);
    let mut changes = Vec::new();
    for window in 1..=(seconds / WINDOW) as u32 {
        let now = f64::from(window) * WINDOW;
        let unserved = (asked * share(now)).round();
        health.observe(now, vec![vec![ClassCounts { requests: asked, unserved, ..ClassCounts::default() }]]);
        changes.extend(health.update(now, &[0.25]).map(|changed| (now, changed)));
        if health.degraded_beyond_patience(now).is_some() {
            return (Some(now), changes);
        }
    }
    (None, changes)
}

/// Guards against a rollback for an outage that is over: requests that failed early in the patience were
/// still among the last 10 s at its end.
#[test]
fn an_outage_that_ends_within_the_patience_is_waited_for() {
    for ends in [2.0, 4.0, 6.0, 8.0] {
        let (back, changes) =
            play(40.0, 12.0, |now| if (3.0..3.0 + ends).contains(&now) { 0.5 } else { 0.0 });
        assert_eq!(back, None, "a trouble of {ends} s");
        let seen: Vec<HealthChange> = changes.iter().map(|change| change.1).collect();
        assert_eq!(seen, [HealthChange::Degraded(0), HealthChange::Recovered], "a trouble of {ends} s");
    }
}

#[test]
fn an_outage_beyond_the_patience_is_not_waited_for() {
    let (back, changes) = play(40.0, 12.0, |now| if now >= 3.0 { 0.5 } else { 0.0 });
    let began = changes[0].0;
    assert!(
        back.is_some_and(|at| at - began >= PATIENCE && at - began <= PATIENCE + 2.0),
        "{back:?}, {began}"
    );
}

/// One request in ten fails in a class with few requests: the evidence builds up slowly but suffices.
#[test]
fn slight_harm_to_a_rare_class_is_detected() {
    let (back, _) = play(200.0, 10.0, |now| if now >= 3.0 { 0.1 } else { 0.0 });
    assert!(back.is_some_and(|at| at < 60.0), "{back:?}");
}

#[test]
fn a_gap_in_observations_does_not_count_towards_the_patience() {
    let mut health = FleetHealth::new(1, MARGIN, PATIENCE);
    let bad = || vec![vec![ClassCounts { requests: 100.0, unserved: 50.0, ..ClassCounts::default() }]];
    health.observe(1.0, bad());
    assert_eq!(health.update(1.0, &[0.25]), Some(HealthChange::Degraded(0)));
    health.exclude_gap(20.0);
    health.observe(21.0, bad());
    assert_eq!(health.degraded_beyond_patience(21.0), None);
    health.observe(29.5, bad());
    assert_eq!(health.degraded_beyond_patience(29.5), Some(0));
}
