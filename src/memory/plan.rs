//! Caps, guarantees and reserves of the accounts, derived from the total and the operator's settings and
//! checked together.

use super::{PURPOSES, Purpose};

/// Limits of one account in bytes: `reserve <= guarantee <= cap`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    /// Always available to the account.
    pub guarantee: usize,
    /// Upper limit.
    pub cap: usize,
    /// Part of the guarantee that only owners with access to the reserve may use.
    pub reserve: usize,
}

/// Limits of a front's memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Upper limit of all accounts together (bytes).
    pub total: usize,
    /// Limits of the accounts, by purpose.
    pub limits: [Limit; PURPOSES],
    /// Share of each cap that one team may hold.
    pub team_share: f64,
}

/// The operator's settings for one account in bytes; limits that are left out follow from the total.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitOverrides {
    /// Sets [`Limit::guarantee`].
    pub guarantee: Option<usize>,
    /// Sets [`Limit::cap`].
    pub cap: Option<usize>,
    /// Sets [`Limit::reserve`].
    pub reserve: Option<usize>,
}

/// Default shares of the total: guarantee, cap, reserve. Guarantees are sized for the usual hour and leave a
/// quarter to be borrowed; caps are sized for the worst hour of one purpose. Reserves have room for some
/// dozens of holds with their bodies, and for the answers to them.
fn default_shares(purpose: Purpose) -> (f64, f64, f64) {
    match purpose {
        Purpose::Clients => (0.12, 0.30, 0.0),
        Purpose::Caches => (0.10, 0.20, 0.0),
        Purpose::Bodies => (0.05, 0.15, 0.03),
        Purpose::Partial => (0.05, 0.30, 0.02),
        Purpose::Unread => (0.05, 0.30, 0.02),
        Purpose::Waiting => (0.06, 0.20, 0.03),
        Purpose::Learned => (0.06, 0.20, 0.0),
        Purpose::Signed => (0.04, 0.12, 0.02),
        Purpose::Program => (0.24, 0.40, 0.0),
    }
}

/// Least reserve for signed links, enough to check one token; at most a sixteenth of the total (bytes).
const SIGNED_RESERVE_MIN: usize = 640_000;
/// Memory that the program and its allocator take whatever the total is (bytes).
const PROGRAM_BYTES_MIN: usize = 8_000_000;

impl Plan {
    /// A plan for `total` bytes with the operator's settings of each account. The error names the settings
    /// that do not fit together, and their values.
    pub fn new(
        total: usize,
        overrides: &[LimitOverrides; PURPOSES],
        team_share: f64,
    ) -> Result<Plan, String> {
        // Where the program takes more than its share, the other accounts share what remains.
        let program_min = PROGRAM_BYTES_MIN.min(total / 2);
        let program = program_min.max((total as f64 * default_shares(Purpose::Program).0) as usize);
        let shared = (total - program) as f64 / (1.0 - default_shares(Purpose::Program).0);
        let bytes_of = |share: f64| (shared * share) as usize;
        let mut limits = [Limit::default(); PURPOSES];
        for purpose in Purpose::ALL {
            let (set, (guarantee, cap, reserve)) = (&overrides[purpose as usize], default_shares(purpose));
            let mut limit = match purpose {
                Purpose::Program => {
                    Limit { guarantee: program, cap: bytes_of(cap).max(2 * program_min), reserve: 0 }
                }
                Purpose::Signed => {
                    let reserve = bytes_of(reserve).max(SIGNED_RESERVE_MIN.min(total / 16));
                    Limit {
                        guarantee: bytes_of(guarantee).max(reserve),
                        cap: bytes_of(cap).max(2 * reserve),
                        reserve,
                    }
                }
                _ => Limit { guarantee: bytes_of(guarantee), cap: bytes_of(cap), reserve: bytes_of(reserve) },
            };
            // A setting adjusts the limits that are not set: a lower cap lowers guarantee and reserve in
            // proportion, a guarantee raises the cap.
            if let Some(cap) = set.cap {
                let scale = |limit_bytes: usize| {
                    (limit_bytes as f64 * (cap as f64 / limit.cap.max(1) as f64).min(1.0)) as usize
                };
                limit = Limit { cap, guarantee: scale(limit.guarantee), reserve: scale(limit.reserve) };
            }
            if let Some(guarantee) = set.guarantee {
                limit.guarantee = guarantee;
                limit.cap = if set.cap.is_some() { limit.cap } else { limit.cap.max(guarantee) };
                limit.reserve = limit.reserve.min(guarantee);
            }
            limit.reserve = set.reserve.unwrap_or(limit.reserve);
            let name = purpose.name();
            if limit.cap > total {
                return Err(format!(
                    "'memory.{name}.cap' ({}) is over the total of {total} bytes",
                    limit.cap
                ));
            }
            if limit.guarantee > limit.cap {
                return Err(format!(
                    "'memory.{name}.guarantee' ({}) is over 'memory.{name}.cap' ({})",
                    limit.guarantee, limit.cap
                ));
            }
            if limit.reserve > limit.guarantee {
                return Err(format!(
                    "'memory.{name}.reserve' ({}) is over 'memory.{name}.guarantee' ({})",
                    limit.reserve, limit.guarantee
                ));
            }
            limits[purpose as usize] = limit;
        }
        let sum: usize = limits.iter().map(|l| l.guarantee).sum();
        if sum > total {
            let with_guarantee = Purpose::ALL.iter().filter(|p| overrides[**p as usize].guarantee.is_some());
            let keys: Vec<String> =
                with_guarantee.map(|p| format!("'memory.{}.guarantee'", p.name())).collect();
            let keys = if keys.is_empty() { "'limits.memory_mb'".to_owned() } else { keys.join(", ") };
            return Err(format!(
                "{keys}: all guarantees sum to {sum}, which is over the total of {total} bytes"
            ));
        }
        if !(team_share > 0.0 && team_share <= 1.0) {
            return Err("'memory.team_share' is not a share above 0 and up to 1".into());
        }
        Ok(Plan { total, limits, team_share })
    }

