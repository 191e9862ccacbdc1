//! Tests of the usage comparison with windows of one second.

use super::*;

const KB: f64 = 1_000.0;

/// Returns the window of a front of one location, at eight requests per second.
fn window(front: usize, new: bool, young: bool, memory_kb: f64) -> Window {
    let sums = vec![super::super::window::ClassCounts { requests: 8.0, ..Default::default() }];
    Window { front, run: 1, span: 1.0, location: 0, new, young, sums, uses: [memory_kb, 40.0, 0.1] }
}

fn comparison() -> UsageComparison {
    UsageComparison::new(&Gates::default())
}

/// Guards against a leak that is never stopped: the grace time restarted whenever no old front of the new
/// front's age was there to compare with, and one run of four of `a_build_that_leaks_is_stopped` ended as
/// done.
#[test]
fn a_gap_in_comparisons_does_not_restart_the_grace_time() {
    let mut usage = comparison();
    for second in 0..10 {
        let now = f64::from(second);
        let old = window(1, false, true, 12.0 * KB);
        // In two seconds of three the front has no comparable old front, or no reading of its own.
        match second % 3 {
            0 => usage.observe(now, &[window(0, true, true, 40.0 * KB), old]),
            1 => usage.observe(now, &[window(0, true, false, 40.0 * KB), window(1, false, true, 12.0 * KB)]),
            _ => usage.observe(now, &[old]),
        }
        assert_eq!(usage.undecided(now), Some(Measure::Memory), "second {second}");
        assert_eq!(usage.exceeded(now), None, "second {second}");
    }
    assert!(matches!(usage.exceeded(10.0), Some((Measure::Memory, times)) if times > 3.0));
}

#[test]
fn without_old_fronts_new_ones_are_compared_with_the_baseline() {
    let mut usage = comparison();
    for second in 0..5 {
        usage.observe(
            f64::from(second),
            &[window(0, false, false, 12.0 * KB), window(1, false, false, 13.0 * KB)],
        );
    }
    for second in 5..30 {
        let leak = f64::from(second - 5) * 2.0 * KB;
        let fronts = [window(0, true, false, 12.0 * KB + leak), window(1, true, false, 12.0 * KB + leak)];
        usage.observe(f64::from(second), &fronts);
    }
    assert!(matches!(usage.exceeded(29.0), Some((Measure::Memory, _))));
}

/// Guards against a false stop when usage grows in proportion to the load.
#[test]
fn the_baseline_is_scaled_to_the_present_load() {
    let mut usage = comparison();
    usage.observe(0.0, &[window(0, false, false, 40.0 * KB)]);
    for second in 1..30 {
        let mut busy = window(0, true, false, 76.0 * KB);
        busy.sums[0].requests *= 1.5;
        usage.observe(f64::from(second), &[busy]);
    }
    assert_eq!((usage.exceeded(29.0), usage.undecided(29.0)), (None, None));
    assert!(usage.is_compared(&[0]));
}

#[test]
fn a_front_that_was_never_compared_does_not_pass() {
    let mut usage = comparison();
    usage.observe(0.0, &[window(0, false, false, 12.0 * KB), window(1, false, false, 12.0 * KB)]);
    usage.begin_stage();
    // The new front is young, and no old front has been young.
    usage.observe(1.0, &[window(0, true, true, 12.0 * KB), window(1, false, false, 12.0 * KB)]);
    assert!(!usage.is_compared(&[0]));
    usage.observe(2.0, &[window(0, true, false, 12.0 * KB), window(1, false, false, 12.0 * KB)]);
    assert!(usage.is_compared(&[0]));
    usage.begin_stage();
    assert!(!usage.is_compared(&[0]), "a stage is judged by what was seen in it");
}

#[test]
fn one_front_of_three_over_the_bound_does_not_stop() {
    let mut usage = comparison();
    for second in 0..30 {
        let new = |front, kb| window(front, true, false, kb);
        let fronts =
            [new(0, 90.0 * KB), new(1, 12.0 * KB), new(2, 12.0 * KB), window(3, false, false, 12.0 * KB)];
        usage.observe(f64::from(second), &fronts);
    }
    assert_eq!((usage.exceeded(29.0), usage.undecided(29.0)), (None, None));
}

#[test]
fn the_grace_time_excludes_gaps_and_restarts_with_the_process() {
    let mut usage = comparison();
    let old = || window(1, false, false, 12.0 * KB);
    usage.observe(0.0, &[window(0, true, false, 40.0 * KB), old()]);
    usage.exclude_gap(20.0);
    assert_eq!(usage.exceeded(20.5), None);
    let replaced = Window { run: 2, ..window(0, true, false, 40.0 * KB) };
    usage.observe(21.0, &[replaced, old()]);
    assert_eq!(usage.exceeded(30.5), None, "counted from the replacement on");
    usage.observe(31.0, &[window(0, false, false, 12.0 * KB), old()]);
    assert_eq!((usage.exceeded(60.0), usage.undecided(60.0)), (None, None), "it went back");
}

#[test]
fn restored_baselines_are_compared_with() {
    let mut first = comparison();
    first.observe(0.0, &[window(0, false, false, 12.0 * KB)]);
    let mut second = comparison();
    second.restore(&first.baselines(1));
    for now in 0..12 {
        second.observe(f64::from(now), &[window(0, true, false, 40.0 * KB)]);
    }
    assert!(matches!(second.exceeded(11.0), Some((Measure::Memory, _))));
}
