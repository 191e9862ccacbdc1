//! Tests of `mod.rs`.

use super::*;
use crate::interface::NodeId;

#[test]
fn what_one_process_keeps_the_other_reads_once() {
    let folder = std::env::temp_dir().join(format!("onyxyoke-state-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let at = ["127.0.0.1:4100".parse().unwrap()];
    let (old, none) = StateStore::open(folder.clone(), "n0", &at);
    assert_eq!(none, None);
    let kept = SavedOverrides { cordoned: vec![NodeId(7)], woke: vec![(NodeId(8), 1_764_576_000.25)] };
    old.write(&kept).unwrap();
    assert_eq!(old.read_if_changed(), None, "its own writing is no news to it");
    let (new, found) = StateStore::open(folder.clone(), "n0", &at);
    assert_eq!(found, Some(kept));
    assert_eq!(new.read_if_changed(), None);
    new.write(&SavedOverrides::default()).unwrap();
    assert_eq!(old.read_if_changed(), Some(SavedOverrides::default()));
    new.apply_override(OperatorOverride::Cordon(NodeId(9)), 5.0).unwrap();
    assert_eq!(old.read_if_changed().map(|k| k.cordoned), Some(vec![NodeId(9)]));
    new.apply_override(OperatorOverride::Uncordon(NodeId(9)), 6.0).unwrap();
    assert_eq!(
        old.read_if_changed(),
        Some(SavedOverrides { cordoned: vec![], woke: vec![(NodeId(9), 6.0)] })
    );
    let (other, _) = StateStore::open(folder.clone(), "n1/x", &at);
    assert_eq!(other.read_if_changed(), None, "another front's file is another");
    let elsewhere = StateStore::open(folder.clone(), "n0", &["127.0.0.1:4101".parse().unwrap()]);
    let mut here = old.succession();
    here.register();
    assert!(elsewhere.1.is_none(), "so is that of one of its name elsewhere");
    assert!(!elsewhere.0.succession().has_successor());
    assert!(old.succession().has_successor(), "another process of the same front");
    let alike = StateStore::open(folder.clone(), "n1_x", &at);
    assert!(alike.0.path != other.path, "and that of a name that is written alike");
    std::fs::remove_dir_all(folder).unwrap();
}
