//! One HTTP exchange with one daemon.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use attohttpc::{Method, ProxySettings, Response};
use parsleywalk_api::headers;

/// Maximum size of a response body. The largest one is a dump of the state.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// One HTTP call, without its address.
#[derive(Debug)]
pub(crate) struct HttpCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
}

/// The outcome of an exchange.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// A complete response arrived.
    Response { status: u16, body: String },
    /// No connection could be established, so nothing was sent.
    NotSent(String),
    /// The call may have arrived, but no complete response came back.
    Broken(String),
}

/// Sends a call to one daemon and reads the response. Connecting and the request are each limited to `timeout`.
pub(crate) fn exchange(target: SocketAddr, token: Option<&str>, call: &HttpCall, timeout: Duration) -> ExchangeOutcome {
    // attohttpc reports a failed connect and a failed read in the same way. A separate connection beforehand tells a
    // daemon that can't be reached from a call that may have arrived.
    if let Err(error) = TcpStream::connect_timeout(&target, timeout) {
        return ExchangeOutcome::NotSent(error.to_string());
    }
    let mut request = attohttpc::RequestBuilder::new(call.method.clone(), format!("http://{target}{}", call.path))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout);
    if let Some(token) = token {
        request = request.header(headers::AUTHORIZATION, format!("Bearer {token}"));
    }
    if !call.body.is_empty() {
        request = request.header("Content-Type", "application/json");
    }
    match request.text(call.body.as_str()).send() {
        Ok(response) => read_response(response),
        Err(error) => ExchangeOutcome::Broken(error.to_string()),
    }
}

/// Reads a response and checks its length, because attohttpc accepts a body whose connection closed early as complete.
fn read_response(response: Response) -> ExchangeOutcome {
    let (status, fields, body) = response.split();
    let declared = fields.get("Content-Length").and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let mut text = String::new();
    if let Err(error) = body.take(MAX_RESPONSE_BYTES + 1).read_to_string(&mut text) {
        return ExchangeOutcome::Broken(error.to_string());
    }
    let length = text.len() as u64;
    if length > MAX_RESPONSE_BYTES {
        return ExchangeOutcome::Broken(format!("the response has more than {MAX_RESPONSE_BYTES} bytes"));
    }
    if declared.is_some_and(|declared| declared != length) {
        return ExchangeOutcome::Broken(format!("the response was cut off after {length} bytes"));
    }
    ExchangeOutcome::Response { status: status.as_u16(), body: text }
}
