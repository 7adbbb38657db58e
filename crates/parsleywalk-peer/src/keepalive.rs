//! Keepalive by HTTP/2 pings, which detects connections on which nothing arrives any more.

use std::net::SocketAddr;
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time;

use crate::{PeerError, Result};

/// Sends a ping after each `interval`, until one is not acknowledged within `timeout` or the connection fails. Returns
/// the failure.
pub(crate) async fn run(mut ping_pong: PingPong, peer: SocketAddr, interval: Duration, timeout: Duration) -> PeerError {
    loop {
        time::sleep(interval).await;
        if let Err(error) = ping(&mut ping_pong, peer, timeout).await {
            return error;
        }
    }
}

async fn ping(ping_pong: &mut PingPong, peer: SocketAddr, timeout: Duration) -> Result<()> {
    match time::timeout(timeout, ping_pong.ping(Ping::opaque())).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(cause)) => Err(PeerError::Stream { step: "ping", peer, cause }),
        Err(_) => Err(PeerError::Timeout { step: "ping", peer }),
    }
}
