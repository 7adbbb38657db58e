//! Moves out of zones that were taken out of service.

use std::time::Duration;

use parsleywalk_units::{MonotonicTime, TaskId};

use crate::policy::SchedulerPolicy;
use crate::{EvictionCause, PolicyDecision};

/// How long a replacement may take before it is proposed again: the new instance has to start and warm up first.
const REPLACE_AGAIN: Duration = Duration::from_secs(30);

impl SchedulerPolicy {
    /// Notes that a task holds capacity in a zone that is out.
    pub(crate) fn plan_move(&mut self, now: MonotonicTime, task: TaskId) {
        if let Some(record) = self.tasks.get_mut(&task).filter(|record| record.move_due.is_none()) {
            record.move_due = Some(now);
            self.moves.insert((now, record.is_batch(), task));
        }
    }

    pub(crate) fn decide_moves(&mut self, now: MonotonicTime, limit: usize, decisions: &mut Vec<PolicyDecision>) {
        while decisions.len() < limit
            && let Some(&(due, batch, task)) = self.moves.first()
            && due <= now
        {
            self.moves.pop_first();
            let Some(record) = self.tasks.get_mut(&task).filter(|record| record.move_due == Some(due)) else {
                continue;
            };
            record.move_due = None;
            if !record.holds_capacity() || !self.zones[self.workers[record.worker as usize].zone as usize].out {
                continue;
            }
            let mut again = self.settings.pending;
            if record.is_committed() {
                if batch {
                    decisions.extend(self.propose_eviction(now, task, EvictionCause::ZoneOut));
                } else {
                    decisions.push(PolicyDecision::Replace { task, attempt: record.attempt });
                    again = REPLACE_AGAIN;
                }
            }
            if let Some(record) = self.tasks.get_mut(&task) {
                record.move_due = Some(now + again);
                self.moves.insert((now + again, batch, task));
            }
        }
    }
}
