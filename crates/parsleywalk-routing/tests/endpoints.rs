//! Tests of announcements, slot shares, ejection, slow start and failing dependencies.

mod fixture;

use std::time::Duration;

use fixture::{Fixture, address, announcement, arrival, broken, dispatches, response, responses};
use parsleywalk_routing::{EndpointAnnouncement, EndpointStatus, RequestArrival, RouteAction, RouterSettings};
use parsleywalk_units::{DispatchId, Incarnation};
use rstest::rstest;

fn settings() -> RouterSettings {
    RouterSettings { slow_start: Duration::ZERO, ..RouterSettings::default() }
}

fn repeatable(request: u64, fixture: &Fixture) -> RequestArrival {
    RequestArrival { repeatable: true, deadline: fixture.now + Duration::from_secs(9), ..arrival(request, fixture.now) }
}

/// Admits requests and returns their dispatches, each with the number of its endpoint.
fn admit_many(fixture: &mut Fixture, requests: std::ops::Range<u64>) -> Vec<(DispatchId, u16)> {
    let mut dispatched = Vec::new();
    for request in requests {
        let actions = fixture.admit(repeatable(request, fixture));
        dispatched.extend(dispatches(&actions));
    }
    dispatched.into_iter().map(|(dispatch, address)| (dispatch, last_octet(address))).collect()
}

fn endpoint_status(fixture: &Fixture, name: &str) -> EndpointStatus {
    let services = fixture.router.status().services;
    let mut endpoints = services.into_iter().flat_map(|service| service.endpoints);
    endpoints.find(|endpoint| endpoint.endpoint.as_str() == name).expect("the endpoint was announced")
}

fn last_octet(address: parsleywalk_routing::EndpointAddress) -> u16 {
    address.to_string().split(['.', ':']).nth(3).and_then(|octet| octet.parse().ok()).expect("an IPv4 address")
}

/// Guards against dispatches to a leaving endpoint, even if its announcements arrive out of order.
#[test]
fn a_leaving_endpoint_gets_no_requests_and_is_shared_once() {
    let mut fixture = Fixture::new(settings(), 2, 8);
    let leaving = EndpointAnnouncement { leaving: true, ..announcement("orders", 1, 8) };
    let actions = fixture.router.announce(fixture.now, leaving.clone());
    assert_eq!(actions, [RouteAction::Share { announcement: leaving.clone() }]);
    assert!(fixture.router.announce(fixture.now, leaving).is_empty());
    fixture.router.announce(fixture.now, announcement("orders", 1, 8));
    assert!(admit_many(&mut fixture, 1..8).iter().all(|(_, endpoint)| *endpoint == 2));
}

/// Guards against a late announcement of an earlier incarnation replacing the current one.
#[rstest]
#[case::older(4, 1)]
#[case::newer(6, 9)]
fn only_newer_incarnations_replace(#[case] incarnation: u64, #[case] expected: u16) {
    let mut fixture = Fixture::new(settings(), 1, 8);
    let other = EndpointAnnouncement {
        incarnation: Incarnation::new(incarnation),
        address: address(9),
        ..announcement("orders", 1, 8)
    };
    fixture.router.announce(fixture.now, other);
    assert_eq!(admit_many(&mut fixture, 1..2)[0].1, expected);
}

/// Guards against dispatches to endpoints that ended without announcing that they leave.
#[test]
fn an_announcement_expires() {
    let mut fixture = Fixture::new(settings(), 1, 8);
    fixture.advance(31_000);
    assert_eq!(responses(&fixture.admit(arrival(1, fixture.now))), [(1, "not run: no usable endpoint".to_owned())]);
}

/// Guards against several entries exceeding an endpoint's slots together, and against leaving idle slots unused.
#[test]
fn an_entry_keeps_to_its_share_and_borrows_idle_slots() {
    let mut fixture = Fixture::new(RouterSettings { zone_entries: 4, ..settings() }, 1, 8);
    let first = admit_many(&mut fixture, 1..9);
    assert_eq!(first.len(), 2, "a quarter of the slots without a report");
    // The response reports one request in progress, which is this entry's second one, so no other entry uses a slot.
    let idle = parsleywalk_routing::EndpointResponse { status: 200, headers: vec![], body: vec![], load: Some(1) };
    fixture.finish(first[0].0, parsleywalk_routing::DispatchResult::Answered(idle.into()));
    admit_many(&mut fixture, 9..20);
    assert_eq!(fixture.outstanding("orders"), 8);
    fixture.advance(1000);
    assert!(admit_many(&mut fixture, 20..30).is_empty(), "all slots are in use");
}

/// Guards against overloading an endpoint that has just started.
#[test]
fn a_new_endpoint_goes_through_slow_start() {
    let settings = RouterSettings { slow_start: Duration::from_secs(4), ..settings() };
    let mut fixture = Fixture::new(settings, 1, 8);
    fixture.advance(10_000);
    fixture.router.announce(fixture.now, announcement("orders", 2, 8));
    admit_many(&mut fixture, 1..20);
    assert_eq!(endpoint_status(&fixture, "orders-2").outstanding, 1);
    fixture.advance(2100);
    assert_eq!(endpoint_status(&fixture, "orders-2").outstanding, 4);
}

