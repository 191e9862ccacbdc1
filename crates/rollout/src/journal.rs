//! The journal: one record per line, each with a checksum, on disk before the recorded action is taken. A
//! last line that a crash cut off is ignored; any other invalid line is an error. The lease excludes a second
//! driver of the same rollout.

use anyhow::{Context, Result, bail};
use onyxyoke::rollout::Record;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Parses one line without its line end. Returns `None` if the checksum or the record is invalid.
fn parse_line(bytes: &[u8]) -> Option<Record> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (sum, json) = text.split_once(' ')?;
    let checksum_matches = u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(json.as_bytes());
    checksum_matches.then(|| serde_json::from_str(json).ok())?
}

/// Parses all records. Returns them and the number of bytes that they take in the file.
pub fn parse_records(bytes: &[u8]) -> Result<(Vec<Record>, u64)> {
    let (mut records, mut valid_bytes) = (Vec::new(), 0);
    let mut rest = bytes;
    while let Some(end) = rest.iter().position(|b| *b == b'\n') {
        let Some(record) = parse_line(&rest[..end]) else {
            // Only the last line can be cut off: each write appends after complete lines.
            if rest[end + 1..].contains(&b'\n') {
                bail!("line {} is invalid", records.len() + 1);
            }
            break;
        };
        records.push(record);
        rest = &rest[end + 1..];
        valid_bytes += end as u64 + 1;
    }
    Ok((records, valid_bytes))
}

/// The journal's file, open for appending.
pub struct Journal {
    file: File,
    durable_bytes: u64,
    /// Lines that are not on disk yet.
    unsynced: Vec<u8>,
}

impl Journal {
    /// Opens the journal, truncates a last line that was cut off, and returns its records.
    pub fn open(path: &Path) -> Result<(Journal, Vec<Record>)> {
        let description = || format!("the journal '{}'", path.display());
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .with_context(description)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).with_context(description)?;
        let (records, durable_bytes) = parse_records(&bytes).with_context(description)?;
        file.set_len(durable_bytes).with_context(description)?;
        file.seek(SeekFrom::Start(durable_bytes)).with_context(description)?;
        file.sync_all().with_context(description)?;
        Ok((Journal { file, durable_bytes, unsynced: Vec::new() }, records))
    }

    /// Appends a record to the buffer; `sync` writes it to disk.
    pub fn push(&mut self, record: &Record) {
        let json = serde_json::to_string(record).unwrap_or_default();
        let line = format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes()));
        self.unsynced.extend(line.as_bytes());
    }

    /// Returns whether all records are on disk.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// Writes and syncs the buffered records. After a failure the file is truncated to its last synced
    /// length, and the next call writes all of them again.
    pub fn sync(&mut self) -> std::io::Result<()> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        let written = self
            .file
            .seek(SeekFrom::Start(self.durable_bytes))
            .and_then(|_| self.file.write_all(&self.unsynced))
            .and_then(|()| self.file.sync_data());
        match written {
            Ok(()) => {
                self.durable_bytes += self.unsynced.len() as u64;
                self.unsynced.clear();
                Ok(())
            }
            Err(e) => {
                let _ = self.file.set_len(self.durable_bytes);
                Err(e)
            }
        }
    }
}

/// The exclusive lock on a state folder, held until it is dropped or the process ends.
pub struct Lease(#[allow(dead_code)] File);

impl Lease {
    /// Acquires the lease of a state folder; an error names the process that holds it.
    pub fn acquire(folder: &Path) -> Result<Lease> {
        let path = lease_path(folder);
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
                let mut holder = String::new();
                let _ = file.read_to_string(&mut holder);
                bail!("another rollout drives these fronts: process {}", holder.trim());
            }
            Err(TryLockError::Error(e)) => return Err(e).context("the lease"),
        }
        file.set_len(0)?;
        file.seek(SeekFrom::Start(0))?;
        write!(file, "{}", std::process::id())?;
        Ok(Lease(file))
    }

    /// Returns whether a process holds the lease.
    pub fn is_held(folder: &Path) -> bool {
        File::open(lease_path(folder))
            .is_ok_and(|f| matches!(f.try_lock_shared(), Err(TryLockError::WouldBlock)))
    }
}

fn lease_path(folder: &Path) -> PathBuf {
    folder.join("lease")
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxyoke::rollout::{OperatorCommand, ProcessCommand, ProcessEvent, Release};

    #[test]
    fn truncated_last_line_is_dropped_and_changed_line_is_an_error() {
        let path = std::env::temp_dir().join(format!("onyxyoke-journal-{}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let records = [
            Record::Began { name: "a".into(), fronts: 3 },
            Record::Ordered { front: 1, order: ProcessCommand::Start(2, Release::New) },
            Record::Noticed { front: 1, notice: ProcessEvent::Changed(Release::New) },
            Record::CommandReceived(OperatorCommand::Abort),
        ];
        let (mut journal, initial_records) = Journal::open(&path).unwrap();
        assert!(initial_records.is_empty());
        records.iter().for_each(|r| journal.push(r));
        journal.sync().unwrap();
        drop(journal);
        let whole = std::fs::read(&path).unwrap();
        for cut in 0..=whole.len() {
            std::fs::write(&path, &whole[..cut]).unwrap();
            let (mut journal, found) = Journal::open(&path).unwrap();
            let lines = whole[..cut].iter().filter(|b| **b == b'\n').count();
            assert_eq!(found, records[..lines], "cut at {cut}");
            // A record that is appended after the cut is read back.
            journal.push(&records[0]);
            journal.sync().unwrap();
            assert_eq!(Journal::open(&path).unwrap().1.len(), lines + 1, "cut at {cut}");
        }
        let mut changed = whole.clone();
        changed[20] ^= 1;
        assert!(parse_records(&changed).unwrap_err().to_string().contains("line 1"));
        std::fs::remove_file(&path).unwrap();
    }
}
