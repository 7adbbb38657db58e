//! Calls that try one daemon after the other.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use parsleywalk_api::{OperationReply, Refusal, RefusalOutcome};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::ConnectionArguments;
use crate::error::{ClientError, Result};
use crate::exchange::{ExchangeEnd, HttpCall, exchange};

/// What a repeated call does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    /// Reads only.
    Query,
    /// Takes effect once, however often it arrives: it carries an operation id or a job key.
    Repeatable,
    /// May take effect once more each time it arrives.
    Once,
}

/// Calls the daemons of one edge in the order in which they were given.
#[derive(Debug)]
pub(crate) struct DaemonClient {
    targets: Vec<SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

impl DaemonClient {
    /// A client of the operator edge.
    pub(crate) fn operator(arguments: &ConnectionArguments) -> Result<Self> {
        let token = arguments.read_token()?;
        Self::new(&arguments.operator_addresses, "--operator-address", token, arguments)
    }

    /// A client of the caller edge, which takes no token.
    pub(crate) fn caller(arguments: &ConnectionArguments) -> Result<Self> {
        Self::new(&arguments.caller_addresses, "--caller-address", None, arguments)
    }

    fn new(
        targets: &[SocketAddr],
        option: &'static str,
        token: Option<String>,
        arguments: &ConnectionArguments,
    ) -> Result<Self> {
        if targets.is_empty() {
            return Err(ClientError::MissingOption { option });
        }
        Ok(Self { targets: targets.to_vec(), token, timeout: arguments.timeout.as_duration() })
    }

    /// Reads something.
    pub(crate) fn query<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        self.call(CallKind::Query, &HttpCall { method: Method::GET, path, body: String::new() })
    }

    /// Sends a message that takes effect once, however often it arrives.
    pub(crate) fn send<T: DeserializeOwned>(&self, path: String, message: &impl Serialize) -> Result<T> {
        self.call(CallKind::Repeatable, &post(path, message)?)
    }

    /// Sends a message that must not arrive twice.
    pub(crate) fn send_once<T: DeserializeOwned>(&self, path: String, message: &impl Serialize) -> Result<T> {
        self.call(CallKind::Once, &post(path, message)?)
    }

    /// Deletes something; a repeated deletion has no further effect.
    pub(crate) fn delete<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        self.call(CallKind::Repeatable, &HttpCall { method: Method::DELETE, path, body: String::new() })
    }

    fn call<T: DeserializeOwned>(&self, kind: CallKind, call: &HttpCall) -> Result<T> {
        let mut attempts = AttemptList::default();
        for target in &self.targets {
            let end = exchange(*target, self.token.as_deref(), call, self.timeout);
            match judge(kind, end) {
                AttemptEnd::Answered(answer) => return Ok(answer),
                AttemptEnd::Refused(refusal) => return Err(attempts.refused(refusal)),
                AttemptEnd::Busy(refusal) => attempts.add_busy(*target, refusal),
                AttemptEnd::NotSent(reason) => attempts.reasons.push(format!("{target}: {reason}")),
                AttemptEnd::Unknown(reason) => {
                    attempts.reasons.push(format!("{target}: {reason}"));
                    attempts.is_unknown = true;
                    if kind == CallKind::Once {
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

/// What one attempt says of the call.
enum AttemptEnd<T> {
    Answered(T),
    /// Refused by any daemon for the same reason.
    Refused(Refusal),
    /// This daemon could not take the call; another may.
    Busy(Refusal),
    NotSent(String),
    Unknown(String),
}

fn judge<T: DeserializeOwned>(kind: CallKind, end: ExchangeEnd) -> AttemptEnd<T> {
    let (status, body) = match end {
        ExchangeEnd::Answer { status, body } => (status, body),
        ExchangeEnd::NotSent(reason) => return AttemptEnd::NotSent(reason),
        // A query that broke has changed nothing.
        ExchangeEnd::Broken(reason) if kind == CallKind::Query => return AttemptEnd::NotSent(reason),
        ExchangeEnd::Broken(reason) => return AttemptEnd::Unknown(reason),
    };
    if (200..300).contains(&status) {
        return match serde_json::from_str(&body) {
            Ok(answer) => AttemptEnd::Answered(answer),
            Err(error) if kind == CallKind::Query => AttemptEnd::NotSent(format!("unreadable answer: {error}")),
            Err(error) => AttemptEnd::Unknown(format!("unreadable answer: {error}")),
        };
    }
    let is_client_fault = (400..500).contains(&status);
    let refusal = read_refusal(&body).unwrap_or_else(|| {
        let reason = format!("status {status}: {}", body.chars().take(200).collect::<String>());
        if is_client_fault { Refusal::not_run(reason) } else { Refusal::unknown(reason) }
    });
    match refusal.outcome {
        RefusalOutcome::NotRun if is_client_fault => AttemptEnd::Refused(refusal),
        RefusalOutcome::NotRun => AttemptEnd::Busy(refusal),
        RefusalOutcome::Unknown if kind == CallKind::Query => AttemptEnd::Busy(refusal),
        RefusalOutcome::Unknown => AttemptEnd::Unknown(refusal.reason),
    }
}

/// Reads a refusal, or the reply to a refused operation where that comes with a status of its own.
fn read_refusal(body: &str) -> Option<Refusal> {
    serde_json::from_str(body)
        .or_else(|_| serde_json::from_str::<OperationReply>(body).map(|reply| Refusal::not_run(reply.message)))
        .ok()
}

/// The attempts so far that had no answer.
#[derive(Debug, Default)]
struct AttemptList {
    reasons: Vec<String>,
    is_unknown: bool,
    busy: Option<Refusal>,
}

impl AttemptList {
    fn add_busy(&mut self, target: SocketAddr, refusal: Refusal) {
        self.reasons.push(format!("{target}: {}", refusal.reason));
        self.busy = Some(refusal);
    }

    /// A refusal settles the call only where no earlier attempt may have arrived.
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
        match self.busy {
            Some(refusal) => {
                let wait = refusal.retry_after.map(|wait| format!("; try again in {wait}")).unwrap_or_default();
                ClientError::Refused { reason: self.reasons.join("; ") + &wait, details: refusal.details }
            }
            None => ClientError::Unreachable { reasons: self.reasons },
        }
    }
}
