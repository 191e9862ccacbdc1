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
pub struct Times {
    /// A process says yes within so long of its start.
    pub start: f64,
    /// It says yes for so long before the one before it is told to end.
    pub steady: f64,
    /// It ends within so long of SIGTERM, else it is killed.
    pub end: f64,
    /// A try to start a process where none serves is followed by another after so long.
    pub again: f64,
}

/// Tries to start a process where none serves, after which the front counts as lost; they go on.
const TRIES: u32 = 4;

/// Where a change stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Nothing is under way.
    Settled,
    /// A further process is on its way, and has said yes since.
    Coming {
        /// Which.
        next: Run,
        /// What it is to run.
        to: Release,
        /// Since when.
        since: f64,
        /// Since when it says yes.
        yes: Option<f64>,
    },
    /// It serves; the one before it was told to end.
    Leaving {
        /// Which.
        old: Run,
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
        to: Release,
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
        to: Release,
        /// Since when.
        since: f64,
        /// It was told to go back to what it had.
        back: bool,
    },
}

/// A front.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    times: Times,
    /// All changed settings take effect in service.
    reload: bool,
    /// Which process serves, and what it runs.
    serving: Option<(Run, Release)>,
    phase: Phase,
    /// The number of the process that is started next.
    next: Run,
    /// Since when the one that serves is silent.
    silent: Option<f64>,
    /// Processes that were told to end while something else was under way, and since when.
    leftovers: Vec<(Run, f64)>,
}

impl Change {
    /// A front whose process `run` serves.
    pub fn new(times: Times, reload: bool, run: Run, side: Release) -> Change {
        let phase = Phase::Settled;
        let serving = Some((run, side));
        Change { times, reload, serving, phase, next: run + 1, silent: None, leftovers: Vec::new() }
    }

