//! A TCP proxy that simulates network faults: partitions, delays, resets and black-holed connections.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::{Result, TestkitError};

/// How often the threads check whether the link has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The directions of a link that are blocked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkCut {
    /// No direction is blocked.
    #[default]
    None,
    /// Bytes from the connecting side to the target are held back.
    Forward,
    /// Bytes from the target to the connecting side are held back.
    Backward,
    /// Bytes in both directions are held back.
    Both,
}

#[derive(Debug)]
struct LinkState {
    target: SocketAddr,
    cut: Mutex<LinkCut>,
    changed: Condvar,
    closed: AtomicBool,
    /// The delay before each read chunk is forwarded, in milliseconds.
    delay_ms: AtomicU64,
    /// The number of the next connection.
    next_connection: AtomicU64,
    /// Connections with a lower number are closed.
    reset_below: AtomicU64,
    /// Bytes of connections with a lower number are discarded.
    silent_below: AtomicU64,
}

/// A proxy that relays TCP connections to a target.
///
/// While a direction is cut, connections stay open and neither side sees an error. Bytes and ends of streams are held
/// back and arrive once the link is healed, as retransmitted packets do. Dropping the link closes its connections.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Starts a link that listens on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be opened.
    pub fn start(ip: IpAddr, target: SocketAddr) -> Result<Self> {
        Self::start_at(SocketAddr::new(ip, 0), target)
    }

    /// Starts a link that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listen_error = |error: std::io::Error| TestkitError::Listen { reason: error.to_string() };
        let listener = TcpListener::bind(address).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let state = Arc::new(LinkState {
            target,
            cut: Mutex::default(),
            changed: Condvar::new(),
            closed: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            reset_below: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&state);
        thread::spawn(move || accepting.accept_connections(&listener));
        Ok(Self { address, state })
    }

    /// Returns the address on which the link listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or heals the link, for existing and for new connections.
    pub fn set_cut(&self, cut: LinkCut) {
        *self.state.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
        self.state.changed.notify_all();
    }

    /// Sets the delay before each chunk of bytes is forwarded, in both directions. It is rounded down to milliseconds.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX), Ordering::SeqCst);
    }

    /// Closes the existing connections; new ones work.
    pub fn reset_connections(&self) {
        self.state.reset_below.store(self.state.next_connection.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Discards all further bytes of the existing connections without closing them, while new ones work, as if a NAT or
    /// firewall had lost their state.
    pub fn blackhole_connections(&self) {
        self.state.silent_below.store(self.state.next_connection.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

impl Drop for FaultyLink {
    fn drop(&mut self) {
        self.state.closed.store(true, Ordering::SeqCst);
        self.state.changed.notify_all();
        // Unblocks the accepting thread, which then sees that the link is closed.
        drop(TcpStream::connect_timeout(&self.address, POLL_INTERVAL));
    }
}

impl LinkState {
    fn accept_connections(self: &Arc<Self>, listener: &TcpListener) {
        for socket in listener.incoming().flatten() {
            if self.closed.load(Ordering::SeqCst) {
                return;
            }
            let state = Arc::clone(self);
            thread::spawn(move || state.open_connection(socket));
        }
    }

    /// Connects to the target and relays bytes in both directions. If the target refuses, the client's connection is
    /// closed, but not while the link is cut.
    fn open_connection(self: &Arc<Self>, client: TcpStream) {
        if !self.wait_while_cut(LinkCut::Forward) {
            return;
        }
        let Ok(target) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else { return };
        for socket in [&client, &target] {
            if socket.set_nodelay(true).is_err() || socket.set_read_timeout(Some(POLL_INTERVAL)).is_err() {
                return;
            }
        }
        let connection = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let (Ok(inbound), Ok(outbound)) = (client.try_clone(), target.try_clone()) else { return };
        let state = Arc::clone(self);
        thread::spawn(move || state.relay(connection, outbound, client, LinkCut::Backward));
        self.relay(connection, inbound, target, LinkCut::Forward);
    }

    /// Relays bytes in one direction until the stream ends.
    fn relay(&self, connection: u64, mut from: TcpStream, mut to: TcpStream, direction: LinkCut) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if connection < self.reset_below.load(Ordering::SeqCst) {
                drop(to.shutdown(Shutdown::Both));
                drop(from.shutdown(Shutdown::Both));
                return;
            }
            if matches!(&read, Err(error) if is_timeout(error)) {
                if self.closed.load(Ordering::SeqCst) {
                    return;
                }
                continue;
            }
            if !self.wait_while_cut(direction) {
                return;
            }
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
            let silent = connection < self.silent_below.load(Ordering::SeqCst);
            match read {
                Ok(1..) if silent => {}
                Ok(count @ 1..) if to.write_all(&buffer[..count]).is_ok() => {}
                _ => break,
            }
        }
        // Errors are ignored, since both sockets may be closed already.
        drop(to.shutdown(Shutdown::Write));
        drop(from.shutdown(Shutdown::Read));
    }

    /// Waits while the direction is cut; returns false if the link has been dropped.
    fn wait_while_cut(&self, direction: LinkCut) -> bool {
        let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.closed.load(Ordering::SeqCst) {
            if *cut != LinkCut::Both && *cut != direction {
                return true;
            }
            cut = self.changed.wait_timeout(cut, POLL_INTERVAL).unwrap_or_else(PoisonError::into_inner).0;
        }
        false
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
