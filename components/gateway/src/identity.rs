//! Which requests are the same one.
//!
//! A request that crashes targets comes again with the same path, caller and body, at any host. What is counted
//! against it, and the answers that clear it, are kept by this identity. Its content stays the same as it comes again.
//! Its headers and its service may change, or may be what crashes targets; how these count is decided where failed runs
//! are kept. docs/design/poison.md gives the reason for each part.

use chervilgate_policy::{Fingerprint, OrgId, request_digest};
use hyper::header::{HeaderName, HeaderValue};

use crate::hash::stable_hash;

/// The parts of a request that make it the same one on all hosts, however often it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// What it asks for.
    pub content: RequestContent<'a>,
    /// Digest of its other headers, see [`header_digest`].
    pub headers: u64,
    /// The service that runs it.
    pub service: &'a str,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestContent<'a> {
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
        let content = stable_hash(&self.content);
        let headers = stable_hash(&self.headers);
        let digest = request_digest(content, headers, stable_hash(&self.service));
        // The content holds the organisation.
        Fingerprint { org: OrgId(0), digest }
    }
}

/// Digest of headers, whatever their order.
pub fn header_digest<'a>(headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>) -> u64 {
    let hashes = headers.map(|(name, value)| stable_hash(&(name.as_str(), value.as_bytes())));
    hashes.fold(0, u64::wrapping_add)
}
