//! Results of a scenario and their comparison with the targets.

use std::collections::BTreeMap;

use serde::Serialize;

/// Measured values by name.
pub type Figures = BTreeMap<&'static str, f64>;

/// Direction in which a figure is compared with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Comparison {
    /// The figure must not be larger.
    #[serde(rename = "<=")]
    AtMost,
    /// The figure must not be smaller.
    #[serde(rename = ">=")]
    AtLeast,
}

/// Bound of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Target {
    /// Whether the bound is an upper or a lower one.
    pub op: Comparison,
    /// Value of the bound.
    pub value: f64,
}

impl Target {
    /// Returns whether a figure meets the target. NaN never does.
    pub fn is_met(&self, figure: f64) -> bool {
        match self.op {
            Comparison::AtMost => figure <= self.value,
            Comparison::AtLeast => figure >= self.value,
        }
    }
}

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Label in the legend.
    pub name: String,
    /// Points, ordered by x.
    pub points: Vec<(f64, f64)>,
}

/// A plot of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// Title above the plot.
    pub title: String,
    /// Label of the x axis, with the unit.
    pub x: &'static str,
    /// Label of the y axis, with the unit.
    pub y: &'static str,
    /// Lines of the plot.
    pub series: Vec<Series>,
}

/// Measurements of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Figures of the product.
    pub figures: Figures,
    /// Figures of the baseline, where they apply to it.
    pub baseline: Figures,
    /// Description of the baseline's policy.
    pub baseline_policy: &'static str,
    /// Plots for the report.
    pub plots: Vec<Plot>,
}

/// Result of a scenario, printed as a JSON line with `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    scenario: &'static str,
    seed: u64,
    figures: Figures,
    baseline: Figures,
    baseline_policy: &'static str,
    targets: BTreeMap<&'static str, Target>,
    pass: bool,
    #[serde(skip)]
    plots: Vec<Plot>,
}

impl Outcome {
    /// Compares the measurements of a scenario with its targets.
    ///
    /// A target without a figure is missed.
    pub fn new(
        scenario: &'static str,
        seed: u64,
        targets: &[(&'static str, Comparison, f64)],
        measurement: Measurement,
    ) -> Self {
        let targets: BTreeMap<&'static str, Target> = targets
            .iter()
            .map(|(name, op, value)| (*name, Target { op: *op, value: *value }))
            .collect();
        let is_met = |(name, target): (&&'static str, &Target)| {
            measurement.figures.get(name).is_some_and(|figure| target.is_met(*figure))
        };
        let pass = targets.iter().all(is_met);
        let Measurement { figures, baseline, baseline_policy, plots } = measurement;
        Self { scenario, seed, figures, baseline, baseline_policy, targets, pass, plots }
    }

    /// Returns the name of the scenario.
    pub fn scenario(&self) -> &'static str {
        self.scenario
    }

    /// Returns whether all targets are met.
    pub fn is_pass(&self) -> bool {
        self.pass
    }

    /// Returns the figures of the product.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Returns the figures of the baseline.
    pub fn baseline(&self) -> &Figures {
        &self.baseline
    }

    /// Returns the description of the baseline's policy.
    pub fn baseline_policy(&self) -> &'static str {
        self.baseline_policy
    }

    /// Returns the targets by the name of their figure.
    pub fn targets(&self) -> &BTreeMap<&'static str, Target> {
        &self.targets
    }

    /// Returns the plots for the report.
    pub fn plots(&self) -> &[Plot] {
        &self.plots
    }
}
