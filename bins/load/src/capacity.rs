//! Slopes of state and traffic, and what they come to at the design size.
//!
//! Each figure is taken at several sizes, fitted by a straight line, and worked
//! out for the size to design for. Counts of messages, bytes and calls come
//! from the machines in virtual time and are the same on any computer.

mod daemons;
mod fit;
mod state;
mod traffic;

pub use self::fit::{Fit, Point};

/// One measured quantity with its line.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What is measured.
    pub name: &'static str,
    /// What it grows with.
    pub by: &'static str,
    /// The points.
    pub points: Vec<Point>,
    /// The size to design for.
    pub design: f64,
}

/// What is to be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Traffic and state, as counts.
    Counts {
        /// Also run all nodes of the design size, to check the fit.
        whole: bool,
    },
    /// Memory and processor time of real entries.
    Daemons,
}

/// Measures slopes; each is a line of text, ready for docs/CAPACITY.md.
///
/// # Errors
/// If the entries of [`Part::Daemons`] do not start.
pub async fn fits(part: Part) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let slopes = match part {
        Part::Counts { whole } => {
            traffic::slopes(whole).into_iter().chain(state::slopes()).collect()
        }
        Part::Daemons => daemons::slopes().await?,
    };
    let mut lines = vec![
        "| what | by | points | line | largest error | at the design size |".to_owned(),
        "|---|---|---|---|---|---|".to_owned(),
    ];
    lines.extend(slopes.iter().map(Slope::to_line));
    Ok(lines)
}

impl Slope {
    fn to_line(&self) -> String {
        let fit = Fit::of(&self.points);
        let points: Vec<String> = self
            .points
            .iter()
            .map(|point| format!("{}: {}", point.size, number(point.value)))
            .collect();
        format!(
            "| {} | {} | {} | {} + {} n | {:.0}% | {} at {} |",
            self.name,
            self.by,
            points.join(", "),
            number(fit.base),
            number(fit.slope),
            100.0 * fit.error,
            number(fit.at(self.design)),
            self.design,
        )
    }
}

fn number(value: f64) -> String {
    if value.abs() >= 100.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}
