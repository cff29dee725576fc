//! A straight line through measured points.

/// A measured value at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// The value at size zero.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the point.
    pub error: f64,
}

impl Fit {
    /// The line through `points`; flat through a single one.
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

    /// The line's value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
