//! The life of single requests: claims, resends, callers that leave, retries and refusals.

mod fixture;

use std::time::Duration;

use fixture::{
    Fixture, announcement, answer, answers, arrival, broken, claims, dispatches, forwards, keyed, not_sent, settlements,
};
use parsleywalk_routing::{ClaimDecision, ClaimState, DispatchResult, RequestArrival, RequestDigest, RouterSettings};
use parsleywalk_units::{RequestId, VmNumber};
use rstest::rstest;

fn fixture(endpoints: u8, slots: u32) -> Fixture {
    Fixture::new(RouterSettings { slow_start: Duration::ZERO, ..RouterSettings::default() }, endpoints, slots)
}

fn granted(fixture: &mut Fixture, request: u64) -> Vec<parsleywalk_routing::RouteAction> {
    fixture.router.claim_decided(fixture.now, RequestId::new(request), ClaimDecision::Granted)
}

/// Guards against results of an earlier start of an entry being taken for those of the present one; found by fuzzing.
#[test]
fn dispatch_identities_of_two_starts_differ() {
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

/// Guards against a request that is not repeatable running at two entries.
#[test]
fn a_claim_is_granted_before_the_dispatch() {
    let mut fixture = fixture(1, 2);
    let actions = fixture.admit(keyed(1, fixture.now));
    assert_eq!((claims(&actions).len(), dispatches(&actions).len()), (1, 0));
    assert_eq!(dispatches(&granted(&mut fixture, 1)).len(), 1);
}

/// Guards against resends running apart from the first request, or getting another answer.
#[test]
fn resends_join_and_later_ones_get_the_kept_answer() {
    let mut fixture = fixture(1, 2);
    fixture.admit(keyed(1, fixture.now));
    assert!(fixture.admit(keyed(2, fixture.now)).is_empty());
    let dispatch = dispatches(&granted(&mut fixture, 1))[0].0;
    assert!(fixture.admit(keyed(3, fixture.now)).is_empty());
    let actions = fixture.finish(dispatch, answer("order 7"));
    assert_eq!(answers(&actions), [1, 2, 3].map(|request| (request, "order 7".to_owned())));
    assert_eq!(settlements(&actions), ["done"]);
    assert_eq!(answers(&fixture.admit(keyed(4, fixture.now))), [(4, "order 7".to_owned())]);
}

/// Guards against a key standing for two different requests.
#[rstest]
#[case::other_body(RequestArrival { digest: RequestDigest::new([2; 32]), ..keyed(2, at()) })]
#[case::other_repeatability(RequestArrival { repeatable: true, ..keyed(2, at()) })]
fn a_key_is_bound_to_its_request(#[case] other: RequestArrival) {
    let mut fixture = fixture(1, 2);
    let mismatch = [(2, "unknown: request key was used with another request".to_owned())];
    fixture.admit(keyed(1, fixture.now));
    assert_eq!(answers(&fixture.admit(other.clone())), mismatch);
    let dispatch = dispatches(&granted(&mut fixture, 1))[0].0;
    fixture.finish(dispatch, answer("order 7"));
    assert_eq!(answers(&fixture.admit(other)), mismatch);
}

fn at() -> parsleywalk_units::MonotonicTime {
    parsleywalk_units::MonotonicTime::from_millis(1)
}

/// Guards against an entry calling a request not run whose claim another entry holds or may hold.
#[rstest]
#[case::held(
    ClaimDecision::HeldBy { entry: VmNumber::new(3), state: ClaimState::Done },
    "unknown: request key is held by entry 3: done"
)]
#[case::unavailable(ClaimDecision::Unavailable, "unknown: claim could not be decided")]
fn only_the_holder_of_a_claim_says_not_run(#[case] decision: ClaimDecision, #[case] expected: &str) {
    let mut fixture = fixture(1, 2);
    fixture.admit(keyed(1, fixture.now));
    let actions = fixture.router.claim_decided(fixture.now, RequestId::new(1), decision);
    assert_eq!(answers(&actions), [(1, expected.to_owned())]);
    assert!(settlements(&actions).is_empty());
}

/// Guards against a key lost to a claim that was committed although its answer was lost.
#[test]
fn an_undecided_claim_is_sent_again_under_the_same_identity() {
    let mut fixture = fixture(1, 2);
    let first = claims(&fixture.admit(keyed(1, fixture.now)));
    fixture.router.claim_decided(fixture.now, RequestId::new(1), ClaimDecision::Unavailable);
    assert_eq!(claims(&fixture.admit(keyed(2, fixture.now))), first);
}

/// Guards against claims that wait for ever when a decision never comes.
#[test]
fn a_claim_without_a_decision_ends() {
    let mut fixture = fixture(1, 2);
    fixture.admit(keyed(1, fixture.now));
    let actions = fixture.advance(15_000);
    assert_eq!(answers(&actions), [(1, "unknown: deadline passed".to_owned())]);
    assert_eq!(fixture.router.in_progress(), 0);
}

/// Guards against a refusal of one caller while another's copy of the same request is still to run; not noticed by the
/// first version of the oracle.
#[test]
fn a_waiter_that_expires_beside_another_is_not_told_not_run() {
    let mut fixture = fixture(1, 1);
    fixture.admit(arrival(9, fixture.now));
    fixture.admit(RequestArrival { deadline: fixture.now + Duration::from_millis(100), ..keyed(1, fixture.now) });
    granted(&mut fixture, 1);
    fixture.admit(keyed(2, fixture.now));
    assert_eq!(answers(&fixture.advance(200)), [(1, "unknown: deadline passed".to_owned())]);
    let actions = fixture.advance(2000);
    assert!(answers(&actions).contains(&(2, "not run: deadline passed".to_owned())), "{actions:?}");
    assert_eq!(settlements(&actions), ["not_run"]);
}

