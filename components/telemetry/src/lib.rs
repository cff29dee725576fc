//! Logs, metrics and trace spans.
