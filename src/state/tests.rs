//! Tests of `mod.rs`. Two stores in one folder are the two processes of a front.

use super::*;
use crate::interface::NodeId;
use std::path::Path;

const ADDRESS: &str = "127.0.0.1:4100";
const RETENTION_S: f64 = 17.0;

/// A folder of its own for a test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("onyxyoke-state-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    /// A process of the front `n0`.
    fn process(&self) -> StateStore {
        self.process_of("n0", ADDRESS)
    }

    fn process_of(&self, name: &str, address: &str) -> StateStore {
        StateStore::open(self.0.clone(), name, &[address.parse().unwrap()], RETENTION_S)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Applies an operator's call at the broker of a process, without saving it.
fn call(store: &StateStore, now: f64, action: OperatorOverride) -> Overrides {
    let mut overrides = store.overrides().clone();
    overrides.apply(now, action);
    overrides
}

fn cordon(id: u64) -> OperatorOverride {
    OperatorOverride::Cordon(NodeId(id))
}

fn uncordon(id: u64) -> OperatorOverride {
    OperatorOverride::Uncordon(NodeId(id))
}

/// The cordoned nodes.
fn cordoned(overrides: &Overrides) -> Vec<u64> {
    overrides.iter().filter(|(_, entry)| entry.cordoned).map(|(id, _)| id.0).collect()
}

/// The cordoned nodes in the shared file.
fn shared(store: &StateStore) -> Vec<u64> {
    let text = std::fs::read_to_string(&store.shared_file).unwrap();
    SharedFile::parse(&text).0.cordoned.iter().map(|id| id.0).collect()
}

/// Writes the whole file as an earlier build does.
fn write_as_earlier_build(file: &Path, text: &str) {
    let new = file.with_extension("new-0");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(new, file).unwrap();
}

#[test]
fn state_written_by_one_process_is_read_once_by_the_other() {
    let folder = Folder::new("read-once");
    let mut old = folder.process();
    assert!(old.overrides().is_empty());
    assert_eq!(old.refresh(), None);
    assert_eq!(std::fs::read_dir(&folder.0).unwrap().count(), 0, "nothing is written without a call");
    let mut saved = call(&old, 1.0, cordon(7));
    saved.apply(2.0, cordon(8));
    saved.apply(3.0, uncordon(8));
    old.write(&saved).unwrap();
    assert_eq!(old.refresh(), None, "its own write is no change");
    let mut new = folder.process();
    assert_eq!(new.overrides(), &saved);
    assert_eq!(new.refresh(), None);
    new.write(&call(&new, 4.0, uncordon(7))).unwrap();
    assert_eq!(old.refresh().as_ref(), Some(new.overrides()));
    assert_eq!(old.refresh(), None);
    new.apply_override(cordon(9), 5.0).unwrap();
    assert_eq!(old.refresh().map(|o| cordoned(&o)), Some(vec![9]));
    new.apply_override(uncordon(9), 6.0).unwrap();
    assert_eq!(old.refresh().map(|o| cordoned(&o)), Some(vec![]));
    assert_eq!(old.overrides().get(NodeId(9)).unwrap().restarted_at_ms, Some(6000));
}

#[test]
fn fronts_of_other_names_and_addresses_have_their_own_state() {
    let folder = Folder::new("names");
    let mut old = folder.process();
    old.write(&call(&old, 1.0, cordon(7))).unwrap();
    let other = folder.process_of("n1/x", ADDRESS);
    assert!(other.overrides().is_empty(), "another front has its own file");
    let elsewhere = folder.process_of("n0", "127.0.0.1:4101");
    assert!(elsewhere.overrides().is_empty(), "a front of the same name at another address has its own file");
    let mut here = old.succession();
    here.register();
    assert!(!elsewhere.succession().has_successor());
    assert!(folder.process().succession().has_successor(), "another process of the same front");
    let same_sanitized_name = folder.process_of("n1_x", ADDRESS);
    assert_ne!(
        same_sanitized_name.shared_file, other.shared_file,
        "a name that is sanitized to the same text has its own file"
    );
}

/// Guards against calls that are lost because both processes have read before either writes: the later write
/// replaced the whole file. Both orders of the writes, with cordons and uncordons.
#[test]
fn calls_at_both_processes_between_read_and_write_are_all_kept() {
    for first_writes_first in [true, false] {
        let folder = Folder::new("crossing");
        let mut one = folder.process();
        one.write(&call(&one, 1.0, cordon(1))).unwrap();
        let mut two = folder.process();
        one.refresh();
        two.refresh();
        let mut at_one = call(&one, 2.0, cordon(7));
        at_one.apply(2.0, uncordon(1));
        let at_two = call(&two, 2.0, cordon(8));
        match first_writes_first {
            true => {
                one.write(&at_one).unwrap();
                two.write(&at_two).unwrap();
            }
            false => {
                two.write(&at_two).unwrap();
                one.write(&at_one).unwrap();
            }
        }
        one.refresh();
        two.refresh();
        for store in [&one, &two] {
            assert_eq!(cordoned(store.overrides()), [7, 8], "first writes first: {first_writes_first}");
            assert_eq!(store.overrides().get(NodeId(1)).unwrap().restarted_at_ms, Some(2000));
            assert_eq!(shared(store), [7, 8]);
        }
        drop((one, two));
        assert_eq!(cordoned(folder.process().overrides()), [7, 8]);
    }
}

/// Guards against an older call that takes effect because its process wrote later.
#[test]
fn the_newest_call_for_a_node_counts_whoever_writes_last() {
    for cordon_is_newer in [true, false] {
        let folder = Folder::new("newest");
        let (mut one, mut two) = (folder.process(), folder.process());
        let (at_one, at_two) = if cordon_is_newer { (3.0, 2.0) } else { (2.0, 3.0) };
        let (cordoning, uncordoning) = (call(&one, at_one, cordon(7)), call(&two, at_two, uncordon(7)));
        two.write(&uncordoning).unwrap();
        one.write(&cordoning).unwrap();
        two.refresh();
        one.refresh();
        let expected: &[u64] = if cordon_is_newer { &[7] } else { &[] };
        assert_eq!(cordoned(one.overrides()), expected);
        assert_eq!(cordoned(two.overrides()), expected);
    }
}

/// Guards against cordons that are lost because an earlier build replaces the whole file without them.
#[test]
fn an_earlier_build_beside_loses_nothing_and_nothing_of_it_is_lost() {
    let folder = Folder::new("earlier");
    let mut new = folder.process();
    new.write(&call(&new, clock::now(), cordon(7))).unwrap();
    let file = new.shared_file.clone();
    // It has read no cordon of node 7 when it writes its own.
    write_as_earlier_build(&file, "cordon s-00000008\n");
    assert_eq!(new.refresh().map(|o| cordoned(&o)), Some(vec![7, 8]));
    assert_eq!(shared(&new), [7, 8], "what it wrote over is put back");
    // It writes between the read and the write of a call here.
    let at_new = call(&new, clock::now(), cordon(9));
    write_as_earlier_build(&file, "cordon s-00000007\ncordon s-00000008\ncordon s-0000000a\n");
    new.write(&at_new).unwrap();
    assert_eq!(shared(&new), [7, 8, 9, 10]);
    assert_eq!(new.refresh().map(|o| cordoned(&o)), Some(vec![7, 8, 9, 10]));
    // It knows of all cordons when it lifts one, and writes again without having read that node 8 is lifted
    // here.
    let lifted_at = clock::now() + 0.001;
    let others = "cordon s-00000008\ncordon s-00000009\ncordon s-0000000a\n";
    write_as_earlier_build(&file, &format!("{others}woke s-00000007 {lifted_at:.3}\n"));
    assert_eq!(new.refresh().map(|o| cordoned(&o)), Some(vec![8, 9, 10]));
    new.write(&call(&new, clock::now(), uncordon(8))).unwrap();
    write_as_earlier_build(&file, &format!("{others}woke s-00000007 {lifted_at:.3}\n"));
    assert_eq!(new.refresh(), None);
    assert_eq!((cordoned(new.overrides()), shared(&new)), (vec![9, 10], vec![9, 10]));
}

/// Guards against a write of an earlier build that is lost, or missing for a moment, because it comes between
/// the read and the replacement of the file.
#[test]
fn a_write_between_read_and_replacement_of_the_shared_file_stays() {
    let folder = Folder::new("conflict");
    let file = folder.0.join("front.cordons");
    let replace =
        |expected: Option<&SharedText>| shared_file::replace(&file, "process", expected, "\n").unwrap();
    write_as_earlier_build(&file, "cordon s-00000007\n");
    assert_eq!(replace(None), Replacement::Conflict, "it was created meanwhile");
    let read = shared_file::read(&file).unwrap();
    write_as_earlier_build(&file, "cordon s-00000008\n");
    assert_eq!(replace(read.as_ref()), Replacement::Conflict, "it was replaced meanwhile");
    let read = shared_file::read(&file).unwrap();
    assert_eq!(read.as_ref().unwrap().text, "cordon s-00000008\n");
    assert_eq!(replace(read.as_ref()), Replacement::Done);
    assert_eq!(shared_file::read(&file).unwrap().unwrap().text, "\n");
    assert_eq!(std::fs::read_dir(&folder.0).unwrap().count(), 1, "no other file is left");
}

#[test]
fn records_of_ended_processes_are_merged_and_removed_at_the_next_start() {
    let folder = Folder::new("ended");
    let mut first = folder.process();
    first.write(&call(&first, 1.0, cordon(7))).unwrap();
    let directory = first.shared_file.with_extension("overrides");
    let records = || std::fs::read_dir(&directory).unwrap().count();
    let mut second = folder.process();
    second.write(&call(&second, 2.0, cordon(8))).unwrap();
    assert_eq!(records(), 2);
    // The kernel releases the lock of a process that ended or was killed.
    drop(first);
    let third = folder.process();
    assert_eq!((records(), cordoned(third.overrides())), (2, vec![7, 8]));
    drop((second, third));
    std::fs::write(directory.join("0-0"), "not ours\n\u{0}").unwrap();
    let fourth = folder.process();
    assert_eq!((records(), cordoned(fourth.overrides())), (1, vec![7, 8]));
}

#[test]
fn state_that_cannot_be_written_is_an_error_and_is_saved_later() {
    let folder = Folder::new("unwritable");
    let mut store = folder.process();
    let directory = store.shared_file.with_extension("overrides");
    std::fs::write(&directory, "in the way").unwrap();
    assert!(store.write(&call(&store, 1.0, cordon(7))).is_err());
    std::fs::remove_file(&directory).unwrap();
    assert_eq!(store.refresh(), None);
    assert_eq!(cordoned(folder.process().overrides()), [7]);
}
