//! Which requests are the same one.
//!
//! A request that crashes targets comes again with the same path, caller and body, at any host. What is counted
//! against it, and the answers that clear it, are kept by this identity. It holds all that tells a target what to
//! do, and nothing that may change while the request stays the same. docs/design/poison.md gives the reason
//! for each part.

use chervilgate_policy::{Fingerprint, OrgId};

use crate::hash::stable_hash;

/// The parts of a request that make it the same one on all hosts, however often it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestIdentity<'a> {
    /// Method.
    pub method: &'a str,
    /// Host name of its route, in lowercase and without a port.
    pub host: &'a str,
    /// Path and query, as they are forwarded.
    pub path: &'a str,
    /// The organisation for which it runs; none without an API key.
    pub org: Option<&'a str>,
    /// Content.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// The fingerprint of the request, equal on all hosts.
    pub fn fingerprint(&self) -> Fingerprint {
        // The digest contains the organisation.
        Fingerprint { org: OrgId(0), digest: stable_hash(self) }
    }
}
