//! Plays single faults and pairs of faults over a small rollout of three fronts in two stages. Invariants:
//! the rollout ends, all fronts run the side that its outcome names, and a front without a crashed process
//! always has a serving one.

use super::world::{FAULTS, Harm, Script, World, plan, play};
use onyxyoke::rollout::{OperatorCommand, Outcome, Plan, Record, Release};
use std::collections::BTreeMap;

/// Time by which the small rollout is over without a fault (seconds).
pub const SMALL_ROLLOUT_S: f64 = 18.0;

/// Returns a plan for three fronts and two stages, with short spans.
pub fn small_plan() -> Plan {
    let mut plan = plan(3, 1);
    plan.fronts.iter_mut().for_each(|f| f.location = "branch0".into());
    plan.limits.stages = vec![1.0];
    let spans = &mut plan.spans;
    (spans.watch_s, spans.soak_s, spans.longest_stage_s, spans.longest_s) = (1.0, 2.0, 40.0, 120.0);
    (spans.warm_s, spans.patience_s) = (2.0, 10.0);
    // One second of watching is too short to learn what is usual.
    (plan.gates.least_requests, plan.gates.whole) = (0.0, 0.5);
    plan
}

/// Plays the small rollout with these faults, operators' commands and kills of the tool (as counts of
/// actions). Returns the outcome, or a description of the run if an invariant does not hold.
pub fn play_checked(
    script: &Script,
    commands: &[(f64, OperatorCommand)],
    kill_points: &[usize],
) -> Result<Outcome, String> {
    play_plan_checked(&small_plan(), script, commands, kill_points)
}

/// Plays and checks a rollout of three fronts by `plan`, as `play_checked` does by the small plan.
pub fn play_plan_checked(
    plan: &Plan,
    script: &Script,
    commands: &[(f64, OperatorCommand)],
    kill_points: &[usize],
) -> Result<Outcome, String> {
    let mut world = World::new(3, 1, Harm::None);
    let played = play(&mut world, plan, script, commands, kill_points, |_| (0.0, None));
    let sound = match played.end {
        _ if played.broken.is_some() => false,
        Some(Outcome::Done) => world.all_run(Release::New),
        Some(Outcome::Stopped | Outcome::Aborted) => world.all_run(Release::Old),
        Some(Outcome::Failed) => played.records.iter().any(|r| matches!(r, Record::RollbackFailed(_))),
        None => false,
    };
    let end = played.end.filter(|_| sound);
    end.ok_or_else(|| format!("{script:?} {commands:?} {kill_points:?}: {played:?}"))
}

/// Plays all pairs of faults at any two fronts, the first at each multiple of `step` seconds and the second
/// at each multiple from then on. Returns the number of rollouts by outcome, or the first violation of an
/// invariant.
pub fn play_fault_pairs(step: f64) -> Result<BTreeMap<String, u64>, String> {
    let start_times = || (0..).map(|i| f64::from(i) * step).take_while(|t| *t < SMALL_ROLLOUT_S);
    let mut ends = BTreeMap::new();
    for first in start_times() {
        for second in start_times().filter(|t| *t >= first) {
            for (front, other) in (0..3).flat_map(|a| (0..3).map(move |b| (a, b))) {
                for fault in FAULTS {
                    for second_fault in FAULTS {
                        let end = play_checked(
                            &vec![(first, front, fault), (second, other, second_fault)],
                            &[],
                            &[],
                        )?;
                        *ends.entry(format!("{end:?}").to_lowercase()).or_insert(0) += 1;
                    }
                }
            }
        }
    }
    Ok(ends)
}
