//! Tests of the gate with windows drawn from a seed.

use super::*;

fn gates() -> Gates {
    Gates { false_stop: 0.01, ..Gates::default() }
}

/// Plays windows of one second of 24 fronts in two locations, four of them new; `bad` is the failure
/// probability of a front and class. Returns the second at which the gate stops.
fn stopped_at(seed: u64, seconds: u32, mut bad: impl FnMut(u32, &Window, usize) -> f64) -> Option<u32> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut gate = Gate::new(gates(), 2, 6);
    gate.begin_stage(0.0, 60.0);
    for second in 0..seconds {
        let mut windows = Vec::new();
        for front in 0..24 {
            let new = front < 4;
            let mut w = Window {
                front,
                run: 1,
                span: 1.0,
                location: front % 2,
                new,
                young: false,
                sums: vec![ClassCounts::default(); 2],
                uses: [1.0; 3],
            };
            for (class, rate) in [8.0, 0.3].into_iter().enumerate() {
                let chance = bad(second, &w, class);
                let asked = (rate + random.f64()) as u32;
                let unserved = (0..asked).filter(|_| random.f64() < chance).count() as f64;
                w.sums[class] =
                    ClassCounts { requests: f64::from(asked), unserved, ..ClassCounts::default() };
            }
            windows.push(w);
        }
        gate.observe(f64::from(second), &windows, &[true, true]);
        if gate.verdict(f64::from(second)) != Verdict::Fair {
            return Some(second);
        }
    }
    None
}

#[test]
fn equal_failures_of_old_and_new_fronts_do_not_stop() {
    for seed in 0..40 {
        assert_eq!(stopped_at(seed, 200, |_, _, _| 0.02), None, "seed {seed}");
        let burst = |s: u32, _: &Window, _| if (50..80).contains(&s) { 0.6 } else { 0.01 };
        assert_eq!(stopped_at(seed, 200, burst), None, "a burst, seed {seed}");
        let lost = |s: u32, w: &Window, _| if s > 50 && w.location == 0 { 0.5 } else { 0.01 };
        assert_eq!(stopped_at(seed, 200, lost), None, "one location, seed {seed}");
    }
}

#[test]
fn harm_in_one_class_at_one_location_or_late_stops() {
    for seed in 0..20 {
        let all = |_, w: &Window, _| if w.new { 0.1 } else { 0.01 };
        assert!(stopped_at(seed, 60, all).is_some(), "seed {seed}");
        let rare = |_, w: &Window, class| if w.new && class == 1 { 0.3 } else { 0.01 };
        assert!(stopped_at(seed, 300, rare).is_some(), "the rare class, seed {seed}");
        let there = |_, w: &Window, _| if w.new && w.location == 1 { 0.1 } else { 0.01 };
        assert!(stopped_at(seed, 120, there).is_some(), "one location, seed {seed}");
        let late = |s, w: &Window, _| if w.new && s > 30 { 0.1 } else { 0.01 };
        assert!(stopped_at(seed, 90, late).is_some_and(|s| s > 30), "late, seed {seed}");
    }
}

/// Guards against false stops where failures come in clusters: clusters of old fronts' failures must lower
/// the weight of clusters of new fronts' failures.
#[test]
fn clustered_failures_of_old_and_new_fronts_do_not_stop() {
    let mut stopped = 0;
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed ^ 77);
        stopped += u32::from(
            stopped_at(seed, 200, |_, _, _| if random.f64() < 0.02 { 0.9 } else { 0.002 }).is_some(),
        );
    }
    assert!(stopped <= 1, "{stopped} of 40");
}

#[test]
fn a_memory_leak_of_a_new_front_stops() {
    let mut gate = Gate::new(gates(), 1, 6);
    gate.begin_stage(0.0, 60.0);
    let mut stopped = None;
    for second in 0..120 {
        let now = f64::from(second);
        let one = |front: usize, kb: f64| Window {
            front,
            run: 1,
            span: 1.0,
            location: 0,
            new: front == 0,
            young: true,
            sums: vec![],
            uses: [kb, 40.0, 0.1],
        };
        let leak = 10_000.0 + now.max(20.0) * 500.0 - 10_000.0;
        gate.observe(now, &[one(0, 12_000.0 + leak), one(1, 12_000.0), one(2, 14_000.0)], &[true]);
        if let Verdict::Worse { measure, .. } = gate.verdict(now) {
            assert_eq!(measure, Measure::Memory);
            stopped.get_or_insert(second);
        }
    }
    assert!(stopped.is_some_and(|s| (20..60).contains(&s)), "{stopped:?}");
}

/// Guards against requests of new fronts that count as judged though no old front is there to compare with.
#[test]
fn requests_count_as_judged_only_with_a_comparable_old_front() {
    let mut gate = Gate::new(gates(), 1, 6);
    gate.begin_stage(0.0, 60.0);
    let one = |front: usize, new: bool, young: bool| Window {
        front,
        run: 1,
        span: 1.0,
        location: 0,
        new,
        young,
        sums: vec![ClassCounts { requests: 8.0, ..ClassCounts::default() }],
        uses: [1.0; 3],
    };
    gate.observe(1.0, &[one(0, true, true), one(1, false, false)], &[true]);
    assert_eq!(gate.judged_requests(), [0.0], "the old front there is no young one");
    gate.observe(2.0, &[one(0, true, true), one(1, false, true)], &[true]);
    assert_eq!(gate.judged_requests(), [8.0]);
    gate.observe(3.0, &[one(0, true, true)], &[true]);
    assert_eq!(gate.judged_requests(), [8.0], "the old front is in change");
    gate.observe(4.0, &[one(0, true, true), one(1, true, true)], &[false]);
    assert_eq!(gate.judged_requests(), [24.0], "none is left: they are judged by the whole fleet");
}
