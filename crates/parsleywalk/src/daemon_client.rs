//! Calls that try one daemon after another.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use parsleywalk_api::{OperationReply, Refusal, RefusalOutcome};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::ConnectionArguments;
use crate::error::{ClientError, Result};
use crate::exchange::{ExchangeOutcome, HttpCall, exchange};

/// Whether a call may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    /// Changes nothing.
    ReadOnly,
    /// Takes effect once, however often it arrives, because it carries an operation id or a job key.
    Idempotent,
    /// May take effect each time it arrives.
    NonIdempotent,
}

/// Calls daemons, in the given order until one serves the call.
#[derive(Debug)]
pub(crate) struct DaemonClient {
    addresses: Vec<SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

impl DaemonClient {
    /// Creates a client for the daemons' operator addresses.
    pub(crate) fn operator(arguments: &ConnectionArguments) -> Result<Self> {
        let token = arguments.read_token()?;
        Self::new(&arguments.operator_addresses, "--operator-address", token, arguments)
    }

    /// Creates a client for the daemons' caller addresses, which require no token.
    pub(crate) fn caller(arguments: &ConnectionArguments) -> Result<Self> {
        Self::new(&arguments.caller_addresses, "--caller-address", None, arguments)
    }

    /// Creates a client for the daemons' metrics addresses, which require no token.
    pub(crate) fn metrics(arguments: &ConnectionArguments) -> Result<Self> {
        Self::new(&arguments.metrics_addresses, "--metrics-address", None, arguments)
    }

    fn new(
        addresses: &[SocketAddr],
        option: &'static str,
        token: Option<String>,
        arguments: &ConnectionArguments,
    ) -> Result<Self> {
        if addresses.is_empty() {
            return Err(ClientError::MissingOption { option });
        }
        Ok(Self { addresses: addresses.to_vec(), token, timeout: arguments.timeout.as_duration() })
    }

    /// Sends a query, which changes nothing.
    pub(crate) fn query<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        self.call(CallKind::ReadOnly, &HttpCall { method: Method::GET, path, body: String::new() })
    }

    /// Sends a message that takes effect once, however often it arrives.
    pub(crate) fn send<T: DeserializeOwned>(&self, path: String, message: &impl Serialize) -> Result<T> {
        self.call(CallKind::Idempotent, &post(path, message)?)
    }

    /// Sends a message that may take effect each time it arrives.
    pub(crate) fn send_non_idempotent<T: DeserializeOwned>(&self, path: String, message: &impl Serialize) -> Result<T> {
        self.call(CallKind::NonIdempotent, &post(path, message)?)
    }

    /// Sends a deletion, which has no further effect if it arrives again.
    pub(crate) fn delete<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        self.call(CallKind::Idempotent, &HttpCall { method: Method::DELETE, path, body: String::new() })
    }

    /// Tries the daemons in order until one serves or refuses the call. A call that is not idempotent also ends at the
    /// first attempt that may have taken effect.
    fn call<T: DeserializeOwned>(&self, kind: CallKind, call: &HttpCall) -> Result<T> {
        let mut attempts = FailedAttempts::default();
        for address in &self.addresses {
            let outcome = exchange(*address, self.token.as_deref(), call, self.timeout);
            match classify(kind, outcome) {
                AttemptOutcome::Success(response) => return Ok(response),
                AttemptOutcome::Refused(refusal) => return Err(attempts.refused(refusal)),
                AttemptOutcome::Unavailable(refusal) => attempts.add_unavailable(*address, refusal),
                AttemptOutcome::NotSent(reason) => attempts.reasons.push(format!("{address}: {reason}")),
                AttemptOutcome::Unknown(reason) => {
                    attempts.reasons.push(format!("{address}: {reason}"));
                    attempts.is_unknown = true;
                    if kind == CallKind::NonIdempotent {
                        break;
                    }
                }
            }
        }
        Err(attempts.into_error())
    }
}

