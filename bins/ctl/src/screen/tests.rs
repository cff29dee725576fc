use super::{COLUMNS, Screen};

fn width(text: &str) -> usize {
    text.lines().map(|line| line.chars().count()).max().unwrap_or(0)
}

#[test]
fn can_break_at_blanks_and_inside_long_words() {
    let mut screen = Screen::default();

    screen.line(format!("  {} {}", "word ".repeat(20), "ü".repeat(150)));

    let text = screen.text();
    assert!(width(&text) <= COLUMNS, "{text}");
    let packed: String = text.split_whitespace().collect();
    assert_eq!(packed, format!("{}{}", "word".repeat(20), "ü".repeat(150)));
}

#[test]
fn keeps_a_line_that_fits_exactly() {
    let mut screen = Screen::default();
    let line = "é".repeat(COLUMNS);

    screen.line(&line).line("").line("x");

    assert_eq!(screen.text(), format!("{line}\n\nx\n"));
}
