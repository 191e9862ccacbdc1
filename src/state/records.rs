//! The records of the operators' overrides: a directory for each front under `$TMPDIR`, in which each process
//! of the front writes a record of its own and reads those of the others. No process writes over what another
//! one has confirmed, and none waits for another.
//!
//! A process holds a lock on its record, which the kernel releases however the process ends. The record of a
//! process that has ended is removed at the start of a later one, once that one's own record holds the same.

use crate::log;
use crate::membership::Overrides;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Prefix of a record that is not complete yet.
const INCOMPLETE_PREFIX: &str = "new-";
/// An incomplete record of this age was left by a process that has ended.
const INCOMPLETE_MAX_AGE: Duration = Duration::from_secs(60);
/// Limit of the size of a record (bytes), above that of the longest list of overrides.
const MAX_RECORD_BYTES: u64 = 1 << 20;
/// A listing is repeated at most this often because a record was removed meanwhile.
const MAX_LISTINGS: usize = 8;

/// What a process finds in the records of the others.
#[derive(Debug, Default)]
pub struct OtherRecords {
    /// The merged overrides.
    pub overrides: Overrides,
    /// Whether another process that keeps a record is running.
    pub has_running: bool,
    /// The records of processes that have ended.
    pub ended: Vec<PathBuf>,
}

/// The directory of a front's records, and this process's own.
pub struct Records {
    directory: PathBuf,
    /// Name of this process, which is that of its record.
    process: String,
    /// This process's record, which it holds the lock on, once it is written.
    own: Option<File>,
}

impl Records {
    /// Opens the directory for the process of this name. It is created by the first write.
    pub fn new(directory: PathBuf, process: String) -> Self {
        Records { directory, process, own: None }
    }

    /// Reads the records of all other processes.
    pub fn read_others(&self) -> OtherRecords {
        for _ in 0..MAX_LISTINGS {
            match self.try_read_others() {
                Ok(others) => return others,
                // A record that vanished was merged into that of the process that removed it, which the next
                // listing shows.
                Err(e) if e.kind() == io::ErrorKind::NotFound => {}
                Err(e) => {
                    log!("cordons: cannot read the records in '{}': {e}", self.directory.display());
                    break;
                }
            }
        }
        OtherRecords::default()
    }

    fn try_read_others(&self) -> io::Result<OtherRecords> {
        let mut others = OtherRecords::default();
        let entries = match std::fs::read_dir(&self.directory) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(others),
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let name = entry.file_name();
            let is_incomplete = name.to_string_lossy().starts_with(INCOMPLETE_PREFIX);
            if !is_incomplete && *name != *self.process {
                others.add(entry.path())?;
            }
        }
        Ok(others)
    }

    /// Writes this process's record by renaming a new one over it, so that readers never see a partial one.
    pub fn write(&mut self, overrides: &Overrides) -> io::Result<()> {
        std::fs::create_dir_all(&self.directory)?;
        let new = self.directory.join(format!("{INCOMPLETE_PREFIX}{}", self.process));
        let mut file = File::create(&new)?;
        // Locked before it has its final name; the record that it replaces stays locked until then.
        file.try_lock()?;
        file.write_all(overrides.to_text().as_bytes())?;
        std::fs::rename(&new, self.directory.join(&self.process)).inspect_err(|_| {
            let _ = std::fs::remove_file(&new);
        })?;
        self.own = Some(file);
        Ok(())
    }

    /// Removes records of processes that have ended. This process's record must hold the same overrides.
    pub fn remove_ended(&self, ended: &[PathBuf]) {
        for path in ended {
            if let Err(e) = std::fs::remove_file(path)
                && e.kind() != io::ErrorKind::NotFound
            {
                log!("cordons: cannot remove '{}': {e}", path.display());
            }
        }
        self.remove_incomplete();
    }

    /// Removes incomplete records that processes left behind.
    fn remove_incomplete(&self) {
        let Ok(entries) = std::fs::read_dir(&self.directory) else { return };
        for entry in entries.flatten() {
            let is_incomplete = entry.file_name().to_string_lossy().starts_with(INCOMPLETE_PREFIX);
            let modified = entry.metadata().and_then(|metadata| metadata.modified());
            let age = modified.ok().and_then(|at| at.elapsed().ok());
            if is_incomplete && age.is_some_and(|age| age > INCOMPLETE_MAX_AGE) {
                let _ = std::fs::remove_file(entry.path());
            }
        }
    }
}

impl OtherRecords {
    /// Reads a record and adds it.
    fn add(&mut self, path: PathBuf) -> io::Result<()> {
        let mut file = File::open(&path)?;
        let mut text = String::new();
        if let Err(e) = (&mut file).take(MAX_RECORD_BYTES).read_to_string(&mut text) {
            log!("cordons: cannot read '{}': {e}; ignored", path.display());
            return Ok(());
        }
        let (overrides, errors) = Overrides::parse(&text);
        for error in errors {
            log!("cordons: '{}', {error}; ignored", path.display());
        }
        self.overrides.merge(&overrides);
        match has_ended(&file, &path)? {
            true => self.ended.push(path),
            false => self.has_running = true,
        }
        Ok(())
    }
}

/// Returns whether the process that wrote a record has ended. A file that is no longer the record was replaced
/// by its process, which holds the lock on the new one.
fn has_ended(file: &File, path: &Path) -> io::Result<bool> {
    match file.try_lock_shared() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Ok(false),
        Err(TryLockError::Error(e)) => return Err(e),
    }
    let (opened, current) = (file.metadata()?, std::fs::metadata(path)?);
    Ok((opened.dev(), opened.ino()) == (current.dev(), current.ino()))
}
