//! Records as one HTML file that needs no network: service over time, load by server, connections, refusals and
//! moves with the faults on the time axis, times to `UP`, and tables by class and team. The plots are SVG, drawn by plotters.

pub mod fleet;

use crate::score::record::{replay, Entry, EntrySink, RunEvent};
use crate::score::service::{RunOutcome, Scorer, ServiceStats};
use plotters::prelude::*;
use std::fmt::Write as _;
use std::path::Path;

/// What a report needs of a run.
struct Day {
    outcome: RunOutcome,
    counts: fleet::Counts,
    title: String,
    seconds: Vec<(f64, f64)>,
    /// Each server's load, second by second.
    loads: Vec<Vec<f32>>,
    held: Vec<u64>,
    faults: Vec<(f64, f64, String)>,
    /// Times to `UP` by class, at each hundredth.
    to_up: Vec<Vec<f64>>,
}

fn read(path: &Path) -> Result<Day, String> {
    let said = |e: String| format!("{}: {e}", path.display());
    let file = std::fs::File::open(path).map_err(|e| said(format!("cannot be read: {e}")))?;
    let (mut service, mut title, mut from) = (Scorer::default(), String::new(), 0);
    let mut counts = fleet::Counts::default();
    let (mut loads, mut held, mut faults) = (Vec::new(), Vec::new(), Vec::new());
    replay(file, |entry: Entry| {
        match &entry.what {
            RunEvent::Begin { title: told, score_from, .. } => (title, from) = (told.clone(), *score_from),
            RunEvent::Second { loads: now, held: there, .. } => {
                loads.push(now.clone());
                held.push(there.iter().map(|&n| u64::from(n)).sum());
            }
            RunEvent::Fault { text, until } => {
                let at = |us: u64| us.saturating_sub(from) as f64 / 1e6;
                faults.push((at(entry.t), at(*until), text.clone()));
            }
            _ => {}
        }
        counts.read(&entry);
        service.accept(&entry);
    })
    .map_err(said)?;
    let outcome = service.outcome().map_err(said)?;
    let to_up = (0..outcome.classes.len()).map(|class| service.to_up_ms(class)).collect();
    Ok(Day { to_up, outcome, counts, title, seconds: service.seconds().to_vec(), loads, held, faults })
}

/// A line of a plot: its name and its values, one a second.
type Series<'a> = (&'a str, Vec<f64>);

fn plot(
    faults: &[(f64, f64, String)],
    caption: &str,
    axis: &str,
    series: &[Series],
    most: f64,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (900, 260)).into_drawing_area();
        let said = |e: &dyn std::fmt::Display| format!("a plot cannot be drawn: {e}");
        root.fill(&WHITE).map_err(|e| said(&e))?;
        let end = series.iter().map(|s| s.1.len()).max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..most)
            .map_err(|e| said(&e))?;
        chart.configure_mesh().x_desc(axis).draw().map_err(|e| said(&e))?;
        for (i, (from, until, _)) in faults.iter().enumerate() {
            let colour = Palette99::pick(i + 3).mix(0.15).filled();
            let span = Rectangle::new([(*from, 0.0), (until.max(from + 0.3).min(end), most)], colour);
            chart.draw_series(std::iter::once(span)).map_err(|e| said(&e))?;
        }
        for (i, (name, values)) in series.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let points = values.iter().enumerate().map(|(t, v)| (t as f64, v.min(most)));
            let line =
                chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(|e| said(&e))?;
            line.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let labels =
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw();
        labels.map_err(|e| said(&e))?;
        root.present().map_err(|e| said(&e))?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn parts(html: &mut String, what: &str, all: &[ServiceStats]) {
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

fn day(html: &mut String, day: &Day) -> Result<(), String> {
    let o = &day.outcome;
    let _ = write!(
        html,
        "<h2>{} seed {}: {}</h2><p>{} &middot; score {:.4} &middot; service {:.4} &middot; worst 10 s {:.4} &middot; \
         worst class {:.4} &middot; {} requests, {} refused, {} moved, {} broken, {} crossings, {} probes</p>",
        escaped(&o.scenario),
        o.seed,
        escaped(&day.title),
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
    for (from, until, text) in &day.faults {
        let _ = write!(html, "<p class=fault>{from:.1} to {until:.1} s: {}</p>", escaped(text));
    }
    let share: Vec<f64> = day.seconds.iter().map(|(a, s)| if *a > 0.0 { s / a } else { 1.0 }).collect();
    html.push_str(&plot(&day.faults, "service, each second", "seconds", &[("service", share)], 1.0)?);
    let at = |of: &dyn Fn(&[f32]) -> f32| day.loads.iter().map(|l| f64::from(of(l))).collect::<Vec<f64>>();
    let mean = at(&|l| l.iter().sum::<f32>() / l.len().max(1) as f32);
    let most = at(&|l| l.iter().copied().fold(0.0, f32::max));
    let least = at(&|l| l.iter().copied().fold(f32::MAX, f32::min));
    let loads = [("highest", most), ("mean", mean), ("lowest", least)];
    html.push_str(&plot(&day.faults, "load of servers over what each can do", "seconds", &loads, 2.0)?);
    let held: Vec<f64> = day.held.iter().map(|&n| n as f64).collect();
    let top = held.iter().copied().fold(1.0, f64::max) * 1.1;
    html.push_str(&plot(&day.faults, "standing connections", "seconds", &[("held", held)], top)?);
    let refused = day.counts.seconds(&["refused", "refused by contract"]);
    let both = [("refused", refused), ("moved", day.counts.seconds(&["moves"]))];
    let top = both.iter().flat_map(|s| &s.1).copied().fold(1.0, f64::max) * 1.1;
    html.push_str(&plot(&day.faults, "refusals and moves, each second", "seconds", &both, top)?);
    let names = o.classes.iter().map(|c| c.name.as_str());
    let times: Vec<Series> = names.zip(day.to_up.iter().cloned()).collect();
    let top = times.iter().flat_map(|s| &s.1).copied().fold(1.0, f64::max) * 1.05;
    html.push_str(&plot(&[], "time to UP, milliseconds", "hundredths of the requests", &times, top)?);
    html.push_str(&day.counts.html());
    parts(html, "class", &o.classes);
    parts(html, "team", &o.teams);
    Ok(())
}

/// One HTML file of some records.
pub fn html(records: &[impl AsRef<Path>]) -> Result<String, String> {
    let mut html = String::from(
        "<!doctype html><meta charset=utf-8><title>oakdeal-lab</title><style>body{font:14px sans-serif;margin:2em}\
         table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}\
         .bad{color:#b00}.fault{color:#666;margin:0}svg{display:block}</style><h1>Rehearsals</h1>",
    );
    for path in records {
        day(&mut html, &read(path.as_ref())?)?;
    }
    Ok(html)
}
