//! Measurements of workers.

use parsleywalk_units::{MonotonicTime, ResourceSize, ThrottleLevel, WorkerId};

use crate::event::TaskUsage;
use crate::policy::SchedulerPolicy;

impl SchedulerPolicy {
    pub(crate) fn take_report(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerId,
        measured_at: MonotonicTime,
        usages: &[TaskUsage],
    ) {
        let Some(number) = self.names.workers.find(worker) else { return };
        // A clock never measures the future; a larger value is a broken report.
        let measured_at = measured_at.min(now);
        let mut neighbours: Vec<(u32, f64)> = Vec::new();
        let mut critical: Vec<(u32, f64)> = Vec::new();
        for usage in usages {
            let Some(record) = self.tasks.get_mut(&usage.task).filter(|record| record.worker == number) else {
                continue;
            };
            if !record.is_running() || measured_at < record.measured_at {
                continue;
            }
            record.measured_at = measured_at;
            record.since_checkpoint = usage.since_checkpoint;
            let (service, batch, declared) = (record.service, record.is_batch(), record.declared);
            let throttled = record.throttle != ThrottleLevel::None;
            let before = ResourceSize::new(record.cores, record.memory);
            record.cores = usage.cores;
            record.memory = usage.memory;
            let used = &mut self.workers[number as usize].used;
            *used = used
                .saturating_sub(&before)
                .checked_add(&ResourceSize::new(usage.cores, usage.memory))
                .unwrap_or(*used);
            if !throttled {
                self.usage.learn(service, &declared, usage.cores, usage.memory);
            }
            if batch {
                let cores = f64::from(usage.cores.get()) / 1000.0;
                match neighbours.iter_mut().find(|(known, _)| *known == service) {
                    Some((_, sum)) => *sum += cores,
                    None => neighbours.push((service, cores)),
                }
            } else if let Some(latency) = usage.latency {
                critical.push((service, latency.as_secs_f64()));
            }
        }
        self.refresh_worker(number);
        self.learn_slowdown(now, number, measured_at, &critical, &neighbours);
    }

    fn learn_slowdown(
        &mut self,
        now: MonotonicTime,
        worker: u32,
        measured_at: MonotonicTime,
        critical: &[(u32, f64)],
        neighbours: &[(u32, f64)],
    ) {
        let mut largest: Option<f64> = None;
        for (service, latency) in critical {
            let slowdown = self.model.learn(now, *service, *latency, neighbours);
            let felt = if self.settings.tail_budget { slowdown.tail } else { slowdown.present };
            largest = Some(largest.unwrap_or(felt).max(felt));
        }
        if let Some(slowdown) = largest {
            let limits = self.guard_limits();
            let strain = self.guards.report(worker, measured_at, slowdown, &limits);
            self.workers[worker as usize].strain = strain;
        }
    }
}
