//! Tests one or several entries against the stand-ins, over loopback.

mod fixture;
mod once;
mod path;
mod tls;