/// Guards against cancelled batches that keep their place in the queue, and against losing the answer of a request
/// whose caller left.
#[test]
fn a_caller_that_leaves_drops_what_waits_and_keeps_what_runs() {
    let mut fixture = fixture(1, 1);
    fixture.admit(keyed(1, fixture.now));
    let dispatch = dispatches(&granted(&mut fixture, 1))[0].0;
    fixture.admit(RequestArrival { key: Some("key-2".parse().expect("a key")), ..keyed(2, fixture.now) });
    granted(&mut fixture, 2);
    let actions = fixture.router.abandon(fixture.now, RequestId::new(2));
    assert_eq!((settlements(&actions), answers(&actions)), (vec!["not_run".to_owned()], Vec::new()));
    assert!(fixture.router.abandon(fixture.now, RequestId::new(1)).is_empty());
    assert_eq!(settlements(&fixture.finish(dispatch, answer("order 7"))), ["done"]);
    assert_eq!(answers(&fixture.admit(keyed(3, fixture.now))), [(3, "order 7".to_owned())]);
}

/// Guards against a second run after a failure that does not prove that the first did not happen.
#[rstest]
#[case::not_sent(not_sent(), true)]
#[case::refused(DispatchResult::Refused { retry_after: None }, true)]
#[case::broken(broken(), false)]
fn a_request_that_may_have_run_is_not_sent_again(#[case] result: DispatchResult, #[case] again: bool) {
    let mut fixture = fixture(2, 2);
    fixture.admit(keyed(1, fixture.now));
    let (dispatch, endpoint) = dispatches(&granted(&mut fixture, 1))[0];
    let actions = fixture.finish(dispatch, result);
    let second = dispatches(&actions);
    assert_eq!(second.len(), usize::from(again));
    if again {
        assert_ne!(second[0].1, endpoint, "it is sent to another endpoint");
        assert_eq!(settlements(&fixture.finish(second[0].0, answer("order 7"))), ["done"]);
    } else {
        assert_eq!(answers(&actions), [(1, "unknown: connection to endpoint broke".to_owned())]);
        assert_eq!(settlements(&actions), ["unknown"]);
    }
}

/// Guards against answers passed on as a success past the deadline, and against losing them for a resend.
#[test]
fn an_answer_past_the_deadline_is_kept_and_not_passed_on() {
    let mut fixture = fixture(1, 1);
    fixture.admit(keyed(1, fixture.now));
    let dispatch = dispatches(&granted(&mut fixture, 1))[0].0;
    fixture.now = fixture.now + Duration::from_millis(1500);
    let actions = fixture.finish(dispatch, answer("order 7"));
    assert_eq!(answers(&actions), [(1, "unknown: deadline passed".to_owned())]);
    assert_eq!(answers(&fixture.admit(keyed(2, fixture.now))), [(2, "order 7".to_owned())]);
}

/// Guards against retries that multiply an overload.
#[test]
fn retries_end_with_the_budget() {
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

/// Guards against a shutdown that cuts off requests or takes new ones.
#[test]
fn shutdown_refuses_new_requests_and_finishes_the_others() {
    let mut fixture = fixture(1, 1);
    let dispatch = dispatches(&fixture.admit(arrival(1, fixture.now)))[0].0;
    fixture.admit(arrival(2, fixture.now));
    fixture.router.drain(fixture.now);
    assert_eq!(answers(&fixture.admit(arrival(3, fixture.now))), [(3, "not run: entry is shutting down".to_owned())]);
    assert_eq!(answers(&fixture.admit(keyed(4, fixture.now))), [(4, "unknown: entry is shutting down".to_owned())]);
    assert_eq!(fixture.router.in_progress(), 2);
    let actions = fixture.finish(dispatch, answer("a"));
    assert_eq!(answers(&actions), [(1, "a".to_owned())]);
    fixture.finish(dispatches(&actions)[0].0, answer("b"));
    assert_eq!(fixture.router.in_progress(), 0);
}

/// Guards against requests that travel from zone to zone, and against refusals by the second zone that are not passed on
/// truthfully.
#[test]
fn requests_without_endpoints_go_to_another_zone_once() {
    let settings = RouterSettings { other_zones: 1, ..RouterSettings::default() };
    let mut first = Fixture::new(settings.clone(), 0, 0);
    let mut second = Fixture::new(settings, 0, 0);
    let forward = forwards(&first.admit(arrival(1, first.now)))[0];
    let actions = second.admit(RequestArrival { forwarded: true, ..arrival(1, second.now) });
    assert_eq!(answers(&actions), [(1, "not run: no usable endpoint".to_owned())]);
    let actions = first.finish(forward, DispatchResult::Refused { retry_after: None });
    assert_eq!(answers(&actions), [(1, "not run: no usable endpoint".to_owned())]);
    // The zone that refused is left alone for a while.
    assert!(forwards(&first.admit(arrival(2, first.now))).is_empty());
}

/// Guards against a forwarded request travelling on when the endpoints leave while it waits.
#[test]
fn a_forwarded_request_that_waits_is_not_forwarded_again() {
    let settings = RouterSettings { other_zones: 1, ..RouterSettings::default() };
    let mut fixture = Fixture::new(settings, 1, 1);
    fixture.admit(arrival(1, fixture.now));
    assert!(fixture.admit(RequestArrival { forwarded: true, ..arrival(2, fixture.now) }).is_empty());
    let leaving = parsleywalk_routing::EndpointAnnouncement { leaving: true, ..announcement("orders", 1, 1) };
    let actions = fixture.router.announce(fixture.now, leaving);
    assert!(forwards(&actions).is_empty());
    assert_eq!(answers(&actions), [(2, "not run: no usable endpoint".to_owned())]);
}
