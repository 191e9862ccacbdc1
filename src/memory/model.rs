//! A state model of the accounts for random steps with a fixed seed: each account holds the sum of its
//! grants, no cap, guarantee or reserve is ever violated, and nothing is held once all grants are dropped.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

const TEAMS: u16 = 3;

#[derive(Debug, Clone)]
enum Step {
    Acquire { purpose: u8, team: u8, may_use_reserve: bool, bytes: u16 },
    Grow { which: u8, bytes: u16 },
    Shrink { which: u8, bytes: u16 },
    Split { which: u8, bytes: u16 },
    Join { a: u8, b: u8 },
    Drop(u8),
    Replan { caps: u8 },
    Observe(u16),
}

/// A fault that is injected to check that the model finds it.
#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    None,
    Leak,
    DoubleRelease,
}

fn plan(caps: u8) -> Plan {
    let mut limits = [Limit::default(); PURPOSES];
    for (i, limit) in limits.iter_mut().enumerate() {
        let cap = 20_000 + 3_000 * i + 100 * usize::from(caps);
        *limit = Limit { guarantee: 6_000 + 500 * i, cap, reserve: if i % 2 == 0 { 2_000 } else { 0 } };
    }
    Plan { total: 110_000, limits, team_share: 0.6 }
}

struct OwnedGrant {
    grant: Grant,
    owner: AccountOwner,
}

fn run_steps(steps: &[Step], fault: InjectedFault) -> Result<(), TestCaseError> {
    let ledger = Ledger::new(plan(100), usize::from(TEAMS));
    let mut held: Vec<OwnedGrant> = Vec::new();
    // A lower cap does not drop what is held, so caps are checked until the first change of plan.
    let mut replanned = false;
    let mut observed = 0;
    for step in steps {
        let pick = |which: u8, held: &Vec<OwnedGrant>| {
            (!held.is_empty()).then(|| usize::from(which) % held.len().max(1))
        };
        match *step {
            Step::Acquire { purpose, team, may_use_reserve, bytes } => {
                let purpose = Purpose::ALL[usize::from(purpose) % (PURPOSES - 1)];
                let team = Some(u16::from(team)).filter(|t| *t < TEAMS);
                let owner = AccountOwner { purpose, team, may_use_reserve };
                let before = ledger.accounts().snapshot(purpose);
                let used = |may_use_reserve| {
                    held.iter()
                        .filter(|h| h.owner.purpose == purpose && h.owner.may_use_reserve == may_use_reserve)
                        .map(|h| h.grant.bytes())
                        .sum::<usize>()
                };
                let (ordinary, priority) = (used(false), used(true));
                let limit = ledger.accounts().plan().limits[purpose as usize];
                match ledger.acquire(owner, bytes.into()) {
                    Ok(grant) => held.push(OwnedGrant { grant, owner }),
                    Err(refused) => {
                        prop_assert_eq!(refused.purpose, purpose);
                        let after = ledger.accounts().snapshot(purpose);
                        prop_assert_eq!((after.now, after.refused), (before.now, before.refused + 1));
                        let wanted = usize::from(bytes);
                        let in_reserve = may_use_reserve && priority + wanted <= limit.reserve;
                        let in_guarantee = !may_use_reserve
                            && ordinary + wanted + priority.max(limit.reserve) <= limit.guarantee;
                        let team_fits = team.is_none_or(|t| {
                            ledger.accounts().used_by(purpose, t) + wanted
                                <= ledger.accounts().plan().team_cap(purpose)
                        });
                        let over_cap = ordinary + priority.max(limit.reserve) > limit.cap;
                        prop_assert!(
                            !team_fits || over_cap || !(in_reserve || in_guarantee),
                            "refused a request within a guarantee: {:?}",
                            step
                        );
                    }
                }
            }
            Step::Grow { which, bytes } => {
                if let Some(i) = pick(which, &held) {
                    let before = held[i].grant.bytes();
                    let grown = held[i].grant.grow(bytes.into()).is_ok();
                    prop_assert_eq!(
                        held[i].grant.bytes(),
                        before + if grown { usize::from(bytes) } else { 0 }
                    );
                }
            }
            Step::Shrink { which, bytes } => {
                if let Some(i) = pick(which, &held) {
                    held[i].grant.shrink(bytes.into());
                }
            }
            Step::Split { which, bytes } => {
                if let Some(i) = pick(which, &held) {
                    let grant = held[i].grant.split(bytes.into());
                    let owner = held[i].owner;
                    held.push(OwnedGrant { grant, owner });
                }
            }
            Step::Join { a, b } => {
                if let (Some(a), Some(b)) = (pick(a, &held), pick(b, &held))
                    && a != b
                {
                    let other = held.swap_remove(b);
                    let a = if a == held.len() { b } else { a };
                    let same_owner = held[a].owner == other.owner;
                    match held[a].grant.join(other.grant) {
                        Ok(()) => prop_assert!(same_owner, "joined grants of two owners"),
                        Err(grant) => {
                            prop_assert!(!same_owner);
                            held.push(OwnedGrant { grant, owner: other.owner });
                        }
                    }
                }
            }
            Step::Drop(which) => {
                if let Some(i) = pick(which, &held) {
                    let removed = held.swap_remove(i);
                    let (owner, bytes) = (removed.owner, removed.grant.bytes());
                    match fault {
                        InjectedFault::Leak => std::mem::forget(removed),
                        InjectedFault::DoubleRelease if bytes > 0 => {
                            drop(removed);
                            let team = owner.team.unwrap_or(accounts::NO_TEAM);
                            let mut accounts = ledger.accounts_mut();
                            if accounts.used(owner.purpose) < bytes || owner.team.is_some() {
                                return Err(TestCaseError::fail("released more than it holds"));
                            }
                            accounts.release(owner.purpose, team, owner.may_use_reserve, 1);
                        }
                        _ => drop(removed),
                    }
                }
            }
            Step::Replan { caps } => {
                ledger.accounts_mut().replan(plan(caps));
                replanned = true;
            }
            Step::Observe(bytes) => {
                observed = usize::from(bytes) % 10_000;
                ledger.accounts_mut().observe(observed);
            }
        }
        let accounts = ledger.accounts();
        for purpose in Purpose::ALL {
            let of = |h: &&OwnedGrant| h.owner.purpose == purpose;
            let granted: usize = held.iter().filter(of).map(|h| h.grant.bytes()).sum();
            let snapshot = accounts.snapshot(purpose);
            let granted = if purpose == Purpose::Program { observed } else { granted };
            prop_assert_eq!(
                snapshot.now,
                granted,
                "the sum of grants differs from account {}",
                purpose.name()
            );
            prop_assert!(replanned || snapshot.now <= snapshot.cap, "{} is over its cap", purpose.name());
            prop_assert!(
                snapshot.peak >= snapshot.now
                    && snapshot.borrowed == snapshot.now.saturating_sub(snapshot.guarantee)
            );
            for team in 0..TEAMS {
                let mine = held.iter().filter(of).filter(|h| h.owner.team == Some(team));
                prop_assert_eq!(
                    accounts.used_by(purpose, team),
                    mine.map(|h| h.grant.bytes()).sum::<usize>()
                );
            }
        }
        prop_assert!(accounts.sum() <= accounts.plan().total, "over the front's total");
    }
    drop(held);
    ledger.accounts_mut().observe(0);
    prop_assert_eq!(ledger.accounts().sum(), 0, "bytes are held after all grants were dropped");
    Ok(())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        10 => (any::<u8>(), 0u8..5, any::<bool>(), 0u16..6_000).prop_map(
            |(purpose, team, may_use_reserve, bytes)| Step::Acquire { purpose, team, may_use_reserve, bytes }
        ),
        4 => (any::<u8>(), 0u16..6_000).prop_map(|(which, bytes)| Step::Grow { which, bytes }),
        2 => (any::<u8>(), 0u16..6_000).prop_map(|(which, bytes)| Step::Shrink { which, bytes }),
        3 => (any::<u8>(), 0u16..6_000).prop_map(|(which, bytes)| Step::Split { which, bytes }),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::Join { a, b }),
        4 => any::<u8>().prop_map(Step::Drop),
        1 => (0u8..200).prop_map(|caps| Step::Replan { caps }),
        1 => any::<u16>().prop_map(Step::Observe),
    ];
    vec(step, 1..200)
}

