//! The cases of the table.

use super::scenario::{Fault, FaultKind, Scenario};

/// Mean load of the links.
pub const LOAD: f64 = 0.45;
/// The first seconds of a run, in which the caches fill; no case looks at them.
pub const WARM: f64 = 60.0;

/// One line of the table.
pub struct Case {
    pub name: &'static str,
    /// How its scenario differs from the usual one.
    pub change: fn(&mut Scenario),
    /// From and until when its figures are taken (seconds after the warm ones).
    pub looked_at: (f64, f64),
    /// The caches that are judged beside the most and the least loaded.
    pub watched: &'static [usize],
}

/// Adds a fault, at seconds after the warm ones.
fn fault(scenario: &mut Scenario, kind: FaultKind, caches: &[usize], from: f64, until: f64) {
    scenario.faults.push(Fault { kind, caches: caches.to_vec(), from: WARM + from, until: WARM + until });
}

/// All cases, in the order of the table.
pub const CASES: [Case; 17] = [
    Case { name: "zipf 0.7", change: |s| s.zipf_exponent = 0.7, looked_at: (0.0, 40.0), watched: &[] },
    Case { name: "zipf 0.9", change: |_| (), looked_at: (0.0, 40.0), watched: &[] },
    Case { name: "zipf 1.1", change: |s| s.zipf_exponent = 1.1, looked_at: (0.0, 40.0), watched: &[] },
    Case {
        name: "zipf 0.7, links 2 and 6",
        change: |s| (s.zipf_exponent, s.link_sizes) = (0.7, vec![2.0, 6.0]),
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "links 1 to 8",
        change: |s| s.link_sizes = vec![1.0, 8.0, 2.0, 5.0],
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "three nodes",
        change: |s| (s.caches, s.link_sizes) = (3, vec![26.0]),
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "a tenth of the fronts ten times as busy",
        change: |s| (s.busy_share, s.busy_factor) = (0.1, 10.0),
        looked_at: (0.0, 40.0),
        watched: &[],
    },
    Case {
        name: "one object a third of all, its first 8 s",
        change: |s| fault(s, FaultKind::Hot(0.33), &[], 5.0, 40.0),
        looked_at: (5.0, 13.0),
        watched: &[],
    },
    Case {
        name: "the same, 8 to 35 s",
        change: |s| fault(s, FaultKind::Hot(0.33), &[], 5.0, 40.0),
        looked_at: (13.0, 40.0),
        watched: &[],
    },
    Case {
        name: "one 8 times as slow for 10 s: 8 to 30 s after",
        change: |s| fault(s, FaultKind::Slow(8.0), &[3], 0.0, 10.0),
        looked_at: (18.0, 40.0),
        watched: &[3],
    },
    Case {
        name: "one 8 times as slow for 10 s: meanwhile",
        change: |s| fault(s, FaultKind::Slow(8.0), &[3], 0.0, 10.0),
        looked_at: (2.0, 10.0),
        watched: &[3],
    },
    Case {
        name: "one 8 times as slow for 10 s: 2 to 8 s after",
        change: |s| fault(s, FaultKind::Slow(8.0), &[3], 0.0, 10.0),
        looked_at: (12.0, 18.0),
        watched: &[3],
    },
    Case {
        name: "one 8 times as slow for all of 40 s",
        change: |s| fault(s, FaultKind::Slow(8.0), &[3], 0.0, 40.0),
        looked_at: (2.0, 40.0),
        watched: &[3],
    },
    Case {
        name: "6 gone, back cold 10 s later: 8 to 30 s after",
        change: |s| fault(s, FaultKind::Gone, &[1, 4, 7, 10, 13, 16], 0.0, 10.0),
        looked_at: (18.0, 40.0),
        watched: &[1, 4, 7, 10, 13, 16],
    },
    Case {
        name: "all fronts restarted: 0 to 10 s after",
        change: |s| fault(s, FaultKind::FrontsRestart, &[], 0.0, 1.0),
        looked_at: (0.0, 10.0),
        watched: &[],
    },
    Case {
        name: "seven in ten fronts gone for 8 s: meanwhile",
        change: |s| fault(s, FaultKind::FrontsGone(0.7), &[], 0.0, 8.0),
        looked_at: (0.0, 8.0),
        watched: &[],
    },
    Case {
        name: "all copies gone at once: 0 to 10 s after",
        change: |s| fault(s, FaultKind::Emptied, &[], 0.0, 1.0),
        looked_at: (0.0, 10.0),
        watched: &[],
    },
];
