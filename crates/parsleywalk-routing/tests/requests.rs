//! Tests of single requests: claims, resends, abandoned requests, retries and refusals.

mod fixture;

use std::time::Duration;

use fixture::{
    Fixture, announcement, arrival, broken, claims, dispatches, forwards, keyed_arrival, not_sent, response, responses,
    settlements,
};
use parsleywalk_routing::{ClaimDecision, ClaimState, DispatchResult, RequestArrival, RequestDigest, RouterSettings};
use parsleywalk_units::{RequestId, VmNumber};
use rstest::rstest;

fn fixture(endpoints: u8, slots: u32) -> Fixture {
    Fixture::new(RouterSettings { slow_start: Duration::ZERO, ..RouterSettings::default() }, endpoints, slots)
}

fn grant_claim(fixture: &mut Fixture, request: u64) -> Vec<parsleywalk_routing::RouteAction> {
    fixture.router.claim_decided(fixture.now, RequestId::new(request), ClaimDecision::Granted)
}

/// Guards against the result of a forward that an entry made before a restart matching a dispatch made after it. Found
/// by fuzzing.
#[test]
fn dispatch_ids_of_two_starts_differ() {
    let first = |seed| {
        let mut router = parsleywalk_routing::RequestRouter::new(RouterSettings::default(), seed);
        let now = parsleywalk_units::MonotonicTime::from_millis(1);
        let route = fixture::route("orders", parsleywalk_units::TaskClass::Batch, &[]);
        router.configure(now, vec![route]);
        router.announce(now, announcement("orders", 1, 1));
        dispatches(&router.admit(now, arrival(1, now)))
    };
    assert_ne!(first(1), first(2));
}

/// Guards against a request that is not repeatable running at two entries, because it is dispatched before its claim.
#[test]
fn a_claim_is_granted_before_the_dispatch() {
    let mut fixture = fixture(1, 2);
    let actions = fixture.admit(keyed_arrival(1, fixture.now));
    assert_eq!((claims(&actions).len(), dispatches(&actions).len()), (1, 0));
    assert_eq!(dispatches(&grant_claim(&mut fixture, 1)).len(), 1);
}

/// Guards against resends that run separately from the first request, or that get another response.
#[test]
fn resends_join_and_later_ones_get_the_cached_response() {
    let mut fixture = fixture(1, 2);
    fixture.admit(keyed_arrival(1, fixture.now));
    assert!(fixture.admit(keyed_arrival(2, fixture.now)).is_empty());
    let dispatch = dispatches(&grant_claim(&mut fixture, 1))[0].0;
    assert!(fixture.admit(keyed_arrival(3, fixture.now)).is_empty());
    let actions = fixture.finish(dispatch, response("order 7"));
    assert_eq!(responses(&actions), [1, 2, 3].map(|request| (request, "order 7".to_owned())));
    assert_eq!(settlements(&actions), ["done"]);
    assert_eq!(responses(&fixture.admit(keyed_arrival(4, fixture.now))), [(4, "order 7".to_owned())]);
}

/// Guards against two different requests being treated as the same because they have the same key.
#[rstest]
#[case::other_body(RequestArrival { digest: RequestDigest::new([2; 32]), ..keyed_arrival(2, start_time()) })]
#[case::other_repeatability(RequestArrival { repeatable: true, ..keyed_arrival(2, start_time()) })]
fn a_key_is_bound_to_its_request(#[case] other: RequestArrival) {
    let mut fixture = fixture(1, 2);
    let mismatch = [(2, "unknown: request key was used with another request".to_owned())];
    fixture.admit(keyed_arrival(1, fixture.now));
    assert_eq!(responses(&fixture.admit(other.clone())), mismatch);
    let dispatch = dispatches(&grant_claim(&mut fixture, 1))[0].0;
    fixture.finish(dispatch, response("order 7"));
    assert_eq!(responses(&fixture.admit(other)), mismatch);
}

fn start_time() -> parsleywalk_units::MonotonicTime {
    parsleywalk_units::MonotonicTime::from_millis(1)
}

