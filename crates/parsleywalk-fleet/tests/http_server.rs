//! Tests of the HTTP server with raw connections.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use parsleywalk_fleet::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};
use rstest::rstest;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The time in which the server handles a request that it has received.
const HANDLING_TIME: Duration = Duration::from_millis(300);

/// Records the paths of the requests that it handles.
#[derive(Default)]
struct RecordingHandler {
    paths: RefCell<Vec<String>>,
}

impl HttpHandler for RecordingHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if self.outlives_connection(request.path()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.paths.borrow_mut().push(request.path().to_owned());
        HttpResponse::status(200)
    }

    fn outlives_connection(&self, path: &str) -> bool {
        path.starts_with("/report")
    }
}

fn request(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: example\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts a server, runs the test and returns the paths of the requests that were handled.
fn with_server<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr) -> F) -> Vec<String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let handler = Rc::new(RecordingHandler::default());
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let _server = HttpServer::start(address, HttpLimits::default(), Rc::clone(&handler)).expect("a free port");
        test(address).await;
    });
    handler.paths.take()
}

/// Sends a request and ends the connection. The whole exchange is in the server's socket before the server reads any of
/// it.
async fn send_and_leave(address: SocketAddr, request: &str, end: Shutdown) {
    let mut gone = TcpStream::connect(address).expect("a connection");
    gone.write_all(request.as_bytes()).expect("a request");
    gone.shutdown(end).expect("a closed connection");
    thread::sleep(Duration::from_millis(20));
    tokio::time::sleep(HANDLING_TIME).await;
}

/// Guards against carrying out the request of a caller that has given up: its bytes and the end of its connection
/// arrive together when a partition between caller and daemon heals.
#[test]
fn a_request_whose_caller_has_closed_the_connection_is_not_handled() {
    let handled = with_server(async |address| {
        let long = "x".repeat(200_000);
        for (path, body) in [("/gone", ""), ("/gone-with-body", "body"), ("/gone-with-long-body", &long)] {
            send_and_leave(address, &request(path, body), Shutdown::Write).await;
        }
        let caller = thread::spawn(move || {
            let mut waiting = TcpStream::connect(address).expect("a connection");
            waiting.write_all(request("/waiting", "body").as_bytes()).expect("a request");
            let mut status = [0; 12];
            waiting.read_exact(&mut status).expect("a response");
            status
        });
        tokio::time::sleep(HANDLING_TIME).await;
        assert_eq!(caller.join().expect("a caller"), *b"HTTP/1.1 200");
    });
    assert_eq!(handled, ["/waiting"]);
}

/// Guards against losing the last report of a worker that exits right after sending it. One that is not complete is not
/// handled.
#[rstest]
fn a_report_whose_worker_has_closed_the_connection_is_handled(
    #[values(Shutdown::Write, Shutdown::Both)] end: Shutdown,
) {
    let handled = with_server(async |address| {
        let long = "x".repeat(200_000);
        for (path, body) in [("/report", ""), ("/report-with-body", "body"), ("/report-with-long-body", &long)] {
            send_and_leave(address, &request(path, body), end).await;
        }
        let complete = request("/report-cut-short", &long);
        send_and_leave(address, &complete[..complete.len() - 1], end).await;
    });
    assert_eq!(handled, ["/report", "/report-with-body", "/report-with-long-body"]);
}
