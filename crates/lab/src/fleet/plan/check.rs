//! Validates a plan as a whole; an error names the invalid key.

use super::{Clients, Fault, Kind, Plan, Rollout, Target};
use crate::paced::Pace;

/// Requests per second over all fronts that the stand-ins keep up with.
const MAX_REQUESTS_PER_S: f64 = 5_000.0;

fn ensure(is_valid: bool, message: &str) -> Result<(), String> {
    if is_valid { Ok(()) } else { Err(message.to_owned()) }
}

fn is_share(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

impl Plan {
    pub(super) fn check(&self) -> Result<(), String> {
        ensure((16..=4096).contains(&self.memory_mb), "'memory_mb' must be from 16 to 4096")?;
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
        ensure((1..=20).contains(&self.locations), "'locations' must be from 1 to 20")?;
        ensure(
            (self.locations..=400).contains(&self.fronts),
            "'fronts' must be from the number of locations to 400",
        )?;
        ensure(
            (self.locations..=200).contains(&self.nodes),
            "'nodes' must be from the number of locations to 200",
        )?;
        ensure((1..=20).contains(&self.parents), "'parents' must be from 1 to 20")?;
        ensure(
            self.seconds.is_finite() && (1.0..=3600.0).contains(&self.seconds),
            "'seconds' must be from 1 to 3600",
        )?;
        ensure(
            (0.0..self.seconds).contains(&self.judged_from),
            "'judged_from' must be at least 0 and less than 'seconds'",
        )?;
        ensure(
            !self.links.is_empty() && self.links.iter().all(|link| (0.1..=1000.0).contains(link)),
            "'links' must be a list of numbers from 0.1 to 1000",
        )
    }

    fn check_programs(&self) -> Result<(), String> {
        let shares_are_right =
            self.programs.iter().all(|program| program.share > 0.0 && program.share <= 1.0);
        ensure(
            !self.programs.is_empty() && shares_are_right,
            "'programs' must name at least one, each with a 'share' above 0 and at most 1",
        )?;
        let sum: f64 = self.programs.iter().map(|program| program.share).sum();
        ensure((sum - 1.0).abs() < 0.01, "'programs': the shares must sum to 1")
    }

    fn check_clients(&self) -> Result<(), String> {
        let clients = &self.clients;
        ensure((0.01..=200.0).contains(&clients.rate), "'clients.rate' must be from 0.01 to 200")?;
        ensure(
            self.fronts as f64 * clients.rate <= MAX_REQUESTS_PER_S,
            "'clients.rate' times 'fronts' must be at most 5000 per second, which the stand-ins keep up with",
        )?;
        clients.check()
    }

    fn check_rollout(&self, rollout: &Rollout) -> Result<(), String> {
        ensure(
            (0.0..self.seconds).contains(&rollout.at),
            "'rollout.at' must be at least 0 and less than 'seconds'",
        )?;
        let is_end = |end: &str| ["done", "stopped", "aborted", "failed"].contains(&end);
        ensure(
            rollout.end.as_deref().is_none_or(is_end),
            "'rollout.end' must be 'done', 'stopped', 'aborted' or 'failed'",
        )?;
        let is_command = |command: &(f64, String)| ["pause", "resume", "abort"].contains(&command.1.as_str());
        ensure(rollout.words.iter().all(is_command), "'rollout.words' must be 'pause', 'resume' or 'abort'")?;
        let replaces_fronts = |fault: &Fault| {
            matches!(fault.kind, Kind::FrontReplaced | Kind::FrontRestarted | Kind::FrontCycled { .. })
        };
        ensure(
            !self.faults.iter().any(replaces_fronts) && self.programs.len() == 1,
            "'rollout' needs exactly one program, and no faults that replace or restart fronts",
        )
    }

    /// An error is the fault's invalid key, and what is wrong with it.
    fn check_fault(&self, fault: &Fault) -> Result<(), (String, String)> {
        let in_order = (0.0..=self.seconds).contains(&fault.at) && fault.at <= fault.until;
        if !in_order {
            return Err(("at".into(), "must be from 0 to 'seconds' and not after 'until'".into()));
        }
        for (name, target, count) in
            [("fronts", &fault.fronts, self.fronts), ("nodes", &fault.nodes, self.nodes)]
        {
            self.check_target(target, count).map_err(|(key, what)| (format!("{name}.{key}"), what))?;
        }
        let (key, is_valid) = fault.kind.check();
        if is_valid { Ok(()) } else { Err((key.into(), "is out of range".into())) }
    }

    /// Validates a target among `count` fronts or nodes; an error is the target's invalid key, and what is
    /// wrong with it.
    fn check_target(&self, target: &Target, count: usize) -> Result<(), (&'static str, String)> {
        if target.places.iter().any(|place| *place >= count) {
            return Err(("places", format!("must be less than {count}")));
        }
        if target.location.is_some_and(|location| location >= self.locations) {
            return Err(("location", "must be less than 'locations'".into()));
        }
        if target.share.is_some_and(|share| !is_share(share)) {
            return Err(("share", "must be from 0 to 1".into()));
        }
        Ok(())
    }
}

impl Clients {
    fn check(&self) -> Result<(), String> {
        ensure(
            is_share(self.busy_share) && is_share(self.holds),
            "'clients.busy_share' and 'clients.holds' must be from 0 to 1",
        )?;
        ensure((1..=64).contains(&self.connections), "'clients.connections' must be from 1 to 64")?;
        ensure(self.object_bytes <= 240_000, "'clients.object_bytes' must be at most 240000")?;
        let is_pace_valid =
            |pace: &Pace| (0.0..=4.0).contains(&pace.pause_s) && (1..=1_000_000).contains(&pace.chunk);
        ensure(
            self.pace.as_ref().is_none_or(is_pace_valid),
            "'clients.pace' must pause for at most 4 s and read from 1 byte to 1 MB",
        )?;
        ensure((1.0..=100.0).contains(&self.busy_times), "'clients.busy_times' must be from 1 to 100")?;
        ensure((0.1..=3.0).contains(&self.zipf), "'clients.zipf' must be from 0.1 to 3")?;
        ensure((10..=1_000_000).contains(&self.objects), "'clients.objects' must be from 10 to 1000000")?;
        ensure((0.01..=2.0).contains(&self.load), "'clients.load' must be from 0.01 to 2")
    }
}

impl Kind {
    /// The key of the fault's number, and whether the number is in range.
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