/// Guards against reporting a request as not run while another entry holds, or may hold, the claim on its key.
#[rstest]
#[case::held(
    ClaimDecision::HeldBy { entry: VmNumber::new(3), state: ClaimState::Done },
    "unknown: request key is held by entry 3: done"
)]
#[case::unavailable(ClaimDecision::Unavailable, "unknown: claim could not be decided")]
fn only_the_holder_of_a_claim_says_not_run(#[case] decision: ClaimDecision, #[case] expected: &str) {
    let mut fixture = fixture(1, 2);
    fixture.admit(keyed_arrival(1, fixture.now));
    let actions = fixture.router.claim_decided(fixture.now, RequestId::new(1), decision);
    assert_eq!(responses(&actions), [(1, expected.to_owned())]);
    assert!(settlements(&actions).is_empty());
}

/// Guards against a key that can never run, because a claim was committed but its decision was lost and the next
/// request claims the key under another id.
#[test]
fn an_undecided_claim_is_sent_again_with_the_same_id() {
    let mut fixture = fixture(1, 2);
    let first = claims(&fixture.admit(keyed_arrival(1, fixture.now)));
    fixture.router.claim_decided(fixture.now, RequestId::new(1), ClaimDecision::Unavailable);
    assert_eq!(claims(&fixture.admit(keyed_arrival(2, fixture.now))), first);
}

/// Guards against requests that wait indefinitely for a claim that is never decided.
#[test]
fn a_claim_without_a_decision_ends() {
    let mut fixture = fixture(1, 2);
    fixture.admit(keyed_arrival(1, fixture.now));
    let actions = fixture.advance(15_000);
    assert_eq!(responses(&actions), [(1, "unknown: deadline passed".to_owned())]);
    assert_eq!(fixture.router.in_progress(), 0);
}

/// Guards against telling a waiter whose deadline passes that the request did not run, while the execution may still
/// run for another waiter. The fuzzing oracle did not detect this at first.
#[test]
fn an_expired_waiter_is_not_told_not_run_while_another_waits() {
    let mut fixture = fixture(1, 1);
    fixture.admit(arrival(9, fixture.now));
    fixture
        .admit(RequestArrival { deadline: fixture.now + Duration::from_millis(100), ..keyed_arrival(1, fixture.now) });
    grant_claim(&mut fixture, 1);
    fixture.admit(keyed_arrival(2, fixture.now));
    assert_eq!(responses(&fixture.advance(200)), [(1, "unknown: deadline passed".to_owned())]);
    let actions = fixture.advance(2000);
    assert!(responses(&actions).contains(&(2, "not run: deadline passed".to_owned())), "{actions:?}");
    assert_eq!(settlements(&actions), ["not_run"]);
}

/// Guards against abandoned requests that stay queued, and against losing the response to a request that was abandoned
/// while it ran.
#[test]
fn abandoning_drops_queued_requests_and_keeps_running_ones() {
    let mut fixture = fixture(1, 1);
    fixture.admit(keyed_arrival(1, fixture.now));
    let dispatch = dispatches(&grant_claim(&mut fixture, 1))[0].0;
    fixture.admit(RequestArrival { key: Some("key-2".parse().expect("a key")), ..keyed_arrival(2, fixture.now) });
    grant_claim(&mut fixture, 2);
    let actions = fixture.router.abandon(fixture.now, RequestId::new(2));
    assert_eq!((settlements(&actions), responses(&actions)), (vec!["not_run".to_owned()], Vec::new()));
    assert!(fixture.router.abandon(fixture.now, RequestId::new(1)).is_empty());
    assert_eq!(settlements(&fixture.finish(dispatch, response("order 7"))), ["done"]);
    assert_eq!(responses(&fixture.admit(keyed_arrival(3, fixture.now))), [(3, "order 7".to_owned())]);
}

/// Guards against sending a request that is not repeatable again after a failure in which it may have run.
#[rstest]
#[case::not_sent(not_sent(), true)]
#[case::refused(DispatchResult::Refused { retry_after: None }, true)]
#[case::broken(broken(), false)]
fn a_request_that_may_have_run_is_not_sent_again(#[case] result: DispatchResult, #[case] again: bool) {
    let mut fixture = fixture(2, 2);
    fixture.admit(keyed_arrival(1, fixture.now));
    let (dispatch, endpoint) = dispatches(&grant_claim(&mut fixture, 1))[0];
    let actions = fixture.finish(dispatch, result);
    let second = dispatches(&actions);
    assert_eq!(second.len(), usize::from(again));
    if again {
        assert_ne!(second[0].1, endpoint, "the retry goes to another endpoint");
        assert_eq!(settlements(&fixture.finish(second[0].0, response("order 7"))), ["done"]);
    } else {
        assert_eq!(responses(&actions), [(1, "unknown: connection to endpoint broke".to_owned())]);
        assert_eq!(settlements(&actions), ["unknown"]);
    }
}

