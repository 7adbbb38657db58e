//! The server for operators, the load balancer's health checks and metrics.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use parsleywalk_api::{
    ConfigurationApply, ConfigurationView, OperationOutcome, OperationReply, Refusal, ReplicaCommand, ZoneCommand,
    headers,
};
use parsleywalk_catalog::Catalog;
use parsleywalk_control::{ControlCommand, ControlReply};
use parsleywalk_coordinator::{CallFailure, LeaderCall, LeaderReply};
use parsleywalk_peer::tokens_match;
use parsleywalk_units::{JobKey, StateTime, TimeSpan, ZoneName};
use rouille::{Request, Response, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::{ControlHandle, ControlThread};
use crate::metrics::DaemonMetrics;
use crate::router::RouterHandle;
use crate::{DaemonError, Result};

/// Maximum size of a request body. The largest is a configuration's text, encoded as JSON.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Time limit for an operator's command, including the time until it is in force.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for a query to the leader.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The parts of the daemon that the operator server uses.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    pub(crate) control: ControlHandle,
    pub(crate) router: RouterHandle,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) token: Option<String>,
    pub(crate) draining: Arc<AtomicBool>,
    /// The zones of the settings.
    pub(crate) zones: Vec<ZoneName>,
}

/// The running server for operators.
pub(crate) struct OperatorServer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    pub(crate) fn start(address: SocketAddr, context: OperatorContext) -> Result<Self> {
        let listen_error = |cause: Box<dyn std::error::Error + Send + Sync>| DaemonError::Listen {
            step: "listen for operators",
            address,
            reason: cause.to_string(),
        };
        // Not limited to a thread pool, so that a few slow clients can't keep an operator from taking a zone out of
        // service.
        let server = Server::new(address, move |request| handle(&context, request)).map_err(listen_error)?;
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self { address, stop, thread: Some(thread) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        // Both fail only if the server has already stopped.
        self.stop.send(()).ok();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Handles one HTTP request.
fn handle(context: &OperatorContext, request: &Request) -> Response {
    let path = request.url();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        ("GET", ["healthz"]) => health(context),
        ("GET", ["readyz"]) => readiness(context),
        ("GET", ["metrics"]) => metrics(context),
        // The token is checked before a body is read, so that only operators can make the server wait for a body.
        _ if !is_authorized(context, request) => {
            refusal(401, &Refusal::not_run("the operator token is missing or wrong"))
        }
        ("POST", ["v1", "configuration"]) => apply_configuration(context, request),
        ("GET", ["v1", "configuration"]) => configuration(context),
        ("POST", ["v1", "zones", zone]) => set_zone(context, request, zone),
        ("GET", ["v1", "status"]) => status(context),
        ("GET", ["v1", "dump"]) => full_dump(context),
        ("GET", ["v1", "jobs", team, key, "explain"]) => explain(context, team, key),
        ("POST", ["v1", "replicas"]) => change_replicas(context, request),
        _ => refusal(404, &Refusal::not_run("no such resource at the operator edge")),
    }
}

fn is_authorized(context: &OperatorContext, request: &Request) -> bool {
    let Some(token) = &context.token else { return true };
    let given = request.header(headers::AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
    given.is_some_and(|given| tokens_match(given, token))
}

fn refusal(status: u16, body: &Refusal) -> Response {
    json(status, body)
}

fn json<T: Serialize>(status: u16, body: &T) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    Response::from_data("application/json", text).with_status_code(status)
}

fn read_json<T: DeserializeOwned>(request: &Request) -> std::result::Result<T, Response> {
    let bad = |reason: String| refusal(400, &Refusal::not_run(reason));
    let data = request.data().ok_or_else(|| bad("the body was already read".to_owned()))?;
    let mut body = Vec::new();
    data.take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|error| bad(format!("the body can't be read: {error}")))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(refusal(413, &Refusal::not_run(format!("the body is larger than {MAX_BODY_BYTES} bytes"))));
    }
    serde_json::from_slice(&body).map_err(|error| bad(format!("malformed body: {error}")))
}

fn health(context: &OperatorContext) -> Response {
    match context.control.query(|_| ()) {
        Some(()) => Response::text("ok\n"),
        None => Response::text("the control thread does not answer\n").with_status_code(503),
    }
}

fn readiness(context: &OperatorContext) -> Response {
    if context.draining.load(Ordering::Relaxed) {
        return Response::text("shutting down\n").with_status_code(503);
    }
    match context.control.query(ControlThread::is_ready) {
        Some(true) => Response::text("ready\n"),
        _ => Response::text("not caught up with the replicas\n").with_status_code(503),
    }
}

fn metrics(context: &OperatorContext) -> Response {
    if let Some(gauges) = context.control.query(ControlThread::gauges) {
        for (name, value) in gauges {
            context.metrics.record_state(name, value);
        }
    }
    Response::from_data("text/plain; version=0.0.4", context.metrics.render())
}

fn status(context: &OperatorContext) -> Response {
    let router = context.router.status();
    let Some(mut status) = context.control.query(ControlThread::status) else {
        return refusal(503, &Refusal::not_run("the control thread does not answer"));
    };
    if let Some(router) = router {
        let endpoints: usize = router.services.iter().map(|service| service.endpoints.len()).sum();
        status.endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
        status.requests = u32::try_from(router.in_progress).unwrap_or(u32::MAX);
    }
    json(200, &status)
}

