//! State machine of the change of one front: start a second process, poll it until it is healthy and runs the
//! wanted release, then stop the first; with the handling of failures and rollback. The front always has a
//! serving process unless one exits by itself; then another is started at once.

/// Which of the plan's two builds and settings a front runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Release {
    /// What ran before the rollout.
    Old,
    /// What is rolled out.
    New,
}

/// Number of a process of a front; later processes have higher numbers.
pub type Run = u32;

/// Health of a process, as its operator endpoint reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Health {
    /// It accepts clients and reports that it runs this release.
    Serving(Release),
    /// It accepts clients but runs neither release.
    OtherBuild,
    /// It accepts no clients at present.
    NotServing,
    /// It does not answer in time.
    NoAnswer,
}

/// An observation of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProcessObservation {
    /// A health check was answered or timed out.
    Answered(Run, Health),
    /// The process could not be started.
    StartFailed(Run),
    /// The process exited.
    Exited(Run),
}

/// A command to start, signal or reload a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum ProcessCommand {
    /// Start a process of this release.
    Start(Run, Release),
    /// Send SIGTERM.
    Term(Run),
    /// Send SIGKILL.
    Kill(Run),
    /// Write the settings of this release and send SIGHUP.
    Reload(Run, Release),
}

/// Outcome of a step of a front's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum ProcessEvent {
    /// The front now runs this release.
    Changed(Release),
    /// The process of this release did not start, was not healthy in time, exited, or ran something else. The
    /// previous process continues to serve.
    GaveUp(Release),
    /// The serving process exited by itself.
    Crashed(Release),
    /// A process did not exit after SIGTERM and was killed.
    Killed,
    /// No process serves, and several tries to start one have failed.
    Lost,
}

/// Timeouts of the change of one front (seconds).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangeTimeouts {
    /// Time from the start of a process within which it must be healthy.
    pub start_s: f64,
    /// Time for which a new process must stay healthy before the previous one is stopped.
    pub steady_s: f64,
    /// Time from SIGTERM after which a process that still runs is killed.
    pub end_s: f64,
    /// Delay before a failed start is retried where no process serves; it doubles with each failure, to at
    /// most 16 times this value.
    pub retry_s: f64,
}

/// Failed starts after which a front without a serving process is reported as lost; starts are still retried.
const TRIES_UNTIL_LOST: u32 = 4;

/// State of a change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ChangePhase {
    /// No change is in progress.
    Settled,
    /// A new process has been started and is not serving yet.
    Starting {
        /// The new process.
        next: Run,
        /// The release that it must run.
        target: Release,
        /// When it was started.
        since: f64,
        /// Since when it has been healthy without interruption.
        ready_since: Option<f64>,
    },
    /// The new process serves; the previous one was sent SIGTERM.
    StoppingPrevious {
        /// The previous process.
        previous: Run,
        /// When it was last sent a signal.
        since: f64,
        /// Whether it was sent SIGKILL.
        killed: bool,
    },
    /// The new process was rejected and sent SIGTERM; the previous one serves.
    Withdrawing {
        /// The rejected process.
        next: Run,
        /// When it was last sent a signal.
        since: f64,
        /// Whether it was sent SIGKILL.
        killed: bool,
        /// The release that it should have run.
        target: Release,
    },
    /// No process serves; starts are retried with backoff.
    Down {
        /// The process being started.
        next: Run,
        /// When it was started, or when it failed.
        since: f64,
        /// Whether it failed, so that the next start waits for the backoff.
        failed: bool,
        /// Starts that have failed before this one.
        tries: u32,
    },
    /// The serving process was sent SIGHUP to reload its settings.
    Reloading {
        /// The release whose settings the change is to.
        target: Release,
        /// When the signal was sent.
        since: f64,
        /// Whether the reload was reverted: the process must report its former settings.
        reverting: bool,
    },
}

/// The change of one front, from one release to the other or to a new process of the same release.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    timeouts: ChangeTimeouts,
    /// Whether the change is made by reload: all changed settings take effect without a restart.
    reload: bool,
    /// The serving process and its release.
    serving: Option<(Run, Release)>,
    phase: ChangePhase,
    /// Number of the next process to be started.
    next: Run,
    /// Since when the serving process has not answered or has accepted no clients.
    silent_since: Option<f64>,
    /// Processes that are being stopped besides the change in progress, and when each was last sent a signal.
    leftovers: Vec<(Run, f64)>,
}

