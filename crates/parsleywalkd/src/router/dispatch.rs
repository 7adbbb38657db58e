//! Threads that call endpoints.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use flume::{Receiver, Sender};
use parsleywalk_api::headers;
use parsleywalk_routing::{DispatchResult, EndpointAnswer};
use parsleywalk_units::DispatchId;

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

/// Starts the threads, which end when the queue's sender is dropped.
pub(crate) fn start(
    threads: usize,
    answer_limit: usize,
    jobs: &Receiver<DispatchJob>,
    events: &Sender<RouterEvent>,
) -> Result<()> {
    for _ in 0..threads {
        let (jobs, events) = (jobs.clone(), events.clone());
        thread::Builder::new()
            .name("dispatch".to_owned())
            .stack_size(256 * 1024)
            .spawn(move || {
                for job in jobs {
                    let result = call(&job, answer_limit);
                    if events.send(RouterEvent::Finished { dispatch: job.dispatch, result }).is_err() {
                        return;
                    }
                }
            })
            .map_err(|cause| DaemonError::Thread { step: "start dispatch thread", cause })?;
    }
    Ok(())
}

/// Calls an endpoint on a connection of its own, so that a connection which went silent can't be met again.
fn call(job: &DispatchJob, answer_limit: usize) -> DispatchResult {
    let url = format!("http://{}/{}", job.endpoint, job.service);
    let mut request = attohttpc::post(url)
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT.min(job.timeout))
        .read_timeout(job.timeout)
        .timeout(job.timeout)
        .header(headers::REQUEST_ID, &job.wire_id)
        .header(headers::DEADLINE, job.timeout.as_millis().to_string());
    if let Some(content_type) = &job.content_type {
        request = request.header("Content-Type", content_type);
    }
    match request.bytes(&job.body).send() {
        Ok(response) => read_answer(job, response, answer_limit),
        Err(error) => failure(&error),
    }
}

/// Only a refused connection proves that no byte was handed over; a time-out may have come after the request was sent.
fn failure(error: &attohttpc::Error) -> DispatchResult {
    let reason = error.to_string();
    match error.kind() {
        attohttpc::ErrorKind::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
            DispatchResult::NotSent { reason }
        }
        _ => DispatchResult::Broken { reason },
    }
}

fn read_answer(job: &DispatchJob, response: attohttpc::Response, answer_limit: usize) -> DispatchResult {
    let broken = |reason: &str| DispatchResult::Broken { reason: reason.to_owned() };
    let (status, fields, reader) = response.split();
    let field = |name: &str| fields.get(name).and_then(|value| value.to_str().ok());
    if field(headers::REQUEST_ID) != Some(job.wire_id.as_str()) {
        return broken("the answer carries another request's id");
    }
    if status.as_u16() == 503 && field(headers::OUTCOME) == Some("not_run") {
        let seconds = field("Retry-After").and_then(|text| text.parse().ok());
        return DispatchResult::Refused { retry_after: seconds.map(Duration::from_secs) };
    }
    let declared = field("Content-Length").and_then(|text| text.parse::<usize>().ok());
    let chunked = field("Transfer-Encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
    if declared.is_none() && !chunked {
        return broken("the answer states no length, so its end can't be told from a broken connection");
    }
    let mut body = Vec::new();
    if let Err(error) = reader.take(answer_limit as u64 + 1).read_to_end(&mut body) {
        return broken(&format!("the answer was cut off: {error}"));
    }
    if body.len() > answer_limit {
        return broken(&format!("the answer is larger than {answer_limit} bytes"));
    }
    if declared.is_some_and(|length| length != body.len()) {
        return broken("the answer is shorter than it states");
    }
    let passed_on = fields
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    let load = field(headers::LOAD).and_then(|text| text.parse().ok());
    DispatchResult::Answered(Arc::new(EndpointAnswer { status: status.as_u16(), headers: passed_on, body, load }))
}
