//! How scheduling cycles and submissions reach the [`OverloadGate`](crate::overload::OverloadGate).

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, ResourceSize, ServiceName, WorkspaceName};

use crate::account_cycle::total_size;
use crate::admission::{JobRefusal, LEADER_WARM_UP};
use crate::candidate::CandidateWorker;
use crate::job_outlook::JobOutlook;
use crate::overload::GateRequest;
use crate::placement::{MIN_HEADROOM, with_records};
use crate::ready_step::ReadyStep;
use crate::step_class::StepClass;
use crate::task_shape::TaskShape;
use crate::urgency::{JobUrgency, submission_objective};
use crate::work_backlog::{AccountTerms, BacklogRow};
use crate::work_kind::{WORK_KINDS, WorkKind};
use crate::worker_view::WorkerView;
use crate::{BatchState, Dispatcher, JobId, JobRecord, JobSubmission, RunPlacement, SortedMap, StepRecord, TaskKey};

/// The period that the measured processor time of a run covers.
const CORES_WINDOW: Duration = Duration::from_millis(600);
/// The number of steps without a worker that submissions are compared with. Those of other images do not count, so that a
/// job of a rare image may be accepted under overload.
const MAX_UNPLACED: usize = 64;
/// The reason of a refusal.
const OVERLOAD_REASON: &str = "the service has more short work than it can serve in time";

/// What a scheduling cycle has found.
#[derive(Debug, Default)]
pub(crate) struct CycleRecord<'a> {
    /// The late steps that waited when it began, with the number of waiting tasks.
    late: Vec<LateStep<'a>>,
    /// The jobs and steps that no worker could take, however little headroom they leave.
    pub(crate) unplaced: Vec<(JobId, u16)>,
    /// Whether there is free capacity for the refused jobs, if they have been looked at.
    pub(crate) free_refusals: Vec<bool>,
}

/// A late or overdue step with waiting tasks.
#[derive(Debug)]
struct LateStep<'a> {
    service: &'a ServiceName,
    kind: WorkKind,
    key: (JobId, u32, u16),
    waiting: u32,
}

/// What a service delivers, in millicores.
#[derive(Debug, Default)]
struct ServiceSample {
    in_service: f64,
    delivered: [f64; WORK_KINDS],
}

impl<'a> CycleRecord<'a> {
    /// Returns the record of a cycle that begins with the given waiting steps.
    pub(crate) fn new(state: &'a BatchState, ready: &[ReadyStep]) -> Self {
        let late = ready.iter().filter(|step| !matches!(step.urgency, JobUrgency::OnTime(_)));
        let late = late.filter_map(|step| {
            let key = (step.job, step.occurrence, step.step);
            let first = TaskKey { job: key.0, occurrence: key.1, step: key.2, index: 0 };
            let job = state.job(step.job)?;
            let (spec, waiting) = (job.step_spec(step.step)?, job.step(&first)?.waiting);
            Some(LateStep { service: &job.submission.service, kind: WorkKind::of_step(spec)?, key, waiting })
        });
        Self { late: late.collect(), ..Self::default() }
    }

    /// Returns the services and kinds with late steps of which tasks still wait, in order.
    fn waiting_classes(&self, placements: &[RunPlacement]) -> Vec<(&'a ServiceName, WorkKind)> {
        let mut placed: SortedMap<(JobId, u32, u16), u32> = SortedMap::default();
        for RunPlacement { task, .. } in placements {
            *placed.entry((task.job, task.occurrence, task.step), || 0) += 1;
        }
        let mut classes = Vec::new();
        for LateStep { service, kind, key, waiting } in &self.late {
            if placed.get(key).is_none_or(|placed| placed < waiting)
                && let Err(index) = classes.binary_search(&(*service, *kind))
            {
                classes.insert(index, (*service, *kind));
            }
        }
        classes
    }
}

/// Methods that change the state.
impl Dispatcher {
    /// Ends a scheduling cycle.
    pub(crate) fn record_cycle(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        cycle: CycleRecord<'_>,
        placements: &[RunPlacement],
    ) {
        if !self.refuses_short_jobs() {
            return;
        }
        self.overload.record_late(now, &cycle.waiting_classes(placements));
        self.overload.unplaced = cycle.unplaced;
        self.overload.unplaced.truncate(MAX_UNPLACED);
        self.refusal_audit.record_free(now, &cycle.free_refusals);
        if self.overload.is_refresh_due(now) {
            self.sample_drains(now, state);
            self.refresh_backlogs(now, state);
        }
    }

