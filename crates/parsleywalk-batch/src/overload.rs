//! Early refusal of short jobs under overload.
//!
//! The load that this answers: more short work of a kind than its service gets through, for so long that late jobs pile up.
//! A job that is accepted then is of no use to its caller, who learns that only after having waited, and what it runs until
//! then delays others. A refused caller can return later or go elsewhere.
//!
//! A job is refused only if everything says that it would not be served: late jobs of its service and kind have waited for
//! [`EVIDENCE_TIME`], no worker takes an equal task now, and it would end beyond a multiple of its objective. The latter is
//! predicted from the work ahead of it and [`DrainRate`]. A job that can be in time is served before late ones and
//! therefore accepted whatever their number. A new leader refuses nothing until it has heard from the workers and measured
//! the rate. See `docs/design/overload.md`.

use std::time::Duration;

use parsleywalk_shares::AccountIndex;
use parsleywalk_units::{MonotonicTime, ServiceName};

use crate::drain_rate::DrainRate;
use crate::urgency::JobUrgency;
use crate::work_backlog::{AccountTerms, BacklogPlace, BacklogRow, WorkBacklog};
use crate::work_kind::WorkKind;
use crate::{JobId, SortedMap};

/// Late jobs that wait for less than this are no evidence of overload: bursts of submissions pass.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);
/// The interval at which drain rates and backlogs are looked at.
pub(crate) const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// How long the commit of a submission may take; until then, its job counts although the state does not have it.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(10);
/// The shortest and the longest time after which a refused caller is asked to return, before it is spread.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(20));
/// The time to return is lengthened by up to one part in this many, so that callers do not return together.
const RETRY_SPREAD: u32 = 2;

/// A job that is submitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GateRequest<'a> {
    pub(crate) job: JobId,
    pub(crate) service: &'a ServiceName,
    pub(crate) kind: WorkKind,
    pub(crate) account: AccountIndex,
    pub(crate) priority: u8,
    /// Whether the job is beyond the rate of its workspace, so that it comes after all others of its priority.
    pub(crate) is_over_rate: bool,
    /// The predicted duration of the critical path.
    pub(crate) path: Duration,
    pub(crate) objective: Duration,
    /// The predicted work in core-seconds.
    pub(crate) work: f64,
}

/// When a job would end, in seconds from its submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EndForecast {
    /// If it gets its turn while it can be in time.
    pub(crate) as_urgent: f64,
    /// If it gets its turn as a late job, after all that can be in time.
    pub(crate) as_late: f64,
    /// The cores that the work of its kind gets.
    pub(crate) drain: f64,
}

/// A job that has been accepted and may not be in the state yet.
#[derive(Debug)]
struct AcceptedWork {
    job: JobId,
    account: AccountIndex,
    work: f64,
    at: MonotonicTime,
}

/// What is known of the short work of one kind of a service.
#[derive(Debug, Default)]
struct ClassLoad {
    drain: DrainRate,
    /// Since when late jobs have waited.
    late_since: Option<MonotonicTime>,
    /// The work of the active jobs, while late ones wait.
    backlog: Option<WorkBacklog>,
    accepted: Vec<AcceptedWork>,
}

/// Refuses short jobs of overloaded services.
#[derive(Debug, Default)]
pub(crate) struct OverloadGate {
    classes: SortedMap<(ServiceName, WorkKind), ClassLoad>,
    refreshed_at: MonotonicTime,
    /// The jobs and steps that no worker could take in the last scheduling cycle.
    pub(crate) unplaced: Vec<(JobId, u16)>,
}

/// Methods that change the state.
impl OverloadGate {
    /// Records the work of a task that has completed, in core-seconds.
    pub(crate) fn record_completed(&mut self, service: &ServiceName, kind: WorkKind, work: f64) {
        if let Some(class) = self.class_mut(service, kind) {
            class.drain.record_completed(work);
        }
    }

    /// Returns true once in [`REFRESH_INTERVAL`].
    pub(crate) fn is_refresh_due(&mut self, now: MonotonicTime) -> bool {
        let is_due = now.since(self.refreshed_at) >= REFRESH_INTERVAL;
        if is_due {
            self.refreshed_at = now;
        }
        is_due
    }

    /// Records the cores that the work of a kind gets now, and the cores of the service's workers.
    pub(crate) fn record_sample(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        kind: WorkKind,
        (delivered, in_service): (f64, f64),
    ) {
        if self.class_mut(service, kind).is_none() {
            self.classes.insert((service.clone(), kind), ClassLoad::default());
        }
        if let Some(class) = self.class_mut(service, kind) {
            class.drain.record_sample(now, delivered, in_service);
        }
    }

