//! Text wrapped to the width of a phone screen.

/// Width of a phone screen in portrait mode, in columns.
const MAX_COLUMNS: usize = 60;

/// Lines of at most 60 columns.
#[derive(Debug, Clone, Default)]
pub(crate) struct WrappedText(Vec<String>);

impl WrappedText {
    /// Appends a line; text that is too long continues on the next line, indented by
    /// two more columns.
    pub(crate) fn push_line(&mut self, text: impl AsRef<str>) -> &mut WrappedText {
        self.0.extend(text.as_ref().lines().flat_map(wrap));
        if text.as_ref().is_empty() {
            self.0.push(String::new());
        }
        self
    }

    /// Appends the lines of `other`.
    pub(crate) fn append(&mut self, other: WrappedText) -> &mut WrappedText {
        self.0.extend(other.0);
        self
    }

    /// Appends a line for each item.
    pub(crate) fn push_lines<T: ToString>(
        &mut self,
        items: impl IntoIterator<Item = T>,
    ) -> &mut WrappedText {
        for item in items {
            self.push_line(item.to_string());
        }
        self
    }

    /// The lines as one string, each ended by a newline.
    pub(crate) fn render(&self) -> String {
        self.0.iter().map(|line| format!("{line}\n")).collect()
    }
}

/// Breaks a line at spaces, and inside words that are longer than a line.
fn wrap(line: &str) -> Vec<String> {
    let indent = line.chars().take_while(|c| *c == ' ').count().min(MAX_COLUMNS / 2);
    let mut rest: Vec<char> = line.chars().collect();
    let mut wrapped = Vec::new();
    while rest.len() > MAX_COLUMNS {
        let start = rest.iter().take_while(|c| **c == ' ').count().min(MAX_COLUMNS - 1);
        let space = rest[start..=MAX_COLUMNS].iter().rposition(|c| *c == ' ');
        let cut = space.filter(|at| *at > 0).map_or(MAX_COLUMNS, |at| start + at);
        let head: String = rest[..cut].iter().collect();
        wrapped.push(head.trim_end().to_owned());
        let tail = rest[cut..].iter().copied().skip_while(|c| *c == ' ');
        rest = [' '].repeat(indent + 2).into_iter().chain(tail).collect();
    }
    wrapped.push(rest.into_iter().collect());
    wrapped
}

#[cfg(test)]
mod tests;
