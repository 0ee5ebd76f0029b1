//! HTML report with SVG plots.

use std::fmt::Write as _;

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use crate::outcome::Outcome;
use crate::outcome::Plot;
use crate::outcome::Series;

/// Width and height of a plot.
const PLOT_SIZE_PIXELS: (u32, u32) = (760, 380);

impl Plot {
    /// Creates a plot of latency over the nines of its quantile.
    pub fn latency(title: impl Into<String>, series: Vec<Series>) -> Self {
        let x = "nines of the quantile (2 is p99)";
        Self { title: title.into(), x, y: "latency, ms", series }
    }

    /// Creates a plot of complete answers over time.
    pub fn goodput(title: impl Into<String>, series: Vec<Series>) -> Self {
        Self { title: title.into(), x: "time, s", y: "complete answers per second", series }
    }

    /// Draws the plot as an SVG element.
    ///
    /// # Errors
    ///
    /// Returns the message of the drawing library.
    pub fn svg(&self) -> Result<String, String> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|error| error.to_string())?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error + '_>> {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let x_max = points().map(|point| point.0).fold(1.0, f64::max);
        let y_max = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
        let area = SVGBackend::with_string(svg, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE).map_err(error_text)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)
            .map_err(error_text)?;
        chart.configure_mesh().x_desc(self.x).y_desc(self.y).draw().map_err(error_text)?;
        for (number, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(number).mix(1.0);
            chart
                .draw_series(LineSeries::new(series.points.clone(), color))
                .map_err(error_text)?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(error_text)?;
        area.present().map_err(error_text)?;
        Ok(())
    }
}

/// Returns the report of a run as an HTML page.
///
/// # Errors
///
/// Returns the message of the drawing library.
pub fn html(outcomes: &[Outcome]) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n\
         <title>jaycrank-bench</title>\n\
         <style>body{font-family:sans-serif;max-width:60em;margin:2em auto}\
         td,th{padding:0 1em 0 0;text-align:left}</style>\n<h1>jaycrank-bench</h1>\n",
    );
    for outcome in outcomes {
        write_section(&mut page, outcome).map_err(|error| error.to_string())?;
        for plot in outcome.plots() {
            page.push_str(&plot.svg()?);
        }
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn write_section(page: &mut String, outcome: &Outcome) -> std::fmt::Result {
    let verdict = if outcome.is_pass() { "pass" } else { "target missed" };
    writeln!(page, "<h2>{}: {verdict}</h2>", outcome.scenario())?;
    writeln!(page, "<p>Baseline: {}</p>", outcome.baseline_policy())?;
    writeln!(page, "<table><tr><th>figure<th>product<th>baseline<th>target")?;
    for (name, figure) in outcome.figures() {
        let baseline = outcome.baseline().get(name);
        let baseline = baseline.map_or(String::new(), |figure| format!("{figure:.4}"));
        let target = outcome.targets().get(name);
        let target = target.map_or(String::new(), |target| {
            let met = if target.is_met(*figure) { "" } else { " (missed)" };
            let op = match target.op {
                crate::outcome::Comparison::AtMost => "&le;",
                crate::outcome::Comparison::AtLeast => "&ge;",
            };
            format!("{op} {}{met}", target.value)
        });
        writeln!(page, "<tr><td>{name}<td>{figure:.4}<td>{baseline}<td>{target}")?;
    }
    writeln!(page, "</table>")
}

#[cold]
fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
