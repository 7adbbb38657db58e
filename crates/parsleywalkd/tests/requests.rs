//! Tests of requests that are resent or dropped while entries and endpoints fail or leave.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::caller::CallerRequest;
use common::{CATALOG, Deployment, wait_until};
use parsleywalk_api::{AnnounceReply, AnnounceRequest, RefusalOutcome, headers};
use parsleywalk_testkit::{EndpointBehaviour, EndpointSettings, FakeEndpoint};
use parsleywalk_units::{Incarnation, TimeSpan};

const ZONES: [&str; 3] = ["a", "a", "b"];
const ALL_VMS: [u32; 3] = [1, 2, 3];

fn start(address_block: u8) -> Deployment {
    let deployment = Deployment::start(address_block, &ZONES, &ALL_VMS);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    deployment
}

/// Starts an endpoint in zone a.
fn endpoint(deployment: &Deployment, name: &str, behaviour: EndpointBehaviour) -> FakeEndpoint {
    let settings = EndpointSettings {
        entries: vec![deployment.callers(1), deployment.callers(2)],
        behaviour,
        // Many slots, because each entry uses only its share of them, and even less for a new endpoint.
        slots: 64,
        ..EndpointSettings::new(name.parse().unwrap(), "quotes".parse().unwrap())
    };
    FakeEndpoint::start(settings).unwrap()
}

fn wait_endpoints(deployment: &Deployment, vms: &[u32], count: u32) {
    for vm in vms {
        wait_until("the announcement", || deployment.status(*vm).is_some_and(|status| status.endpoints == count));
    }
}

/// Guards against a resend to another entry, in the same zone or another, that runs the request again.
#[test]
fn a_keyed_request_sent_three_times_at_once_runs_once() {
    let deployment = start(0);
    let endpoint = endpoint(&deployment, "quotes-1", EndpointBehaviour::Delay(Duration::from_millis(100)));
    wait_endpoints(&deployment, &[1, 2], 1);
    let entries = deployment.all_callers();
    for round in 0..12 {
        let key = format!("order-{round}");
        let responses: Vec<_> = thread::scope(|scope| {
            let sent: Vec<_> = entries
                .iter()
                .map(|entry| scope.spawn(|| CallerRequest::keyed(*entry, &key, &key).send().unwrap()))
                .collect();
            sent.into_iter().map(|sent| sent.join().unwrap()).collect()
        });
        let successful = responses.iter().filter(|response| response.status == 200);
        assert!(successful.clone().all(|response| response.body == key.as_bytes()));
        assert!(successful.count() >= 1, "one of the three gets the response: {responses:?}");
        for refused in responses.iter().filter(|response| response.status != 200) {
            assert_eq!(refused.refusal().outcome, RefusalOutcome::Unknown, "the request did run");
        }
        assert_eq!(endpoint.ran_count(key.as_bytes()), 1);
    }
}

/// Guards against a second run, and against a false "not run", when the entry that ran the request has died.
#[test]
fn a_resend_after_the_death_of_its_first_entry_does_not_run_again() {
    let mut deployment = start(1);
    let endpoint = endpoint(&deployment, "quotes-1", EndpointBehaviour::Delay(Duration::from_millis(1500)));
    wait_endpoints(&deployment, &[1, 2], 1);
    let (first, second) = (deployment.callers(1), deployment.callers(2));
    let sent = thread::spawn(move || {
        CallerRequest::keyed(first, "order-1", "an order").send().map(|response| response.status)
    });
    wait_until("the dispatch", || endpoint.ran_count(b"an order") == 1);
    deployment.process(1).kill();
    assert!(sent.join().unwrap().is_err(), "the caller sees a broken connection");
    for _ in 0..3 {
        let refusal = CallerRequest::keyed(second, "order-1", "an order").send().unwrap().refusal();
        assert_eq!(refusal.outcome, RefusalOutcome::Unknown, "{refusal:?}");
    }
    assert_eq!(endpoint.ran_count(b"an order"), 1);
    CallerRequest::keyed(second, "order-2", "another order").expect_success();
}

