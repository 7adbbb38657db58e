//! The request router: its state, commands and queries.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::{DispatchId, MonotonicTime, RequestId, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::endpoint_table::{AnnounceEffect, EndpointHandle, EndpointTable};
use crate::request_execution::{ExecutionState, RequestExecution};
use crate::service_state::ServiceState;
use crate::timer_queue::{TimerKind, TimerQueue};
use crate::zone_selector::ZoneSelector;
use crate::{
    EndpointAnnouncement, EndpointStatus, KeyRegistry, ResponseCache, RouteAction, RouteReason, RouterCounters,
    RouterSettings, RouterStatus, ServiceRoute, ServiceStatus,
};

/// The interval between checks for unresponsive endpoints and expired cache entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between attempts to dispatch queued requests without another event. Endpoints get free slots without an
/// event when a backoff ends and during slow start.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The destination of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) enum DispatchTarget {
    Endpoint(EndpointHandle),
    Zone(u32),
}

/// An attempt whose result is pending.
#[derive(Debug)]
pub(crate) struct DispatchRecord {
    pub(crate) execution: RequestId,
    pub(crate) service: usize,
    pub(crate) target: DispatchTarget,
    pub(crate) started: MonotonicTime,
    pub(crate) expires_at: MonotonicTime,
}

/// Routes the requests of one entry: admission, claims, dispatch, retries and responses.
///
/// The router does no I/O. Each command takes the current time and returns the actions to execute, in order. Every
/// admitted request gets exactly one [`RouteAction::Answer`], unless it was abandoned.
#[derive(Debug)]
pub struct RequestRouter {
    pub(crate) settings: RouterSettings,
    pub(crate) random: Pcg64Mcg,
    pub(crate) services: Vec<ServiceState>,
    by_name: HashMap<ServiceName, usize>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) key_registry: KeyRegistry,
    pub(crate) response_cache: ResponseCache,
    pub(crate) executions: HashMap<RequestId, RequestExecution>,
    /// Maps each waiting request to its execution, which has the id of the first request.
    pub(crate) waiting: HashMap<RequestId, RequestId>,
    pub(crate) dispatches: HashMap<DispatchId, DispatchRecord>,
    pub(crate) timers: TimerQueue,
    pub(crate) zones: ZoneSelector,
    pub(crate) next_dispatch: DispatchId,
    /// The endpoint of the result that is being handled, if requests are queued for its service.
    pub(crate) freed_endpoint: Option<EndpointHandle>,
    pub(crate) draining: bool,
    pub(crate) forwards: usize,
    pub(crate) claiming: usize,
    pub(crate) queued: usize,
    pub(crate) counters: RouterCounters,
    next_sweep: MonotonicTime,
    next_queue_check: MonotonicTime,
    last_tick: MonotonicTime,
}

