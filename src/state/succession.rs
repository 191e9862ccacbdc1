//! Which process of a front is the newest: a process that is told to end leaves new clients to its successor, if it has one.
//!
//! The two share only `$TMPDIR`, and may have different views of `/proc`. The newest writes a name of its own into the
//! `newest` file and holds a lock on a file of that name, which the system takes back however it ends. Builds before this one
//! write their pid into the `live` file alone, and look for another's there: it is still written and read.

use crate::{clock, log};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// What this process notes of itself, and the lock that it holds.
pub struct Succession {
    /// Where the newest process notes its name, and where it notes its pid.
    newest: PathBuf,
    live: PathBuf,
    /// The name that this process has noted.
    name: String,
    /// Held for as long as this process lives.
    lock: Option<File>,
}

impl Succession {
    /// Beside the file of the front's cordons.
    pub fn new(cordons: &Path) -> Succession {
        let name = format!("{}-{:x}", std::process::id(), (clock::now() * 1e6) as u64);
        let (newest, live) = (cordons.with_extension("newest"), cordons.with_extension("live"));
        Succession { newest, live, name, lock: None }
    }

    /// Notes that this process is the newest of the front, for the one that it replaces.
    pub fn note(&mut self) {
        if let Err(e) = self.try_note() {
            log!("cannot note this process in '{}': {e}", self.newest.display());
        }
    }

    fn try_note(&mut self) -> io::Result<()> {
        self.forget_ended();
        let lock = File::create(self.lock_of(&self.name))?;
        lock.try_lock().map_err(io::Error::from)?;
        self.lock = Some(lock);
        // The name first: whoever sees the pid of this process alone would take it for one of an earlier build.
        std::fs::write(&self.newest, &self.name)?;
        std::fs::write(&self.live, std::process::id().to_string())
    }

    /// Does a newer process of the front serve beside this one? One that has ended takes no clients, whatever it noted.
    pub fn has_successor(&self) -> bool {
        match std::fs::read_to_string(&self.newest) {
            Ok(newest) if newest != self.name => self.holds_lock(&newest),
            // An earlier build's process notes its pid alone, and does not tell whether it still lives.
            Ok(_) => self.noted_pid().is_some_and(|pid| pid != std::process::id()),
            Err(_) => false,
        }
    }

    /// This process is about to end: if it is the newest, none is noted any more.
    pub fn withdraw(&mut self) {
        if std::fs::read_to_string(&self.newest).is_ok_and(|newest| newest == self.name) {
            let _ = std::fs::remove_file(&self.newest);
            if self.noted_pid() == Some(std::process::id()) {
                let _ = std::fs::remove_file(&self.live);
            }
        }
        if self.lock.take().is_some() {
            let _ = std::fs::remove_file(self.lock_of(&self.name));
        }
    }

    fn noted_pid(&self) -> Option<u32> {
        std::fs::read_to_string(&self.live).ok()?.trim().parse().ok()
    }

    fn lock_of(&self, name: &str) -> PathBuf {
        self.newest.with_extension(format!("{name}.lock"))
    }

    /// Does the process of this name still live?
    fn holds_lock(&self, name: &str) -> bool {
        let file = File::open(self.lock_of(name));
        file.is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
    }

    /// Removes what processes left behind that were killed.
    fn forget_ended(&self) {
        let (Some(folder), Some(front)) = (self.newest.parent(), self.newest.file_stem()) else { return };
        let of_front = format!("{}.", front.to_string_lossy());
        for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
            let file_name = entry.file_name().to_string_lossy().into_owned();
            let name = file_name.strip_prefix(&of_front).and_then(|rest| rest.strip_suffix(".lock"));
            if name.is_some_and(|name| !self.holds_lock(name)) {
                let _ = std::fs::remove_file(entry.path());
            }
        }
    }
}

#[cfg(test)]
mod tests;
