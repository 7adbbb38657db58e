//! Zone evacuation: moves tasks out of zones that are out of service.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId};

use crate::policy::SchedulerPolicy;
use crate::{EvictionCause, PolicyDecision};

/// Time before a replacement is proposed again. The new instance has to start and warm up first.
const REPLACEMENT_RETRY_INTERVAL: Duration = Duration::from_secs(30);

impl SchedulerPolicy {
    /// Schedules the evacuation of a task that is placed in a zone out of service.
    pub(crate) fn schedule_evacuation(&mut self, now: MonotonicTime, task: TaskId) {
        if let Some(record) = self.tasks.get_mut(&task).filter(|record| record.evacuation_due.is_none()) {
            record.evacuation_due = Some(now);
            self.evacuations.insert((now, record.is_batch(), task));
        }
    }

    pub(crate) fn decide_evacuations(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        while decisions.len() < limit
            && let Some(&(due, batch, task)) = self.evacuations.first()
            && due <= now
        {
            self.evacuations.pop_first();
            let Some(record) = self.tasks.get_mut(&task).filter(|record| record.evacuation_due == Some(due)) else {
                continue;
            };
            record.evacuation_due = None;
            if !record.has_allocation()
                || !self.zones[self.workers[record.worker as usize].zone as usize].out_of_service
            {
                continue;
            }
            let mut retry_delay = self.settings.proposal_timeout;
            if record.is_committed() {
                if batch {
                    decisions.extend(self.propose_eviction(now, task, EvictionCause::ZoneOut));
                } else {
                    decisions.push(PolicyDecision::Replace { task, attempt: record.attempt });
                    retry_delay = REPLACEMENT_RETRY_INTERVAL;
                }
            }
            if let Some(record) = self.tasks.get_mut(&task) {
                record.evacuation_due = Some(now + retry_delay);
                self.evacuations.insert((now + retry_delay, batch, task));
            }
        }
    }
}
