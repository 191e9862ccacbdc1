//! The figures that operators read on their socket: counts since the start of the process, bumped where they
//! happen, and gauges that the broker publishes. Cells on the one thread, so that reading them waits for nobody.

use crate::interface::ClassId;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// What a count is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// A request served.
    Success = 0,
    /// A request refused: a further try is harmless.
    Busy = 1,
    /// A request failed.
    Failure = 2,
    /// An attempt written whole to a cache node.
    BackendCall = 3,
    /// A request served, but later than its class aims for; counted beside its success.
    Slow = 4,
}

/// How many there are.
const ALL: usize = 5;

/// The names of the counts, in the order of [`Count`].
const COUNTS: [(&str, &str); 4] = [
    ("front_success", "Requests served, by class."),
    ("front_busy", "Requests refused (a further try is harmless), by class."),
    ("front_failure", "Requests failed, by class."),
    ("front_backend_calls", "Attempts written whole to cache nodes, by class."),
];

/// The gauges: requests taken and not ended, cache nodes listed, and of those the ones avoided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub inflight: u64,
    /// Nodes on the list.
    pub hosts_listed: u64,
    /// Nodes on the list that are avoided: draining, cordoned or blamed.
    pub hosts_down: u64,
}

/// Counts by class and gauges.
#[derive(Debug)]
pub struct Metrics {
    classes: Vec<Rc<str>>,
    counts: Vec<[Cell<u64>; ALL]>,
    gauges: Cell<Gauges>,
}

impl Metrics {
    /// All zero, for classes of these names.
    pub fn new(classes: Vec<Rc<str>>) -> Rc<Self> {
        let counts = classes.iter().map(|_| Default::default()).collect();
        Rc::new(Metrics { classes, counts, gauges: Cell::default() })
    }

    /// Counts one of a class. A class that is not known is not counted: no class can be named for it.
    pub fn count(&self, class: ClassId, count: Count) {
        if let Some(cells) = self.counts.get(usize::from(class.0)) {
            let cell = &cells[count as usize];
            cell.set(cell.get() + 1);
        }
    }

    /// Publishes the gauges.
    pub fn publish(&self, gauges: Gauges) {
        self.gauges.set(gauges);
    }

    /// Requests served later than their classes aim for, in the same format. It is a call of its own: what reads
    /// `render` expects what that has had from the start.
    pub fn render_slow(&self) -> String {
        let mut text = String::from(
            "# HELP front_slow Requests served later than their class aims for.\n# TYPE front_slow counter\n",
        );
        for (class, cells) in self.classes.iter().zip(&self.counts) {
            let slow = cells[Count::Slow as usize].get();
            let _ = writeln!(text, "front_slow{{tier=\"{}\"}} {slow}", escape(class));
        }
        text
    }

    /// Prometheus' text format, version 0.0.4: each family with its help and type, one line a series.
    pub fn render(&self) -> String {
        let mut text = String::with_capacity(256 * (self.classes.len() + 1));
        for (i, (name, help)) in COUNTS.iter().enumerate() {
            let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} counter");
            for (class, cells) in self.classes.iter().zip(&self.counts) {
                let _ = writeln!(text, "{name}{{tier=\"{}\"}} {}", escape(class), cells[i].get());
            }
        }
        let g = self.gauges.get();
        let gauges = [
            ("front_inflight", "Requests taken and not ended.", g.inflight),
            ("front_hosts_listed", "Cache nodes on the list.", g.hosts_listed),
            (
                "front_hosts_down",
                "Cache nodes on the list that are avoided: draining, cordoned or blamed.",
                g.hosts_down,
            ),
        ];
        for (name, help, value) in gauges {
            let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} gauge\n{name} {value}");
        }
        text
    }
}

/// A label's value as the text format wants it.
fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_by_class_and_publishes_gauges() {
        let metrics = Metrics::new(vec!["media".into(), "pa\"ges".into()]);
        metrics.count(ClassId(0), Count::Success);
        metrics.count(ClassId(0), Count::Success);
        metrics.count(ClassId(1), Count::Busy);
        metrics.count(ClassId(1), Count::BackendCall);
        metrics.count(ClassId(9), Count::Failure);
        metrics.publish(Gauges { inflight: 4, hosts_listed: 12, hosts_down: 1 });
        let text = metrics.render();
        let lines: Vec<&str> = text.lines().filter(|l| !l.starts_with('#')).collect();
        assert_eq!(
            lines,
            [
                "front_success{tier=\"media\"} 2",
                "front_success{tier=\"pa\\\"ges\"} 0",
                "front_busy{tier=\"media\"} 0",
                "front_busy{tier=\"pa\\\"ges\"} 1",
                "front_failure{tier=\"media\"} 0",
                "front_failure{tier=\"pa\\\"ges\"} 0",
                "front_backend_calls{tier=\"media\"} 0",
                "front_backend_calls{tier=\"pa\\\"ges\"} 1",
                "front_inflight 4",
                "front_hosts_listed 12",
                "front_hosts_down 1",
            ]
        );
        assert_eq!(text.matches("# TYPE").count(), 7);
        metrics.count(ClassId(1), Count::Slow);
        assert!(
            metrics
                .render_slow()
                .contains("front_slow{tier=\"media\"} 0\nfront_slow{tier=\"pa\\\"ges\"} 1\n")
        );
    }
}
