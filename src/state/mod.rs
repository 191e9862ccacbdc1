//! What survives the process: the cordons that operators set, in a file under `$TMPDIR`, which the two processes
//! of one front share during a replacement. The file's form is `membership::SavedOverrides`'s; here it is read and written.

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

/// The file of the cordons, with its text as this process last wrote or read it.
pub struct StateStore {
    path: PathBuf,
    last: RefCell<String>,
}

impl StateStore {
    /// The file of the front of this name that serves at these addresses, in the folder; what it holds, if there is one.
    /// Two deployments may have fronts of one name and share the folder; none of them shares an address.
    pub fn open(folder: PathBuf, name: &str, addresses: &[SocketAddr]) -> (Self, Option<SavedOverrides>) {
        let plain: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        let digest = xxhash_rust::xxh3::xxh3_64(format!("{name} {addresses:?}").as_bytes());
        let path = folder.join(format!("onyxyoke-{plain}-{digest:016x}.cordons"));
        let store = StateStore { path, last: RefCell::default() };
        let kept = store.read_if_changed();
        (store, kept)
    }

    /// Which process of the front is the newest, beside this file.
    pub fn succession(&self) -> Succession {
        Succession::new(&self.path)
    }

    /// What the file says, if that changed since this process last wrote or read it.
    pub fn read_if_changed(&self) -> Option<SavedOverrides> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                log!("cordons: cannot read '{}': {e}", self.path.display());
                return None;
            }
        };
        if *self.last.borrow() == text {
            return None;
        }
        let (kept, wrong) = SavedOverrides::read(&text);
        for line in wrong {
            log!("cordons: '{}', {line}; passed over", self.path.display());
        }
        *self.last.borrow_mut() = text;
        Some(kept)
    }

    /// Carries out a call on the file alone, for a process whose core has ended: the successor takes it in.
    pub fn apply_override(&self, hand: OperatorOverride, now: f64) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.path).or_else(|e| match e.kind() {
            io::ErrorKind::NotFound => Ok(String::new()),
            _ => Err(e),
        })?;
        let mut kept = SavedOverrides::read(&text).0;
        kept.apply(hand, now);
        self.write(&kept)
    }

    /// Writes the file whole: a new one, renamed over the old, so that a reader finds the one or the other.
    pub fn write(&self, kept: &SavedOverrides) -> io::Result<()> {
        let text = kept.text();
        if *self.last.borrow() == text {
            return Ok(());
        }
        let new = self.path.with_extension(format!("new-{}", std::process::id()));
        std::fs::write(&new, &text)?;
        std::fs::rename(&new, &self.path).inspect_err(|_| {
            let _ = std::fs::remove_file(&new);
        })?;
        *self.last.borrow_mut() = text;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