    /// Measures what the services deliver to short work.
    fn sample_drains(&mut self, now: MonotonicTime, state: &BatchState) {
        let mut samples: SortedMap<&ServiceName, ServiceSample> = SortedMap::default();
        for (_, view, record) in with_records(self.workers.iter(), state) {
            if !self.is_usable(now, state, view) {
                continue;
            }
            let sample = samples.entry(&view.service, ServiceSample::default);
            sample.in_service += f64::from(view.capacity.cores.get());
            let Some(record) = record.filter(|record| record.incarnation == view.incarnation) else { continue };
            let long_running = view.long_running.allocated.cores;
            let [allocated, best_effort] = &mut sample.delivered;
            *allocated += f64::from(record.allocated.cores.saturating_sub(long_running).get());
            let best_effort_cores = record.best_effort_cores.get();
            if best_effort_cores > 0 {
                *best_effort += f64::from(best_effort_cores) * used_share(now, view);
            }
        }
        for (service, sample) in samples.iter() {
            for kind in [WorkKind::Allocated, WorkKind::BestEffort] {
                let cores = (sample.delivered[kind as usize] / 1000.0, sample.in_service / 1000.0);
                self.overload.record_sample(now, service, kind, cores);
            }
        }
    }

    /// Looks at the work of the services that have late jobs.
    fn refresh_backlogs(&mut self, now: MonotonicTime, state: &BatchState) {
        for (service, kind) in self.overload.late_classes() {
            let mut rows = Vec::new();
            for (id, job) in state.active_jobs().filter(|(_, job)| job.submission.service == service) {
                rows.extend(self.backlog_row(now, id, job, kind));
            }
            let terms = self.account_terms(state, kind);
            self.overload.set_backlog(now, (&service, kind), &terms, rows, |job| state.job(job).is_some());
        }
    }

    fn backlog_row(&mut self, now: MonotonicTime, id: JobId, job: &JobRecord, kind: WorkKind) -> Option<BacklogRow> {
        let has_kind = job.submission.spec.steps.iter().any(|spec| WorkKind::of_step(spec) == Some(kind));
        let since =
            self.accepted_times.get(&id).copied().filter(|_| has_kind && job.submission.spec.schedule.is_none())?;
        let account = self.workspace_shares.account_of(job.workspace.as_ref());
        let limit = self.workspace_shares.limit(account);
        let outlook = self.outlooks.outlook(id, job, limit, &self.work_model, now);
        let is_last = self.workspace_shares.is_over_rate(id);
        let urgency = if is_last { JobUrgency::Overdue } else { JobUrgency::of(job, &outlook, since, now) };
        let (work, running) = (outlook.work.remaining(kind), outlook.work.running(kind));
        Some(BacklogRow { account, priority: job.submission.priority, urgency, work, running })
    }

    /// Returns the number of refusals that free workers have disproved since the last call.
    pub fn take_disproved_refusals(&mut self) -> u64 {
        self.refusal_audit.take_disproved()
    }

    /// Refuses a job whose service is overloaded, or records that it is accepted.
    pub(crate) fn refuse_overload(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        submission: &JobSubmission,
        workspace: Option<&WorkspaceName>,
    ) -> Option<JobRefusal> {
        let kind = WorkKind::of_job(&submission.spec).filter(|_| self.refuses_short_jobs())?;
        self.workspace_shares.refresh(now, state);
        let account = self.workspace_shares.account_of(workspace);
        let outlook =
            JobOutlook::of_submission(submission, self.workspace_shares.limit(account), &self.work_model, now);
        let request = GateRequest {
            job: submission.job,
            service: &submission.service,
            kind,
            account,
            priority: submission.priority,
            is_over_rate: self.workspace_shares.exceeds_rate(now, account),
            path: outlook.path,
            objective: submission_objective(submission, &outlook),
            work: outlook.work.remaining(kind),
        };
        let is_warm = now.since(self.leader_since) >= LEADER_WARM_UP;
        let forecast = self.overload.forecast(now, &request).filter(|_| is_warm);
        let refusal = forecast.and_then(|forecast| {
            let retry_after = forecast.refusal(&request, self.settings.refusal_multiple)?;
            self.is_blocked(state, submission, &request).then_some((forecast, retry_after))
        });
        let Some((forecast, retry_after)) = refusal else {
            self.overload.record_accepted(now, &request);
            self.refusal_audit.remove(submission.job);
            return None;
        };
        self.refusal_audit.record(now, submission, workspace, retry_after);
        log::info!(
            "event=overload_refusal job={} service={} kind={kind:?} end_s={:.1} objective_s={:.1} work_core_s={:.1} \
             drain_cores={:.1} retry_after_ms={}",
            submission.job,
            submission.service,
            forecast.as_late,
            request.objective.as_secs_f64(),
            request.work,
            forecast.drain,
            retry_after.as_millis()
        );
        Some(JobRefusal { retry_after, reason: OVERLOAD_REASON })
    }
}

