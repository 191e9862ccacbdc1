//! The state that outlives the process: the operators' cordons, in a file under `$TMPDIR` that the two
//! processes of a front share during a replacement. This module reads and writes the file;
//! `membership::SavedOverrides` defines its format.

mod succession;
mod worker;

use crate::log;
use crate::membership::{OperatorOverride, SavedOverrides};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
pub use succession::Succession;
pub use worker::StateWorker;

/// The state file, with its text as this process last wrote or read it.
pub struct StateStore {
    path: PathBuf,
    last_text: RefCell<String>,
}

impl StateStore {
    /// Opens the state file in `folder` of the front with this name and these addresses; returns what the
    /// file holds, if it exists. The addresses are part of the file's name because two deployments may share
    /// the folder and the names of their fronts, but never an address.
    pub fn open(folder: PathBuf, name: &str, addresses: &[SocketAddr]) -> (Self, Option<SavedOverrides>) {
        let plain: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        let digest = xxhash_rust::xxh3::xxh3_64(format!("{name} {addresses:?}").as_bytes());
        let path = folder.join(format!("onyxyoke-{plain}-{digest:016x}.cordons"));
        let store = StateStore { path, last_text: RefCell::default() };
        let saved = store.read_if_changed();
        (store, saved)
    }

    /// Returns the record of the front's newest process, in files beside this one.
    pub fn succession(&self) -> Succession {
        Succession::new(&self.path)
    }

    /// Reads the file; returns its state if it changed since this process last wrote or read it.
    pub fn read_if_changed(&self) -> Option<SavedOverrides> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                log!("cordons: cannot read '{}': {e}", self.path.display());
                return None;
            }
        };
        if *self.last_text.borrow() == text {
            return None;
        }
        let (saved, errors) = SavedOverrides::parse(&text);
        for error in errors {
            log!("cordons: '{}', {error}; ignored", self.path.display());
        }
        *self.last_text.borrow_mut() = text;
        Some(saved)
    }

    /// Applies a cordon or uncordon to the file alone, for a process whose broker has ended: the successor
    /// reads it.
    pub fn apply_override(&self, action: OperatorOverride, now: f64) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.path).or_else(|e| match e.kind() {
            io::ErrorKind::NotFound => Ok(String::new()),
            _ => Err(e),
        })?;
        let mut saved = SavedOverrides::parse(&text).0;
        saved.apply(action, now);
        self.write(&saved)
    }

    /// Writes the file by renaming a new one over it, so that readers never see a partial file.
    pub fn write(&self, saved: &SavedOverrides) -> io::Result<()> {
        let text = saved.to_text();
        if *self.last_text.borrow() == text {
            return Ok(());
        }
        let new = self.path.with_extension(format!("new-{}", std::process::id()));
        std::fs::write(&new, &text)?;
        std::fs::rename(&new, &self.path).inspect_err(|_| {
            let _ = std::fs::remove_file(&new);
        })?;
        *self.last_text.borrow_mut() = text;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
