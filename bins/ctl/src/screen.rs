//! Text that fits a phone.

/// Columns of a phone held upright.
const COLUMNS: usize = 60;

/// Lines of at most 60 columns.
#[derive(Debug, Clone, Default)]
pub(crate) struct Screen(Vec<String>);

impl Screen {
    /// Adds a line; longer text goes on below, two columns in.
    pub(crate) fn line(&mut self, text: impl AsRef<str>) -> &mut Screen {
        self.0.extend(text.as_ref().lines().flat_map(wrap));
        if text.as_ref().is_empty() {
            self.0.push(String::new());
        }
        self
    }

    /// Adds another screen below.
    pub(crate) fn append(&mut self, other: Screen) -> &mut Screen {
        self.0.extend(other.0);
        self
    }

    /// Adds a line for each item.
    pub(crate) fn lines<T: ToString>(&mut self, items: impl IntoIterator<Item = T>) -> &mut Screen {
        for item in items {
            self.line(item.to_string());
        }
        self
    }

    /// The lines as one text.
    pub(crate) fn text(&self) -> String {
        self.0.iter().map(|line| format!("{line}\n")).collect()
    }
}

/// Breaks a line at blanks, and inside words that are too long.
fn wrap(line: &str) -> Vec<String> {
    let indent = line.chars().take_while(|c| *c == ' ').count().min(COLUMNS / 2);
    let mut rest: Vec<char> = line.chars().collect();
    let mut done = Vec::new();
    while rest.len() > COLUMNS {
        let start = rest.iter().take_while(|c| **c == ' ').count().min(COLUMNS - 1);
        let blank = rest[start..=COLUMNS].iter().rposition(|c| *c == ' ');
        let cut = blank.filter(|at| *at > 0).map_or(COLUMNS, |at| start + at);
        let head: String = rest[..cut].iter().collect();
        done.push(head.trim_end().to_owned());
        let tail = rest[cut..].iter().copied().skip_while(|c| *c == ' ');
        rest = [' '].repeat(indent + 2).into_iter().chain(tail).collect();
    }
    done.push(rest.into_iter().collect());
    done
}

#[cfg(test)]
mod tests;