/// Read-only methods.
impl Dispatcher {
    /// Returns true if short jobs may be refused.
    pub(crate) const fn refuses_short_jobs(&self) -> bool {
        self.settings.refusal_multiple.is_finite()
    }

    /// Returns true if no worker takes a task of the job's first step now: an equal or smaller one found none in the last
    /// scheduling cycle, or the limit of the job's workspace held back its steps.
    fn is_blocked(&self, state: &BatchState, submission: &JobSubmission, request: &GateRequest<'_>) -> bool {
        let Some(first) = submission.spec.steps.first() else { return false };
        let shape = TaskShape::of(submission, first, false);
        let is_unplaced = self.overload.unplaced.iter().any(|(job, step)| {
            let known = state.job(*job).and_then(|job| Some((job, job.step_spec(*step)?)));
            known.is_some_and(|(job, spec)| shape.is_at_least_as_hard_as(&TaskShape::of(&job.submission, spec, false)))
        });
        is_unplaced || self.workspace_shares.is_class_held(request.account, StepClass::of(first))
    }

    /// Returns whether there is free capacity for the refused jobs, or nothing if they need not be looked at.
    pub(crate) fn free_refusals(
        &self,
        now: MonotonicTime,
        state: &BatchState,
        candidates: &[CandidateWorker<'_>],
    ) -> Vec<bool> {
        if !self.refusal_audit.is_due(now) {
            return Vec::new();
        }
        self.refusal_audit.find_free(|refusal| {
            let Some(spec) = refusal.submission.spec.steps.first() else { return 0 };
            let task = TaskKey { job: refusal.submission.job, occurrence: 0, step: 0, index: 0 };
            let request = self.placement_request(&refusal.submission, spec, task, None, MIN_HEADROOM);
            let free = candidates.iter().map(|candidate| candidate.free_tasks(&request)).fold(0, u32::saturating_add);
            let account = self.workspace_shares.account_of(refusal.workspace.as_ref());
            let permitted = refusal.workspace.as_ref().zip(self.workspace_shares.limit(account));
            let permitted = permitted
                .map(|(workspace, limit)| limit.permitted_count(&state.workspace_allocation(workspace), &spec.size));
            permitted.map_or(free, |permitted| permitted.min(free))
        })
    }

    /// Returns what decides how much of the cores each account gets for work of a kind.
    fn account_terms(&self, state: &BatchState, kind: WorkKind) -> Vec<AccountTerms> {
        let accounts = self.workspace_shares.accounts(state);
        let mut terms: Vec<AccountTerms> = accounts
            .map(|(_, weight, limit, _)| AccountTerms { weight, limit, held: ResourceSize::default() })
            .collect();
        if terms.iter().all(|terms| terms.limit.is_unlimited()) {
            return terms;
        }
        for (_, job) in state.active_jobs() {
            let account = self.workspace_shares.account_of(job.workspace.as_ref());
            let Some(terms) = terms.get_mut(account.0 as usize) else { continue };
            for (spec, step) in job.submission.spec.steps.iter().zip(0u16..) {
                if WorkKind::of_step(spec).is_some_and(|known| known >= kind) {
                    continue;
                }
                let records = job.occurrences.iter().filter_map(|occurrence| occurrence.steps.get(usize::from(step)));
                let live = total_size(&spec.size, records.map(StepRecord::live_count).sum());
                terms.held = live.and_then(|live| terms.held.checked_add(&live)).unwrap_or(terms.held);
            }
        }
        terms
    }
}

/// Returns which share of their cores the best-effort runs of a worker use, as far as it is measured.
fn used_share(now: MonotonicTime, view: &WorkerView) -> f64 {
    let (mut used, mut size) = (0.0, 0.0);
    for (task, run) in view.running.iter().filter(|(_, run)| now.since(run.first_seen) >= CORES_WINDOW) {
        let Some(step) = run.step(task).filter(|step| step.best_effort) else { continue };
        let cores = step.size.cores.get();
        size += f64::from(cores);
        // A worker that does not measure processor time gives no figure.
        let is_measured = run.figure > 0;
        used +=
            if is_measured { f64::from(run.figure.min(cores)) } else { f64::from(cores) * f64::from(run.rate) / 100.0 };
    }
    if size > 0.0 { used / size } else { 1.0 }
}
