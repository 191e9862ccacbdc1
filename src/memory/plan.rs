//! Caps, guarantees and reserves of the accounts: from what the operator wishes, checked as a whole.

use super::{PURPOSES, Purpose};

/// What one account is held to, in bytes: `reserve <= guarantee <= cap`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    /// It may always hold so much.
    pub guarantee: usize,
    /// It never holds more.
    pub cap: usize,
    /// Of the guarantee: only for what is precious.
    pub reserve: usize,
}

/// What a front's memory is held to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// All accounts together (bytes).
    pub total: usize,
    /// By purpose.
    pub limits: [Limit; PURPOSES],
    /// Share of each cap that one team may hold.
    pub team_share: f64,
}

/// What the operator wishes for one account; what is left out is set from the total.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitOverrides {
    /// In bytes.
    pub guarantee: Option<usize>,
    /// In bytes.
    pub cap: Option<usize>,
    /// In bytes.
    pub reserve: Option<usize>,
}

/// Shares of the total where nothing is wished: guarantee, cap, reserve. Guarantees are sized for the usual hour
/// and leave a quarter to be borrowed; caps are what one use may come to in its worst hour. Reserves hold some
/// dozens of holds with their bodies, and the answers to them.
fn usual(purpose: Purpose) -> (f64, f64, f64) {
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

/// The reserve of the second front is enough for checking one token, as far as a sixteenth of the total is (bytes).
const SIGNED_LEAST: usize = 640_000;
/// The program and its allocator take so much whatever the total is (bytes).
const PROGRAM_LEAST: usize = 8_000_000;

impl Plan {
    /// A plan for so many bytes, with what the operator wishes of each account. An error names the keys that do
    /// not fit together, and the sums.
    pub fn new(total: usize, wishes: &[LimitOverrides; PURPOSES], team_share: f64) -> Result<Plan, String> {
        // Where the program's least is over its share, the others share what it leaves.
        let least = PROGRAM_LEAST.min(total / 2);
        let program = least.max((total as f64 * usual(Purpose::Program).0) as usize);
        let shared = (total - program) as f64 / (1.0 - usual(Purpose::Program).0);
        let of = |share: f64| (shared * share) as usize;
        let mut limits = [Limit::default(); PURPOSES];
        for purpose in Purpose::ALL {
            let (wish, (guarantee, cap, reserve)) = (&wishes[purpose as usize], usual(purpose));
            let mut limit = match purpose {
                Purpose::Program => Limit { guarantee: program, cap: of(cap).max(2 * least), reserve: 0 },
                Purpose::Signed => {
                    let reserve = of(reserve).max(SIGNED_LEAST.min(total / 16));
                    Limit { guarantee: of(guarantee).max(reserve), cap: of(cap).max(2 * reserve), reserve }
                }
                _ => Limit { guarantee: of(guarantee), cap: of(cap), reserve: of(reserve) },
            };
            // What is set draws along what is not: a lower cap lowers guarantee and reserve in
            // proportion, a guarantee lifts the cap.
            if let Some(cap) = wish.cap {
                let scale =
                    |of: usize| (of as f64 * (cap as f64 / limit.cap.max(1) as f64).min(1.0)) as usize;
                limit = Limit { cap, guarantee: scale(limit.guarantee), reserve: scale(limit.reserve) };
            }
            if let Some(guarantee) = wish.guarantee {
                limit.guarantee = guarantee;
                limit.cap = if wish.cap.is_some() { limit.cap } else { limit.cap.max(guarantee) };
                limit.reserve = limit.reserve.min(guarantee);
            }
            limit.reserve = wish.reserve.unwrap_or(limit.reserve);
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
            let set = Purpose::ALL.iter().filter(|p| wishes[**p as usize].guarantee.is_some());
            let keys: Vec<String> = set.map(|p| format!("'memory.{}.guarantee'", p.name())).collect();
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

    /// No limits.
    pub fn unlimited() -> Plan {
        let limit = Limit { guarantee: 0, cap: usize::MAX, reserve: 0 };
        Plan { total: usize::MAX, limits: [limit; PURPOSES], team_share: 1.0 }
    }

    /// What one team may hold of an account (bytes).
    pub fn team_cap(&self, purpose: Purpose) -> usize {
        (self.limits[purpose as usize].cap as f64 * self.team_share) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wished_is_checked_as_a_whole() {
        let none = [LimitOverrides::default(); PURPOSES];
        for total in [16_000_000, 32_000_000, 192_000_000, 4_000_000_000] {
            let plan = Plan::new(total, &none, 0.5).unwrap();
            assert!(plan.limits.iter().all(|l| l.reserve <= l.guarantee && l.guarantee <= l.cap));
        }
        let wish = |purpose: Purpose, wish: LimitOverrides| {
            let mut all = none;
            all[purpose as usize] = wish;
            Plan::new(32_000_000, &all, 0.5)
        };
        let guarantee = LimitOverrides { guarantee: Some(20_000_000), ..LimitOverrides::default() };
        let error = wish(Purpose::Unread, guarantee).unwrap_err();
        assert!(error.contains("'memory.unread.guarantee'") && error.contains("sum to"), "{error}");
        let error =
            wish(Purpose::Bodies, LimitOverrides { cap: Some(33_000_000), ..LimitOverrides::default() })
                .unwrap_err();
        assert!(error.contains("'memory.bodies.cap' (33000000)"), "{error}");
        let crossed = LimitOverrides { guarantee: Some(3_000_000), cap: Some(2_000_000), reserve: None };
        assert!(wish(Purpose::Bodies, crossed).unwrap_err().contains("'memory.bodies.guarantee'"));
        let lavish = LimitOverrides { guarantee: Some(1_000_000), cap: None, reserve: Some(2_000_000) };
        assert!(wish(Purpose::Bodies, lavish).unwrap_err().contains("'memory.bodies.reserve'"));
        // A cap alone draws the guarantee and the reserve along.
        let usual = Plan::new(32_000_000, &none, 0.5).unwrap().limits[Purpose::Bodies as usize];
        let plan =
            wish(Purpose::Bodies, LimitOverrides { cap: Some(usual.cap / 4), ..LimitOverrides::default() })
                .unwrap();
        let limit = plan.limits[Purpose::Bodies as usize];
        assert!(
            limit.guarantee.abs_diff(usual.guarantee / 4) < 2
                && limit.reserve.abs_diff(usual.reserve / 4) < 2
        );
        assert!(Plan::new(32_000_000, &none, 0.0).is_err());
    }
}
