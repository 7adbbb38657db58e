//! Stand-ins for a daemon's edges, and runs of the client.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rouille::Response;

/// A call that a stand-in got.
#[derive(Debug, Clone)]
pub(crate) struct SeenCall {
    pub(crate) line: String,
    pub(crate) body: String,
    pub(crate) token: Option<String>,
}

/// A daemon that gives one answer to every call and records the calls.
pub(crate) struct StandIn {
    pub(crate) address: String,
    seen: Arc<Mutex<Vec<SeenCall>>>,
    stopped: Arc<AtomicBool>,
}

impl StandIn {
    /// Answers each call with the JSON text of `answer`, by its method and path.
    pub(crate) fn start(answer: impl Fn(&str) -> (u16, String) + Send + Sync + 'static) -> Self {
        Self::start_raw(move |line| {
            let (status, body) = answer(line);
            Response::from_data("application/json", body).with_status_code(status)
        })
    }

    pub(crate) fn start_raw(answer: impl Fn(&str) -> Response + Send + Sync + 'static) -> Self {
        let seen: Arc<Mutex<Vec<SeenCall>>> = Arc::default();
        let calls = Arc::clone(&seen);
        let server = rouille::Server::new("127.0.0.1:0", move |request| {
            let mut body = String::new();
            request.data().unwrap().read_to_string(&mut body).unwrap();
            let line = format!("{} {}", request.method(), request.url());
            let token = request.header("Authorization").map(str::to_owned);
            calls.lock().unwrap().push(SeenCall { line: line.clone(), body, token });
            answer(&line)
        })
        .unwrap();
        let (address, stopped) = (server.server_addr().to_string(), Arc::new(AtomicBool::new(false)));
        let flag = Arc::clone(&stopped);
        thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                server.poll_timeout(Duration::from_millis(10));
            }
        });
        Self { address, seen, stopped }
    }

    /// Gives the same answer to every call.
    pub(crate) fn fixed(status: u16, body: &str) -> Self {
        let body = body.to_owned();
        Self::start(move |_| (status, body.clone()))
    }

    pub(crate) fn seen(&self) -> Vec<SeenCall> {
        self.seen.lock().unwrap().clone()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// An address at which nothing listens.
pub(crate) fn closed_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// A daemon that takes connections and closes each without an answer.
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

/// Runs the client with arguments that are separated by spaces.
pub(crate) fn run(arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_parsleywalk"))
        .args(arguments.split_whitespace())
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

/// Runs the client and gives its exit code, standard output and standard error in one text.
pub(crate) fn run_text(arguments: &str) -> String {
    text_of(&run(arguments))
}

pub(crate) fn text_of(output: &Output) -> String {
    let (code, out) = (output.status.code().unwrap(), String::from_utf8_lossy(&output.stdout));
    format!("exit {code}\n{out}{}", String::from_utf8_lossy(&output.stderr))
}
