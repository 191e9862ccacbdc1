//! The rollout's state machine over modelled fronts: single faults, pairs of faults, kills of the tool at
//! each action.

use super::explore::{SMALL_ROLLOUT_S, play_checked, play_fault_pairs, play_plan_checked, small_plan};
use super::world::{CLASSES, FAULTS, Fault, Harm, Script, World, plan, play};
use onyxyoke::rollout::{OperatorCommand, Outcome, Record, Release};

#[test]
fn single_faults_end_with_all_fronts_on_one_side() {
    assert_eq!(play_checked(&vec![], &[], &[]), Ok(Outcome::Done));
    let mut ends = std::collections::BTreeMap::new();
    for at in (0..SMALL_ROLLOUT_S as u32 * 2).map(|t| f64::from(t) / 2.0) {
        for front in 0..3 {
            for fault in FAULTS {
                let end = play_checked(&vec![(at, front, fault)], &[], &[])
                    .unwrap_or_else(|violation| panic!("{violation}"));
                *ends.entry(format!("{end:?}")).or_insert(0) += 1;
            }
        }
        for command in [OperatorCommand::Pause, OperatorCommand::Abort] {
            let end = play_checked(&vec![], &[(at, command), (at + 4.0, OperatorCommand::Resume)], &[]);
            assert!(end.is_ok(), "{end:?}");
        }
    }
    assert!(ends.len() >= 2, "some faults stop it, some do not: {ends:?}");
}

/// With a reload of settings, a process that ignores SIGHUP is replaced, or all fronts are rolled back.
#[test]
fn single_faults_during_a_reload_end_with_all_fronts_on_one_side() {
    let mut plan = small_plan();
    plan.limits.reload = true;
    assert_eq!(play_plan_checked(&plan, &vec![], &[], &[]), Ok(Outcome::Done));
    for at in (0..SMALL_ROLLOUT_S as u32 * 2).map(|t| f64::from(t) / 2.0) {
        for front in 0..3 {
            for fault in FAULTS {
                let end = play_plan_checked(&plan, &vec![(at, front, fault)], &[], &[]);
                assert!(end.is_ok(), "{end:?}");
            }
        }
        let end = play_plan_checked(&plan, &vec![], &[(at, OperatorCommand::Abort)], &[]);
        assert!(end.is_ok(), "{end:?}");
    }
}

/// Plays the pairs at every fourth second; `onyxyoke-lab rollouts --explore 1` plays them at every second.
#[test]
fn fault_pairs_end_with_all_fronts_on_one_side() {
    let ends = play_fault_pairs(4.0).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(ends.values().sum::<u64>() == 15 * 9 * 64 && ends.len() >= 2, "{ends:?}");
}

#[test]
fn tool_killed_at_any_action_continues_to_the_end() {
    let mut world = World::new(3, 1, Harm::None);
    let played = play(&mut world, &small_plan(), &vec![], &[], &[], |_| (0.0, None));
    for action in 0..played.records.len() * 2 {
        assert_eq!(play_checked(&vec![], &[], &[action]), Ok(Outcome::Done), "killed at action {action}");
        // A command that was not recorded before the kill is lost, so the operator repeats it.
        let commands = [(6.0, OperatorCommand::Abort), (8.0, OperatorCommand::Abort)];
        assert_eq!(
            play_checked(&vec![], &commands, &[action]),
            Ok(Outcome::Aborted),
            "killed at action {action}"
        );
        let end = play_checked(&vec![(4.0, 1, Fault::Crashed)], &[], &[action, action + 3]);
        assert!(end.is_ok(), "{end:?}");
    }
}

/// The checks detect a front without a process; otherwise the tests above would prove nothing.
#[test]
fn checks_detect_a_front_without_a_process() {
    let mut world = World::new(3, 1, Harm::None);
    world.inject_fault(1, Fault::Crashed);
    world.advance(&mut Vec::new());
    assert!(!world.has_serving_process(1) && !world.all_run(Release::Old));
}

