//! Requests of misbehaving callers while entries and endpoints fail or leave.

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
const ALL: [u32; 3] = [1, 2, 3];

fn start(place: u8) -> Deployment {
    let deployment = Deployment::start(place, &ZONES, &ALL);
    deployment.wait_ready();
    deployment.apply(1, "first", CATALOG);
    deployment
}

/// An endpoint of zone a.
fn endpoint(deployment: &Deployment, name: &str, behaviour: EndpointBehaviour) -> FakeEndpoint {
    let settings = EndpointSettings {
        entries: vec![deployment.callers(1), deployment.callers(2)],
        behaviour,
        // Each entry takes its share of the slots only, and a new endpoint gets less at first.
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

/// Guards against a resend that runs again at another entry, in its own zone or in another.
#[test]
fn a_keyed_request_sent_three_times_at_once_runs_once() {
    let deployment = start(0);
    let endpoint = endpoint(&deployment, "quotes-1", EndpointBehaviour::Delay(Duration::from_millis(100)));
    wait_endpoints(&deployment, &[1, 2], 1);
    let entries = deployment.all_callers();
    for round in 0..12 {
        let key = format!("order-{round}");
        let answers: Vec<_> = thread::scope(|scope| {
            let sent: Vec<_> = entries
                .iter()
                .map(|entry| scope.spawn(|| CallerRequest::once(*entry, &key, &key).send().unwrap()))
                .collect();
            sent.into_iter().map(|sent| sent.join().unwrap()).collect()
        });
        let whole = answers.iter().filter(|answer| answer.status == 200);
        assert!(whole.clone().all(|answer| answer.body == key.as_bytes()));
        assert!(whole.count() >= 1, "one of the three gets the answer: {answers:?}");
        for refused in answers.iter().filter(|answer| answer.status != 200) {
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
    let sent =
        thread::spawn(move || CallerRequest::once(first, "order-1", "an order").send().map(|answer| answer.status));
    wait_until("the dispatch", || endpoint.ran_count(b"an order") == 1);
    deployment.process(1).kill();
    assert!(sent.join().unwrap().is_err(), "the caller sees a broken connection");
    for _ in 0..3 {
        let refusal = CallerRequest::once(second, "order-1", "an order").send().unwrap().refusal();
        assert_eq!(refusal.outcome, RefusalOutcome::Unknown, "{refusal:?}");
    }
    assert_eq!(endpoint.ran_count(b"an order"), 1);
    CallerRequest::once(second, "order-2", "another order").expect_whole();
}

/// Guards against partial or foreign answers that reach a caller, and against refusals that say "not run" of what ran.
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
            // Until the entry knows the endpoint, nothing can run.
            if refusal.outcome == RefusalOutcome::NotRun {
                assert_eq!(ran, 0, "{behaviour:?}: {refusal:?}");
                return expected == RefusalOutcome::NotRun;
            }
            assert_eq!((refusal.outcome, ran), (expected, 1), "{behaviour:?}: {refusal:?}");
            true
        });
        // Whatever the entry does with an endpoint that fails, no answer is false.
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
    // An endpoint that is gone refuses connections, which proves that nothing ran.
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

/// Answers one request with a head that echoes its id, and with `rest`, and closes the connection.
fn answer_partly(listener: &TcpListener, rest: &str) {
    let (mut socket, _) = listener.accept().unwrap();
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    // The body ends with a full stop.
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
    socket.write_all(format!("{head}{rest}").as_bytes()).unwrap();
}

/// Guards against an answer whose connection ended early and that is passed on as a whole one.
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
    let rests = [
        "Content-Length: 100\r\n\r\nten bytes.",
        "\r\nno length at all",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
        "Transfer-Encoding: chunked\r\n\r\n50\r\nfirst",
    ];
    for (number, rest) in (1..).zip(rests) {
        // A new incarnation, so that the entry forgets the endpoint's failures.
        let announcement = AnnounceRequest { incarnation: Incarnation::new(number), ..announcement.clone() };
        let announced = common::post::<_, AnnounceReply>(deployment.callers(1), "/v1/endpoints", &announcement);
        assert!(announced.is_ok(), "{announced:?}");
        let answer = thread::scope(|scope| {
            scope.spawn(|| answer_partly(&listener, rest));
            let entry = deployment.callers(1);
            CallerRequest { repeatable: false, ..CallerRequest::new(entry, "a request.") }.send().unwrap()
        });
        assert_eq!(answer.status, 504, "{rest:?}: {}", String::from_utf8_lossy(&answer.body));
        assert_eq!(answer.refusal().outcome, RefusalOutcome::Unknown, "{rest:?}");
    }
}

/// Guards against requests that still go to an endpoint after its leave was answered, and against requests lost by it.
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
                    CallerRequest::new(*entry, &format!("{entry} {number}")).expect_whole();
                    number += 1;
                }
            });
        }
        wait_until("requests at both", || leaving.ran().len() > 20 && staying.ran().len() > 20);
        assert_eq!(leaving.leave(), 2, "both entries of the zone answered");
        // Requests that were handed to a dispatch thread before the answer may still arrive.
        thread::sleep(Duration::from_millis(150));
        let (left, stayed) = (leaving.ran().len(), staying.ran().len());
        wait_until("requests at the other", || staying.ran().len() > stayed + 100);
        stop.store(true, Ordering::SeqCst);
        assert_eq!(leaving.ran().len(), left, "nothing new after the leave was answered");
    });
}

