//! `.ci/known-red`: which tests may fail, and that no list lets more fail than it says.

use std::path::PathBuf;
use std::process::{Command, Output};

const TESTS: &str = "\
a::fails: test
b_fails: test
c_fails: test
d_fails: test
twice: test
twice: test
bench: benchmark

6 tests, 1 benchmark
";

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("onyxyoke-known-red-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// What the list of this text lets fail.
fn known(name: &str, text: Option<&str>) -> Output {
    let folder = folder(name);
    let (file, tests) = (folder.join("KNOWN-RED.txt"), folder.join("tests"));
    std::fs::write(&tests, TESTS).unwrap();
    if let Some(text) = text {
        std::fs::write(&file, text).unwrap();
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let output = Command::new(script).args([&file, &tests]).output().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    output
}

#[test]
fn only_what_is_listed_by_its_exact_name_may_fail() {
    for (name, text) in [("none", None), ("empty", Some(""))] {
        let output = known(name, text);
        assert!(output.status.success() && output.stdout.is_empty(), "{name}: everything counts");
    }
    let output = known("two", Some("a::fails | a lock | 28\nb_fails | the clock steps | 28"));
    assert!(output.status.success(), "{output:?}");
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "a::fails\nb_fails\n");
}

#[test]
fn a_list_that_says_anything_else_fails() {
    let wrong = [
        ("part", "fails | why | 28", "'fails' is the name of 0 tests"),
        ("gone", "no_such | why | 28", "'no_such' is the name of 0 tests"),
        ("both", "twice | why | 28", "'twice' is the name of 2 tests"),
        ("bench", "bench | why | 28", "'bench' is the name of 0 tests"),
        ("fields", "b_fails | why", "is not 'test | cause | issue'"),
        ("more", "b_fails | why | 28 | x", "is not 'test | cause | issue'"),
        ("blank", "b_fails |   | 28", "is not 'test | cause | issue'"),
        ("option", "--skip=a::fails | why | 28", "is not 'test | cause | issue'"),
        ("line", "b_fails | why | 28\n\n", "is not 'test | cause | issue'"),
        ("again", "b_fails | why | 28\nb_fails | why | 28\n", "'b_fails' stands twice"),
        (
            "four",
            "a::fails | w | 1\nb_fails | w | 1\nc_fails | w | 1\nd_fails | w | 1\n",
            "three at most may fail",
        ),
    ];
    for (name, text, why) in wrong {
        let output = known(name, Some(text));
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty() && said.contains(why), "{name}: {said}");
    }
}
