//! Durations in settings files: `250ms`, `5s`, `2m`, `1h`.

use std::time::Duration;

use snafu::Snafu;

const MILLIS_PER_SEC: u64 = 1_000;
const MILLIS_PER_MIN: u64 = 60 * MILLIS_PER_SEC;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MIN;

/// The text is not a valid duration.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected a whole number and a unit: ms, s, m or h"))]
pub struct DurationError;

/// Parses a duration: a whole number and `ms`, `s`, `m` or `h`.
///
/// # Errors
/// If the text has another form, or the milliseconds do not fit into 64 bits.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let factor = match unit {
        "ms" => 1,
        "s" => MILLIS_PER_SEC,
        "m" => MILLIS_PER_MIN,
        "h" => MILLIS_PER_HOUR,
        _ => return Err(DurationError),
    };
    let count: u64 = number.parse().map_err(|_| DurationError)?;
    count.checked_mul(factor).map(Duration::from_millis).ok_or(DurationError)
}

/// Formats a duration in the largest unit that gives a whole number.
///
/// Fractions of a millisecond are truncated.
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let units = [(MILLIS_PER_HOUR, "h"), (MILLIS_PER_MIN, "m"), (MILLIS_PER_SEC, "s")];
    let whole = units.into_iter().find(|(factor, _)| millis > 0 && millis % factor == 0);
    let (factor, unit) = whole.unwrap_or((1, "ms"));
    format!("{}{unit}", millis / factor)
}
