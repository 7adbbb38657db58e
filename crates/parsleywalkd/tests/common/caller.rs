//! Requests of callers, and the load that tests keep up while daemons fail.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywalk_api::{Refusal, headers};

/// What a caller saw.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl CallerAnswer {
    /// The refusal; the body of every answer that is not an endpoint's must be one.
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
    /// An unkeyed request that may be repeated.
    pub(crate) fn new(entry: SocketAddr, body: &'a str) -> Self {
        Self { entry, key: None, repeatable: true, deadline: Duration::from_secs(5), body }
    }

    /// A keyed request that must not run twice.
    pub(crate) fn once(entry: SocketAddr, key: &'a str, body: &'a str) -> Self {
        Self { key: Some(key), repeatable: false, ..Self::new(entry, body) }
    }

    /// Sends it; an error says that the connection broke.
    pub(crate) fn send(&self) -> attohttpc::Result<CallerAnswer> {
        let mut request = attohttpc::post(format!("http://{}/v1/services/quotes/requests", self.entry))
            .timeout(Duration::from_secs(20))
            .header(headers::REPEATABLE, self.repeatable.to_string())
            .header(headers::DEADLINE, self.deadline.as_millis().to_string());
        if let Some(key) = self.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let response = request.text(self.body).send()?;
        Ok(CallerAnswer { status: response.status().as_u16(), body: response.bytes()? })
    }

    /// Sends it and demands the endpoint's whole answer, which is the request's body.
    pub(crate) fn expect_whole(&self) {
        let what: String = self.body.chars().take(40).collect();
        let answer = self.send().unwrap_or_else(|error| panic!("{what} at {}: {error}", self.entry));
        let text = String::from_utf8_lossy(&answer.body);
        let start: String = text.chars().take(300).collect();
        assert!(answer.status == 200 && text == self.body, "{what} at {}: {} {start}", self.entry, answer.status);
    }
}
