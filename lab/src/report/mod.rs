//! Report on recorded runs: one HTML file without external resources.
//!
//! It shows service, server load, connections, refusals and moves over time with the faults, the times to `UP`, and tables
//! by class and team. The plots are SVG, drawn by plotters.

pub mod fleet;

use crate::score::record::{replay, Entry, EntrySink, RunEvent};
use crate::score::service::{RunOutcome, Scorer, ServiceStats};
use plotters::prelude::*;
use std::fmt::Write as _;
use std::path::Path;

/// Data of one recorded run.
struct RunData {
    outcome: RunOutcome,
    counts: fleet::Counts,
    title: String,
    /// Value asked for and served in each second.
    seconds: Vec<(f64, f64)>,
    /// Load of each server in each second.
    loads: Vec<Vec<f32>>,
    /// Number of established connections in each second.
    held: Vec<u64>,
    /// Start and end in seconds, and description, of each fault.
    faults: Vec<(f64, f64, String)>,
    /// Percentiles of the time to `UP`, by class.
    to_up: Vec<Vec<f64>>,
}

fn read(path: &Path) -> Result<RunData, String> {
    let error = |e: String| format!("{}: {e}", path.display());
    let file = std::fs::File::open(path).map_err(|e| error(format!("cannot be read: {e}")))?;
    let (mut service, mut title, mut score_start) = (Scorer::default(), String::new(), 0);
    let mut counts = fleet::Counts::default();
    let (mut loads, mut held, mut faults) = (Vec::new(), Vec::new(), Vec::new());
    replay(file, |entry: Entry| {
        match &entry.what {
            RunEvent::Begin { title: scenario_title, score_from, .. } => {
                (title, score_start) = (scenario_title.clone(), *score_from)
            }
            RunEvent::Second { loads: server_loads, held: by_server, .. } => {
                loads.push(server_loads.clone());
                held.push(by_server.iter().map(|&n| u64::from(n)).sum());
            }
            RunEvent::Fault { text, until } => {
                let seconds = |us: u64| us.saturating_sub(score_start) as f64 / 1e6;
                faults.push((seconds(entry.t), seconds(*until), text.clone()));
            }
            _ => {}
        }
        counts.read(&entry);
        service.accept(&entry);
    })
    .map_err(error)?;
    let outcome = service.outcome().map_err(error)?;
    let to_up = (0..outcome.classes.len()).map(|class| service.to_up_ms(class)).collect();
    Ok(RunData { to_up, outcome, counts, title, seconds: service.seconds().to_vec(), loads, held, faults })
}

/// A line of a plot: its name and its values, one per second or percentile.
type Series<'a> = (&'a str, Vec<f64>);

/// Minimum width of a fault's area in a plot, in seconds, so that short faults are visible.
const MIN_FAULT_WIDTH_S: f64 = 0.3;

/// Draws lines as SVG, with the faults as coloured areas. Values are cut off at `max`.
fn plot(
    faults: &[(f64, f64, String)],
    caption: &str,
    axis: &str,
    series: &[Series],
    max: f64,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (900, 260)).into_drawing_area();
        let error = |e: &dyn std::fmt::Display| format!("a plot cannot be drawn: {e}");
        root.fill(&WHITE).map_err(|e| error(&e))?;
        let end = series.iter().map(|s| s.1.len()).max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..max)
            .map_err(|e| error(&e))?;
        chart.configure_mesh().x_desc(axis).draw().map_err(|e| error(&e))?;
        for (i, (from, until, _)) in faults.iter().enumerate() {
            let colour = Palette99::pick(i + 3).mix(0.15).filled();
            let span =
                Rectangle::new([(*from, 0.0), (until.max(from + MIN_FAULT_WIDTH_S).min(end), max)], colour);
            chart.draw_series(std::iter::once(span)).map_err(|e| error(&e))?;
        }
        for (i, (name, values)) in series.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let points = values.iter().enumerate().map(|(t, v)| (t as f64, v.min(max)));
            let line =
                chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(|e| error(&e))?;
            line.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let labels =
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw();
        labels.map_err(|e| error(&e))?;
        root.present().map_err(|e| error(&e))?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Writes a table with one row per class or team.