impl Change {
    /// Creates the state of a front whose process `run` serves.
    pub fn new(timeouts: ChangeTimeouts, reload: bool, run: Run, release: Release) -> Change {
        let phase = ChangePhase::Settled;
        let serving = Some((run, release));
        Change { timeouts, reload, serving, phase, next: run + 1, silent_since: None, leftovers: Vec::new() }
    }

    /// Rebuilds the state from the processes found, the oldest first, each with its health and the release
    /// that it was started with; `next` is the first free number. Of two, the newer takes over if it is
    /// healthy and runs one of the releases, else it is withdrawn.
    pub fn recover(
        now: f64,
        timeouts: ChangeTimeouts,
        reload: bool,
        runs: &[(Run, Health, Release)],
        next: Run,
        commands: &mut Vec<ProcessCommand>,
    ) -> Change {
        let reported = |h: Health| if let Health::Serving(release) = h { Some(release) } else { None };
        let mut change = Change { next, serving: None, ..Change::new(timeouts, reload, 0, Release::Old) };
        match *runs {
            [] => change.restart_front(now, 0, commands),
            [(run, health, release)] => change.serving = Some((run, reported(health).unwrap_or(release))),
            [.., (previous, previous_health, release), (new, new_health, _)] => {
                // Processes older than the last two were being stopped.
                let older = runs[..runs.len() - 2].iter().map(|r| r.0);
                commands.extend(older.clone().map(ProcessCommand::Term));
                change.leftovers.extend(older.map(|run| (run, now)));
                if let Some(release) = reported(new_health) {
                    change.serving = Some((new, release));
                    change.phase = ChangePhase::StoppingPrevious { previous, since: now, killed: false };
                    commands.push(ProcessCommand::Term(previous));
                } else {
                    // Withdrawing it is safe: the previous process serves. Whether it would have become
                    // healthy is unknown.
                    change.serving = Some((previous, reported(previous_health).unwrap_or(release)));
                    change.phase = ChangePhase::Withdrawing {
                        next: new,
                        since: now,
                        killed: false,
                        target: Release::New,
                    };
                    commands.push(ProcessCommand::Term(new));
                }
            }
        }
        change
    }

    /// Returns the serving process and its release.
    pub fn serving(&self) -> Option<(Run, Release)> {
        self.serving
    }

    /// Returns the state of the change.
    pub fn phase(&self) -> ChangePhase {
        self.phase
    }

    /// Returns whether no change is in progress and no process is being stopped.
    pub fn settled(&self) -> bool {
        self.phase == ChangePhase::Settled && self.leftovers.is_empty()
    }

    /// Returns whether the front runs this release or is changing to it.
    pub fn targets(&self, release: Release) -> bool {
        match self.phase {
            ChangePhase::Starting { target, .. }
            | ChangePhase::Reloading { target, reverting: false, .. } => target == release,
            _ => self.serving.is_some_and(|s| s.1 == release),
        }
    }

    /// Returns for how long the serving process has not answered or has accepted no clients (seconds).
    pub fn silent_for(&self, now: f64) -> f64 {
        self.silent_since.map_or(0.0, |since| now - since)
    }

    /// Excludes a span without observations (seconds) from all timeouts.
    pub fn exclude_gap(&mut self, gap: f64) {
        match &mut self.phase {
            ChangePhase::Settled => {}
            ChangePhase::Starting { since, ready_since, .. } => {
                *since += gap;
                *ready_since = None;
            }
            ChangePhase::StoppingPrevious { since, .. }
            | ChangePhase::Withdrawing { since, .. }
            | ChangePhase::Down { since, .. }
            | ChangePhase::Reloading { since, .. } => *since += gap,
        }
        self.silent_since = None;
        self.leftovers.iter_mut().for_each(|l| l.1 += gap);
    }

    /// Starts the change of a settled front to this release. A front that runs it already gets a new process.
    pub fn start_change(&mut self, now: f64, target: Release, commands: &mut Vec<ProcessCommand>) {
        let (true, Some((run, release))) = (self.settled(), self.serving) else { return };
        if self.reload && release != target {
            self.phase = ChangePhase::Reloading { target, since: now, reverting: false };
            return commands.push(ProcessCommand::Reload(run, target));
        }
        let next = self.allocate_run();
        self.phase = ChangePhase::Starting { next, target, since: now, ready_since: None };
        commands.push(ProcessCommand::Start(next, target));
    }

