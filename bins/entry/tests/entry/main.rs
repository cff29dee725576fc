//! Tests one or several entries against the stand-ins, over loopback.

mod crossed;
mod fixture;
mod not_run;
mod once;
mod path;
mod tls;
