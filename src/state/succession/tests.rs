//! Several processes of a front, simulated by records in one folder.

use super::*;

/// A temporary folder, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxyoke-succession-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn process(&self, name: &str) -> Succession {
        let mut process = Succession::new(&self.0.join("front.cordons"), name.to_owned());
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
fn newer_process_is_a_successor_while_it_runs() {
    let folder = Folder::new("lives");
    let old = folder.process("old");
    assert!(!old.has_successor(), "it is the newest itself");
    let new = folder.process("new");
    assert!(old.has_successor() && !new.has_successor());
    // The lock is released when the process is killed.
    drop(new);
    assert!(!old.has_successor());
}

#[test]
fn unregistering_removes_only_its_own_record() {
    let folder = Folder::new("withdraws");
    let mut old = folder.process("old");
    let mut new = folder.process("new");
    old.unregister();
    assert!(!new.has_successor());
    let newer = folder.process("newer");
    assert!(new.has_successor(), "the oldest removed only its own record");
    drop(newer);
    let mut last = folder.process("last");
    last.unregister();
    assert!(!new.has_successor());
    new.unregister();
    assert_eq!(folder.files(), Vec::<String>::new());
}

#[test]
fn files_of_killed_processes_are_replaced_by_the_next() {
    let folder = Folder::new("leaves");
    let lives = folder.process("lives");
    drop(folder.process("killed"));
    let next = folder.process("next");
    assert_eq!(folder.files(), ["front.live", "front.newest"]);
    assert!(lives.has_successor() && !next.has_successor());
}

/// Earlier builds only record their pid.
#[test]
fn process_of_an_earlier_build_counts_as_successor() {
    let folder = Folder::new("earlier");
    let old = folder.process("old");
    let other = std::os::unix::process::parent_id().to_string();
    std::fs::write(folder.0.join("front.live"), other).unwrap();
    assert!(old.has_successor());
}

#[test]
fn unwritable_folder_yields_no_successor() {
    let mut process = Succession::new(Path::new("/nonexistent/front.cordons"), "process".to_owned());
    process.register();
    assert!(!process.has_successor());
    process.unregister();
}
