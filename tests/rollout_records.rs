//! The journal format of a rollout's records.
#![cfg(feature = "rollout")]

use onyxyoke::rollout::{OperatorCommand, Outcome, Record};

fn read(line: &str) -> Record {
    serde_json::from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"))
}

/// Guards against a build that cannot continue a rollout of an earlier build, whose journal has older names.
#[test]
fn a_journal_of_an_earlier_build_can_be_read() {
    let rollback = Record::RollbackStarted { why: "memory".into(), aborted: false };
    let staged = Record::Staged { stages: vec![(vec![0], vec![1])], base: vec![0.1], usage: vec![] };
    let earlier = [
        (r#"{"Held":1}"#, Record::Paused(1)),
        (r#""Freed""#, Record::Resumed),
        (r#"{"Said":"Abort"}"#, Record::CommandReceived(OperatorCommand::Abort)),
        (r#"{"Back":{"why":"memory","aborted":false}}"#, rollback),
        (r#"{"Stuck":3}"#, Record::RollbackFailed(3)),
        (r#"{"Ended":"Stopped"}"#, Record::Ended(Outcome::Stopped)),
        (r#"{"Staged":{"stages":[[[0],[1]]],"base":[0.1]}}"#, staged),
    ];
    for (line, record) in earlier {
        assert_eq!(read(line), record, "{line}");
        let rewritten = serde_json::to_string(&record).unwrap();
        assert_eq!(read(&rewritten), record, "{rewritten}");
    }
}
