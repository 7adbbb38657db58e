//! Answers of the caller edge.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use parsleywalk_api::{Refusal, RefusalOutcome};
use parsleywalk_coordinator::CallFailure;
use parsleywalk_routing::{EndpointResponse, RouteResponse};
use parsleywalk_units::TimeSpan;
use serde::Serialize;

/// The body type of all answers.
pub(crate) type EdgeReply = Response<Full<Bytes>>;

/// The wait that a refusal suggests where nothing better is known.
const DEFAULT_RETRY: TimeSpan = TimeSpan::from_secs(1);

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> EdgeReply {
    json_bytes(status, serde_json::to_vec(body).unwrap_or_default())
}

/// An answer with a JSON body that is already encoded.
pub(crate) fn json_bytes(status: StatusCode, body: Vec<u8>) -> EdgeReply {
    Response::builder()
        .status(status)
        .header("Content-Type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a valid head")
}

/// A refusal; a wait to suggest is given as `Retry-After` in whole seconds as well.
pub(crate) fn refusal(status: StatusCode, refusal: &Refusal) -> EdgeReply {
    let mut reply = json(status, refusal);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1000);
        reply.headers_mut().insert("Retry-After", seconds.into());
    }
    reply
}

/// A refusal of a call that is wrong in itself.
pub(crate) fn bad_request(reason: impl Into<String>) -> EdgeReply {
    refusal(StatusCode::BAD_REQUEST, &Refusal::not_run(reason))
}

/// What the router says of a request.
pub(crate) fn route_answer(answer: RouteResponse) -> EdgeReply {
    match answer {
        RouteResponse::Whole(answer) => endpoint_answer(&answer),
        RouteResponse::NotRun { reason, retry_after } => {
            let wait = retry_after.map_or(DEFAULT_RETRY, TimeSpan::saturating_from);
            refusal(StatusCode::SERVICE_UNAVAILABLE, &Refusal::not_run(reason.to_string()).with_retry_after(wait))
        }
        RouteResponse::Unknown { reason } => {
            refusal(StatusCode::GATEWAY_TIMEOUT, &Refusal::unknown(reason.to_string()))
        }
    }
}

fn endpoint_answer(answer: &EndpointResponse) -> EdgeReply {
    let mut builder = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::copy_from_slice(&answer.body));
    builder.body(body).unwrap_or_else(|_| {
        refusal(StatusCode::BAD_GATEWAY, &Refusal::unknown("the endpoint's answer has headers that can't be passed on"))
    })
}

/// What a failed call to the leader means to the caller.
pub(crate) fn call_failure(failure: &CallFailure) -> EdgeReply {
    match failure {
        CallFailure::NotSent(reason) => {
            let body = Refusal::not_run(reason.as_str()).with_retry_after(DEFAULT_RETRY);
            refusal(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
        CallFailure::Unknown(reason) => {
            let body = Refusal { outcome: RefusalOutcome::Unknown, ..Refusal::not_run(reason.as_str()) };
            refusal(StatusCode::GATEWAY_TIMEOUT, &body.with_retry_after(DEFAULT_RETRY))
        }
    }
}