    /// Cancels a change to the new release that is in progress.
    pub fn cancel_change(&mut self, now: f64, commands: &mut Vec<ProcessCommand>) {
        match self.phase {
            ChangePhase::Starting { next, target: Release::New, .. } => {
                self.withdraw(now, next, Release::New, commands)
            }
            ChangePhase::Reloading { target: Release::New, reverting: false, .. } => {
                let Some((run, release)) = self.serving else { return };
                self.phase = ChangePhase::Reloading { target: Release::New, since: now, reverting: true };
                commands.push(ProcessCommand::Reload(run, release));
            }
            _ => {}
        }
    }

    fn allocate_run(&mut self) -> Run {
        self.next += 1;
        self.next - 1
    }

    /// Starts a process where none serves, of the old release, which is known to work.
    fn restart_front(&mut self, now: f64, tries: u32, commands: &mut Vec<ProcessCommand>) {
        // A process that was being stopped must still be waited for.
        if let ChangePhase::StoppingPrevious { previous: run, since, .. }
        | ChangePhase::Withdrawing { next: run, since, .. } = self.phase
        {
            self.leftovers.push((run, since));
        }
        let next = self.allocate_run();
        self.phase = ChangePhase::Down { next, since: now, failed: false, tries };
        commands.push(ProcessCommand::Start(next, Release::Old));
    }

