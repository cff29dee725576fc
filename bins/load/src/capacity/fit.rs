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
pub struct LineFit {
    /// Value of the line at size zero.
    pub base: f64,
    /// Growth of the line per unit of size.
    pub slope: f64,
    /// Largest relative error of the line at a measured point.
    pub error: f64,
}

impl LineFit {
    /// Fits a line to `points`; it has no slope if all have the same size.
    pub fn of(points: &[Point]) -> LineFit {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let sum_squares: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let sum_products: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
        let slope = if sum_squares > 0.0 { sum_products / sum_squares } else { 0.0 };
        let line = LineFit { base: mean_value - slope * mean_size, slope, error: 0.0 };
        let relative_error =
            |point: &Point| (line.at(point.size) - point.value).abs() / point.value.abs();
        let error = points
            .iter()
            .filter(|point| point.value != 0.0)
            .map(relative_error)
            .fold(0.0, f64::max);
        LineFit { error, ..line }
    }

    /// Value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
