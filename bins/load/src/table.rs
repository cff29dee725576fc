//! Formats reports as text.

use std::fmt::Write;

use crate::experiment::{Report, Row, Spread};

/// Formats a report: a Markdown table, the goals with pass or FAIL, and the summary.
pub fn render(report: &Report) -> String {
    let mut text = format!("{}: {}; seeds {:?}\n\n", report.name, report.about, report.seeds);
    text += "| scheme | good % of bound (min-max) | good/s | first p50/p99 ms | gap p50/p95/p99 ms \
             | refused/late/slow/unknown/lost % | worst organisation % | role changes | retries \
             | wrong/doubled/lost | cost, cents |\n";
    text += "|---|---|---|---|---|---|---|---|---|---|---|\n";
    for row in &report.rows {
        push_row(&mut text, row);
    }
    text.push('\n');
    for verdict in &report.verdicts {
        let mark = if verdict.met { "pass" } else { "FAIL" };
        let _ = writeln!(text, "{mark}: {}: {}", verdict.target, verdict.measured);
    }
    let _ = writeln!(text, "{}", report.line);
    text
}

fn push_row(text: &mut String, row: &Row) {
    let [first, first_tail] = row.first;
    let [gap, gap_high, gap_tail] = row.gap;
    let bad: Vec<String> = row.bad.iter().map(|share| format!("{share:.1}")).collect();
    let faults = row.faults.map(|count| count.to_string()).join("/");
    let _ = writeln!(
        text,
        "| {} | {} | {:.1} | {first:.0}/{first_tail:.0} | {gap:.0}/{gap_high:.0}/{gap_tail:.0} \
         | {} | {} | {:.1} | {:.0} | {faults} | {:.1} |",
        row.name,
        spread(row.good),
        row.rate,
        bad.join("/"),
        spread(row.worst),
        row.changes.mean,
        row.retries,
        row.cost.mean,
    );
}

fn spread(value: Spread) -> String {
    format!("{:.1} ({:.1}-{:.1})", value.mean, value.least, value.most)
}
