//! What tasks do in one second, and how they end.

use parsleywalk_scheduler::TaskOutcome;
use parsleywalk_units::TaskId;
use rand::RngExt;

use crate::truth::WORKERS;
use crate::world::{
    COLD_START, Phase, RESTORE, STOP_CHECKPOINT, World, cores_of, memory_of, remaining_core_share, worker_size,
};

impl World {
    pub(crate) fn progress(&mut self) {
        let demand = self.demand();
        let ids: Vec<TaskId> = self.tasks.keys().copied().collect();
        for id in ids {
            self.progress_task(id, &demand);
        }
        for worker in 0..WORKERS {
            self.check_memory(worker);
        }
    }

    /// The processors that each worker's tasks want.
    pub(crate) fn demand(&self) -> Vec<f64> {
        let mut demand = vec![0.0; WORKERS];
        for task in self.tasks.values().filter(|task| task.phase != Phase::Queued) {
            demand[task.worker] += task.cores * remaining_core_share(task.throttle);
        }
        demand
    }

    fn progress_task(&mut self, id: TaskId, demand: &[f64]) {
        let tick = self.tick;
        let Some(task) = self.tasks.get(&id) else { return };
        if task.phase == Phase::Queued {
            return;
        }
        if let Phase::Stopping(until) = task.phase {
            if tick >= until {
                self.stop(id);
            }
            return;
        }
        let (worker, since, critical, hopeless) = (task.worker, task.since, task.critical, task.hopeless);
        if critical {
            if tick == since + COLD_START
                && let Some(old) = task.replaces
            {
                self.end(old, TaskOutcome::Cancelled);
            }
            return;
        }
        if (self.workers[worker].broken && tick >= since + 5) || (hopeless && tick >= since + 20) {
            self.fail(id);
            return;
        }
        let declared = self.declared(&self.tasks[&id]);
        let checkpoint = self.truth.batch[self.tasks[&id].service].checkpoint;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if tick < task.since + RESTORE {
            return;
        }
        let speed = remaining_core_share(task.throttle) * (cores_of(&worker_size()) / demand[worker]).min(1.0);
        task.done += speed;
        if task.done - task.saved >= checkpoint {
            task.saved = task.done;
        }
        let gained = speed * Self::rate(task, &declared);
        let ended = task.done >= task.total;
        if !hopeless {
            self.measure.gain(tick, gained);
        }
        if ended {
            self.measure.completed += 1;
            self.end(id, TaskOutcome::Done);
        }
    }

    fn stop(&mut self, id: TaskId) {
        let checkpointed = self.rng.random_bool(STOP_CHECKPOINT);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.cancelled {
            self.end(id, TaskOutcome::Cancelled);
            return;
        }
        if checkpointed {
            task.saved = task.done;
        }
        let (before, hopeless) = (task.saved, task.hopeless);
        if !hopeless {
            self.lose_progress(id);
        }
        self.end(id, TaskOutcome::Evicted);
        let resumed = self.tasks.get(&id).map_or(before, |task| task.done);
        if resumed < before {
            self.measure.scratch += 1;
        }
    }

    fn fail(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.failures += 1;
        let (failures, hopeless) = (task.failures, task.hopeless);
        self.measure.failures += 1;
        if !hopeless {
            self.lose_progress(id);
        }
        // The replicated state gives up in the end where the policy does not.
        if failures >= 20 {
            self.measure.given_up += 1;
            self.end(id, TaskOutcome::Cancelled);
        } else {
            self.end(id, TaskOutcome::Failed);
        }
    }

    /// Where the tasks of a worker need more memory than there is, the largest batch task is killed.
    fn check_memory(&mut self, worker: usize) {
        let ids = self.tasks_on(worker);
        let used: f64 = ids.iter().map(|id| self.tasks[id].memory).sum();
        if used <= memory_of(&worker_size()) {
            return;
        }
        let batch = ids.iter().filter(|id| !self.tasks[id].critical && self.tasks[id].phase == Phase::Running);
        let largest = batch.max_by(|one, other| self.tasks[one].memory.total_cmp(&self.tasks[other].memory)).copied();
        if let Some(id) = largest {
            self.measure.memory_kills += 1;
            self.lose_progress(id);
            self.end(id, TaskOutcome::Failed);
        }
    }
}
