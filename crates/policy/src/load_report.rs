//! Load reports that leafs add to their answers.
//!
//! A report has the form `running,waiting,slots` or `running,waiting,slots,pace`. The pace is how long
//! work takes on the leaf's machine now, in percent of the usual time.

use crate::placement::LoadReport;

/// Shortest and longest pace that is used. A pace beyond them is taken as the nearest one, so that a
/// false report can neither empty a leaf nor crowd one.
const PACE_MIN: f64 = 0.5;
/// See [`PACE_MIN`].
const PACE_MAX: f64 = 4.0;
/// Unit of the pace.
const PACE_USUAL: f64 = 100.0;
/// Number of figures of a report.
const FIGURES_MAX: usize = 4;

/// What a report says, as far as it can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Parsed {
    /// Requests that run and wait.
    pub load: Option<LoadReport>,
    /// Time that work takes, as a multiple of the usual one.
    pub pace: Option<f64>,
    /// Whether a figure is missing or can't be used.
    pub is_malformed: bool,
}

/// Parses a report and uses what it can.
pub fn parse(text: &str) -> Parsed {
    let mut figures = text.split(',').map(str::trim);
    let mut count = || figures.next().and_then(|figure| figure.parse::<u32>().ok());
    let load = match (count(), count(), count()) {
        (Some(running), Some(waiting), Some(slots)) if slots > 0 => {
            Some(LoadReport { running, waiting, slots })
        }
        _ => None,
    };
    let stated = figures.next();
    let pace = stated.and_then(|figure| figure.parse::<f64>().ok());
    let pace = pace.filter(|pace| pace.is_finite() && *pace > 0.0);
    let pace = pace.map(|pace| (pace / PACE_USUAL).clamp(PACE_MIN, PACE_MAX));
    let is_malformed = load.is_none()
        || pace.is_some() != stated.is_some()
        || text.split(',').count() > FIGURES_MAX;
    Parsed { load, pace, is_malformed }
}
