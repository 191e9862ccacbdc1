//! One front's change: a second process beside the first, asked until it says yes and runs what it should, then the
//! first told to end; every way in which that can fail, and the way back. The front is at no time without a process
//! that serves, unless one ended by itself; then another is started at once.

/// What a front runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum Release {
    /// What ran before.
    Old,
    /// What is rolled out.
    New,
}

/// A process of a front, by number.
pub type Run = u32;

/// How a process answers operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Health {
    /// It takes clients, and says that it runs this.
    Yes(Release),
    /// It takes clients, and runs something else.
    Other,
    /// It takes none now.
    No,
    /// It does not answer in time.
    Silent,
}

/// What happened to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// It answered, or did not.
    Said(Run, Health),
    /// It could not be started.
    NotStarted(Run),
    /// It ended.
    Ended(Run),
}

/// What is to be done with a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum ProcessCommand {
    /// Start it, to run this.
    Start(Run, Release),
    /// SIGTERM.
    Term(Run),
    /// SIGKILL.
    Kill(Run),
    /// Write the settings of this side and SIGHUP.
    Reload(Run, Release),
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "rollout", derive(serde::Serialize, serde::Deserialize))]
pub enum ProcessEvent {
    /// The front now runs this.
    Changed(Release),
    /// The process that was to run this did not start, gave no yes within its time, ended, or ran something else. The one
    /// before serves on.
    GaveUp(Release),
    /// A process that served ended by itself.
    Crashed(Release),
    /// A process did not end when told to, and was killed.
    Killed,
    /// No process serves, and several tries to start one failed.
    Lost,
}

/// Spans (seconds).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangeTimeouts {
    /// A process says yes within so long of its start.
    pub start_s: f64,
    /// It says yes for so long before the one before it is told to end.
    pub steady_s: f64,
    /// It ends within so long of SIGTERM, else it is killed.
    pub end_s: f64,
    /// A try to start a process where none serves is followed by another after so long.
    pub retry_s: f64,
}

/// Tries to start a process where none serves, after which the front counts as lost; they go on.
const TRIES_UNTIL_LOST: u32 = 4;

/// Where a change stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ChangePhase {
    /// Nothing is under way.
    Settled,
    /// A further process is on its way, and has said yes since.
    Starting {
        /// Which.
        next: Run,
        /// What it is to run.
        target: Release,
        /// Since when.
        since: f64,
        /// Since when it says yes.
        ready_since: Option<f64>,
    },
    /// It serves; the one before it was told to end.
    StoppingPrevious {
        /// Which.
        previous: Run,
        /// Since when.
        since: f64,
        /// It was killed.
        killed: bool,
    },
    /// The further process is no good and was told to end.
    Withdrawing {
        /// Which.
        next: Run,
        /// Since when.
        since: f64,
        /// It was killed.
        killed: bool,
        /// What it was to run.
        target: Release,
    },
    /// Nothing serves: a process is started, again and again.
    Down {
        /// The one on its way.
        next: Run,
        /// Since when; and whether it has ended already.
        since: f64,
        /// It failed, and the next try waits.
        failed: bool,
        /// How many tries.
        tries: u32,
    },
    /// The process was told to read its settings again.
    Reloading {
        /// What it is to run.
        target: Release,
        /// Since when.
        since: f64,
        /// It was told to go back to what it had.
        reverting: bool,
    },
}

/// A front.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    timeouts: ChangeTimeouts,
    /// All changed settings take effect in service.
    reload: bool,
    /// Which process serves, and what it runs.
    serving: Option<(Run, Release)>,
    phase: ChangePhase,
    /// The number of the process that is started next.
    next: Run,
    /// Since when the one that serves is silent.
    silent_since: Option<f64>,
    /// Processes that were told to end while something else was under way, and since when.
    leftovers: Vec<(Run, f64)>,
}

impl Change {
    /// A front whose process `run` serves.
    pub fn new(timeouts: ChangeTimeouts, reload: bool, run: Run, release: Release) -> Change {
        let phase = ChangePhase::Settled;
        let serving = Some((run, release));
        Change { timeouts, reload, serving, phase, next: run + 1, silent_since: None, leftovers: Vec::new() }
    }

