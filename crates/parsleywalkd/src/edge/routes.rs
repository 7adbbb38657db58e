//! Request handlers of the caller server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parsleywalk_api::{AnnounceReply, AnnounceRequest, JobSubmission, Refusal, WorkerReport, headers};
use parsleywalk_control::{ControlCommand, ControlReply, JobSpec};
use parsleywalk_coordinator::{LeaderCall, LeaderReply};
use parsleywalk_routing::RouteResponse;
use parsleywalk_units::{CallerName, IdempotencyKey, JobKey, ServiceName, StateTime};
use serde::de::DeserializeOwned;

use super::response::{self, HttpResponse};
use crate::control::ControlHandle;
use crate::metrics::DaemonMetrics;
use crate::router::{RequestCall, RouterHandle, body_digest};
use crate::settings::CallerLimits;

/// Time limit for a call to the leader about a job.
const JOB_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for passing a worker's report to the leader. It is short, because the worker soon reports again.
const REPORT_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of a job's arguments.
const MAX_ARGUMENTS_BYTES: usize = 4096;

/// A body that is too large is read up to this multiple of the limit before the connection is closed.
const DISCARD_FACTOR: usize = 4;

/// The parts of the daemon that the caller server uses.
pub(crate) struct CallerContext {
    pub(crate) control: ControlHandle,
    pub(crate) router: RouterHandle,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) limits: CallerLimits,
    /// The caller addresses of all entries in the zone.
    pub(crate) zone_entries: Vec<SocketAddr>,
}

/// Handles one HTTP request.
pub(crate) async fn handle(context: &CallerContext, peer: SocketAddr, request: Request<Incoming>) -> HttpResponse {
    let path = request.uri().path().trim_start_matches('/').to_owned();
    let parts: Vec<&str> = path.split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "services", service, "requests"]) => {
            serve_request(context, peer, (*service).to_owned(), request).await
        }
        (&Method::POST, ["v1", "jobs"]) => submit_job(context, request).await,
        (&Method::GET, ["v1", "jobs", team, key]) => query_job(context, team, key, LeaderCall::JobStatus).await,
        (&Method::GET, ["v1", "jobs", team, key, "result"]) => {
            query_job(context, team, key, LeaderCall::JobResult).await
        }
        (&Method::DELETE, ["v1", "jobs", team, key]) => cancel_job(context, team, key).await,
        (&Method::POST, ["v1", "endpoints"]) => announce(context, request).await,
        (&Method::POST, ["v1", "workers", "report"]) => report(context, request).await,
        _ => response::refusal(StatusCode::NOT_FOUND, &Refusal::not_run("no such resource at the caller edge")),
    }
}

/// Reads a request's body within the limits on its time and size.
async fn read_body(context: &CallerContext, request: Request<Incoming>) -> Result<(HeaderMap, Bytes), HttpResponse> {
    let (head, body) = request.into_parts();
    let limits = &context.limits;
    let collected = collect(body, limits.body_bytes);
    match tokio::time::timeout(limits.body_timeout.as_duration(), collected).await {
        Ok(Ok(Some(body))) => Ok((head.headers, body)),
        Ok(Ok(None)) => {
            context.metrics.record_refusal("body_size");
            let reason = format!("the body is larger than {} bytes", limits.body_bytes);
            Err(response::refusal(StatusCode::PAYLOAD_TOO_LARGE, &Refusal::not_run(reason)))
        }
        Ok(Err(error)) => {
            context.metrics.record_refusal("body_broken");
            Err(response::bad_request(format!("the body can't be read: {error}")))
        }
        Err(_) => {
            context.metrics.record_refusal("body_timeout");
            let reason = format!("the body did not arrive within {}", limits.body_timeout);
            Err(response::refusal(StatusCode::REQUEST_TIMEOUT, &Refusal::not_run(reason)))
        }
    }
}