fn post(path: String, message: &impl Serialize) -> Result<HttpCall> {
    let body = serde_json::to_string(message).map_err(ClientError::Encode)?;
    Ok(HttpCall { method: Method::POST, path, body })
}

/// The outcome of one attempt.
enum AttemptOutcome<T> {
    Success(T),
    /// Every daemon would refuse the call for this reason.
    Refused(Refusal),
    /// This daemon can't serve the call now, but another may.
    Unavailable(Refusal),
    /// The call had no effect.
    NotSent(String),
    /// The call may have taken effect.
    Unknown(String),
}

fn classify<T: DeserializeOwned>(kind: CallKind, outcome: ExchangeOutcome) -> AttemptOutcome<T> {
    let (status, body) = match outcome {
        ExchangeOutcome::Response { status, body } => (status, body),
        ExchangeOutcome::NotSent(reason) => return AttemptOutcome::NotSent(reason),
        // A query changes nothing, so its loss doesn't leave the outcome unknown.
        ExchangeOutcome::Broken(reason) if kind == CallKind::ReadOnly => return AttemptOutcome::NotSent(reason),
        ExchangeOutcome::Broken(reason) => return AttemptOutcome::Unknown(reason),
    };
    if (200..300).contains(&status) {
        return match serde_json::from_str(&body) {
            Ok(response) => AttemptOutcome::Success(response),
            Err(error) if kind == CallKind::ReadOnly => {
                AttemptOutcome::NotSent(format!("unreadable response: {error}"))
            }
            Err(error) => AttemptOutcome::Unknown(format!("unreadable response: {error}")),
        };
    }
    let is_client_error = (400..500).contains(&status);
    let refusal = read_refusal(&body).unwrap_or_else(|| {
        let reason = format!("status {status}: {}", body.chars().take(200).collect::<String>());
        if is_client_error { Refusal::not_run(reason) } else { Refusal::unknown(reason) }
    });
    match refusal.outcome {
        RefusalOutcome::NotRun if is_client_error => AttemptOutcome::Refused(refusal),
        RefusalOutcome::NotRun => AttemptOutcome::Unavailable(refusal),
        RefusalOutcome::Unknown if kind == CallKind::ReadOnly => AttemptOutcome::Unavailable(refusal),
        RefusalOutcome::Unknown => AttemptOutcome::Unknown(refusal.reason),
    }
}

/// Reads a refusal, or the reply to an operation that was refused with an error status.
fn read_refusal(body: &str) -> Option<Refusal> {
    serde_json::from_str(body)
        .or_else(|_| serde_json::from_str::<OperationReply>(body).map(|reply| Refusal::not_run(reply.message)))
        .ok()
}

/// The attempts so far that did not settle the call.
#[derive(Debug, Default)]
struct FailedAttempts {
    reasons: Vec<String>,
    /// Whether an attempt may have taken effect.
    is_unknown: bool,
    /// The last refusal by an unavailable daemon.
    unavailable: Option<Refusal>,
}

impl FailedAttempts {
    fn add_unavailable(&mut self, address: SocketAddr, refusal: Refusal) {
        self.reasons.push(format!("{address}: {}", refusal.reason));
        self.unavailable = Some(refusal);
    }

    /// Returns the error after a refusal, which settles the call only if no earlier attempt may have taken effect.
    fn refused(mut self, refusal: Refusal) -> ClientError {
        if self.is_unknown {
            self.reasons.push(refusal.reason);
            return ClientError::Unknown { reasons: self.reasons };
        }
        ClientError::Refused { reason: refusal.reason, details: refusal.details }
    }

    fn into_error(self) -> ClientError {
        if self.is_unknown {
            return ClientError::Unknown { reasons: self.reasons };
        }
        match self.unavailable {
            Some(refusal) => {
                let hint = refusal.retry_after.map(|delay| format!("; try again in {delay}")).unwrap_or_default();
                ClientError::Refused { reason: self.reasons.join("; ") + &hint, details: refusal.details }
            }
            None => ClientError::Unreachable { reasons: self.reasons },
        }
    }
}
