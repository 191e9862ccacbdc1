//! The whole state machine over modelled fronts: every single fault and every pair, kills of the tool at every act.

use super::explore::{LENGTH, holds, holds_by, pairs, small};
use super::world::{CLASSES, FAULTS, Fault, Harm, Script, World, plan, play};
use onyxyoke::rollout::{OperatorCommand, Outcome, Record, Release};

#[test]
fn every_single_fault_ends_in_all_old_or_all_new() {
    assert_eq!(holds(&vec![], &[], &[]), Ok(Outcome::Done));
    let mut ends = std::collections::BTreeMap::new();
    for at in (0..LENGTH as u32 * 2).map(|t| f64::from(t) / 2.0) {
        for front in 0..3 {
            for fault in FAULTS {
                let end = holds(&vec![(at, front, fault)], &[], &[]).unwrap_or_else(|what| panic!("{what}"));
                *ends.entry(format!("{end:?}")).or_insert(0) += 1;
            }
        }
        for word in [OperatorCommand::Pause, OperatorCommand::Abort] {
            let end = holds(&vec![], &[(at, word), (at + 4.0, OperatorCommand::Resume)], &[]);
            assert!(end.is_ok(), "{end:?}");
        }
    }
    assert!(ends.len() >= 2, "some faults stop it, some do not: {ends:?}");
}

/// Settings that take effect in service: a process that does not heed SIGHUP is replaced, or all go back.
#[test]
fn every_single_fault_of_a_reload_ends_in_all_old_or_all_new() {
    let mut plan = small();
    plan.limits.reload = true;
    assert_eq!(holds_by(&plan, &vec![], &[], &[]), Ok(Outcome::Done));
    for at in (0..LENGTH as u32 * 2).map(|t| f64::from(t) / 2.0) {
        for front in 0..3 {
            for fault in FAULTS {
                let end = holds_by(&plan, &vec![(at, front, fault)], &[], &[]);
                assert!(end.is_ok(), "{end:?}");
            }
        }
        let end = holds_by(&plan, &vec![], &[(at, OperatorCommand::Abort)], &[]);
        assert!(end.is_ok(), "{end:?}");
    }
}

/// All pairs of faults, at every fourth second here; by hand at every second (`onyxyoke-lab rollouts --explore 1`).
#[test]
fn every_pair_of_faults_ends_in_all_old_or_all_new() {
    let ends = pairs(4.0).unwrap_or_else(|what| panic!("{what}"));
    assert!(ends.values().sum::<u64>() == 15 * 9 * 64 && ends.len() >= 2, "{ends:?}");
}

#[test]
fn killed_at_every_act_it_goes_on_to_the_end() {
    let mut world = World::new(3, 1, Harm::None);
    let played = play(&mut world, &small(), &vec![], &[], &[], |_| (0.0, None));
    for act in 0..played.records.len() * 2 {
        assert_eq!(holds(&vec![], &[], &[act]), Ok(Outcome::Done), "killed at act {act}");
        // Killed before it could keep the word, it was not heard: an operator says it again.
        let words = [(6.0, OperatorCommand::Abort), (8.0, OperatorCommand::Abort)];
        assert_eq!(holds(&vec![], &words, &[act]), Ok(Outcome::Aborted), "killed at act {act}");
        let end = holds(&vec![(4.0, 1, Fault::Crashed)], &[], &[act, act + 3]);
        assert!(end.is_ok(), "{end:?}");
    }
}

/// A planted fault of the model itself must be found, or the checks above say nothing.
#[test]
fn the_checks_find_a_front_left_without_a_process() {
    let mut world = World::new(3, 1, Harm::None);
    world.fault(1, Fault::Crashed);
    world.pass(&mut Vec::new());
    assert!(!world.serves(1) && !world.runs(Release::Old));
}