    /// A plan without limits.
    pub fn unlimited() -> Plan {
        let limit = Limit { guarantee: 0, cap: usize::MAX, reserve: 0 };
        Plan { total: usize::MAX, limits: [limit; PURPOSES], team_share: 1.0 }
    }

    /// Upper limit of one team in an account (bytes).
    pub fn team_cap(&self, purpose: Purpose) -> usize {
        (self.limits[purpose as usize].cap as f64 * self.team_share) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_checked_together() {
        let unset = [LimitOverrides::default(); PURPOSES];
        for total in [16_000_000, 32_000_000, 192_000_000, 4_000_000_000] {
            let plan = Plan::new(total, &unset, 0.5).unwrap();
            assert!(plan.limits.iter().all(|l| l.reserve <= l.guarantee && l.guarantee <= l.cap));
        }
        let plan_with = |purpose: Purpose, limits: LimitOverrides| {
            let mut all = unset;
            all[purpose as usize] = limits;
            Plan::new(32_000_000, &all, 0.5)
        };
        let guarantee = LimitOverrides { guarantee: Some(20_000_000), ..LimitOverrides::default() };
        let error = plan_with(Purpose::Unread, guarantee).unwrap_err();
        assert!(error.contains("'memory.unread.guarantee'") && error.contains("sum to"), "{error}");
        let error =
            plan_with(Purpose::Bodies, LimitOverrides { cap: Some(33_000_000), ..LimitOverrides::default() })
                .unwrap_err();
        assert!(error.contains("'memory.bodies.cap' (33000000)"), "{error}");
        let crossed = LimitOverrides { guarantee: Some(3_000_000), cap: Some(2_000_000), reserve: None };
        assert!(plan_with(Purpose::Bodies, crossed).unwrap_err().contains("'memory.bodies.guarantee'"));
        let lavish = LimitOverrides { guarantee: Some(1_000_000), cap: None, reserve: Some(2_000_000) };
        assert!(plan_with(Purpose::Bodies, lavish).unwrap_err().contains("'memory.bodies.reserve'"));
        // A cap alone lowers the guarantee and the reserve in proportion.
        let default = Plan::new(32_000_000, &unset, 0.5).unwrap().limits[Purpose::Bodies as usize];
        let plan = plan_with(
            Purpose::Bodies,
            LimitOverrides { cap: Some(default.cap / 4), ..LimitOverrides::default() },
        )
        .unwrap();
        let limit = plan.limits[Purpose::Bodies as usize];
        assert!(
            limit.guarantee.abs_diff(default.guarantee / 4) < 2
                && limit.reserve.abs_diff(default.reserve / 4) < 2
        );
        assert!(Plan::new(32_000_000, &unset, 0.0).is_err());
    }
}
