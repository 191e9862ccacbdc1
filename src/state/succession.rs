//! Records which process of a front is the newest, so that a process that is told to end can tell whether a
//! successor takes new connections.
//!
//! The processes share only `$TMPDIR`, and may have different views of `/proc`. The newest process puts a
//! `newest` file with its name in place and holds a lock on it, which the kernel releases however the process
//! ends. Earlier builds only write their pid to the `live` file and read it there, so that file is still
//! written and read.

use crate::log;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// This process's record, and the lock that it holds.
pub struct Succession {
    /// The file with the name of the newest process.
    newest: PathBuf,
    /// The file with the pid of the newest process.
    live: PathBuf,
    /// Name of this process.
    name: String,
    /// The locked `newest` file of this process, once it is registered.
    lock: Option<File>,
}

impl Succession {
    /// Creates the record of the process of this name in files beside the front's file of cordons, without
    /// registering the process.
    pub fn new(cordons: &Path, name: String) -> Succession {
        let (newest, live) = (cordons.with_extension("newest"), cordons.with_extension("live"));
        Succession { newest, live, name, lock: None }
    }

    /// Registers this process as the newest of the front, for the process that it replaces.
    pub fn register(&mut self) {
        if let Err(e) = self.try_register() {
            log!("cannot register this process in '{}': {e}", self.newest.display());
        }
    }

    fn try_register(&mut self) -> io::Result<()> {
        let new = self.newest.with_extension(format!("new-{}", self.name));
        let mut file = File::create(&new)?;
        // Locked before it is visible under its final name; the file that it replaces keeps its writer's
        // lock.
        file.try_lock()?;
        file.write_all(self.name.as_bytes())?;
        std::fs::rename(&new, &self.newest).inspect_err(|_| {
            let _ = std::fs::remove_file(&new);
        })?;
        self.lock = Some(file);
        // Written after the name: a pid without a name would be taken for a process of an earlier build.
        std::fs::write(&self.live, std::process::id().to_string())
    }

    /// Returns whether a newer process of the front is running that was not told to end. One that has ended
    /// is not counted, even if its files remain.
    pub fn has_successor(&self) -> bool {
        let Ok(mut file) = File::open(&self.newest) else { return false };
        let mut newest = String::new();
        if file.read_to_string(&mut newest).is_err() {
            return false;
        }
        if newest == self.name {
            // A process of an earlier build only records its pid; whether it still runs is not known.
            return self.recorded_pid().is_some_and(|pid| pid != std::process::id());
        }
        matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
    }

    /// Removes this process's record before it ends, if it is still the newest.
    pub fn unregister(&mut self) {
        if std::fs::read_to_string(&self.newest).is_ok_and(|newest| newest == self.name) {
            let _ = std::fs::remove_file(&self.newest);
            if self.recorded_pid() == Some(std::process::id()) {
                let _ = std::fs::remove_file(&self.live);
            }
        }
        self.lock = None;
    }

    /// Reads the pid in the `live` file.
    fn recorded_pid(&self) -> Option<u32> {
        std::fs::read_to_string(&self.live).ok()?.trim().parse().ok()
    }
}

#[cfg(test)]
mod tests;
