//! Tests of `slow_start.rs`.

use super::*;

const SLOW_START: SlowStart =
    SlowStart { initial_share: 0.2, ramp_s: 10.0, overload_multiple: 2.0, window_s: 1.0, sharers: 200.0 };

/// Simulates 200 fronts, each of which would send `rate` attempts per second and estimates `estimated_rate`.
/// Returns the highest work in a window relative to what the node bears then, and the share of the attempts
/// that were admitted.
fn simulate(rate: f64, estimated_rate: f64) -> (f64, f64) {
    let (link, work) = (4.0, 0.2);
    let mut random = fastrand::Rng::with_seed(3);
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let (mut attempts, mut worst) = (0, 0.0f64);
    let mut last = vec![f64::MIN; 200];
    for step in 0..10_000 {
        let now = 100.0 + f64::from(step) * 0.001;
        for (me, last) in last.iter_mut().enumerate() {
            if random.f64() >= rate * 0.001 {
                continue;
            }
            attempts += 1;
            let recent_work = if *last + SLOW_START.window_s > now { work } else { 0.0 };
            let seed = me as u64 * 7919;
            if SLOW_START.admits(SlowStartRequest {
                now,
                ready_at: 100.0,
                link,
                work,
                recent_work,
                rate: estimated_rate,
                seed,
            }) {
                *last = now;
                sent.push((now, work));
            }
        }
        let window_work: f64 =
            sent.iter().rev().take_while(|s| s.0 > now - SLOW_START.window_s).map(|s| s.1).sum();
        worst = worst.max(
            window_work
                / (SLOW_START.overload_multiple
                    * SLOW_START.capacity_share(now, 100.0)
                    * link
                    * SLOW_START.window_s),
        );
    }
    (worst, sent.len() as f64 / f64::from(attempts))
}

#[test]
fn fronts_with_few_requests_use_most_of_the_budget_and_never_exceed_it() {
    let (worst, admitted) = simulate(0.04, 0.04);
    assert!(admitted > 0.5, "equal turns for all fronts would admit a twentieth: {admitted}");
    assert!(worst < 0.9, "{worst}");
    for rate in [0.1, 0.5, 3.0] {
        let (worst, _) = simulate(rate, rate);
        assert!(worst < 1.0, "{worst} of the budget at {rate} per second");
    }
    let (worst, _) = simulate(0.08, 0.04);
    assert!(worst < 1.0, "demand is twice the estimate: {worst}");
}

#[test]
fn warm_node_admits_everything() {
    let request = SlowStartRequest {
        now: 100.0,
        ready_at: 90.0,
        link: 0.1,
        work: 9.0,
        recent_work: 9.0,
        rate: 9.0,
        seed: 1,
    };
    assert!(SLOW_START.admits(request) && SLOW_START.admits(SlowStartRequest { ready_at: 0.0, ..request }));
    assert!((SLOW_START.capacity_share(95.0, 90.0) - 0.6).abs() < 1e-9);
}

/// A fleet that sends to a node that starts cold.
struct Fleet {
    fronts: usize,
    /// Mean rate of a front's attempts (per second).
    rate: f64,
    /// Rate of the busy fronts, one in five, relative to that of the others.
    busy: f64,
    /// Factor on all rates for some seconds that no front's estimate includes.
    burst: f64,
}

/// Simulates a fleet and returns the highest excess of attempts over N, the number that the node bears at the
/// time: as a multiple of the root of N, and beyond N + 2 x root of N + 2. Fronts learn of the node up to 2 s
/// late, and three in ten are restarted while it is cold and lose the record of what they sent to it; each
/// knows its own rate.
fn simulate_excess(cold: SlowStart, link: f64, fleet: &Fleet, seed: u64) -> (f64, f64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (work, step, begin) = (0.25, 0.005, 1000.0);
    let cold = SlowStart { sharers: fleet.fronts as f64, ..cold };
    struct Front {
        rate: f64,
        learned_at: f64,
        restart_at: f64,
        sent: Vec<f64>,
        me: u64,
    }
    let base_rate = fleet.rate / (0.8 + 0.2 * fleet.busy);
    let mut fronts: Vec<Front> = (0..fleet.fronts)
        .map(|me| Front {
            rate: if me % 5 == 0 { fleet.busy * base_rate } else { base_rate },
            learned_at: begin + 2.0 * random.f64(),
            restart_at: if me % 10 < 3 { begin + 1.0 + 3.0 * random.f64() } else { f64::INFINITY },
            sent: Vec::new(),
            me: me as u64,
        })
        .collect();
    let (mut arrivals, mut most, mut beyond) = (Vec::new(), f64::MIN, f64::MIN);
    for i in 0..(cold.ramp_s / step) as usize {
        let now = begin + i as f64 * step;
        let factor = if (3.0..6.0).contains(&(now - begin)) { fleet.burst } else { 1.0 };
        for front in &mut fronts {
            if now >= front.restart_at {
                (front.restart_at, front.sent) = (f64::INFINITY, Vec::new());
            }
            if now < front.learned_at || random.f64() >= factor * front.rate * step {
                continue;
            }
            let recent_work = front.sent.iter().filter(|&&at| at + cold.window_s > now).count() as f64 * work;
            let seed = 77 ^ front.me << 32;
            if cold.admits(SlowStartRequest {
                now,
                ready_at: begin,
                link,
                work,
                recent_work,
                rate: front.rate,
                seed,
            }) {
                front.sent.push(now);
                arrivals.push(now);
            }
        }
        let recent = arrivals.iter().rev().take_while(|&&at| at > now - cold.window_s).count() as f64;
        let bearable = cold.overload_multiple * cold.capacity_share(now, begin) * link * cold.window_s / work;
        most = most.max((recent - bearable) / bearable.sqrt());
        beyond = beyond.max(recent - bearable - 2.0 * bearable.sqrt() - 2.0);
    }
    (most, beyond)
}

/// A fleet must not overload a cold node, whatever its size and however its traffic is distributed over the
/// fronts.
#[test]
fn fleets_of_any_size_do_not_overload_a_cold_node() {
    let thin =
        SlowStart { initial_share: 0.2, ramp_s: 12.0, overload_multiple: 2.0, window_s: 1.0, sharers: 0.0 };
    let wide =
        SlowStart { initial_share: 0.4, ramp_s: 9.0, overload_multiple: 3.0, window_s: 2.0, sharers: 0.0 };
    for fronts in [1, 2, 6, 20, 30, 300] {
        for (name, cold, link) in [("thin", thin, 2.0), ("wide", wide, 8.0)] {
            // The load of the fleet is relative to the capacity of the warm node.
            for (load, busy, burst) in [(0.5, 1.0, 1.0), (1.0, 5.0, 1.0), (1.0, 8.0, 2.0), (3.0, 5.0, 1.0)] {
                let rate = load * link / 0.25 / fronts as f64;
                let fleet = Fleet { fronts, rate, busy, burst };
                for seed in 1..=3 {
                    let (most, beyond) = simulate_excess(cold, link, &fleet, seed);
                    assert!(
                        beyond <= 0.0,
                        "{fronts} fronts at a {name} node, load {load}, busy {busy}, burst {burst}, \
                         seed {seed}: {most:.2} times the root of N over N"
                    );
                }
            }
        }
    }
}
