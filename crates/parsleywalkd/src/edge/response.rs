//! HTTP responses of the caller server.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use parsleywalk_api::{Refusal, RefusalOutcome};
use parsleywalk_coordinator::CallFailure;
use parsleywalk_routing::{EndpointResponse, RouteResponse};
use parsleywalk_units::TimeSpan;
use serde::Serialize;

/// A response of the caller server.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// The delay before a retry that is suggested to callers if the router suggests none.
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Returns a response with `body` encoded as JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    json_bytes(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Returns a response with a JSON body that is already encoded.
pub(crate) fn json_bytes(status: StatusCode, body: Vec<u8>) -> HttpResponse {
    Response::builder()
        .status(status)
        .header("Content-Type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the status and the header are valid")
}

/// Returns a refusal. A suggested delay is also given in the `Retry-After` header, rounded up to whole seconds.
pub(crate) fn refusal(status: StatusCode, refusal: &Refusal) -> HttpResponse {
    let mut response = json(status, refusal);
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_millis().div_ceil(1000);
        response.headers_mut().insert("Retry-After", seconds.into());
    }
    response
}

/// Returns a refusal of an invalid call.
pub(crate) fn bad_request(reason: impl Into<String>) -> HttpResponse {
    refusal(StatusCode::BAD_REQUEST, &Refusal::not_run(reason))
}

/// Converts the router's response to an HTTP response.
pub(crate) fn route_response(response: RouteResponse) -> HttpResponse {
    match response {
        RouteResponse::Whole(response) => endpoint_response(&response),
        RouteResponse::NotRun { reason, retry_after } => {
            let delay = retry_after.map_or(DEFAULT_RETRY_AFTER, TimeSpan::saturating_from);
            refusal(StatusCode::SERVICE_UNAVAILABLE, &Refusal::not_run(reason.to_string()).with_retry_after(delay))
        }
        RouteResponse::Unknown { reason } => {
            refusal(StatusCode::GATEWAY_TIMEOUT, &Refusal::unknown(reason.to_string()))
        }
    }
}

fn endpoint_response(response: &EndpointResponse) -> HttpResponse {
    let mut builder = Response::builder().status(response.status);
    for (name, value) in &response.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::copy_from_slice(&response.body));
    builder.body(body).unwrap_or_else(|_| {
        refusal(StatusCode::BAD_GATEWAY, &Refusal::unknown("the endpoint's answer has headers that can't be passed on"))
    })
}

/// Converts a failed call to the leader to an HTTP response.
pub(crate) fn call_failure(failure: &CallFailure) -> HttpResponse {
    match failure {
        CallFailure::NotSent(reason) => {
            let body = Refusal::not_run(reason.as_str()).with_retry_after(DEFAULT_RETRY_AFTER);
            refusal(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
        CallFailure::Unknown(reason) => {
            let body = Refusal { outcome: RefusalOutcome::Unknown, ..Refusal::not_run(reason.as_str()) };
            refusal(StatusCode::GATEWAY_TIMEOUT, &body.with_retry_after(DEFAULT_RETRY_AFTER))
        }
    }
}
