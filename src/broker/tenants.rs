//! Teams: what each may ask for (its contract) and how much (its budget). Contracts are fixed and shared
//! with the fronts, budgets are the core's. Where no team is configured, nobody is limited.

use super::ClientRequest;
use crate::interface::ClassId;

/// A team, by its place in [`Contracts`].
pub type TeamId = u16;

/// What a team may ask for, and how much.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Whose links are good for its paths.
    pub issuer: String,
    /// Classes that it may use.
    pub classes: Vec<ClassId>,
    /// Path prefixes that are its own, each with the class of what lies below.
    pub prefixes: Vec<(String, ClassId)>,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests open at a time.
    pub in_flight: usize,
    /// Bytes served a second.
    pub bytes_per_s: f64,
}

/// All teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Contracts(pub Vec<Team>);

impl Contracts {
    /// Is anybody limited?
    pub fn none(&self) -> bool {
        self.0.is_empty()
    }

    /// The team of a name.
    pub fn find(&self, name: &[u8]) -> Option<TeamId> {
        self.0.iter().position(|t| t.name.as_bytes() == name).map(|i| i as TeamId)
    }

    /// Whose a path is, and its class: the longest prefix says. A prefix covers whole segments only, so that
    /// `/talks` is not the owner of `/talks-private`.
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

    /// Does a contract cover the request?
    pub fn covers(&self, ask: &ClientRequest) -> bool {
        if self.none() {
            return true;
        }
        let Some(team) = ask.team.and_then(|t| self.0.get(usize::from(t))) else { return false };
        let path = ask.path.as_deref().is_none_or(|p| self.route(p) == ask.team.map(|t| (t, ask.class)));
        team.classes.contains(&ask.class) && path
    }
}

/// A bucket that fills with `rate` a second up to one second's worth.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket { rate, level: rate.max(1.0), at: f64::MIN }
    }

    fn fill(&mut self, now: f64) {
        if self.at > f64::MIN {
            self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.rate.max(1.0));
        }
        self.at = self.at.max(now);
    }

    /// Seconds until the level is at least `wanted`.
    fn wait(&self, wanted: f64) -> f64 {
        ((wanted - self.level) / self.rate).max(0.0)
    }
}

struct Budget {
    requests: Bucket,
    bytes: Bucket,
    open: usize,
    most: usize,
}

/// What teams have left.
pub struct Budgets(Vec<Budget>);

/// A team with all its requests open is told to come back after so long (seconds).
const OPEN_WAIT: f64 = 1.0;

impl Budgets {
    /// Full budgets.
    pub fn new(contracts: &Contracts) -> Self {
        let budget = |t: &Team| Budget {
            requests: Bucket::new(t.requests_per_s),
            bytes: Bucket::new(t.bytes_per_s),
            open: 0,
            most: t.in_flight,
        };
        Budgets(contracts.0.iter().map(budget).collect())
    }

    /// Takes a request into its team's budget, or says when to come back. Bytes are charged when they are
    /// served, so that a team in debt waits until it is paid.
    pub fn admit(&mut self, now: f64, team: Option<TeamId>) -> Result<(), f64> {
        let Some(b) = team.and_then(|t| self.0.get_mut(usize::from(t))) else { return Ok(()) };
        b.requests.fill(now);
        b.bytes.fill(now);
        let wait = b.requests.wait(1.0).max(b.bytes.wait(0.0));
        if wait > 0.0 {
            return Err(wait);
        }
        if b.open >= b.most {
            return Err(OPEN_WAIT);
        }
        b.requests.level -= 1.0;
        b.open += 1;
        Ok(())
    }

    /// A request that was admitted has its answer, or was aborted.
    pub fn release(&mut self, now: f64, team: Option<TeamId>, bytes: usize) {
        let Some(b) = team.and_then(|t| self.0.get_mut(usize::from(t))) else { return };
        b.open = b.open.saturating_sub(1);
        b.bytes.fill(now);
        b.bytes.level -= bytes as f64;
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
    fn the_longest_prefix_of_whole_segments_owns_a_path() {
        let c = contracts();
        assert_eq!(c.route("/talks/1"), Some((0, ClassId(0))));
        assert_eq!(c.route("/talks/inner/1"), Some((1, ClassId(1))));
        assert_eq!(c.route("/talks-private/1"), None, "a prefix must not reach into a neighbour's name");
        let ask = |team, class, path: &str| ClientRequest {
            team,
            class: ClassId(class),
            path: Some(path.into()),
            ..ClientRequest::default()
        };
        assert!(c.covers(&ask(Some(0), 0, "/talks/1")));
        assert!(!c.covers(&ask(Some(0), 1, "/talks/1")), "a class outside the contract");
        assert!(!c.covers(&ask(Some(0), 0, "/talks/inner/1")), "another team's path");
        assert!(!c.covers(&ask(None, 0, "/talks/1")), "nobody");
        assert!(Contracts::default().covers(&ask(None, 0, "/x")), "no contracts, no limits");
    }

    #[test]
    fn budgets_run_out_and_fill_again() {
        let mut b = Budgets::new(&contracts());
        assert_eq!(b.admit(10.0, Some(0)), Ok(()));
        assert_eq!(b.admit(10.0, Some(0)), Ok(()));
        assert_eq!(b.admit(10.0, Some(0)), Err(0.5), "two a second");
        assert_eq!(b.admit(10.0, Some(1)), Ok(()), "another team's budget is its own");
        assert_eq!(b.admit(11.0, Some(0)), Err(OPEN_WAIT), "two open");
        b.release(11.0, Some(0), 3000);
        assert_eq!(b.admit(11.0, Some(0)), Err(2.0), "2,000 bytes in debt at 1,000 a second");
        b.release(13.0, Some(0), 0);
        assert_eq!(b.admit(13.0, Some(0)), Ok(()));
    }
}