/// Collects a body; `None` if it is larger than `limit` bytes.
///
/// The rest of a body that is too large is read and discarded, up to a multiple of the limit. Most callers read the
/// response only after they have sent the whole body, and closing the connection earlier would reset it.
async fn collect(mut body: Incoming, limit: usize) -> hyper::Result<Option<Bytes>> {
    let mut received = 0;
    let mut kept = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        received += data.len();
        if received <= limit {
            kept.extend_from_slice(&data);
        } else {
            kept = BytesMut::new();
            if received > limit * DISCARD_FACTOR {
                break;
            }
        }
    }
    Ok((received <= limit).then(|| kept.freeze()))
}

/// Reads a request's body as JSON.
async fn read_json<T: DeserializeOwned>(
    context: &CallerContext,
    request: Request<Incoming>,
) -> Result<T, HttpResponse> {
    let (_, body) = read_body(context, request).await?;
    serde_json::from_slice(&body).map_err(|error| {
        context.metrics.record_refusal("malformed");
        response::bad_request(format!("malformed body: {error}"))
    })
}

async fn serve_request(
    context: &CallerContext,
    peer: SocketAddr,
    service: String,
    request: Request<Incoming>,
) -> HttpResponse {
    let arrived = Instant::now();
    let (fields, body) = match read_body(context, request).await {
        Ok(parts) => parts,
        Err(refusal) => return refusal,
    };
    let call = match request_call(context, peer, &service, &fields, body) {
        Ok(call) => call,
        Err(reason) => {
            context.metrics.record_refusal("malformed");
            return response::bad_request(reason);
        }
    };
    let response = context.router.serve(call).await;
    let outcome = match &response {
        RouteResponse::Whole(_) => "answered",
        RouteResponse::NotRun { .. } => "not_run",
        RouteResponse::Unknown { .. } => "unknown",
    };
    context.metrics.record_request(outcome, arrived.elapsed().as_secs_f64());
    response::route_response(response)
}

/// Creates the router's request from the headers and the body.
fn request_call(
    context: &CallerContext,
    peer: SocketAddr,
    service: &str,
    fields: &HeaderMap,
    body: Bytes,
) -> Result<RequestCall, String> {
    let service: ServiceName = service.parse().map_err(|error| format!("{error}"))?;
    let key: Option<IdempotencyKey> = parse_field(fields, headers::IDEMPOTENCY_KEY)?;
    let repeatable: Option<bool> = parse_field(fields, headers::REPEATABLE)?;
    let deadline: Option<u64> = parse_field(fields, headers::DEADLINE)?;
    let caller: Option<CallerName> = parse_field(fields, headers::CALLER)?;
    let longest = context.limits.longest_deadline.as_duration();
    let deadline = deadline.map(Duration::from_millis);
    if deadline.is_some_and(|deadline| deadline.is_zero() || deadline > longest) {
        return Err(format!("{}: permitted are 1 to {}", headers::DEADLINE, longest.as_millis()));
    }
    let caller = match caller {
        Some(caller) => caller,
        None => peer.ip().to_string().parse().map_err(|error| format!("{error}"))?,
    };
    let content_type: Option<String> = parse_field(fields, "Content-Type")?;
    let digest = body_digest(key.as_ref(), &body);
    Ok(RequestCall { service, caller, key, repeatable, deadline, content_type, body, digest, forwarded: false })
}

/// Parses a header; `None` if it is absent.
fn parse_field<T: std::str::FromStr>(fields: &HeaderMap, name: &str) -> Result<Option<T>, String>
where
    T::Err: std::fmt::Display,
{
    let Some(value) = fields.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| format!("{name}: not ASCII text"))?;
    text.parse().map(Some).map_err(|error| format!("{name}: {error}"))
}

async fn submit_job(context: &CallerContext, request: Request<Incoming>) -> HttpResponse {
    let submission: JobSubmission = match read_json(context, request).await {
        Ok(submission) => submission,
        Err(refusal) => return refusal,
    };
    if submission.arguments.len() > MAX_ARGUMENTS_BYTES {
        return response::bad_request(format!(
            "arguments: {} bytes, permitted are {MAX_ARGUMENTS_BYTES}",
            submission.arguments.len()
        ));
    }
    let job = JobSpec {
        service: submission.service,
        count: submission.count,
        size: submission.size,
        urgent: submission.urgent,
        arguments: submission.arguments,
    };
    let command = ControlCommand::SubmitJob { at: StateTime::default(), key: submission.job.clone(), job };
    run_job_command(context, submission.job, command, StatusCode::ACCEPTED).await
}