    /// A front as it was found: processes with what they said and what they were started to run, the oldest first;
    /// `next` is the first free number. Of two, the newer takes over if it says yes to a side; else it is withdrawn.
    pub fn recover(
        now: f64,
        timeouts: ChangeTimeouts,
        reload: bool,
        runs: &[(Run, Health, Release)],
        next: Run,
        commands: &mut Vec<ProcessCommand>,
    ) -> Change {
        let reported = |h: Health| if let Health::Yes(release) = h { Some(release) } else { None };
        let mut change = Change { next, serving: None, ..Change::new(timeouts, reload, 0, Release::Old) };
        match *runs {
            [] => change.restart_front(now, 0, commands),
            [(run, health, release)] => change.serving = Some((run, reported(health).unwrap_or(release))),
            [.., (previous, was, release), (new, is, _)] => {
                // Whatever is older still was to end.
                let older = runs[..runs.len() - 2].iter().map(|r| r.0);
                commands.extend(older.clone().map(ProcessCommand::Term));
                change.leftovers.extend(older.map(|run| (run, now)));
                if let Some(release) = reported(is) {
                    change.serving = Some((new, release));
                    change.phase = ChangePhase::StoppingPrevious { previous, since: now, killed: false };
                    commands.push(ProcessCommand::Term(previous));
                } else {
                    // Withdrawn, it costs nothing; whether it would have come is not known.
                    change.serving = Some((previous, reported(was).unwrap_or(release)));
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

    /// Which process serves, and what it runs.
    pub fn serving(&self) -> Option<(Run, Release)> {
        self.serving
    }

    /// Where it stands.
    pub fn phase(&self) -> ChangePhase {
        self.phase
    }

    /// Is nothing under way, and one process there and no other?
    pub fn settled(&self) -> bool {
        self.phase == ChangePhase::Settled && self.leftovers.is_empty()
    }

    /// Is a process of this side serving, or on its way to?
    pub fn targets(&self, release: Release) -> bool {
        match self.phase {
            ChangePhase::Starting { target, .. }
            | ChangePhase::Reloading { target, reverting: false, .. } => target == release,
            _ => self.serving.is_some_and(|s| s.1 == release),
        }
    }

    /// For how long the process that serves has been silent (seconds).
    pub fn silent_for(&self, now: f64) -> f64 {
        self.silent_since.map_or(0.0, |since| now - since)
    }

    /// A span passed in which nobody looked: it counts for nothing.
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

    /// A settled front goes to this side; one that is there starts a process anew all the same.
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

    /// What is on its way to the new side is not wanted any more.
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

    /// Starts a process where none serves: of what ran before, which is known to serve.
    fn restart_front(&mut self, now: f64, tries: u32, commands: &mut Vec<ProcessCommand>) {
        // What was to end still has to.
        if let ChangePhase::StoppingPrevious { previous: run, since, .. }
        | ChangePhase::Withdrawing { next: run, since, .. } = self.phase
        {
            self.leftovers.push((run, since));
        }
        let next = self.allocate_run();
        self.phase = ChangePhase::Down { next, since: now, failed: false, tries };
        commands.push(ProcessCommand::Start(next, Release::Old));
    }

    /// Hears of one of its processes; what is to be done, and what came of it.
    pub fn handle_event(
        &mut self,
        now: f64,
        event: Event,
        commands: &mut Vec<ProcessCommand>,
        events: &mut Vec<ProcessEvent>,
    ) {
        match event {
            Event::Said(run, health) => self.handle_answer(now, run, health, commands, events),
            Event::NotStarted(run) | Event::Ended(run) => self.handle_exit(now, run, commands, events),
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
                Health::Silent | Health::No => _ = self.silent_since.get_or_insert(now),
                _ => self.silent_since = None,
            }
        }
        match self.phase {
            ChangePhase::Starting { next, target, since, ready_since } if next == run => match health {
                Health::Yes(release) if release == target => {
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
                        // The one before ended by itself meanwhile.
                        None => {
                            self.phase = ChangePhase::Settled;
                            events.push(ProcessEvent::Changed(target));
                        }
                    }
                }
                Health::Yes(_) | Health::Other => self.withdraw(now, next, target, commands),
                Health::No | Health::Silent => {
                    self.phase = ChangePhase::Starting { next, target, since, ready_since: None }
                }
            },
            ChangePhase::Down { next, .. } if next == run => {
                if let Health::Yes(release) = health {
                    self.serving = Some((next, release));
                    self.phase = ChangePhase::Settled;
                    events.push(ProcessEvent::Changed(release));
                }
            }
            ChangePhase::Reloading { target, reverting, .. } if self.serving.is_some_and(|s| s.0 == run) => {
                let wanted = if reverting { self.serving.map_or(Release::Old, |s| s.1) } else { target };
                if health == Health::Yes(wanted) {
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
            // It may yet say yes; if not, another is started then.
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

    /// Nothing more is under way; where nothing serves, a process is started.
    fn settle(&mut self, now: f64, commands: &mut Vec<ProcessCommand>) {
        self.phase = ChangePhase::Settled;
        if self.serving.is_none() {
            self.restart_front(now, 0, commands);
        }
    }

    /// Time has passed.
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
                    // It does not heed its settings either way: a process beside it is the way that is left.
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
