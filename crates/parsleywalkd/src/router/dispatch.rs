//! The dispatch thread, which sends requests to endpoints.
//!
//! It uses `hyper`, not `attohttpc`: `attohttpc` reports a failed connect and a failed read in the same way, so that
//! "not run" could not be told from "may have run", and it accepts a truncated body as complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flume::{Receiver, Sender};
use http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parsleywalk_api::headers;
use parsleywalk_routing::{DispatchResult, EndpointResponse};
use parsleywalk_units::DispatchId;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::thread::RouterEvent;
use crate::{DaemonError, Result};

/// Time limit for connecting to an endpoint. The network latency between zones is about 0.5 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Response headers of an endpoint that are not passed on to the caller: hop-by-hop headers, and those for the entry.
const STRIPPED_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "parsleywalk-request-id", "parsleywalk-load"];

/// One request to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointCall {
    pub(crate) dispatch: DispatchId,
    /// The request id sent to the endpoint, which echoes it. Unique across entries and their restarts.
    pub(crate) wire_id: String,
    pub(crate) endpoint: SocketAddr,
    pub(crate) service: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
}

/// Starts the dispatch thread, which ends when the sender of `calls` is dropped.
///
/// It sets no limit on concurrent calls itself, because the router limits those in progress.
pub(crate) fn start(
    max_response_bytes: usize,
    calls: Receiver<EndpointCall>,
    events: Sender<RouterEvent>,
) -> Result<()> {
    let thread_error = |cause| DaemonError::Thread { step: "start dispatch thread", cause };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    std::thread::Builder::new()
        .name("dispatch".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                while let Ok(call) = calls.recv_async().await {
                    let events = events.clone();
                    tokio::spawn(async move {
                        let result = call_endpoint(&call, max_response_bytes).await;
                        drop(events.send_async(RouterEvent::Finished { dispatch: call.dispatch, result }).await);
                    });
                }
            });
        })
        .map_err(thread_error)?;
    Ok(())
}

/// Calls an endpoint on a new connection, so that a stalled connection affects no later call.
async fn call_endpoint(call: &EndpointCall, max_response_bytes: usize) -> DispatchResult {
    let deadline = Instant::now() + call.timeout;
    let request = match build_request(call) {
        Ok(request) => request,
        Err(reason) => return DispatchResult::NotSent { reason },
    };
    let socket = match connect(call, deadline).await {
        Ok(socket) => socket,
        Err(reason) => return DispatchResult::NotSent { reason },
    };
    // From here on the endpoint may have received the request, so a failure is no longer "not sent".
    timeout_at(deadline, exchange(call, socket, request, max_response_bytes))
        .await
        .unwrap_or_else(|_| broken("the endpoint did not answer in time"))
}

fn build_request(call: &EndpointCall) -> std::result::Result<Request<Full<Bytes>>, String> {
    let mut builder = Request::post(format!("/{}", call.service))
        .header(HOST, call.endpoint.to_string())
        .header(headers::REQUEST_ID, &call.wire_id)
        .header(headers::DEADLINE, call.timeout.as_millis().to_string());
    if let Some(content_type) = &call.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(call.body.clone())).map_err(|error| error.to_string())
}

async fn connect(call: &EndpointCall, deadline: Instant) -> std::result::Result<TcpStream, String> {
    let end = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    match timeout_at(end, TcpStream::connect(call.endpoint)).await {
        Ok(Ok(socket)) => {
            socket.set_nodelay(true).map_err(|error| format!("connect: {error}"))?;
            Ok(socket)
        }
        Ok(Err(error)) => Err(format!("connect: {error}")),
        Err(_) => Err("connect: timed out".to_owned()),
    }
}

/// Sends the request and reads the response on an open connection.
async fn exchange(
    call: &EndpointCall,
    socket: TcpStream,
    request: Request<Full<Bytes>>,
    max_response_bytes: usize,
) -> DispatchResult {
    let (mut sender, connection) = match http1::handshake(TokioIo::new(socket)).await {
        Ok(parts) => parts,
        Err(error) => return broken(&format!("handshake: {error}")),
    };
    let result = async {
        match sender.send_request(request).await {
            Ok(response) => read_response(call, response, max_response_bytes).await,
            Err(error) => broken(&format!("call: {error}")),
        }
    };
    let mut result = std::pin::pin!(result);
    tokio::select! {
        result = &mut result => result,
        // The connection may end right after the last byte of a complete response.
        _ = connection => result.await,
    }
}

async fn read_response(call: &EndpointCall, response: Response<Incoming>, max_response_bytes: usize) -> DispatchResult {
    let (head, body) = response.into_parts();
    if text(&head.headers, headers::REQUEST_ID) != Some(call.wire_id.as_str()) {
        return broken("the answer carries another request's id");
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE && text(&head.headers, headers::OUTCOME) == Some("not_run") {
        let seconds = text(&head.headers, RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
        return DispatchResult::Refused { retry_after: seconds.map(Duration::from_secs) };
    }
    let declared = body.size_hint().exact();
    if declared.is_none() && !is_chunked(&head.headers) {
        return broken("the answer states no length, so its end can't be told from a broken connection");
    }
    let body = match Limited::new(body, max_response_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return broken(&format!("the answer was cut off or is larger than {max_response_bytes} bytes: {error}"));
        }
    };
    if declared.is_some_and(|length| length != body.len() as u64) {
        return broken("the answer is shorter than it states");
    }
    let load = text(&head.headers, headers::LOAD).and_then(|text| text.parse().ok());
    DispatchResult::Answered(Arc::new(EndpointResponse {
        status: head.status.as_u16(),
        headers: strip_headers(&head.headers),
        body: body.to_vec(),
        load,
    }))
}

fn strip_headers(fields: &HeaderMap) -> Vec<(String, String)> {
    let kept = fields.iter().filter(|(name, _)| !STRIPPED_HEADERS.contains(&name.as_str()));
    kept.filter_map(|(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.to_string(), value.to_str().ok()?.to_owned()))
    })
    .collect()
}

fn is_chunked(fields: &HeaderMap) -> bool {
    text(fields, "Transfer-Encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
}

fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name).and_then(|value| value.to_str().ok())
}

fn broken(reason: &str) -> DispatchResult {
    DispatchResult::Broken { reason: reason.to_owned() }
}