/// Guards against passing a partial response or one to another request to a caller, and against refusals that say "not
/// run" although the request ran.
#[test]
fn callers_see_whole_answers_or_true_refusals() {
    let deployment = start(2);
    let entry = deployment.callers(1);
    let cases = [
        (EndpointBehaviour::WrongId, RefusalOutcome::Unknown),
        (EndpointBehaviour::TruncatedBody, RefusalOutcome::Unknown),
        (EndpointBehaviour::Silent, RefusalOutcome::Unknown),
        (EndpointBehaviour::Refuse, RefusalOutcome::NotRun),
    ];
    for (behaviour, expected) in cases {
        let endpoint = endpoint(&deployment, &format!("quotes-{behaviour:?}").to_lowercase(), behaviour);
        wait_until("the announcement", || {
            let body = format!("first {behaviour:?}");
            let request = CallerRequest {
                repeatable: false,
                deadline: Duration::from_millis(700),
                ..CallerRequest::new(entry, &body)
            };
            let refusal = request.send().unwrap().refusal();
            let ran = endpoint.ran_count(body.as_bytes());
            // The entry may not know the endpoint yet, in which case nothing can run.
            if refusal.outcome == RefusalOutcome::NotRun {
                assert_eq!(ran, 0, "{behaviour:?}: {refusal:?}");
                return expected == RefusalOutcome::NotRun;
            }
            assert_eq!((refusal.outcome, ran), (expected, 1), "{behaviour:?}: {refusal:?}");
            true
        });
        // The entry may eject or probe the failing endpoint, but every refusal must be correct.
        for attempt in 0..8 {
            let body = format!("{behaviour:?} {attempt}");
            let request = CallerRequest {
                repeatable: attempt % 2 == 0,
                deadline: Duration::from_millis(300),
                ..CallerRequest::new(entry, &body)
            };
            let refusal = request.send().unwrap().refusal();
            let ran = endpoint.ran_count(body.as_bytes());
            assert!(refusal.outcome == RefusalOutcome::Unknown || ran == 0, "{behaviour:?}: {refusal:?}, ran {ran}");
            assert!(request.repeatable || ran <= 1, "{behaviour:?}: ran {ran} times");
        }
        assert!(endpoint.leave() > 0);
        endpoint.stop();
    }
    // A stopped endpoint refuses connections, so it is certain that nothing ran.
    let gone = endpoint(&deployment, "quotes-gone", EndpointBehaviour::Normal);
    wait_until("the endpoint", || CallerRequest::new(entry, "hello").send().unwrap().status == 200);
    gone.stop();
    thread::sleep(Duration::from_millis(100));
    let refusal =
        CallerRequest { repeatable: false, ..CallerRequest::new(entry, "to nobody") }.send().unwrap().refusal();
    assert_eq!(gone.ran_count(b"to nobody"), 0);
    println!("an endpoint that is gone: {refusal:?}");
    assert_eq!(refusal.outcome, RefusalOutcome::NotRun, "{refusal:?}");
}

/// Responds to one request with a head that echoes its id, followed by `tail`, and closes the connection.
fn respond_partly(listener: &TcpListener, tail: &str) {
    let (mut socket, _) = listener.accept().unwrap();
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    // The request's body ends with a full stop.
    while request.last() != Some(&b'.') {
        let count = socket.read(&mut buffer).unwrap();
        assert!(count > 0, "the whole request arrives");
        request.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&request).into_owned();
    let id = text.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case(headers::REQUEST_ID).then_some(value)
    });
    let head = format!("HTTP/1.1 200 OK\r\n{}: {}\r\n", headers::REQUEST_ID, id.unwrap());
    socket.write_all(format!("{head}{tail}").as_bytes()).unwrap();
}

/// Guards against passing on a truncated response as complete.
#[test]
fn an_answer_that_was_cut_off_is_never_passed_on() {
    let deployment = start(6);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let announcement = AnnounceRequest {
        endpoint: "quotes-raw".parse().unwrap(),
        incarnation: Incarnation::new(1),
        service: "quotes".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        slots: 8,
        ttl: TimeSpan::from_secs(60),
        leaving: false,
    };
    let response_tails = [
        "Content-Length: 100\r\n\r\nten bytes.",
        "\r\nno length at all",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
        "Transfer-Encoding: chunked\r\n\r\n50\r\nfirst",
    ];
    for (number, tail) in (1..).zip(response_tails) {
        // With a new incarnation, the entry forgets the endpoint's failures.
        let announcement = AnnounceRequest { incarnation: Incarnation::new(number), ..announcement.clone() };
        let announced = common::post::<_, AnnounceReply>(deployment.callers(1), "/v1/endpoints", &announcement);
        assert!(announced.is_ok(), "{announced:?}");
        let response = thread::scope(|scope| {
            scope.spawn(|| respond_partly(&listener, tail));
            let entry = deployment.callers(1);
            CallerRequest { repeatable: false, ..CallerRequest::new(entry, "a request.") }.send().unwrap()
        });
        assert_eq!(response.status, 504, "{tail:?}: {}", String::from_utf8_lossy(&response.body));
        assert_eq!(response.refusal().outcome, RefusalOutcome::Unknown, "{tail:?}");
    }
}