fn check(fault: InjectedFault) -> Result<(), TestError<Vec<Step>>> {
    let config = Config { cases: 400, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&steps(), |steps| run_steps(&steps, fault))
}

#[test]
fn random_steps_violate_no_invariant() {
    check(InjectedFault::None).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn injected_leak_and_injected_double_release_are_found() {
    let leak = check(InjectedFault::Leak).unwrap_err().to_string();
    assert!(leak.contains("the sum of grants"), "{leak}");
    let double_release = check(InjectedFault::DoubleRelease).unwrap_err().to_string();
    assert!(
        double_release.contains("the sum of grants") || double_release.contains("more than it holds"),
        "{double_release}"
    );
}

/// Guarantees and reserves stay available even when other accounts have borrowed the whole shared remainder.
#[test]
fn guarantees_and_reserves_stay_available_when_the_remainder_is_used_up() {
    let ledger = Ledger::new(plan(100), 0);
    let mut all = Vec::new();
    for purpose in Purpose::ALL.into_iter().filter(|p| *p != Purpose::Program) {
        let mut grant = ledger.empty_grant(AccountOwner::of(purpose));
        while grant.grow(500).is_ok() {}
        all.push(grant);
    }
    let refused = ledger.acquire(AccountOwner::of(Purpose::Clients), 1_000).unwrap_err();
    assert_eq!(refused.purpose, Purpose::Clients);
    for purpose in [Purpose::Clients, Purpose::Bodies, Purpose::Unread] {
        let priority = AccountOwner { may_use_reserve: true, ..AccountOwner::of(purpose) };
        let reserve = plan(100).limits[purpose as usize].reserve;
        all.push(ledger.acquire(priority, reserve).expect("the reserve"));
    }
    // Each account reports its refusals once, and its recovery once.
    let refusals_began = |n: &Notice| matches!(n, Notice::RefusalsBegan(_));
    let first = ledger.accounts_mut().tick();
    assert!(first.iter().all(refusals_began) && first.len() == PURPOSES - 1, "{first:?}");
    assert!(ledger.accounts_mut().tick().is_empty());
    all.clear();
    let later: Vec<Notice> = (0..20).flat_map(|_| ledger.accounts_mut().tick()).collect();
    assert!(later.len() == PURPOSES - 1 && !later.iter().any(refusals_began), "{later:?}");
}
