//! Reports of a run: a JSON file for tools, and a plot and a summary line for people.

use std::fs;
use std::io;
use std::path::Path;

use lavendergauge_derive::value;
use plotters::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::load::Second;
use crate::run::Verdict;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// Label and colour of a line of the plot, and the function that returns the count that it shows.
type Line = (&'static str, RGBColor, fn(&Second) -> u32);

/// Why a report could not be written.
#[value]
pub struct Error(pub String);

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error(error.to_string())
    }
}

/// Returns a one-line summary of a run.
pub fn summary(verdict: &Verdict) -> String {
    let checks: u64 = verdict.checks.values().sum();
    let faults: u32 = verdict.faults.values().sum();
    let result = if verdict.breaches.is_empty() { "held" } else { "BROKEN" };
    format!(
        "seed {} {result}: {} jobs accepted, {faults} faults, {checks} checks, {} breaches",
        verdict.seed,
        verdict.accepted,
        verdict.breaches.len()
    )
}

/// Returns the verdict as JSON, as `verdict.json` holds it.
pub fn to_json(verdict: &Verdict) -> Value {
    let breach = |breach: &crate::judge::Breach| {
        json!({"at_ms": breach.at.0, "promise": format!("{:?}", breach.promise),
            "text": breach.text})
    };
    let checks: serde_json::Map<String, Value> = verdict
        .checks
        .iter()
        .map(|(promise, count)| (format!("{promise:?}"), json!(count)))
        .collect();
    json!({"seed": verdict.seed, "accepted": verdict.accepted, "checks": checks,
        "faults": verdict.faults,
        "breaches": verdict.breaches.iter().map(breach).collect::<Vec<Value>>()})
}

/// Writes `verdict.json`, and `calls.svg` with a plot of what callers got, into a directory.
///
/// # Errors
/// When a file cannot be written.
pub fn write(directory: &Path, verdict: &Verdict, seconds: &[Second]) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(&to_json(verdict)).map_err(io::Error::other)?;
    fs::write(directory.join("verdict.json"), text)?;
    plot(&directory.join("calls.svg"), seconds).map_err(|error| Error(error.to_string()))
}

/// Draws what callers got in each second.
fn plot(path: &Path, seconds: &[Second]) -> Result<(), Box<dyn std::error::Error>> {
    let max_count = seconds
        .iter()
        .map(|second| second.accepted.max(second.refused).max(second.in_doubt).max(second.ended))
        .max()
        .unwrap_or(1);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..seconds.len().max(1), 0..max_count + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("a second").draw()?;
    let lines: [Line; 4] = [
        ("accepted", BLUE, |second| second.accepted),
        ("ended", GREEN, |second| second.ended),
        ("refused", RED, |second| second.refused),
        ("no clear answer", BLACK, |second| second.in_doubt),
    ];
    for (name, colour, count) in lines {
        let points = seconds.iter().map(count).enumerate();
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
