//! Settings files: JSON, checked as a whole, every finding with its path.