    /// A front as it was found: processes with what they said and what they were started to run, the oldest first;
    /// `next` is the first free number. Of two, the newer takes over if it says yes to a side; else it is withdrawn.
    pub fn found(
        now: f64,
        times: Times,
        reload: bool,
        runs: &[(Run, Health, Release)],
        next: Run,
        orders: &mut Vec<ProcessCommand>,
    ) -> Change {
        let said = |h: Health| if let Health::Yes(side) = h { Some(side) } else { None };
        let mut change = Change { next, serving: None, ..Change::new(times, reload, 0, Release::Old) };
        match *runs {
            [] => change.revive(now, 0, orders),
            [(run, health, side)] => change.serving = Some((run, said(health).unwrap_or(side))),
            [.., (old, was, side), (new, is, _)] => {
                // Whatever is older still was to end.
                let older = runs[..runs.len() - 2].iter().map(|r| r.0);
                orders.extend(older.clone().map(ProcessCommand::Term));
                change.leftovers.extend(older.map(|run| (run, now)));
                if let Some(side) = said(is) {
                    change.serving = Some((new, side));
                    change.phase = Phase::Leaving { old, since: now, killed: false };
                    orders.push(ProcessCommand::Term(old));
                } else {
                    // Withdrawn, it costs nothing; whether it would have come is not known.
                    change.serving = Some((old, said(was).unwrap_or(side)));
                    change.phase =
                        Phase::Withdrawing { next: new, since: now, killed: false, to: Release::New };
                    orders.push(ProcessCommand::Term(new));
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
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Is nothing under way, and one process there and no other?
    pub fn settled(&self) -> bool {
        self.phase == Phase::Settled && self.leftovers.is_empty()
    }

    /// Is a process of this side serving, or on its way to?
    pub fn towards(&self, side: Release) -> bool {
        match self.phase {
            Phase::Coming { to, .. } | Phase::Reloading { to, back: false, .. } => to == side,
            _ => self.serving.is_some_and(|s| s.1 == side),
        }
    }

    /// For how long the process that serves has been silent (seconds).
    pub fn silence(&self, now: f64) -> f64 {
        self.silent.map_or(0.0, |since| now - since)
    }

    /// A span passed in which nobody looked: it counts for nothing.
    pub fn skip(&mut self, gap: f64) {
        match &mut self.phase {
            Phase::Settled => {}
            Phase::Coming { since, yes, .. } => {
                *since += gap;
                *yes = None;
            }
            Phase::Leaving { since, .. }
            | Phase::Withdrawing { since, .. }
            | Phase::Down { since, .. }
            | Phase::Reloading { since, .. } => *since += gap,
        }
        self.silent = None;
        self.leftovers.iter_mut().for_each(|l| l.1 += gap);
    }

    /// A settled front goes to this side; one that is there starts a process anew all the same.
    pub fn go(&mut self, now: f64, to: Release, orders: &mut Vec<ProcessCommand>) {
        let (true, Some((run, side))) = (self.settled(), self.serving) else { return };
        if self.reload && side != to {
            self.phase = Phase::Reloading { to, since: now, back: false };
            return orders.push(ProcessCommand::Reload(run, to));
        }
        let next = self.number();
        self.phase = Phase::Coming { next, to, since: now, yes: None };
        orders.push(ProcessCommand::Start(next, to));
    }

    /// What is on its way to the new side is not wanted any more.
    pub fn call_back(&mut self, now: f64, orders: &mut Vec<ProcessCommand>) {
        match self.phase {
            Phase::Coming { next, to: Release::New, .. } => self.withdraw(now, next, Release::New, orders),
            Phase::Reloading { to: Release::New, back: false, .. } => {
                let Some((run, side)) = self.serving else { return };
                self.phase = Phase::Reloading { to: Release::New, since: now, back: true };
                orders.push(ProcessCommand::Reload(run, side));
            }
            _ => {}
        }
    }

    fn number(&mut self) -> Run {
        self.next += 1;
        self.next - 1
    }

    /// Starts a process where none serves: of what ran before, which is known to serve.
    fn revive(&mut self, now: f64, tries: u32, orders: &mut Vec<ProcessCommand>) {
        // What was to end still has to.
        if let Phase::Leaving { old: run, since, .. } | Phase::Withdrawing { next: run, since, .. } =
            self.phase
        {
            self.leftovers.push((run, since));
        }
        let next = self.number();
        self.phase = Phase::Down { next, since: now, failed: false, tries };
        orders.push(ProcessCommand::Start(next, Release::Old));
    }

    /// Hears of one of its processes; what is to be done, and what came of it.
    pub fn hear(
        &mut self,
        now: f64,
        event: Event,
        orders: &mut Vec<ProcessCommand>,
        notices: &mut Vec<ProcessEvent>,
    ) {
        match event {
            Event::Said(run, health) => self.said(now, run, health, orders, notices),
            Event::NotStarted(run) | Event::Ended(run) => self.ended(now, run, orders, notices),
        }
    }

    fn said(
        &mut self,
        now: f64,
        run: Run,
        health: Health,
        orders: &mut Vec<ProcessCommand>,
        notices: &mut Vec<ProcessEvent>,
    ) {
        if self.serving.is_some_and(|s| s.0 == run) {
            match health {
                Health::Silent | Health::No => _ = self.silent.get_or_insert(now),
                _ => self.silent = None,
            }
        }
        match self.phase {
            Phase::Coming { next, to, since, yes } if next == run => match health {
                Health::Yes(side) if side == to => {
                    let from = *yes.as_ref().unwrap_or(&now);
                    if now - from < self.times.steady || yes.is_none() && self.times.steady > 0.0 {
                        self.phase = Phase::Coming { next, to, since, yes: Some(from) };
                        return;
                    }
                    let before = self.serving.replace((next, to));
                    self.silent = None;
                    match before {
                        Some((old, _)) => {
                            orders.push(ProcessCommand::Term(old));
                            self.phase = Phase::Leaving { old, since: now, killed: false };
                        }
                        // The one before ended by itself meanwhile.
                        None => {
                            self.phase = Phase::Settled;
                            notices.push(ProcessEvent::Changed(to));
                        }
                    }
                }
                Health::Yes(_) | Health::Other => self.withdraw(now, next, to, orders),
                Health::No | Health::Silent => self.phase = Phase::Coming { next, to, since, yes: None },
            },
            Phase::Down { next, .. } if next == run => {
                if let Health::Yes(side) = health {
                    self.serving = Some((next, side));
                    self.phase = Phase::Settled;
                    notices.push(ProcessEvent::Changed(side));
                }
            }
            Phase::Reloading { to, back, .. } if self.serving.is_some_and(|s| s.0 == run) => {
                let wanted = if back { self.serving.map_or(Release::Old, |s| s.1) } else { to };
                if health == Health::Yes(wanted) {
                    self.phase = Phase::Settled;
                    self.serving = Some((run, wanted));
                    notices.push(if back { ProcessEvent::GaveUp(to) } else { ProcessEvent::Changed(to) });
                }
            }
            _ => {}
        }
    }

    fn withdraw(&mut self, now: f64, next: Run, to: Release, orders: &mut Vec<ProcessCommand>) {
        orders.push(ProcessCommand::Term(next));
        self.phase = Phase::Withdrawing { next, since: now, killed: false, to };
    }

    fn ended(
        &mut self,
        now: f64,
        run: Run,
        orders: &mut Vec<ProcessCommand>,
        notices: &mut Vec<ProcessEvent>,
    ) {
        self.leftovers.retain(|l| l.0 != run);
        let served = self.serving.filter(|s| s.0 == run);
        if let Some((_, side)) = served {
            self.serving = None;
            self.silent = None;
            notices.push(ProcessEvent::Crashed(side));
        }
        match self.phase {
            Phase::Coming { next, to, .. } if next == run => {
                notices.push(ProcessEvent::GaveUp(to));
                self.rest(now, orders);
            }
            // It may yet say yes; if not, another is started then.
            Phase::Coming { .. } => {}
            Phase::Withdrawing { next, to, .. } if next == run => {
                notices.push(ProcessEvent::GaveUp(to));
                self.rest(now, orders);
            }
            Phase::Leaving { old, .. } if old == run => {
                self.phase = Phase::Settled;
                notices.extend(self.serving.map(|s| ProcessEvent::Changed(s.1)));
            }
            Phase::Down { next, since, tries, .. } if next == run => {
                self.phase = Phase::Down { next, since: since.max(now), failed: true, tries };
            }
            Phase::Reloading { to, .. } if served.is_some() => {
                notices.push(ProcessEvent::GaveUp(to));
                self.revive(now, 0, orders);
            }
            Phase::Settled | Phase::Leaving { .. } | Phase::Withdrawing { .. } if served.is_some() => {
                self.revive(now, 0, orders);
            }
            _ => {}
        }
    }

    /// Nothing more is under way; where nothing serves, a process is started.
    fn rest(&mut self, now: f64, orders: &mut Vec<ProcessCommand>) {
        self.phase = Phase::Settled;
        if self.serving.is_none() {
            self.revive(now, 0, orders);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: f64, orders: &mut Vec<ProcessCommand>, notices: &mut Vec<ProcessEvent>) {
        let times = self.times;
        for (run, since) in &mut self.leftovers {
            if now - *since > times.end {
                *since = now;
                orders.push(ProcessCommand::Kill(*run));
                notices.push(ProcessEvent::Killed);
            }
        }
        match &mut self.phase {
            Phase::Settled => {}
            &mut Phase::Coming { next, to, since, .. } => {
                if now - since > times.start {
                    self.withdraw(now, next, to, orders);
                }
            }
            Phase::Leaving { old: run, since, killed, .. }
            | Phase::Withdrawing { next: run, since, killed, .. } => {
                if now - *since > times.end {
                    orders.push(ProcessCommand::Kill(*run));
                    if !*killed {
                        notices.push(ProcessEvent::Killed);
                    }
                    (*killed, *since) = (true, now);
                }
            }
            &mut Phase::Down { next, since, failed, tries } => {
                let late = !failed && now - since > times.start;
                if late {
                    orders.push(ProcessCommand::Kill(next));
                    self.leftovers.push((next, now));
                }
                if late || failed && now - since > times.again * f64::from(1 << tries.min(4)) {
                    if tries + 1 == TRIES {
                        notices.push(ProcessEvent::Lost);
                    }
                    self.revive(now, tries + 1, orders);
                }
            }
            &mut Phase::Reloading { to, since, back } => {
                if now - since <= times.start {
                    return;
                }
                let Some((run, side)) = self.serving else { return };
                if back {
                    // It does not heed its settings either way: a process beside it is the way that is left.
                    notices.push(ProcessEvent::GaveUp(to));
                    let next = self.number();
                    self.phase = Phase::Coming { next, to: side, since: now, yes: None };
                    return orders.push(ProcessCommand::Start(next, side));
                }
                self.phase = Phase::Reloading { to, since: now, back: true };
                orders.push(ProcessCommand::Reload(run, side));
            }
        }
    }
}
