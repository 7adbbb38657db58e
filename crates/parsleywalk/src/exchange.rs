//! One exchange with one daemon.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use attohttpc::{Method, ProxySettings, Response};
use parsleywalk_api::headers;

/// The longest answer that is read; the largest is a dump of the state.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// One HTTP call, without its address.
#[derive(Debug)]
pub(crate) struct HttpCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
}

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// A whole answer.
    Answer { status: u16, body: String },
    /// No connection could be made, so nothing was sent.
    NotSent(String),
    /// The call may have arrived, and no whole answer came back.
    Broken(String),
}

/// Sends a call to one daemon and reads the answer, within `timeout`.
pub(crate) fn exchange(target: SocketAddr, token: Option<&str>, call: &HttpCall, timeout: Duration) -> ExchangeEnd {
    // attohttpc reports a failed connect and a failed read in the same way. A connection made beforehand tells them
    // apart, which decides whether the call may have arrived.
    if let Err(error) = TcpStream::connect_timeout(&target, timeout) {
        return ExchangeEnd::NotSent(error.to_string());
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
        Err(error) => ExchangeEnd::Broken(error.to_string()),
    }
}

/// Reads an answer and compares its length, since attohttpc takes a connection that closes early for the end of a body.
fn read_response(response: Response) -> ExchangeEnd {
    let (status, fields, body) = response.split();
    let announced = fields.get("Content-Length").and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let mut text = String::new();
    if let Err(error) = body.take(MAX_RESPONSE_BYTES + 1).read_to_string(&mut text) {
        return ExchangeEnd::Broken(error.to_string());
    }
    let length = text.len() as u64;
    if length > MAX_RESPONSE_BYTES {
        return ExchangeEnd::Broken(format!("the answer has more than {MAX_RESPONSE_BYTES} bytes"));
    }
    if announced.is_some_and(|announced| announced != length) {
        return ExchangeEnd::Broken(format!("the answer was cut off after {length} bytes"));
    }
    ExchangeEnd::Answer { status: status.as_u16(), body: text }
}
