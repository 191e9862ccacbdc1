//! Checks a plan as a whole; an error names the key that is wrong.

use super::{Clients, Fault, Kind, Plan, Rollout, Target};
use crate::paced::Pace;

/// Requests a second, over all fronts, that the stand-ins keep up with.
const MOST_REQUESTS: f64 = 5_000.0;

fn must(held: bool, what: &str) -> Result<(), String> {
    if held { Ok(()) } else { Err(what.to_owned()) }
}

fn is_share(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

impl Plan {
    pub(super) fn check(&self) -> Result<(), String> {
        must((16..=4096).contains(&self.memory_mb), "'memory_mb' is from 16 to 4096")?;
        self.check_sizes()?;
        self.check_programs()?;
        self.check_clients()?;
        if let Some(rollout) = &self.rollout {
            self.check_rollout(rollout)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(fault).map_err(|(key, what)| format!("'faults.{index}.{key}' {what}"))?;
        }
        Ok(())
    }

    fn check_sizes(&self) -> Result<(), String> {
        must((1..=20).contains(&self.locations), "'locations' is not from 1 to 20")?;
        must((self.locations..=400).contains(&self.fronts), "'fronts' is not from one a location to 400")?;
        must((self.locations..=200).contains(&self.nodes), "'nodes' is not from one a location to 200")?;
        must((1..=20).contains(&self.parents), "'parents' is not from 1 to 20")?;
        must(
            self.seconds.is_finite() && (1.0..=3600.0).contains(&self.seconds),
            "'seconds' is not from 1 to 3600",
        )?;
        must((0.0..self.seconds).contains(&self.judged_from), "'judged_from' does not lie before 'seconds'")?;
        must(
            !self.links.is_empty() && self.links.iter().all(|link| (0.1..=1000.0).contains(link)),
            "'links' is not a list of numbers from 0.1 to 1000",
        )
    }

    fn check_programs(&self) -> Result<(), String> {
        let shares_are_right =
            self.programs.iter().all(|program| program.share > 0.0 && program.share <= 1.0);
        must(
            !self.programs.is_empty() && shares_are_right,
            "'programs' names none, or one whose 'share' is not above 0 and at most 1",
        )?;
        let sum: f64 = self.programs.iter().map(|program| program.share).sum();
        must((sum - 1.0).abs() < 0.01, "'programs': the shares do not sum to 1")
    }

    fn check_clients(&self) -> Result<(), String> {
        let clients = &self.clients;
        must((0.01..=200.0).contains(&clients.rate), "'clients.rate' is not from 0.01 to 200")?;
        must(
            self.fronts as f64 * clients.rate <= MOST_REQUESTS,
            "'clients.rate' times 'fronts' is over 5000 a second, which the stand-ins do not keep up with",
        )?;
        clients.check()
    }

    fn check_rollout(&self, rollout: &Rollout) -> Result<(), String> {
        must((0.0..self.seconds).contains(&rollout.at), "'rollout.at' does not lie in the plan")?;
        let is_end = |end: &str| ["done", "stopped", "aborted", "failed"].contains(&end);
        must(rollout.end.as_deref().is_none_or(is_end), "'rollout.end' is none that there is")?;
        let is_word = |word: &(f64, String)| ["pause", "resume", "abort"].contains(&word.1.as_str());
        must(
            rollout.words.iter().all(is_word),
            "'rollout.words' has one that is not 'pause', 'resume' or 'abort'",
        )?;
        let renews_fronts = |fault: &Fault| {
            matches!(fault.kind, Kind::FrontReplaced | Kind::FrontRestarted | Kind::FrontCycled { .. })
        };
        must(
            !self.faults.iter().any(renews_fronts) && self.programs.len() == 1,
            "'rollout' goes with one program and without fronts that the rig replaces or restarts",
        )
    }

    /// An error is the fault's key that is wrong, and what is wrong with it.
    fn check_fault(&self, fault: &Fault) -> Result<(), (String, String)> {
        let in_order = (0.0..=self.seconds).contains(&fault.at) && fault.at <= fault.until;
        if !in_order {
            return Err(("at".into(), "does not lie in the plan and before 'until'".into()));
        }
        for (name, target, most) in
            [("fronts", &fault.fronts, self.fronts), ("nodes", &fault.nodes, self.nodes)]
        {
            self.check_target(target, most).map_err(|(key, what)| (format!("{name}.{key}"), what))?;
        }
        let (key, held) = fault.kind.check();
        if held { Ok(()) } else { Err((key.into(), "is out of range".into())) }
    }

    /// The same of a target among so many.
    fn check_target(&self, target: &Target, most: usize) -> Result<(), (&'static str, String)> {
        if target.places.iter().any(|place| *place >= most) {
            return Err(("places", format!("names one of {most} or beyond")));
        }
        if target.location.is_some_and(|location| location >= self.locations) {
            return Err(("location", "is none of the locations".into()));
        }
        if target.share.is_some_and(|share| !is_share(share)) {
            return Err(("share", "is not from 0 to 1".into()));
        }
        Ok(())
    }
}

impl Clients {
    fn check(&self) -> Result<(), String> {
        must(
            is_share(self.busy_share) && is_share(self.holds),
            "'clients.busy_share' or 'clients.holds' is not from 0 to 1",
        )?;
        must((1..=64).contains(&self.connections), "'clients.connections' is not from 1 to 64")?;
        must(self.object_bytes <= 240_000, "'clients.object_bytes' is over 240000")?;
        let pace = |pace: &Pace| (0.0..=4.0).contains(&pace.pause_s) && (1..=1_000_000).contains(&pace.chunk);
        must(
            self.pace.as_ref().is_none_or(pace),
            "'clients.pace' pauses for over 4 s, or reads no bytes or over 1 MB",
        )?;
        must((1.0..=100.0).contains(&self.busy_times), "'clients.busy_times' is not from 1 to 100")?;
        must((0.1..=3.0).contains(&self.zipf), "'clients.zipf' is not from 0.1 to 3")?;
        must((10..=1_000_000).contains(&self.objects), "'clients.objects' is not from 10 to 1000000")?;
        must((0.01..=2.0).contains(&self.load), "'clients.load' is not from 0.01 to 2")
    }
}

impl Kind {
    /// The key of its number, and whether that is in range.
    fn check(&self) -> (&'static str, bool) {
        match *self {
            Kind::NodeSlow { times } | Kind::Burst { times } => ("times", (0.01..=1000.0).contains(&times)),
            Kind::NodeFailing { share }
            | Kind::NodeBreaking { share }
            | Kind::Hot { share }
            | Kind::PathHalfOpen { share } => ("share", is_share(share)),
            Kind::FrontCycled { gap_s, .. } => ("gap_s", (0.0..=10.0).contains(&gap_s)),
            Kind::Crowd { connections } => ("connections", (1..=5_000).contains(&connections)),
            Kind::PathDelayed { seconds } => ("seconds", (0.0..=60.0).contains(&seconds)),
            _ => ("", true),
        }
    }
}
