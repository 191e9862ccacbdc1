//! The cases of the table.

use super::scenario::{Fault, FaultKind, Scenario};

/// Mean load of the links, as a share of their size.
pub const MEAN_LINK_LOAD: f64 = 0.45;
/// Length of the warm-up at the start of a run, in which the caches fill; no case measures it (seconds).
pub const WARM_UP_S: f64 = 60.0;

/// One line of the table.
pub struct Case {
    pub name: &'static str,
    /// Applies the differences from the usual scenario.
    pub change: fn(&mut Scenario),
    /// Start and end of the span that is measured (seconds after the warm-up).
    pub measured_span: (f64, f64),
    /// Caches whose mean load is reported beside that of the most and the least loaded cache.
    pub watched_caches: &'static [usize],
}

/// Adds a fault; its times are in seconds after the warm-up.
fn add_fault(scenario: &mut Scenario, kind: FaultKind, caches: &[usize], from: f64, until: f64) {
    scenario.faults.push(Fault {
        kind,
        caches: caches.to_vec(),
        from: WARM_UP_S + from,
        until: WARM_UP_S + until,
    });
}

/// All cases, in the order of the table.
pub const CASES: [Case; 17] = [
    Case {
        name: "zipf 0.7",
        change: |s| s.zipf_exponent = 0.7,
        measured_span: (0.0, 40.0),
        watched_caches: &[],
    },
    Case { name: "zipf 0.9", change: |_| (), measured_span: (0.0, 40.0), watched_caches: &[] },
    Case {
        name: "zipf 1.1",
        change: |s| s.zipf_exponent = 1.1,
        measured_span: (0.0, 40.0),
        watched_caches: &[],
    },
    Case {
        name: "zipf 0.7, links 2 and 6",
        change: |s| (s.zipf_exponent, s.link_sizes) = (0.7, vec![2.0, 6.0]),
        measured_span: (0.0, 40.0),
        watched_caches: &[],
    },
    Case {
        name: "links 1 to 8",
        change: |s| s.link_sizes = vec![1.0, 8.0, 2.0, 5.0],
        measured_span: (0.0, 40.0),
        watched_caches: &[],
    },
    Case {
        name: "three nodes",
        change: |s| (s.caches, s.link_sizes) = (3, vec![26.0]),
        measured_span: (0.0, 40.0),
        watched_caches: &[],
    },
    Case {
        name: "a tenth of the fronts ten times as busy",
        change: |s| (s.busy_share, s.busy_factor) = (0.1, 10.0),
        measured_span: (0.0, 40.0),
        watched_caches: &[],
    },
    Case {
        name: "one object a third of all, its first 8 s",
        change: |s| add_fault(s, FaultKind::HotObject(0.33), &[], 5.0, 40.0),
        measured_span: (5.0, 13.0),
        watched_caches: &[],
    },
    Case {
        name: "the same, 8 to 35 s",
        change: |s| add_fault(s, FaultKind::HotObject(0.33), &[], 5.0, 40.0),
        measured_span: (13.0, 40.0),
        watched_caches: &[],
    },
    Case {
        name: "one 8 times as slow for 10 s: 8 to 30 s after",
        change: |s| add_fault(s, FaultKind::SlowLinks(8.0), &[3], 0.0, 10.0),
        measured_span: (18.0, 40.0),
        watched_caches: &[3],
    },
    Case {
        name: "one 8 times as slow for 10 s: meanwhile",
        change: |s| add_fault(s, FaultKind::SlowLinks(8.0), &[3], 0.0, 10.0),
        measured_span: (2.0, 10.0),
        watched_caches: &[3],
    },
    Case {
        name: "one 8 times as slow for 10 s: 2 to 8 s after",
        change: |s| add_fault(s, FaultKind::SlowLinks(8.0), &[3], 0.0, 10.0),
        measured_span: (12.0, 18.0),
        watched_caches: &[3],
    },
    Case {
        name: "one 8 times as slow for all of 40 s",
        change: |s| add_fault(s, FaultKind::SlowLinks(8.0), &[3], 0.0, 40.0),
        measured_span: (2.0, 40.0),
        watched_caches: &[3],
    },
    Case {
        name: "6 gone, back cold 10 s later: 8 to 30 s after",
        change: |s| add_fault(s, FaultKind::CachesDown, &[1, 4, 7, 10, 13, 16], 0.0, 10.0),
        measured_span: (18.0, 40.0),
        watched_caches: &[1, 4, 7, 10, 13, 16],
    },
    Case {
        name: "all fronts restarted: 0 to 10 s after",
        change: |s| add_fault(s, FaultKind::FrontsRestart, &[], 0.0, 1.0),
        measured_span: (0.0, 10.0),
        watched_caches: &[],
    },
    Case {
        name: "seven in ten fronts gone for 8 s: meanwhile",
        change: |s| add_fault(s, FaultKind::FrontsDown(0.7), &[], 0.0, 8.0),
        measured_span: (0.0, 8.0),
        watched_caches: &[],
    },
    Case {
        name: "all copies gone at once: 0 to 10 s after",
        change: |s| add_fault(s, FaultKind::CachesEmptied, &[], 0.0, 1.0),
        measured_span: (0.0, 10.0),
        watched_caches: &[],
    },
];