impl RequestRouter {
    /// Creates a router without services and endpoints.
    ///
    /// The ids of claims and dispatches are derived from `seed`, so it must differ for each entry and each of its
    /// starts.
    #[must_use]
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        // The result of a forward that an earlier incarnation of this entry made must not match one of this router.
        let next_dispatch = DispatchId::new(random.random::<u64>() >> 1);
        Self {
            key_registry: KeyRegistry::new(settings.claim_limit),
            response_cache: ResponseCache::new(settings.cache_bytes, settings.cache_entries, settings.cache_age),
            settings,
            random,
            services: Vec::new(),
            by_name: HashMap::new(),
            endpoints: EndpointTable::default(),
            executions: HashMap::new(),
            waiting: HashMap::new(),
            dispatches: HashMap::new(),
            timers: TimerQueue::default(),
            zones: ZoneSelector::default(),
            next_dispatch,
            freed_endpoint: None,
            draining: false,
            forwards: 0,
            claiming: 0,
            queued: 0,
            counters: RouterCounters::default(),
            next_sweep: MonotonicTime::ZERO,
            next_queue_check: MonotonicTime::ZERO,
            last_tick: MonotonicTime::ZERO,
        }
    }

    /// Applies the services of a configuration. Queued requests of removed services fail.
    pub fn configure(&mut self, now: MonotonicTime, services: Vec<ServiceRoute>) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        for state in &mut self.services {
            state.route = None;
            state.capacity = None;
        }
        for route in services {
            if let Some(service) = self.service_index(&route.service) {
                self.services[service].route = Some(route);
            }
        }
        self.resolve_dependencies();
        for service in 0..self.services.len() {
            while self.services[service].route.is_none()
                && let Some(execution) = self.pop_queued(service)
            {
                self.fail(now, execution, &RouteReason::UnknownService, None, &mut actions);
            }
        }
        self.dispatch_all_queued(now, &mut actions);
        actions
    }

    /// Sets the number of entries, including this one, that share the slots of the zone's endpoints.
    pub fn set_zone_entries(&mut self, now: MonotonicTime, entries: u32) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        self.settings.zone_entries = entries.max(1);
        self.dispatch_all_queued(now, &mut actions);
        actions
    }

    /// Applies an endpoint's announcement.
    ///
    /// The first announcement that an endpoint is leaving is returned as [`RouteAction::Share`], even if it came from
    /// another entry. It thus reaches all entries even if the endpoint could only reach one.
    pub fn announce(&mut self, now: MonotonicTime, announcement: EndpointAnnouncement) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let Some(service) = self.service_index(&announcement.service) else { return actions };
        let effect = self.endpoints.announce(now, service, &announcement, &self.settings);
        self.services[service].capacity = None;
        match effect {
            AnnounceEffect::Ignored => return actions,
            AnnounceEffect::Present => self.services[service].had_endpoint = true,
            AnnounceEffect::Leaving => actions.push(RouteAction::Share { announcement }),
        }
        self.dispatch_queued(now, service, &mut actions);
        actions
    }

    /// Refuses new requests from now on, and completes those in progress.
    ///
    /// The drain is complete once [`in_progress`](Self::in_progress) is zero.
    pub fn drain(&mut self, now: MonotonicTime) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        self.draining = true;
        self.dispatch_all_queued(now, &mut actions);
        actions
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                TimerKind::Deadline(request) => self.expire_waiter(now, request, &mut actions),
                TimerKind::ClaimTimeout(request) => self.expire_claim(now, request, &mut actions),
                TimerKind::Hedge(execution) => self.hedge(now, execution, &mut actions),
                TimerKind::DispatchTimeout(dispatch) => self.time_out_dispatch(now, dispatch, &mut actions),
            }
        }
        if now >= self.next_sweep {
            self.sweep(now);
        }
        self.last_tick = now;
        if now >= self.next_queue_check {
            self.next_queue_check = now + QUEUE_CHECK_INTERVAL;
            self.dispatch_all_queued(now, &mut actions);
        }
        actions
    }

    fn sweep(&mut self, now: MonotonicTime) {
        self.next_sweep = now + SWEEP_INTERVAL;
        let (services, settings) = (&self.services, &self.settings);
        let unresponsive_timeout = |service: usize| {
            services[service]
                .latency()
                .mul_f64(settings.unresponsive_timeout_factor)
                .max(settings.unresponsive_timeout_minimum)
        };
        self.endpoints.sweep(now, unresponsive_timeout, settings);
        self.response_cache.expire(now);
        for state in &mut self.services {
            state.capacity = None;
        }
    }

    /// Computes the direct and transitive dependencies of each service.
    fn resolve_dependencies(&mut self) {
        let direct: Vec<Vec<usize>> = self
            .services
            .iter()
            .map(|state| {
                let names = state.route.iter().flat_map(|route| &route.depends_on);
                names.filter_map(|name| self.by_name.get(name).copied()).collect()
            })
            .collect();
        for (service, state) in self.services.iter_mut().enumerate() {
            let mut reachable = direct[service].clone();
            let mut next = 0;
            while next < reachable.len() {
                let further = direct[reachable[next]].iter().filter(|other| !reachable.contains(other)).copied();
                let further: Vec<usize> = further.collect();
                reachable.extend(further);
                next += 1;
            }
            reachable.retain(|other| *other != service);
            state.dependencies = reachable;
        }
    }

    /// Returns the index of a service, adding the service if the limit permits it.
    fn service_index(&mut self, name: &ServiceName) -> Option<usize> {
        if let Some(&service) = self.by_name.get(name) {
            return Some(service);
        }
        if self.services.len() >= self.settings.service_limit {
            return None;
        }
        self.services.push(ServiceState::new(name.clone(), self.settings.fair_queueing));
        self.by_name.insert(name.clone(), self.services.len() - 1);
        Some(self.services.len() - 1)
    }
}

impl RequestRouter {
    /// Returns the latest time at which to call [`tick`](Self::tick) next.
    #[must_use]
    pub fn next_deadline(&self) -> MonotonicTime {
        let queue = if self.queued > 0 { self.next_queue_check } else { MonotonicTime::NEVER };
        self.timers.next().min(self.next_sweep).min(queue)
    }

    /// Returns the number of request executions in progress. Resends that joined one are not counted.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.executions.len()
    }

    /// Returns the status of the router. Whether announcements have expired is as of the last tick.
    #[must_use]
    pub fn status(&self) -> RouterStatus {
        let mut services: Vec<ServiceStatus> =
            (0..self.services.len()).map(|service| self.service_status(service)).collect();
        services.sort_by(|left, right| left.service.cmp(&right.service));
        RouterStatus {
            draining: self.draining,
            in_progress: self.executions.len(),
            queued: self.queued,
            claiming: self.claiming,
            dispatches: self.dispatches.len(),
            forwards: self.forwards,
            kept_answers: self.response_cache.len(),
            kept_bytes: self.response_cache.bytes(),
            counters: self.counters,
            services,
        }
    }

    /// Returns the index of a service if it is configured.
    pub(crate) fn configured_service(&self, name: &ServiceName) -> Option<usize> {
        self.by_name.get(name).copied().filter(|service| self.services[*service].route.is_some())
    }

    fn service_status(&self, service: usize) -> ServiceStatus {
        let state = &self.services[service];
        let (recent_requests, recent_retries) = state.budget.totals();
        let endpoints = self.endpoints.records_of(service).map(|record| EndpointStatus {
            endpoint: record.endpoint.clone(),
            incarnation: record.incarnation,
            address: record.address,
            slots: record.slots,
            outstanding: record.outstanding,
            leaving: record.leaving,
            expired: record.expires <= self.last_tick,
            ejected: !record.is_healthy(),
            failures: record.consecutive_failures,
        });
        let mut endpoints: Vec<EndpointStatus> = endpoints.collect();
        endpoints.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        ServiceStatus {
            service: state.name.clone(),
            configured: state.route.is_some(),
            queued: state.queue.len(),
            callers: state.queue.callers(),
            outstanding: state.outstanding,
            latency: state.latency(),
            failing: state.health.is_failing(),
            recent_requests,
            recent_retries,
            endpoints,
        }
    }

    pub(crate) fn is_in_state(&self, execution: RequestId, state: ExecutionState) -> bool {
        self.executions.get(&execution).is_some_and(|execution| execution.state == state)
    }
}
