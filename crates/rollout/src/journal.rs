//! The journal: one line a record, each with its checksum, on disk before what it tells is done. A line that was torn by
//! a crash is the last one, and counts for nothing; anything else that does not read is an error. The lease keeps a
//! second tool away.

use anyhow::{Context, Result, bail};
use onyxyoke::rollout::Record;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Reads one line, without its end.
fn line(bytes: &[u8]) -> Option<Record> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (sum, json) = text.split_once(' ')?;
    let right = u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(json.as_bytes());
    right.then(|| serde_json::from_str(json).ok())?
}

/// Reads all records, and how many bytes of the file they are.
pub fn read(bytes: &[u8]) -> Result<(Vec<Record>, u64)> {
    let (mut records, mut good) = (Vec::new(), 0);
    let mut rest = bytes;
    while let Some(end) = rest.iter().position(|b| *b == b'\n') {
        let Some(record) = line(&rest[..end]) else {
            // Whole lines follow a line that was written whole: only the last may be torn.
            if rest[end + 1..].contains(&b'\n') {
                bail!("line {} does not read", records.len() + 1);
            }
            break;
        };
        records.push(record);
        rest = &rest[end + 1..];
        good += end as u64 + 1;
    }
    Ok((records, good))
}

/// The file, open to append.
pub struct Journal {
    file: File,
    end: u64,
    /// What could not be written yet.
    waiting: Vec<u8>,
}

impl Journal {
    /// Opens it, without what was torn, and gives its records.
    pub fn open(path: &Path) -> Result<(Journal, Vec<Record>)> {
        let what = || format!("the journal '{}'", path.display());
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .with_context(what)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).with_context(what)?;
        let (records, end) = read(&bytes).with_context(what)?;
        file.set_len(end).with_context(what)?;
        file.seek(SeekFrom::Start(end)).with_context(what)?;
        file.sync_all().with_context(what)?;
        Ok((Journal { file, end, waiting: Vec::new() }, records))
    }

    /// Takes a record; it is on disk once `sync` says so.
    pub fn push(&mut self, record: &Record) {
        let json = serde_json::to_string(record).unwrap_or_default();
        let line = format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes()));
        self.waiting.extend(line.as_bytes());
    }

    /// Is everything on disk?
    pub fn synced(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Writes what waits. Where that fails nothing of it counts: the next try writes all of it again.
    pub fn sync(&mut self) -> std::io::Result<()> {
        if self.waiting.is_empty() {
            return Ok(());
        }
        let written = self
            .file
            .seek(SeekFrom::Start(self.end))
            .and_then(|_| self.file.write_all(&self.waiting))
            .and_then(|()| self.file.sync_data());
        match written {
            Ok(()) => {
                self.end += self.waiting.len() as u64;
                self.waiting.clear();
                Ok(())
            }
            Err(e) => {
                let _ = self.file.set_len(self.end);
                Err(e)
            }
        }
    }
}

/// Held as long as it lives, and no longer than the process.
pub struct Lease(#[allow(dead_code)] File);

impl Lease {
    /// Takes the lease of a state folder, or says who has it.
    pub fn take(folder: &Path) -> Result<Lease> {
        let path = path(folder);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .with_context(|| format!("the lease '{}'", path.display()))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let mut who = String::new();
                let _ = file.read_to_string(&mut who);
                bail!("another rollout drives these fronts: process {}", who.trim());
            }
            Err(TryLockError::Error(e)) => return Err(e).context("the lease"),
        }
        file.set_len(0)?;
        file.seek(SeekFrom::Start(0))?;
        write!(file, "{}", std::process::id())?;
        Ok(Lease(file))
    }

    /// Does somebody drive?
    pub fn taken(folder: &Path) -> bool {
        File::open(path(folder)).is_ok_and(|f| matches!(f.try_lock_shared(), Err(TryLockError::WouldBlock)))
    }
}

fn path(folder: &Path) -> PathBuf {
    folder.join("lease")
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxyoke::rollout::{OperatorCommand, ProcessCommand, ProcessEvent, Release};

    #[test]
    fn what_was_torn_is_dropped_and_what_was_changed_is_an_error() {
        let path = std::env::temp_dir().join(format!("onyxyoke-journal-{}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let records = [
            Record::Began { name: "a".into(), fronts: 3 },
            Record::Ordered { front: 1, order: ProcessCommand::Start(2, Release::New) },
            Record::Noticed { front: 1, notice: ProcessEvent::Changed(Release::New) },
            Record::CommandReceived(OperatorCommand::Abort),
        ];
        let (mut journal, none) = Journal::open(&path).unwrap();
        assert!(none.is_empty());
        records.iter().for_each(|r| journal.push(r));
        journal.sync().unwrap();
        drop(journal);
        let whole = std::fs::read(&path).unwrap();
        for cut in 0..=whole.len() {
            std::fs::write(&path, &whole[..cut]).unwrap();
            let (mut journal, found) = Journal::open(&path).unwrap();
            let lines = whole[..cut].iter().filter(|b| **b == b'\n').count();
            assert_eq!(found, records[..lines], "cut at {cut}");
            // What is written after it is read after it.
            journal.push(&records[0]);
            journal.sync().unwrap();
            assert_eq!(Journal::open(&path).unwrap().1.len(), lines + 1, "cut at {cut}");
        }
        let mut changed = whole.clone();
        changed[20] ^= 1;
        assert!(read(&changed).unwrap_err().to_string().contains("line 1"));
        std::fs::remove_file(&path).unwrap();
    }
}
