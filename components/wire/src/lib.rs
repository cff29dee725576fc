//! Messages between our own processes.
