//! Reads and replaces the file of cordons that both processes of a front write, without losing what an earlier
//! build wrote meanwhile: the new file and the present one are exchanged in one step, so that whatever was
//! replaced is at hand, and goes back to its place if it is not what was read. `membership::SharedFile` defines
//! the format.

use nix::errno::Errno;
use nix::fcntl::{AT_FDCWD, RenameFlags, renameat2};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::UNIX_EPOCH;

/// The text of the file, and when it was written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedText {
    /// The text.
    pub text: String,
    /// When it was written (Unix milliseconds).
    pub written_at_ms: u64,
}

/// Reads the file; `None` if there is none.
pub fn read(path: &Path) -> io::Result<Option<SharedText>> {
    let mut file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut text = String::new();
    file.read_to_string(&mut text)?;
    let modified = file.metadata()?.modified()?;
    let written_at_ms = modified.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    Ok(Some(SharedText { text, written_at_ms }))
}

/// How an attempt to replace the file ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Replacement {
    /// The file holds the new text.
    Done,
    /// Another process wrote the file meanwhile, which holds what that one wrote.
    Conflict,
}

/// Replaces the file for the process of this name if it is still what this process has read. Otherwise the
/// file is left as the other process wrote it: an earlier build takes what it reads for all that is in force,
/// so that even for a moment the file must not lack what such a process has just written.
pub fn replace(
    path: &Path,
    process: &str,
    expected: Option<&SharedText>,
    text: &str,
) -> io::Result<Replacement> {
    let new = path.with_extension(format!("new-{process}"));
    std::fs::write(&new, text)?;
    let replacement = replace_with(&new, path, expected);
    // After an exchange it holds what was replaced; after a rename it is gone.
    let _ = std::fs::remove_file(new);
    replacement
}

fn replace_with(new: &Path, path: &Path, expected: Option<&SharedText>) -> io::Result<Replacement> {
    if read(path)?.as_ref() != expected {
        return Ok(Replacement::Conflict);
    }
    if expected.is_none() {
        return create(new, path);
    }
    if !exchange(new, path)? || read(new)?.as_ref() == expected {
        return Ok(Replacement::Done);
    }
    // What another process wrote in the last microseconds goes back to its place.
    exchange(new, path)?;
    Ok(Replacement::Conflict)
}

/// Puts a new file in place if there is none.
fn create(new: &Path, path: &Path) -> io::Result<Replacement> {
    match renameat2(AT_FDCWD, new, AT_FDCWD, path, RenameFlags::RENAME_NOREPLACE) {
        Ok(()) => Ok(Replacement::Done),
        Err(Errno::EEXIST) => Ok(Replacement::Conflict),
        Err(Errno::EINVAL | Errno::ENOSYS) => std::fs::rename(new, path).map(|()| Replacement::Done),
        Err(e) => Err(e.into()),
    }
}

/// Exchanges two files in one step; returns false if the file system cannot, and the first is renamed over
/// the second.
fn exchange(new: &Path, path: &Path) -> io::Result<bool> {
    match renameat2(AT_FDCWD, new, AT_FDCWD, path, RenameFlags::RENAME_EXCHANGE) {
        Ok(()) => Ok(true),
        Err(Errno::EINVAL | Errno::ENOSYS) => std::fs::rename(new, path).map(|()| false),
        Err(e) => Err(e.into()),
    }
}
