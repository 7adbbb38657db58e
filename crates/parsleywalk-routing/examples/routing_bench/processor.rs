//! Benchmark of the router's processor time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parsleywalk_routing::{
    DispatchResult, EndpointAnnouncement, EndpointResponse, RequestArrival, RequestDigest, RequestRouter, RouteAction,
    RouterSettings, ServiceRoute,
};
use parsleywalk_units::{CallerName, DispatchId, Incarnation, MonotonicTime, RequestId, ServiceName, TaskClass};

/// Measures the rate of `admit`, `finish` and `tick` calls on one core, for one entry that receives more requests than
/// its endpoints finish.
pub(crate) fn measure() {
    for endpoints in [17_u32, 50, 400] {
        let mut router = RequestRouter::new(RouterSettings::default(), 1);
        let service: ServiceName = "marker-planning".parse().expect("a name");
        let mut now = MonotonicTime::from_millis(1);
        router.configure(
            now,
            vec![ServiceRoute {
                service: service.clone(),
                class: TaskClass::LatencyCritical,
                repeatable: true,
                deadline: Duration::from_secs(2),
                depends_on: Vec::new(),
                slots_limit: 8,
            }],
        );
        for endpoint in 0..endpoints {
            let announcement = EndpointAnnouncement {
                endpoint: format!("endpoint-{endpoint}").parse().expect("a name"),
                incarnation: Incarnation::new(1),
                service: service.clone(),
                address: format!("10.0.{}.{}:80", endpoint / 256, endpoint % 256).parse().expect("an address"),
                slots: 8,
                ttl: Duration::from_hours(1),
                leaving: false,
            };
            router.announce(now, announcement);
        }
        let callers: Vec<CallerName> =
            (0..20).map(|index| format!("caller-{index}").parse().expect("a name")).collect();
        let response = Arc::new(EndpointResponse { status: 200, headers: vec![], body: vec![], load: Some(3) });
        let mut pending_dispatches = VecDeque::new();
        let (mut operations, mut request) = (0_u64, 0_u64);
        let started = Instant::now();
        while request < 400_000 {
            now = now + Duration::from_micros(20);
            for _ in 0..2 {
                request += 1;
                operations += 1;
                let arrival = RequestArrival {
                    request: RequestId::new(request),
                    service: service.clone(),
                    caller: callers[usize::try_from(request % 20).expect("small")].clone(),
                    key: None,
                    repeatable: true,
                    deadline: now + Duration::from_secs(2),
                    forwarded: false,
                    digest: RequestDigest::new([0; 32]),
                };
                pending_dispatches.extend(dispatched(router.admit(now, arrival)));
            }
            if pending_dispatches.len() > 4 * endpoints as usize {
                let dispatch = pending_dispatches.pop_front().expect("the queue is not empty");
                operations += 1;
                pending_dispatches.extend(dispatched(router.finish(
                    now,
                    dispatch,
                    DispatchResult::Answered(response.clone()),
                )));
            }
            if router.next_deadline() <= now {
                operations += 1;
                pending_dispatches.extend(dispatched(router.tick(now)));
            }
        }
        let elapsed = started.elapsed().as_secs_f64();
        println!(
            "processor: {endpoints} endpoints, 2x load: {operations} operations in {elapsed:.2} s, {:.0}/s on one core",
            Duration::from_micros(operations).as_secs_f64() * 1e6 / elapsed
        );
    }
}

fn dispatched(actions: Vec<RouteAction>) -> impl Iterator<Item = DispatchId> {
    actions.into_iter().filter_map(|action| match action {
        RouteAction::Dispatch { dispatch, .. } => Some(dispatch),
        _ => None,
    })
}
