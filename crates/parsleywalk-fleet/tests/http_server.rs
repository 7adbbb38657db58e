//! Tests of the HTTP server with raw connections.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use parsleywalk_fleet::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};
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
        self.paths.borrow_mut().push(request.path().to_owned());
        HttpResponse::status(200)
    }
}

fn request(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: example\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Guards against carrying out the request of a caller that has given up: its bytes and the end of its connection
/// arrive together when a partition between caller and daemon heals.
#[test]
fn a_request_whose_caller_has_closed_the_connection_is_not_handled() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let handler = Rc::new(RecordingHandler::default());
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let _server = HttpServer::start(address, HttpLimits::default(), Rc::clone(&handler)).expect("a free port");
        // The whole exchange is in the server's socket before the server reads any of it.
        let long = "x".repeat(200_000);
        for (path, body) in [("/gone", ""), ("/gone-with-body", "body"), ("/gone-with-long-body", &long)] {
            let mut gone = TcpStream::connect(address).expect("a connection");
            gone.write_all(request(path, body).as_bytes()).expect("a request");
            gone.shutdown(Shutdown::Write).expect("a closed connection");
            thread::sleep(Duration::from_millis(20));
            tokio::time::sleep(HANDLING_TIME).await;
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
    assert_eq!(*handler.paths.borrow(), ["/waiting"]);
}
