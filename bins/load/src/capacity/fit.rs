//! Least-squares fit of a straight line.

/// A measured value at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Size at which it was measured.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value of the line at size zero.
    pub base: f64,
    /// Growth of the line per unit of size.
    pub slope: f64,
    /// Largest relative error of the line at a measured point.
    pub error: f64,
}

impl Fit {
    /// Fits a line to `points`; it has no slope if all have the same size.
    pub fn of(points: &[Point]) -> Fit {
        let count = points.len().max(1) as f64;
        let size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
        let along: f64 =
            points.iter().map(|point| (point.size - size) * (point.value - value)).sum();
        let slope = if spread > 0.0 { along / spread } else { 0.0 };
        let line = Fit { base: value - slope * size, slope, error: 0.0 };
        let off = |point: &Point| (line.at(point.size) - point.value).abs() / point.value.abs();
        let error = points.iter().filter(|point| point.value != 0.0).map(off).fold(0.0, f64::max);
        Fit { error, ..line }
    }

    /// Value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
