//! Metrics of a daemon.

use std::time::Duration;

use parsleywalk_batch::{BatchState, JobStatus, PlaceWaitResults, ReportResponse, RunOutcome, WorkspaceUsage};
use parsleywalk_metrics::{Counter, Gauge, Histogram, KeyValue, MetricRegistry, SeriesGauge};
use parsleywalk_units::MilliCores;

/// The instruments of a daemon. Clones share them.
#[derive(Debug, Clone)]
pub struct FleetMetrics {
    registry: MetricRegistry,
    requests: Counter<u64>,
    request_durations: Histogram<f64>,
    leaders_lost: Counter<u64>,
    leader_contact_age: Gauge<u64>,
    log_lines_dropped: Gauge<u64>,
    sync_durations: Histogram<f64>,
    elections_won: Counter<u64>,
    jobs: Counter<u64>,
    refusals: Counter<u64>,
    refusals_disproved: Counter<u64>,
    orders: Counter<u64>,
    runs_ended: Counter<u64>,
    leases: Counter<u64>,
    reports_relayed: Counter<u64>,
    calls_overtaken: Counter<u64>,
    place_waits: Counter<u64>,
    active_jobs: Gauge<u64>,
    oldest_waiting: Gauge<u64>,
    workers: Gauge<u64>,
    configuration: Gauge<u64>,
    workspace_cores: SeriesGauge,
    workspace_waiting_jobs: SeriesGauge,
}

impl Default for FleetMetrics {
    fn default() -> Self {
        let registry = MetricRegistry::new();
        Self {
            requests: registry.counter("parsleywalk_requests", "Requests answered, by status"),
            request_durations: registry
                .duration_histogram("parsleywalk_request_duration", "Time from a request's arrival to its answer"),
            leaders_lost: registry.counter("parsleywalk_leaders_lost", "Leaders that stopped answering this daemon"),
            leader_contact_age: registry
                .gauge("parsleywalk_leader_word_age_milliseconds", "Time since a leader last answered this daemon"),
            log_lines_dropped: registry
                .gauge("parsleywalk_log_lines_dropped", "Log lines that a slow reader of standard output cost"),
            sync_durations: registry
                .duration_histogram("parsleywalk_log_sync_duration", "Time of a synced write to the log"),
            elections_won: registry.counter("parsleywalk_elections_won", "Times that this replica became leader"),
            jobs: registry.counter("parsleywalk_jobs", "Jobs accepted, and jobs that ended, by event"),
            refusals: registry.counter("parsleywalk_refusals", "Submissions refused, by reason"),
            refusals_disproved: registry.counter(
                "parsleywalk_refusals_disproved",
                "Refusals because of overload after which workers were free before the caller was to return",
            ),
            orders: registry.counter("parsleywalk_orders", "Orders to workers, by kind"),
            runs_ended: registry
                .counter("parsleywalk_runs_ended", "Ends of runs, by the outcome that the worker listed"),
            leases: registry.counter("parsleywalk_leases", "Leases of workers renewed and expired, by event"),
            reports_relayed: registry
                .counter("parsleywalk_reports_relayed", "Reports of workers that this replica sent to the leader"),
            calls_overtaken: registry.counter(
                "parsleywalk_calls_overtaken",
                "Calls that arrived after their callers had given up or a later order had overtaken them",
            ),
            place_waits: registry
                .counter("parsleywalk_place_waits", "Tasks that waited for a rack, by whether they were placed on it"),
            active_jobs: registry.gauge("parsleywalk_active_jobs", "Jobs that are not final, by priority and status"),
            oldest_waiting: registry.gauge(
                "parsleywalk_oldest_waiting_milliseconds",
                "Age of the oldest job of which no task has started, by priority",
            ),
            workers: registry.gauge("parsleywalk_workers", "Workers with runs"),
            configuration: registry.gauge("parsleywalk_configuration_version", "Version of the configuration held"),
            workspace_cores: registry.series_gauge(
                "parsleywalk_workspace_cores",
                "Cores allocated to the runs of a workspace, and its limit, by kind",
            ),
            workspace_waiting_jobs: registry
                .series_gauge("parsleywalk_workspace_waiting_jobs", "Jobs of a workspace with tasks that wait"),
            registry,
        }
    }
}

/// Methods that record values.
impl FleetMetrics {
    /// Records an answered request and its duration.
    pub fn request(&self, status: u16, duration: Duration) {
        let labels = [KeyValue::new("status", i64::from(status))];
        self.requests.add(1, &labels);
        self.request_durations.record(duration.as_secs_f64(), &labels);
    }

    /// Records the number of log lines dropped since the start.
    pub fn log_lines_dropped(&self, lines: u64) {
        self.log_lines_dropped.record(lines, &[]);
    }

    pub(crate) fn leader_lost(&self) {
        self.leaders_lost.add(1, &[]);
    }

    pub(crate) fn leader_contact_age(&self, age: Duration) {
        self.leader_contact_age.record(milliseconds(age), &[]);
    }

    pub(crate) fn log_synced(&self, duration: Duration) {
        self.sync_durations.record(duration.as_secs_f64(), &[]);
    }

    pub(crate) fn election_won(&self) {
        self.elections_won.add(1, &[]);
    }

    pub(crate) fn job_accepted(&self) {
        self.jobs.add(1, &[KeyValue::new("event", "accepted")]);
    }

    pub(crate) fn job_ended(&self, status: JobStatus) {
        self.jobs.add(1, &[KeyValue::new("event", status_name(status))]);
    }

    pub(crate) fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts refusals that free workers have disproved.
    pub(crate) fn refusals_disproved(&self, count: u64) {
        if count > 0 {
            self.refusals_disproved.add(count, &[]);
        }
    }

