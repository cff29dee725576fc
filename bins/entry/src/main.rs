//! The caller side of an entry host.

fn main() {}
