//! What survives the process: the cordons that operators set, in a file under `$TMPDIR`, which the two processes
//! of one front share during a replacement. The file's form is `membership::Kept`'s; here it is read and written.

use crate::log;
use crate::membership::{Kept, OperatorOverride};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The file of the cordons, with its text as this process last wrote or read it, and the one in which the newest
/// process of the front notes its pid.
pub struct StateStore {
    path: PathBuf,
    last: RefCell<String>,
    live: PathBuf,
}

impl StateStore {
    /// The file of the front of this name that serves at these addresses, in the folder; what it holds, if there is one.
    /// Two deployments may have fronts of one name and share the folder; none of them shares an address.
    pub fn open(folder: PathBuf, name: &str, addresses: &[SocketAddr]) -> (Self, Option<Kept>) {
        let plain: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        let digest = xxhash_rust::xxh3::xxh3_64(format!("{name} {addresses:?}").as_bytes());
        let path = folder.join(format!("onyxyoke-{plain}-{digest:016x}.cordons"));
        let live = path.with_extension("live");
        let keeper = StateStore { path, last: RefCell::default(), live };
        let kept = keeper.look();
        (keeper, kept)
    }

    /// Notes that this process is the newest of the front, for the one that it replaces.
    pub fn live(&self) {
        if let Err(e) = std::fs::write(&self.live, std::process::id().to_string()) {
            log!("cannot note this process in '{}': {e}", self.live.display());
        }
    }

    /// Does a newer process of the front serve beside this one? One that has ended takes no clients, whatever it noted.
    pub fn succeeded(&self) -> bool {
        self.noted().is_some_and(|pid| pid != std::process::id() && is_alive(pid))
    }

    /// This process is about to end: if it is the newest, none is noted any more.
    pub fn withdraw(&self) {
        if self.noted() == Some(std::process::id()) {
            let _ = std::fs::remove_file(&self.live);
        }
    }

    /// The newest process of the front, as it noted itself.
    fn noted(&self) -> Option<u32> {
        std::fs::read_to_string(&self.live).ok()?.trim().parse().ok()
    }

    /// What the file says, if that changed since this process last wrote or read it.
    pub fn look(&self) -> Option<Kept> {
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
        let (kept, wrong) = Kept::read(&text);
        for line in wrong {
            log!("cordons: '{}', {line}; passed over", self.path.display());
        }
        *self.last.borrow_mut() = text;
        Some(kept)
    }

    /// Carries out a call on the file alone, for a process whose core has ended: the successor takes it in.
    pub fn amend(&self, hand: OperatorOverride, now: f64) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.path).or_else(|e| match e.kind() {
            io::ErrorKind::NotFound => Ok(String::new()),
            _ => Err(e),
        })?;
        let mut kept = Kept::read(&text).0;
        kept.apply(hand, now);
        self.keep(&kept)
    }

    /// Writes the file whole: a new one, renamed over the old, so that a reader finds the one or the other.
    pub fn keep(&self, kept: &Kept) -> io::Result<()> {
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

/// Is there a process of this pid that has not ended? Where the system does not tell, it is taken to be there.
fn is_alive(pid: u32) -> bool {
    match std::fs::read_to_string(format!("/proc/{pid}/stat")) {
        // "PID (NAME) STATE …", in which the name may hold anything: Z and X have ended.
        Ok(stat) => !stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with(['Z', 'X'])),
        Err(e) => e.kind() != io::ErrorKind::NotFound || !std::path::Path::new("/proc/self").exists(),
    }
}

#[cfg(test)]
mod tests;
