//! The queue, the retry budget, the kept answers and the settings by themselves.

use std::sync::Arc;
use std::time::Duration;

use parsleywalk_routing::{
    AdmissionQueue, AnswerCache, BalanceMethod, ClaimRegister, EndpointResponse, RequestDigest, RetryBudget,
};
use parsleywalk_units::{CallerName, ClaimId, MonotonicTime, RequestId, RequestKey};

fn caller(name: &str) -> CallerName {
    name.parse().expect("a name")
}

fn key(number: u32) -> RequestKey {
    format!("orders/key-{number}").parse().expect("a key")
}

fn digest() -> RequestDigest {
    RequestDigest::new([0; 32])
}

fn kept(bytes: usize) -> Arc<EndpointResponse> {
    Arc::new(EndpointResponse { status: 200, headers: Vec::new(), body: vec![0; bytes], load: None })
}

/// Guards against a caller with many requests that holds up the others, also when it lets its lane run empty.
#[test]
fn callers_are_served_by_their_share() {
    let mut queue = AdmissionQueue::new(true);
    for request in 0..6 {
        queue.push_back(&caller("misbehaving"), RequestId::new(request));
    }
    queue.push_back(&caller("desk"), RequestId::new(10));
    assert_eq!((queue.ahead_of(&caller("desk")), queue.ahead_of(&caller("yard"))), (3, 2));
    assert_eq!([queue.pop(), queue.pop()], [0, 10].map(|request| Some(RequestId::new(request))));
    while queue.pop().is_some() {}
    queue.push_back(&caller("misbehaving"), RequestId::new(20));
    queue.push_back(&caller("desk"), RequestId::new(21));
    assert_eq!(queue.pop(), Some(RequestId::new(21)), "the caller that used more waits");
}

/// Guards against requests left in, or lost from, the lanes.
#[test]
fn requests_are_taken_out_of_the_queue() {
    let mut queue = AdmissionQueue::new(true);
    for request in 0..4 {
        queue.push_back(&caller(if request < 3 { "a" } else { "b" }), RequestId::new(request));
    }
    assert!(queue.remove(&caller("a"), RequestId::new(1)));
    assert!(!queue.remove(&caller("b"), RequestId::new(0)));
    assert_eq!(queue.displace(2), None);
    assert_eq!(queue.displace(1), Some(RequestId::new(2)));
    queue.push_front(&caller("b"), RequestId::new(9));
    assert_eq!((queue.len(), queue.callers()), (3, 2));
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop()).map(RequestId::get).collect();
    assert_eq!(order, [0, 9, 3]);
    assert!(queue.is_empty());
}

/// Guards against retries in proportion to an overload, and against a budget that never comes back.
#[test]
fn retries_are_a_share_of_recent_requests() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(MonotonicTime::from_millis(100));
    }
    let permitted = |budget: &mut RetryBudget, at| {
        std::iter::repeat_with(|| budget.try_retry(MonotonicTime::from_millis(at), 0.1, 2))
            .take_while(|taken| *taken)
            .count()
    };
    assert_eq!(permitted(&mut budget, 5000), 12);
    assert_eq!(permitted(&mut budget, 9000), 0);
    assert_eq!(permitted(&mut budget, 60_000), 2);
}

/// Guards against kept answers without bound.
#[test]
fn kept_answers_are_bounded_by_bytes_number_and_age() {
    let now = MonotonicTime::from_millis(1);
    let mut cache = AnswerCache::new(4000, 8, Duration::from_secs(1));
    for number in 0..100 {
        cache.insert(now, key(number), digest(), true, kept(100 * (number as usize % 12)));
        assert!(cache.bytes() <= 4000 && cache.len() <= 8);
    }
    assert!(cache.get(&key(0), digest(), true).is_none());
    cache.insert(now, key(200), digest(), true, kept(2000));
    assert!(cache.get(&key(200), digest(), true).is_none(), "over a quarter of the limit");
    cache.expire(now + Duration::from_secs(2));
    assert_eq!((cache.len(), cache.bytes()), (0, 0));
}

/// Guards against undecided claims without bound.
#[test]
fn undecided_claims_are_bounded() {
    let mut register = ClaimRegister::new(10);
    for number in 0..100 {
        register.keep_undecided(key(number), ClaimId::new(number.into()));
    }
    assert_eq!(register.counts(), (0, 10));
    assert_eq!(register.take_undecided(&key(99)), Some(ClaimId::new(99)));
    assert_eq!(register.take_undecided(&key(0)), None);
}

/// Guards against settings that name a method which cannot be read back.
#[test]
fn balance_methods_round_trip() {
    for method in BalanceMethod::ALL {
        assert_eq!(method.to_string().parse(), Ok(method));
    }
    assert!("fastest".parse::<BalanceMethod>().is_err());
}
