//! Load and experiments.

fn main() {}
