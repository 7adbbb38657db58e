//! A TCP link that can be cut without a sign to either side, delayed, reset or silenced.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::{Result, TestkitError};

/// How often the threads look whether the link has been dropped.
const POLL: Duration = Duration::from_millis(100);
/// The longest wait for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Which directions of a link carry nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkCut {
    /// Both directions carry bytes.
    #[default]
    None,
    /// Nothing passes from the one who connected to the target.
    Forward,
    /// Nothing passes from the target to the one who connected.
    Backward,
    /// Nothing passes.
    Both,
}

#[derive(Debug)]
struct LinkState {
    target: SocketAddr,
    cut: Mutex<LinkCut>,
    changed: Condvar,
    ended: AtomicBool,
    /// Added to each piece of bytes, in milliseconds.
    delay_ms: AtomicU64,
    /// The connections so far; each has its number.
    opened: AtomicU64,
    /// Connections with a lower number are to be closed.
    reset_below: AtomicU64,
    /// Connections with a lower number carry nothing any more.
    silent_below: AtomicU64,
}

/// Listens and passes connections on to a target.
///
/// While a direction is cut, connections stay open and their bytes, ends of streams included, are held back. After
/// healing they arrive late, as retransmitted packets do. Dropping the link closes its connections.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Listens on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be opened.
    pub fn start(ip: IpAddr, target: SocketAddr) -> Result<Self> {
        Self::start_at(SocketAddr::new(ip, 0), target)
    }

    /// Listens on an address.
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
            ended: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            reset_below: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&state);
        thread::spawn(move || accepting.accept(&listener));
        Ok(Self { address, state })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or heals the link, for open and for later connections.
    pub fn set_cut(&self, cut: LinkCut) {
        *self.state.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
        self.state.changed.notify_all();
    }

    /// Delays each piece of bytes, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX), Ordering::SeqCst);
    }

    /// Closes the connections that are open.
    pub fn reset_connections(&self) {
        self.state.reset_below.store(self.state.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Lets the connections that are open carry nothing any more, while new ones work: as after a device on the way has
    /// lost track of them.
    pub fn silence_connections(&self) {
        self.state.silent_below.store(self.state.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

impl Drop for FaultyLink {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::SeqCst);
        self.state.changed.notify_all();
        // Wakes the accepting thread, which then ends.
        drop(TcpStream::connect_timeout(&self.address, POLL));
    }
}

impl LinkState {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for socket in listener.incoming().flatten() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let state = Arc::clone(self);
            thread::spawn(move || state.open(socket));
        }
    }

    /// Connects to the target; a target that refuses closes the connection, unless the link is cut.
    fn open(self: &Arc<Self>, near: TcpStream) {
        if !self.wait_until_passing(LinkCut::Forward) {
            return;
        }
        let Ok(far) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else { return };
        for socket in [&near, &far] {
            if socket.set_nodelay(true).is_err() || socket.set_read_timeout(Some(POLL)).is_err() {
                return;
            }
        }
        let number = self.opened.fetch_add(1, Ordering::SeqCst);
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
        let state = Arc::clone(self);
        thread::spawn(move || state.pass(number, far_reader, near, LinkCut::Backward));
        self.pass(number, near_reader, far, LinkCut::Forward);
    }

    /// Passes bytes on until the stream ends.
    fn pass(&self, number: u64, mut from: TcpStream, mut to: TcpStream, direction: LinkCut) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if number < self.reset_below.load(Ordering::SeqCst) {
                drop(to.shutdown(Shutdown::Both));
                drop(from.shutdown(Shutdown::Both));
                return;
            }
            if matches!(&read, Err(error) if is_timeout(error)) {
                if self.ended.load(Ordering::SeqCst) {
                    return;
                }
                continue;
            }
            if !self.wait_until_passing(direction) {
                return;
            }
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
            let silent = number < self.silent_below.load(Ordering::SeqCst);
            match read {
                Ok(1..) if silent => {}
                Ok(count @ 1..) if to.write_all(&buffer[..count]).is_ok() => {}
                _ => break,
            }
        }
        // Both may be closed already.
        drop(to.shutdown(Shutdown::Write));
        drop(from.shutdown(Shutdown::Read));
    }

    /// Waits while the direction is cut; `false` once the link has been dropped.
    fn wait_until_passing(&self, direction: LinkCut) -> bool {
        let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.ended.load(Ordering::SeqCst) {
            if *cut != LinkCut::Both && *cut != direction {
                return true;
            }
            cut = self.changed.wait_timeout(cut, POLL).unwrap_or_else(PoisonError::into_inner).0;
        }
        false
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