    pub(crate) fn record_response(&self, response: &ReportResponse) {
        let Some(orders) = &response.orders else { return };
        self.leases.add(1, &[KeyValue::new("event", "renewed")]);
        for (kind, count) in
            [("start", orders.starts.len()), ("stop", orders.stops.len()), ("rate", orders.rates.len())]
        {
            if count > 0 {
                self.orders.add(u64::try_from(count).unwrap_or(u64::MAX), &[KeyValue::new("kind", kind)]);
            }
        }
    }

    pub(crate) fn reports_relayed(&self, count: usize) {
        self.reports_relayed.add(u64::try_from(count).unwrap_or(u64::MAX), &[]);
    }

    pub(crate) fn call_overtaken(&self) {
        self.calls_overtaken.add(1, &[]);
    }

    /// Counts the tasks whose waits for a rack have ended.
    pub(crate) fn place_waits_ended(&self, results: PlaceWaitResults) {
        for (result, tasks) in [("won", results.won), ("lost", results.lost)] {
            if tasks > 0 {
                self.place_waits.add(tasks, &[KeyValue::new("result", result)]);
            }
        }
    }

    pub(crate) fn leases_expired(&self, count: usize) {
        self.leases.add(u64::try_from(count).unwrap_or(u64::MAX), &[KeyValue::new("event", "expired")]);
    }

    /// Counts run ends by the outcomes that workers listed.
    pub(crate) fn runs_ended(&self, outcomes: &[RunOutcome]) {
        for outcome in outcomes {
            self.runs_ended.add(1, &[KeyValue::new("outcome", outcome_name(*outcome))]);
        }
    }

    /// Records the gauges that describe the state.
    pub(crate) fn record_state(&self, state: &BatchState, unix_ms: u64) {
        for priority in 0..=LOWEST_PRIORITY {
            let of_priority = || state.active_jobs().filter(|(_, job)| job.submission.priority == priority);
            let label = KeyValue::new("priority", i64::from(priority));
            for status in [JobStatus::Pending, JobStatus::Running] {
                let count = of_priority().filter(|(_, job)| job.status == status).count();
                let labels = [label.clone(), KeyValue::new("status", status_name(status))];
                self.active_jobs.record(u64::try_from(count).unwrap_or(u64::MAX), &labels);
            }
            let pending = of_priority().filter(|(_, job)| job.status == JobStatus::Pending);
            let oldest = pending.map(|(_, job)| job.submission.accepted_unix_ms).min();
            self.oldest_waiting.record(oldest.map_or(0, |oldest| unix_ms.saturating_sub(oldest)), &[label]);
        }
        let busy = state.workers().filter(|(_, record)| !record.runs.is_empty()).count();
        self.workers.record(u64::try_from(busy).unwrap_or(u64::MAX), &[]);
        let version = state.configuration().map_or(0, |configuration| configuration.version.get());
        self.configuration.record(version, &[]);
    }

    /// Records what the workspaces use and wait for, as the leader knows it. `None` ends the series of a replica that no
    /// longer leads. Of many workspaces, the first by name have series of their own.
    pub(crate) fn record_workspaces(&self, usage: Option<Vec<WorkspaceUsage>>) {
        let mut usage = usage.unwrap_or_default();
        let is_other = |usage: &WorkspaceUsage| usage.workspace.as_str() == OTHER_WORKSPACES;
        usage.sort_by(|one, other| (is_other(one), &one.workspace).cmp(&(is_other(other), &other.workspace)));
        let named = usage.iter().take(MAX_NAMED_WORKSPACES).filter(|usage| !is_other(usage)).count();
        let (named, others) = usage.split_at(named);
        let (mut cores, mut waiting) = (Vec::new(), Vec::new());
        let label = |name: &str| KeyValue::new("workspace", name.to_owned());
        for usage in named {
            let label = label(usage.workspace.as_str());
            let running = vec![label.clone(), KeyValue::new("kind", "running")];
            cores.push((running, cores_number(usage.allocated.cores)));
            if let Some(limit) = usage.limit.cores {
                cores.push((vec![label.clone(), KeyValue::new("kind", "limit")], cores_number(limit)));
            }
            waiting.push((vec![label], count_number(usage.waiting_jobs)));
        }
        if !others.is_empty() {
            let running = vec![label(OTHER_WORKSPACES), KeyValue::new("kind", "running")];
            cores.push((running, others.iter().map(|usage| cores_number(usage.allocated.cores)).sum()));
            let jobs = others.iter().map(|usage| usage.waiting_jobs).sum();
            waiting.push((vec![label(OTHER_WORKSPACES)], count_number(jobs)));
        }
        self.workspace_cores.replace(cores);
        self.workspace_waiting_jobs.replace(waiting);
    }
}

/// Read-only methods.
impl FleetMetrics {
    /// Returns the values in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

/// The most workspaces with series of their own, which bounds the work of collectors.
const MAX_NAMED_WORKSPACES: usize = 64;
/// The label of the other workspaces.
const OTHER_WORKSPACES: &str = "other";

/// The lowest priority with metrics of its own; jobs with a higher number are not counted.
const LOWEST_PRIORITY: u8 = 3;

fn cores_number(cores: MilliCores) -> f64 {
    f64::from(cores.get()) / 1000.0
}

fn count_number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn status_name(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Pending => "pending",
        JobStatus::Running => "running",
        JobStatus::Completed => "completed",
        JobStatus::Failed => "failed",
        JobStatus::Cancelled => "cancelled",
    }
}

fn outcome_name(outcome: RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Done => "done",
        RunOutcome::Failed => "failed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::LeaseLapsed => "lease_lapsed",
        RunOutcome::GangBroken => "gang_broken",
        RunOutcome::GangIncomplete => "gang_incomplete",
        RunOutcome::Refused => "refused",
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