    /// Handles an observation of one of the front's processes; appends the commands and events that result.
    pub fn handle_observation(
        &mut self,
        now: f64,
        event: ProcessObservation,
        commands: &mut Vec<ProcessCommand>,
        events: &mut Vec<ProcessEvent>,
    ) {
        match event {
            ProcessObservation::Answered(run, health) => {
                self.handle_answer(now, run, health, commands, events)
            }
            ProcessObservation::StartFailed(run) | ProcessObservation::Exited(run) => {
                self.handle_exit(now, run, commands, events)
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: f64,
        run: Run,
        health: Health,
        commands: &mut Vec<ProcessCommand>,
        events: &mut Vec<ProcessEvent>,
    ) {
        if self.serving.is_some_and(|s| s.0 == run) {
            match health {
                Health::NoAnswer | Health::NotServing => _ = self.silent_since.get_or_insert(now),
                _ => self.silent_since = None,
            }
        }
        match self.phase {
            ChangePhase::Starting { next, target, since, ready_since } if next == run => match health {
                Health::Serving(release) if release == target => {
                    let from = *ready_since.as_ref().unwrap_or(&now);
                    if now - from < self.timeouts.steady_s
                        || ready_since.is_none() && self.timeouts.steady_s > 0.0
                    {
                        self.phase = ChangePhase::Starting { next, target, since, ready_since: Some(from) };
                        return;
                    }
                    let before = self.serving.replace((next, target));
                    self.silent_since = None;
                    match before {
                        Some((previous, _)) => {
                            commands.push(ProcessCommand::Term(previous));
                            self.phase =
                                ChangePhase::StoppingPrevious { previous, since: now, killed: false };
                        }
                        // The previous process has exited by itself meanwhile.
                        None => {
                            self.phase = ChangePhase::Settled;
                            events.push(ProcessEvent::Changed(target));
                        }
                    }
                }
                Health::Serving(_) | Health::OtherBuild => self.withdraw(now, next, target, commands),
                Health::NotServing | Health::NoAnswer => {
                    self.phase = ChangePhase::Starting { next, target, since, ready_since: None }
                }
            },
            ChangePhase::Down { next, .. } if next == run => {
                if let Health::Serving(release) = health {
                    self.serving = Some((next, release));
                    self.phase = ChangePhase::Settled;
                    events.push(ProcessEvent::Changed(release));
                }
            }
            ChangePhase::Reloading { target, reverting, .. } if self.serving.is_some_and(|s| s.0 == run) => {
                let wanted = if reverting { self.serving.map_or(Release::Old, |s| s.1) } else { target };
                if health == Health::Serving(wanted) {
                    self.phase = ChangePhase::Settled;
                    self.serving = Some((run, wanted));
                    events.push(if reverting {
                        ProcessEvent::GaveUp(target)
                    } else {
                        ProcessEvent::Changed(target)
                    });
                }
            }
            _ => {}
        }
    }

    fn withdraw(&mut self, now: f64, next: Run, target: Release, commands: &mut Vec<ProcessCommand>) {
        commands.push(ProcessCommand::Term(next));
        self.phase = ChangePhase::Withdrawing { next, since: now, killed: false, target };
    }

    fn handle_exit(
        &mut self,
        now: f64,
        run: Run,
        commands: &mut Vec<ProcessCommand>,
        events: &mut Vec<ProcessEvent>,
    ) {
        self.leftovers.retain(|l| l.0 != run);
        let served = self.serving.filter(|s| s.0 == run);
        if let Some((_, release)) = served {
            self.serving = None;
            self.silent_since = None;
            events.push(ProcessEvent::Crashed(release));
        }
        match self.phase {
            ChangePhase::Starting { next, target, .. } if next == run => {
                events.push(ProcessEvent::GaveUp(target));
                self.settle(now, commands);
            }
            // The new process may still become healthy; if it fails, another is started then.
            ChangePhase::Starting { .. } => {}
            ChangePhase::Withdrawing { next, target, .. } if next == run => {
                events.push(ProcessEvent::GaveUp(target));
                self.settle(now, commands);
            }
            ChangePhase::StoppingPrevious { previous, .. } if previous == run => {
                self.phase = ChangePhase::Settled;
                events.extend(self.serving.map(|s| ProcessEvent::Changed(s.1)));
            }
            ChangePhase::Down { next, since, tries, .. } if next == run => {
                self.phase = ChangePhase::Down { next, since: since.max(now), failed: true, tries };
            }
            ChangePhase::Reloading { target, .. } if served.is_some() => {
                events.push(ProcessEvent::GaveUp(target));
                self.restart_front(now, 0, commands);
            }
            ChangePhase::Settled | ChangePhase::StoppingPrevious { .. } | ChangePhase::Withdrawing { .. }
                if served.is_some() =>
            {
                self.restart_front(now, 0, commands);
            }
            _ => {}
        }
    }

    /// Ends the change; where no process serves, one is started.
    fn settle(&mut self, now: f64, commands: &mut Vec<ProcessCommand>) {
        self.phase = ChangePhase::Settled;
        if self.serving.is_none() {
            self.restart_front(now, 0, commands);
        }
    }

    /// Applies the timeouts that have passed.
    pub fn tick(&mut self, now: f64, commands: &mut Vec<ProcessCommand>, events: &mut Vec<ProcessEvent>) {
        let timeouts = self.timeouts;
        for (run, since) in &mut self.leftovers {
            if now - *since > timeouts.end_s {
                *since = now;
                commands.push(ProcessCommand::Kill(*run));
                events.push(ProcessEvent::Killed);
            }
        }
        match &mut self.phase {
            ChangePhase::Settled => {}
            &mut ChangePhase::Starting { next, target, since, .. } => {
                if now - since > timeouts.start_s {
                    self.withdraw(now, next, target, commands);
                }
            }
            ChangePhase::StoppingPrevious { previous: run, since, killed, .. }
            | ChangePhase::Withdrawing { next: run, since, killed, .. } => {
                if now - *since > timeouts.end_s {
                    commands.push(ProcessCommand::Kill(*run));
                    if !*killed {
                        events.push(ProcessEvent::Killed);
                    }
                    (*killed, *since) = (true, now);
                }
            }
            &mut ChangePhase::Down { next, since, failed, tries } => {
                let late = !failed && now - since > timeouts.start_s;
                if late {
                    commands.push(ProcessCommand::Kill(next));
                    self.leftovers.push((next, now));
                }
                if late || failed && now - since > timeouts.retry_s * f64::from(1 << tries.min(4)) {
                    if tries + 1 == TRIES_UNTIL_LOST {
                        events.push(ProcessEvent::Lost);
                    }
                    self.restart_front(now, tries + 1, commands);
                }
            }
            &mut ChangePhase::Reloading { target, since, reverting } => {
                if now - since <= timeouts.start_s {
                    return;
                }
                let Some((run, release)) = self.serving else { return };
                if reverting {
                    // Neither reload took effect: only a new process can restore the former settings.
                    events.push(ProcessEvent::GaveUp(target));
                    let next = self.allocate_run();
                    self.phase =
                        ChangePhase::Starting { next, target: release, since: now, ready_since: None };
                    return commands.push(ProcessCommand::Start(next, release));
                }
                self.phase = ChangePhase::Reloading { target, since: now, reverting: true };
                commands.push(ProcessCommand::Reload(run, release));
            }
        }
    }
}
