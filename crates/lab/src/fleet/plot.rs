//! Plots the work of each node over time.

use super::record::{Observations, WORK_WINDOW_S};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Number of windows that a point is the mean of.
const WINDOWS_PER_POINT: usize = 4;

/// Draws a line for each cache node: its work per unit of link, relative to the mean of all cache nodes at
/// that time.
pub fn draw(path: &Path, observed: &Observations) -> Result<(), Box<dyn Error>> {
    let caches: Vec<usize> = (0..observed.nodes.len()).filter(|&n| observed.nodes[n].cache).collect();
    let windows = caches.iter().map(|&n| observed.done[n].len()).min().unwrap_or(0);
    let points = windows / WINDOWS_PER_POINT;
    let work_at = |n: usize, p: usize| {
        observed.done[n][p * WINDOWS_PER_POINT..(p + 1) * WINDOWS_PER_POINT].iter().sum::<f64>()
    };
    let mean = |p: usize| caches.iter().map(|&n| work_at(n, p)).sum::<f64>() / caches.len().max(1) as f64;
    let until = (points * WINDOWS_PER_POINT) as f64 * WORK_WINDOW_S;
    let root = SVGBackend::new(path, (1000, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("work per unit of link, relative to the mean of the nodes", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..until.max(1.0), 0.0..3.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("multiple of the mean").draw()?;
    for (i, &n) in caches.iter().enumerate() {
        let color = Palette99::pick(i).mix(0.7);
        let line = (0..points).map(|p| {
            let x = ((p * WINDOWS_PER_POINT) as f64 + WINDOWS_PER_POINT as f64 / 2.0) * WORK_WINDOW_S;
            (x, (work_at(n, p) / mean(p).max(1e-9)).min(3.0))
        });
        chart.draw_series(LineSeries::new(line, color))?;
    }
    for event in &observed.events {
        let x = event - observed.started_at;
        chart.draw_series(LineSeries::new([(x, 0.0), (x, 3.0)], BLACK.mix(0.4)))?;
    }
    root.present()?;
    Ok(())
}