fn full_dump(context: &OperatorContext) -> Response {
    let router = context.router.status();
    match context.control.query(ControlThread::dump) {
        Some(control) => json(200, &serde_json::json!({ "control": control, "router": router })),
        None => refusal(503, &Refusal::not_run("the control thread does not answer")),
    }
}

fn configuration(context: &OperatorContext) -> Response {
    match context.control.query(ControlThread::configuration) {
        Some(Some(view)) => json::<ConfigurationView>(200, &view),
        Some(None) => refusal(404, &Refusal::not_run("no configuration is in force yet")),
        None => refusal(503, &Refusal::not_run("the control thread does not answer")),
    }
}

fn apply_configuration(context: &OperatorContext, request: &Request) -> Response {
    let apply: ConfigurationApply = match read_json(request) {
        Ok(apply) => apply,
        Err(response) => return response,
    };
    let catalog = match Catalog::parse(&apply.text) {
        Ok(catalog) => catalog,
        Err(errors) => {
            let details = errors.errors().iter().map(ToString::to_string).collect();
            let body = Refusal { details, ..Refusal::not_run("the configuration is not valid") };
            return refusal(422, &body);
        }
    };
    let at = StateTime::default();
    operate(context, ControlCommand::ApplyConfiguration { at, operation: apply.operation, catalog, text: apply.text })
}

fn set_zone(context: &OperatorContext, request: &Request, zone: &str) -> Response {
    let zone: ZoneName = match zone.parse() {
        Ok(zone) => zone,
        Err(error) => return refusal(400, &Refusal::not_run(format!("{error}"))),
    };
    match read_json::<ZoneCommand>(request) {
        Ok(_) if !is_known_zone(context, &zone) => {
            let names: Vec<&str> = context.zones.iter().map(ZoneName::as_str).collect();
            let reason = format!("zone {zone} is unknown; the settings have {}", names.join(", "));
            refusal(409, &Refusal::not_run(reason))
        }
        Ok(ZoneCommand { operation, direction }) => {
            operate(context, ControlCommand::SetZone { at: StateTime::default(), operation, zone, direction })
        }
        Err(response) => response,
    }
}

/// Returns true if the settings or the state have the zone. A command for any other name is refused, so that an operator
/// who misspells a zone's name is not told that the zone is out of service.
fn is_known_zone(context: &OperatorContext, zone: &ZoneName) -> bool {
    if context.zones.contains(zone) {
        return true;
    }
    let zone = zone.clone();
    context.control.query(move |thread| thread.has_zone(&zone)).unwrap_or(false)
}

/// Executes a command on the leader and responds with its outcome.
fn operate(context: &OperatorContext, command: ControlCommand) -> Response {
    match context.control.call_blocking(LeaderCall::Operation(Box::new(command)), OPERATION_TIMEOUT) {
        Ok(LeaderReply::Operation { reply: ControlReply::Operation(result), in_force, not_heard }) => {
            let status = if result.outcome == OperationOutcome::Accepted { 200 } else { 409 };
            let reply = OperationReply {
                outcome: result.outcome,
                message: result.message,
                version: result.version,
                in_force,
                not_heard,
            };
            json(status, &reply)
        }
        Ok(LeaderReply::Operation { reply, .. }) => {
            let reason = reply.refusal().map_or_else(|| "unexpected answer".to_owned(), ToString::to_string);
            refusal(409, &Refusal::not_run(reason))
        }
        Ok(LeaderReply::Refused(reason)) => refusal(409, &Refusal::not_run(reason)),
        Ok(_) => refusal(500, &Refusal::unknown("unexpected answer of the leader")),
        Err(failure) => call_failure(failure),
    }
}

/// Converts a failed call to the leader to an HTTP response.
fn call_failure(failure: CallFailure) -> Response {
    let (status, body) = match failure {
        CallFailure::NotSent(reason) => (503, Refusal::not_run(reason)),
        CallFailure::Unknown(reason) => (504, Refusal::unknown(reason)),
    };
    refusal(status, &body.with_retry_after(TimeSpan::from_secs(1))).with_additional_header("Retry-After", "1")
}

fn explain(context: &OperatorContext, team: &str, key: &str) -> Response {
    let job: JobKey = match format!("{team}/{key}").parse() {
        Ok(job) => job,
        Err(error) => return refusal(400, &Refusal::not_run(format!("{error}"))),
    };
    match context.control.call_blocking(LeaderCall::Explain(job), QUERY_TIMEOUT) {
        Ok(LeaderReply::Json(body)) => Response::from_data("application/json", body),
        Ok(_) => refusal(404, &Refusal::not_run("no such job")),
        Err(failure) => call_failure(failure),
    }
}

fn change_replicas(context: &OperatorContext, request: &Request) -> Response {
    let command: ReplicaCommand = match read_json(request) {
        Ok(command) => command,
        Err(response) => return response,
    };
    match context.control.call_blocking(LeaderCall::ChangeReplicas(command.change), OPERATION_TIMEOUT) {
        Ok(LeaderReply::Done) => {
            let reply = OperationReply {
                outcome: OperationOutcome::Accepted,
                message: "the set of replicas is changed".to_owned(),
                version: None,
                in_force: Vec::new(),
                not_heard: Vec::new(),
            };
            json(200, &reply)
        }
        Ok(LeaderReply::Refused(reason)) => refusal(409, &Refusal::not_run(reason)),
        Ok(_) => refusal(500, &Refusal::unknown("unexpected answer of the leader")),
        Err(failure) => call_failure(failure),
    }
}
