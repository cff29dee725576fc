//! Time spans as operators write them: `250ms`, `5s`, `2m`, `1h`.

use std::time::Duration;

use snafu::Snafu;

const MILLIS_PER_SEC: u64 = 1_000;
const MILLIS_PER_MIN: u64 = 60 * MILLIS_PER_SEC;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MIN;

/// A text that is no time span.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected a whole number and ms, s, m or h"))]
pub struct SpanError;

/// Reads a span: a whole number and `ms`, `s`, `m` or `h`.
///
/// # Errors
/// If the text has another form or the span is too long for 64 bits of
/// milliseconds.
pub fn parse_span(text: &str) -> Result<Duration, SpanError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let factor = match unit {
        "ms" => 1,
        "s" => MILLIS_PER_SEC,
        "m" => MILLIS_PER_MIN,
        "h" => MILLIS_PER_HOUR,
        _ => return Err(SpanError),
    };
    let count: u64 = number.parse().map_err(|_| SpanError)?;
    count.checked_mul(factor).map(Duration::from_millis).ok_or(SpanError)
}

/// Writes a span with the largest unit that leaves a whole number.
///
/// Parts of a millisecond are cut off.
pub fn format_span(span: Duration) -> String {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let units = [(MILLIS_PER_HOUR, "h"), (MILLIS_PER_MIN, "m"), (MILLIS_PER_SEC, "s")];
    let whole = units.into_iter().find(|(factor, _)| millis > 0 && millis % factor == 0);
    let (factor, unit) = whole.unwrap_or((1, "ms"));
    format!("{}{unit}", millis / factor)
}
