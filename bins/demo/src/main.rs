//! The whole path in one process, against the stand-ins.

fn main() {}
