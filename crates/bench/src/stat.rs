//! Statistics of measured values.

/// A line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
}

impl Line {
    /// Fits a line to measured points by least squares.
    ///
    /// Returns `None` for fewer than three points or if all x are equal.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        if sum_xx == 0.0 {
            return None;
        }
        let slope = sum_xy / sum_xx;
        Some(Self { slope, intercept: mean_y - slope * mean_x })
    }

    /// Returns the value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Returns Jain's fairness index: 1 if all `n` values are equal, 1/n if only one is not 0.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 { 0.0 } else { sum * sum / (values.len() as f64 * squares) }
}

/// Returns the quotient, or 0 if the divisor is 0.
pub fn ratio(value: f64, divisor: f64) -> f64 {
    if divisor == 0.0 { 0.0 } else { value / divisor }
}