#[test]
fn what_hits_both_sides_stops_nothing() {
    for seed in 1..4 {
        let mut world = World::new(30, seed, Harm::None);
        // 46 % of the fronts end at once in the third stage.
        let script: Script = (0..30).filter(|f| f % 13 < 6).map(|f| (130.0, f, Fault::Crashed)).collect();
        let played = play(&mut world, &plan(30, seed), &script, &[], &[], |_| (0.0, None));
        assert_eq!(played.end, Some(Outcome::Done), "{played:?}");
        let mut world = World::new(30, seed, Harm::None);
        let burst = |now: f64| (if (60.0..80.0).contains(&now) { 0.4 } else { 0.0 }, None);
        let played = play(&mut world, &plan(30, seed), &vec![], &[], &[], burst);
        assert_eq!(played.end, Some(Outcome::Done), "{:?}", played.why);
        let held = |r: &Record| matches!(r, Record::Paused(_));
        assert!(played.records.iter().any(held), "nothing is changed in a burst");
    }
}

#[test]
fn harm_is_stopped_before_it_reaches_many() {
    let mut late = 0;
    for seed in 1..11 {
        for class in [None, Some(0)] {
            let harm = Harm::Unserved { share: 0.1, class, location: None, after: 0.0 };
            let mut world = World::new(100, seed, harm);
            let played = play(&mut world, &plan(100, seed), &vec![], &[], &[], |_| (0.0, None));
            assert_eq!(played.end, Some(Outcome::Stopped), "seed {seed}");
            late += usize::from(played.stage > 1);
            assert!((world.harmed as f64) < 0.02 * world.asked as f64);
        }
    }
    assert!(late <= 2, "{late} of 20 after the second stage; classes are {CLASSES:?}");
}

/// Spans and limits of the rollouts that process tests play: the soak is shorter than the time for which memory has to be
/// over its bound.
fn with_a_short_soak(seed: u64) -> onyxyoke::rollout::Plan {
    let mut plan = plan(12, seed);
    let s = &mut plan.spans;
    (s.watch_s, s.soak_s, s.longest_stage_s, s.longest_s) = (3.0, 3.0, 25.0, 120.0);
    (s.window_s, s.stale_s, s.warm_s, s.patience_s, s.silent_s) = (0.5, 2.0, 4.0, 8.0, 2.0);
    plan.limits.stages = vec![0.25, 1.0];
    plan.limits.at_once = 0.5;
    (plan.gates.least_requests, plan.gates.not_awaited) = (3.0, vec![1]);
    plan
}

/// A stage passed while memory was over its bound for less than `uses_s`, so that a rollout with short stages was over
/// before it was stopped.
#[test]
fn a_leak_is_stopped_however_short_the_soak() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::Leak(12_000.0, 0.0));
        let played = play(&mut world, &with_a_short_soak(seed), &vec![], &[], &[], |_| (0.0, None));
        assert_eq!((played.end, played.stage), (Some(Outcome::Stopped), 0), "seed {seed}: {:?}", played.why);
        assert!(played.why.is_some_and(|why| why.starts_with("memory")));
    }
}

/// Killed at any act, the tool goes on from its records: no stage waits for what cannot be seen any more.
#[test]
fn a_harmless_change_with_a_short_soak_is_done() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::None);
        let killed = [seed as usize * 3];
        let played = play(&mut world, &with_a_short_soak(seed), &vec![], &[], &killed, |_| (0.0, None));
        assert_eq!(played.end, Some(Outcome::Done), "seed {seed}: {:?}", played.why);
    }
}

/// The rollout `troubles_of_both_sides_stop_nothing` went back 8 s after the whole had done worse, though that was over by
/// then: what was worse at first was still among the requests of the last 10 s.
#[test]
fn a_trouble_of_both_sides_that_ends_in_time_stops_nothing() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::None);
        let trouble = |now: f64| (if (8.0..12.0).contains(&now) { 0.4 } else { 0.0 }, None);
        let played = play(&mut world, &with_a_short_soak(seed), &vec![], &[], &[], trouble);
        assert_eq!(played.end, Some(Outcome::Done), "seed {seed}: {:?}", played.why);
        assert!(played.records.iter().any(|r| matches!(r, Record::Paused(_))), "seed {seed}: it was seen");
    }
}

/// Harm to neighbours shows in the whole alone, and lasts.
#[test]
fn a_whole_that_stays_worse_is_brought_back() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::Neighbours(0.9));
        let played = play(&mut world, &with_a_short_soak(seed), &vec![], &[], &[], |_| (0.0, None));
        assert_eq!(played.end, Some(Outcome::Stopped), "seed {seed}: {:?}", played.why);
    }
}