    /// Records which services and kinds have late jobs that waited when a scheduling cycle ended, in order.
    pub(crate) fn record_late(&mut self, now: MonotonicTime, late: &[(&ServiceName, WorkKind)]) {
        for ((service, kind), class) in self.classes.iter_mut() {
            if late.binary_search(&(service, *kind)).is_ok() {
                class.late_since.get_or_insert(now);
            } else {
                (class.late_since, class.backlog) = (None, None);
            }
        }
    }

    /// Sets the backlog of a service and kind. `is_known` tells whether the state has a job.
    pub(crate) fn set_backlog(
        &mut self,
        now: MonotonicTime,
        (service, kind): (&ServiceName, WorkKind),
        terms: &[AccountTerms],
        rows: Vec<BacklogRow>,
        is_known: impl Fn(JobId) -> bool,
    ) {
        let Some(class) = self.class_mut(service, kind) else { return };
        class.accepted.retain(|accepted| !is_known(accepted.job) && now.since(accepted.at) < SUBMISSION_TIMEOUT);
        let mut backlog = WorkBacklog::new(terms, rows);
        for accepted in &class.accepted {
            backlog.add_accepted(accepted.account, accepted.work);
        }
        class.backlog = Some(backlog);
    }

    /// Records that a job has been accepted.
    pub(crate) fn record_accepted(&mut self, now: MonotonicTime, request: &GateRequest<'_>) {
        let &GateRequest { job, account, work, .. } = request;
        let Some(class) = self.class_mut(request.service, request.kind) else { return };
        let Some(backlog) = &mut class.backlog else { return class.accepted.clear() };
        backlog.add_accepted(account, work);
        class.accepted.push(AcceptedWork { job, account, work, at: now });
    }

    fn class_mut(&mut self, service: &ServiceName, kind: WorkKind) -> Option<&mut ClassLoad> {
        self.classes.find_mut(|(known, known_kind)| known.cmp(service).then(known_kind.cmp(&kind)))
    }
}

/// Read-only methods.
impl OverloadGate {
    /// Returns the services and kinds with late jobs that wait.
    pub(crate) fn late_classes(&self) -> Vec<(ServiceName, WorkKind)> {
        let late = self.classes.iter().filter(|(_, class)| class.late_since.is_some());
        late.map(|(key, _)| key.clone()).collect()
    }

    /// Returns when a job would end, if there is evidence that its service is overloaded.
    pub(crate) fn forecast(&self, now: MonotonicTime, request: &GateRequest<'_>) -> Option<EndForecast> {
        let &GateRequest { service, kind, account, priority, path, objective, work, .. } = request;
        let class = self.classes.find(|(known, known_kind)| known.cmp(service).then(known_kind.cmp(&kind)))?;
        class.late_since.filter(|since| now.since(*since) >= EVIDENCE_TIME)?;
        let backlog = class.backlog.as_ref()?;
        let drain = class.drain.cores(now)?;
        let service_time = path.as_secs_f64().max(work / backlog.room(account, drain));
        let end = |urgency| service_time + backlog.seconds_before(&BacklogPlace { account, priority, urgency }, drain);
        if request.is_over_rate {
            let last = end(JobUrgency::Overdue);
            return Some(EndForecast { as_urgent: last, as_late: last, drain });
        }
        let as_urgent = end(JobUrgency::OnTime(objective));
        Some(EndForecast { as_urgent, as_late: end(JobUrgency::Late(path)), drain })
    }
}

impl EndForecast {
    /// Returns after what time the caller should return, or `None` if the job is accepted: it can be in time, or it ends
    /// within `multiple` times its objective.
    pub(crate) fn refusal(&self, request: &GateRequest<'_>, multiple: f32) -> Option<Duration> {
        let objective = request.objective.as_secs_f64();
        let is_refused = self.as_urgent > objective && self.as_late > objective * f64::from(multiple);
        is_refused.then(|| spread(request.job, drained_after(self.as_late - objective)))
    }
}

/// Returns the time to return if the backlog has been worked off far enough after so many seconds.
fn drained_after(seconds: f64) -> Duration {
    let (shortest, longest) = RETRY_RANGE;
    Duration::from_secs_f64(seconds.clamp(shortest.as_secs_f64(), longest.as_secs_f64()))
}

/// Lengthens a time by a share that depends on the job.
pub(crate) fn spread(job: JobId, time: Duration) -> Duration {
    time + time / RETRY_SPREAD * job.spread_permille() / 1000
}

#[cfg(test)]
#[path = "overload_tests.rs"]
mod tests;
