//! The table: what a case came to, in the mean of its runs.

use super::cases::{Case, WARM};
use super::statistics::{RequestWindow, Statistics, WINDOW};
use std::ops::Range;

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Row {
    /// Load of the most and the least loaded cache and of the watched ones, the mean of all being 1.
    most: f64,
    least: f64,
    watched: f64,
    /// Share of the work that came from the caches' own copies, and of what came from the origin.
    hits: f64,
    origin: f64,
    /// Shares of the requests.
    refused: f64,
    in_time: f64,
    /// The same of those that came in the span that is looked at.
    in_time_then: f64,
}

impl Row {
    pub fn new(statistics: &Statistics, case: &Case) -> Self {
        let loads: Vec<f64> = statistics.work_by_window.iter().map(|work| load(work, case)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let watched = case.watched.iter().map(|&cache| loads[cache]).fold(0.0, |sum, load| sum + load);
        let requests = statistics.requests as f64;
        Row {
            most: loads.iter().copied().fold(0.0, f64::max) / mean,
            least: loads.iter().copied().fold(f64::MAX, f64::min) / mean,
            watched: watched / case.watched.len().max(1) as f64 / mean,
            hits: 1.0 - statistics.work_filled / statistics.work_requested,
            origin: statistics.work_from_origin / statistics.work_requested,
            refused: (statistics.refused + statistics.failed) as f64 / requests,
            in_time: statistics.in_time as f64 / requests,
            in_time_then: in_time_share(&statistics.request_windows, case),
        }
    }
}

/// The windows that a case looks at, of so many.
fn windows_looked_at(case: &Case, windows: usize) -> Range<usize> {
    let index = |seconds: f64| ((WARM + seconds) / WINDOW) as usize;
    let (from, until) = case.looked_at;
    index(from)..index(until).min(windows)
}

fn load(work_by_window: &[f64], case: &Case) -> f64 {
    work_by_window[windows_looked_at(case, work_by_window.len())].iter().sum()
}

fn in_time_share(windows: &[RequestWindow], case: &Case) -> f64 {
    let windows = &windows[windows_looked_at(case, windows.len())];
    let arrived: u32 = windows.iter().map(|window| window.arrived).sum();
    let in_time: u32 = windows.iter().map(|window| window.in_time).sum();
    f64::from(in_time) / f64::from(arrived)
}

/// Prints the columns' names.
pub fn print_head() {
    println!(
        "{:<48} {:>5} {:>5} {:>7} {:>6} {:>6} {:>6} {:>7} {:>6}",
        "case", "most", "least", "watched", "hits", "origin", "refus", "in time", "then"
    );
}

/// Prints a case's means over its runs.
pub fn print_means(case: &Case, rows: &[Row]) {
    let mean = |figure: fn(&Row) -> f64| rows.iter().map(figure).sum::<f64>() / rows.len() as f64;
    println!(
        "{:<48} {:>5.2} {:>5.2} {:>7.2} {:>6.3} {:>6.3} {:>6.3} {:>7.3} {:>6.3}",
        case.name,
        mean(|row| row.most),
        mean(|row| row.least),
        mean(|row| row.watched),
        mean(|row| row.hits),
        mean(|row| row.origin),
        mean(|row| row.refused),
        mean(|row| row.in_time),
        mean(|row| row.in_time_then),
    );
}
