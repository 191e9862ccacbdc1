//! Which process of a front is the newest: a process that is told to end leaves new clients to its successor, if it has one.
//!
//! The two share only `$TMPDIR`, and may have different views of `/proc`. The newest puts a `newest` file of its own in place,
//! which has its name and which it holds a lock on: the system takes that back however it ends. Builds before this one write
//! their pid into the `live` file alone, and look for another's there: it is still written and read.

use crate::{clock, log};
use std::fs::{File, TryLockError};
use std::io::{self, Read, Write};
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
    pub fn register(&mut self) {
        if let Err(e) = self.try_note() {
            log!("cannot note this process in '{}': {e}", self.newest.display());
        }
    }

    fn try_note(&mut self) -> io::Result<()> {
        let new = self.newest.with_extension(format!("new-{}", self.name));
        let mut file = File::create(&new)?;
        // Locked before anybody finds it; the file before keeps the lock of whoever wrote that.
        file.try_lock()?;
        file.write_all(self.name.as_bytes())?;
        std::fs::rename(&new, &self.newest).inspect_err(|_| {
            let _ = std::fs::remove_file(&new);
        })?;
        self.lock = Some(file);
        // The name first: whoever sees the pid of this process alone would take it for one of an earlier build.
        std::fs::write(&self.live, std::process::id().to_string())
    }

    /// Does another process of the front serve beside this one, which was not told to end? One that has ended takes no
    /// clients, whatever it noted.
    pub fn has_successor(&self) -> bool {
        let Ok(mut file) = File::open(&self.newest) else { return false };
        let mut newest = String::new();
        if file.read_to_string(&mut newest).is_err() {
            return false;
        }
        if newest == self.name {
            // An earlier build's process notes its pid alone, and does not tell whether it still lives.
            return self.noted_pid().is_some_and(|pid| pid != std::process::id());
        }
        matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
    }

    /// This process is about to end: if it is the newest, none is noted any more.
    pub fn unregister(&mut self) {
        if std::fs::read_to_string(&self.newest).is_ok_and(|newest| newest == self.name) {
            let _ = std::fs::remove_file(&self.newest);
            if self.noted_pid() == Some(std::process::id()) {
                let _ = std::fs::remove_file(&self.live);
            }
        }
        self.lock = None;
    }

    fn noted_pid(&self) -> Option<u32> {
        std::fs::read_to_string(&self.live).ok()?.trim().parse().ok()
    }
}

#[cfg(test)]
mod tests;