async fn cancel_job(context: &CallerContext, team: &str, key: &str) -> HttpResponse {
    match job_key(team, key) {
        Ok(job) => {
            let command = ControlCommand::CancelJob { at: StateTime::default(), key: job.clone() };
            run_job_command(context, job, command, StatusCode::OK).await
        }
        Err(reason) => response::bad_request(reason),
    }
}

/// Proposes a command for a job and responds with the job's status after it.
async fn run_job_command(
    context: &CallerContext,
    job: JobKey,
    command: ControlCommand,
    success: StatusCode,
) -> HttpResponse {
    match context.control.call(LeaderCall::Command(Box::new(command)), JOB_CALL_TIMEOUT).await {
        Ok(LeaderReply::Applied(ControlReply::Refused(refusal))) => {
            response::refusal(StatusCode::CONFLICT, &Refusal::not_run(refusal.to_string()))
        }
        Ok(_) => match context.control.call(LeaderCall::JobStatus(job), JOB_CALL_TIMEOUT).await {
            Ok(LeaderReply::Json(body)) => response::json_bytes(success, body),
            // The command is committed, so success is correct even if the status is not available.
            _ => response::json(success, &serde_json::json!({})),
        },
        Err(failure) => response::call_failure(&failure),
    }
}

async fn query_job(context: &CallerContext, team: &str, key: &str, call: fn(JobKey) -> LeaderCall) -> HttpResponse {
    let job = match job_key(team, key) {
        Ok(job) => job,
        Err(reason) => return response::bad_request(reason),
    };
    match context.control.call(call(job), JOB_CALL_TIMEOUT).await {
        Ok(LeaderReply::Json(body)) => response::json_bytes(StatusCode::OK, body),
        Ok(LeaderReply::NotEnded) => {
            response::refusal(StatusCode::CONFLICT, &Refusal::unknown("the job has not ended yet"))
        }
        Ok(_) => response::refusal(StatusCode::NOT_FOUND, &Refusal::not_run("no such job")),
        Err(failure) => response::call_failure(&failure),
    }
}

fn job_key(team: &str, key: &str) -> Result<JobKey, String> {
    format!("{team}/{key}").parse().map_err(|error| format!("{error}"))
}

async fn announce(context: &CallerContext, request: Request<Incoming>) -> HttpResponse {
    let announcement: AnnounceRequest = match read_json(context, request).await {
        Ok(announcement) => announcement,
        Err(refusal) => return refusal,
    };
    if announcement.slots == 0 || announcement.ttl.as_millis() == 0 {
        return response::bad_request("slots and ttl must be above 0");
    }
    let ttl = announcement.ttl;
    if !context.router.announce(announcement).await {
        let refusal = Refusal::not_run("this entry is overloaded");
        return response::refusal(StatusCode::SERVICE_UNAVAILABLE, &refusal);
    }
    response::json(StatusCode::OK, &AnnounceReply { ttl, entries: context.zone_entries.clone() })
}

async fn report(context: &CallerContext, request: Request<Incoming>) -> HttpResponse {
    // Parsed by the entry, so that a malformed report never reaches the leader.
    let report: WorkerReport = match read_json(context, request).await {
        Ok(report) => report,
        Err(refusal) => return refusal,
    };
    let entries = context.zone_entries.clone();
    let call = LeaderCall::Report { report: Box::new(report.into()), entries };
    match context.control.call(call, REPORT_CALL_TIMEOUT).await {
        Ok(LeaderReply::Json(body)) => response::json_bytes(StatusCode::OK, body),
        Ok(LeaderReply::Applied(ControlReply::Refused(refusal))) => {
            response::refusal(StatusCode::CONFLICT, &Refusal::not_run(refusal.to_string()))
        }
        Ok(_) => response::refusal(StatusCode::SERVICE_UNAVAILABLE, &Refusal::unknown("the report was not answered")),
        Err(failure) => response::call_failure(&failure),
    }
}
