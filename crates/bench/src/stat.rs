//! Small statistics.

/// A line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth of y for each unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
}

impl Line {
    /// Fits a line through measured points by least squares.
    ///
    /// Returns `None` for fewer than three points or if all x are equal.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let square: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let product: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        if square == 0.0 {
            return None;
        }
        let slope = product / square;
        Some(Self { slope, intercept: mean_y - slope * mean_x })
    }

    /// Value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Jain's index of fairness: 1 if all values are equal, 1/n if one takes everything.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 { 0.0 } else { sum * sum / (values.len() as f64 * squares) }
}

/// Quotient, or 0 if the divisor is 0.
pub fn ratio(value: f64, divisor: f64) -> f64 {
    if divisor == 0.0 { 0.0 } else { value / divisor }
}
