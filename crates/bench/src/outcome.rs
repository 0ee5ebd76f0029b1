//! Result of a scenario: figures against targets.

use std::collections::BTreeMap;

use serde::Serialize;

/// Figures by name.
pub type Figures = BTreeMap<&'static str, f64>;

/// Comparison of a figure with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Comparison {
    /// The figure must not be larger.
    #[serde(rename = "<=")]
    AtMost,
    /// The figure must not be smaller.
    #[serde(rename = ">=")]
    AtLeast,
}

/// What a figure must reach.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Target {
    /// Comparison.
    pub op: Comparison,
    /// Bound.
    pub value: f64,
}

impl Target {
    /// Whether a figure reaches the target; a figure that is not a number never does.
    pub fn is_met(&self, figure: f64) -> bool {
        match self.op {
            Comparison::AtMost => figure <= self.value,
            Comparison::AtLeast => figure >= self.value,
        }
    }
}

/// One line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points from left to right.
    pub points: Vec<(f64, f64)>,
}

/// One plot of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// Title.
    pub title: String,
    /// Label of the x axis, with the unit.
    pub x: &'static str,
    /// Label of the y axis, with the unit.
    pub y: &'static str,
    /// Lines.
    pub series: Vec<Series>,
}

/// What a scenario measurement.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Figures of the product.
    pub figures: Figures,
    /// The same figures of the baseline, as far as they apply.
    pub baseline: Figures,
    /// Policy of the baseline.
    pub baseline_policy: &'static str,
    /// Plots for the report.
    pub plots: Vec<Plot>,
}

/// The result line of a scenario.
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
    /// Judges what a scenario measurement. A target without its figure is missed.
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

    /// Name of the scenario.
    pub fn scenario(&self) -> &'static str {
        self.scenario
    }

    /// Whether all targets are met.
    pub fn is_pass(&self) -> bool {
        self.pass
    }

    /// Figures of the product.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Figures of the baseline.
    pub fn baseline(&self) -> &Figures {
        &self.baseline
    }

    /// Policy of the baseline.
    pub fn baseline_policy(&self) -> &'static str {
        self.baseline_policy
    }

    /// Targets by figure.
    pub fn targets(&self) -> &BTreeMap<&'static str, Target> {
        &self.targets
    }

    /// Plots for the report.
    pub fn plots(&self) -> &[Plot] {
        &self.plots
    }
}