/// Guards against returning a response after the deadline, and against not caching it for a resend.
#[test]
fn a_response_after_the_deadline_is_cached_and_not_returned() {
    let mut fixture = fixture(1, 1);
    fixture.admit(keyed_arrival(1, fixture.now));
    let dispatch = dispatches(&grant_claim(&mut fixture, 1))[0].0;
    fixture.now = fixture.now + Duration::from_millis(1500);
    let actions = fixture.finish(dispatch, response("order 7"));
    assert_eq!(responses(&actions), [(1, "unknown: deadline passed".to_owned())]);
    assert_eq!(responses(&fixture.admit(keyed_arrival(2, fixture.now))), [(2, "order 7".to_owned())]);
}

/// Guards against retries that amplify an overload.
#[test]
fn retries_stop_when_the_budget_is_exhausted() {
    let settings = RouterSettings { retry_minimum: 2, ejection: false, ..RouterSettings::default() };
    let mut fixture = Fixture::new(settings, 3, 8);
    let mut sent = 0;
    for request in 1..=8 {
        let mut open = dispatches(&fixture.admit(RequestArrival { repeatable: true, ..arrival(request, fixture.now) }));
        while let Some((dispatch, _)) = open.pop() {
            sent += 1;
            open.extend(dispatches(&fixture.finish(dispatch, broken())));
        }
    }
    assert_eq!(sent, 8 + 2);
}

/// Guards against a shutdown that drops requests in progress or admits new ones.
#[test]
fn shutdown_refuses_new_requests_and_finishes_the_others() {
    let mut fixture = fixture(1, 1);
    let dispatch = dispatches(&fixture.admit(arrival(1, fixture.now)))[0].0;
    fixture.admit(arrival(2, fixture.now));
    fixture.router.drain(fixture.now);
    assert_eq!(responses(&fixture.admit(arrival(3, fixture.now))), [(3, "not run: entry is shutting down".to_owned())]);
    assert_eq!(
        responses(&fixture.admit(keyed_arrival(4, fixture.now))),
        [(4, "unknown: entry is shutting down".to_owned())]
    );
    assert_eq!(fixture.router.in_progress(), 2);
    let actions = fixture.finish(dispatch, response("a"));
    assert_eq!(responses(&actions), [(1, "a".to_owned())]);
    fixture.finish(dispatches(&actions)[0].0, response("b"));
    assert_eq!(fixture.router.in_progress(), 0);
}

/// Guards against requests that are forwarded more than once, and against reporting the wrong outcome after the other
/// zone refused a request.
#[test]
fn requests_without_endpoints_are_forwarded_once() {
    let settings = RouterSettings { other_zones: 1, ..RouterSettings::default() };
    let mut first = Fixture::new(settings.clone(), 0, 0);
    let mut second = Fixture::new(settings, 0, 0);
    let forward = forwards(&first.admit(arrival(1, first.now)))[0];
    let actions = second.admit(RequestArrival { forwarded: true, ..arrival(1, second.now) });
    assert_eq!(responses(&actions), [(1, "not run: no usable endpoint".to_owned())]);
    let actions = first.finish(forward, DispatchResult::Refused { retry_after: None });
    assert_eq!(responses(&actions), [(1, "not run: no usable endpoint".to_owned())]);
    // The other zone is in backoff after its refusal.
    assert!(forwards(&first.admit(arrival(2, first.now))).is_empty());
}

/// Guards against forwarding a forwarded request again when the endpoints leave while it is queued.
#[test]
fn a_queued_forwarded_request_is_not_forwarded_again() {
    let settings = RouterSettings { other_zones: 1, ..RouterSettings::default() };
    let mut fixture = Fixture::new(settings, 1, 1);
    fixture.admit(arrival(1, fixture.now));
    assert!(fixture.admit(RequestArrival { forwarded: true, ..arrival(2, fixture.now) }).is_empty());
    let leaving = parsleywalk_routing::EndpointAnnouncement { leaving: true, ..announcement("orders", 1, 1) };
    let actions = fixture.router.announce(fixture.now, leaving);
    assert!(forwards(&actions).is_empty());
    assert_eq!(responses(&actions), [(2, "not run: no usable endpoint".to_owned())]);
}
