//! Requests from callers.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_api::{Refusal, headers};

/// The response that a caller received.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl CallerResponse {
    /// Decodes the body as a refusal, which every response that doesn't come from an endpoint must contain.
    pub(crate) fn refusal(&self) -> Refusal {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{} is no refusal: {error}", String::from_utf8_lossy(&self.body)))
    }
}

/// A request to a service.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest<'a> {
    pub(crate) entry: SocketAddr,
    pub(crate) key: Option<&'a str>,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Duration,
    pub(crate) body: &'a str,
}

impl<'a> CallerRequest<'a> {
    /// Creates a request without a key that may run more than once.
    pub(crate) fn new(entry: SocketAddr, body: &'a str) -> Self {
        Self { entry, key: None, repeatable: true, deadline: Duration::from_secs(5), body }
    }

    /// Creates a request with an idempotency key that must not run twice.
    pub(crate) fn keyed(entry: SocketAddr, key: &'a str, body: &'a str) -> Self {
        Self { key: Some(key), repeatable: false, ..Self::new(entry, body) }
    }

    /// Sends the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub(crate) fn send(&self) -> attohttpc::Result<CallerResponse> {
        let mut request = attohttpc::post(format!("http://{}/v1/services/quotes/requests", self.entry))
            .timeout(Duration::from_secs(20))
            .header(headers::REPEATABLE, self.repeatable.to_string())
            .header(headers::DEADLINE, self.deadline.as_millis().to_string());
        if let Some(key) = self.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let response = request.text(self.body).send()?;
        Ok(CallerResponse { status: response.status().as_u16(), body: response.bytes()? })
    }

    /// Sends the request and checks that the endpoint's complete response arrives, which echoes the request's body.
    pub(crate) fn expect_success(&self) {
        let what: String = self.body.chars().take(40).collect();
        let response = self.send().unwrap_or_else(|error| panic!("{what} at {}: {error}", self.entry));
        let text = String::from_utf8_lossy(&response.body);
        let start: String = text.chars().take(300).collect();
        assert!(response.status == 200 && text == self.body, "{what} at {}: {} {start}", self.entry, response.status);
    }
}