#[test]
fn failures_on_both_sides_do_not_stop_a_rollout() {
    for seed in 1..4 {
        let mut world = World::new(30, seed, Harm::None);
        // 46 % of the fronts crash at once in the third stage.
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
fn harmful_change_is_stopped_early() {
    let mut late = 0;
    for seed in 1..11 {
        for class in [None, Some(0)] {
            let harm = Harm::Unserved { share: 0.1, class, location: None, after: 0.0 };
            let mut world = World::new(100, seed, harm);
            let played = play(&mut world, &plan(100, seed), &vec![], &[], &[], |_| (0.0, None));
            assert_eq!(played.end, Some(Outcome::Stopped), "seed {seed}");
            late += usize::from(played.stage > 1);
            assert!((world.harmed as f64) < 0.02 * world.requests as f64);
        }
    }
    assert!(late <= 2, "{late} of 20 after the second stage; classes are {CLASSES:?}");
}

/// Returns a plan with the spans and limits of the process tests' rollouts. The soak is shorter than the time
/// for which memory has to be over its bound.
fn short_soak_plan(seed: u64) -> onyxyoke::rollout::Plan {
    let mut plan = plan(12, seed);
    let s = &mut plan.spans;
    (s.watch_s, s.soak_s, s.longest_stage_s, s.longest_s) = (3.0, 3.0, 25.0, 120.0);
    (s.window_s, s.stale_s, s.warm_s, s.patience_s, s.silent_s) = (0.5, 2.0, 4.0, 8.0, 2.0);
    plan.limits.stages = vec![0.25, 1.0];
    plan.limits.at_once = 0.5;
    (plan.gates.least_requests, plan.gates.not_awaited) = (3.0, vec![1]);
    plan
}

/// Guards against a rollout with short stages that ends before a leak stops it: each stage passed while
/// memory was over its bound for less than `uses_s`.
#[test]
fn leak_is_stopped_with_a_short_soak() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::Leak(12_000.0, 0.0));
        let played = play(&mut world, &short_soak_plan(seed), &vec![], &[], &[], |_| (0.0, None));
        assert_eq!((played.end, played.stage), (Some(Outcome::Stopped), 0), "seed {seed}: {:?}", played.why);
        assert!(played.why.is_some_and(|why| why.starts_with("memory")));
    }
}

/// A killed tool continues from its records: no stage waits for an observation that can't come any more.
#[test]
fn harmless_change_with_a_short_soak_completes_after_a_kill() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::None);
        let killed = [seed as usize * 3];
        let played = play(&mut world, &short_soak_plan(seed), &vec![], &[], &killed, |_| (0.0, None));
        assert_eq!(played.end, Some(Outcome::Done), "seed {seed}: {:?}", played.why);
    }
}

/// Guards against a rollback for failures of both sides that are over: the rollout of
/// `troubles_of_both_sides_stop_nothing` was rolled back 8 s after the whole had got worse, since the
/// failures were still among the requests of the last 10 s.
#[test]
fn short_failures_on_both_sides_do_not_stop_a_rollout() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::None);
        let trouble = |now: f64| (if (8.0..12.0).contains(&now) { 0.4 } else { 0.0 }, None);
        let played = play(&mut world, &short_soak_plan(seed), &vec![], &[], &[], trouble);
        assert_eq!(played.end, Some(Outcome::Done), "seed {seed}: {:?}", played.why);
        assert!(played.records.iter().any(|r| matches!(r, Record::Paused(_))), "seed {seed}: it was seen");
    }
}

/// Harm to neighbours shows only in the whole, not in a comparison of the sides, and lasts.
#[test]
fn lasting_harm_to_neighbours_is_rolled_back() {
    for seed in 1..31 {
        let mut world = World::new(12, seed, Harm::Neighbours(0.9));
        let played = play(&mut world, &short_soak_plan(seed), &vec![], &[], &[], |_| (0.0, None));
        assert_eq!(played.end, Some(Outcome::Stopped), "seed {seed}: {:?}", played.why);
    }
}
