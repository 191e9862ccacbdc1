//! The printed table: the figures of each case, as means over its runs.

use super::cases::{Case, WARM_UP_S};
use super::statistics::{RequestWindow, Statistics, WINDOW_S};
use std::ops::Range;

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Row {
    /// Loads of the most and the least loaded cache, and the mean load of the watched ones, relative to the
    /// mean of all caches.
    most: f64,
    least: f64,
    watched: f64,
    /// Shares of the requested work that were served from the caches' own copies and fetched from the origin.
    hits: f64,
    origin: f64,
    /// Shares of the requests of the whole run that were refused or failed, and that were answered within
    /// their aim.
    refused: f64,
    in_time: f64,
    /// Share of the requests of the measured span that were answered within their aim.
    in_time_in_span: f64,
}

impl Row {
    /// Computes the figures of a run of the case.
    pub fn new(statistics: &Statistics, case: &Case) -> Self {
        let loads: Vec<f64> = statistics.work_by_window.iter().map(|work| load(work, case)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let watched = case.watched_caches.iter().map(|&cache| loads[cache]).fold(0.0, |sum, load| sum + load);
        let requests = statistics.requests as f64;
        Row {
            most: loads.iter().copied().fold(0.0, f64::max) / mean,
            least: loads.iter().copied().fold(f64::MAX, f64::min) / mean,
            watched: watched / case.watched_caches.len().max(1) as f64 / mean,
            hits: 1.0 - statistics.work_filled / statistics.work_requested,
            origin: statistics.work_from_origin / statistics.work_requested,
            refused: (statistics.refused + statistics.failed) as f64 / requests,
            in_time: statistics.in_time as f64 / requests,
            in_time_in_span: in_time_share(&statistics.request_windows, case),
        }
    }
}

/// Returns the indices of the windows in a case's measured span, limited to the `windows` that exist.
fn measured_windows(case: &Case, windows: usize) -> Range<usize> {
    let index = |seconds: f64| ((WARM_UP_S + seconds) / WINDOW_S) as usize;
    let (from, until) = case.measured_span;
    index(from)..index(until).min(windows)
}

fn load(work_by_window: &[f64], case: &Case) -> f64 {
    work_by_window[measured_windows(case, work_by_window.len())].iter().sum()
}

fn in_time_share(windows: &[RequestWindow], case: &Case) -> f64 {
    let windows = &windows[measured_windows(case, windows.len())];
    let arrived: u32 = windows.iter().map(|window| window.arrived).sum();
    let in_time: u32 = windows.iter().map(|window| window.in_time).sum();
    f64::from(in_time) / f64::from(arrived)
}

/// Prints the column names.
pub fn print_head() {
    println!(
        "{:<48} {:>5} {:>5} {:>7} {:>6} {:>6} {:>6} {:>7} {:>6}",
        "case", "most", "least", "watched", "hits", "origin", "refus", "in time", "then"
    );
}

/// Prints the means of a case over its runs.
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
        mean(|row| row.in_time_in_span),
    );
}
