//! Pings that detect connections which went silent.

use std::net::SocketAddr;
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time;

use crate::{PeerError, Result};

/// Pings until one stays unanswered for `timeout` or the connection fails.
pub(crate) async fn run(mut pings: PingPong, peer: SocketAddr, interval: Duration, timeout: Duration) -> PeerError {
    loop {
        time::sleep(interval).await;
        if let Err(error) = ping(&mut pings, peer, timeout).await {
            return error;
        }
    }
}

async fn ping(pings: &mut PingPong, peer: SocketAddr, timeout: Duration) -> Result<()> {
    match time::timeout(timeout, pings.ping(Ping::opaque())).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(cause)) => Err(PeerError::Stream { step: "ping", peer, cause }),
        Err(_) => Err(PeerError::Timeout { step: "ping", peer }),
    }
}
