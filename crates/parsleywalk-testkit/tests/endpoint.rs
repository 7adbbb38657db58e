//! Tests of the fake endpoint: responses, faulty behaviours and announcements.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use attohttpc::{ProxySettings, Response};
use common::{ScriptedEntry, wait_for};
use parsleywalk_api::{AnnounceReply, AnnounceRequest, headers};
use parsleywalk_testkit::{EndpointBehaviour, EndpointSettings, FakeEndpoint};
use parsleywalk_units::TimeSpan;
use rstest::rstest;

fn settings() -> EndpointSettings {
    EndpointSettings::new("planner-1".parse().unwrap(), "marker-planning".parse().unwrap())
}

fn call(endpoint: &FakeEndpoint, body: &str) -> attohttpc::Result<Response> {
    attohttpc::post(format!("http://{}/check", endpoint.address()))
        .proxy_settings(ProxySettings::builder().build())
        .timeout(Duration::from_millis(300))
        .header(headers::REQUEST_ID, "7")
        .text(body)
        .send()
}

/// Guards against a normal response that an entry daemon would treat as a failure.
#[test]
fn normal_response_echoes_id_and_body() {
    let endpoint = FakeEndpoint::start(settings()).unwrap();
    let response = call(&endpoint, "scree path 4").unwrap();
    assert_eq!(response.headers()["Parsleywalk-Request-Id"], "7");
    assert_eq!(response.headers()["Parsleywalk-Load"], "0");
    assert_eq!(response.text().unwrap(), "scree path 4");
    assert_eq!(endpoint.ran_count(b"scree path 4"), 1);
    assert_eq!(endpoint.ran()[0].id, "7");
}

/// Guards against a faulty behaviour that differs from the configured one in its response or in whether the request
/// ran.
#[rstest]
#[case::delay(EndpointBehaviour::Delay(Duration::from_secs(2)), "broken", 1)]
#[case::wrong_id(EndpointBehaviour::WrongId, "200 70", 1)]
#[case::truncated(EndpointBehaviour::TruncatedBody, "truncated", 1)]
#[case::refuse(EndpointBehaviour::Refuse, "503 7 not_run", 0)]
#[case::silent(EndpointBehaviour::Silent, "broken", 1)]
fn faulty_behaviour_is_the_configured_one(
    #[case] behaviour: EndpointBehaviour,
    #[case] seen: &str,
    #[case] ran: usize,
) {
    let endpoint = FakeEndpoint::start(EndpointSettings { behaviour, ..settings() }).unwrap();
    let response = call(&endpoint, "x").and_then(|response| {
        let mut text = response.status().as_u16().to_string();
        for name in [headers::REQUEST_ID, headers::OUTCOME] {
            if let Some(value) = response.headers().get(name) {
                text = format!("{text} {}", value.to_str().unwrap());
            }
        }
        // attohttpc returns a truncated body as a success, so its length is compared here.
        let content_length = response.headers()["Content-Length"].to_str().unwrap().parse::<usize>().unwrap();
        response.bytes().map(|body| if body.len() == content_length { text } else { "truncated".to_owned() })
    });
    assert_eq!(response.unwrap_or_else(|_| "broken".to_owned()), seen);
    assert_eq!(endpoint.ran_count(b"x"), ran);
    endpoint.set_behaviour(EndpointBehaviour::Normal);
    assert!(call(&endpoint, "y").is_ok(), "later requests get normal responses");
}

/// Guards against an endpoint that announces itself only to the configured entry daemons, lets its announcement expire,
/// or does not announce that it is leaving.
#[test]
fn announcement_reaches_every_listed_entry() {
    let seen: Arc<Mutex<Vec<(usize, AnnounceRequest)>>> = Arc::default();
    let entry = |number: usize, listed: Vec<std::net::SocketAddr>| {
        let seen = Arc::clone(&seen);
        ScriptedEntry::start(move |_, body| {
            let request: AnnounceRequest = serde_json::from_str(body).unwrap();
            let reply = AnnounceReply { ttl: request.ttl, entries: listed.clone() };
            seen.lock().unwrap().push((number, request));
            rouille::Response::json(&reply)
        })
    };
    let second = entry(2, Vec::new());
    let first = entry(1, vec![second.address]);
    let ttl = TimeSpan::from_millis(300);
    let endpoint = FakeEndpoint::start(EndpointSettings { entries: vec![first.address], ttl, ..settings() }).unwrap();
    let count = |number| seen.lock().unwrap().iter().filter(|(at, _)| *at == number).count();
    wait_for("renewals at both entry daemons", || count(1) >= 3 && count(2) >= 2);
    assert!(seen.lock().unwrap().iter().all(|(_, request)| request.address == endpoint.address() && !request.leaving));
    assert_eq!(endpoint.leave(), 2);
    assert!(seen.lock().unwrap().iter().any(|(at, request)| *at == 2 && request.leaving));
}