/// Sends the head of a request and the first half of its body.
fn begin_request(entry: SocketAddr, body: &str) -> TcpStream {
    let mut socket = TcpStream::connect(entry).unwrap();
    let head =
        format!("POST /v1/services/quotes/requests HTTP/1.1\r\nHost: entry\r\nContent-Length: {}\r\n\r\n", body.len());
    socket.write_all(head.as_bytes()).unwrap();
    socket.write_all(&body.as_bytes()[..body.len() / 2]).unwrap();
    socket
}

/// Guards against a shutdown that cuts off requests in progress or hangs on idle connections.
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
                scope.spawn(move || request.expect_whole())
            })
            .collect();
        // Some run and the others wait in the entry's queue.
        wait_until("requests in progress", || {
            endpoint.serving() > 0 && deployment.status(2).is_some_and(|status| status.requests == 8)
        });
        let idle = TcpStream::connect(entry).unwrap();
        let mut half = begin_request(entry, "half a body");
        thread::sleep(Duration::from_millis(100));
        deployment.process(2).signal("TERM");
        let started = Instant::now();
        thread::sleep(Duration::from_millis(200));
        half.write_all(&b"half a body"[5..]).unwrap();
        let mut answer = String::new();
        half.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("not_run"), "{answer}");
        for sent in sent {
            sent.join().unwrap();
        }
        assert_eq!(deployment.process(2).wait(), Some(0));
        println!("shutdown with 8 requests in progress took {:?}", started.elapsed());
        assert!(started.elapsed() < Duration::from_secs(8), "an idle connection does not hold up the shutdown");
        drop(idle);
    });
    CallerRequest::new(deployment.callers(1), "afterwards").expect_whole();
}

/// Guards against requests that are refused in a zone without endpoints, or run twice on their way to another.
#[test]
fn a_zone_without_endpoints_forwards_to_another() {
    let deployment = start(5);
    let endpoint = endpoint(&deployment, "quotes-1", EndpointBehaviour::Normal);
    wait_endpoints(&deployment, &[1, 2], 1);
    let entry = deployment.callers(3);
    CallerRequest::new(entry, "repeatable").expect_whole();
    CallerRequest { repeatable: false, ..CallerRequest::new(entry, "unkeyed") }.expect_whole();
    for _ in 0..3 {
        CallerRequest::once(entry, "order-1", "keyed").expect_whole();
    }
    let large = "x".repeat(3 * 1024 * 1024);
    CallerRequest::new(entry, &large).expect_whole();
    for body in ["repeatable", "unkeyed", "keyed"] {
        assert_eq!(endpoint.ran_count(body.as_bytes()), 1, "{body}");
    }
}
