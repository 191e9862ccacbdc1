//! Tests of `cold.rs`.

use super::*;

const COLD: SlowStart = SlowStart { from: 0.2, time: 10.0, multiple: 2.0, window: 1.0, sharers: 200.0 };

/// 200 fronts that want to send at a rate each; the most work within a window, by what the node bears
/// then, and how many of the attempts are let through.
fn play(rate: f64, told: f64) -> (f64, f64) {
    let (link, work) = (4.0, 0.2);
    let mut random = fastrand::Rng::with_seed(3);
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let (mut asked, mut worst) = (0, 0.0f64);
    let mut last = vec![f64::MIN; 200];
    for step in 0..10_000 {
        let now = 100.0 + f64::from(step) * 0.001;
        for (me, last) in last.iter_mut().enumerate() {
            if random.f64() >= rate * 0.001 {
                continue;
            }
            asked += 1;
            let lately = if *last + COLD.window > now { work } else { 0.0 };
            let seed = me as u64 * 7919;
            if COLD.admits(SlowStartRequest {
                now,
                ready_at: 100.0,
                link,
                work,
                recent_work: lately,
                rate: told,
                seed,
            }) {
                *last = now;
                sent.push((now, work));
            }
        }
        let lately: f64 = sent.iter().rev().take_while(|s| s.0 > now - COLD.window).map(|s| s.1).sum();
        worst = worst.max(lately / (COLD.multiple * COLD.capacity_share(now, 100.0) * link * COLD.window));
    }
    (worst, sent.len() as f64 / f64::from(asked))
}

#[test]
fn fronts_that_see_little_use_the_budget_and_never_spend_it() {
    let (worst, through) = play(0.04, 0.04);
    assert!(through > 0.5, "in equal turns of all fronts it were a twentieth: {through}");
    assert!(worst < 0.9, "{worst}");
    for rate in [0.1, 0.5, 3.0] {
        let (worst, _) = play(rate, rate);
        assert!(worst < 1.0, "{worst} of the budget at {rate} a second");
    }
    let (worst, _) = play(0.08, 0.04);
    assert!(worst < 1.0, "they want twice what they are taken to: {worst}");
}

#[test]
fn a_warm_node_takes_all() {
    let request = SlowStartRequest {
        now: 100.0,
        ready_at: 90.0,
        link: 0.1,
        work: 9.0,
        recent_work: 9.0,
        rate: 9.0,
        seed: 1,
    };
    assert!(COLD.admits(request) && COLD.admits(SlowStartRequest { ready_at: 0.0, ..request }));
    assert!((COLD.capacity_share(95.0, 90.0) - 0.6).abs() < 1e-9);
}

/// A fleet at a node that starts cold: how many fronts, what one wants of it in the mean (attempts a second), how many times
/// that one in five wants (the busy ones), how many times as much all want for a while, as no front expects.
struct Fleet {
    fronts: usize,
    rate: f64,
    busy: f64,
    burst: f64,
}

/// Calls beyond the N that the node bears at the time, in times the root of N, at their most, and at most beyond
/// N + 2 x root of N + 2. Fronts hear of the node up to 2 s late, three in ten are restarted while it is cold and have
/// forgotten what they sent it; each knows its own rate.
fn excess(cold: SlowStart, link: f64, fleet: &Fleet, seed: u64) -> (f64, f64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (work, step, begin) = (0.25, 0.005, 1000.0);
    let cold = SlowStart { sharers: fleet.fronts as f64, ..cold };
    struct Front {
        rate: f64,
        heard: f64,
        restarted: f64,
        sent: Vec<f64>,
        me: u64,
    }
    let quiet = fleet.rate / (0.8 + 0.2 * fleet.busy);
    let mut fronts: Vec<Front> = (0..fleet.fronts)
        .map(|me| Front {
            rate: if me % 5 == 0 { fleet.busy * quiet } else { quiet },
            heard: begin + 2.0 * random.f64(),
            restarted: if me % 10 < 3 { begin + 1.0 + 3.0 * random.f64() } else { f64::INFINITY },
            sent: Vec::new(),
            me: me as u64,
        })
        .collect();
    let (mut came, mut most, mut beyond) = (Vec::new(), f64::MIN, f64::MIN);
    for i in 0..(cold.time / step) as usize {
        let now = begin + i as f64 * step;
        let times = if (3.0..6.0).contains(&(now - begin)) { fleet.burst } else { 1.0 };
        for front in &mut fronts {
            if now >= front.restarted {
                (front.restarted, front.sent) = (f64::INFINITY, Vec::new());
            }
            if now < front.heard || random.f64() >= times * front.rate * step {
                continue;
            }
            let lately = front.sent.iter().filter(|&&at| at + cold.window > now).count() as f64 * work;
            let seed = 77 ^ front.me << 32;
            if cold.admits(SlowStartRequest {
                now,
                ready_at: begin,
                link,
                work,
                recent_work: lately,
                rate: front.rate,
                seed,
            }) {
                front.sent.push(now);
                came.push(now);
            }
        }
        let lately = came.iter().rev().take_while(|&&at| at > now - cold.window).count() as f64;
        let bears = cold.multiple * cold.capacity_share(now, begin) * link * cold.window / work;
        most = most.max((lately - bears) / bears.sqrt());
        beyond = beyond.max(lately - bears - 2.0 * bears.sqrt() - 2.0);
    }
    (most, beyond)
}

/// A fleet may not push a cold node over, whatever its size, and whoever in it sees most of the traffic.
#[test]
fn fleets_of_any_size_leave_a_cold_node_standing() {
    let thin = SlowStart { from: 0.2, time: 12.0, multiple: 2.0, window: 1.0, sharers: 0.0 };
    let wide = SlowStart { from: 0.4, time: 9.0, multiple: 3.0, window: 2.0, sharers: 0.0 };
    for fronts in [1, 2, 6, 20, 30, 300] {
        for (name, cold, link) in [("thin", thin, 2.0), ("wide", wide, 8.0)] {
            // All together want as much as the node could do when warm, half of that, and three times that.
            for (load, busy, burst) in [(0.5, 1.0, 1.0), (1.0, 5.0, 1.0), (1.0, 8.0, 2.0), (3.0, 5.0, 1.0)] {
                let rate = load * link / 0.25 / fronts as f64;
                let fleet = Fleet { fronts, rate, busy, burst };
                for seed in 1..=3 {
                    let (most, beyond) = excess(cold, link, &fleet, seed);
                    assert!(
                        beyond <= 0.0,
                        "{fronts} fronts at a {name} node, load {load}, busy {busy}, burst {burst}, seed {seed}: \
                         {most:.2} times the root of N over N"
                    );
                }
            }
        }
    }
}
