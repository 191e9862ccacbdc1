//! The HTML report: the stages, two plots and the journal's records, from `journal` and `windows.jsonl`.

use crate::drive::StatusSample;
use anyhow::{Context, Result};
use onyxyoke::rollout::{CLASS_MEASURES, Plan, ProcessEvent, Record, Release};
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// Draws a plot of lines over time as SVG.
fn plot(title: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<String> {
    let mut svg = String::new();
    let points = || lines.iter().flat_map(|l| l.1.iter().copied());
    let end = points().map(|p| p.0).fold(1.0, f64::max);
    let (low, high) = points().fold((0.0f64, 1e-3f64), |(l, h), p| (l.min(p.1), h.max(p.1)));
    {
        let area = SVGBackend::with_string(&mut svg, (900, 320)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, low..high * 1.05)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (i, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let series = chart.draw_series(LineSeries::new(points.iter().copied(), color))?;
            series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Writes the report of a rollout from its state folder.
pub fn write(state: &Path, plan: &Plan, out: &Path) -> Result<()> {
    let journal = state.join("journal");
    let bytes = std::fs::read(&journal).with_context(|| format!("'{}'", journal.display()))?;
    let (records, _) = crate::journal::parse_records(&bytes)?;
    let text = std::fs::read_to_string(state.join("windows.jsonl")).unwrap_or_default();
    let samples: Vec<StatusSample> = text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
    let start = samples.first().map_or(0.0, |m| m.at);
    let mut page = format!(
        "<!doctype html><meta charset=utf-8><title>{name}</title><style>body{{font:15px sans-serif;max-width:60em;\
         margin:2em auto}}td,th{{padding:.2em .8em;text-align:left}}</style><h1>{name}</h1>",
        name = escape(&plan.name)
    );
    if let Some(last) = samples.last() {
        let r = &last.report;
        let _ = write!(
            page,
            "<p>{}; {} fronts old, {} new, {} in change, {} silent. {}</p>",
            escape(&r.phase),
            r.old,
            r.new,
            r.changing,
            r.silent,
            r.why.as_deref().map(escape).unwrap_or_default()
        );
    }
    page += "<h2>Stages</h2><table><tr><th>stage<th>class<th>new: requests<th>unserved<th>old: requests<th>unserved</tr>";
    for stage in 0..plan.limits.stages.len() + 1 {
        let of_stage = samples.iter().rfind(|m| m.report.stage == stage && m.report.stages > 0);
        let Some(sample) = of_stage else { continue };
        for (class, [new, old]) in plan.classes.iter().zip(&sample.report.sums) {
            let share = |s: &(f64, f64)| 100.0 * s.1 / s.0.max(1.0);
            let _ = write!(
                page,
                "<tr><td>{}<td>{}<td>{}<td>{:.2} %<td>{}<td>{:.2} %</tr>",
                stage + 1,
                escape(class),
                new.0,
                share(new),
                old.0,
                share(old)
            );
        }
    }
    page += "</table>";
    let over_time = |value: &dyn Fn(&StatusSample) -> f64| {
        samples.iter().map(|m| (m.at - start, value(m))).collect::<Vec<_>>()
    };
    let fronts = [
        ("old".to_owned(), over_time(&|m| m.report.old as f64)),
        ("new".to_owned(), over_time(&|m| m.report.new as f64)),
        ("in change".to_owned(), over_time(&|m| m.report.changing as f64)),
    ];
    page += &plot("fronts", &fronts)?;
    let mut evidence = vec![("stops it".to_owned(), over_time(&|m| m.report.bound))];
    for (i, class) in plan.classes.iter().enumerate() {
        for (j, measure) in CLASS_MEASURES.into_iter().enumerate() {
            let line = over_time(&|m| m.report.evidence.get(i).map_or(0.0, |e| e[j].max(-2.0)));
            evidence.push((format!("{class}, {measure:?}").to_lowercase(), line));
        }
    }
    page += &plot("evidence that new is worse (logarithm of the likelihood ratio)", &evidence)?;
    page += "<h2>What happened</h2><ol>";
    for record in &records {
        let line = match record {
            Record::Ordered { .. } | Record::Noticed { notice: ProcessEvent::Changed(Release::Old), .. } => {
                continue;
            }
            Record::Noticed { front, notice } => format!("{}: {notice:?}", plan.fronts[*front].name),
            Record::Staged { stages, .. } => format!("{} stages", stages.len()),
            other => format!("{other:?}"),
        };
        let _ = write!(page, "<li>{}</li>", escape(&line));
    }
    page += "</ol>";
    std::fs::write(out, page).with_context(|| format!("'{}'", out.display()))
}
