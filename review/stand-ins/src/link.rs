//! A loopback proxy between two daemons that can hold back bytes, as a network partition does.
//!
//! While the link is cut, bytes of open connections are kept and delivered in order once it is joined again, as
//! retransmitted packets are: one after the other, a round trip apart. They are lost if their sender resets the
//! connection. A connection that is opened during the cut never reaches the target, as its first packet is lost.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(10);
/// Twice the delay between two zones, and a margin for its timers.
const ROUND_TRIP: Duration = Duration::from_millis(2);

pub struct Link {
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(listen)?;
        let cut = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&cut);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(client, target, &shared));
            }
        });
        Ok(Link { cut })
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn serve(client: TcpStream, target: SocketAddr, cut: &Arc<AtomicBool>) {
    if cut.load(Ordering::SeqCst) {
        // The opening packet is lost. The client sees no answer while the cut lasts.
        while cut.load(Ordering::SeqCst) {
            thread::sleep(POLL);
        }
        return;
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let (Ok(client_in), Ok(server_out)) = (client.try_clone(), server.try_clone()) else { return };
    let forward = Arc::clone(cut);
    let thread = thread::spawn(move || copy(client_in, server_out, &forward));
    copy(server, client, cut);
    let _ = thread.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true), from.set_read_timeout(Some(POLL)));
    let mut held: Vec<Vec<u8>> = Vec::new();
    let mut ended = false;
    let mut chunk = vec![0; 64 * 1024];
    loop {
        if ended {
            thread::sleep(POLL);
        } else {
            match from.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(count) => held.push(chunk[..count].to_vec()),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    // The sender has reset the connection: what was held back is lost.
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
        if cut.load(Ordering::SeqCst) {
            continue;
        }
        let several = held.len() > 1;
        for packet in held.drain(..) {
            if to.write_all(&packet).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
            if several {
                thread::sleep(ROUND_TRIP);
            }
        }
        if ended {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
