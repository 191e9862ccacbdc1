//! Processes of a front, each with a note of its own, in one folder.

use super::*;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxyoke-succession-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn process(&self, name: &str) -> Succession {
        let mut process = Succession::new(&self.0.join("front.cordons"));
        process.name = name.to_owned();
        process.register();
        process
    }

    fn files(&self) -> Vec<String> {
        let names =
            std::fs::read_dir(&self.0).unwrap().map(|e| e.unwrap().file_name().into_string().unwrap());
        let mut names: Vec<String> = names.collect();
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_newer_process_is_a_successor_as_long_as_it_lives() {
    let folder = Folder::new("lives");
    let old = folder.process("old");
    assert!(!old.has_successor(), "it is the newest itself");
    let new = folder.process("new");
    assert!(old.has_successor() && !new.has_successor());
    // Killed: the system takes its lock back.
    drop(new);
    assert!(!old.has_successor());
}

#[test]
fn one_that_is_told_to_end_takes_its_note_back_and_no_other() {
    let folder = Folder::new("withdraws");
    let mut old = folder.process("old");
    let mut new = folder.process("new");
    old.unregister();
    assert!(!new.has_successor());
    let newer = folder.process("newer");
    assert!(new.has_successor(), "what the oldest took back was its own");
    drop(newer);
    let mut last = folder.process("last");
    last.unregister();
    assert!(!new.has_successor());
    new.unregister();
    assert_eq!(folder.files(), Vec::<String>::new());
}

#[test]
fn killed_processes_leave_nothing_but_what_the_next_replaces() {
    let folder = Folder::new("leaves");
    let lives = folder.process("lives");
    drop(folder.process("killed"));
    let next = folder.process("next");
    assert_eq!(folder.files(), ["front.live", "front.newest"]);
    assert!(lives.has_successor() && !next.has_successor());
}

/// A build before this one notes its pid alone.
#[test]
fn a_successor_of_an_earlier_build_is_one() {
    let folder = Folder::new("earlier");
    let old = folder.process("old");
    let other = std::os::unix::process::parent_id().to_string();
    std::fs::write(folder.0.join("front.live"), other).unwrap();
    assert!(old.has_successor());
}

#[test]
fn a_folder_that_cannot_be_written_names_nobody() {
    let mut process = Succession::new(Path::new("/nonexistent/front.cordons"));
    process.register();
    assert!(!process.has_successor());
    process.unregister();
}
