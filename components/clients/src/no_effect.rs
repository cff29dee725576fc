//! Which responses say that a call had no effect.

use hyper::StatusCode;

/// Whether a service that responds with `status` has not executed the call, and never will.
///
/// Any other failure may come after the effect: a gateway in between responds with 502 or 504
/// to a call that the service still executes.
pub(crate) fn had_no_effect(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
