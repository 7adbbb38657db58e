//! Fake daemons, and runs of the client.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rouille::Response;

/// A call that a fake daemon received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedCall {
    pub(crate) line: String,
    pub(crate) body: String,
    pub(crate) token: Option<String>,
}

/// A fake daemon that records the calls it receives.
pub(crate) struct FakeDaemon {
    pub(crate) address: String,
    received: Arc<Mutex<Vec<ReceivedCall>>>,
    stopped: Arc<AtomicBool>,
}

impl FakeDaemon {
    /// Starts a daemon that responds with the status and the JSON text which `respond` returns for a call's method and
    /// path.
    pub(crate) fn start(respond: impl Fn(&str) -> (u16, String) + Send + Sync + 'static) -> Self {
        Self::start_raw(move |line| {
            let (status, body) = respond(line);
            Response::from_data("application/json", body).with_status_code(status)
        })
    }

    pub(crate) fn start_raw(respond: impl Fn(&str) -> Response + Send + Sync + 'static) -> Self {
        let received: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let calls = Arc::clone(&received);
        let server = rouille::Server::new("127.0.0.1:0", move |request| {
            let mut body = String::new();
            request.data().unwrap().read_to_string(&mut body).unwrap();
            let line = format!("{} {}", request.method(), request.url());
            let token = request.header("Authorization").map(str::to_owned);
            calls.lock().unwrap().push(ReceivedCall { line: line.clone(), body, token });
            respond(&line)
        })
        .unwrap();
        let (address, stopped) = (server.server_addr().to_string(), Arc::new(AtomicBool::new(false)));
        let flag = Arc::clone(&stopped);
        thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                server.poll_timeout(Duration::from_millis(10));
            }
        });
        Self { address, received, stopped }
    }

    /// Starts a daemon that gives the same response to every call.
    pub(crate) fn fixed(status: u16, body: &str) -> Self {
        let body = body.to_owned();
        Self::start(move |_| (status, body.clone()))
    }

    pub(crate) fn received(&self) -> Vec<ReceivedCall> {
        self.received.lock().unwrap().clone()
    }
}

impl Drop for FakeDaemon {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Returns an address on which nothing listens.
pub(crate) fn closed_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// Starts a daemon that closes each connection without a response, and returns its address.
pub(crate) fn broken_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut bytes = [0; 1024];
            let _ = stream.unwrap().read(&mut bytes);
        }
    });
    address
}

/// Runs the client with the given arguments, separated by spaces.
pub(crate) fn run(arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_parsleywalk"))
        .args(arguments.split_whitespace())
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

/// Runs the client and returns its exit code, standard output and standard error as one text.
pub(crate) fn run_text(arguments: &str) -> String {
    text_of(&run(arguments))
}

pub(crate) fn text_of(output: &Output) -> String {
    let (code, out) = (output.status.code().unwrap(), String::from_utf8_lossy(&output.stdout));
    format!("exit {code}\n{out}{}", String::from_utf8_lossy(&output.stderr))
}
