//! Teams: what each may request (its contract) and how much (its budget). Contracts are fixed and shared with
//! the client connections; budgets belong to the broker. If no team is configured, nothing is limited.

use super::ClientRequest;
use crate::interface::ClassId;

/// A team, by its index in [`Contracts`].
pub type TeamId = u16;

/// A team's contract, and the rates and limits of its budget.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Issuer whose signed links are valid for the team's paths.
    pub issuer: String,
    /// Classes that the team may use.
    pub classes: Vec<ClassId>,
    /// Path prefixes that the team owns, each with the class of the paths below it.
    pub prefixes: Vec<(String, ClassId)>,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Maximum number of open requests.
    pub in_flight: usize,
    /// Bytes served per second.
    pub bytes_per_s: f64,
}

/// The contracts of all teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Contracts(pub Vec<Team>);

impl Contracts {
    /// Returns whether no team is configured, so that nothing is limited.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the team with this name.
    pub fn find(&self, name: &[u8]) -> Option<TeamId> {
        self.0.iter().position(|t| t.name.as_bytes() == name).map(|i| i as TeamId)
    }

    /// Returns the team and the class of a path, by the longest matching prefix. A prefix matches whole
    /// segments only: `/talks` does not match `/talks-private`.
    pub fn route(&self, path: &str) -> Option<(TeamId, ClassId)> {
        let teams = self.0.iter().enumerate();
        let prefixes =
            teams.flat_map(|(i, t)| t.prefixes.iter().map(move |(p, class)| (p, i as TeamId, *class)));
        let covers = |prefix: &str| {
            let rest = path.strip_prefix(prefix);
            rest.is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
        };
        prefixes
            .filter(|(p, ..)| covers(p))
            .max_by_key(|(p, ..)| p.len())
            .map(|(_, team, class)| (team, class))
    }

    /// Returns whether the team's contract covers the request.
    pub fn covers(&self, request: &ClientRequest) -> bool {
        if self.is_empty() {
            return true;
        }
        let Some(team) = request.team.and_then(|t| self.0.get(usize::from(t))) else { return false };
        let routed = |p: &str| self.route(p) == request.team.map(|t| (t, request.class));
        let owns_path = request.path.as_deref().is_none_or(routed);
        team.classes.contains(&request.class) && owns_path
    }
}

/// A token bucket that fills with `rate` tokens per second and holds at most one second's worth.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: f64,
    level: f64,
    /// Time of the last refill (Unix seconds).
    filled_at: f64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket { rate, level: rate.max(1.0), filled_at: f64::MIN }
    }

    fn fill(&mut self, now: f64) {
        if self.filled_at > f64::MIN {
            self.level = (self.level + (now - self.filled_at).max(0.0) * self.rate).min(self.rate.max(1.0));
        }
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the seconds until the level is at least `wanted`.
    fn wait(&self, wanted: f64) -> f64 {
        ((wanted - self.level) / self.rate).max(0.0)
    }
}

/// A team's budget.
struct Budget {
    requests: Bucket,
    bytes: Bucket,
    open: usize,
    max_open: usize,
}

/// The teams' remaining budgets.
pub struct Budgets(Vec<Budget>);

/// Retry delay for a team at its limit of open requests.
const IN_FLIGHT_RETRY_SECONDS: f64 = 1.0;

impl Budgets {
    /// Creates full budgets.
    pub fn new(contracts: &Contracts) -> Self {
        let budget = |t: &Team| Budget {
            requests: Bucket::new(t.requests_per_s),
            bytes: Bucket::new(t.bytes_per_s),
            open: 0,
            max_open: t.in_flight,
        };
        Budgets(contracts.0.iter().map(budget).collect())
    }

    /// Charges a request to its team's budget, or returns the retry delay (seconds). Bytes are charged when
    /// they are served, so a team whose byte bucket is negative waits until it has refilled.
    pub fn admit(&mut self, now: f64, team: Option<TeamId>) -> Result<(), f64> {
        let Some(budget) = team.and_then(|t| self.0.get_mut(usize::from(t))) else { return Ok(()) };
        budget.requests.fill(now);
        budget.bytes.fill(now);
        let wait = budget.requests.wait(1.0).max(budget.bytes.wait(0.0));
        if wait > 0.0 {
            return Err(wait);
        }
        if budget.open >= budget.max_open {
            return Err(IN_FLIGHT_RETRY_SECONDS);
        }
        budget.requests.level -= 1.0;
        budget.open += 1;
        Ok(())
    }

    /// Releases an admitted request that is answered or aborted, and charges the bytes served.
    pub fn release(&mut self, now: f64, team: Option<TeamId>, bytes: usize) {
        let Some(budget) = team.and_then(|t| self.0.get_mut(usize::from(t))) else { return };
        budget.open = budget.open.saturating_sub(1);
        budget.bytes.fill(now);
        budget.bytes.level -= bytes as f64;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn contracts() -> Contracts {
        let team = |name: &str, prefix: &str, class| Team {
            name: name.into(),
            classes: vec![ClassId(class)],
            prefixes: vec![(prefix.into(), ClassId(class))],
            requests_per_s: 2.0,
            in_flight: 2,
            bytes_per_s: 1000.0,
            ..Team::default()
        };
        Contracts(vec![team("talks", "/talks", 0), team("inner", "/talks/inner/", 1)])
    }

    #[test]
    fn longest_prefix_of_whole_segments_owns_a_path() {
        let contracts = contracts();
        assert_eq!(contracts.route("/talks/1"), Some((0, ClassId(0))));
        assert_eq!(contracts.route("/talks/inner/1"), Some((1, ClassId(1))));
        assert_eq!(
            contracts.route("/talks-private/1"),
            None,
            "a prefix must not reach into a neighbour's name"
        );
        let request = |team, class, path: &str| ClientRequest {
            team,
            class: ClassId(class),
            path: Some(path.into()),
            ..ClientRequest::default()
        };
        assert!(contracts.covers(&request(Some(0), 0, "/talks/1")));
        assert!(!contracts.covers(&request(Some(0), 1, "/talks/1")), "a class outside the contract");
        assert!(!contracts.covers(&request(Some(0), 0, "/talks/inner/1")), "another team's path");
        assert!(!contracts.covers(&request(None, 0, "/talks/1")), "no team");
        assert!(Contracts::default().covers(&request(None, 0, "/x")), "no contracts, no limits");
    }

    #[test]
    fn exhausted_budgets_refill() {
        let mut budgets = Budgets::new(&contracts());
        assert_eq!(budgets.admit(10.0, Some(0)), Ok(()));
        assert_eq!(budgets.admit(10.0, Some(0)), Ok(()));
        assert_eq!(budgets.admit(10.0, Some(0)), Err(0.5), "two a second");
        assert_eq!(budgets.admit(10.0, Some(1)), Ok(()), "another team's budget is its own");
        assert_eq!(budgets.admit(11.0, Some(0)), Err(IN_FLIGHT_RETRY_SECONDS), "two open");
        budgets.release(11.0, Some(0), 3000);
        assert_eq!(budgets.admit(11.0, Some(0)), Err(2.0), "2,000 bytes in debt at 1,000 a second");
        budgets.release(13.0, Some(0), 0);
        assert_eq!(budgets.admit(13.0, Some(0)), Ok(()));
    }
}