/// Guards against dispatching requests to an endpoint after it has left, and against losing requests when it leaves.
#[test]
fn an_endpoint_that_left_gets_nothing_new() {
    let deployment = start(3);
    let service_time = EndpointBehaviour::Delay(Duration::from_millis(5));
    let leaving = endpoint(&deployment, "quotes-1", service_time);
    let staying = endpoint(&deployment, "quotes-2", service_time);
    wait_endpoints(&deployment, &[1, 2], 2);
    let stop = AtomicBool::new(false);
    let entries = deployment.all_callers();
    thread::scope(|scope| {
        for entry in &entries {
            let stop = &stop;
            scope.spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    CallerRequest::new(*entry, &format!("{entry} {number}")).expect_success();
                    number += 1;
                }
            });
        }
        wait_until("requests at both", || leaving.ran().len() > 20 && staying.ran().len() > 20);
        assert_eq!(leaving.leave(), 2, "both entries of the zone responded");
        // Requests that reached the dispatch thread before the response may still arrive.
        thread::sleep(Duration::from_millis(150));
        let (leaving_count, staying_count) = (leaving.ran().len(), staying.ran().len());
        wait_until("requests at the other", || staying.ran().len() > staying_count + 100);
        stop.store(true, Ordering::SeqCst);
        assert_eq!(leaving.ran().len(), leaving_count, "no new request after the endpoint has left");
    });
}

/// Sends the head of a request and the first half of its body.
fn send_half_request(entry: SocketAddr, body: &str) -> TcpStream {
    let mut socket = TcpStream::connect(entry).unwrap();
    let head =
        format!("POST /v1/services/quotes/requests HTTP/1.1\r\nHost: entry\r\nContent-Length: {}\r\n\r\n", body.len());
    socket.write_all(head.as_bytes()).unwrap();
    socket.write_all(&body.as_bytes()[..body.len() / 2]).unwrap();
    socket
}

/// Guards against a shutdown that drops requests in progress or waits for idle connections.
#[test]
fn a_graceful_shutdown_answers_every_request_in_progress() {
    let mut deployment = start(4);
    let endpoint = endpoint(&deployment, "quotes-1", EndpointBehaviour::Delay(Duration::from_millis(1200)));
    wait_endpoints(&deployment, &[1, 2], 1);
    let entry = deployment.callers(2);
    let bodies: Vec<String> = (0..8).map(|number| format!("in-progress-{number}")).collect();
    thread::scope(|scope| {
        let sent: Vec<_> = bodies
            .iter()
            .enumerate()
            .map(|(number, body)| {
                let key = (number % 2 == 0).then_some(body.as_str());
                let request = CallerRequest { key, repeatable: false, ..CallerRequest::new(entry, body) };
                scope.spawn(move || request.expect_success())
            })
            .collect();
        // Some of them run and the others wait in the entry's queue.
        wait_until("requests in progress", || {
            endpoint.serving() > 0 && deployment.status(2).is_some_and(|status| status.requests == 8)
        });
        let idle = TcpStream::connect(entry).unwrap();
        let mut half = send_half_request(entry, "half a body");
        thread::sleep(Duration::from_millis(100));
        deployment.process(2).signal("TERM");
        let started = Instant::now();
        thread::sleep(Duration::from_millis(200));
        half.write_all(&b"half a body"[5..]).unwrap();
        let mut response = String::new();
        half.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 503") && response.contains("not_run"), "{response}");
        for sent in sent {
            sent.join().unwrap();
        }
        assert_eq!(deployment.process(2).wait(), Some(0));
        println!("shutdown with 8 requests in progress took {:?}", started.elapsed());
        assert!(started.elapsed() < Duration::from_secs(8), "an idle connection does not hold up the shutdown");
        drop(idle);
    });
    CallerRequest::new(deployment.callers(1), "afterwards").expect_success();
}

/// Guards against requests in a zone without endpoints that are refused, or run twice when they are forwarded.
#[test]
fn a_zone_without_endpoints_forwards_to_another() {
    let deployment = start(5);
    let endpoint = endpoint(&deployment, "quotes-1", EndpointBehaviour::Normal);
    wait_endpoints(&deployment, &[1, 2], 1);
    let entry = deployment.callers(3);
    CallerRequest::new(entry, "repeatable").expect_success();
    CallerRequest { repeatable: false, ..CallerRequest::new(entry, "unkeyed") }.expect_success();
    for _ in 0..3 {
        CallerRequest::keyed(entry, "order-1", "keyed").expect_success();
    }
    let large = "x".repeat(3 * 1024 * 1024);
    CallerRequest::new(entry, &large).expect_success();
    for body in ["repeatable", "unkeyed", "keyed"] {
        assert_eq!(endpoint.ran_count(body.as_bytes()), 1, "{body}");
    }
}
