//! Every single fault and every pair of them over a small rollout: three fronts, two stages. What must hold whatever
//! happens: it ends, all fronts run what its end says, and a front none of whose processes ended by itself always had
//! one that serves.

use super::world::{FAULTS, Harm, Script, World, plan, play};
use onyxyoke::rollout::{OperatorCommand, Outcome, Plan, Record, Release};
use std::collections::BTreeMap;

/// A rollout without a fault is over by then (seconds).
pub const LENGTH: f64 = 18.0;

/// Three fronts and two stages, in times that make a rollout short.
pub fn small() -> Plan {
    let mut plan = plan(3, 1);
    plan.fronts.iter_mut().for_each(|f| f.location = "branch0".into());
    plan.limits.stages = vec![1.0];
    let s = &mut plan.spans;
    (s.watch_s, s.soak_s, s.longest_stage_s, s.longest_s) = (1.0, 2.0, 40.0, 120.0);
    (s.warm_s, s.patience_s) = (2.0, 10.0);
    // A second of watching says nothing of what is usual.
    (plan.gates.least_requests, plan.gates.whole) = (0.0, 0.5);
    plan
}

/// Plays it with these faults, words of the operator, and kills of the tool after so many acts; how it ended, or what
/// did not hold.
pub fn holds(script: &Script, words: &[(f64, OperatorCommand)], killed: &[usize]) -> Result<Outcome, String> {
    holds_by(&small(), script, words, killed)
}

/// The same by another plan.
pub fn holds_by(
    plan: &Plan,
    script: &Script,
    words: &[(f64, OperatorCommand)],
    killed: &[usize],
) -> Result<Outcome, String> {
    let mut world = World::new(3, 1, Harm::None);
    let played = play(&mut world, plan, script, words, killed, |_| (0.0, None));
    let held = match played.end {
        _ if played.broken.is_some() => false,
        Some(Outcome::Done) => world.runs(Release::New),
        Some(Outcome::Stopped | Outcome::Aborted) => world.runs(Release::Old),
        Some(Outcome::Failed) => played.records.iter().any(|r| matches!(r, Record::RollbackFailed(_))),
        None => false,
    };
    let end = played.end.filter(|_| held);
    end.ok_or_else(|| format!("{script:?} {words:?} {killed:?}: {played:?}"))
}

/// All pairs of faults, the first at every `step` seconds and the second at every `step` seconds from it on, at any two
/// fronts; how many ended how, or the first that did not hold.
pub fn pairs(step: f64) -> Result<BTreeMap<String, u64>, String> {
    let times = || (0..).map(|i| f64::from(i) * step).take_while(|t| *t < LENGTH);
    let mut ends = BTreeMap::new();
    for first in times() {
        for second in times().filter(|t| *t >= first) {
            for (a, b) in (0..3).flat_map(|a| (0..3).map(move |b| (a, b))) {
                for x in FAULTS {
                    for y in FAULTS {
                        let end = holds(&vec![(first, a, x), (second, b, y)], &[], &[])?;
                        *ends.entry(format!("{end:?}").to_lowercase()).or_insert(0) += 1;
                    }
                }
            }
        }
    }
    Ok(ends)
}