/// Guards against failing endpoints that attract requests because they respond fast, and against ejecting more than
/// half of a service's endpoints. When failure rates were compared with the mean of the other endpoints, none was
/// ejected if three of four failed.
#[test]
fn failing_endpoints_are_ejected_up_to_half() {
    let mut fixture = Fixture::new(RouterSettings { retry_budget: false, ..settings() }, 4, 8);
    for request in 1..200 {
        let mut open = dispatches(&fixture.admit(repeatable(request, &fixture)));
        while let Some((dispatch, endpoint)) = open.pop() {
            let result = if last_octet(endpoint) <= 3 { broken() } else { response("order") };
            open.extend(dispatches(&fixture.finish(dispatch, result)));
        }
    }
    let names = ["orders-1", "orders-2", "orders-3", "orders-4"];
    let ejected = names.map(|name| endpoint_status(&fixture, name).ejected);
    assert_eq!(ejected.iter().filter(|ejected| **ejected).count(), 2, "{ejected:?}");
    assert!(!ejected[3], "the healthy endpoint is not ejected");
}

/// Guards against dispatches to an unresponsive endpoint, and against probing it with more than one request at a time.
#[test]
fn an_unresponsive_endpoint_is_ejected_and_probed_by_single_requests() {
    let mut fixture = Fixture::new(RouterSettings { hedge_minimum: Duration::from_mins(1), ..settings() }, 2, 4);
    let mut request = 0;
    let mut round = |fixture: &mut Fixture, count: u64| {
        let dispatched = admit_many(fixture, request + 1..request + 1 + count);
        request += count;
        for (dispatch, endpoint) in &dispatched {
            if *endpoint == 2 {
                fixture.finish(*dispatch, response("order"));
            }
        }
        dispatched.iter().filter(|(_, endpoint)| *endpoint == 1).count()
    };
    assert!(round(&mut fixture, 2) > 0);
    fixture.advance(600);
    assert_eq!(round(&mut fixture, 3), 0, "the endpoint is ejected");
    fixture.advance(1100);
    assert_eq!(round(&mut fixture, 6), 1, "one probe");
    fixture.advance(1100);
    assert_eq!(round(&mut fixture, 6), 0, "the backoff has doubled");
}

/// Guards against requests that occupy slots and then fail at a dependency, and against refusing them after the
/// dependency has recovered.
#[test]
fn dependents_of_a_failing_service_fail_fast() {
    let mut fixture = Fixture::new(RouterSettings { retry_minimum: 0, ..settings() }, 1, 8);
    fixture.router.announce(fixture.now, announcement("stock", 9, 8));
    let stock = |request, fixture: &Fixture| RequestArrival {
        service: "stock".parse().expect("a name"),
        ..repeatable(request, fixture)
    };
    for request in 100..130 {
        let (dispatch, _) = dispatches(&fixture.admit(stock(request, &fixture)))[0];
        fixture.finish(dispatch, broken());
    }
    let refused = [(1, "not run: dependency stock is failing".to_owned())];
    assert_eq!(responses(&fixture.admit(repeatable(1, &fixture))), refused);
    fixture.advance(2500);
    assert_eq!(dispatches(&fixture.admit(repeatable(2, &fixture))).len(), 1, "a single request is let through");
    let (dispatch, _) = dispatches(&fixture.admit(stock(131, &fixture)))[0];
    fixture.finish(dispatch, response("shelf 4"));
    assert_eq!(dispatches(&fixture.admit(repeatable(3, &fixture))).len(), 1, "the dependency has recovered");
}

/// Guards against queues that exceed their limit while the dispatch limit prevents the use of free slots. Found by
/// fuzzing.
#[test]
fn queues_are_bounded_when_the_dispatch_limit_is_reached() {
    let mut fixture = Fixture::new(RouterSettings { queue_limit: 5, dispatch_limit: 3, ..settings() }, 4, 8);
    assert_eq!(admit_many(&mut fixture, 1..50).len(), 3);
    assert!(fixture.router.status().queued <= 5);
}

/// Guards against queued batch requests that cause latency-critical ones to be refused, and against displacing a
/// request for one that is dispatched immediately.
#[test]
fn a_latency_critical_request_displaces_a_batch_request_from_full_queues() {
    let mut fixture = Fixture::new(RouterSettings { queue_limit: 2, ..settings() }, 1, 1);
    fixture.router.announce(fixture.now, announcement("ledgers", 9, 1));
    let ledger = |request, fixture: &Fixture| RequestArrival {
        service: "ledgers".parse().expect("a name"),
        ..repeatable(request, fixture)
    };
    // The first responses give both services a latency; without one, only as many requests are queued as there are
    // slots.
    for first in [repeatable(90, &fixture), ledger(91, &fixture)] {
        let (dispatch, _) = dispatches(&fixture.admit(first))[0];
        fixture.now = fixture.now + Duration::from_millis(100);
        fixture.finish(dispatch, response("done"));
    }
    for request in 1..4 {
        fixture.admit(ledger(request, &fixture));
    }
    assert_eq!(responses(&fixture.admit(ledger(4, &fixture))), [(4, "not run: overloaded".to_owned())]);
    assert_eq!(dispatches(&fixture.admit(repeatable(5, &fixture))).len(), 1);
    let actions = fixture.admit(repeatable(6, &fixture));
    assert_eq!(responses(&actions), [(3, "not run: overloaded".to_owned())]);
}
