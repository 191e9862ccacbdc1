//! The state that outlives the process: the operators' overrides, in files under `$TMPDIR` that the two
//! processes of a front share during a replacement. Each process writes a record of its own, and merges those
//! of the others; builds before the records know only one file that both processes write, which is kept in
//! step.

mod records;
mod shared_file;
mod succession;
mod worker;

use crate::membership::{EarlierBuildWrite, OperatorOverride, Overrides, SharedFile};
use crate::{clock, log};
use records::Records;
use shared_file::{Replacement, SharedText};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
pub use succession::Succession;
pub use worker::StateWorker;

/// The shared file is replaced at most this often in a row because the other process wrote it meanwhile.
const MAX_REPLACEMENTS: usize = 8;
/// Shortest time for which an earlier build is taken to keep an uncordon in the shared file (milliseconds):
/// four intervals at which it reads the file.
const MIN_UNCORDON_RETENTION_MS: u64 = 1000;

/// The saved overrides of a front.
pub struct StateStore {
    records: Records,
    shared_file: PathBuf,
    /// Name of this process.
    process: String,
    /// How long an earlier build keeps an uncordon in the shared file (milliseconds).
    uncordon_retention_ms: u64,
    /// The overrides of all files and of this process.
    known: Overrides,
    /// What this process's record holds.
    recorded: Overrides,
    /// What [`Self::refresh`] returned last.
    reported: Overrides,
    /// What was last taken from the shared file.
    taken: Option<SharedText>,
    /// Whether the last save failed, which is logged once.
    save_failed: bool,
}

impl StateStore {
    /// Opens the state in `folder` of the front with this name and these addresses. The addresses are part of
    /// the files' names because two deployments may share the folder and the names of their fronts, but never
    /// an address. An earlier build keeps an uncordon in its file for `uncordon_retention_s` seconds.
    pub fn open(folder: PathBuf, name: &str, addresses: &[SocketAddr], uncordon_retention_s: f64) -> Self {
        let plain: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        let digest = xxhash_rust::xxh3::xxh3_64(format!("{name} {addresses:?}").as_bytes());
        let shared_file = folder.join(format!("onyxyoke-{plain}-{digest:016x}.cordons"));
        let process = format!("{}-{:x}", std::process::id(), (clock::now() * 1e6) as u64);
        let mut store = StateStore {
            records: Records::new(shared_file.with_extension("overrides"), process.clone()),
            shared_file,
            process,
            uncordon_retention_ms: ((uncordon_retention_s * 1000.0) as u64).max(MIN_UNCORDON_RETENTION_MS),
            known: Overrides::default(),
            recorded: Overrides::default(),
            reported: Overrides::default(),
            taken: None,
            save_failed: false,
        };
        store.read_at_start();
        store
    }

    /// Reads the files at the start of the process, and removes records of processes that have ended.
    fn read_at_start(&mut self) {
        let others = self.records.read_others();
        self.known.merge(&others.overrides);
        self.take_shared_file(!others.has_running);
        self.reported = self.known.clone();
        if others.ended.is_empty() {
            return;
        }
        match self.save() {
            Ok(()) => self.records.remove_ended(&others.ended),
            Err(e) => log!("cordons: cannot write the state: {e}"),
        }
    }

    /// Returns the overrides that are known.
    pub fn overrides(&self) -> &Overrides {
        &self.known
    }

    /// Returns the record of the front's newest process, in files beside these.
    pub fn succession(&self) -> Succession {
        Succession::new(&self.shared_file, self.process.clone())
    }

    /// Reads what other processes have written, and puts back what an earlier build wrote over. Returns the
    /// overrides if they changed since the last call.
    pub fn refresh(&mut self) -> Option<Overrides> {
        let others = self.records.read_others();
        self.known.merge(&others.overrides);
        self.take_shared_file(false);
        let saved = self.save();
        if let Err(e) = &saved
            && !self.save_failed
        {
            log!("cordons: cannot write the state: {e}");
        }
        self.save_failed = saved.is_err();
        if self.known == self.reported {
            return None;
        }
        self.reported = self.known.clone();
        Some(self.known.clone())
    }

    /// Saves the overrides of this process.
    pub fn write(&mut self, overrides: &Overrides) -> io::Result<()> {
        self.known.merge(overrides);
        if self.known == *overrides {
            self.reported = self.known.clone();
        }
        self.save()
    }

    /// Applies a cordon or uncordon to the files alone, for a process whose broker has ended: the successor
    /// reads it.
    pub fn apply_override(&mut self, action: OperatorOverride, now: f64) -> io::Result<()> {
        self.refresh();
        self.known.apply(now, action);
        self.save()
    }

    /// Writes this process's record, and brings the shared file in step.
    fn save(&mut self) -> io::Result<()> {
        self.write_record()?;
        for _ in 0..MAX_REPLACEMENTS {
            let present = shared_file::read(&self.shared_file)?;
            self.take_from_earlier_build(present.as_ref(), false);
            if self.is_in_step(present.as_ref()) {
                return self.write_record();
            }
            let text = SharedFile::format(&self.known);
            let replacement =
                shared_file::replace(&self.shared_file, &self.process, present.as_ref(), &text)?;
            if replacement == Replacement::Done {
                return self.write_record();
            }
        }
        Err(io::Error::other("the other process keeps writing the file of the cordons"))
    }

    fn write_record(&mut self) -> io::Result<()> {
        if self.known == self.recorded {
            return Ok(());
        }
        #[cfg(feature = "planted")]
        crate::planted::hold("hold-record");
        self.records.write(&self.known)?;
        self.recorded = self.known.clone();
        Ok(())
    }

    /// Returns whether the shared file says the same as the known overrides.
    fn is_in_step(&self, present: Option<&SharedText>) -> bool {
        match present {
            Some(present) => present.text == SharedFile::format(&self.known),
            None => self.known.is_empty(),
        }
    }

    /// Takes over what an earlier build has written to the shared file.
    fn take_shared_file(&mut self, is_only_writer: bool) {
        match shared_file::read(&self.shared_file) {
            Ok(present) => self.take_from_earlier_build(present.as_ref(), is_only_writer),
            Err(e) => log!("cordons: cannot read '{}': {e}", self.shared_file.display()),
        }
    }

    fn take_from_earlier_build(&mut self, present: Option<&SharedText>, is_only_writer: bool) {
        let Some(present) = present.filter(|present| self.is_news(present)) else { return };
        let (file, errors) = SharedFile::parse(&present.text);
        for error in errors {
            log!("cordons: '{}', {error}; ignored", self.shared_file.display());
        }
        let write = EarlierBuildWrite {
            written_at_ms: present.written_at_ms,
            uncordon_retention_ms: self.uncordon_retention_ms,
            is_only_writer,
        };
        let news = file.news(&self.known, write);
        self.known.merge(&news);
        self.taken = Some(present.clone());
    }

    /// Returns whether an earlier build wrote a text that was not taken yet.
    fn is_news(&self, present: &SharedText) -> bool {
        !SharedFile::is_from_record_keeper(&present.text) && self.taken.as_ref() != Some(present)
    }
}

#[cfg(test)]
mod tests;
