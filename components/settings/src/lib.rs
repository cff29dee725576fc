//! Reads JSON settings and reports all errors of a file at once, with their locations.
//!
//! Types implement [`FromJson`]. Reading continues after a finding, so that one
//! run reports everything that has to be fixed:
//!
//! ```
//! use std::{net::SocketAddr, time::Duration};
//!
//! use chervilgate_settings::{FromJson, Node, parse};
//!
//! struct Listener {
//!     address: SocketAddr,
//!     backlog: u32,
//!     idle: Duration,
//! }
//!
//! impl FromJson for Listener {
//!     const EXPECTED: &'static str = "a listener";
//!
//!     fn from_json(node: &Node<'_>) -> Option<Listener> {
//!         let mut fields = node.fields(Self::EXPECTED)?;
//!         let address = fields.required("address");
//!         let backlog = fields.in_range_or("backlog", 1..=4096, 128);
//!         let idle = fields.optional_or("idle", Duration::from_secs(30));
//!         Some(Listener { address: address?, backlog, idle })
//!     }
//! }
//!
//! let text = r#"{ "//": "comment", "address": "10.0.0.1", "backlog": 0, "idel": "5s" }"#;
//! let report = parse::<Listener>("listener.json", text).err().unwrap();
//! assert_eq!(report.findings().len(), 3);
//! ```
//!
//! A member whose name starts with `//` is a comment.

mod duration;
mod fields;
mod finding;
mod from_json;
mod load;
mod node;
mod tree;

pub use crate::{
    duration::{DurationError, format_duration, parse_duration},
    fields::Fields,
    finding::{Finding, Findings, Report, Severity},
    from_json::FromJson,
    load::{FINDINGS_EXIT_CODE, MAX_FILE_SIZE, load, load_or_exit, parse, parse_with, read_text},
    node::Node,
    tree::parse_tree,
};
