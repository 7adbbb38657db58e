//! Calls to endpoints.
//!
//! They are made with `hyper` in place of `attohttpc`, which reports a failed connect and a failed read alike, so that a
//! truthful "not run" can't be told from "may have run", and which takes a body that was cut off for a whole one.

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

/// The longest wait for a connection to an endpoint; zones are about 0.5 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers of an endpoint's answer that are not passed on: they belong to one connection, or to us.
const HOP_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "parsleywalk-request-id", "parsleywalk-load"];

/// One call to an endpoint.
#[derive(Debug)]
pub(crate) struct DispatchJob {
    pub(crate) dispatch: DispatchId,
    /// Unique across entries and their restarts; the endpoint echoes it.
    pub(crate) wire_id: String,
    pub(crate) endpoint: SocketAddr,
    pub(crate) service: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
}

/// Starts the thread that makes the calls; it ends when the queue's sender is dropped. The router bounds the calls in
/// progress.
pub(crate) fn start(answer_limit: usize, jobs: Receiver<DispatchJob>, events: Sender<RouterEvent>) -> Result<()> {
    let thread_error = |cause| DaemonError::Thread { step: "start dispatch thread", cause };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    std::thread::Builder::new()
        .name("dispatch".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                while let Ok(job) = jobs.recv_async().await {
                    let events = events.clone();
                    tokio::spawn(async move {
                        let result = call(&job, answer_limit).await;
                        drop(events.send_async(RouterEvent::Finished { dispatch: job.dispatch, result }).await);
                    });
                }
            });
        })
        .map_err(thread_error)?;
    Ok(())
}

/// Calls an endpoint on a connection of its own, so that a connection which went silent can't be met again.
async fn call(job: &DispatchJob, answer_limit: usize) -> DispatchResult {
    let deadline = Instant::now() + job.timeout;
    let request = match request(job) {
        Ok(request) => request,
        Err(reason) => return DispatchResult::NotSent { reason },
    };
    let socket = match connect(job, deadline).await {
        Ok(socket) => socket,
        Err(reason) => return DispatchResult::NotSent { reason },
    };
    // From here on bytes may have been handed to the socket.
    timeout_at(deadline, exchange(job, socket, request, answer_limit))
        .await
        .unwrap_or_else(|_| broken("the endpoint did not answer in time"))
}

fn request(job: &DispatchJob) -> std::result::Result<Request<Full<Bytes>>, String> {
    let mut builder = Request::post(format!("/{}", job.service))
        .header(HOST, job.endpoint.to_string())
        .header(headers::REQUEST_ID, &job.wire_id)
        .header(headers::DEADLINE, job.timeout.as_millis().to_string());
    if let Some(content_type) = &job.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(job.body.clone())).map_err(|error| error.to_string())
}

async fn connect(job: &DispatchJob, deadline: Instant) -> std::result::Result<TcpStream, String> {
    let end = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    match timeout_at(end, TcpStream::connect(job.endpoint)).await {
        Ok(Ok(socket)) => {
            socket.set_nodelay(true).map_err(|error| format!("connect: {error}"))?;
            Ok(socket)
        }
        Ok(Err(error)) => Err(format!("connect: {error}")),
        Err(_) => Err("connect: timed out".to_owned()),
    }
}

async fn exchange(
    job: &DispatchJob,
    socket: TcpStream,
    request: Request<Full<Bytes>>,
    answer_limit: usize,
) -> DispatchResult {
    let (mut sender, connection) = match http1::handshake(TokioIo::new(socket)).await {
        Ok(parts) => parts,
        Err(error) => return broken(&format!("handshake: {error}")),
    };
    let answer = async {
        match sender.send_request(request).await {
            Ok(response) => read_answer(job, response, answer_limit).await,
            Err(error) => broken(&format!("call: {error}")),
        }
    };
    let mut answer = std::pin::pin!(answer);
    tokio::select! {
        answer = &mut answer => answer,
        // The connection may end right after the last byte of a whole answer.
        _ = connection => answer.await,
    }
}

async fn read_answer(job: &DispatchJob, response: Response<Incoming>, answer_limit: usize) -> DispatchResult {
    let (head, body) = response.into_parts();
    if text(&head.headers, headers::REQUEST_ID) != Some(job.wire_id.as_str()) {
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
    let body = match Limited::new(body, answer_limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return broken(&format!("the answer was cut off or is larger than {answer_limit} bytes: {error}"));
        }
    };
    if declared.is_some_and(|length| length != body.len() as u64) {
        return broken("the answer is shorter than it states");
    }
    let load = text(&head.headers, headers::LOAD).and_then(|text| text.parse().ok());
    DispatchResult::Answered(Arc::new(EndpointResponse {
        status: head.status.as_u16(),
        headers: passed_on(&head.headers),
        body: body.to_vec(),
        load,
    }))
}

fn passed_on(fields: &HeaderMap) -> Vec<(String, String)> {
    let kept = fields.iter().filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
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
