//! Operators' objects as aggregates, and the check of a whole configuration.
