//! The locate API, which tells callers which hosts to send requests to.

use std::sync::Arc;

use chervilgate_clients::{Body, body::full};
use hyper::{
    Response, Uri,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::{
    host::{Host, Phase},
    idempotency::current_scope,
    member::Member,
};

/// Weight of a host in the caller's own zone.
const SAME_ZONE_WEIGHT: u32 = 100;
/// Weight of a host in another zone.
const OTHER_ZONE_WEIGHT: u32 = 10;

#[derive(Debug, Serialize)]
struct LocateResponse {
    addresses: Vec<LocatedAddress>,
    /// How long callers may cache the response, in milliseconds.
    ttl_ms: u64,
    /// The scope to send idempotency keys with; `None` during shutdown.
    scope: Option<String>,
}

#[derive(Debug, Serialize)]
struct LocatedAddress {
    address: String,
    zone: String,
    weight: u32,
}

/// Handles `GET /v1/locate?zone=ZONE`; without a zone, this host's own is used.
pub(crate) fn locate(host: &Arc<Host>, uri: &Uri) -> Response<Body> {
    let zone = requested_zone(uri).unwrap_or(&host.settings.zone);
    let mut members = host.members.list_available(zone);
    let leaving = *host.phase().borrow() > Phase::Serving;
    let own = host.node().incarnation;
    members.retain(|member| !(leaving && member.incarnation == own));
    let addresses = members.iter().map(|member| to_address(member, zone)).collect();
    let ttl = host.settings.locate_ttl.as_millis();
    let located = LocateResponse {
        addresses,
        ttl_ms: u64::try_from(ttl).unwrap_or(u64::MAX),
        scope: current_scope(&mut host.idempotency(), host.deps.clock.now()),
    };
    json(&located)
}

/// A JSON response.
pub(crate) fn json(content: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(full(text));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn requested_zone(uri: &Uri) -> Option<&str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == "zone")
        .map(|pair| pair.1)
}

fn to_address(member: &Member, zone: &str) -> LocatedAddress {
    LocatedAddress {
        address: member.address.to_string(),
        zone: member.zone.clone(),
        weight: if member.zone == zone { SAME_ZONE_WEIGHT } else { OTHER_ZONE_WEIGHT },
    }
}
