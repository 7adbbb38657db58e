//! Handling of usage reports of workers.

use parsleywalk_units::{MonotonicTime, ResourceSize, ThrottleLevel, WorkerId};

use crate::event::TaskUsage;
use crate::policy::SchedulerPolicy;

impl SchedulerPolicy {
    /// Records the measured usage of a worker's tasks. Tasks that do not run on the worker are skipped, and so are
    /// reports older than a task's newest one.
    pub(crate) fn record_usage_report(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerId,
        measured_at: MonotonicTime,
        usages: &[TaskUsage],
    ) {
        let Some(worker_index) = self.names.workers.find(worker) else { return };
        // A measurement cannot be from the future; a later time is an error of the reporter.
        let measured_at = measured_at.min(now);
        let mut batch_usage: Vec<(u32, f64)> = Vec::new();
        let mut critical: Vec<(u32, f64)> = Vec::new();
        for usage in usages {
            let Some(record) = self.tasks.get_mut(&usage.task).filter(|record| record.worker == worker_index) else {
                continue;
            };
            if !record.is_running() || measured_at < record.measured_at {
                continue;
            }
            record.measured_at = measured_at;
            record.since_checkpoint = usage.since_checkpoint;
            let (service, batch, declared) = (record.service, record.is_batch(), record.declared);
            let throttled = record.throttle != ThrottleLevel::None;
            let previous = ResourceSize::new(record.cores, record.memory);
            record.cores = usage.cores;
            record.memory = usage.memory;
            let used = &mut self.workers[worker_index as usize].used;
            *used = used
                .saturating_sub(&previous)
                .checked_add(&ResourceSize::new(usage.cores, usage.memory))
                .unwrap_or(*used);
            if !throttled {
                self.usage.record(service, &declared, usage.cores, usage.memory);
            }
            if batch {
                let cores = f64::from(usage.cores.get()) / 1000.0;
                match batch_usage.iter_mut().find(|(known, _)| *known == service) {
                    Some((_, sum)) => *sum += cores,
                    None => batch_usage.push((service, cores)),
                }
            } else if let Some(latency) = usage.latency {
                critical.push((service, latency.as_secs_f64()));
            }
        }
        self.refresh_worker(worker_index);
        self.record_latencies(now, worker_index, measured_at, &critical, &batch_usage);
    }

    /// Updates the interference estimates and the worker's guard with the latencies of its service instances.
    fn record_latencies(
        &mut self,
        now: MonotonicTime,
        worker: u32,
        measured_at: MonotonicTime,
        critical: &[(u32, f64)],
        batch_usage: &[(u32, f64)],
    ) {
        let mut largest: Option<f64> = None;
        for (service, latency) in critical {
            let slowdown = self.interference.record_sample(now, *service, *latency, batch_usage);
            let guarded_slowdown = if self.settings.tail_budget { slowdown.peak_load } else { slowdown.current_load };
            largest = Some(largest.unwrap_or(guarded_slowdown).max(guarded_slowdown));
        }
        if let Some(slowdown) = largest {
            let limits = self.guard_limits();
            let smoothed_slowdown = self.guards.record_slowdown(worker, measured_at, slowdown, &limits);
            self.workers[worker as usize].smoothed_slowdown = smoothed_slowdown;
        }
    }
}