fn write_parts(html: &mut String, what: &str, all: &[ServiceStats]) {
    let _ = write!(
        html,
        "<table><tr><th>{what}<th>service<th>requests<th>up<th>refused<th>by contract<th>failed<th>UP ms, 50%<th>99%</tr>"
    );
    for p in all {
        let _ = write!(
            html,
            "<tr><td>{}<td>{:.4}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.0}<td>{:.0}</tr>",
            escaped(&p.name),
            p.service(),
            p.requests,
            p.up,
            p.refused,
            p.by_contract,
            p.failed,
            p.to_up_ms.0,
            p.to_up_ms.1
        );
    }
    html.push_str("</table>");
}

/// Writes the section of one run.
fn write_run(html: &mut String, run: &RunData) -> Result<(), String> {
    let o = &run.outcome;
    let _ = write!(
        html,
        "<h2>{} seed {}: {}</h2><p>{} &middot; score {:.4} &middot; service {:.4} &middot; worst 10 s {:.4} &middot; \
         worst class {:.4} &middot; {} requests, {} refused, {} moved, {} broken, {} crossings, {} probes</p>",
        escaped(&o.scenario),
        o.seed,
        escaped(&run.title),
        escaped(&o.how),
        o.score,
        o.service,
        o.worst,
        o.worst_class,
        o.requests,
        o.refusals,
        o.moves,
        o.broken,
        o.crossings,
        o.probes
    );
    for b in &o.first_breaks {
        let _ =
            write!(html, "<p class=bad>{:?} at {:.3} s: {}</p>", b.rule, b.t as f64 / 1e6, escaped(&b.text));
    }
    for (from, until, text) in &run.faults {
        let _ = write!(html, "<p class=fault>{from:.1} to {until:.1} s: {}</p>", escaped(text));
    }
    let share: Vec<f64> = run.seconds.iter().map(|(a, s)| if *a > 0.0 { s / a } else { 1.0 }).collect();
    html.push_str(&plot(&run.faults, "service, each second", "seconds", &[("service", share)], 1.0)?);
    let each_second =
        |of: &dyn Fn(&[f32]) -> f32| run.loads.iter().map(|l| f64::from(of(l))).collect::<Vec<f64>>();
    let mean = each_second(&|l| l.iter().sum::<f32>() / l.len().max(1) as f32);
    let highest = each_second(&|l| l.iter().copied().fold(0.0, f32::max));
    let lowest = each_second(&|l| l.iter().copied().fold(f32::MAX, f32::min));
    let loads = [("highest", highest), ("mean", mean), ("lowest", lowest)];
    html.push_str(&plot(&run.faults, "load of servers over what each can do", "seconds", &loads, 2.0)?);
    let held: Vec<f64> = run.held.iter().map(|&n| n as f64).collect();
    let top = held.iter().copied().fold(1.0, f64::max) * 1.1;
    html.push_str(&plot(&run.faults, "standing connections", "seconds", &[("held", held)], top)?);
    let refused = run.counts.seconds(&["refused", "refused by contract"]);
    let both = [("refused", refused), ("moved", run.counts.seconds(&["moves"]))];
    let top = both.iter().flat_map(|s| &s.1).copied().fold(1.0, f64::max) * 1.1;
    html.push_str(&plot(&run.faults, "refusals and moves, each second", "seconds", &both, top)?);
    let names = o.classes.iter().map(|c| c.name.as_str());
    let times: Vec<Series> = names.zip(run.to_up.iter().cloned()).collect();
    let top = times.iter().flat_map(|s| &s.1).copied().fold(1.0, f64::max) * 1.05;
    html.push_str(&plot(&[], "time to UP, milliseconds", "hundredths of the requests", &times, top)?);
    html.push_str(&run.counts.html());
    write_parts(html, "class", &o.classes);
    write_parts(html, "team", &o.teams);
    Ok(())
}

/// Returns the HTML report on some records.
pub fn html(records: &[impl AsRef<Path>]) -> Result<String, String> {
    let mut html = String::from(
        "<!doctype html><meta charset=utf-8><title>oakdeal-lab</title><style>body{font:14px sans-serif;margin:2em}\
         table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}\
         .bad{color:#b00}.fault{color:#666;margin:0}svg{display:block}</style><h1>Rehearsals</h1>",
    );
    for path in records {
        write_run(&mut html, &read(path.as_ref())?)?;
    }
    Ok(html)
}
