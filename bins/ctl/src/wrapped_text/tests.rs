use super::{MAX_COLUMNS, WrappedText};

fn width(text: &str) -> usize {
    text.lines().map(|line| line.chars().count()).max().unwrap_or(0)
}

#[test]
fn breaks_at_spaces_and_inside_long_words() {
    let mut wrapped = WrappedText::default();

    wrapped.push_line(format!("  {} {}", "word ".repeat(20), "ü".repeat(150)));

    let text = wrapped.render();
    assert!(width(&text) <= MAX_COLUMNS, "{text}");
    let without_spaces: String = text.split_whitespace().collect();
    assert_eq!(without_spaces, format!("{}{}", "word".repeat(20), "ü".repeat(150)));
}

#[test]
fn keeps_a_line_that_fits_exactly() {
    let mut wrapped = WrappedText::default();
    let line = "é".repeat(MAX_COLUMNS);

    wrapped.push_line(&line).push_line("").push_line("x");

    assert_eq!(wrapped.render(), format!("{line}\n\nx\n"));
}
