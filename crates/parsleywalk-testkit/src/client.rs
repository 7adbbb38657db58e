//! HTTP requests of the test doubles to an entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::ProxySettings;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Result, TestkitError};

/// Posts a message as JSON and parses the response; `timeout` covers the whole exchange.
pub(crate) fn post<M: Serialize, R: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    message: &M,
    timeout: Duration,
) -> Result<R> {
    let call = |source| TestkitError::Call { peer, source };
    let text = serde_json::to_string(message).map_err(|source| TestkitError::Message { peer, source })?;
    let response = attohttpc::post(format!("http://{peer}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .header("Content-Type", "application/json")
        .text(text)
        .send()
        .map_err(call)?;
    let status = response.status().as_u16();
    let body = response.text().map_err(call)?;
    if status != 200 {
        return Err(TestkitError::Status { peer, status, body });
    }
    serde_json::from_str(&body).map_err(|source| TestkitError::Message { peer, source })
}
