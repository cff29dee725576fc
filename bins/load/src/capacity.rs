//! Measures how state and traffic grow, and extrapolates them to the design size.
//!
//! Each quantity is measured at several sizes, fitted by a straight line, and evaluated at
//! the design size. Counts of messages, bytes and calls come from the state machines in
//! virtual time, so they are the same on any computer.

mod daemons;
mod fit;
mod state;
mod traffic;

pub use self::fit::{LineFit, Point};

/// A quantity measured at several sizes.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name and unit of the quantity.
    pub name: &'static str,
    /// Name of the size that the quantity grows with.
    pub size_name: &'static str,
    /// The measured values.
    pub points: Vec<Point>,
    /// Design size, at which the fitted line is evaluated.
    pub design_size: f64,
}

/// Selects what to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measurement {
    /// Traffic and state, as counts in virtual time.
    Counts {
        /// Also runs all nodes of the design size, to check the fit.
        whole: bool,
    },
    /// Memory and CPU time of running entries.
    Daemons,
}

/// Measures growth and returns the rows of a Markdown table, as in docs/CAPACITY.md.
///
/// # Errors
/// If the entries of [`Measurement::Daemons`] do not start or cannot be measured.
pub async fn measure(measurement: Measurement) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let series_list = match measurement {
        Measurement::Counts { whole } => {
            traffic::measure_series(whole).into_iter().chain(state::measure_series()).collect()
        }
        Measurement::Daemons => daemons::measure_series().await?,
    };
    let mut lines = vec![
        "| what | by | points | line | largest error | at the design size |".to_owned(),
        "|---|---|---|---|---|---|".to_owned(),
    ];
    lines.extend(series_list.iter().map(Series::to_table_row));
    Ok(lines)
}

impl Series {
    fn to_table_row(&self) -> String {
        let fit = LineFit::of(&self.points);
        let points: Vec<String> = self
            .points
            .iter()
            .map(|point| format!("{}: {}", point.size, format_number(point.value)))
            .collect();
        format!(
            "| {} | {} | {} | {} + {} n | {:.0}% | {} at {} |",
            self.name,
            self.size_name,
            points.join(", "),
            format_number(fit.base),
            format_number(fit.slope),
            100.0 * fit.error,
            format_number(fit.at(self.design_size)),
            self.design_size,
        )
    }
}

fn format_number(value: f64) -> String {
    if value.abs() >= 100.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}
